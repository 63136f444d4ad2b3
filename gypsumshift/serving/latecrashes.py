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
from gypsumshift.serving.crashguard import CrashGuard, Permit
from gypsumshift.serving.directory import BackendServer, Directory
from gypsumshift.serving.liveness import is_gone
from gypsumshift.serving.pool import Pool

__all__ = ["LateCrashDetector"]

# Seconds between the cut and the first look, and from each look to the next. Most
# servers drop a request that is cut; what goes on is over within some service times.
CHECK_DELAYS_S = (0.1, 0.4, 1.5)
# Servers that are looked at at once.
MAX_CHECKS = 64

log = logs.logger("lateends")


class LateCrashDetector:
    """Looks at the servers at which requests were cut.

    Parameters
    ----------
    guard : CrashGuard
        Told of those that ended.
    pool : Pool
    directory : Directory
    fetcher : Fetcher
    clock : Clock
    """

    def __init__(
        self,
        guard: CrashGuard,
        pool: Pool,
        directory: Directory,
        fetcher: Fetcher,
        clock: Clock,
    ):
        self.guard = guard
        self.pool = pool
        self.directory = directory
        self.fetcher = fetcher
        self.clock = clock
        self.checks: set[asyncio.Task] = set()

    def check_servers(self, permit: Permit, servers: Iterable[BackendServer]) -> None:
        """Look at the servers at which an unanswered request was cut."""
        for server in servers:
            if len(self.checks) >= MAX_CHECKS:
                log.debug("Too many cut requests; {} is not looked at.", server.id)
                return
            task = asyncio.create_task(self.check_server(permit, server))
            self.checks.add(task)
            task.add_done_callback(self.checks.discard)

    async def check_server(self, permit: Permit, server: BackendServer) -> None:
        """Look at one server, and tell the guard where it has ended."""
        for pause in CHECK_DELAYS_S:
            await self.clock.sleep(pause)
            if await self.has_crashed(server):
                self.record_crash(permit, server)
                return

    async def has_crashed(self, server: BackendServer) -> bool:
        """Tell whether a server is gone, without a new connection where one is open."""
        if self.fetcher.connected(server.address):
            return False
        return await is_gone(self.directory, self.fetcher, server)

    def record_crash(self, permit: Permit, server: BackendServer) -> None:
        """Take that a server ended under a request that was cut there."""
        self.pool.crashed(server)
        self.guard.record_crash(permit, server.start)
        self.guard.release_permit(permit, ran=True)
        logs.event(
            log,
            "A server ended after a request was cut there.",
            request=permit.request,
            fingerprint=permit.fingerprint,
            server=server.id,
            ended=True,
        )
