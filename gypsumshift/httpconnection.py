"""HTTP connections of the client, and exchanges on them, based on h11."""

import asyncio
import select
from collections.abc import Iterable

import h11

from gypsumshift.bytebudget import NO_BUDGET, ByteKind, Holding
from gypsumshift.flowcontrol import discard_on_close, parts
from gypsumshift.turngate import (
    LARGE_HEAD_BYTES,
    PIECES_PER_TURN,
    SMALL_PIECE_BYTES,
    TurnsExhausted,
)
from gypsumshift.wholenumbers import parse_whole_number

__all__ = [
    "AnswerTooLarge",
    "ClientConnection",
    "Exchange",
    "FetchError",
    "RequestWithheld",
    "encode_fields",
    "is_final_status",
]

READ_SIZE_BYTES = 64 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024
# Part of a request's body that is sent at once.
PART_BYTES = 64 * 1024
# Statuses of final responses (RFC 9110, 15); any other is no status.
FINAL_STATUSES = range(200, 600)
# Major version of HTTP whose messages are read here, as it begins a version.
HTTP_MAJOR_VERSION = b"1."
# Maximum number of interim responses (status 1xx) before a response.
MAX_INTERIM_RESPONSES = 16
# Events by which the kernel reports that the other side has closed a connection.
CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class FetchError(Exception):
    """Raised if an HTTP exchange failed.

    Parameters
    ----------
    reason : str
        What failed, for people.
    sent : bool
        Whether any byte of the request may have reached the server.
    reused : bool
        Whether a reused idle connection broke before the response: the server may
        have closed it before the request arrived.
    closed : bool
        Whether the server closed the connection, as a process does with all of its
        connections when it ends. False if it does not answer or sends invalid data.
    refused : bool
        Whether the connection was refused because no process listens at the address.
    """

    def __init__(
        self,
        reason: str,
        sent: bool,
        reused: bool = False,
        closed: bool = False,
        refused: bool = False,
    ):
        super().__init__(reason)
        self.sent = sent
        self.reused = reused
        self.closed = closed
        self.refused = refused


class RequestWithheld(FetchError):
    """Raised if the caller's check right before sending did not allow the request."""

    def __init__(self):
        super().__init__("request not sent, it is no longer allowed", False)


class AnswerTooLarge(FetchError):
    """Raised if a response never fits into the memory budget of this process.

    Parameters
    ----------
    size : int
        Bytes that did not fit.
    """

    def __init__(self, size: int):
        super().__init__("the response exceeds this process's memory budget", True)
        self.size = size


class ClientConnection:
    """One connection of the client with its HTTP state.

    Parameters
    ----------
    reader : asyncio.StreamReader
    writer : asyncio.StreamWriter
    reset_on_close : bool
        Whether closing discards unsent data and resets the connection.
    read_size : int
        Maximum number of bytes that are read at once.

    Attributes
    ----------
    state : h11.Connection
    idle_until : float
        Time until which an idle connection may be reused, by the clock of the loop.
    repeatable : bool
        Whether the request on it may be repeated.
    opened_at, heard_at : float
        When it was opened and when data last arrived, by the clock of the loop.
    """

    def __init__(
        self,
        reader,
        writer,
        reset_on_close: bool = False,
        read_size: int = READ_SIZE_BYTES,
    ):
        self.read_size = read_size
        self.reader = reader
        self.writer = writer
        if reset_on_close:
            discard_on_close(writer)
        self.state = h11.Connection(h11.CLIENT)
        self.idle_until = 0.0
        self.repeatable = True
        self.opened_at = self.heard_at = asyncio.get_running_loop().time()

    async def send_body(self, head: bytes, body: bytes) -> None:
        """Send the head of a request, and a body of the length that it declares.

        A large body is sent in parts, so that the connection does not hold a copy.
        """
        data = head
        for part in parts(body, PART_BYTES):
            data += self.state.send(h11.Data(part))
            self.writer.write(data)
            await self.writer.drain()
            data = b""
        data += self.state.send(h11.EndOfMessage())
        self.writer.write(data)
        await self.writer.drain()

    async def read(self) -> bytes:
        """Return the next data that arrives; nothing at the end of the stream."""
        data = await self.reader.read(self.read_size)
        if data:
            self.heard_at = asyncio.get_running_loop().time()
        return data

    def is_open(self) -> bool:
        """Return whether neither side has closed the connection.

        The kernel is asked, since the reader does not see the end of the stream while
        it is paused or data before the end is unread.
        """
        if self.reader.at_eof() or self.writer.is_closing():
            return False
        poller = select.poll()
        poller.register(self.writer.get_extra_info("socket").fileno(), CLOSED_EVENTS)
        return not poller.poll(0)

    def is_reusable(self) -> bool:
        """Return whether another exchange may follow on this connection."""
        done = self.state.our_state is h11.DONE and self.state.their_state is h11.DONE
        return done and not self.state.trailing_data[0] and self.has_nothing_unread()

    def has_nothing_unread(self) -> bool:
        """Return whether neither data nor the end of the stream is waiting."""
        buffered = getattr(self.reader, "_buffer", b"")
        return not buffered and not self.reader.at_eof()

    def close(self) -> None:
        """Close the connection at once."""
        self.writer.transport.abort()


