"""Stream of one sample, which goes on at another backend server if it stalls.

A backend server that is silent may still go on, so its stream stays open until the one
that was requested elsewhere has the next event.
"""

import contextlib
import json
import math
from collections.abc import AsyncIterator, Awaitable, Callable

import attrs

from gypsumshift import logs
from gypsumshift.attemptresults import StreamedAnswer
from gypsumshift.dialects import Dialect
from gypsumshift.eventrace import EventRun, RacedStream
from gypsumshift.eventstream import StreamBroken
from gypsumshift.generated.messages import Span
from gypsumshift.peerconnection import PeerConnectionError

__all__ = ["CompletionEvent", "SampleStream"]

# Seconds without an event after which a stream is requested elsewhere, too.
STALL_TIMEOUT_S = 2.0

log = logs.logger("sampling")


class UnreadableEvent(Exception):
    """The engine sent data that is not an event of a completion stream."""


@attrs.frozen
class CompletionEvent:
    """One event of a completion stream.

    Attributes
    ----------
    text : str
    token_ids : list of int
    prompt_ids : list of int
        Token ids of the prompt; empty unless the event reports them.
    finish_reason : str
        Empty unless this is the last event.
    version : int or None
        Weight version that generated the tokens; None if not reported.
    """

    text: str = ""
    token_ids: list[int] = attrs.field(factory=list)
    prompt_ids: list[int] = attrs.field(factory=list)
    finish_reason: str = ""
    version: int | None = None


class SampleStream(RacedStream):
    """Events of a sample, as `CompletionEvent`; `StreamBroken` once no run is open.

    Parameters
    ----------
    streamed : StreamedAnswer
    trainer : str
        Name of the trainer, for logs.
    dialect : Dialect
    send_successor : callable or None
        Sends the request for the remaining tokens, given the sidecar to avoid, and
        returns the dispatcher's result; None if the sample may not move.

    Attributes
    ----------
    answer : StreamedAnswer
        Of the run that had the last event.
    moved : int
        Number of times that the stream has gone on elsewhere.
    """

    def __init__(
        self,
        streamed: StreamedAnswer,
        trainer: str,
        dialect: Dialect,
        send_successor: Callable[[str], Awaitable] | None,
    ):
        super().__init__(STALL_TIMEOUT_S)
        self.answer = streamed
        self.trainer = trainer
        self.dialect = dialect
        self.send_successor = send_successor
        self.moved = 0
        self.answers: dict[EventRun, StreamedAnswer] = {}
        run = EventRun(streamed.sidecar, self.read_events(streamed))
        self.answers[run] = streamed
        self.race.add(run)

    @property
    def spans(self) -> list[Span]:
        """Weight versions that the sidecar reported; complete once it has ended."""
        return self.answer.spans

    @property
    def sidecar(self) -> str:
        """Name of the sidecar of the run that had the last event."""
        return self.answer.sidecar

    async def ask(self) -> None:
        """Request the remaining tokens elsewhere, unless that was done."""
        self.ask_after(math.inf)
        if self.send_successor is None or len(self.race.runs) > 1:
            return
        self.asked += 1
        run = EventRun("", self.successor_events(), is_successor=True)
        self.race.add(run)
        self.log("The stream of a sample stalls; it is requested elsewhere, too.")

    async def successor_events(self) -> AsyncIterator[CompletionEvent]:
        """Yield the events of the stream that is requested elsewhere."""
        result = await self.send_successor(self.sidecar)
        if not isinstance(result, StreamedAnswer):
            raise StreamBroken(f"no stream elsewhere: {type(result).__name__}")
        run = self.race.runs[-1]
        self.answers[run] = result
        async with contextlib.aclosing(self.read_events(result)) as events:
            async for event in events:
                yield event

    async def read_events(
        self, streamed: StreamedAnswer
    ) -> AsyncIterator[CompletionEvent]:
        """Yield the events of one answer."""
        incomplete = b""
        try:
            async with contextlib.aclosing(streamed.chunks) as chunks:
                async for data in chunks:
                    *lines, incomplete = (incomplete + data).split(b"\n")
                    for event in parse_events(lines, self.dialect):
                        yield event
        except (PeerConnectionError, UnreadableEvent) as error:
            raise StreamBroken(str(error)) from error

    async def handle_broken_run(self, run: EventRun, error: StreamBroken) -> None:
        """Wait for the other run; raise the error if there is none.

        Where the request elsewhere failed, it is sent again after another stall.
        """
        self.answers.pop(run, None)
        if not self.race.runs:
            raise error
        if run.is_successor:
            self.ask_after(STALL_TIMEOUT_S)

    def go_on_with(self, run: EventRun, closed: list[EventRun]) -> None:
        """Record which run has the next event."""
        if run.is_successor:
            self.moved += 1
            self.answer = self.answers[run]
        if self.asked:
            self.log("A sample goes on after a stall.", moved=run.is_successor)
        for other in closed:
            self.answers.pop(other, None)

    def log(self, message: str, **fields) -> None:
        """Log a decision on a stream that stalls."""
        logs.event(
            log,
            message,
            trainer=self.trainer,
            sidecar=self.sidecar,
            silent_s=self.silent_s,
            **fields,
        )


def parse_events(lines: list[bytes], dialect: Dialect) -> list[CompletionEvent]:
    """Parse the events in lines of a completion stream."""
    events = []
    for line in lines:
        data = line.removeprefix(b"data:").strip()
        if line.startswith(b"data:") and data != b"[DONE]":
            events.append(parse_event(data, dialect))
    return events


def parse_event(data: bytes, dialect: Dialect) -> CompletionEvent:
    """Parse one event of a completion stream."""
    try:
        value = json.loads(data)
        choice = (value.get("choices") or [{}])[0]
        return CompletionEvent(
            text=choice.get("text") or "",
            token_ids=choice.get("token_ids") or [],
            prompt_ids=choice.get("prompt_token_ids") or [],
            finish_reason=choice.get("finish_reason") or "",
            version=dialect.read_event_tokens(value).version,
        )
    except (ValueError, TypeError, AttributeError, IndexError) as error:
        raise UnreadableEvent(
            f"completion event of {len(data)} bytes cannot be parsed: {error}"
        ) from error
