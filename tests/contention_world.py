"""Simulation of gateways, callers and servers of one contended service.

Time is virtual: events are run in order of their time. Gateways use the real modules of
admission, and exchange digests through their encoded form. Servers report their load
with each answer; gateways know no more of it than that and what digests carry.
"""

import collections
import heapq
import itertools
import json
import math
import random

import attrs

from gypsumshift.serving.admissionrule import LoadSource, Verdict
from gypsumshift.serving.capacitycorrection import ServiceState
from gypsumshift.serving.demand import DemandTable, retry_mark
from gypsumshift.serving.demandsection import DemandSection
from gypsumshift.serving.fairqueue import Ticket
from gypsumshift.serving.fairshares import ShareKey
from gypsumshift.serving.serviceadmission import ServiceAdmission
from tests.builders import ManualClock

SERVICE = "app"
# Pairs of exchanges as in `gossip.py`, and while calls are refused or wait.
PERIOD_S, BUSY_PERIOD_S = 1.0, 0.25
OTHER_ZONE_SHARE, BUSY_OTHER_ZONE_SHARE = 0.1, 0.35
POLL_S = 0.01
REPORT_MAX_AGE_S = 4.0
ONE_WAY_S = 0.0015
# Queue of a server, in calls per slot.
QUEUE_PER_SLOT = 4
# Rounds over all servers, and the pause after each times its number, as in
# `forwarder.py`.
ROUNDS, ROUND_PAUSE_S = 3, 0.05


@attrs.define(eq=False)
class Server:
    """A server with slots and a bounded queue.

    Attributes
    ----------
    slots : int
    slowdown : float
        Work takes so many times as long.
    up : bool
    busy_seconds : float
        Slot-seconds used.
    """

    name: str
    slots: int
    slowdown: float = 1.0
    up: bool = True
    running: int = 0
    queue: collections.deque = attrs.field(factory=collections.deque)
    busy_seconds: float = 0.0

    @property
    def busy(self):
        return self.running + len(self.queue)


@attrs.define(eq=False)
class Arrival:
    """One attempt of a caller."""

    id: str
    workspace: str
    priority: int
    deadline: float
    first_at: float
    attempt: int = 0
    servers_tried: set = attrs.field(factory=set)
    rounds: int = 0


@attrs.define
class Tally:
    """What became of the calls of one workspace."""

    offered: int = 0
    served: int = 0
    on_time: int = 0
    refusals: int = 0
    gone: int = 0

    @property
    def share(self):
        """Share of the calls that were answered."""
        return self.served / self.offered if self.offered else 1.0


class Loads(LoadSource):
    """Newest reported load of each server, as one gateway knows it."""

    def __init__(self, world):
        self.world = world
        self.reports = {}

    def record(self, server, busy, slowdown, at):
        known = self.reports.get(server.name)
        if known is None or known[2] < at:
            self.reports[server.name] = busy, slowdown, at

    def state(self, service):
        now = self.world.clock.monotonic()
        places = slots = busy = waiting = free = 0.0
        ages = []
        for server in self.world.servers:
            report = self.reports.get(server.name)
            if not server.listed:
                continue
            if report is None or now - report[2] > REPORT_MAX_AGE_S:
                places += server.slots
                continue
            places += server.slots / max(1.0, report[1])
            slots += server.slots
            busy += report[0]
            waiting += max(0.0, report[0] - server.slots)
            free += max(0.0, server.slots - report[0])
            ages.append(now - report[2])
        if not ages:
            return None
        return ServiceState(places, slots, busy, waiting, free, sum(ages) / len(ages))


