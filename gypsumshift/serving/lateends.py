"""Late ends: servers that end when nobody waits for their answer any more.

The decision answers callers that leave, and deadlines that pass, before a server has
ended under their request: no connection is left to show it. So the servers at which an
unanswered request was cut are looked at some times. An idle connection that is still
open says that a server is there; only without one a new one is opened, and kept.
"""

import asyncio
from collections.abc import Iterable

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.fetch import Fetcher
from gypsumshift.serving.directory import BackendServer, Directory
from gypsumshift.serving.guard import Guard, Permit
from gypsumshift.serving.liveness import is_gone
from gypsumshift.serving.loadbalancer import LoadBalancer

__all__ = ["LateEnds"]

# Seconds between the cut and the first look, and from each look to the next. Most
# servers drop a request that is cut; what goes on is over within some service times.
LOOKS = (0.1, 0.4, 1.5)
# Servers that are looked at at once.
MOST_WATCHED = 64

log = logs.logger("lateends")


class LateEnds:
    """Looks at the servers at which requests were cut.

    Parameters
    ----------
    guard : Guard
        Told of those that ended.
    balancer : LoadBalancer
    directory : Directory
    fetcher : Fetcher
    clock : Clock
    """

    def __init__(
        self,
        guard: Guard,
        balancer: LoadBalancer,
        directory: Directory,
        fetcher: Fetcher,
        clock: Clock,
    ):
        self.guard = guard
        self.balancer = balancer
        self.directory = directory
        self.fetcher = fetcher
        self.clock = clock
        self.looking: set[asyncio.Task] = set()

    def watch(self, permit: Permit, servers: Iterable[BackendServer]) -> None:
        """Look at the servers at which an unanswered request was cut."""
        for server in servers:
            if len(self.looking) >= MOST_WATCHED:
                log.debug("Too many cut requests; {} is not looked at.", server.id)
                return
            task = asyncio.create_task(self.look(permit, server))
            self.looking.add(task)
            task.add_done_callback(self.looking.discard)

    async def look(self, permit: Permit, server: BackendServer) -> None:
        """Look at one server, and tell the guard where it has ended."""
        for pause in LOOKS:
            await self.clock.sleep(pause)
            if await self.has_ended(server):
                self.note(permit, server)
                return

    async def has_ended(self, server: BackendServer) -> bool:
        """Tell whether a server is gone, without a new connection where one is open."""
        if self.fetcher.connected(server.address):
            return False
        return await is_gone(self.directory, self.fetcher, server)

    def note(self, permit: Permit, server: BackendServer) -> None:
        """Take that a server ended under a request that was cut there."""
        self.balancer.record_gone(server)
        self.guard.note_end(permit, server.start)
        self.guard.close(permit, ran=True)
        logs.event(
            log,
            "A server ended after a request was cut there.",
            request=permit.request,
            fingerprint=permit.fingerprint,
            server=server.id,
            ended=True,
        )
