"""Connections between processes, each with many calls in flight."""

import asyncio
import itertools

from gypsumshift import logs
from gypsumshift.bytebudget import NO_BUDGET, ByteBudget, ByteKind
from gypsumshift.connectiontable import ClosableConnection, CloseReason, Phase
from gypsumshift.events import EventRecorder
from gypsumshift.flowcontrol import LARGE_RECEIVE_BYTES
from gypsumshift.frames import FrameError, FrameStream
from gypsumshift.generated.messages import Body
from gypsumshift.inbound import Inbound, PortKind
from gypsumshift.listeners import close_listener, open_listener

__all__ = [
    "PendingCall",
    "PeerConnection",
    "PeerConnectionError",
    "PeerServer",
    "PeerSession",
]

CONNECT_TIMEOUT_S = 1.0
# A connection whose first frame takes longer is closed by the server.
FIRST_FRAME_TIMEOUT_S = 5.0
# Longest time for the rest of a frame whose length has arrived.
FRAME_TIMEOUT_S = 15.0
# A connection is closed if this many answers to one call wait to be read.
MAX_INBOX_MESSAGES = 4096

log = logs.logger("peer")


class PeerConnectionError(Exception):
    """A call to a peer failed.

    Parameters
    ----------
    reason : str
    sent : bool
        Whether the message may have reached the peer.
    """

    def __init__(self, reason: str, sent: bool):
        super().__init__(reason)
        self.sent = sent


class PendingCall:
    """Call on a connection and its answers, which may be several messages.

    Parameters
    ----------
    connection : PeerConnection
    number : int
        Exchange number on the connection; answers carry the same one.
    """

    def __init__(self, connection: "PeerConnection", number: int):
        self.connection = connection
        self.number = number
        self.inbox: asyncio.Queue[Body | None] = asyncio.Queue(MAX_INBOX_MESSAGES)

    async def receive(self) -> Body:
        """Wait for and return the next answer."""
        body = await self.inbox.get()
        if body is None:
            raise PeerConnectionError("the connection to the peer closed", True)
        return body

    def close(self) -> None:
        """End the call; any further answers are dropped."""
        self.connection.pending_calls.pop(self.number, None)


class PeerConnection:
    """Client connection to one peer, opened on demand and read by its own task.

    Parameters
    ----------
    address : (str, int)
        IP address and port.
    recorder : EventRecorder

    Attributes
    ----------
    pending_calls : dict of int to PendingCall
        Calls that may still receive answers, by number.
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
        """Return the open stream; connect first if there is none."""
        if self.stream is not None:
            return self.stream
        async with self.connect_lock:
            if self.stream is None:
                await self.connect()
            return self.stream

    async def connect(self) -> None:
        """Open the connection and start the task that reads it."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self.address)
        except (OSError, TimeoutError) as error:
            host, port = self.address
            raise PeerConnectionError(
                f"cannot connect to peer {host}:{port}: {error}", False
            ) from error
        self.stream = FrameStream(reader, writer, self.recorder)
        self.read_task = asyncio.create_task(self.read_answers(self.stream))

    async def read_answers(self, stream: FrameStream) -> None:
        """Deliver each answer to its call; drop answers to calls that have ended."""
        try:
            while True:
                number, body = await stream.receive()
                call = self.pending_calls.get(number)
                if call is None:
                    continue
                if call.inbox.full():
                    log.warning(
                        "{} answers to one call are unread; closing the connection to "
                        "{}:{}.",
                        MAX_INBOX_MESSAGES,
                        *self.address,
                    )
                    break
                call.inbox.put_nowait(body)
        except FrameError:
            pass
        finally:
            self.drop_stream(stream)

    def drop_stream(self, stream: FrameStream) -> None:
        """Close the connection and fail the pending calls."""
        stream.abort()
        if self.stream is not stream:
            return
        self.stream = None
        pending, self.pending_calls = self.pending_calls, {}
        for call in pending.values():
            if call.inbox.full():
                call.inbox.get_nowait()
            call.inbox.put_nowait(None)

    async def start_call(self, body: Body) -> PendingCall:
        """Send a message and return the pending call that receives the answers."""
        stream = await self.connected_stream()
        call = PendingCall(self, next(self.call_numbers))
        self.pending_calls[call.number] = call
        try:
            await stream.send(call.number, body)
        except FrameError as error:
            call.close()
            raise PeerConnectionError(str(error), True) from error
        return call

    async def call(self, body: Body, timeout: float) -> Body:
        """Send a message and return its first answer, within ``timeout`` seconds."""
        try:
            async with asyncio.timeout(timeout):
                call = await self.start_call(body)
                try:
                    return await call.receive()
                finally:
                    call.close()
        except TimeoutError as error:
            raise PeerConnectionError(
                f"the peer did not answer within {timeout} s", True
            ) from error

    def send_oneway(self, body: Body) -> None:
        """Send a message that has no answer; drop it if not connected."""
        if self.stream is not None:
            self.stream.write(next(self.call_numbers), body)

    def close(self) -> None:
        """Close the connection and stop the task that reads it."""
        if self.read_task:
            self.read_task.cancel()
        if self.stream:
            self.drop_stream(self.stream)


