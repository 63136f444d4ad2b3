"""Accept, find, end and remove batch jobs.

A job is acknowledged only after it has been written to the store.
"""

import datetime
import random
from collections.abc import Callable

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.jobs.records import (
    END_KEY,
    JOB_KEY,
    JOB_TABLES,
    JOBS,
    UNITS,
    Job,
    Unit,
)
from gypsumshift.jobs.resultreader import ResultReader
from gypsumshift.jobs.rowcodec import InvalidRowError, from_row, parse_row, to_row
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

__all__ = ["ENDED_JOB_RETENTION_SECONDS", "JobManager"]

# Limits of one transaction, below the 100 rows and 1 MB that the store accepts.
MAX_TRANSACTION_ROWS = 90
MAX_TRANSACTION_BYTES = 700_000
# Bytes of an item's row besides its bodies: names, headers and their encoding. Bodies
# are base64-encoded twice, each time growing by a third; twice their size is assumed.
ITEM_OVERHEAD_BYTES = 800
# Delay between attempts of a write that failed or whose outcome is unknown.
WRITE_RETRY_SECONDS = 0.1
# Delay that a refused caller is asked to wait before it submits again; the store
# refuses writes for short periods only.
RETRY_AFTER_SECONDS = 0.5
# Time for which ended jobs remain readable; the requirement is 120 s.
ENDED_JOB_RETENTION_SECONDS = 150.0
# Probability that a process removes an expired job at each check, one second apart:
# of 40 processes two try at a time, and a single one succeeds within half a minute.
REMOVAL_PROBABILITY = 0.05

log = logs.logger("desk")


