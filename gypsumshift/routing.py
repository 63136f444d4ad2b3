"""Routing: which backend server an entry tries next.

Reports lag and views are partial, so a choice is only a good guess: the sidecar
of the chosen backend server still decides.
"""

import abc
import random

import attrs

from gypsumshift.clock import Clock
from gypsumshift.members import Known, View, rank

__all__ = ["LeastReported", "LoadRouter", "RoundRobin", "Router", "new_router"]

CHOICES = 2
ZONE_PENALTY = 0.003
AFFINITY_SLACK = 1.0
DEFAULT_DURATION = 0.05
FAILURES_TO_EJECT = 3
EJECT_FIRST = 1.0
EJECT_MOST = 30.0
SLOW_FACTOR = 3.0
SLOW_SAMPLES = 8
DURATION_WEIGHT = 0.2
EJECTED_SHARE = 0.5


@attrs.define
class Record:
    """What an entry has seen of one sidecar by its own requests.

    Attributes
    ----------
    incarnation : int
    outstanding : int
        Requests sent there without an answer yet.
    since_report : int
        Requests sent there since its last load report.
    failures : int
        In a row.
    ejections : int
        In a row; each doubles the time.
    until : float
        Not chosen before, by the monotonic clock, in seconds.
    duration : float
        Moving average of the time to the answer's head, in seconds.
    samples : int
        How many made up ``duration``.
    """

    incarnation: int
    outstanding: int = 0
    since_report: int = 0
    failures: int = 0
    ejections: int = 0
    until: float = 0.0
    duration: float = 0.0
    samples: int = 0


