"""Closing a listener leaves no connection hanging, of links and of HTTP alike."""

import asyncio
import socket

import pytest

from gypsumshift.httpserver import HttpServer
from gypsumshift.peerconnection import PeerServer
from tests.builders import recorder


def new_links():
    server = PeerServer(None, lambda session: None, recorder())
    return server, server.close


def new_http():
    server = HttpServer(None)
    return server, lambda: server.stop(0)


@pytest.mark.parametrize("new", [new_links, new_http])
def test_a_connection_in_the_middle_of_being_accepted_is_cut_not_left_hanging(new):
    async def play():
        server, close = new()
        port = await server.listen("127.0.0.1", 0)
        caller = socket.create_connection(("127.0.0.1", port))
        caller.setblocking(False)
        # After two turns of the loop the connection is taken off the listener and
        # its protocol is not made yet.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        await close()
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(5):
            try:
                assert await loop.sock_recv(caller, 1) == b""
            except ConnectionResetError:
                pass
        caller.close()

    asyncio.run(play())
