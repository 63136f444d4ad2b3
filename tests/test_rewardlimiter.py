"""Limit on reward calls in flight: callers keep slots in fleets of any size."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumshift.jobs.prioritysemaphore import PrioritySemaphore
from gypsumshift.jobs.records import RewardCall
from gypsumshift.jobs.rewardlimiter import MAX_CALLS, RewardLimiter, calls_per_agent
from gypsumshift.serving import BackendServer, Directory
from tests.builders import ManualClock
from tests.job_builders import HOST, FakeEngine, JobCluster, routes, server
from tests.test_agent import scenario
from tests.test_prioritysemaphore import hold, play


@pytest.mark.parametrize(
    ("slots", "agents", "most"),
    [(24, 5, 15), (30, 5, 15), (36, 19, 19), (60, 22, 44), (600, 1600, 1600)],
)
def test_calls_of_all_agents_together_use_about_half_of_the_slots(slots, agents, most):
    """With a fixed limit of three calls per agent, 19 agents had 57 calls on 36 slots.

    Small fleets keep their three calls per agent.
    """
    limiter = RewardLimiter(ManualClock(), Directory())
    limiter.set_call_limit(calls_per_agent(slots, agents))
    assert limiter.semaphore.capacity * agents == most


@given(st.integers(1, 5000), st.integers(1, 5000), st.floats(0.01, 0.5))
def test_calls_in_flight_match_the_limit_on_average_over_time(slots, agents, took):
    limit = calls_per_agent(slots, agents)
    limiter = RewardLimiter(ManualClock(), Directory())
    limiter.set_call_limit(limit)
    busy = limiter.semaphore.capacity * took / (took + limiter.pause_after(took))
    assert busy <= limit + 1
    if 0.5 <= limit < 1:
        assert busy == pytest.approx(limit)


def test_single_agent_has_a_bounded_number_of_calls():
    assert calls_per_agent(6000, 1) == MAX_CALLS


def test_pause_delays_the_next_call_but_not_the_result():
    class Paused(ManualClock):
        slept_s = None

        async def sleep(self, seconds):
            self.slept_s = seconds
            await asyncio.Event().wait()

    async def run():
        clock = Paused()
        limiter = RewardLimiter(clock, Directory())
        limiter.set_call_limit(0.5)
        async with limiter.enter((0,)):
            clock.advance(0.2)
        waiting = asyncio.create_task(limiter.semaphore.acquire((0,)))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert clock.slept_s == pytest.approx(0.2)
        assert not waiting.done()
        for task in (waiting, *limiter.pause_tasks):
            task.cancel()

    play(run)


def test_semaphore_with_reduced_capacity_admits_a_waiter_only_after_enough_releases():
    async def run():
        semaphore, entered, leave = PrioritySemaphore(3), [], asyncio.Event()
        for _ in range(3):
            await semaphore.acquire((0,))
        semaphore.resize(1)
        waiter = asyncio.create_task(hold(semaphore, (1,), entered, leave))
        for _ in range(2):
            semaphore.release()
            await asyncio.sleep(0)
            assert not entered
        semaphore.release()
        await asyncio.sleep(0)
        assert entered == [(1,)]
        semaphore.resize(2)
        await semaphore.acquire((2,))
        leave.set()
        await waiter
        semaphore.release()
        assert semaphore.free == 2

    play(run)


@scenario
async def test_items_are_scored_with_one_call_at_a_time_if_the_application_is_unknown(
    world: JobCluster,
):
    agent = world.agent("a", FakeEngine())
    await world.submit(groups=4)
    assert len(await world.results()) == 8
    assert agent.runner.item_runner.reward_limiter.semaphore.capacity == 1, (
        "the application is not listed"
    )


def test_limit_is_computed_from_the_listed_servers_and_engines():
    directory = Directory()
    directory.set_routes(routes())
    for number in range(6):
        address = ("127.0.0.1", number)
        directory.set_server(BackendServer(f"app{number}", "app", address, "here", 6))
    for number in range(6):
        directory.set_server(server(f"e{number}"))
    limiter = RewardLimiter(ManualClock(), directory)
    limiter.update_limit(RewardCall("r", HOST, "/score/", b""))
    assert limiter.call_limit == 3
    limiter.update_limit(RewardCall("r", HOST, "/unknown/", b""))
    limiter.update_limit(None)
    assert limiter.call_limit == 3, "a call without a route must not change the limit"
