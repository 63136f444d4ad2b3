"""Revisions are accepted once and in order, and processes never activate older ones.

The state machine covers concurrent applies through two entries, lost answers and
dropped writes of the platform, its outages, and process restarts.
"""

import asyncio
import json

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gypsumshift.outcomes import Conflict, Unavailable, Unknown
from gypsumshift.revisions import AcceptedRevision, ActiveRevision, RevisionHistory

from . import builders


def declarations_with_zone(name):
    return {"zones": [name]}


class RevisionMachine(RuleBasedStateMachine):
    """Operators apply concurrently; processes read from the platform and each other."""

    def __init__(self):
        super().__init__()
        self.tables = builders.FaultyTables()
        clock = builders.ManualClock()
        self.histories = [RevisionHistory(self.tables, clock) for _ in range(2)]
        self.processes = [ActiveRevision(builders.recorder()) for _ in range(3)]
        self.loop = asyncio.new_event_loop()
        self.accepted = {}
        self.refused = set()
        self.count = 0

    def teardown(self):
        self.loop.close()

    def record_outcome(self, token, outcome):
        if isinstance(outcome, AcceptedRevision):
            known = self.accepted.setdefault(outcome.number, outcome)
            assert known == outcome, "two revisions have the same number"
        elif isinstance(outcome, (Conflict, Unavailable)):
            self.refused.add(token)

    @rule(base=st.integers(0, 4), who=st.integers(0, 1))
    def apply(self, base, who):
        self.count += 1
        token = f"token-{self.count}"
        work = self.histories[who].apply(
            base, declarations_with_zone(token), "a", "m", token
        )
        self.record_outcome(token, self.loop.run_until_complete(work))

    @rule()
    def apply_concurrently(self):
        base = max(self.accepted, default=0)
        self.count += 1

        async def both():
            return await asyncio.gather(
                *(
                    history.apply(
                        base,
                        declarations_with_zone(f"r{n}"),
                        "a",
                        "m",
                        f"{self.count}-{n}",
                    )
                    for n, history in enumerate(self.histories)
                )
            )

        outcomes = self.loop.run_until_complete(both())
        for number, outcome in enumerate(outcomes):
            self.record_outcome(f"{self.count}-{number}", outcome)
        assert sum(isinstance(outcome, AcceptedRevision) for outcome in outcomes) <= 1

    @rule(process=st.integers(0, 2))
    def read_from_platform(self, process):
        head = self.loop.run_until_complete(self.histories[0].read_newest_number())
        if isinstance(head, Unavailable):
            return
        found = self.loop.run_until_complete(self.histories[0].read_revision(head))
        text = json.dumps(found.declarations)
        before = self.processes[process].number
        self.processes[process].activate_if_newer(head, text)
        assert self.processes[process].number >= before

    @rule(sender=st.integers(0, 2), receiver=st.integers(0, 2))
    def receive_from_neighbour(self, sender, receiver):
        sent = self.processes[sender]
        before = self.processes[receiver].number
        if sent.ready:
            self.processes[receiver].activate_if_newer(sent.number, sent.text or "{}")
        assert self.processes[receiver].number >= before

    @rule(process=st.integers(0, 2))
    def replace_process(self, process):
        self.processes[process] = ActiveRevision(builders.recorder())

    @rule(down=st.booleans())
    def set_platform_down(self, down):
        self.tables.down = down

    @rule(lose=st.integers(0, 2), drop=st.integers(0, 2))
    def lose_or_drop_commits(self, lose, drop):
        self.tables.lost_answers, self.tables.lost_requests = lose, drop

    @invariant()
    def accepted_revisions_are_kept(self):
        rows = {
            row.value["number"]: row.value
            for (table, _, _), row in self.tables.rows.items()
            if table == "revisions"
        }
        assert sorted(rows) == list(range(1, len(rows) + 1)), "a number is missing"
        for number, accepted in self.accepted.items():
            assert rows[number]["token"] == accepted.token, "a revision changed"
        tokens = {row["token"] for row in rows.values()}
        assert not tokens & self.refused, "a refused revision was accepted"

    @invariant()
    def active_revision_was_accepted(self):
        for process in self.processes:
            if process.number > 0:
                row = self.tables.rows["revisions", "", f"{process.number:012d}"]
                assert (
                    process.catalog.source["zones"]
                    == row.value["declarations"]["zones"]
                )


TestRevisions = RevisionMachine.TestCase


def test_apply_with_a_lost_answer_returns_the_accepted_revision():
    tables = builders.FaultyTables()
    history = RevisionHistory(tables, builders.ManualClock())
    tables.lost_answers = 1
    outcome = asyncio.run(
        history.apply(0, declarations_with_zone("a"), "a", "m", "token")
    )
    assert isinstance(outcome, AcceptedRevision) and outcome.number == 1


def test_applying_the_same_token_again_returns_the_same_revision():
    tables = builders.FaultyTables()
    history = RevisionHistory(tables, builders.ManualClock())

    async def work():
        await history.apply(0, declarations_with_zone("a"), "a", "m", "token")
        again = await history.apply(0, declarations_with_zone("a"), "a", "m", "token")
        assert isinstance(again, AcceptedRevision) and again.number == 1
        assert await history.read_newest_number() == 1

    asyncio.run(work())


def test_apply_with_a_lost_answer_and_a_following_outage_is_unknown():
    tables = builders.FaultyTables()
    history = RevisionHistory(tables, builders.ManualClock())

    class TablesFailingAfterCommit(builders.FaultyTables):
        async def commit(self, writes):
            outcome = await super().commit(writes)
            self.down = True
            return Unknown("lost") if outcome else outcome

    history = RevisionHistory(TablesFailingAfterCommit(), builders.ManualClock())
    outcome = asyncio.run(
        history.apply(0, declarations_with_zone("a"), "a", "m", "token")
    )
    assert isinstance(outcome, Unknown)


def test_unreadable_revision_leaves_the_previous_one_active():
    process = ActiveRevision(builders.recorder())
    assert process.activate_if_newer(1, '{"zones": ["a"]}')
    assert not process.activate_if_newer(2, '{"news": ["b"]}')
    assert process.number == 1 and process.catalog.zones == ("a",)
