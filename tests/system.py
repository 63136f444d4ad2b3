"""A small system within the test process: real sockets, and a platform in memory."""

import asyncio
import contextlib
import json

from gypsumshift import declarations
from gypsumshift.client import AsyncClient, AsyncTrainer
from gypsumshift.entry import Entry
from gypsumshift.generated.settings import Settings
from gypsumshift.sidecar import Sidecar
from standins.engine import FakeEngine, StepTiming
from standins.service import FakeService

from . import builders

HOST = "127.0.0.1"
WAIT_TIMEOUT_S = 20.0
DECLARATIONS = {
    "zones": ["here", "there"],
    "pools": [
        {
            "name": "model",
            "kind": "model",
            "dialect": "sglang",
            "checks_fencing": True,
            "swap_allowance": 0.05,
            "serving_floor": 0.0,
        },
        {"name": "shop", "kind": "service", "concurrency": 4, "queue": 8},
    ],
    "templates": [
        {
            "name": "t",
            "parameters": {
                "model_pool": "model",
                "services": {"shop": "shop"},
                "timeout": 10.0,
            },
        }
    ],
    "workspaces": [
        {"name": "w", "template": "t"},
        {"name": "v", "template": "t"},
    ],
    "trainers": [
        {"name": "tr", "workspace": "w", "pool": "model", "groups_per_step": 2}
    ],
}


async def wait_until(holds, what="the condition"):
    """Wait until a condition holds; return its value."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not (value := holds()):
            await asyncio.sleep(0.005)
        return value


class Relay:
    """TCP relay that cuts its connections after a number of bytes, or for good.

    ``cut_after_sent`` and ``cut_after_received`` are the bytes left in each direction
    until all connections are cut. While ``refuses``, new connections are aborted;
    ``refuses_after_cut`` sets it with the next cut.
    """

    def __init__(self, port):
        self.target_port = port
        self.port = 0
        self.cut_after_sent = self.cut_after_received = None
        self.refuses = self.refuses_after_cut = False
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def accept(self, reader, writer):
        if self.refuses:
            writer.transport.abort()
            return
        inner_reader, inner_writer = await asyncio.open_connection(
            HOST, self.target_port
        )
        self.writers |= {writer, inner_writer}
        await asyncio.gather(
            self.forward(reader, inner_writer, "cut_after_sent"),
            self.forward(inner_reader, writer, "cut_after_received"),
        )

    async def forward(self, reader, writer, limit_name):
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                limit = getattr(self, limit_name)
                if limit is not None and len(data) >= limit:
                    writer.write(data[:limit])
                    setattr(self, limit_name, None)
                    await writer.drain()
                    self.cut()
                    return
                if limit is not None:
                    setattr(self, limit_name, limit - len(data))
                writer.write(data)
        writer.close()

    def cut(self):
        """Abort all connections."""
        for writer in self.writers:
            writer.transport.abort() if not writer.is_closing() else None
        self.writers.clear()
        self.refuses |= self.refuses_after_cut

    def kill(self):
        """Abort all connections, and refuse new ones."""
        self.refuses = True
        self.cut()


class System:
    """Context manager that runs entries, sidecars and stand-ins for backend servers."""

    def __init__(self, source=None, engines=1, services=1, entries=1):
        self.source = source or DECLARATIONS
        self.tables = builders.FaultyTables()
        self.platform = builders.platform(self.tables)
        self.counts = (engines, services, entries)
        self.stack = contextlib.AsyncExitStack()
        self.entries, self.sidecars, self.engines, self.services = [], {}, [], []
        self.tasks = []

    async def __aenter__(self):
        engines, services, entries = self.counts
        for number in range(entries):
            await self.add_entry(f"entry-{number}")
        catalog = declarations.parse(self.source, "test")
        outcome = await self.entries[0].revision_history.apply(
            0, catalog.source, "test", "first", "first"
        )
        self.entries[0].adopt_revision(1, json.dumps(outcome.declarations))
        for number in range(engines):
            engine = FakeEngine("model", checks_fencing=True, swap=0.01)
            engine.step_timing = StepTiming(0.002, 0, 0)
            self.engines.append(engine)
            port = await engine.server.listen(HOST, 0)
            self.tasks.append(asyncio.create_task(engine.step_forever()))
            await self.add_sidecar(f"model-{number}", "model", port)
        for number in range(services):
            service = FakeService(f"shop-{number}", duration=0.001, spread=0)
            self.services.append(service)
            port = await service.server.listen(HOST, 0)
            await self.add_sidecar(f"shop-{number}", "shop", port)
        await wait_until(self.has_converged, "all entries know all sidecars")
        return self

    async def __aexit__(self, *exc_info):
        for task in self.tasks:
            task.cancel()
        await self.stack.aclose()
        for backend_server in self.engines + self.services:
            await backend_server.server.stop(0)

    def settings(self, name, role, **fields):
        seeds = [f"{HOST}:{entry.member.port}" for entry in self.entries]
        return Settings(
            name=name, role=role, zone="here", platform="memory:", seeds=seeds, **fields
        )

    async def add_entry(self, name):
        entry = Entry(self.settings(name, "entry"), self.platform)
        entry.heartbeat_period = 0.05
        await self.stack.enter_async_context(entry)
        self.entries.append(entry)
        return entry

    async def add_sidecar(self, backend, pool, port):
        fields = {
            "pool": pool,
            "backend": backend,
            "backend_url": f"http://{HOST}:{port}",
        }
        settings = self.settings(f"sidecar-{backend}", "sidecar", **fields)
        sidecar = Sidecar(settings, self.platform)
        sidecar.heartbeat_period = 0.05
        await self.stack.enter_async_context(sidecar)
        self.sidecars[backend] = sidecar
        return sidecar

    async def replace_sidecar(self, backend):
        """Stop a sidecar, and start one without state for its backend server."""
        old = self.sidecars[backend]
        await old.stop()
        port = old.backend.address[1]
        new = await self.add_sidecar(backend, old.settings.pool, port)
        await wait_until(self.has_converged)
        return new

    def has_converged(self):
        """Return whether all sidecars are fenced, at the newest revision and known.

        Known means that each entry has the sidecar's current incarnation and a load
        report of a healthy backend server.
        """
        newest = max(entry.active_revision.number for entry in self.entries)
        for sidecar in self.sidecars.values():
            if sidecar.stopped.is_set():
                continue
            if not sidecar.member.fence or sidecar.active_revision.number < newest:
                return False
            for entry in self.entries:
                peer = entry.membership.peers.get(sidecar.member.name)
                same = peer and peer.member.incarnation == sidecar.member.incarnation
                if not same or not peer.load or not peer.load.healthy:
                    return False
        return True

    def run_counts(self):
        """Return how often each request ran, counted over all services."""
        total = {}
        for service in self.services:
            for name, count in service.runs.items():
                total[name] = total.get(name, 0) + count
        return total

    def client(self, workspace="w", entry=None):
        chosen = self.entries if entry is None else [self.entries[entry]]
        urls = [f"http://{HOST}:{e.caller_address[1]}/{workspace}" for e in chosen]
        return AsyncClient(urls, timeout=8.0)

    def trainer(self, entry=None):
        chosen = self.entries if entry is None else [self.entries[entry]]
        path = "/w/trainers/tr"
        urls = [f"http://{HOST}:{e.caller_address[1]}{path}" for e in chosen]
        return AsyncTrainer(urls)


def run(work, **options):
    """Run a test's coroutine function on a new system."""

    async def with_system():
        async with System(**options) as system:
            await work(system)

    asyncio.run(with_system())
