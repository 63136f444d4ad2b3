"""Results of one attempt at a sidecar, and the reader that an entry gets them from."""

import asyncio
from collections.abc import AsyncIterator

import attrs

from gypsumshift.clock import Clock
from gypsumshift.generated.messages import Body, Cancel, End, Head, Load, Span
from gypsumshift.httpconnection import is_final_status
from gypsumshift.membership import Peer
from gypsumshift.outcomes import Unknown
from gypsumshift.peerconnection import PeerConnection, PeerConnectionError, PendingCall
from gypsumshift.routing import Router

__all__ = ["AnswerReader", "LostAttempt", "Refusal", "StreamedAnswer", "CompleteAnswer"]

# Limit of an answer that is not a stream.
MAX_BODY_BYTES = 16 * 1024 * 1024
EVENT_STREAM = b"text/event-stream"


@attrs.frozen
class CompleteAnswer:
    """Complete answer of a backend server.

    Attributes
    ----------
    head : Head
    body : bytes
    backend : str
        Name of the backend server.
    spans : list of Span
        Weight versions of its tokens.
    """

    head: Head
    body: bytes
    backend: str
    spans: list[Span] = attrs.field(factory=list)


@attrs.define
class StreamedAnswer:
    """Streamed answer in progress, which may still fail.

    Attributes
    ----------
    head : Head
    chunks : async iterator of bytes
        Raises `PeerConnectionError` if the stream breaks.
    backend, sidecar : str
        Names of the backend server and of its sidecar.
    reader : AnswerReader
        Reads the chunks and notes whether the backend server ended.
    spans : list of Span
        Weight versions of its tokens; complete once the chunks have ended.
    """

    head: Head
    chunks: AsyncIterator[bytes]
    backend: str
    sidecar: str
    reader: "AnswerReader"
    spans: list[Span] = attrs.field(factory=list)


@attrs.frozen
class Refusal:
    """Result of an attempt that has not run and never will.

    Attributes
    ----------
    reason : str
    retry_after : float
        Seconds until a retry makes sense.
    busy : bool
        Whether the sidecar refused only because the attempt would have had to wait.
    """

    reason: str
    retry_after: float
    busy: bool = False


@attrs.frozen
class LostAttempt:
    """Result of an attempt that failed and may have run.

    Attributes
    ----------
    reason : str
    attempt : str
        Name of the attempt.
    server_ended : bool
        Whether the backend server ended while it ran the attempt.
    """

    reason: str
    attempt: str
    server_ended: bool = False


@attrs.define
class AnswerReader:
    """Reads the answer to one attempt and reports it to the router.

    Attributes
    ----------
    router : Router
    clock : Clock
    sidecar : Peer
    attempt : str
        Name of the attempt.
    connection : PeerConnection
    call : PendingCall
        Call that started the attempt.
    deadline : float
        Monotonic time by which a stream has to be complete, in seconds.
    server_ended : bool
        Whether the backend server ended while it ran the attempt.
    """

    router: Router
    clock: Clock
    sidecar: Peer
    attempt: str
    connection: PeerConnection
    call: PendingCall
    deadline: float
    server_ended: bool = False

    async def read(
        self, began: float
    ) -> CompleteAnswer | StreamedAnswer | Refusal | LostAttempt | Unknown:
        """Read and return the answer, or how the attempt failed.

        Parameters
        ----------
        began : float
            When the attempt was sent, by the monotonic clock, in seconds.
        """
        streaming = False
        try:
            body = await self.call.receive()
            head = body.whole.head if body.whole is not None else body.head
            if head is not None and not is_final_status(head.status):
                return self.reject_head(head)
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

    def reject_head(self, head: Head) -> LostAttempt:
        """Return the failure of an answer whose status is none."""
        self.router.record_failure(self.sidecar)
        reason = f"the sidecar sent {head.status}, which is no HTTP status"
        return LostAttempt(reason, self.attempt)

    def record_answer(self, began: float) -> None:
        """Report to the router that the sidecar answered, and how soon."""
        self.router.record_answer(self.sidecar, self.clock.monotonic() - began)

    def complete_answer(self, head: Head, body: bytes, end: End) -> CompleteAnswer:
        """Return a complete answer and record the load report at its end."""
        self.record_load(end.load)
        return CompleteAnswer(head, body, self.sidecar.member.backend, end.spans)

    def read_failure(self, body: Body) -> Refusal | LostAttempt:
        """Return the failure in a message, and report it to the router."""
        if body.refused is not None:
            self.record_load(body.refused.load)
            refused = body.refused
            wait = refused.retry_after_ms / 1000
            return Refusal(refused.reason, wait, bool(refused.busy))
        self.router.record_failure(self.sidecar)
        self.record_server_end(body)
        reason = (
            body.broken.reason
            if body.broken
            else "the sidecar sent an unexpected message"
        )
        return LostAttempt(reason, self.attempt, self.server_ended)

    def record_server_end(self, body: Body) -> None:
        """Note from a broken answer whether the backend server has ended.

        The sidecar requests the server's state after the answer broke, and sends it in
        the load report.
        """
        load = body.broken.load if body.broken else None
        self.server_ended = load is not None and not load.healthy

    async def read_body(self, head: Head):
        """Read a body up to its end; one that breaks off is a failure."""
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
        """Return a streamed answer whose chunks the caller reads."""
        spans: list[Span] = []
        member = self.sidecar.member
        chunks = self.read_chunks(spans)
        return StreamedAnswer(head, chunks, member.backend, member.name, self, spans)

    async def read_chunks(self, spans: list[Span]):
        """Yield a stream's chunks and fill in the spans at its end.

        A stream that the caller leaves before its end is cancelled at the sidecar.
        """
        finished = False
        try:
            while True:
                body = await self.receive_in_time()
                if body.chunk is not None:
                    yield body.chunk.data
                    continue
                finished = True
                if body.end is None:
                    self.router.record_failure(self.sidecar)
                    self.record_server_end(body)
                    raise PeerConnectionError(
                        "the backend server broke off the stream", True
                    )
                spans.extend(body.end.spans)
                self.record_load(body.end.load)
                return
        finally:
            if not finished:
                self.connection.send_oneway(Body(cancel=Cancel(self.attempt)))
            self.call.close()
            self.router.record_ended(self.sidecar)

    async def receive_in_time(self) -> Body:
        """Return the next message of a stream, which its sidecar may never send."""
        left = max(self.deadline - self.clock.monotonic(), 0.0)
        try:
            async with asyncio.timeout(left):
                return await self.call.receive()
        except TimeoutError as error:
            self.router.record_failure(self.sidecar)
            reason = "the stream is not complete in time"
            raise PeerConnectionError(reason, True) from error

    def record_load(self, load: Load) -> None:
        """Record a load report in the membership and the router."""
        self.router.membership.record_load(self.sidecar, load)
        self.router.record_report(self.sidecar)


def is_stream(head: Head) -> bool:
    """Return whether an answer is a stream of events."""
    for header in head.headers:
        if header.name.lower() == b"content-type":
            return header.value.startswith(EVENT_STREAM)
    return False
