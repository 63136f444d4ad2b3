"""Memory: in-process implementation of the platform's services, for tests."""

import asyncio
import bisect
import contextlib
import datetime
import time

from gypsumshift import platforms
from gypsumshift.outcomes import Committed, Conflict, Missing
from gypsumshift.platforms import Changes, HistoryLost, Host, Row, Write

__all__ = [
    "MemoryHostList",
    "MemoryObjectStore",
    "MemoryTables",
    "MemoryWeightStore",
    "connect",
]

PLATFORMS_BY_URL: dict[str, platforms.Platform] = {}


class MemoryTables(platforms.RowStore):
    """Row store in a dictionary, with a sorted index of keys and a change feed.

    Attributes
    ----------
    version : int
        Number of the last transaction.
    history : list of Row
        Changes, oldest first.
    dropped_through : int
        Version up to which changes were dropped from the history.
    """

    def __init__(self):
        self.rows: dict[tuple[str, str, str], Row] = {}
        self.index: list[tuple[str, str, str]] = []
        self.version = 0
        self.history: list[Row] = []
        self.dropped_through = 0
        self.changed = asyncio.Event()

    async def read(self, table, key, part=""):
        """Return one row."""
        return self.rows.get((table, part, key), Missing())

    async def scan(self, table, prefix, part=""):
        """Return the rows of a part whose keys begin with ``prefix``, sorted by key."""
        start = bisect.bisect_left(self.index, (table, part, prefix))
        found = []
        for location in self.index[start:]:
            if location[:2] != (table, part) or not location[2].startswith(prefix):
                break
            found.append(self.rows[location])
        return found

    async def commit(self, writes):
        """Apply all writes, or none if a condition does not hold."""
        platforms.check_distinct_rows(writes)
        for write in writes:
            if not self.condition_holds(write):
                return Conflict(f"{write.table}/{write.key}")
        self.version += 1
        for write in writes:
            if not write.check:
                self.apply_write(write)
        self.changed.set()
        self.changed = asyncio.Event()
        return Committed(self.version)

    def condition_holds(self, write: Write) -> bool:
        """Return whether the condition of a write holds."""
        if write.expected is None:
            return True
        row = self.rows.get((write.table, write.part, write.key))
        return write.expected == (row.version if row else platforms.ABSENT)

    def apply_write(self, write: Write) -> None:
        """Apply one write."""
        location = (write.table, write.part, write.key)
        row = Row(write.table, write.key, self.version, write.value, write.part)
        old = self.rows.pop(location, None)
        if old is None and write.value is None:
            return
        self.history.append(row)
        if write.value is None:
            self.index.pop(bisect.bisect_left(self.index, location))
            return
        if old is None:
            bisect.insort(self.index, location)
        self.rows[location] = row

    def drop_history(self) -> None:
        """Drop the history, as a store does that keeps changes for a limited time."""
        self.dropped_through = self.version
        self.history.clear()

    async def changes(self, table, after, wait):
        """Return the changes after a version, waiting up to ``wait`` for the first."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait.total_seconds()):
                # Changes of other tables wake the feed but do not end its wait.
                while after >= self.dropped_through:
                    if self.changed_rows(table, after):
                        break
                    await self.changed.wait()
        rows = self.changed_rows(table, after)
        if after < self.dropped_through:
            return HistoryLost()
        return Changes(rows, self.version)

    def changed_rows(self, table: str, after: int) -> list[Row]:
        """Return the changes of a table after a version."""
        first = bisect.bisect_right(self.history, after, key=lambda row: row.version)
        return [r for r in self.history[first:] if r.table == table]

    async def snapshot(self, table, after=0):
        """Return the rows of all parts and the version at which changes continue."""
        rows = [row for location, row in self.rows.items() if location[0] == table]
        return Changes(sorted(rows, key=lambda row: row.version), self.version)

    def now(self):
        """Return the monotonic time of this process."""
        return datetime.timedelta(seconds=time.monotonic())


class MemoryObjectStore(platforms.ObjectStore):
    """Object store in a dictionary."""

    def __init__(self):
        self.data: dict[str, bytes] = {}

    async def put(self, name, data):
        """Store an object; return `Conflict` if the name exists already."""
        if name in self.data:
            return Conflict(name)
        self.data[name] = data
        return Committed()

    async def get(self, name):
        """Return the contents of an object."""
        return self.data.get(name, Missing())

    async def delete(self, name):
        """Remove an object; removing a missing object succeeds."""
        self.data.pop(name, None)
        return Committed()


class MemoryWeightStore(platforms.WeightStore):
    """Weight store in a dictionary, without a rate limit."""

    def __init__(self):
        self.data: dict[tuple[str, int], bytes] = {}

    async def publish(self, pool, version, data):
        """Store the weights of a version; return `Conflict` if it exists already."""
        if (pool, version) in self.data:
            return Conflict(f"{pool}/{version}")
        self.data[pool, version] = data
        return Committed()


class MemoryHostList(platforms.HostList):
    """Host list in a dictionary, which is always up to date."""

    def __init__(self):
        self.hosts: dict[str, Host] = {}

    async def announce(self, host):
        """Add this process to the list."""
        self.hosts[host.name] = host
        return Committed()

    async def list(self):
        """Return the list."""
        return list(self.hosts.values())


def connect(url: str) -> platforms.Platform:
    """Return the platform of a ``memory:`` URL, one instance per URL and process."""
    if url not in PLATFORMS_BY_URL:
        PLATFORMS_BY_URL[url] = platforms.Platform(
            MemoryTables(), MemoryObjectStore(), MemoryWeightStore(), MemoryHostList()
        )
    return PLATFORMS_BY_URL[url]


platforms.register("memory", connect)
