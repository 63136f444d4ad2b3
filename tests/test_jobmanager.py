"""Submitting, reading, ending and removing batch jobs with `JobManager`."""

import asyncio
import collections
import random

import attrs
import pytest

from gypsumshift.jobs import JobManager, Result, ResultState, split_into_units
from gypsumshift.jobs.jobmanager import ENDED_JOB_RETENTION_SECONDS
from gypsumshift.jobs.partials import PartialStore
from gypsumshift.jobs.records import (
    END_KEY,
    JOB_KEY,
    JOBS,
    PARTIALS,
    RESULTS,
    UNITS,
    Claim,
    Partial,
    Unit,
)
from gypsumshift.jobs.resultreader import ResultPage
from gypsumshift.jobs.resultwriter import (
    MAX_ROW_TEXT_CHARS,
    PendingResult,
    ResultWriter,
)
from gypsumshift.jobs.rowcodec import parse_rows, to_row
from gypsumshift.jobs.schedule import DuplicateItemIdError
from gypsumshift.memory import MemoryTables
from gypsumshift.outcomes import (
    Committed,
    Conflict,
    Missing,
    NotRun,
    Unavailable,
    Unknown,
)
from gypsumshift.platforms import Row, Write
from tests.builders import FaultyTables, ManualClock
from tests.job_builders import METRICS, items, job


def make_manager(store=None):
    clock = ManualClock()
    return JobManager(store or MemoryTables(), clock, METRICS), clock


async def submit(manager, clock, groups=2):
    units = split_into_units(items(groups))
    return await manager.submit_job(job(units), units, clock.monotonic() + 2)


def test_job_submitted_to_two_managers_is_stored_once():
    async def scenario():
        one, clock = make_manager()
        other, _ = make_manager(one.store)
        assert isinstance(await submit(one, clock), Committed)
        assert isinstance(await submit(other, clock), Committed)
        rows = await one.store.scan("jobs", "", "job")
        assert len(rows) == 1
        assert (await other.result_reader.read_results("job", 0, 0)).total == 4

    asyncio.run(scenario())


def test_submission_with_unknown_outcome_is_not_reported_as_not_run():
    async def scenario():
        store = FaultyTables()
        manager, clock = make_manager(store)
        store.down = True
        assert isinstance(await submit(manager, clock), NotRun)
        store.down, store.lost_requests = False, 100
        assert isinstance(await submit(manager, clock), Unknown)
        store.lost_requests, store.lost_answers = 0, 1
        assert isinstance(await submit(manager, clock), Committed)

    asyncio.run(scenario())


def test_split_rejects_duplicate_item_ids_and_names_the_id():
    """Guards against jobs that never complete because two items share an id.

    A result is one row per item id, so that a job of 5 items never had more than 4
    results. The duplicates may be in the same group or in different ones.
    """
    found = items(2)
    again = attrs.evolve(found[0], group="other")
    for repeated in ([*found, again], [again, *found], [found[0], again]):
        with pytest.raises(DuplicateItemIdError, match=found[0].id):
            split_into_units(repeated)
    assert len(split_into_units(found)) == 2


def large_job(body):
    """Return the units of a job that takes three transactions to store."""
    return split_into_units([attrs.evolve(item, body=body) for item in items(200)])


def unit_bodies(store):
    """Count the stored units by the body of their first item."""
    rows = [row for row_id, row in store.rows.items() if row_id[0] == UNITS]
    units = [unit for _, unit in parse_rows(rows, Unit)]
    return collections.Counter(unit.items[0].body for unit in units)


def test_resubmission_with_another_body_does_not_change_stored_units():
    """Guards against accepted units being overwritten by a later submission.

    A job that takes several transactions is accepted. It is then submitted with another
    body, or split differently by another release, to a gateway that does not know it;
    or a transaction of an earlier attempt is carried out late. Only the last
    transaction was conditional, so the others overwrote stored units: later items ran
    with a body that was sent after the job had been accepted.
    """

    async def scenario():
        one, clock = make_manager()
        other, _ = make_manager(one.store)
        first, second = large_job(b"first"), large_job(b"second")
        deadline = clock.monotonic() + 2
        assert isinstance(await one.submit_job(job(first), first, deadline), Committed)
        assert isinstance(
            await other.submit_job(job(second), second, deadline), Committed
        )
        assert unit_bodies(one.store) == {b"first": 200}
        for late in other.job_transactions(job(second), second):
            assert isinstance(await one.store.commit(late), Conflict)

    asyncio.run(scenario())


