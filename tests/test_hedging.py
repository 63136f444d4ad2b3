"""A write whose answer is lost is sent once more, and nothing is done twice."""

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


class Path:
    """Way to a store that answers, or does not."""

    reaches_store = True


class LossyTables(MemoryTables):
    """Tables that carry writes out and keep some of the answers to themselves."""

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


def hedged(script=(), share=0.0, timeout=0.5):
    inner = LossyTables(script, share, timeout)
    return HedgedStore(inner, Path(), SystemClock()), inner


def claim():
    return [Write("claims", "u", {"agent": "a"}, ABSENT)]


def test_an_answer_that_is_lost_is_not_waited_for():
    async def scenario():
        store, inner = hedged([True], timeout=3600)
        outcome = await store.commit(claim())
        assert isinstance(outcome, Conflict), "the first copy was carried out"
        assert inner.calls == 2

    asyncio.run(scenario())


def test_a_write_that_is_answered_is_sent_once():
    async def scenario():
        store, inner = hedged()
        assert isinstance(await store.commit(claim()), Committed)
        assert inner.calls == 1

    asyncio.run(scenario())


def test_what_no_copy_settled_is_said_to_be_unknown():
    async def scenario():
        store, inner = hedged([True] * MAX_COPIES)
        assert isinstance(await store.commit(claim()), Unknown)
        assert inner.calls == MAX_COPIES

    asyncio.run(scenario())


def test_a_refusal_beside_a_lost_answer_is_not_taken_for_certain():
    async def scenario():
        store, _ = hedged([True, Unavailable("status 503")])
        assert isinstance(await store.commit(claim()), Unknown)

    asyncio.run(scenario())


def test_a_store_that_is_away_is_not_asked_twice():
    async def scenario():
        store, inner = hedged([True])
        store.path.reaches_store = False
        assert isinstance(await store.commit(claim()), Unknown)
        assert inner.calls == 1
        store, inner = hedged([Unavailable("status 503")])
        assert isinstance(await store.commit(claim()), Unavailable)
        assert inner.calls == 1

    asyncio.run(scenario())


def test_a_store_that_is_slow_for_all_is_given_its_time():
    answers = AverageAnswerTime()
    answers.record(0.006)
    assert answers.hedge_delay() == MIN_HEDGE_DELAY_S
    for _ in range(8):
        answers.record(0.3)
    assert answers.hedge_delay() == MAX_HEDGE_DELAY_S


def test_a_step_ends_while_half_of_the_answers_are_lost():
    async def scenario():
        store, _ = hedged(timeout=1.5)
        world = JobCluster()
        engine = FakeEngine()
        for name in "ab":
            world.agent(name, engine, store)
        world.job_manager.store = store
        await world.submit(groups=6, size=2)
        store.inner.share = 0.5
        results = await world.results()
        assert len({result.item for result in results}) == 12
        await world.close()

    asyncio.run(asyncio.wait_for(scenario(), 30))
