"""Opening of streams at backend servers, and account of the servers that run them."""

import datetime

from gypsumshift import logs
from gypsumshift.httpclient import Exchange, FetchError, RequestWithheld
from gypsumshift.outcomes import NotRun, Unknown
from gypsumshift.residency import NO_HOME_SERVER
from gypsumshift.serving.authorization import KEY_NOT_CONFIRMED
from gypsumshift.serving.calls import Call
from gypsumshift.serving.crashguard import HELD_BACK_REASON
from gypsumshift.serving.directory import BackendServer
from gypsumshift.serving.forwarder import (
    ALL_EVACUATED,
    EVACUATED_RETRY_SECONDS,
    NO_ROUTE,
    RETRY_AFTER_SECONDS,
    Forwarder,
)
from gypsumshift.serving.responses import check_origin, parse_refusal
from gypsumshift.serving.streamstate import RelayState

__all__ = ["StreamOpener"]

log = logs.logger("streams")


class StreamOpener:
    """Opens the streams of one forwarder, and counts where they run.

    Parameters
    ----------
    forwarder : Forwarder
    """

    def __init__(self, forwarder: Forwarder):
        self.sender = forwarder.sender
        self.balancer = forwarder.balancer
        self.guard = forwarder.guard
        self.late_crashes = forwarder.late_crashes

    def begin_run(self, state: RelayState) -> BackendServer | None:
        """Choose a server for a stream and count it there; None if none is left."""
        server = self.choose(state)
        if server is None or state.call.deadline <= self.sender.clock.monotonic():
            return None
        state.tried.add(server.start)
        state.runs += 1
        state.servers.append(server)
        self.guard.begin_run(state.permit, server.start)
        self.balancer.byte_limits.begin(server, len(state.call.body))
        return server

    def end_run(self, state: RelayState, server: BackendServer) -> None:
        """Record that a stream no longer runs at a server."""
        state.servers.remove(server)
        self.guard.end_run(state.permit, server.start)
        self.balancer.byte_limits.end(server, len(state.call.body))

    def abandon_run(self, state: RelayState, server: BackendServer) -> None:
        """Record that a stream was cut off at a server, which may have ended by it."""
        if server in state.servers:
            self.late_crashes.check_servers(state.permit, [server])
            self.end_run(state, server)

    async def open(
        self, state: RelayState
    ) -> tuple[Exchange, BackendServer] | NotRun | Unknown:
        """Open a stream at the first server that takes it."""
        while True:
            await self.wait_for_runs(state)
            server = self.begin_run(state)
            if server is None:
                return self.not_opened_outcome(state)
            exchange = await self.open_at(state, server)
            if exchange is not None:
                return exchange, server

    async def open_at(
        self, state: RelayState, server: BackendServer, after: str | None = None
    ) -> Exchange | None:
        """Open a stream at a server where it was counted; None if that fails.

        Parameters
        ----------
        state : RelayState
        server : BackendServer
        after : str or None
            Number of the event after which a stream is resumed; empty to resume from
            the first event, None for a new stream.
        """
        call = state.call
        sent_at = self.sender.clock.now().timestamp()
        try:
            async with self.sender.calls.limit(call):
                exchange = await self.request(call, server, after)
        except RequestWithheld:
            self.record_refusal(state, server)
            return None
        except (FetchError, TimeoutError) as error:
            if getattr(error, "sent", True):
                self.sender.count_run(call, sent_at)
            await self.handle_open_failure(state, server, error)
            return None
        if parse_refusal(exchange, self.sender.names) is None:
            self.sender.count_run(call, sent_at)
            return exchange
        self.record_refusal(state, server)
        exchange.close()
        return None

    def record_refusal(self, state: RelayState, server: BackendServer) -> None:
        """Record that a server did not take a stream and has not run it."""
        self.count_unsent(state, server)
        self.end_run(state, server)

    def count_unsent(self, state: RelayState, server: BackendServer) -> None:
        """Count that a stream has not run at a server, which may be tried later."""
        state.runs -= 1
        state.tried.discard(server.start)
        state.refused_by.add(server.start)

    async def wait_for_runs(self, state: RelayState) -> None:
        """Wait for other runs of the request that prevent one more, if any."""
        left = state.call.deadline - self.sender.clock.monotonic()
        if not state.exhausted:
            await self.guard.wait_until_sendable(state.permit, state.runs > 0, left)

    def choose(self, state: RelayState) -> BackendServer | None:
        """Return the server to try next; None if none is left or allowed."""
        servers = self.sender.directory.ready_servers_for(state.call)
        if state.exhausted or self.blocked_reason(state):
            return None
        servers = self.sender.residency.permitted(state.call, servers)
        excluded = state.tried | state.refused_by
        return self.balancer.choose(servers, excluded, len(state.call.body))

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

    async def request(
        self, call: Call, server: BackendServer, after: str | None
    ) -> Exchange:
        """Request a stream at a server, or its rest after an event.

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
        if not connection_failed:
            self.late_crashes.check_servers(state.permit, [server])
        if not sent:
            self.count_unsent(state, server)
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
        self.end_run(state, server)
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
