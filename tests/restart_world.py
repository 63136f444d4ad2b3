"""Real gateways, a stand-in store and a server that restarts under its id.

Each gateway and each start of the server is a process of its own; arrivals are counted
by the server.
"""

import asyncio
import collections
import contextlib
import json
import random
import signal
import sys
import time

import attrs

from gypsumshift.httpclient import IDLE_TIMEOUT_S, Fetcher, FetchError
from standins.deployment import free_port
from standins.users_documents import HOST, config, route, settings_text
from standins.users_store import FakeMetadataStore
from tests.cold_world import LIMIT, Arrival

LOOPBACK = "127.0.0.1"
SERVER = "app-1"
ENTRY_PERIOD_S = 1.0
# The sheet's bound for the limit of `cold_world`.
COLD_SETTINGS = {"bounds.cold_excess": "1.5", "bounds.cold_slack": "5"}


@attrs.define
class ServerProcess:
    """One start of the server.

    Attributes
    ----------
    start : int
    process : Process
    lines : list of dict
        What it has written so far.
    """

    start: int
    process: asyncio.subprocess.Process
    lines: list = attrs.field(factory=list)
    reader: asyncio.Task = None

    async def read_lines(self):
        async for line in self.process.stdout:
            self.lines.append(json.loads(line))

    async def listen(self):
        """Let the process listen; return when it does."""
        self.process.stdin.write(b"go\n")
        await self.process.stdin.drain()
        while not self.lines:
            await asyncio.sleep(0.001)

    def arrivals(self):
        """Return the requests that arrived at this start."""
        return [
            Arrival(line["at"], line["at"], True, 200)
            for line in self.lines
            if "request" in line
        ]


