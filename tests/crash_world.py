"""Simulation for crash tests: gateways, servers and callers without a network.

A server crashes under each request whose body is in `CrashWorld.fatal`, and restarts
some seconds later under a new id. All delays are in the time of the event loop.
"""

import asyncio
import datetime
import itertools
import random

from gypsumshift.crashgossip import CrashGossip
from gypsumshift.gateway import Gateway
from gypsumshift.httpserver import ResponseAborted
from gypsumshift.outcomes import Answered, Unknown
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
from gypsumshift.serving.authorization import Authorizer, Grant
from gypsumshift.serving.quarantine import CRASH_LIMIT
from gypsumshift.serving.streamstate import Stream
from tests import virtual_time
from tests.crash_fakes import (
    EVENT_TIME_S,
    FakeExchange,
    FakeFetcher,
    FakeStorePath,
    FakeStream,
    GatewayStore,
    LoopTimeTables,
    Worker,
    run_for,
)
from tests.job_builders import HOST, METRICS, NAMES
from tests.virtual_time import LoopClock

# Delays from the start of a fatal request to the crash of its server, from the crash to
# the restart, from the restart to its entry in the gateways' directories, and from the
# crash to the removal of the old entry.
CRASH_DELAY_S, RESTART_DELAY_S, LISTING_DELAY_S, UNLISTING_DELAY_S = 0.11, 3.5, 0.3, 3.6
# Objective for the response time; a second server is tried after half of it.
OBJECTIVE = datetime.timedelta(milliseconds=160)
# Time that a caller waits for an answer.
CALLER_TIMEOUT_S = 2.0
KINDS = {
    "/safe/": RequestKind.SAFE,
    "/once/": RequestKind.UNSAFE,
    "/flow/": RequestKind.STREAM,
    "/resumed/": RequestKind.STREAM,
}
POISON = b"poison"


