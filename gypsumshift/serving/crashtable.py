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
from gypsumshift.serving.quarantine import FORGOTTEN, MOST_ID, Crash, Quarantine
from gypsumshift.serving.trialclaims import (
    CRASHES,
    TRIAL,
    Claim,
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
POLL = datetime.timedelta(seconds=1.6)
# Seconds without news of the table after which a process takes itself for cut off: one
# answer of the feed may be lost.
CUT_OFF = 4.0
# Seconds for the claim of a trial, for which a caller waits.
CLAIM_TIMEOUT = 0.4
# Rows in one transaction, of which a store takes 100, and that wait to be written.
ROWS_AT_ONCE = 50
MOST_WAITING = 500
# Seconds after which a lone end is written: in less, most requests are answered by
# another server.
SETTLED_AFTER = 0.05
# Seconds between two transactions, and after one that was not carried out.
PAUSE = 0.05
RETRY_FIRST = 0.1
RETRY_MOST = 1.0
# Seconds after which a crash that a neighbour told is written here, drawn between
# these, so that mostly one process does.
WRITTEN_FOR_OTHERS = (1.0, 6.0)
# Seconds between two looks for rows that are too old, and by which processes remove
# them at different times, so that mostly one does.
SWEEP_PERIOD = 30.0
SWEEP_SPREAD = 300.0

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
        self.patience = FORGOTTEN + chance.uniform(0, SWEEP_SPREAD)
        self.told = 0
        self.waiting: dict[str, Crash] = {}
        self.attempted: set[str] = set()
        self.leaving: dict[str, None] = {}
        self.listed: set[str] = set()
        self.heard_of: dict[str, tuple[Crash, float]] = {}
        self.own_trials: dict[str, float] = {}
        self.claims = TrialClaims(store, self.session)
        self.informed = False
        self.news = asyncio.Event()
        self.failures = 0
        self.swept_at = clock.monotonic()
        self.watch = Watch(
            store, CRASHES, self.take, self.replace, clock, keep=True, poll=POLL
        )

    @property
    def heard(self) -> bool:
        """Whether the store ever told the table, and its time with it."""
        return self.watch.current_at > float("-inf")

    @property
    def followed(self) -> bool:
        """Whether this process knows what the others tell."""
        return self.clock.monotonic() - self.watch.current_at < CUT_OFF

    def new_key(self, fingerprint: str) -> str:
        """Return the key of a crash that this process saw."""
        self.told += 1
        return f"{fingerprint}/{self.session}/{self.told}"

    # What is told by others.

    def take(self, rows: list[Row]) -> None:
        """Take rows that changed."""
        for row in rows:
            if row.value is None:
                self.take_removal(row.key)
            else:
                self.take_row(row)

    def replace(self, rows: list[Row]) -> None:
        """Take the whole table: what was in it before and is not now is removed."""
        for key in self.listed - {row.key for row in rows}:
            self.take_removal(key)
        self.take(rows)
        self.informed = True

    def take_row(self, row: Row) -> None:
        """Take a crash or a trial."""
        fingerprint, kind, number = split_key(row.key)
        try:
            if kind == TRIAL and not self.claims.is_unused(row):
                age = self.age(row.value["at"])
                self.quarantine.note_trial(fingerprint, int(number), age)
            elif kind == TRIAL:
                log.debug("A claim of this process was answered late: {}", row.key)
            elif row.key not in self.leaving:
                self.quarantine.take(self.parse(row, fingerprint))
                self.listed.add(row.key)
        except (KeyError, TypeError, ValueError) as error:
            log.error("Cannot read {}/{}: {!r}", row.table, row.key, error)

    def parse(self, row: Row, fingerprint: str) -> Crash:
        """Return the crash in a row; raises KeyError, TypeError or ValueError."""
        value = row.value
        server, born = value["server"], value["born"]
        if not isinstance(server, str) or type(born) is not int:
            raise TypeError("no start of a server")
        seen_at = self.clock.monotonic() - self.age(value["at"])
        request = str(value["request"])[:MOST_ID]
        return Crash(row.key, fingerprint, request, ServerStart(server, born), seen_at)

    def age(self, at: object) -> float:
        """Return the seconds since a time of the store; raises TypeError, ValueError.

        0 before the store told its time: what a neighbour knows is taken for new.
        """
        age = store_time(self.store) - float(at)
        return max(0.0, age) if self.heard else 0.0

    def take_removal(self, key: str) -> None:
        """Take that a row is removed."""
        self.listed.discard(key)
        self.claims.note_removal(key)
        fingerprint, kind, number = split_key(key)
        if kind != TRIAL:
            self.quarantine.drop(fingerprint, key)
        elif number.isdecimal():
            self.quarantine.withdraw_trial(fingerprint, int(number))

    def learn(self, crash: Crash) -> bool:
        """Take a crash of which a neighbour told; return whether it is new here."""
        known = self.quarantine.knows(crash.fingerprint, crash.key)
        if known or crash.key in self.leaving:
            return False
        self.quarantine.take(crash)
        new = self.quarantine.knows(crash.fingerprint, crash.key)
        if new and len(self.heard_of) < MOST_WAITING:
            wait = self.chance.uniform(*WRITTEN_FOR_OTHERS)
            self.heard_of[crash.key] = crash, self.clock.monotonic() + wait
        return new

    def write_for_others(self) -> None:
        """Write what neighbours told and the store does not: who saw it may be gone."""
        now = self.clock.monotonic()
        for key, (crash, due) in list(self.heard_of.items()):
            known = self.quarantine.knows(crash.fingerprint, key)
            if key in self.listed or not known:
                del self.heard_of[key]
            elif due <= now and self.followed:
                del self.heard_of[key]
                self.tell(crash)

    def learn_trial(self, key: str) -> None:
        """Take a trial of which a neighbour told."""
        fingerprint, kind, number = split_key(key)
        if kind == TRIAL and number.isdecimal():
            self.quarantine.note_trial(fingerprint, int(number))

    # What is told to others.

    def tell(self, crash: Crash) -> None:
        """Have a crash written."""
        self.waiting[crash.key] = crash
        self.bound(self.waiting)
        self.news.set()

    def remove(self, keys: list[str]) -> None:
        """Have rows removed."""
        for key in keys:
            waited = self.waiting.pop(key, None) is not None
            if not waited or key in self.attempted:
                self.leaving[key] = None
            self.attempted.discard(key)
        self.bound(self.leaving)
        self.news.set()

    def bound(self, queue: dict) -> None:
        """Drop the oldest of what waits where there is too much."""
        while len(queue) > MOST_WAITING:
            key = next(iter(queue))
            del queue[key]
            self.attempted.discard(key)
            log.warning("Too many rows wait for the store; one is left out: {}", key)

    def forget(self, fingerprint: str, keys: list[str], trials: int) -> None:
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
        self.remove([*told, *keys, *made])

    async def run(self) -> None:
        """Write and remove rows until cancelled."""
        while True:
            await self.news.wait()
            self.news.clear()
            while self.waiting or self.leaving or self.claims.withdrawn:
                await self.clock.sleep(await self.write_some())

    async def write_some(self) -> float:
        """Make one transaction; return the seconds until the next."""
        if not self.heard:
            # The times in the rows are the store's.
            return RETRY_MOST
        if self.claims.withdrawn:
            outcome = await self.claims.write_withdrawal()
            taken = isinstance(outcome, (Committed, Conflict))
            return PAUSE if taken else self.note_failure(outcome)
        told = self.settled()[:ROWS_AT_ONCE]
        gone = [key for key in self.leaving if key not in self.waiting][:ROWS_AT_ONCE]
        writes = [Write(CRASHES, crash.key, self.value(crash)) for crash in told]
        writes += [Write(CRASHES, key) for key in gone]
        if not writes:
            return SETTLED_AFTER / 2
        self.attempted.update(crash.key for crash in told)
        outcome = await self.store.commit(writes)
        if not isinstance(outcome, Committed):
            return self.note_failure(outcome)
        self.failures = 0
        for crash in told:
            self.waiting.pop(crash.key, None)
            self.attempted.discard(crash.key)
        for key in gone:
            self.leaving.pop(key, None)
        return PAUSE

    def settled(self) -> list[Crash]:
        """Return the crashes to write: not those of requests that may be answered yet.

        A sound request goes to another server at once; nothing is written of it.
        """
        horizon = self.clock.monotonic() - SETTLED_AFTER
        return [
            crash
            for crash in self.waiting.values()
            if crash.seen_at <= horizon or self.quarantine.ends(crash.fingerprint) > 1
        ]

    def note_failure(self, outcome: Written) -> float:
        """Count a transaction that may not have been carried out; return a pause."""
        self.failures += 1
        if self.failures == 1:
            reason = getattr(outcome, "reason", type(outcome).__name__)
            logs.event(log, "Crashes are not told yet.", reason=reason)
        pause = min(RETRY_FIRST * 2 ** min(self.failures, 10), RETRY_MOST)
        return pause * self.chance.uniform(0.5, 1.0)

    def value(self, crash: Crash) -> dict:
        """Return what the row of a crash holds: no body, and nothing of a caller."""
        age = self.clock.monotonic() - crash.seen_at
        return {
            "server": crash.start.id,
            "born": crash.start.born,
            "request": crash.request,
            "at": round(store_time(self.store) - age, 3),
        }

    # Trials.

    async def claim_trial(self, fingerprint: str, number: int) -> Claim:
        """Have a trial made by this process and no other."""
        key = trial_key(fingerprint, number)
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT):
                outcome = await self.claims.claim(key)
        except TimeoutError:
            outcome = Claim.UNSETTLED
        if outcome is Claim.UNSETTLED and not self.followed and number == 1:
            # Cut off, nobody can be asked: a sound request would wait for the store.
            self.own_trials = {key: self.clock.monotonic()}
            return Claim.OWN
        return outcome

    def withdraw_trial(self, fingerprint: str, number: int) -> None:
        """Have the row of a trial removed that came to nothing."""
        self.claims.withdraw(trial_key(fingerprint, number))
        self.news.set()

    def sweep(self) -> None:
        """Have rows written that others did not, and removed that are too old."""
        self.write_for_others()
        now = self.clock.monotonic()
        if now - self.swept_at < SWEEP_PERIOD:
            return
        self.swept_at = now
        horizon = store_time(self.store) - self.patience
        old = [row.key for row in self.watch.rows.values() if written_at(row) < horizon]
        if old:
            self.remove(old[:MOST_WAITING])


def written_at(row: Row) -> float:
    """Return the store's time in a row, in seconds; 0 where it tells none."""
    at = (row.value or {}).get("at", 0.0)
    return at if type(at) in (int, float) else 0.0
