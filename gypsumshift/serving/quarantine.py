"""Quarantine: which requests are held back because backend servers ended under them.

The decision answers a request that ends each server that runs it and comes again, under
a new id and at any process: whatever one call counts, each new call ends more. So ends
are remembered by what is the same each time, its fingerprint, and a request under which
three servers ended is held back.

One that is sound can come under this by chance, most likely where all servers of its
service are lost at once, or beside one that ends them. So any answer of a server clears
a request, and one that is held back is tried again: by one process and at one server
each time, twice in all.
"""

import heapq
import math
from collections.abc import Iterable

import attrs

from gypsumshift.clock import Clock
from gypsumshift.serving.directory import ServerStart

__all__ = ["CRASH_LIMIT", "MAX_REQUEST_ID_LENGTH", "Crash", "Quarantine"]

# Servers that end under a request until it is held back. A call and its repetition
# can meet two that are lost with their hosts.
CRASH_LIMIT = 3
# Servers that ended under two requests from which on these are not run side by side.
SHARED_CRASH_LIMIT = 2
# Seconds until a request that is held back is tried again, for each of its trials.
TRIAL_DELAYS_S = (1.0, 20.0)
# The same behind a trial under which its server ended: a fourth end by chance is rare,
# and each trial of a bad one costs a server.
FAILED_TRIAL_DELAY_S = 300.0
# Seconds for which an end is remembered.
CRASH_RETENTION_S = 3600.0
# Seconds within which several processes tell of the same end of a server: one that has
# no start to be known by is not back sooner.
DUPLICATE_WINDOW_S = 1.0
# Requests that are remembered, and crashes of each: with these 4 MB at the most.
MAX_RECORDS = 512
MAX_CRASHES_PER_RECORD = 16
# Requests that make room at once: each time, all are looked at.
EVICTION_BATCH = 32
# Letters that are kept of the id under which a request came: callers choose them.
MAX_REQUEST_ID_LENGTH = 64


@attrs.frozen
class Crash:
    """A backend server that ended while it ran a request, as one process saw it.

    Attributes
    ----------
    key : str
        Unique over all processes.
    fingerprint : str
        Of the request.
    request : str
        Id under which the request had come.
    start : ServerStart
        What ended.
    seen_at : float
        By the monotonic clock here, in seconds.
    """

    key: str
    fingerprint: str
    request: str
    start: ServerStart
    seen_at: float


@attrs.define
class RequestRecord:
    """What is known of one request.

    Attributes
    ----------
    crashes : dict
        `Crash` by key.
    trials : int
        Times that it was tried while it was held back.
    quiet_since : float
        When a server ended under it, or it was tried, the last time.
    tried_at : float
        When it was tried the last time.
    """

    crashes: dict[str, Crash] = attrs.field(factory=dict)
    trial_count: int = 0
    last_event_at: float = -math.inf
    last_trial_at: float = math.inf

    @property
    def crash_count(self) -> int:
        """Servers that ended: what several processes tell of one counts once."""
        ends = 0
        counted: dict[ServerStart, float] = {}
        for crash in sorted(self.crashes.values(), key=lambda crash: crash.seen_at):
            if (
                crash.seen_at - counted.get(crash.start, -math.inf)
                >= DUPLICATE_WINDOW_S
            ):
                ends += 1
                counted[crash.start] = crash.seen_at
        return ends

    @property
    def trial_delay(self) -> float:
        """Seconds from what happened last to its next trial."""
        if self.trial_count >= len(TRIAL_DELAYS_S):
            return CRASH_RETENTION_S
        if any(crash.seen_at > self.last_trial_at for crash in self.crashes.values()):
            return FAILED_TRIAL_DELAY_S
        return TRIAL_DELAYS_S[self.trial_count]

    @property
    def server_starts(self) -> set[ServerStart]:
        """Servers that ended."""
        return {crash.start for crash in self.crashes.values()}