class RestartWorld:
    """Gateways that send to one server of the service ``app``.

    Parameters
    ----------
    folder : Path
    gateways : int
    seed : int
    tells_cold_time : bool
        Whether answers of a cold server tell its remaining cold time.
    """

    def __init__(self, folder, gateways, seed, tells_cold_time=True):
        self.folder = folder
        self.count = gateways
        self.chance = random.Random(seed)
        self.tells_cold_time = tells_cold_time
        self.store = FakeMetadataStore()
        self.fetcher = Fetcher()
        self.port = free_port()
        self.born = int(time.time() * 1000)
        self.cold_until = 0.0
        self.server = self.successor = None
        self.gateways = []
        self.front_ports = []
        self.ready_ports = []
        self.entry_pause = 0.0
        self.entered_at = {}
        self.tasks = []
        self.outcomes = []

    async def start(self):
        """Start everything; return once all gateways may send to cold servers."""
        store_port = await self.store.server.listen(LOOPBACK, 0)
        await self.store.write_row("op", "config", self.config())
        self.server = await self.prepare_start(0, -1)
        await self.server.listen()
        await self.write_entry()
        self.tasks.append(asyncio.create_task(self.run_entries()))
        for number in range(self.count):
            await self.start_gateway(number, (LOOPBACK, store_port))
        await asyncio.gather(*map(self.until_ready, self.ready_ports))

    def config(self):
        value = config(routes=[route("flow2", kind="stream", service="app")])
        for found in value["routes"]:
            if found["kind"] == "stream":
                found["service"] = "app"
        for service in value["services"]:
            if service["name"] == "app":
                cold = {"cold_s": 3.0, "cold_per_s": LIMIT.per_second}
                service.update(cold)
        return value

    async def start_gateway(self, number, store):
        ports = {name: free_port() for name in ("front", "ready", "control")}
        fields = {f"listen.{name}": f"{LOOPBACK}:{p}" for name, p in ports.items()}
        name = f"front-{number}"
        file = self.folder / f"{name}.conf"
        text = settings_text(name, LOOPBACK, store, **fields, **COLD_SETTINGS)
        file.write_text(text)
        with (self.folder / f"{name}.log").open("w") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "tests.gateway_process", str(file), stdout=log
            )
        self.gateways.append(process)
        self.front_ports.append(ports["front"])
        self.ready_ports.append(ports["ready"])

    async def until_ready(self, port):
        while True:
            with contextlib.suppress(FetchError):
                target = "/gypsumshift/ready"
                answer = await self.fetcher.fetch((LOOPBACK, port), "GET", target)
                if answer.status == 200:
                    return
            await asyncio.sleep(0.1)

    async def prepare_start(self, start, cold_ms):
        """Load a start of the server, which does not listen yet."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.restarting_server",
            SERVER,
            *map(str, (start, self.port, cold_ms)),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        found = ServerProcess(start, process)
        found.reader = asyncio.create_task(found.read_lines())
        return found

    async def restart_server(self, news_late):
        """Kill the server and let its successor listen within milliseconds.

        Its entry follows ``news_late`` seconds later.
        """
        cold_ms = 3000 if self.tells_cold_time else -1
        successor = await self.prepare_start(self.server.start + 1, cold_ms)
        await asyncio.sleep(1)
        old, self.server = self.server, successor
        old.process.send_signal(signal.SIGKILL)
        await old.process.wait()
        await successor.listen()
        self.cold_until = time.monotonic() + 3
        self.entry_pause = news_late
        return old

    async def write_entry(self):
        left = max(0.0, self.cold_until - time.monotonic())
        entry = {
            "born": self.born + self.server.start,
            "seq": int(time.monotonic() * 1000),
            "cold_left_ms": int(left * 1000),
            "service": "app",
            "addr": f"{LOOPBACK}:{self.port}",
            "zone": "here",
            "version": "v1",
            "slots": 64,
            "state": "ready",
        }
        await self.store.write_row("servers", SERVER, entry)
        self.entered_at.setdefault(self.server.start, time.monotonic())

    async def run_entries(self):
        """Write the server's entry regularly, late after a restart."""
        while True:
            await asyncio.sleep(ENTRY_PERIOD_S)
            pause, self.entry_pause = self.entry_pause, 0.0
            await asyncio.sleep(pause)
            await self.write_entry()

    async def call(self, port, number, name):
        """Send one request to a gateway; return its status, 0 for none."""
        request_id = f"{port}-{name}-{number}"
        fields = [("request-id", request_id), ("deadline-ms", "2000")]
        target = f"/{name}/{number}"
        try:
            exchange = await self.fetcher.open(
                (LOOPBACK, port), "POST", target, fields, fresh=True, host=HOST
            )
            with contextlib.closing(exchange):
                await exchange.read()
        except FetchError:
            return 0
        return exchange.status

    async def run_load(self, seconds, per_second, kinds=("app",)):
        """Send requests through all gateways in turn, at random times."""
        started, number, tasks = time.monotonic(), 0, []
        while time.monotonic() - started < seconds:
            await asyncio.sleep(self.chance.expovariate(per_second))
            number += 1
            port = self.chance.choice(self.front_ports)
            name = self.chance.choice(kinds)
            tasks.append(asyncio.create_task(self.record_call(port, number, name)))
        return tasks

    async def record_call(self, port, number, name):
        began = time.monotonic()
        status = await self.call(port, number, name)
        self.outcomes.append((began, name, status, time.monotonic() - began))

    def statuses(self, since, until):
        """Return the number of calls that began in a time, by kind and status."""
        return collections.Counter(
            (name, status)
            for began, name, status, took in self.outcomes
            if since <= began < until
        )

    async def close(self):
        """End the processes that this world started."""
        for task in self.tasks:
            task.cancel()
        processes = [*self.gateways, self.server.process]
        for process in processes:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
        await asyncio.gather(*(p.wait() for p in processes))


@attrs.frozen
class Signals:
    """What the gateways could know at their sends to a new start of the server.

    Attributes
    ----------
    sends : int
        Arrivals at the new start in the seconds that were looked at.
    ended : int
        Those of gateways whose kept connection to the old start had ended.
    answered : int
        Those of gateways that the new start had answered before.
    entered : int
        Those sent after the entry of the new start was written.
    others : int
        Those sent a second after any answer of the new start, so that a digest of
        another process could have told.
    """

    sends: int
    ended: int
    answered: int
    entered: int
    others: int


def read_signals(old, new, entered_at, seconds):
    """Return the signals of the sends to a new start in its first seconds."""
    listens = new.lines[0]["listens"]
    kept = {
        gateway_of(line)
        for line in old.lines
        if "request" in line and line["at"] > listens - IDLE_TIMEOUT_S
    }
    sends = [line for line in new.lines[1:] if line["at"] < listens + seconds]
    answered = set()
    counts = dict.fromkeys(["ended", "answered", "entered", "others"], 0)
    for line in sends:
        counts["ended"] += gateway_of(line) in kept
        counts["answered"] += gateway_of(line) in answered
        counts["entered"] += line["at"] > entered_at
        counts["others"] += line["at"] > sends[0]["at"] + 1
        answered.add(gateway_of(line))
    return Signals(len(sends), **counts)


def gateway_of(line):
    """Return the gateway that sent a request, by its port."""
    return line["request"].partition("-")[0]
