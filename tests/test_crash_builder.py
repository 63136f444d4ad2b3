"""The crash of a stand-in ends the connections that are being accepted, too."""

import asyncio
import socket
import types

import pytest

from gypsumshift.httpserver import HttpServer, Response
from tests.platform_cluster import crash_worker

TURNS = range(8)


@pytest.mark.parametrize("turns", TURNS)
def test_a_connection_that_is_accepted_during_a_crash_does_not_stay_open(turns):
    """Otherwise its caller waits for an answer that never comes."""

    async def run():
        async def answer(request):
            return Response(200)

        worker = types.SimpleNamespace(server=HttpServer(answer))
        port = await worker.server.listen("127.0.0.1", 0)
        loop = asyncio.get_running_loop()
        with new_socket() as sock:
            await loop.sock_connect(sock, ("127.0.0.1", port))
            for _ in range(turns):
                await asyncio.sleep(0)
            crash_worker(worker)
            async with asyncio.timeout(5):
                try:
                    assert await loop.sock_recv(sock, 1) == b""
                except ConnectionError:
                    pass

    asyncio.run(run())


def new_socket():
    sock = socket.socket()
    sock.setblocking(False)
    return sock
