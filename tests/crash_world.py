"""Builders for tests of servers that end: gateways before servers, without a network.

A server ends under each request whose body is in `CrashWorld.fatal`, and comes back
some seconds later under a new id. All time is the loop's own.
"""

import asyncio
import datetime
import itertools
import random

import attrs

from gypsumshift.crashnews import CrashNews
from gypsumshift.fetch import FetchError
from gypsumshift.gateway import Gateway
from gypsumshift.memory import MemoryTables
from gypsumshift.neighbours import Neighbour
from gypsumshift.outcomes import Answered, Unavailable, Unknown
from gypsumshift.platforms import WrappedStore
from gypsumshift.server import Abandon, Request
from gypsumshift.serving import (
    BackendServer,
    Call,
    Directory,
    RequestKind,
    Route,
    RouteTable,
    Service,
    Target,
)
from gypsumshift.serving.streams import Stream
from tests.jobs_world import HOST, METRICS, NAMES
from tests.own_time import LoopClock

# Seconds: of work, until a request ends its server, until that is back, until gateways
# are told that it is, and for which the entry of one that is gone stays.
WORK, FATAL_AFTER, BACK_AFTER, TOLD_AFTER, ENTRY_STAYS = 0.03, 0.11, 3.5, 0.3, 3.6
# Seconds on the way, in each direction.
WAY = 0.0015
# Time within which an answer is on time; a second server is asked after half of it.
OBJECTIVE = datetime.timedelta(milliseconds=160)
# Seconds that a caller waits.
PATIENCE = 2.0
KINDS = {
    "/safe/": RequestKind.SAFE,
    "/once/": RequestKind.UNSAFE,
    "/flow/": RequestKind.STREAM,
    "/resumed/": RequestKind.STREAM,
}
# Events of a whole stream.
EVENTS = 8
POISON = b"poison"


