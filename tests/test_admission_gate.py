"""Admission of calls from end to end on the stand-in platform, and waiting calls."""

import asyncio

import attrs
import pytest

from gypsumshift.metrics import Metrics
from gypsumshift.outcomes import NotRun
from gypsumshift.serving import Call, Directory, RequestKind, Route, Target
from gypsumshift.serving.admissiongate import REFUSED_REASON, AdmissionGate
from gypsumshift.serving.authorization import Grant
from gypsumshift.serving.fairshares import REWARD_RANK, ShareKey
from gypsumshift.serving.loadbalancer import LoadBalancer
from gypsumshift.serving.routes import RouteTable
from gypsumshift.serving.serviceadmission import ServiceAdmission
from gypsumshift.workspaces import Workspace, Workspaces
from standins.users_documents import config
from tests.admission_builders import (
    SERVICE,
    FixedLoads,
    demand_table,
    process_demand,
    service_state,
)
from tests.platform_cluster import run_scenario
from tests.system import wait_until
from tests.virtual_time import LoopClock, run_in_virtual_time

ROUTE = Route("r", "h", "/", RequestKind.SAFE, (Target(SERVICE),), priority=3)
# A load report of a full server with four slots and a queue.
FULL = "4,12,4,100"


def overload(gateway, rank=1, workspace=""):
    """Let a gateway know of much demand at other gateways."""
    now = gateway.clock.monotonic()
    places = {(rank, workspace): 400.0}
    gateway.demand.merge([process_demand("elsewhere", now, places)])


async def send_many(cluster, count, name, **headers):
    """Send requests one after another; return their statuses and Retry-After."""
    found = []
    for number in range(count):
        overload(cluster.gateway)
        exchange, _ = await cluster.send_request(
            "POST", "/app/1", f"{name}{number}", f"{name}{number}".encode(), **headers
        )
        found.append((exchange.status, exchange.header(b"retry-after")))
    return found


def test_a_full_service_refuses_what_exceeds_its_share_and_has_not_run_it(tmp_path):
    """A 503 guarantees that the request has not run: it may only be sent before."""

    async def scenario(cluster):
        cluster.app.reported_load = FULL
        await send_many(cluster, 1, "first")
        found = await send_many(cluster, 30, "r")
        refused = [retry_after for status, retry_after in found if status == 503]
        assert len(refused) > 20
        assert all(0 < float(seconds) <= 10 for seconds in refused)
        ran = {run["request"] for run in cluster.app.runs}
        for number, (status, _) in enumerate(found):
            assert (f"r{number}" in ran) == (status == 200)
        assert len(set(refused)) > 1, "retries must not arrive together"

    run_scenario(scenario, tmp_path)


def test_a_workspace_of_higher_priority_is_served(tmp_path):
    async def scenario(cluster):
        keys = {"high": ["key-high"], "low": ["key-low"]}
        value = config(2, workspaces=keys)
        value["tenants"][0]["priority"] = 0
        value["tenants"][1]["priority"] = 9
        await cluster.store.write_row("op", "config", value)
        gateway = cluster.gateway
        await wait_until(lambda: gateway.directory.routes.version == 2)
        applied_at = gateway.clock.monotonic_with_suspend()
        watch = next(w for w in gateway.directory_watches if w.table == "op")
        await wait_until(lambda: watch.confirmed_at > applied_at)
        cluster.app.reported_load = FULL
        await send_many(cluster, 1, "first", key="key-high")
        high = await send_many(cluster, 10, "h", key="key-high")
        low = await send_many(cluster, 20, "l", key="key-low")
        assert [status for status, _ in high] == [200] * 10
        assert [status for status, _ in low].count(503) > 12

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize("load", ["4,12,4", ""])
def test_servers_that_report_no_slowdown_get_all_calls_as_before(tmp_path, load):
    async def scenario(cluster):
        cluster.app.reported_load = load
        found = await send_many(cluster, 20, "r")
        assert [status for status, _ in found] == [200] * 20

    run_scenario(scenario, tmp_path)


