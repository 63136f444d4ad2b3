"""Leases: who does the work that one process should do at a time.

A lease only saves double work. Whatever must not happen twice is guarded by
conditions in the transactions themselves, so a holder that was paused, or whose
clock is off, does no harm.
"""

import attrs

from gypsumshift.clock import Clock
from gypsumshift.outcomes import Committed, Missing, Unavailable
from gypsumshift.platforms import ABSENT, Tables, Write

__all__ = ["Lease"]

LEASES_TABLE = "leases"


@attrs.define
class Lease:
    """One lease, as one process sees it.

    A challenger takes over once it has seen the row unchanged for ``duration``
    by its own monotonic clock; no two clocks are compared.

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
    fence : int
        Grows with each new holder; 0 while this process is not the holder.
    """

    tables: Tables
    name: str
    owner: str
    clock: Clock
    duration: float
    fence: int = 0
    held_until: float = float("-inf")
    seen_version: int = -1
    seen_at: float = 0.0

    @property
    def held(self) -> bool:
        """Whether this process may believe that it holds the lease."""
        return self.fence > 0 and self.clock.monotonic() < self.held_until

    async def step(self) -> bool:
        """Renew, or take over where that is due; return whether it is held."""
        began = self.clock.monotonic()
        row = await self.tables.read(LEASES_TABLE, self.name)
        if isinstance(row, Unavailable):
            return self.held
        if isinstance(row, Missing):
            await self.write(ABSENT, 1, began)
            return self.held
        if row.value["owner"] == self.owner:
            await self.write(row.version, row.value["fence"], began)
            return self.held
        self.fence = 0
        if self.expired(row.version) or not row.value["owner"]:
            await self.write(row.version, row.value["fence"] + 1, began)
        return self.held

    def expired(self, version: int) -> bool:
        """Tell whether the row has stood unchanged for the whole duration."""
        now = self.clock.monotonic()
        if version != self.seen_version:
            self.seen_version, self.seen_at = version, now
        return now - self.seen_at >= self.duration

    async def write(self, version: int, fence: int, began: float) -> None:
        """Write the row as its holder; a lost answer is settled by the next step."""
        value = {"owner": self.owner, "fence": fence}
        write = Write(LEASES_TABLE, self.name, value, version)
        outcome = await self.tables.commit([write])
        if isinstance(outcome, Committed):
            self.fence = fence
            self.held_until = began + self.duration

    async def release(self) -> None:
        """Give the lease up, so that another need not wait."""
        if not self.fence:
            return
        row = await self.tables.read(LEASES_TABLE, self.name)
        fence, self.fence = self.fence, 0
        if isinstance(row, (Missing, Unavailable)) or row.value["owner"] != self.owner:
            return
        value = {"owner": "", "fence": fence}
        await self.tables.commit([Write(LEASES_TABLE, self.name, value, row.version)])
