"""Reward calls leave places to callers, however many agents there are."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumshift.jobs.prioritysemaphore import PrioritySemaphore
from gypsumshift.jobs.records import RewardCall
from gypsumshift.jobs.rewardlimiter import MOST, RewardLimiter, share_of_places
from gypsumshift.serving import BackendServer, Directory
from tests.builders import ManualClock
from tests.job_builders import HOST, FakeEngine, JobCluster, routes, server
from tests.test_agent import scenario
from tests.test_prioritysemaphore import hold, play


@pytest.mark.parametrize(
    ("places", "agents", "most"),
    [(24, 5, 15), (30, 5, 15), (36, 19, 19), (60, 22, 44), (600, 1600, 1600)],
)
def test_calls_of_all_agents_at_once(places, agents, most):
    """Small fleets as before; 19 agents had 57 calls under way on 36 places."""
    gate = RewardLimiter(ManualClock(), Directory())
    gate.set_share(share_of_places(places, agents))
    assert gate.semaphore.places * agents == most


@given(st.integers(1, 5000), st.integers(1, 5000), st.floats(0.01, 0.5))
def test_calls_hold_about_half_of_the_places_over_time(places, agents, took):
    share = share_of_places(places, agents)
    gate = RewardLimiter(ManualClock(), Directory())
    gate.set_share(share)
    busy = gate.semaphore.places * took / (took + gate.pause(took))
    assert busy <= share + 1
    if 0.5 <= share < 1:
        assert busy == pytest.approx(share)


def test_a_lone_agent_has_a_bounded_number_of_calls():
    assert share_of_places(6000, 1) == MOST


def test_a_pause_holds_the_next_call_back_and_no_result():
    class Paused(ManualClock):
        held = None

        async def sleep(self, seconds):
            self.held = seconds
            await asyncio.Event().wait()

    async def run():
        clock = Paused()
        gate = RewardLimiter(clock, Directory())
        gate.set_share(0.5)
        async with gate.enter((0,)):
            clock.advance(0.2)
        waiting = asyncio.create_task(gate.semaphore.acquire((0,)))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert clock.held == pytest.approx(0.2)
        assert not waiting.done()
        for task in (waiting, *gate.pausing):
            task.cancel()

    play(run)


def test_a_gate_that_shrinks_waits_for_those_inside():
    async def run():
        gate, entered, leave = PrioritySemaphore(3), [], asyncio.Event()
        for _ in range(3):
            await gate.acquire((0,))
        gate.resize(1)
        waiter = asyncio.create_task(hold(gate, (1,), entered, leave))
        for _ in range(2):
            gate.release()
            await asyncio.sleep(0)
            assert not entered
        gate.release()
        await asyncio.sleep(0)
        assert entered == [(1,)]
        gate.resize(2)
        await gate.acquire((2,))
        leave.set()
        await waiter
        gate.release()
        assert gate.free == 2

    play(run)


@scenario
async def test_scores_go_on_at_the_share_of_the_agent(world: JobCluster):
    agent = world.agent("a", FakeEngine())
    await world.submit(groups=4)
    assert len(await world.results()) == 8
    assert agent.runner.item_runner.reward_limiter.semaphore.places == 1, (
        "the application is not listed"
    )


def test_the_share_follows_from_what_is_listed():
    directory = Directory()
    directory.set_routes(routes())
    for number in range(6):
        address = ("127.0.0.1", number)
        directory.set_server(BackendServer(f"app{number}", "app", address, "here", 6))
    for number in range(6):
        directory.set_server(server(f"e{number}"))
    gate = RewardLimiter(ManualClock(), directory)
    gate.fit(RewardCall("r", HOST, "/score/", b""))
    assert gate.share == 3
    gate.fit(RewardCall("r", HOST, "/unknown/", b""))
    gate.fit(None)
    assert gate.share == 3, "what is not routed says nothing"
