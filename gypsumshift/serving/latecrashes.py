"""Detection of servers that crash after a request to them was aborted.

If a caller disconnects or a deadline passes before the server crashes, no connection is
left that would show the crash. The servers of an aborted, unanswered request are
therefore checked a few times. A server with an open idle connection counts as running;
only without one is a new connection opened, and kept.
"""

import asyncio
from collections.abc import Iterable

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.httpclient import Fetcher
from gypsumshift.roundtrips import CONNECT_ROUND_TRIPS
from gypsumshift.serving.crashguard import CrashGuard, Permit
from gypsumshift.serving.directory import BackendServer, Directory
from gypsumshift.serving.liveness import is_gone
from gypsumshift.serving.loadbalancer import LoadBalancer

__all__ = ["LateCrashDetector"]

# Delays from the abort to the first check, and between checks. Most servers stop
# processing an aborted request; others finish it within a few service times.
CHECK_DELAYS_S = (0.1, 0.4, 1.5)
# Maximum number of servers being checked at the same time.
MAX_CHECKS = 64

log = logs.logger("lateends")


class LateCrashDetector:
    """Checks whether servers crashed after a request to them was aborted.

    Parameters
    ----------
    guard : CrashGuard
        Records the detected crashes.
    balancer : LoadBalancer
    directory : Directory
    fetcher : Fetcher
    clock : Clock
    """

    def __init__(
        self,
        guard: CrashGuard,
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
        self.checks: set[asyncio.Task] = set()

    def check_servers(self, permit: Permit, servers: Iterable[BackendServer]) -> None:
        """Start checks of the servers at which an unanswered request was aborted."""
        for server in servers:
            if len(self.checks) >= MAX_CHECKS:
                log.debug(
                    "{} server checks are running, the limit; server {} and any others "
                    "of the request are not checked for a crash.",
                    MAX_CHECKS,
                    server.id,
                )
                return
            task = asyncio.create_task(self.check_server(permit, server))
            self.checks.add(task)
            task.add_done_callback(self.checks.discard)

    async def check_server(self, permit: Permit, server: BackendServer) -> None:
        """Check one server repeatedly, and record a crash if it is gone."""
        for pause in CHECK_DELAYS_S:
            await self.clock.sleep(pause)
            if await self.has_crashed(server):
                self.record_crash(permit, server)
                return

    async def has_crashed(self, server: BackendServer) -> bool:
        """Return whether a server crashed; an idle connection proves the opposite."""
        if self.fetcher.has_idle_connection(server.address):
            return False
        extra_s = self.balancer.round_trips.extra_s(server.zone, CONNECT_ROUND_TRIPS)
        return await is_gone(self.directory, self.fetcher, server, extra_s)

    def record_crash(self, permit: Permit, server: BackendServer) -> None:
        """Record the crash of a server at which a request was aborted."""
        self.balancer.record_gone(server)
        self.guard.record_crash(permit, server.start)
        self.guard.release_permit(permit, ran=True)
        logs.event(
            log,
            "Server crashed after a request to it was aborted.",
            request=permit.request,
            fingerprint=permit.fingerprint,
            server=server.id,
            ended=True,
        )
