"""Relay of a resumable stream, which goes on at another server if its server can't.

A server that breaks the stream off is replaced at once. One that is silent may go on:
its run stays open while other servers are asked, and ends once another has the next
event. Where none takes the stream, the silent server is waited for.
"""

import contextlib
import math
from collections.abc import AsyncIterator

from gypsumshift import logs
from gypsumshift.eventrace import EventRun, RacedStream
from gypsumshift.eventstream import StreamBroken, event_field, iter_events
from gypsumshift.httpclient import Exchange
from gypsumshift.httpserver import ResponseAborted
from gypsumshift.serving.calls import Call
from gypsumshift.serving.directory import BackendServer
from gypsumshift.serving.streamopener import StreamOpener
from gypsumshift.serving.streamstate import RelayState

__all__ = ["ResumableRelay"]

# Time without an event after which another server is asked to go on with a stream.
# Callers give up after 2 s.
SILENCE_SECONDS = 1.2
# Pause before the same servers are asked again to go on with a silent stream. Each
# round doubles it, up to the maximum.
ROUND_PAUSE_SECONDS = 0.3
MAX_ROUND_PAUSE_SECONDS = 2.4

log = logs.logger("streams")


class ResumptionRefused(StreamBroken):
    """Raised if a server does not go on with a stream."""


class ResumableRelay(RacedStream):
    """Events of one resumable stream, as bytes.

    `ResponseAborted` is raised once all runs broke off and no other server goes on.

    Parameters
    ----------
    opener : StreamOpener
    state : RelayState
    exchange : Exchange
        Answer of the first server.
    server : BackendServer

    Attributes
    ----------
    rounds : int
        Rounds in which no server went on, since the last event.
    """

    def __init__(
        self,
        opener: StreamOpener,
        state: RelayState,
        exchange: Exchange,
        server: BackendServer,
    ):
        super().__init__(SILENCE_SECONDS)
        self.opener = opener
        self.state = state
        self.rounds = 0
        state.last_event = call_header(state.call, opener.sender.names.last_event)
        state.from_start = not state.last_event
        self.race.add(EventRun(server, answer_events(exchange)))

    def record_sent(self, block: bytes) -> None:
        """Record that the caller was sent an event."""
        self.state.last_event = event_field(block, "id") or self.state.last_event

    async def ask(self) -> None:
        """Ask another server to go on; the runs that are open stay so."""
        if not self.race.runs:
            await self.opener.wait_for_runs(self.state)
        server = self.opener.begin_run(self.state)
        if server is None:
            self.end_round()
            return
        if self.race.runs:
            self.log("A stream is silent; another server is asked.", asked=server.id)
        self.asked += 1
        events = self.resumed_events(server, self.state.last_event)
        self.race.add(EventRun(server, events, is_successor=True))
        self.ask_after(SILENCE_SECONDS)

    async def resumed_events(
        self, server: BackendServer, after: str
    ) -> AsyncIterator[bytes]:
        """Yield the events after a number, of a server that is asked to go on."""
        exchange = await self.opener.open_at(self.state, server, after)
        if exchange is None:
            raise ResumptionRefused(f"server {server.id} does not go on")
        async with contextlib.aclosing(answer_events(exchange)) as events:
            async for block in events:
                yield block

    def end_round(self) -> None:
        """Wait for the runs that are open, since no further server can be asked.

        Raises
        ------
        ResponseAborted
            No run is open.
        """
        outcome = self.opener.not_opened_outcome(self.state)
        if not self.race.runs:
            raise ResponseAborted(
                f"stream cannot be resumed after event {self.state.last_event}: "
                f"{outcome.reason}"
            )
        pause = min(ROUND_PAUSE_SECONDS * 2**self.rounds, MAX_ROUND_PAUSE_SECONDS)
        self.rounds += 1
        self.state.refused_by.clear()
        exhausted = self.state.exhausted
        self.ask_after(math.inf if exhausted else pause)
        self.log(
            "A stream is silent, and no other server goes on; it is waited for.",
            reason="all attempts are used" if exhausted else outcome.reason,
            asks_again_in_s=None if exhausted else pause,
        )

    async def handle_broken_run(self, run: EventRun, error: StreamBroken) -> None:
        """Record that a run broke off; another server is asked at once."""
        if not isinstance(error, ResumptionRefused):
            gone = await self.opener.sender.is_gone(error, run.server)
            self.opener.handle_broken_stream(
                self.state, run.server, str(error), True, gone
            )
        self.ask_after(0)

    def go_on_with(self, run: EventRun, closed: list[EventRun]) -> None:
        """Record which run has the next event, and end the account of the others."""
        self.rounds = 0
        if self.asked:
            outcome = "moved" if run.is_successor else "resumed"
            self.opener.sender.metrics.count("silent_streams", outcome=outcome)
            self.log(
                "A stream goes on after a silence or a break.",
                goes_on_at=run.server.id,
                moved=run.is_successor,
                asked=self.asked,
            )
        if run.is_successor:
            self.state.from_start = not self.state.last_event
        for other in closed:
            self.opener.abandon_run(self.state, other.server)

    def log(self, message: str, **fields) -> None:
        """Log a decision on a stream that is silent or broke off."""
        logs.event(
            log,
            message,
            request=self.state.call.id,
            fingerprint=self.state.call.fingerprint,
            servers=[run.server.id for run in self.race.runs],
            after=self.state.last_event,
            silent_s=self.silent_s,
            **fields,
        )


async def answer_events(exchange: Exchange) -> AsyncIterator[bytes]:
    """Yield the events of an answer, whose connection is closed in the end."""
    with contextlib.closing(exchange):
        async for block in iter_events(exchange):
            yield block


def call_header(call: Call, name: str) -> str:
    """Return the value of a header field of a call; empty if missing."""
    return next((value for key, value in call.headers if key == name), "")
