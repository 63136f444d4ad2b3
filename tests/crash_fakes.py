"""Builders for tests of servers that end: what gateways see of store and servers.

All time is the loop's own.
"""

import asyncio
import datetime

import attrs

from gypsumshift.fetch import FetchError
from gypsumshift.memory import MemoryTables
from gypsumshift.neighbours import Neighbour
from gypsumshift.outcomes import Unavailable, Unknown
from gypsumshift.platforms import WrappedStore
from gypsumshift.server import Request
from tests.jobs_world import NAMES

# Seconds on the way, in each direction.
WAY = 0.0015
# Seconds of work on an event of a stream, and events of a whole one.
WORK, EVENTS = 0.03, 8


class Tables(MemoryTables):
    """Tables whose time is the loop's own."""

    def now(self):
        return datetime.timedelta(seconds=asyncio.get_running_loop().time())


class Way(WrappedStore):
    """The way of one gateway to the store.

    Attributes
    ----------
    down : bool
        Whether no call gets through.
    lose : float
        Share of the writes that are carried out and not answered.
    slow : float
        Seconds by which answers to writes come late.
    writes : list of Write
        All that were sent.
    """

    def __init__(self, tables, chance):
        super().__init__(tables)
        self.chance = chance
        self.down = False
        self.lose = 0.0
        self.slow = 0.0
        self.writes = []

    async def commit(self, writes):
        await asyncio.sleep(0.005)
        if self.down:
            return Unavailable("down")
        self.writes += writes
        outcome = await super().commit(writes)
        await asyncio.sleep(self.slow)
        lost = self.chance.random() < self.lose
        return Unknown("no answer") if lost else outcome

    async def changes(self, table, after, wait):
        await asyncio.sleep(0.003)
        answer = await super().changes(table, after, wait)
        return Unavailable("down") if self.down else answer

    async def snapshot(self, table, after=0):
        await asyncio.sleep(0.003)
        return Unavailable("down") if self.down else await super().snapshot(table)


@attrs.define
class Run:
    """One request as a server began it."""

    at: float
    request: str
    body: bytes
    sender: str
    server: str


async def work(broken, seconds):
    """Work at a server; raises where it ends meanwhile."""
    try:
        async with asyncio.timeout(seconds):
            await broken.wait()
    except TimeoutError:
        return
    raise FetchError("the connection broke", True, closed=True)


@attrs.define(eq=False)
class Worker:
    """A server, through all of its starts.

    Attributes
    ----------
    broken : asyncio.Event
        Set when this start ends.
    failing : bool
        Whether it answers all with a failure, and runs nothing.
    """

    address: tuple[str, int]
    id: str = ""
    up: bool = True
    failing: bool = False
    broken: asyncio.Event = attrs.field(factory=asyncio.Event)


class Neighbours:
    """The way of one gateway to the others, in place of a `StorePath`."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.fetcher = self

    @property
    def neighbours(self):
        return {n: Neighbour(n, (n, 0)) for n in self.world.news if n != self.name}

    async def fetch(self, address, method, target, body=b"", timeout=1.0):
        await asyncio.sleep(2 * WAY)
        if self.world.alone & {self.name, address[0]}:
            raise FetchError("no answer in time", True)
        return await self.world.news[address[0]].serve(
            Request(method, target, "", [], body)
        )


class Exchange:
    """A whole answer, or a stream of events."""

    def __init__(self, headers, body=b"ok", status=200):
        self.status = status
        self.headers = headers
        self.body = body

    def header(self, name):
        return next((v.decode() for k, v in self.headers if k == name), "")

    async def read(self):
        return self.body

    async def chunks(self):
        yield self.body

    def close(self):
        """Nothing is held."""


class Flow(Exchange):
    """A stream of events, which breaks when its server ends."""

    def __init__(self, headers, broken, after):
        super().__init__(headers)
        self.broken = broken
        self.after = after

    async def chunks(self):
        for number in range(self.after + 1, EVENTS + 1):
            await work(self.broken, WORK)
            yield b"id: %d\ndata: x\n\n" % number


class Wires:
    """The way of one gateway to the servers, in place of a `Fetcher`."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.cut_off = False

    def connected(self, address):
        return self.world.worker(address).up

    def cut(self, address):
        """Nothing lies idle."""

    async def refuses(self, address, timeout):
        await self.reach(timeout)
        return not self.world.worker(address).up

    async def reach(self, timeout):
        """Open a connection; silent where this gateway is cut off."""
        self.world.opened += 1
        await asyncio.sleep(timeout if self.cut_off else 2 * WAY)
        if self.cut_off:
            raise FetchError("no connection", False)

    async def open(self, address, method, target, fields, body=b"", **options):
        await self.reach(options.get("connect_timeout", 0.3))
        worker = self.world.worker(address)
        if not worker.up:
            raise FetchError("nobody listens", False, refused=True)
        fields = dict(fields)
        if fields[NAMES.expected_server] != worker.id:
            return Exchange([], status=421)
        run = Run(self.world.now, fields[NAMES.request_id], body, self.name, worker.id)
        after = int(fields.get(NAMES.last_event, 0))
        streams = target.startswith(("/flow/", "/resumed/"))
        return await self.world.run(worker, run, streams, after)
