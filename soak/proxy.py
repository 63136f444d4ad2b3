"""Proxy: a loopback connection that can be delayed, reset, cut one way or silenced."""

import asyncio
import enum

__all__ = ["Mode", "Proxy"]

READ_SIZE = 64 * 1024


class Mode(enum.Enum):
    """What becomes of the bytes."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY = "one way"
    RESET = "reset"


class Proxy:
    """Passes connections on to one address.

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
        """Listen at a free port."""
        server = await asyncio.start_server(self.serve_connection, ip, 0)
        self.address = server.sockets[0].getsockname()[:2]

    def set_mode(self, mode: Mode, delay_s: float = 0.0) -> None:
        """Change what becomes of the bytes from now on."""
        self.mode, self.delay_s = mode, delay_s
        if mode is Mode.RESET:
            for writer in self.writers:
                writer.transport.abort()
        if mode in (Mode.PASS, Mode.DELAY):
            self.resumed.set()
        else:
            self.resumed.clear()

    async def serve_connection(self, reader, writer) -> None:
        """Pass one connection on."""
        if self.mode is Mode.RESET:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, far_writer}
        self.writers |= ends
        there = asyncio.create_task(self.forward(reader, far_writer, False))
        back = asyncio.create_task(self.forward(far_reader, writer, True))
        await asyncio.wait({there, back}, return_when=asyncio.FIRST_COMPLETED)
        for end in ends:
            end.transport.abort()
        self.writers -= ends
        await asyncio.wait({there, back})

    async def forward(self, reader, writer, answers: bool) -> None:
        """Pass bytes one way until either side ends."""
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
        """Tell whether bytes of one direction are held back."""
        one_way = self.mode is Mode.ONE_WAY and answers
        return one_way or self.mode is Mode.SILENT
