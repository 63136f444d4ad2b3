"""Exactly once and never too old, whoever seals and whatever is lost."""

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


class LedgerMachine(RuleBasedStateMachine):
    """Two entries work on one trainer's ledger while the platform fails."""

    def __init__(self):
        super().__init__()
        self.tables = builders.FaultyTables()
        self.platform = builders.platform(self.tables)
        self.ledgers = [TrainerStore(self.platform, "t") for _ in range(2)]
        self.loop = asyncio.new_event_loop()
        self.submitted = set()
        self.held = []
        self.steps = {}
        self.version = 0
        self.weights = 0

    def teardown(self):
        self.loop.close()

    def do(self, work):
        return self.loop.run_until_complete(work)

    def truth(self):
        """Return the trainer's row as it truly is."""
        row = self.tables.rows.get(("trainers", "", "t"))
        return TrainerState(**row.value) if row else TrainerState()

    @rule(
        ids=st.lists(st.integers(0, 9), min_size=1, max_size=4), who=st.integers(0, 1)
    )
    def submit(self, ids, who):
        groups = [Group(str(number), f"prompt {number}") for number in ids]
        outcome = self.do(self.ledgers[who].accept_groups(groups))
        if isinstance(outcome, int):
            self.submitted |= set(map(str, ids))

    @rule(who=st.integers(0, 1))
    def read_groups(self, who):
        """A driver reads the list, to finish groups some time later."""
        pairs = self.do(self.ledgers[who].read_groups())
        if not isinstance(pairs, Unavailable):
            self.held = pairs

    @rule(who=st.integers(0, 1), pick=st.integers(0, 9))
    def finish(self, who, pick):
        """A driver finishes a group that it read before, perhaps long ago."""
        waiting = [pair for pair in self.held if pair[1].is_pending]
        if waiting:
            row, group = waiting[pick % len(waiting)]
            done = [sample(group, self.weights)]
            self.do(self.ledgers[who].finish_group(row, group, done))

    @rule()
    def new_weights(self):
        self.weights += 1

    @rule(jump=st.integers(0, 2))
    def trainer_moves(self, jump):
        self.version = min(self.version + jump, self.weights)

    @rule(who=st.integers(0, 1))
    def want(self, who):
        number = self.truth().sealed + 1
        self.do(self.ledgers[who].request_step(number, self.version))

    @rule()
    def want_too_far(self):
        outcome = self.do(self.ledgers[0].request_step(self.truth().sealed + 2, 0))
        assert isinstance(outcome, (Conflict, Unavailable))

    @rule(who=st.integers(0, 1))
    def seal(self, who):
        outcome = self.do(self.ledgers[who].seal_step(SIZE, BOUND))
        if isinstance(outcome, Step):
            assert self.steps.setdefault(outcome.number, outcome) == outcome

    @rule()
    def seal_at_both(self):
        async def both():
            return await asyncio.gather(
                *(ledger.seal_step(SIZE, BOUND) for ledger in self.ledgers)
            )

        for outcome in self.do(both()):
            if isinstance(outcome, Step):
                assert self.steps.setdefault(outcome.number, outcome) == outcome

    @rule(down=st.booleans())
    def platform_down(self, down):
        self.tables.down = down

    @rule(lose=st.integers(0, 1), drop=st.integers(0, 1))
    def platform_loses(self, lose, drop):
        self.tables.lost_answers, self.tables.lost_requests = lose, drop

    @invariant()
    def steps_are_right(self):
        seen = set()
        for (table, _, _), row in self.tables.rows.items():
            if table != "steps":
                continue
            assert len(row.value["groups"]) == SIZE
            for group in row.value["groups"]:
                assert group["id"] not in seen, "a group in two steps"
                seen.add(group["id"])
                assert group["oldest"] >= row.value["version"] - BOUND, "too old"
                assert group["object"] in self.platform.objects.data
        open_ids = [
            r.value["id"] for (t, _, _), r in self.tables.rows.items() if t == "groups"
        ]
        assert len(open_ids) == len(set(open_ids))
        assert not seen & set(open_ids)
        assert self.submitted <= seen | set(open_ids), "a group was lost"


TestLedger = LedgerMachine.TestCase


def prepared(count=2, version=0):
    """Return a ledger with groups finished by one weight version."""
    ledger = TrainerStore(builders.platform(builders.FaultyTables()), "t")

    async def prepare():
        await ledger.accept_groups([Group(str(n), "p") for n in range(count)])
        for row, group in await ledger.read_groups():
            await ledger.finish_group(row, group, [sample(group, version)])
        await ledger.request_step(1, 0)

    asyncio.run(prepare())
    return ledger


def test_a_trainer_that_jumps_versions_gets_nothing_too_old():
    ledger = prepared()

    async def work():
        await ledger.request_step(1, 5)
        assert isinstance(await ledger.seal_step(2, BOUND), Missing)
        assert all(group.is_pending for _, group in await ledger.read_groups())

    asyncio.run(work())


def test_a_paused_sealer_cannot_seal_for_the_version_it_saw():
    ledger = prepared()

    async def work():
        trainee = await ledger.read_state()
        pairs = await ledger.read_groups()
        await ledger.request_step(1, 5)
        assert isinstance(await ledger.commit_step(trainee, pairs), Conflict)

    asyncio.run(work())


def test_a_lost_answer_of_the_sealing_transaction_is_settled_by_asking_again():
    ledger = prepared()

    async def work():
        ledger.tables.lost_answers = 1
        await ledger.seal_step(2, BOUND)
        step = await ledger.seal_step(2, BOUND)
        assert isinstance(step, Step) and step.number == 1
        assert len(await ledger.read_samples(step)) == 2

    asyncio.run(work())


def test_two_results_of_one_group_leave_one_sample():
    ledger = TrainerStore(builders.platform(), "t")

    async def work():
        await ledger.accept_groups([Group("a", "p")])
        ((row, group),) = await ledger.read_groups()
        first = await ledger.finish_group(row, group, [sample(group, 0)])
        second = await ledger.finish_group(row, group, [sample(group, 0)])
        assert isinstance(first, Committed) and isinstance(second, Conflict)

    asyncio.run(work())


def test_a_pulled_step_is_swept_only_when_two_more_were_pulled():
    ledger = prepared()

    async def work():
        step = await ledger.seal_step(2, BOUND)
        await ledger.remove_old_step(1)
        await ledger.remove_old_step(2)
        assert isinstance(await ledger.read_samples(step), list)
        await ledger.remove_old_step(3)
        assert isinstance(await ledger.read_step(1), Missing)
        assert not ledger.objects.data

    asyncio.run(work())
