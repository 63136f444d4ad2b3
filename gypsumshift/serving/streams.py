"""Relaying of streamed answers from backend servers to a caller.

A resumable stream continues at another server if its server breaks off; the caller
receives one answer with the header fields of the first server. Any other stream is
relayed unmodified, runs once, and ends where its server broke off. Streams that end
servers are held back by the `CrashGuard`, as other requests are.
"""

import asyncio
import contextlib
import datetime
from collections.abc import AsyncIterator, Coroutine

from gypsumshift import logs
from gypsumshift.bytebudget import ByteKind, Holding
from gypsumshift.eventstream import StreamBroken, event_field, iter_events
from gypsumshift.httpclient import Exchange, FetchError, RequestWithheld
from gypsumshift.httpserver import ResponseAborted
from gypsumshift.outcomes import HeldBack, NotRun, Unknown
from gypsumshift.residency import NO_HOME_SERVER
from gypsumshift.serving.authorization import KEY_NOT_CONFIRMED
from gypsumshift.serving.calls import Call
from gypsumshift.serving.crashguard import HELD_BACK_REASON, Permit
from gypsumshift.serving.directory import BackendServer
from gypsumshift.serving.forwarder import (
    ALL_EVACUATED,
    EVACUATED_RETRY_SECONDS,
    NO_ROUTE,
    RETRY_AFTER_SECONDS,
    Forwarder,
)
from gypsumshift.serving.responses import (
    check_origin,
    end_to_end_headers,
    parse_refusal,
)
from gypsumshift.serving.streamstate import RelayState, Stream

__all__ = ["STREAM_WINDOW_BYTES", "StreamRelay"]

# Time without an event after which a resumable stream continues at another server.
# Callers give up after 2 s.
SILENCE_TIMEOUT_SECONDS = 1.2
# What a process buffers for a stream whose caller does not read: 48 kB received and not
# read yet, 32 kB that are being decoded and relayed, 32 kB not sent yet, and the states
# of both connections.
STREAM_WINDOW_BYTES = 128 * 1024

