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

__all__ = ["MOST_ENDS", "MOST_ID", "Crash", "Quarantine"]

# Servers that end under a request until it is held back. A call and its repetition
# can meet two that are lost with their hosts.
MOST_ENDS = 3
# Servers that ended under two requests from which on these are not run side by side.
SHARED_ENDS = 2
# Seconds until a request that is held back is tried again, for each of its trials.
TRIAL_PAUSES = (1.0, 20.0)
# The same behind a trial under which its server ended: a fourth end by chance is rare,
# and each trial of a bad one costs a server.
ENDED_PAUSE = 300.0
# Seconds for which an end is remembered.
FORGOTTEN = 3600.0
# Seconds within which several processes tell of the same end of a server: one that has
# no start to be known by is not back sooner.
SAME_END = 1.0
# Requests that are remembered, and crashes of each: with these 4 MB at the most.
MOST_CASES = 512
MOST_CRASHES = 16
# Requests that make room at once: each time, all are looked at.
FORGOTTEN_AT_ONCE = 32
# Letters that are kept of the id under which a request came: callers choose them.
MOST_ID = 64


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
class Case:
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
    trials: int = 0
    quiet_since: float = -math.inf
    tried_at: float = math.inf

    @property
    def ends(self) -> int:
        """Servers that ended: what several processes tell of one counts once."""
        ends = 0
        counted: dict[ServerStart, float] = {}
        for crash in sorted(self.crashes.values(), key=lambda crash: crash.seen_at):
            if crash.seen_at - counted.get(crash.start, -math.inf) >= SAME_END:
                ends += 1
                counted[crash.start] = crash.seen_at
        return ends

    @property
    def pause(self) -> float:
        """Seconds from what happened last to its next trial."""
        if self.trials >= len(TRIAL_PAUSES):
            return FORGOTTEN
        if any(crash.seen_at > self.tried_at for crash in self.crashes.values()):
            return ENDED_PAUSE
        return TRIAL_PAUSES[self.trials]

    @property
    def starts(self) -> set[ServerStart]:
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
        self.cases: dict[str, Case] = {}

    def take(self, crash: Crash) -> list[str]:
        """Take a crash; return the keys of those that make room for it."""
        if self.clock.monotonic() - crash.seen_at > FORGOTTEN:
            return []
        case = self.cases.get(crash.fingerprint)
        if case is None:
            removed = self.make_room()
            case = self.cases[crash.fingerprint] = Case()
        elif crash.key in case.crashes or len(case.crashes) >= MOST_CRASHES:
            return []
        else:
            removed = []
        case.crashes[crash.key] = crash
        case.quiet_since = max(case.quiet_since, crash.seen_at)
        return removed

    def make_room(self) -> list[str]:
        """Forget requests where there are too many; return the keys of their crashes.

        Those under which the fewest servers ended, and of these the oldest: a flood of
        different requests leaves those in place that are held back.
        """
        if len(self.cases) < MOST_CASES:
            return []
        rank = lambda name: (self.cases[name].ends, self.cases[name].quiet_since)
        gone = heapq.nsmallest(FORGOTTEN_AT_ONCE, self.cases, key=rank)
        return [key for name in gone for key in self.cases.pop(name).crashes]

    def knows(self, fingerprint: str, key: str) -> bool:
        """Tell whether a crash is known."""
        case = self.cases.get(fingerprint)
        return case is not None and key in case.crashes

    def ends(self, fingerprint: str) -> int:
        """Return how many servers ended under a request."""
        case = self.cases.get(fingerprint)
        return case.ends if case else 0

    def holds(self, fingerprint: str) -> bool:
        """Tell whether a request is held back.

        Not one that only ran beside another: under that one, all of its servers ended
        and others besides.
        """
        case = self.cases.get(fingerprint)
        if case is None or case.ends < MOST_ENDS:
            return False
        starts = case.starts
        more = [c for c in self.cases.values() if len(c.crashes) > len(starts)]
        return not any(other.starts > starts for other in more)

    def sends_left(self, fingerprint: str) -> int:
        """Return at how many servers at once a request may run, without a trial.

        As many as may end until it is held back; one, where it was let go.
        """
        if self.holds(fingerprint):
            return 0
        return max(1, MOST_ENDS - self.ends(fingerprint))

    def keeps_apart(self, fingerprint: str, others: Iterable[str]) -> bool:
        """Tell whether a request must not run beside others at one server.

        Not beside one under which the same servers ended, nor one that is held back
        beside another on trial: both would be blamed for one end more.
        """
        case = self.cases.get(fingerprint)
        if case is None or case.ends < SHARED_ENDS:
            return False
        known = {name: self.cases[name] for name in others if name in self.cases}
        known.pop(fingerprint, None)
        if self.holds(fingerprint) and any(map(self.holds, known)):
            return True
        shared = (len(case.starts & other.starts) for other in known.values())
        return any(count >= SHARED_ENDS for count in shared)

    def crashes(self, fingerprint: str) -> list[Crash]:
        """Return the crashes under a request, the oldest first."""
        case = self.cases.get(fingerprint)
        found = case.crashes.values() if case else ()
        return sorted(found, key=lambda crash: crash.seen_at)

    def trials(self, fingerprint: str) -> int:
        """Return how often a request was tried while it was held back."""
        case = self.cases.get(fingerprint)
        return case.trials if case else 0

    def pause(self, fingerprint: str) -> float:
        """Return the seconds until a request may be sent or, held back, tried again.

        Once all trials are made, those until its crashes are forgotten.
        """
        if not self.holds(fingerprint):
            return 0.0
        case = self.cases[fingerprint]
        quiet = self.clock.monotonic() - case.quiet_since
        return max(0.0, case.pause - quiet)

    def may_try(self, fingerprint: str) -> bool:
        """Tell whether a request that is held back may be tried now."""
        left = self.trials(fingerprint) < len(TRIAL_PAUSES)
        return left and self.holds(fingerprint) and self.pause(fingerprint) <= 0

    def note_trial(self, fingerprint: str, number: int, age: float = 0.0) -> None:
        """Take that the trial of that number, from 1, was begun some seconds ago."""
        case = self.cases.get(fingerprint)
        if case is not None and number > case.trials:
            case.trials = number
            case.tried_at = self.clock.monotonic() - age
            case.quiet_since = max(case.quiet_since, case.tried_at)

    def withdraw_trial(self, fingerprint: str, number: int) -> None:
        """Take that a trial came to nothing, since no server took the request.

        It may be made again as soon as a first one.
        """
        case = self.cases.get(fingerprint)
        if case is not None and case.trials == number:
            case.trials = number - 1
            case.tried_at = math.inf
            self.put_off(fingerprint)

    def put_off(self, fingerprint: str) -> None:
        """Have the next trial wait as long as a first one."""
        case = self.cases.get(fingerprint)
        if case is None or case.trials >= len(TRIAL_PAUSES):
            return
        waited = case.pause - TRIAL_PAUSES[0]
        case.quiet_since = self.clock.monotonic() - waited

    def clear(self, fingerprint: str) -> list[str]:
        """Take that a server answered a request; return the keys of its crashes."""
        case = self.cases.pop(fingerprint, None)
        return list(case.crashes) if case else []

    def drop(self, fingerprint: str, key: str) -> None:
        """Take that a crash is no longer told."""
        case = self.cases.get(fingerprint)
        if case is None:
            return
        case.crashes.pop(key, None)
        if not case.crashes:
            del self.cases[fingerprint]

    def forget_old(self) -> None:
        """Forget the crashes that are too old."""
        horizon = self.clock.monotonic() - FORGOTTEN
        for fingerprint, case in list(self.cases.items()):
            for key, crash in list(case.crashes.items()):
                if crash.seen_at < horizon:
                    self.drop(fingerprint, key)
