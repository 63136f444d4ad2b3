"""Rereads: one process of a zone reads a whole table for the others.

The decision answers a store that lost its history or comes back: every process then
reads every table that it follows anew, in the same second. A table of batch jobs costs
a call for each job that is kept, some 110. Of 107 processes, 542 whole reads were seen
in a second; those of 1,950 would take all calls of a large store for half a minute. So
each table has a reader in each zone, the same at all processes that know the same
neighbours; the others take what it read. Who is not answered soon reads by itself, and
nothing is kept: a copy is handed on for as long as it takes the zone to ask.
"""

import asyncio
import hashlib
import json
import urllib.parse
import zlib

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.httpclient import FetchError
from gypsumshift.httpserver import Request, Response
from gypsumshift.neighbours import Neighbour, StorePath
from gypsumshift.outcomes import Unavailable
from gypsumshift.platforms import Changes, Row, RowStore, StoreWrapper
from gypsumshift.policy import DEFAULT_POLICY, Policy

__all__ = [
    "TABLE_PATH",
    "SharedReadStore",
    "pack_table",
    "order_readers",
    "unpack_table",
]

# Target by which a process is asked to read a table.
TABLE_PATH = "/neighbour/table"
# Seconds for which a table that was read is handed on. All that lost their history
# learn of it within a feed's longest answer.
COPY_LIFETIME_S = 1.0
# Processes asked before one reads by itself, and seconds for the answer of each: with
# two, a configuration is in force within its bound of 2 s also when both are gone.
MAX_READERS_ASKED = 2
READER_TIMEOUT_S = 0.5
# Hosts with less than this part of the widest link of their zone read for nobody: the
# jobs of a large step are some 2 MB, and entry hosts have links of 30 Mbit/s and more.
MIN_LINK_RATIO = 0.5
# Least effort of compression: a fifth of the bytes for 10 ms a megabyte.
COMPRESSION_LEVEL = 1

log = logs.logger("rereads")


@attrs.define
class TableCopy:
    """A table that was read here.

    Attributes
    ----------
    changes : Changes
    read_at : float
        When it was asked for, by the monotonic clock, in seconds.
    packed : bytes
        The table as it is handed on; empty until somebody asks. Packed for each who
        asks, 2 MB of steps held a reader up for a second in a zone of 18 processes.
    """

    changes: Changes
    read_at: float
    packed: bytes = b""

    def packed_table(self) -> bytes:
        """Return the table as it is handed on."""
        self.packed = self.packed or pack_table(self.changes)
        return self.packed


