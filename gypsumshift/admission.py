"""Admission: which requests run on a backend server now, wait, or are refused.

Classes go in strict order: client, internal, sample. Within a class workspaces
share by weight (start-time fair queueing), within a workspace the more urgent
goes first. While clients are about, the others leave them as much room as they
usually take.
"""

import abc
import collections
import heapq
import itertools
import math
from collections.abc import Callable

import attrs

from gypsumshift.clock import Clock
from gypsumshift.concurrencylimit import ConcurrencyLimit
from gypsumshift.generated.messages import RequestClass

__all__ = ["Admission", "FairAdmission", "FifoAdmission", "Ticket"]

CLASSES = (RequestClass.CLIENT, RequestClass.INTERNAL, RequestClass.SAMPLE)
CLIENT_RESERVE_SHARE = 0.25
CLIENT_ACTIVITY_WINDOW_S = 10.0
CLIENT_AVERAGE_WEIGHT = 0.05
DURATION_AVERAGE_WEIGHT = 0.1
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 30.0


@attrs.define(eq=False)
class Ticket:
    """One request before the backend server.

    Attributes
    ----------
    workspace : str
    request_class : RequestClass
    deadline : float
        By the monotonic clock, in seconds.
    share : int
        Weight of the workspace.
    urgency : int
        Lower goes first within the workspace.
    decide : callable
        Called once, with True when admitted or False when refused.
    """

    workspace: str
    request_class: int
    deadline: float
    share: int = 10
    urgency: int = 3
    on_decision: Callable[[bool], None] = lambda admitted: None
    offered_at: float = 0.0
    admitted_at: float = 0.0
    waiting: bool = False


