"""What an agent knows of its claims may be old by the time it acts on it.

The store has a unit as one agent's until another write is carried out, and each answer
and each question takes time in which more may be told. Each test opens with what users
saw of it.
"""

import asyncio

from gypsumshift.jobs.agent import CONCURRENT_CLAIMS
from gypsumshift.jobs.liveness import LivenessProbe
from gypsumshift.jobs.records import AGENTS, CLAIMS, Claim, Heartbeat, to_row
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


def test_a_unit_that_is_handed_over_is_not_begun_by_who_looks_for_work_then():
    """An engine was slow, and its unit began anew on it instead of elsewhere.

    The agent was about to look for work when the unit was handed over. Its look came
    before the first turn of the task that gives the unit back.
    """

    async def scenario():
        store = HeldAnswerTables()
        world, agent, engine = await busy(store)
        await run_loop_turns()
        store.hold_answers(CLAIMS)
        agent.wake()
        agent.runner.hand_over_all("the engine is slow")
        await run_loop_turns()
        assert len(engine.started) == 2, "the unit began again where it was given back"
        await world.close()

    run_scenario(scenario)


def test_a_unit_that_fails_is_left_alone_until_it_was_given_back():
    """A unit that meets an error of the program ran again and again at one agent.

    It is given back after a pause, in which the store has it as this agent's. Whoever
    looked for work in the pause began it.
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


def test_a_unit_whose_return_was_carried_out_unanswered_is_not_begun():
    """An engine began units anew that its agent had given back.

    The answer to the return was lost, its second try conflicted, and until the store's
    changes came the agent took the unit for its own.
    """

    async def scenario():
        store = LostReleaseTables()
        world, agent, engine = await busy(store)
        store.changes_allowed.clear()
        await run_loop_turns()
        # A slow engine gets nothing new for two seconds.
        agent.slow_at = agent.clock.monotonic()
        agent.runner.hand_over_all("the engine is slow")
        await wait_until(
            lambda: store.lost_answers and not agent.runner.releaser.pending
        )
        agent.wake()
        await run_loop_turns()
        assert len(engine.started) == 2
        await world.close()

    run_scenario(scenario)


def test_a_unit_is_not_taken_from_an_agent_that_is_heard_while_it_is_asked():
    """A step was late, since its items ran at two agents.

    An agent was silent, and the question to it found no answer; its heartbeat came
    while it was asked, and its unit was taken over all the same.
    """

    class Overtaken(LivenessProbe):
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
        world, presence, engine = JobCluster(), Overtaken(), FakeEngine()
        beat = to_row(Heartbeat("other", 1))
        await world.store.commit([Write(AGENTS, "b", beat)])
        (unit,) = await world.submit(groups=1, size=2)
        claim = to_row(Claim("b", "other"))
        await world.store.commit([Write(CLAIMS, unit.key, claim, part="job")])
        agent = world.agent(engine=engine, presence=presence)
        await wait_until(lambda: presence.answered)
        await run_loop_turns()
        assert not engine.started, "the unit of an agent that works was taken"
        await world.close()

    world = agent = None
    run_scenario(scenario)


def test_a_claim_that_was_carried_out_while_the_engine_fell_silent_is_returned():
    """Items of a step waited for an engine that did not serve, though others had room.

    The engine fell silent while its agent's claim was on its way. The claim was carried
    out and its answer lost, and who does not look for work did not begin the unit, so
    it was not given back either.
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


def test_a_conflict_that_no_claim_explains_is_not_tried_again_at_once():
    """An agent asked the store without pause, 133 times a second, for one unit.

    Its job had been removed, and that was not told. Its claim conflicted, the claims
    that it read did not say why, and the next try was the same.
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


def test_an_agent_that_leaves_returns_what_its_claims_bring():
    """Units of a host that was stopped in turn waited 1.5 s for nobody.

    Its process had given its units back and was ending when a claim of it was answered;
    it began the unit, and the store had it as held until others missed the process.
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


def test_a_unit_is_not_claimed_where_room_went_while_its_holder_was_asked():
    """An engine was given six items for four places, and its items were late.

    While the holder of a unit was asked, other claims took the room for it.
    """

    class Slow(LivenessProbe):
        def __init__(self):
            self.asked = 0
            self.answer = asyncio.Event()

        async def is_alive(self, claim):
            self.asked += 1
            await self.answer.wait()
            return False

    async def scenario():
        world, presence, engine = JobCluster(), Slow(), FakeEngine()
        engine.may_finish.clear()
        (unit,) = await world.submit("old", groups=1, size=2)
        claim = to_row(Claim("b", "other"))
        await world.store.commit([Write(CLAIMS, unit.key, claim, part="old")])
        agent = world.agent(engine=engine, presence=presence)
        await wait_until(lambda: presence.asked)
        await world.submit("new", groups=2, size=2)
        await wait_until(lambda: agent.runner.slots_used == 4)
        presence.answer.set()
        await run_loop_turns()
        assert agent.runner.slots_used == 4
        await world.close()

    run_scenario(scenario)