class Quarantine:
    """The requests under which servers ended; bounded in number, size and age.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.records: dict[str, RequestRecord] = {}

    def add_crash(self, crash: Crash) -> list[str]:
        """Take a crash; return the keys of those that make room for it."""
        if self.clock.monotonic() - crash.seen_at > CRASH_RETENTION_S:
            return []
        case = self.records.get(crash.fingerprint)
        if case is None:
            removed = self.evict_records()
            case = self.records[crash.fingerprint] = RequestRecord()
        elif crash.key in case.crashes or len(case.crashes) >= MAX_CRASHES_PER_RECORD:
            return []
        else:
            removed = []
        case.crashes[crash.key] = crash
        case.last_event_at = max(case.last_event_at, crash.seen_at)
        return removed

    def evict_records(self) -> list[str]:
        """Forget requests where there are too many; return the keys of their crashes.

        Those under which the fewest servers ended, and of these the oldest: a flood of
        different requests leaves those in place that are held back.
        """
        if len(self.records) < MAX_RECORDS:
            return []
        rank = lambda name: (
            self.records[name].crash_count,
            self.records[name].last_event_at,
        )
        gone = heapq.nsmallest(EVICTION_BATCH, self.records, key=rank)
        return [key for name in gone for key in self.records.pop(name).crashes]

    def has_crash(self, fingerprint: str, key: str) -> bool:
        """Tell whether a crash is known."""
        case = self.records.get(fingerprint)
        return case is not None and key in case.crashes

    def crash_count(self, fingerprint: str) -> int:
        """Return how many servers ended under a request."""
        case = self.records.get(fingerprint)
        return case.crash_count if case else 0

    def is_held_back(self, fingerprint: str) -> bool:
        """Tell whether a request is held back.

        Not one that only ran beside another: under that one, all of its servers ended
        and others besides.
        """
        case = self.records.get(fingerprint)
        if case is None or case.crash_count < CRASH_LIMIT:
            return False
        starts = case.server_starts
        more = [c for c in self.records.values() if len(c.crashes) > len(starts)]
        return not any(other.server_starts > starts for other in more)

    def max_parallel_sends(self, fingerprint: str) -> int:
        """Return at how many servers at once a request may run, without a trial.

        As many as may end until it is held back; one, where it was let go.
        """
        if self.is_held_back(fingerprint):
            return 0
        return max(1, CRASH_LIMIT - self.crash_count(fingerprint))

    def must_run_apart(self, fingerprint: str, others: Iterable[str]) -> bool:
        """Tell whether a request must not run beside others at one server.

        Not beside one under which the same servers ended, nor one that is held back
        beside another on trial: both would be blamed for one end more.
        """
        case = self.records.get(fingerprint)
        if case is None or case.crash_count < SHARED_CRASH_LIMIT:
            return False
        known = {name: self.records[name] for name in others if name in self.records}
        known.pop(fingerprint, None)
        if self.is_held_back(fingerprint) and any(map(self.is_held_back, known)):
            return True
        shared = (
            len(case.server_starts & other.server_starts) for other in known.values()
        )
        return any(count >= SHARED_CRASH_LIMIT for count in shared)

    def crashes(self, fingerprint: str) -> list[Crash]:
        """Return the crashes under a request, the oldest first."""
        case = self.records.get(fingerprint)
        found = case.crashes.values() if case else ()
        return sorted(found, key=lambda crash: crash.seen_at)

    def trial_count(self, fingerprint: str) -> int:
        """Return how often a request was tried while it was held back."""
        case = self.records.get(fingerprint)
        return case.trial_count if case else 0

    def seconds_to_trial(self, fingerprint: str) -> float:
        """Return the seconds until a request may be sent or, held back, tried again.

        Once all trials are made, those until its crashes are forgotten.
        """
        if not self.is_held_back(fingerprint):
            return 0.0
        case = self.records[fingerprint]
        quiet = self.clock.monotonic() - case.last_event_at
        return max(0.0, case.trial_delay - quiet)

    def is_trial_due(self, fingerprint: str) -> bool:
        """Tell whether a request that is held back may be tried now."""
        left = self.trial_count(fingerprint) < len(TRIAL_DELAYS_S)
        return (
            left
            and self.is_held_back(fingerprint)
            and self.seconds_to_trial(fingerprint) <= 0
        )

    def record_trial(self, fingerprint: str, number: int, age: float = 0.0) -> None:
        """Take that the trial of that number, from 1, was begun some seconds ago."""
        case = self.records.get(fingerprint)
        if case is not None and number > case.trial_count:
            case.trial_count = number
            case.last_trial_at = self.clock.monotonic() - age
            case.last_event_at = max(case.last_event_at, case.last_trial_at)

    def withdraw_trial(self, fingerprint: str, number: int) -> None:
        """Take that a trial came to nothing, since no server took the request.

        It may be made again as soon as a first one.
        """
        case = self.records.get(fingerprint)
        if case is not None and case.trial_count == number:
            case.trial_count = number - 1
            case.last_trial_at = math.inf
            self.postpone_trial(fingerprint)

    def postpone_trial(self, fingerprint: str) -> None:
        """Have the next trial wait as long as a first one."""
        case = self.records.get(fingerprint)
        if case is None or case.trial_count >= len(TRIAL_DELAYS_S):
            return
        waited = case.trial_delay - TRIAL_DELAYS_S[0]
        case.last_event_at = self.clock.monotonic() - waited

    def clear(self, fingerprint: str) -> list[str]:
        """Take that a server answered a request; return the keys of its crashes."""
        case = self.records.pop(fingerprint, None)
        return list(case.crashes) if case else []

    def remove_crash(self, fingerprint: str, key: str) -> None:
        """Take that a crash is no longer told."""
        case = self.records.get(fingerprint)
        if case is None:
            return
        case.crashes.pop(key, None)
        if not case.crashes:
            del self.records[fingerprint]

    def remove_expired(self) -> None:
        """Forget the crashes that are too old."""
        horizon = self.clock.monotonic() - CRASH_RETENTION_S
        for fingerprint, case in list(self.records.items()):
            for key, crash in list(case.crashes.items()):
                if crash.seen_at < horizon:
                    self.remove_crash(fingerprint, key)
