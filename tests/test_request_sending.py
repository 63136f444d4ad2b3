"""Requests to servers that do not read, over real sockets on loopback."""

import asyncio

import pytest

from gypsumshift.bytebudget import MIB
from gypsumshift.httpclient import Fetcher
from gypsumshift.httpconnection import PART_BYTES
from gypsumshift.httpserver import HttpServer, Response

HOST = "127.0.0.1"


def test_a_large_body_is_not_copied_for_a_server_that_does_not_read():
    """The memory budget counts a body once, not again at the connection."""

    async def run():
        stop = asyncio.Event()

        async def hang(reader, writer):
            await stop.wait()
            writer.transport.abort()

        listener = await asyncio.start_server(hang, HOST, 0, limit=1024)
        address = listener.sockets[0].getsockname()
        fetcher = Fetcher()
        body = b"x" * 32 * MIB
        sending = asyncio.create_task(fetcher.open(address, "POST", "/", [], body))
        while not fetcher.in_use:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        (connection,) = fetcher.in_use[address]
        assert connection.writer.transport.get_write_buffer_size() <= 2 * PART_BYTES
        sending.cancel()
        await asyncio.wait({sending})
        stop.set()
        listener.close()

    asyncio.run(run())


@pytest.mark.parametrize("size", [0, 1, PART_BYTES - 1, PART_BYTES, 3 * PART_BYTES + 1])
def test_bodies_of_any_size_arrive_unchanged(size):
    async def run():
        received = []

        async def serve(request):
            received.append(request.body)
            return Response(200)

        server = HttpServer(serve)
        address = HOST, await server.listen(HOST, 0)
        body = bytes(number % 251 for number in range(size))
        async with asyncio.timeout(10):
            answer = await Fetcher().fetch(address, "POST", "/", [], body)
        assert answer.status == 200 and received == [body]
        await server.stop(0)

    asyncio.run(run())
