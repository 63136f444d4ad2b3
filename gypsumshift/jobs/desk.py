"""Desk: where batch jobs are submitted, read and ended.

Nothing is promised before the store has it. Reads are served from a copy that
follows the store, and from the store itself where the copy may be behind.
"""

import asyncio
import contextlib
import datetime
import random

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.jobs.model import (
    END_KEY,
    JOB_KEY,
    JOBS,
    RESULTS,
    TABLES,
    TEXTS,
    UNITS,
    ForeignRow,
    Job,
    Result,
    Unit,
    from_row,
    parse_row,
    to_row,
)
from gypsumshift.jobs.partials import rows_of_item
from gypsumshift.jobs.resultlog import ResultLog
from gypsumshift.metrics import Metrics
from gypsumshift.outcomes import (
    Committed,
    Conflict,
    Missing,
    NotRun,
    Unavailable,
    Unknown,
)
from gypsumshift.platforms import ABSENT, Row, RowStore, Write
from gypsumshift.watch import Watch

__all__ = ["Desk", "Page"]

# Rows and bytes of one transaction, below the 100 and 1 MB that a store takes.
WRITES_AT_ONCE = 90
BYTES_AT_ONCE = 700_000
# Bytes of an item's row beside its bodies: names, headers and what encodes them. The
# bodies are encoded twice, by a third each time, and are taken for doubled.
ITEM_OVERHEAD = 800
# Characters of text in one page of results: 0.07 s on a link of 30 Mbit/s.
PAGE_SIZE = 250_000
# Texts that are read from the store at once: enough for a page in some 20 ms.
READS_AT_ONCE = 12
# Seconds between tries to settle a write whose answer was lost.
SETTLE_PAUSE = 0.1
# A copy that was not known to be current within this time is checked: results
# must be seen everywhere a second after they were read somewhere.
FRESH = 0.9
# Seconds after which a caller may submit again: the store refuses for moments.
RETRY_AFTER = 0.5
# Seconds between answers of the table of results, which every gateway follows: a fifth
# of the time between two reads of a trainer.
RESULTS_GATHER = 0.1
# Seconds that ended jobs are kept for readers; the users ask for 120.
KEEP_ENDED = 150.0
# Chance with which a process removes an old job, at each of its sweeps a second
# apart: of 40 processes two try, and one alone has it done in half a minute.
SWEEP_SHARE = 0.05

log = logs.logger("desk")


@attrs.frozen
class Page:
    """Some results of a batch job.

    Attributes
    ----------
    total : int
        Items of the job.
    results : list of Result
        From the position asked for on.
    next : int
        Position behind them.
    """

    total: int
    results: list[Result]
    next: int


