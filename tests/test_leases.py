"""Tests of leases: fences grow, and at most one process holds a lease at a time."""

import asyncio

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gypsumshift.backend import Fence
from gypsumshift.leases import Lease

from . import builders

DURATION_S = 4.0


class LeaseMachine(RuleBasedStateMachine):
    """Three processes renew, acquire and release a lease of a store that fails."""

    def __init__(self):
        super().__init__()
        self.tables = builders.FaultyTables()
        self.clock = builders.ManualClock()
        self.leases = [
            Lease(self.tables, "l", f"p{n}", self.clock, DURATION_S) for n in range(3)
        ]
        self.loop = asyncio.new_event_loop()
        self.fences = {}

    def teardown(self):
        self.loop.close()

    @rule(who=st.integers(0, 2))
    def renew_or_acquire(self, who):
        self.loop.run_until_complete(self.leases[who].renew_or_acquire())

    @rule(who=st.integers(0, 2))
    def release(self, who):
        self.loop.run_until_complete(self.leases[who].release())

    @rule(seconds=st.sampled_from([0.5, 1.0, 3.0, 5.0]))
    def pass_time(self, seconds):
        self.clock.advance(seconds)

    @rule(down=st.booleans())
    def set_store_down(self, down):
        self.tables.down = down

    @rule(lose=st.integers(0, 1), drop=st.integers(0, 1))
    def set_lost_answers(self, lose, drop):
        self.tables.lost_answers, self.tables.lost_requests = lose, drop

    @invariant()
    def at_most_one_holder(self):
        holders = [lease.owner for lease in self.leases if lease.held]
        assert len(holders) <= 1, holders

    @invariant()
    def each_fence_has_one_owner(self):
        row = self.tables.rows.get(("leases", "", "l"))
        if row and row.value["owner"]:
            fence, owner = row.value["fence"], row.value["owner"]
            assert self.fences.setdefault(fence, owner) == owner
            assert fence == max(self.fences)


TestLeases = LeaseMachine.TestCase


def test_challenger_waits_for_the_whole_lease_duration():
    tables, clock = builders.FaultyTables(), builders.ManualClock()
    holder = Lease(tables, "l", "a", clock, DURATION_S)
    challenger = Lease(tables, "l", "b", clock, DURATION_S)

    async def scenario():
        assert await holder.renew_or_acquire()
        assert not await challenger.renew_or_acquire()
        clock.advance(DURATION_S - 0.1)
        assert not await challenger.renew_or_acquire()
        clock.advance(0.1)
        assert not holder.held
        assert await challenger.renew_or_acquire() and challenger.fence == 2

    asyncio.run(scenario())


def test_released_lease_is_acquired_at_once():
    tables, clock = builders.FaultyTables(), builders.ManualClock()
    holder = Lease(tables, "l", "a", clock, DURATION_S)
    challenger = Lease(tables, "l", "b", clock, DURATION_S)

    async def scenario():
        await holder.renew_or_acquire()
        await holder.release()
        assert await challenger.renew_or_acquire() and challenger.fence == 2

    asyncio.run(scenario())


def test_fence_grows_with_each_owner_even_if_an_answer_is_lost():
    tables, clock = builders.FaultyTables(), builders.ManualClock()

    async def scenario():
        first = Fence(tables, "b", "one", clock)
        assert await first.acquire() == 1
        tables.lost_answers = 1
        second = Fence(tables, "b", "two", clock)
        assert await second.acquire() == 2
        assert await first.is_superseded() and not await second.is_superseded()

    asyncio.run(scenario())
