"""Answers: how one attempt at a sidecar ends, as an entry takes it."""

from collections.abc import AsyncIterator

import attrs

from gypsumshift.clock import Clock
from gypsumshift.generated.messages import Body, Cancel, End, Head, Load, Span
from gypsumshift.links import Exchanges, Link, LinkError
from gypsumshift.members import Known
from gypsumshift.outcomes import Unknown
from gypsumshift.routing import Router

__all__ = ["Answer", "Lost", "Refusal", "Streamed", "Whole"]

WHOLE_LIMIT = 16 * 1024 * 1024
EVENT_STREAM = b"text/event-stream"


@attrs.frozen
class Whole:
    """A whole answer of a backend server.

    Attributes
    ----------
    head : Head
    body : bytes
    backend : str
    spans : list of Span
    """

    head: Head
    body: bytes
    backend: str
    spans: list[Span] = attrs.field(factory=list)


@attrs.define
class Streamed:
    """A streamed answer under way; its end may yet fail.

    Attributes
    ----------
    head : Head
    chunks : async iterator of bytes
        Raises `LinkError` where the stream breaks.
    backend, sidecar : str
    answer : Answer
        Takes it; knows whether its backend server ended.
    spans : list of Span
        Complete once the chunks have ended.
    """

    head: Head
    chunks: AsyncIterator[bytes]
    backend: str
    sidecar: str
    answer: "Answer"
    spans: list[Span] = attrs.field(factory=list)


@attrs.frozen
class Refusal:
    """A sidecar's true "not run".

    Attributes
    ----------
    reason : str
    retry_after : float
        Seconds.
    busy : bool
        Whether it would only have had to wait.
    """

    reason: str
    retry_after: float
    busy: bool = False


@attrs.frozen
class Lost:
    """An attempt that may have run.

    Attributes
    ----------
    reason : str
    attempt : str
    ended : bool
        Whether its backend server ended under it.
    """

    reason: str
    attempt: str
    ended: bool = False


@attrs.define
class Answer:
    """Takes the answer of one attempt.

    Attributes
    ----------
    router : Router
    clock : Clock
    known : Known
        The sidecar.
    attempt : str
    link : Link
    exchange : Exchanges
    ended : bool
        Whether the backend server ended under the attempt.
    """

    router: Router
    clock: Clock
    known: Known
    attempt: str
    link: Link
    exchange: Exchanges
    ended: bool = False

    async def take(self, began: float) -> Whole | Streamed | Refusal | Lost | Unknown:
        """Return the answer, or how the attempt failed."""
        streaming = False
        try:
            body = await self.exchange.receive()
            if body.whole is not None:
                self.note_answer(began)
                return self.end(body.whole.head, body.whole.body, body.whole.end)
            if body.head is None:
                return self.failure(body)
            self.note_answer(began)
            if is_stream(body.head):
                streaming = True
                return self.streamed(body.head)
            return await self.collect(body.head)
        finally:
            if not streaming:
                self.exchange.close()

    def note_answer(self, began: float) -> None:
        """Tell the router that the sidecar answered."""
        self.router.answered(self.known, self.clock.monotonic() - began)

    def end(self, head: Head, body: bytes, end: End) -> Whole:
        """Return a whole answer."""
        self.take_load(end.load)
        return Whole(head, body, self.known.member.backend, end.spans)

    def failure(self, body: Body) -> Refusal | Lost:
        """Return how an attempt failed."""
        if body.refused is not None:
            self.take_load(body.refused.load)
            refused = body.refused
            wait = refused.retry_after_ms / 1000
            return Refusal(refused.reason, wait, bool(refused.busy))
        self.router.failed(self.known)
        self.note_end(body)
        reason = body.broken.reason if body.broken else "an answer out of order"
        return Lost(reason, self.attempt, self.ended)

    def note_end(self, body: Body) -> None:
        """Take from a broken answer whether the backend server is gone.

        Its sidecar asked it behind the break.
        """
        load = body.broken.load if body.broken else None
        self.ended = load is not None and not load.healthy

    async def collect(self, head: Head):
        """Collect a long body up to its end; a broken one is no answer."""
        parts = bytearray()
        while True:
            body = await self.exchange.receive()
            if body.end is not None:
                return self.end(head, bytes(parts), body.end)
            if body.chunk is None:
                return self.failure(body)
            parts += body.chunk.data
            if len(parts) > WHOLE_LIMIT:
                return Unknown(f"the answer exceeds {WHOLE_LIMIT} bytes")

    def streamed(self, head: Head) -> Streamed:
        """Return a stream whose chunks are read by whoever takes it."""
        spans: list[Span] = []
        member = self.known.member
        chunks = self.chunks(spans)
        return Streamed(head, chunks, member.backend, member.name, self, spans)

    async def chunks(self, spans: list[Span]):
        """Yield a stream's chunks; fill in the spans at its end."""
        ended = False
        try:
            while True:
                body = await self.exchange.receive()
                if body.chunk is not None:
                    yield body.chunk.data
                    continue
                ended = True
                if body.end is None:
                    self.router.failed(self.known)
                    self.note_end(body)
                    raise LinkError("the backend server broke the stream", True)
                spans.extend(body.end.spans)
                self.take_load(body.end.load)
                return
        finally:
            if not ended:
                self.link.tell(Body(cancel=Cancel(self.attempt)))
            self.exchange.close()
            self.router.ended(self.known)

    def take_load(self, load: Load) -> None:
        """Take the load report that came along."""
        self.router.view.report(self.known, load)
        self.router.reported(self.known)


def is_stream(head: Head) -> bool:
    """Tell whether an answer is a stream of events."""
    for header in head.headers:
        if header.name.lower() == b"content-type":
            return header.value.startswith(EVENT_STREAM)
    return False
