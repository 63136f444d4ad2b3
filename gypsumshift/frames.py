"""Frames: Thrift structs on TCP connections between the system's processes."""

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
DRAIN_THRESHOLD_BYTES = 256 * 1024
OPTIONAL_FIELDS = {"head", "load"}
PROTOCOL_FACTORY = TCompactProtocolAcceleratedFactory()


class FrameError(Exception):
    """The peer does not speak the protocol, or the connection ended."""


class BufferTransport(TTransportBase):
    """Transport that keeps what is written last; one serves all encoding."""

    def __init__(self):
        self.parts = []

    def write(self, data):
        """Keep some bytes."""
        self.parts.append(data)

    def take_bytes(self) -> bytes:
        """Return what was written, and forget it."""
        parts, self.parts = self.parts, []
        return parts[0] if len(parts) == 1 else b"".join(parts)


# Making a protocol object costs more than using it, so one serves each way.
WRITE_BUFFER = BufferTransport()
WRITER = PROTOCOL_FACTORY.getProtocol(WRITE_BUFFER)
READER = PROTOCOL_FACTORY.getProtocol(TMemoryBuffer())


def encode_frame(frame: Frame) -> bytes:
    """Return a frame as bytes, without its length."""
    frame.write(WRITER)
    return WRITE_BUFFER.take_bytes()


def decode_frame(data: bytes) -> Frame:
    """Return the frame in some bytes."""
    frame = Frame()
    READER.trans = TMemoryBuffer(data)
    try:
        frame.read(READER)
    except (TException, TProtocolException, EOFError, ValueError, TypeError) as error:
        raise FrameError(f"not a frame: {error}") from error
    except (MemoryError, OverflowError, IndexError, SystemError) as error:
        raise FrameError(f"not a frame: {error}") from error
    if not isinstance(frame.body, Body) or frame.exchange is None:
        raise FrameError("a frame without its parts")
    for name in Body.__slots__:
        part = getattr(frame.body, name)
        if part is not None:
            check_complete(part, name)
    return frame


def check_complete(part: object, name: str) -> None:
    """Raise an error where a struct lacks a part that its sender always sets."""
    for slot in part.__slots__:
        value = getattr(part, slot)
        if value is None and slot not in OPTIONAL_FIELDS:
            raise FrameError(f"{name} lacks {slot}")
        if hasattr(value, "__slots__"):
            check_complete(value, slot)


class FrameStream:
    """One connection as a stream of frames.

    Parameters
    ----------
    reader : asyncio.StreamReader
    writer : asyncio.StreamWriter
    recorder : EventRecorder
        Stamps what is sent, observes what comes, and counts both.
    """

    def __init__(self, reader, writer, recorder: EventRecorder):
        self.reader = reader
        self.writer = writer
        self.recorder = recorder

    async def receive(self) -> tuple[int, Body]:
        """Return the next frame's exchange and body."""
        try:
            (length,) = LENGTH_PREFIX.unpack(
                await self.reader.readexactly(LENGTH_PREFIX.size)
            )
            if length > MAX_FRAME_BYTES:
                raise FrameError(f"a frame of {length} bytes")
            data = await self.reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise FrameError("the connection ended") from error
        frame = decode_frame(data)
        self.recorder.hybrid.observe(Timestamp(frame.time_us or 0, frame.tick or 0))
        self.recorder.bytes_received += LENGTH_PREFIX.size + length
        return frame.exchange, frame.body

    def write(self, exchange: int, body: Body) -> None:
        """Write a frame without waiting."""
        stamp = self.recorder.hybrid.tick()
        data = encode_frame(Frame(exchange, body, stamp.time_us, stamp.tick))
        self.writer.write(LENGTH_PREFIX.pack(len(data)) + data)
        self.recorder.bytes_sent += LENGTH_PREFIX.size + len(data)

    async def send(self, exchange: int, body: Body) -> None:
        """Write a frame; wait while the peer is slow to read."""
        self.write(exchange, body)
        if self.writer.transport.get_write_buffer_size() > DRAIN_THRESHOLD_BYTES:
            try:
                await self.writer.drain()
            except ConnectionError as error:
                raise FrameError("the connection ended") from error

    def abort(self) -> None:
        """Cut the connection."""
        self.writer.transport.abort()
