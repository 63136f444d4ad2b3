"""Batch jobs at the desk: accepted once, read by position, removed when old."""

import asyncio
import collections
import random

import attrs
import pytest

from gypsumshift.jobs import JobManager, Result, ResultState, split_into_units
from gypsumshift.jobs.jobmanager import ENDED_JOB_RETENTION_SECONDS, ResultPage
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
    parse_rows,
    to_row,
)
from gypsumshift.jobs.resultwriter import (
    MAX_ROW_TEXT_CHARS,
    PendingResult,
    ResultWriter,
)
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


def make_desk(store=None):
    clock = ManualClock()
    return JobManager(store or MemoryTables(), clock, METRICS), clock


async def submit(desk, clock, groups=2):
    units = split_into_units(items(groups))
    return await desk.submit_job(job(units), units, clock.monotonic() + 2)


def test_a_job_submitted_twice_at_two_desks_is_one_job():
    async def play():
        one, clock = make_desk()
        other, _ = make_desk(one.store)
        assert isinstance(await submit(one, clock), Committed)
        assert isinstance(await submit(other, clock), Committed)
        rows = await one.store.scan("jobs", "", "job")
        assert len(rows) == 1
        assert (await other.read_results("job", 0, 0)).total == 4

    asyncio.run(play())


def test_a_job_that_may_be_stored_is_never_called_refused():
    async def play():
        store = FaultyTables()
        desk, clock = make_desk(store)
        store.down = True
        assert isinstance(await submit(desk, clock), NotRun)
        store.down, store.drop_next = False, 100
        assert isinstance(await submit(desk, clock), Unknown)
        store.drop_next, store.lose_next = 0, 1
        assert isinstance(await submit(desk, clock), Committed)

    asyncio.run(play())


def test_items_with_one_id_make_no_job_and_are_named():
    """Two items with one id are refused before anything is stored of them.

    What users would see: a job of 5 items that never has more than 4 results. The
    copies may stand in one group or in two, far from each other.

    Cause: one row holds the result of an item, whatever the number of its copies.
    """
    found = items(2)
    again = attrs.evolve(found[0], group="other")
    for repeated in ([*found, again], [again, *found], [found[0], again]):
        with pytest.raises(DuplicateItemIdError, match=found[0].id):
            split_into_units(repeated)
    assert len(split_into_units(found)) == 2


def large_job(body):
    """Return the units of a job of three transactions, whose items have a body."""
    return split_into_units([attrs.evolve(item, body=body) for item in items(200)])


def unit_bodies(store):
    """Return how many units of the store have each body."""
    rows = [row for place, row in store.rows.items() if place[0] == UNITS]
    units = [unit for _, unit in parse_rows(rows, Unit)]
    return collections.Counter(unit.items[0].body for unit in units)


def test_units_of_a_job_stay_as_they_were_accepted():
    """Another body under the id of a job that runs changes none of its units.

    What users would see: a batch job whose later items are run with a body that was
    sent after the job was accepted, and results that fit neither body as a whole.

    Order of events: a job of several transactions is accepted. It comes again, with
    another body or cut into other units by another release, at a gateway that does not
    know it; or a transaction of an earlier try is carried out late.

    Cause: only the last transaction was conditional. All those before it wrote their
    units over those that stood there.
    """

    async def play():
        one, clock = make_desk()
        other, _ = make_desk(one.store)
        first, second = large_job(b"first"), large_job(b"second")
        deadline = clock.monotonic() + 2
        assert isinstance(await one.submit_job(job(first), first, deadline), Committed)
        assert isinstance(
            await other.submit_job(job(second), second, deadline), Committed
        )
        assert unit_bodies(one.store) == {b"first": 200}
        for late in other.job_transactions(job(second), second):
            assert isinstance(await one.store.commit(late), Conflict)

    asyncio.run(play())