log = logs.logger("streams")


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
        self.trial_tasks: set[asyncio.Task] = set()

    async def start(self, call: Call) -> Stream | NotRun | Unknown:
        """Open a stream at the first server that accepts it."""
        if not call.holding.add(ByteKind.STREAM, STREAM_WINDOW_BYTES):
            return budget_refusal(call)
        permit = await self.guard.admit(call.fingerprint, call.id)
        if isinstance(permit, HeldBack):
            return permit
        if not permit.trial:
            return await self.start_permitted(call, permit)
        # Trials are rare, so a trial runs to its end even if the caller disconnects.
        return await asyncio.shield(
            self.start_trial_task(self.start_permitted(call, permit))
        )

    def start_trial_task(self, work: Coroutine) -> asyncio.Task:
        """Run a part of a trial in a task that is not cancelled with the caller."""
        task = asyncio.create_task(work)
        self.trial_tasks.add(task)
        task.add_done_callback(self.trial_tasks.discard)
        return task

    async def start_permitted(
        self, call: Call, permit: Permit
    ) -> Stream | NotRun | Unknown:
        """Open a stream that the guard permits."""
        state = RelayState(call, permit)
        opened = None
        try:
            opened = await self.open(state)
        finally:
            if not isinstance(opened, tuple):
                self.finish(state)
        if not isinstance(opened, tuple):
            return opened
        exchange, server = opened
        headers = list(end_to_end_headers(exchange))
        resumable = call.route.resumable and exchange.status == 200
        relay = self.relay_resumable if resumable else self.relay_unmodified
        state.status = exchange.status
        body = self.report_end(state, relay(state, exchange, server))
        if permit.trial:
            body = self.read_detached(body, call)
        return Stream(exchange.status, headers, body)

    def finish(self, state: RelayState) -> None:
        """Close a stream's permit, and watch the server if the stream was cut off."""
        self.count_at(state, None)
        ran = state.runs > 0 or state.server is not None
        self.guard.release_permit(state.permit, ran)
        if state.server is not None:
            self.late_crashes.check_servers(state.permit, [state.server])
            self.end_run(state)

    def end_run(self, state: RelayState) -> None:
        """Record that a stream no longer runs at its server."""
        self.guard.end_run(state.permit, state.server.start)
        self.count_at(state, None)
        state.server = None

    def count_at(self, state: RelayState, server: BackendServer | None) -> None:
        """Count the bytes of a call as outstanding at a server instead of the last one.

        With None, they are not counted any more.
        """
        limits, size = self.balancer.byte_limits, len(state.call.body)
        if state.counted_at is not None:
            limits.end(state.counted_at, size)
        if server is not None:
            limits.begin(server, size)
        state.counted_at = server

    async def report_end(self, state: RelayState, body: AsyncIterator[bytes]):
        """Yield a body, and report its end to the guard."""
        try:
            async with contextlib.aclosing(body):
                async for data in body:
                    yield data
            self.sender.calls.record_answer(state.call)
            self.guard.record_answer(state.permit, state.status, state.from_start)
            self.end_run(state)
        finally:
            self.finish(state)

    def read_detached(self, body, call: Call) -> AsyncIterator[bytes]:
        """Return a body that is read to its end even if the caller disconnects."""
        parts: asyncio.Queue[bytes | ResponseAborted | None] = asyncio.Queue()
        self.start_trial_task(self.read_all(body, parts, call))
        return self.read_queue(parts, call.holding)

    async def read_all(self, body, parts: asyncio.Queue, call: Call) -> None:
        """Read a body into a queue until its end or the call's deadline.

        Once a part does not fit into the memory budget, or the caller disconnected, the
        rest is discarded.
        """
        end = ResponseAborted("an error inside this process; see its log")
        try:
            async with self.sender.calls.limit(call), contextlib.aclosing(body):
                fits = True
                async for data in body:
                    fits = fits and call.holding.add(ByteKind.STREAM, len(data))
                    if fits and not call.holding.ended:
                        parts.put_nowait(data)
            if fits:
                end = None
            else:
                end = ResponseAborted("it does not fit into the memory budget")
        except ResponseAborted as reason:
            end = reason
        except TimeoutError:
            end = ResponseAborted("the deadline passed")
        finally:
            parts.put_nowait(end)

    async def read_queue(self, parts: asyncio.Queue, holding: Holding):
        """Yield queued parts of a body; raise `ResponseAborted` if it was cut off."""
        while (data := await parts.get()) is not None:
            if isinstance(data, ResponseAborted):
                raise data
            yield data
            holding.remove(ByteKind.STREAM, len(data))

    async def open(
        self, state: RelayState, after: str | None = None
    ) -> tuple[Exchange, BackendServer] | NotRun | Unknown:
        """Open a stream at a server that was not tried yet.

        Parameters
        ----------
        state : RelayState
        after : str or None
            Number of the event after which a stream is resumed; empty to resume from
            the first event, None for a new stream.
        """
        call = state.call
        while True:
            await self.wait_for_runs(state)
            servers = self.sender.directory.ready_servers_for(call)
            server = self.choose(state, servers)
            left = call.deadline - self.sender.clock.monotonic()
            if server is None or left <= 0:
                return self.not_opened_outcome(state)
            state.tried.add(server.start)
            state.server = server
            self.guard.begin_run(state.permit, server.start)
            self.count_at(state, server)
            sent_at = self.sender.clock.now().timestamp()
            try:
                async with self.sender.calls.limit(call):
                    exchange = await self.open_at(call, server, after)
            except RequestWithheld:
                self.end_run(state)
                continue
            except (FetchError, TimeoutError) as error:
                if getattr(error, "sent", True):
                    self.sender.count_run(call, sent_at)
                await self.handle_open_failure(state, server, error)
                continue
            if parse_refusal(exchange, self.sender.names) is None:
                self.sender.count_run(call, sent_at)
                state.runs += 1
                return exchange, server
            self.end_run(state)
            exchange.close()

    async def wait_for_runs(self, state: RelayState) -> None:
        """Wait for other runs of the request that prevent one more, if any."""
        left = state.call.deadline - self.sender.clock.monotonic()
        if not state.exhausted:
            await self.guard.wait_until_sendable(state.permit, state.runs > 0, left)

    def choose(self, state: RelayState, servers: list) -> BackendServer | None:
        """Return the server to try next; None if none is left or allowed."""
        if state.exhausted or self.blocked_reason(state):
            return None
        servers = self.sender.residency.permitted(state.call, servers)
        return self.balancer.choose(servers, state.tried, len(state.call.body))

    def blocked_reason(self, state: RelayState) -> str:
        """Return why no further server may be tried; empty if one may."""
        if not state.call.has_route:
            return NO_ROUTE
        if not state.call.grant.is_valid:
            return KEY_NOT_CONFIRMED
        if self.sender.residency.lacks_home_server(state.call):
            return NO_HOME_SERVER
        allowed = self.guard.may_send(state.permit, state.runs > 0)
        return "" if allowed else HELD_BACK_REASON

    def not_opened_outcome(self, state: RelayState) -> NotRun | Unknown:
        """Return the outcome of a stream that is not opened at another server."""
        blocked = self.blocked_reason(state)
        if blocked == NO_HOME_SERVER:
            route = state.call.route.name
            self.sender.metrics.count("residency_refusals", route=route)
        reason = blocked or "no backend server accepted the stream"
        service = state.call.service_by(self.sender.directory.routes)
        evacuated = self.sender.directory.is_service_evacuated(service)
        if evacuated and not blocked:
            reason = ALL_EVACUATED
        if state.runs:
            return Unknown(reason)
        if blocked == HELD_BACK_REASON:
            return self.guard.held_back_outcome(state.permit.fingerprint)
        pause = EVACUATED_RETRY_SECONDS if evacuated else RETRY_AFTER_SECONDS
        return NotRun(reason, datetime.timedelta(seconds=pause))

    async def open_at(
        self, call: Call, server: BackendServer, after: str | None
    ) -> Exchange:
        """Open a stream at one server, or resume it there after an event.

        When a stream is resumed, the caller already has its head. A server's error
        response is therefore raised as `FetchError`, since relaying its body would look
        like the end of the stream.
        """
        names = self.sender.names
        fields = self.sender.request_headers(call, server)
        if after:
            fields = [field for field in fields if field[0] != names.last_event]
            fields.append((names.last_event, after))
        exchange = await self.sender.open(call, server, fields, fresh=True)
        try:
            check_origin(exchange, names, call.id)
        except FetchError:
            exchange.close()
            raise
        accepted = exchange.status == 200 or parse_refusal(exchange, names) is not None
        if after is not None and not accepted:
            exchange.close()
            raise FetchError(
                f"backend server answered with status {exchange.status} instead of"
                " resuming the stream",
                True,
            )
        return exchange

    async def handle_open_failure(
        self,
        state: RelayState,
        server: BackendServer,
        error: FetchError | TimeoutError,
    ) -> None:
        """Record that a stream could not be opened at a server."""
        connection_failed = isinstance(error, FetchError)
        sent = not connection_failed or error.sent
        state.runs += sent
        if not connection_failed:
            self.late_crashes.check_servers(state.permit, [server])
        if not sent:
            self.balancer.record_unconnected(server)
        gone = connection_failed and await self.sender.is_gone(error, server)
        if not gone:
            self.balancer.record_failure(
                server, self.sender.directory.ready_servers(server.service)
            )
        self.handle_broken_stream(
            state, server, str(error) or "no answer in time", sent, gone
        )

    def handle_broken_stream(
        self, state: RelayState, server: BackendServer, reason: str, sent: bool, gone
    ) -> None:
        """Record that a stream broke, and whether its server ended while running it."""
        if gone:
            self.sender.record_gone(server)
        if gone and sent:
            self.guard.record_crash(state.permit, server.start)
            self.balancer.byte_limits.record_crash(server)
        self.count_at(state, None)
        self.end_run(state)
        logs.event(
            log,
            "Stream from a backend server could not be opened or broke off.",
            request=state.call.id,
            fingerprint=state.call.fingerprint,
            server=server.id,
            after=state.last_event,
            reason=reason,
            ended=gone and sent,
        )

    async def relay_unmodified(self, state: RelayState, exchange: Exchange, server):
        """Yield the bytes of one server's answer as they arrive."""
        with contextlib.closing(exchange):
            try:
                async for data in self.until_answer_due(state, exchange.chunks()):
                    yield data
            except FetchError as error:
                gone = await self.sender.is_gone(error, server)
                self.handle_broken_stream(state, server, str(error), True, gone)
                raise ResponseAborted(str(error)) from error

    async def until_answer_due(
        self, state: RelayState, parts: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        """Yield parts of an answer until it is complete or due.

        Only the wait for the server is limited here; a caller that does not read is cut
        off by its connection.

        Raises
        ------
        ResponseAborted
            The answer is due and not complete.
        """
        call = state.call
        while True:
            try:
                async with self.sender.calls.limit(call, streamed=True):
                    part = await anext(parts, None)
            except TimeoutError as error:
                self.log_unfinished_stream(state)
                raise ResponseAborted("the stream is not complete in time") from error
            if part is None:
                return
            yield part

    def log_unfinished_stream(self, state: RelayState) -> None:
        """Log that a stream is ended since its time is up."""
        self.sender.metrics.count("streams_out_of_time", route=state.call.route.name)
        logs.event(
            log,
            "A stream is ended since its time is up; its server has not completed it.",
            request=state.call.id,
            fingerprint=state.call.fingerprint,
            route=state.call.route.name,
            server=state.server.id if state.server else "",
            after=state.last_event,
        )

    async def relay_resumable(self, state: RelayState, exchange: Exchange, server):
        """Yield complete events, continuing at another server after a break."""
        call = state.call
        state.last_event = call_header(call, self.sender.names.last_event)
        state.from_start = not state.last_event
        while True:
            try:
                with contextlib.closing(exchange):
                    blocks = iter_events(exchange, SILENCE_TIMEOUT_SECONDS)
                    async for block in self.until_answer_due(state, blocks):
                        yield block + b"\n\n"
                        state.last_event = event_field(block, "id") or state.last_event
                return
            except StreamBroken as error:
                reason = str(error)
                gone = await self.sender.is_gone(error, server)
            self.handle_broken_stream(state, server, reason, True, gone)
            state.from_start = not state.last_event
            opened = await self.open(state, state.last_event)
            if not isinstance(opened, tuple):
                details = f"{reason}; {opened.reason}"
                raise ResponseAborted(
                    f"stream cannot be resumed after event {state.last_event}: "
                    f"{details}"
                )
            exchange, server = opened


def call_header(call: Call, name: str) -> str:
    """Return the value of a header field of a call; empty if missing."""
    return next((value for key, value in call.headers if key == name), "")


def budget_refusal(call: Call) -> NotRun:
    """Return the outcome of a stream whose window does not fit, and record it."""
    budget = call.holding.budget
    budget.record_refusal(ByteKind.STREAM, STREAM_WINDOW_BYTES, request=call.id)
    reason = "the stream does not fit into this process's memory budget"
    return NotRun(reason, datetime.timedelta(seconds=budget.retry_after()))
