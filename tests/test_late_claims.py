"""Agents whose information about claims is out of date when they act on it.

The store assigns a unit to an agent until another write is carried out, and further
changes may arrive during each call and each probe. The story of each test starts with
the effect that users saw.
"""

import asyncio

from gypsumshift.jobs.agent import CONCURRENT_CLAIMS
from gypsumshift.jobs.liveness import LivenessProbe
from gypsumshift.jobs.records import AGENTS, CLAIMS, Claim, Heartbeat
from gypsumshift.jobs.rowcodec import to_row
from gypsumshift.platforms import Write
from tests.job_builders import FakeEngine, HeldAnswerTables, JobCluster
from tests.late_answer_builders import (
    ClaimRefusingTables,
    FailingEngine,
    LostClaimTables,
    LostReleaseTables,
    NoClaimChangesTables,
    run_loop_turns,
    run_scenario,
    wait_until,
)


async def busy(store):
    """Return a world, and an agent with its engine, at which two items run."""
    world = JobCluster(store=store)
    engine = FakeEngine()
    engine.may_finish.clear()
    agent = world.agent(engine=engine)
    await world.submit(groups=1, size=2)
    await wait_until(lambda: len(engine.running) == 2)
    return world, agent, engine


def test_a_unit_being_handed_over_is_not_started_by_a_claim_loop():
    """A unit handed over by a slow engine started again on the same engine.

    A claim loop of the agent ran after the hand-over began, and before the first step
    of the task that gives the unit back.
    """

    async def scenario():
        store = HeldAnswerTables()
        world, agent, engine = await busy(store)
        await run_loop_turns()
        store.hold_answers(CLAIMS)
        agent.wake()
        agent.runner.hand_over_all("the engine is slow")
        await run_loop_turns()
        assert len(engine.started) == 2, "the unit must not restart on its old engine"
        await world.close()

    run_scenario(scenario)


def test_a_failed_unit_is_not_started_before_it_was_given_back():
    """A unit that raises an unexpected error ran again and again at one agent.

    It is given back after a pause, during which the store still assigns it to this
    agent. The claim loops started it in the pause.
    """

    async def scenario():
        world = JobCluster()
        engine = FailingEngine()
        agent = world.agent(engine=engine)
        await world.submit(groups=1, size=1)
        await wait_until(lambda: engine.started and not agent.runner.units)
        for _ in range(5):
            agent.wake()
            await run_loop_turns()
        assert len(engine.started) == 1
        await world.close()

    run_scenario(scenario)


def test_a_unit_is_not_started_after_its_return_was_stored_without_answer():
    """An engine started units again that its agent had given back.

    The answer to the write that gives the unit back was lost and its second try
    conflicted. Until the change feed delivered the row, the agent treated the unit as
    its own.
    """

    async def scenario():
        store = LostReleaseTables()
        world, agent, engine = await busy(store)
        store.changes_allowed.clear()
        await run_loop_turns()
        # A slow engine gets no new work for two seconds.
        agent.monitor.slow_at = agent.clock.monotonic()
        agent.runner.hand_over_all("the engine is slow")
        await wait_until(
            lambda: store.lost_answers and not agent.runner.releaser.pending
        )
        agent.wake()
        await run_loop_turns()
        assert len(engine.started) == 2
        await world.close()

    run_scenario(scenario)


def test_a_unit_is_not_taken_over_if_a_heartbeat_arrives_during_the_probe():
    """A step was late, since its items ran at two agents.

    An agent had sent no heartbeat, and the probe of it failed. Its heartbeat arrived
    during the probe, and its unit was taken over nevertheless.
    """

    class HeartbeatDuringProbe(LivenessProbe):
        def __init__(self):
            self.answered = False

        async def is_alive(self, claim):
            beat = to_row(Heartbeat(claim.session, 2))
            await world.store.commit([Write(AGENTS, claim.agent, beat)])
            await wait_until(lambda: agent.peers.last_heartbeat(claim.agent).beat == 2)
            self.answered = True
            return False

    async def scenario():
        nonlocal world, agent
        world, probe, engine = JobCluster(), HeartbeatDuringProbe(), FakeEngine()
        beat = to_row(Heartbeat("other", 1))
        await world.store.commit([Write(AGENTS, "b", beat)])
        (unit,) = await world.submit(groups=1, size=2)
        claim = to_row(Claim("b", "other"))
        await world.store.commit([Write(CLAIMS, unit.key, claim, part="job")])
        agent = world.agent(engine=engine, liveness=probe)
        await wait_until(lambda: probe.answered)
        await run_loop_turns()
        assert not engine.started, "the unit of a working agent must not be taken over"
        await world.close()

    world = agent = None
    run_scenario(scenario)


