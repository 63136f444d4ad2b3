"""Race between the runs of one stream: the first to have its next event goes on.

A server that is silent may still go on, so its run stays open until another run of the
stream, at another server or at the same one, has the next event.
"""

import abc
import asyncio
import math
from collections.abc import AsyncIterator

import attrs

from gypsumshift.eventstream import StreamBroken
from gypsumshift.serving.directory import BackendServer

__all__ = ["EventRace", "EventRun", "RacedStream"]


@attrs.define(eq=False)
class EventRun:
    """One run of a stream.

    Attributes
    ----------
    server : BackendServer
    events : async iterator
        Closes its connection when it is closed.
    is_successor : bool
        Whether it was begun to go on with the stream, and has had no event yet.
    reading : asyncio.Task or None
        Waits for its next event; None if that was taken.
    """

    server: BackendServer
    events: AsyncIterator
    is_successor: bool = False
    reading: asyncio.Task | None = None

    async def read(self):
        """Return the next event; None at the end of the stream."""
        return await anext(self.events, None)

    def take(self):
        """Return the event that has arrived, or None at the end of the stream.

        Raises the exception with which the run ended.
        """
        reading, self.reading = self.reading, None
        return reading.result()

    async def close(self) -> None:
        """End the run, and close its connection."""
        reading, self.reading = self.reading, None
        if reading is not None:
            reading.cancel()
            await asyncio.wait({reading})
            if not reading.cancelled():
                reading.exception()
        await self.events.aclose()


class EventRace:
    """Runs of one stream that are open at the same time.

    Attributes
    ----------
    runs : list of EventRun
        The oldest first.
    """

    def __init__(self):
        self.runs: list[EventRun] = []

    def add(self, run: EventRun) -> None:
        """Add a run that has begun."""
        self.runs.append(run)

    async def wait(self, seconds: float | None = None) -> EventRun | None:
        """Return a run whose next event, end or error has arrived.

        Returns None if there is none after some seconds, and at once without any run.
        An event is not lost if the wait is cancelled.
        """
        if not self.runs:
            return None
        for run in self.runs:
            if run.reading is None:
                run.reading = asyncio.create_task(run.read())
        readings = {run.reading for run in self.runs}
        await asyncio.wait(
            readings, timeout=seconds, return_when=asyncio.FIRST_COMPLETED
        )
        return next((run for run in self.runs if run.reading.done()), None)

    async def remove(self, run: EventRun) -> None:
        """Remove and close a run."""
        self.runs.remove(run)
        await run.close()

    async def keep_only(self, run: EventRun) -> list[EventRun]:
        """Close all other runs; return them."""
        others = [other for other in self.runs if other is not run]
        for other in others:
            await self.remove(other)
        return others

    async def close(self) -> None:
        """Close all runs."""
        for run in list(self.runs):
            await self.remove(run)


class RacedStream(abc.ABC):
    """Events of one stream; an async iterator that asks for further runs in a silence.

    A wait for the next event may be cancelled, after which the stream is to be closed.

    Parameters
    ----------
    silence_s : float
        Seconds without an event after which a further run is asked for.

    Attributes
    ----------
    race : EventRace
        Runs that are open: the one that had the last event, and those that were asked
        to go on.
    silent_since : float
        Since when the next event is waited for, by the clock of the event loop.
    ask_at : float
        When a further run is asked for, by the same clock; infinite for never.
    asked : int
        Runs that were asked for since the last event.
    """

    def __init__(self, silence_s: float):
        self.silence_s = silence_s
        self.loop = asyncio.get_running_loop()
        self.race = EventRace()
        self.silent_since = 0.0
        self.ask_at = 0.0
        self.asked = 0

    def __aiter__(self) -> "RacedStream":
        """Return the stream itself."""
        return self

    async def __anext__(self):
        """Return the next event, of the first run that has it."""
        self.silent_since = self.loop.time()
        self.ask_at = self.silent_since + self.silence_s
        self.asked = 0
        while True:
            run = await self.race.wait(self.seconds_until_ask())
            if run is None:
                await self.ask()
                continue
            try:
                event = run.take()
            except StreamBroken as error:
                await self.race.remove(run)
                await self.handle_broken_run(run, error)
                continue
            closed = await self.race.keep_only(run)
            self.go_on_with(run, closed)
            run.is_successor = False
            if event is None:
                raise StopAsyncIteration
            return event

    @abc.abstractmethod
    async def ask(self) -> None:
        """Ask for a further run, or set when to ask again.

        The runs that are open stay so. An exception ends the stream.
        """

    @abc.abstractmethod
    async def handle_broken_run(self, run: EventRun, error: StreamBroken) -> None:
        """Handle a run that ended early and was removed; an exception ends the stream.

        It may set when to ask for a further run.
        """

    @abc.abstractmethod
    def go_on_with(self, run: EventRun, closed: list[EventRun]) -> None:
        """Record that a run has the next event, and that others were closed for it."""

    async def aclose(self) -> None:
        """Close all runs."""
        await self.race.close()

    def seconds_until_ask(self) -> float | None:
        """Return the seconds until a further run is asked for; None for never."""
        if self.ask_at == math.inf:
            return None
        return max(self.ask_at - self.loop.time(), 0.0)

    def ask_after(self, seconds: float) -> None:
        """Ask for a further run after some seconds; infinite for never."""
        self.ask_at = self.loop.time() + seconds

    @property
    def silent_s(self) -> float:
        """Seconds for which the next event has been waited for."""
        return round(self.loop.time() - self.silent_since, 3)
