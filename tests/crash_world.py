"""Builders for tests of servers that end: gateways before servers, without a network.

A server ends under each request whose body is in `CrashWorld.fatal`, and comes back
some seconds later under a new id. All time is the loop's own.
"""

import asyncio
import datetime
import itertools
import random

from gypsumshift.crashgossip import CrashGossip
from gypsumshift.gateway import Gateway
from gypsumshift.outcomes import Answered, Unknown
from gypsumshift.server import Abandon
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
from gypsumshift.serving.admission import Admission, Grant
from gypsumshift.serving.quarantine import CRASH_LIMIT
from gypsumshift.serving.streams import Stream
from tests import own_time
from tests.crash_fakes import (
    WORK,
    Exchange,
    Flow,
    Neighbours,
    Tables,
    Way,
    Wires,
    Worker,
    work,
)
from tests.jobs_world import HOST, METRICS, NAMES
from tests.own_time import LoopClock

# Seconds until a request ends its server, until that is back, until gateways are told
# that it is, and for which the entry of one that is gone stays.
FATAL_AFTER, BACK_AFTER, TOLD_AFTER, ENTRY_STAYS = 0.11, 3.5, 0.3, 3.6
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
            Admission(directory, None, METRICS),
            None,
            NAMES,
            "here",
            self.clock,
            Wires(self, name),
            self.chances(),
            METRICS,
        )
        path = Neighbours(self, name)
        news = CrashGossip(gateway.guard.table, path, self.clock, self.chances())
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
        if worker.failing:
            return Exchange(
                [(NAMES.request_id.encode(), run.request.encode())], b"", 500
            )
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

    def call(self, body, prefix="/safe/", workspace=""):
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
            grant=Grant(workspace),
        )

    async def ask(self, name, body, prefix="/safe/", workspace=""):
        """Have a gateway answer a request; a stream is read to its end."""
        gateway, call = self.gateways[name], self.call(body, prefix, workspace)
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


def play(scenario, **options):
    """Run a scenario on a world of its own, in its own time."""

    async def run():
        world = CrashWorld(**options)
        try:
            await asyncio.sleep(0.1)
            await scenario(world)
        finally:
            await world.close()

    own_time.play(run)


async def end_three(world, names=("g0",), prefix="/safe/"):
    """Have three servers end under the request, at some gateways."""
    for number in range(2 * CRASH_LIMIT):
        if len(world.ended) >= CRASH_LIMIT:
            return
        await world.ask(names[number % len(names)], POISON, prefix)
