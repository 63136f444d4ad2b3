"""Quarantine of requests that crashed several backend servers.

A request that crashes every server that runs it may be sent again under a new id and
to any process, so a limit within one call would not stop it. Crashes are therefore
counted by the request's fingerprint, which is the same each time. After three crashes
the request is held back, that is, not sent to servers.

A sound request can reach this limit by chance, most likely when all servers of its
service are lost at once, or when it runs beside a request that crashes them. Any answer
of a server therefore clears a request, and a held-back request is retried in trials: at
most two, each made by one process at one server.
"""

import heapq
import math
from collections.abc import Iterable

import attrs

from gypsumshift.clock import Clock
from gypsumshift.serving.directory import ServerStart

__all__ = ["CRASH_LIMIT", "MAX_REQUEST_ID_LENGTH", "Crash", "Quarantine"]

# Number of server crashes at which a request is held back. A call and its retry can
# meet two servers that were lost together with their hosts, hence not two.
CRASH_LIMIT = 3
# Number of crashed servers that two requests have in common at which these requests are
# no longer run at the same server at the same time.
SHARED_CRASH_LIMIT = 2
# Delay before each trial of a held-back request; its length is the number of trials.
TRIAL_DELAYS_S = (1.0, 20.0)
# Delay before the next trial if the last one crashed its server: a fourth crash by
# chance is rare, and each trial of a request that crashes servers costs one.
FAILED_TRIAL_DELAY_S = 300.0
# Time after which a crash is removed from the records.
CRASH_RETENTION_S = 3600.0
# Crashes of the same server start within this time are reports by several processes of
# one crash. A server that reports no start time takes longer than this to restart.
DUPLICATE_WINDOW_S = 1.0
# Maximum number of requests with records, and of crashes in each: 4 MB at the most.
MAX_RECORDS = 512
MAX_CRASHES_PER_RECORD = 16
# Number of records evicted at once, since each eviction ranks all records.
EVICTION_BATCH = 32
# Characters kept of a request id. Callers choose the ids, so their length is limited.
MAX_REQUEST_ID_LENGTH = 64


@attrs.frozen
class Crash:
    """Crash of a backend server while it ran a request, as observed by one process.

    Attributes
    ----------
    key : str
        Key of the crash, unique across all processes.
    fingerprint : str
        Fingerprint of the request.
    request : str
        Id under which the request was received.
    start : ServerStart
        The server start that crashed.
    seen_at : float
        Time of the crash in seconds, by the monotonic clock of this process.
    """

    key: str
    fingerprint: str
    request: str
    start: ServerStart
    seen_at: float


@attrs.define
class RequestRecord:
    """Crashes and trials of one request.

    Attributes
    ----------
    crashes : dict
        `Crash` by key.
    trial_count : int
        Number of trials made while the request was held back.
    last_event_at : float
        Time of the last crash or trial.
    last_trial_at : float
        Time of the last trial; infinite before the first one.
    """

    crashes: dict[str, Crash] = attrs.field(factory=dict)
    trial_count: int = 0
    last_event_at: float = -math.inf
    last_trial_at: float = math.inf

    @property
    def crash_count(self) -> int:
        """Number of crashes; several reports of the same crash count once."""
        count = 0
        last_counted: dict[ServerStart, float] = {}
        for crash in sorted(self.crashes.values(), key=lambda crash: crash.seen_at):
            if (
                crash.seen_at - last_counted.get(crash.start, -math.inf)
                >= DUPLICATE_WINDOW_S
            ):
                count += 1
                last_counted[crash.start] = crash.seen_at
        return count

    @property
    def trial_delay(self) -> float:
        """Seconds from the last crash or trial to the next trial."""
        if self.trial_count >= len(TRIAL_DELAYS_S):
            return CRASH_RETENTION_S
        if any(crash.seen_at > self.last_trial_at for crash in self.crashes.values()):
            return FAILED_TRIAL_DELAY_S
        return TRIAL_DELAYS_S[self.trial_count]

    @property
    def server_starts(self) -> set[ServerStart]:
        """Server starts that crashed."""
        return {crash.start for crash in self.crashes.values()}


