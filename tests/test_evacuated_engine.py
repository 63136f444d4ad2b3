"""Agents whose engine is in an evacuated zone, and engines when the zone returns.

Guards against items that start in an evacuated zone, items that wait there while their
step is due, output that is thrown away, and engines that change their models back and
forth.
"""

import asyncio
import itertools
import math

import attrs
import pytest

from gypsumshift.eventstream import StreamBroken
from gypsumshift.httpclient import Fetcher
from gypsumshift.jobs import weights
from gypsumshift.jobs.claimtracker import STEAL_AFTER
from gypsumshift.jobs.engine import EngineClient, WeightLoadOrder
from gypsumshift.jobs.engineevacuation import EngineEvacuation
from gypsumshift.jobs.itemrunner import ItemRunner
from gypsumshift.jobs.localengine import AgentIdentity, LocalEngine
from gypsumshift.jobs.placement import EngineView
from gypsumshift.jobs.records import AGENTS, CLAIMS, Job
from gypsumshift.jobs.unitreleaser import UnitReleaser
from gypsumshift.jobs.weights import WeightManager
from gypsumshift.jobs.zonereturn import MODEL_HOLD_SECONDS, keep_models
from gypsumshift.outcomes import NotRun
from gypsumshift.platforms import Row
from gypsumshift.serving import Directory, EngineLimits, RouteTable, Service
from standins.users_worker import FakeWorker
from tests import platform_cluster  # noqa: F401  (adds the adapter's folder to sys.path)
from tests.builders import ManualClock
from tests.job_builders import (
    METRICS,
    MODEL,
    NAMES,
    SERVICE,
    FakeEngine,
    JobCluster,
    make_tracker,
    server,
)
from tests.system import wait_until

# Time within which an agent releases what has not begun.
RELEASE_BOUND_S = 1.0


def run_jobs(test):
    """Run a test in a new `JobCluster`, for 20 s at most."""

    async def play():
        world = JobCluster()
        try:
            async with asyncio.timeout(20):
                await test(world)
        finally:
            await world.close()

    asyncio.run(play())


def evacuate(agent, version=1, evacuated=True):
    """Let an agent receive that the zone of its engine is evacuated, or returns."""
    agent.local_engine.directory.evacuations.apply_row("here", version, evacuated)


def slow_engine():
    """Return an engine that generates items of which none ends by itself."""
    engine = FakeEngine(length=30)
    engine.may_finish.clear()
    return engine


def add_other_engine(agent):
    """List an engine of another zone, at which items may continue."""
    other = attrs.evolve(server("e-other", address=("127.0.0.1", 10)), zone="east")
    agent.local_engine.directory.set_server(other)


async def running_agent(world, engine, count=2):
    agent = world.agent("a", engine)
    await world.submit(groups=1, size=count)
    await wait_until(
        lambda: (
            agent.evacuation.count_running() == count
            and all(len(r.events) > 1 for r in runs_of(agent))
        )
    )
    return agent


def runs_of(agent):
    return [run for unit in agent.runner.units.values() for run in unit.runs.values()]


async def claims_of(world, agent):
    rows = await world.store.scan(CLAIMS, "", "job")
    return [row.value for row in rows if row.value.get("agent") == agent]


def keep_claiming(monkeypatch):
    monkeypatch.setattr(LocalEngine, "is_evacuated", False)


@pytest.mark.parametrize("mechanism", [True, False])
def test_an_agent_claims_and_starts_nothing_in_an_evacuated_zone(
    monkeypatch, mechanism
):
    if not mechanism:
        keep_claiming(monkeypatch)

    async def scenario(world):
        engine = FakeEngine()
        agent = world.agent("a", engine)
        await wait_until(lambda: agent.local_engine.healthy)
        evacuate(agent)
        await world.submit(groups=2)
        await wait_until(lambda: agent.tracker.open_jobs)
        # Units of a model that the engine is not assigned are claimed later.
        await asyncio.sleep(STEAL_AFTER + RELEASE_BOUND_S)
        idle = not engine.started and not await claims_of(world, "a")
        assert idle is mechanism
        assert (agent.free_slots() == 0) is mechanism
        evacuate(agent, 2, False)
        assert len(await world.results()) == 4

    run_jobs(scenario)


