"""Proof that a connection leads to the start of a server that a process knows.

A connection belongs to the process that accepted it, so a request on it never arrives
at a later start. If a start is known to have run at some time, each connection that was
opened before leads to it, or to an older start that has ended.
"""

import abc
from collections.abc import Callable, Iterable

import attrs

from gypsumshift.clock import Clock
from gypsumshift.serving.cold.knowledge import ENTRY_DELAY_SECONDS
from gypsumshift.serving.directory import BackendServer

__all__ = ["LIVE_SECONDS", "Link", "ProofRecord", "StartProofs"]

# Age of the last data up to which an open connection shows that its server runs. The
# end of a connection may be hidden by a partition; a server that restarts during one
# longer than this is not taken for the old start.
LIVE_SECONDS = 4.0
# Time since the last entry of a start up to which entries count as arriving regularly:
# servers write one every 1.2 s at most.
REGULAR_SECONDS = 2.5
NEVER = float("-inf")


class Link(abc.ABC):
    """An open connection to a server, as far as proofs depend on it.

    Attributes
    ----------
    opened_at : float
        When it was opened, by the monotonic clock.
    heard_at : float
        When data last arrived on it, or when it was opened.
    """

    opened_at: float
    heard_at: float

    @abc.abstractmethod
    def is_open(self) -> bool:
        """Return whether neither side has closed the connection, as far as known."""


@attrs.define
class ProofRecord:
    """What is known of one start of a server.

    Attributes
    ----------
    born : int
        See `ServerStart`.
    running_at : float
        Last time at which the start is known to have run, by the monotonic clock.
    entry_at : float
        When the last entry of the start was received.
    """

    born: int
    running_at: float = NEVER
    entry_at: float = NEVER


class StartProofs:
    """Decides which connections lead to the known starts of servers.

    Parameters
    ----------
    clock : Clock

    Attributes
    ----------
    records : dict
        `ProofRecord` by server id.
    links : callable
        Returns the `Link` objects to an address; by default none.
    entries_current_at : callable
        Returns the time, by the monotonic clock, up to which the process has received
        all entries; by default it never has.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.records: dict[str, ProofRecord] = {}
        self.links: Callable[[tuple[str, int]], Iterable[Link]] = lambda address: ()
        self.entries_current_at: Callable[[], float] = lambda: NEVER

    def record(self, server: BackendServer) -> ProofRecord:
        """Return the record of a server's start, created in place of an older one."""
        found = self.records.get(server.id)
        if found is None or found.born != server.born:
            found = self.records[server.id] = ProofRecord(server.born)
        return found

    def note_entry(self, server: BackendServer) -> None:
        """Record an entry, which was written `ENTRY_DELAY_SECONDS` ago at most.

        An entry that comes after a pause may be older, as the store may not have
        answered. It shows no more than that the one before came from this start.
        """
        record, now = self.record(server), self.clock.monotonic()
        regular = now - record.entry_at <= REGULAR_SECONDS
        received_at = now if regular else record.entry_at
        self.note_running(server, received_at - ENTRY_DELAY_SECONDS)
        record.entry_at = now

    def running_at(self, server: BackendServer) -> float:
        """Return the last time at which a start is known to have run.

        A new start writes its entry within `ENTRY_DELAY_SECONDS`. If that has not come
        by now, the listed start was still running then.
        """
        record = self.record(server)
        if record.entry_at == NEVER:
            return record.running_at
        return max(record.running_at, self.entries_current_at() - ENTRY_DELAY_SECONDS)

    def note_running(self, server: BackendServer, at: float) -> None:
        """Record that a start ran at a time."""
        record = self.record(server)
        record.running_at = max(record.running_at, at)

    def is_proved(self, server: BackendServer, link: Link) -> bool:
        """Return whether a connection leads to a server's start, or to no process."""
        if link.opened_at <= self.running_at(server):
            return True
        if not self.is_running(server):
            return False
        self.note_running(server, self.clock.monotonic())
        return True

    def is_running(self, server: BackendServer) -> bool:
        """Return whether an open connection shows that a server's start still runs."""
        running_at, now = self.running_at(server), self.clock.monotonic()
        return any(
            link.opened_at <= running_at
            and now - link.heard_at <= LIVE_SECONDS
            and link.is_open()
            for link in self.links(server.address)
        )

    def prune(self, known: set[str]) -> None:
        """Remove the records of servers that are not listed any more."""
        self.records = {s: r for s, r in self.records.items() if s in known}
