"""Keep the results of a batch job in an order that is the same in every process.

A result is one row, written only if it is absent. Results are ordered by the number of
the transaction that wrote them and, within a transaction, by item id. So the position
of a result never changes.
"""

import asyncio
import bisect

import attrs

from gypsumshift import logs
from gypsumshift.jobs.records import Result
from gypsumshift.jobs.rowcodec import parse_row
from gypsumshift.platforms import Row

__all__ = ["Entry", "ResultLog"]

log = logs.logger("resultlog")


@attrs.frozen(order=True)
class Entry:
    """A result with its sort key.

    Attributes
    ----------
    version : int
        Number of the transaction that wrote the result.
    item : str
        Id of the item.
    result : Result
    """

    version: int
    item: str
    result: Result = attrs.field(order=False)


class ResultLog:
    """Ordered results of one batch job.

    Rows may be added in any order and repeatedly, provided that each source delivers
    all rows up to some transaction.

    Attributes
    ----------
    entries : list of Entry
    version_by_item : dict
        Number of the transaction that wrote an item's result.
    changed : asyncio.Event
        Set when results were added, and then replaced by a new event.
    """

    def __init__(self):
        self.entries: list[Entry] = []
        self.version_by_item: dict[str, int] = {}
        self.changed = asyncio.Event()

    def __len__(self) -> int:
        return len(self.entries)

    def add_rows(self, rows: list[Row]) -> None:
        """Add the results of rows of the result table."""
        known = len(self)
        last = self.entries[-1] if self.entries else None
        for row in rows:
            # Checked for each row, since one answer may contain a row twice.
            if row.key in self.version_by_item:
                self.check_transaction(row)
            elif (result := parse_row(row, Result)) is not None:
                self.insert_result(row, result, last)
        if len(self) > known:
            self.changed.set()
            self.changed = asyncio.Event()

    def insert_result(self, row: Row, result: Result, last: Entry | None) -> None:
        """Insert a result; log an error if that moves results known before."""
        entry = Entry(row.version, row.key, result)
        if last is not None and entry < last:
            log.error(
                "The result of item {} of job {} was received after later results and "
                "moves their positions; readers may miss or repeat results.",
                row.key,
                row.part,
            )
        self.version_by_item[row.key] = row.version
        bisect.insort(self.entries, entry)

    def check_transaction(self, row: Row) -> None:
        """Log an error if a known result comes with another transaction number."""
        known = self.version_by_item[row.key]
        if known != row.version:
            log.error(
                "The result of item {} of job {} was written twice, "
                "in transactions {} and {}; the first one is kept.",
                row.key,
                row.part,
                known,
                row.version,
            )

    def page(self, after: int, limit: int) -> list[Result]:
        """Return results from a position on.

        Parameters
        ----------
        after : int
            Position of the first result, counted from 0.
        limit : int
            Most characters of text; the first result is returned whatever its size.
        """
        found: list[Result] = []
        size = 0
        for entry in self.entries[after:]:
            size += entry.result.size
            if found and size > limit:
                break
            found.append(entry.result)
        return found
