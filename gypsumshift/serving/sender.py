"""Sending of a call to one backend server, as one attempt."""

import asyncio
import contextlib

from gypsumshift import logs
from gypsumshift.bytebudget import ByteKind
from gypsumshift.clock import Clock
from gypsumshift.eventstream import StreamBroken
from gypsumshift.httpclient import (
    AnswerTooLarge,
    Exchange,
    Fetcher,
    FetchError,
    RequestWithheld,
)
from gypsumshift.metrics import Metrics
from gypsumshift.outcomes import Answered
from gypsumshift.residency import OUTSIDE_HOMES, ResidencyRules
from gypsumshift.roundtrips import CONNECT_ROUND_TRIPS, EXCHANGE_ROUND_TRIPS
from gypsumshift.serving.authorization import KEY_NOT_CONFIRMED
from gypsumshift.serving.calls import (
    AttemptOutcome,
    AttemptProgress,
    Call,
    Failed,
    Refused,
)
from gypsumshift.serving.callsinprogress import CallsInProgress
from gypsumshift.serving.cold import Link
from gypsumshift.serving.coldrates import SERVER_COLD, ColdRates, SendCheck
from gypsumshift.serving.directory import BackendServer, Directory
from gypsumshift.serving.evacuations import ZONE_EVACUATED
from gypsumshift.serving.headers import HOP_BY_HOP, HeaderNames
from gypsumshift.serving.liveness import is_gone
from gypsumshift.serving.loadbalancer import LoadBalancer
from gypsumshift.serving.reachability import Reachability
from gypsumshift.serving.responses import MISDIRECTED, check_origin, read_outcome
from gypsumshift.usage import UsageCounter

__all__ = ["Sender", "connect_hedge_s"]

# Timeout to open a connection inside a region, where a round trip takes 3 ms. It is
# long enough for a host whose link is saturated, and a server that does not answer
# costs no more than the hedge delay.
CONNECT_TIMEOUT_SECONDS = 0.3
# Time without a connection after which a request is also sent to a second server. It is
# ten round trips between availability zones, and a fifth of a usual objective; nothing
# of the request was sent, so the second server costs no work.
CONNECT_HEDGE_SECONDS = 0.03

# Reason of a refusal of this process, which logs contain.
OTHER_SERVICE = "the route of the request leads to another service"

log = logs.logger("sender")


