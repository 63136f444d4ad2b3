"""An engine far behind its peers hands its items over."""

import asyncio

from gypsumshift.jobs.model import AGENTS
from gypsumshift.jobs.pace import LEAST_GAPS, LEAST_SPAN, WINDOW, Pace, is_slow
from gypsumshift.platforms import Write
from tests.builders import ManualClock
from tests.jobs_world import FakeEngine, World
from tests.system import until
from tests.test_agent import scenario


def test_a_pace_needs_enough_recent_gaps():
    clock = ManualClock()
    pace = Pace(clock)
    for _ in range(LEAST_GAPS - 1):
        pace.note(0.03)
    assert pace.value() == 0
    pace.note(5.0)
    clock.advance(LEAST_SPAN)
    assert pace.value() == 0.03, "a lone pause does not decide"
    clock.advance(WINDOW + 0.1)
    assert pace.value() == 0


def test_the_first_gaps_of_a_burst_do_not_decide():
    """Twelve prompts read anew: gaps of 85 ms for 0.2 s, of 34 ms afterwards."""
    clock = ManualClock()
    pace = Pace(clock)
    for _ in range(2):
        for _ in range(12):
            pace.note(0.085)
        clock.advance(0.1)
        assert not is_slow(pace.value(), [0.034, 0.034, 0.035])
    for _ in range(9):
        for _ in range(12):
            pace.note(0.034)
        clock.advance(0.034)
        assert not is_slow(pace.value(), [0.034, 0.034, 0.035])
    assert pace.value() == 0.034


def test_an_engine_that_stays_slow_is_found_within_its_window():
    clock = ManualClock()
    pace = Pace(clock)
    for _ in range(6):
        for _ in range(4):
            pace.note(0.1)
        clock.advance(0.1)
    assert is_slow(pace.value(), [0.034, 0.034, 0.035])


def test_slow_is_far_behind_the_usual_and_never_all():
    usual = [0.03, 0.04, 0.035]
    assert is_slow(0.1, usual)
    assert not is_slow(0.06, usual), "a full engine is not a slow one"
    assert not is_slow(0.1, [0.1, 0.12, 0.1])
    assert not is_slow(0.1, [0.03]), "one peer does not tell what is usual"
    assert not is_slow(0.0, usual)


@scenario
async def test_a_slow_engine_hands_over_what_it_has_and_pauses(world: World):
    slow = FakeEngine(length=400)
    slow.gap = 0.03
    agent = world.agent("slow", slow)
    for name in ("p", "q"):
        value = {"session": name, "beat": 1, "pace": 0.001}
        await world.store.commit([Write(AGENTS, name, value)])
    await world.submit(groups=1)
    await until(lambda: agent.slow_at > 0)
    await until(lambda: not slow.running)
    partials = await world.store.scan("partials", "", "job")
    while not partials:
        await asyncio.sleep(0.01)
        partials = await world.store.scan("partials", "", "job")
    assert all(row.value["events"] for row in partials)
    assert agent.room(agent.station.limits).places == 0
