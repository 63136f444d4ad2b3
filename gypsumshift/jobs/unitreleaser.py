"""Release claimed units, so that other agents can claim them."""

import asyncio
from collections.abc import Callable

from gypsumshift.clock import Clock
from gypsumshift.jobs.claimtracker import ClaimTracker
from gypsumshift.jobs.itemrun import RETRY_PAUSE
from gypsumshift.jobs.partials import PartialStore
from gypsumshift.jobs.records import CLAIMS, Claim
from gypsumshift.jobs.rowcodec import to_row
from gypsumshift.jobs.unitrun import UnitRun
from gypsumshift.outcomes import Committed, Conflict, Missing, Unavailable
from gypsumshift.platforms import Row, RowStore, Write

__all__ = ["UnitReleaser"]


class UnitReleaser:
    """Releases units and stores the partial results of their items.

    Parameters
    ----------
    store : RowStore
    tracker : ClaimTracker
        Receives the changed claims.
    partials : PartialStore
    clock : Clock
    on_release : callable
        Called when a unit may have become free.

    Attributes
    ----------
    pending : set of (str, str)
        Job and unit of the releases in progress. In the store these units may still be
        claimed by this agent.
    tasks : set of asyncio.Task
        Running releases.
    """

    def __init__(
        self,
        store: RowStore,
        tracker: ClaimTracker,
        partials: PartialStore,
        clock: Clock,
        on_release: Callable[[], None],
    ):
        self.store = store
        self.tracker = tracker
        self.partials = partials
        self.clock = clock
        self.on_release = on_release
        self.pending: set[tuple[str, str]] = set()
        self.tasks: set[asyncio.Task] = set()

    def start_release(self, unit: UnitRun, pause: float = 0.0) -> asyncio.Task:
        """Start a task that releases a unit after a pause in seconds.

        The unit is marked as pending at once rather than when the task first runs. The
        store still lists it as claimed by this agent, so a search for work in between
        started the unit again: an item that fails ran 6 times during its pause instead
        of once.
        """
        self.pending.add((unit.job.id, unit.key))
        task = asyncio.create_task(self.release_after_pause(unit, pause))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def release_after_pause(self, unit: UnitRun, pause: float) -> None:
        """Wait for a pause in seconds, then release a unit."""
        try:
            await self.clock.sleep(pause)
            await self.write_release(unit)
        finally:
            self.pending.discard((unit.job.id, unit.key))

    async def write_release(self, unit: UnitRun) -> None:
        """Store an empty claim and the partial results; retry until certain."""
        writes = self.partials.partial_writes(unit.job.id, list(unit.runs.values()))
        release = Write(
            CLAIMS, unit.key, to_row(Claim()), unit.claim_version, part=unit.job.id
        )
        outcome = await self.store.commit([*writes, release])
        while not isinstance(outcome, (Committed, Conflict)):
            await self.clock.sleep(RETRY_PAUSE)
            outcome = await self.store.commit([*writes, release])
        if isinstance(outcome, Conflict):
            await self.reload_claim(unit)
            return
        row = Row(CLAIMS, unit.key, outcome.version, release.value, unit.job.id)
        self.tracker.apply_claim_rows([row])
        self.on_release()

    async def reload_claim(self, unit: UnitRun) -> None:
        """Update the claim tracker with a unit's claim as the store holds it.

        A conflict means that the claim has changed: either an earlier attempt was
        committed and its answer lost, or another agent has claimed the unit. Without
        this update the tracker still listed the unit as this agent's, so that it was
        started again.
        """
        row = await self.store.read(CLAIMS, unit.key, unit.job.id)
        while isinstance(row, Unavailable) or self.is_stale(row, unit):
            await self.clock.sleep(RETRY_PAUSE)
            row = await self.store.read(CLAIMS, unit.key, unit.job.id)
        if isinstance(row, Row):
            self.tracker.apply_claim_rows([row])
            self.on_release()

    def is_stale(self, row: Row | Missing, unit: UnitRun) -> bool:
        """Return whether a read returned an outdated version of a unit's claim."""
        return isinstance(row, Row) and row.version <= unit.claim_version
