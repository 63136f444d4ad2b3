"""Agents that plan a step from claims and heartbeats, in virtual time."""

import asyncio
import copy

import attrs
import pytest

from gypsumshift.jobs.records import AGENTS
from gypsumshift.platforms import Write
from gypsumshift.policy import DEFAULT_POLICY, Policy
from tests.job_builders import MODEL, FakeEngine, JobCluster, server
from tests.virtual_time import LoopClock, run_in_virtual_time

PACES = {"f1": 0.03, "f2": 0.03, "s1": 0.09, "s2": 0.09}


class HintedEngine(FakeEngine):
    """Engine whose items have as many events as their estimates say."""

    async def stream(self, server, item, job, after, urgency):
        engine = copy.copy(self)
        engine.length = item.hint
        async for event in FakeEngine.stream(engine, server, item, job, after, urgency):
            yield event


def start_agents(world, policy=DEFAULT_POLICY, paces=PACES):
    """Start agents with engines of some paces, which know each other."""
    for name, pace in paces.items():
        engine = HintedEngine()
        engine.gap = pace
        agent = world.agent(name, engine, clock=LoopClock(), policy=policy)
        for number, other in enumerate(paces, 100):
            entry = server(f"e-{other}")
            if other != name:
                entry = server(f"e-{other}", address=("127.0.0.1", number))
            entry = attrs.evolve(entry, models={MODEL: 1})
            agent.local_engine.directory.set_server(entry)


async def run_steps(policy=DEFAULT_POLICY, paces=PACES):
    """Run a step of short items, then one with long ones.

    Returns the cluster, and the seconds from the second step's submission to its end.
    """
    world = JobCluster()
    start_agents(world, policy, paces)
    await world.submit("first", groups=8, size=4)
    await world.results("first")
    await asyncio.sleep(1)
    long = {f"second-{group}-{n}": 100 for group in range(3) for n in range(2)}
    begin = asyncio.get_running_loop().time()
    await world.submit("second", groups=8, size=4, hints=long)
    await world.results("second")
    duration = asyncio.get_running_loop().time() - begin
    await world.close()
    return world, duration


def started_at(agent):
    return {name for name, _ in agent.local_engine.client.started}


def is_long(name):
    return name.startswith("second") and name[7] in "012" and name[9] in "01"


def test_long_items_run_at_fast_engines_and_the_slow_one_takes_short_ones():
    world, duration = run_in_virtual_time(run_steps)
    slow = started_at(world.agents["s1"]) | started_at(world.agents["s2"])
    assert not any(map(is_long, slow))
    assert any(name.startswith("second") for name in slow)
    assert duration < 1.1 * 100 * PACES["f1"]
    policy = Policy(expected_end=False)
    _, former = run_in_virtual_time(lambda: run_steps(policy))
    assert former > duration


@pytest.mark.parametrize("policy", [Policy(expected_end=False), DEFAULT_POLICY])
def test_engines_of_one_pace_have_no_plan(policy):
    async def run():
        paces = dict.fromkeys(PACES, 0.03) if policy.expected_end else PACES
        world, _ = await run_steps(policy, paces)
        return [
            agent.plan_job(open_job, 4, open_job.order)
            for agent in world.agents.values()
            for open_job in agent.tracker.open_jobs.values()
        ]

    plans = run_in_virtual_time(run)
    assert plans and not any(plans)


def test_a_unit_that_others_do_not_claim_is_taken_after_a_while():
    """A fast engine's agent that sends heartbeats may be cut off from the jobs."""

    async def run():
        world = JobCluster()
        start_agents(world, paces={"s1": 0.06, "f1": 0.03})
        await world.submit("first", groups=8, size=4)
        await world.results("first")
        fast = world.agents["f1"]
        fast.draining = True
        await world.submit("second", groups=1, size=2, hints={"second-0-0": 40})
        await world.results("second")
        await world.close()
        return world.agents

    agents = run_in_virtual_time(run)
    assert {"second-0-0", "second-0-1"} <= started_at(agents["s1"])


def test_an_engine_that_has_left_takes_part_in_no_plan():
    """Its heartbeat stays in the table; the units would wait for it."""

    async def run():
        world = JobCluster()
        start_agents(world, paces={"s1": 0.06, "f1": 0.03})
        value = {"session": "x", "beat": 1, "usual": 0.01, "engine": "e-gone"}
        await world.store.commit([Write(AGENTS, "x", value | {"places": 4})])
        await world.submit("first", groups=8, size=4)
        await world.results("first")
        planner = world.agents["s1"].planner
        open_job = next(iter(planner.tracker.open_jobs.values()))
        found = [state.session for state in planner.peer_states(open_job)]
        await world.close()
        return found, world.agents["f1"].own_claim.session

    found, fast = run_in_virtual_time(run)
    assert found == [fast]


async def run_slow_engine(hint, places):
    """Run items of one length at a slow engine, then a faster one sends heartbeats.

    Returns the agent, and the units that it migrated.
    """
    world = JobCluster()
    start_agents(world, paces={"s1": 0.09})
    agent = world.agents["s1"]
    entry = server("e-f1", address=("127.0.0.1", 100))
    agent.local_engine.directory.set_server(entry)
    await world.submit("first", groups=4, size=4)
    await world.results("first")
    hints = {f"second-0-{number}": hint for number in range(2)}
    await world.submit("second", groups=1, size=2, hints=hints)
    await asyncio.sleep(0.5)
    for beat in range(1, 6):
        value = {"session": "f", "beat": beat, "usual": 0.03, "engine": "e-f1"}
        await world.store.commit([Write(AGENTS, "f1", value | {"places": places})])
        await asyncio.sleep(0.4)
    await world.close()
    return agent, agent.unit_migrator.migrated


@pytest.mark.parametrize(
    ("hint", "places", "migrates"), [(100, 4, True), (100, 1, False), (60, 4, False)]
)
def test_a_running_item_is_migrated_only_if_it_may_be_late(hint, places, migrates):
    """Items that end in time were migrated as well, and read their prompts again."""
    agent, migrated = run_in_virtual_time(lambda: run_slow_engine(hint, places))
    assert bool(migrated) == migrates
    assert agent.local_engine.client.started.count(("second-0-0", 0)) == 1
