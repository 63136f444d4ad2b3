"""Crash table: shares the crashes of backend servers between processes via the store.

Each crash is a row of its own and writing it is idempotent, so no writer overwrites
the crash of another. Trials of a held-back request are numbered rows that only one
process can create. The rows outlive the processes that wrote them.

Two alternatives were rejected. With one row per request, replaced conditionally,
processes that observe crashes at the same moment would conflict with each other. With
heartbeats between processes alone, a restarted process would have no records, and
processes could not agree on which of them makes a trial.
"""

import asyncio
import datetime
import random

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.outcomes import Committed, Conflict, WriteOutcome
from gypsumshift.platforms import Row, RowStore, Write
from gypsumshift.serving.directory import ServerStart
from gypsumshift.serving.quarantine import (
    CRASH_RETENTION_S,
    MAX_REQUEST_ID_LENGTH,
    Crash,
    Quarantine,
)
from gypsumshift.serving.trialclaims import (
    CRASHES_TABLE,
    TRIAL_KIND,
    ClaimResult,
    TrialClaims,
    split_key,
    store_time,
    trial_key,
)
from gypsumshift.watch import Watch

__all__ = ["CrashTable"]

# Longest time that a request for changes waits at the store. With the slack for its
# answer, a feed that stopped answering is replaced in time for every process to receive
# a crash within 3 s. Twice the value of other tables, since this one changes rarely.
MAX_FEED_WAIT = datetime.timedelta(seconds=1.6)
# Time without an answer of the feed after which the local copy counts as outdated. It
# allows for one lost answer.
STALE_AFTER_S = 4.0
# Limit for claiming a trial; a caller waits for it.
CLAIM_TIMEOUT_S = 0.4
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
# A crash reported by a neighbour is written by this process after a random delay in
# this range, so that mostly only one process writes it.
REPORT_WRITE_DELAYS_S = (1.0, 6.0)
# Time between two checks for expired rows, and the range of the random extra retention
# of each process, so that mostly only one process removes a row.
SWEEP_PERIOD_S = 30.0
SWEEP_SPREAD_S = 300.0

log = logs.logger("crashes")


