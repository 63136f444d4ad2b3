"""Platforms: the table service, object store, weight store and host list.

One abstract base class per service. An adapter is chosen by the scheme of the
URL in the settings; to join another platform, write one module with the four
classes and a function registered with `register`.
"""

import abc
import datetime
import importlib
from collections.abc import Callable

import attrs

from gypsumshift.outcomes import Missing, Unavailable, Written

__all__ = [
    "Changes",
    "HistoryLost",
    "Host",
    "Hosts",
    "Objects",
    "Platform",
    "Row",
    "RowStore",
    "Tables",
    "Weights",
    "WrappedStore",
    "Write",
    "check_distinct",
    "connect",
    "register",
]

ABSENT = 0


@attrs.frozen
class Row:
    """One row of a table.

    Attributes
    ----------
    table, key : str
        Where it stands.
    version : int
        Grows with each write of it; in a `RowStore`, the number of the
        transaction that wrote it, so that rows are ordered by their writing.
    value : dict or None
        JSON object; None in a change that removed the row, and where it is unreadable.
    part : str
        Rows of one part can be written in one transaction.
    readable : bool
        False where the row holds anything else than a JSON object.
    """

    table: str
    key: str
    version: int
    value: dict | None
    part: str = ""
    readable: bool = True


@attrs.frozen
class Write:
    """One part of a transaction.

    Attributes
    ----------
    table, key : str
        The row.
    value : dict or None
        New value; None deletes the row, or only checks it where ``check`` is set.
    expected : int or None
        Version that the row must have (0: absent); None sets no condition.
    check : bool
        Whether the row is only checked and left as it is.
    part : str
        All writes of a transaction share it.
    """

    table: str
    key: str
    value: dict | None = None
    expected: int | None = None
    check: bool = False
    part: str = ""


def check_distinct(writes: list[Write]) -> None:
    """Raise ValueError where a transaction names a row twice.

    Its conditions are looked at once, so of two writes to an absent row both are
    carried out, and a feed tells the row twice: that is an error of the caller.
    """
    places = [(write.table, write.part, write.key) for write in writes]
    if len(set(places)) < len(places):
        twice = next(place for place in places if places.count(place) > 1)
        raise ValueError(f"a transaction names a row twice: {'/'.join(twice)}")


@attrs.frozen
class Changes:
    """What changed in a table, in the order of writing.

    Attributes
    ----------
    rows : list of Row
        Each row as it was written last; without a value where it was removed.
    version : int
        Ask for what changed after this one next.
    age : float
        Seconds since the store was asked, where another process handed them on.
    """

    rows: list[Row]
    version: int
    age: float = 0.0


@attrs.frozen
class HistoryLost:
    """The changes asked for are no longer kept: read the table anew."""


@attrs.frozen
class Host:
    """One entry of the platform's list of hosts.

    Attributes
    ----------
    name : str
        Name of the process on it.
    address : str
        IP number and peer port.
    zone : str
        Availability zone.
    leaving : bool
        Whether the platform is about to take it away.
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
        """Return the rows whose keys begin with ``prefix``, in the keys' order."""

    @abc.abstractmethod
    async def commit(self, writes: list[Write]) -> Written:
        """Apply all writes, or none where a condition does not hold.

        Each row stands once among them; see `check_distinct`.
        """


class RowStore(Tables):
    """Tables whose rows lie in parts, with a feed of the changes.

    Reads are linearizable. A part takes a bounded number of transactions a
    second, so what is written often is spread over parts.
    """

    @abc.abstractmethod
    async def read(self, table: str, key: str, part: str = ""):
        """Return one row."""

    @abc.abstractmethod
    async def scan(self, table: str, prefix: str, part: str = ""):
        """Return the rows of a part whose keys begin with ``prefix``, in order.

        Rows written while a long part is read are left out, so that the result
        holds every row up to some moment and none behind it.
        """

    @abc.abstractmethod
    async def changes(
        self, table: str, after: int, wait: datetime.timedelta
    ) -> Changes | HistoryLost | Unavailable:
        """Return what changed after a version; waits for the first change."""

    @abc.abstractmethod
    async def snapshot(self, table: str, after: int = 0) -> Changes | Unavailable:
        """Return the rows of all parts, with the version to watch from.

        Parameters
        ----------
        table : str
        after : int
            The rows are at least as new as this version.
        """

    @abc.abstractmethod
    def now(self) -> datetime.timedelta:
        """Return the store's steady time, as estimated from its last answer."""


class WrappedStore(RowStore):
    """Store that passes every call on; what differs is for its subclasses to say.

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
        """Return the rows of a part whose keys begin with ``prefix``, in order."""
        return await self.inner.scan(table, prefix, part)

    async def commit(self, writes):
        """Apply all writes, or none where a condition does not hold."""
        return await self.inner.commit(writes)

    async def changes(self, table, after, wait):
        """Return what changed after a version; waits for the first change."""
        return await self.inner.changes(table, after, wait)

    async def snapshot(self, table, after=0):
        """Return the rows of all parts, with the version to watch from."""
        return await self.inner.snapshot(table, after)

    def now(self):
        """Return the store's steady time, as estimated from its last answer."""
        return self.inner.now()


class Objects(abc.ABC):
    """Object store."""

    @abc.abstractmethod
    async def put(self, name: str, data: bytes) -> Written:
        """Store an object once; a conflict says that the name is taken."""

    @abc.abstractmethod
    async def get(self, name: str) -> bytes | Missing | Unavailable:
        """Return an object's bytes."""

    @abc.abstractmethod
    async def delete(self, name: str) -> Written:
        """Remove an object; removing what is not there succeeds."""


class Weights(abc.ABC):
    """Rate-limited store of model weights."""

    @abc.abstractmethod
    async def publish(self, pool: str, version: int, data: bytes) -> Written:
        """Store the weights of one version once."""


class Hosts(abc.ABC):
    """Lagging list of live and leaving hosts."""

    @abc.abstractmethod
    async def announce(self, host: Host) -> Written:
        """Put this process on the list."""

    @abc.abstractmethod
    async def list(self) -> list[Host] | Unavailable:
        """Return the list, which may be old."""


@attrs.frozen
class Platform:
    """The four services of the platform.

    Attributes
    ----------
    tables : Tables
    objects : Objects
    weights : Weights
    hosts : Hosts
    """

    tables: Tables
    objects: Objects
    weights: Weights
    hosts: Hosts


ADAPTERS: dict[str, Callable[[str], Platform]] = {}
BUILT_IN_ADAPTERS = {"memory": "gypsumshift.memory", "http": "gypsumshift.remote"}


def register(scheme: str, connector: Callable[[str], Platform]) -> None:
    """Make URLs of ``scheme`` connect by ``connector``."""
    ADAPTERS[scheme] = connector


def connect(url: str) -> Platform:
    """Return the platform behind a URL; a scheme nobody registered is a KeyError."""
    scheme = url.partition(":")[0]
    if scheme not in ADAPTERS and scheme in BUILT_IN_ADAPTERS:
        importlib.import_module(BUILT_IN_ADAPTERS[scheme])
    return ADAPTERS[scheme](url)
