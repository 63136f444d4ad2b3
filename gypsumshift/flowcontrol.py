"""Flow control of connections: small buffers, and resets that discard unsent data."""

import asyncio
import fcntl
import socket
import struct
import termios

__all__ = [
    "BUFFER_BYTES",
    "discard_on_close",
    "limit_sending",
    "open_limited_connection",
    "reset_connection",
    "unread_bytes",
]

# With a memory budget, a connection buffers about this much in each direction before
# the other side is slowed down. It is well below the smallest socket buffer, so that a
# caller that reads never waits for it.
BUFFER_BYTES = 16 * 1024
# Value of SO_LINGER (on, 0 s): closing the socket discards unsent data and resets the
# connection.
LINGER_RESET = struct.pack("ii", 1, 0)
# Limits of the kernel's buffers in each direction. The fastest link of a host,
# 300 Mbit/s, carries 112 kB in a round trip of 3 ms.
SOCKET_BUFFER_BYTES = 128 * 1024


class LimitedProtocol(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """Stream protocol that receives at most a number of bytes at once.

    asyncio receives up to 256 kB at once otherwise, whatever the limit of the reader.

    Parameters
    ----------
    reader : asyncio.StreamReader
    size : int
        Maximum number of bytes.
    """

    def __init__(self, reader: asyncio.StreamReader, size: int):
        super().__init__(reader, loop=asyncio.get_running_loop())
        self.size = size
        self.buffer = b""

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