def test_without_the_mechanism_all_calls_are_sent(tmp_path, monkeypatch):
    monkeypatch.setenv("GYPSUMSHIFT_WITHOUT", "service_admission")

    async def scenario(cluster):
        assert cluster.gateway.forwarder.gate is None
        cluster.app.reported_load = FULL
        found = await send_many(cluster, 20, "r")
        assert [status for status, _ in found] == [200] * 20

    run_scenario(scenario, tmp_path)


@attrs.define
class GateWorld:
    """A gate in virtual time, whose service has much demand elsewhere."""

    gate: AdmissionGate
    loads: FixedLoads
    clock: LoopClock

    @property
    def control(self):
        return self.gate.rule.control(SERVICE)

    def call(self, name="c", **fields):
        deadline = self.clock.monotonic() + 1.0
        return Call(name, "GET", "/", "h", [], name.encode(), ROUTE, deadline, **fields)


def gate_world(chance, workspaces=()):
    """Return a world in which each call without a credit waits for a free place."""
    clock = LoopClock()
    places = {(3, ""): 100.0}
    demand = demand_table(clock, process_demand("o", clock.monotonic(), places))
    loads = FixedLoads(service_state(busy=11.0))
    directory = Directory()
    directory.set_routes(RouteTable(1, [ROUTE], workspaces=Workspaces(workspaces)))
    rule = ServiceAdmission(loads, demand, clock, chance)
    balancer = LoadBalancer("z", clock, chance)
    metrics = Metrics("test", dict)
    return GateWorld(
        AdmissionGate(rule, balancer, directory, clock, metrics), loads, clock
    )


class FixedChance:
    """Random source that always returns one number."""

    def __init__(self, value):
        self.value = value

    def random(self):
        return self.value

    def uniform(self, low, high):
        return low + (high - low) * self.value


def test_a_caller_that_leaves_gives_up_its_place_in_the_queue():
    """Free places would otherwise be spent on callers that left."""

    async def scenario():
        world = gate_world(FixedChance(0.0))
        world.control.longest_wait = lambda *_: 0.05
        world.gate.rule.longest_wait = lambda *_: 10.0
        world.control.lending_rate = lambda: 0.2
        waiting = asyncio.create_task(world.gate.enter(world.call(), SERVICE))
        await asyncio.sleep(0.01)
        assert len(world.control.queue) == 1
        waiting.cancel()
        await asyncio.sleep(0.01)
        assert waiting.cancelled() and len(world.control.queue) == 0
        await asyncio.sleep(0.01)
        assert not world.gate.polls, "polling ends with the last waiting call"

    run_in_virtual_time(scenario)


def test_a_waiting_call_is_sent_when_places_become_free_and_refused_otherwise():
    async def scenario():
        world = gate_world(FixedChance(0.0))
        world.gate.rule.longest_wait = lambda *_: 0.05
        world.control.lending_rate = lambda: 25.0
        started = world.clock.monotonic()
        assert await world.gate.enter(world.call(), SERVICE) is None
        assert 0.03 < world.clock.monotonic() - started <= 0.05
        rate = 25.0
        world.control.lending_rate = lambda: rate
        waiting = asyncio.create_task(world.gate.enter(world.call("d"), SERVICE))
        await asyncio.sleep(0.01)
        rate = 0.0
        outcome = await waiting
        assert isinstance(outcome, NotRun) and outcome.reason == REFUSED_REASON
        assert outcome.retry_after.total_seconds() > 0

    run_in_virtual_time(scenario)


def test_the_share_of_a_call_follows_workspace_route_and_kind():
    """The workspace's priority takes precedence; reward calls rank below all."""

    async def scenario():
        named = [Workspace("ranked", priority=1), Workspace("plain")]
        gate = gate_world(FixedChance(0.0), named)
        key = gate.gate.share_key
        assert key(gate.call()) == ShareKey(3, "")
        ranked = gate.call(grant=Grant("ranked"))
        assert key(ranked) == ShareKey(1, "ranked")
        assert key(gate.call(grant=Grant("plain"))) == ShareKey(3, "plain")
        reward = gate.call(reward_for="ranked")
        assert key(reward) == ShareKey(REWARD_RANK, "ranked")

    run_in_virtual_time(scenario)
