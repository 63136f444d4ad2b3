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

__all__ = ["SHARDS", "USAGE", "UsageCounter", "UsageLog", "part_of"]

USAGE = "usage"
# Parts of the store over which the rows of one window are spread: 350 processes that
# write twice a second stay under the 200 transactions a second that a part takes.
SHARDS = 4
# Seconds between two writes: what is lost with a host that is killed.
FLUSH_PERIOD = 0.4
# Part of the period by which writes are drawn apart.
SPREAD = 0.25
# Windows that are kept: the newest ones are due, the others written and done with.
WINDOWS_KEPT = 12

log = logs.logger("usage")


def part_of(window: int, shard: int) -> str:
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

    def __init__(self, clock: Clock, width: datetime.timedelta):
        self.clock = clock
        self.width = width.total_seconds()
        self.windows: dict[int, collections.Counter] = {}
        self.changed: set[int] = set()

    def now(self) -> float:
        """Return the true time, as well as this host knows it, in seconds."""
        return self.clock.now().timestamp()

    def window_at(self, seconds: float) -> int:
        """Return the window of a true time."""
        return int(seconds // self.width)

    def end_of(self, window: int) -> float:
        """Return the true time at which a window ends, in seconds."""
        return (window + 1) * self.width

    def note(self, workspace: str, began: float) -> None:
        """Count a request that a server began to run at a true time, in seconds."""
        window = self.window_at(began)
        self.windows.setdefault(window, collections.Counter())[workspace] += 1
        self.changed.add(window)
        while len(self.windows) > WINDOWS_KEPT:
            oldest = min(self.windows)
            del self.windows[oldest]
            self.changed.discard(oldest)


class UsageLog:
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
        self.shard = zlib.crc32(self.session.encode()) % SHARDS

    async def run(self) -> None:
        """Write what changed, until cancelled."""
        while True:
            spread = self.chance.uniform(1 - SPREAD, 1 + SPREAD)
            await self.clock.sleep(FLUSH_PERIOD * spread)
            await self.flush()

    async def flush(self) -> None:
        """Write the windows that changed; those that cannot be are left for later."""
        for window in sorted(self.counter.changed):
            self.counter.changed.discard(window)
            counts = dict(self.counter.windows.get(window, {}))
            part = part_of(window, self.shard)
            write = Write(USAGE, self.session, {"counts": counts}, part=part)
            outcome = await self.store.commit([write])
            if not isinstance(outcome, Committed):
                self.counter.changed.add(window)
                reason = getattr(outcome, "reason", type(outcome).__name__)
                log.debug("Usage of window {} is not written yet: {}", window, reason)
