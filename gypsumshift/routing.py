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
from gypsumshift.ejection import EjectionPolicy
from gypsumshift.generated.messages import RequestClass
from gypsumshift.membership import Membership, Peer, rendezvous_weight

__all__ = ["LeastReportedRouter", "LoadRouter", "RoundRobinRouter", "ROUTERS", "Router"]

SAMPLED_CANDIDATES = 2
ZONE_PENALTY_S = 0.003
AFFINITY_SLACK = 1.0
DEFAULT_DURATION_S = 0.05
FAILURES_TO_EJECT = 3
SLOW_FACTOR = 2.5
SLOW_PROBE_FACTOR = 4.0
MIN_COMPARED = 3
MIN_SAMPLES = 16
DURATION_AVERAGE_WEIGHT = 0.1
EJECTION_POLICY = EjectionPolicy(first_pause_s=1.0, max_pause_s=30.0, max_share=0.5)
FULLNESS_WEIGHT = 0.2
SWAP_PENALTY = 10.0


@attrs.define
class SidecarRecord:
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
    ejected_until: float = 0.0
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

    def __init__(
        self, pool: str, view: Membership, clock: Clock, chance: random.Random
    ):
        self.pool = pool
        self.membership = view
        self.clock = clock
        self.chance = chance
        self.records: dict[str, SidecarRecord] = {}

    def has_free_slot(self, known: Peer, kind: int) -> bool:
        """Tell whether a sidecar is worth asking for a place without waiting."""
        return False

    @abc.abstractmethod
    def pick_candidate(self, candidates: list[Peer], affinity: str, kind: int) -> Peer:
        """Return one of several candidates."""

    def choose_sidecar(
        self,
        avoid: set[str],
        affinity: str = "",
        request_class: int = RequestClass.CLIENT,
    ) -> Peer | None:
        """Return the sidecar to try next; None where there is none left.

        Parameters
        ----------
        avoid : set of str
            Names already tried.
        affinity : str
            Requests with the same text profit from the same backend server.
        kind : RequestClass
        """
        everyone = self.membership.sidecars(self.pool)
        self.prune_records()
        left = [known for known in everyone if known.member.name not in avoid]
        usable = [known for known in left if self.is_usable(known)]
        candidates = usable or left
        return (
            self.pick_candidate(candidates, affinity, request_class)
            if candidates
            else None
        )

    def prune_records(self) -> None:
        """Drop the records of processes that are gone."""
        for name in [
            name for name in self.records if name not in self.membership.peers
        ]:
            del self.records[name]

    def is_usable(self, known: Peer) -> bool:
        """Tell whether a sidecar is neither ejected nor reports ill health."""
        if known.load is not None and not known.load.healthy:
            return False
        record = self.record_of(known)
        if record.probation and record.outstanding:
            return False
        return record.ejected_until <= self.clock.monotonic()

    def record_of(self, known: Peer) -> SidecarRecord:
        """Return what is seen of a sidecar; a new process starts anew."""
        name, incarnation = known.member.name, known.member.incarnation
        record = self.records.get(name)
        if record is None or record.incarnation != incarnation:
            record = self.records[name] = SidecarRecord(incarnation)
        return record

    def record_sent(self, known: Peer) -> None:
        """Count a request that goes out."""
        record = self.record_of(known)
        record.outstanding += 1
        record.since_report += 1

    def record_ended(self, known: Peer) -> None:
        """Count a request that ended, however."""
        record = self.record_of(known)
        record.outstanding = max(0, record.outstanding - 1)

    def record_report(self, known: Peer) -> None:
        """A load report came; what was sent before is in it."""
        self.record_of(known).since_report = 0

    def record_answer(self, known: Peer, took: float) -> None:
        """Take an answer whose head came after ``took`` seconds."""
        record = self.record_of(known)
        record.failures = 0
        record.samples += 1
        step = max(DURATION_AVERAGE_WEIGHT, 1 / record.samples)
        record.log_duration += step * (math.log(max(took, 1e-6)) - record.log_duration)
        if record.probation:
            record.probation = False
            if took > SLOW_PROBE_FACTOR * self.median_answer_time() > 0:
                self.eject(record)
            else:
                record.ejections = 0
        elif record.samples >= MIN_SAMPLES and self.is_slow(record):
            self.eject(record)

    def median_answer_time(self) -> float:
        """Return the median over the pool of the time to an answer; 0 for unknown."""
        logs = [
            r.log_duration for r in self.records.values() if r.samples >= MIN_SAMPLES
        ]
        if len(logs) < MIN_COMPARED:
            return 0.0
        return math.exp(sorted(logs)[len(logs) // 2])

    def is_slow(self, record: SidecarRecord) -> bool:
        """Tell whether one answers much more slowly than the median of the pool."""
        usual = self.median_answer_time()
        return usual > 0 and math.exp(record.log_duration) > SLOW_FACTOR * usual

    def record_failure(self, known: Peer) -> None:
        """Take a failure that is the sidecar's or its backend server's."""
        record = self.record_of(known)
        record.failures += 1
        if record.failures >= FAILURES_TO_EJECT:
            self.eject(record)

    def eject(self, record: SidecarRecord) -> None:
        """Do not choose one for a while, unless too many are out already."""
        now = self.clock.monotonic()
        out = sum(1 for other in self.records.values() if other.ejected_until > now)
        if not EJECTION_POLICY.may_eject(out, len(self.records)):
            return
        record.ejected_until = now + EJECTION_POLICY.pause_seconds(
            record.ejections, self.chance
        )
        record.ejections += 1
        record.samples = record.failures = 0
        record.probation = True

    def count_ejected(self) -> int:
        """Return how many are ejected now."""
        now = self.clock.monotonic()
        return sum(1 for record in self.records.values() if record.ejected_until > now)


class LoadRouter(Router):
    """Two choices by estimated wait, with affinity that yields under load."""

    def estimate_wait(self, known: Peer, kind: int) -> float:
        """Return the seconds until an answer from there, roughly.

        What sidecars report of their speed is noisy, so only one that is much
        slower than usual counts as slower at all.
        """
        record, load = self.record_of(known), known.load
        usual = self.median_service_time()
        wait = (
            0.0
            if known.member.zone == self.membership.own_member.zone
            else ZONE_PENALTY_S
        )
        if load is None:
            return wait + usual * (1 + record.outstanding)
        slow = load.duration_s > SLOW_FACTOR * usual
        spent = load.duration_s if slow else usual
        if load.swapping:
            wait += SWAP_PENALTY * usual
        limit = max(1, load.limit)
        before = self.count_ahead(known, kind)
        turns = max(0, before + 1 - limit) / limit
        return wait + spent * (1 + turns + FULLNESS_WEIGHT * before / limit)

    def has_free_slot(self, known: Peer, kind: int) -> bool:
        """Tell whether a sidecar seems to have a place free."""
        return (
            known.load is not None and self.count_ahead(known, kind) < known.load.limit
        )

    def count_ahead(self, known: Peer, kind: int) -> int:
        """Return how many requests run there or go before one of a class."""
        load = known.load
        waiting = load.queued
        if kind == RequestClass.CLIENT:
            waiting = load.queued_clients
        elif kind == RequestClass.INTERNAL:
            waiting = load.queued_clients + load.queued_internal
        return load.running + waiting + self.record_of(known).since_report

    def median_service_time(self) -> float:
        """Return the median service time that the pool's sidecars report."""
        spent = [
            known.load.duration_s
            for known in self.membership.sidecars(self.pool)
            if known.load and known.load.duration_s
        ]
        return sorted(spent)[len(spent) // 2] if spent else DEFAULT_DURATION_S

    def pick_candidate(self, candidates, affinity, kind):
        """Return the home of the affinity unless it is busy, else the better of two."""
        few = min(SAMPLED_CANDIDATES, len(candidates))
        wait = functools.partial(self.estimate_wait, kind=kind)
        best = min(self.chance.sample(candidates, few), key=wait)
        if not affinity:
            return best
        home = max(
            candidates,
            key=lambda known: rendezvous_weight(affinity, known.member.backend),
        )
        slack = AFFINITY_SLACK * self.median_service_time()
        return home if wait(home) <= wait(best) + slack else best


class RoundRobinRouter(Router):
    """Each in turn; a plain baseline."""

    def __init__(self, pool, view, clock, chance):
        super().__init__(pool, view, clock, chance)
        self.turn = 0

    def is_usable(self, known):
        """Every one is."""
        return True

    def pick_candidate(self, candidates, affinity, kind):
        """Return the next in turn."""
        self.turn += 1
        candidates.sort(key=lambda known: known.member.name)
        return candidates[self.turn % len(candidates)]


class LeastReportedRouter(Router):
    """The least loaded by the lagging reports alone; a plain baseline."""

    def is_usable(self, known):
        """Every one is."""
        return True

    def pick_candidate(self, candidates, affinity, kind):
        """Return the one that reported the fewest requests."""
        self.chance.shuffle(candidates)
        return min(candidates, key=reported_requests)


def reported_requests(known: Peer) -> int:
    """Return the requests in the last report of a sidecar."""
    return known.load.running + known.load.queued if known.load else 0


ROUTERS = {
    "load": LoadRouter,
    "round-robin": RoundRobinRouter,
    "least-reported": LeastReportedRouter,
}
