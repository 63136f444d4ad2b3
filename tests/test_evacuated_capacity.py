"""Capacity while a zone is evacuated: only the servers of other zones count.

Guards against calls, reward calls and steps that are admitted for servers that get no
requests: they would wait or be refused late.
"""

import attrs
import pytest

from gypsumshift.jobs.records import RewardCall
from gypsumshift.jobs.rewardlimiter import RewardLimiter
from gypsumshift.serving import Directory
from gypsumshift.serving.serviceloads import BalancerLoads
from tests.builders import ManualClock
from tests.job_builders import HOST, routes, server
from tests.load_builders import SLOTS, make_balancer, make_load, make_servers
from tests.shares_world import SharesWorld, Trainer
from tests.test_stepneeds import ENGINES


def list_servers(directory, servers):
    """List servers, the first one in the zone ``east``."""
    for number, one in enumerate(servers):
        zone = "east" if number == 0 else "west"
        directory.set_server(attrs.evolve(one, zone=zone))


def test_admission_counts_the_servers_of_other_zones():
    balancer, clock = make_balancer()
    directory = Directory(clock)
    list_servers(directory, make_servers())
    for one in directory.servers.values():
        balancer.record_load(one, make_load())
    (service,) = {one.service for one in directory.servers.values()}
    loads = BalancerLoads(balancer, directory)
    assert loads.state(service).slots == 3 * SLOTS
    directory.evacuations.apply_row("east", 1, True)
    clock.advance(0.1)
    assert loads.state(service).slots == 2 * SLOTS
    directory.evacuations.apply_row("west", 2, True)
    clock.advance(0.1)
    assert loads.state(service) is None


def test_the_limit_of_reward_calls_counts_servers_and_agents_of_other_zones():
    directory = Directory(ManualClock())
    directory.set_routes(routes())
    apps = [attrs.evolve(server(f"s{n}"), service="app", slots=6) for n in range(2)]
    list_servers(directory, apps)
    limiter = RewardLimiter(directory.evacuations.clock, directory)
    call = RewardCall("r", HOST, "/score/", b"")
    limiter.update_limit(call)
    assert limiter.call_limit == 6.0
    directory.evacuations.apply_row("east", 1, True)
    limiter.update_limit(call)
    assert limiter.call_limit == 3.0


def test_the_division_of_the_engines_counts_those_of_other_zones():
    world = SharesWorld([Trainer("a", "one", 96)], ENGINES)
    world.run_trainer(world.trainers[0])
    directory = world.weights.local_engine.directory
    before = world.weights.divider.capacity().tokens_per_s
    list_servers(directory, list(directory.servers.values()))
    directory.evacuations.apply_row("east", 1, True)
    after = world.weights.divider.capacity().tokens_per_s
    assert after == pytest.approx(before * (ENGINES - 1) / ENGINES)
    evacuated = next(s.id for s in directory.servers.values() if s.zone == "east")
    assert evacuated not in world.weights.assignment()
