"""Result log: the results of one batch job, each at a position that never moves.

A result is one row, written only where absent. Its position is its rank by the
transaction that wrote it and, within one, by its item: the same at every process.
"""

import asyncio
import bisect

import attrs

from gypsumshift.jobs.model import Result, parse_rows
from gypsumshift.platforms import Row

__all__ = ["Entry", "ResultLog"]


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
    changed : asyncio.Event
        Set, and replaced by a new one, when a result comes.
    """

    def __init__(self):
        self.entries: list[Entry] = []
        self.items: set[str] = set()
        self.changed = asyncio.Event()

    def __len__(self) -> int:
        return len(self.entries)

    def take(self, rows: list[Row]) -> None:
        """Take rows of the table of results."""
        fresh = [row for row in rows if row.key not in self.items]
        for row, result in parse_rows(fresh, Result):
            self.items.add(row.key)
            bisect.insort(self.entries, Entry(row.version, row.key, result))
        if fresh:
            self.changed.set()
            self.changed = asyncio.Event()

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
