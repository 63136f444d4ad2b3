"""Answers to claims that come after the store's changes told the claims.

What users saw: two items of a step stood at two positions each, the second ones 5 and
7, at the gateway that a trainer read from.

Order of events: the store was slow for some seconds. It carried an agent's claim of a
unit out and told it in its changes, and answered it 0.3 to 0.5 s later. The agent ran
the unit as soon as it was told, had both results, and then took the late answer for a
new claim and ran both items again. Other results of the step were on their way to the
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

import attrs
import pytest

from gypsumshift.jobs import Result, ResultState
from gypsumshift.jobs.records import CLAIMS, RESULTS, Claim, to_row
from gypsumshift.jobs.resultlog import ResultLog
from gypsumshift.jobs.resultwriter import PendingResult, ResultWriter
from gypsumshift.memory import MemoryTables
from gypsumshift.platforms import ABSENT, Row, Write
from tests.job_builders import FakeEngine, HeldAnswerTables, JobCluster
from tests.late_answer_builders import (
    BlockingEngine,
    run_loop_turns,
    run_scenario,
    wait_until,
)


class Slow:
    """A step of four units, of which the last two are claimed by late answers."""

    def __init__(self):
        self.store = HeldAnswerTables()
        self.world = JobCluster(store=self.store)
        self.engine = FakeEngine()
        self.agent = self.world.agent(engine=self.engine)

    @property
    def runner(self):
        return self.agent.runner

    @property
    def waiting(self):
        """Results that the store has not answered."""
        return sum(map(len, self.runner.result_writer.pending.values()))

    async def play(self):
        """Play the step until every answer to a claim has come."""
        self.engine.may_finish.clear()
        await self.world.submit(groups=4, size=2)
        await wait_until(lambda: len(self.engine.running) == 4)
        await wait_until(lambda: not self.agent.tracker.pending_claims)
        self.store.hold_answers(CLAIMS)
        self.store.hold_answers(RESULTS)
        self.engine.may_finish.set()
        await wait_until(lambda: self.waiting == 8)
        self.store.release_answers(CLAIMS)
        await wait_until(
            lambda: not self.agent.tracker.pending_claims and not self.runner.units
        )
        self.store.release_answers(RESULTS)


def test_a_late_answer_starts_no_unit_that_is_done():
    async def scenario():
        slow = Slow()
        await slow.play()
        started = sorted(item for item, _ in slow.engine.started)
        assert started == sorted(set(started)), "an item ran twice at one agent"
        await slow.world.close()

    run_scenario(scenario)


def test_each_item_stands_at_one_position():
    async def scenario():
        slow = Slow()
        slow.world.follow()
        await slow.play()
        await wait_until(lambda: not slow.waiting)
        results = await slow.world.results()
        items = [result.item for result in results]
        assert sorted(items) == sorted(set(items)), "an item stands twice"
        assert len(items) == 8
        await slow.world.close()

    run_scenario(scenario)


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
        committer = ResultWriter(store, JobCluster().job_manager.clock)
        for text in ("one", "two"):
            result = Result("i", ResultState.WHOLE, text, (1,), "score")
            committer.enqueue(PendingResult("job", "unit", result))
        await committer.drain()
        for places in store.transactions:
            assert len(places) == len(set(places)), "a row is written twice at once"
        row = await store.read(RESULTS, "i", "job")
        assert row.value["size"] == len("one"), "the first result stays"

    run_scenario(scenario)


def test_a_second_end_of_a_unit_goes_into_a_transaction_of_its_own():
    """A row named twice ended the writer of a job; its results were not stored."""

    async def scenario():
        store = MemoryTables()
        committer = ResultWriter(store, JobCluster().job_manager.clock)
        done = Claim("a", "s", True)
        for item in "ij":
            result = Result(item, ResultState.WHOLE, "text", (1,), "score")
            committer.enqueue(PendingResult("job", "unit", result, done))
        await committer.drain()
        assert {place[2] for place in store.rows if place[0] == RESULTS} == {"i", "j"}

    run_scenario(scenario)


def test_a_unit_that_comes_back_does_not_run_what_waits_for_the_store():
    """A unit is given back and claimed again while a result of it is on its way.

    The agent asked the store which results exist. One of its own waited behind others
    for an answer, so its item ran again, and both results were stored together.
    """

    async def scenario():
        store = HeldAnswerTables()
        world = JobCluster(store=store)
        world.follow()
        engine = BlockingEngine("job-1-0", "job-1-1")
        agent = world.agent(engine=engine)
        committer = agent.runner.result_writer
        store.hold_answers(RESULTS)
        units = await world.submit(groups=2, size=2)
        await wait_until(lambda: ("results", "job", "job-0-0") in store.rows)
        engine.stuck["job-1-0"].set()
        await wait_until(lambda: len(committer.pending["job"]) == 3)
        first = agent.runner.units["job", units[1].key]
        agent.runner.hand_over_unit(first, "the engine is slow")
        await wait_until(
            lambda: agent.runner.units.get(("job", units[1].key)) not in (None, first)
        )
        await run_loop_turns()
        engine.stuck["job-1-1"].set()
        store.release_answers(RESULTS)
        results = await world.results()
        assert [item for item, _ in engine.started].count("job-1-0") == 1
        items = [result.item for result in results]
        assert sorted(items) == sorted(item.id for u in units for item in u.items)
        await world.close()

    run_scenario(scenario)


def test_items_without_a_result_begin_while_others_wait_for_the_store():
    """Places of an engine stood empty for as long as the store took for one result.

    A unit came back; one of its results was on its way, and its other item, which had
    none, was not begun before that one was stored.
    """

    async def scenario():
        store = HeldAnswerTables()
        world = JobCluster(store=store)
        engine = BlockingEngine("job-0-1")
        agent = world.agent(engine=engine)
        committer = agent.runner.result_writer
        store.hold_answers(RESULTS)
        (unit,) = await world.submit(groups=1, size=2)
        await wait_until(lambda: committer.pending.get("job"))
        agent.runner.hand_over_all("the engine is slow")
        engine.stuck["job-0-1"].set()
        await wait_until(lambda: ("job-0-1", 0) in engine.started)
        await wait_until(lambda: len(committer.pending["job"]) == 2)
        assert "done" not in store.rows["claims", "job", unit.key].value
        store.release_answers(RESULTS)
        await wait_until(
            lambda: store.rows["claims", "job", unit.key].value.get("done")
        )
        assert [item for item, _ in engine.started].count("job-0-0") == 1
        await world.close()

    run_scenario(scenario)


def test_a_unit_whose_results_all_wait_is_done_behind_them():
    """An item was lost with its host: its unit was done in the store, it was not.

    The claim that says that a unit is done may be written only behind its results.
    """

    async def scenario():
        store = HeldAnswerTables()
        world = JobCluster(store=store)
        agent = world.agent(engine=FakeEngine())
        store.hold_answers(RESULTS)
        (unit,) = await world.submit(groups=1, size=1)
        await wait_until(lambda: agent.runner.result_writer.pending.get("job"))
        finished = agent.runner.result_writer.pending["job"][0]
        agent.runner.result_writer.pending["job"][0] = attrs.evolve(
            finished, final_claim=None
        )
        free = Write(CLAIMS, unit.key, {}, part="job")
        await MemoryTables.commit(store, [free])
        await wait_until(lambda: agent.runner.units)
        await run_loop_turns()
        assert "done" not in store.rows["claims", "job", unit.key].value
        store.release_answers(RESULTS)
        await wait_until(
            lambda: store.rows["claims", "job", unit.key].value.get("done")
        )
        await world.close()

    run_scenario(scenario)


def test_a_transaction_that_names_a_row_twice_is_an_error_of_the_caller():
    writes = [Write(RESULTS, "i", {"text": text}, ABSENT, part="job") for text in "ab"]
    with pytest.raises(ValueError, match="names a row twice: results/job/i"):
        asyncio.run(MemoryTables().commit(writes))


def test_a_result_that_is_told_twice_at_once_is_listed_once():
    log = ResultLog()
    value = to_row(Result("i", ResultState.WHOLE, size=3))
    row = Row(RESULTS, "i", 5, value, "job")
    log.add_rows([row, row])
    assert [result.item for result in log.page(0, 100)] == ["i"]