@pytest.mark.parametrize("mechanism", [True, False])
def test_units_that_have_not_begun_are_released_within_a_second(monkeypatch, mechanism):
    """The engine refuses items while it loads weights, so that they wait here."""
    if not mechanism:
        monkeypatch.setattr(EngineEvacuation, "release_units", lambda self: 0)

    async def scenario(world):
        engine = FakeEngine()
        agent = world.agent("a", engine)
        await wait_until(lambda: agent.local_engine.healthy)
        agent.weights.loading_model = MODEL
        agent.weights.note_report = lambda report: None
        agent.weights.ready_versions = lambda: {MODEL: 1}
        await world.submit(groups=2)
        await wait_until(lambda: len(agent.runner.units) == 2)
        assert len(await claims_of(world, "a")) == 2
        evacuate(agent)
        await asyncio.sleep(RELEASE_BOUND_S)
        assert (await claims_of(world, "a") == []) is mechanism
        assert not engine.started

    run_jobs(scenario)


def test_running_items_end_where_they_run():
    async def scenario(world):
        engine = slow_engine()
        agent = await running_agent(world, engine)
        evacuate(agent)
        await asyncio.sleep(1.5)
        assert len(engine.running) == 2, "a missing report must not end the items"
        assert (
            agent.local_engine.directory.evacuations.gauges()["evacuated_running_items"]
            == 2
        )
        engine.may_finish.set()
        results = await world.results()
        assert len(results) == 2
        assert engine.started == [("job-0-0", 0), ("job-0-1", 0)]

    run_jobs(scenario)


def test_running_items_are_kept_when_the_zone_returns():
    """The agent has asked for no report for long, and the first one takes a moment."""

    async def scenario(world):
        engine = slow_engine()
        agent = await running_agent(world, engine)
        evacuate(agent)
        await asyncio.sleep(1.2)
        report, may_report = engine.fetch_report, asyncio.Event()

        async def report_late(server):
            await may_report.wait()
            return await report(server)

        engine.fetch_report = report_late
        evacuate(agent, 2, False)
        await asyncio.sleep(0.4)
        may_report.set()
        await wait_until(lambda: agent.local_engine.healthy)
        assert len(engine.running) == 2 and len(engine.started) == 2

    run_jobs(scenario)


@pytest.mark.parametrize("mechanism", [True, False])
def test_a_broken_stream_continues_at_an_engine_of_another_zone(monkeypatch, mechanism):
    if not mechanism:
        monkeypatch.setattr(EngineEvacuation, "release_units", lambda self: 0)
        monkeypatch.setattr(ItemRunner, "set_slot_count", lambda self, count: None)

    async def scenario(world):
        engine = slow_engine()
        agent = await running_agent(world, engine, count=1)
        evacuate(agent)
        engine.break_at = {"job-0-0": 30}
        engine.may_finish.set()
        await wait_until(lambda: not engine.running)
        other = FakeEngine(length=31)
        world.agent("b", other)
        if not mechanism:
            await asyncio.sleep(RELEASE_BOUND_S)
            assert not other.started
            return
        (result,) = await world.results()
        assert other.started == [("job-0-0", 30)]
        assert len(result.text.split("\n")) == 31
        assert len(engine.started) == 1, "no stream may be resumed in the zone"

    run_jobs(scenario)


@pytest.mark.parametrize("mechanism", [True, False])
def test_an_item_that_will_end_too_late_is_migrated_with_its_output(
    monkeypatch, mechanism
):
    if not mechanism:
        monkeypatch.setattr(EngineEvacuation, "is_too_late", lambda self, unit: False)

    async def scenario(world):
        engine = slow_engine()
        agent = await running_agent(world, engine, count=1)
        add_other_engine(agent)
        evacuate(agent)
        await asyncio.sleep(0.5)
        assert len(engine.running) == 1, "its step is not due yet"
        agent.unit_migrator.time_left = lambda unit: -0.1
        other = FakeEngine(length=30)
        world.agent("b", other)
        await asyncio.sleep(RELEASE_BOUND_S)
        assert (not engine.running) is mechanism
        if mechanism:
            assert len(await world.results()) == 1
            assert other.started == [("job-0-0", 29)]

    run_jobs(scenario)


