"""Lifecycle: run a process until a signal stops it, then drain it."""

import abc
import asyncio
import gc
import os
import signal
from collections.abc import Callable, Coroutine

import attrs

from gypsumshift import logs
from gypsumshift.bootstrap import Bootstrap
from gypsumshift.bytebudget import NO_BUDGET, ByteBudget, ByteKind
from gypsumshift.clock import Clock
from gypsumshift.httpserver import MAX_BODY_BYTES, BodyClassifier, Handler, HttpServer
from gypsumshift.inbound import Inbound, PortKind
from gypsumshift.neighbourregistry import NeighbourRegistry
from gypsumshift.serving.coldrates import ColdRates
from gypsumshift.serving.directory import Directory
from gypsumshift.serving.loadbalancer import LoadBalancer
from gypsumshift.watch import Watch, run_watches

__all__ = ["MAX_BODY_BYTES_BY_KIND", "Node", "Port", "serve"]

# Time at the end of the grace period, which lasts from the stop signal to the kill. It
# is left for the last answers and writes; of a short period it is a tenth at most.
STOP_RESERVE_S = 0.5
MAX_RESERVE_SHARE = 0.1
# Time between two removals of data about backend servers that no longer exist.
SWEEP_PERIOD_S = 1.0

# Maximum size of a body by port. Readiness checks and scrapes have none.
MAX_BODY_BYTES_BY_KIND = {
    PortKind.CALLERS: 64 * 1024 * 1024,
    PortKind.PEERS: MAX_BODY_BYTES,
    PortKind.READINESS: 4 * 1024,
    PortKind.METRICS: 4 * 1024,
}

log = logs.logger("process")


@attrs.frozen
class Port:
    """A listening address of a process and its server.

    Attributes
    ----------
    address : (str, int)
    server : HttpServer
    open_while_draining : bool
        Whether the port stays open until the process exits, also while it drains.
    """

    address: tuple[str, int]
    server: HttpServer
    open_while_draining: bool


class Node(abc.ABC):
    """Base class of processes: its ports and its copy of the deployment's state.

    Parameters
    ----------
    directory : Directory
    watches : list of Watch
        Keep the directory and other tables up to date.
    balancer : LoadBalancer
    clock : Clock

    Attributes
    ----------
    inbound : Inbound
        Connections of all its ports.
    peer_tasks : list of callable
        Return the coroutines that exchange data with other processes.
    cold_rates : ColdRates or None
        Limits the requests to servers that have just started.
    """

    def __init__(
        self,
        directory: Directory,
        watches: list[Watch],
        balancer: LoadBalancer,
        clock: Clock,
    ):
        self.directory = directory
        self.watches = list(watches)
        self.balancer = balancer
        self.clock = clock
        self.ports: list[Port] = []
        self.inbound = Inbound(clock=clock)
        self.peer_tasks: list[Callable[[], Coroutine]] = []
        self.cold_rates: ColdRates | None = None

    @abc.abstractmethod
    def limit_cold_rates(self, cold_rates: ColdRates) -> None:
        """Limit all requests of this process to servers that have just started."""

    def join_peers(self, registry: NeighbourRegistry, bootstrap: Bootstrap) -> None:
        """Follow the list of processes, load data from them and announce this one."""
        self.watches.append(registry.watch)
        self.peer_tasks += [registry.run, bootstrap.run]

    def listen_at(
        self,
        address: tuple[str, int],
        handler: Handler,
        kind: PortKind,
        open_while_draining: bool = False,
        budget: ByteBudget = NO_BUDGET,
        classify_body: BodyClassifier = lambda request: ByteKind.REQUEST,
    ) -> None:
        """Add a port at which a handler answers requests; see `Port`."""
        server = HttpServer(
            handler,
            MAX_BODY_BYTES_BY_KIND[kind],
            budget,
            classify_body,
            self.inbound,
            kind,
        )
        self.ports.append(Port(address, server, open_while_draining))

    async def run(self) -> None:
        """Open the ports and run all background tasks until cancelled."""
        for port in self.ports:
            await port.server.listen(*port.address)
        async with asyncio.TaskGroup() as group:
            group.create_task(run_watches(self.watches))
            group.create_task(self.run_sweep_loop())
            for task in self.peer_tasks:
                group.create_task(task())
            for coroutine in self.background_tasks():
                group.create_task(coroutine)

    async def run_sweep_loop(self) -> None:
        """Remove outdated data periodically until cancelled."""
        while True:
            await self.clock.sleep(SWEEP_PERIOD_S)
            await self.sweep()

    async def sweep(self) -> None:
        """Remove data about backend servers that no longer exist."""
        self.directory.forget_missing_servers(self.clock.monotonic())
        self.balancer.prune(
            {server.start for server in self.directory.servers.values()}
        )
        if self.cold_rates is not None:
            self.cold_rates.prune()

    def background_tasks(self) -> list[Coroutine]:
        """Return further coroutines that this process runs until cancelled."""
        return []

    @abc.abstractmethod
    async def drain(self, grace: float) -> None:
        """Accept no new work; finish or hand over the rest in ``grace`` seconds."""

    def reload(self) -> None:
        """Handle SIGHUP, by which an operator asks to reload the settings file."""
        logs.event(
            log, "Received SIGHUP; changed settings take effect at the next start."
        )


def usable_grace(grace: float) -> float:
    """Return the seconds of a grace period in which requests may end."""
    return grace - min(STOP_RESERVE_S, MAX_RESERVE_SHARE * grace)


async def serve(node: Node, grace: float) -> int:
    """Run a node until a signal stops it; return the exit status."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    running = asyncio.create_task(node.run())
    logs.event(log, "Started.", kind=type(node).__name__)
    # Objects created during start-up live as long as the process. Freezing them keeps
    # the garbage collector from traversing them.
    gc.collect()
    gc.freeze()
    stopped = asyncio.create_task(stop.wait())
    await asyncio.wait({running, stopped}, return_when=asyncio.FIRST_COMPLETED)
    if running.done():
        # The node's tasks end without being cancelled only after a violated invariant.
        log.error(
            "The tasks of the process failed: {!r}; exiting.", running.exception()
        )
        return os.EX_SOFTWARE
    logs.event(log, "Received a stop signal; draining.", grace_s=grace)
    await node.drain(usable_grace(grace))
    running.cancel()
    await asyncio.wait({running})
    logs.event(log, "Stopped.")
    return 0
