"""Routing: which backend server an entry sends a request to next.

Load reports lag and an entry has only part of the data, so a choice is an estimate;
the sidecar of the chosen backend server decides whether it accepts the request.
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

# Sidecars drawn at random, of which the one with the shortest wait is chosen.
SAMPLED_CANDIDATES = 2
# Added to the wait for a sidecar in another availability zone.
ZONE_PENALTY_S = 0.003
# Service times by which the wait may be longer at the sidecar that a request's affinity
# prefers.
AFFINITY_SLACK = 1.0
# Service time of a pool without reports.
DEFAULT_DURATION_S = 0.05
# Failures in a row after which a sidecar is ejected.
FAILURES_TO_EJECT = 3
# A sidecar is slow if it takes more than this multiple of the pool's median.
SLOW_FACTOR = 2.5
# The same for the one request of a probation.
SLOW_PROBE_FACTOR = 4.0
# Sidecars with enough samples that a median needs.
MIN_COMPARED = 3
# Answers that a sidecar's average needs before it is compared.
MIN_SAMPLES = 16
# Least weight of the newest answer in the average.
DURATION_AVERAGE_WEIGHT = 0.1
EJECTION_POLICY = EjectionPolicy(first_pause_s=1.0, max_pause_s=30.0, max_share=0.5)
# Service times added to the wait when the requests ahead equal the limit, so that the
# emptier of two sidecars with free slots is preferred.
FULLNESS_WEIGHT = 0.2
# Service times added to the wait while a sidecar loads weights.
SWAP_PENALTY = 10.0


@attrs.define
class SidecarRecord:
    """Statistics of one sidecar from this entry's own requests.

    Attributes
    ----------
    incarnation : int
        Incarnation of the sidecar to which the statistics belong.
    outstanding : int
        Requests sent that have not ended.
    since_report : int
        Requests sent since the last load report arrived.
    failures : int
        Failures in a row.
    ejections : int
        Ejections in a row; each doubles the duration of the next.
    ejected_until : float
        End of the ejection, by the monotonic clock, in seconds.
    log_duration : float
        Moving average of the logarithm of the seconds to an answer. Service times
        have a heavy tail, which would dominate a plain average.
    samples : int
        Number of answers in ``log_duration``.
    probation : bool
        Whether the sidecar gets one request at a time after an ejection, until it has
        answered one.
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
    """Chooses a sidecar of one pool for each request, and ejects failing ones.

    Parameters
    ----------
    pool : str
    membership : Membership
    clock : Clock
    chance : random.Random
    """

    def __init__(
        self, pool: str, membership: Membership, clock: Clock, chance: random.Random
    ):
        self.pool = pool
        self.membership = membership
        self.clock = clock
        self.chance = chance
        self.records: dict[str, SidecarRecord] = {}

    def has_free_slot(self, sidecar: Peer, request_class: int) -> bool:
        """Return whether to try a sidecar for a free slot, without waiting there."""
        return False

    @abc.abstractmethod
    def pick_candidate(
        self, candidates: list[Peer], affinity: str, request_class: int
    ) -> Peer:
        """Return one of several candidates for a request."""

    def choose_sidecar(
        self,
        avoid: set[str],
        affinity: str = "",
        request_class: int = RequestClass.CLIENT,
    ) -> Peer | None:
        """Return the sidecar to try next; None if all have been tried.

        Ejected and unhealthy sidecars are returned only if there are no others.

        Parameters
        ----------
        avoid : set of str
            Names of the sidecars already tried.
        affinity : str
            Requests with the same text are faster on the same backend server.
        request_class : RequestClass
        """
        sidecars = self.membership.sidecars(self.pool)
        self.prune_records()
        untried = [sidecar for sidecar in sidecars if sidecar.member.name not in avoid]
        usable = [sidecar for sidecar in untried if self.is_usable(sidecar)]
        candidates = usable or untried
        return (
            self.pick_candidate(candidates, affinity, request_class)
            if candidates
            else None
        )

    def prune_records(self) -> None:
        """Drop the records of sidecars that are no longer in the membership."""
        for name in [
            name for name in self.records if name not in self.membership.peers
        ]:
            del self.records[name]

    def is_usable(self, sidecar: Peer) -> bool:
        """Return whether a sidecar is healthy, not ejected and free if on probation."""
        if sidecar.load is not None and not sidecar.load.healthy:
            return False
        record = self.record_of(sidecar)
        if record.probation and record.outstanding:
            return False
        return record.ejected_until <= self.clock.monotonic()

    def record_of(self, sidecar: Peer) -> SidecarRecord:
        """Return a sidecar's record; a new incarnation gets a new one."""
        name, incarnation = sidecar.member.name, sidecar.member.incarnation
        record = self.records.get(name)
        if record is None or record.incarnation != incarnation:
            record = self.records[name] = SidecarRecord(incarnation)
        return record

    def record_sent(self, sidecar: Peer) -> None:
        """Record that a request is sent to a sidecar."""
        record = self.record_of(sidecar)
        record.outstanding += 1
        record.since_report += 1

    def record_ended(self, sidecar: Peer) -> None:
        """Record that a request to a sidecar ended, with or without an answer."""
        record = self.record_of(sidecar)
        record.outstanding = max(0, record.outstanding - 1)

    def record_report(self, sidecar: Peer) -> None:
        """Record a load report; the requests sent so far are assumed to be in it."""
        self.record_of(sidecar).since_report = 0

    def record_answer(self, sidecar: Peer, duration_s: float) -> None:
        """Record an answer whose head arrived after ``duration_s`` seconds.

        A sidecar that is much slower than the others is ejected. If the answer ends a
        probation, only `SLOW_PROBE_FACTOR` decides on that.
        """
        record = self.record_of(sidecar)
        record.failures = 0
        record.samples += 1
        weight = max(DURATION_AVERAGE_WEIGHT, 1 / record.samples)
        record.log_duration += weight * (
            math.log(max(duration_s, 1e-6)) - record.log_duration
        )
        if record.probation:
            record.probation = False
            if duration_s > SLOW_PROBE_FACTOR * self.median_answer_time() > 0:
                self.eject(record)
            else:
                record.ejections = 0
        elif record.samples >= MIN_SAMPLES and self.is_slow(record):
            self.eject(record)

    def median_answer_time(self) -> float:
        """Return the pool's median of the seconds to an answer; 0 if unknown."""
        logs = [
            r.log_duration for r in self.records.values() if r.samples >= MIN_SAMPLES
        ]
        if len(logs) < MIN_COMPARED:
            return 0.0
        return math.exp(sorted(logs)[len(logs) // 2])

    def is_slow(self, record: SidecarRecord) -> bool:
        """Return whether a sidecar answers much more slowly than the pool's median."""
        median = self.median_answer_time()
        return median > 0 and math.exp(record.log_duration) > SLOW_FACTOR * median

    def record_failure(self, sidecar: Peer) -> None:
        """Record a failure of a sidecar or its server, which may eject it."""
        record = self.record_of(sidecar)
        record.failures += 1
        if record.failures >= FAILURES_TO_EJECT:
            self.eject(record)

    def eject(self, record: SidecarRecord) -> None:
        """Eject a sidecar for a while, unless too many are ejected already."""
        now = self.clock.monotonic()
        ejected = sum(1 for other in self.records.values() if other.ejected_until > now)
        if not EJECTION_POLICY.may_eject(ejected, len(self.records)):
            return
        record.ejected_until = now + EJECTION_POLICY.pause_seconds(
            record.ejections, self.chance
        )
        record.ejections += 1
        record.samples = record.failures = 0
        record.probation = True

    def count_ejected(self) -> int:
        """Return the number of sidecars that are ejected now."""
        now = self.clock.monotonic()
        return sum(1 for record in self.records.values() if record.ejected_until > now)


class LoadRouter(Router):
    """Power of two choices by estimated wait, with affinity that yields to load."""

    def estimate_wait(self, sidecar: Peer, request_class: int) -> float:
        """Estimate the seconds until a sidecar answers a new request.

        The service times that sidecars report are noisy, so the pool's median is
        assumed unless a sidecar is much slower.
        """
        record, load = self.record_of(sidecar), sidecar.load
        median = self.median_service_time()
        wait = (
            0.0
            if sidecar.member.zone == self.membership.own_member.zone
            else ZONE_PENALTY_S
        )
        if load is None:
            return wait + median * (1 + record.outstanding)
        slow = load.duration_s > SLOW_FACTOR * median
        service_time = load.duration_s if slow else median
        if load.swapping:
            wait += SWAP_PENALTY * median
        limit = max(1, load.limit)
        ahead = self.count_ahead(sidecar, request_class)
        rounds = max(0, ahead + 1 - limit) / limit
        return wait + service_time * (1 + rounds + FULLNESS_WEIGHT * ahead / limit)

    def has_free_slot(self, sidecar: Peer, request_class: int) -> bool:
        """Return whether a sidecar seems to have a free slot."""
        return (
            sidecar.load is not None
            and self.count_ahead(sidecar, request_class) < sidecar.load.limit
        )

    def count_ahead(self, sidecar: Peer, request_class: int) -> int:
        """Return the requests at a sidecar that precede a new one of a class."""
        load = sidecar.load
        waiting = load.queued
        if request_class == RequestClass.CLIENT:
            waiting = load.queued_clients
        elif request_class == RequestClass.INTERNAL:
            waiting = load.queued_clients + load.queued_internal
        return load.running + waiting + self.record_of(sidecar).since_report

    def median_service_time(self) -> float:
        """Return the median of the service times that the pool's sidecars report."""
        reported = [
            sidecar.load.duration_s
            for sidecar in self.membership.sidecars(self.pool)
            if sidecar.load and sidecar.load.duration_s
        ]
        return sorted(reported)[len(reported) // 2] if reported else DEFAULT_DURATION_S

    def pick_candidate(self, candidates, affinity, request_class):
        """Return the sidecar that the affinity prefers, or if busy the better of two.

        The preferred sidecar is the one with the highest rendezvous weight.
        """
        sample_size = min(SAMPLED_CANDIDATES, len(candidates))
        wait = functools.partial(self.estimate_wait, request_class=request_class)
        best = min(self.chance.sample(candidates, sample_size), key=wait)
        if not affinity:
            return best
        preferred = max(
            candidates,
            key=lambda sidecar: rendezvous_weight(affinity, sidecar.member.backend),
        )
        slack = AFFINITY_SLACK * self.median_service_time()
        return preferred if wait(preferred) <= wait(best) + slack else best


class RoundRobinRouter(Router):
    """Each sidecar in turn, as a baseline for comparison."""

    def __init__(self, pool, membership, clock, chance):
        super().__init__(pool, membership, clock, chance)
        self.turn = 0

    def is_usable(self, sidecar):
        """Return True: this router ejects no sidecar."""
        return True

    def pick_candidate(self, candidates, affinity, request_class):
        """Return the next sidecar in turn."""
        self.turn += 1
        candidates.sort(key=lambda sidecar: sidecar.member.name)
        return candidates[self.turn % len(candidates)]


class LeastReportedRouter(Router):
    """The least loaded sidecar by its last report, as a baseline for comparison."""

    def is_usable(self, sidecar):
        """Return True: this router ejects no sidecar."""
        return True

    def pick_candidate(self, candidates, affinity, request_class):
        """Return the sidecar with the fewest reported requests; ties are random."""
        self.chance.shuffle(candidates)
        return min(candidates, key=reported_requests)


def reported_requests(sidecar: Peer) -> int:
    """Return the requests that run or wait by a sidecar's last report."""
    return sidecar.load.running + sidecar.load.queued if sidecar.load else 0


ROUTERS = {
    "load": LoadRouter,
    "round-robin": RoundRobinRouter,
    "least-reported": LeastReportedRouter,
}