class PeerSession(ClosableConnection):
    """Server side of one accepted connection.

    Parameters
    ----------
    number : int
        Unique in this process.
    stream : FrameStream
    inbound : Inbound
        Connections of all ports of the process.
    budget : ByteBudget
        For the frame that is being received.
    """

    def __init__(
        self,
        number: int,
        stream: FrameStream,
        inbound: Inbound,
        budget: ByteBudget = NO_BUDGET,
    ):
        self.number = number
        self.stream = stream
        self.inbound = inbound
        self.table = inbound.tables[PortKind.PEERS]
        self.budget = budget
        self.holding = budget.hold()
        self.open = True

    def evict(self, reason: CloseReason) -> None:
        """Close the connection at once for others."""
        self.inbound.record_close(PortKind.PEERS, reason)
        self.holding.release()
        self.stream.abort()

    def lost(self) -> None:
        """Note that the socket was closed."""
        self.table.remove(self)
        self.inbound.end_receiving(self.budget, self)

    async def receive(self) -> tuple[int, Body]:
        """Receive a frame; raise `FrameError` if it does not fit or makes no progress.

        Its length is reserved in the memory budget before it is read.
        """
        length = await self.stream.receive_length()
        self.table.begin_request(self)
        self.holding = self.budget.hold()
        try:
            if not self.inbound.reserve(self, self.holding, ByteKind.REQUEST, length):
                self.budget.record_refusal(ByteKind.REQUEST, length)
                raise FrameError("the frame does not fit into the memory budget")
            async with asyncio.timeout(FRAME_TIMEOUT_S):
                return await self.stream.receive_body(length)
        except TimeoutError as error:
            self.inbound.record_close(PortKind.PEERS, CloseReason.BODY_TIMEOUT)
            raise FrameError("the rest of a frame did not arrive in time") from error
        finally:
            self.holding.release()
            self.inbound.end_receiving(self.budget, self)
            self.table.change(self, Phase.IDLE)

    async def reply(self, exchange: int, body: Body) -> None:
        """Send an answer; drop it if the connection has closed."""
        if not self.open:
            return
        try:
            await self.stream.send(exchange, body)
        except FrameError:
            self.open = False


class PeerServer:
    """Server for peers' connections, with one task per connection.

    Parameters
    ----------
    handler : callable
        ``await handler(session, exchange, body)`` for each message; must not block
        for long, since it delays the next message of the connection.
    on_session_end : callable
        ``on_session_end(session)``, called when a connection has closed.
    recorder : EventRecorder
    inbound : Inbound or None
        Connections of all ports of the process; None for this port alone.
    budget : ByteBudget
        For frames that are being received.
    """

    def __init__(
        self,
        handler,
        on_session_end,
        recorder: EventRecorder,
        inbound: Inbound | None = None,
        budget: ByteBudget = NO_BUDGET,
    ):
        self.handler = handler
        self.on_session_end = on_session_end
        self.recorder = recorder
        self.inbound = inbound or Inbound()
        self.table = self.inbound.add_port(PortKind.PEERS)
        self.budget = budget
        self.session_numbers = itertools.count(1)
        self.tasks: set[asyncio.Task] = set()
        self.listener: asyncio.Server | None = None
        self.closed = False

    async def listen(self, host: str, port: int) -> int:
        """Listen on an address; return the port, chosen by the system if it is 0."""
        self.listener = await open_listener(
            self.accept, host, port, LARGE_RECEIVE_BYTES, LARGE_RECEIVE_BYTES
        )
        return self.listener.sockets[0].getsockname()[1]

    def accept(self, reader, writer) -> None:
        """Serve an accepted connection in its own task."""
        if self.closed:
            # The connection was being accepted when the listener closed; no task
            # would ever close it.
            writer.transport.abort()
            return
        stream = FrameStream(reader, writer, self.recorder)
        number = next(self.session_numbers)
        session = PeerSession(number, stream, self.inbound, self.budget)
        if not self.table.admit(session):
            self.inbound.record_close(PortKind.PEERS, CloseReason.FULL)
            writer.transport.abort()
            return
        writer.transport.get_protocol().on_lost = session.lost
        task = asyncio.create_task(self.serve_session(session))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        # A task that is cancelled before its first step never runs its ``finally``.
        task.add_done_callback(lambda _: writer.transport.abort())

    async def serve_session(self, session: PeerSession) -> None:
        """Pass the messages of one connection to the handler until it closes."""
        try:
            async with asyncio.timeout(FIRST_FRAME_TIMEOUT_S):
                first = await session.receive()
            await self.handler(session, *first)
            while True:
                await self.handler(session, *await session.receive())
        except (FrameError, TimeoutError) as error:
            log.debug("A peer's connection closed: {}.", error)
        finally:
            session.open = False
            session.stream.abort()
            self.on_session_end(session)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self.abort_connections()
        if self.listener:
            await close_listener(self.listener)

    def abort_connections(self) -> None:
        """Close all connections, and any that is accepted from now on."""
        self.closed = True
        for task in list(self.tasks):
            task.cancel()
