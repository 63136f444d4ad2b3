"""Agents outside a job's homes claim none of its units and read none of its bodies."""

import asyncio
import random

from gypsumshift.jobs.records import UNITS
from gypsumshift.jobs.storeresidency import StoreResidency
from gypsumshift.residency import ResidencyRules
from gypsumshift.serving import Directory
from tests.job_builders import JobCluster, routes
from tests.region_builders import make_layout
from tests.region_world import make_routes
from tests.system import wait_until
from tests.test_agent import busy_agent, scenario


def reads_of(store):
    """Record the reads of items in a list that is returned."""
    found, read = [], store.read

    async def record(table, key, part=""):
        if table == UNITS:
            found.append(key)
        return await read(table, key, part)

    store.read = record
    return found


@scenario
async def test_an_agent_outside_the_homes_claims_nothing(world):
    """Reading the bodies already sends them to its host."""
    reads = reads_of(world.store)
    agent = world.agent("a")
    agent.tracker.may_hold = lambda job: False
    await world.submit(groups=2)
    await wait_until(lambda: agent.tracker.open_jobs and agent.local_engine.healthy)
    await agent.claim_units()
    assert not reads and not agent.runner.units
    assert not agent.tracker.open_jobs["job"].claims
    world.agent("b")
    assert len(await world.results()) == 4


@scenario
async def test_units_are_given_back_when_the_homes_change(world):
    """The job's items continue in the homes, with the output so far."""
    agent, engine = await busy_agent(world)
    agent.tracker.may_hold = lambda job: False
    await wait_until(lambda: not engine.running and not agent.runner.units)
    world.agent("b")
    assert len(await world.results()) == 2


@scenario
async def test_a_claim_stored_before_the_homes_changed_is_given_back_unread(world):
    """The answer to a claim may come after the change."""
    reads = reads_of(world.store)
    agent = world.agent("a")
    allowed = [True]
    agent.tracker.may_hold = lambda job: allowed[0]
    commit = agent.store.commit

    async def change_homes(writes):
        outcome = await commit(writes)
        allowed[0] = False
        return outcome

    agent.claimer.store = type("Store", (), {"commit": staticmethod(change_homes)})
    await world.submit(groups=1)
    await wait_until(lambda: not allowed[0])
    claims = agent.tracker.open_jobs["job"].claims
    await wait_until(lambda: claims and not claims["00000"].claim.agent)
    assert not reads and not agent.runner.units


def test_a_gateway_reads_no_bodies_of_jobs_that_it_may_not_hold():
    """Removing an expired job reads all its rows, in any of the gateways."""
    world = JobCluster()
    manager = world.job_manager
    manager.ended_at["job"] = float("-inf")
    removed = []

    async def remove_job(job_id):
        removed.append(job_id)

    manager.remove_job = remove_job
    chance = random.Random(1)
    chance.random = lambda: 0.0
    manager.may_read = lambda job_id: False
    asyncio.run(manager.remove_expired_jobs(chance))
    assert not removed
    manager.may_read = lambda job_id: True
    asyncio.run(manager.remove_expired_jobs(chance))
    assert removed == ["job"]


def test_bodies_of_unknown_jobs_may_be_read_only_without_homes():
    """An unknown job may have any homes."""
    directory = Directory()
    rules = ResidencyRules(directory, make_layout())
    directory.set_routes(routes(1))
    assert rules.may_read(None)
    directory.set_routes(make_routes(2, {"/run/": ("north",)}))
    assert not rules.may_read(None)


def test_a_job_is_known_while_it_is_being_stored():
    """The writes of its units come before its row, and must not leave its homes."""

    async def run():
        world = JobCluster()
        directory = Directory()
        directory.set_routes(make_routes(1, {"/run/": ("north",)}))
        residency = StoreResidency(ResidencyRules(directory, make_layout()))
        residency.find_job = world.job_manager.find_known
        found = []
        commit = world.store.commit

        async def record(writes):
            rows = {(write.table, write.part) for write in writes}
            found.append(residency.of_rows(rows).homes)
            return await commit(writes)

        world.store.commit = record
        await world.submit(groups=120)
        assert len(found) > 1 and set(found) == {(frozenset({"north"}),)}

    asyncio.run(run())
