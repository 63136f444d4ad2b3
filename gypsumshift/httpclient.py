"""HTTP client: HTTP/1.1 to backend servers and to the platform, based on h11.

Each exchange has a connection of its own. A connection is reused only if both sides of
the exchange ended cleanly and no unread data is left on it.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import attrs
import h11

from gypsumshift.flowcontrol import open_limited_connection
from gypsumshift.httpconnection import (
    AnswerTooLarge,
    ClientConnection,
    Exchange,
    FetchError,
    RequestWithheld,
    encode_fields,
)
from gypsumshift.turngate import TurnGate
from gypsumshift.wholenumbers import parse_whole_number

__all__ = [
    "AnswerTooLarge",
    "Exchange",
    "FetchError",
    "FetchedResponse",
    "Fetcher",
    "RequestWithheld",
]

MAX_IDLE_PER_ADDRESS = 64
CONNECT_TIMEOUT_S = 2.0
# Time for which an idle connection may be reused if the server does not announce a
# time-out; common servers keep idle connections for 5 s.
IDLE_TIMEOUT_S = 4.0
# Maximum size of a body that `Fetcher.fetch` returns, unless the caller sets another: a
# multiple of the largest page or table that the store or a neighbour sends.
MAX_FETCHED_BYTES = 8 * 1024 * 1024
# Used fraction of the time-out that a server announces; the rest allows for latency.
IDLE_SHARE = 0.8


@attrs.frozen
class FetchedResponse:
    """Status, header fields and complete body of a response.

    Attributes
    ----------
    status : int
    headers : list of (bytes, bytes)
    body : bytes
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class Fetcher:
    """HTTP client with a pool of connections for each address.

    Parameters
    ----------
    reset_on_close : bool
        Whether to reset connections when they are closed, which discards unsent data.
        Otherwise data sent into a broken network may arrive long after the request was
        given up.
    receive_window_bytes : int or None
        Limit of what a connection buffers before the other side is slowed down; None
        for the system's usual limits.

    Attributes
    ----------
    idle : dict
        Connections without an exchange, by address.
    in_use : dict
        Connections with an exchange in progress, by address.
    gate : TurnGate
        Passed by responses in many small pieces, whose parsing holds the event loop.
    on_connect : callable or None
        Called with the address and the seconds that a new connection took to open.
    """

    def __init__(
        self, reset_on_close: bool = False, receive_window_bytes: int | None = None
    ):
        self.reset_on_close = reset_on_close
        self.receive_window_bytes = receive_window_bytes
        self.gate = TurnGate()
        self.idle: dict[tuple[str, int], list[ClientConnection]] = {}
        self.in_use: dict[tuple[str, int], set[ClientConnection]] = {}
        self.on_connect: Callable[[tuple[str, int], float], None] | None = None

    async def connect(
        self, address: tuple[str, int], timeout: float = CONNECT_TIMEOUT_S
    ) -> ClientConnection:
        """Open a connection; a `FetchError` means that nothing was sent."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        try:
            async with asyncio.timeout(timeout):
                connection = await self.open_connection(address)
        except (OSError, OverflowError, TimeoutError) as error:
            reason = f"connection to {address[0]}:{address[1]} failed: {error}"
            refused = isinstance(error, ConnectionRefusedError)
            raise FetchError(reason, False, refused=refused) from error
        if self.on_connect is not None:
            self.on_connect(address, loop.time() - started)
        return connection

    async def open_connection(self, address: tuple[str, int]) -> ClientConnection:
        """Open a connection whose buffers have the configured limits."""
        window = self.receive_window_bytes
        if window is None:
            streams = await asyncio.open_connection(*address)
            return ClientConnection(*streams, self.reset_on_close)
        streams = await open_limited_connection(address, window)
        return ClientConnection(*streams, self.reset_on_close, window)

    async def is_connection_refused(
        self, address: tuple[str, int], timeout: float
    ) -> bool:
        """Return whether connections to an address are refused: no process listens.

        A host that does not answer counts as not refusing, since it may be unreachable.
        A connection that this opens is kept for the next exchange.
        """
        try:
            connection = await self.connect(address, timeout)
        except FetchError as error:
            return error.refused
        self.keep_idle(address, connection, IDLE_TIMEOUT_S)
        return False

    def take_idle(self, address: tuple[str, int]) -> ClientConnection | None:
        """Return an idle connection that can be reused; close the others."""
        connections = self.idle.get(address, [])
        while connections:
            connection = connections.pop()
            fresh = asyncio.get_running_loop().time() < connection.idle_until
            if fresh and connection.has_nothing_unread():
                return connection
            connection.close()
        return None

    def has_idle_connection(self, address: tuple[str, int]) -> bool:
        """Return whether there is an idle connection that can be reused."""
        now = asyncio.get_running_loop().time()
        connections = self.idle.get(address, ())
        return any(
            connection.idle_until > now and connection.has_nothing_unread()
            for connection in connections
        )

    def open_connections(self, address: tuple[str, int]) -> list[ClientConnection]:
        """Return the idle connections to an address, and those in use."""
        return [*self.idle.get(address, ()), *self.in_use.get(address, ())]

    async def open(
        self,
        address: tuple[str, int],
        method: str,
        target: str,
        headers: list[tuple],
        body: bytes = b"",
        fresh: bool = False,
        host: str = "",
        connect_timeout: float = CONNECT_TIMEOUT_S,
        allowed: Callable[[], bool] | None = None,
        on_connection: Callable[[ClientConnection], Awaitable[None]] | None = None,
    ) -> Exchange:
        """Send a request and read the head of its response.

        Parameters
        ----------
        address : (str, int)
            IP address and port.
        method, target : str
        headers : list of (name, value)
            Without those that concern the connection or the length of the body.
        body : bytes
        fresh : bool
            Whether to open a new connection. An idle one may turn out to be closed
            only after the request was sent, so that its outcome is unknown.
        host : str
            Value of the Host header; the address by default.
        connect_timeout : float
            Seconds.
        allowed : callable or None
            Called right before the first byte is sent; if it returns False, the
            request is not sent.
        on_connection : callable or None
            Called with the connection before ``allowed``, and waited for.

        Returns
        -------
        Exchange
            The caller must close it.

        Raises
        ------
        FetchError
            ``sent`` tells whether the server may have received the request.
        RequestWithheld
            ``allowed`` returned False.
        """
        connection = None if fresh else self.take_idle(address)
        if connection is None:
            connection = await self.connect(address, connect_timeout)
            reused = False
        else:
            reused = True
        if on_connection is not None:
            await self.announce_connection(address, connection, on_connection)
        if allowed is not None and not allowed():
            self.keep_idle(address, connection, IDLE_TIMEOUT_S)
            raise RequestWithheld
        exchange = Exchange(self, address, connection)
        exchange.reused = reused
        exchange.has_body = method != "HEAD"
        connection.repeatable = not fresh
        self.in_use.setdefault(address, set()).add(connection)
        fields = [("host", host or f"{address[0]}:{address[1]}"), *headers]
        fields.append(("content-length", str(len(body))))
        try:
            request = h11.Request(
                method=method, target=target, headers=encode_fields(fields)
            )
            data = connection.state.send(request)
        except (h11.LocalProtocolError, UnicodeError) as error:
            self.close_failed(address, connection)
            raise FetchError(
                f"request not sent, it is malformed: {error}", False
            ) from error
        try:
            await connection.send_body(data, body)
            await exchange.read_head()
        except BaseException as error:
            self.close_failed(address, connection)
            if isinstance(error, ConnectionError):
                reason = f"connection broke before the response: {error}"
                raise FetchError(reason, True, reused, closed=True) from error
            if isinstance(error, FetchError):
                error.reused = reused
            raise
        return exchange

    async def announce_connection(
        self,
        address: tuple[str, int],
        connection: ClientConnection,
        on_connection: Callable[[ClientConnection], Awaitable[None]],
    ) -> None:
        """Call ``on_connection``; keep the connection if that is cancelled or fails."""
        try:
            await on_connection(connection)
        except BaseException:
            self.keep_idle(address, connection, IDLE_TIMEOUT_S)
            raise

    async def fetch(
        self,
        address,
        method,
        target,
        headers=(),
        body=b"",
        timeout=10.0,
        allowed: Callable[[], bool] | None = None,
        on_connection: Callable[[ClientConnection], Awaitable[None]] | None = None,
        max_bytes: int = MAX_FETCHED_BYTES,
    ) -> FetchedResponse:
        """Send a request and return its complete response, within ``timeout`` seconds.

        A body of more than ``max_bytes`` raises `FetchError`. The other parameters are
        those of `open`.
        """
        try:
            async with asyncio.timeout(timeout):
                exchange = await self.open(
                    address,
                    method,
                    target,
                    list(headers),
                    body,
                    allowed=allowed,
                    on_connection=on_connection,
                )
                with contextlib.closing(exchange):
                    content = await exchange.read(max_bytes=max_bytes)
                    return FetchedResponse(exchange.status, exchange.headers, content)
        except TimeoutError as error:
            raise FetchError(
                f"no complete response within {timeout} s", True
            ) from error

    def release(self, exchange: Exchange) -> None:
        """Keep the connection of an exchange if it can be reused, else close it."""
        connection = exchange.connection
        self.remove_in_use(exchange.address, connection)
        if not exchange.keeps_connection or not connection.is_reusable():
            connection.close()
            return
        connection.state.start_next_cycle()
        granted = keep_alive_seconds(exchange.header(b"keep-alive"))
        self.keep_idle(exchange.address, connection, granted)

    def keep_idle(
        self, address: tuple[str, int], connection: ClientConnection, seconds: float
    ) -> None:
        """Keep an idle connection for some seconds, up to the limit per address."""
        connections = self.idle.setdefault(address, [])
        if len(connections) >= MAX_IDLE_PER_ADDRESS:
            connection.close()
            return
        connection.idle_until = asyncio.get_running_loop().time() + seconds
        connections.append(connection)

    def close_failed(
        self, address: tuple[str, int], connection: ClientConnection
    ) -> None:
        """Close a connection whose exchange failed."""
        self.remove_in_use(address, connection)
        connection.close()

    def remove_in_use(
        self, address: tuple[str, int], connection: ClientConnection
    ) -> None:
        """Remove a connection whose exchange has ended from those in use."""
        connections = self.in_use.get(address, set())
        connections.discard(connection)
        if not connections:
            self.in_use.pop(address, None)

    def close_connections(self, address: tuple[str, int]) -> None:
        """Close the connections to a server that has restarted.

        Its requests were lost with the old process, and idle connections to that
        process are useless. Connections of requests that must not be repeated stay
        open: one may already lead to the new process, and its response would be lost.
        """
        for connection in self.idle.pop(address, []):
            connection.close()
        for connection in list(self.in_use.get(address, ())):
            if connection.repeatable:
                connection.close()

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connections in self.idle.values():
            for connection in connections:
                connection.close()
        self.idle.clear()


def keep_alive_seconds(field: str) -> float:
    """Return the seconds for which a connection may stay idle by its Keep-Alive."""
    for parameter in field.split(","):
        name, _, value = parameter.strip().partition("=")
        seconds = parse_whole_number(value)
        if name.lower() == "timeout" and seconds is not None:
            return seconds * IDLE_SHARE
    return IDLE_TIMEOUT_S
