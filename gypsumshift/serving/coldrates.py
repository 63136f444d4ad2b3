"""Rate limit of the requests that this process sends to cold servers.

A server is cold for some seconds after its start, and crashes if it gets many more
requests than it tolerates then. The limit of an engine belongs to the agent beside it,
which waits before it sends; gateways share a small part of it. The limit of other
servers is shared by a few processes. Only services with a cold rate are limited.

A server may have restarted unnoticed. Requests to a warm server therefore count in the
same way, unless their connection is proved to lead to the start that is known as warm.
"""

import datetime
from collections.abc import Callable

from gypsumshift.clock import Clock
from gypsumshift.metrics import Metrics
from gypsumshift.serving.cold.checks import SendCheck
from gypsumshift.serving.cold.knowledge import ColdKnowledge
from gypsumshift.serving.cold.lending import Lending
from gypsumshift.serving.cold.limiter import WINDOW_SECONDS, SendRecord
from gypsumshift.serving.cold.permits import Permit
from gypsumshift.serving.cold.proofs import Link, StartProofs
from gypsumshift.serving.cold.reporter import ColdReporter
from gypsumshift.serving.cold.shares import (
    BURST,
    NO_SHARE,
    ColdBound,
    LimitShare,
    divide_limit,
    target_share,
)
from gypsumshift.serving.cold.turns import AddressState, Turn
from gypsumshift.serving.directory import BackendServer, Directory
from gypsumshift.serving.routes import ColdLimit, RequestKind
from gypsumshift.wholenumbers import parse_whole_number

__all__ = ["SERVER_COLD", "ColdRates", "SendCheck"]

# Reason of a request that was not sent because of the limit.
SERVER_COLD = "the server has just started and gets no more requests at the moment"

# Longest sleep of a waiting request before it looks at the limit again. News that a
# server is warm take effect within this time.
MAX_WAIT_SECONDS = 0.1
# Shortest sleep; a rounding error of the time left must not lead to a busy loop.
MIN_WAIT_SECONDS = 0.001
# Longest remaining cold time that an answer can tell, in milliseconds: one day.
MAX_LEFT_MS = 86_400_000
# Time after the end of the cold time in which the rate is still limited, and by how
# much more than before, so that the waiting requests do not arrive at once. Within half
# of it, an engine's slots are full.
RAMP_SECONDS = 0.5
RAMP_FACTOR = 3.0


def no_part(server: BackendServer, share: LimitShare) -> LimitShare:
    """Return the part of a process in a shared limit, if it knows no other process."""
    return NO_SHARE


