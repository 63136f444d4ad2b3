"""Proxy that stands for the network link of a host, which may lose power."""

import asyncio

READ_SIZE = 64 * 1024


class Link:
    """Forwards connections to one address until its host loses power.

    After that, nothing comes from the host any more: connections that were open stay
    silent for good and are not closed, as when a host ends without closing them. New
    connections are silent too, until the host is back.

    Parameters
    ----------
    target : (str, int)
    """

    def __init__(self, target: tuple[str, int] = ("", 0)):
        self.target = target
        self.address: tuple[str, int] = ("", 0)
        self.is_dark = False
        self.lost: list[asyncio.StreamWriter] = []
        self.open: set[asyncio.Task] = set()

    async def listen(self, ip: str, port: int = 0) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self.serve, ip, port)
        self.address = server.sockets[0].getsockname()[:2]

    def lose_power(self) -> None:
        """Silence all open connections for good, and new ones until `restore`."""
        self.is_dark = True
        for task in self.open:
            task.cancel()

    def restore(self) -> None:
        """Forward new connections again."""
        self.is_dark = False

    async def serve(self, reader, writer) -> None:
        """Forward one connection until either side ends or the host loses power."""
        self.lost.append(writer)
        if self.is_dark:
            return
        target_reader, target_writer = await asyncio.open_connection(*self.target)
        both = asyncio.create_task(
            self.forward_both(reader, writer, target_reader, target_writer)
        )
        self.open.add(both)
        both.add_done_callback(self.open.discard)
        await asyncio.wait({both})
        target_writer.transport.abort()
        if not both.cancelled():
            self.lost.remove(writer)
            writer.transport.abort()

    async def forward_both(self, reader, writer, target_reader, target_writer) -> None:
        """Forward data both ways until one side ends."""
        ways = {
            asyncio.create_task(self.forward(reader, target_writer)),
            asyncio.create_task(self.forward(target_reader, writer)),
        }
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()

    async def forward(self, reader, writer) -> None:
        """Forward data one way until its source ends."""
        try:
            while data := await reader.read(READ_SIZE):
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            return
