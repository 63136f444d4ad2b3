"""Answers to claims that arrive after the claims were seen in the store's changes.

The failure: two items of a step were listed at two positions each, the second time at 5
and 7, at the gateway that a trainer read from.

How it came about: the store was slow for some seconds. It carried out an agent's claim
of a unit, published it in its changes, and answered the claim 0.3 to 0.5 s later. The
agent ran the unit as soon as it saw the change and had both results. It then took the
late answer for a new claim and ran both items again. Other results of the step were
still being stored, and both results of each item were queued behind them. They went
into one transaction, in which each row is written only if it is absent, and this held
for both. Gateways that follow the changes received the row twice and listed the item
twice; those that read the table received it once.

Evidence: the engines' records show that the agent sent the same two items again 0.11 s
after their first runs had ended. The positions are odd and two apart, as those of the
second results of two pairs are. With the store's answers delayed as below, agents
started each unit twice, the transaction held each item twice, and readers received it
twice.
"""

import asyncio

import attrs
import pytest

from gypsumshift.jobs import Result, ResultState
from gypsumshift.jobs.records import CLAIMS, RESULTS, Claim
from gypsumshift.jobs.resultlog import ResultLog
from gypsumshift.jobs.resultwriter import PendingResult, ResultWriter
from gypsumshift.jobs.rowcodec import to_row
from gypsumshift.memory import MemoryTables
from gypsumshift.platforms import ABSENT, Row, Write
from tests.job_builders import FakeEngine, HeldAnswerTables, JobCluster
from tests.late_answer_builders import (
    BlockingEngine,
    run_loop_turns,
    run_scenario,
    wait_until,
)


class SlowStoreStep:
    """A step of four units; the claims of the last two are answered late."""

    def __init__(self):
        self.store = HeldAnswerTables()
        self.cluster = JobCluster(store=self.store)
        self.engine = FakeEngine()
        self.agent = self.cluster.agent(engine=self.engine)

    @property
    def runner(self):
        return self.agent.runner

    @property
    def pending_count(self):
        """Number of results whose writes the store has not answered."""
        return sum(map(len, self.runner.result_writer.pending.values()))

    async def run(self):
        """Run the step until all claims and results have been answered."""
        self.engine.may_finish.clear()
        await self.cluster.submit(groups=4, size=2)
        await wait_until(lambda: len(self.engine.running) == 4)
        await wait_until(lambda: not self.agent.tracker.pending_claims)
        self.store.hold_answers(CLAIMS)
        self.store.hold_answers(RESULTS)
        self.engine.may_finish.set()
        await wait_until(lambda: self.pending_count == 8)
        self.store.release_answers(CLAIMS)
        await wait_until(
            lambda: not self.agent.tracker.pending_claims and not self.runner.units
        )
        self.store.release_answers(RESULTS)


def test_late_answer_to_a_claim_does_not_restart_a_finished_unit():
    async def scenario():
        step = SlowStoreStep()
        await step.run()
        started = sorted(item for item, _ in step.engine.started)
        assert started == sorted(set(started)), "an item ran twice at one agent"
        await step.cluster.close()

    run_scenario(scenario)


def test_each_item_is_listed_once_after_late_answers():
    async def scenario():
        step = SlowStoreStep()
        step.cluster.follow()
        await step.run()
        await wait_until(lambda: not step.pending_count)
        results = await step.cluster.results()
        items = [result.item for result in results]
        assert sorted(items) == sorted(set(items)), "an item is listed twice"
        assert len(items) == 8
        await step.cluster.close()

    run_scenario(scenario)


def test_two_results_of_an_item_are_written_in_separate_transactions():
    class RecordingTables(MemoryTables):
        def __init__(self):
            super().__init__()
            self.transactions = []

        async def commit(self, writes):
            outcome = await super().commit(writes)
            self.transactions.append([(w.table, w.part, w.key) for w in writes])
            return outcome

    async def scenario():
        store = RecordingTables()
        writer = ResultWriter(store, JobCluster().job_manager.clock)
        for text in ("one", "two"):
            result = Result("i", ResultState.WHOLE, text, (1,), "score")
            writer.enqueue(PendingResult("job", "unit", result))
        await writer.drain()
        for row_ids in store.transactions:
            assert len(row_ids) == len(set(row_ids)), "a transaction writes a row twice"
        row = await store.read(RESULTS, "i", "job")
        assert row.value["size"] == len("one"), "the first result was replaced"

    run_scenario(scenario)


