"""Agent node: the process beside a model engine."""

import asyncio

from gypsumshift.jobs.agent import Agent, Home
from gypsumshift.jobs.engine import Engine
from gypsumshift.lifecycle import Node
from gypsumshift.server import Handler, Server
from gypsumshift.serving.directory import Directory
from gypsumshift.serving.forwarder import Forwarder
from gypsumshift.serving.pool import Pool
from gypsumshift.watch import run_all

__all__ = ["AgentNode"]

# Seconds between two sweeps of what is remembered of backend servers.
SWEEP_PERIOD = 1.0


class AgentNode(Node):
    """Runs an agent with what it needs.

    Parameters
    ----------
    home : Home
    store : RowStore
    directory : Directory
    directory_watches : list of Watch
    names : HeaderNames
    protocol : EngineProtocol
    zone : str
    clock : Clock
    fetcher : Fetcher
    chance : random.Random
    metrics : Metrics
    """

    def __init__(
        self,
        home: Home,
        store,
        directory: Directory,
        directory_watches,
        names,
        protocol,
        zone,
        clock,
        fetcher,
        chance,
        metrics,
    ):
        self.clock = clock
        self.pages: list[tuple[tuple[str, int], Server]] = []
        self.directory = directory
        self.directory_watches = directory_watches
        self.pool = Pool(zone, clock, chance)
        forwarder = Forwarder(directory, self.pool, fetcher, names, clock, metrics)
        engine = Engine(fetcher, names, protocol)
        self.agent = Agent(
            home, store, directory, engine, forwarder, names, clock, chance, metrics
        )

    def listen_at(self, address: tuple[str, int], handler: Handler) -> None:
        """Have a handler answer at an address."""
        self.pages.append((address, Server(handler)))

    async def run(self) -> None:
        """Work until cancelled."""
        for address, server in self.pages:
            await server.listen(*address)
        async with asyncio.TaskGroup() as group:
            group.create_task(run_all(self.directory_watches))
            group.create_task(self.agent.run())
            group.create_task(self.sweep())

    async def sweep(self) -> None:
        """Forget what is gone, now and then."""
        while True:
            await self.clock.sleep(SWEEP_PERIOD)
            self.directory.settle(self.clock.monotonic())
            self.pool.prune(set(self.directory.servers))

    async def drain(self, grace: float) -> None:
        """Give the work back, within ``grace`` seconds."""
        try:
            async with asyncio.timeout(grace):
                await self.agent.leave()
        except TimeoutError:
            # What could not be given back is free once the heartbeats stop.
            pass