class JobManager:
    """Accepts, finds, ends and removes batch jobs.

    Parameters
    ----------
    store : RowStore
    clock : Clock
    metrics : Metrics

    Attributes
    ----------
    jobs : dict
        Cached `Job` by id.
    ended_at : dict
        Time at which a job was seen to have ended, by id, in seconds of the monotonic
        clock.
    removal_count : int
        Number of job removals seen. A read of a job that was in flight during any
        removal is repeated, so that ids of removed jobs need not be kept.
    submitting : dict
        `Job` by id, of the jobs that are being stored.
    may_read : callable
        Returns whether this process may read the bodies of a job, given the id; see
        `residency`.
    result_reader : ResultReader
        Reads the results of the jobs.
    watches : list of Watch
        Watches of the store's tables, to be run by the owner.
    """

    def __init__(self, store: RowStore, clock: Clock, metrics: Metrics):
        self.store = store
        self.clock = clock
        self.metrics = metrics
        self.jobs: dict[str, Job] = {}
        self.ended_at: dict[str, float] = {}
        self.removal_count = 0
        self.submitting: dict[str, Job] = {}
        self.may_read: Callable[[str], bool] = lambda job_id: True
        self.job_watch = Watch(
            store, JOBS, self.apply_job_rows, self.apply_job_rows, clock
        )
        self.result_reader = ResultReader(store, clock, self.jobs, self.find_job)
        self.watches = [self.job_watch, self.result_reader.result_watch]

    def apply_job_rows(self, rows: list[Row]) -> None:
        """Update the cached jobs from rows of the job table."""
        for row in rows:
            if row.value is None:
                self.drop_cached_job(row.part)
            elif row.key == JOB_KEY:
                self.add_job(row)
            elif row.key == END_KEY:
                self.ended_at.setdefault(row.part, self.clock.monotonic())

    def add_job(self, row: Row) -> None:
        """Add the job that a row defines to the cache."""
        job = parse_row(row, Job)
        if job is not None:
            self.jobs[row.part] = job

    async def remove_expired_jobs(self, chance: random.Random) -> None:
        """Remove jobs from the store whose retention period has passed.

        Every process runs this; the first to try removes the rows, and the others see
        the removal in the store's changes. Each tries with a small probability, since
        all of them see a job end at the same time.
        """
        horizon = self.clock.monotonic() - ENDED_JOB_RETENTION_SECONDS
        for job_id in [j for j, at in self.ended_at.items() if at < horizon]:
            # A removal reads all rows of the job, with the bodies of its items.
            if chance.random() < REMOVAL_PROBABILITY and self.may_read(job_id):
                await self.remove_job(job_id)

    async def remove_job(self, job_id: str) -> None:
        """Remove all rows of a job from the store, those of the job table last."""
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
        logs.event(log, "An expired batch job is removed from the store.", job=job_id)
        self.drop_cached_job(job_id)

    def drop_cached_job(self, job_id: str) -> None:
        """Remove a job from the caches; the store may still hold it."""
        self.removal_count += 1
        self.jobs.pop(job_id, None)
        self.ended_at.pop(job_id, None)
        self.result_reader.result_logs.pop(job_id, None)

    async def submit_job(
        self, job: Job, units: list[Unit], deadline: float
    ) -> Committed | NotRun | Unknown:
        """Store a batch job; repeated submissions under one id have no effect.

        Parameters
        ----------
        job : Job
        units : list of Unit
        deadline : float
            In seconds of the monotonic clock. A write whose outcome is uncertain at
            this time is reported as unknown.
        """
        if job.id in self.jobs:
            return Committed()
        self.submitting[job.id] = job
        try:
            return await self.store_job(job, units, deadline)
        finally:
            self.submitting.pop(job.id, None)

    async def store_job(
        self, job: Job, units: list[Unit], deadline: float
    ) -> Committed | NotRun | Unknown:
        """Write the rows of a new batch job; see `submit_job`."""
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

    def find_known(self, job_id: str) -> Job | None:
        """Return a job that is in the cache or being stored; None otherwise."""
        return self.jobs.get(job_id) or self.submitting.get(job_id)

    def report_not_accepted(self, job, outcome, uncertain: bool) -> NotRun | Unknown:
        """Log a failed submission; return `Unknown` if the job may be stored."""
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
        """Return the transactions that store a job; the last one adds the job row."""
        transactions: list[list[Write]] = [[]]
        size = 0
        for unit in units:
            unit_bytes = sum(
                2 * item.body_bytes + ITEM_OVERHEAD_BYTES for item in unit.items
            )
            if (
                len(transactions[-1]) >= MAX_TRANSACTION_ROWS
                or size + unit_bytes > MAX_TRANSACTION_BYTES
            ):
                transactions.append([])
                size = 0
            transactions[-1].append(Write(UNITS, unit.key, to_row(unit), part=job.id))
            size += unit_bytes
        row = Write(JOBS, JOB_KEY, to_row(job), ABSENT, part=job.id)
        # Units are written only while the job row is absent. Otherwise a submission of
        # another body under the same id replaced 180 of 200 units of a running job; a
        # delayed write could do the same.
        absent = attrs.evolve(row, value=None, check=True)
        return [[*batch, absent] for batch in transactions[:-1]] + [
            [*transactions[-1], row]
        ]

    async def write_until_certain(self, writes: list[Write], deadline: float):
        """Retry a transaction until its outcome is certain or the deadline has passed.

        Retries are safe: each attempt writes the same rows, or writes them only where
        they are absent.
        """
        uncertain = None
        while True:
            outcome = await self.store.commit(writes)
            if isinstance(outcome, (Committed, Conflict)):
                return outcome
            if isinstance(outcome, Unknown):
                uncertain = outcome
            remaining = deadline - self.clock.monotonic()
            if remaining <= WRITE_RETRY_SECONDS:
                return uncertain or outcome
            await self.clock.sleep(WRITE_RETRY_SECONDS)

    async def find_job(self, job_id: str) -> Job | Missing | Unavailable:
        """Return a job from the cache, or else from the store."""
        while job_id not in self.jobs:
            removals = self.removal_count
            row = await self.store.read(JOBS, JOB_KEY, job_id)
            if not isinstance(row, Row):
                return row
            try:
                job = from_row(row.value, Job)
            except InvalidRowError as error:
                return Unavailable(str(error))
            # The row may have been read before a removal that was seen meanwhile. When
            # such a job was cached, its next submission was answered 202 although no
            # row was stored.
            if self.removal_count == removals:
                self.jobs[job_id] = job
        return self.jobs[job_id]

    async def read_item_body(
        self, job_id: str, item_id: str
    ) -> bytes | Missing | Unavailable:
        """Return the request body of an item."""
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
        return next(
            bodies, Unavailable(f"unit {key!r} does not contain item {item_id!r}")
        )

    async def end_job(self, job_id: str, deadline: float):
        """Mark a job as ended, so that no more of its items are started.

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
