"""Each group is in one step and within the staleness bound, despite platform faults.

The state machine covers concurrent processes, stale reads, and transactions whose
answer is lost or which are dropped.
"""

import asyncio

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gypsumshift.groups import Group, Sample, Step, TrainerState
from gypsumshift.outcomes import Committed, Conflict, Missing, Unavailable
from gypsumshift.trainerstore import TrainerStore

from . import builders

SIZE = 2
BOUND = 1


def sample(group, version):
    return Sample(f"{group.id}/0", group.prompt, "w", [1], [[0, 1, version]])


class TrainerStoreMachine(RuleBasedStateMachine):
    """Two entries access the data of one trainer while the platform fails."""

    def __init__(self):
        super().__init__()
        self.tables = builders.FaultyTables()
        self.platform = builders.platform(self.tables)
        self.stores = [TrainerStore(self.platform, "t") for _ in range(2)]
        self.loop = asyncio.new_event_loop()
        self.submitted = set()
        self.read_pairs = []
        self.steps = {}
        self.trainer_version = 0
        self.newest_version = 0

    def teardown(self):
        self.loop.close()

    def do(self, work):
        return self.loop.run_until_complete(work)

    def stored_state(self):
        """Return the trainer's row directly from the tables."""
        row = self.tables.rows.get(("trainers", "", "t"))
        return TrainerState(**row.value) if row else TrainerState()

    @rule(
        ids=st.lists(st.integers(0, 9), min_size=1, max_size=4), who=st.integers(0, 1)
    )
    def submit(self, ids, who):
        groups = [Group(str(number), f"prompt {number}") for number in ids]
        outcome = self.do(self.stores[who].accept_groups(groups))
        if isinstance(outcome, int):
            self.submitted |= set(map(str, ids))

    @rule(who=st.integers(0, 1))
    def read_groups(self, who):
        """A driver reads the groups that it will finish later."""
        pairs = self.do(self.stores[who].read_groups())
        if not isinstance(pairs, Unavailable):
            self.read_pairs = pairs

    @rule(who=st.integers(0, 1), pick=st.integers(0, 9))
    def finish(self, who, pick):
        """A driver finishes a group whose row may have changed since it was read."""
        waiting = [pair for pair in self.read_pairs if pair[1].is_pending]
        if waiting:
            row, group = waiting[pick % len(waiting)]
            samples = [sample(group, self.newest_version)]
            self.do(self.stores[who].finish_group(row, group, samples))

    @rule()
    def publish_weights(self):
        self.newest_version += 1

    @rule(jump=st.integers(0, 2))
    def update_trainer(self, jump):
        self.trainer_version = min(self.trainer_version + jump, self.newest_version)

    @rule(who=st.integers(0, 1))
    def request_next_step(self, who):
        number = self.stored_state().sealed + 1
        self.do(self.stores[who].request_step(number, self.trainer_version))

    @rule()
    def request_step_after_next(self):
        number = self.stored_state().sealed + 2
        outcome = self.do(self.stores[0].request_step(number, 0))
        assert isinstance(outcome, (Conflict, Unavailable))

    @rule(who=st.integers(0, 1))
    def seal(self, who):
        outcome = self.do(self.stores[who].seal_step(SIZE, BOUND))
        if isinstance(outcome, Step):
            assert self.steps.setdefault(outcome.number, outcome) == outcome

    @rule()
    def seal_at_both(self):
        async def both():
            return await asyncio.gather(
                *(store.seal_step(SIZE, BOUND) for store in self.stores)
            )

        for outcome in self.do(both()):
            if isinstance(outcome, Step):
                assert self.steps.setdefault(outcome.number, outcome) == outcome

    @rule(down=st.booleans())
    def set_platform_down(self, down):
        self.tables.down = down

    @rule(lose=st.integers(0, 1), drop=st.integers(0, 1))
    def lose_or_drop_commits(self, lose, drop):
        self.tables.lost_answers, self.tables.lost_requests = lose, drop

    @invariant()
    def steps_are_valid(self):
        seen = set()
        for (table, _, _), row in self.tables.rows.items():
            if table != "steps":
                continue
            assert len(row.value["groups"]) == SIZE
            for group in row.value["groups"]:
                assert group["id"] not in seen, "a group is in two steps"
                seen.add(group["id"])
                oldest_allowed = row.value["version"] - BOUND
                assert group["oldest"] >= oldest_allowed, "a group is too old"
                assert group["object"] in self.platform.objects.data
        open_ids = [
            r.value["id"] for (t, _, _), r in self.tables.rows.items() if t == "groups"
        ]
        assert len(open_ids) == len(set(open_ids))
        assert not seen & set(open_ids)
        assert self.submitted <= seen | set(open_ids), "a group was lost"


TestTrainerStore = TrainerStoreMachine.TestCase


def store_with_ready_groups(count=2, version=0):
    """Return a store whose groups were finished under one weight version."""
    store = TrainerStore(builders.platform(builders.FaultyTables()), "t")

    async def prepare():
        await store.accept_groups([Group(str(n), "p") for n in range(count)])
        for row, group in await store.read_groups():
            await store.finish_group(row, group, [sample(group, version)])
        await store.request_step(1, 0)

    asyncio.run(prepare())
    return store


def test_version_jump_makes_stale_groups_pending_again():
    store = store_with_ready_groups()

    async def work():
        await store.request_step(1, 5)
        assert isinstance(await store.seal_step(2, BOUND), Missing)
        assert all(group.is_pending for _, group in await store.read_groups())

    asyncio.run(work())


def test_sealing_with_a_changed_trainer_row_is_a_conflict():
    store = store_with_ready_groups()

    async def work():
        state = await store.read_state()
        pairs = await store.read_groups()
        await store.request_step(1, 5)
        assert isinstance(await store.commit_step(state, pairs), Conflict)

    asyncio.run(work())


def test_sealing_again_after_a_lost_answer_returns_the_sealed_step():
    store = store_with_ready_groups()

    async def work():
        store.tables.lost_answers = 1
        await store.seal_step(2, BOUND)
        step = await store.seal_step(2, BOUND)
        assert isinstance(step, Step) and step.number == 1
        assert len(await store.read_samples(step)) == 2

    asyncio.run(work())


def test_second_result_of_a_group_is_a_conflict():
    store = TrainerStore(builders.platform(), "t")

    async def work():
        await store.accept_groups([Group("a", "p")])
        ((row, group),) = await store.read_groups()
        first = await store.finish_group(row, group, [sample(group, 0)])
        second = await store.finish_group(row, group, [sample(group, 0)])
        assert isinstance(first, Committed) and isinstance(second, Conflict)

    asyncio.run(work())


def test_sealed_step_is_removed_after_two_later_steps():
    store = store_with_ready_groups()

    async def work():
        step = await store.seal_step(2, BOUND)
        await store.remove_old_step(1)
        await store.remove_old_step(2)
        assert isinstance(await store.read_samples(step), list)
        await store.remove_old_step(3)
        assert isinstance(await store.read_step(1), Missing)
        assert not store.objects.data

    asyncio.run(work())