def test_a_job_whose_first_try_was_cut_off_is_whole_after_the_next_one():
    """A try at another gateway makes a job whole, also with another body."""

    async def play(body):
        one, clock = make_desk()
        other, _ = make_desk(one.store)
        first, second = large_job(b"first"), large_job(body)
        for batch in one.job_transactions(job(first), first)[:-1]:
            assert isinstance(await one.store.commit(batch), Committed)
        deadline = clock.monotonic() + 2
        assert isinstance(
            await other.submit_job(job(second), second, deadline), Committed
        )
        assert isinstance(await one.submit_job(job(first), first, deadline), Committed)
        assert unit_bodies(one.store) == {body: 200}

    asyncio.run(play(b"first"))
    asyncio.run(play(b"second"))


def test_a_read_during_an_outage_says_so_where_it_cannot_be_sure():
    async def play():
        store = FaultyTables()
        desk, clock = make_desk(store)
        await submit(desk, clock)
        store.down = True
        assert isinstance(await desk.read_results("job", 0, 0), Unavailable)
        assert isinstance(await desk.read_results("other", 0, 0), Unavailable)

    asyncio.run(play())


def test_a_text_of_any_length_comes_back_whole():
    async def play():
        desk, clock = make_desk()
        await submit(desk, clock, groups=1)
        text = "0123456789" * (MAX_ROW_TEXT_CHARS // 4)
        committer = ResultWriter(desk.store, clock)
        for number in (0, 1):
            result = Result(f"s-0-{number}", ResultState.WHOLE, text, (1,), "x")
            last = Claim("a", "s", done=True) if number else None
            committer.enqueue(PendingResult("job", "00000", result, last))
        await committer.drain()
        page = await desk.read_results("job", 0, 0)
        assert [r.text for r in page.results] == [text, text]
        sizes = [len(str(row.value)) for row in desk.store.rows.values()]
        assert max(sizes) < 2 * MAX_ROW_TEXT_CHARS

    asyncio.run(play())


def test_texts_of_items_whose_ids_begin_alike_are_each_read_whole():
    """The text of an item is made of its own rows, whatever other items are called.

    What users would see: a batch job that is answered 503 from one position on, for
    good, though the store answers and all its items are done.

    Cause: the texts' rows are ``ITEM/NUMBER``, and all rows that begin with ``x/`` were
    taken for those of ``x``, also those of the item ``x/y``.
    """

    async def play():
        desk, clock = make_desk()
        names = ["x", "x/0000", "x/y", "x/y/z"]
        found = [
            attrs.evolve(item, id=n) for item, n in zip(items(), names, strict=True)
        ]
        units = split_into_units(found)
        await desk.submit_job(job(units), units, clock.monotonic() + 2)
        committer = ResultWriter(desk.store, clock)
        for name in names:
            text = f"{name} " * (MAX_ROW_TEXT_CHARS // 2)
            result = Result(name, ResultState.WHOLE, text, (1,), "x")
            committer.enqueue(PendingResult("job", "00000", result))
        await committer.drain()
        page = await desk.read_results("job", 0, 0)
        assert isinstance(page, ResultPage), page
        assert [r.item for r in page.results] == names
        for result in page.results:
            assert set(result.text.split()) == {result.item}
            assert len(result.text) == result.size

    asyncio.run(play())


def test_an_item_is_resumed_from_its_own_events_only():
    """What was saved of an item is not taken for another whose id begins alike.

    What users would see: a result whose text begins with the events of another item.

    Order of events: the agent that runs ``x`` and ``x/y`` ends; of ``x/y`` more was
    saved. The next agent goes on with ``x`` behind the longest text that was saved.

    Cause: as above, for rows ``ITEM/SESSION``.
    """

    async def play():
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

    asyncio.run(play())


def test_an_old_job_is_removed_whole_and_a_young_one_is_kept():
    async def play():
        desk, clock = make_desk()
        await submit(desk, clock)
        await desk.end_job("job", clock.monotonic() + 1)
        chance = random.Random(0)
        for _ in range(100):
            await desk.remove_expired_jobs(chance)
        assert desk.store.rows
        clock.advance(ENDED_JOB_RETENTION_SECONDS + 1)
        for _ in range(100):
            await desk.remove_expired_jobs(chance)
        assert not desk.store.rows and not desk.jobs

    asyncio.run(play())


class HeldReads(MemoryTables):
    """Tables that carry reads of a table out at once, and answer when told to."""

    def __init__(self):
        super().__init__()
        self.held = {}
        self.asked = asyncio.Event()

    async def read(self, table, key, part=""):
        row = await super().read(table, key, part)
        if table in self.held:
            self.asked.set()
            await self.held[table].wait()
        return row


class Removal:
    """One of two jobs is removed, and a desk is told so while it reads a job."""

    def __init__(self):
        self.store = HeldReads()
        self.desk, self.clock = make_desk(self.store)
        self.other, _ = make_desk(self.store)

    async def play(self, call):
        """Return what becomes of a call at that desk whose read is answered last."""
        for name in ("job", "kept"):
            units = split_into_units(items(step=name))
            deadline = self.clock.monotonic() + 2
            await self.other.submit_job(job(units, name), units, deadline)
        answered = self.store.held[JOBS] = asyncio.Event()
        calling = asyncio.create_task(call)
        async with asyncio.timeout(5):
            await self.store.asked.wait()
        await self.other.remove_job("job")
        self.desk.apply_job_rows([Row(JOBS, JOB_KEY, self.store.version, None, "job")])
        del self.store.held[JOBS]
        answered.set()
        return await calling


def test_a_late_read_does_not_bring_a_removed_job_back():
    """A read that was in flight while a job was removed leaves nothing of the job.

    What users would see: a batch job that is submitted and answered 202, and of which
    nothing is stored. It never has a result, and other gateways answer 404 for it.

    Order of events: a gateway asks the store for a job that it does not know. The job
    is removed, and the gateway is told so, before that answer comes. The job is
    submitted again under its id at this gateway.

    Cause: the late answer was put among the known jobs without regard to the removal,
    which is told once, and a known job is taken as stored.
    """

    async def play():
        removal = Removal()
        await removal.play(removal.desk.read_results("job", 0, 0))
        assert not removal.desk.jobs and not removal.desk.result_logs
        assert isinstance(await submit(removal.desk, removal.clock), Committed)
        assert (JOBS, "job", JOB_KEY) in removal.store.rows

    asyncio.run(play())


def test_a_late_read_does_not_end_a_removed_job():
    """A job that is removed while its end is asked for is not there any more.

    What users would see: a batch job that is submitted anew and whose items never
    start, since a row that ends it was written behind the removal of the one before.

    Cause: as above; the answer to the read was older than the removal that was told.
    """

    async def play():
        removal = Removal()
        deadline = removal.clock.monotonic() + 1
        outcome = await removal.play(removal.desk.end_job("job", deadline))
        assert isinstance(outcome, Missing)
        assert (JOBS, "job", END_KEY) not in removal.store.rows

    asyncio.run(play())


def test_a_job_that_is_read_while_another_is_removed_is_found():
    """The removal of one job costs a second read of another, and no answer."""

    async def play():
        removal = Removal()
        page = await removal.play(removal.desk.read_results("kept", 0, 0))
        assert page.total == 4 and set(removal.desk.jobs) == {"kept"}

    asyncio.run(play())


def test_nothing_is_held_of_a_job_whose_rows_were_removed():
    desk, _ = make_desk()
    result = to_row(Result("i", ResultState.WHOLE))
    desk.apply_result_rows([Row(RESULTS, "i", 1, result, "job")])
    desk.apply_job_rows([Row(JOBS, JOB_KEY, 2, None, "job")])
    # Another watch tells it later.
    desk.apply_result_rows([Row(RESULTS, "i", 2, None, "job")])
    assert not desk.result_logs
