"""Routing: which backend server an entry tries next.

Reports lag and views are partial, so a choice is only a good guess: the sidecar
of the chosen backend server still decides.
"""

import abc
import functools
import math
import random

import attrs

from gypsumshift.clock import Clock
from gypsumshift.ejection import Ejection
from gypsumshift.generated.messages import RequestClass
from gypsumshift.members import Known, View, rank

__all__ = ["LeastReported", "LoadRouter", "RoundRobin", "ROUTERS", "Router"]

CHOICES = 2
ZONE_PENALTY = 0.003
AFFINITY_SLACK = 1.0
DEFAULT_DURATION = 0.05
FAILURES_TO_EJECT = 3
SLOW_FACTOR = 2.5
SLOW_PROBE_FACTOR = 4.0
LEAST_COMPARED = 3
SLOW_SAMPLES = 16
DURATION_WEIGHT = 0.1
EJECTION = Ejection(first=1.0, most=30.0, share=0.5)
FULLNESS_WEIGHT = 0.2
SWAP_PENALTY = 10.0


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
    log_duration : float
        Moving average of the logarithm of the time to an answer, in seconds.
        Service times have a heavy tail, which a plain average follows too much.
    samples : int
        How many made up ``log_duration``.
    probation : bool
        Back from an ejection: one request at a time, until one is answered well.
    """

    incarnation: int
    outstanding: int = 0
    since_report: int = 0
    failures: int = 0
    ejections: int = 0
    until: float = 0.0
    log_duration: float = 0.0
    samples: int = 0
    probation: bool = False


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

    def has_place(self, known: Known, kind: int) -> bool:
        """Tell whether a sidecar is worth asking for a place without waiting."""
        return False

    @abc.abstractmethod
    def pick(self, candidates: list[Known], affinity: str, kind: int) -> Known:
        """Return one of several candidates."""

    def choose(
        self, avoid: set[str], affinity: str = "", kind: int = RequestClass.CLIENT
    ) -> Known | None:
        """Return the sidecar to try next; None where there is none left.

        Parameters
        ----------
        avoid : set of str
            Names already tried.
        affinity : str
            Requests with the same text profit from the same backend server.
        kind : RequestClass
        """
        everyone = self.view.sidecars(self.pool)
        self.prune()
        left = [known for known in everyone if known.member.name not in avoid]
        usable = [known for known in left if self.usable(known)]
        candidates = usable or left
        return self.pick(candidates, affinity, kind) if candidates else None

    def prune(self) -> None:
        """Drop the records of processes that are gone."""
        for name in [name for name in self.records if name not in self.view.known]:
            del self.records[name]

    def usable(self, known: Known) -> bool:
        """Tell whether a sidecar is neither ejected nor reports ill health."""
        if known.load is not None and not known.load.healthy:
            return False
        record = self.record(known)
        if record.probation and record.outstanding:
            return False
        return record.until <= self.clock.monotonic()

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
        record.failures = 0
        record.samples += 1
        step = max(DURATION_WEIGHT, 1 / record.samples)
        record.log_duration += step * (math.log(max(took, 1e-6)) - record.log_duration)
        if record.probation:
            record.probation = False
            if took > SLOW_PROBE_FACTOR * self.usual() > 0:
                self.eject(record)
            else:
                record.ejections = 0
        elif record.samples >= SLOW_SAMPLES and self.is_slow(record):
            self.eject(record)

    def usual(self) -> float:
        """Return the median over the pool of the time to an answer; 0 for unknown."""
        logs = [
            r.log_duration for r in self.records.values() if r.samples >= SLOW_SAMPLES
        ]
        if len(logs) < LEAST_COMPARED:
            return 0.0
        return math.exp(sorted(logs)[len(logs) // 2])

    def is_slow(self, record: Record) -> bool:
        """Tell whether one answers much more slowly than the median of the pool."""
        usual = self.usual()
        return usual > 0 and math.exp(record.log_duration) > SLOW_FACTOR * usual

    def failed(self, known: Known) -> None:
        """Take a failure that is the sidecar's or its backend server's."""
        record = self.record(known)
        record.failures += 1
        if record.failures >= FAILURES_TO_EJECT:
            self.eject(record)

    def eject(self, record: Record) -> None:
        """Do not choose one for a while, unless too many are out already."""
        now = self.clock.monotonic()
        out = sum(1 for other in self.records.values() if other.until > now)
        if not EJECTION.allowed(out, len(self.records)):
            return
        record.until = now + EJECTION.pause(record.ejections, self.chance)
        record.ejections += 1
        record.samples = record.failures = 0
        record.probation = True

    def ejected(self) -> int:
        """Return how many are ejected now."""
        now = self.clock.monotonic()
        return sum(1 for record in self.records.values() if record.until > now)


class LoadRouter(Router):
    """Two choices by estimated wait, with affinity that yields under load."""

    def wait(self, known: Known, kind: int) -> float:
        """Return the seconds until an answer from there, roughly.

        What sidecars report of their speed is noisy, so only one that is much
        slower than usual counts as slower at all.
        """
        record, load = self.record(known), known.load
        usual = self.service_time()
        wait = 0.0 if known.member.zone == self.view.own.zone else ZONE_PENALTY
        if load is None:
            return wait + usual * (1 + record.outstanding)
        slow = load.duration_s > SLOW_FACTOR * usual
        spent = load.duration_s if slow else usual
        if load.swapping:
            wait += SWAP_PENALTY * usual
        limit = max(1, load.limit)
        before = self.ahead(known, kind)
        turns = max(0, before + 1 - limit) / limit
        return wait + spent * (1 + turns + FULLNESS_WEIGHT * before / limit)

    def has_place(self, known: Known, kind: int) -> bool:
        """Tell whether a sidecar seems to have a place free."""
        return known.load is not None and self.ahead(known, kind) < known.load.limit

    def ahead(self, known: Known, kind: int) -> int:
        """Return how many requests run there or go before one of a class."""
        load = known.load
        waiting = load.queued
        if kind == RequestClass.CLIENT:
            waiting = load.queued_clients
        elif kind == RequestClass.INTERNAL:
            waiting = load.queued_clients + load.queued_internal
        return load.running + waiting + self.record(known).since_report

    def service_time(self) -> float:
        """Return the median service time that the pool's sidecars report."""
        spent = [
            known.load.duration_s
            for known in self.view.sidecars(self.pool)
            if known.load and known.load.duration_s
        ]
        return sorted(spent)[len(spent) // 2] if spent else DEFAULT_DURATION

    def pick(self, candidates, affinity, kind):
        """Return the home of the affinity unless it is busy, else the better of two."""
        few = min(CHOICES, len(candidates))
        wait = functools.partial(self.wait, kind=kind)
        best = min(self.chance.sample(candidates, few), key=wait)
        if not affinity:
            return best
        home = max(candidates, key=lambda known: rank(affinity, known.member.backend))
        slack = AFFINITY_SLACK * self.service_time()
        return home if wait(home) <= wait(best) + slack else best


class RoundRobin(Router):
    """Each in turn; a plain baseline."""

    def __init__(self, pool, view, clock, chance):
        super().__init__(pool, view, clock, chance)
        self.turn = 0

    def usable(self, known):
        """Every one is."""
        return True

    def pick(self, candidates, affinity, kind):
        """Return the next in turn."""
        self.turn += 1
        candidates.sort(key=lambda known: known.member.name)
        return candidates[self.turn % len(candidates)]


class LeastReported(Router):
    """The least loaded by the lagging reports alone; a plain baseline."""

    def usable(self, known):
        """Every one is."""
        return True

    def pick(self, candidates, affinity, kind):
        """Return the one that reported the fewest requests."""
        self.chance.shuffle(candidates)
        return min(candidates, key=reported_requests)


def reported_requests(known: Known) -> int:
    """Return the requests in the last report of a sidecar."""
    return known.load.running + known.load.queued if known.load else 0


ROUTERS = {
    "load": LoadRouter,
    "round-robin": RoundRobin,
    "least-reported": LeastReported,
}
