"""Registry of neighbours: announces this process and follows the entries of others."""

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.neighbours import NEIGHBOURS_TABLE, Neighbour, parse_neighbour
from gypsumshift.outcomes import Committed
from gypsumshift.platforms import Row, RowStore, Write
from gypsumshift.storepath import StorePath
from gypsumshift.watch import StaleRowDetector, Watch

__all__ = [
    "ANNOUNCE_PERIOD_S",
    "ENTRY_TIMEOUT_S",
    "NEIGHBOURS_BATCH_INTERVAL_S",
    "NeighbourRegistry",
]

# Time between two writes of a process's own entry, and time after which an entry that
# was not written again is removed because its process is gone.
ANNOUNCE_PERIOD_S = 15.0
ENTRY_TIMEOUT_S = 60.0
# Time for which a process may rely on its own entry being listed after it was written.
CERTAIN_ENTRY_S = 45.0
# Maximum number of entries removed in one transaction. A store accepts 100 rows, and an
# entry that was written in the meantime makes the whole transaction fail. The entries
# are chosen at random because many processes remove entries at the same time.
MAX_REMOVALS = 16
# Time between answers of the table's feed. A longer one is enough here, since a process
# that needs a neighbour asks three of those it knows.
NEIGHBOURS_BATCH_INTERVAL_S = 1.0

log = logs.logger("neighbours")


class NeighbourRegistry:
    """Announces this process in the store's table and follows the other entries.

    Parameters
    ----------
    own : Neighbour
        This process.
    path : StorePath
        Receives the other processes.
    store : RowStore
    clock : Clock

    Attributes
    ----------
    announced_at : float
        When the own entry was last written, by the clock that runs on while the host is
        suspended.
    """

    def __init__(self, own: Neighbour, path: StorePath, store: RowStore, clock: Clock):
        self.own = own
        self.path = path
        self.store = store
        self.clock = clock
        self.watch = Watch(
            store,
            NEIGHBOURS_TABLE,
            self.apply_rows,
            self.replace_rows,
            clock,
            unreadable=self.drop_unreadable_row,
            batch_interval=NEIGHBOURS_BATCH_INTERVAL_S,
        )
        self.stale_rows = StaleRowDetector(self.watch)
        self.announced_at = float("-inf")
        self.announced_since = float("inf")

    @property
    def listed_since(self) -> float:
        """Since when the own entry has been in the table; infinity if uncertain."""
        age = self.clock.monotonic_with_suspend() - self.announced_at
        return self.announced_since if age <= CERTAIN_ENTRY_S else float("inf")

    def note_announced(self, asked_at: float) -> None:
        """Record that the own entry was written by a call that began at a time."""
        now = self.clock.monotonic_with_suspend()
        if asked_at - self.announced_at > CERTAIN_ENTRY_S:
            self.announced_since = now
        self.announced_at = asked_at

    def replace_rows(self, rows: list[Row]) -> None:
        """Apply a read of the whole table; processes missing from it are removed."""
        for name in self.path.neighbours.keys() - {row.key for row in rows}:
            self.remove_neighbour(name)
        self.apply_rows(rows)

    def apply_rows(self, rows: list[Row]) -> None:
        """Apply changed rows of the table."""
        for row in rows:
            if row.value is None or row.key == self.own.name:
                self.remove_neighbour(row.key)
                continue
            try:
                neighbour = parse_neighbour(row)
            except (KeyError, TypeError, ValueError) as error:
                self.drop_unreadable_row(row, error)
                continue
            self.path.neighbours[row.key] = neighbour
            self.stale_rows.record_row(row)

    def drop_unreadable_row(self, row: Row, error: object = "no JSON object") -> None:
        """Remove the neighbour of an invalid row.

        The version recorded for it is out of date, so a removal on the condition of
        that version would fail.
        """
        log.error(
            "Neighbour ignored, its entry {}/{} is invalid: {!r}",
            row.table,
            row.key,
            error,
        )
        self.remove_neighbour(row.key)

    def remove_neighbour(self, name: str) -> None:
        """Remove a process that is gone."""
        self.path.neighbours.pop(name, None)
        self.stale_rows.remove_row(name)

    async def run(self) -> None:
        """Announce this process periodically until cancelled."""
        while True:
            await self.announce()
            await self.clock.sleep(ANNOUNCE_PERIOD_S)

    async def announce(self) -> None:
        """Write the own entry by itself, then remove entries of gone processes.

        If this process could not write, possibly no process could, so the time until
        now counts for no entry. Otherwise, of 5 processes, the first to write again
        after 75 s would remove the other 4.
        """
        own = self.own
        value = {"address": list(own.address), "zone": own.zone, "link": own.link}
        asked_at = self.clock.monotonic_with_suspend()
        outcome = await self.store.commit([Write(NEIGHBOURS_TABLE, own.name, value)])
        if isinstance(outcome, Committed):
            self.note_announced(asked_at)
            await self.remove_stale_entries()
            return
        self.stale_rows.restart_timers()
        reason = getattr(outcome, "reason", type(outcome).__name__)
        log.debug("Own entry not written to the neighbours table: {}", reason)

    async def remove_stale_entries(self) -> None:
        """Remove a random sample of stale entries, each on condition of its version.

        A newer entry of the same process may not have been received yet.
        """
        gone = self.stale_rows.older_than(ENTRY_TIMEOUT_S)
        sample = self.path.chance.sample(gone, min(len(gone), MAX_REMOVALS))
        if sample:
            writes = [
                Write(NEIGHBOURS_TABLE, r.key, expected=r.version) for r in sample
            ]
            outcome = type(await self.store.commit(writes)).__name__
            names = [row.key for row in sample]
            logs.event(
                log,
                "Remove entries of neighbours that are gone.",
                names=names,
                outcome=outcome,
            )
