"""Platforms: interfaces of the services that a deployment's platform provides.

These are the table service, the object store, the weight store and the host list, each
with an abstract base class. The scheme of the URL in the settings selects the adapter.
To support another platform, write a module with the four classes and a function that
connects to it, and register the function with `register`.
"""

import abc
import datetime
import importlib
from collections.abc import Callable, Iterable

import attrs

from gypsumshift.outcomes import Missing, Unavailable, WriteOutcome

__all__ = [
    "Changes",
    "HistoryLost",
    "Host",
    "HostList",
    "ObjectStore",
    "Platform",
    "Row",
    "RowStore",
    "Tables",
    "WeightStore",
    "StoreWrapper",
    "Write",
    "MAX_TRANSACTION_ENTRIES",
    "check_distinct_rows",
    "connect",
    "entry_count",
    "register",
]

# Version of a row that does not exist.
ABSENT = 0
# Maximum number of entries of a transaction; see `entry_count`.
MAX_TRANSACTION_ENTRIES = 100


@attrs.frozen
class Row:
    """One row of a table.

    Attributes
    ----------
    table, key : str
        Table and key of the row.
    version : int
        Grows with each write of the row. In a `RowStore`, it is the number of the
        transaction that wrote the row, so rows are ordered by the time of writing.
    value : dict or None
        JSON object; None in a change that removed the row, and if it is unreadable.
    part : str
        Part of the store that holds the row. A transaction writes rows of one part.
    readable : bool
        False if the row holds anything else than a JSON object.
    """

    table: str
    key: str
    version: int
    value: dict | None
    part: str = ""
    readable: bool = True


@attrs.frozen
class Write:
    """Write or check of one row within a transaction.

    Attributes
    ----------
    table, key : str
        Table and key of the row.
    value : dict or None
        New value; None deletes the row, unless ``check`` is set.
    expected : int or None
        Version that the row must have (`ABSENT` if none); None sets no condition.
    check : bool
        Whether to check only the condition and leave the row unchanged.
    part : str
        Part of the store that holds the row; the same in all writes of a transaction.
    """

    table: str
    key: str
    value: dict | None = None
    expected: int | None = None
    check: bool = False
    part: str = ""


def entry_count(writes: Iterable[Write]) -> int:
    """Return the number of entries of a transaction: its conditions and its changes.

    A store accepts `MAX_TRANSACTION_ENTRIES` of them.
    """
    return sum((w.expected is not None) + (not w.check) for w in writes)


def check_distinct_rows(writes: list[Write]) -> None:
    """Raise ValueError if a transaction writes a row twice.

    This is an error of the caller. The store checks all conditions before it applies
    any write, so two conditional writes to an absent row would both be applied, and
    the change feed would report the row twice.
    """
    locations = [(write.table, write.part, write.key) for write in writes]
    if len(set(locations)) < len(locations):
        twice = next(place for place in locations if locations.count(place) > 1)
        raise ValueError(f"a transaction writes a row twice: {'/'.join(twice)}")


@attrs.frozen
class Changes:
    """Changes of a table, in the order of writing.

    Attributes
    ----------
    rows : list of Row
        Latest state of each changed row; without a value if the row was removed.
    version : int
        Version after which the next request for changes continues.
    age : float
        Seconds since the request to the store, if another process relayed the changes.
    """

    rows: list[Row]
    version: int
    age: float = 0.0


@attrs.frozen
class HistoryLost:
    """The requested changes are no longer kept; the table must be read again."""


@attrs.frozen
class Host:
    """An entry of the platform's list of hosts.

    Attributes
    ----------
    name : str
        Name of the process on the host.
    address : str
        IP address and peer port.
    zone : str
        Availability zone.
    leaving : bool
        Whether the platform is about to remove the host.
    """

    name: str
    address: str
    zone: str
    leaving: bool = False


class Tables(abc.ABC):
    """Transactional table service."""

    @abc.abstractmethod
    async def read(self, table: str, key: str) -> Row | Missing | Unavailable:
        """Return one row."""

    @abc.abstractmethod
    async def scan(self, table: str, prefix: str) -> list[Row] | Unavailable:
        """Return the rows whose keys begin with ``prefix``, sorted by key."""

    @abc.abstractmethod
    async def commit(self, writes: list[Write]) -> WriteOutcome:
        """Apply all writes, or none if a condition does not hold.

        No row may occur twice among the writes; see `check_distinct_rows`.
        """


