"""Gateway: the process that callers and trainers connect to."""

import asyncio
import contextlib
import random

from gypsumshift.accounting import Accounting
from gypsumshift.jobs.jobmanager import JobManager
from gypsumshift.lifecycle import Node
from gypsumshift.platforms import RowStore
from gypsumshift.policy import DEFAULT, Policy
from gypsumshift.serving.authorization import Authorizer
from gypsumshift.serving.crashguard import CrashGuard
from gypsumshift.serving.forwarder import Forwarder
from gypsumshift.serving.loadbalancer import LoadBalancer
from gypsumshift.serving.sender import Sender
from gypsumshift.serving.streams import StreamRelay
from gypsumshift.watch import Watch

__all__ = ["Gateway"]

# Bytes of a request's body, until the configuration says; a batch job of 100 items
# has some 200 kB.
BODY_LIMIT = 64 * 1024 * 1024
# Seconds at the very end for the last counts of usage: two answers of the store.
LAST_COUNTS_TIMEOUT = 0.5
# Seconds without the store after which callers are better served elsewhere.
STORE_SILENCE = 2.5


class Gateway(Node):
    """Serves routed requests and batch jobs.

    Parameters
    ----------
    store : RowStore
    directory : Directory
    directory_watches : list of Watch
        Keep the directory current.
    authorizer : Authorizer
    accounting : Accounting or None
        None where no usage is told.
    names : HeaderNames
    zone : str
    clock : Clock
    fetcher : Fetcher
    chance : random.Random
    metrics : Metrics
    policy : Policy
    """

    body_limit = BODY_LIMIT

    def __init__(
        self,
        store,
        directory,
        directory_watches,
        authorizer,
        accounting,
        names,
        zone,
        clock,
        fetcher,
        chance,
        metrics,
        policy: Policy = DEFAULT,
    ):
        self.store: RowStore = store
        self.authorizer: Authorizer = authorizer
        self.accounting: Accounting | None = accounting
        self.chance: random.Random = chance
        self.job_manager = JobManager(store, clock, metrics)
        self.directory_watches: list[Watch] = directory_watches
        self.guard = CrashGuard(store, clock, chance, metrics)
        watches = [
            *directory_watches,
            *self.job_manager.watches,
            self.guard.table.watch,
        ]
        super().__init__(
            directory, watches, LoadBalancer(zone, clock, chance, policy), clock
        )
        directory.on_restart.append(lambda old: fetcher.cut(old.address))
        self.balancer.has_idle_connection = fetcher.connected
        usage = accounting.counter if accounting else None
        sender = Sender(directory, self.balancer, fetcher, names, clock, metrics, usage)
        self.forwarder = Forwarder(sender, self.guard, policy)
        self.streams = StreamRelay(self.forwarder)
        self.leaving = False

    @property
    def ready(self) -> bool:
        """Whether new callers should come here."""
        if self.leaving or not self.directory.routes.version:
            return False
        if not self.guard.loaded or not self.authorizer.ready:
            return False
        newest = max(watch.current_at for watch in self.directory_watches)
        return self.clock.monotonic() - newest < STORE_SILENCE

    async def sweep(self) -> None:
        """Put the limit of the configuration in force, and forget what is gone."""
        await super().sweep()
        for port in self.ports:
            port.server.body_limit = self.directory.routes.body_limit or BODY_LIMIT
        self.guard.sweep()
        await self.job_manager.remove_expired_jobs(self.chance)

    def work(self):
        """Return what else the gateway does until it is cancelled."""
        accounting = self.accounting.work() if self.accounting else []
        return [self.guard.run(), *accounting]

    async def drain(self, grace: float) -> None:
        """Send callers elsewhere, finish what runs, then close."""
        self.leaving = True
        # Beside the rest: the store may be slow, and callers need all of the time.
        accounting = asyncio.create_task(self.leave_accounting())
        leaving = [port.server for port in self.ports if not port.always]
        for server in leaving:
            server.leaving = True
        # Idle connections end with their next answer; two questions of the
        # balancer, a second apart, take new ones elsewhere.
        await self.clock.sleep(grace / 2)
        for server in leaving:
            await server.stop(grace / 2)
        accounting.cancel()
        await asyncio.wait({accounting})
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAST_COUNTS_TIMEOUT):
                await self.write_last_counts()

    async def leave_accounting(self) -> None:
        """Have another host tell the usage; this one goes on writing its counts."""
        if self.accounting:
            await self.accounting.leave()

    async def write_last_counts(self) -> None:
        """Write the usage that was counted since the counts were written last."""
        if self.accounting:
            await self.accounting.log.flush()
