"""Sender: one attempt at a call, at one backend server."""

import asyncio
import contextlib

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.eventstream import StreamBroken
from gypsumshift.httpclient import Exchange, Fetcher, FetchError, RequestWithheld
from gypsumshift.metrics import Metrics
from gypsumshift.outcomes import Answered
from gypsumshift.serving.authorization import KEY_NOT_CONFIRMED
from gypsumshift.serving.calls import AttemptOutcome, Call, Failed, Refused
from gypsumshift.serving.directory import BackendServer, Directory
from gypsumshift.serving.headers import HOP_BY_HOP, HeaderNames
from gypsumshift.serving.liveness import is_gone
from gypsumshift.serving.loadbalancer import LoadBalancer
from gypsumshift.serving.responses import (
    end_to_end_headers,
    mismatched_request_id,
    parse_refusal,
)
from gypsumshift.usage import UsageCounter

__all__ = ["Sender"]

# Seconds to open a connection inside a region, where a round trip takes 3 ms. A host
# whose link is full answers within this time too; a silent server costs no more than
# the delay after which a second one is asked.
CONNECT_TIMEOUT = 0.3


log = logs.logger("sender")


class Sender:
    """Sends calls to backend servers, and has the pool learn from the answers.

    Parameters
    ----------
    directory : Directory
    balancer : LoadBalancer
    fetcher : Fetcher
    names : HeaderNames
    clock : Clock
    metrics : Metrics
    usage : UsageCounter or None
        Told of the requests that servers began to run.
    """

    def __init__(self, directory, balancer, fetcher, names, clock, metrics, usage=None):
        self.directory: Directory = directory
        self.balancer: LoadBalancer = balancer
        self.fetcher: Fetcher = fetcher
        self.names: HeaderNames = names
        self.clock: Clock = clock
        self.metrics: Metrics = metrics
        self.usage: UsageCounter | None = usage

    async def attempt(self, call: Call, server: BackendServer) -> AttemptOutcome:
        """Send a call to one server and read its answer."""
        self.balancer.record_sent(server)
        started = self.clock.monotonic()
        sent_at = self.clock.now().timestamp()
        try:
            outcome = await self.exchange(call, server)
        except asyncio.CancelledError:
            self.count_run(call, sent_at)
            self.balancer.record_wait(server, self.clock.monotonic() - started)
            raise
        finally:
            self.balancer.record_finished(server)
        if isinstance(outcome, Answered) or getattr(outcome, "sent", False):
            self.count_run(call, sent_at)
        self.record_outcome(call, server, outcome, self.clock.monotonic() - started)
        return outcome

    def count_run(self, call: Call, at: float) -> None:
        """Count a request that a server began to run, however often it is sent.

        Parameters
        ----------
        call : Call
        at : float
            True time when it was sent, in seconds. Servers of callers begin at once but
            where they are full.
        """
        if self.usage is None or call.counted or not call.grant.workspace:
            return
        call.counted = True
        self.usage.count_request(call.grant.workspace, at)

    def record_outcome(
        self, call, server, outcome: AttemptOutcome, took: float
    ) -> None:
        """Note how a server fared."""
        ending = type(outcome).__name__
        self.metrics.count("attempts", service=server.service, outcome=ending)
        good = isinstance(outcome, Answered) and outcome.status < 500
        if good:
            self.balancer.record_success(server, took)
        elif isinstance(outcome, Refused) and outcome.replaced:
            self.balancer.record_replaced(server)
        elif isinstance(outcome, Answered) and call.suspect:
            return
        elif not isinstance(outcome, Refused):
            gone = isinstance(outcome, Failed) and outcome.gone
            call.suspect = call.suspect or isinstance(outcome, Answered)
            servers = self.directory.ready_servers(server.service)
            if gone:
                self.balancer.record_gone(server)
            ejected = gone or self.balancer.record_failure(server, servers)
            reason = getattr(outcome, "reason", "") or f"status {outcome.status}"
            logs.event(
                log,
                "An attempt failed.",
                request=call.id,
                fingerprint=call.fingerprint,
                server=server.id,
                reason=reason,
                ended=getattr(outcome, "ended", False),
                took_s=round(took, 4),
                ejected=ejected,
            )

    async def exchange(self, call: Call, server: BackendServer) -> AttemptOutcome:
        """Exchange request and answer; a stale idle connection is replaced once."""
        fresh = not call.repeatable
        try:
            return await self.exchange_once(call, server, fresh)
        except RequestWithheld:
            return Refused(KEY_NOT_CONFIRMED)
        except FetchError as error:
            first = error
        if not first.reused:
            return Failed(str(first), first.sent, await self.is_gone(first, server))
        try:
            return await self.exchange_once(call, server, True)
        except FetchError as error:
            # The first connection may have carried it, so nothing is vouched for.
            return Failed(str(error), True, await self.is_gone(error, server))

    async def is_gone(
        self, error: FetchError | StreamBroken, server: BackendServer
    ) -> bool:
        """Tell whether a server is gone that refused or closed a connection."""
        if error.refused or not error.closed:
            return error.refused
        return await is_gone(self.directory, self.fetcher, server)

    async def exchange_once(self, call, server, fresh: bool) -> AttemptOutcome:
        """Exchange on one connection.

        Raises
        ------
        FetchError
            The connection broke, or what came is no answer to this request.
        """
        exchange = await self.open(
            call, server, self.request_headers(call, server), fresh
        )
        with contextlib.closing(exchange):
            foreign = mismatched_request_id(exchange, self.names, call.id)
            if foreign:
                raise FetchError(f"an answer to the request {foreign}", True)
            self.note_load(server, exchange)
            body = await exchange.read()
            return self.classify(exchange, body)

    async def open(
        self, call: Call, server: BackendServer, fields: list, fresh: bool
    ) -> Exchange:
        """Send a call with these header fields, and read the head of its answer."""
        return await self.fetcher.open(
            server.address,
            call.method,
            call.target,
            fields,
            call.body,
            fresh=fresh,
            host=call.host,
            connect_timeout=CONNECT_TIMEOUT,
            allowed=lambda: call.grant.is_valid,
        )

    def request_headers(
        self, call: Call, server: BackendServer
    ) -> list[tuple[str, str]]:
        """Return the header fields for one server."""
        names = self.names
        own = (names.time_left, names.expected_server, *names.identity)
        left = call.deadline - self.clock.monotonic()
        passed = [
            (key, value)
            for key, value in call.headers
            if key not in HOP_BY_HOP and key not in own
        ]
        if call.grant.workspace:
            passed.append((names.workspace, call.grant.workspace))
        return [
            *passed,
            (names.time_left, str(max(1, int(left * 1000)))),
            (names.expected_server, server.id),
        ]

    def note_load(self, server: BackendServer, exchange: Exchange) -> None:
        """Take the load that an answer tells."""
        words = exchange.header(self.names.load.encode()).split(",")
        if len(words) == 3 and words[0].isdigit() and words[1].isdigit():
            self.balancer.record_load(server, int(words[0]) + int(words[1]))

    def classify(self, exchange: Exchange, body: bytes) -> AttemptOutcome:
        """Return what a whole answer means."""
        refused = parse_refusal(exchange, self.names)
        if refused is not None:
            return refused
        signed = exchange.header(self.names.signature.encode())
        if not signed and exchange.status < 300:
            return Failed("an answer without a signature", True)
        if exchange.header(b"content-encoding"):
            return Failed("an encoded answer", True)
        return Answered(exchange.status, end_to_end_headers(exchange), body)
