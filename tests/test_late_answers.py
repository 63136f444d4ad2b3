"""Answers to claims that come after the store's changes told the claims.

What users saw: a trainer that read on in its step got two items again, at positions 5
and 7, though it had them before, and all results behind them had moved.

Order of events: the store was slow for some seconds. It carried an agent's claim of a
unit out and told it in its changes, and answered it 0.46 s later. The agent ran the
unit as soon as it was told, had both results, and then took the late answer for a new
claim and ran both items again. Other results of the step were on their way to the
store, and behind them both results of each item waited. They went into one transaction,
each row written only where there was none, which held for both. Gateways that follow
the changes were told the row twice and listed the item twice; those that read it were
told it once.

Evidence: by the engines' record the same agent sent the same two items 0.11 s after
their first runs had ended; the positions are odd and lie two apart, as those of the
second halves of two pairs do; and with the store's answers held as below, the agents
start each unit twice, the transaction holds each item twice, and readers get it twice.
"""

import asyncio

import pytest

from gypsumshift.jobs import Result, ResultState
from gypsumshift.jobs.agent import CLAIMS_AT_ONCE
from gypsumshift.jobs.committer import Committer, Finished
from gypsumshift.jobs.model import AGENTS, CLAIMS, RESULTS, Claim, Heartbeat, to_row
from gypsumshift.jobs.presence import Presence
from gypsumshift.jobs.resultlog import ResultLog
from gypsumshift.memory import MemoryTables
from gypsumshift.outcomes import Conflict, Unknown
from gypsumshift.platforms import ABSENT, Row, Write
from tests.jobs_world import FakeEngine, HeldAnswers, World


def play(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 20))


async def until(holds):
    while not holds():
        await asyncio.sleep(0.005)


class Stuck(FakeEngine):
    """Engine at which some items wait for an event of their own before they begin."""

    def __init__(self, *stuck):
        super().__init__()
        self.stuck = {item: asyncio.Event() for item in stuck}

    async def stream(self, server, item, host, after, urgency):
        if item.id in self.stuck:
            await self.stuck[item.id].wait()
        async for event in super().stream(server, item, host, after, urgency):
            yield event


class Broken(FakeEngine):
    """Engine whose client meets an error of the program."""

    async def stream(self, server, item, host, after, urgency):
        self.started.append((item.id, after))
        raise RuntimeError("an error of the program")
        yield


class LosesReturns(HeldAnswers):
    """Tables that lose the answer to the first unit given back, and tell no change."""

    def __init__(self):
        super().__init__()
        self.lost = 0
        self.told = asyncio.Event()
        self.told.set()

    async def changes(self, table, after, wait):
        await self.told.wait()
        return await super().changes(table, after, wait)

    async def commit(self, writes):
        outcome = await super().commit(writes)
        if not self.lost and any(w.table == CLAIMS and w.value == {} for w in writes):
            self.lost += 1
            return Unknown("the answer was lost")
        return outcome


class LosesClaims(HeldAnswers):
    """Tables that carry claims out, and say nothing of them until told to."""

    def __init__(self):
        super().__init__()
        self.lost = 0
        self.told = asyncio.Event()

    async def changes(self, table, after, wait):
        answer = await super().changes(table, after, wait)
        if self.lost:
            await self.told.wait()
        return answer

    async def commit(self, writes):
        outcome = await super().commit(writes)
        if any(w.table == CLAIMS and w.value for w in writes):
            self.lost += 1
            await self.told.wait()
            return Unknown("the answer was lost")
        return outcome


class Refuses(MemoryTables):
    """Tables that refuse claims and have none."""

    def __init__(self):
        super().__init__()
        self.refused = 0

    async def commit(self, writes):
        if any(w.table == CLAIMS for w in writes):
            self.refused += 1
            return Conflict("the job is gone")
        return await super().commit(writes)


async def turns(count=500):
    """Let as many turns of the loop pass as a run of an item takes, and more."""
    for _ in range(count):
        await asyncio.sleep(0)


