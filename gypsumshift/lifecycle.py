"""Lifecycle: start one process, and end it when it is told to."""

import abc
import asyncio
import gc
import os
import signal
from collections.abc import Callable, Coroutine

import attrs

from gypsumshift import logs
from gypsumshift.bootstrap import Bootstrap
from gypsumshift.clock import Clock
from gypsumshift.httpserver import MAX_BODY_BYTES, Handler, HttpServer
from gypsumshift.neighbours import NeighbourRegistry
from gypsumshift.serving.directory import Directory
from gypsumshift.serving.loadbalancer import LoadBalancer
from gypsumshift.watch import Watch, run_watches

__all__ = ["Node", "Port", "serve"]

# Part of the time between the signal to stop and the end that is used: the rest is
# left for a slow host.
GRACE_SHARE = 0.8
# Seconds between two sweeps of what is remembered of backend servers.
SWEEP_PERIOD_S = 1.0

log = logs.logger("process")


@attrs.frozen
class Port:
    """An address at which a process answers.

    Attributes
    ----------
    address : (str, int)
    server : HttpServer
    always : bool
        Whether it answers to the very end, also while the process leaves.
    """

    address: tuple[str, int]
    server: HttpServer
    open_while_draining: bool


class Node(abc.ABC):
    """One process of the system: its ports, and what it knows of the deployment.

    Parameters
    ----------
    directory : Directory
    watches : list of Watch
        Keep the directory and whatever else current.
    balancer : LoadBalancer
    clock : Clock

    Attributes
    ----------
    body_limit : int
        Bytes of a request's body that its ports take.
    """

    body_limit = MAX_BODY_BYTES

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
        self.peer_tasks: list[Callable[[], Coroutine]] = []

    def join_peers(
        self, neighbourhood: NeighbourRegistry, bootstrap: Bootstrap
    ) -> None:
        """Learn of the other processes and from them, and tell them of this one."""
        self.watches.append(neighbourhood.watch)
        self.peer_tasks += [neighbourhood.run, bootstrap.run]

    def listen_at(
        self,
        address: tuple[str, int],
        handler: Handler,
        open_while_draining: bool = False,
    ) -> None:
        """Have a handler answer at an address; see `Port`."""
        server = HttpServer(handler, self.body_limit)
        self.ports.append(Port(address, server, open_while_draining))

    async def run(self) -> None:
        """Work until cancelled."""
        for port in self.ports:
            await port.server.listen(*port.address)
        async with asyncio.TaskGroup() as group:
            group.create_task(run_watches(self.watches))
            group.create_task(self.run_sweep_loop())
            for task in self.peer_tasks:
                group.create_task(task())
            for work in self.background_tasks():
                group.create_task(work)

    async def run_sweep_loop(self) -> None:
        """Forget what is gone, now and then."""
        while True:
            await self.clock.sleep(SWEEP_PERIOD_S)
            await self.sweep()

    async def sweep(self) -> None:
        """Forget the backend servers that are gone."""
        self.directory.forget_missing_servers(self.clock.monotonic())
        self.balancer.prune(
            {server.start for server in self.directory.servers.values()}
        )

    def background_tasks(self) -> list[Coroutine]:
        """Return what else this process does until it is cancelled."""
        return []

    @abc.abstractmethod
    async def drain(self, grace: float) -> None:
        """Take no new work, and end or hand over what runs, in ``grace`` seconds."""

    def reload(self) -> None:
        """Take note that the settings file may have changed."""
        logs.event(log, "Told to reload; the settings hold until the next start.")


async def serve(node: Node, grace: float) -> int:
    """Run a node until a signal ends it; return the exit status."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    working = asyncio.create_task(node.run())
    logs.event(log, "Started.", kind=type(node).__name__)
    # What the start left behind stays for good: spare the collector from it.
    gc.collect()
    gc.freeze()
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait({working, stopping}, return_when=asyncio.FIRST_COMPLETED)
    if working.done():
        # Only a broken invariant ends the work by itself.
        log.error("The work ended: {!r}", working.exception())
        return os.EX_SOFTWARE
    logs.event(log, "Told to stop.", grace_s=grace)
    await node.drain(grace * GRACE_SHARE)
    working.cancel()
    await asyncio.wait({working})
    logs.event(log, "Stopped.")
    return 0
