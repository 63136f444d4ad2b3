"""Memory: the platform's services inside one process, for tests and trials."""

import bisect

from gypsumshift import platforms
from gypsumshift.outcomes import Committed, Conflict, Missing
from gypsumshift.platforms import Host, Row, Write

__all__ = ["MemoryHosts", "MemoryObjects", "MemoryTables", "MemoryWeights", "connect"]

SHARED: dict[str, platforms.Platform] = {}


class MemoryTables(platforms.Tables):
    """Tables in a dictionary, with an ordered index of keys."""

    def __init__(self):
        self.rows: dict[tuple[str, str], Row] = {}
        self.index: list[tuple[str, str]] = []

    async def read(self, table, key):
        """Return one row."""
        return self.rows.get((table, key), Missing())

    async def scan(self, table, prefix):
        """Return the rows whose keys begin with ``prefix``, in the keys' order."""
        start = bisect.bisect_left(self.index, (table, prefix))
        found = []
        for place in self.index[start:]:
            if place[0] != table or not place[1].startswith(prefix):
                break
            found.append(self.rows[place])
        return found

    async def commit(self, writes):
        """Apply all writes, or none where a condition does not hold."""
        for write in writes:
            if not self.holds(write):
                return Conflict(f"{write.table}/{write.key}")
        for write in writes:
            if not write.check:
                self.apply(write)
        return Committed()

    def holds(self, write: Write) -> bool:
        """Tell whether the condition of a write holds."""
        if write.expected is None:
            return True
        row = self.rows.get((write.table, write.key))
        return write.expected == (row.version if row else platforms.ABSENT)

    def apply(self, write: Write) -> None:
        """Apply one write."""
        place = (write.table, write.key)
        old = self.rows.get(place)
        if write.value is None:
            if old:
                del self.rows[place]
                self.index.pop(bisect.bisect_left(self.index, place))
            return
        if old is None:
            bisect.insort(self.index, place)
        version = old.version + 1 if old else 1
        self.rows[place] = Row(write.table, write.key, version, write.value)


class MemoryObjects(platforms.Objects):
    """Objects in a dictionary."""

    def __init__(self):
        self.data: dict[str, bytes] = {}

    async def put(self, name, data):
        """Store an object once; a conflict says that the name is taken."""
        if name in self.data:
            return Conflict(name)
        self.data[name] = data
        return Committed()

    async def get(self, name):
        """Return an object's bytes."""
        return self.data.get(name, Missing())

    async def delete(self, name):
        """Remove an object; removing what is not there succeeds."""
        self.data.pop(name, None)
        return Committed()


class MemoryWeights(platforms.Weights):
    """Weights in a dictionary, without a rate limit."""

    def __init__(self):
        self.data: dict[tuple[str, int], bytes] = {}

    async def publish(self, pool, version, data):
        """Store the weights of one version once."""
        if (pool, version) in self.data:
            return Conflict(f"{pool}/{version}")
        self.data[pool, version] = data
        return Committed()


class MemoryHosts(platforms.Hosts):
    """Host list in a dictionary, without a lag."""

    def __init__(self):
        self.hosts: dict[str, Host] = {}

    async def announce(self, host):
        """Put this process on the list."""
        self.hosts[host.name] = host
        return Committed()

    async def list(self):
        """Return the list."""
        return list(self.hosts.values())


def connect(url: str) -> platforms.Platform:
    """Return the platform of that ``memory:`` URL, one per URL and process."""
    if url not in SHARED:
        SHARED[url] = platforms.Platform(
            MemoryTables(), MemoryObjects(), MemoryWeights(), MemoryHosts()
        )
    return SHARED[url]


platforms.register("memory", connect)
