"""Committer: writes results to the store, each once, a few in one transaction."""

import asyncio
from collections.abc import Collection

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.jobs.records import (
    CLAIMS,
    PARTIALS,
    RESULTS,
    TEXTS,
    Claim,
    Result,
    to_row,
)
from gypsumshift.outcomes import Committed, Conflict
from gypsumshift.platforms import ABSENT, RowStore, Write

__all__ = ["ResultWriter", "PendingResult"]

# Seconds for which results are gathered: a fifth of the time between two reads of
# a trainer, and it halves the transactions of a step.
GATHER_SECONDS = 0.03
# Results of one transaction, below the 100 rows and 1 MB that a store takes.
MAX_TRANSACTION_RESULTS = 20
MAX_TRANSACTION_TEXT_CHARS = 400_000
# Characters of text in one row. A store takes 64 KiB; JSON and letters beyond ASCII
# take more room than they have characters.
MAX_ROW_TEXT_CHARS = 20_000
# Seconds before a write is tried again; what is not stored stays in memory.
FIRST_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 0.2

log = logs.logger("results")


@attrs.frozen
class PendingResult:
    """A result to be stored.

    Attributes
    ----------
    job : str
    unit : str
    result : Result
    last : Claim or None
        Claim to be written with it, where it is the last one of its unit.
    partial : str
        Key of what was saved of it before, which goes; empty for nothing.
    """

    job: str
    unit: str
    result: Result
    final_claim: Claim | None = None
    partial_key: str = ""


class ResultWriter:
    """Owns the results that are not stored yet.

    Parameters
    ----------
    store : RowStore
    clock : Clock

    Attributes
    ----------
    settled : asyncio.Event
        Set, and replaced by a new one, when results are stored.
    """

    def __init__(self, store: RowStore, clock: Clock):
        self.store = store
        self.clock = clock
        self.pending: dict[str, list[PendingResult]] = {}
        self.writer_tasks: dict[str, asyncio.Task] = {}
        self.batch_stored = asyncio.Event()

    def enqueue(self, finished: PendingResult) -> None:
        """Have a result stored."""
        self.pending.setdefault(finished.job, []).append(finished)
        if finished.job not in self.writer_tasks:
            task = asyncio.create_task(self.write_pending(finished.job))
            self.writer_tasks[finished.job] = task

    def pending_items(self, job: str) -> set[str]:
        """Return the items of a job whose results are on their way to the store."""
        return {finished.result.item for finished in self.pending.get(job, ())}

    async def wait_until_stored(self, job: str, items: Collection[str]) -> None:
        """Wait until no result of these items is on its way to the store."""
        while not self.pending_items(job).isdisjoint(items):
            await self.batch_stored.wait()

    async def write_pending(self, job: str) -> None:
        """Store the results of one job until none waits."""
        try:
            await self.clock.sleep(GATHER_SECONDS)
            while self.pending.get(job):
                batch = first_batch(self.pending[job])
                await self.store_batch(job, batch)
                del self.pending[job][: len(batch)]
                self.batch_stored.set()
                self.batch_stored = asyncio.Event()
        finally:
            del self.writer_tasks[job]
            if not self.pending.get(job):
                self.pending.pop(job, None)

    async def store_batch(self, job: str, batch: list[PendingResult]) -> None:
        """Store some results; one that is there already stays as it is."""
        outcome = await self.commit_until_certain(job, batch)
        if isinstance(outcome, Conflict) and len(batch) > 1:
            for finished in batch:
                await self.commit_until_certain(job, [finished])
        logs.event(
            log,
            "Results are stored.",
            job=job,
            items=[finished.result.item for finished in batch],
            states=[finished.result.state.value for finished in batch],
            outcome=type(outcome).__name__,
            store_version=getattr(outcome, "version", 0),
        )

    async def commit_until_certain(self, job: str, batch: list[PendingResult]):
        """Write until the outcome is certain: taken, or there before."""
        writes = [write for finished in batch for write in result_writes(finished)]
        pause = FIRST_RETRY_SECONDS
        while True:
            outcome = await self.store.commit(writes)
            if isinstance(outcome, (Committed, Conflict)):
                return outcome
            logs.event(
                log,
                "Results wait for the store.",
                job=job,
                items=len(batch),
                reason=outcome.reason,
            )
            await self.clock.sleep(pause)
            pause = min(pause * 2, MAX_RETRY_SECONDS)

    async def drain(self) -> None:
        """Wait until everything is stored."""
        while self.writer_tasks:
            await asyncio.wait(self.writer_tasks.values())


def first_batch(waiting: list[PendingResult]) -> list[PendingResult]:
    """Return the results that fit into one transaction, at least one.

    Never two of one item: each row is written only where there is none, and the store
    looks once for all of a transaction. Both were written, the changes told the item
    twice, and the rows of the longer text stood behind the shorter one. Nor two ends of
    one unit, which write its claim.
    """
    size = 0
    named: set[tuple[str, str]] = set()
    for count, finished in enumerate(waiting[:MAX_TRANSACTION_RESULTS]):
        size += len(finished.result.text)
        rows = {(RESULTS, finished.result.item)}
        if finished.final_claim is not None:
            rows.add((CLAIMS, finished.unit))
        if count and size > MAX_TRANSACTION_TEXT_CHARS or rows & named:
            return waiting[:count]
        named |= rows
    return waiting[:MAX_TRANSACTION_RESULTS]


def result_writes(finished: PendingResult) -> list[Write]:
    """Return the rows of one result.

    The text lies in rows of its own, which are only read for whoever asks: every
    gateway follows the results, and the texts of all steps filled the links of the
    smallest hosts (0.53 GB a minute to 41 hosts, some with 30 Mbit/s).
    """
    result, part = finished.result, finished.job
    text = result.text
    starts = range(0, len(text), MAX_ROW_TEXT_CHARS)
    writes = []
    for number, start in enumerate(starts):
        key = f"{result.item}/{number:04d}"
        piece = {"text": text[start : start + MAX_ROW_TEXT_CHARS]}
        writes.append(Write(TEXTS, key, piece, ABSENT, part=part))
    short = attrs.evolve(result, text="", pieces=len(starts), size=len(text))
    writes.append(Write(RESULTS, result.item, to_row(short), ABSENT, part=part))
    if finished.partial_key:
        writes.append(Write(PARTIALS, finished.partial_key, None, part=part))
    if finished.final_claim is not None:
        claim = to_row(finished.final_claim)
        writes.append(Write(CLAIMS, finished.unit, claim, part=part))
    return writes
