"""Streams: one streamed answer from backend servers to a caller.

A stream that may be resumed goes on at another server when its own breaks off; the
caller sees one answer with the header fields of the first server. Any other stream
is passed on as it comes, runs once, and is cut where its server cut it. What ends
servers is held back by the `CrashGuard`, as other requests are.
"""

import asyncio
import contextlib
import datetime
from collections.abc import AsyncIterator, Coroutine

import attrs

from gypsumshift import logs
from gypsumshift.eventstream import StreamBroken, blocks, field_of
from gypsumshift.fetch import Exchange, FetchError, Withheld
from gypsumshift.outcomes import HeldBack, NotRun, Unknown
from gypsumshift.server import Abandon
from gypsumshift.serving.authorization import KEY_NOT_CONFIRMED
from gypsumshift.serving.calls import Call
from gypsumshift.serving.crashguard import HELD_BACK_REASON, Permit
from gypsumshift.serving.directory import BackendServer, ServerStart
from gypsumshift.serving.forwarder import RETRY_AFTER, Forwarder
from gypsumshift.serving.responses import end_to_end_headers, parse_refusal

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


@attrs.define
class Relayed:
    """A stream on its way.

    Attributes
    ----------
    call : Call
    permit : Permit
    tried : set of ServerStart
        Servers not to be tried again.
    runs : int
        Servers at which it may have run.
    server : BackendServer or None
        At which it runs now.
    status : int
        HTTP status of the answer that the caller got.
    last : str
        Number of the last event that the caller got; empty before the first.
    from_start : bool
        Whether the server at which it runs began with the first event.
    """

    call: Call
    permit: Permit
    tried: set[ServerStart] = attrs.field(factory=set)
    runs: int = 0
    server: BackendServer | None = None
    status: int = 200
    last: str = ""
    from_start: bool = True

    @property
    def spent(self) -> bool:
        """Whether no further server may run it."""
        route = self.call.route
        return self.runs >= (route.attempts if route.resumable else 1)