def test_a_claim_stored_without_answer_is_given_back_if_the_engine_fails():
    """Items waited for an engine that did not serve, while others had capacity.

    The engine stopped serving while a claim of its agent was pending. The claim was
    stored and its answer lost. While its engine does not serve, an agent starts no
    units, so this one was not started, and for that reason not given back either.
    """

    async def scenario():
        store = LostClaimTables()
        world = JobCluster(store=store)
        engine = FakeEngine()
        agent = world.agent(engine=engine)
        await wait_until(lambda: agent.local_engine.healthy)
        await world.submit(groups=1, size=2)
        await wait_until(lambda: store.lost_answers)
        engine.serves = False
        await wait_until(lambda: not agent.local_engine.healthy)
        store.answers_allowed.set()
        await wait_until(lambda: store.rows["claims", "job", "00000"].value == {})
        assert not engine.started
        await world.close()

    run_scenario(scenario)


def test_an_unexplained_conflict_is_not_retried_at_once():
    """An agent tried to claim one unit 133 times a second without a pause.

    The job had been removed, and the change feed had not delivered that. The claim
    conflicted, the claims that were read did not explain it, and the next try was the
    same.
    """

    async def scenario():
        store = ClaimRefusingTables()
        world = JobCluster(store=store)
        agent = world.agent()
        await wait_until(lambda: agent.local_engine.healthy)
        await world.submit(groups=1, size=2)
        await wait_until(lambda: store.refused_claims)
        await run_loop_turns()
        assert store.refused_claims <= CONCURRENT_CLAIMS
        await world.close()

    run_scenario(scenario)


def test_a_draining_agent_gives_back_units_of_claims_answered_late():
    """Units of a host that was stopped in a rolling restart waited 1.5 s.

    Its process had given its units back when a pending claim was answered. It started
    the unit, and the store had the unit as held until other agents detected the loss
    of the process.
    """

    async def scenario():
        store = NoClaimChangesTables()
        world = JobCluster(store=store)
        engine = FakeEngine()
        engine.may_finish.clear()
        agent = world.agent(engine=engine)
        await wait_until(lambda: agent.local_engine.healthy)
        store.hold_answers(CLAIMS)
        await world.submit(groups=1, size=2)
        await wait_until(lambda: ("claims", "job", "00000") in store.rows)
        engine.may_finish.clear()
        leaving = asyncio.create_task(agent.drain())
        await run_loop_turns()
        store.release_answers(CLAIMS)
        await leaving
        assert store.rows["claims", "job", "00000"].value == {}
        await world.close()

    run_scenario(scenario)


def test_a_unit_is_not_claimed_if_capacity_is_used_up_during_the_probe():
    """An engine with four slots was given six items, and its items were late.

    While the holder of a unit was probed, other claims used up the capacity for it.
    """

    class SlowProbe(LivenessProbe):
        def __init__(self):
            self.asked = 0
            self.answer = asyncio.Event()

        async def is_alive(self, claim):
            self.asked += 1
            await self.answer.wait()
            return False

    async def scenario():
        world, probe, engine = JobCluster(), SlowProbe(), FakeEngine()
        engine.may_finish.clear()
        (unit,) = await world.submit("old", groups=1, size=2)
        claim = to_row(Claim("b", "other"))
        await world.store.commit([Write(CLAIMS, unit.key, claim, part="old")])
        agent = world.agent(engine=engine, liveness=probe)
        await wait_until(lambda: probe.asked)
        await world.submit("new", groups=2, size=2)
        await wait_until(lambda: agent.runner.slots_used == 4)
        probe.answer.set()
        await run_loop_turns()
        assert agent.runner.slots_used == 4
        await world.close()

    run_scenario(scenario)
