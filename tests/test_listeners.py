"""Closing a listener leaves no connection open, of peers or of HTTP."""

import asyncio
import socket

import pytest

from gypsumshift.httpserver import HttpServer
from gypsumshift.peerconnection import PeerServer
from tests.builders import recorder


def new_peer_server():
    server = PeerServer(None, lambda session: None, recorder())
    return server, server.close


def new_http_server():
    server = HttpServer(None)
    return server, lambda: server.stop(0)


@pytest.mark.parametrize("new", [new_peer_server, new_http_server])
def test_a_connection_that_is_being_accepted_at_the_close_is_closed_too(new):
    async def check():
        server, close = new()
        port = await server.listen("127.0.0.1", 0)
        client = socket.create_connection(("127.0.0.1", port))
        client.setblocking(False)
        # After two turns of the event loop the connection has been accepted from the
        # listener, but its protocol has not been created yet.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        await close()
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(5):
            try:
                assert await loop.sock_recv(client, 1) == b""
            except ConnectionResetError:
                pass
        client.close()

    asyncio.run(check())


def test_accepted_connections_send_small_messages_at_once():
    """With Nagle's algorithm an answer in two writes waits 40 ms for its second."""

    async def check():
        server = HttpServer(None)
        port = await server.listen("127.0.0.1", 0)
        client = socket.create_connection(("127.0.0.1", port))
        while not server.connections:
            await asyncio.sleep(0.001)
        (connection,) = server.connections.values()
        accepted = connection.writer.get_extra_info("socket")
        assert accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        client.close()
        await server.stop(0)

    asyncio.run(check())
