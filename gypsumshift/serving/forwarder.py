"""Forwarder: one request to backend servers until one has answered it.

What may be repeated is sent again after a failure, and to a second server when the
first keeps silent; what may not be repeated is sent again only where a server
vouches that it has not run it.
"""

import asyncio
import contextlib
import datetime

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.fetch import Exchange, Fetcher, FetchError
from gypsumshift.metrics import Metrics
from gypsumshift.outcomes import Answered, NotRun, Unknown
from gypsumshift.serving.directory import BackendServer, Directory
from gypsumshift.serving.headers import HOP_BY_HOP, HeaderNames
from gypsumshift.serving.pool import Pool
from gypsumshift.serving.routes import RequestKind, Route

__all__ = ["Call", "Forwarder"]

# Seconds to open a connection inside a region, where a round trip takes 3 ms. A host
# whose link is full answers within this time too; a silent server costs no more than
# the delay after which a second one is asked.
CONNECT_TIMEOUT = 0.3
# Part of a route's objective after which a second server is asked as well. Half of
# the objective leaves the second the time of a usual answer, which takes a quarter.
HEDGE_SHARE = 0.5
# Seconds before a second server is asked where the route names no objective.
HEDGE_DEFAULT = 0.5
# Seconds of pause after every server said that it is full.
FULL_PAUSE = 0.05
# Times that all servers may say so before the caller is told to come back.
FULL_ROUNDS = 3
# Seconds after which a caller may come back: a few service times.
RETRY_AFTER = 0.25
# Seconds kept back from the deadline, so that the verdict still reaches the caller.
VERDICT_MARGIN = 0.02
NOT_RUN_STATUSES = (429, 503, 400)
# HTTP status of a server that is not the one expected at its address.
MISDIRECTED = 421

log = logs.logger("forwarder")


@attrs.define
class Call:
    """One request to be answered.

    Attributes
    ----------
    id : str
    method, target : str
        The target holds path and query as they came.
    host : str
        Host header field.
    headers : list of (str, str)
        Names in lower case; those of one connection are left out on the way.
    body : bytes
    route : Route
    deadline : float
        By the monotonic clock, in seconds.
    """

    id: str
    method: str
    target: str
    host: str
    headers: list[tuple[str, str]]
    body: bytes
    route: Route
    deadline: float

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""
        return self.route.kind in (RequestKind.SAFE, RequestKind.BATCH)


@attrs.frozen
class Refused:
    """A backend server vouches that it has not run the request.

    Attributes
    ----------
    reason : str
    replaced : bool
        Whether another server stands at its address now.
    """

    reason: str
    replaced: bool = False


@attrs.frozen
class Failed:
    """An attempt came to nothing; ``sent`` tells whether it may have run."""

    reason: str
    sent: bool


Attempt = Answered | Refused | Failed


@attrs.define
class Race:
    """The attempts of one call.

    Attributes
    ----------
    call : Call
    servers : list of BackendServer
        Ready servers of the service when the call began.
    running : dict
        Server by the task of its attempt.
    ran : set of str
        Ids of the servers on which it may have run.
    refused : set of str
        Ids of the servers that refused it in this round.
    rounds : int
        Rounds in which every server refused.
    answer : Answered or None
        A failure that a server answered, if nothing better comes.
    """

    call: Call
    servers: list[BackendServer]
    running: dict[asyncio.Task, BackendServer] = attrs.field(factory=dict)
    ran: set[str] = attrs.field(factory=set)
    refused: set[str] = attrs.field(factory=set)
    rounds: int = 0
    answer: Answered | None = None

    @property
    def involved(self) -> set[str]:
        """Ids of the servers not to be tried now."""
        return self.ran | self.refused | {s.id for s in self.running.values()}

    @property
    def spent(self) -> bool:
        """Whether no further server may run it."""
        begun = len(self.ran) + len(self.running)
        # What may not be repeated stays with the first server that may have run it.
        most = self.call.route.attempts if self.call.repeatable else 1
        return begun >= most


