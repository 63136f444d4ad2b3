"""Writing of crash rows: the queue of rows that a process writes to the store.

Writing a row is idempotent, so a transaction that may have failed is repeated.
"""

import asyncio
import random

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.outcomes import Committed, Conflict, WriteOutcome
from gypsumshift.platforms import RowStore, Write
from gypsumshift.serving.quarantine import Crash, Quarantine
from gypsumshift.serving.trialclaims import CRASHES_TABLE, TrialClaims, store_time
from gypsumshift.watch import Watch

__all__ = ["MAX_QUEUED_ROWS", "CrashWriter"]

# Maximum number of writes, and of removals, in one transaction (stores accept 100 rows
# together), and of rows in each queue.
MAX_ROWS_PER_COMMIT = 50
MAX_QUEUED_ROWS = 500
# Time after which the only crash of a request is written: most requests are answered by
# another server before that.
SINGLE_CRASH_DELAY_S = 0.05
# Time between two transactions, and limits of the backoff after a failed one.
COMMIT_INTERVAL_S = 0.05
FIRST_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0

log = logs.logger("crashes")


class CrashWriter:
    """Writes and removes the rows of crashes in the store.

    Parameters
    ----------
    store : RowStore
    quarantine : Quarantine
    claims : TrialClaims
        Claims whose withdrawn rows are removed.
    watch : Watch
        Watch of the table, with which the store's time arrives.
    clock : Clock
    chance : random.Random

    Attributes
    ----------
    pending_writes : dict
        `Crash` by key, of the rows still to be written.
    possibly_written : set of str
        Keys in `pending_writes` that a transaction may already have written.
    pending_removals : dict
        Keys of the rows still to be removed, in order.
    work_queued : asyncio.Event
        Set when there is a row to write or to remove.
    failures : int
        Number of consecutive transactions that may have failed.
    """

    def __init__(
        self,
        store: RowStore,
        quarantine: Quarantine,
        claims: TrialClaims,
        watch: Watch,
        clock: Clock,
        chance: random.Random,
    ):
        self.store = store
        self.quarantine = quarantine
        self.claims = claims
        self.watch = watch
        self.clock = clock
        self.chance = chance
        self.pending_writes: dict[str, Crash] = {}
        self.possibly_written: set[str] = set()
        self.pending_removals: dict[str, None] = {}
        self.work_queued = asyncio.Event()
        self.failures = 0

    @property
    def has_store_time(self) -> bool:
        """Whether the store has sent the table, and with it the store's time."""
        return self.watch.current_at > float("-inf")

    def queue_write(self, crash: Crash) -> None:
        """Queue the row of a crash for writing."""
        self.pending_writes[crash.key] = crash
        self.limit_queue(self.pending_writes)
        self.work_queued.set()

    def queue_removals(self, keys: list[str]) -> None:
        """Queue rows for removal; rows that cannot have been written are dropped."""
        for key in keys:
            was_queued = self.pending_writes.pop(key, None) is not None
            if not was_queued or key in self.possibly_written:
                self.pending_removals[key] = None
            self.possibly_written.discard(key)
        self.limit_queue(self.pending_removals)
        self.work_queued.set()

    def limit_queue(self, queue: dict) -> None:
        """Drop the oldest entries of a queue that exceeds its limit."""
        while len(queue) > MAX_QUEUED_ROWS:
            key = next(iter(queue))
            del queue[key]
            self.possibly_written.discard(key)
            log.warning(
                "Queue of crash rows exceeds {} entries; dropped row {}, so that the "
                "store is not updated with it.",
                MAX_QUEUED_ROWS,
                key,
            )

    async def run(self) -> None:
        """Write and remove queued rows until cancelled."""
        while True:
            await self.work_queued.wait()
            self.work_queued.clear()
            while self.pending_writes or self.pending_removals or self.claims.withdrawn:
                await self.clock.sleep(await self.commit_batch())

    async def commit_batch(self) -> float:
        """Commit one transaction; return the seconds until the next."""
        if not self.has_store_time:
            # Rows contain the store's time, which is not known yet.
            return MAX_RETRY_DELAY_S
        if self.claims.withdrawn:
            outcome = await self.claims.remove_withdrawn_row()
            done = isinstance(outcome, (Committed, Conflict))
            return COMMIT_INTERVAL_S if done else self.record_failure(outcome)
        crashes = self.crashes_to_write()[:MAX_ROWS_PER_COMMIT]
        removed = [
            key for key in self.pending_removals if key not in self.pending_writes
        ][:MAX_ROWS_PER_COMMIT]
        writes = [
            Write(CRASHES_TABLE, crash.key, self.row_value(crash)) for crash in crashes
        ]
        writes += [Write(CRASHES_TABLE, key) for key in removed]
        if not writes:
            return SINGLE_CRASH_DELAY_S / 2
        self.possibly_written.update(crash.key for crash in crashes)
        outcome = await self.store.commit(writes)
        if not isinstance(outcome, Committed):
            return self.record_failure(outcome)
        self.failures = 0
        for crash in crashes:
            self.pending_writes.pop(crash.key, None)
            self.possibly_written.discard(crash.key)
        for key in removed:
            self.pending_removals.pop(key, None)
        return COMMIT_INTERVAL_S

    def crashes_to_write(self) -> list[Crash]:
        """Return the queued crashes that are due to be written.

        The only crash of a request is held back for a short time: a sound request is
        retried at another server at once, and once answered it needs no row.
        """
        horizon = self.clock.monotonic() - SINGLE_CRASH_DELAY_S
        return [
            crash
            for crash in self.pending_writes.values()
            if crash.seen_at <= horizon
            or self.quarantine.crash_count(crash.fingerprint) > 1
        ]

    def record_failure(self, outcome: WriteOutcome) -> float:
        """Count a transaction that may have failed; return the retry delay."""
        self.failures += 1
        if self.failures == 1:
            reason = getattr(outcome, "reason", type(outcome).__name__)
            logs.event(
                log, "Cannot write crash rows to the store; will retry.", reason=reason
            )
        pause = min(
            FIRST_RETRY_DELAY_S * 2 ** min(self.failures, 10), MAX_RETRY_DELAY_S
        )
        return pause * self.chance.uniform(0.5, 1.0)

    def row_value(self, crash: Crash) -> dict:
        """Return the row value of a crash, without body or data that names a caller."""
        age = self.clock.monotonic() - crash.seen_at
        return {
            "server": crash.start.id,
            "born": crash.start.born,
            "request": crash.request,
            "at": round(store_time(self.store) - age, 3),
        }
