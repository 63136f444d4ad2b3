"""Demand for each service by priority and workspace, of this and other processes.

Each process counts its own arrivals. While a service is near its capacity, the
processes exchange their counts in the digests of `gossip.py`, and pass on those of
others, so that each can divide the capacity by the demand of all. The state is small
and expires within seconds; it is never written to the store.
"""

import functools
import hashlib
import heapq
from collections.abc import Callable, Iterable

import attrs

from gypsumshift.clock import Clock
from gypsumshift.serving.demandrates import settle, summarize
from gypsumshift.serving.demandrecords import OthersDemand, OwnDemand, ProcessDemand
from gypsumshift.serving.demandsurges import OwnSurges, Surge, unreported_places
from gypsumshift.serving.fairshares import OTHERS, Demand, ShareKey

__all__ = [
    "DemandTable",
    "ExpectedRetry",
    "Total",
    "retry_mark",
    "share_name",
]

# Age after which the demand of another process no longer counts: three exchanges may
# fail, and the demand of a process that ended must not be kept free for longer.
MAX_AGE_SECONDS = 3.0
# How long a process reports its demand after a server was last near its limit.
ACTIVE_SECONDS = 3.0
# Rows and processes in a digest: 30 processes with 8 rows of about 28 bytes are 7 kB.
MAX_DIGEST_ROWS = 256
MAX_DIGEST_PROCESSES = 64
# Services, and processes for each, of which the demand is kept.
MAX_SERVICES = 64
MAX_PROCESSES = 256
# Retries that a digest announces, and that a process keeps: refusals of about a second.
MAX_DIGEST_RETRIES = 64
MAX_RETRIES = 512
# A retry is expected for this long around its time: callers wait a little longer than
# they are asked to, never less.
RETRY_EARLY_SECONDS = 0.02
RETRY_LATE_SECONDS = 0.5
# Longest name in a digest; longer workspace names are replaced by a hash.
MAX_NAME_LENGTH = 40
# Digests that carry the same figure differ in its age by rounding.
AGE_ROUNDING_SECONDS = 0.02


def share_name(workspace: str) -> str:
    """Return the name under which a workspace is counted; a hash if it is long."""
    if len(workspace) <= MAX_NAME_LENGTH:
        return workspace
    data = workspace.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, digest_size=12).hexdigest()


def retry_mark(fingerprint: str) -> str:
    """Return the short hash by which a refused call is recognized when it returns."""
    data = fingerprint.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, digest_size=6).hexdigest()


@attrs.frozen
class ExpectedRetry:
    """A refused call that is expected again.

    Attributes
    ----------
    mark : str
        See `retry_mark`.
    due_at : float
        By this process's monotonic clock, in seconds.
    """

    mark: str
    due_at: float


@attrs.frozen
class Total:
    """Demand for one service, of all processes.

    Attributes
    ----------
    demands : dict
        `Demand` by `ShareKey`.
    own : dict
        The part of this process.
    waiting_elsewhere : float
        Number of calls that wait in other processes.
    others : int
        Number of other processes included.
    age : float
        Age of the oldest figure included, in seconds.
    """

    demands: dict[ShareKey, Demand]
    own: dict[ShareKey, Demand]
    waiting_elsewhere: float = 0.0
    others: int = 0
    age: float = 0.0

    @functools.cached_property
    def places(self) -> float:
        """Demand of all processes."""
        return sum(demand.places for demand in self.demands.values())

    @functools.cached_property
    def own_places(self) -> float:
        """Demand of this process."""
        return sum(demand.places for demand in self.own.values())


