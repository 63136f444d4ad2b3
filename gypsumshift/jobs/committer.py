"""Committer: writes results to the store, each once, a few in one transaction."""

import asyncio
from collections.abc import Collection

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.jobs.model import (
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

__all__ = ["Committer", "Finished"]

# Seconds for which results are gathered: a fifth of the time between two reads of
# a trainer, and it halves the transactions of a step.
GATHER = 0.03
# Results of one transaction, below the 100 rows and 1 MB that a store takes.
RESULTS_AT_ONCE = 20
TEXT_AT_ONCE = 400_000
# Characters of text in one row. A store takes 64 KiB; JSON and letters beyond ASCII
# take more room than they have characters.
TEXT_IN_ROW = 20_000
# Seconds before a write is tried again; what is not stored stays in memory.
RETRY_FIRST = 0.1
RETRY_MOST = 0.2

log = logs.logger("results")


@attrs.frozen
class Finished:
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
    last: Claim | None = None
    partial: str = ""


class Committer:
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
        self.waiting: dict[str, list[Finished]] = {}
        self.writers: dict[str, asyncio.Task] = {}
        self.settled = asyncio.Event()

    def put(self, finished: Finished) -> None:
        """Have a result stored."""
        self.waiting.setdefault(finished.job, []).append(finished)
        if finished.job not in self.writers:
            task = asyncio.create_task(self.write(finished.job))
            self.writers[finished.job] = task

    def items(self, job: str) -> set[str]:
        """Return the items of a job whose results are on their way to the store."""
        return {finished.result.item for finished in self.waiting.get(job, ())}

    async def wait_for(self, job: str, items: Collection[str]) -> None:
        """Wait until no result of these items is on its way to the store."""
        while not self.items(job).isdisjoint(items):
            await self.settled.wait()

    async def write(self, job: str) -> None:
        """Store the results of one job until none waits."""
        try:
            await self.clock.sleep(GATHER)
            while self.waiting.get(job):
                batch = first_batch(self.waiting[job])
                await self.settle(job, batch)
                del self.waiting[job][: len(batch)]
                self.settled.set()
                self.settled = asyncio.Event()
        finally:
            del self.writers[job]
            if not self.waiting.get(job):
                self.waiting.pop(job, None)

    async def settle(self, job: str, batch: list[Finished]) -> None:
        """Store some results; one that is there already stays as it is."""
        outcome = await self.commit(job, batch)
        if isinstance(outcome, Conflict) and len(batch) > 1:
            for finished in batch:
                await self.commit(job, [finished])
        logs.event(
            log,
            "Results are stored.",
            job=job,
            items=[finished.result.item for finished in batch],
            states=[finished.result.state.value for finished in batch],
            outcome=type(outcome).__name__,
            store_version=getattr(outcome, "version", 0),
        )

    async def commit(self, job: str, batch: list[Finished]):
        """Write until the outcome is certain: taken, or there before."""
        writes = [write for finished in batch for write in result_writes(finished)]
        pause = RETRY_FIRST
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
            pause = min(pause * 2, RETRY_MOST)

    async def drain(self) -> None:
        """Wait until everything is stored."""
        while self.writers:
            await asyncio.wait(self.writers.values())


def first_batch(waiting: list[Finished]) -> list[Finished]:
    """Return the results that fit into one transaction, at least one.

    Never two of one item: each row is written only where there is none, and the store
    looks once for all of a transaction. Both were written, the changes told the item
    twice, and the rows of the longer text stood behind the shorter one. Nor two ends of
    one unit, which write its claim.
    """
    size = 0
    named: set[tuple[str, str]] = set()
    for count, finished in enumerate(waiting[:RESULTS_AT_ONCE]):
        size += len(finished.result.text)
        rows = {(RESULTS, finished.result.item)}
        if finished.last is not None:
            rows.add((CLAIMS, finished.unit))
        if count and size > TEXT_AT_ONCE or rows & named:
            return waiting[:count]
        named |= rows
    return waiting[:RESULTS_AT_ONCE]


def result_writes(finished: Finished) -> list[Write]:
    """Return the rows of one result.

    The text lies in rows of its own, which are only read for whoever asks: every
    gateway follows the results, and the texts of all steps filled the links of the
    smallest hosts (0.53 GB a minute to 41 hosts, some with 30 Mbit/s).
    """
    result, part = finished.result, finished.job
    text = result.text
    starts = range(0, len(text), TEXT_IN_ROW)
    writes = []
    for number, start in enumerate(starts):
        key = f"{result.item}/{number:04d}"
        piece = {"text": text[start : start + TEXT_IN_ROW]}
        writes.append(Write(TEXTS, key, piece, ABSENT, part=part))
    short = attrs.evolve(result, text="", pieces=len(starts), size=len(text))
    writes.append(Write(RESULTS, result.item, to_row(short), ABSENT, part=part))
    if finished.partial:
        writes.append(Write(PARTIALS, finished.partial, None, part=part))
    if finished.last is not None:
        claim = to_row(finished.last)
        writes.append(Write(CLAIMS, finished.unit, claim, part=part))
    return writes