class Quarantine:
    """Records of the requests that crashed servers, limited in number, size and age.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.records: dict[str, RequestRecord] = {}

    def add_crash(self, crash: Crash) -> list[str]:
        """Record a crash and return the keys of crashes that were evicted for it."""
        if self.clock.monotonic() - crash.seen_at > CRASH_RETENTION_S:
            return []
        record = self.records.get(crash.fingerprint)
        if record is None:
            removed = self.evict_records()
            record = self.records[crash.fingerprint] = RequestRecord()
        elif (
            crash.key in record.crashes or len(record.crashes) >= MAX_CRASHES_PER_RECORD
        ):
            return []
        else:
            removed = []
        record.crashes[crash.key] = crash
        record.last_event_at = max(record.last_event_at, crash.seen_at)
        return removed

    def evict_records(self) -> list[str]:
        """Evict records if the limit is reached, and return the keys of their crashes.

        Records with the fewest crashes go first, and of these the oldest. A flood of
        different requests thus does not evict requests that are held back.
        """
        if len(self.records) < MAX_RECORDS:
            return []
        rank = lambda fingerprint: (
            self.records[fingerprint].crash_count,
            self.records[fingerprint].last_event_at,
        )
        evicted = heapq.nsmallest(EVICTION_BATCH, self.records, key=rank)
        return [key for name in evicted for key in self.records.pop(name).crashes]

    def has_crash(self, fingerprint: str, key: str) -> bool:
        """Return whether a crash is recorded."""
        record = self.records.get(fingerprint)
        return record is not None and key in record.crashes

    def crash_count(self, fingerprint: str) -> int:
        """Return the number of server crashes recorded for a request."""
        record = self.records.get(fingerprint)
        return record.crash_count if record else 0

    def is_held_back(self, fingerprint: str) -> bool:
        """Return whether a request is held back.

        A request is not held back if another request crashed all of the same servers
        and more: then it probably only ran beside that one.
        """
        record = self.records.get(fingerprint)
        if record is None or record.crash_count < CRASH_LIMIT:
            return False
        starts = record.server_starts
        larger = [r for r in self.records.values() if len(r.crashes) > len(starts)]
        return not any(other.server_starts > starts for other in larger)

    def max_parallel_sends(self, fingerprint: str) -> int:
        """Return at how many servers at once a request may run outside of a trial.

        This is the number of crashes left before it is held back, so that running it
        cannot exceed the limit. It is 1 for a request that is over the limit but not
        held back.
        """
        if self.is_held_back(fingerprint):
            return 0
        return max(1, CRASH_LIMIT - self.crash_count(fingerprint))

    def must_run_apart(self, fingerprint: str, others: Iterable[str]) -> bool:
        """Return whether a request must not run at the same server as other requests.

        This holds if `SHARED_CRASH_LIMIT` servers crashed while running this request
        and another one, or if both are trials: the next crash would count for both.
        """
        record = self.records.get(fingerprint)
        if record is None or record.crash_count < SHARED_CRASH_LIMIT:
            return False
        known = {name: self.records[name] for name in others if name in self.records}
        known.pop(fingerprint, None)
        if self.is_held_back(fingerprint) and any(map(self.is_held_back, known)):
            return True
        shared = (
            len(record.server_starts & other.server_starts) for other in known.values()
        )
        return any(count >= SHARED_CRASH_LIMIT for count in shared)

    def crashes(self, fingerprint: str) -> list[Crash]:
        """Return the crashes recorded for a request, the oldest first."""
        record = self.records.get(fingerprint)
        found = record.crashes.values() if record else ()
        return sorted(found, key=lambda crash: crash.seen_at)

    def trial_count(self, fingerprint: str) -> int:
        """Return the number of trials made of a request while it was held back."""
        record = self.records.get(fingerprint)
        return record.trial_count if record else 0

    def seconds_to_trial(self, fingerprint: str) -> float:
        """Return the seconds until the next trial; 0 if the request is not held back.

        Once all trials are made, these are the seconds until its crashes expire.
        """
        if not self.is_held_back(fingerprint):
            return 0.0
        record = self.records[fingerprint]
        elapsed = self.clock.monotonic() - record.last_event_at
        return max(0.0, record.trial_delay - elapsed)

    def is_trial_due(self, fingerprint: str) -> bool:
        """Return whether a request is held back and a trial of it may be made now."""
        left = self.trial_count(fingerprint) < len(TRIAL_DELAYS_S)
        return (
            left
            and self.is_held_back(fingerprint)
            and self.seconds_to_trial(fingerprint) <= 0
        )

    def record_trial(self, fingerprint: str, number: int, age: float = 0.0) -> None:
        """Record that a trial was begun.

        Parameters
        ----------
        fingerprint : str
        number : int
            Number of the trial, from 1. One that is not higher than the last recorded
            trial is ignored.
        age : float
            Seconds since the trial was begun.
        """
        record = self.records.get(fingerprint)
        if record is not None and number > record.trial_count:
            record.trial_count = number
            record.last_trial_at = self.clock.monotonic() - age
            record.last_event_at = max(record.last_event_at, record.last_trial_at)

    def withdraw_trial(self, fingerprint: str, number: int) -> None:
        """Undo the record of a trial that no server ran.

        The trial may be made again after the delay of a first trial.
        """
        record = self.records.get(fingerprint)
        if record is not None and record.trial_count == number:
            record.trial_count = number - 1
            record.last_trial_at = math.inf
            self.postpone_trial(fingerprint)

    def postpone_trial(self, fingerprint: str) -> None:
        """Delay the next trial by the delay of a first trial, counted from now."""
        record = self.records.get(fingerprint)
        if record is None or record.trial_count >= len(TRIAL_DELAYS_S):
            return
        extra = record.trial_delay - TRIAL_DELAYS_S[0]
        record.last_event_at = self.clock.monotonic() - extra

    def clear(self, fingerprint: str) -> list[str]:
        """Remove the record of a request that was answered; return its crash keys."""
        record = self.records.pop(fingerprint, None)
        return list(record.crashes) if record else []

    def remove_crash(self, fingerprint: str, key: str) -> None:
        """Remove a crash, and the record of its request if it was the last one."""
        record = self.records.get(fingerprint)
        if record is None:
            return
        record.crashes.pop(key, None)
        if not record.crashes:
            del self.records[fingerprint]

    def remove_expired(self) -> None:
        """Remove the crashes that are older than the retention time."""
        horizon = self.clock.monotonic() - CRASH_RETENTION_S
        for fingerprint, record in list(self.records.items()):
            for key, crash in list(record.crashes.items()):
                if crash.seen_at < horizon:
                    self.remove_crash(fingerprint, key)