class DemandTable:
    """Demand by service, own and of other processes.

    Parameters
    ----------
    process : str
        Name of this process.
    clock : Clock

    Attributes
    ----------
    own : dict
        `OwnDemand` by service.
    others : dict
        `OthersDemand` by service.
    surges : dict
        `OwnSurges` by service.
    retries : dict
        Time at which a refused call is expected again, by its mark.
    count_processes : callable
        Returns the number of processes that may share a service; by default 1.
    """

    def __init__(self, process: str, clock: Clock):
        self.process = process
        self.clock = clock
        self.own: dict[str, OwnDemand] = {}
        self.others: dict[str, OthersDemand] = {}
        self.surges: dict[str, OwnSurges] = {}
        self.retries: dict[str, float] = {}
        self.count_processes: Callable[[], int] = lambda: 1

    def own_demand(self, service: str) -> OwnDemand:
        """Return the own demand for a service, created if missing."""
        if service not in self.own:
            self.own[service] = OwnDemand()
        return self.own[service]

    def record_arrival(self, service: str, key: ShareKey, places: float) -> bool:
        """Count the arrival of a call; return whether its key's demand surges with it.

        Parameters
        ----------
        service : str
        key : ShareKey
        places : float
            Seconds for which the call usually occupies a place.
        """
        now = self.clock.monotonic()
        own = self.own_demand(service)
        expected = self.usual_demand(service, own, key, now)
        own.record(key, places, now)
        surges = self.surges.setdefault(service, OwnSurges())
        return surges.record(key, places, expected, now)

    def usual_demand(
        self, service: str, own: OwnDemand, key: ShareKey, now: float
    ) -> float:
        """Return the usual demand of a key at one process, in places."""
        arrivals = own.arrivals.get(key)
        long = arrivals.rates(now).long if arrivals else 0.0
        others = self.others.get(service)
        if others is None or key not in others.sums:
            return long
        mean = (long + others.sums[key][0]) / (len(others.records) + 1)
        return max(long, mean)

    def record_full(self, service: str) -> None:
        """Record that a service is near its limit, so the demand is reported."""
        self.own_demand(service).saw_full_at = self.clock.monotonic()

    def is_contended(self, service: str) -> bool:
        """Return whether any process has lately seen a service near its limit."""
        if self.saw_full(service):
            return True
        return self.elsewhere(service).full_count > 0

    def saw_full(self, service: str) -> bool:
        """Return whether this process has lately seen a service near its limit."""
        own = self.own.get(service)
        if own is None:
            return False
        return self.clock.monotonic() - own.saw_full_at <= ACTIVE_SECONDS

    @property
    def is_urgent(self) -> bool:
        """Whether this process has calls for a service that it has seen near its limit.

        Exchanges are then more frequent.
        """
        now = self.clock.monotonic()
        return any(
            self.saw_full(service) and (each.waiting or each.rates(now))
            for service, each in self.own.items()
        )

    def elsewhere(self, service: str) -> OthersDemand:
        """Return the current demand of other processes for a service."""
        others = self.others.get(service)
        if others is None:
            return OthersDemand()
        others.expire(self.clock.monotonic() - MAX_AGE_SECONDS)
        return others

    def total(self, service: str, seconds: float) -> Total:
        """Return the demand of all processes for a service.

        Parameters
        ----------
        service : str
        seconds : float
            Usual seconds of a call.
        """
        now = self.clock.monotonic()
        own = self.own_demand(service).rates(now)
        others = self.elsewhere(service)
        sums = {key: (sums[0], sums[1]) for key, sums in others.sums.items()}
        for key, mine in own.items():
            long, short = sums.get(key, (0.0, 0.0))
            sums[key] = mine.long + long, mine.short + short
        for key, surge in self.own_surges(service, now).items():
            long, short = sums.get(key, (0.0, 0.0))
            missing = unreported_places(key, surge, others.records.values())
            sums[key] = long, short + missing
        weights = {key: others.weight(key) for key in sums if key.workspace is OTHERS}
        records = others.records.values()
        return Total(
            settle(sums, weights, seconds),
            {key: Demand(rates.long) for key, rates in own.items()},
            sum(each.waiting for each in records),
            len(records),
            max((now - each.reported_at for each in records), default=0.0),
        )

    def own_surges(self, service: str, now: float) -> dict[ShareKey, Surge]:
        """Return the surges that this process sees, by key."""
        surges = self.surges.get(service)
        return surges.current(now) if surges else {}

    def is_news(self, process: str, service: str, reported_at: float) -> bool:
        """Return whether a figure of another process is newer than the known one."""
        if process == self.process:
            return False
        if self.clock.monotonic() - reported_at > MAX_AGE_SECONDS:
            return False
        others = self.others.get(service)
        known = others.records.get(process) if others else None
        return known is None or reported_at > known.reported_at + AGE_ROUNDING_SECONDS

    def merge(self, records: Iterable[ProcessDemand]) -> None:
        """Store the demand of other processes, except what is older than known."""
        for record in records:
            if not self.is_news(record.process, record.service, record.reported_at):
                continue
            if record.service not in self.others and len(self.others) >= MAX_SERVICES:
                continue
            others = self.others.setdefault(record.service, OthersDemand())
            if len(others.records) < MAX_PROCESSES or record.process in others.records:
                others.store(record)

    def expect_retry(self, mark: str, due_at: float) -> None:
        """Remember when a refused call is expected again."""
        if len(self.retries) >= MAX_RETRIES:
            self.prune()
        if len(self.retries) < MAX_RETRIES or mark in self.retries:
            self.retries[mark] = due_at

    def take_retry(self, mark: str) -> bool:
        """Return whether a call is an expected retry; it is then forgotten."""
        due_at = self.retries.get(mark)
        now = self.clock.monotonic()
        if due_at is None or now < due_at - RETRY_EARLY_SECONDS:
            return False
        del self.retries[mark]
        return now <= due_at + RETRY_LATE_SECONDS

    def prune(self) -> None:
        """Remove what has expired."""
        now = self.clock.monotonic()
        self.retries = {
            mark: due_at
            for mark, due_at in self.retries.items()
            if now <= due_at + RETRY_LATE_SECONDS
        }
        for others in self.others.values():
            others.expire(now - MAX_AGE_SECONDS)
        self.others = {s: each for s, each in self.others.items() if each.records}
        for own in self.own.values():
            own.prune(now)
        for surges in self.surges.values():
            surges.prune(now)

    def digest(self) -> list[ProcessDemand]:
        """Return the demands to send: own ones, then the newest of other processes.

        Nothing is sent about services that nobody has seen near their limit. The
        number of rows and processes is limited.
        """
        own = [self.own_record(service) for service in self.own]
        others = [
            record
            for service in self.others
            for record in self.elsewhere(service).records.values()
        ]
        others.sort(key=lambda each: -each.reported_at)
        chosen, rows = [], 0
        for record in [*filter(None, own), *others][:MAX_DIGEST_PROCESSES]:
            rows += len(record.rates)
            if rows > MAX_DIGEST_ROWS:
                break
            chosen.append(record)
        return chosen

    def own_record(self, service: str) -> ProcessDemand | None:
        """Return the own demand for a service; None if there is nothing to report."""
        if not self.is_contended(service):
            return None
        now = self.clock.monotonic()
        own = self.own_demand(service)
        rates = summarize(own.rates(now))
        if not rates and not own.waiting:
            return None
        return ProcessDemand(
            self.process, service, now, self.saw_full(service), own.waiting, rates
        )

    def next_retries(self) -> list[ExpectedRetry]:
        """Return the retries to announce, a limited number of the soonest."""
        now = self.clock.monotonic()
        current = [
            (due_at, mark)
            for mark, due_at in self.retries.items()
            if now <= due_at + RETRY_LATE_SECONDS
        ]
        soonest = heapq.nsmallest(MAX_DIGEST_RETRIES, current)
        return [ExpectedRetry(mark, due_at) for due_at, mark in soonest]
