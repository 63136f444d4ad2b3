"""Partials: what was generated of items that another agent may have to take over.

A long item takes 6 of the 7 s that a step has. Begun anew after the 2.6 s in which a
dead agent is missed, it made its step late; from what was saved a second before, it
does not.
"""

from gypsumshift.clock import Clock
from gypsumshift.jobs.itemrun import RETRY_PAUSE, ItemRun
from gypsumshift.jobs.records import PARTIALS, Partial, parse_rows, to_row
from gypsumshift.outcomes import Committed, Unavailable
from gypsumshift.platforms import Row, RowStore, Write

__all__ = ["PartialStore", "scan_until_answered", "rows_of_item"]

# Runs that are saved in one transaction, below the 1 MB that a store takes.
MAX_TRANSACTION_PARTIALS = 8


class PartialStore:
    """Saves what an agent has generated of its items, and reads what others left.

    Parameters
    ----------
    store : RowStore
    session : str
        Start of the agent; rows of two agents that run one item stand side by side.
    clock : Clock
    """

    def __init__(self, store: RowStore, session: str, clock: Clock):
        self.store = store
        self.session = session
        self.clock = clock

    def row_key(self, run: ItemRun) -> str:
        """Return the key under which this agent saves an item."""
        return f"{run.item.id}/{self.session}"

    def partial_writes(self, job: str, runs: list[ItemRun]) -> list[Write]:
        """Return the rows that hold what was generated of some items, one for each."""
        partials = {self.row_key(run): run.make_partial() for run in runs}
        return [
            Write(PARTIALS, key, to_row(partial), part=job)
            for key, partial in partials.items()
            if partial is not None
        ]

    async def save_runs(self, job: str, runs: list[ItemRun]) -> None:
        """Save what was generated of a job's items since they were saved last."""
        due = [run for run in runs if run.needs_saving]
        for start in range(0, len(due), MAX_TRANSACTION_PARTIALS):
            await self.save_batch(job, due[start : start + MAX_TRANSACTION_PARTIALS])

    async def save_batch(self, job: str, runs: list[ItemRun]) -> None:
        """Save some items; what the store does not take now is saved later."""
        counts = [len(run.events) for run in runs]
        writes = self.partial_writes(job, runs)
        if writes and not isinstance(await self.store.commit(writes), Committed):
            return
        for run, count in zip(runs, counts, strict=True):
            run.saved_events = min(count, len(run.events))

    async def read_longest(self, job: str, item: str) -> Partial | None:
        """Return the longest text that an agent left of an item."""
        rows = await scan_until_answered(
            self.store, self.clock, PARTIALS, job, f"{item}/"
        )
        own = rows_of_item(rows, item)
        found = [partial for _, partial in parse_rows(own, Partial)]
        return max(found, key=lambda partial: len(partial.events), default=None)


def rows_of_item(rows: list[Row], item: str) -> list[Row]:
    """Return the rows whose keys are those of an item and one part more.

    A scan by prefix finds those of the item ``x/y`` for ``x``, too: with these, the
    text of ``x`` was never whole, and it went on from events of the other one.
    """
    return [row for row in rows if row.key.rpartition("/")[0] == item]


async def scan_until_answered(
    store: RowStore, clock: Clock, table: str, job: str, prefix: str = ""
) -> list[Row]:
    """Read rows of a job, however long that takes."""
    while True:
        rows = await store.scan(table, prefix, job)
        if not isinstance(rows, Unavailable):
            return rows
        await clock.sleep(RETRY_PAUSE)
