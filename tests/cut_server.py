"""Builder for tests: a server whose answers end before they are complete."""

import asyncio

import attrs

from gypsumshift.flowcontrol import reset_connection
from tests.endless_server import request_id

STAMP = b"server-stamp: s\r\nsignature: s\r\n"
HEAD = b"HTTP/1.1 200 OK\r\nrequest-id: %b\r\n" + STAMP
TYPE = b"content-type: text/event-stream\r\n"
EVENT = b"id: 1\ndata: x\n\n"
CHUNK = b"f\r\n" + EVENT + b"\r\n"
CHUNKED = HEAD + TYPE + b"transfer-encoding: chunked\r\n\r\n"
# What arrives of an answer before its connection ends.
CUTS = {
    "nothing": b"",
    "status line": b"HTTP/1.1 20",
    "line end": b"HTTP/1.1 200 OK\r\n",
    "field name": HEAD + b"content-len",
    "length": HEAD + b"content-length: 1",
    "field end": HEAD + b"content-length: 1\r\n",
    "last line feed": HEAD + b"content-length: 1\r\n\r",
    "interim": b"HTTP/1.1 100 Continue\r\n\r\n",
    "body": HEAD + b"content-length: 100\r\n\r\nx",
    "no body": HEAD + b"content-length: 1\r\n\r\n",
    "no chunk": CHUNKED,
    "chunk size": CHUNKED + b"f",
    "chunk": CHUNKED + b"f\r\n" + EVENT[:4],
    "chunk end": CHUNKED + b"f\r\n" + EVENT,
    "no last chunk": CHUNKED + CHUNK,
    "last chunk": CHUNKED + CHUNK + b"0\r\n",
    "trailer": CHUNKED + CHUNK + b"0\r\nx: y\r\n",
    "old version": b"HTTP/1.0 200 OK\r\n" + HEAD[17:] + b"content-length: 5\r\n\r\nx",
}
# An answer without a length is complete once its connection is closed, so that only a
# reset tells that it is not.
UNSIZED = {
    "unsized": HEAD + TYPE + b"\r\n" + EVENT,
    "old unsized": b"HTTP/1.0 200 OK\r\n" + HEAD[17:] + TYPE + b"\r\n" + EVENT,
}
WHOLE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"


@attrs.define
class CutServer:
    """Server that cuts its answers to requests for paths with ``cut`` in them.

    Attributes
    ----------
    data : bytes
        What it sends; ``%b`` is replaced by the id of the request.
    resets : bool
        Whether it then resets the connection, and does not just close it.
    cuts : int
        Number of answers that it has cut.
    address : (str, int)
    """

    data: bytes
    resets: bool
    cuts: int = 0
    address: tuple = ()
    listener: object = None

    async def __aenter__(self):
        self.listener = await asyncio.start_server(self.answer, "127.0.0.1", 0)
        self.address = self.listener.sockets[0].getsockname()[:2]
        return self

    async def __aexit__(self, *exc_info):
        self.listener.close()

    async def answer(self, reader, writer):
        """Answer the requests of a connection until one is cut."""
        try:
            while b"cut" not in (head := await reader.readuntil(b"\r\n\r\n")):
                writer.write(WHOLE)
                await writer.drain()
            self.cuts += 1
            writer.write(self.data.replace(b"%b", request_id(head)))
            await writer.drain()
            # The other side reads what was sent before a reset discards it.
            await asyncio.sleep(0.05 if self.resets else 0)
        except (OSError, asyncio.IncompleteReadError):
            pass
        if self.resets:
            reset_connection(writer)
        else:
            writer.close()


class CutPath:
    """Path to a store whose answers a `CutServer` cuts."""

    probe_target = ""

    def __init__(self, server, fetcher):
        self.server, self.fetcher = server, fetcher

    async def fetch(self, method, target, headers, body, timeout, residency):
        return await self.fetcher.fetch(
            self.server.address, method, "/cut", headers, body, timeout
        )
