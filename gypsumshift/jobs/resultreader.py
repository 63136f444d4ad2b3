"""Read the results of batch jobs.

Reads are served from a local copy that follows the store's changes, and from the store
itself where the copy may be stale.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import attrs

from gypsumshift.clock import Clock
from gypsumshift.jobs.partials import rows_of_item
from gypsumshift.jobs.records import RESULTS, TEXTS, Job, Result
from gypsumshift.jobs.resultlog import ResultLog
from gypsumshift.outcomes import Missing, Unavailable
from gypsumshift.platforms import Row, RowStore
from gypsumshift.watch import Watch

__all__ = ["ResultPage", "ResultReader"]

# Text in one page of results; takes 0.07 s to send on a link of 30 Mbit/s.
MAX_PAGE_TEXT_CHARS = 250_000
# Concurrent reads of texts from the store; enough to load a page in about 20 ms.
MAX_CONCURRENT_TEXT_READS = 12
# A local copy that was last confirmed longer ago than this is checked against the
# store: a result that one reader has seen must be visible to all within a second.
MAX_COPY_AGE_SECONDS = 0.9
# Interval at which changes of the result table are collected. Every gateway follows
# this table; the interval is a fifth of the time between two reads of a trainer.
RESULTS_GATHER_SECONDS = 0.1


@attrs.frozen
class ResultPage:
    """A page of results of a batch job.

    Attributes
    ----------
    total : int
        Number of items in the job.
    results : list of Result
        Results from the requested position on.
    next : int
        Position after the last result of the page.
    """

    total: int
    results: list[Result]
    next: int


class ResultReader:
    """Reads the results of batch jobs.

    Parameters
    ----------
    store : RowStore
    clock : Clock
    jobs : dict
        Cached `Job` by id.
    find_job : callable
        Returns a job from the cache or the store, given its id.

    Attributes
    ----------
    result_logs : dict
        Cached `ResultLog` by job id.
    result_watch : Watch
        Watch of the result table, to be run by the owner.
    """

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        jobs: dict[str, Job],
        find_job: Callable[[str], Awaitable[Job | Missing | Unavailable]],
    ):
        self.store = store
        self.clock = clock
        self.jobs = jobs
        self.find_job = find_job
        self.result_logs: dict[str, ResultLog] = {}
        self.text_read_limit = asyncio.Semaphore(MAX_CONCURRENT_TEXT_READS)
        self.result_watch = Watch(
            store,
            RESULTS,
            self.apply_result_rows,
            self.apply_result_rows,
            clock,
            batch_interval=RESULTS_GATHER_SECONDS,
        )

    def apply_result_rows(self, rows: list[Row]) -> None:
        """Update the cached results from rows of the result table."""
        rows_by_job: dict[str, list[Row]] = {}
        for row in rows:
            if row.value is not None:
                rows_by_job.setdefault(row.part, []).append(row)
        for job_id, job_rows in rows_by_job.items():
            self.result_log(job_id).add_rows(job_rows)

    def result_log(self, job_id: str) -> ResultLog:
        """Return the cached results of a job."""
        return self.result_logs.setdefault(job_id, ResultLog())

    async def read_results(
        self, job_id: str, after: int, wait: float
    ) -> ResultPage | Missing | Unavailable:
        """Return a page of a job's results.

        Parameters
        ----------
        job_id : str
        after : int
            Position of the first result, counted from 0.
        wait : float
            Longest time to wait for the first result, in seconds.
        """
        was_cached = job_id in self.jobs
        job = await self.find_job(job_id)
        if not isinstance(job, Job):
            return job
        results = self.result_log(job_id)
        if was_cached and after == len(results) < job.item_count and wait > 0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await results.changed.wait()
        if after >= len(results) and len(results) < job.item_count:
            outcome = await self.refresh_results(job_id, after, was_cached)
            if isinstance(outcome, Unavailable):
                return outcome
        page = results.page(after, MAX_PAGE_TEXT_CHARS)
        texts = await asyncio.gather(*(self.read_text(job_id, r) for r in page))
        failed = [text for text in texts if not isinstance(text, str)]
        if failed:
            return failed[0]
        results_with_texts = zip(page, texts, strict=True)
        found = [attrs.evolve(result, text=text) for result, text in results_with_texts]
        return ResultPage(job.item_count, found, after + len(found))

    async def read_text(self, job_id: str, result: Result) -> str | Unavailable:
        """Return the text of a result, read from its rows in the text table."""
        if not result.pieces:
            return result.text
        async with self.text_read_limit:
            rows = await self.store.scan(TEXTS, f"{result.item}/", job_id)
        if isinstance(rows, Unavailable):
            return rows
        text_rows = rows_of_item(rows, result.item)
        if len(text_rows) != result.pieces:
            return Unavailable(
                f"the text of item {result.item!r} is incomplete: "
                f"read {len(text_rows)} of {result.pieces} rows"
            )
        return "".join(str(row.value.get("text", "")) for row in text_rows)

    async def refresh_results(
        self, job_id: str, after: int, was_cached: bool
    ) -> Unavailable | None:
        """Read a job's results from the store if the local copy may be stale."""
        results = self.result_log(job_id)
        stale = (
            self.clock.monotonic() - self.result_watch.current_at > MAX_COPY_AGE_SECONDS
        )
        if was_cached and after == len(results) and not stale:
            return None
        rows = await self.store.scan(RESULTS, "", job_id)
        if isinstance(rows, Unavailable):
            return rows
        results.add_rows(rows)
        return None
