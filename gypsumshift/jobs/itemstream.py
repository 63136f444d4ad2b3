"""Stream of one item at its engine, which is asked again if it is silent.

An engine that preempts an item, or loads weights, is silent and then goes on; one that
has lost an answer never does. So the item is asked for again, and the run that is open
stays so until another one has the next event.
"""

import contextlib
from collections.abc import AsyncIterator, Callable

import attrs

from gypsumshift import logs
from gypsumshift.eventrace import EventRun, RacedStream
from gypsumshift.eventstream import StreamBroken, StreamWithheld
from gypsumshift.serving.directory import BackendServer
from gypsumshift.serving.responses import MISDIRECTED

__all__ = ["SILENCE_TIMEOUT", "Event", "ItemStream", "StreamRefused"]

# Seconds without an event after which an item is asked for again. Loading weights
# stalls an engine for up to 2.3 s, and a host may be frozen for some seconds: a longer
# wait loses more than processing the prompt again, which takes 10 ms.
SILENCE_TIMEOUT = 3.0
# Runs of an item that are open at the same time; the oldest is closed for another.
MAX_OPEN_RUNS = 3
# Longest pause before an item is asked for again.
MAX_PAUSE_S = 24.0
# Statuses with which an engine does not take an item now.
BUSY_STATUSES = (429, 503)

log = logs.logger("items")


@attrs.frozen
class Event:
    """One event of an item's output stream.

    Attributes
    ----------
    number : int
        Position in the whole output, counted from 1.
    data : str
    version : int
        Weight version that generated it; 0 where the engine did not send one.
    """

    number: int
    data: str
    version: int


class StreamRefused(Exception):
    """The engine answered an item's request with an error status.

    Parameters
    ----------
    status : int
        HTTP status code.
    counts_as_failure : bool
        Whether this counts as a failed run of the item.
    """

    def __init__(self, status: int, counts_as_failure: bool):
        super().__init__(f"engine refused the item with status {status}")
        self.status = status
        self.counts_as_failure = counts_as_failure

    @property
    def is_busy(self) -> bool:
        """Whether the engine may take the item later."""
        return self.status in BUSY_STATUSES and not self.counts_as_failure

    @property
    def replaced(self) -> bool:
        """Whether another server has the address now."""
        return self.status == MISDIRECTED


class ItemStream(RacedStream):
    """Events of one item, of the first of its runs at the engine that goes on.

    It raises `StreamBroken` once no run is open, and `StreamRefused` if the engine
    refuses the item otherwise than for now.

    Parameters
    ----------
    server : BackendServer
    name : str
        Job and item, for logs.
    after : int
        Number of the last event received earlier; 0 for none.
    begin_run : callable
        Returns the events of a new run after an event; nothing is sent before they are
        read.
    """

    def __init__(
        self,
        server: BackendServer,
        name: str,
        after: int,
        begin_run: Callable[[int], AsyncIterator[Event]],
    ):
        super().__init__(SILENCE_TIMEOUT)
        self.server = server
        self.name = name
        self.after = after
        self.begin_run = begin_run
        self.race.add(EventRun(server, begin_run(after)))

    async def __anext__(self) -> Event:
        """Return the next event."""
        event = await super().__anext__()
        self.after = event.number
        return event

    async def ask(self) -> None:
        """Ask the engine again; the newest runs that are open stay so."""
        closes_oldest = len(self.race.runs) >= MAX_OPEN_RUNS
        if closes_oldest:
            await self.race.remove(self.race.runs[0])
        pause = min(self.silence_s * 2**self.asked, MAX_PAUSE_S)
        self.asked += 1
        self.race.add(EventRun(self.server, self.successor_events(), is_successor=True))
        self.ask_after(pause)
        self.log(
            "An engine is silent; the item is asked for again.",
            closes_oldest=closes_oldest,
            asks_again_in_s=pause,
        )

    async def successor_events(self) -> AsyncIterator[Event]:
        """Yield the events of a further run, which the engine may not take now."""
        try:
            async with contextlib.aclosing(self.begin_run(self.after)) as events:
                async for event in events:
                    yield event
        except StreamRefused as refusal:
            if not refusal.is_busy:
                raise
            raise StreamWithheld(str(refusal)) from refusal

    async def handle_broken_run(self, run: EventRun, error: StreamBroken) -> None:
        """Wait for the other runs; raise the error if there is none to wait for."""
        if error.refused or not self.race.runs:
            raise error
        self.log(
            "A run of an item ended; another one is waited for.", reason=str(error)
        )

    def go_on_with(self, run: EventRun, closed: list[EventRun]) -> None:
        """Log which run goes on after a silence."""
        if self.asked:
            self.log("An item goes on after a silence.", by_new_run=run.is_successor)

    def log(self, message: str, **fields) -> None:
        """Log a decision on an item whose engine is silent."""
        logs.event(
            log,
            message,
            item=self.name,
            server=self.server.id,
            events=self.after,
            silent_s=self.silent_s,
            asked=self.asked,
            open_runs=len(self.race.runs),
            **fields,
        )
