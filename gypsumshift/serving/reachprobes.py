"""Probes that find out whether a service can be reached: connections without a request.

They start when a connection fails, here or at another process, and no server of the
service has been reached lately. A service that works is left alone after one good
probe. While none can be reached, probes go on as long as calls come, so that a server
that is back is known within about a second.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

from gypsumshift.clock import Clock
from gypsumshift.httpclient import IDLE_TIMEOUT_S, Fetcher, FetchError
from gypsumshift.serving.directory import BackendServer, Directory, ServerStart
from gypsumshift.serving.reachability import Reachability

__all__ = ["PROBE_PERIOD_SECONDS", "ReachabilityProber", "new_prober"]

# Timeout of a probe, as that of a call's connection.
PROBE_TIMEOUT_SECONDS = 0.3
# Time between two rounds while a service is unreachable.
PROBE_PERIOD_SECONDS = 0.5
PERIOD_JITTER = 0.2
# Connections of the first round, which in most cases finds that the service works, and
# of each later one.
FIRST_PROBES, MAX_PROBES = 2, 16
# Probes end this long after the last call for the service.
IDLE_SECONDS = 10.0

# Opens a connection to a server; returns the error if that fails.
Connect = Callable[[BackendServer], Awaitable[FetchError | None]]


class ReachabilityProber:
    """Probes the servers of services that may be unreachable.

    Parameters
    ----------
    reachability : Reachability
    directory : Directory
    connect : callable
    clock : Clock
    chance : random.Random

    Attributes
    ----------
    tasks : dict
        Running task by service.
    called_at : dict
        Time of the last call by service.
    """

    def __init__(
        self,
        reachability: Reachability,
        directory: Directory,
        connect: Connect,
        clock: Clock,
        chance: random.Random,
    ):
        self.reachability = reachability
        self.directory = directory
        self.connect = connect
        self.clock = clock
        self.chance = chance
        self.tasks: dict[str, asyncio.Task] = {}
        self.called_at: dict[str, float] = {}
        reachability.shared.on_unreachable = self.check_reported

    def is_down(self, service: str, servers: list[BackendServer]) -> bool:
        """Return whether a call to a service is to be refused at once."""
        self.called_at[service] = self.clock.monotonic()
        if servers and self.reachability.is_clear(service):
            return False
        down = self.reachability.is_down(service, servers)
        if down or not servers or self.reachability.needs_probe(service, servers):
            self.start(service)
        return down

    def check_reported(self, start: ServerStart) -> None:
        """Probe a service that was called lately, as another process reports it."""
        server = self.directory.servers.get(start.id)
        if server is not None and server.start == start:
            if self.is_in_use(server.service) and self.reachability.needs_probe(
                server.service, [server]
            ):
                self.start(server.service)

    def is_in_use(self, service: str) -> bool:
        """Return whether there were calls for a service lately."""
        called_at = self.called_at.get(service, float("-inf"))
        return self.clock.monotonic() - called_at <= IDLE_SECONDS

    def start(self, service: str) -> None:
        """Probe a service until it is reached, or no calls come."""
        if service not in self.tasks:
            task = asyncio.create_task(self.run(service))
            self.tasks[service] = task
            task.add_done_callback(lambda _: self.tasks.pop(service, None))

    async def run(self, service: str) -> None:
        """Probe the servers of a service in rounds."""
        count = FIRST_PROBES
        while self.is_in_use(service):
            servers = self.directory.ready_servers(service)
            reached = await self.probe_some(servers, count)
            down = self.reachability.is_down(service, servers)
            if reached:
                return
            if down or not servers:
                jitter = self.chance.uniform(1 - PERIOD_JITTER, 1 + PERIOD_JITTER)
                await self.clock.sleep(PROBE_PERIOD_SECONDS * jitter)
            count = MAX_PROBES

    async def probe_some(self, servers: list[BackendServer], count: int) -> bool:
        """Probe some servers at once; return whether one was reached."""
        chosen = self.reachability.servers_to_probe(servers, count)
        results = await asyncio.gather(*map(self.probe, chosen))
        return any(results)

    async def probe(self, server: BackendServer) -> bool:
        """Probe a server, and record the result; return whether it was reached."""
        error = await self.connect(server)
        if error is None:
            self.reachability.record_reached(server)
            return True
        self.reachability.record_unreached(server, error.refused)
        return False


def new_prober(
    fetcher: Fetcher,
    reachability: Reachability,
    directory: Directory,
    clock: Clock,
    chance: random.Random,
) -> ReachabilityProber:
    """Return a prober that opens connections, which the next calls reuse."""

    async def connect(server: BackendServer) -> FetchError | None:
        try:
            connection = await fetcher.connect(server.address, PROBE_TIMEOUT_SECONDS)
        except FetchError as error:
            return error
        fetcher.keep_idle(server.address, connection, IDLE_TIMEOUT_S)
        return None

    return ReachabilityProber(reachability, directory, connect, clock, chance)
