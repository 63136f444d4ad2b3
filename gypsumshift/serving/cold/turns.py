"""Requests that wait for their turn at one address, the lowest rank first."""

import asyncio
import contextlib
import itertools
from collections.abc import Iterator

import attrs

from gypsumshift.serving.cold.limiter import SendLimiter, SendRecord

__all__ = ["AddressState", "Turn"]

arrivals = itertools.count()


@attrs.define(eq=False)
class Turn:
    """A request that waits.

    Attributes
    ----------
    rank : tuple
        The lowest rank is sent first, and equal ones in the order of arrival.
    wake : Event
        Set when it has become the first one.
    """

    rank: tuple
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)


class AddressState:
    """Limiter and waiting requests of one address.

    Parameters
    ----------
    blocked_until : float
        See `SendLimiter`.

    Attributes
    ----------
    limiter : SendLimiter
    turns : list of Turn
        Requests that wait, in the order in which they will be sent.
    reserved : dict
        Reserved `SendRecord` by request id.
    cold_at : float
        When the server at the address last counted as cold, by the monotonic clock.
    refused_until : float
        Time until which other processes are not asked for permits, as they refused.
    refused_seconds : float
        Length of the last such time; 0 after an answer that was no refusal.
    asking : Lock
        Held by the request that asks for a permit.
    """

    def __init__(self, blocked_until: float):
        self.limiter = SendLimiter(blocked_until)
        self.turns: list[Turn] = []
        self.reserved: dict[str, SendRecord] = {}
        self.cold_at = self.refused_until = float("-inf")
        self.refused_seconds = 0.0
        self.asking = asyncio.Lock()

    @contextlib.contextmanager
    def waiting(self, rank: float) -> Iterator[Turn]:
        """Count a request as waiting for the duration of the block."""
        turn = Turn((rank, next(arrivals)))
        self.turns.append(turn)
        self.turns.sort(key=lambda waiting: waiting.rank)
        try:
            yield turn
        finally:
            self.turns.remove(turn)
            if self.turns:
                self.turns[0].wake.set()

    def is_first(self, turn: Turn) -> bool:
        """Return whether a request is the next one to be sent."""
        return self.turns[0] is turn

    def release(self, request_id: str) -> None:
        """Release a reservation, if there is one."""
        record = self.reserved.pop(request_id, None)
        if record is not None:
            self.limiter.cancel(record)

    def is_idle(self, now: float) -> bool:
        """Return whether nothing waits or counts here."""
        return not self.turns and not self.limiter.used(now)
