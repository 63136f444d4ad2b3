"""Listeners of the system's own links."""

import asyncio
import socket

from gypsumshift.links import PeerServer
from tests.builders import recorder


def test_a_connection_in_the_middle_of_being_accepted_is_cut_not_left_hanging():
    async def play():
        server = PeerServer(None, lambda session: None, recorder())
        port = await server.listen("127.0.0.1", 0)
        caller = socket.create_connection(("127.0.0.1", port))
        caller.setblocking(False)
        # After two turns of the loop the connection is taken off the listener and
        # its protocol is not made yet.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        await server.close()
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(5):
            try:
                assert await loop.sock_recv(caller, 1) == b""
            except ConnectionResetError:
                pass
        caller.close()

    asyncio.run(play())
