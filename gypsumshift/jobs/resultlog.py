"""Result log: the results of one batch job, each at a position that never moves.

A result is one row, written only where absent. Its position is its rank by the
transaction that wrote it and, within one, by its item: the same at every process.
"""

import asyncio
import bisect

import attrs

from gypsumshift import logs
from gypsumshift.jobs.records import Result, parse_row
from gypsumshift.platforms import Row

__all__ = ["Entry", "ResultLog"]

log = logs.logger("resultlog")


@attrs.frozen(order=True)
class Entry:
    """One result with what decides its position.

    Attributes
    ----------
    version : int
        Transaction that wrote it.
    item : str
    result : Result
    """

    version: int
    item: str
    result: Result = attrs.field(order=False)


class ResultLog:
    """Results of one batch job in their order.

    Rows are taken in any order and any number of times, as long as each source
    gives every row up to some transaction.

    Attributes
    ----------
    entries : list of Entry
    items : dict
        Transaction that wrote the result, by item.
    changed : asyncio.Event
        Set, and replaced by a new one, when a result comes.
    """

    def __init__(self):
        self.entries: list[Entry] = []
        self.version_by_item: dict[str, int] = {}
        self.changed = asyncio.Event()

    def __len__(self) -> int:
        return len(self.entries)

    def add_rows(self, rows: list[Row]) -> None:
        """Take rows of the table of results."""
        known = len(self)
        last = self.entries[-1] if self.entries else None
        for row in rows:
            # Looked up row by row: one answer may tell a row twice.
            if row.key in self.version_by_item:
                self.check_transaction(row)
            elif (result := parse_row(row, Result)) is not None:
                self.insert_result(row, result, last)
        if len(self) > known:
            self.changed.set()
            self.changed = asyncio.Event()

    def insert_result(self, row: Row, result: Result, last: Entry | None) -> None:
        """Add a result; one in front of the last that was known moves others."""
        entry = Entry(row.version, row.key, result)
        if last is not None and entry < last:
            log.error("A result moves those behind it: {} of {}", row.key, row.part)
        self.version_by_item[row.key] = row.version
        bisect.insort(self.entries, entry)

    def check_transaction(self, row: Row) -> None:
        """Log a result that is told as of another transaction than before."""
        known = self.version_by_item[row.key]
        if known != row.version:
            log.error(
                "A result was written twice: {} of {}, in {} and {}",
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
            First position, counted from 0.
        limit : int
            Characters of text; one result is returned whatever its size.
        """
        found: list[Result] = []
        size = 0
        for entry in self.entries[after:]:
            size += entry.result.size
            if found and size > limit:
                break
            found.append(entry.result)
        return found
