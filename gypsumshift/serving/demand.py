"""Demand for each service by priority and workspace, of this and other processes.

Each process counts its own arrivals. While a service is near its capacity, the
processes exchange their counts in the digests of `gossip.py`, and pass on those of
others, so that each can divide the capacity by the demand of all. The state is small
and expires within seconds; it is never written to the store.
"""

import functools
import hashlib
import heapq
import math
from collections.abc import Callable, Iterable

import attrs

from gypsumshift.clock import Clock
from gypsumshift.digests import DigestSection
from gypsumshift.serving.fairshares import OTHERS, REWARD_RANK, Demand, ShareKey
from gypsumshift.serving.observations import decode_number

__all__ = [
    "DemandSection",
    "DemandTable",
    "ExpectedRetry",
    "ProcessDemand",
    "Total",
    "retry_mark",
    "share_name",
]

# Demand is averaged over two windows. The short one notices a surge within 0.3 s.
# The long one is used as long as both agree within the noise of random arrivals: the
# calls of a workspace with 16 a second vary by a fifth from one second to the next, and
# some would be refused in each second that has more of them than its share.
SHORT_WINDOW_SECONDS = 0.3
LONG_WINDOW_SECONDS = 8.0
# Difference of the two, in standard deviations, from which the short one is used.
SIGNIFICANT_DEVIATIONS = 3.0
# Age after which the demand of another process no longer counts: three exchanges may
# fail, and the demand of a process that ended must not be kept free for longer.
MAX_AGE_SECONDS = 3.0
# How long a process reports its demand after a server was last near its limit.
ACTIVE_SECONDS = 3.0
# Demand below this is not kept: one call of 30 ms a minute.
MIN_PLACES = 0.0005
# Numbers of keys that a process counts, and of rows that it reports; the rest is summed
# up by rank. A gateway with ten requests a second seldom has more workspaces at once.
MAX_OWN_KEYS = 256
MAX_OWN_ROWS = 12
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
# Longest time ahead for which a retry is announced.
MAX_RETRY_AHEAD_SECONDS = 30.0
# Longest name in a digest; longer workspace names are replaced by a hash.
MAX_NAME_LENGTH = 40
# Limits of the values received from other processes.
MAX_PLACES = 10_000.0
MAX_WAITING = 10_000.0
MAX_WEIGHT = 1_000.0
MAX_RETRY_MARK_LENGTH = 16
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
class Rates:
    """Demand in places, averaged over the two windows.

    Attributes
    ----------
    long, short : float
    weight : float
        Number of workspaces included.
    """

    long: float
    short: float
    weight: float = 1.0

    @property
    def larger(self) -> float:
        """The larger of the two averages."""
        return max(self.long, self.short)


@attrs.define
class ArrivalSums:
    """Places asked for by arrivals, as sums that decay over the two windows."""

    long: float = 0.0
    short: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        """Let the sums decay until now."""
        passed = max(0.0, now - self.updated_at)
        self.long *= math.exp(-passed / LONG_WINDOW_SECONDS)
        self.short *= math.exp(-passed / SHORT_WINDOW_SECONDS)
        self.updated_at = now

    def add(self, places: float, now: float) -> None:
        """Add an arrival."""
        self.decay(now)
        self.long += places
        self.short += places

    def rates(self, now: float) -> Rates:
        """Return the averages."""
        self.decay(now)
        return Rates(self.long / LONG_WINDOW_SECONDS, self.short / SHORT_WINDOW_SECONDS)


@attrs.frozen
class ProcessDemand:
    """Demand of one process for one service.

    Attributes
    ----------
    process, service : str
    reported_at : float
        By this process's monotonic clock, in seconds.
    saw_full : bool
        Whether the process itself has lately seen the service near its limit.
    waiting : float
        Number of its calls that wait.
    rates : dict
        `Rates` by `ShareKey`.
    """

    process: str
    service: str
    reported_at: float
    saw_full: bool
    waiting: float
    rates: dict[ShareKey, Rates]


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


@attrs.define
class OwnDemand:
    """Arrivals of this process for one service.

    Attributes
    ----------
    arrivals : dict
        `ArrivalSums` by `ShareKey`.
    waiting : int
        Number of calls that wait now.
    saw_full_at : float
        When the service was last seen near its limit, in seconds.
    """

    arrivals: dict[ShareKey, ArrivalSums] = attrs.field(factory=dict)
    waiting: int = 0
    saw_full_at: float = -math.inf

    def record(self, key: ShareKey, places: float, now: float) -> None:
        """Count the arrival of a call."""
        if key not in self.arrivals and len(self.arrivals) >= MAX_OWN_KEYS:
            self.prune(now)
        if key not in self.arrivals and len(self.arrivals) >= MAX_OWN_KEYS:
            key = ShareKey(key.rank, OTHERS)
        sums = self.arrivals.get(key)
        if sums is None:
            sums = self.arrivals[key] = ArrivalSums()
        sums.add(places, now)

    def prune(self, now: float) -> None:
        """Remove keys without recent arrivals."""
        current = self.rates(now)
        self.arrivals = {k: sums for k, sums in self.arrivals.items() if k in current}

    def rates(self, now: float) -> dict[ShareKey, Rates]:
        """Return the current averages by key."""
        current = {}
        for key, sums in self.arrivals.items():
            rates = sums.rates(now)
            if rates.larger >= MIN_PLACES:
                current[key] = rates
        return current