def test_resubmission_completes_a_partly_written_job():
    """Another gateway completes the job, with the same body or with another one."""

    async def scenario(body):
        one, clock = make_manager()
        other, _ = make_manager(one.store)
        first, second = large_job(b"first"), large_job(body)
        for batch in one.job_transactions(job(first), first)[:-1]:
            assert isinstance(await one.store.commit(batch), Committed)
        deadline = clock.monotonic() + 2
        assert isinstance(
            await other.submit_job(job(second), second, deadline), Committed
        )
        assert isinstance(await one.submit_job(job(first), first, deadline), Committed)
        assert unit_bodies(one.store) == {body: 200}

    asyncio.run(scenario(b"first"))
    asyncio.run(scenario(b"second"))


def test_read_during_a_store_outage_returns_unavailable():
    async def scenario():
        store = FaultyTables()
        manager, clock = make_manager(store)
        await submit(manager, clock)
        store.down = True
        assert isinstance(
            await manager.result_reader.read_results("job", 0, 0), Unavailable
        )
        assert isinstance(
            await manager.result_reader.read_results("other", 0, 0), Unavailable
        )

    asyncio.run(scenario())


def test_text_longer_than_one_row_is_read_back_unchanged():
    async def scenario():
        manager, clock = make_manager()
        await submit(manager, clock, groups=1)
        text = "0123456789" * (MAX_ROW_TEXT_CHARS // 4)
        writer = ResultWriter(manager.store, clock)
        for number in (0, 1):
            result = Result(f"s-0-{number}", ResultState.WHOLE, text, (1,), "x")
            last = Claim("a", "s", done=True) if number else None
            writer.enqueue(PendingResult("job", "00000", result, last))
        await writer.drain()
        page = await manager.result_reader.read_results("job", 0, 0)
        assert [r.text for r in page.results] == [text, text]
        sizes = [len(str(row.value)) for row in manager.store.rows.values()]
        assert max(sizes) < 2 * MAX_ROW_TEXT_CHARS

    asyncio.run(scenario())


def test_texts_of_items_with_a_common_id_prefix_are_read_separately():
    """Guards against jobs whose results can never be read past some position.

    Text rows have keys of the form ``ITEM/NUMBER``. All rows that begin with ``x/``
    were taken as rows of ``x``, including those of the item ``x/y``, so that reads were
    answered 503 permanently although the store was available and all items were done.
    """

    async def scenario():
        manager, clock = make_manager()
        names = ["x", "x/0000", "x/y", "x/y/z"]
        found = [
            attrs.evolve(item, id=n) for item, n in zip(items(), names, strict=True)
        ]
        units = split_into_units(found)
        await manager.submit_job(job(units), units, clock.monotonic() + 2)
        writer = ResultWriter(manager.store, clock)
        for name in names:
            text = f"{name} " * (MAX_ROW_TEXT_CHARS // 2)
            result = Result(name, ResultState.WHOLE, text, (1,), "x")
            writer.enqueue(PendingResult("job", "00000", result))
        await writer.drain()
        page = await manager.result_reader.read_results("job", 0, 0)
        assert isinstance(page, ResultPage), page
        assert [r.item for r in page.results] == names
        for result in page.results:
            assert set(result.text.split()) == {result.item}
            assert len(result.text) == result.size

    asyncio.run(scenario())


def test_partial_result_of_an_item_with_a_common_id_prefix_is_not_used():
    """Guards against a result whose text begins with the events of another item.

    The agent that runs ``x`` and ``x/y`` ends after it has saved more events of
    ``x/y``. Another agent resumes ``x`` from the longest partial result. Partial rows
    have keys of the form ``ITEM/SESSION``, so those of ``x/y`` were taken as rows of
    ``x``.
    """

    async def scenario():
        store, clock = MemoryTables(), ManualClock()
        rows = {"x/s": ("x", 1), "x/y/s": ("x/y", 2), "z/y/s": ("z/y", 1)}
        for key, (item, count) in rows.items():
            events = tuple(f"{item}:{n}" for n in range(count))
            value = to_row(Partial(item, events, (1,)))
            await store.commit([Write(PARTIALS, key, value, part="job")])
        partials = PartialStore(store, "other", clock)
        assert (await partials.read_longest("job", "x")).item == "x"
        assert (await partials.read_longest("job", "x/y")).item == "x/y"
        assert await partials.read_longest("job", "z") is None

    asyncio.run(scenario())


def test_ended_job_is_removed_only_after_its_retention_period():
    async def scenario():
        manager, clock = make_manager()
        await submit(manager, clock)
        await manager.end_job("job", clock.monotonic() + 1)
        chance = random.Random(0)
        for _ in range(100):
            await manager.remove_expired_jobs(chance)
        assert manager.store.rows
        clock.advance(ENDED_JOB_RETENTION_SECONDS + 1)
        for _ in range(100):
            await manager.remove_expired_jobs(chance)
        assert not manager.store.rows and not manager.jobs

    asyncio.run(scenario())


class DelayedReadTables(MemoryTables):
    """Tables whose reads are carried out at once and answered when released.

    Attributes
    ----------
    delayed : dict
        Event that answers to reads wait for, by table.
    read_started : asyncio.Event
        Set when a delayed read has been carried out.
    """

    def __init__(self):
        super().__init__()
        self.delayed = {}
        self.read_started = asyncio.Event()

    async def read(self, table, key, part=""):
        row = await super().read(table, key, part)
        if table in self.delayed:
            self.read_started.set()
            await self.delayed[table].wait()
        return row


class RemovalDuringRead:
    """Two jobs, one of which is removed while a manager reads a job."""

    def __init__(self):
        self.store = DelayedReadTables()
        self.manager, self.clock = make_manager(self.store)
        self.other, _ = make_manager(self.store)

    async def run(self, call):
        """Return the result of a call whose read is answered after the removal."""
        for name in ("job", "kept"):
            units = split_into_units(items(step=name))
            deadline = self.clock.monotonic() + 2
            await self.other.submit_job(job(units, name), units, deadline)
        answered = self.store.delayed[JOBS] = asyncio.Event()
        calling = asyncio.create_task(call)
        async with asyncio.timeout(5):
            await self.store.read_started.wait()
        await self.other.remove_job("job")
        removed = Row(JOBS, JOB_KEY, self.store.version, None, "job")
        self.manager.apply_job_rows([removed])
        del self.store.delayed[JOBS]
        answered.set()
        return await calling


def test_read_answered_after_removal_does_not_cache_the_removed_job():
    """Guards against a job that is answered 202 although nothing of it is stored.

    A gateway reads a job that it has not cached. Before the answer arrives, the job is
    removed and the gateway receives the removal. The late answer was cached
    nevertheless, and cached jobs are assumed to be stored. When the job was submitted
    again under its id, the gateway answered 202 and stored nothing; the job never had a
    result, and other gateways answered 404.
    """

    async def scenario():
        removal = RemovalDuringRead()
        await removal.run(removal.manager.result_reader.read_results("job", 0, 0))
        assert (
            not removal.manager.jobs and not removal.manager.result_reader.result_logs
        )
        assert isinstance(await submit(removal.manager, removal.clock), Committed)
        assert (JOBS, "job", JOB_KEY) in removal.store.rows

    asyncio.run(scenario())


def test_ending_a_job_that_is_removed_meanwhile_returns_missing():
    """Guards against a resubmitted job whose items never start.

    The read that precedes an end request was answered with the state before the job's
    removal. The row that marks the job as ended was then written after the removal, and
    applied to the next job with this id.
    """

    async def scenario():
        removal = RemovalDuringRead()
        deadline = removal.clock.monotonic() + 1
        outcome = await removal.run(removal.manager.end_job("job", deadline))
        assert isinstance(outcome, Missing)
        assert (JOBS, "job", END_KEY) not in removal.store.rows

    asyncio.run(scenario())


def test_job_is_read_while_another_job_is_removed():
    """The removal causes a second read of the job; the request still succeeds."""

    async def scenario():
        removal = RemovalDuringRead()
        page = await removal.run(
            removal.manager.result_reader.read_results("kept", 0, 0)
        )
        assert page.total == 4 and set(removal.manager.jobs) == {"kept"}

    asyncio.run(scenario())


def test_removed_result_rows_do_not_create_a_result_log():
    manager, _ = make_manager()
    result = to_row(Result("i", ResultState.WHOLE))
    manager.result_reader.apply_result_rows([Row(RESULTS, "i", 1, result, "job")])
    manager.apply_job_rows([Row(JOBS, JOB_KEY, 2, None, "job")])
    # The watch of the result table reports the removal later.
    manager.result_reader.apply_result_rows([Row(RESULTS, "i", 2, None, "job")])
    assert not manager.result_reader.result_logs
