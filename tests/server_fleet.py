"""Simulated gateways and backend servers, without a network and in virtual time.

The gateways choose with real load balancers. Servers process requests in their slots
and queue the rest; their hosts are slow for a share of the time.
"""

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable

import attrs

from gypsumshift.serving import BackendServer, ServerLoad
from gypsumshift.serving.loadbalancer import LoadBalancer
from gypsumshift.serving.loadreports import LoadReport
from tests.builders import ManualClock

ZONES = ("a", "b", "c")
# Times in seconds: of one round trip, of interference on shared hosts, and for which
# servers keep idle connections.
SAME_ZONE_ROUND_TRIP_S, OTHER_ZONE_ROUND_TRIP_S = 0.0005, 0.0028
INTERFERENCE_S, INTERFERENCE_SHARE, INTERFERENCE_SLOWDOWN = 0.6, 1 / 6, 2.5
KEEP_ALIVE_S = 4.0
GOSSIP_PERIOD_S, OTHER_ZONE_GOSSIP_SHARE = 1.0, 0.1
WARM_UP_S = 5.0


@attrs.frozen
class Scenario:
    """A deployment under test.

    Attributes
    ----------
    gateways, servers, slots : int
    requests_per_s : float
        Of all gateways together.
    work_s, objective_s : float
        Work of one request, and the time in which callers want an answer.
    seconds : float
        Length of the run, with the warm-up.
    reports_slowdown : bool
        Whether servers report four figures instead of three.
    shared_hosts : bool
        Whether hosts of servers are slow for a share of the time.
    snapshot_s : float
        Interval at which all gateways see the same figures, which are 0.1 s old at
        that time; 0 for the exchange of digests instead.
    unrepeatable_share : float
        Share of the requests that always use a new connection.
    calls_at_once : int
        Calls that a gateway has in flight at most, as agents limit their reward calls;
        0 for any number.
    """

    gateways: int = 39
    servers: int = 3
    slots: int = 6
    requests_per_s: float = 6.0
    work_s: float = 0.025
    objective_s: float = 0.167
    seconds: float = 60.0
    reports_slowdown: bool = True
    shared_hosts: bool = True
    snapshot_s: float = 0.0
    unrepeatable_share: float = 0.0
    calls_at_once: int = 0


@attrs.define
class SimulatedServer:
    """State of one server: what it runs, its queue and the slowdown of its host."""

    listed: BackendServer
    running: int = 0
    waiting: deque = attrs.field(factory=deque)
    slowdown: float = 1.0
    served: int = 0

    def load(self, reports_slowdown: bool) -> ServerLoad:
        slowdown = self.slowdown if reports_slowdown else 1.0
        waiting, slots = len(self.waiting), self.listed.slots
        return ServerLoad(self.running, waiting, slots, slowdown, reports_slowdown)


@attrs.define
class SimulatedGateway:
    """A gateway: its load balancer, idle connections by address, and waiting calls."""

    balancer: LoadBalancer
    idle_until: dict[tuple, list[float]] = attrs.field(factory=dict)
    in_flight: int = 0
    waiting: int = 0

    def has_idle(self, address: tuple[str, int], now: float) -> bool:
        return any(until > now for until in self.idle_until.get(address, ()))

    def take_idle(self, address: tuple[str, int], now: float) -> bool:
        """Remove the newest idle connection; return whether there was one."""
        fresh = [until for until in self.idle_until.get(address, ()) if until > now]
        self.idle_until[address] = fresh
        return bool(fresh and fresh.pop())


@attrs.define
class Outcome:
    """Figures of a run after the warm-up.

    Attributes
    ----------
    times_s : list of float
        Answer times.
    sent, same_zone, opened : int
        Requests, those to a server of the gateway's zone, and new connections.
    served : list of int
        Requests by server.
    objective_s : float
    """

    objective_s: float
    times_s: list[float] = attrs.field(factory=list)
    sent: int = 0
    same_zone: int = 0
    opened: int = 0
    served: list[int] = attrs.field(factory=list)

    def percentile(self, share: float) -> float:
        ordered = sorted(self.times_s)
        return ordered[min(int(share * len(ordered)), len(ordered) - 1)]

    @property
    def mean_s(self) -> float:
        return sum(self.times_s) / len(self.times_s)

    @property
    def busiest_share(self) -> float:
        """Requests of the busiest server over the mean."""
        return max(self.served) * len(self.served) / sum(self.served)

    @property
    def opened_share(self) -> float:
        return self.opened / self.sent

    @property
    def late(self) -> int:
        return sum(1 for took in self.times_s if took > self.objective_s)


