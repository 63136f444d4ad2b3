"""Simulated gateways and servers in three regions, in virtual time.

The gateways choose with real load balancers. Servers process requests in their slots
and queue the rest. A lost region accepts no connections, and is silent.
"""

import asyncio
import random

import attrs

from gypsumshift.serving import BackendServer, ServerLoad
from gypsumshift.serving.loadbalancer import LoadBalancer
from gypsumshift.serving.sender import CONNECT_HEDGE_SECONDS
from tests.region_builders import ZONES, make_layout
from tests.virtual_time import LoopClock

SLOTS = 4
SERVICE_S = 0.05
SERVERS_PER_ZONE = 2
GATEWAYS_PER_ZONE = 2
# Capacity of one region in requests per second.
REGION_CAPACITY = 2 * SERVERS_PER_ZONE * SLOTS / SERVICE_S
ROUND_TRIP_S = {True: 0.04, False: 0.001}


@attrs.define
class SimulatedServer:
    """A server with its free slots."""

    listed: BackendServer
    slots: asyncio.Semaphore = attrs.field(factory=lambda: asyncio.Semaphore(SLOTS))
    running: int = 0


@attrs.frozen
class Outcome:
    """One answered request: when it began, how long it took, and the regions."""

    began: float
    took: float
    own: str
    served: str

    @property
    def is_far(self):
        return self.own != self.served


class RegionFleet:
    """Gateways and servers of all zones.

    Parameters
    ----------
    seed : int
    narrow : bool
        Whether gateways prefer their own region.
    reports : bool
        Whether servers report a slowdown, and gateways exchange these reports.
    """

    def __init__(self, seed=1, narrow=True, reports=False):
        self.reports = reports
        self.chance = random.Random(seed)
        self.clock = LoopClock()
        self.lost = set()
        self.outcomes = []
        self.servers = {}
        self.listed = []
        self.regions = dict(ZONES)
        for number, (zone, _) in enumerate(ZONES * SERVERS_PER_ZONE):
            server = BackendServer(f"s{number}", "app", ("10.0.0.1", number), zone, 4)
            self.servers[server.id] = SimulatedServer(server)
            self.listed.append(server)
        self.gateways = {}
        for zone, region in ZONES:
            for number in range(GATEWAYS_PER_ZONE):
                chance = random.Random(f"{seed}/{zone}/{number}")
                balancer = LoadBalancer(
                    zone, self.clock, chance, layout=make_layout(zone)
                )
                balancer.has_idle_connection = lambda address: True
                if not narrow:
                    balancer.regions.narrow = lambda servers, *_: servers
                self.gateways.setdefault(region, []).append(balancer)

    async def run(self, loads, seconds):
        """Send Poisson requests; ``loads`` gives the relative load by region."""
        async with asyncio.timeout(seconds + 30):
            tasks = []
            senders = [
                self.send_all(region, load * REGION_CAPACITY, seconds, tasks)
                for region, load in loads.items()
            ]
            exchange = asyncio.create_task(self.exchange_reports())
            await asyncio.gather(*senders)
            await asyncio.gather(*tasks)
            exchange.cancel()

    async def exchange_reports(self):
        """Give the gateways of a region the same reports, four times a second."""
        while self.reports:
            await asyncio.sleep(0.25)
            for balancers in self.gateways.values():
                for balancer in balancers:
                    found = list(balancer.load_reports.newest.values())
                    for other in balancers:
                        other.load_reports.merge(found)

    async def send_all(self, region, rate, seconds, tasks):
        until = self.clock.monotonic() + seconds
        while rate and self.clock.monotonic() < until:
            await asyncio.sleep(self.chance.expovariate(rate))
            balancer = self.chance.choice(self.gateways[region])
            tasks.append(asyncio.create_task(self.request(region, balancer)))

    async def request(self, region, balancer):
        """Send one request, to another server when no connection opens."""
        began = self.clock.monotonic()
        tried = set()
        while True:
            server = balancer.choose(self.listed, tried) or self.listed[0]
            if self.regions[server.zone] not in self.lost:
                break
            tried.add(server.start)
            balancer.record_sent(server)
            await asyncio.sleep(CONNECT_HEDGE_SECONDS)
            balancer.record_unconnected(server)
            balancer.record_failure(server, self.listed)
            balancer.record_finished(server)
        await self.answer(balancer, server)
        took = self.clock.monotonic() - began
        served = self.regions[server.zone]
        self.outcomes.append(Outcome(began, took, region, served))

    async def answer(self, balancer, server):
        """Run a request at a server, and report the outcome to the load balancer."""
        round_trip = ROUND_TRIP_S[balancer.layout.is_other_region(server.zone)]
        simulated = self.servers[server.id]
        balancer.record_sent(server)
        started = self.clock.monotonic()
        await asyncio.sleep(round_trip / 2)
        simulated.running += 1
        async with simulated.slots:
            await asyncio.sleep(SERVICE_S * self.chance.uniform(0.7, 1.3))
        simulated.running -= 1
        load = ServerLoad(min(simulated.running, SLOTS), 0, SLOTS, 1.0, self.reports)
        waiting = max(simulated.running - SLOTS, 0)
        load = attrs.evolve(load, waiting=waiting)
        await asyncio.sleep(round_trip / 2)
        balancer.record_load(server, load)
        took = self.clock.monotonic() - started
        balancer.record_success(
            server, took - balancer.round_trips.extra_s(server.zone)
        )
        balancer.record_finished(server)

    def between(self, begin, end, region="north"):
        """Return the outcomes of a region's requests that began in a time span."""
        return [
            outcome
            for outcome in self.outcomes
            if begin <= outcome.began - START < end and outcome.own == region
        ]


# Time of a virtual loop at its start.
START = 100.0


def far_share(outcomes):
    """Return the share of requests that another region served."""
    return sum(outcome.is_far for outcome in outcomes) / len(outcomes)


def percentile(outcomes, share):
    """Return a percentile of the answer times."""
    times = sorted(outcome.took for outcome in outcomes)
    return times[int(share * (len(times) - 1))]