def routes(attempts=2):
    """Return a route table with one route of each kind to one service."""
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
    """Gateways that share one store and forward requests to the servers of one service.

    Parameters
    ----------
    seed : int
    gateways, servers : int
    attempts : int
        Number of servers on which a request may run, set in its route.

    Attributes
    ----------
    fatal : set of bytes
        Bodies of the requests that crash servers.
    runs : list of Run
    crashes : list of (float, bytes)
        Time of each crash, and body of the request that caused it.
    head_delay : float
        Seconds until the head of a stream is sent.
    isolated : set of str
        Gateways that exchange no messages with neighbours.
    caller_timeout_s : float
        Seconds that a caller waits for an answer.
    connections_opened : int
        Number of connections opened to servers.
    """

    def __init__(self, seed=1, gateways=3, servers=5, attempts=2):
        self.chance = random.Random(seed)
        self.clock = LoopClock()
        self.tables = LoopTimeTables()
        self.routes = routes(attempts)
        self.numbers = itertools.count(1)
        self.head_delay = 0.0
        self.caller_timeout_s = CALLER_TIMEOUT_S
        self.connections_opened = 0
        self.fatal = {POISON}
        self.runs = []
        self.crashes = []
        self.tasks = []
        self.gateways = {}
        self.stores = {}
        self.gateway_tasks = {}
        self.gossips = {}
        self.isolated = set()
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
        """Start or restart a gateway whose directory lists the running servers."""
        if name in self.gateway_tasks:
            self.gateway_tasks[name].cancel()
        self.stores[name] = GatewayStore(self.tables, self.new_random())
        directory = Directory()
        directory.set_routes(self.routes)
        for worker in self.workers:
            if worker.up:
                directory.set_server(self.entry(worker))
        self.gateways[name] = gateway = Gateway(
            self.stores[name],
            directory,
            [],
            Authorizer(directory, None, METRICS),
            None,
            NAMES,
            "here",
            self.clock,
            FakeFetcher(self, name),
            self.new_random(),
            METRICS,
        )
        path = FakeStorePath(self, name)
        gossip = CrashGossip(gateway.guard.table, path, self.clock, self.new_random())
        self.gossips[name] = gossip
        gateway.peer_tasks.append(gossip.run)
        self.gateway_tasks[name] = self.start_task(gateway.run())
        return gateway

    def new_random(self):
        return random.Random(self.chance.getrandbits(32))

    def start_task(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    def entry(self, worker):
        return BackendServer(worker.id, "app", worker.address, "here", 6)

    def worker(self, address):
        return next(w for w in self.workers if w.address == address)

    # Servers.

    async def run(self, worker, run, streams, after):
        """Run a request at a server; raises FetchError if the server crashes."""
        self.runs.append(run)
        if worker.failing:
            return FakeExchange(
                [(NAMES.request_id.encode(), run.request.encode())], b"", 500
            )
        if run.body in self.fatal:
            self.start_task(self.crash_later(worker, worker.id, run.body))
        headers = [
            (NAMES.request_id.encode(), run.request.encode()),
            (NAMES.signature.encode(), b"s"),
        ]
        if streams:
            await run_for(worker.broken, self.head_delay)
            return FakeStream(headers, worker.broken, after)
        await run_for(worker.broken, 60.0 if run.body in self.fatal else EVENT_TIME_S)
        return FakeExchange(headers)

    async def crash_later(self, worker, server_id, body):
        await asyncio.sleep(CRASH_DELAY_S)
        if worker.up and worker.id == server_id:
            self.crashes.append((self.clock.monotonic(), body))
            await self.crash_server(worker)

    async def crash_server(self, worker, back_after=RESTART_DELAY_S):
        """Crash a server, and restart it under a new id."""
        old = worker.id
        worker.up = False
        worker.broken.set()
        self.start_task(self.unlist(old))
        await asyncio.sleep(back_after)
        worker.id, worker.up, worker.broken = self.new_id(), True, asyncio.Event()
        await asyncio.sleep(LISTING_DELAY_S)
        for gateway in self.gateways.values():
            gateway.directory.set_server(self.entry(worker))

    async def unlist(self, server_id):
        await asyncio.sleep(UNLISTING_DELAY_S)
        for gateway in self.gateways.values():
            gateway.directory.forget_server(server_id)

    # Callers.

    def call(self, body, prefix="/safe/", workspace=""):
        """Return a call with a new request id."""
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
            self.clock.monotonic() + self.caller_timeout_s,
            grant=Grant(workspace),
        )

    async def send(self, name, body, prefix="/safe/", workspace=""):
        """Send a request to a gateway; return the outcome, of a stream once read."""
        gateway, call = self.gateways[name], self.call(body, prefix, workspace)
        if call.route.kind is not RequestKind.STREAM:
            return await gateway.forwarder.forward(call)
        outcome = await gateway.streams.start(call)
        if not isinstance(outcome, Stream):
            return outcome
        try:
            data = b"".join([data async for data in outcome.body])
        except ResponseAborted as reason:
            return Unknown(str(reason))
        return Answered(outcome.status, (), data)

    async def send_and_disconnect(self, name, body, prefix, after):
        """Send a request to a gateway, and disconnect after some seconds."""
        sending = self.start_task(self.send(name, body, prefix))
        await asyncio.sleep(after)
        sending.cancel()
        await asyncio.wait({sending})

    async def send_repeatedly(self, body, seconds, period, names=None, prefix="/safe/"):
        """Send a body periodically, to the gateways in turn; return the outcomes."""
        tasks = []
        until = self.clock.monotonic() + seconds
        for name in itertools.cycle(names or list(self.gateways)):
            if self.clock.monotonic() >= until:
                return await asyncio.gather(*tasks)
            tasks.append(self.start_task(self.send(name, body, prefix)))
            await asyncio.sleep(period)

    # Results.

    def runs_of(self, body, since=0.0):
        """Return the runs of a body that started after a time."""
        return [run for run in self.runs if run.body == body and run.at > since]

    def late_runs(self, body, seconds):
        """Return the runs of a body that started some seconds after its third crash."""
        crash_times = [at for at, under in self.crashes if under == body]
        return (
            self.runs_of(body, crash_times[2] + seconds) if len(crash_times) > 2 else []
        )

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def run_scenario(scenario, **options):
    """Run a scenario with a new `CrashWorld` in simulated time."""

    async def run():
        world = CrashWorld(**options)
        try:
            await asyncio.sleep(0.1)
            await scenario(world)
        finally:
            await world.close()

    virtual_time.run_in_virtual_time(run)


async def crash_three_servers(world, names=("g0",), prefix="/safe/"):
    """Send the fatal request to some gateways until three servers have crashed."""
    for number in range(2 * CRASH_LIMIT):
        if len(world.crashes) >= CRASH_LIMIT:
            return
        await world.send(names[number % len(names)], POISON, prefix)
