"""Flow control of connections: small buffers, and resets that discard unsent data."""

import asyncio
import fcntl
import socket
import struct
import termios
from collections.abc import Callable, Iterator

__all__ = [
    "BUFFER_BYTES",
    "LARGE_RECEIVE_BYTES",
    "RECEIVE_BYTES",
    "LimitedProtocol",
    "discard_on_close",
    "limit_sending",
    "listening_socket",
    "open_limited_connection",
    "parts",
    "reset_connection",
    "set_receive_size",
    "unread_bytes",
]

# With a memory budget, a connection buffers about this much in each direction before
# the other side is slowed down. It is well below the smallest socket buffer, so that a
# caller that reads never waits for it.
BUFFER_BYTES = 16 * 1024
# Bytes that are received of a client at once: usually, and of a large body.
RECEIVE_BYTES = 16 * 1024
LARGE_RECEIVE_BYTES = 64 * 1024
# Value of SO_LINGER (on, 0 s): closing the socket discards unsent data and resets the
# connection.
LINGER_RESET = struct.pack("ii", 1, 0)
# Limits of the kernel's buffers in each direction. The fastest link of a host,
# 300 Mbit/s, carries 112 kB in a round trip of 3 ms.
SOCKET_BUFFER_BYTES = 128 * 1024
# Limit of the kernel's receive buffer of a client: what it keeps of clients that are
# not read must fit for all of them together. A buffer below a few segments, which have
# up to 64 kB, drops some, and these are sent again after 200 ms.
CLIENT_SOCKET_BUFFER_BYTES = 64 * 1024


class LimitedProtocol(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """Stream protocol that receives at most a number of bytes at once.

    asyncio receives up to 256 kB at once otherwise, whatever the limit of the reader.

    Parameters
    ----------
    reader : asyncio.StreamReader
    size : int
        Maximum number of bytes.
    on_connection : callable or None
        Called with the reader and the writer of an accepted connection.

    Attributes
    ----------
    on_lost : callable or None
        Called when the socket was closed.
    on_eof : callable or None
        Called when the other side has closed the connection or its sending side.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        size: int,
        on_connection: Callable | None = None,
    ):
        super().__init__(reader, on_connection, loop=asyncio.get_running_loop())
        self.size = size
        self.buffer = b""
        self.on_lost: Callable[[], None] | None = None
        self.on_eof: Callable[[], None] | None = None

    def eof_received(self) -> bool | None:
        """Report that nothing more will be received."""
        if self.on_eof is not None:
            self.on_eof()
        return super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection."""
        super().connection_lost(exc)
        if self.on_lost is not None:
            self.on_lost()

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next bytes."""
        self.buffer = bytearray(self.size)
        return self.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on the received bytes, and release the buffer."""
        data, self.buffer = self.buffer, b""
        self.data_received(memoryview(data)[:nbytes])


async def open_limited_connection(
    address: tuple[str, int], limit: int
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection that buffers up to three times ``limit`` bytes unread.

    Reading pauses above two times the limit, as that of any stream reader does.
    """
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit, loop)
    protocol = LimitedProtocol(reader, limit)
    transport, _ = await loop.create_connection(lambda: protocol, *address)
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


def parts(data: bytes, size: int) -> Iterator[memoryview]:
    """Yield data in parts of a size, without a copy."""
    view = memoryview(data)
    for start in range(0, len(data), size):
        yield view[start : start + size]


def listening_socket(host: str, port: int) -> socket.socket:
    """Return a bound socket whose connections will have small receive buffers."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # Without the protocol, asyncio does not switch off Nagle's algorithm.
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        size = CLIENT_SOCKET_BUFFER_BYTES
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    return sock


def set_receive_size(writer: asyncio.StreamWriter, size: int) -> None:
    """Set how many bytes of an accepted connection are received at once."""
    writer.transport.get_protocol().size = size


def limit_sending(writer: asyncio.StreamWriter, limit: int) -> None:
    """Let a writer buffer no more than ``limit`` bytes before `drain` waits."""
    writer.transport.set_write_buffer_limits(high=limit)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)


def unread_bytes(writer: asyncio.StreamWriter) -> int:
    """Return how many bytes the other side has not acknowledged yet.

    The kernel accepts data again only once a third of its buffer is free, which takes
    a slow reader many seconds. Its queue shows the progress within less.
    """
    unsent = writer.transport.get_write_buffer_size()
    sock = writer.get_extra_info("socket")
    if sock.fileno() < 0:
        return unsent
    queue = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    return unsent + struct.unpack("i", queue)[0]


def discard_on_close(writer: asyncio.StreamWriter) -> None:
    """Let closing a connection discard unsent data and reset the connection."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, unless its socket is closed already."""
    sock = writer.get_extra_info("socket")
    if sock.fileno() >= 0:
        discard_on_close(writer)
    writer.transport.abort()
