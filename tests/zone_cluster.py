"""Deployment on the stand-ins with several gateways, and servers in several zones."""

import asyncio
import contextlib
import time

import attrs

from standins.deployment import free_port
from standins.users_documents import HOST, settings_text
from standins.users_store import FakeMetadataStore, Faults
from standins.users_worker import FakeWorker
from tests.platform_cluster import PlatformCluster
from tests.system import wait_until

__all__ = ["ZoneCluster", "front_address", "run_in_zones"]

# Time between two requests that a caller sends to each gateway.
CALL_PERIOD_S = 0.02


def front_address(gateway):
    """Return the address at which a gateway serves callers."""
    return gateway.ports[0].server.listener.sockets[0].getsockname()


@attrs.define
class ZoneCluster(PlatformCluster):
    """Cluster whose second application server is in the zone ``east``.

    Attributes
    ----------
    east : FakeWorker
    gateways : list
        All gateways, the one of `PlatformCluster` first.
    gateway_tasks : dict
        Task of each further gateway by name.
    """

    east: FakeWorker = attrs.field(factory=lambda: FakeWorker("app"))
    gateways: list = attrs.field(factory=list)
    gateway_tasks: dict = attrs.field(factory=dict)

    async def start(self, tmp_path):
        self.east.zone = "east"
        await super().start(tmp_path)
        self.gateways.append(self.gateway)
        await self.register(self.east)
        await self.wait_until_listed(self.gateway, self.east)
        return self

    async def wait_until_listed(self, gateway, worker):
        await wait_until(lambda: worker.id in gateway.directory.servers)

    async def open_second_store_port(self):
        """Return a server of the same rows with faults of its own, and its port."""
        store = FakeMetadataStore()
        store.tables = self.store.tables
        return store, await store.server.listen("127.0.0.1", 0)

    async def add_gateway(self, name, tmp_path, store_port, waits=True):
        """Start a further gateway, by default until it is ready."""
        import main
        import node_settings

        seed = self.gateway.ports[2].address
        fields = self.extra_settings | {
            "listen.front": "127.0.0.1:0",
            "listen.ready": "127.0.0.1:0",
            "listen.control": f"127.0.0.1:{free_port()}",
            "seeds": f"{seed[0]}:{seed[1]}",
        }
        file = tmp_path / f"{name}.conf"
        file.write_text(
            settings_text(name, "127.0.0.1", ("127.0.0.1", store_port), **fields)
        )
        gateway = main.new_gateway(node_settings.load(file))
        self.gateways.append(gateway)
        task = asyncio.create_task(gateway.run())
        self.gateway_tasks[name] = task
        self.tasks.append(task)
        if waits:
            await wait_until(lambda: gateway.ready and gateway.directory.servers)
            await self.wait_until_listed(gateway, self.east)
            await wait_until(lambda: len(path_of(gateway).neighbours) >= 2)
        return gateway

    async def evacuate(self, *zones):
        """Write the rows of some zones; return the time of the store's answer."""
        for zone in zones:
            await self.store.write_row("op", f"evacuate/{zone}", {})
        return time.monotonic()

    async def end_evacuation(self, zone):
        await self.store.write_row("op", f"evacuate/{zone}", None)
        return time.monotonic()

    async def call(self, gateway, number, target="/app/1"):
        """Send a request to a gateway; return status, seconds and Retry-After."""
        began = time.monotonic()
        fields = [("request-id", f"{id(gateway)}-{number}")]
        exchange = await self.fetcher.open(
            front_address(gateway), "POST", target, fields, b"", host=HOST
        )
        await exchange.read()
        exchange.close()
        took = time.monotonic() - began
        return exchange.status, took, exchange.header(b"retry-after")

    @contextlib.asynccontextmanager
    async def traffic(self, *gateways):
        """Send requests to some gateways all the time, by default to all."""

        async def send(gateway):
            number = 0
            while True:
                number += 1
                await self.call(gateway, number)
                await asyncio.sleep(CALL_PERIOD_S)

        senders = [asyncio.create_task(send(g)) for g in gateways or self.gateways]
        try:
            yield senders
        finally:
            for sender in senders:
                sender.cancel()
            await asyncio.gather(*senders, return_exceptions=True)

    async def wait_for_arrival(self, worker, after):
        """Wait until a server got a request after a time."""
        await wait_until(lambda: worker.last_arrival > after)


def path_of(gateway):
    """Return the `StorePath` of a gateway."""
    return gateway.store.path


def silence(store):
    """Let a server of the store answer nothing from now on."""
    store.faults = Faults(down="silent")


def run_in_zones(test, tmp_path, **extra_settings):
    """Run a test scenario on a new `ZoneCluster`, for at most 60 s.

    The gateways are in the zone ``east``, so that they prefer the server there.
    """
    settings = {"zone": "east"} | extra_settings

    async def run():
        cluster = ZoneCluster(extra_settings=settings)
        try:
            async with asyncio.timeout(60):
                await cluster.start(tmp_path)
                await test(cluster)
        finally:
            await cluster.close()

    asyncio.run(run())
