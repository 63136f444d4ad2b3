"""A write whose answer is lost is sent again, and takes effect once."""

import asyncio
import random

from gypsumshift.clock import SystemClock
from gypsumshift.hedging import (
    MAX_COPIES,
    MAX_HEDGE_DELAY_S,
    MIN_HEDGE_DELAY_S,
    AverageAnswerTime,
    HedgedStore,
)
from gypsumshift.memory import MemoryTables
from gypsumshift.outcomes import Committed, Conflict, Unavailable, Unknown
from gypsumshift.platforms import ABSENT, Write
from tests.job_builders import FakeEngine, JobCluster


class FakePath:
    """Stands for a store path whose store answers or not."""

    reaches_store = True


class LossyTables(MemoryTables):
    """Tables that carry out writes but lose some of the answers.

    The script has an entry for each of the first writes: whether its answer is lost, or
    the outcome to return; later answers are lost with a probability of ``share``.
    """

    def __init__(self, script=(), share=0.0, timeout=0.5):
        super().__init__()
        self.timeout = timeout
        self.script = list(script)
        self.share = share
        self.chance = random.Random(1)
        self.calls = 0

    async def commit(self, writes):
        self.calls += 1
        lost = self.script.pop(0) if self.script else self.chance.random() < self.share
        if isinstance(lost, Unavailable):
            return lost
        outcome = await super().commit(writes)
        if lost:
            await asyncio.sleep(self.timeout)
            return Unknown("no answer in time")
        return outcome


def make_hedged(script=(), share=0.0, timeout=0.5):
    inner = LossyTables(script, share, timeout)
    return HedgedStore(inner, FakePath(), SystemClock()), inner


def claim_writes():
    return [Write("claims", "u", {"agent": "a"}, ABSENT)]


def test_copy_is_sent_without_waiting_for_lost_answer():
    async def scenario():
        store, inner = make_hedged([True], timeout=3600)
        outcome = await store.commit(claim_writes())
        assert isinstance(outcome, Conflict), "the first copy took effect"
        assert inner.calls == 2

    asyncio.run(scenario())


def test_answered_write_is_sent_once():
    async def scenario():
        store, inner = make_hedged()
        assert isinstance(await store.commit(claim_writes()), Committed)
        assert inner.calls == 1

    asyncio.run(scenario())


def test_outcome_is_unknown_if_all_answers_are_lost():
    async def scenario():
        store, inner = make_hedged([True] * MAX_COPIES)
        assert isinstance(await store.commit(claim_writes()), Unknown)
        assert inner.calls == MAX_COPIES

    asyncio.run(scenario())


def test_outcome_is_unknown_if_one_copy_is_lost_and_another_refused():
    async def scenario():
        store, _ = make_hedged([True, Unavailable("status 503")])
        assert isinstance(await store.commit(claim_writes()), Unknown)

    asyncio.run(scenario())


def test_no_copy_is_sent_to_unavailable_store():
    async def scenario():
        store, inner = make_hedged([True])
        store.path.reaches_store = False
        assert isinstance(await store.commit(claim_writes()), Unknown)
        assert inner.calls == 1
        store, inner = make_hedged([Unavailable("status 503")])
        assert isinstance(await store.commit(claim_writes()), Unavailable)
        assert inner.calls == 1

    asyncio.run(scenario())


def test_hedge_delay_grows_with_average_answer_time():
    answer_time = AverageAnswerTime()
    answer_time.record(0.006)
    assert answer_time.hedge_delay() == MIN_HEDGE_DELAY_S
    for _ in range(8):
        answer_time.record(0.3)
    assert answer_time.hedge_delay() == MAX_HEDGE_DELAY_S


def test_step_ends_while_half_of_the_answers_are_lost():
    async def scenario():
        store, _ = make_hedged(timeout=1.5)
        world = JobCluster()
        engine = FakeEngine()
        for name in "ab":
            world.agent(name, engine, store)
        world.job_manager.store = store
        world.job_manager.result_reader.store = store
        await world.submit(groups=6, size=2)
        store.inner.share = 0.5
        results = await world.results()
        assert len({result.item for result in results}) == 12
        await world.close()

    asyncio.run(asyncio.wait_for(scenario(), 30))