class RowStore(Tables):
    """Table service that divides tables into parts and has a change feed.

    Reads are linearizable. A part accepts a limited number of transactions a second,
    so rows that are written often are spread over several parts.
    """

    @abc.abstractmethod
    async def read(self, table: str, key: str, part: str = ""):
        """Return one row."""

    @abc.abstractmethod
    async def scan(self, table: str, prefix: str, part: str = ""):
        """Return the rows of a part whose keys begin with ``prefix``, sorted by key.

        Rows written while a large part is being read are left out, so that the result
        is consistent: all rows as of one moment and no later ones.
        """

    @abc.abstractmethod
    async def changes(
        self, table: str, after: int, wait: datetime.timedelta
    ) -> Changes | HistoryLost | Unavailable:
        """Return the changes after a version, waiting up to ``wait`` for the first."""

    @abc.abstractmethod
    async def snapshot(self, table: str, after: int = 0) -> Changes | Unavailable:
        """Return the rows of all parts and the version at which changes continue.

        Parameters
        ----------
        table : str
        after : int
            Minimum version of the table that the rows reflect.
        """

    @abc.abstractmethod
    def now(self) -> datetime.timedelta:
        """Return the store's monotonic time, estimated from its last answer."""


class StoreWrapper(RowStore):
    """Store that passes every call on to another one; base class for wrappers.

    Parameters
    ----------
    inner : RowStore
    """

    def __init__(self, inner: RowStore):
        self.inner = inner

    async def read(self, table, key, part=""):
        """Return one row."""
        return await self.inner.read(table, key, part)

    async def scan(self, table, prefix, part=""):
        """Return the rows of a part whose keys begin with ``prefix``, sorted by key."""
        return await self.inner.scan(table, prefix, part)

    async def commit(self, writes):
        """Apply all writes, or none if a condition does not hold."""
        return await self.inner.commit(writes)

    async def changes(self, table, after, wait):
        """Return the changes after a version, waiting up to ``wait`` for the first."""
        return await self.inner.changes(table, after, wait)

    async def snapshot(self, table, after=0):
        """Return the rows of all parts and the version at which changes continue."""
        return await self.inner.snapshot(table, after)

    def now(self):
        """Return the store's monotonic time, estimated from its last answer."""
        return self.inner.now()


class ObjectStore(abc.ABC):
    """Object store in which existing objects cannot be overwritten."""

    @abc.abstractmethod
    async def put(self, name: str, data: bytes) -> WriteOutcome:
        """Store an object; return `Conflict` if the name exists already."""

    @abc.abstractmethod
    async def get(self, name: str) -> bytes | Missing | Unavailable:
        """Return the contents of an object."""

    @abc.abstractmethod
    async def delete(self, name: str) -> WriteOutcome:
        """Remove an object; removing a missing object succeeds."""


class WeightStore(abc.ABC):
    """Rate-limited store of model weights."""

    @abc.abstractmethod
    async def publish(self, pool: str, version: int, data: bytes) -> WriteOutcome:
        """Store the weights of a version; return `Conflict` if it exists already."""


class HostList(abc.ABC):
    """List of hosts that run or are about to be removed; it may be out of date."""

    @abc.abstractmethod
    async def announce(self, host: Host) -> WriteOutcome:
        """Add this process to the list."""

    @abc.abstractmethod
    async def list(self) -> list[Host] | Unavailable:
        """Return the list, which may be out of date."""


@attrs.frozen
class Platform:
    """The four services of the platform.

    Attributes
    ----------
    tables : Tables
    objects : ObjectStore
    weights : WeightStore
    hosts : HostList
    """

    tables: Tables
    objects: ObjectStore
    weights: WeightStore
    hosts: HostList


ADAPTERS: dict[str, Callable[[str], Platform]] = {}
BUILT_IN_ADAPTERS = {"memory": "gypsumshift.memory", "http": "gypsumshift.remote"}


def register(scheme: str, connector: Callable[[str], Platform]) -> None:
    """Register the function that connects to platforms with a URL scheme."""
    ADAPTERS[scheme] = connector


def connect(url: str) -> Platform:
    """Connect to the platform of a URL.

    Raises
    ------
    KeyError
        If no adapter is registered for the scheme of the URL.
    """
    scheme = url.partition(":")[0]
    if scheme not in ADAPTERS and scheme in BUILT_IN_ADAPTERS:
        importlib.import_module(BUILT_IN_ADAPTERS[scheme])
    return ADAPTERS[scheme](url)