class CrashTable:
    """Writes this process's crashes to the store, and applies those of other processes.

    Parameters
    ----------
    store : RowStore
    quarantine : Quarantine
        Updated with the contents of the table.
    clock : Clock
    chance : random.Random

    Attributes
    ----------
    session : str
        Random identifier of this run of the process, part of the keys of its rows.
    row_retention_s : float
        Age in seconds from which this process removes a row.
    keys_issued : int
        Number of keys made for crashes that this process observed.
    pending_writes : dict
        `Crash` by key, of the rows still to be written.
    possibly_written : set of str
        Keys in `pending_writes` that a transaction may already have written.
    pending_removals : dict
        Keys of the rows still to be removed, in order.
    stored_keys : set of str
        Keys of the crashes in the store, as last received.
    deferred_writes : dict
        Crashes reported by neighbours, by key, each with the time at which this process
        writes it if no other has.
    unstored_trials : dict
        Start time of a trial that this process made without a claim in the store, by
        the trial's key.
    claims : TrialClaims
    loaded : bool
        Whether the whole table was received at least once.
    """

    def __init__(
        self,
        store: RowStore,
        quarantine: Quarantine,
        clock: Clock,
        chance: random.Random,
    ):
        self.store = store
        self.quarantine = quarantine
        self.clock = clock
        self.chance = chance
        self.session = f"{chance.getrandbits(64):016x}"
        self.row_retention_s = CRASH_RETENTION_S + chance.uniform(0, SWEEP_SPREAD_S)
        self.keys_issued = 0
        self.pending_writes: dict[str, Crash] = {}
        self.possibly_written: set[str] = set()
        self.pending_removals: dict[str, None] = {}
        self.stored_keys: set[str] = set()
        self.deferred_writes: dict[str, tuple[Crash, float]] = {}
        self.unstored_trials: dict[str, float] = {}
        self.claims = TrialClaims(store, self.session)
        self.loaded = False
        self.work_queued = asyncio.Event()
        self.failures = 0
        self.swept_at = clock.monotonic()
        self.watch = Watch(
            store,
            CRASHES_TABLE,
            self.apply_changes,
            self.apply_snapshot,
            clock,
            keeps_rows=True,
            max_feed_wait=MAX_FEED_WAIT,
        )

    @property
    def has_store_time(self) -> bool:
        """Whether the store has sent the table, and with it the store's time."""
        return self.watch.current_at > float("-inf")

    @property
    def is_current(self) -> bool:
        """Whether the local copy of the table is up to date."""
        return self.clock.monotonic() - self.watch.current_at < STALE_AFTER_S

    def new_key(self, fingerprint: str) -> str:
        """Return a new key for a crash that this process observed."""
        self.keys_issued += 1
        return f"{fingerprint}/{self.session}/{self.keys_issued}"

    # Changes made by other processes.

    def apply_changes(self, rows: list[Row]) -> None:
        """Apply changed and removed rows."""
        for row in rows:
            if row.value is None:
                self.apply_removal(row.key)
            else:
                self.apply_row(row)

    def apply_snapshot(self, rows: list[Row]) -> None:
        """Apply the whole table; crashes that are no longer in it are removed."""
        for key in self.stored_keys - {row.key for row in rows}:
            self.apply_removal(key)
        self.apply_changes(rows)
        self.loaded = True

    def apply_row(self, row: Row) -> None:
        """Apply the row of a crash or of a trial."""
        fingerprint, kind, number = split_key(row.key)
        try:
            if kind == TRIAL_KIND and not self.claims.is_unacknowledged(row):
                age = self.age_of(row.value["at"])
                self.quarantine.record_trial(fingerprint, int(number), age)
            elif kind == TRIAL_KIND:
                log.debug(
                    "Ignored the unacknowledged trial claim {} of this process.",
                    row.key,
                )
            elif row.key not in self.pending_removals:
                self.quarantine.add_crash(self.parse_crash(row, fingerprint))
                self.stored_keys.add(row.key)
        except (KeyError, TypeError, ValueError) as error:
            log.error("Ignored invalid row {}/{}: {!r}", row.table, row.key, error)

    def parse_crash(self, row: Row, fingerprint: str) -> Crash:
        """Return the crash in a row; raises KeyError, TypeError or ValueError."""
        value = row.value
        server, born = value["server"], value["born"]
        if not isinstance(server, str) or type(born) is not int:
            raise TypeError(f"invalid server start: server={server!r}, born={born!r}")
        seen_at = self.clock.monotonic() - self.age_of(value["at"])
        request = str(value["request"])[:MAX_REQUEST_ID_LENGTH]
        return Crash(row.key, fingerprint, request, ServerStart(server, born), seen_at)

    def age_of(self, at: object) -> float:
        """Return the seconds since a time of the store; raises TypeError, ValueError.

        Returns 0 until the store has sent its time, so that rows received from a
        neighbour count as new.
        """
        age = store_time(self.store) - float(at)
        return max(0.0, age) if self.has_store_time else 0.0

    def apply_removal(self, key: str) -> None:
        """Apply the removal of a row."""
        self.stored_keys.discard(key)
        self.claims.discard_claim(key)
        fingerprint, kind, number = split_key(key)
        if kind != TRIAL_KIND:
            self.quarantine.remove_crash(fingerprint, key)
        elif number.isdecimal():
            self.quarantine.withdraw_trial(fingerprint, int(number))

    def add_reported_crash(self, crash: Crash) -> bool:
        """Record a crash reported by a neighbour; return whether it was added."""
        known = self.quarantine.has_crash(crash.fingerprint, crash.key)
        if known or crash.key in self.pending_removals:
            return False
        self.quarantine.add_crash(crash)
        new = self.quarantine.has_crash(crash.fingerprint, crash.key)
        if new and len(self.deferred_writes) < MAX_QUEUED_ROWS:
            wait = self.chance.uniform(*REPORT_WRITE_DELAYS_S)
            self.deferred_writes[crash.key] = crash, self.clock.monotonic() + wait
        return new

    def queue_deferred_writes(self) -> None:
        """Queue overdue crashes that neighbours reported and the store does not have.

        The process that observed such a crash may have stopped before it wrote it.
        """
        now = self.clock.monotonic()
        for key, (crash, due) in list(self.deferred_writes.items()):
            known = self.quarantine.has_crash(crash.fingerprint, key)
            if key in self.stored_keys or not known:
                del self.deferred_writes[key]
            elif due <= now and self.is_current:
                del self.deferred_writes[key]
                self.queue_write(crash)

    def add_reported_trial(self, key: str) -> None:
        """Record a trial reported by a neighbour."""
        fingerprint, kind, number = split_key(key)
        if kind == TRIAL_KIND and number.isdecimal():
            self.quarantine.record_trial(fingerprint, int(number))

    # Changes made by this process.

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

    def remove_request(self, fingerprint: str, keys: list[str], trials: int) -> None:
        """Queue all rows of a request for removal.

        Parameters
        ----------
        fingerprint : str
        keys : list of str
            Keys of crashes recorded here, whose rows may not have been received yet.
        trials : int
            Number of the last trial. The rows of the trials may not have been received
            yet either.
        """
        prefix = f"{fingerprint}/"
        stored = [key for _, key in self.watch.rows if key.startswith(prefix)]
        trial_keys = [trial_key(fingerprint, number + 1) for number in range(trials)]
        self.queue_removals([*stored, *keys, *trial_keys])

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

    # Trials.

    async def claim_trial(self, fingerprint: str, number: int) -> ClaimResult:
        """Claim a trial for this process, so that no other process makes it."""
        key = trial_key(fingerprint, number)
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                outcome = await self.claims.claim(key)
        except TimeoutError:
            outcome = ClaimResult.UNCERTAIN
        if outcome is ClaimResult.UNCERTAIN and not self.is_current and number == 1:
            # Without the store no process can claim a trial. The first one is made
            # anyway, or a sound request would wait until the store is back.
            self.unstored_trials = {key: self.clock.monotonic()}
            return ClaimResult.OWN
        return outcome

    def withdraw_trial(self, fingerprint: str, number: int) -> None:
        """Queue the row of a trial that no server ran for removal."""
        self.claims.withdraw(trial_key(fingerprint, number))
        self.work_queued.set()

    def sweep(self) -> None:
        """Queue the writes of deferred crashes and the removal of expired rows."""
        self.queue_deferred_writes()
        now = self.clock.monotonic()
        if now - self.swept_at < SWEEP_PERIOD_S:
            return
        self.swept_at = now
        horizon = store_time(self.store) - self.row_retention_s
        old = [row.key for row in self.watch.rows.values() if written_at(row) < horizon]
        if old:
            self.queue_removals(old[:MAX_QUEUED_ROWS])


def written_at(row: Row) -> float:
    """Return the store's time in a row, in seconds; 0 if the row has no valid time."""
    at = (row.value or {}).get("at", 0.0)
    return at if type(at) in (int, float) else 0.0
