"""Crowd of clients: ``python -m review.crowd IP PORT COUNT BYTES``.

All connect at once and send a request whose body is of legal size and comes in chunks
of 16 KiB, as fast as it is taken; each stops short of the end of its body and stays
open. The process prints ``arrived`` once each has sent all that it will send, was
closed by the other side, or could not send anything for two seconds.
"""

import asyncio
import contextlib
import socket
import sys
import time

CHUNK_BYTES = 16_384
# What a client gives to its socket at once.
PART_BYTES = 65_536
QUIET_S = 2.0
HEAD = (
    b"POST /app/1 HTTP/1.1\r\nHost: users.example\r\nRequest-Id: crowd\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


class Client:
    """One connection of the crowd."""

    def __init__(self):
        self.sent_at = time.monotonic()
        self.done = False

    async def run(self, address: tuple[str, int], data: bytes) -> None:
        """Connect, send, and stay open until the other side closes."""
        loop = asyncio.get_running_loop()
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.setblocking(False)
            await loop.sock_connect(sock, address)
            for start in range(0, len(data), PART_BYTES):
                await loop.sock_sendall(sock, data[start : start + PART_BYTES])
                self.sent_at = time.monotonic()
            self.done = True
            while await loop.sock_recv(sock, PART_BYTES):
                pass
        self.done = True

    @property
    def settled(self) -> bool:
        """Whether nothing more is to be expected of it."""
        return self.done or time.monotonic() - self.sent_at > QUIET_S


async def main(ip: str, port: str, count: str, size: str) -> None:
    """Run the crowd until the process is ended."""
    chunk = b"%x\r\n%b\r\n" % (CHUNK_BYTES, b"x" * CHUNK_BYTES)
    data = HEAD + chunk * (int(size) // CHUNK_BYTES)
    clients = [Client() for _ in range(int(count))]
    tasks = [
        asyncio.create_task(client.run((ip, int(port)), data)) for client in clients
    ]
    while not all(client.settled for client in clients):
        await asyncio.wait(tasks, timeout=0.05)
    print("arrived", flush=True)
    await asyncio.gather(*tasks)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