class Slow:
    """A step of four units, of which the last two are claimed by late answers."""

    def __init__(self):
        self.store = HeldAnswers()
        self.world = World(store=self.store)
        self.engine = FakeEngine()
        self.agent = self.world.agent(engine=self.engine)

    @property
    def runner(self):
        return self.agent.runner

    @property
    def waiting(self):
        """Results that the store has not answered."""
        return sum(map(len, self.runner.committer.waiting.values()))

    async def play(self):
        """Play the step until every answer to a claim has come."""
        self.engine.hold.clear()
        await self.world.submit(groups=4, size=2)
        await until(lambda: len(self.engine.running) == 4)
        await until(lambda: not self.agent.board.claiming)
        self.store.hold(CLAIMS)
        self.store.hold(RESULTS)
        self.engine.hold.set()
        await until(lambda: self.waiting == 8)
        self.store.answer(CLAIMS)
        await until(lambda: not self.agent.board.claiming and not self.runner.units)
        self.store.answer(RESULTS)


def test_a_late_answer_starts_no_unit_that_is_done():
    async def scenario():
        slow = Slow()
        await slow.play()
        started = sorted(item for item, _ in slow.engine.started)
        assert started == sorted(set(started)), "an item ran twice at one agent"
        await slow.world.close()

    play(scenario)


def test_each_item_stands_at_one_position():
    async def scenario():
        slow = Slow()
        slow.world.follow()
        await slow.play()
        await until(lambda: not slow.waiting)
        results = await slow.world.results()
        items = [result.item for result in results]
        assert sorted(items) == sorted(set(items)), "an item stands twice"
        assert len(items) == 8
        await slow.world.close()

    play(scenario)


def test_two_results_of_an_item_are_never_in_one_transaction():
    class Watched(MemoryTables):
        def __init__(self):
            super().__init__()
            self.transactions = []

        async def commit(self, writes):
            outcome = await super().commit(writes)
            self.transactions.append([(w.table, w.part, w.key) for w in writes])
            return outcome

    async def scenario():
        store = Watched()
        committer = Committer(store, World().desk.clock)
        for text in ("one", "two"):
            result = Result("i", ResultState.WHOLE, text, (1,), "score")
            committer.put(Finished("job", "unit", result))
        await committer.drain()
        for places in store.transactions:
            assert len(places) == len(set(places)), "a row is written twice at once"
        row = await store.read(RESULTS, "i", "job")
        assert row.value["size"] == len("one"), "the first result stays"

    play(scenario)


def test_a_unit_that_comes_back_does_not_run_what_waits_for_the_store():
    """A unit is given back and claimed again while a result of it is on its way.

    The agent asked the store which results exist. One of its own waited behind others
    for an answer, so its item ran again, and both results were stored together.
    """

    async def scenario():
        store = HeldAnswers()
        world = World(store=store)
        world.follow()
        engine = Stuck("job-1-0", "job-1-1")
        agent = world.agent(engine=engine)
        committer = agent.runner.committer
        store.hold(RESULTS)
        units = await world.submit(groups=2, size=2)
        await until(lambda: ("results", "job", "job-0-0") in store.rows)
        engine.stuck["job-1-0"].set()
        await until(lambda: len(committer.waiting["job"]) == 3)
        first = agent.runner.units["job", units[1].key]
        agent.runner.hand_over(first, "the engine is slow")
        await until(
            lambda: agent.runner.units.get(("job", units[1].key)) not in (None, first)
        )
        await turns()
        engine.stuck["job-1-1"].set()
        store.answer(RESULTS)
        results = await world.results()
        assert [item for item, _ in engine.started].count("job-1-0") == 1
        items = [result.item for result in results]
        assert sorted(items) == sorted(item.id for u in units for item in u.items)
        await world.close()

    play(scenario)


def test_a_unit_that_is_handed_over_is_not_begun_by_who_looks_for_work_then():
    """An engine was slow, and its unit began anew on it instead of elsewhere.

    The agent was about to look for work when the unit was handed over. Its look came
    before the first turn of the task that gives the unit back.
    """

    async def scenario():
        store = HeldAnswers()
        world = World(store=store)
        engine = FakeEngine()
        engine.hold.clear()
        agent = world.agent(engine=engine)
        await world.submit(groups=1, size=2)
        await until(lambda: len(engine.running) == 2)
        await turns()
        store.hold(CLAIMS)
        agent.note_news()
        agent.runner.hand_over_all("the engine is slow")
        await turns()
        assert len(engine.started) == 2, "the unit began again where it was given back"
        await world.close()

    play(scenario)


def test_a_unit_that_fails_is_left_alone_until_it_was_given_back():
    """A unit that meets an error of the program ran again and again at one agent.

    It is given back after a pause, in which the store has it as this agent's. Whoever
    looked for work in the pause began it.
    """

    async def scenario():
        world = World()
        engine = Broken()
        agent = world.agent(engine=engine)
        await world.submit(groups=1, size=1)
        await until(lambda: engine.started and not agent.runner.units)
        for _ in range(5):
            agent.note_news()
            await turns()
        assert len(engine.started) == 1
        await world.close()

    play(scenario)


