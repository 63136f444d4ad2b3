"""Frames of Thrift messages on the TCP connections between processes."""

import asyncio
import struct

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.protocol.TProtocol import TProtocolException
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer, TTransportBase

from gypsumshift.events import EventRecorder, Timestamp
from gypsumshift.generated.messages import Body, Frame

__all__ = ["FrameError", "FrameStream", "decode_frame", "encode_frame"]

LENGTH_PREFIX = struct.Struct(">I")
MAX_FRAME_BYTES = 16 * 1024 * 1024
# `FrameStream.send` waits for the peer while more than this is buffered.
DRAIN_THRESHOLD_BYTES = 256 * 1024
# Fields that a sender may leave out, in any message.
OPTIONAL_FIELDS = {"head", "load"}
# Elements of one list or map of a message; a frame may declare any number otherwise.
MAX_ELEMENTS = 100_000
PROTOCOL_FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FRAME_BYTES, container_length_limit=MAX_ELEMENTS
)


class FrameError(Exception):
    """The peer sent an invalid frame, or the connection closed."""


class BufferTransport(TTransportBase):
    """Thrift transport that buffers what is written until it is taken."""

    def __init__(self):
        self.parts = []

    def write(self, data):
        """Add bytes to the buffer."""
        self.parts.append(data)

    def take_bytes(self) -> bytes:
        """Return the buffered bytes and empty the buffer."""
        parts, self.parts = self.parts, []
        return parts[0] if len(parts) == 1 else b"".join(parts)


# Creating a protocol object costs more than using it, so one is shared per direction.
WRITE_BUFFER = BufferTransport()
WRITER = PROTOCOL_FACTORY.getProtocol(WRITE_BUFFER)
READER = PROTOCOL_FACTORY.getProtocol(TMemoryBuffer())


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame, without its length prefix."""
    frame.write(WRITER)
    return WRITE_BUFFER.take_bytes()


def decode_frame(data: bytes) -> Frame:
    """Decode and validate a frame without its length prefix."""
    frame = Frame()
    READER.trans = TMemoryBuffer(data)
    try:
        frame.read(READER)
    except (TException, TProtocolException, EOFError, ValueError, TypeError) as error:
        raise FrameError(f"invalid frame: {error}") from error
    except (MemoryError, OverflowError, IndexError, SystemError) as error:
        raise FrameError(f"invalid frame: {error}") from error
    if not isinstance(frame.body, Body) or frame.exchange is None:
        raise FrameError("invalid frame: body or exchange is missing")
    for name in Body.__slots__:
        part = getattr(frame.body, name)
        if part is not None:
            check_complete(part, name)
    return frame


def check_complete(part: object, name: str) -> None:
    """Raise `FrameError` if a struct lacks a field that its sender always sets."""
    for slot in part.__slots__:
        value = getattr(part, slot)
        if value is None and slot not in OPTIONAL_FIELDS:
            raise FrameError(f"invalid frame: {name} lacks the field {slot}")
        if hasattr(value, "__slots__"):
            check_complete(value, slot)


class FrameStream:
    """Stream of frames on one connection.

    Parameters
    ----------
    reader : asyncio.StreamReader
    writer : asyncio.StreamWriter
    recorder : EventRecorder
        Timestamps the frames sent, advances its clock by those received, and counts
        the bytes of both.
    """

    def __init__(self, reader, writer, recorder: EventRecorder):
        self.reader = reader
        self.writer = writer
        self.recorder = recorder

    async def receive_length(self) -> int:
        """Receive the length of the next frame."""
        try:
            prefix = await self.reader.readexactly(LENGTH_PREFIX.size)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise FrameError("the peer closed the connection") from error
        (length,) = LENGTH_PREFIX.unpack(prefix)
        if length > MAX_FRAME_BYTES:
            raise FrameError(
                f"frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}"
            )
        return length

    async def receive(self) -> tuple[int, Body]:
        """Receive a frame; return the number of its exchange and its body."""
        return await self.receive_body(await self.receive_length())

    async def receive_body(self, length: int) -> tuple[int, Body]:
        """Receive the rest of a frame whose length was received."""
        try:
            data = await self.reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise FrameError("the peer closed the connection") from error
        frame = decode_frame(data)
        self.recorder.hybrid_clock.observe_timestamp(
            Timestamp(frame.time_us or 0, frame.tick or 0)
        )
        self.recorder.bytes_received += LENGTH_PREFIX.size + length
        return frame.exchange, frame.body

    def write(self, exchange: int, body: Body) -> None:
        """Write a frame to the send buffer without waiting."""
        stamp = self.recorder.hybrid_clock.next_timestamp()
        data = encode_frame(Frame(exchange, body, stamp.time_us, stamp.tick))
        self.writer.write(LENGTH_PREFIX.pack(len(data)) + data)
        self.recorder.bytes_sent += LENGTH_PREFIX.size + len(data)

    async def send(self, exchange: int, body: Body) -> None:
        """Write a frame; if much is buffered, wait until the peer has read enough."""
        self.write(exchange, body)
        if self.writer.transport.get_write_buffer_size() > DRAIN_THRESHOLD_BYTES:
            try:
                await self.writer.drain()
            except ConnectionError as error:
                raise FrameError("the peer closed the connection") from error

    def abort(self) -> None:
        """Close the connection at once."""
        self.writer.transport.abort()