class Desk:
    """Takes batch jobs and gives their results.

    Parameters
    ----------
    store : RowStore
    clock : Clock
    metrics : Metrics

    Attributes
    ----------
    jobs : dict
        `Job` by id, as far as known here.
    ended : dict
        When a job was seen to have ended, by the monotonic clock, in seconds.
    removals : int
        How often a job was told to be removed; any of them has a read of a job repeated
        that was in flight, so that none need be remembered by its id.
    watches : list of Watch
        To be run by the owner.
    """

    def __init__(self, store: RowStore, clock: Clock, metrics: Metrics):
        self.store = store
        self.clock = clock
        self.metrics = metrics
        self.jobs: dict[str, Job] = {}
        self.ended: dict[str, float] = {}
        self.removals = 0
        self.logs: dict[str, ResultLog] = {}
        self.reading = asyncio.Semaphore(READS_AT_ONCE)
        self.job_watch = Watch(store, JOBS, self.take_jobs, self.take_jobs, clock)
        self.result_watch = Watch(
            store,
            RESULTS,
            self.take_results,
            self.take_results,
            clock,
            gather=RESULTS_GATHER,
        )
        self.watches = [self.job_watch, self.result_watch]

    def take_jobs(self, rows: list[Row]) -> None:
        """Take rows of the table of jobs."""
        for row in rows:
            if row.value is None:
                self.forget(row.part)
            elif row.key == JOB_KEY:
                self.take_job(row)
            elif row.key == END_KEY:
                self.ended.setdefault(row.part, self.clock.monotonic())

    def take_job(self, row: Row) -> None:
        """Take the row that makes a batch job exist."""
        job = parse_row(row, Job)
        if job is not None:
            self.jobs[row.part] = job

    def take_results(self, rows: list[Row]) -> None:
        """Take rows of the table of results."""
        parts: dict[str, list[Row]] = {}
        for row in rows:
            if row.value is not None:
                parts.setdefault(row.part, []).append(row)
        for part, own in parts.items():
            self.log_of(part).take(own)

    def log_of(self, job_id: str) -> ResultLog:
        """Return the results of a job."""
        return self.logs.setdefault(job_id, ResultLog())

    async def sweep(self, chance: random.Random) -> None:
        """Remove jobs that ended long ago from the store, each by some process.

        Every process may do it: the first one removes the rows, and the others are
        told so. By chance, since all see an end at the same time.
        """
        horizon = self.clock.monotonic() - KEEP_ENDED
        for job_id in [j for j, at in self.ended.items() if at < horizon]:
            if chance.random() < SWEEP_SHARE:
                await self.remove(job_id)

    async def remove(self, job_id: str) -> None:
        """Remove all rows of a job, those that make it exist last."""
        for table in TABLES:
            rows = await self.store.scan(table, "", job_id)
            if isinstance(rows, Unavailable):
                return
            for start in range(0, len(rows), WRITES_AT_ONCE):
                batch = rows[start : start + WRITES_AT_ONCE]
                writes = [Write(table, row.key, None, part=job_id) for row in batch]
                outcome = await self.store.commit(writes)
                if not isinstance(outcome, Committed):
                    return
        logs.event(log, "A batch job is removed.", job=job_id)
        self.forget(job_id)

    def forget(self, job_id: str) -> None:
        """Drop what is held in memory of a job; the store may still have it."""
        self.removals += 1
        self.jobs.pop(job_id, None)
        self.ended.pop(job_id, None)
        self.logs.pop(job_id, None)

    async def submit(
        self, job: Job, units: list[Unit], deadline: float
    ) -> Committed | NotRun | Unknown:
        """Accept a batch job once, however often it comes.

        Parameters
        ----------
        job : Job
        units : list of Unit
        deadline : float
            By the monotonic clock, in seconds; the outcome is unknown behind it.
        """
        if job.id in self.jobs:
            return Committed()
        uncertain = False
        for batch in self.batches(job, units):
            outcome = await self.write(batch, deadline)
            if isinstance(outcome, Conflict):
                return Committed()
            uncertain = uncertain or isinstance(outcome, Unknown)
            if not isinstance(outcome, Committed):
                return self.not_accepted(job, outcome, uncertain)
        self.metrics.count("jobs", outcome="accepted")
        logs.event(
            log,
            "A batch job is accepted.",
            job=job.id,
            items=job.total,
            groups=len({unit.group for unit in job.units}),
            groups_needed=job.groups_needed,
            model=job.model,
            step=job.step,
            oldest_version=job.oldest_version,
            store_version=outcome.version,
        )
        self.jobs[job.id] = job
        return outcome

    def not_accepted(self, job, outcome, uncertain: bool) -> NotRun | Unknown:
        """Say truthfully what became of a job that was not accepted for certain."""
        self.metrics.count("jobs", outcome="unknown" if uncertain else "refused")
        logs.event(
            log,
            "A batch job is not accepted.",
            job=job.id,
            reason=outcome.reason,
            may_be_stored=uncertain,
        )
        if uncertain:
            return Unknown(outcome.reason)
        return NotRun(outcome.reason, datetime.timedelta(seconds=RETRY_AFTER))

    def batches(self, job: Job, units: list[Unit]) -> list[list[Write]]:
        """Return the transactions of a job; the last one makes it exist."""
        batches: list[list[Write]] = [[]]
        size = 0
        for unit in units:
            added = sum(2 * item.size + ITEM_OVERHEAD for item in unit.items)
            if len(batches[-1]) >= WRITES_AT_ONCE or size + added > BYTES_AT_ONCE:
                batches.append([])
                size = 0
            batches[-1].append(Write(UNITS, unit.key, to_row(unit), part=job.id))
            size += added
        row = Write(JOBS, JOB_KEY, to_row(job), ABSENT, part=job.id)
        # Units are written only while there is no job: else another body under its id
        # replaced 180 of 200 units of a job that ran, and a late write may do so, too.
        absent = attrs.evolve(row, value=None, check=True)
        return [[*batch, absent] for batch in batches[:-1]] + [[*batches[-1], row]]

    async def write(self, writes: list[Write], deadline: float):
        """Write until the outcome is certain, or the deadline has passed.

        The rows are the same on each try, or conditional on what is absent, so trying
        again does no harm.
        """
        uncertain = None
        while True:
            outcome = await self.store.commit(writes)
            if isinstance(outcome, (Committed, Conflict)):
                return outcome
            if isinstance(outcome, Unknown):
                uncertain = outcome
            left = deadline - self.clock.monotonic()
            if left <= SETTLE_PAUSE:
                return uncertain or outcome
            await self.clock.sleep(SETTLE_PAUSE)

    async def find(self, job_id: str) -> Job | Missing | Unavailable:
        """Return a job, from the store where it is not known here."""
        while job_id not in self.jobs:
            removals = self.removals
            row = await self.store.read(JOBS, JOB_KEY, job_id)
            if not isinstance(row, Row):
                return row
            try:
                job = from_row(row.value, Job)
            except ForeignRow as error:
                return Unavailable(str(error))
            # An answer may be older than a removal told while it was on its way. Kept,
            # it had the next submission of the job answered 202 with 0 rows stored.
            if self.removals == removals:
                self.jobs[job_id] = job
        return self.jobs[job_id]

    async def read(
        self, job_id: str, after: int, wait: float
    ) -> Page | Missing | Unavailable:
        """Return results of a job from a position on.

        Parameters
        ----------
        job_id : str
        after : int
        wait : float
            Seconds to wait for the first result.
        """
        known = job_id in self.jobs
        job = await self.find(job_id)
        if not isinstance(job, Job):
            return job
        results = self.log_of(job_id)
        if known and after == len(results) < job.total and wait > 0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await results.changed.wait()
        if after >= len(results) and len(results) < job.total:
            outcome = await self.refresh(job_id, after, known)
            if isinstance(outcome, Unavailable):
                return outcome
        page = results.page(after, PAGE_SIZE)
        texts = await asyncio.gather(*(self.text(job_id, r) for r in page))
        missing = [text for text in texts if not isinstance(text, str)]
        if missing:
            return missing[0]
        whole = zip(page, texts, strict=True)
        found = [attrs.evolve(result, text=text) for result, text in whole]
        return Page(job.total, found, after + len(found))

    async def text(self, job_id: str, result: Result) -> str | Unavailable:
        """Return the text of a result, from rows of its own."""
        if not result.pieces:
            return result.text
        async with self.reading:
            rows = await self.store.scan(TEXTS, f"{result.item}/", job_id)
        if isinstance(rows, Unavailable):
            return rows
        own = rows_of_item(rows, result.item)
        if len(own) != result.pieces:
            return Unavailable("a text is not whole yet")
        return "".join(str(row.value.get("text", "")) for row in own)

    async def refresh(self, job_id: str, after: int, known: bool) -> Unavailable | None:
        """Read a job's results from the store where the copy may be behind."""
        results = self.log_of(job_id)
        behind = self.clock.monotonic() - self.result_watch.current_at > FRESH
        if known and after == len(results) and not behind:
            return None
        rows = await self.store.scan(RESULTS, "", job_id)
        if isinstance(rows, Unavailable):
            return rows
        results.take(rows)
        return None

    async def body(self, job_id: str, item_id: str) -> bytes | Missing | Unavailable:
        """Return the body of an item."""
        job = await self.find(job_id)
        if not isinstance(job, Job):
            return job
        key = job.unit_of(item_id)
        if key is None:
            return Missing()
        row = await self.store.read(UNITS, key, job_id)
        if not isinstance(row, Row):
            return row
        try:
            unit = from_row(row.value, Unit)
        except ForeignRow as error:
            return Unavailable(str(error))
        bodies = (item.body for item in unit.items if item.id == item_id)
        return next(bodies, Unavailable("the unit does not hold the item"))

    async def end(self, job_id: str, deadline: float):
        """End a job: no more of its items are started.

        Returns
        -------
        Committed, Missing, Unavailable or Unknown
        """
        if job_id in self.ended:
            return Committed()
        job = await self.find(job_id)
        if not isinstance(job, Job):
            return job
        outcome = await self.write(
            [Write(JOBS, END_KEY, {"ended": True}, part=job_id)], deadline
        )
        if isinstance(outcome, Committed):
            logs.event(log, "A batch job is ended.", job=job_id)
            self.ended.setdefault(job_id, self.clock.monotonic())
        return outcome