class Exchange:
    """One request and its response, which is read as it arrives.

    Parameters
    ----------
    fetcher : Fetcher
    address : (str, int)
    connection : ClientConnection

    Attributes
    ----------
    status : int
    headers : list of (bytes, bytes)
    complete : bool
        Whether the body was read up to its end.
    reused : bool
        Whether the connection had served an exchange before.
    has_body : bool
        Whether the response may have a body; False for the method HEAD.
    keeps_connection : bool
        Whether other exchanges may follow on the connection.
    unparsed : int
        Bytes received since the parser's last event.
    ahead : h11 event, FetchError or None
        What follows the pieces that were joined; None if that has not arrived.
    owes_turn : bool
        Whether more small pieces have arrived than are parsed in one turn of the event
        loop.
    """

    def __init__(self, fetcher, address, connection):
        self.fetcher = fetcher
        self.address = address
        self.connection = connection
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.complete = False
        self.reused = False
        self.has_body = True
        self.keeps_connection = True
        self.unparsed = 0
        self.ahead = None
        self.owes_turn = False

    def header(self, name: bytes) -> str:
        """Return a header field of the response by its lower-case name, or ``""``."""
        values = (v for k, v in self.headers if k == name)
        return next(values, b"").decode("latin-1")

    async def next_event(self):
        """Return the next h11 event of the response."""
        if self.ahead is not None:
            event, self.ahead = self.ahead, None
            if isinstance(event, FetchError):
                raise event
            return event
        data = None
        try:
            while True:
                if not self.status and self.unparsed > LARGE_HEAD_BYTES:
                    await self.take_turn()
                event = self.connection.state.next_event()
                if event is not h11.NEED_DATA:
                    self.unparsed = 0
                    return event
                data = await self.connection.read()
                self.unparsed += len(data)
                self.connection.state.receive_data(data)
        except h11.RemoteProtocolError as error:
            reason = f"invalid response: {error}"
            raise FetchError(reason, True, closed=data == b"") from error
        except ConnectionError as error:
            reason = f"connection broke during the response: {error}"
            raise FetchError(reason, True, closed=True) from error

    async def read_head(self) -> None:
        """Read the status and header fields of the response."""
        event = await self.next_event()
        interim = 0
        while isinstance(event, h11.InformationalResponse):
            interim += 1
            if interim > MAX_INTERIM_RESPONSES:
                raise FetchError("interim responses without end", True)
            event = await self.next_event()
        if not isinstance(event, h11.Response):
            reason = "connection closed before the response"
            raise FetchError(reason, True, closed=True)
        check_status_line(event)
        self.status = event.status_code
        self.headers = list(event.headers)

    async def take_turn(self) -> None:
        """Wait for a turn of the event loop in which to parse what has arrived.

        A server may send a head with thousands of fields, or a body in chunks of one
        byte, which take the event loop far longer than their size suggests.
        """
        started = asyncio.get_running_loop().time()
        try:
            async with self.fetcher.gate.turn(started):
                pass
        except TurnsExhausted as error:
            reason = "the response consists of too many small pieces"
            raise FetchError(reason, True) from error

    async def chunks(self):
        """Yield the body as it arrives; raise `FetchError` if it is incomplete.

        Small pieces that have arrived together are joined.
        """
        while True:
            if self.owes_turn:
                self.owes_turn = False
                await self.take_turn()
            event = await self.next_event()
            if isinstance(event, h11.EndOfMessage):
                self.complete = True
                return
            if not isinstance(event, h11.Data):
                reason = "connection closed before the end of the response"
                raise FetchError(reason, True, closed=True)
            if len(event.data) < SMALL_PIECE_BYTES:
                yield self.join_pieces(event.data)
            else:
                yield bytes(event.data)

    def join_pieces(self, first: bytes) -> bytes:
        """Return a small piece of the body, joined with those that have arrived."""
        joined = bytearray(first)
        for _ in range(PIECES_PER_TURN):
            try:
                event = self.connection.state.next_event()
            except h11.RemoteProtocolError as error:
                self.ahead = FetchError(f"invalid response: {error}", True)
                return bytes(joined)
            if not isinstance(event, h11.Data):
                self.ahead = None if event is h11.NEED_DATA else event
                return bytes(joined)
            joined += event.data
        self.owes_turn = True
        return bytes(joined)

    async def read(
        self, holding: Holding | None = None, max_bytes: int = MAX_BODY_BYTES
    ) -> bytes:
        """Return the complete body; its bytes are then held in the memory budget.

        Reading waits while the body does not fit, and the server with it. A declared
        length is reserved before, so that bodies read in part do not wait for each
        other. A body of more than ``max_bytes`` raises `FetchError`.
        """
        holding = holding or NO_BUDGET.hold()
        parts = bytearray()
        reserved = 0
        try:
            reserved += await reserve(holding, self.declared_length())
            async for data in self.chunks():
                parts += data
                if len(parts) > max_bytes:
                    raise FetchError(f"response body exceeds {max_bytes} bytes", True)
                reserved += await reserve(holding, len(parts) - reserved)
        except BaseException:
            holding.remove(ByteKind.ANSWER, reserved)
            raise
        holding.remove(ByteKind.ANSWER, reserved - len(parts))
        return bytes(parts)

    def declared_length(self) -> int:
        """Return the length of the body that the response declares; 0 if unknown."""
        length = parse_whole_number(self.header(b"content-length"))
        return (length or 0) if self.has_body else 0

    def close(self) -> None:
        """Return the connection to the client for reuse if it can be reused."""
        self.fetcher.release(self)


