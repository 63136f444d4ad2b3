"""Links: question and answer between processes, many at a time per connection."""

import asyncio
import itertools

from gypsumshift import logs
from gypsumshift.events import Recorder
from gypsumshift.frames import FrameError, FrameStream
from gypsumshift.generated.messages import Body
from gypsumshift.listeners import close_listener

__all__ = ["Exchanges", "Link", "LinkError", "PeerServer", "Session"]

CONNECT_TIMEOUT = 1.0
HELLO_TIMEOUT = 5.0
INBOX_LIMIT = 4096

log = logs.logger("peer")


class LinkError(Exception):
    """The link failed.

    Parameters
    ----------
    reason : str
    sent : bool
        Whether the question may have reached the peer.
    """

    def __init__(self, reason: str, sent: bool):
        super().__init__(reason)
        self.sent = sent


class Exchanges:
    """One question on a link, and the bodies that answer it."""

    def __init__(self, link: "Link", number: int):
        self.link = link
        self.number = number
        self.inbox: asyncio.Queue[Body | None] = asyncio.Queue(INBOX_LIMIT)

    async def receive(self) -> Body:
        """Return the next answer."""
        body = await self.inbox.get()
        if body is None:
            raise LinkError("the link ended", True)
        return body

    def close(self) -> None:
        """Drop whatever answers still come."""
        self.link.waiting.pop(self.number, None)


class Link:
    """Connection to one peer; a task of its own reads it.

    Parameters
    ----------
    address : (str, int)
        IP number and port.
    recorder : Recorder
    """

    def __init__(self, address: tuple[str, int], recorder: Recorder):
        self.address = address
        self.recorder = recorder
        self.stream: FrameStream | None = None
        self.reading: asyncio.Task | None = None
        self.waiting: dict[int, Exchanges] = {}
        self.numbers = itertools.count(1)
        self.connecting = asyncio.Lock()

    async def connected(self) -> FrameStream:
        """Return the stream, connecting where there is none."""
        if self.stream is not None:
            return self.stream
        async with self.connecting:
            if self.stream is None:
                await self.connect()
            return self.stream

    async def connect(self) -> None:
        """Open the connection and start to read it."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                reader, writer = await asyncio.open_connection(*self.address)
        except (OSError, TimeoutError) as error:
            host, port = self.address
            raise LinkError(f"no link to {host}:{port}: {error}", False) from error
        self.stream = FrameStream(reader, writer, self.recorder)
        self.reading = asyncio.create_task(self.read(self.stream))

    async def read(self, stream: FrameStream) -> None:
        """Hand each answer to its exchange; drop those that nobody awaits."""
        try:
            while True:
                number, body = await stream.receive()
                exchange = self.waiting.get(number)
                if exchange is None:
                    continue
                if exchange.inbox.full():
                    log.warning("Dropped a link whose reader fell behind.")
                    break
                exchange.inbox.put_nowait(body)
        except FrameError:
            pass
        finally:
            self.lose(stream)

    def lose(self, stream: FrameStream) -> None:
        """Drop the connection and tell those who wait on it."""
        stream.abort()
        if self.stream is not stream:
            return
        self.stream = None
        waiting, self.waiting = self.waiting, {}
        for exchange in waiting.values():
            if exchange.inbox.full():
                exchange.inbox.get_nowait()
            exchange.inbox.put_nowait(None)

    async def open(self, body: Body) -> Exchanges:
        """Send a question; the answers come to the exchange returned."""
        stream = await self.connected()
        exchange = Exchanges(self, next(self.numbers))
        self.waiting[exchange.number] = exchange
        try:
            await stream.send(exchange.number, body)
        except FrameError as error:
            exchange.close()
            raise LinkError(str(error), True) from error
        return exchange

    async def ask(self, body: Body, timeout: float) -> Body:
        """Send a question and return its one answer, within ``timeout`` seconds."""
        try:
            async with asyncio.timeout(timeout):
                exchange = await self.open(body)
                try:
                    return await exchange.receive()
                finally:
                    exchange.close()
        except TimeoutError as error:
            raise LinkError("no answer in time", True) from error

    def tell(self, body: Body) -> None:
        """Send something that has no answer, where the link is up."""
        if self.stream is not None:
            self.stream.post(next(self.numbers), body)

    def close(self) -> None:
        """Cut the link."""
        if self.reading:
            self.reading.cancel()
        if self.stream:
            self.lose(self.stream)


class Session:
    """One accepted connection, as the serving side sees it.

    Parameters
    ----------
    number : int
        Unique in this process.
    stream : FrameStream
    """

    def __init__(self, number: int, stream: FrameStream):
        self.number = number
        self.stream = stream
        self.open = True

    async def reply(self, exchange: int, body: Body) -> None:
        """Send an answer where the connection still stands."""
        if not self.open:
            return
        try:
            await self.stream.send(exchange, body)
        except FrameError:
            self.open = False


class PeerServer:
    """Serves links: one task per connection.

    Parameters
    ----------
    handler : callable
        ``await handler(session, exchange, body)``; must not block for long.
    ended : callable
        ``ended(session)`` when a connection ended.
    recorder : Recorder
    """

    def __init__(self, handler, ended, recorder: Recorder):
        self.handler = handler
        self.ended = ended
        self.recorder = recorder
        self.numbers = itertools.count(1)
        self.tasks: set[asyncio.Task] = set()
        self.listener: asyncio.Server | None = None
        self.closed = False

    async def listen(self, host: str, port: int) -> int:
        """Listen on an address; return the port taken."""
        self.listener = await asyncio.start_server(self.accept, host, port)
        return self.listener.sockets[0].getsockname()[1]

    def accept(self, reader, writer) -> None:
        """Serve a connection in a task of its own."""
        if self.closed:
            # It was on its way when the listener closed; nobody would end it.
            writer.transport.abort()
            return
        task = asyncio.create_task(self.serve(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        # A task that is cancelled before it began never gets to its own end.
        task.add_done_callback(lambda _: writer.transport.abort())

    async def serve(self, reader, writer) -> None:
        """Serve one connection until it ends."""
        session = Session(
            next(self.numbers), FrameStream(reader, writer, self.recorder)
        )
        try:
            async with asyncio.timeout(HELLO_TIMEOUT):
                first = await session.stream.receive()
            await self.handler(session, *first)
            while True:
                await self.handler(session, *await session.stream.receive())
        except (FrameError, TimeoutError) as error:
            log.debug("A link ended: {}.", error)
        finally:
            session.open = False
            session.stream.abort()
            self.ended(session)

    async def close(self) -> None:
        """Stop listening and cut all connections."""
        self.cut()
        if self.listener:
            await close_listener(self.listener)

    def cut(self) -> None:
        """Cut all connections, and each that comes from now on."""
        self.closed = True
        for task in list(self.tasks):
            task.cancel()
