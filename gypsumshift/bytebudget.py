"""Memory budget: how many bytes a process may buffer for callers and servers.

A reservation either fits, is refused, or waits. Some kinds of data have a guaranteed
share that the others cannot take. Requests hold bytes until their answers arrive, and
trainers' batch jobs are larger than callers' requests: without the shares, answers and
jobs could stay without memory while callers' bodies hold all of it. A further share is
only for small requests. The module uses no network, and the clock is injected.
"""

import asyncio
import enum
import math
import random

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.metrics import Metrics

__all__ = [
    "NO_BUDGET",
    "ByteBudget",
    "ByteKind",
    "Holding",
    "budget_bytes",
    "peer_budget_bytes",
]

MIB = 1024 * 1024
# Memory of an idle gateway: 37 MiB after the imports, and its copies of the tables.
IDLE_MEMORY_BYTES = 56 * MIB
# Memory that a buffered byte takes: bodies are copied when they are joined and when
# they are written to a socket.
COPIES_PER_BYTE = 2
# Smallest budget: two batch jobs and some hundred small requests.
MIN_BUDGET_BYTES = 8 * MIB
# A request or an answer up to this size is small. It covers the usual calls and keeps
# them going while large bodies take the rest.
SMALL_BYTES = 8 * 1024
# Budget of what other processes of the system send, relative to that of callers.
PEER_BUDGET_SHARE = 1 / 4
# Share of the budget that only small requests and answers may take.
SMALL_SHARE = 1 / 12
# A refused caller waits a third of its time limit of 1.5 s at most. The range keeps
# retries from arriving together.
RETRY_AFTER_RANGE_S = (0.2, 0.4)
# Share of the bytes held when the budget was exceeded at or below which it counts as
# free again, so that it is not reported for each request.
FREE_SHARE = 0.5
# At most ten lines per second about refusals, and about callers that are cut off.
LOG_INTERVAL_S = 0.1

log = logs.logger("bytebudget")


class ByteKind(enum.StrEnum):
    """What buffered bytes are part of."""

    REQUEST = "request"
    ANSWER = "answer"
    STREAM = "stream"
    JOB = "job"


# Shares of the budget that the other kinds leave free. The smallest host (160 MB) keeps
# four batch jobs of 200 kB, 8 MB of requests, 8 MB of answers and 34 streams.
GUARANTEED_SHARES = {
    ByteKind.REQUEST: 1 / 6,
    ByteKind.ANSWER: 1 / 6,
    ByteKind.STREAM: 1 / 12,
    ByteKind.JOB: 1 / 6,
}
# Bytes held for each byte received. A batch job of 100 items (208 kB) takes 1.8 MB
# while it is decoded and written to the store.
HELD_PER_BYTE = {ByteKind.JOB: 10}


def budget_bytes(memory_bytes: float) -> float:
    """Return the budget of a process that is killed above ``memory_bytes``."""
    free = (memory_bytes - IDLE_MEMORY_BYTES) / COPIES_PER_BYTE
    return max(MIN_BUDGET_BYTES, free)


def peer_budget_bytes(memory_bytes: float) -> float:
    """Return the budget of the ports that are not for callers."""
    return max(MIN_BUDGET_BYTES, PEER_BUDGET_SHARE * budget_bytes(memory_bytes))


@attrs.define(eq=False)
class Waiter:
    """A reservation that waits.

    Attributes
    ----------
    kind : ByteKind
    size : float
    small : bool
    granted : asyncio.Future
    """

    kind: ByteKind
    size: float
    small: bool
    granted: asyncio.Future


