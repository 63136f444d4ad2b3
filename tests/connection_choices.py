"""Scenarios and ways to choose servers for the comparison of new connections.

Gateways send callers' requests at their own pace, agents their reward calls within a
limit on the calls in flight.
"""

from gypsumshift.membership import rendezvous_weight
from gypsumshift.serving import BackendServer
from tests.server_fleet import Choice, Fleet, Scenario, SimulatedGateway

GATEWAYS_3_SERVERS = Scenario()
GATEWAYS_8_SERVERS = Scenario(servers=8)
AGENTS_3_SERVERS = Scenario(
    gateways=23,
    requests_per_s=64,
    work_s=0.036,
    objective_s=0.171,
    seconds=30,
    calls_at_once=1,
)
AGENTS_8_SERVERS = Scenario(
    gateways=21,
    servers=8,
    requests_per_s=64,
    work_s=0.085,
    objective_s=0.419,
    seconds=30,
    calls_at_once=2,
)


def make_subset_choice(size: int, connection_cost: float) -> Choice:
    """Return a choice within a subset of the servers by rendezvous hashing.

    Other servers are used if the expected time in the subset is worse by more than the
    cost of a new connection, in usual service times.
    """

    def choose(fleet: Fleet, gateway: SimulatedGateway) -> BackendServer:
        balancer = gateway.balancer
        subset = own_subset(fleet, gateway, size)
        usual = balancer.estimates.median_latency(fleet.listed)

        def cost(server):
            time = balancer.estimates.expected_load(server, usual).draw_time(
                balancer.chance
            )
            time += balancer.penalty(server, 0.15) + balancer.chance.uniform(0, 0.1)
            return time + (0.0 if server in subset else connection_cost)

        return min(fleet.listed, key=cost)

    return choose


def own_subset(
    fleet: Fleet, gateway: SimulatedGateway, size: int
) -> list[BackendServer]:
    """Return the gateway's servers of its zone with the highest weights."""
    name = str(fleet.gateways.index(gateway))
    zone = gateway.balancer.zone
    near = [s for s in fleet.listed if s.zone == zone] or fleet.listed
    return sorted(near, key=lambda s: -rendezvous_weight(name, s.id))[:size]