def test_two_final_claims_of_a_unit_are_written_in_separate_transactions():
    """A transaction with a duplicate row failed and ended the job's writer task.

    Its results were not stored.
    """

    async def scenario():
        store = MemoryTables()
        writer = ResultWriter(store, JobCluster().job_manager.clock)
        done = Claim("a", "s", True)
        for item in "ij":
            result = Result(item, ResultState.WHOLE, "text", (1,), "score")
            writer.enqueue(PendingResult("job", "unit", result, done))
        await writer.drain()
        assert {row_id[2] for row_id in store.rows if row_id[0] == RESULTS} == {
            "i",
            "j",
        }

    run_scenario(scenario)


def test_reclaimed_unit_does_not_rerun_items_with_pending_results():
    """A unit is released and claimed again while one of its results is being stored.

    The agent read the existing results from the store. One of its own results was
    still pending, so its item ran again, and both results were stored together.
    """

    async def scenario():
        store = HeldAnswerTables()
        cluster = JobCluster(store=store)
        cluster.follow()
        engine = BlockingEngine("job-1-0", "job-1-1")
        agent = cluster.agent(engine=engine)
        writer = agent.runner.result_writer
        store.hold_answers(RESULTS)
        units = await cluster.submit(groups=2, size=2)
        await wait_until(lambda: ("results", "job", "job-0-0") in store.rows)
        engine.stuck["job-1-0"].set()
        await wait_until(lambda: len(writer.pending["job"]) == 3)
        first = agent.runner.units["job", units[1].key]
        agent.runner.hand_over_unit(first, "the engine is slow")
        await wait_until(
            lambda: agent.runner.units.get(("job", units[1].key)) not in (None, first)
        )
        await run_loop_turns()
        engine.stuck["job-1-1"].set()
        store.release_answers(RESULTS)
        results = await cluster.results()
        assert [item for item, _ in engine.started].count("job-1-0") == 1
        items = [result.item for result in results]
        assert sorted(items) == sorted(item.id for u in units for item in u.items)
        await cluster.close()

    run_scenario(scenario)


def test_reclaimed_unit_starts_unfinished_items_while_others_are_being_stored():
    """Guards against engine slots that stay empty while a result is being stored.

    A unit was claimed again while one of its results was pending. Its other item, which
    had no result, was started only after that result had been stored.
    """

    async def scenario():
        store = HeldAnswerTables()
        cluster = JobCluster(store=store)
        engine = BlockingEngine("job-0-1")
        agent = cluster.agent(engine=engine)
        writer = agent.runner.result_writer
        store.hold_answers(RESULTS)
        (unit,) = await cluster.submit(groups=1, size=2)
        await wait_until(lambda: writer.pending.get("job"))
        agent.runner.hand_over_all("the engine is slow")
        engine.stuck["job-0-1"].set()
        await wait_until(lambda: ("job-0-1", 0) in engine.started)
        await wait_until(lambda: len(writer.pending["job"]) == 2)
        assert "done" not in store.rows["claims", "job", unit.key].value
        store.release_answers(RESULTS)
        await wait_until(
            lambda: store.rows["claims", "job", unit.key].value.get("done")
        )
        assert [item for item, _ in engine.started].count("job-0-0") == 1
        await cluster.close()

    run_scenario(scenario)


def test_unit_is_marked_done_only_after_its_pending_results_are_stored():
    """Guards against losing an item when its host fails.

    The unit was marked done in the store while the result of its item was not stored
    yet. The claim that marks a unit done may be written only after the unit's results.
    """

    async def scenario():
        store = HeldAnswerTables()
        cluster = JobCluster(store=store)
        agent = cluster.agent(engine=FakeEngine())
        store.hold_answers(RESULTS)
        (unit,) = await cluster.submit(groups=1, size=1)
        await wait_until(lambda: agent.runner.result_writer.pending.get("job"))
        pending_result = agent.runner.result_writer.pending["job"][0]
        agent.runner.result_writer.pending["job"][0] = attrs.evolve(
            pending_result, final_claim=None
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
        await cluster.close()

    run_scenario(scenario)


def test_transaction_with_a_duplicate_row_raises_value_error():
    writes = [Write(RESULTS, "i", {"text": text}, ABSENT, part="job") for text in "ab"]
    with pytest.raises(ValueError, match="writes a row twice: results/job/i"):
        asyncio.run(MemoryTables().commit(writes))


def test_result_row_that_arrives_twice_at_once_is_listed_once():
    log = ResultLog()
    value = to_row(Result("i", ResultState.WHOLE, size=3))
    row = Row(RESULTS, "i", 5, value, "job")
    log.add_rows([row, row])
    assert [result.item for result in log.page(0, 100)] == ["i"]