class ByteBudget:
    """Budget of the bytes that a process buffers, divided by kind.

    Parameters
    ----------
    limit : float
        Bytes; infinite for no limit.
    clock : Clock or None
        For the rate of the log lines; needed only with a limit.
    chance : random.Random or None
        For the retry delays; needed only with a limit.
    metrics : Metrics or None

    Attributes
    ----------
    held : dict of ByteKind to float
        Bytes held now.
    exceeded_bytes : float
        Bytes that were held when the budget was exceeded; 0 while it is not.
    waiters : list of Waiter
        Reservations that wait, in order.
    """

    def __init__(
        self,
        limit: float = math.inf,
        clock: Clock | None = None,
        chance: random.Random | None = None,
        metrics: Metrics | None = None,
    ):
        self.limit = limit
        self.clock = clock
        self.chance = chance
        self.metrics = metrics
        self.held = dict.fromkeys(ByteKind, 0)
        self.total = 0
        self.exceeded_bytes = 0.0
        self.waiters: list[Waiter] = []
        self.refusal_events = logs.RateLimitedEvents(log, LOG_INTERVAL_S)
        self.stall_events = logs.RateLimitedEvents(log, LOG_INTERVAL_S)

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit."""
        return self.limit < math.inf

    def hold(self) -> "Holding":
        """Return a new holding, without any bytes."""
        return Holding(self)

    def available(self, kind: ByteKind, small: bool) -> float:
        """Return how many more bytes a reservation of a kind may take now."""
        if not self.is_limited:
            return math.inf
        kept = 0.0 if small else SMALL_SHARE * self.limit
        for other in GUARANTEED_SHARES:
            if other is not kind:
                kept += self.unused_guarantee(other)
        free = self.limit - self.total
        return max(free - kept, min(free, self.unused_guarantee(kind)))

    def unused_guarantee(self, kind: ByteKind) -> float:
        """Return the bytes that are free for a kind whatever the others ask for."""
        guaranteed = GUARANTEED_SHARES.get(kind, 0.0) * self.limit
        return max(0.0, guaranteed - self.held[kind])

    def capacity(self, kind: ByteKind) -> float:
        """Return how many bytes of a kind fit if nothing is held."""
        others = sum(s for k, s in GUARANTEED_SHARES.items() if k is not kind)
        return self.limit * (1 - SMALL_SHARE - others) if self.is_limited else math.inf

    def reserve(self, kind: ByteKind, size: float, small: bool = False) -> bool:
        """Reserve bytes; return False if they do not fit."""
        if size > self.available(kind, small):
            self.note_exceeded(kind, size)
            return False
        self.add(kind, size)
        return True

    def add(self, kind: ByteKind, size: float) -> None:
        """Count bytes as held, without a check whether they fit."""
        self.held[kind] += size
        self.total += size

    def release(self, kind: ByteKind, size: float) -> None:
        """Release bytes, and grant the reservations that wait."""
        self.held[kind] -= size
        self.total -= size
        if not self.is_limited:
            return
        if self.exceeded_bytes and self.total <= FREE_SHARE * self.exceeded_bytes:
            self.exceeded_bytes = 0.0
            logs.event(log, "The memory budget is free again.", **self.figures())
        self.grant_waiting()

    async def reserve_when_free(self, kind: ByteKind, size: float, small: bool) -> None:
        """Reserve bytes as soon as they fit; earlier reservations come first."""
        if (small or not self.waiters) and self.reserve(kind, size, small):
            return
        granted = asyncio.get_running_loop().create_future()
        waiter = Waiter(kind, size, small, granted)
        self.waiters.append(waiter)
        try:
            await granted
        except asyncio.CancelledError:
            if waiter in self.waiters:
                self.waiters.remove(waiter)
                self.grant_waiting()
            else:
                self.release(kind, size)
            raise

    def grant_waiting(self) -> None:
        """Grant waiting reservations in order.

        Only small ones pass the first that does not fit.
        """
        blocked = False
        for waiter in list(self.waiters):
            if blocked and not waiter.small:
                continue
            if waiter.size > self.available(waiter.kind, waiter.small):
                blocked = True
            elif not waiter.granted.done():
                self.waiters.remove(waiter)
                self.add(waiter.kind, waiter.size)
                waiter.granted.set_result(None)

    def retry_after(self) -> float:
        """Return the seconds after which a refused caller may retry."""
        chance = self.chance or random
        return round(chance.uniform(*RETRY_AFTER_RANGE_S), 3)

    def figures(self) -> dict[str, int]:
        """Return the limit and the bytes held by kind, for log lines."""
        held = {f"{kind}_bytes": round(size) for kind, size in self.held.items()}
        return {"limit_bytes": round(self.limit), **held}

    def gauges(self) -> dict[str, float]:
        """Return the gauges for the metrics page."""
        return {f"bytes_held.{kind}": size for kind, size in self.held.items()}

    def note_exceeded(self, kind: ByteKind, size: float) -> None:
        """Log that the budget is exceeded, once until it is free again.

        A reservation that does not fit into an empty budget says nothing about the
        bytes held.
        """
        if self.exceeded_bytes or size > self.capacity(kind):
            return
        self.exceeded_bytes = self.total
        logs.event(
            log,
            "The memory budget is exceeded; large bodies are refused or wait.",
            kind=str(kind),
            asked_bytes=round(size),
            **self.figures(),
        )

    def record_refusal(self, kind: ByteKind, size: float, **subject: str) -> None:
        """Count a refusal, and log it unless lines are too frequent.

        Parameters
        ----------
        kind : ByteKind
        size : float
            Bytes that did not fit.
        **subject
            What was refused, as fields of the log line.
        """
        if self.metrics is not None:
            self.metrics.count("byte_refusals", kind=str(kind))
        self.refusal_events.event(
            self.clock.monotonic(),
            "Body or answer refused; it does not fit into the memory budget.",
            **subject,
            kind=str(kind),
            asked_bytes=round(size),
            **self.figures(),
        )

    def record_stall(self, unread: int, seconds: float) -> None:
        """Count a caller that was cut off since it read nothing for some seconds."""
        if self.metrics is not None:
            self.metrics.count("stalled_callers")
        self.stall_events.event(
            self.clock.monotonic(),
            "Caller cut off; it read nothing of its response within the time limit.",
            limit_s=seconds,
            unread_bytes=unread,
        )


class Holding:
    """Bytes that one request holds in a budget.

    Parameters
    ----------
    budget : ByteBudget

    Attributes
    ----------
    sizes : dict of ByteKind to float
        Bytes held, by kind.
    ended : bool
        Whether the request has ended; what still runs for it is not counted any more.
    waiting : int
        Number of its reservations that wait.
    """

    def __init__(self, budget: ByteBudget):
        self.budget = budget
        self.ended = False
        self.waiting = 0
        self.sizes: dict[ByteKind, float] = {}

    def size(self, kind: ByteKind) -> float:
        """Return the bytes of a kind that are held."""
        return self.sizes.get(kind, 0)

    def size_of(self, kind: ByteKind, received: int) -> float:
        """Return the memory that received bytes take."""
        return received * HELD_PER_BYTE.get(kind, 1)

    def add(self, kind: ByteKind, received: int) -> bool:
        """Reserve the memory for received bytes; return False if it does not fit."""
        if self.ended:
            return True
        size = self.size_of(kind, received)
        held = self.sizes.get(kind, 0)
        if not self.budget.reserve(kind, size, held + size <= SMALL_BYTES):
            return False
        self.sizes[kind] = held + size
        return True

    async def add_when_free(self, kind: ByteKind, received: int) -> bool:
        """Reserve memory as soon as it fits; return False if it never can."""
        if self.ended:
            return True
        size = self.size_of(kind, received)
        if size > self.budget.capacity(kind):
            return False
        small = self.sizes.get(kind, 0) + size <= SMALL_BYTES
        self.waiting += 1
        try:
            await self.budget.reserve_when_free(kind, size, small)
        finally:
            self.waiting -= 1
        if self.ended:
            self.budget.release(kind, size)
        else:
            self.sizes[kind] = self.sizes.get(kind, 0) + size
        return True

    def remove(self, kind: ByteKind, size: int) -> None:
        """Release some of the bytes of a kind."""
        if size and not self.ended:
            self.sizes[kind] -= size
            self.budget.release(kind, size)

    def release(self) -> None:
        """Release all bytes at the end of the request."""
        self.ended = True
        for kind, size in self.sizes.items():
            self.budget.release(kind, size)
        self.sizes.clear()


# Budget without a limit, for processes and requests that have none.
NO_BUDGET = ByteBudget()