Choice = Callable[["Fleet", SimulatedGateway], BackendServer]


def choose_by_balancer(fleet: "Fleet", gateway: SimulatedGateway) -> BackendServer:
    return gateway.balancer.choose(fleet.listed, set())


def choose_at_random(fleet: "Fleet", gateway: SimulatedGateway) -> BackendServer:
    return fleet.chance.choice(fleet.listed)


def choose_with_full_knowledge(
    fleet: "Fleet", gateway: SimulatedGateway
) -> BackendServer:
    def expected(server):
        state = fleet.servers[server.start]
        busy = (state.running + len(state.waiting)) / server.slots
        return (1 + max(0.0, busy - 1 + 1 / server.slots)) * state.slowdown

    return min(fleet.listed, key=lambda s: (expected(s), fleet.chance.random()))


class Fleet:
    """Run of a scenario with a way to choose servers."""

    def __init__(self, scenario: Scenario, choice: Choice, seed: int):
        self.scenario = scenario
        self.choice = choice
        # Separate sources keep arrivals and slowdowns the same for every way to choose.
        self.chance = random.Random(seed)
        self.arrivals = random.Random(seed + 1000)
        self.hosts = random.Random(seed + 2000)
        self.clock = ManualClock()
        self.started_at = self.clock.monotonic()
        self.listed = [
            BackendServer(f"s{n}", "app", ("10.0.0.1", n), ZONES[n % 3], scenario.slots)
            for n in range(scenario.servers)
        ]
        self.servers = {s.start: SimulatedServer(s) for s in self.listed}
        self.gateways = [self.make_gateway(n) for n in range(scenario.gateways)]
        self.outcome = Outcome(scenario.objective_s)
        self.events: list[tuple] = []
        self.numbers = itertools.count()

    def make_gateway(self, number: int) -> SimulatedGateway:
        chance = random.Random(self.chance.random())
        balancer = LoadBalancer(ZONES[number % 3], self.clock, chance)
        gateway = SimulatedGateway(balancer)
        balancer.has_idle_connection = lambda address: gateway.has_idle(
            address, self.clock.monotonic()
        )
        return gateway

    def after(self, seconds: float, action: Callable, *arguments) -> None:
        due = self.clock.monotonic() + seconds
        heapq.heappush(self.events, (due, next(self.numbers), action, arguments))

    def run(self) -> Outcome:
        self.arrive()
        for server in self.servers.values():
            self.change_slowdown(server)
        if self.scenario.snapshot_s:
            self.take_snapshot()
        else:
            for gateway in self.gateways:
                self.after(self.chance.random(), self.exchange, gateway)
        while self.events and self.events[0][0] < self.started_at + (
            self.scenario.seconds
        ):
            due, _, action, arguments = heapq.heappop(self.events)
            self.clock.seconds = due
            action(*arguments)
        self.outcome.served = [s.served for s in self.servers.values()]
        return self.outcome

    @property
    def warmed_up(self) -> bool:
        return self.clock.monotonic() - self.started_at > WARM_UP_S

    def arrive(self) -> None:
        self.after(self.arrivals.expovariate(self.scenario.requests_per_s), self.arrive)
        gateway = self.arrivals.choice(self.gateways)
        gateway.waiting += 1
        self.send_waiting(gateway)

    def send_waiting(self, gateway: SimulatedGateway) -> None:
        limit = self.scenario.calls_at_once or math.inf
        while gateway.waiting and gateway.in_flight < limit:
            gateway.waiting -= 1
            gateway.in_flight += 1
            self.send(gateway)

    def send(self, gateway: SimulatedGateway) -> None:
        server = self.choice(self, gateway)
        fresh = self.arrivals.random() < self.scenario.unrepeatable_share
        now = self.clock.monotonic()
        opens = fresh or not gateway.take_idle(server.address, now)
        near = server.zone == gateway.balancer.zone
        round_trip = SAME_ZONE_ROUND_TRIP_S if near else OTHER_ZONE_ROUND_TRIP_S
        if self.warmed_up:
            self.outcome.sent += 1
            self.outcome.opened += opens
            self.outcome.same_zone += near
        gateway.balancer.record_sent(server)
        call = (gateway, now, round_trip)
        on_the_way = round_trip * (1.5 if opens else 0.5)
        self.after(on_the_way, self.receive, self.servers[server.start], call)

    def receive(self, server: SimulatedServer, call: tuple) -> None:
        server.waiting.append(call)
        self.start_waiting(server)

    def start_waiting(self, server: SimulatedServer) -> None:
        while server.waiting and server.running < server.listed.slots:
            server.running += 1
            work = self.scenario.work_s * server.slowdown
            self.after(work, self.finish, server, server.waiting.popleft())

    def finish(self, server: SimulatedServer, call: tuple) -> None:
        server.running -= 1
        self.start_waiting(server)
        load = server.load(self.scenario.reports_slowdown)
        self.after(call[2] / 2, self.answer, server, call, load)

    def answer(self, server: SimulatedServer, call: tuple, load: ServerLoad) -> None:
        gateway, sent_at, _ = call
        now = self.clock.monotonic()
        took = now - sent_at
        gateway.balancer.record_finished(server.listed)
        gateway.balancer.record_load(server.listed, load)
        gateway.balancer.record_success(server.listed, took)
        address = server.listed.address
        gateway.idle_until.setdefault(address, []).append(now + KEEP_ALIVE_S)
        gateway.in_flight -= 1
        self.send_waiting(gateway)
        if self.warmed_up:
            server.served += 1
            self.outcome.times_s.append(took)

    def change_slowdown(self, server: SimulatedServer) -> None:
        slow = self.hosts.random() < INTERFERENCE_SHARE
        if self.scenario.shared_hosts:
            server.slowdown = INTERFERENCE_SLOWDOWN if slow else 1.0
        self.after(INTERFERENCE_S, self.change_slowdown, server)

    def exchange(self, gateway: SimulatedGateway) -> None:
        """Exchange digests with another gateway, mostly of the same zone."""
        self.after(
            GOSSIP_PERIOD_S * self.chance.uniform(0.8, 1.2), self.exchange, gateway
        )
        other = self.chance.choice(self.peers(gateway))
        mine, theirs = self.digest(gateway), self.digest(other)
        for receiver, (observations, reports) in ((gateway, theirs), (other, mine)):
            receiver.balancer.shared_observations.merge(observations)
            receiver.balancer.load_reports.merge(reports)

    def peers(self, gateway: SimulatedGateway) -> list[SimulatedGateway]:
        others = [g for g in self.gateways if g is not gateway]
        if self.chance.random() < OTHER_ZONE_GOSSIP_SHARE:
            return others
        zone = gateway.balancer.zone
        return [g for g in others if g.balancer.zone == zone] or others

    def digest(self, gateway: SimulatedGateway) -> tuple:
        balancer = gateway.balancer
        balancer.estimates.share_own_observations(self.listed)
        return balancer.shared_observations.digest(), balancer.load_reports.digest()

    def take_snapshot(self) -> None:
        """Show all gateways the loads of this moment, 0.1 s later."""
        now = self.clock.monotonic()
        reports = [
            LoadReport(
                start,
                server.running + len(server.waiting),
                server.listed.slots,
                server.slowdown,
                now,
            )
            for start, server in self.servers.items()
        ]
        self.after(0.1, self.show_reports, reports)
        self.after(self.scenario.snapshot_s, self.take_snapshot)

    def show_reports(self, reports: list[LoadReport]) -> None:
        for gateway in self.gateways:
            gateway.balancer.load_reports.merge(reports)


def run_fleet(
    scenario: Scenario, choice: Choice = choose_by_balancer, seeds: int = 5
) -> Outcome:
    """Return the figures of some runs together."""
    total = Outcome(scenario.objective_s, served=[0] * scenario.servers)
    for seed in range(seeds):
        one = Fleet(scenario, choice, seed).run()
        total.times_s += one.times_s
        total.sent += one.sent
        total.opened += one.opened
        total.same_zone += one.same_zone
        total.served = [a + b for a, b in zip(total.served, one.served, strict=True)]
    return total
