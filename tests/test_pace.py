"""Measurement of paces, and hand-over of items from slow and slower engines."""

import asyncio

from gypsumshift.jobs.pace import (
    MIN_GAPS,
    MIN_SPAN,
    USUAL_WINDOW,
    WINDOW,
    Pace,
    is_slow,
    is_slower,
)
from gypsumshift.jobs.records import AGENTS
from gypsumshift.platforms import Write
from tests.builders import ManualClock
from tests.job_builders import FakeEngine, JobCluster, server
from tests.system import wait_until
from tests.test_agent import scenario


async def saved_rows(world):
    """Wait for saved events of the job's items; return their rows."""
    rows = []
    while not rows:
        await asyncio.sleep(0.01)
        rows = await world.store.scan("partials", "", "job")
    return rows


async def slower_agent(world):
    """Start an agent that runs items, two of them long; return it and all units."""
    engine = FakeEngine(length=400)
    engine.gap = 0.03
    agent = world.agent("slow", engine)
    agent.local_engine.directory.set_server(server("e-fast", address=("127.0.0.1", 10)))
    units = await world.submit(groups=3, hints={"job-1-0": 90, "job-1-1": 90})
    await wait_until(lambda: len(engine.running) == 4)
    return agent, units


async def write_faster_heartbeat(world):
    """Write the heartbeat of an agent whose engine is faster than any other."""
    value = {"session": "f", "beat": 1, "usual": 0.001, "engine": "e-fast", "places": 4}
    await world.store.commit([Write(AGENTS, "fast", value)])


def test_a_pace_requires_enough_recent_gaps():
    clock = ManualClock()
    pace = Pace(clock)
    for _ in range(MIN_GAPS - 1):
        pace.record_gap(0.03)
    assert pace.current() == 0
    pace.record_gap(5.0)
    clock.advance(MIN_SPAN)
    assert pace.current() == 0.03, "a single pause does not determine the pace"
    clock.advance(WINDOW + 0.1)
    assert pace.current() == 0


def test_long_gaps_at_the_start_of_a_burst_do_not_make_an_engine_slow():
    """While twelve prompts are read, gaps are 85 ms for 0.2 s, and 34 ms later."""
    clock = ManualClock()
    pace = Pace(clock)
    for _ in range(2):
        for _ in range(12):
            pace.record_gap(0.085)
        clock.advance(0.1)
        assert not is_slow(pace.current(), [0.034, 0.034, 0.035])
    for _ in range(9):
        for _ in range(12):
            pace.record_gap(0.034)
        clock.advance(0.034)
        assert not is_slow(pace.current(), [0.034, 0.034, 0.035])
    assert pace.current() == 0.034


def test_an_engine_that_stays_slow_is_detected_within_the_window():
    clock = ManualClock()
    pace = Pace(clock)
    for _ in range(6):
        for _ in range(4):
            pace.record_gap(0.1)
        clock.advance(0.1)
    assert is_slow(pace.current(), [0.034, 0.034, 0.035])


def test_an_engine_is_slow_only_if_far_behind_the_median_of_its_peers():
    usual = [0.03, 0.04, 0.035]
    assert is_slow(0.1, usual)
    assert not is_slow(0.06, usual), "a full engine does not count as slow"
    assert not is_slow(0.1, [0.1, 0.12, 0.1])
    assert not is_slow(0.1, [0.03]), "one peer does not determine the usual pace"
    assert not is_slow(0.0, usual)


@scenario
async def test_a_slow_engine_hands_its_units_over_and_gets_no_new_ones(
    world: JobCluster,
):
    slow = FakeEngine(length=400)
    slow.gap = 0.03
    agent = world.agent("slow", slow)
    for name in ("p", "q"):
        value = {"session": name, "beat": 1, "pace": 0.001}
        await world.store.commit([Write(AGENTS, name, value)])
    await world.submit(groups=1)
    await wait_until(lambda: agent.monitor.slow_at > 0)
    await wait_until(lambda: not slow.running)
    assert all(row.value["events"] for row in await saved_rows(world))
    assert agent.free_capacity(agent.local_engine.limits).free_slots == 0


def test_the_usual_pace_is_the_best_recent_one_and_is_kept_while_idle():
    clock = ManualClock()
    pace = Pace(clock)
    for gap in (0.04, 0.1):
        for _ in range(40):
            pace.record_gap(gap)
            clock.advance(gap)
            pace.usual()
    assert pace.usual() == 0.04
    clock.advance(USUAL_WINDOW + 0.1)
    assert pace.usual() == 0.04, "an idle engine keeps its usual pace"
    for _ in range(40):
        pace.record_gap(0.1)
        clock.advance(0.1)
    assert pace.usual() == 0.1
    pace.reset()
    assert pace.usual() == 0


def test_an_engine_is_slower_only_by_more_than_load_explains():
    assert is_slower(0.052, 0.041)
    assert not is_slower(0.0425, 0.0385)
    assert not is_slower(0.0, 0.04)
    assert not is_slower(0.05, 0.0)


@scenario
async def test_long_items_started_on_a_slower_engine_are_given_back(world: JobCluster):
    """Items started before the pace was known would take a quarter longer here."""
    agent, units = await slower_agent(world)
    await write_faster_heartbeat(world)
    long = next(unit for unit in units if unit.items[0].hint == 90)
    rows = await saved_rows(world)
    assert {row.key.split("/")[0] for row in rows} == {i.id for i in long.items}
    claim = await world.store.read("claims", long.key, "job")
    assert not claim.value.get("agent"), "the faster engine's agent can claim it"
    others = [place for place in agent.runner.units if place[1] != long.key]
    assert others, "units of short items stay"


@scenario
async def test_long_items_are_given_back_after_the_engine_changed_its_model(
    world: JobCluster,
):
    """An engine found to be slower may change its model while its first step runs."""
    agent, _ = await slower_agent(world)
    agent.weights.assigned_models = lambda: ("another",)
    agent.weights.engines_serving = lambda model: ["e-fast", "e-slow"]
    await write_faster_heartbeat(world)
    rows = await saved_rows(world)
    assert {row.key.split("/")[0] for row in rows} == {"job-1-0", "job-1-1"}


@scenario
async def test_moved_units_are_forgotten_when_their_job_ends(world: JobCluster):
    agent, _ = await slower_agent(world)
    await write_faster_heartbeat(world)
    await wait_until(lambda: agent.unit_migrator.migrated)
    agent.tracker.close_job("job")
    await wait_until(lambda: not agent.unit_migrator.migrated)
