"""Division of a cold server's limit among the processes that send to it.

A part is safe if all processes that send within one second know each other. A process
therefore sends only while its copy of the table of processes is at most
`MAX_TABLE_AGE_SECONDS` old, and only once its own entry has been in the table for
`LISTED_SECONDS`: by then, each copy in use has contained it for more than a second.
Entries of dead processes stay in the table for a minute, which only lowers the parts of
the others.
"""

import abc
import functools

import attrs

from gypsumshift.clock import Clock
from gypsumshift.neighbourregistry import NeighbourRegistry
from gypsumshift.rendezvous import rendezvous_weight
from gypsumshift.serving.cold.shares import NO_SHARE, LimitShare
from gypsumshift.serving.directory import BackendServer

__all__ = [
    "ChosenSenders",
    "EqualParts",
    "NeighbourTable",
    "ProcessTable",
    "SenderDivision",
    "sender_count",
]

# Maximum age of a copy of the table of processes. Its feed answers every 1.8 s, a
# second of which is the pause after an answer, and the store may be a little slow.
MAX_TABLE_AGE_SECONDS = 3.0
# Time for which a process must be listed before it counts itself: the age of a copy and
# the window of the limit, with a reserve of half a second.
LISTED_SECONDS = MAX_TABLE_AGE_SECONDS + 1.5
# Most processes that send to one cold server. With few senders each one's part is
# several requests, so that it is of use; with several, the death of one costs little.
MAX_SENDERS = 4
# Fewest senders: the entry of a process that has ended stays in the table for a minute,
# and with a single sender nothing would be sent meanwhile.
MIN_SENDERS = 2
# Share of a capacity that the equal parts of the senders have to use, if possible.
USED_SHARE = 0.9
# Time for which the rank of this process at a server is kept.
RANK_SECONDS = 0.2

cached_weight = functools.lru_cache(maxsize=8192)(rendezvous_weight)


class ProcessTable(abc.ABC):
    """Copy of the table of processes, as one process has it."""

    own_name: str

    @abc.abstractmethod
    def names(self) -> set[str]:
        """Return the names of the other processes."""

    @abc.abstractmethod
    def current_at(self) -> float:
        """Return the time up to which the copy is complete, by the clock in use."""

    @abc.abstractmethod
    def listed_since(self) -> float:
        """Return since when the own entry has been in the table without a gap."""


class NeighbourTable(ProcessTable):
    """Table of processes in the platform's store."""

    def __init__(self, registry: NeighbourRegistry):
        self.registry = registry
        self.own_name = registry.own.name

    def names(self) -> set[str]:
        """Return the names of the other processes."""
        return set(self.registry.path.neighbours) - {self.own_name}

    def current_at(self) -> float:
        """Return when the last call that brought all changes was started."""
        return self.registry.watch.confirmed_at

    def listed_since(self) -> float:
        """Return since when the own entry has been announced regularly."""
        return self.registry.listed_since


class SenderDivision(abc.ABC):
    """Rule by which the processes divide a server's limit.

    Parameters
    ----------
    table : ProcessTable
    clock : Clock
    """

    def __init__(self, table: ProcessTable, clock: Clock):
        self.table = table
        self.clock = clock

    def own_part(self, server: BackendServer, total: LimitShare) -> LimitShare:
        """Return the part of this process in a limit; none if it may not send."""
        now = self.clock.monotonic_with_suspend()
        if not total.capacity or now - self.table.listed_since() < LISTED_SECONDS:
            return NO_SHARE
        return self.divide(server, total, now)

    def is_recent(self, current_at: float, now: float) -> bool:
        """Return whether a copy of the table is recent enough to send."""
        return now - current_at <= MAX_TABLE_AGE_SECONDS

    @abc.abstractmethod
    def divide(
        self, server: BackendServer, total: LimitShare, now: float
    ) -> LimitShare:
        """Return the part of this process, which is listed for long enough."""


class EqualParts(SenderDivision):
    """Each known process gets the same part; none if there are too many of them."""

    def divide(
        self, server: BackendServer, total: LimitShare, now: float
    ) -> LimitShare:
        """Return an equal part."""
        if not self.is_recent(self.table.current_at(), now):
            return NO_SHARE
        return equal_part(total, len(self.table.names()) + 1)


@attrs.frozen
class Rank:
    """Rank of this process among the possible senders to a server.

    Attributes
    ----------
    rank : int
        Number of other processes that come before it.
    processes : int
        Number of known processes, this one included.
    current_at : float
        Time up to which the copy was complete by which the rank was determined.
    found_at : float
    """

    rank: int
    processes: int
    current_at: float
    found_at: float


class ChosenSenders(SenderDivision):
    """A few processes, chosen by rendezvous hashing, get equal parts.

    If all processes that send within a second know each other, the last one of them in
    the order knows that all the others come before it, so they are at most as many as
    it takes for the number of senders.

    Attributes
    ----------
    ranks : dict
        `Rank` by server id.
    """

    def __init__(self, table: ProcessTable, clock: Clock):
        super().__init__(table, clock)
        self.ranks: dict[str, Rank] = {}

    def divide(
        self, server: BackendServer, total: LimitShare, now: float
    ) -> LimitShare:
        """Return an equal part if this process is one of the senders."""
        rank = self.find_rank(server.id, now)
        if not self.is_recent(rank.current_at, now):
            return NO_SHARE
        senders = min(sender_count(total.capacity), rank.processes)
        return equal_part(total, senders) if rank.rank < senders else NO_SHARE

    def find_rank(self, server_id: str, now: float) -> Rank:
        """Return the rank of this process at a server, found recently or now.

        It does not depend on the server's start: processes learn of a restart at
        different times, and with other senders for the new start, a server got the
        limit of two sets of senders (14 requests in a second, 9.8 allowed).
        """
        known = self.ranks.get(server_id)
        if known is not None and now - known.found_at < RANK_SECONDS:
            return known
        names = self.table.names()
        own = (cached_weight(server_id, self.table.own_name), self.table.own_name)
        before = sum((cached_weight(server_id, name), name) > own for name in names)
        found = Rank(before, len(names) + 1, self.table.current_at(), now)
        self.ranks = {
            s: r for s, r in self.ranks.items() if now - r.found_at < RANK_SECONDS
        }
        self.ranks[server_id] = found
        return found

    def senders(self, server_id: str, capacity: int) -> list[str]:
        """Return the processes that share a limit, as this process sees them."""
        if not capacity:
            return []
        names = [*self.table.names(), self.table.own_name]
        names.sort(key=lambda name: (cached_weight(server_id, name), name))
        return names[-sender_count(capacity) :]

    def keepers(self, server_id: str, capacity: int) -> list[str]:
        """Return the senders that keep a connection to a server; see `keeper`."""
        return self.senders(server_id, capacity)[-MIN_SENDERS:]


def sender_count(capacity: int) -> int:
    """Return the largest number of senders whose equal parts use most of a capacity."""
    most = min(MAX_SENDERS, capacity)
    using = (
        count
        for count in range(1, most + 1)
        if count * (capacity // count) >= USED_SHARE * capacity
    )
    return max([*using, min(MIN_SENDERS, most)])


def equal_part(total: LimitShare, senders: int) -> LimitShare:
    """Return the part of each of some senders."""
    capacity = total.capacity // senders
    return LimitShare(capacity, total.rate / senders) if capacity else NO_SHARE