class Gateway:
    """One gateway: its admission, its knowledge of servers and its exchanges."""

    def __init__(self, world, name, zone, rule):
        self.world, self.name, self.zone = world, name, zone
        self.up, self.connected = True, True
        self.loads = Loads(world)
        self.demand = DemandTable(name, world.clock)
        self.demand.count_processes = lambda: len(world.gateways)
        self.section = DemandSection(self.demand)
        self.chance = random.Random(f"{world.seed} {name}")
        self.admission = rule(self) if rule else None
        self.polling = False

    def receive(self, arrival):
        """Handle a call of a caller."""
        if self.admission is None:
            self.send(arrival)
            return
        ticket = Ticket(
            arrival.id,
            SERVICE,
            ShareKey(arrival.priority, arrival.workspace),
            retry_mark(arrival.id),
            arrival.deadline,
            self.world.objective,
        )
        ticket.on_decision = lambda admitted: self.decided(ticket, arrival, admitted)
        decision = self.admission.offer(ticket)
        if decision.verdict == Verdict.SENT:
            self.send(arrival)
        elif decision.verdict == Verdict.WAITS:
            self.start_polling()
        else:
            self.refuse(arrival, decision.retry_after)

    def decided(self, ticket, arrival, admitted):
        if admitted:
            self.send(arrival)
        else:
            self.refuse(arrival, self.admission.refuse(ticket))

    def refuse(self, arrival, retry_after):
        self.world.refused(arrival, retry_after)

    def start_polling(self):
        if not self.polling:
            self.polling = True
            self.world.after(POLL_S, self.poll)

    def poll(self):
        self.polling = bool(self.up and self.admission.poll(SERVICE))
        if self.polling:
            self.world.after(POLL_S, self.poll)

    def send(self, arrival):
        """Send a call to the server that seems least busy of two."""
        usable = [s for s in self.world.servers if s.listed]
        usable = [s for s in usable if s.name not in arrival.servers_tried]
        if not usable:
            self.next_round(arrival)
            return
        pair = self.chance.sample(usable, min(2, len(usable)))
        server = min(pair, key=self.known_load)
        arrival.servers_tried.add(server.name)
        self.world.after(ONE_WAY_S, lambda: self.world.serve(self, arrival, server))

    def known_load(self, server):
        busy, slowdown, _ = self.loads.reports.get(server.name, (0, 1.0, 0))
        return (busy + 1) / server.slots * slowdown

    def next_round(self, arrival):
        """Try all servers again after a pause, up to the number of rounds."""
        if arrival.rounds >= ROUNDS or self.world.now >= arrival.deadline:
            self.server_refused(arrival)
            return
        arrival.rounds += 1
        arrival.servers_tried = set()
        pause = ROUND_PAUSE_S * arrival.rounds
        self.world.after(pause, lambda: self.send(arrival))

    def server_refused(self, arrival):
        """Refuse a call that no server accepted."""
        if self.admission is None:
            self.refuse(arrival, 0.25)
            return
        key = ShareKey(arrival.priority, arrival.workspace)
        mark = retry_mark(arrival.id)
        ticket = Ticket(arrival.id, SERVICE, key, mark, arrival.deadline)
        self.refuse(arrival, self.admission.refuse(ticket))

    def answered(self, arrival, server, took, load):
        busy, slowdown = load
        self.loads.record(server, busy, slowdown, self.world.now - ONE_WAY_S)
        if self.admission is not None:
            key = ShareKey(arrival.priority, arrival.workspace)
            self.admission.record_answer(SERVICE, key, took, slowdown)
        self.world.answered(arrival)

    def exchange(self):
        """Exchange digests with another gateway, then wait for the next exchange."""
        if not self.up:
            return
        peers = [
            g for g in self.world.gateways if g is not self and g.up and g.connected
        ]
        if self.connected and peers:
            own = [g for g in peers if g.zone == self.zone]
            urgent = self.admission is not None and self.demand.is_urgent
            share = BUSY_OTHER_ZONE_SHARE if urgent else OTHER_ZONE_SHARE
            any_zone = self.chance.random() < share
            peer = self.chance.choice(peers if any_zone or not own else own)
            peer.merge(self.encoded())
            self.merge(peer.encoded())
        busy = self.admission is not None and self.demand.is_urgent
        period = BUSY_PERIOD_S if busy else PERIOD_S
        self.world.after(period * self.chance.uniform(0.8, 1.2), self.exchange)

    def encoded(self):
        value = {"loads": list(self.loads.reports.items())}
        if self.admission is not None:
            value["demand"] = self.section.encode()
        return json.dumps(value)

    def merge(self, text):
        value = json.loads(text)
        for name, report in value["loads"]:
            self.loads.record(self.world.by_name[name], *report)
        if value.get("demand") is not None:
            self.section.merge(value["demand"])