def routes(attempts=2):
    """Return a configuration with one route of each kind to one service."""
    found = [
        Route(
            prefix,
            HOST,
            prefix,
            kind,
            (Target("app"),),
            attempts=attempts,
            objective=OBJECTIVE,
            resumable=prefix == "/resumed/",
        )
        for prefix, kind in KINDS.items()
    ]
    return RouteTable(1, found, [Service("app")])


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
    """

    address: tuple[str, int]
    id: str = ""
    up: bool = True
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


class CrashWorld:
    """Gateways before the servers of one service, over one store.

    Parameters
    ----------
    seed : int
    gateways, servers : int
    attempts : int
        Servers that a request may run on, by its route.

    Attributes
    ----------
    fatal : set of bytes
        Bodies under which servers end.
    runs : list of Run
    ended : list of (float, bytes)
        When a server ended, and under which body.
    head_after : float
        Seconds until a stream begins.
    alone : set of str
        Gateways that no neighbour reaches.
    patience : float
        Seconds that a caller waits.
    opened : int
        Connections to servers.
    """

    def __init__(self, seed=1, gateways=3, servers=5, attempts=2):
        self.chance = random.Random(seed)
        self.clock = LoopClock()
        self.tables = Tables()
        self.routes = routes(attempts)
        self.numbers = itertools.count(1)
        self.head_after = 0.0
        self.patience = PATIENCE
        self.opened = 0
        self.fatal = {POISON}
        self.runs = []
        self.ended = []
        self.tasks = []
        self.gateways = {}
        self.ways = {}
        self.works = {}
        self.news = {}
        self.alone = set()
        self.workers = [Worker(("10.0.0.1", n)) for n in range(servers)]
        for worker in self.workers:
            worker.id = self.new_id()
        for number in range(gateways):
            self.start_gateway(f"g{number}")

    @property
    def now(self):
        return self.clock.monotonic()

    def new_id(self):
        return f"i-{next(self.numbers)}"

    def start_gateway(self, name):
        """Start a gateway, or start it again; it knows what is listed."""
        if name in self.works:
            self.works[name].cancel()
        self.ways[name] = Way(self.tables, self.chances())
        directory = Directory()
        directory.set_routes(self.routes)
        for worker in self.workers:
            if worker.up:
                directory.set_server(self.entry(worker))
        self.gateways[name] = gateway = Gateway(
            self.ways[name],
            directory,
            [],
            NAMES,
            "here",
            self.clock,
            Wires(self, name),
            self.chances(),
            METRICS,
        )
        path = Neighbours(self, name)
        news = CrashNews(gateway.guard.table, path, self.clock, self.chances())
        self.news[name] = news
        gateway.joining.append(news.run)
        self.works[name] = self.begin(gateway.run())
        return gateway

    def chances(self):
        return random.Random(self.chance.getrandbits(32))

    def begin(self, work):
        task = asyncio.create_task(work)
        self.tasks.append(task)
        return task

    def entry(self, worker):
        return BackendServer(worker.id, "app", worker.address, "here", 6)

    def worker(self, address):
        return next(w for w in self.workers if w.address == address)

    # Servers.

    async def run(self, worker, run, streams, after):
        """Run a request at a server; raises where the server ends meanwhile."""
        self.runs.append(run)
        if run.body in self.fatal:
            self.begin(self.end_later(worker, worker.id, run.body))
        headers = [
            (NAMES.request_id.encode(), run.request.encode()),
            (NAMES.signature.encode(), b"s"),
        ]
        if streams:
            await work(worker.broken, self.head_after)
            return Flow(headers, worker.broken, after)
        await work(worker.broken, 60.0 if run.body in self.fatal else WORK)
        return Exchange(headers)

    async def end_later(self, worker, started, body):
        await asyncio.sleep(FATAL_AFTER)
        if worker.up and worker.id == started:
            self.ended.append((self.clock.monotonic(), body))
            await self.end(worker)

    async def end(self, worker, back_after=BACK_AFTER):
        """End a server, and bring it back as a new one."""
        old = worker.id
        worker.up = False
        worker.broken.set()
        self.begin(self.unlist(old))
        await asyncio.sleep(back_after)
        worker.id, worker.up, worker.broken = self.new_id(), True, asyncio.Event()
        await asyncio.sleep(TOLD_AFTER)
        for gateway in self.gateways.values():
            gateway.directory.set_server(self.entry(worker))

    async def unlist(self, server_id):
        await asyncio.sleep(ENTRY_STAYS)
        for gateway in self.gateways.values():
            gateway.directory.forget_server(server_id)

    # Callers.

    def call(self, body, prefix="/safe/", caller=""):
        """Return a request under a new id."""
        target = f"{prefix}1"
        name = f"r-{next(self.numbers)}"
        return Call(
            name,
            "POST",
            target,
            HOST,
            [(NAMES.request_id, name)],
            body,
            self.routes.find(HOST, target),
            self.clock.monotonic() + self.patience,
            caller=caller,
        )

    async def ask(self, name, body, prefix="/safe/", caller=""):
        """Have a gateway answer a request; a stream is read to its end."""
        gateway, call = self.gateways[name], self.call(body, prefix, caller)
        if call.route.kind is not RequestKind.STREAM:
            return await gateway.forwarder.forward(call)
        outcome = await gateway.streams.start(call)
        if not isinstance(outcome, Stream):
            return outcome
        try:
            data = b"".join([data async for data in outcome.body])
        except Abandon as reason:
            return Unknown(str(reason))
        return Answered(outcome.status, (), data)

    async def ask_and_leave(self, name, body, prefix, after):
        """Ask a gateway, and leave before it has an answer."""
        asked = self.begin(self.ask(name, body, prefix))
        await asyncio.sleep(after)
        asked.cancel()
        await asyncio.wait({asked})

    async def keep_asking(self, body, seconds, period, names=None, prefix="/safe/"):
        """Send a body again and again at gateways in turn; return the outcomes."""
        begun = []
        until = self.clock.monotonic() + seconds
        for name in itertools.cycle(names or list(self.gateways)):
            if self.clock.monotonic() >= until:
                return await asyncio.gather(*begun)
            begun.append(self.begin(self.ask(name, body, prefix)))
            await asyncio.sleep(period)

    # What is checked.

    def runs_of(self, body, since=0.0):
        """Return the runs of a body that began later than a time."""
        return [run for run in self.runs if run.body == body and run.at > since]

    def late_runs(self, body, seconds):
        """Return the runs of a body later than so long after it had ended the third."""
        ends = [at for at, under in self.ended if under == body]
        return self.runs_of(body, ends[2] + seconds) if len(ends) > 2 else []

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