class Forwarder:
    """Sends calls to the backend servers of their services.

    Parameters
    ----------
    directory : Directory
    pool : Pool
    fetcher : Fetcher
    names : HeaderNames
    clock : Clock
    metrics : Metrics
    """

    def __init__(self, directory, pool, fetcher, names, clock, metrics):
        self.directory: Directory = directory
        self.pool: Pool = pool
        self.fetcher: Fetcher = fetcher
        self.names: HeaderNames = names
        self.clock: Clock = clock
        self.metrics: Metrics = metrics

    async def forward(self, call: Call) -> Answered | NotRun | Unknown:
        """Return what became of a call, before its deadline."""
        service = call.route.service_for(call.id)
        race = Race(call, self.directory.service(service))
        started = self.clock.monotonic()
        try:
            outcome = await self.run(race)
        finally:
            await self.abandon(race)
        took = self.clock.monotonic() - started
        ending = type(outcome).__name__
        self.metrics.time("request_seconds", took, service=service, outcome=ending)
        if not isinstance(outcome, Answered):
            logs.event(
                log,
                "A request was not served.",
                request=call.id,
                route=call.route.name,
                outcome=ending,
                reason=outcome.reason,
                servers=len(race.servers),
                ran_on=sorted(race.ran),
                refused_by=sorted(race.refused),
                left_s=round(call.deadline - self.clock.monotonic(), 3),
            )
        return outcome

    async def run(self, race: Race) -> Answered | NotRun | Unknown:
        """Start attempts one after another until there is an outcome."""
        hedge = self.hedge_delay(race.call)
        while True:
            left = race.call.deadline - VERDICT_MARGIN - self.clock.monotonic()
            if left <= 0:
                return self.verdict(race, "the deadline passed")
            started = self.start(race)
            if not race.running:
                if not await self.next_round(race, left):
                    return self.verdict(race, "no backend server took it")
                continue
            patience = min(left, hedge) if started else left
            done, _ = await asyncio.wait(
                race.running, timeout=patience, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                server = race.running.pop(task)
                answer = self.judge(race, server, task.result())
                if answer is not None:
                    return answer

    def hedge_delay(self, call: Call) -> float:
        """Return the seconds after which a second server is asked as well."""
        objective = call.route.objective
        if objective is None:
            return HEDGE_DEFAULT
        return HEDGE_SHARE * objective.total_seconds()

    def start(self, race: Race) -> bool:
        """Start one more attempt where that is allowed; return whether it was."""
        if race.spent:
            return False
        server = self.pool.choose(race.servers, race.involved)
        if server is None:
            return False
        task = asyncio.create_task(self.attempt(race.call, server))
        race.running[task] = server
        return True

    async def next_round(self, race: Race, left: float) -> bool:
        """Wait until servers that were full may be asked again."""
        if race.spent or race.rounds >= FULL_ROUNDS:
            return False
        race.rounds += 1
        race.refused.clear()
        await asyncio.sleep(min(FULL_PAUSE * race.rounds, left))
        service = race.call.route.service_for(race.call.id)
        race.servers = self.directory.service(service)
        return True

    def judge(self, race: Race, server, outcome: Attempt) -> Answered | None:
        """Take the end of one attempt; return an answer that settles the call."""
        if isinstance(outcome, Refused):
            race.refused.add(server.id)
            return None
        if isinstance(outcome, Failed):
            if outcome.sent:
                race.ran.add(server.id)
            else:
                race.refused.add(server.id)
            return None
        race.ran.add(server.id)
        if outcome.status < 500 or not race.call.repeatable:
            return outcome
        race.answer = outcome
        return None

    def verdict(self, race: Race, reason: str) -> Answered | NotRun | Unknown:
        """Return the outcome of a call that no server answered well."""
        if race.answer is not None:
            return race.answer
        if race.ran or race.running:
            return Unknown(reason)
        return NotRun(reason, datetime.timedelta(seconds=RETRY_AFTER))

    async def abandon(self, race: Race) -> None:
        """Cut the attempts that are still under way."""
        for task in race.running:
            task.cancel()
        if race.running:
            await asyncio.wait(race.running)

    async def attempt(self, call: Call, server: BackendServer) -> Attempt:
        """Send a call to one server and read its answer."""
        self.pool.sent(server)
        started = self.clock.monotonic()
        try:
            outcome = await self.exchange(call, server)
        except asyncio.CancelledError:
            self.pool.waited(server, self.clock.monotonic() - started)
            raise
        finally:
            self.pool.ended(server)
        self.learn(call, server, outcome, self.clock.monotonic() - started)
        return outcome

    def learn(self, call, server, outcome: Attempt, took: float) -> None:
        """Note how a server fared."""
        ending = type(outcome).__name__
        self.metrics.count("attempts", service=server.service, outcome=ending)
        good = isinstance(outcome, Answered) and outcome.status < 500
        if good:
            self.pool.answered(server, took)
        elif isinstance(outcome, Refused) and outcome.replaced:
            self.pool.replaced(server)
        elif not isinstance(outcome, Refused):
            servers = self.directory.service(server.service)
            ejected = self.pool.failed(server, servers)
            reason = getattr(outcome, "reason", "") or f"status {outcome.status}"
            logs.event(
                log,
                "An attempt failed.",
                request=call.id,
                server=server.id,
                reason=reason,
                took_s=round(took, 4),
                ejected=ejected,
            )

    async def exchange(self, call: Call, server: BackendServer) -> Attempt:
        """Exchange request and answer; a stale idle connection is replaced once."""
        fresh = not call.repeatable
        try:
            return await self.exchange_once(call, server, fresh)
        except FetchError as error:
            if not error.reused:
                return Failed(str(error), error.sent)
        try:
            return await self.exchange_once(call, server, True)
        except FetchError as error:
            return Failed(str(error), True)

    async def exchange_once(self, call, server, fresh: bool) -> Attempt:
        """Exchange on one connection.

        Raises
        ------
        FetchError
            The connection broke, or what came is no answer to this request.
        """
        exchange = await self.fetcher.open(
            server.address,
            call.method,
            call.target,
            self.fields(call, server),
            call.body,
            fresh=fresh,
            host=call.host,
            connect_timeout=CONNECT_TIMEOUT,
        )
        with contextlib.closing(exchange):
            self.check_identity(call, exchange)
            self.note_load(server, exchange)
            body = await exchange.read()
            return self.classify(exchange, body)

    def fields(self, call: Call, server: BackendServer) -> list[tuple[str, str]]:
        """Return the header fields for one server."""
        own = (self.names.time_left, self.names.expected_server)
        left = call.deadline - self.clock.monotonic()
        passed = [
            (key, value)
            for key, value in call.headers
            if key not in HOP_BY_HOP and key not in own
        ]
        return [
            *passed,
            (self.names.time_left, str(max(1, int(left * 1000)))),
            (self.names.expected_server, server.id),
        ]

    def check_identity(self, call: Call, exchange: Exchange) -> None:
        """Refuse an answer to another request, which a faulty server may send."""
        echoed = exchange.header(self.names.request_id.encode())
        if echoed and echoed != call.id:
            raise FetchError(f"an answer to the request {echoed}", True)

    def note_load(self, server: BackendServer, exchange: Exchange) -> None:
        """Take the load that an answer tells."""
        words = exchange.header(self.names.load.encode()).split(",")
        if len(words) == 3 and words[0].isdigit() and words[1].isdigit():
            self.pool.told(server, int(words[0]) + int(words[1]))

    def classify(self, exchange: Exchange, body: bytes) -> Attempt:
        """Return what a whole answer means."""
        not_run = exchange.header(self.names.not_run.encode())
        if exchange.status == MISDIRECTED:
            return Refused("another server is there", True)
        if exchange.status in NOT_RUN_STATUSES and not_run:
            return Refused(f"status {exchange.status}")
        signed = exchange.header(self.names.signature.encode())
        if not signed and exchange.status < 300:
            return Failed("an answer without a signature", True)
        if exchange.header(b"content-encoding"):
            return Failed("an encoded answer", True)
        headers = tuple(
            (key.decode(), value.decode("latin-1"))
            for key, value in exchange.headers
            if key.decode() not in HOP_BY_HOP
        )
        return Answered(exchange.status, headers, body)
