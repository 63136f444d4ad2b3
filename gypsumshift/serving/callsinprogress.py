"""Calls in progress: their waits end by the time limit of the route in force.

While the process stops, they end before it does, and only those begin that can.
"""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator

from gypsumshift.clock import Clock
from gypsumshift.serving.calls import Call
from gypsumshift.serving.directory import Directory
from gypsumshift.serving.recentdurations import RecentDurations

__all__ = ["CallsInProgress"]

# A call is expected to take up to this many times as long as the longest recent call
# of its route.
DURATION_FACTOR = 1.25


class CallsInProgress:
    """Limits the waits of the calls that a process serves.

    A new configuration may cut the time limit of a route, and the process may be told
    to stop. Waits that have begun then end sooner.

    Parameters
    ----------
    directory : Directory
        Provides the configuration.
    clock : Clock

    Attributes
    ----------
    waits : dict
        Call by the time-out of the wait that it is in.
    end_at : float
        Monotonic time at which all calls end since the process stops, in seconds;
        infinite while it does not.
    durations : RecentDurations
        Of the calls that were answered, by route.
    """

    def __init__(self, directory: Directory, clock: Clock):
        self.directory = directory
        self.clock = clock
        self.waits: dict[asyncio.Timeout, Call] = {}
        self.end_at = math.inf
        self.durations = RecentDurations(clock)
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
        self.update(call)
        due = call.answer_due if streamed else call.deadline
        seconds = self.seconds_until(due)
        async with asyncio.timeout(seconds if seconds < math.inf else None) as timeout:
            self.waits[timeout] = call
            try:
                yield
            finally:
                del self.waits[timeout]

    def update(self, call: Call) -> None:
        """Give a call the route and the time that it has now."""
        call.follow(self.directory.routes)
        call.end_by(self.end_at)

    def end_all_by(self, at: float) -> None:
        """Let all calls end by a monotonic time, in seconds."""
        self.end_at = at
        self.update_waits()

    def can_end(self, call: Call) -> bool:
        """Return whether a call that has just arrived can end while the process runs.

        That is if it is due before, or if calls of its route usually end before.
        """
        if call.answer_due <= self.end_at:
            return True
        usual = self.durations.longest(call.route.name)
        return usual is not None and self.has_time(DURATION_FACTOR * usual)

    def has_time(self, seconds: float) -> bool:
        """Return whether the process runs for some seconds more."""
        return self.clock.monotonic() + seconds <= self.end_at

    def record_answer(self, call: Call) -> None:
        """Record how long a call took until its complete answer."""
        if call.times is not None:
            took = self.clock.monotonic() - call.times.received_at
            self.durations.record(call.route.name, took)

    def seconds_until(self, due: float) -> float:
        """Return the seconds until a time; 0 if it has passed."""
        return max(due - self.clock.monotonic(), 0.0)

    def update_waits(self) -> None:
        """Let the waits of calls that have less time now end sooner."""
        if not self.waits:
            return
        now = asyncio.get_running_loop().time()
        for timeout, call in list(self.waits.items()):
            self.update(call)
            ends_at = now + self.seconds_until(call.answer_due)
            latest = timeout.when()
            if not timeout.expired() and ends_at < (latest or math.inf):
                timeout.reschedule(ends_at)
