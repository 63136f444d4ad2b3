"""Crash table: processes tell each other, through the store, what ended servers.

Each crash is a row of its own, which says the same however often it is written, so
none is lost to another writer. Trials of a request that is held back are numbered rows
that only one process can write first. What is told outlives every process.

Weighed: one row for each request, replaced under a condition: processes that see ends
at the same moment refuse each other. Heartbeats between processes alone: a process that
starts anew would know nothing, and no two could agree on who makes a trial.
"""

import asyncio
import datetime
import random

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.outcomes import Committed, Conflict, Written
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

# Longest wait of the feed: with its answer's slack, one that fell silent is replaced in
# time for a crash to be known everywhere within 3 s. Twice that of other tables, since
# this one is calm.
MAX_FEED_WAIT = datetime.timedelta(seconds=1.6)
# Seconds without news of the table after which a process takes itself for cut off: one
# answer of the feed may be lost.
STALE_AFTER_S = 4.0
# Seconds for the claim of a trial, for which a caller waits.
CLAIM_TIMEOUT_S = 0.4
# Rows in one transaction, of which a store takes 100, and that wait to be written.
MAX_ROWS_PER_COMMIT = 50
MAX_QUEUED_ROWS = 500
# Seconds after which a lone end is written: in less, most requests are answered by
# another server.
SINGLE_CRASH_DELAY_S = 0.05
# Seconds between two transactions, and after one that was not carried out.
COMMIT_INTERVAL_S = 0.05
FIRST_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0
# Seconds after which a crash that a neighbour told is written here, drawn between
# these, so that mostly one process does.
REPORT_WRITE_DELAYS_S = (1.0, 6.0)
# Seconds between two looks for rows that are too old, and by which processes remove
# them at different times, so that mostly one does.
SWEEP_PERIOD_S = 30.0
SWEEP_SPREAD_S = 300.0

log = logs.logger("crashes")


