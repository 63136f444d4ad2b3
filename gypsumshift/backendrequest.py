"""Backend request: one request that a sidecar sends to its backend server."""

import json

import attrs

from gypsumshift.dialects import Dialect
from gypsumshift.generated.messages import Head, Header, Span, Start
from gypsumshift.httpclient import Exchange, Fetcher, FetchError
from gypsumshift.labels import Labeller

__all__ = [
    "BackendResponse",
    "StreamVersionReader",
    "send_to_backend",
    "end_to_end_headers",
    "distinct_versions",
]

MAX_EVENT_BYTES = 1024 * 1024
UNFORWARDED_HEADERS = {
    b"connection",
    b"content-length",
    b"host",
    b"keep-alive",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"authorization",
    b"expect",
}


def end_to_end_headers(headers) -> list[tuple[bytes, bytes]]:
    """Return the header fields to forward from one connection to another."""
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in UNFORWARDED_HEADERS
    ]


@attrs.define
class StreamVersionReader:
    """Labels the tokens of a streamed response with weight versions.

    Attributes
    ----------
    dialect : Dialect
    labeller : Labeller
    incomplete : bytearray
        Start of a line that is not complete yet.
    """

    dialect: Dialect
    labeller: Labeller
    incomplete: bytearray = attrs.field(factory=bytearray)

    def feed(self, data: bytes) -> None:
        """Process some bytes of the stream."""
        self.incomplete += data
        lines = []
        if b"\n" in data:
            *lines, last = bytes(self.incomplete).split(b"\n")
            self.incomplete = bytearray(last)
        if len(self.incomplete) > MAX_EVENT_BYTES:
            raise FetchError(f"event of a stream exceeds {MAX_EVENT_BYTES} bytes", True)
        for line in lines:
            if line.startswith(b"data:"):
                self.add_event(line[5:].strip())

    def add_event(self, data: bytes) -> None:
        """Process the data of one event."""
        if data == b"[DONE]":
            return
        try:
            piece = self.dialect.read_event_tokens(json.loads(data))
        except (ValueError, AttributeError, TypeError):
            self.labeller.bare = True
            return
        self.labeller.add_tokens(piece.tokens, piece.version)

    @property
    def needs_final_version(self) -> bool:
        """Whether the version after the stream must be requested from the engine."""
        return self.labeller.bare

    def spans(self, after: int | None) -> list[Span]:
        """Return the spans of a finished stream; none if a version is uncertain."""
        return self.labeller.final_spans(after) or []


@attrs.define
class BodyVersionReader:
    """Determines the weight versions that a response that is no stream may come from.

    Attributes
    ----------
    dialect : Dialect
    before : int or None
        Version that the engine reported last before the response.
    body : bytearray
    """

    dialect: Dialect
    before: int | None
    body: bytearray = attrs.field(factory=bytearray)
    needs_final_version = False

    def feed(self, data: bytes) -> None:
        """Process some bytes of the response."""
        if len(self.body) <= MAX_EVENT_BYTES:
            self.body += data

    def spans(self, after: int | None) -> list[Span]:
        """Return empty spans with the versions; none if no version is reported."""
        try:
            version = self.dialect.read_event_tokens(json.loads(self.body)).version
        except (ValueError, AttributeError, TypeError):
            return []
        if version is None:
            return []
        # No sample is made of it: an extra version is harmless, a missing one is not.
        earlier = {self.before} - {None}
        return [Span(0, 0, each) for each in sorted(earlier | {version})]


@attrs.define
class BackendResponse:
    """Response of the backend server, whose body is still being received.

    Attributes
    ----------
    exchange : Exchange
    head : Head
    reader : StreamVersionReader or BodyVersionReader
        Determines the weight versions from the body.
    """

    exchange: Exchange
    head: Head
    reader: "StreamVersionReader | BodyVersionReader"

    @property
    def streams(self) -> bool:
        """Whether the response is a stream of events."""
        return isinstance(self.reader, StreamVersionReader)

    async def chunks(self):
        """Yield the body as it arrives, and pass it to the version reader."""
        async for data in self.exchange.chunks():
            self.reader.feed(data)
            yield data


async def send_to_backend(
    fetcher: Fetcher,
    address: tuple[str, int],
    start: Start,
    dialect: Dialect,
    before: int | None,
) -> BackendResponse:
    """Send a request to the backend server and read the head of its response.

    Parameters
    ----------
    fetcher : Fetcher
    address : (str, int)
    start : Start
    dialect : Dialect
    before : int or None
        Weight version that the engine reported last.

    Raises
    ------
    FetchError
        ``sent`` tells whether the request may have run.
    """
    headers = end_to_end_headers(
        (header.name, header.value) for header in start.headers
    )
    exchange = await fetcher.open(
        address,
        start.method,
        start.target,
        headers,
        start.body,
        fresh=not start.repeatable,
    )
    fields = end_to_end_headers(exchange.headers)
    head = Head(exchange.status, [Header(name, value) for name, value in fields])
    reader = BodyVersionReader(dialect, before)
    if (
        dict(exchange.headers)
        .get(b"content-type", b"")
        .startswith(b"text/event-stream")
    ):
        reader = StreamVersionReader(dialect, Labeller(before))
    return BackendResponse(exchange, head, reader)


def distinct_versions(spans: list[Span]) -> list[int]:
    """Return the weight versions of some spans in order, without duplicates."""
    return list(dict.fromkeys(span.version for span in spans))
