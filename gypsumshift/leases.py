"""Leases: give one process at a time the right to do a piece of work.

Writes to the store are protected by the conditions of their transactions, so a holder
that was paused, or whose clock is wrong, does no harm there. Actions outside the store
are protected by time: the holder starts an action only if its lease lasts longer than
the action may take, and no other process takes over before the lease has expired.

Receivers of such actions reject a fence that is lower than one seen before. If the row
of a lease is missing, the fences used before are unknown. The row is then created
without an owner, and its version becomes the first fence. In a store with one version
counter for all rows, this exceeds all earlier fences: each of them is at most the
version of the transaction that wrote it.
"""

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.outcomes import Committed, Missing, Unavailable
from gypsumshift.platforms import ABSENT, Row, Tables, Write

__all__ = ["Lease"]

LEASES_TABLE = "leases"
# Number of hosts before the current holder that a lease row lists. With two, a host A
# that returns after B and C is distinguished from one that never held the lease.
MAX_FORMER_HOSTS = 2

log = logs.logger("leases")


@attrs.frozen
class LeaseRecord:
    """Contents of a lease row in the store.

    Attributes
    ----------
    owner : str
        Process that holds the lease; empty after it was released.
    fence : int
    host : str
        Host of the owner.
    former : tuple of str
        Hosts that held the lease before, most recent first.
    """

    owner: str
    fence: int
    host: str = ""
    former: tuple[str, ...] = ()


# Record in the row of a lease that no process has held yet.
UNUSED = LeaseRecord("", 0)


def parse_lease_record(row: Row) -> LeaseRecord | None:
    """Return the lease record in a row; None if the row holds anything else."""
    value = row.value
    owner, fence = value.get("owner"), value.get("fence")
    host, former = value.get("host", ""), value.get("former", [])
    texts_valid = isinstance(former, list | tuple) and all(
        isinstance(text, str) for text in (owner, host, *former)
    )
    if texts_valid and type(fence) is int:
        return LeaseRecord(owner, fence, host, tuple(former))
    log.error("Row {}/{} is not a valid lease; ignoring it.", row.table, row.key)
    return None


@attrs.define
class Lease:
    """A lease as seen by one process.

    A challenger takes over after it has seen the row unchanged for ``duration`` on its
    own clock, so the clocks of two hosts are never compared. The clock keeps counting
    while the host is suspended, so a holder that was suspended for longer than the
    lease lasts no longer considers itself the holder.

    Attributes
    ----------
    tables : Tables
    name : str
        Key of the lease's row; names the work that it protects.
    owner : str
        Identifier of this process, unique among processes and restarts.
    clock : Clock
    duration : float
        Seconds that the lease lasts after its last renewal.
    host : str
        Host that this process runs on; the owner by default.
    return_pause : float
        Additional seconds that a recent former host waits before it takes over. An
        observer that sees actions of host A and then of host B therefore sees none of
        A shortly after.
    fence : int
        Number that grows with each new holder; 0 while this process is not the holder.
    held_until : float
        Time on this process's clock at which the lease expires.
    seen_version : int
        Version of the row when another process was last seen as its owner.
    seen_at : float
        Time at which that version was first read.
    """

    tables: Tables
    name: str
    owner: str
    clock: Clock
    duration: float
    host: str = attrs.field(default=attrs.Factory(lambda self: self.owner, True))
    return_pause: float = 0.0
    fence: int = 0
    held_until: float = float("-inf")
    seen_version: int = -1
    seen_at: float = 0.0

    @property
    def held(self) -> bool:
        """Whether this process holds the lease, according to its own clock."""
        return self.is_held_for(0.0)

    def is_held_for(self, seconds: float) -> bool:
        """Return whether the lease lasts longer than ``seconds`` from now."""
        return (
            self.fence > 0
            and self.clock.monotonic_with_suspend() + seconds < self.held_until
        )

    async def renew_or_acquire(self) -> bool:
        """Renew the lease, or acquire it if it is free; return whether it is held."""
        began = self.clock.monotonic_with_suspend()
        row = await self.tables.read(LEASES_TABLE, self.name)
        if isinstance(row, Unavailable):
            return self.held
        if isinstance(row, Missing):
            row = await self.create_row()
        if not isinstance(row, Row):
            return self.held
        record = parse_lease_record(row)
        if record is None:
            return self.held
        if record.owner == self.owner:
            await self.write_record(row.version, record, began)
            return self.held
        self.fence = 0
        if self.may_take_over(row, record):
            await self.write_record(row.version, self.next_record(row, record), began)
        return self.held

    def next_record(self, row: Row, record: LeaseRecord) -> LeaseRecord:
        """Return the record with which this process takes the lease over."""
        if record == UNUSED:
            return LeaseRecord(self.owner, row.version, self.host)
        former = (record.host, *record.former)[:MAX_FORMER_HOSTS]
        return LeaseRecord(self.owner, record.fence + 1, self.host, former)

    async def create_row(self) -> Row | Missing | Unavailable:
        """Create the row of a lease that nobody holds yet, and return it.

        If another process created it in the meantime, that process's row is returned.
        """
        value = attrs.asdict(UNUSED)
        await self.tables.commit([Write(LEASES_TABLE, self.name, value, ABSENT)])
        return await self.tables.read(LEASES_TABLE, self.name)

    def may_take_over(self, row: Row, record: LeaseRecord) -> bool:
        """Return whether this process may take the lease over from another owner."""
        now = self.clock.monotonic_with_suspend()
        if row.version != self.seen_version:
            self.seen_version, self.seen_at = row.version, now
        wait = self.duration if record.owner else 0.0
        if self.host in record.former:
            wait += self.return_pause
        return now - self.seen_at >= wait

    async def write_record(
        self, version: int, record: LeaseRecord, began: float
    ) -> None:
        """Write a record that makes this process the holder.

        If the answer is lost, the next call of `renew_or_acquire` finds out whether the
        write took effect.

        Parameters
        ----------
        version : int
            Version that the row must still have.
        record : LeaseRecord
        began : float
            Time before the row was read, from which the duration counts.
        """
        value = attrs.asdict(record)
        outcome = await self.tables.commit(
            [Write(LEASES_TABLE, self.name, value, version)]
        )
        if isinstance(outcome, Committed):
            self.fence = record.fence
            self.held_until = began + self.duration

    async def release(self) -> None:
        """Release the lease, so that another process need not wait for it to expire."""
        if not self.fence:
            return
        self.fence = 0
        row = await self.tables.read(LEASES_TABLE, self.name)
        if not isinstance(row, Row):
            return
        record = parse_lease_record(row)
        if record is None or record.owner != self.owner:
            return
        value = attrs.asdict(attrs.evolve(record, owner=""))
        await self.tables.commit([Write(LEASES_TABLE, self.name, value, row.version)])
