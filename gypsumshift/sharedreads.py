"""Shared reads: one process of a zone reads a whole table for the others.

When the store lost its history or recovers from an outage, every process reads all the
tables that it follows again within the same second. A table of batch jobs costs one
call for each stored job, about 110. With 107 processes, 542 whole reads were observed
in a second; with 1,950 processes, they would take all calls of a large store for half a
minute. Each table therefore has one reader in each zone, and processes that know the
same neighbours agree on it. The others request its copy, and read the table themselves
if the reader does not answer soon. Copies are discarded once the zone has had time to
request them.
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
from gypsumshift.jsondata import parse_json
from gypsumshift.neighbours import Neighbour
from gypsumshift.outcomes import Unavailable
from gypsumshift.platforms import Changes, Row, RowStore, StoreWrapper
from gypsumshift.policy import DEFAULT_POLICY, Policy
from gypsumshift.storepath import StorePath
from gypsumshift.wholenumbers import parse_whole_number

__all__ = [
    "TABLE_PATH",
    "SharedReadStore",
    "order_readers",
    "pack_table",
    "unpack_table",
]

# Request path at which a process reads a table for its neighbours.
TABLE_PATH = "/neighbour/table"
# Time for which a copy is passed to other processes. All processes detect a lost
# history, and request the table, within the maximum wait of a feed.
COPY_LIFETIME_S = 1.0
# Number of readers asked before a process reads a table itself, and time limit for each
# answer. With two, a configuration is applied within its bound of 2 s even if both
# readers are gone.
MAX_READERS_ASKED = 2
READER_TIMEOUT_S = 0.5
# Hosts with less than this fraction of the highest bandwidth in their zone are no
# readers: the jobs of a large step are about 2 MB, and entry hosts may have only
# 30 Mbit/s.
MIN_LINK_RATIO = 0.5
# Fastest zlib level: reduces the size to a fifth at a cost of 10 ms for each megabyte.
COMPRESSION_LEVEL = 1

log = logs.logger("rereads")


@attrs.define
class TableCopy:
    """Copy of a table that this process read from the store.

    Attributes
    ----------
    changes : Changes
    read_at : float
        Time at which the read began, by the monotonic clock, in seconds.
    packed : bytes
        The table in packed form; empty until the first request. It is kept because
        packing 2 MB of jobs for each request blocked a reader for a second in a zone of
        18 processes.
    """

    changes: Changes
    read_at: float
    packed: bytes = b""

    def packed_table(self) -> bytes:
        """Return the table in packed form, packing it on the first call."""
        self.packed = self.packed or pack_table(self.changes)
        return self.packed


class SharedReadStore(StoreWrapper):
    """Store whose whole tables are read by one process for its zone.

    Parameters
    ----------
    inner : RowStore
    path : StorePath
        Provides the other processes and the client to reach them.
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
        """Return the rows of all parts, read by a reader of the zone or directly."""
        for reader in self.readers_to_ask(table):
            changes = await self.request_table(reader, table, after)
            if changes is not None:
                return changes
        copy = await self.read_shared(table, after)
        if isinstance(copy, Unavailable):
            return copy
        return attrs.evolve(copy.changes, age=self.age_of(copy))

    def age_of(self, copy: TableCopy) -> float:
        """Return the age of a copy in seconds."""
        return self.clock.monotonic() - copy.read_at

    def readers_to_ask(self, table: str) -> list[Neighbour]:
        """Return the processes to request a table from; none if this one is a reader.

        None either while the store does not answer this process, since the others then
        wait for it as well.
        """
        if not self.policy.shared_rereads or not self.path.reaches_store:
            return []
        others = self.path.neighbours.values()
        near = [n for n in others if n.zone == self.own.zone]
        chosen = order_readers(table, [self.own, *near])[:MAX_READERS_ASKED]
        return [] if self.own in chosen else chosen

    async def request_table(
        self, reader: Neighbour, table: str, after: int
    ) -> Changes | None:
        """Request a table from another process; return None if that fails.

        A copy older than version ``after`` counts as a failure.
        """
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
            log.debug(
                "Neighbour {} returned no copy of table {}: {}",
                reader.name,
                table,
                error,
            )
            return None
        if changes.version < after:
            return None
        logs.event(
            log, "Received a whole table from its reader.", table=table, of=reader.name
        )
        return changes

    async def serve(self, request: Request) -> Response:
        """Answer a request for a table: its age in seconds, a newline, the table."""
        after = parse_whole_number(request.parameter("after", "0"))
        if after is None:
            return Response(400)
        copy = await self.read_shared(request.parameter("name"), after)
        if isinstance(copy, Unavailable):
            return Response(503)
        return Response(200, [], b"%.3f\n%b" % (self.age_of(copy), copy.packed_table()))

    async def read_shared(self, table: str, after: int) -> TableCopy | Unavailable:
        """Return a recent copy of a table; concurrent callers share one read."""
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
            # The shared read began before that version was written.
            return await self.read_from_store(table)
        return copy

    async def read_from_store(self, table: str) -> TableCopy | Unavailable:
        """Read a table from the store, and keep the copy for a short time."""
        read_at = self.clock.monotonic()
        changes = await self.inner.snapshot(table)
        if isinstance(changes, Unavailable):
            return changes
        self.copies[table] = TableCopy(changes, read_at)
        return self.copies[table]

    async def run(self) -> None:
        """Discard expired copies periodically until cancelled."""
        while True:
            await self.clock.sleep(COPY_LIFETIME_S)
            horizon = self.clock.monotonic() - COPY_LIFETIME_S
            for table in [t for t, c in self.copies.items() if c.read_at < horizon]:
                del self.copies[table]


def order_readers(table: str, processes: list[Neighbour]) -> list[Neighbour]:
    """Return the processes that may read a table for others, the preferred ones first.

    The order differs between tables (rendezvous hashing), so that the reads are spread
    over the processes, and it changes little if a process is added or removed.
    """
    highest = max(process.link for process in processes)
    eligible = [p for p in processes if p.link >= MIN_LINK_RATIO * highest]
    return sorted(eligible, key=lambda process: reader_rank(table, process.name))


def reader_rank(table: str, name: str) -> bytes:
    """Return the sort key of a process among the readers of a table, by hash."""
    return hashlib.blake2b(f"{table}/{name}".encode(), digest_size=8).digest()


def pack_table(changes: Changes) -> bytes:
    """Encode a table for another process, as compressed JSON."""
    rows = [
        [r.table, r.key, r.version, r.value, r.part, r.readable] for r in changes.rows
    ]
    value = [changes.version, rows]
    return zlib.compress(json.dumps(value).encode(), COMPRESSION_LEVEL)


def unpack_table(body: bytes) -> Changes:
    """Decode a table that was packed; raises TypeError or ValueError."""
    try:
        version, rows = parse_json(zlib.decompress(body))
    except zlib.error as error:
        raise ValueError(f"invalid packed table: {error}") from error
    return Changes([Row(*row) for row in rows], version)
