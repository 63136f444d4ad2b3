"""Usage: count the requests that backend servers began to run.

Requests are counted by workspace and time window. Each process counts what it sent and
writes its counts to the store, one row per window. A row holds the totals that the
process has counted in the window since its start. It is written only if it still has
the version that the process last saw, so a write that the store carries out late does
not replace newer counts.
"""

import collections
import datetime
import random
import secrets
import zlib

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.outcomes import Committed, Conflict, Missing, WriteOutcome
from gypsumshift.platforms import ABSENT, Row, RowStore, Write

__all__ = ["SHARD_COUNT", "USAGE_TABLE", "UsageCounter", "UsageWriter", "part_name"]

USAGE_TABLE = "usage"
# Number of store parts over which the rows of a window are spread. 350 processes that
# write twice a second stay below the limit of 200 transactions a second and part.
SHARD_COUNT = 4
# Time between two writes. A host that is killed loses the counts of one period.
FLUSH_PERIOD_S = 0.4
# Fraction by which the period varies at random, so that processes do not write at once.
FLUSH_JITTER = 0.25
# Number of windows kept in memory: the latest still have to be written, older ones are
# in the store already.
MAX_WINDOWS = 12

log = logs.logger("usage")


def part_name(window: int, shard: int) -> str:
    """Return the name of the store part that holds one shard of a window's rows."""
    return f"{window}/{shard}"


class UsageCounter:
    """Counts the requests of each workspace that backend servers began to run.

    Parameters
    ----------
    clock : Clock
    window_width : timedelta
        Length of a window. Window 0 began at the Unix epoch.

    Attributes
    ----------
    window_width_s : float
    counts_by_window : dict
        Number of requests by workspace, by window.
    unwritten_windows : set of int
        Windows with counts that have not been written.
    """

    def __init__(self, clock: Clock, window_width: datetime.timedelta):
        self.clock = clock
        self.window_width_s = window_width.total_seconds()
        self.counts_by_window: dict[int, collections.Counter] = {}
        self.unwritten_windows: set[int] = set()

    def now(self) -> float:
        """Return the wall-clock time as a Unix timestamp in seconds."""
        return self.clock.now().timestamp()

    def window_at(self, seconds: float) -> int:
        """Return the window that contains a Unix timestamp."""
        return int(seconds // self.window_width_s)

    def window_end(self, window: int) -> float:
        """Return the Unix timestamp at which a window ends."""
        return (window + 1) * self.window_width_s

    def count_request(self, workspace: str, began: float) -> None:
        """Count a request that a server began to run.

        Parameters
        ----------
        workspace : str
        began : float
            Unix timestamp at which the server began.
        """
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
        Random identifier of this start of the process; key of its rows.
    shard : int
        Shard that holds this process's rows.
    versions : dict of int to int
        Last known version of this process's row, by window.
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
        self.versions: dict[int, int] = {}

    async def run(self) -> None:
        """Write changed counts periodically until cancelled."""
        while True:
            jitter = self.chance.uniform(1 - FLUSH_JITTER, 1 + FLUSH_JITTER)
            await self.clock.sleep(FLUSH_PERIOD_S * jitter)
            await self.flush()

    async def flush(self) -> None:
        """Write the counts of changed windows; failed writes are retried next time."""
        for window in sorted(self.counter.unwritten_windows):
            self.counter.unwritten_windows.discard(window)
            outcome = await self.write_window(window)
            if not isinstance(outcome, Committed):
                self.counter.unwritten_windows.add(window)
                reason = getattr(outcome, "reason", type(outcome).__name__)
                log.debug(
                    "Writing the usage of window {} failed: {}; retrying.",
                    window,
                    reason,
                )
        for window in self.versions.keys() - self.counter.counts_by_window.keys():
            del self.versions[window]

    async def write_window(self, window: int) -> WriteOutcome:
        """Write the counts of a window if its row has the last known version.

        A conflict shows that an earlier write took effect though its answer was lost.
        The row, which no other process writes, then tells its version, and the counts
        are written again at once: usage is reported a few seconds after a window.
        """
        outcome = await self.write_counts(window)
        if isinstance(outcome, Conflict) and await self.read_version(window):
            outcome = await self.write_counts(window)
        return outcome

    async def write_counts(self, window: int) -> WriteOutcome:
        """Write the counts of a window, once."""
        counts = dict(self.counter.counts_by_window.get(window, {}))
        part = part_name(window, self.shard)
        expected = self.versions.get(window, ABSENT)
        write = Write(
            USAGE_TABLE, self.session, {"counts": counts}, expected, part=part
        )
        outcome = await self.store.commit([write])
        if isinstance(outcome, Committed):
            self.versions[window] = outcome.version
        return outcome

    async def read_version(self, window: int) -> bool:
        """Read the version of a window's row; return whether it is known now."""
        part = part_name(window, self.shard)
        row = await self.store.read(USAGE_TABLE, self.session, part)
        if isinstance(row, Missing):
            # The row was removed after its retention time.
            self.versions.pop(window, None)
            return True
        if isinstance(row, Row):
            self.versions[window] = row.version
            return True
        return False
