"""Streams: one streamed answer from backend servers to a caller.

A stream that may be resumed goes on at another server when its own breaks off; the
caller sees one answer with the header fields of the first server. Any other stream
is passed on as it comes, runs once, and is cut where its server cut it.
"""

import asyncio
import contextlib
import datetime
from collections.abc import AsyncIterator

import attrs

from gypsumshift import logs
from gypsumshift.eventstream import StreamBroken, blocks, field_of
from gypsumshift.fetch import Exchange, FetchError
from gypsumshift.outcomes import NotRun, Unknown
from gypsumshift.server import Abandon
from gypsumshift.serving.answers import passed_headers, refusal
from gypsumshift.serving.calls import Call
from gypsumshift.serving.directory import BackendServer, ServerStart
from gypsumshift.serving.forwarder import RETRY_AFTER, Forwarder

__all__ = ["Stream", "StreamRelay"]

# Seconds without an event after which a resumable stream is taken up elsewhere:
# callers give up after two.
SILENCE_TIMEOUT = 1.2

log = logs.logger("streams")


@attrs.frozen
class Stream:
    """A streamed answer that has begun.

    Attributes
    ----------
    status : int
    headers : list of (str, str)
    body : async iterator of bytes
    """

    status: int
    headers: list[tuple[str, str]]
    body: AsyncIterator[bytes]


class StreamRelay:
    """Relays the streams of one forwarder.

    Parameters
    ----------
    forwarder : Forwarder
    """

    def __init__(self, forwarder: Forwarder):
        self.forwarder = forwarder

    async def start(self, call: Call) -> Stream | NotRun | Unknown:
        """Open a stream at the first server that takes it."""
        opened = await self.open(call, set())
        if not isinstance(opened, tuple):
            return opened
        exchange, server = opened
        headers = list(passed_headers(exchange))
        resumable = call.route.resumable and exchange.status == 200
        relay = self.resume if resumable else self.pass_on
        return Stream(exchange.status, headers, relay(call, exchange, server))

    async def open(
        self, call: Call, tried: set[ServerStart], after: str = ""
    ) -> tuple[Exchange, BackendServer] | NotRun | Unknown:
        """Open a stream behind an event at a server that was not tried yet."""
        sender, pool = self.forwarder.sender, self.forwarder.pool
        while True:
            service = call.route.service_for(call.id)
            servers = sender.directory.service(service)
            server = pool.choose(servers, tried)
            left = call.deadline - sender.clock.monotonic()
            if server is None or left <= 0:
                pause = datetime.timedelta(seconds=RETRY_AFTER)
                return NotRun("no backend server took the stream", pause)
            tried.add(server.start)
            fields = sender.fields(call, server)
            if after:
                fields = [f for f in fields if f[0] != sender.names.last_event]
                fields.append((sender.names.last_event, after))
            try:
                async with asyncio.timeout(left):
                    exchange = await sender.open(call, server, fields, fresh=True)
            except (FetchError, TimeoutError) as error:
                pool.failed(server, servers)
                unsent = isinstance(error, FetchError) and not error.sent
                if unsent or call.route.resumable:
                    continue
                return Unknown(str(error) or "no answer in time")
            if refusal(exchange, sender.names) is None:
                return exchange, server
            exchange.close()

    async def pass_on(self, call: Call, exchange: Exchange, server):
        """Yield the bytes of one server as they come."""
        with contextlib.closing(exchange):
            try:
                async for data in exchange.chunks():
                    yield data
            except FetchError as error:
                raise Abandon(str(error)) from error

    async def resume(self, call: Call, exchange: Exchange, server):
        """Yield whole events; goes on elsewhere where a server breaks off."""
        tried = {server.start}
        last = call_header(call, self.forwarder.sender.names.last_event)
        while True:
            try:
                with contextlib.closing(exchange):
                    async for block in blocks(exchange, SILENCE_TIMEOUT):
                        yield block + b"\n\n"
                        last = field_of(block, "id") or last
                return
            except StreamBroken as error:
                reason = str(error)
            logs.event(
                log,
                "A stream broke and is resumed.",
                request=call.id,
                server=server.id,
                after=last,
                reason=reason,
            )
            opened = None
            if len(tried) < call.route.attempts:
                opened = await self.open(call, tried, last)
            if not isinstance(opened, tuple):
                raise Abandon(f"cannot be resumed behind event {last}: {reason}")
            exchange, server = opened


def call_header(call: Call, name: str) -> str:
    """Return a header field of a call."""
    return next((value for key, value in call.headers if key == name), "")
