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
from gypsumshift.jobs.partials import rows_of_item
from gypsumshift.jobs.records import (
    END_KEY,
    JOB_KEY,
    JOB_TABLES,
    JOBS,
    RESULTS,
    TEXTS,
    UNITS,
    InvalidRowError,
    Job,
    Result,
    Unit,
    from_row,
    parse_row,
    to_row,
)
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

__all__ = ["JobManager", "ResultPage"]

# Rows and bytes of one transaction, below the 100 and 1 MB that a store takes.
MAX_TRANSACTION_ROWS = 90
MAX_TRANSACTION_BYTES = 700_000
# Bytes of an item's row beside its bodies: names, headers and what encodes them. The
# bodies are encoded twice, by a third each time, and are taken for doubled.
ITEM_OVERHEAD_BYTES = 800
# Characters of text in one page of results: 0.07 s on a link of 30 Mbit/s.
MAX_PAGE_TEXT_CHARS = 250_000
# Texts that are read from the store at once: enough for a page in some 20 ms.
MAX_CONCURRENT_TEXT_READS = 12
# Seconds between tries to settle a write whose answer was lost.
WRITE_RETRY_SECONDS = 0.1
# A copy that was not known to be current within this time is checked: results
# must be seen everywhere a second after they were read somewhere.
MAX_COPY_AGE_SECONDS = 0.9
# Seconds after which a caller may submit again: the store refuses for moments.
RETRY_AFTER_SECONDS = 0.5
# Seconds between answers of the table of results, which every gateway follows: a fifth
# of the time between two reads of a trainer.
RESULTS_GATHER_SECONDS = 0.1
# Seconds that ended jobs are kept for readers; the users ask for 120.
ENDED_JOB_RETENTION_SECONDS = 150.0
# Chance with which a process removes an old job, at each of its sweeps a second
# apart: of 40 processes two try, and one alone has it done in half a minute.
REMOVAL_PROBABILITY = 0.05

log = logs.logger("desk")


@attrs.frozen
class ResultPage:
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


