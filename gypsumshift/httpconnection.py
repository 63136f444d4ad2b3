"""Wire: one connection to an HTTP server, and one exchange on it, by h11."""

import socket
import struct

import h11

__all__ = ["Exchange", "FetchError", "ClientConnection", "RequestWithheld"]

READ_SIZE_BYTES = 64 * 1024
# Socket option: what was not sent yet is dropped with the connection, and the other
# side is told so by a reset.
LINGER_RESET = struct.pack("ii", 1, 0)
MAX_BODY_BYTES = 64 * 1024 * 1024


class FetchError(Exception):
    """An exchange failed.

    Parameters
    ----------
    reason : str
        What failed.
    sent : bool
        Whether any byte of the request may have reached the server.
    reused : bool
        Whether the connection had lain idle before and broke before an answer:
        the server may have closed it before the request came.
    closed : bool
        Whether the server ended the connection, as one that ends does with all of its
        own; one that keeps silent, or sends what is no answer, has not.
    refused : bool
        Whether nobody listens at the address.
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
    """A request was not sent, since it may not be any more."""

    def __init__(self):
        super().__init__("the request may not be sent any more", False)


class ClientConnection:
    """One connection with its HTTP state."""

    def __init__(self, reader, writer, reset_on_close: bool = False):
        self.reader = reader
        self.writer = writer
        if reset_on_close:
            wire = writer.get_extra_info("socket")
            wire.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.state = h11.Connection(h11.CLIENT)
        self.idle_until = 0.0
        self.repeatable = True

    def is_reusable(self) -> bool:
        """Tell whether another exchange may follow on this connection."""
        done = self.state.our_state is h11.DONE and self.state.their_state is h11.DONE
        return done and not self.state.trailing_data[0] and self.has_nothing_unread()

    def has_nothing_unread(self) -> bool:
        """Tell whether nothing has come since the last exchange, no end either."""
        buffered = getattr(self.reader, "_buffer", b"")
        return not buffered and not self.reader.at_eof()

    def close(self) -> None:
        """Cut the connection."""
        self.writer.transport.abort()


class Exchange:
    """One request and its answer as it comes.

    Parameters
    ----------
    fetcher : Fetcher
    address : (str, int)
    wire : Wire
    """

    def __init__(self, fetcher, address, connection):
        self.fetcher = fetcher
        self.address = address
        self.connection = connection
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.complete = False
        self.reused = False

    def header(self, name: bytes) -> str:
        """Return a header field of the answer by its lower-case name, or ``""``."""
        values = (v for k, v in self.headers if k == name)
        return next(values, b"").decode("latin-1")

    async def next_event(self):
        """Return the next event of the answer."""
        data = None
        try:
            while True:
                event = self.connection.state.next_event()
                if event is not h11.NEED_DATA:
                    return event
                data = await self.connection.reader.read(READ_SIZE_BYTES)
                self.connection.state.receive_data(data)
        except h11.RemoteProtocolError as error:
            reason = f"the answer broke: {error}"
            raise FetchError(reason, True, closed=data == b"") from error
        except ConnectionError as error:
            reason = f"the answer broke: {error}"
            raise FetchError(reason, True, closed=True) from error

    async def read_head(self) -> None:
        """Read up to the answer's header fields."""
        event = await self.next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self.next_event()
        if not isinstance(event, h11.Response):
            reason = "the connection closed before the answer"
            raise FetchError(reason, True, closed=True)
        self.status = event.status_code
        self.headers = list(event.headers)

    async def chunks(self):
        """Yield the body as it comes; an unfinished body raises `FetchError`."""
        while True:
            event = await self.next_event()
            if isinstance(event, h11.EndOfMessage):
                self.complete = True
                return
            if not isinstance(event, h11.Data):
                reason = "the answer ended before its end"
                raise FetchError(reason, True, closed=True)
            yield bytes(event.data)

    async def read(self) -> bytes:
        """Return the whole body."""
        parts = bytearray()
        async for data in self.chunks():
            parts += data
            if len(parts) > MAX_BODY_BYTES:
                raise FetchError(f"the answer exceeds {MAX_BODY_BYTES} bytes", True)
        return bytes(parts)

    def close(self) -> None:
        """Give the connection back where it is clean, else cut it."""
        self.fetcher.release(self)