class StreamRelay:
    """Relays the streams of one forwarder.

    Parameters
    ----------
    forwarder : Forwarder
    """

    def __init__(self, forwarder: Forwarder):
        self.sender = forwarder.sender
        self.balancer = forwarder.balancer
        self.guard = forwarder.guard
        self.late_crashes = forwarder.late_crashes
        self.trials: set[asyncio.Task] = set()

    async def start(self, call: Call) -> Stream | NotRun | Unknown:
        """Open a stream at the first server that takes it."""
        permit = await self.guard.admit(call.fingerprint, call.id)
        if isinstance(permit, HeldBack):
            return permit
        if not permit.trial:
            return await self.begin(call, permit)
        # Trials are few: one whose caller leaves is made to its end.
        return await asyncio.shield(self.keep(self.begin(call, permit)))

    def keep(self, work: Coroutine) -> asyncio.Task:
        """Run a part of a trial to its end, whoever waits for it."""
        task = asyncio.create_task(work)
        self.trials.add(task)
        task.add_done_callback(self.trials.discard)
        return task

    async def begin(self, call: Call, permit: Permit) -> Stream | NotRun | Unknown:
        """Open a stream that the guard lets through."""
        relayed = Relayed(call, permit)
        opened = None
        try:
            opened = await self.open(relayed)
        finally:
            if not isinstance(opened, tuple):
                self.close(relayed)
        if not isinstance(opened, tuple):
            return opened
        exchange, server = opened
        headers = list(end_to_end_headers(exchange))
        resumable = call.route.resumable and exchange.status == 200
        relay = self.resume if resumable else self.pass_on
        relayed.status = exchange.status
        body = self.settle(relayed, relay(relayed, exchange, server))
        if permit.trial:
            body = self.read_apart(body, call.deadline)
        return Stream(exchange.status, headers, body)

    def close(self, relayed: Relayed) -> None:
        """Take the end of a stream, and look after the server at which it was cut."""
        ran = relayed.runs > 0 or relayed.server is not None
        self.guard.release_permit(relayed.permit, ran)
        if relayed.server is not None:
            self.late_crashes.check_servers(relayed.permit, [relayed.server])

    async def settle(self, relayed: Relayed, body: AsyncIterator[bytes]):
        """Yield a body, and have the guard learn how it ended."""
        try:
            async with contextlib.aclosing(body):
                async for data in body:
                    yield data
            relayed.server = None
            self.guard.record_answer(relayed.permit, relayed.status, relayed.from_start)
        finally:
            self.close(relayed)

    def read_apart(self, body, deadline: float) -> AsyncIterator[bytes]:
        """Return a body that is read to its end, also where its caller leaves."""
        parts: asyncio.Queue[bytes | Abandon | None] = asyncio.Queue()
        self.keep(self.read_all(body, parts, deadline))
        return self.parts(parts)

    async def read_all(self, body, parts: asyncio.Queue, deadline: float) -> None:
        """Read a body to its end, or to its deadline, into a queue."""
        left = max(0.0, deadline - self.sender.clock.monotonic())
        end = Abandon("an error inside this process; see its log")
        try:
            async with asyncio.timeout(left), contextlib.aclosing(body):
                async for data in body:
                    parts.put_nowait(data)
            end = None
        except Abandon as reason:
            end = reason
        except TimeoutError:
            end = Abandon("the deadline passed")
        finally:
            parts.put_nowait(end)

    async def parts(self, parts: asyncio.Queue):
        """Yield what is read apart; cut where that was."""
        while (data := await parts.get()) is not None:
            if isinstance(data, Abandon):
                raise data
            yield data

    async def open(
        self, relayed: Relayed, after: str | None = None
    ) -> tuple[Exchange, BackendServer] | NotRun | Unknown:
        """Open a stream at a server that was not tried yet.

        Parameters
        ----------
        relayed : Relayed
        after : str or None
            Number of the event behind which a stream goes on; empty for the first one,
            None where it begins.
        """
        call = relayed.call
        while True:
            service = call.route.service_for(call.id)
            servers = self.sender.directory.ready_servers(service)
            server = self.choose(relayed, servers)
            left = call.deadline - self.sender.clock.monotonic()
            if server is None or left <= 0:
                return self.not_opened(relayed)
            relayed.tried.add(server.start)
            relayed.server = server
            sent_at = self.sender.clock.now().timestamp()
            try:
                async with asyncio.timeout(left):
                    exchange = await self.open_at(call, server, after)
            except Withheld:
                relayed.server = None
                continue
            except (FetchError, TimeoutError) as error:
                if getattr(error, "sent", True):
                    self.sender.count_run(call, sent_at)
                await self.note_failure(relayed, server, error)
                continue
            if parse_refusal(exchange, self.sender.names) is None:
                self.sender.count_run(call, sent_at)
                relayed.runs += 1
                return exchange, server
            relayed.server = None
            exchange.close()

    def choose(self, relayed: Relayed, servers: list) -> BackendServer | None:
        """Return the server to try next; None where none is left or allowed."""
        if relayed.spent or self.barred(relayed):
            return None
        return self.balancer.choose(servers, relayed.tried)

    def barred(self, relayed: Relayed) -> str:
        """Return why it may not go to another server; empty where it may."""
        if not relayed.call.grant.is_valid:
            return KEY_NOT_CONFIRMED
        allowed = self.guard.may_send(relayed.permit, 0, relayed.runs > 0)
        return "" if allowed else HELD_BACK_REASON

    def not_opened(self, relayed: Relayed) -> NotRun | Unknown:
        """Return why a stream is not opened at another server."""
        barred = self.barred(relayed)
        reason = barred or "no backend server took the stream"
        if relayed.runs:
            return Unknown(reason)
        if barred == HELD_BACK_REASON:
            return self.guard.held_back_outcome(relayed.permit.fingerprint)
        return NotRun(reason, datetime.timedelta(seconds=RETRY_AFTER))

    async def open_at(
        self, call: Call, server: BackendServer, after: str | None
    ) -> Exchange:
        """Open a stream at one server; see `open`.

        The caller of a stream that goes on has its head: a failure that a server
        answers would be taken for the stream's end.
        """
        names = self.sender.names
        fields = self.sender.request_headers(call, server)
        if after:
            fields = [field for field in fields if field[0] != names.last_event]
            fields.append((names.last_event, after))
        exchange = await self.sender.open(call, server, fields, fresh=True)
        goes_on = exchange.status == 200 or parse_refusal(exchange, names) is not None
        if after is not None and not goes_on:
            exchange.close()
            raise FetchError(f"status {exchange.status}", True)
        return exchange

    async def note_failure(
        self, relayed: Relayed, server: BackendServer, error: FetchError | TimeoutError
    ) -> None:
        """Take that a stream could not be opened at a server."""
        broke = isinstance(error, FetchError)
        sent = not broke or error.sent
        relayed.runs += sent
        if not broke:
            self.late_crashes.check_servers(relayed.permit, [server])
        gone = broke and await self.sender.is_gone(error, server)
        if not gone:
            self.balancer.record_failure(
                server, self.sender.directory.ready_servers(server.service)
            )
        self.note_broken(relayed, server, str(error) or "no answer in time", sent, gone)

    def note_broken(
        self, relayed: Relayed, server: BackendServer, reason: str, sent: bool, gone
    ) -> None:
        """Take that a stream broke, and that its server ended where it is gone."""
        relayed.server = None
        if gone:
            self.balancer.record_gone(server)
        if gone and sent:
            self.guard.record_crash(relayed.permit, server.start)
        logs.event(
            log,
            "A stream broke.",
            request=relayed.call.id,
            fingerprint=relayed.call.fingerprint,
            server=server.id,
            after=relayed.last,
            reason=reason,
            ended=gone and sent,
        )

    async def pass_on(self, relayed: Relayed, exchange: Exchange, server):
        """Yield the bytes of one server as they come."""
        with contextlib.closing(exchange):
            try:
                async for data in exchange.chunks():
                    yield data
            except FetchError as error:
                gone = await self.sender.is_gone(error, server)
                self.note_broken(relayed, server, str(error), True, gone)
                raise Abandon(str(error)) from error

    async def resume(self, relayed: Relayed, exchange: Exchange, server):
        """Yield whole events; goes on elsewhere where a server breaks off."""
        call = relayed.call
        relayed.last = call_header(call, self.sender.names.last_event)
        relayed.from_start = not relayed.last
        while True:
            try:
                with contextlib.closing(exchange):
                    async for block in blocks(exchange, SILENCE_TIMEOUT):
                        yield block + b"\n\n"
                        relayed.last = field_of(block, "id") or relayed.last
                return
            except StreamBroken as error:
                reason = str(error)
                gone = await self.sender.is_gone(error, server)
            self.note_broken(relayed, server, reason, True, gone)
            relayed.from_start = not relayed.last
            opened = await self.open(relayed, relayed.last)
            if not isinstance(opened, tuple):
                told = f"{reason}; {opened.reason}"
                raise Abandon(f"cannot be resumed behind event {relayed.last}: {told}")
            exchange, server = opened


def call_header(call: Call, name: str) -> str:
    """Return a header field of a call."""
    return next((value for key, value in call.headers if key == name), "")
