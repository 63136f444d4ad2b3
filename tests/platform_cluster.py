"""In-process deployment on the platform's stand-ins, for tests over loopback."""

import asyncio
import functools
import json
import pathlib
import sys

import attrs

from gypsumshift.httpclient import Fetcher
from gypsumshift.listeners import close_listener
from standins.deployment import free_port
from standins.users_documents import HOST, config, results_target, settings_text
from standins.users_store import FakeMetadataStore
from standins.users_worker import FakeWorker

ADAPTER_FOLDER = pathlib.Path(__file__).resolve().parent.parent / "platform"
if str(ADAPTER_FOLDER) not in sys.path:
    sys.path.append(str(ADAPTER_FOLDER))


def crash_worker(worker):
    """Close a worker's listener and connections, as the crash of its process would.

    A connection that is being accepted ends as well; asyncio leaves it open if its
    listener is closed at once.
    """
    server = worker.server
    server.closing = True

    async def close():
        await close_listener(server.listener)
        server.closing = False

    # The server keeps the task, which would be discarded otherwise.
    server.crash = asyncio.ensure_future(close())
    for task in worker.server.connections:
        task.cancel()


@attrs.define
class PlatformCluster:
    """A stand-in platform with one gateway and one agent, all in one process.

    Attributes
    ----------
    store : FakeMetadataStore
    app, engine : FakeWorker
        Backend servers of the services ``app`` (plain) and ``pool`` (model engine).
    tasks : list of Task
        Of the gateway and the agent.
    store_port : int
    front_address, ready_address : (str, int)
        Where the gateway serves callers, and where it serves readiness checks.
    extra_settings : dict
        Added to the settings of both processes.
    """

    store: FakeMetadataStore = attrs.field(factory=FakeMetadataStore)
    app: FakeWorker = attrs.field(factory=lambda: FakeWorker("app"))
    engine: FakeWorker = attrs.field(factory=lambda: FakeWorker("pool", ("m",)))
    fetcher: Fetcher = attrs.field(factory=Fetcher)
    tasks: list = attrs.field(factory=list)
    store_port: int = 0
    front_address: tuple = ()
    ready_address: tuple = ()
    gateway: object = None
    agent: object = None
    extra_settings: dict = attrs.field(factory=dict)

    async def start(self, tmp_path):
        """Start the deployment; return once the gateway is ready."""
        import main
        import node_settings

        self.store_port = await self.store.server.listen("127.0.0.1", 0)
        await self.store.write_row("op", "config", config())
        for worker in (self.app, self.engine):
            await self.register(worker)
        engine_port = self.engine.server.listener.sockets[0].getsockname()[1]
        store = ("127.0.0.1", self.store_port)
        gateway_settings = self.extra_settings | {
            "listen.front": "127.0.0.1:0",
            "listen.ready": "127.0.0.1:0",
        }
        gateway_settings["listen.control"] = f"127.0.0.1:{free_port()}"
        gateway_file = tmp_path / "front.conf"
        gateway_file.write_text(
            settings_text("front", "127.0.0.1", store, **gateway_settings)
        )
        self.gateway = main.new_gateway(node_settings.load(gateway_file))
        agent_settings = self.extra_settings | {
            "app": f"127.0.0.1:{engine_port}",
            "service": "pool",
        }
        agent_settings["port_range"] = f"{free_port()},0"
        agent_file = tmp_path / "side.conf"
        agent_file.write_text(
            settings_text("side", "127.0.0.1", store, **agent_settings)
        )
        self.agent = main.new_agent(node_settings.load(agent_file))
        for node in (self.gateway, self.agent):
            self.tasks.append(asyncio.create_task(node.run()))
        while not self.gateway.ready or not self.gateway.directory.servers:
            await asyncio.sleep(0.01)
        ports = [
            port.server.listener.sockets[0].getsockname() for port in self.gateway.ports
        ]
        self.front_address, self.ready_address = ports[:2]
        return self

    async def register(self, worker):
        """Write a worker's entry into the servers table; make it listen before."""
        if worker.server.listener is None:
            await worker.server.listen("127.0.0.1", 0)
        port = worker.server.listener.sockets[0].getsockname()[1]
        await self.store.write_row(
            "servers", worker.id, worker.table_entry(f"127.0.0.1:{port}")
        )

    async def add_crashing_workers(self, count, fatal=b"fatal"):
        """Add workers of ``app`` that crash at a request whose body has ``fatal``."""
        workers = [FakeWorker("app") for _ in range(count)]
        for worker in workers:
            worker.fatal = fatal
            worker.on_fatal = functools.partial(crash_worker, worker)
            await self.register(worker)
        return workers

    async def send_request(self, method, target, request_id="r1", body=b"", **headers):
        """Send a request to the gateway; return the exchange and the response body."""
        fields = [("request-id", request_id)]
        fields += [(k.replace("_", "-"), v) for k, v in headers.items()]
        exchange = await self.fetcher.open(
            self.front_address, method, target, fields, body, host=HOST
        )
        content = await exchange.read()
        exchange.close()
        return exchange, content

    async def read_results(self, job="job"):
        """Read all results of a job page by page, waiting for those to come."""
        found, total = [], 1
        while len(found) < total:
            target = results_target(job, len(found))
            exchange, content = await self.send_request("GET", target, wait_ms="1000")
            assert exchange.status == 200, exchange.status
            page = json.loads(content)
            total = page["total"]
            found += page["results"]
            assert page["next"] == len(found)
        return found

    async def wait_for_results(self, count, job="job"):
        """Return the results of a job once at least ``count`` are listed."""
        while True:
            exchange, content = await self.send_request("GET", results_target(job))
            results = json.loads(content)["results"]
            if len(results) >= count:
                return results
            await asyncio.sleep(0.02)

    async def close(self):
        """Stop the gateway and the agent."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def gateway_lists(cluster, worker):
    """Return whether a worker is in the gateway's directory."""
    return worker.id in cluster.gateway.directory.servers


def run_scenario(test, tmp_path, **extra_settings):
    """Run a test scenario on a new deployment, for at most 60 s."""

    async def run():
        cluster = PlatformCluster(extra_settings=extra_settings)
        try:
            async with asyncio.timeout(60):
                await cluster.start(tmp_path)
                await test(cluster)
        finally:
            await cluster.close()

    asyncio.run(run())