def is_final_status(status: int) -> bool:
    """Return whether a number is the status of a final response."""
    return status in FINAL_STATUSES


def check_status_line(response: h11.Response) -> None:
    """Raise `FetchError` unless a status line is one of HTTP/1 with a final status.

    Whoever answers otherwise is in trouble: what it sends is no response.
    """
    if not is_final_status(response.status_code):
        raise FetchError(
            f"invalid response: {response.status_code} is no HTTP status", True
        )
    if not response.http_version.startswith(HTTP_MAJOR_VERSION):
        version = response.http_version.decode("latin-1")
        raise FetchError(f"invalid response: it is of HTTP/{version}", True)


def encode_fields(fields: Iterable[tuple]) -> list[tuple]:
    """Return header fields with their values as bytes.

    Values that were received are kept as they were: they were decoded as Latin-1. Other
    texts that do not fit into it are sent as UTF-8.
    """
    return [(name, encode_value(value)) for name, value in fields]


def encode_value(value: str | bytes) -> bytes:
    """Return the bytes of a header field's value."""
    if isinstance(value, bytes):
        return value
    try:
        return value.encode("latin-1")
    except UnicodeEncodeError:
        return value.encode("utf-8", "replace")


async def reserve(holding: Holding, size: int) -> int:
    """Reserve bytes of a response, waiting until they fit; return their number."""
    if size <= 0:
        return 0
    if not await holding.add_when_free(ByteKind.ANSWER, size):
        raise AnswerTooLarge(size)
    return size