class OthersDemand:
    """Demand of other processes for one service.

    The sums by key are kept up to date with each record, so that reading them costs no
    time in proportion to the number of processes.

    Attributes
    ----------
    records : dict
        The newest `ProcessDemand` by process.
    sums : dict
        Sums over the records by `ShareKey`: long and short average, and how many
        records include the key.
    """

    def __init__(self):
        self.records: dict[str, ProcessDemand] = {}
        self.sums: dict[ShareKey, list] = {}

    def store(self, record: ProcessDemand) -> None:
        """Store a record in place of an older one of its process."""
        self.remove(record.process)
        self.records[record.process] = record
        for key, rates in record.rates.items():
            sums = self.sums.setdefault(key, [0.0, 0.0, 0])
            sums[0] += rates.long
            sums[1] += rates.short
            sums[2] += 1

    def remove(self, process: str) -> None:
        """Remove the record of a process, if there is one."""
        record = self.records.pop(process, None)
        for key, rates in record.rates.items() if record else ():
            sums = self.sums[key]
            sums[0] -= rates.long
            sums[1] -= rates.short
            sums[2] -= 1
            if not sums[2]:
                del self.sums[key]

    def expire(self, horizon: float) -> None:
        """Remove records that were reported before a time."""
        late = [p for p, each in self.records.items() if each.reported_at < horizon]
        for process in late:
            self.remove(process)

    def weight(self, key: ShareKey) -> float:
        """Return the number of workspaces that a key for the rest stands for."""
        rows = (each.rates.get(key) for each in self.records.values())
        return max((row.weight for row in rows if row), default=1.0)


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
        self.retries: dict[str, float] = {}
        self.count_processes: Callable[[], int] = lambda: 1

    def own_demand(self, service: str) -> OwnDemand:
        """Return the own demand for a service, created if missing."""
        if service not in self.own:
            self.own[service] = OwnDemand()
        return self.own[service]

    def record_arrival(self, service: str, key: ShareKey, places: float) -> None:
        """Count the arrival of a call.

        Parameters
        ----------
        service : str
        key : ShareKey
        places : float
            Seconds for which the call usually occupies a place.
        """
        self.own_demand(service).record(key, places, self.clock.monotonic())

    def record_full(self, service: str) -> None:
        """Record that a service is near its limit, so the demand is reported."""
        self.own_demand(service).saw_full_at = self.clock.monotonic()

    def is_contended(self, service: str) -> bool:
        """Return whether any process has lately seen a service near its limit."""
        if self.saw_full(service):
            return True
        return any(r.saw_full for r in self.elsewhere(service).records.values())

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
        weights = {key: others.weight(key) for key in sums if key.workspace is OTHERS}
        records = others.records.values()
        return Total(
            settle(sums, weights, seconds),
            {key: Demand(rates.long) for key, rates in own.items()},
            sum(each.waiting for each in records),
            len(records),
            max((now - each.reported_at for each in records), default=0.0),
        )

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


def settle(
    sums: dict[ShareKey, tuple[float, float]],
    weights: dict[ShareKey, float],
    seconds: float,
) -> dict[ShareKey, Demand]:
    """Return the demands: long averages, or short ones where the demand has changed.

    The change is judged by key, and for the other keys by rank: in a surge of many
    small workspaces none has changed by more than usual, but all together have.

    Parameters
    ----------
    sums : dict
        Long and short average by key.
    weights : dict
        By key, where the weight is not 1.
    seconds : float
        Usual seconds of a call, which decide how much the short average varies.
    """
    ranks: dict[int, tuple[float, float]] = {}
    settled = {}
    for key, (long, short) in sums.items():
        if has_changed(long, short, seconds):
            settled[key] = Demand(short, weights.get(key, 1.0))
        else:
            rank_long, rank_short = ranks.get(key.rank, (0.0, 0.0))
            ranks[key.rank] = rank_long + long, rank_short + short
    factors = {
        rank: short / long if long and has_changed(long, short, seconds) else 1.0
        for rank, (long, short) in ranks.items()
    }
    for key, (long, _) in sums.items():
        if key not in settled:
            settled[key] = Demand(long * factors[key.rank], weights.get(key, 1.0))
    return settled


def has_changed(long: float, short: float, seconds: float) -> bool:
    """Return whether two averages differ by more than random arrivals explain."""
    difference = short - long
    variance = seconds * max(long, short) / (2 * SHORT_WINDOW_SECONDS)
    return difference * difference > SIGNIFICANT_DEVIATIONS**2 * variance