class SharedReadStore(StoreWrapper):
    """Store whose whole tables are read once for a zone.

    Parameters
    ----------
    inner : RowStore
    path : StorePath
        Knows the other processes.
    own : Neighbour
        This process.
    clock : Clock
    policy : Policy
    """

    def __init__(
        self,
        inner: RowStore,
        path: StorePath,
        own: Neighbour,
        clock: Clock,
        policy: Policy = DEFAULT_POLICY,
    ):
        super().__init__(inner)
        self.path = path
        self.own = own
        self.clock = clock
        self.policy = policy
        self.copies: dict[str, TableCopy] = {}
        self.pending_reads: dict[str, asyncio.Task] = {}

    async def snapshot(self, table, after=0):
        """Return the rows of all parts, as read here or by the zone's reader."""
        for reader in self.readers_to_ask(table):
            changes = await self.request_table(reader, table, after)
            if changes is not None:
                return changes
        copy = await self.read_shared(table, after)
        if isinstance(copy, Unavailable):
            return copy
        return attrs.evolve(copy.changes, age=self.age_of(copy))

    def age_of(self, copy: TableCopy) -> float:
        """Return the seconds since a copy was read."""
        return self.clock.monotonic() - copy.read_at

    def readers_to_ask(self, table: str) -> list[Neighbour]:
        """Return the processes to ask for a table; none where this one reads it.

        Nor while the store does not answer here: others would wait for it as well.
        """
        if not self.policy.shared_rereads or not self.path.reaches_store:
            return []
        others = self.path.neighbours.values()
        near = [n for n in others if n.zone == self.own.zone]
        found = order_readers(table, [self.own, *near])[:MAX_READERS_ASKED]
        return [] if self.own in found else found

    async def request_table(
        self, reader: Neighbour, table: str, after: int
    ) -> Changes | None:
        """Have another process read a table; None where it does not."""
        query = urllib.parse.urlencode({"name": table, "after": after})
        try:
            answer = await self.path.fetcher.fetch(
                reader.address, "GET", f"{TABLE_PATH}?{query}", timeout=READER_TIMEOUT_S
            )
            if answer.status != 200:
                return None
            age, _, packed = answer.body.partition(b"\n")
            changes = attrs.evolve(unpack_table(packed), age=float(age))
        except (FetchError, AttributeError, KeyError, TypeError, ValueError) as error:
            log.debug("{} does not read {}: {}", reader.name, table, error)
            return None
        if changes.version < after:
            return None
        logs.event(log, "Took a table from its reader.", table=table, of=reader.name)
        return changes

    async def serve(self, request: Request) -> Response:
        """Answer a process that asks for a table: its age in seconds, then the rows."""
        after = request.parameter("after", "0")
        if not after.isdigit():
            return Response(400)
        copy = await self.read_shared(request.parameter("name"), int(after))
        if isinstance(copy, Unavailable):
            return Response(503)
        return Response(200, [], b"%.3f\n%b" % (self.age_of(copy), copy.packed_table()))

    async def read_shared(self, table: str, after: int) -> TableCopy | Unavailable:
        """Read a table, or return what was read a moment ago or is being read."""
        copy = self.copies.get(table)
        if (
            copy
            and self.age_of(copy) < COPY_LIFETIME_S
            and copy.changes.version >= after
        ):
            return copy
        if table not in self.pending_reads:
            task = asyncio.create_task(self.read_from_store(table))
            self.pending_reads[table] = task
            task.add_done_callback(lambda _: self.pending_reads.pop(table, None))
        copy = await asyncio.shield(self.pending_reads[table])
        if isinstance(copy, TableCopy) and copy.changes.version < after:
            # It was begun before the asker heard of that version.
            return await self.read_from_store(table)
        return copy

    async def read_from_store(self, table: str) -> TableCopy | Unavailable:
        """Read a table from the store, and keep it for a moment."""
        read_at = self.clock.monotonic()
        changes = await self.inner.snapshot(table)
        if isinstance(changes, Unavailable):
            return changes
        self.copies[table] = TableCopy(changes, read_at)
        return self.copies[table]

    async def run(self) -> None:
        """Forget what nobody asks for any more, until cancelled."""
        while True:
            await self.clock.sleep(COPY_LIFETIME_S)
            horizon = self.clock.monotonic() - COPY_LIFETIME_S
            for table in [t for t, c in self.copies.items() if c.read_at < horizon]:
                del self.copies[table]


def order_readers(table: str, processes: list[Neighbour]) -> list[Neighbour]:
    """Return who may read a table for the others, in the order of asking.

    Each table has another order, so that one process does not read all of them, and
    it changes little when a process comes or goes.
    """
    widest = max(process.link for process in processes)
    able = [p for p in processes if p.link >= MIN_LINK_RATIO * widest]
    return sorted(able, key=lambda process: reader_rank(table, process.name))


def reader_rank(table: str, name: str) -> bytes:
    """Return what decides the place of a process among the readers of a table."""
    return hashlib.blake2b(f"{table}/{name}".encode(), digest_size=8).digest()


def pack_table(changes: Changes) -> bytes:
    """Return a table as one process hands it to another."""
    rows = [
        [r.table, r.key, r.version, r.value, r.part, r.readable] for r in changes.rows
    ]
    value = [changes.version, rows]
    return zlib.compress(json.dumps(value).encode(), COMPRESSION_LEVEL)


def unpack_table(body: bytes) -> Changes:
    """Return a table that was packed; raises TypeError or ValueError."""
    try:
        version, rows = json.loads(zlib.decompress(body))
    except (zlib.error, RecursionError) as error:
        raise ValueError(f"no packed table: {error}") from error
    return Changes([Row(*row) for row in rows], version)
