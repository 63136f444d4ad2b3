"""Write results to the store, each once and several per transaction."""

import asyncio
import json
from collections.abc import Collection

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.jobs.records import CLAIMS, PARTIALS, RESULTS, TEXTS, Claim, Result
from gypsumshift.jobs.rowcodec import to_row
from gypsumshift.outcomes import Committed, Conflict
from gypsumshift.platforms import (
    ABSENT,
    MAX_TRANSACTION_ENTRIES,
    RowStore,
    Write,
    entry_count,
)

__all__ = ["ResultWriter", "PendingResult"]

# Time for which results are collected before they are written. A fifth of the time
# between two reads of a trainer; it halves the number of transactions of a step.
GATHER_SECONDS = 0.03
# Limits of one transaction, whose entries a store limits to 100 and its body to 1 MB.
# The body holds the rows in base64, which adds a third.
MAX_TRANSACTION_RESULTS = 20
MAX_TRANSACTION_TEXT_BYTES = 600_000
# Text in one row, as JSON, which the store limits to 64 KiB in base64. Non-ASCII
# letters and JSON escapes take six bytes or more.
MAX_ROW_TEXT_CHARS = 20_000
MAX_ROW_TEXT_BYTES = 45_000
# Delays before a failed write is retried; unstored results stay in memory meanwhile.
FIRST_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 0.2

log = logs.logger("results")


@attrs.frozen
class PendingResult:
    """A result that is to be stored.

    Attributes
    ----------
    job_id : str
    unit_key : str
    result : Result
    final_claim : Claim or None
        Claim to write in the same transaction if this is the last result of its unit.
    partial_key : str
        Key of the item's saved partial result, which is deleted; empty if none exists.
    """

    job_id: str
    unit_key: str
    result: Result
    final_claim: Claim | None = None
    partial_key: str = ""


class ResultWriter:
    """Holds results until they are stored, with one writer task per job.

    Parameters
    ----------
    store : RowStore
    clock : Clock

    Attributes
    ----------
    batch_stored : asyncio.Event
        Set when a batch of results has been stored, and then replaced by a new event.
    """

    def __init__(self, store: RowStore, clock: Clock):
        self.store = store
        self.clock = clock
        self.pending: dict[str, list[PendingResult]] = {}
        self.writer_tasks: dict[str, asyncio.Task] = {}
        self.batch_stored = asyncio.Event()

    def enqueue(self, pending_result: PendingResult) -> None:
        """Queue a result for its job's writer task, which is started if none runs."""
        self.pending.setdefault(pending_result.job_id, []).append(pending_result)
        if pending_result.job_id not in self.writer_tasks:
            task = asyncio.create_task(self.write_pending(pending_result.job_id))
            self.writer_tasks[pending_result.job_id] = task

    def pending_items(self, job_id: str) -> set[str]:
        """Return the ids of a job's items whose results are not stored yet."""
        return {
            pending_result.result.item
            for pending_result in self.pending.get(job_id, ())
        }

    async def wait_until_stored(self, job_id: str, items: Collection[str]) -> None:
        """Wait until no result of the given items is pending."""
        while not self.pending_items(job_id).isdisjoint(items):
            await self.batch_stored.wait()

    async def write_pending(self, job_id: str) -> None:
        """Store the results of one job until none is pending."""
        try:
            await self.clock.sleep(GATHER_SECONDS)
            while self.pending.get(job_id):
                batch = first_batch(self.pending[job_id])
                await self.store_batch(job_id, batch)
                del self.pending[job_id][: len(batch)]
                self.batch_stored.set()
                self.batch_stored = asyncio.Event()
        finally:
            del self.writer_tasks[job_id]
            if not self.pending.get(job_id):
                self.pending.pop(job_id, None)

    async def store_batch(self, job_id: str, batch: list[PendingResult]) -> None:
        """Store a batch of results; rows that exist already are left unchanged."""
        outcome = await self.commit_until_certain(job_id, batch)
        if isinstance(outcome, Conflict) and len(batch) > 1:
            for pending_result in batch:
                await self.commit_until_certain(job_id, [pending_result])
        logs.event(
            log,
            "Results are stored.",
            job=job_id,
            items=[pending_result.result.item for pending_result in batch],
            states=[pending_result.result.state.value for pending_result in batch],
            outcome=type(outcome).__name__,
            store_version=getattr(outcome, "version", 0),
        )

    async def commit_until_certain(self, job_id: str, batch: list[PendingResult]):
        """Retry a transaction until it is committed or conflicts with existing rows."""
        writes = [
            write for pending_result in batch for write in result_writes(pending_result)
        ]
        pause = FIRST_RETRY_SECONDS
        while True:
            outcome = await self.store.commit(writes)
            if isinstance(outcome, (Committed, Conflict)):
                return outcome
            logs.event(
                log,
                "A write of results failed or was not confirmed; retrying.",
                job=job_id,
                items=len(batch),
                reason=outcome.reason,
            )
            await self.clock.sleep(pause)
            pause = min(pause * 2, MAX_RETRY_SECONDS)

    async def drain(self) -> None:
        """Wait until all pending results are stored."""
        while self.writer_tasks:
            await asyncio.wait(self.writer_tasks.values())


