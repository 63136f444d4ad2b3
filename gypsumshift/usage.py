"""Usage: how many requests servers began to run, by workspace and window of time.

Each process counts what it sent, and writes its counts to the store, one row a window.
A row holds all that this start of the process counted in the window, so that writing it
again does no harm.
"""

import collections
import datetime
import random
import secrets
import zlib

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.outcomes import Committed
from gypsumshift.platforms import RowStore, Write

__all__ = ["SHARD_COUNT", "USAGE_TABLE", "UsageCounter", "UsageWriter", "part_name"]

USAGE_TABLE = "usage"
# Parts of the store over which the rows of one window are spread: 350 processes that
# write twice a second stay under the 200 transactions a second that a part takes.
SHARD_COUNT = 4
# Seconds between two writes: what is lost with a host that is killed.
FLUSH_PERIOD_S = 0.4
# Part of the period by which writes are drawn apart.
FLUSH_JITTER = 0.25
# Windows that are kept: the newest ones are due, the others written and done with.
MAX_WINDOWS = 12

log = logs.logger("usage")


def part_name(window: int, shard: int) -> str:
    """Return the part of the store that holds some rows of a window."""
    return f"{window}/{shard}"


class UsageCounter:
    """Counts the requests that servers began to run for each workspace.

    Parameters
    ----------
    clock : Clock
    width : timedelta
        Of a window. Window 0 began with the year 1970 in UTC.

    Attributes
    ----------
    windows : dict
        Requests by workspace, by window.
    changed : set of int
        Windows that were counted in since they were written.
    """

    def __init__(self, clock: Clock, window_width: datetime.timedelta):
        self.clock = clock
        self.window_width_s = window_width.total_seconds()
        self.counts_by_window: dict[int, collections.Counter] = {}
        self.unwritten_windows: set[int] = set()

    def now(self) -> float:
        """Return the true time, as well as this host knows it, in seconds."""
        return self.clock.now().timestamp()

    def window_at(self, seconds: float) -> int:
        """Return the window of a true time."""
        return int(seconds // self.window_width_s)

    def window_end(self, window: int) -> float:
        """Return the true time at which a window ends, in seconds."""
        return (window + 1) * self.window_width_s

    def count_request(self, workspace: str, began: float) -> None:
        """Count a request that a server began to run at a true time, in seconds."""
        window = self.window_at(began)
        self.counts_by_window.setdefault(window, collections.Counter())[workspace] += 1
        self.unwritten_windows.add(window)
        while len(self.counts_by_window) > MAX_WINDOWS:
            oldest = min(self.counts_by_window)
            del self.counts_by_window[oldest]
            self.unwritten_windows.discard(oldest)


class UsageWriter:
    """Writes the counts of one process to the store.

    Parameters
    ----------
    counter : UsageCounter
    store : RowStore
    clock : Clock
    chance : random.Random

    Attributes
    ----------
    session : str
        Names this start of the process.
    """

    def __init__(
        self,
        counter: UsageCounter,
        store: RowStore,
        clock: Clock,
        chance: random.Random,
    ):
        self.counter = counter
        self.store = store
        self.clock = clock
        self.chance = chance
        self.session = secrets.token_hex(6)
        self.shard = zlib.crc32(self.session.encode()) % SHARD_COUNT

    async def run(self) -> None:
        """Write what changed, until cancelled."""
        while True:
            spread = self.chance.uniform(1 - FLUSH_JITTER, 1 + FLUSH_JITTER)
            await self.clock.sleep(FLUSH_PERIOD_S * spread)
            await self.flush()

    async def flush(self) -> None:
        """Write the windows that changed; those that cannot be are left for later."""
        for window in sorted(self.counter.unwritten_windows):
            self.counter.unwritten_windows.discard(window)
            counts = dict(self.counter.counts_by_window.get(window, {}))
            part = part_name(window, self.shard)
            write = Write(USAGE_TABLE, self.session, {"counts": counts}, part=part)
            outcome = await self.store.commit([write])
            if not isinstance(outcome, Committed):
                self.counter.unwritten_windows.add(window)
                reason = getattr(outcome, "reason", type(outcome).__name__)
                log.debug("Usage of window {} is not written yet: {}", window, reason)