class Router(abc.ABC):
    """Chooses among the sidecars of one pool.

    Parameters
    ----------
    pool : str
    view : View
    clock : Clock
    chance : random.Random
    """

    def __init__(self, pool: str, view: View, clock: Clock, chance: random.Random):
        self.pool = pool
        self.view = view
        self.clock = clock
        self.chance = chance
        self.records: dict[str, Record] = {}

    @abc.abstractmethod
    def pick(self, candidates: list[Known], affinity: str) -> Known:
        """Return one of several candidates."""

    def choose(self, avoid: set[str], affinity: str = "") -> Known | None:
        """Return the sidecar to try next; None where there is none left.

        Parameters
        ----------
        avoid : set of str
            Names already tried.
        affinity : str
            Requests with the same text profit from the same backend server.
        """
        everyone = self.view.sidecars(self.pool)
        self.prune()
        left = [known for known in everyone if known.member.name not in avoid]
        usable = [known for known in left if self.usable(known)]
        candidates = usable or left
        return self.pick(candidates, affinity) if candidates else None

    def prune(self) -> None:
        """Drop the records of processes that are gone."""
        for name in [name for name in self.records if name not in self.view.known]:
            del self.records[name]

    def usable(self, known: Known) -> bool:
        """Tell whether a sidecar is neither ejected nor reports ill health."""
        if known.load is not None and not known.load.healthy:
            return False
        return self.record(known).until <= self.clock.monotonic()

    def record(self, known: Known) -> Record:
        """Return what is seen of a sidecar; a new process starts anew."""
        name, incarnation = known.member.name, known.member.incarnation
        record = self.records.get(name)
        if record is None or record.incarnation != incarnation:
            record = self.records[name] = Record(incarnation)
        return record

    def sent(self, known: Known) -> None:
        """Count a request that goes out."""
        record = self.record(known)
        record.outstanding += 1
        record.since_report += 1

    def ended(self, known: Known) -> None:
        """Count a request that ended, however."""
        record = self.record(known)
        record.outstanding = max(0, record.outstanding - 1)

    def reported(self, known: Known) -> None:
        """A load report came; what was sent before is in it."""
        self.record(known).since_report = 0

    def answered(self, known: Known, took: float) -> None:
        """Take an answer whose head came after ``took`` seconds."""
        record = self.record(known)
        record.failures = record.ejections = 0
        step = DURATION_WEIGHT if record.samples else 1.0
        record.duration += step * (took - record.duration)
        record.samples += 1
        if self.is_slow(record):
            self.eject(record)

    def failed(self, known: Known) -> None:
        """Take a failure that is the sidecar's or its backend server's."""
        record = self.record(known)
        record.failures += 1
        if record.failures >= FAILURES_TO_EJECT:
            self.eject(record)

    def is_slow(self, record: Record) -> bool:
        """Tell whether one answers much more slowly than the median of the pool."""
        if record.samples < SLOW_SAMPLES:
            return False
        others = [
            r.duration for r in self.records.values() if r.samples >= SLOW_SAMPLES
        ]
        if len(others) < 3:
            return False
        median = sorted(others)[len(others) // 2]
        return record.duration > SLOW_FACTOR * max(median, DEFAULT_DURATION / 10)

    def eject(self, record: Record) -> None:
        """Do not choose one for a while, unless too many are out already."""
        now = self.clock.monotonic()
        out = sum(1 for other in self.records.values() if other.until > now)
        if out + 1 > max(1, EJECTED_SHARE * len(self.records)):
            return
        pause = min(EJECT_FIRST * 2**record.ejections, EJECT_MOST)
        record.until = now + pause * self.chance.uniform(0.8, 1.2)
        record.ejections += 1
        record.samples = record.failures = 0

    def ejected(self) -> int:
        """Return how many are ejected now."""
        now = self.clock.monotonic()
        return sum(1 for record in self.records.values() if record.until > now)


class LoadRouter(Router):
    """Two choices by estimated wait, with affinity that yields under load."""

    def wait(self, known: Known) -> float:
        """Return the seconds that a request would wait there, roughly."""
        record, load = self.record(known), known.load
        duration = record.duration or DEFAULT_DURATION
        wait = 0.0 if known.member.zone == self.view.own.zone else ZONE_PENALTY
        if load is None:
            return wait + duration * record.outstanding
        if load.swapping:
            wait += duration
        limit = max(1, load.limit)
        running = load.running + record.since_report
        fullness = running / limit
        queue = load.queued + max(0, running - limit)
        spent = load.duration_s or duration
        return wait + duration * (1 + fullness) + spent * queue / limit

    def pick(self, candidates, affinity):
        """Return the home of the affinity unless it is busy, else the better of two."""
        few = min(CHOICES, len(candidates))
        best = min(self.chance.sample(candidates, few), key=self.wait)
        if not affinity:
            return best
        home = max(candidates, key=lambda known: rank(affinity, known.member.backend))
        duration = self.record(home).duration or DEFAULT_DURATION
        if self.wait(home) <= self.wait(best) + AFFINITY_SLACK * duration:
            return home
        return best


class RoundRobin(Router):
    """Each in turn; a plain baseline."""

    def __init__(self, pool, view, clock, chance):
        super().__init__(pool, view, clock, chance)
        self.turn = 0

    def usable(self, known):
        """Every one is."""
        return True

    def pick(self, candidates, affinity):
        """Return the next in turn."""
        self.turn += 1
        candidates.sort(key=lambda known: known.member.name)
        return candidates[self.turn % len(candidates)]


class LeastReported(Router):
    """The least loaded by the lagging reports alone; a plain baseline."""

    def usable(self, known):
        """Every one is."""
        return True

    def pick(self, candidates, affinity):
        """Return the one that reported the fewest requests."""
        self.chance.shuffle(candidates)
        return min(candidates, key=reported_requests)


def reported_requests(known: Known) -> int:
    """Return the requests in the last report of a sidecar."""
    return known.load.running + known.load.queued if known.load else 0


KINDS = {"load": LoadRouter, "round-robin": RoundRobin, "least-reported": LeastReported}


def new_router(kind: str, pool: str, view: View, clock: Clock, chance) -> Router:
    """Return a router of the declared kind."""
    return KINDS[kind](pool, view, clock, chance)
