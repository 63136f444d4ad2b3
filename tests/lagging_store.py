"""Stand-in store whose change feeds are behind by a fixed time."""

import asyncio
import time

from gypsumshift.httpserver import Response
from gypsumshift.platforms import HistoryLost
from standins.users_store import FakeMetadataStore, encode_row

__all__ = ["LaggingStore"]

# Time between two records of the newest version.
RECORD_PERIOD_S = 0.02


class LaggingStore(FakeMetadataStore):
    """Another port of a store, whose feeds list changes only after a time.

    Single rows and whole tables are read as they are: the store's reads are
    linearizable, its feeds may be late.

    Parameters
    ----------
    tables : MemoryTables
        Rows of the store.
    lag : float
        Seconds by which the feeds are behind.
    """

    def __init__(self, tables, lag):
        super().__init__()
        self.tables = tables
        self.lag = lag
        self.versions = [(time.monotonic(), tables.version)]

    async def record_versions(self):
        """Record the newest version all the time, until cancelled."""
        while True:
            self.versions.append((time.monotonic(), self.tables.version))
            await asyncio.sleep(RECORD_PERIOD_S)

    def listed_version(self):
        """Return the newest version that feeds list now."""
        until = time.monotonic() - self.lag
        old = [version for at, version in self.versions if at <= until]
        return old[-1] if old else self.versions[0][1]

    async def serve_rows_feed(self, request):
        table, after = request.parameter("table"), int(request.parameter("after"))
        wait_until = time.monotonic() + float(request.parameter("wait_ms", "0")) / 1000
        while True:
            newest = self.listed_version()
            changes = self.tables.changed_rows(table, after)
            rows = [row for row in changes if row.version <= newest]
            if rows or time.monotonic() >= wait_until:
                break
            await asyncio.sleep(RECORD_PERIOD_S)
        if after < self.tables.dropped_through or isinstance(changes, HistoryLost):
            return Response(410)
        return self.versioned_response(
            rows=[encode_row(row) for row in rows], ver=max(after, newest)
        )
