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
from gypsumshift.platforms import Row, RowStore
from gypsumshift.serving.crashwriter import MAX_QUEUED_ROWS, CrashWriter
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

__all__ = ["REPORT_WRITE_DELAYS_S", "SWEEP_PERIOD_S", "CrashTable"]

# Longest time that a request for changes waits at the store. With the slack for its
# answer, a feed that stopped answering is replaced in time for every process to receive
# a crash within 3 s. Twice the value of other tables, since this one changes rarely.
MAX_FEED_WAIT = datetime.timedelta(seconds=1.6)
# Time without an answer of the feed after which the local copy counts as outdated. It
# allows for one lost answer.
STALE_AFTER_S = 4.0
# Limit for claiming a trial; a caller waits for it.
CLAIM_TIMEOUT_S = 0.4
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
    stored_keys : set of str
        Keys of the crashes in the store, as last received.
    deferred_writes : dict
        Crashes reported by neighbours, by key, each with the time at which this process
        writes it if no other has.
    unstored_trials : dict
        Start time of a trial that this process made without a claim in the store, by
        the trial's key.
    claims : TrialClaims
    writer : CrashWriter
        Writes and removes rows in the store.
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
        self.stored_keys: set[str] = set()
        self.deferred_writes: dict[str, tuple[Crash, float]] = {}
        self.unstored_trials: dict[str, float] = {}
        self.claims = TrialClaims(store, self.session)
        self.loaded = False
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
        self.writer = CrashWriter(
            store, quarantine, self.claims, self.watch, clock, chance
        )

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
            elif row.key not in self.writer.pending_removals:
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
        return max(0.0, age) if self.writer.has_store_time else 0.0

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
        if known or crash.key in self.writer.pending_removals:
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
                self.writer.queue_write(crash)

    def add_reported_trial(self, key: str) -> None:
        """Record a trial reported by a neighbour."""
        fingerprint, kind, number = split_key(key)
        if kind == TRIAL_KIND and number.isdecimal():
            self.quarantine.record_trial(fingerprint, int(number))

    # Changes made by this process.

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
        self.writer.queue_removals([*stored, *keys, *trial_keys])

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
        self.writer.work_queued.set()

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
            self.writer.queue_removals(old[:MAX_QUEUED_ROWS])


def written_at(row: Row) -> float:
    """Return the store's time in a row, in seconds; 0 if the row has no valid time."""
    at = (row.value or {}).get("at", 0.0)
    return at if type(at) in (int, float) else 0.0