def summarize(rates: dict[ShareKey, Rates]) -> dict[ShareKey, Rates]:
    """Return the largest demands, with the rest summed up by rank."""
    by_size = sorted(rates.items(), key=lambda item: -item[1].larger)
    kept = dict(by_size[:MAX_OWN_ROWS])
    for key, each in by_size[MAX_OWN_ROWS:]:
        rest = ShareKey(key.rank, OTHERS)
        known = kept.get(rest, Rates(0.0, 0.0, 0.0))
        kept[rest] = Rates(
            known.long + each.long,
            known.short + each.short,
            known.weight + each.weight,
        )
    return kept


class DemandSection(DigestSection):
    """Section of a digest with demands and expected retries.

    Parameters
    ----------
    table : DemandTable
    """

    name = "demand"

    def __init__(self, table: DemandTable):
        self.table = table

    def encode(self) -> dict | None:
        """Return the demands and retries; None if there are none."""
        now = self.table.clock.monotonic()
        demands = [encode_demand(each, now) for each in self.table.digest()]
        retries = [
            [retry.mark, round(retry.due_at - now, 3)]
            for retry in self.table.next_retries()
        ]
        if not demands and not retries:
            return None
        return {"demands": demands, "retries": retries}

    def merge(self, value: object) -> None:
        """Merge the section of another process; raise ValueError if it is invalid."""
        if not isinstance(value, dict):
            raise ValueError("invalid demand: not an object")
        now = self.table.clock.monotonic()
        demands, retries = value.get("demands", []), value.get("retries", [])
        if not isinstance(demands, list) or not isinstance(retries, list):
            raise ValueError("invalid demand: demands or retries are not a list")
        decoded = [self.decode(row, now) for row in demands[:MAX_DIGEST_PROCESSES]]
        expected = [decode_retry(r, now) for r in retries[:MAX_DIGEST_RETRIES]]
        self.table.merge(filter(None, decoded))
        for retry in expected:
            self.table.expect_retry(retry.mark, retry.due_at)

    def decode(self, row: object, now: float) -> ProcessDemand | None:
        """Return the demand of one process, its figures limited; None if no news.

        Digests repeat what other processes have sent, so most rows are no news.
        """
        if not isinstance(row, list) or len(row) != 6 or not isinstance(row[5], list):
            raise ValueError("invalid demand: not a list of six values with its rows")
        process, service = decode_name(row[0]), decode_name(row[1])
        reported_at = now - max(decode_number(row[2]), 0.0)
        waiting = min(max(decode_number(row[4]), 0.0), MAX_WAITING)
        if not self.table.is_news(process, service, reported_at):
            return None
        rates = dict(decode_row(each) for each in row[5][: 2 * MAX_OWN_ROWS])
        saw_full = row[3] == 1
        return ProcessDemand(process, service, reported_at, saw_full, waiting, rates)


def encode_demand(record: ProcessDemand, now: float) -> list:
    """Return the demand of one process as JSON values."""
    return [
        record.process,
        record.service,
        round(now - record.reported_at, 2),
        int(record.saw_full),
        round(record.waiting, 1),
        [
            [
                key.rank,
                key.workspace,
                round(rates.long, 4),
                round(rates.short, 4),
                round(rates.weight, 1),
            ]
            for key, rates in record.rates.items()
        ],
    ]


def decode_row(row: object) -> tuple[ShareKey, Rates]:
    """Return the demand of one key, its figures limited."""
    if not isinstance(row, list) or len(row) != 5:
        raise ValueError("invalid demand: a row is not a list of five values")
    rank, workspace, *numbers = row
    if type(rank) is not int or not 0 <= rank <= REWARD_RANK:
        raise ValueError("invalid demand: a rank is not a whole number in its range")
    name = OTHERS if workspace is None else decode_name(workspace)
    long, short, weight = map(decode_number, numbers)
    return ShareKey(rank, name), Rates(
        min(max(long, 0.0), MAX_PLACES),
        min(max(short, 0.0), MAX_PLACES),
        min(max(weight, 1.0), MAX_WEIGHT),
    )


def decode_retry(row: object, now: float) -> ExpectedRetry:
    """Return one expected retry; raise ValueError if the row is invalid."""
    if not isinstance(row, list) or len(row) != 2 or not isinstance(row[0], str):
        raise ValueError("invalid retry: not a list of a hash and a number")
    ahead = min(decode_number(row[1]), MAX_RETRY_AHEAD_SECONDS)
    return ExpectedRetry(row[0][:MAX_RETRY_MARK_LENGTH], now + ahead)


def decode_name(value: object) -> str:
    """Return a name, cut to its maximum length; raise ValueError if not a string."""
    if not isinstance(value, str):
        raise ValueError("invalid demand: a name is not a string")
    return value[: 2 * MAX_NAME_LENGTH]
