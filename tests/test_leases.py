"""Tests of leases: fences grow, and at most one process holds a lease at a time."""

import asyncio
import itertools

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gypsumshift.backend import Fence
from gypsumshift.leases import Lease
from gypsumshift.platforms import Write
from tests.late_store import losing_writes, open_store, wait_for_late_writes

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


async def hold_in_turn(leases, clock):
    """Let each process hold a lease in turn; return the fences in order."""
    fences = []
    for lease in leases:
        for _ in range(4):
            if await lease.renew_or_acquire():
                break
            clock.advance(DURATION_S)
        fences.append(lease.fence)
    return fences


@pytest.mark.parametrize("lost_answers", [0, 1, 2])
def test_fence_grows_though_the_row_of_the_lease_was_removed(lost_answers):
    """Guards against fences that start at 1 again, which receivers would reject."""
    tables, clock = builders.FaultyTables(), builders.ManualClock()
    leases = [Lease(tables, "l", f"p{n}", clock, DURATION_S) for n in range(8)]

    async def scenario():
        before = await hold_in_turn(leases[:4], clock)
        await tables.commit([Write("leases", "l")])
        tables.lost_answers = lost_answers
        after = await hold_in_turn(leases[4:], clock)
        fences = before + after
        assert all(old < new for old, new in itertools.pairwise(fences)), fences

    asyncio.run(scenario())


def test_holder_whose_row_was_removed_gets_a_higher_fence():
    tables, clock = builders.FaultyTables(), builders.ManualClock()
    leases = [Lease(tables, "l", f"p{n}", clock, DURATION_S) for n in range(3)]

    async def scenario():
        fences = await hold_in_turn(leases, clock)
        await tables.commit([Write("leases", "l")])
        assert await leases[-1].renew_or_acquire()
        assert leases[-1].fence > fences[-1]

    asyncio.run(scenario())


def test_write_of_a_lease_that_takes_effect_late_does_not_lower_the_fence():
    """Guards against a late first write that replaces the record of a later holder."""

    async def scenario():
        clock = builders.ManualClock()
        async with open_store() as (server, store):
            leases = [Lease(store, "l", f"p{n}", clock, DURATION_S) for n in range(4)]
            with losing_writes(server):
                assert not await leases[0].renew_or_acquire()
            fences = await hold_in_turn(leases[1:3], clock)
            await server.write_row("leases", "l", None)
            with losing_writes(server):
                await leases[0].renew_or_acquire()
            fences += await hold_in_turn(leases[3:], clock)
            await wait_for_late_writes(server)
            fences += await hold_in_turn(leases[1:3], clock)
            assert all(old < new for old, new in itertools.pairwise(fences)), fences

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


def test_fence_of_a_backend_server_grows_though_its_row_was_removed():
    tables, clock = builders.FaultyTables(), builders.ManualClock()

    async def scenario():
        before = [await Fence(tables, "b", name, clock).acquire() for name in "xyz"]
        await tables.commit([Write("backends", "b")])
        after = [await Fence(tables, "b", name, clock).acquire() for name in "uvw"]
        fences = before + after
        assert all(old < new for old, new in itertools.pairwise(fences)), fences

    asyncio.run(scenario())
