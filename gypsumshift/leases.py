"""Leases: who does the work that one process should do at a time.

What is kept in the store is guarded by conditions in the transactions themselves, so a
holder that was paused, or whose clock is off, does no harm there. What a holder does
elsewhere is guarded by time: it acts only while its lease lasts longer than the act may
take, and nobody takes over before that lease has ended.
"""

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.outcomes import Committed, Missing, Unavailable
from gypsumshift.platforms import ABSENT, Row, Tables, Write

__all__ = ["Lease"]

LEASES_TABLE = "leases"
# Hosts that held a lease before its holder and are remembered: of A, B, C, one that
# comes back behind C is told from one that never held it.
MAX_FORMER_HOSTS = 2

log = logs.logger("leases")


@attrs.frozen
class LeaseRecord:
    """What the row of a lease says.

    Attributes
    ----------
    owner : str
        Empty where it was given up.
    fence : int
    host : str
        Of the owner.
    former : tuple of str
        Hosts that held it before, the last one first.
    """

    owner: str
    fence: int
    host: str = ""
    former: tuple[str, ...] = ()


def parse_lease_record(row: Row) -> LeaseRecord | None:
    """Return what a row says; None where another writer put something else."""
    value = row.value
    owner, fence = value.get("owner"), value.get("fence")
    host, former = value.get("host", ""), value.get("former", [])
    texts = isinstance(former, list | tuple) and all(
        isinstance(text, str) for text in (owner, host, *former)
    )
    if texts and type(fence) is int:
        return LeaseRecord(owner, fence, host, tuple(former))
    log.error("A row is no lease: {}/{}", row.table, row.key)
    return None


@attrs.define
class Lease:
    """One lease, as one process sees it.

    A challenger takes over once it has seen the row unchanged for ``duration`` by its
    own clock; no two clocks are compared. The clock goes on while the host is
    suspended: a holder that was is none any more.

    Attributes
    ----------
    tables : Tables
    name : str
        What the lease is for.
    owner : str
        Unique to this process.
    clock : Clock
    duration : float
        Seconds.
    host : str
        On which this process runs; the owner by default.
    return_pause : float
        Seconds for which a host that held the lease shortly before waits longer than
        others, so that whoever sees acts of A and B sees none of A soon after.
    fence : int
        Grows with each new holder; 0 while this process is not the holder.
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
        """Whether this process may believe that it holds the lease."""
        return self.is_held_for(0.0)

    def is_held_for(self, seconds: float) -> bool:
        """Tell whether the lease lasts for longer than so many seconds."""
        return (
            self.fence > 0
            and self.clock.monotonic_with_suspend() + seconds < self.held_until
        )

    async def renew_or_acquire(self) -> bool:
        """Renew, or take over where that is due; return whether it is held."""
        began = self.clock.monotonic_with_suspend()
        row = await self.tables.read(LEASES_TABLE, self.name)
        if isinstance(row, Unavailable):
            return self.held
        if isinstance(row, Missing):
            await self.write_record(
                ABSENT, LeaseRecord(self.owner, 1, self.host), began
            )
            return self.held
        known = parse_lease_record(row)
        if known is None:
            return self.held
        if known.owner == self.owner:
            await self.write_record(row.version, known, began)
            return self.held
        self.fence = 0
        if self.may_take_over(row, known):
            former = (known.host, *known.former)[:MAX_FORMER_HOSTS]
            taken = LeaseRecord(self.owner, known.fence + 1, self.host, former)
            await self.write_record(row.version, taken, began)
        return self.held

    def may_take_over(self, row: Row, known: LeaseRecord) -> bool:
        """Tell whether this process may take the lease over from its holder."""
        now = self.clock.monotonic_with_suspend()
        if row.version != self.seen_version:
            self.seen_version, self.seen_at = row.version, now
        wait = self.duration if known.owner else 0.0
        if self.host in known.former:
            wait += self.return_pause
        return now - self.seen_at >= wait

    async def write_record(
        self, version: int, holding: LeaseRecord, began: float
    ) -> None:
        """Write the row as its holder; a lost answer is settled by the next step."""
        value = attrs.asdict(holding)
        outcome = await self.tables.commit(
            [Write(LEASES_TABLE, self.name, value, version)]
        )
        if isinstance(outcome, Committed):
            self.fence = holding.fence
            self.held_until = began + self.duration

    async def release(self) -> None:
        """Give the lease up, so that another need not wait."""
        if not self.fence:
            return
        self.fence = 0
        row = await self.tables.read(LEASES_TABLE, self.name)
        if not isinstance(row, Row):
            return
        known = parse_lease_record(row)
        if known is None or known.owner != self.owner:
            return
        value = attrs.asdict(attrs.evolve(known, owner=""))
        await self.tables.commit([Write(LEASES_TABLE, self.name, value, row.version)])