class CrashTable:
    """The table of crashes: told by this process, and followed.

    Parameters
    ----------
    store : RowStore
    quarantine : Quarantine
        Told of what is in the table.
    clock : Clock
    chance : random.Random

    Attributes
    ----------
    session : str
        Start of this process, by which its rows are known.
    waiting : dict
        `Crash` by key, of those that are still to be written.
    attempted : set of str
        Keys of these that a transaction may have written.
    leaving : dict
        Keys of the rows that are still to be removed, in order.
    listed : set of str
        Keys of the crashes that the store has, as told.
    heard_of : dict
        Crashes of which neighbours told, by key, and when to write them here.
    own_trials : dict
        When this process made a trial that the store does not know, by its key.
    claims : TrialClaims
    informed : bool
        Whether the whole table was told once.
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
            keep=True,
            poll=MAX_FEED_WAIT,
        )

    @property
    def has_store_time(self) -> bool:
        """Whether the store ever told the table, and its time with it."""
        return self.watch.current_at > float("-inf")

    @property
    def is_current(self) -> bool:
        """Whether this process knows what the others tell."""
        return self.clock.monotonic() - self.watch.current_at < STALE_AFTER_S

    def new_key(self, fingerprint: str) -> str:
        """Return the key of a crash that this process saw."""
        self.keys_issued += 1
        return f"{fingerprint}/{self.session}/{self.keys_issued}"

    # What is told by others.

    def apply_changes(self, rows: list[Row]) -> None:
        """Take rows that changed."""
        for row in rows:
            if row.value is None:
                self.apply_removal(row.key)
            else:
                self.apply_row(row)

    def apply_snapshot(self, rows: list[Row]) -> None:
        """Take the whole table: what was in it before and is not now is removed."""
        for key in self.stored_keys - {row.key for row in rows}:
            self.apply_removal(key)
        self.apply_changes(rows)
        self.loaded = True

    def apply_row(self, row: Row) -> None:
        """Take a crash or a trial."""
        fingerprint, kind, number = split_key(row.key)
        try:
            if kind == TRIAL_KIND and not self.claims.is_unacknowledged(row):
                age = self.age_of(row.value["at"])
                self.quarantine.record_trial(fingerprint, int(number), age)
            elif kind == TRIAL_KIND:
                log.debug("A claim of this process was answered late: {}", row.key)
            elif row.key not in self.pending_removals:
                self.quarantine.add_crash(self.parse_crash(row, fingerprint))
                self.stored_keys.add(row.key)
        except (KeyError, TypeError, ValueError) as error:
            log.error("Cannot read {}/{}: {!r}", row.table, row.key, error)

    def parse_crash(self, row: Row, fingerprint: str) -> Crash:
        """Return the crash in a row; raises KeyError, TypeError or ValueError."""
        value = row.value
        server, born = value["server"], value["born"]
        if not isinstance(server, str) or type(born) is not int:
            raise TypeError("no start of a server")
        seen_at = self.clock.monotonic() - self.age_of(value["at"])
        request = str(value["request"])[:MAX_REQUEST_ID_LENGTH]
        return Crash(row.key, fingerprint, request, ServerStart(server, born), seen_at)

    def age_of(self, at: object) -> float:
        """Return the seconds since a time of the store; raises TypeError, ValueError.

        0 before the store told its time: what a neighbour knows is taken for new.
        """
        age = store_time(self.store) - float(at)
        return max(0.0, age) if self.has_store_time else 0.0

    def apply_removal(self, key: str) -> None:
        """Take that a row is removed."""
        self.stored_keys.discard(key)
        self.claims.discard_claim(key)
        fingerprint, kind, number = split_key(key)
        if kind != TRIAL_KIND:
            self.quarantine.remove_crash(fingerprint, key)
        elif number.isdecimal():
            self.quarantine.withdraw_trial(fingerprint, int(number))

    def add_reported_crash(self, crash: Crash) -> bool:
        """Take a crash of which a neighbour told; return whether it is new here."""
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
        """Write what neighbours told and the store does not: who saw it may be gone."""
        now = self.clock.monotonic()
        for key, (crash, due) in list(self.deferred_writes.items()):
            known = self.quarantine.has_crash(crash.fingerprint, key)
            if key in self.stored_keys or not known:
                del self.deferred_writes[key]
            elif due <= now and self.is_current:
                del self.deferred_writes[key]
                self.queue_write(crash)

    def add_reported_trial(self, key: str) -> None:
        """Take a trial of which a neighbour told."""
        fingerprint, kind, number = split_key(key)
        if kind == TRIAL_KIND and number.isdecimal():
            self.quarantine.record_trial(fingerprint, int(number))

    # What is told to others.

    def queue_write(self, crash: Crash) -> None:
        """Have a crash written."""
        self.pending_writes[crash.key] = crash
        self.limit_queue(self.pending_writes)
        self.work_queued.set()

    def queue_removals(self, keys: list[str]) -> None:
        """Have rows removed."""
        for key in keys:
            waited = self.pending_writes.pop(key, None) is not None
            if not waited or key in self.possibly_written:
                self.pending_removals[key] = None
            self.possibly_written.discard(key)
        self.limit_queue(self.pending_removals)
        self.work_queued.set()

    def limit_queue(self, queue: dict) -> None:
        """Drop the oldest of what waits where there is too much."""
        while len(queue) > MAX_QUEUED_ROWS:
            key = next(iter(queue))
            del queue[key]
            self.possibly_written.discard(key)
            log.warning("Too many rows wait for the store; one is left out: {}", key)

    def remove_request(self, fingerprint: str, keys: list[str], trials: int) -> None:
        """Have all rows of a request removed.

        Parameters
        ----------
        fingerprint : str
        keys : list of str
            Of crashes that this process told, which may not be told back yet.
        trials : int
            Number of the last trial, of which the same holds.
        """
        own = f"{fingerprint}/"
        told = [key for _, key in self.watch.rows if key.startswith(own)]
        made = [trial_key(fingerprint, number + 1) for number in range(trials)]
        self.queue_removals([*told, *keys, *made])

    async def run(self) -> None:
        """Write and remove rows until cancelled."""
        while True:
            await self.work_queued.wait()
            self.work_queued.clear()
            while self.pending_writes or self.pending_removals or self.claims.withdrawn:
                await self.clock.sleep(await self.commit_batch())

    async def commit_batch(self) -> float:
        """Make one transaction; return the seconds until the next."""
        if not self.has_store_time:
            # The times in the rows are the store's.
            return MAX_RETRY_DELAY_S
        if self.claims.withdrawn:
            outcome = await self.claims.remove_withdrawn_row()
            taken = isinstance(outcome, (Committed, Conflict))
            return COMMIT_INTERVAL_S if taken else self.record_failure(outcome)
        told = self.crashes_to_write()[:MAX_ROWS_PER_COMMIT]
        gone = [key for key in self.pending_removals if key not in self.pending_writes][
            :MAX_ROWS_PER_COMMIT
        ]
        writes = [
            Write(CRASHES_TABLE, crash.key, self.row_value(crash)) for crash in told
        ]
        writes += [Write(CRASHES_TABLE, key) for key in gone]
        if not writes:
            return SINGLE_CRASH_DELAY_S / 2
        self.possibly_written.update(crash.key for crash in told)
        outcome = await self.store.commit(writes)
        if not isinstance(outcome, Committed):
            return self.record_failure(outcome)
        self.failures = 0
        for crash in told:
            self.pending_writes.pop(crash.key, None)
            self.possibly_written.discard(crash.key)
        for key in gone:
            self.pending_removals.pop(key, None)
        return COMMIT_INTERVAL_S

    def crashes_to_write(self) -> list[Crash]:
        """Return the crashes to write: not those of requests that may be answered yet.

        A sound request goes to another server at once; nothing is written of it.
        """
        horizon = self.clock.monotonic() - SINGLE_CRASH_DELAY_S
        return [
            crash
            for crash in self.pending_writes.values()
            if crash.seen_at <= horizon
            or self.quarantine.crash_count(crash.fingerprint) > 1
        ]

    def record_failure(self, outcome: Written) -> float:
        """Count a transaction that may not have been carried out; return a pause."""
        self.failures += 1
        if self.failures == 1:
            reason = getattr(outcome, "reason", type(outcome).__name__)
            logs.event(log, "Crashes are not told yet.", reason=reason)
        pause = min(
            FIRST_RETRY_DELAY_S * 2 ** min(self.failures, 10), MAX_RETRY_DELAY_S
        )
        return pause * self.chance.uniform(0.5, 1.0)

    def row_value(self, crash: Crash) -> dict:
        """Return what the row of a crash holds: no body, and nothing of a caller."""
        age = self.clock.monotonic() - crash.seen_at
        return {
            "server": crash.start.id,
            "born": crash.start.born,
            "request": crash.request,
            "at": round(store_time(self.store) - age, 3),
        }

    # Trials.

    async def claim_trial(self, fingerprint: str, number: int) -> ClaimResult:
        """Have a trial made by this process and no other."""
        key = trial_key(fingerprint, number)
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                outcome = await self.claims.claim(key)
        except TimeoutError:
            outcome = ClaimResult.UNCERTAIN
        if outcome is ClaimResult.UNCERTAIN and not self.is_current and number == 1:
            # Cut off, nobody can be asked: a sound request would wait for the store.
            self.unstored_trials = {key: self.clock.monotonic()}
            return ClaimResult.OWN
        return outcome

    def withdraw_trial(self, fingerprint: str, number: int) -> None:
        """Have the row of a trial removed that came to nothing."""
        self.claims.withdraw(trial_key(fingerprint, number))
        self.work_queued.set()

    def sweep(self) -> None:
        """Have rows written that others did not, and removed that are too old."""
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
    """Return the store's time in a row, in seconds; 0 where it tells none."""
    at = (row.value or {}).get("at", 0.0)
    return at if type(at) in (int, float) else 0.0