def test_expected_ends_decide_which_items_are_migrated():
    async def scenario(world):
        engine = slow_engine()
        agent = await running_agent(world, engine, count=1)
        evacuate(agent)
        (unit,) = agent.runner.units.values()
        agent.runner.lengths.events = lambda model, hint: 129.0
        agent.runner.lengths.error = lambda model: 0.1
        agent.heartbeat_writer.usual_pace = lambda: 0.05
        (run,) = runs_of(agent)
        run.events[:] = ["x"] * 29
        # Another 100 events of 0.05 s take 5 s.
        for left, late in ((6.0, False), (4.0, True)):
            agent.unit_migrator.time_left = lambda unit, left=left: left
            assert not agent.evacuation.is_too_late(unit), "no other engine is listed"
            add_other_engine(agent)
            assert agent.evacuation.is_too_late(unit) is late
            agent.local_engine.directory.forget_server("e-other")
        add_other_engine(agent)
        run.events[:] = ["x"] * 127
        agent.runner.lengths.error = lambda model: 0.01
        agent.unit_migrator.time_left = lambda unit: 0.05
        assert not agent.evacuation.is_too_late(unit), "a migration takes longer"

    run_jobs(scenario)


def test_the_end_of_an_agent_before_its_release_does_not_stop_the_step(monkeypatch):
    """The agent is killed after it read the order and before it wrote anything."""

    async def scenario(world):
        write_release = UnitReleaser.write_release

        async def never(self, unit):
            await asyncio.sleep(3600)

        engine = slow_engine()
        agent = await running_agent(world, engine)
        monkeypatch.setattr(UnitReleaser, "write_release", never)
        engine.break_at = {"job-0-0": 30, "job-0-1": 30}
        evacuate(agent)
        engine.may_finish.set()
        await wait_until(lambda: agent.runner.releaser.tasks)
        world.tasks[0].cancel()
        monkeypatch.setattr(UnitReleaser, "write_release", write_release)
        successor_engine, other = FakeEngine(), FakeEngine(length=31)
        successor = world.agent("a", successor_engine)
        evacuate(successor)
        world.agent("b", other)
        assert len(await world.results()) == 2
        assert not successor_engine.started
        assert sorted(item for item, _ in other.started) == ["job-0-0", "job-0-1"]

    run_jobs(scenario)


def test_a_claim_that_is_stored_after_the_order_is_given_back():
    """Its answer arrives when the agent does not claim any more."""

    async def scenario(world):
        engine, agent = FakeEngine(), None
        agent = world.agent("a", engine)
        await wait_until(lambda: agent.local_engine.healthy)
        commit = world.store.commit

        async def commit_late(writes):
            if any(w.table == CLAIMS and w.value.get("agent") == "a" for w in writes):
                evacuate(agent)
            return await commit(writes)

        world.store.commit = commit_late
        await world.submit(groups=1)
        await wait_until(lambda: agent.evacuation.in_force)
        await asyncio.sleep(RELEASE_BOUND_S)
        assert not await claims_of(world, "a") and not engine.started

    run_jobs(scenario)


def test_the_engine_client_sends_nothing_that_is_not_allowed():
    """Each kind of request asks right before it is sent."""

    async def scenario():
        worker = FakeWorker("pool", (MODEL,))
        port = await worker.server.listen("127.0.0.1", 0)
        from wire_protocol import PlatformEngineProtocol

        client = EngineClient(Fetcher(), NAMES, PlatformEngineProtocol())
        backend = server(worker.id, address=("127.0.0.1", port))
        world = JobCluster()
        (unit,) = await world.submit(groups=1, size=1)
        client.may_send = lambda server: False
        assert await client.fetch_report(backend) is None
        order = WeightLoadOrder(MODEL, 2, "a", 1, 0)
        assert isinstance(await client.send_order(backend, order), NotRun)
        job = Job("job", "h", "/run/", MODEL, 0, 1, 0.0, ())
        with pytest.raises(StreamBroken) as broken:
            async for _ in client.stream(backend, unit.items[0], job, 0, 5):
                pass
        assert not broken.value.sent
        assert worker.last_arrival < 0
        client.may_send = lambda server: True
        assert await client.fetch_report(backend) is not None
        assert worker.last_arrival > 0
        await worker.server.stop(0)

    asyncio.run(scenario())


def views(**models):
    return [EngineView(name, model) for name, model in models.items()]


def test_engines_keep_their_models_and_others_get_the_busiest_one():
    shares = {"x": 0.6, "y": 0.4}
    engines = views(a="x", b="y", c="", d="")
    assert keep_models(engines, {}, shares) == {
        "a": ("x",),
        "b": ("y",),
        "c": ("x",),
        "d": ("y",),
    }
    assert keep_models(engines, {"b": ("x",)}, shares)["b"] == ("x",)
    assert keep_models(engines, {"b": ("x",)}, shares)["c"] == ("y",), (
        "a model without an engine comes first"
    )


