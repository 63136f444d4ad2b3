"""HTTP server: listens for callers, trainers and operators, and owns connections."""

import asyncio
from collections.abc import Awaitable, Callable

import h11

from gypsumshift.bytebudget import NO_BUDGET, ByteBudget, ByteKind
from gypsumshift.clientlimits import DEFAULT_CLIENT_LIMITS, ClientLimits
from gypsumshift.connectiontable import CloseReason
from gypsumshift.flowcontrol import RECEIVE_BYTES
from gypsumshift.httpmessages import (
    Request,
    Response,
    ResponseAborted,
    json_response,
    problem_response,
)
from gypsumshift.inbound import Inbound, PortKind
from gypsumshift.listeners import close_listener, open_listener
from gypsumshift.serverconnection import ServerConnection
from gypsumshift.turngate import WAIT_TIMEOUT_S

__all__ = [
    "MAX_BODY_BYTES",
    "BodyClassifier",
    "Handler",
    "HttpServer",
    "Request",
    "Response",
    "ResponseAborted",
    "json_response",
    "problem_response",
]

MAX_BODY_BYTES = 8 * 1024 * 1024
# Bytes above twice which receiving waits until they were read.
READER_LIMIT_BYTES = 8 * 1024
# Longest time for which a stop waits for a request that has begun to arrive and whose
# head has not been read. It may wait for its turn of the event loop as long.
READ_GRACE_S = WAIT_TIMEOUT_S
# Period at which a stop looks whether all such requests have been read.
READ_CHECK_S = 0.02
Handler = Callable[[Request], Awaitable[Response]]
# Returns what the body of a request is part of, given the request without its body.
BodyClassifier = Callable[[Request], ByteKind]


class HttpServer:
    """HTTP server that owns its listening socket and connections.

    Parameters
    ----------
    handler : callable
        Takes a `Request`, returns a `Response`.
    max_body_bytes : int
        Maximum size of a request's body.
    budget : ByteBudget
        Limits the bytes of requests and responses.
    classify_body : callable
        Returns the `ByteKind` of a request's body.
    inbound : Inbound or None
        Connections of all ports of the process; None for this port alone.
    kind : PortKind
        Who connects to the port.

    Attributes
    ----------
    table : ConnectionTable
        Open connections.
    client_limits : ClientLimits
    draining : bool
        Whether responses ask callers to use another connection, by a header field
        ``connection: close``.
    """

    def __init__(
        self,
        handler: Handler,
        max_body_bytes: int = MAX_BODY_BYTES,
        budget: ByteBudget = NO_BUDGET,
        classify_body: BodyClassifier = lambda request: ByteKind.REQUEST,
        inbound: Inbound | None = None,
        kind: PortKind = PortKind.CALLERS,
    ):
        self.handler = handler
        self.max_body_bytes = max_body_bytes
        self.budget = budget
        self.classify_body = classify_body
        self.inbound = inbound or Inbound()
        self.kind = kind
        self.table = self.inbound.add_port(kind)
        self.client_limits: ClientLimits = DEFAULT_CLIENT_LIMITS
        self.draining = False
        self.connections: dict[asyncio.Task, ServerConnection] = {}
        self.listener: asyncio.Server | None = None
        self.closing = False

    async def listen(self, host: str, port: int) -> int:
        """Listen on an address; return the port (chosen by the system for 0)."""
        self.listener = await open_listener(
            self.accept, host, port, RECEIVE_BYTES, READER_LIMIT_BYTES
        )
        return self.listener.sockets[0].getsockname()[1]

    def accept(self, reader, writer) -> None:
        """Start a task that serves a connection; close it if there are too many."""
        if self.closing:
            writer.close()
            return
        connection = ServerConnection(self, reader, writer)
        if not self.table.admit(connection):
            connection.record_close(CloseReason.FULL)
            writer.transport.abort()
            return
        protocol = writer.transport.get_protocol()
        protocol.on_lost = connection.lost
        protocol.on_eof = connection.end_stream
        task = asyncio.create_task(self.serve_connection(connection))
        connection.task = task
        self.connections[task] = connection
        task.add_done_callback(self.connections.pop)
        # A task that is cancelled before it starts does not run its finally clause.
        task.add_done_callback(lambda _: writer.close())

    async def serve_connection(self, connection: "ServerConnection") -> None:
        """Serve one connection until it ends."""
        try:
            await connection.run()
        except (ConnectionError, TimeoutError, h11.ProtocolError):
            pass
        finally:
            connection.close()

    def cancel(self, is_due: Callable[[ServerConnection], bool]) -> None:
        """Close the connections that are due."""
        for task, connection in list(self.connections.items()):
            if is_due(connection):
                task.cancel()

    async def wait_until_read(self, seconds: float) -> None:
        """Wait until the requests that have begun to arrive were read, or some time."""
        loop = asyncio.get_running_loop()
        end_at = loop.time() + seconds
        while loop.time() < end_at:
            if all(connection.busy for connection in self.connections.values()):
                return
            await asyncio.sleep(READ_CHECK_S)

    async def stop(self, grace: float, answers_rest: bool = False) -> None:
        """Stop listening; wait up to ``grace`` seconds for requests in progress.

        Parameters
        ----------
        grace : float
        answers_rest : bool
            Whether those that still run then get an error response; otherwise their
            connections are closed.
        """
        loop = asyncio.get_running_loop()
        end_at = loop.time() + grace
        self.closing = True
        if self.listener:
            await close_listener(self.listener)
        self.cancel(lambda connection: not connection.has_request)
        await self.wait_until_read(min(grace, READ_GRACE_S))
        self.cancel(lambda connection: not connection.busy)
        if self.connections:
            left = max(end_at - loop.time(), 0.0)
            await asyncio.wait(set(self.connections), timeout=left)
        for task, connection in list(self.connections.items()):
            if answers_rest:
                connection.answer_unfinished()
            task.cancel()
