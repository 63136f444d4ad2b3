"""Gateway: the process that callers and trainers connect to."""

import asyncio
import random

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.jobs.desk import Desk
from gypsumshift.lifecycle import Node
from gypsumshift.outcomes import Answered, NotRun, Unknown
from gypsumshift.platforms import RowStore
from gypsumshift.server import Handler, Server
from gypsumshift.serving.directory import Directory
from gypsumshift.serving.forwarder import Call, Forwarder
from gypsumshift.serving.pool import Pool
from gypsumshift.serving.streams import StreamRelay
from gypsumshift.watch import Watch, run_all

__all__ = ["Gateway"]

# Bytes of a request's body, until the configuration says; a batch job of 100 items
# has some 200 kB.
BODY_LIMIT = 64 * 1024 * 1024
# Seconds without the store after which callers are better served elsewhere.
STORE_SILENCE = 2.5
# Seconds between two sweeps of what is remembered of backend servers.
SWEEP_PERIOD = 1.0

log = logs.logger("gateway")


class Gateway(Node):
    """Serves routed requests and batch jobs.

    Parameters
    ----------
    store : RowStore
    directory : Directory
    directory_watches : list of Watch
        Keep the directory current.
    names : HeaderNames
    zone : str
    clock : Clock
    fetcher : Fetcher
    chance : random.Random
    metrics : Metrics
    """

    def __init__(
        self,
        store,
        directory,
        directory_watches,
        names,
        zone,
        clock,
        fetcher,
        chance,
        metrics,
    ):
        self.store: RowStore = store
        self.directory: Directory = directory
        self.clock: Clock = clock
        self.chance: random.Random = chance
        self.desk = Desk(store, clock, metrics)
        self.pool = Pool(zone, clock, chance)
        self.forwarder = Forwarder(directory, self.pool, fetcher, names, clock, metrics)
        self.streams = StreamRelay(self.forwarder)
        self.directory_watches: list[Watch] = directory_watches
        self.servers: list[tuple[tuple[str, int], Server, bool]] = []
        self.leaving = False

    def listen_at(
        self, address: tuple[str, int], handler: Handler, always: bool = False
    ) -> None:
        """Have a handler answer at an address.

        Parameters
        ----------
        address : (str, int)
        handler : callable
        always : bool
            Answer to the very end, also while leaving.
        """
        server = Server(handler, BODY_LIMIT)
        self.servers.append((address, server, always))

    @property
    def ready(self) -> bool:
        """Whether new callers should come here."""
        if self.leaving or not self.directory.routes.version:
            return False
        newest = max(watch.current_at for watch in self.directory_watches)
        return self.clock.monotonic() - newest < STORE_SILENCE

    async def run(self) -> None:
        """Serve until cancelled."""
        for address, server, _ in self.servers:
            await server.listen(*address)
        watches = [*self.directory_watches, *self.desk.watches]
        async with asyncio.TaskGroup() as group:
            group.create_task(run_all(watches))
            group.create_task(self.sweep())

    async def sweep(self) -> None:
        """Forget what is gone, now and then."""
        while True:
            await self.clock.sleep(SWEEP_PERIOD)
            self.directory.settle(self.clock.monotonic())
            self.pool.prune(set(self.directory.servers))
            for _, server, _ in self.servers:
                server.body_limit = self.directory.routes.body_limit or BODY_LIMIT
            await self.desk.sweep(self.chance)

    async def forward(self, call: Call) -> Answered | NotRun | Unknown:
        """Have a request answered by a backend server."""
        return await self.forwarder.forward(call)

    async def drain(self, grace: float) -> None:
        """Send callers elsewhere, finish what runs, then close."""
        self.leaving = True
        for _, server, always in self.servers:
            server.leaving = not always
        # Idle connections end with their next answer; two questions of the
        # balancer, a second apart, take new ones elsewhere.
        await self.clock.sleep(grace / 2)
        for _, server, always in self.servers:
            if not always:
                await server.stop(grace / 2)