def test_models_change_if_one_would_have_no_engine():
    shares = {"x": 0.6, "y": 0.4}
    assert keep_models(views(a="x", b="x"), {}, shares) is None
    assert keep_models([], {}, shares) is None


class Engines:
    """Four engines of two models, two of them in the zone ``east``.

    The heartbeats always contain the models that the engines are assigned.
    """

    zones = {"e1": "west", "e2": "west", "e3": "east", "e4": "east"}

    def __init__(self):
        self.clock = ManualClock()
        self.directory = Directory(self.clock)
        limits = EngineLimits(slots=4, models=("x", "y"))
        services = [Service(SERVICE, engine=limits)]
        self.directory.set_routes(RouteTable(1, [], services))
        for number, (name, zone) in enumerate(self.zones.items()):
            entry = server(name, address=("127.0.0.1", number + 1))
            self.directory.set_server(attrs.evolve(entry, zone=zone))
        local_engine = LocalEngine(
            AgentIdentity("e1", SERVICE, ("127.0.0.1", 1)),
            self.directory,
            None,
            self.clock,
        )
        self.tracker = make_tracker(clock=self.clock)
        self.weights = WeightManager(local_engine, self.tracker, self.clock, METRICS)
        self.homes = {}
        self.changes = {name: [] for name in self.zones}
        self.beat = 0

    def follow(self, seconds):
        """Let time pass; record when engines change their models."""
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(0.1)
            for name, (model,) in self.weights.assignment().items():
                if self.homes.setdefault(name, model) != model:
                    self.changes[name].append(self.clock.monotonic())
                    self.homes[name] = model
            self.beat += 1
            rows = [
                Row(AGENTS, n, self.beat, {"session": n, "engine": n, "home": m})
                for n, m in self.homes.items()
            ]
            self.tracker.peers.apply_rows(rows)

    def order(self, version, evacuated):
        self.directory.evacuations.apply_row("east", version, evacuated)

    def shortest_interval(self):
        """Return the shortest time between two changes of one engine."""
        pairs = [p for at in self.changes.values() for p in itertools.pairwise(at)]
        return min((later - first for first, later in pairs), default=math.inf)


@pytest.mark.parametrize("mechanism", [True, False])
def test_no_engine_changes_its_model_twice_within_five_seconds(monkeypatch, mechanism):
    if not mechanism:
        monkeypatch.setattr(weights, "keep_models", lambda *arguments: None)
    engines = Engines()
    engines.follow(1)
    assert engines.homes == {"e1": "x", "e2": "x", "e3": "y", "e4": "y"}
    engines.order(1, True)
    engines.follow(2)
    assert sum(map(len, engines.changes.values())) == 1, "model y needs an engine"
    engines.order(2, False)
    engines.follow(1)
    engines.order(3, True)
    engines.follow(0.5)
    engines.order(4, False)
    engines.follow(20)
    assert (engines.shortest_interval() >= MODEL_HOLD_SECONDS) is mechanism
    models = sorted(engines.homes.values())
    assert models == ["x", "x", "y", "y"], "the division is even again in the end"


class ColdCheck:
    """Check of a cold engine that permits nothing."""

    record = None

    async def prepare(self, link):
        pass

    def __call__(self):
        return False

    def settle(self):
        pass


def test_an_item_that_a_cold_engine_does_not_get_is_no_send():
    """Guards against a time of the last request to a zone that got none."""

    async def scenario():
        worker = FakeWorker("pool", (MODEL,))
        port = await worker.server.listen("127.0.0.1", 0)
        from wire_protocol import PlatformEngineProtocol

        client = EngineClient(Fetcher(), NAMES, PlatformEngineProtocol())
        client.send_check = lambda server, request_id: ColdCheck()
        sends = []
        client.may_send = lambda server: sends.append(server) or True
        world = JobCluster()
        (unit,) = await world.submit(groups=1, size=1)
        job = Job("job", "h", "/run/", MODEL, 0, 1, 0.0, ())
        backend = server(worker.id, address=("127.0.0.1", port))
        with pytest.raises(StreamBroken, match="just started"):
            async for _ in client.stream(backend, unit.items[0], job, 0, 5):
                pass
        assert not sends
        await worker.server.stop(0)

    asyncio.run(scenario())
