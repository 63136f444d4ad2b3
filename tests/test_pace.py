"""An engine far behind its peers hands its items over."""

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
from tests.system import until
from tests.test_agent import scenario


async def saved_rows(world):
    """Wait for what agents saved of the job's items; return its rows."""
    rows = []
    while not rows:
        await asyncio.sleep(0.01)
        rows = await world.store.scan("partials", "", "job")
    return rows


async def slower_agent(world):
    """Start an agent whose engine runs two long items; return it and the units."""
    engine = FakeEngine(length=400)
    engine.gap = 0.03
    agent = world.agent("slow", engine)
    agent.local_engine.directory.set_server(server("e-fast", address=("127.0.0.1", 10)))
    units = await world.submit(groups=3, hints={"job-1-0": 90, "job-1-1": 90})
    await until(lambda: len(engine.running) == 4)
    return agent, units


async def tell_of_a_faster_engine(world):
    """Write the heartbeat of an agent beside an engine that is faster than any."""
    value = {"session": "f", "beat": 1, "usual": 0.001, "engine": "e-fast", "places": 4}
    await world.store.commit([Write(AGENTS, "fast", value)])


def test_a_pace_needs_enough_recent_gaps():
    clock = ManualClock()
    pace = Pace(clock)
    for _ in range(MIN_GAPS - 1):
        pace.record_gap(0.03)
    assert pace.current() == 0
    pace.record_gap(5.0)
    clock.advance(MIN_SPAN)
    assert pace.current() == 0.03, "a lone pause does not decide"
    clock.advance(WINDOW + 0.1)
    assert pace.current() == 0


def test_the_first_gaps_of_a_burst_do_not_decide():
    """Twelve prompts read anew: gaps of 85 ms for 0.2 s, of 34 ms afterwards."""
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


def test_an_engine_that_stays_slow_is_found_within_its_window():
    clock = ManualClock()
    pace = Pace(clock)
    for _ in range(6):
        for _ in range(4):
            pace.record_gap(0.1)
        clock.advance(0.1)
    assert is_slow(pace.current(), [0.034, 0.034, 0.035])


def test_slow_is_far_behind_the_usual_and_never_all():
    usual = [0.03, 0.04, 0.035]
    assert is_slow(0.1, usual)
    assert not is_slow(0.06, usual), "a full engine is not a slow one"
    assert not is_slow(0.1, [0.1, 0.12, 0.1])
    assert not is_slow(0.1, [0.03]), "one peer does not tell what is usual"
    assert not is_slow(0.0, usual)


@scenario
async def test_a_slow_engine_hands_over_what_it_has_and_pauses(world: JobCluster):
    slow = FakeEngine(length=400)
    slow.gap = 0.03
    agent = world.agent("slow", slow)
    for name in ("p", "q"):
        value = {"session": name, "beat": 1, "pace": 0.001}
        await world.store.commit([Write(AGENTS, name, value)])
    await world.submit(groups=1)
    await until(lambda: agent.slow_at > 0)
    await until(lambda: not slow.running)
    assert all(row.value["events"] for row in await saved_rows(world))
    assert agent.free_capacity(agent.local_engine.limits).free_slots == 0


def test_the_usual_pace_is_the_best_of_the_last_seconds():
    clock = ManualClock()
    pace = Pace(clock)
    for gap in (0.04, 0.1):
        for _ in range(40):
            pace.record_gap(gap)
            clock.advance(gap)
            pace.usual()
    assert pace.usual() == 0.04
    clock.advance(USUAL_WINDOW + 0.1)
    assert pace.usual() == 0.04, "an idle engine is as fast as it was"
    for _ in range(40):
        pace.record_gap(0.1)
        clock.advance(0.1)
    assert pace.usual() == 0.1
    pace.reset()
    assert pace.usual() == 0


def test_an_engine_is_slower_by_more_than_being_full_makes_it():
    assert is_slower(0.052, 0.041)
    assert not is_slower(0.0425, 0.0385)
    assert not is_slower(0.0, 0.04)
    assert not is_slower(0.05, 0.0)


@scenario
async def test_long_items_that_a_slower_engine_began_are_given_back(world: JobCluster):
    """Begun before its pace was known, they would end a fourth later than elsewhere."""
    agent, units = await slower_agent(world)
    await tell_of_a_faster_engine(world)
    long = next(unit for unit in units if unit.items[0].hint == 90)
    rows = await saved_rows(world)
    assert {row.key.split("/")[0] for row in rows} == {i.id for i in long.items}
    claim = await world.store.read("claims", long.key, "job")
    assert not claim.value.get("agent"), "the faster one takes it"
    others = [place for place in agent.runner.units if place[1] != long.key]
    assert others, "the short ones stay"


@scenario
async def test_long_items_go_also_where_their_engine_serves_another_model(
    world: JobCluster,
):
    """An engine found to be slower changes its model while the first step runs."""
    agent, _ = await slower_agent(world)
    agent.weights.assigned_models = lambda: ("another",)
    agent.weights.engines_serving = lambda model: ["e-fast", "e-slow"]
    await tell_of_a_faster_engine(world)
    rows = await saved_rows(world)
    assert {row.key.split("/")[0] for row in rows} == {"job-1-0", "job-1-1"}


@scenario
async def test_units_that_went_are_forgotten_with_their_jobs(world: JobCluster):
    agent, _ = await slower_agent(world)
    await tell_of_a_faster_engine(world)
    await until(lambda: agent.unit_migrator.migrated)
    agent.tracker.close_job("job")
    await until(lambda: not agent.unit_migrator.migrated)
