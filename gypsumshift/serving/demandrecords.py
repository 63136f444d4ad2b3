"""Demand for one service: of this process by arrivals, and of others as received."""

import math

import attrs

from gypsumshift.serving.demandrates import ArrivalSums, Rates
from gypsumshift.serving.fairshares import OTHERS, ShareKey

__all__ = ["MAX_OWN_KEYS", "OthersDemand", "OwnDemand", "ProcessDemand"]

# Demand below this is not kept: one call of 30 ms a minute.
MIN_PLACES = 0.0005
# Number of keys that a process counts. A gateway with ten requests a second seldom has
# more workspaces at once.
MAX_OWN_KEYS = 256


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
    full_count : int
        Number of records of processes that have seen the service near its limit.
    oldest : float
        Time before which no record was reported.
    """

    def __init__(self):
        self.records: dict[str, ProcessDemand] = {}
        self.sums: dict[ShareKey, list] = {}
        self.full_count = 0
        self.oldest = math.inf

    def store(self, record: ProcessDemand) -> None:
        """Store a record in place of an older one of its process."""
        self.remove(record.process)
        self.records[record.process] = record
        self.full_count += record.saw_full
        self.oldest = min(self.oldest, record.reported_at)
        for key, rates in record.rates.items():
            sums = self.sums.setdefault(key, [0.0, 0.0, 0])
            sums[0] += rates.long
            sums[1] += rates.short
            sums[2] += 1

    def remove(self, process: str) -> None:
        """Remove the record of a process, if there is one."""
        record = self.records.pop(process, None)
        self.full_count -= bool(record and record.saw_full)
        for key, rates in record.rates.items() if record else ():
            sums = self.sums[key]
            sums[0] -= rates.long
            sums[1] -= rates.short
            sums[2] -= 1
            if not sums[2]:
                del self.sums[key]

    def expire(self, horizon: float) -> None:
        """Remove records that were reported before a time."""
        if horizon <= self.oldest:
            return
        late = [p for p, each in self.records.items() if each.reported_at < horizon]
        for process in late:
            self.remove(process)
        reported = (each.reported_at for each in self.records.values())
        self.oldest = min(reported, default=math.inf)

    def weight(self, key: ShareKey) -> float:
        """Return the number of workspaces that a key for the rest stands for."""
        rows = (each.rates.get(key) for each in self.records.values())
        return max((row.weight for row in rows if row), default=1.0)
