"""Save and read partial results, so that another agent can resume an item.

A long item takes 6 s of the 7 s available for a step, and the failure of an agent is
detected after 2.6 s. Restarted from its beginning after that, a long item delayed its
step; resumed from a partial result that was saved a second earlier, it does not.
"""

from gypsumshift.clock import Clock
from gypsumshift.jobs.itemrun import RETRY_PAUSE, ItemRun
from gypsumshift.jobs.records import PARTIALS, Partial
from gypsumshift.jobs.rowcodec import parse_rows, to_row
from gypsumshift.outcomes import Committed, Unavailable
from gypsumshift.platforms import Row, RowStore, Write

__all__ = ["PartialStore", "scan_until_answered", "rows_of_item"]

# Partial results in one transaction, to stay below the 1 MB that a store accepts.
MAX_TRANSACTION_PARTIALS = 8


class PartialStore:
    """Saves partial results of an agent's items and reads those of any agent.

    Parameters
    ----------
    store : RowStore
    session : str
        Identifies the start of the agent. It is part of the row key, so that agents
        that run the same item do not overwrite each other's rows.
    clock : Clock
    """

    def __init__(self, store: RowStore, session: str, clock: Clock):
        self.store = store
        self.session = session
        self.clock = clock

    def row_key(self, run: ItemRun) -> str:
        """Return the key of the row in which this agent saves an item."""
        return f"{run.item.id}/{self.session}"

    def partial_writes(self, job_id: str, runs: list[ItemRun]) -> list[Write]:
        """Return one write for each item that has a partial result."""
        partials = {self.row_key(run): run.make_partial() for run in runs}
        return [
            Write(PARTIALS, key, to_row(partial), part=job_id)
            for key, partial in partials.items()
            if partial is not None
        ]

    async def save_runs(self, job_id: str, runs: list[ItemRun]) -> None:
        """Save the partial results of those items of a job that have unsaved events."""
        unsaved = [run for run in runs if run.needs_saving]
        for start in range(0, len(unsaved), MAX_TRANSACTION_PARTIALS):
            await self.save_batch(
                job_id, unsaved[start : start + MAX_TRANSACTION_PARTIALS]
            )

    async def save_batch(self, job_id: str, runs: list[ItemRun]) -> None:
        """Save partial results in one transaction; on failure they stay unsaved."""
        counts = [len(run.events) for run in runs]
        writes = self.partial_writes(job_id, runs)
        if writes and not isinstance(await self.store.commit(writes), Committed):
            return
        for run, count in zip(runs, counts, strict=True):
            run.saved_events = min(count, len(run.events))

    async def read_longest(self, job_id: str, item_id: str) -> Partial | None:
        """Return the partial result of an item with the most events, if any."""
        rows = await scan_until_answered(
            self.store, self.clock, PARTIALS, job_id, f"{item_id}/"
        )
        own = rows_of_item(rows, item_id)
        partials = [partial for _, partial in parse_rows(own, Partial)]
        return max(partials, key=lambda partial: len(partial.events), default=None)


def rows_of_item(rows: list[Row], item_id: str) -> list[Row]:
    """Return the rows whose keys consist of an item id and one further part.

    A scan for the prefix ``x/`` also returns the rows of the item ``x/y``. When these
    were included, the text of ``x`` was never considered complete, and ``x`` was
    resumed from the events of the other item.
    """
    return [row for row in rows if row.key.rpartition("/")[0] == item_id]


async def scan_until_answered(
    store: RowStore, clock: Clock, table: str, job_id: str, prefix: str = ""
) -> list[Row]:
    """Return rows of a job, retrying until the store answers."""
    while True:
        rows = await store.scan(table, prefix, job_id)
        if not isinstance(rows, Unavailable):
            return rows
        await clock.sleep(RETRY_PAUSE)
