"""Returns: units that an agent gives back, until the store has them as free."""

import asyncio
from collections.abc import Callable

from gypsumshift.clock import Clock
from gypsumshift.jobs.claimtracker import ClaimTracker
from gypsumshift.jobs.itemrun import RETRY_PAUSE
from gypsumshift.jobs.partials import PartialStore
from gypsumshift.jobs.records import CLAIMS, Claim, to_row
from gypsumshift.jobs.unitrun import UnitRun
from gypsumshift.outcomes import Committed, Conflict, Missing, Unavailable
from gypsumshift.platforms import Row, RowStore, Write

__all__ = ["UnitReleaser"]


class UnitReleaser:
    """Gives units back, with what was generated of them.

    Parameters
    ----------
    store : RowStore
    tracker : ClaimTracker
        Told what becomes of the claims.
    partials : Partials
    clock : Clock
    changed : callable
        Called when a unit is free.

    Attributes
    ----------
    pending : set of (str, str)
        Job and unit of those that are being given back, which the store still has as
        this agent's.
    tasks : set of asyncio.Task
    """

    def __init__(
        self,
        store: RowStore,
        tracker: ClaimTracker,
        partials: PartialStore,
        clock: Clock,
        changed: Callable[[], None],
    ):
        self.store = store
        self.tracker = tracker
        self.partials = partials
        self.clock = clock
        self.changed = changed
        self.pending: set[tuple[str, str]] = set()
        self.tasks: set[asyncio.Task] = set()

    def start_release(self, unit: UnitRun, pause: float = 0.0) -> asyncio.Task:
        """Begin to give a unit back, after a pause in seconds.

        It counts as returning from this moment on, not from the first turn of its
        task: the store still has it as this agent's, and whoever looks for work in
        between began it again (6 runs of an item that fails, in its pause, for 1 due).
        """
        self.pending.add((unit.job.id, unit.key))
        task = asyncio.create_task(self.release_after_pause(unit, pause))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def release_after_pause(self, unit: UnitRun, pause: float) -> None:
        """Write what was generated of a unit, and that it is free."""
        try:
            await self.clock.sleep(pause)
            await self.write_release(unit)
        finally:
            self.pending.discard((unit.job.id, unit.key))

    async def write_release(self, unit: UnitRun) -> None:
        """Write that a unit is free until the outcome is certain."""
        writes = self.partials.partial_writes(unit.job.id, list(unit.runs.values()))
        free = Write(
            CLAIMS, unit.key, to_row(Claim()), unit.claim_version, part=unit.job.id
        )
        outcome = await self.store.commit([*writes, free])
        while not isinstance(outcome, (Committed, Conflict)):
            await self.clock.sleep(RETRY_PAUSE)
            outcome = await self.store.commit([*writes, free])
        if isinstance(outcome, Conflict):
            await self.reload_claim(unit)
            return
        row = Row(CLAIMS, unit.key, outcome.version, free.value, unit.job.id)
        self.tracker.apply_claim_rows([row])
        self.changed()

    async def reload_claim(self, unit: UnitRun) -> None:
        """Read who holds a unit by the store.

        A conflict says that the claim has changed: an earlier try was carried out and
        its answer lost, or another agent holds the unit. Known only as this agent's,
        it was begun again.
        """
        row = await self.store.read(CLAIMS, unit.key, unit.job.id)
        while isinstance(row, Unavailable) or self.is_stale(row, unit):
            await self.clock.sleep(RETRY_PAUSE)
            row = await self.store.read(CLAIMS, unit.key, unit.job.id)
        if isinstance(row, Row):
            self.tracker.apply_claim_rows([row])
            self.changed()

    def is_stale(self, row: Row | Missing, unit: UnitRun) -> bool:
        """Tell whether a claim was read as it was before it changed."""
        return isinstance(row, Row) and row.version <= unit.claim_version