class World:
    """Callers, gateways and servers, and the events between them.

    Parameters
    ----------
    rule : callable or None
        Returns the `AdmissionRule` of a gateway; None switches admission off.
    seed : int
    gateways : int
    servers : int
    slots : int
        Of each server.
    work : float
        Usual seconds of a call.
    retries : bool
        Whether callers try again as long as they are asked to do so in time.
    """

    def __init__(
        self,
        rule=None,
        seed=1,
        gateways=30,
        servers=2,
        slots=6,
        work=0.0675,
        objective=0.39,
        timeout=1.5,
        retries=False,
    ):
        self.clock, self.seed, self.rule = ManualClock(), seed, rule
        self.chance = random.Random(seed)
        self.events, self.sequence = [], itertools.count()
        self.work, self.objective, self.timeout = work, objective, timeout
        self.retries = retries
        self.servers = [ServerState(f"s{n}", slots) for n in range(servers)]
        self.by_name = {server.name: server for server in self.servers}
        self.gateways = []
        self.tallies = collections.defaultdict(Tally)
        self.sent_at, self.arrived_at, self.served_at = [], [], []
        self.server_refusals = 0
        for _ in range(gateways):
            self.add_gateway()

    @property
    def now(self):
        return self.clock.seconds

    @property
    def capacity(self):
        """Calls per second that all servers can run now."""
        slots = sum(s.slots / s.slowdown for s in self.servers if s.up)
        return slots / self.work

    def add_gateway(self):
        number = len(self.gateways)
        gateway = Gateway(self, f"g{number}", number % 3, self.rule)
        self.gateways.append(gateway)
        self.after(self.chance.uniform(0, PERIOD_S), gateway.exchange)

    def after(self, seconds, action):
        heapq.heappush(self.events, (self.now + seconds, next(self.sequence), action))

    def run(self, seconds):
        """Run the events of some seconds."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            at, _, action = heapq.heappop(self.events)
            self.clock.seconds = at
            action()
        self.clock.seconds = end

    def reset(self):
        """Forget what became of calls so far."""
        self.tallies.clear()
        for server in self.servers:
            server.busy_seconds = 0.0
        self.sent_at, self.arrived_at, self.served_at = [], [], []
        self.server_refusals = 0

    def add_callers(self, workspace, rate, priority=1, seconds=math.inf):
        """Let callers of a workspace send calls at a rate from now on."""
        end = self.now + seconds

        def arrive():
            if self.now >= end:
                return
            self.new_call(workspace, priority)
            self.after(self.chance.expovariate(rate), arrive)

        self.after(self.chance.expovariate(rate), arrive)

    def new_call(self, workspace, priority=1):
        """Let one caller send a call now."""
        name = f"{workspace}-{next(self.sequence)}"
        self.tallies[workspace].offered += 1
        arrival = Arrival(name, workspace, priority, self.now + self.timeout, self.now)
        self.deliver(arrival)

    def deliver(self, arrival):
        self.arrived_at.append(self.now)
        gateways = [g for g in self.gateways if g.up]
        self.chance.choice(gateways).receive(arrival)

    def refused(self, arrival, retry_after):
        tally = self.tallies[arrival.workspace]
        tally.refusals += 1
        left = arrival.deadline - self.now
        if not self.retries or retry_after > left / 3:
            tally.gone += 1
            return
        arrival.attempt += 1
        arrival.servers_tried, arrival.rounds = set(), 0
        self.after(retry_after, lambda: self.deliver(arrival))

    def answered(self, arrival):
        tally = self.tallies[arrival.workspace]
        self.served_at.append(self.now)
        if self.now <= arrival.deadline:
            tally.served += 1
        if self.now - arrival.first_at <= self.objective:
            tally.on_time += 1

    def serve(self, gateway, arrival, server):
        """Let a server accept or refuse a call."""
        if not server.up or len(server.queue) >= QUEUE_PER_SLOT * server.slots:
            self.server_refusals += 1
            self.after(ONE_WAY_S, lambda: gateway.send(arrival))
            return
        self.sent_at.append(self.now)
        server.queue.append((gateway, arrival, self.now))
        self.start_calls(server)

    def start_calls(self, server):
        while server.queue and server.running < server.slots:
            gateway, arrival, received = server.queue.popleft()
            server.running += 1
            took = self.work * server.slowdown * self.chance.uniform(0.7, 1.3)
            server.busy_seconds += took

            def finish(gateway=gateway, arrival=arrival, received=received):
                server.running -= 1
                load = server.busy, server.slowdown
                took = self.now - received + 2 * ONE_WAY_S
                self.after(
                    ONE_WAY_S, lambda: gateway.answered(arrival, server, took, load)
                )
                self.start_calls(server)

            self.after(took, finish)

    def used_share(self, seconds):
        """Return the share of the slot-seconds that were used since the reset."""
        slots = sum(server.slots for server in self.servers if server.up)
        return sum(server.busy_seconds for server in self.servers) / slots / seconds

    def peak_rate(self, times, window):
        """Return the largest number of events per second in any window."""
        times, peak, start = sorted(times), 0, 0
        for end, at in enumerate(times):
            while times[start] < at - window:
                start += 1
            peak = max(peak, end - start + 1)
        return peak / window


class ServerState(Server):
    """A server that may be lost; the directory lists it until then."""

    @property
    def listed(self):
        return self.up


def shares_by_demand(gateway):
    """Return the admission of a gateway as the product has it."""
    return ServiceAdmission(
        gateway.loads, gateway.demand, gateway.world.clock, gateway.chance
    )
