"""Answers: how one attempt at a sidecar ends, as an entry takes it."""

from collections.abc import AsyncIterator

import attrs

from gypsumshift.clock import Clock
from gypsumshift.generated.messages import Body, Cancel, End, Head, Load, Span
from gypsumshift.membership import Peer
from gypsumshift.outcomes import Unknown
from gypsumshift.peerconnection import PeerConnection, PeerConnectionError, PendingCall
from gypsumshift.routing import Router

__all__ = ["AnswerReader", "LostAttempt", "Refusal", "StreamedAnswer", "CompleteAnswer"]

MAX_BODY_BYTES = 16 * 1024 * 1024
EVENT_STREAM = b"text/event-stream"


@attrs.frozen
class CompleteAnswer:
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
class StreamedAnswer:
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
    reader: "AnswerReader"
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
class LostAttempt:
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
    server_ended: bool = False


@attrs.define
class AnswerReader:
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
    sidecar: Peer
    attempt: str
    connection: PeerConnection
    call: PendingCall
    server_ended: bool = False

    async def read(
        self, began: float
    ) -> CompleteAnswer | StreamedAnswer | Refusal | LostAttempt | Unknown:
        """Return the answer, or how the attempt failed."""
        streaming = False
        try:
            body = await self.call.receive()
            if body.whole is not None:
                self.record_answer(began)
                return self.complete_answer(
                    body.whole.head, body.whole.body, body.whole.end
                )
            if body.head is None:
                return self.read_failure(body)
            self.record_answer(began)
            if is_stream(body.head):
                streaming = True
                return self.streamed_answer(body.head)
            return await self.read_body(body.head)
        finally:
            if not streaming:
                self.call.close()

    def record_answer(self, began: float) -> None:
        """Tell the router that the sidecar answered."""
        self.router.record_answer(self.sidecar, self.clock.monotonic() - began)

    def complete_answer(self, head: Head, body: bytes, end: End) -> CompleteAnswer:
        """Return a whole answer."""
        self.record_load(end.load)
        return CompleteAnswer(head, body, self.sidecar.member.backend, end.spans)

    def read_failure(self, body: Body) -> Refusal | LostAttempt:
        """Return how an attempt failed."""
        if body.refused is not None:
            self.record_load(body.refused.load)
            refused = body.refused
            wait = refused.retry_after_ms / 1000
            return Refusal(refused.reason, wait, bool(refused.busy))
        self.router.record_failure(self.sidecar)
        self.record_server_end(body)
        reason = body.broken.reason if body.broken else "an answer out of order"
        return LostAttempt(reason, self.attempt, self.server_ended)

    def record_server_end(self, body: Body) -> None:
        """Take from a broken answer whether the backend server is gone.

        Its sidecar asked it behind the break.
        """
        load = body.broken.load if body.broken else None
        self.server_ended = load is not None and not load.healthy

    async def read_body(self, head: Head):
        """Collect a long body up to its end; a broken one is no answer."""
        parts = bytearray()
        while True:
            body = await self.call.receive()
            if body.end is not None:
                return self.complete_answer(head, bytes(parts), body.end)
            if body.chunk is None:
                return self.read_failure(body)
            parts += body.chunk.data
            if len(parts) > MAX_BODY_BYTES:
                return Unknown(f"the answer exceeds {MAX_BODY_BYTES} bytes")

    def streamed_answer(self, head: Head) -> StreamedAnswer:
        """Return a stream whose chunks are read by whoever takes it."""
        spans: list[Span] = []
        member = self.sidecar.member
        chunks = self.read_chunks(spans)
        return StreamedAnswer(head, chunks, member.backend, member.name, self, spans)

    async def read_chunks(self, spans: list[Span]):
        """Yield a stream's chunks; fill in the spans at its end."""
        ended = False
        try:
            while True:
                body = await self.call.receive()
                if body.chunk is not None:
                    yield body.chunk.data
                    continue
                ended = True
                if body.end is None:
                    self.router.record_failure(self.sidecar)
                    self.record_server_end(body)
                    raise PeerConnectionError(
                        "the backend server broke the stream", True
                    )
                spans.extend(body.end.spans)
                self.record_load(body.end.load)
                return
        finally:
            if not ended:
                self.connection.send_oneway(Body(cancel=Cancel(self.attempt)))
            self.call.close()
            self.router.record_ended(self.sidecar)

    def record_load(self, load: Load) -> None:
        """Take the load report that came along."""
        self.router.membership.record_load(self.sidecar, load)
        self.router.record_report(self.sidecar)


def is_stream(head: Head) -> bool:
    """Tell whether an answer is a stream of events."""
    for header in head.headers:
        if header.name.lower() == b"content-type":
            return header.value.startswith(EVENT_STREAM)
    return False
