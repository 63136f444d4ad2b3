"""Links: question and answer between processes, many at a time per connection."""

import asyncio
import itertools

from gypsumshift import logs
from gypsumshift.events import EventRecorder
from gypsumshift.frames import FrameError, FrameStream
from gypsumshift.generated.messages import Body
from gypsumshift.listeners import close_listener

__all__ = [
    "PendingCall",
    "PeerConnection",
    "PeerConnectionError",
    "PeerServer",
    "PeerSession",
]

CONNECT_TIMEOUT_S = 1.0
FIRST_FRAME_TIMEOUT_S = 5.0
MAX_INBOX_MESSAGES = 4096

log = logs.logger("peer")


class PeerConnectionError(Exception):
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


class PendingCall:
    """One question on a link, and the bodies that answer it."""

    def __init__(self, link: "PeerConnection", number: int):
        self.connection = link
        self.number = number
        self.inbox: asyncio.Queue[Body | None] = asyncio.Queue(MAX_INBOX_MESSAGES)

    async def receive(self) -> Body:
        """Return the next answer."""
        body = await self.inbox.get()
        if body is None:
            raise PeerConnectionError("the link ended", True)
        return body

    def close(self) -> None:
        """Drop whatever answers still come."""
        self.connection.pending_calls.pop(self.number, None)


class PeerConnection:
    """Connection to one peer; a task of its own reads it.

    Parameters
    ----------
    address : (str, int)
        IP number and port.
    recorder : EventRecorder
    """

    def __init__(self, address: tuple[str, int], recorder: EventRecorder):
        self.address = address
        self.recorder = recorder
        self.stream: FrameStream | None = None
        self.read_task: asyncio.Task | None = None
        self.pending_calls: dict[int, PendingCall] = {}
        self.call_numbers = itertools.count(1)
        self.connect_lock = asyncio.Lock()

    async def connected_stream(self) -> FrameStream:
        """Return the stream, connecting where there is none."""
        if self.stream is not None:
            return self.stream
        async with self.connect_lock:
            if self.stream is None:
                await self.connect()
            return self.stream

    async def connect(self) -> None:
        """Open the connection and start to read it."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self.address)
        except (OSError, TimeoutError) as error:
            host, port = self.address
            raise PeerConnectionError(
                f"no link to {host}:{port}: {error}", False
            ) from error
        self.stream = FrameStream(reader, writer, self.recorder)
        self.read_task = asyncio.create_task(self.read_answers(self.stream))

    async def read_answers(self, stream: FrameStream) -> None:
        """Hand each answer to its exchange; drop those that nobody awaits."""
        try:
            while True:
                number, body = await stream.receive()
                exchange = self.pending_calls.get(number)
                if exchange is None:
                    continue
                if exchange.inbox.full():
                    log.warning("Dropped a link whose reader fell behind.")
                    break
                exchange.inbox.put_nowait(body)
        except FrameError:
            pass
        finally:
            self.drop_stream(stream)

    def drop_stream(self, stream: FrameStream) -> None:
        """Drop the connection and tell those who wait on it."""
        stream.abort()
        if self.stream is not stream:
            return
        self.stream = None
        waiting, self.pending_calls = self.pending_calls, {}
        for exchange in waiting.values():
            if exchange.inbox.full():
                exchange.inbox.get_nowait()
            exchange.inbox.put_nowait(None)

    async def start_call(self, body: Body) -> PendingCall:
        """Send a question; the answers come to the exchange returned."""
        stream = await self.connected_stream()
        exchange = PendingCall(self, next(self.call_numbers))
        self.pending_calls[exchange.number] = exchange
        try:
            await stream.send(exchange.number, body)
        except FrameError as error:
            exchange.close()
            raise PeerConnectionError(str(error), True) from error
        return exchange

    async def call(self, body: Body, timeout: float) -> Body:
        """Send a question and return its one answer, within ``timeout`` seconds."""
        try:
            async with asyncio.timeout(timeout):
                exchange = await self.start_call(body)
                try:
                    return await exchange.receive()
                finally:
                    exchange.close()
        except TimeoutError as error:
            raise PeerConnectionError("no answer in time", True) from error

    def send_oneway(self, body: Body) -> None:
        """Send something that has no answer, where the link is up."""
        if self.stream is not None:
            self.stream.write(next(self.call_numbers), body)

    def close(self) -> None:
        """Cut the link."""
        if self.read_task:
            self.read_task.cancel()
        if self.stream:
            self.drop_stream(self.stream)


class PeerSession:
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
    recorder : EventRecorder
    """

    def __init__(self, handler, ended, recorder: EventRecorder):
        self.handler = handler
        self.on_session_end = ended
        self.recorder = recorder
        self.session_numbers = itertools.count(1)
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
        task = asyncio.create_task(self.serve_connection(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        # A task that is cancelled before it began never gets to its own end.
        task.add_done_callback(lambda _: writer.transport.abort())

    async def serve_connection(self, reader, writer) -> None:
        """Serve one connection until it ends."""
        session = PeerSession(
            next(self.session_numbers), FrameStream(reader, writer, self.recorder)
        )
        try:
            async with asyncio.timeout(FIRST_FRAME_TIMEOUT_S):
                first = await session.stream.receive()
            await self.handler(session, *first)
            while True:
                await self.handler(session, *await session.stream.receive())
        except (FrameError, TimeoutError) as error:
            log.debug("A link ended: {}.", error)
        finally:
            session.open = False
            session.stream.abort()
            self.on_session_end(session)

    async def close(self) -> None:
        """Stop listening and cut all connections."""
        self.abort_connections()
        if self.listener:
            await close_listener(self.listener)

    def abort_connections(self) -> None:
        """Cut all connections, and each that comes from now on."""
        self.closed = True
        for task in list(self.tasks):
            task.cancel()
