"""Request reader: reads requests from a connection, in bounded time and turns."""

import asyncio

import h11

from gypsumshift.turngate import (
    LARGE_HEAD_BYTES,
    PIECES_PER_TURN,
    SMALL_PIECE_BYTES,
    TurnGate,
)

__all__ = ["BodyStalled", "HeadStalled", "IdleTimeout", "RequestReader"]

READ_SIZE_BYTES = 64 * 1024
# Bytes of a body in chunks passed to the parser at once. A longer trailer waits for a
# turn.
SLICE_BYTES = 8 * 1024
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
    gate : TurnGate
        Passed by parsing that holds the event loop.

    Attributes
    ----------
    pending_read : asyncio.Task or None
        Read of the next bytes that was started and not used yet.
    unfed : bytes
        Bytes received that were not passed to the parser yet.
    unparsed : int
        Bytes of the next head that the parser holds.
    slice_bytes : int
        Bytes of a body that are passed to the parser at once.
    silent : int
        Bytes of a body passed to the parser since its last piece.
    received : int
        Bytes received of the request that is being read.
    small_pieces : int
        Small pieces of its body that were parsed.
    turns : int
        Turns of the event loop that it was given for them.
    holds_gate : bool
        Whether its next pieces may be parsed.
    started : float
        When its first byte arrived, by the clock of the event loop.
    progress_at : float
        When its body last made progress, by the same clock.
    """

    def __init__(self, reader, writer, state: h11.Connection, gate: TurnGate):
        self.reader = reader
        self.writer = writer
        self.state = state
        self.gate = gate
        self.loop = asyncio.get_running_loop()
        self.pending_read: asyncio.Task | None = None
        self.unfed = b""
        self.slice_bytes = READ_SIZE_BYTES
        self.unparsed = self.silent = 0
        self.received = 0
        self.small_pieces = self.turns = 0
        self.holds_gate = False
        self.started = self.progress_at = self.loop.time()

    def begin_request(self) -> None:
        """Start counting for the next request."""
        self.unparsed = len(self.state.trailing_data[0])
        self.silent = 0
        self.received = 0
        self.small_pieces = self.turns = 0

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

    @property
    def has_begun(self) -> bool:
        """Whether bytes of a request have arrived that is not answered yet."""
        was_read = self.pending_read is not None and self.pending_read.done()
        buffered = getattr(self.reader, "_buffer", b"")
        return self.unparsed > 0 or was_read or bool(buffered)

    @property
    def holds_large_head(self) -> bool:
        """Whether parsing the bytes received would hold the event loop."""
        return self.unparsed > LARGE_HEAD_BYTES

    async def parse_in_turn(self):
        """Return the head if it is complete, else `h11.NEED_DATA`."""
        async with self.gate.turn(self.started):
            return self.state.next_event()

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

    def begin_body(self, in_chunks: bool) -> None:
        """Start to read a body."""
        self.progress_at = self.loop.time()
        self.slice_bytes = SLICE_BYTES if in_chunks else READ_SIZE_BYTES

    async def next_body_event(self):
        """Return the next event of a body, or `h11.NEED_DATA` if there is none yet.

        Small pieces are parsed in turns, as long as the request holds the gate.
        """
        if self.silent > SLICE_BYTES:
            await self.take_turn()
        event = self.state.next_event()
        if not isinstance(event, h11.Data):
            return event
        self.silent = 0
        if len(event.data) < SMALL_PIECE_BYTES:
            self.small_pieces += 1
            if self.small_pieces % PIECES_PER_TURN == 0:
                await self.take_turn()
        return event

    async def take_turn(self) -> None:
        """Wait for a turn of the event loop in which to parse small pieces."""
        if self.holds_gate and not self.gate.is_wanted:
            await asyncio.sleep(0)
            return
        self.leave_gate()
        await self.gate.enter(self.started, first=not self.turns)
        self.holds_gate = True
        self.turns += 1

    def end_body(self) -> None:
        """Pass what follows a body to the parser, and let others pass the gate."""
        self.leave_gate()
        rest, self.unfed = self.unfed, b""
        if rest:
            self.state.receive_data(rest)

    def leave_gate(self) -> None:
        """Let other requests pass the gate."""
        if self.holds_gate:
            self.holds_gate = False
            self.gate.leave()

    async def receive_body(self) -> int:
        """Receive more bytes of a body; return their number."""
        if self.unfed:
            return self.feed_slice()
        self.leave_gate()
        if self.state.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self.writer.write(self.state.send(interim))
        limit = min(
            self.loop.time() + READ_TIMEOUT_S,
            self.progress_at + BODY_PROGRESS_TIMEOUT_S,
        )
        try:
            async with asyncio.timeout_at(limit):
                self.unfed = await self.read()
        except TimeoutError as error:
            raise BodyStalled from error
        self.received += len(self.unfed)
        return self.feed_slice()

    def feed_slice(self) -> int:
        """Pass the next slice of a body to the parser; return its size."""
        data, self.unfed = self.unfed, b""
        if len(data) > self.slice_bytes:
            data, self.unfed = data[: self.slice_bytes], data[self.slice_bytes :]
        self.state.receive_data(data)
        self.silent += len(data)
        return len(data)

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
        self.leave_gate()
        if self.pending_read:
            self.pending_read.cancel()
