"""Fetch: HTTP/1.1 towards backend servers and the platform, by h11.

One exchange owns its connection. A connection is used again only after both
sides of an exchange ended cleanly and nothing unread is left on it.
"""

import asyncio
import contextlib
from collections.abc import Callable

import attrs
import h11

from gypsumshift.httpconnection import (
    ClientConnection,
    Exchange,
    FetchError,
    RequestWithheld,
)

__all__ = ["Exchange", "FetchError", "FetchedResponse", "Fetcher", "RequestWithheld"]

MAX_IDLE_PER_ADDRESS = 64
CONNECT_TIMEOUT_S = 2.0
# Seconds for which an idle connection is used again where the server does not
# say; common servers keep one for five.
IDLE_TIMEOUT_S = 4.0
# Part of the time a server grants that is left unused, for the way there.
IDLE_SHARE = 0.8


@attrs.frozen
class FetchedResponse:
    """A whole answer.

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
    """HTTP client with connections per address; owns them all.

    Parameters
    ----------
    resets : bool
        Whether a connection that is cut delivers nothing any more: else what was sent
        into a cut network may arrive long after it was given up.

    Attributes
    ----------
    idle : dict
        Connections that wait for their next exchange, by address.
    used : dict
        Connections in an exchange, by address.
    """

    def __init__(self, reset_on_close: bool = False):
        self.reset_on_close = reset_on_close
        self.idle: dict[tuple[str, int], list[ClientConnection]] = {}
        self.in_use: dict[tuple[str, int], set[ClientConnection]] = {}

    async def connect(
        self, address: tuple[str, int], timeout: float = CONNECT_TIMEOUT_S
    ) -> ClientConnection:
        """Open a connection; failing that, nothing was sent."""
        try:
            async with asyncio.timeout(timeout):
                return ClientConnection(
                    *await asyncio.open_connection(*address), self.reset_on_close
                )
        except (OSError, TimeoutError) as error:
            reason = f"no connection to {address[0]}:{address[1]}: {error}"
            refused = isinstance(error, ConnectionRefusedError)
            raise FetchError(reason, False, refused=refused) from error

    async def is_connection_refused(
        self, address: tuple[str, int], timeout: float
    ) -> bool:
        """Tell whether nobody listens at an address; one that is silent may be cut off.

        A connection that this opens is kept for the next exchange.
        """
        try:
            wire = await self.connect(address, timeout)
        except FetchError as error:
            return error.refused
        self.keep_idle(address, wire, IDLE_TIMEOUT_S)
        return False

    def take_idle(self, address: tuple[str, int]) -> ClientConnection | None:
        """Return an idle connection that is still clean."""
        wires = self.idle.get(address, [])
        while wires:
            wire = wires.pop()
            fresh = asyncio.get_running_loop().time() < wire.idle_until
            if fresh and wire.has_nothing_unread():
                return wire
            wire.close()
        return None

    def has_idle_connection(self, address: tuple[str, int]) -> bool:
        """Tell whether a connection lies idle that may be used again."""
        now = asyncio.get_running_loop().time()
        wires = self.idle.get(address, ())
        return any(
            wire.idle_until > now and wire.has_nothing_unread() for wire in wires
        )

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
    ) -> Exchange:
        """Send a request and read the head of its answer.

        Parameters
        ----------
        address : (str, int)
            IP number and port.
        method, target : str
        headers : list of (name, value)
            Without those about the connection and the length.
        body : bytes
        fresh : bool
            Open a new connection: one that lay idle may turn out closed only
            after the request was sent, which leaves its fate unknown.
        host : str
            Host header field; the address by default.
        connect_timeout : float
            Seconds.
        allowed : callable or None
            Asked right before the first byte is sent.

        Returns
        -------
        Exchange
            The caller must close it.

        Raises
        ------
        FetchError
            ``sent`` tells whether the server may have seen the request.
        Withheld
            It is not allowed any more.
        """
        wire = None if fresh else self.take_idle(address)
        if wire is None:
            wire = await self.connect(address, connect_timeout)
            reused = False
        else:
            reused = True
        if allowed is not None and not allowed():
            self.keep_idle(address, wire, IDLE_TIMEOUT_S)
            raise RequestWithheld
        exchange = Exchange(self, address, wire)
        exchange.reused = reused
        wire.repeatable = not fresh
        self.in_use.setdefault(address, set()).add(wire)
        fields = [("host", host or f"{address[0]}:{address[1]}"), *headers]
        fields.append(("content-length", str(len(body))))
        try:
            request = h11.Request(method=method, target=target, headers=fields)
            data = wire.state.send(request)
        except h11.LocalProtocolError as error:
            self.close_failed(address, wire)
            raise FetchError(f"the request is malformed: {error}", False) from error
        if body:
            data += wire.state.send(h11.Data(body))
        data += wire.state.send(h11.EndOfMessage())
        try:
            wire.writer.write(data)
            await wire.writer.drain()
            await exchange.read_head()
        except BaseException as error:
            self.close_failed(address, wire)
            if isinstance(error, ConnectionError):
                reason = f"the connection broke: {error}"
                raise FetchError(reason, True, reused, closed=True) from error
            if isinstance(error, FetchError):
                error.reused = reused
            raise
        return exchange

    async def fetch(
        self,
        address,
        method,
        target,
        headers=(),
        body=b"",
        timeout=10.0,
        allowed: Callable[[], bool] | None = None,
    ) -> FetchedResponse:
        """Send a request and return its whole answer, within ``timeout`` seconds.

        The other parameters are those of `open`.
        """
        try:
            async with asyncio.timeout(timeout):
                exchange = await self.open(
                    address, method, target, list(headers), body, allowed=allowed
                )
                with contextlib.closing(exchange):
                    content = await exchange.read()
                    return FetchedResponse(exchange.status, exchange.headers, content)
        except TimeoutError as error:
            raise FetchError("no answer in time", True) from error

    def release(self, exchange: Exchange) -> None:
        """Keep the connection of an exchange where it is clean, else cut it."""
        wire = exchange.connection
        self.remove_in_use(exchange.address, wire)
        if not wire.is_reusable():
            wire.close()
            return
        wire.state.start_next_cycle()
        granted = keep_alive_seconds(exchange.header(b"keep-alive"))
        self.keep_idle(exchange.address, wire, granted)

    def keep_idle(
        self, address: tuple[str, int], wire: ClientConnection, seconds: float
    ) -> None:
        """Keep a clean connection for so long, unless many are kept already."""
        wires = self.idle.setdefault(address, [])
        if len(wires) >= MAX_IDLE_PER_ADDRESS:
            wire.close()
            return
        wire.idle_until = asyncio.get_running_loop().time() + seconds
        wires.append(wire)

    def close_failed(self, address: tuple[str, int], wire: ClientConnection) -> None:
        """Cut a connection whose exchange failed."""
        self.remove_in_use(address, wire)
        wire.close()

    def remove_in_use(self, address: tuple[str, int], wire: ClientConnection) -> None:
        """Take that a connection's exchange has ended."""
        wires = self.in_use.get(address, set())
        wires.discard(wire)
        if not wires:
            self.in_use.pop(address, None)

    def close_connections(self, address: tuple[str, int]) -> None:
        """Cut the connections to a server that started again.

        Whatever ran there is at no server any more, and nothing that is still to come
        on an idle connection belongs to anyone. Not those of requests that may not be
        repeated: one that was opened to the new start already would lose its answer.
        """
        for wire in self.idle.pop(address, []):
            wire.close()
        for wire in list(self.in_use.get(address, ())):
            if wire.repeatable:
                wire.close()

    def close_idle(self) -> None:
        """Cut all idle connections."""
        for wires in self.idle.values():
            for wire in wires:
                wire.close()
        self.idle.clear()


def keep_alive_seconds(field: str) -> float:
    """Return the seconds for which a connection may lie idle by its header field."""
    for parameter in field.split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return int(value) * IDLE_SHARE
    return IDLE_TIMEOUT_S
