"""Repetitions of a fatal request that run at the same time crash three servers at most.

Guards against a fourth crash: of two repetitions, one crashed the second server and was
sent to a third; 5 ms later the other one's server crashed too, and it was sent to a
fourth, since the crash of the third was not recorded yet. Sound requests must not wait
for one another.
"""

import asyncio
import gc
import random

import attrs
import pytest

from gypsumshift.memory import MemoryTables
from gypsumshift.outcomes import Answered, HeldBack, Unknown
from gypsumshift.policy import Policy
from gypsumshift.serving.crashguard import HELD_BACK_REASON, CrashGuard
from gypsumshift.serving.directory import ServerStart
from gypsumshift.serving.quarantine import CRASH_LIMIT
from tests.builders import ManualClock
from tests.crash_world import POISON, run_scenario
from tests.dispatch_builders import RUN_TIME_S, FakeDispatcher
from tests.job_builders import METRICS
from tests.virtual_time import run_in_virtual_time

# Time between two repetitions of a request, as observed.
OFFSET_S = 0.005
# Runs that begin without waiting for another run are within this time.
AT_ONCE_S = 0.05


async def send_samples(dispatcher, count):
    """Send repetitions of a request shortly after one another; return the outcomes."""
    tasks = []
    for _ in range(count):
        tasks.append(asyncio.create_task(dispatcher.send(dispatcher.request())))
        await asyncio.sleep(OFFSET_S)
    return await asyncio.gather(*tasks)


@pytest.mark.parametrize("count", [2, 3])
def test_parallel_samples_crash_three_engines(count):
    async def scenario():
        dispatcher = FakeDispatcher()
        outcomes = await send_samples(dispatcher, count)
        assert all(isinstance(outcome, Unknown) for outcome in outcomes)
        assert len(dispatcher.runs) == CRASH_LIMIT
        outcome = await dispatcher.send(dispatcher.request())
        assert isinstance(outcome, HeldBack)

    run_in_virtual_time(scenario)


def test_sound_requests_without_a_crash_run_at_the_same_time():
    async def scenario():
        dispatcher = FakeDispatcher(fatal=False)
        began = dispatcher.clock.monotonic()
        await asyncio.gather(
            *(dispatcher.send(dispatcher.request()) for _ in range(20))
        )
        assert dispatcher.runs == [began] * 20

    run_in_virtual_time(scenario)


def test_sound_requests_wait_for_one_answer_at_most_after_a_crash_by_chance():
    async def scenario():
        dispatcher = FakeDispatcher(fatal=True)
        lost = asyncio.create_task(dispatcher.send(dispatcher.request()))
        await asyncio.sleep(RUN_TIME_S / 2)
        dispatcher.fatal = False
        dispatcher.guard.record_crash(
            await dispatcher.guard.admit(dispatcher.request().fingerprint, "w"),
            ServerStart("other", 0),
        )
        await asyncio.gather(
            *(dispatcher.send(dispatcher.request()) for _ in range(20))
        )
        began = dispatcher.runs[0] + RUN_TIME_S / 2
        assert max(dispatcher.runs) - began <= RUN_TIME_S
        await lost

    run_in_virtual_time(scenario)


def test_a_request_that_waits_for_others_until_its_deadline_is_reported_as_not_run():
    async def scenario():
        dispatcher = FakeDispatcher()
        permit = await dispatcher.guard.admit(dispatcher.request().fingerprint, "w")
        dispatcher.guard.record_crash(permit, ServerStart("a", 0))
        for name in "bc":
            dispatcher.guard.begin_run(permit, ServerStart(name, 0))
        outcome = await dispatcher.send(dispatcher.request(timeout_s=0.5))
        assert outcome.reason == HELD_BACK_REASON and not dispatcher.runs

    run_in_virtual_time(scenario)


def without_hedging(world):
    """Switch hedging off, so that each call runs at one server at a time."""
    for gateway in world.gateways.values():
        gateway.forwarder.policy = attrs.evolve(Policy(), second_server=False)


async def send_calls(world, count, body, prefix):
    """Send repetitions of a call shortly after one another; return the outcomes."""
    tasks = []
    for _ in range(count):
        tasks.append(world.start_task(world.send("g0", body, prefix)))
        await asyncio.sleep(OFFSET_S)
    return await asyncio.gather(*tasks)


@pytest.mark.parametrize("prefix", ["/safe/", "/resumed/"])
@pytest.mark.parametrize("count", [2, 3])
def test_parallel_calls_and_streams_crash_three_servers(prefix, count):
    async def scenario(world):
        without_hedging(world)
        outcomes = await send_calls(world, count, POISON, prefix)
        assert not any(isinstance(outcome, Answered) for outcome in outcomes)
        assert len(world.crashes) == CRASH_LIMIT
        assert not world.gateways["g0"].guard.active_permits

    run_scenario(scenario, attempts=4, servers=8, gateways=1)


@pytest.mark.parametrize("prefix", ["/safe/", "/once/", "/flow/", "/resumed/"])
def test_sound_calls_and_streams_run_at_the_same_time(prefix):
    async def scenario(world):
        began = world.now
        outcomes = await asyncio.gather(
            *(world.send("g0", b"sound", prefix) for _ in range(20))
        )
        assert all(isinstance(outcome, Answered) for outcome in outcomes)
        assert len(world.runs) == 20
        assert max(run.at for run in world.runs) - began < AT_ONCE_S
        assert not world.gateways["g0"].guard.active_permits

    run_scenario(scenario, gateways=1)


def make_guard():
    return CrashGuard(MemoryTables(), ManualClock(), random.Random(1), METRICS)


def test_runs_at_one_server_count_once_since_it_crashes_once():
    """An agent's items all run on one engine; they must not wait for one another."""

    async def scenario():
        guard, start = make_guard(), ServerStart("e", 1)
        permit = await guard.admit("f", "r")
        for name in "ab":
            guard.record_crash(permit, ServerStart(name, 1))
        guard.begin_run(permit, start)
        other = await guard.admit("f", "r2")
        assert guard.may_send(other, ran=False, start=start)
        assert not guard.may_send(other, ran=False, start=ServerStart("e", 2))
        guard.end_run(permit, start)
        assert guard.may_send(other, ran=False, start=ServerStart("e", 2))

    asyncio.run(scenario())


def test_a_run_at_a_server_that_has_crashed_does_not_block_the_others():
    """A run that had not noticed the crash kept a sample waiting to its deadline."""

    async def scenario():
        guard, crashed = make_guard(), ServerStart("b", 1)
        first, second = await guard.admit("f", "r"), await guard.admit("f", "r2")
        guard.begin_run(first, crashed)
        guard.begin_run(second, crashed)
        guard.record_crash(first, ServerStart("a", 1))
        guard.record_crash(first, crashed)
        guard.end_run(first, crashed)
        assert guard.may_send(first, ran=True)
        guard.begin_run(first, ServerStart("c", 1))
        assert not guard.may_send(second, ran=True)

    asyncio.run(scenario())


def test_a_run_whose_permit_was_dropped_no_longer_counts():
    """A stream that its caller never begins to read would block the others forever."""

    async def scenario():
        guard = make_guard()
        dropped, other = await guard.admit("f", "r"), await guard.admit("f", "r2")
        guard.record_crash(other, ServerStart("a", 1))
        for name in "bc":
            guard.begin_run(dropped, ServerStart(name, 1))
        assert not guard.may_send(other, ran=False)
        del dropped
        gc.collect()
        assert guard.may_send(other, ran=False)

    asyncio.run(scenario())
