"""Clients that misbehave, in a process of their own: ``crowd_clients KIND IP PORT N``.

They arrive at once, send what their kind says, and stay until the process is ended.
The process prints ``arrived`` once every client has sent all of it, was closed by the
other side, or could not send anything for `QUIET_S`.
"""

import asyncio
import contextlib
import socket
import struct
import sys
import time

from gypsumshift.flowcontrol import parts

BODY_BYTES = 1_000_000
CHUNK_BYTES = 16_384
TINY_CHUNKS = 160_000
HEAD_BYTES = 15_000
PIPELINED_REQUESTS = 2_000
FRAME_BYTES = 15_000_000
# Header fields of four bytes each in one head of `HEAD_BYTES`.
SHORT_FIELDS = (HEAD_BYTES - 200) // 4
TRICKLE_PERIOD_S = 0.2
QUIET_S = 2.0
READ_BYTES = 65_536

POST = b"POST /app/crowd HTTP/1.1\r\nhost: users.example\r\nrequest-id: c\r\n"
CHUNKED = POST + b"transfer-encoding: chunked\r\n\r\n"
LENGTH = POST + b"content-length: %d\r\n\r\n" % BODY_BYTES
GET = b"GET %s HTTP/1.1\r\nhost: users.example\r\nrequest-id: c\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def body_by_length() -> bytes:
    """A body of legal size that lacks its last byte."""
    return LENGTH + b"x" * (BODY_BYTES - 1)


def body_in_chunks() -> bytes:
    """The same without a length, and without its last chunk."""
    return CHUNKED + chunk(b"x" * CHUNK_BYTES) * (BODY_BYTES // CHUNK_BYTES)


def body_in_one_chunk() -> bytes:
    """One chunk that lacks its last byte."""
    return CHUNKED + b"%x\r\n" % BODY_BYTES + b"x" * (BODY_BYTES - 1)


def body_in_tiny_chunks() -> bytes:
    """A chunk for each byte, without the last chunk."""
    return CHUNKED + chunk(b"x") * TINY_CHUNKS


def whole_body_in_tiny_chunks() -> bytes:
    """A chunk for each byte, and the end of the body."""
    return body_in_tiny_chunks() + b"0\r\n\r\n"


def unfinished_head() -> bytes:
    """A head of legal size without its end."""
    head = POST + b"x: "
    return head + b"x" * (HEAD_BYTES - len(head))


def many_fields() -> bytes:
    """Complete heads of legal size with the most fields, one after another."""
    head = GET[:-2] % b"/none/" + b"a:\r\n" * SHORT_FIELDS + b"\r\n"
    return head * 40


def held_fields() -> bytes:
    """A complete head of legal size with the most fields, which a server runs."""
    return GET[:-2] % b"/app/held" + b"a:\r\n" * SHORT_FIELDS + b"\r\n"


def many_trailers() -> bytes:
    """A whole body in chunks with the most trailers, and its end."""
    return CHUNKED + chunk(b"x") + b"0\r\n" + b"a:\r\n" * SHORT_FIELDS + b"\r\n"


def unfinished_trailers() -> bytes:
    """A whole body in chunks whose trailers have no end."""
    return CHUNKED + chunk(b"x") + b"0\r\nx: " + b"x" * HEAD_BYTES


def nothing() -> bytes:
    """Nothing at all."""
    return b""


def idle() -> bytes:
    """One complete request; the connection then stays open."""
    return GET % b"/none/"


def pipelined() -> bytes:
    """Many requests at once, whose answers are not read."""
    return (GET % b"/app/small") * PIPELINED_REQUESTS


def scrapes() -> bytes:
    """Many requests for the metrics page, whose answers are not read."""
    return (GET % b"/metrics") * 40


def nested_job() -> bytes:
    """A whole batch job of legal size that takes much memory once it is decoded."""
    body = b'{"requests":[' + b"[]," * (BODY_BYTES // 3 - 10) + b"[]]}"
    head = POST.replace(b"/app/crowd", b"/batch/crowd")
    return head + b"content-length: %d\r\n\r\n" % len(body) + body


def unfinished_frame() -> bytes:
    """A legal length of a frame between processes, without the frame's last byte."""
    return struct.pack(">I", FRAME_BYTES) + b"x" * (FRAME_BYTES - 1)


def trickled_body() -> bytes:
    """The head of a large body, which then arrives a byte at a time."""
    return LENGTH


def trickled_head() -> bytes:
    """The beginning of a head, whose rest arrives a byte at a time."""
    return POST + b"x: "


KINDS = {
    function.__name__: function
    for function in (
        body_by_length,
        body_in_chunks,
        body_in_one_chunk,
        body_in_tiny_chunks,
        whole_body_in_tiny_chunks,
        unfinished_head,
        many_fields,
        held_fields,
        many_trailers,
        unfinished_trailers,
        nothing,
        idle,
        pipelined,
        scrapes,
        nested_job,
        unfinished_frame,
        trickled_body,
        trickled_head,
    )
}
TRICKLED = ("trickled_body", "trickled_head")
# Of these kinds, the clients read no answers.
UNREAD = ("pipelined", "scrapes")


class Client:
    """One connection of the crowd."""

    def __init__(self, number: int):
        self.number = number
        self.sent_at = time.monotonic()
        self.done = False

    async def run(self, kind: str, address: tuple[str, int], data: bytes) -> None:
        """Connect, send, and stay open until the other side closes."""
        loop = asyncio.get_running_loop()
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.setblocking(False)
            await loop.sock_connect(sock, address)
            await self.send(sock, data)
            if kind in TRICKLED:
                self.done = True
                await self.trickle(sock)
            self.done = True
            if kind in UNREAD:
                await asyncio.Event().wait()
            while await loop.sock_recv(sock, READ_BYTES):
                pass
        self.done = True

    async def send(self, sock: socket.socket, data: bytes) -> None:
        """Send all data, as fast as the other side takes it."""
        loop = asyncio.get_running_loop()
        for part in parts(data, READ_BYTES):
            await loop.sock_sendall(sock, part)
            self.sent_at = time.monotonic()

    async def trickle(self, sock: socket.socket) -> None:
        """Send a byte at a time until the other side closes."""
        loop = asyncio.get_running_loop()
        while True:
            await loop.sock_sendall(sock, b"x")
            await asyncio.sleep(TRICKLE_PERIOD_S)

    @property
    def settled(self) -> bool:
        """Whether nothing more is to be expected of it."""
        return self.done or time.monotonic() - self.sent_at > QUIET_S


async def run_crowd(kind: str, address: tuple[str, int], count: int) -> None:
    """Run the clients until the process is ended."""
    data = KINDS[kind]()
    clients = [Client(number) for number in range(count)]
    tasks = [asyncio.create_task(c.run(kind, address, data)) for c in clients]
    while not all(client.settled for client in clients):
        await asyncio.sleep(0.05)
    print("arrived", flush=True)
    await asyncio.gather(*tasks)
    await asyncio.Event().wait()


if __name__ == "__main__":
    chosen, ip, port, size = sys.argv[1:]
    asyncio.run(run_crowd(chosen, (ip, int(port)), int(size)))
