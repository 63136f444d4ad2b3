"""Unit run: a claimed unit on its way, and what it takes of its engine."""

import asyncio

import attrs

from gypsumshift.jobs.itemrun import ItemRun
from gypsumshift.jobs.records import Job, UnitSummary

__all__ = ["UnitRun"]


@attrs.define
class UnitRun:
    """A claimed unit on its way.

    Attributes
    ----------
    job : Job
    summary : UnitSummary
    version : int
        Of the row of its claim.
    claimed_at : float
        By the monotonic clock, in seconds.
    runs : dict
        `ItemRun` by item, of those without a result.
    tasks : dict
        Task by item; one under the empty name while the items are being read.
    """

    job: Job
    summary: UnitSummary
    claim_version: int
    claimed_at: float = 0.0
    runs: dict[str, ItemRun] = attrs.field(factory=dict)
    tasks: dict[str, asyncio.Task] = attrs.field(factory=dict)

    @property
    def key(self) -> str:
        """Key of the unit."""
        return self.summary.key

    @property
    def generating_runs(self) -> list[ItemRun]:
        """Items that take a place of the engine, or are about to."""
        runs = self.runs.values()
        return [run for run in runs if not (run.generated or run.held_back)]

    @property
    def slots_used(self) -> int:
        """Number of the items that take a place of the engine, or are about to."""
        return (
            len(self.summary.items) if "" in self.tasks else len(self.generating_runs)
        )

    @property
    def memory_estimates(self) -> list[int]:
        """Tokens of the engine's memory that each of these is estimated to take."""
        if "" in self.tasks:
            return [self.summary.memory] * len(self.summary.items)
        return [run.item.memory for run in self.generating_runs]