class ColdRates:
    """Knows which servers are cold, and limits what this process sends to them.

    Parameters
    ----------
    directory : Directory
    clock : Clock
    metrics : Metrics
    bound : ColdBound
    own_engine : (str, int) or None
        Address of the engine beside this process, if it is an agent.

    Attributes
    ----------
    knowledge : ColdKnowledge
    proofs : StartProofs
    lending : Lending
        Asks other processes for permits, and gives them some.
    addresses : dict
        `AddressState` by address. A restarted server has the address of the old start,
        and requests to the old start may reach the new one.
    own_part : callable
        Returns the part of this process in a limit that several processes share.
    """

    def __init__(
        self,
        directory: Directory,
        clock: Clock,
        metrics: Metrics,
        bound: ColdBound,
        own_engine: tuple[str, int] | None = None,
    ):
        self.directory = directory
        self.clock = clock
        self.reporter = ColdReporter(clock, metrics)
        self.bound = bound
        self.own_engine = own_engine
        self.knowledge = ColdKnowledge(clock, own_engine)
        self.proofs = StartProofs(clock)
        self.lending = Lending(self)
        self.addresses: dict[tuple[str, int], AddressState] = {}
        self.own_part: Callable[[BackendServer, LimitShare], LimitShare] = no_part
        directory.on_entry.append(self.note_entry)
        directory.on_zone_return.append(self.note_zone_return)

    # Limits of servers.

    def limit(self, server: BackendServer) -> ColdLimit | None:
        """Return the limit of a server's service; None for most services."""
        service = self.directory.routes.services.get(server.service)
        return service.cold if service is not None else None

    def is_cold(self, server: BackendServer) -> bool:
        """Return whether a server is cold, or not known to be warm."""
        return self.limit(server) is not None and self.knowledge.is_cold(server)

    def share(self, server: BackendServer, limit: ColdLimit) -> LimitShare:
        """Return what this process may send to a server while it is cold."""
        is_engine = self.directory.routes.services[server.service].engine is not None
        if is_engine and server.address == self.own_engine:
            has_callers = self.has_callers(server.service)
            return divide_limit(self.bound, limit, has_callers)[0]
        return self.own_part(server, self.shared_limit(server, limit))

    def shared_limit(self, server: BackendServer, limit: ColdLimit) -> LimitShare:
        """Return what the chosen senders of a server may send together."""
        if self.directory.routes.services[server.service].engine is None:
            return target_share(self.bound, limit)
        return divide_limit(self.bound, limit, self.has_callers(server.service))[1]

    def has_callers(self, service: str) -> bool:
        """Return whether a route leads callers' requests to a service."""
        tables = self.directory.routes.routes_by_host.values()
        return any(
            route.kind is not RequestKind.BATCH
            and any(target.service == service for target in route.targets)
            for table in tables
            for route in table.values()
        )

    def state(self, server: BackendServer) -> AddressState:
        """Return the state of a server's address, created if missing."""
        found = self.addresses.get(server.address)
        if found is None:
            blocked_until = self.knowledge.started_at + WINDOW_SECONDS
            found = self.addresses[server.address] = AddressState(blocked_until)
        return found

    def delay(
        self, server: BackendServer, limit: ColdLimit, proved: bool = False
    ) -> float:
        """Return the seconds until a request may be sent to a server.

        Parameters
        ----------
        server : BackendServer
        limit : ColdLimit
        proved : bool
            Whether its connection is proved to lead to the known start.
        """
        now, state = self.clock.monotonic(), self.state(server)
        limiter, cold = state.limiter, self.knowledge.is_cold(server)
        self.reporter.record_state(server, cold, self.knowledge)
        if cold:
            state.cold_at = now
        if cold or not proved:
            share = self.share(server, limit)
            if share.capacity < 1 or share.rate <= 0:
                return float("inf")
            return limiter.delay(now, share.capacity, share.rate, BURST, cold)
        if now - state.cold_at < RAMP_SECONDS:
            rate = RAMP_FACTOR * limit.per_second
            return max(0.0, limiter.due_at - now - (BURST - 1.0) / rate)
        return 0.0

    def reserve(
        self, server: BackendServer, limit: ColdLimit, proved: bool = False
    ) -> SendRecord | None:
        """Count a request against the limit; return None if it must wait."""
        if self.delay(server, limit, proved) > 0:
            return None
        now, limiter = self.clock.monotonic(), self.state(server).limiter
        if proved and not self.knowledge.is_cold(server):
            return limiter.reserve(now, RAMP_FACTOR * limit.per_second)
        return limiter.reserve(now, self.share(server, limit).rate)

    def cold_rate(self, server: BackendServer) -> float | None:
        """Return the requests per second that a cold server takes; None if warm."""
        limit = self.limit(server)
        cold = limit is not None and self.knowledge.is_cold(server)
        return limit.per_second if cold else None

    # Permission to send.

    def permits(self, server: BackendServer) -> bool:
        """Return whether this process could send a request to a server by itself."""
        limit = self.limit(server)
        if limit is None:
            return True
        return self.delay(server, limit, self.expects_proof(server)) <= 0

    def expects_proof(self, server: BackendServer) -> bool:
        """Return whether a connection to a server would be proved.

        That of the own engine is checked with its reports.
        """
        return server.address == self.own_engine or self.proofs.is_running(server)

    def permitted(self, servers: list[BackendServer]) -> list[BackendServer]:
        """Return the servers to which a request could be sent now.

        A connection to a warm server may prove its start, or another process may. Cold
        servers at which another process has to permit a request are a last resort.
        """
        if not self.directory.routes.limits_cold_servers:
            return servers
        found, last = [], []
        for server in servers:
            if self.permits(server):
                found.append(server)
            elif not self.is_cold(server) and not self.lending.was_refused(server):
                found.append(server)
            elif self.lending.may_ask(server):
                last.append(server)
        return found or last

    def leads_to_known_start(self, server: BackendServer, link: Link | None) -> bool:
        """Return whether a connection leads to the start that this process knows.

        Without a connection, the reports of the own engine have to do.
        """
        if link is None:
            return server.address == self.own_engine
        return self.proofs.is_proved(server, link)

    def check(self, server: BackendServer, request_id: str) -> "SendCheck | None":
        """Return the check to make right before a send; None without a limit."""
        if self.limit(server) is None:
            return None
        return SendCheck(self, server, request_id)

    async def wait_turn(
        self, server: BackendServer, request_id: str, rank: float
    ) -> None:
        """Wait until a request may be sent, and reserve its part of the limit.

        The reservation is used by the `SendCheck` with the same id, or has to be
        released by `release_turn`. Where there is no limit, this returns at once.

        Parameters
        ----------
        server : BackendServer
        request_id : str
        rank : float
            The lowest rank is sent first.
        """
        limit = self.limit(server)
        if limit is None:
            return
        state = self.state(server)
        with state.waiting(rank) as turn:
            record = await self.wait_first(server, state, turn)
        if record is not None:
            state.release(request_id)
            state.reserved[request_id] = record

    async def wait_first(
        self, server: BackendServer, state: AddressState, turn: Turn
    ) -> SendRecord | None:
        """Wait until a request is the first one and may be sent."""
        waited = False
        while True:
            limit = self.limit(server)
            if limit is None:
                return None
            proved = self.expects_proof(server)
            if state.is_first(turn):
                record = self.reserve(server, limit, proved)
                if record is not None:
                    return record
            if not waited:
                self.reporter.count_delayed(server)
                waited = True
            if state.is_first(turn):
                pause = min(self.delay(server, limit, proved), MAX_WAIT_SECONDS)
                await self.clock.sleep(max(pause, MIN_WAIT_SECONDS))
            else:
                turn.wake.clear()
                await turn.wake.wait()

    def release_turn(self, server: BackendServer, request_id: str) -> None:
        """Release a reservation that was not used."""
        state = self.addresses.get(server.address)
        if state is not None:
            state.release(request_id)

    def begin_send(
        self,
        server: BackendServer,
        request_id: str,
        limit: ColdLimit,
        link: Link | None = None,
        permit: Permit | None = None,
    ) -> SendRecord | None:
        """Count a request as sent now; return None if it must not be sent now.

        The state is looked at again, since a reserved request may have waited long: the
        server may have become cold meanwhile, or the connection leads to a new start.
        """
        state, now = self.state(server), self.clock.monotonic()
        record = state.reserved.pop(request_id, None)
        cold = self.knowledge.is_cold(server)
        if not cold and self.leads_to_known_start(server, link):
            return self.begin_proved(server, limit, record)
        if record is None and state.turns and self.has_room(server, limit):
            # An order to load weights would otherwise wait until no item waits.
            record = state.limiter.reserve(now, self.share(server, limit).rate)
        elif record is None:
            record = self.reserve(server, limit)
        elif not self.may_use(server, limit, cold):
            state.limiter.cancel(record)
            record = None
        if record is not None:
            state.limiter.begin(record, now)
            return record
        return self.lending.use(permit)

    def begin_proved(
        self, server: BackendServer, limit: ColdLimit, record: SendRecord | None
    ) -> SendRecord | None:
        """Count a request to a warm server; return None if it must wait."""
        now, limiter = self.clock.monotonic(), self.state(server).limiter
        if record is None and self.delay(server, limit, proved=True) > 0:
            return None
        if record is None:
            return limiter.add_proved(now)
        record.proved = True
        limiter.begin(record, now)
        return record

    def may_use(self, server: BackendServer, limit: ColdLimit, cold: bool) -> bool:
        """Return whether a reserved request may be sent to a doubtful start."""
        now, limiter = self.clock.monotonic(), self.state(server).limiter
        capacity = self.share(server, limit).capacity
        return now >= limiter.blocked_until and limiter.sent_count(now, cold) < capacity

    def has_room(self, server: BackendServer, limit: ColdLimit) -> bool:
        """Return whether the limit of a second has room, whatever is due next."""
        now, limiter = self.clock.monotonic(), self.state(server).limiter
        share = self.share(server, limit)
        used = limiter.used(now, self.knowledge.is_cold(server))
        return now >= limiter.blocked_until and used < share.capacity and share.rate > 0

    # Updates of the knowledge of servers.

    def note_entry(self, server: BackendServer) -> None:
        """Store what an entry says about the cold time of its server."""
        if self.limit(server) is None:
            return
        if self.knowledge.get(server) is None:
            self.state(server).limiter.drop_proved()
        self.knowledge.note_entry(server)
        self.proofs.note_entry(server)

    def note_answer(self, server: BackendServer, text: str, asked_at: float) -> None:
        """Store the remaining cold time in the header of an answer, if there is one."""
        left_ms = parse_whole_number(text)
        if self.limit(server) is None or left_ms is None:
            return
        left_time = datetime.timedelta(milliseconds=min(left_ms, MAX_LEFT_MS))
        self.knowledge.note_answer(server, left_time, asked_at)
        self.proofs.note_running(server, asked_at)

    def note_report(self, server: BackendServer, born: int, asked_at: float) -> None:
        """Record from which start of the own engine a report came."""
        limit = self.limit(server)
        if limit is None:
            return
        self.knowledge.note_report(server, born, asked_at, limit)
        if born and born == server.born:
            self.proofs.note_running(server, asked_at)

    def note_broken(self, server: BackendServer) -> None:
        """Record that a connection to a server broke, so it may have restarted."""
        limit = self.limit(server)
        if limit is not None:
            self.knowledge.note_broken(server, limit)

    def note_zone_return(self, zone: str) -> None:
        """Count the servers of a zone as cold, as its evacuation has ended."""
        for server in self.directory.servers.values():
            limit = self.limit(server)
            if server.zone == zone and limit is not None:
                self.knowledge.note_zone_return(server, limit)

    def prune(self) -> None:
        """Remove the state of servers that are not listed any more."""
        servers = self.directory.servers
        self.knowledge.prune(set(servers))
        self.proofs.prune(set(servers))
        self.reporter.prune(set(servers))
        listed = {server.address for server in servers.values()}
        now = self.clock.monotonic()
        for address, state in list(self.addresses.items()):
            if address not in listed and state.is_idle(now):
                del self.addresses[address]

    def gauges(self) -> dict[str, float]:
        """Return the largest used fraction of the rate of a cold server."""
        if not self.directory.routes.limits_cold_servers:
            return {}
        now = self.clock.monotonic()
        used = [
            self.state(server).limiter.sent_count(now) / limit.per_second
            for server in self.directory.servers.values()
            if (limit := self.limit(server)) and self.knowledge.is_cold(server)
        ]
        return {"cold_rate_used": max(used, default=0.0)}
