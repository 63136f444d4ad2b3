"""Listeners: accept connections a few at a time, and close without leaking any."""

import asyncio
from collections.abc import Callable

from gypsumshift.flowcontrol import LimitedProtocol, listening_socket

__all__ = ["close_listener", "open_listener"]

# Connections accepted in one turn of the event loop. They exceed the limit of the port
# for as long as that takes.
ACCEPTS_PER_TURN = 16
# Connections that wait to be accepted.
BACKLOG = 4096

# Iterations of the event loop after which asyncio has created the protocol of an
# accepted connection.
ACCEPT_LOOP_TURNS = 3


async def open_listener(
    accept: Callable, host: str, port: int, receive_bytes: int, limit: int
) -> asyncio.Server:
    """Listen on an address.

    Parameters
    ----------
    accept : callable
        Called with the reader and the writer of each connection.
    host, port : str, int
        The system chooses the port for 0.
    receive_bytes : int
        Bytes that are received of a connection at once.
    limit : int
        Unread bytes above twice which receiving waits.
    """
    loop = asyncio.get_running_loop()

    def new_protocol() -> LimitedProtocol:
        reader = asyncio.StreamReader(limit, loop)
        return LimitedProtocol(reader, receive_bytes, accept)

    sock = listening_socket(host, port)
    listener = await loop.create_server(
        new_protocol, sock=sock, backlog=ACCEPTS_PER_TURN
    )
    # asyncio uses the backlog for the connections accepted in a turn, too.
    sock.listen(BACKLOG)
    return listener


async def close_listener(listener: asyncio.Server) -> None:
    """Stop accepting, let asyncio finish accepted connections, then close.

    If the protocol of an accepted connection is created after its listener was closed,
    asyncio drops the connection but leaves the socket open. The caller then waited in
    vain, in 11 of 600 attempts under load.
    """
    loop = asyncio.get_running_loop()
    for listening in listener.sockets:
        loop.remove_reader(listening.fileno())
    for _ in range(ACCEPT_LOOP_TURNS):
        await asyncio.sleep(0)
    listener.close()