class JobManager:
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
        self.ended_at: dict[str, float] = {}
        self.removal_count = 0
        self.result_logs: dict[str, ResultLog] = {}
        self.text_read_limit = asyncio.Semaphore(MAX_CONCURRENT_TEXT_READS)
        self.job_watch = Watch(
            store, JOBS, self.apply_job_rows, self.apply_job_rows, clock
        )
        self.result_watch = Watch(
            store,
            RESULTS,
            self.apply_result_rows,
            self.apply_result_rows,
            clock,
            gather=RESULTS_GATHER_SECONDS,
        )
        self.watches = [self.job_watch, self.result_watch]

    def apply_job_rows(self, rows: list[Row]) -> None:
        """Take rows of the table of jobs."""
        for row in rows:
            if row.value is None:
                self.drop_cached_job(row.part)
            elif row.key == JOB_KEY:
                self.add_job(row)
            elif row.key == END_KEY:
                self.ended_at.setdefault(row.part, self.clock.monotonic())

    def add_job(self, row: Row) -> None:
        """Take the row that makes a batch job exist."""
        job = parse_row(row, Job)
        if job is not None:
            self.jobs[row.part] = job

    def apply_result_rows(self, rows: list[Row]) -> None:
        """Take rows of the table of results."""
        parts: dict[str, list[Row]] = {}
        for row in rows:
            if row.value is not None:
                parts.setdefault(row.part, []).append(row)
        for part, own in parts.items():
            self.result_log(part).add_rows(own)

    def result_log(self, job_id: str) -> ResultLog:
        """Return the results of a job."""
        return self.result_logs.setdefault(job_id, ResultLog())

    async def remove_expired_jobs(self, chance: random.Random) -> None:
        """Remove jobs that ended long ago from the store, each by some process.

        Every process may do it: the first one removes the rows, and the others are
        told so. By chance, since all see an end at the same time.
        """
        horizon = self.clock.monotonic() - ENDED_JOB_RETENTION_SECONDS
        for job_id in [j for j, at in self.ended_at.items() if at < horizon]:
            if chance.random() < REMOVAL_PROBABILITY:
                await self.remove_job(job_id)

    async def remove_job(self, job_id: str) -> None:
        """Remove all rows of a job, those that make it exist last."""
        for table in JOB_TABLES:
            rows = await self.store.scan(table, "", job_id)
            if isinstance(rows, Unavailable):
                return
            for start in range(0, len(rows), MAX_TRANSACTION_ROWS):
                batch = rows[start : start + MAX_TRANSACTION_ROWS]
                writes = [Write(table, row.key, None, part=job_id) for row in batch]
                outcome = await self.store.commit(writes)
                if not isinstance(outcome, Committed):
                    return
        logs.event(log, "A batch job is removed.", job=job_id)
        self.drop_cached_job(job_id)

    def drop_cached_job(self, job_id: str) -> None:
        """Drop what is held in memory of a job; the store may still have it."""
        self.removal_count += 1
        self.jobs.pop(job_id, None)
        self.ended_at.pop(job_id, None)
        self.result_logs.pop(job_id, None)

    async def submit_job(
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
        for batch in self.job_transactions(job, units):
            outcome = await self.write_until_certain(batch, deadline)
            if isinstance(outcome, Conflict):
                return Committed()
            uncertain = uncertain or isinstance(outcome, Unknown)
            if not isinstance(outcome, Committed):
                return self.report_not_accepted(job, outcome, uncertain)
        self.metrics.count("jobs", outcome="accepted")
        logs.event(
            log,
            "A batch job is accepted.",
            job=job.id,
            items=job.item_count,
            groups=len({unit.group for unit in job.units}),
            groups_needed=job.groups_needed,
            model=job.model,
            step=job.step,
            oldest_version=job.oldest_version,
            store_version=outcome.version,
        )
        self.jobs[job.id] = job
        return outcome

    def report_not_accepted(self, job, outcome, uncertain: bool) -> NotRun | Unknown:
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
        return NotRun(outcome.reason, datetime.timedelta(seconds=RETRY_AFTER_SECONDS))

    def job_transactions(self, job: Job, units: list[Unit]) -> list[list[Write]]:
        """Return the transactions of a job; the last one makes it exist."""
        batches: list[list[Write]] = [[]]
        size = 0
        for unit in units:
            added = sum(
                2 * item.body_bytes + ITEM_OVERHEAD_BYTES for item in unit.items
            )
            if (
                len(batches[-1]) >= MAX_TRANSACTION_ROWS
                or size + added > MAX_TRANSACTION_BYTES
            ):
                batches.append([])
                size = 0
            batches[-1].append(Write(UNITS, unit.key, to_row(unit), part=job.id))
            size += added
        row = Write(JOBS, JOB_KEY, to_row(job), ABSENT, part=job.id)
        # Units are written only while there is no job: else another body under its id
        # replaced 180 of 200 units of a job that ran, and a late write may do so, too.
        absent = attrs.evolve(row, value=None, check=True)
        return [[*batch, absent] for batch in batches[:-1]] + [[*batches[-1], row]]

    async def write_until_certain(self, writes: list[Write], deadline: float):
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
            if left <= WRITE_RETRY_SECONDS:
                return uncertain or outcome
            await self.clock.sleep(WRITE_RETRY_SECONDS)

    async def find_job(self, job_id: str) -> Job | Missing | Unavailable:
        """Return a job, from the store where it is not known here."""
        while job_id not in self.jobs:
            removals = self.removal_count
            row = await self.store.read(JOBS, JOB_KEY, job_id)
            if not isinstance(row, Row):
                return row
            try:
                job = from_row(row.value, Job)
            except InvalidRowError as error:
                return Unavailable(str(error))
            # An answer may be older than a removal told while it was on its way. Kept,
            # it had the next submission of the job answered 202 with 0 rows stored.
            if self.removal_count == removals:
                self.jobs[job_id] = job
        return self.jobs[job_id]

    async def read_results(
        self, job_id: str, after: int, wait: float
    ) -> ResultPage | Missing | Unavailable:
        """Return results of a job from a position on.

        Parameters
        ----------
        job_id : str
        after : int
        wait : float
            Seconds to wait for the first result.
        """
        known = job_id in self.jobs
        job = await self.find_job(job_id)
        if not isinstance(job, Job):
            return job
        results = self.result_log(job_id)
        if known and after == len(results) < job.item_count and wait > 0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await results.changed.wait()
        if after >= len(results) and len(results) < job.item_count:
            outcome = await self.refresh_results(job_id, after, known)
            if isinstance(outcome, Unavailable):
                return outcome
        page = results.page(after, MAX_PAGE_TEXT_CHARS)
        texts = await asyncio.gather(*(self.read_text(job_id, r) for r in page))
        missing = [text for text in texts if not isinstance(text, str)]
        if missing:
            return missing[0]
        whole = zip(page, texts, strict=True)
        found = [attrs.evolve(result, text=text) for result, text in whole]
        return ResultPage(job.item_count, found, after + len(found))

    async def read_text(self, job_id: str, result: Result) -> str | Unavailable:
        """Return the text of a result, from rows of its own."""
        if not result.pieces:
            return result.text
        async with self.text_read_limit:
            rows = await self.store.scan(TEXTS, f"{result.item}/", job_id)
        if isinstance(rows, Unavailable):
            return rows
        own = rows_of_item(rows, result.item)
        if len(own) != result.pieces:
            return Unavailable("a text is not whole yet")
        return "".join(str(row.value.get("text", "")) for row in own)

    async def refresh_results(
        self, job_id: str, after: int, known: bool
    ) -> Unavailable | None:
        """Read a job's results from the store where the copy may be behind."""
        results = self.result_log(job_id)
        behind = (
            self.clock.monotonic() - self.result_watch.current_at > MAX_COPY_AGE_SECONDS
        )
        if known and after == len(results) and not behind:
            return None
        rows = await self.store.scan(RESULTS, "", job_id)
        if isinstance(rows, Unavailable):
            return rows
        results.add_rows(rows)
        return None

    async def read_item_body(
        self, job_id: str, item_id: str
    ) -> bytes | Missing | Unavailable:
        """Return the body of an item."""
        job = await self.find_job(job_id)
        if not isinstance(job, Job):
            return job
        key = job.unit_key_of(item_id)
        if key is None:
            return Missing()
        row = await self.store.read(UNITS, key, job_id)
        if not isinstance(row, Row):
            return row
        try:
            unit = from_row(row.value, Unit)
        except InvalidRowError as error:
            return Unavailable(str(error))
        bodies = (item.body for item in unit.items if item.id == item_id)
        return next(bodies, Unavailable("the unit does not hold the item"))

    async def end_job(self, job_id: str, deadline: float):
        """End a job: no more of its items are started.

        Returns
        -------
        Committed, Missing, Unavailable or Unknown
        """
        if job_id in self.ended_at:
            return Committed()
        job = await self.find_job(job_id)
        if not isinstance(job, Job):
            return job
        outcome = await self.write_until_certain(
            [Write(JOBS, END_KEY, {"ended": True}, part=job_id)], deadline
        )
        if isinstance(outcome, Committed):
            logs.event(log, "A batch job is ended.", job=job_id)
            self.ended_at.setdefault(job_id, self.clock.monotonic())
        return outcome
