"""Batch jobs at the desk: accepted once, read by position, removed when old."""

import asyncio
import random

import attrs
import pytest

from gypsumshift.jobs import Desk, Result, ResultState, split
from gypsumshift.jobs.committer import TEXT_IN_ROW, Committer, Finished
from gypsumshift.jobs.desk import KEEP_ENDED
from gypsumshift.jobs.model import JOB_KEY, JOBS, RESULTS, Claim, to_row
from gypsumshift.jobs.schedule import RepeatedItem
from gypsumshift.memory import MemoryTables
from gypsumshift.outcomes import Committed, NotRun, Unavailable, Unknown
from gypsumshift.platforms import Row
from tests.builders import FaultyTables, ManualClock
from tests.jobs_world import METRICS, items, job


def make_desk(store=None):
    clock = ManualClock()
    return Desk(store or MemoryTables(), clock, METRICS), clock


async def submit(desk, clock, groups=2):
    units = split(items(groups))
    return await desk.submit(job(units), units, clock.monotonic() + 2)


def test_a_job_submitted_twice_at_two_desks_is_one_job():
    async def play():
        one, clock = make_desk()
        other, _ = make_desk(one.store)
        assert isinstance(await submit(one, clock), Committed)
        assert isinstance(await submit(other, clock), Committed)
        rows = await one.store.scan("jobs", "", "job")
        assert len(rows) == 1
        assert (await other.read("job", 0, 0)).total == 4

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
        with pytest.raises(RepeatedItem, match=found[0].id):
            split(repeated)
    assert len(split(found)) == 2


def test_a_read_during_an_outage_says_so_where_it_cannot_be_sure():
    async def play():
        store = FaultyTables()
        desk, clock = make_desk(store)
        await submit(desk, clock)
        store.down = True
        assert isinstance(await desk.read("job", 0, 0), Unavailable)
        assert isinstance(await desk.read("other", 0, 0), Unavailable)

    asyncio.run(play())


def test_a_text_of_any_length_comes_back_whole():
    async def play():
        desk, clock = make_desk()
        await submit(desk, clock, groups=1)
        text = "0123456789" * (TEXT_IN_ROW // 4)
        committer = Committer(desk.store, clock)
        for number in (0, 1):
            result = Result(f"s-0-{number}", ResultState.WHOLE, text, (1,), "x")
            last = Claim("a", "s", done=True) if number else None
            committer.put(Finished("job", "00000", result, last))
        await committer.drain()
        page = await desk.read("job", 0, 0)
        assert [r.text for r in page.results] == [text, text]
        sizes = [len(str(row.value)) for row in desk.store.rows.values()]
        assert max(sizes) < 2 * TEXT_IN_ROW

    asyncio.run(play())


def test_an_old_job_is_removed_whole_and_a_young_one_is_kept():
    async def play():
        desk, clock = make_desk()
        await submit(desk, clock)
        await desk.end("job", clock.monotonic() + 1)
        chance = random.Random(0)
        for _ in range(100):
            await desk.sweep(chance)
        assert desk.store.rows
        clock.advance(KEEP_ENDED + 1)
        for _ in range(100):
            await desk.sweep(chance)
        assert not desk.store.rows and not desk.jobs

    asyncio.run(play())


def test_nothing_is_held_of_a_job_whose_rows_were_removed():
    desk, _ = make_desk()
    result = to_row(Result("i", ResultState.WHOLE))
    desk.take_results([Row(RESULTS, "i", 1, result, "job")])
    desk.take_jobs([Row(JOBS, JOB_KEY, 2, None, "job")])
    # Another watch tells it later.
    desk.take_results([Row(RESULTS, "i", 2, None, "job")])
    assert not desk.logs
