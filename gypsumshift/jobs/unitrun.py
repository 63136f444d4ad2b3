"""State of a claimed unit while its items run, and the engine capacity it uses."""

import asyncio

import attrs

from gypsumshift.jobs.itemrun import ItemRun
from gypsumshift.jobs.records import Job, UnitSummary

__all__ = ["UnitRun"]


@attrs.define
class UnitRun:
    """A claimed unit whose items are being run.

    Attributes
    ----------
    job : Job
    summary : UnitSummary
    claim_version : int
        Version of the unit's row in the claim table.
    claimed_at : float
        Time of the claim, in seconds of the monotonic clock.
    runs : dict
        `ItemRun` by item id, for items without a result.
    tasks : dict
        Task by item id. While the items are read from the store, or the results of
        a unit without items to run are stored, that task is listed under the empty
        string.
    taken_over : bool
        Whether another agent held the unit before.
    """

    job: Job
    summary: UnitSummary
    claim_version: int
    claimed_at: float = 0.0
    runs: dict[str, ItemRun] = attrs.field(factory=dict)
    tasks: dict[str, asyncio.Task] = attrs.field(factory=dict)
    taken_over: bool = False

    @property
    def key(self) -> str:
        """Key of the unit."""
        return self.summary.key

    @property
    def waits_for_store(self) -> bool:
        """Whether its items are being read, or its remaining results stored."""
        return "" in self.tasks

    @property
    def generating_runs(self) -> list[ItemRun]:
        """Runs that occupy a slot of the engine or are about to."""
        runs = self.runs.values()
        return [run for run in runs if not run.generated]

    @property
    def is_streaming(self) -> bool:
        """Whether the engine is generating an item of the unit, or one is scored."""
        return any(run.is_streaming or run.generated for run in self.runs.values())

    @property
    def slots_used(self) -> int:
        """Number of engine slots that the unit occupies or is about to occupy."""
        waits = self.waits_for_store
        return len(self.summary.items) if waits else len(self.generating_runs)

    @property
    def memory_estimates(self) -> list[int]:
        """Estimated engine memory of each item that occupies a slot, in tokens."""
        if self.waits_for_store:
            return [self.summary.memory] * len(self.summary.items)
        return [run.item.memory for run in self.generating_runs]
