"""Needs of open steps and capacity of the engines, as the heartbeats show them."""

import asyncio
import datetime

import attrs
import pytest

from gypsumshift.jobs import split_into_units
from gypsumshift.jobs.engineshares import NO_DIVISION, StepRank
from gypsumshift.jobs.heartbeatwriter import HEARTBEAT_PERIOD
from gypsumshift.jobs.records import AGENTS, Heartbeat
from gypsumshift.jobs.rowcodec import from_row, to_row
from gypsumshift.jobs.stepneeds import STEP_TIME_S, EngineCapacity
from gypsumshift.platforms import Row
from gypsumshift.serving import RequestKind, Route, RouteTable
from tests.crash_fakes import LoopTimeTables
from tests.job_builders import HOST, FakeEngine, JobCluster, items, job
from tests.shares_world import EVENT_S, SLOTS, TOKENS, SharesWorld, Trainer
from tests.virtual_time import LoopClock, run_in_virtual_time

ENGINES = 4


def make_world(items_per_step=96):
    """Return a world with one open step of one trainer, before any claim."""
    world = SharesWorld([Trainer("a", "one", items_per_step)], ENGINES)
    world.run_trainer(world.trainers[0])
    return world


def need_of(world):
    (open_job,) = world.tracker.open_jobs.values()
    divider = world.weights.divider
    return divider.step_need(open_job, divider.capacity())


def test_capacity_is_the_sum_of_the_engines_rates():
    capacity = make_world().weights.divider.capacity()
    assert capacity.tokens_per_s == pytest.approx(ENGINES * SLOTS / EVENT_S * TOKENS)
    assert capacity.token_s == pytest.approx(EVENT_S / TOKENS)


def test_engine_without_a_heartbeat_counts_like_the_others():
    world = make_world()
    expected = world.weights.divider.capacity()
    del world.peers.states["agent-e01"]
    found = world.weights.divider.capacity()
    assert found.tokens_per_s == pytest.approx(expected.tokens_per_s)


def test_engines_are_not_divided_while_the_tokens_per_event_are_unknown():
    """Agents of an older version do not report them."""
    world = make_world(items_per_step=2000)
    assert world.weights.division().rates
    world = make_world(items_per_step=2000)
    for name, state in world.peers.states.items():
        row = to_row(state.heartbeat)
        del row["event_tokens"]
        assert from_row(row, Heartbeat).event_tokens == 0.0
        world.peers.apply_rows([Row(AGENTS, name, state.version + 100, row)])
    assert world.weights.divider.capacity() == EngineCapacity()
    assert world.weights.division() is NO_DIVISION


def test_step_is_due_after_the_completion_objective_of_its_route_if_there_is_one():
    world = make_world()
    divider = world.weights.divider
    assert need_of(world).step_time_s == STEP_TIME_S
    directory = divider.local_engine.directory
    objective = datetime.timedelta(seconds=20)
    route = Route(
        "run", HOST, "/run/", RequestKind.BATCH, (), completion_objective=objective
    )
    services = directory.routes.services.values()
    directory.set_routes(RouteTable(2, [route], services))
    assert need_of(world).step_time_s == 20.0


def test_need_falls_as_units_start_and_is_none_once_all_have():
    world = make_world(items_per_step=8)
    (open_job,) = world.tracker.open_jobs.values()
    total = need_of(world).tokens
    assert total == need_of(world).total_tokens
    tokens = [total]
    for unit in open_job.job.units:
        world.write_claim(open_job.job.id, unit, False)
        tokens.append(need_of(world).tokens)
    assert tokens == sorted(tokens, reverse=True) and tokens[-1] == 0.0
    assert need_of(world).begun_share == 1.0


def test_groups_that_the_trainer_does_not_wait_for_need_nothing():
    world = make_world()
    value = job(split_into_units(items(groups=4)), "other", "a")
    value = attrs.evolve(value, groups_needed=3)
    (open_job,) = world.tracker.open_jobs.values()
    open_job.job = value
    assert need_of(world).total_tokens == 3 * 2 * 10


def test_agent_claims_units_of_an_admitted_step_before_those_of_a_late_one():
    """Guards against claims in the order of arrival while steps wait for engines."""

    async def scenario():
        cluster = JobCluster(store=LoopTimeTables())
        engine = FakeEngine(length=20)
        engine.gap = 0.05
        clock = LoopClock()
        agent = cluster.agent("a", engine, clock=clock)
        await cluster.submit("first", groups=4)
        await cluster.results("first")
        await asyncio.sleep(2 * HEARTBEAT_PERIOD)
        for name, groups, age in (("late", 16, 100.0), ("new", 4, 0.0)):
            units = split_into_units(items(groups, step=name))
            value = attrs.evolve(
                job(units, name),
                workspace="one",
                submitted=clock.monotonic() - age,
            )
            await cluster.job_manager.submit_job(value, units, clock.monotonic() + 5)
        await cluster.results("new")
        ranks = agent.weights.division().ranks
        assert ranks["late"] is StepRank.LATE
        started = [item.partition("-")[0] for item, _ in engine.started]
        assert started.count("late") <= 12, "the new step had to wait for the late one"
        await cluster.close()

    run_in_virtual_time(scenario)