class Admission(abc.ABC):
    """Decides who runs; the base counts, the heirs choose.

    Parameters
    ----------
    limit : Limit
        How many run at once.
    queue : int
        How many wait, at the most.
    clock : Clock
    """

    def __init__(self, limit: ConcurrencyLimit, queue: int, clock: Clock):
        self.limit = limit
        self.max_waiting = queue
        self.clock = clock
        self.running = 0
        self.waiting = 0
        self.running_by_class = collections.Counter()
        self.waiting_by_class = collections.Counter()
        self.average_duration = 0.0
        self.refused_count = 0

    @abc.abstractmethod
    def push(self, ticket: Ticket) -> None:
        """Keep a waiting ticket."""

    @abc.abstractmethod
    def pop(self) -> Ticket | None:
        """Take the next ticket that may run now; None where none may."""

    @abc.abstractmethod
    def evict_for(self, ticket: Ticket) -> Ticket | None:
        """Take a waiting ticket that must yield to ``ticket`` in a full queue."""

    @abc.abstractmethod
    def count_ahead_of(self, ticket: Ticket) -> int:
        """Return how many waiting tickets would run before this one."""

    def has_free_slot(self, request_class: int) -> bool:
        """Tell whether a request of a class would run at once."""
        return self.running < self.limit.value and not self.waiting

    def offer(self, ticket: Ticket) -> float:
        """Take a request; return 0, or seconds to come back after where refused."""
        now = self.clock.monotonic()
        ticket.offered_at = now
        wait = self.estimate_wait(ticket)
        if now + wait > ticket.deadline:
            return self.count_refusal(wait)
        if self.waiting >= self.max_waiting and self.running >= self.limit.value:
            victim = self.evict_for(ticket)
            if victim is None:
                return self.count_refusal(wait)
            self.waiting -= 1
            victim.waiting = False
            self.refused_count += 1
            victim.on_decision(False)
        ticket.waiting = True
        self.waiting += 1
        self.push(ticket)
        self.admit_waiting()
        return 0.0

    def count_refusal(self, wait: float) -> float:
        """Count a refusal; return when to come back."""
        self.refused_count += 1
        return min(max(wait, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)

    def estimate_wait(self, ticket: Ticket) -> float:
        """Return the seconds that a ticket would wait, from recent durations."""
        free = self.limit.value - self.running
        ahead = self.count_ahead_of(ticket)
        if free > ahead:
            return 0.0
        return self.average_duration * (ahead + 1 - max(free, 0)) / self.limit.value

    def admit_waiting(self) -> None:
        """Let run what may run now."""
        now = self.clock.monotonic()
        while self.running < self.limit.value and (ticket := self.pop()):
            self.waiting -= 1
            ticket.waiting = False
            if ticket.deadline <= now:
                self.refused_count += 1
                ticket.on_decision(False)
                continue
            self.running += 1
            self.running_by_class[ticket.request_class] += 1
            ticket.admitted_at = now
            ticket.on_decision(True)

    def withdraw(self, ticket: Ticket) -> None:
        """Drop a waiting ticket whose caller gave up."""
        if ticket.waiting:
            ticket.waiting = False
            self.waiting -= 1

    def release(self, ticket: Ticket, ok: bool) -> None:
        """Take back the place of a ticket that has run."""
        took = self.clock.monotonic() - ticket.admitted_at
        self.running -= 1
        self.running_by_class[ticket.request_class] -= 1
        if ok:
            step = DURATION_AVERAGE_WEIGHT if self.average_duration else 1.0
            self.average_duration += step * (took - self.average_duration)
        self.limit.record_request(took, self.running + 1, ok)
        self.admit_waiting()


class FairAdmission(Admission):
    """Classes in strict order, workspaces by weight, urgency within."""

    def __init__(self, limit: ConcurrencyLimit, queue: int, clock: Clock):
        super().__init__(limit, queue, clock)
        self.queues: dict[tuple[int, str], list] = {}
        self.finish_tags: dict[str, float] = {}
        self.virtual_time = 0.0
        self.sequence = itertools.count()
        self.last_client_at = float("-inf")
        self.average_clients = 0.0

    def push(self, ticket):
        """Keep a waiting ticket."""
        if ticket.request_class == RequestClass.CLIENT:
            self.last_client_at = self.clock.monotonic()
            there = self.running_by_class[RequestClass.CLIENT]
            there += self.waiting_by_class[RequestClass.CLIENT]
            self.average_clients += CLIENT_AVERAGE_WEIGHT * (
                there - self.average_clients
            )
        key = (ticket.request_class, ticket.workspace)
        entry = (ticket.urgency, next(self.sequence), ticket)
        heapq.heappush(self.queues.setdefault(key, []), entry)
        self.waiting_by_class[ticket.request_class] += 1

    def withdraw(self, ticket):
        """Drop a waiting ticket whose caller gave up."""
        if ticket.waiting:
            self.waiting_by_class[ticket.request_class] -= 1
        super().withdraw(ticket)

    def pop(self):
        """Take the next ticket that may run now; None where none may."""
        for request_class in CLASSES:
            if not self.waiting_by_class[request_class] or not self.class_may_run(
                request_class
            ):
                continue
            ticket = self.pop_class(request_class)
            if ticket is not None:
                return ticket
        return None

    def has_free_slot(self, request_class):
        """Tell whether a request of a class would run at once."""
        waiting = sum(
            n for kind, n in self.waiting_by_class.items() if kind <= request_class
        )
        free = self.running < self.limit.value and not waiting
        return free and self.class_may_run(request_class)

    def class_may_run(self, request_class: int) -> bool:
        """Tell whether a class may take one more place."""
        if request_class == RequestClass.CLIENT:
            return True
        if self.clock.monotonic() - self.last_client_at > CLIENT_ACTIVITY_WINDOW_S:
            return True
        kept = math.ceil(
            max(CLIENT_RESERVE_SHARE * self.limit.value, self.expected_client_slots())
        )
        others = self.running - self.running_by_class[RequestClass.CLIENT]
        return others < max(1, self.limit.value - kept)

    def expected_client_slots(self) -> float:
        """Return how many places clients take: the usual number and its spread."""
        return self.average_clients + math.sqrt(self.average_clients)

    def pop_class(self, request_class: int) -> Ticket | None:
        """Take the next ticket of a class, from the workspace least served."""
        while True:
            names = [name for kind, name in self.queues if kind == request_class]
            if not names:
                return None
            name = min(
                names, key=lambda n: max(self.finish_tags.get(n, 0), self.virtual_time)
            )
            heap = self.queues[request_class, name]
            ticket = heapq.heappop(heap)[2]
            if not heap:
                del self.queues[request_class, name]
            if ticket.waiting:
                self.waiting_by_class[request_class] -= 1
                self.charge_workspace(ticket)
                return ticket

    def charge_workspace(self, ticket: Ticket) -> None:
        """Charge a workspace for one place."""
        start = max(self.finish_tags.get(ticket.workspace, 0.0), self.virtual_time)
        self.virtual_time = start
        self.finish_tags[ticket.workspace] = start + 1.0 / ticket.share
        if len(self.finish_tags) > 4 * (len(self.queues) + 64):
            self.finish_tags = {
                n: p for n, p in self.finish_tags.items() if p > self.virtual_time
            }

    def evict_for(self, ticket):
        """Take a ticket of a lower class, or of the workspace that waits the most."""
        crowd = collections.Counter()
        for (request_class, name), heap in self.queues.items():
            crowd[request_class, name] = sum(1 for item in heap if item[2].waiting)
        lower = [key for key in crowd if key[0] > ticket.request_class and crowd[key]]
        same = [key for key in crowd if key[0] == ticket.request_class]
        own = crowd[ticket.request_class, ticket.workspace]
        heavier = [key for key in same if crowd[key] > own + 1]
        choice = max(
            lower or heavier, key=lambda key: (key[0], crowd[key]), default=None
        )
        if choice is None:
            return None
        heap = self.queues[choice]
        entry = max(item for item in heap if item[2].waiting)
        heap.remove(entry)
        heapq.heapify(heap)
        if not heap:
            del self.queues[choice]
        self.waiting_by_class[choice[0]] -= 1
        return entry[2]

    def count_ahead_of(self, ticket):
        """Return how many waiting tickets would run before this one, at the most."""
        ahead = 0
        for request_class, count in self.waiting_by_class.items():
            if request_class <= ticket.request_class:
                ahead += count
        return ahead


class FifoAdmission(Admission):
    """First come, first served; the plain baseline."""

    def __init__(self, limit: ConcurrencyLimit, queue: int, clock: Clock):
        super().__init__(limit, queue, clock)
        self.tickets: collections.deque[Ticket] = collections.deque()

    def push(self, ticket):
        """Keep a waiting ticket."""
        self.tickets.append(ticket)

    def pop(self):
        """Take the next ticket."""
        while self.tickets:
            ticket = self.tickets.popleft()
            if ticket.waiting:
                return ticket
        return None

    def evict_for(self, ticket):
        """Nobody yields to a later one."""
        return None

    def count_ahead_of(self, ticket):
        """Return how many tickets wait."""
        return self.waiting
