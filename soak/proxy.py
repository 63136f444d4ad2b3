"""TCP proxy that can delay, reset, block one way or block all data."""

import asyncio
import enum

__all__ = ["Mode", "Proxy"]

READ_SIZE = 64 * 1024


class Mode(enum.Enum):
    """How the proxy handles data.

    ``SILENT`` blocks both directions and ``ONE_WAY`` the answers only, without closing
    the connections.
    """

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY = "one way"
    RESET = "reset"


class Proxy:
    """Forwards connections to one address.

    Parameters
    ----------
    target : (str, int)
    """

    def __init__(self, target: tuple[str, int]):
        self.target = target
        self.mode = Mode.PASS
        self.delay_s = 0.0
        self.address: tuple[str, int] = ("", 0)
        self.writers: set[asyncio.StreamWriter] = set()
        self.resumed = asyncio.Event()

    async def listen(self, ip: str) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self.serve_connection, ip, 0)
        self.address = server.sockets[0].getsockname()[:2]

    def set_mode(self, mode: Mode, delay_s: float = 0.0) -> None:
        """Set how data is handled from now on; `Mode.RESET` aborts all connections."""
        self.mode, self.delay_s = mode, delay_s
        if mode is Mode.RESET:
            for writer in self.writers:
                writer.transport.abort()
        if mode in (Mode.PASS, Mode.DELAY):
            self.resumed.set()
        else:
            self.resumed.clear()

    async def serve_connection(self, reader, writer) -> None:
        """Forward one connection until either side ends."""
        if self.mode is Mode.RESET:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, target_writer}
        self.writers |= ends
        to_target = asyncio.create_task(self.forward(reader, target_writer, False))
        to_client = asyncio.create_task(self.forward(target_reader, writer, True))
        await asyncio.wait({to_target, to_client}, return_when=asyncio.FIRST_COMPLETED)
        for end in ends:
            end.transport.abort()
        self.writers -= ends
        await asyncio.wait({to_target, to_client})

    async def forward(self, reader, writer, answers: bool) -> None:
        """Forward data in one direction until either side ends."""
        try:
            while data := await reader.read(READ_SIZE):
                while self.is_held(answers):
                    self.resumed.clear()
                    await self.resumed.wait()
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            return

    def is_held(self, answers: bool) -> bool:
        """Return whether data of one direction is blocked."""
        one_way = self.mode is Mode.ONE_WAY and answers
        return one_way or self.mode is Mode.SILENT
