"""State machine: two job managers share a store that fails.

Accepted jobs stay complete, and the positions of their results do not change.
"""

import asyncio

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gypsumshift.jobs import (
    JobManager,
    Result,
    ResultState,
    Unit,
    jobmanager,
    split_into_units,
)
from gypsumshift.jobs.records import UNITS
from gypsumshift.jobs.resultwriter import PendingResult, result_writes
from gypsumshift.jobs.rowcodec import parse_rows
from gypsumshift.outcomes import Committed, NotRun, Unavailable
from tests.builders import FaultyTables, ManualClock
from tests.job_builders import METRICS, items, job

JOBS = ["a", "b"]
MANAGERS = st.integers(0, 1)


class TwoManagers(RuleBasedStateMachine):
    """Submissions, results, reads and ends at two job managers, in any order."""

    def __init__(self):
        super().__init__()
        self.store = FaultyTables()
        self.clock = ManualClock()
        self.managers = [JobManager(self.store, self.clock, METRICS) for _ in range(2)]
        self.accepted = set()
        self.refused_always = set(JOBS)
        self.read_before = {}

    def do(self, coroutine):
        return asyncio.run(coroutine)

    @rule(down=st.booleans())
    def store_down(self, down):
        self.store.down = down

    @rule(lose=st.integers(0, 2), drop=st.integers(0, 30))
    def store_loses(self, lose, drop):
        self.store.lost_answers, self.store.lost_requests = lose, drop

    @rule(manager=MANAGERS, name=st.sampled_from(JOBS))
    def submit(self, manager, name):
        units = split_into_units(items(2, step=name, body=b"body"))
        deadline = self.clock.monotonic() + 1
        outcome = self.do(
            self.managers[manager].submit_job(job(units, name), units, deadline)
        )
        if isinstance(outcome, Committed):
            self.accepted.add(name)
        if not isinstance(outcome, NotRun):
            self.refused_always.discard(name)

    @rule(name=st.sampled_from(JOBS), number=st.integers(0, 3), text=st.text("xy"))
    def finish(self, name, number, text):
        """Store a result; two agents may finish one item with different texts."""
        item = f"{name}-{number // 2}-{number % 2}"
        result = Result(item, ResultState.WHOLE, text, (1,), "score")
        self.store_answers()
        finished = PendingResult(name, f"{number // 2:05d}", result)
        self.do(self.store.commit(result_writes(finished)))

    def store_answers(self):
        self.store.down = False
        self.store.lost_answers = self.store.lost_requests = 0

    @rule(manager=MANAGERS, name=st.sampled_from(JOBS))
    def submit_and_read(self, manager, name):
        self.store_answers()
        self.submit(manager, name)
        self.read(manager, name, 0)

    @rule(manager=MANAGERS, name=st.sampled_from(JOBS), after=st.integers(0, 4))
    def read(self, manager, name, after):
        page = self.do(
            self.managers[manager].result_reader.read_results(name, after, 0)
        )
        if isinstance(page, Unavailable):
            assert self.store.down
            return
        if name not in self.accepted:
            return
        assert page.total == 4
        seen = self.read_before.setdefault(name, {})
        for place, result in enumerate(page.results, after):
            assert seen.setdefault(place, result) == result, "a result moved"

    @rule(manager=MANAGERS, name=st.sampled_from(JOBS))
    def end(self, manager, name):
        self.do(self.managers[manager].end_job(name, self.clock.monotonic() + 1))

    @invariant()
    def accepted_jobs_are_whole(self):
        for name in self.accepted:
            assert ("jobs", name, "job") in self.store.rows
            units = [p for p in self.store.rows if p[:2] == ("units", name)]
            assert len(units) == 2

    @invariant()
    def refused_jobs_do_not_exist(self):
        for name in self.refused_always:
            assert ("jobs", name, "job") not in self.store.rows


class TwoManagersWithManyTransactions(TwoManagers):
    """The same with one transaction per unit and other bodies under a known job id.

    A job's units are stored before the job row. If they changed after it was written,
    items would run with a body that was sent after the job had been accepted.
    """

    def __init__(self):
        super().__init__()
        self.max_transaction_rows = jobmanager.MAX_TRANSACTION_ROWS
        jobmanager.MAX_TRANSACTION_ROWS = 1
        self.units_before = {}

    def teardown(self):
        jobmanager.MAX_TRANSACTION_ROWS = self.max_transaction_rows

    @rule(
        manager=MANAGERS, name=st.sampled_from(JOBS), body=st.sampled_from([b"x", b"y"])
    )
    def submit_another_body(self, manager, name, body):
        units = split_into_units(items(2, step=name, body=body))
        deadline = self.clock.monotonic() + 1
        outcome = self.do(
            self.managers[manager].submit_job(job(units, name), units, deadline)
        )
        if isinstance(outcome, Committed):
            self.accepted.add(name)
        if not isinstance(outcome, NotRun):
            self.refused_always.discard(name)

    @invariant()
    def units_of_a_job_stay(self):
        for name in JOBS:
            if ("jobs", name, "job") not in self.store.rows:
                continue
            units = {p: r for p, r in self.store.rows.items() if p[:2] == (UNITS, name)}
            assert self.units_before.setdefault(name, units) == units, "a unit changed"
            found = [unit for _, unit in parse_rows(units.values(), Unit)]
            assert len({i.body for unit in found for i in unit.items}) == 1


TestTwoManagers = TwoManagers.TestCase
TestTwoManagersWithManyTransactions = TwoManagersWithManyTransactions.TestCase