class Sender:
    """Sends calls to backend servers, and reports the outcomes to the load balancer.

    Parameters
    ----------
    directory : Directory
    balancer : LoadBalancer
    fetcher : Fetcher
    names : HeaderNames
    clock : Clock
    metrics : Metrics
    usage : UsageCounter or None
        Counts the requests that servers began to run.

    Attributes
    ----------
    residency : ResidencyRules
        Decides to which servers a call may be sent.
    cold_rates : ColdRates or None
        Limits the requests to servers that have just started.
    calls : CallsInProgress
        Limits the waits of the calls.
    """

    def __init__(self, directory, balancer, fetcher, names, clock, metrics, usage=None):
        self.directory: Directory = directory
        self.balancer: LoadBalancer = balancer
        self.fetcher: Fetcher = fetcher
        self.names: HeaderNames = names
        self.clock: Clock = clock
        self.metrics: Metrics = metrics
        self.usage: UsageCounter | None = usage
        self.residency = ResidencyRules(directory, balancer.layout)
        self.round_trips = balancer.round_trips
        self.cold_rates: ColdRates | None = None
        self.calls = CallsInProgress(directory, clock)
        self.reachability = Reachability(
            clock, balancer.chance, balancer.shared_observations
        )

    async def attempt(
        self,
        call: Call,
        server: BackendServer,
        progress: AttemptProgress | None = None,
    ) -> AttemptOutcome:
        """Send a call to one server and return the outcome of the attempt."""
        progress = progress or self.new_progress(server)
        self.balancer.record_sent(server)
        self.balancer.byte_limits.begin(server, len(call.body))
        started = self.clock.monotonic()
        sent_at = self.clock.now().timestamp()
        try:
            outcome = await self.exchange(call, server, progress)
            if isinstance(outcome, Failed) and outcome.ended:
                self.balancer.byte_limits.record_crash(server)
        except asyncio.CancelledError:
            took = self.service_time(progress, started)
            self.record_cancelled(call, server, progress, sent_at, took)
            raise
        finally:
            self.balancer.record_finished(server)
            self.balancer.byte_limits.end(server, len(call.body))
        if isinstance(outcome, Failed) and not progress.connected:
            self.balancer.record_unconnected(server)
        if isinstance(outcome, Answered) or getattr(outcome, "sent", False):
            self.count_run(call, sent_at)
        self.record_outcome(call, server, outcome, self.service_time(progress, started))
        return outcome

    def new_progress(self, server: BackendServer) -> AttemptProgress:
        """Return the progress of an attempt that begins at a server."""
        return AttemptProgress(round_trip_s=self.round_trips.extra_s(server.zone))

    def service_time(self, progress: AttemptProgress, started: float) -> float:
        """Return the seconds that an attempt has taken, without the way to its region.

        Otherwise a server of another region would count as slow by the round trip.
        """
        took = self.clock.monotonic() - started
        if not progress.round_trip_s or not progress.connected:
            return took
        return max(took - progress.connected_after_s - progress.round_trip_s, 0.0)

    def record_cancelled(
        self, call, server, progress: AttemptProgress, sent_at: float, took: float
    ) -> None:
        """Record an attempt that was cancelled before its outcome was known.

        A server that did not accept a connection for the time of `connect_hedge_s`
        counts as failing. Otherwise a server that is silent would be chosen again and
        again, since the answer of a second server always comes before the connection
        times out.
        """
        if progress.connected:
            self.count_run(call, sent_at)
        elif took >= connect_hedge_s(progress):
            self.balancer.record_unconnected(server)
            servers = self.directory.ready_servers(server.service)
            self.balancer.record_failure(server, servers)
        self.balancer.record_wait(server, took)

    def count_run(self, call: Call, at: float) -> None:
        """Count a request that a server began to run; repetitions are not counted.

        Parameters
        ----------
        call : Call
        at : float
            Wall-clock time when it was sent, in seconds. It stands for the start of the
            run, since servers begin a request at once unless they are full.
        """
        if self.usage is None or call.usage_counted or not call.grant.workspace:
            return
        call.usage_counted = True
        self.usage.count_request(call.grant.workspace, at)

    def record_outcome(
        self, call, server, outcome: AttemptOutcome, took: float
    ) -> None:
        """Record the outcome of an attempt in metrics, load balancer and log."""
        self.reachability.record_outcome(server, outcome)
        outcome_name = type(outcome).__name__
        self.metrics.count("attempts", service=server.service, outcome=outcome_name)
        succeeded = isinstance(outcome, Answered) and outcome.status < 500
        if succeeded:
            self.balancer.record_success(server, took)
        elif isinstance(outcome, Refused) and outcome.replaced:
            self.balancer.record_replaced(server)
        elif isinstance(outcome, Answered) and call.failed_before:
            return
        elif isinstance(outcome, Failed) and outcome.local:
            return
        elif not isinstance(outcome, Refused):
            gone = isinstance(outcome, Failed) and outcome.gone
            call.failed_before = call.failed_before or isinstance(outcome, Answered)
            servers = self.directory.ready_servers(server.service)
            if gone:
                self.record_gone(server)
            ejected = gone or self.balancer.record_failure(server, servers)
            reason = getattr(outcome, "reason", "") or f"status {outcome.status}"
            logs.event(
                log,
                "Attempt at a backend server failed.",
                request=call.id,
                fingerprint=call.fingerprint,
                server=server.id,
                reason=reason,
                ended=getattr(outcome, "ended", False),
                took_s=round(took, 4),
                ejected=ejected,
            )

    async def exchange(
        self, call: Call, server: BackendServer, progress: AttemptProgress
    ) -> AttemptOutcome:
        """Exchange request and answer; retry once if a reused connection broke."""
        fresh = not call.repeatable
        try:
            return await self.exchange_once(call, server, fresh, progress)
        except RequestWithheld:
            return self.withheld_outcome(call, server)
        except AnswerTooLarge as error:
            return self.reject_answer(call, error)
        except FetchError as error:
            first = error
        if not first.reused:
            return Failed(str(first), first.sent, await self.is_gone(first, server))
        return await self.exchange_again(call, server, first, progress)

    async def exchange_again(
        self,
        call: Call,
        server: BackendServer,
        first: FetchError,
        progress: AttemptProgress,
    ) -> AttemptOutcome:
        """Repeat an exchange on a new connection after a reused one broke.

        The server may have run the request that the reused connection delivered, so a
        refusal of the second one does not mean that the request has not run.
        """
        try:
            outcome = await self.exchange_once(call, server, True, progress)
        except RequestWithheld:
            outcome = self.withheld_outcome(call, server)
        except AnswerTooLarge as error:
            return self.reject_answer(call, error)
        except FetchError as error:
            return Failed(str(error), True, await self.is_gone(error, server))
        if isinstance(outcome, Refused) and first.sent:
            return Failed(f"{first}; then refused: {outcome.reason}", True)
        return outcome

    def withheld_outcome(self, call: Call, server: BackendServer) -> Refused:
        """Return the outcome of a call that `open` did not permit to be sent."""
        if not self.directory.accepts_requests(server):
            self.metrics.count("evacuated_sends", service=server.service)
            return Refused(ZONE_EVACUATED)
        if not self.directory.leads_to(call, server):
            return Refused(OTHER_SERVICE)
        if not call.grant.is_valid:
            return Refused(KEY_NOT_CONFIRMED)
        in_homes = self.residency.may_send(call, server)
        return Refused(SERVER_COLD if in_homes else OUTSIDE_HOMES)

    def reject_answer(self, call: Call, error: AnswerTooLarge) -> Failed:
        """Return the outcome of an answer that does not fit into the memory budget."""
        call.holding.budget.record_refusal(ByteKind.ANSWER, error.size, request=call.id)
        return Failed(str(error), True, local=True)

    async def is_gone(
        self, error: FetchError | StreamBroken, server: BackendServer
    ) -> bool:
        """Return whether a server that refused or closed a connection is gone."""
        if error.refused or not error.closed:
            return error.refused
        extra_s = self.round_trips.extra_s(server.zone, CONNECT_ROUND_TRIPS)
        return await is_gone(self.directory, self.fetcher, server, extra_s)

    async def exchange_once(
        self, call, server, fresh: bool, progress: AttemptProgress
    ) -> AttemptOutcome:
        """Exchange request and answer on one connection.

        Raises
        ------
        FetchError
            The connection broke, or the answer belongs to another request.
        """
        exchange = await self.open(
            call, server, self.request_headers(call, server), fresh, progress
        )
        with contextlib.closing(exchange):
            check_origin(exchange, self.names, call.id)
            self.record_load(server, exchange)
            # A reward call is repeated under its id; see `EngineClient.check_response`.
            exchange.keeps_connection = not call.deferred or exchange.status < 500
            body = await exchange.read(call.holding, call.max_answer_bytes)
            outcome = read_outcome(exchange, self.names, body)
            if not isinstance(outcome, Answered):
                call.holding.remove(ByteKind.ANSWER, len(body))
            return outcome

    async def open(
        self,
        call: Call,
        server: BackendServer,
        fields: list,
        fresh: bool,
        progress: AttemptProgress | None = None,
    ) -> Exchange:
        """Send a call with the given header fields; return once the head arrived."""

        started = self.clock.monotonic()
        self.round_trips.note_address(server.address, server.zone)
        if self.balancer.layout.has_regions:
            distance = self.balancer.layout.distance_to(server.zone).label
            self.metrics.count(
                "sends_by_distance", service=server.service, distance=distance
            )
        check = self.send_check(server, call)

        def note_connected() -> None:
            if progress is not None and not progress.connected:
                progress.connected = True
                progress.connected_after_s = self.clock.monotonic() - started

        async def prepare(link: Link) -> None:
            note_connected()
            await check.prepare(link)

        def may_send() -> bool:
            if not self.directory.leads_to(call, server):
                return False
            if not self.residency.may_send(call, server):
                return False
            note_connected()
            if not call.grant.is_valid or not (check is None or check()):
                return False
            return self.directory.begin_send(server)

        if not self.directory.accepts_requests(server):
            raise RequestWithheld

        try:
            exchange = await self.fetcher.open(
                server.address,
                call.method,
                call.target,
                fields,
                call.body,
                fresh=fresh,
                host=call.host,
                connect_timeout=CONNECT_TIMEOUT_SECONDS
                + self.round_trips.extra_s(server.zone, EXCHANGE_ROUND_TRIPS),
                allowed=may_send,
                **({} if check is None else {"on_connection": prepare}),
            )
        finally:
            if check is not None:
                check.settle()
        if check is not None:
            cold_left = exchange.header(self.names.cold_left.encode())
            check.note_answer(exchange.status == MISDIRECTED, cold_left)
        return exchange

    def send_check(self, server: BackendServer, call: Call) -> SendCheck | None:
        """Return the check of the limit of a cold server; None without a limit."""
        if self.cold_rates is None:
            return None
        return self.cold_rates.check(server, call.id)

    def record_gone(self, server: BackendServer) -> None:
        """Record that a server is gone; when it is back, it is cold."""
        self.balancer.record_gone(server)
        if self.cold_rates is not None:
            self.cold_rates.note_broken(server)

    def request_headers(
        self, call: Call, server: BackendServer
    ) -> list[tuple[str, str]]:
        """Return the header fields of a call for one server."""
        names = self.names
        replaced = (names.time_left, names.expected_server, *names.identity)
        left = call.deadline - self.clock.monotonic()
        forwarded = [
            (key, value)
            for key, value in call.headers
            if key not in HOP_BY_HOP and key not in replaced
        ]
        if call.grant.workspace:
            forwarded.append((names.workspace, call.grant.workspace))
        return [
            *forwarded,
            (names.time_left, str(max(1, int(left * 1000)))),
            (names.expected_server, server.id),
        ]

    def record_load(self, server: BackendServer, exchange: Exchange) -> None:
        """Report the load that an answer carries to the load balancer."""
        text = exchange.header(self.names.load.encode())
        if not text:
            return
        try:
            load = self.names.parse_load(text)
        except ValueError as error:
            self.metrics.count("malformed_loads", service=server.service)
            log.debug("Load reported by server {} ignored: {}", server.id, error)
            return
        self.balancer.record_load(server, load)


def connect_hedge_s(progress: AttemptProgress) -> float:
    """Return the seconds without a connection after which a second server is tried."""
    return CONNECT_HEDGE_SECONDS + CONNECT_ROUND_TRIPS * progress.round_trip_s
