"""Request reader: reads requests from a connection, in bounded time."""

import asyncio

import h11

__all__ = ["BodyStalled", "HeadStalled", "IdleTimeout", "RequestReader"]

READ_SIZE_BYTES = 64 * 1024
# Time limits of a body: without any byte, and until it has made progress.
READ_TIMEOUT_S = 15.0
BODY_PROGRESS_TIMEOUT_S = 30.0


class IdleTimeout(TimeoutError):
    """Raised if no request began within the time limit."""


class HeadStalled(TimeoutError):
    """Raised if a head was not complete within the time limit."""


class BodyStalled(TimeoutError):
    """Raised if a body made no progress within the time limit."""


class RequestReader:
    """Reads the bytes of a connection and passes them to its parser.

    Parameters
    ----------
    reader : asyncio.StreamReader
    writer : asyncio.StreamWriter
    state : h11.Connection

    Attributes
    ----------
    pending_read : asyncio.Task or None
        Read of the next bytes that was started and not used yet.
    unparsed : int
        Bytes of the next head that the parser holds.
    received : int
        Bytes received of the request that is being read.
    started : float
        When its first byte arrived, by the clock of the event loop.
    progress_at : float
        When its body last made progress, by the same clock.
    """

    def __init__(self, reader, writer, state: h11.Connection):
        self.reader = reader
        self.writer = writer
        self.state = state
        self.loop = asyncio.get_running_loop()
        self.pending_read: asyncio.Task | None = None
        self.unparsed = 0
        self.received = 0
        self.started = self.progress_at = self.loop.time()

    def begin_request(self) -> None:
        """Start counting for the next request."""
        self.unparsed = len(self.state.trailing_data[0])
        self.received = 0

    async def wait_for_request(self, timeout: float) -> bool:
        """Wait for the first bytes of a request; return False if there are none."""
        if self.unparsed:
            self.started = self.loop.time()
            return True
        try:
            async with asyncio.timeout(timeout):
                count = await self.receive()
        except TimeoutError as error:
            raise IdleTimeout from error
        self.started = self.loop.time()
        return count > 0

    async def receive_head(self, timeout: float) -> int:
        """Receive more bytes of a head; return their number.

        Parameters
        ----------
        timeout : float
            Seconds from the first byte of the head.
        """
        try:
            async with asyncio.timeout_at(self.started + timeout):
                return await self.receive()
        except TimeoutError as error:
            raise HeadStalled from error

    async def receive_body(self) -> int:
        """Receive more bytes of a body; return their number."""
        if self.state.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self.writer.write(self.state.send(interim))
        limit = min(
            self.loop.time() + READ_TIMEOUT_S,
            self.progress_at + BODY_PROGRESS_TIMEOUT_S,
        )
        try:
            async with asyncio.timeout_at(limit):
                return await self.receive()
        except TimeoutError as error:
            raise BodyStalled from error

    async def receive(self) -> int:
        """Pass the next bytes to the parser; return their number, 0 at the end."""
        data = await self.read()
        self.state.receive_data(data)
        self.unparsed += len(data)
        self.received += len(data)
        return len(data)

    async def read(self) -> bytes:
        """Return the next bytes; use the pending read if there is one."""
        self.start_reading()
        data = await asyncio.shield(self.pending_read)
        self.pending_read = None
        return data

    def start_reading(self) -> None:
        """Start a read unless one is pending."""
        if self.pending_read is None:
            self.pending_read = asyncio.ensure_future(self.reader.read(READ_SIZE_BYTES))

    def take_read(self) -> bytes | None:
        """Return the bytes of the pending read if it is done, else None."""
        if self.pending_read is None or not self.pending_read.done():
            return None
        data, self.pending_read = self.pending_read.result(), None
        return data

    def close(self) -> None:
        """Stop reading."""
        if self.pending_read:
            self.pending_read.cancel()
