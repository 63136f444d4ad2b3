"""Calls in progress: their waits end by the time limit of the route in force."""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator

from gypsumshift.clock import Clock
from gypsumshift.serving.calls import Call
from gypsumshift.serving.directory import Directory

__all__ = ["CallsInProgress"]


class CallsInProgress:
    """Limits the waits of the calls that a process serves.

    A new configuration may cut the time limit of a route. Waits of its calls that have
    begun then end sooner.

    Parameters
    ----------
    directory : Directory
        Provides the configuration.
    clock : Clock

    Attributes
    ----------
    waits : dict
        Call by the time-out of the wait that it is in.
    """

    def __init__(self, directory: Directory, clock: Clock):
        self.directory = directory
        self.clock = clock
        self.waits: dict[asyncio.Timeout, Call] = {}
        directory.on_routes.append(self.update_waits)

    @contextlib.asynccontextmanager
    async def limit(self, call: Call, streamed: bool = False) -> AsyncIterator[None]:
        """Limit a wait of a call; raise TimeoutError at its end.

        Parameters
        ----------
        call : Call
        streamed : bool
            Whether this is a wait for the next part of a stream, which may last until
            the whole answer is due.
        """
        call.follow(self.directory.routes)
        due = call.answer_due if streamed else call.deadline
        seconds = self.seconds_until(due)
        async with asyncio.timeout(seconds if seconds < math.inf else None) as timeout:
            self.waits[timeout] = call
            try:
                yield
            finally:
                del self.waits[timeout]

    def seconds_until(self, due: float) -> float:
        """Return the seconds until a time; 0 if it has passed."""
        return max(due - self.clock.monotonic(), 0.0)

    def update_waits(self) -> None:
        """Let the waits of calls that have less time now end sooner."""
        if not self.waits:
            return
        now = asyncio.get_running_loop().time()
        for timeout, call in list(self.waits.items()):
            call.follow(self.directory.routes)
            ends_at = now + self.seconds_until(call.answer_due)
            latest = timeout.when()
            if not timeout.expired() and ends_at < (latest or math.inf):
                timeout.reschedule(ends_at)