def test_a_unit_whose_return_was_carried_out_unanswered_is_not_begun():
    """An engine began units anew that its agent had given back.

    The answer to the return was lost, its second try conflicted, and until the store's
    changes came the agent took the unit for its own.
    """

    async def scenario():
        store = LosesReturns()
        world = World(store=store)
        engine = FakeEngine()
        engine.hold.clear()
        agent = world.agent(engine=engine)
        await world.submit(groups=1, size=2)
        await until(lambda: len(engine.running) == 2)
        store.told.clear()
        await turns()
        # A slow engine gets nothing new for two seconds.
        agent.slow_at = agent.clock.monotonic()
        agent.runner.hand_over_all("the engine is slow")
        await until(lambda: store.lost and not agent.runner.returns.places)
        agent.note_news()
        await turns()
        assert len(engine.started) == 2
        await world.close()

    play(scenario)


def test_a_unit_is_not_taken_from_an_agent_that_is_heard_while_it_is_asked():
    """A step was late, since its items ran at two agents.

    An agent was silent, and the question to it found no answer; its heartbeat came
    while it was asked, and its unit was taken over all the same.
    """

    class Overtaken(Presence):
        def __init__(self):
            self.answered = False

        async def works(self, claim):
            beat = to_row(Heartbeat(claim.session, 2))
            await world.store.commit([Write(AGENTS, claim.agent, beat)])
            await until(lambda: agent.peers.told(claim.agent).beat == 2)
            self.answered = True
            return False

    async def scenario():
        nonlocal world, agent
        world, presence, engine = World(), Overtaken(), FakeEngine()
        beat = to_row(Heartbeat("other", 1))
        await world.store.commit([Write(AGENTS, "b", beat)])
        (unit,) = await world.submit(groups=1, size=2)
        claim = to_row(Claim("b", "other"))
        await world.store.commit([Write(CLAIMS, unit.key, claim, part="job")])
        agent = world.agent(engine=engine, presence=presence)
        await until(lambda: presence.answered)
        await turns()
        assert not engine.started, "the unit of an agent that works was taken"
        await world.close()

    world = agent = None
    play(scenario)


def test_a_claim_that_was_carried_out_while_the_engine_fell_silent_is_returned():
    """Items of a step waited for an engine that did not serve, though others had room.

    The engine fell silent while its agent's claim was on its way. The claim was carried
    out and its answer lost, and who does not look for work did not begin the unit, so
    it was not given back either.
    """

    async def scenario():
        store = LosesClaims()
        world = World(store=store)
        engine = FakeEngine()
        agent = world.agent(engine=engine)
        await until(lambda: agent.station.healthy)
        await world.submit(groups=1, size=2)
        await until(lambda: store.lost)
        engine.serves = False
        await until(lambda: not agent.station.healthy)
        store.told.set()
        await until(lambda: store.rows["claims", "job", "00000"].value == {})
        assert not engine.started
        await world.close()

    play(scenario)


def test_a_conflict_that_no_claim_explains_is_not_tried_again_at_once():
    """An agent asked the store without pause, 133 times a second, for one unit.

    Its job had been removed, and that was not told. Its claim conflicted, the claims
    that it read did not say why, and the next try was the same.
    """

    async def scenario():
        store = Refuses()
        world = World(store=store)
        agent = world.agent()
        await until(lambda: agent.station.healthy)
        await world.submit(groups=1, size=2)
        await until(lambda: store.refused)
        await turns()
        assert store.refused <= CLAIMS_AT_ONCE
        await world.close()

    play(scenario)


def test_a_transaction_that_names_a_row_twice_is_an_error_of_the_caller():
    writes = [Write(RESULTS, "i", {"text": text}, ABSENT, part="job") for text in "ab"]
    with pytest.raises(ValueError, match="names a row twice: results/job/i"):
        asyncio.run(MemoryTables().commit(writes))


def test_a_result_that_is_told_twice_at_once_is_listed_once():
    log = ResultLog()
    value = to_row(Result("i", ResultState.WHOLE, size=3))
    row = Row(RESULTS, "i", 5, value, "job")
    log.take([row, row])
    assert [result.item for result in log.page(0, 100)] == ["i"]