def first_batch(waiting: list[PendingResult]) -> list[PendingResult]:
    """Return the first results that fit into one transaction, at least one.

    A transaction never holds two results of one item. Each row is written only if it is
    absent, and the store checks this once for the whole transaction: both results were
    written, the changes listed the item twice, and rows of the longer text followed
    those of the shorter one. Nor does it hold two final results of one unit, since both
    write the unit's claim.
    """
    size = entries = 0
    used_rows: set[tuple[str, str]] = set()
    for count, pending_result in enumerate(waiting[:MAX_TRANSACTION_RESULTS]):
        size += json_size(pending_result.result.text)
        entries += entry_count(result_writes(pending_result))
        full = size > MAX_TRANSACTION_TEXT_BYTES or entries > MAX_TRANSACTION_ENTRIES
        rows = {(RESULTS, pending_result.result.item)}
        if pending_result.final_claim is not None:
            rows.add((CLAIMS, pending_result.unit_key))
        if (count and full) or rows & used_rows:
            return waiting[:count]
        used_rows |= rows
    return waiting[:MAX_TRANSACTION_RESULTS]


def json_size(text: str) -> int:
    """Return the bytes that a text takes in the JSON of a row."""
    return len(json.dumps(text))


def split_text(text: str) -> list[str]:
    """Split a text into pieces that each fit into a row."""
    starts = range(0, len(text), MAX_ROW_TEXT_CHARS)
    pieces = (text[start : start + MAX_ROW_TEXT_CHARS] for start in starts)
    return [part for piece in pieces for part in split_to_bytes(piece)]


def split_to_bytes(piece: str) -> list[str]:
    """Halve a piece of text until each part takes at most `MAX_ROW_TEXT_BYTES`."""
    if json_size(piece) <= MAX_ROW_TEXT_BYTES:
        return [piece]
    middle = len(piece) // 2
    return split_to_bytes(piece[:middle]) + split_to_bytes(piece[middle:])


def result_writes(pending_result: PendingResult) -> list[Write]:
    """Return the writes that store one result.

    The text is stored in separate rows, which are read only on request. Every gateway
    follows the result table, and with the texts of all steps in it the traffic
    saturated the links of the smallest hosts (0.53 GB a minute to 41 hosts, some with
    30 Mbit/s).
    """
    result, part = pending_result.result, pending_result.job_id
    pieces = split_text(result.text)
    writes = []
    for number, piece in enumerate(pieces):
        key = f"{result.item}/{number:04d}"
        writes.append(Write(TEXTS, key, {"text": piece}, ABSENT, part=part))
    size = len(result.text)
    result_row = attrs.evolve(result, text="", pieces=len(pieces), size=size)
    writes.append(Write(RESULTS, result.item, to_row(result_row), ABSENT, part=part))
    if pending_result.partial_key:
        writes.append(Write(PARTIALS, pending_result.partial_key, None, part=part))
    if pending_result.final_claim is not None:
        claim = to_row(pending_result.final_claim)
        writes.append(Write(CLAIMS, pending_result.unit_key, claim, part=part))
    return writes
