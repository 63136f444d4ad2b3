"""Gateway: the process that serves callers and trainers."""

import asyncio
import contextlib
import random

from gypsumshift.accounting import Accounting
from gypsumshift.inbound import PortKind
from gypsumshift.jobs.homewait import HomeWaitLog
from gypsumshift.jobs.jobmanager import JobManager
from gypsumshift.lifecycle import MAX_BODY_BYTES_BY_KIND, Node
from gypsumshift.places import ONE_REGION, Layout
from gypsumshift.platforms import RowStore
from gypsumshift.policy import DEFAULT_POLICY, Policy
from gypsumshift.serving.admissiongate import new_admission_gate
from gypsumshift.serving.authorization import Authorizer
from gypsumshift.serving.coldrates import ColdRates
from gypsumshift.serving.crashguard import CrashGuard
from gypsumshift.serving.demand import DemandTable
from gypsumshift.serving.forwarder import Forwarder
from gypsumshift.serving.loadbalancer import LoadBalancer
from gypsumshift.serving.sender import Sender
from gypsumshift.serving.streams import StreamRelay
from gypsumshift.watch import Watch

__all__ = ["Gateway"]

# Maximum size of a request body unless the configuration sets another one. A batch
# job of 100 items has about 200 kB.
# Time at the end of a drain for writing the last usage counts. A slow store answers
# once within it.
FINAL_FLUSH_TIMEOUT_S = 0.3
# Share of a drain in which new connections are accepted. The external load balancer
# probes readiness every second and sends new connections elsewhere after two probes.
LISTEN_SHARE = 0.4
# Time between the end of the last calls and that of a drain, to send their answers.
ANSWER_MARGIN_S = 0.1
# Time without current data from the store after which the gateway is not ready, so that
# callers are sent to another one.
STORE_STALE_AFTER_S = 2.5


class Gateway(Node):
    """Serves routed requests and batch jobs.

    Parameters
    ----------
    store : RowStore
    directory : Directory
    directory_watches : list of Watch
        Keep the directory up to date.
    authorizer : Authorizer
    accounting : Accounting or None
        None if the deployment does not report usage.
    names : HeaderNames
    zone : str
    clock : Clock
    fetcher : Fetcher
    chance : random.Random
    metrics : Metrics
    policy : Policy
    name : str
        Name of the process, under which it reports the demand of its callers.
    layout : Layout
        Regions of the zones.
    """

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
        policy: Policy = DEFAULT_POLICY,
        name: str = "",
        layout: Layout = ONE_REGION,
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
            directory,
            watches,
            LoadBalancer(zone, clock, chance, policy, layout),
            clock,
        )
        directory.on_restart.append(lambda old: fetcher.close_connections(old.address))
        self.balancer.has_idle_connection = fetcher.has_idle_connection
        if layout.has_regions:
            fetcher.on_connect = self.balancer.round_trips.record_connection
        usage = accounting.counter if accounting else None
        sender = Sender(directory, self.balancer, fetcher, names, clock, metrics, usage)
        manager = self.job_manager
        manager.may_read = lambda job_id: sender.residency.may_read(
            manager.find_known(job_id)
        )
        self.home_wait_log = HomeWaitLog(sender.residency, manager, metrics)
        self.sender = sender
        self.demand = DemandTable(name, clock)
        gate = new_admission_gate(sender, self.demand, chance, policy)
        self.forwarder = Forwarder(sender, self.guard, policy, gate)
        self.streams = StreamRelay(self.forwarder)
        self.draining = False

    def limit_cold_rates(self, cold_rates: ColdRates) -> None:
        """Limit the calls and streams to servers that have just started."""
        self.cold_rates = self.sender.cold_rates = cold_rates
        self.balancer.permitted = cold_rates.permitted
        self.balancer.cold_rate = cold_rates.cold_rate
        cold_rates.proofs.links = self.sender.fetcher.open_connections

    @property
    def ready(self) -> bool:
        """Whether the gateway accepts new callers."""
        if self.draining or not self.directory.routes.version:
            return False
        if not self.guard.loaded or not self.authorizer.ready:
            return False
        newest = max(watch.current_at for watch in self.directory_watches)
        return self.clock.monotonic() - newest < STORE_STALE_AFTER_S

    async def sweep(self) -> None:
        """Apply the configured limits on callers, and remove outdated data."""
        await super().sweep()
        routes = self.directory.routes
        for port in self.ports:
            if port.server.kind is PortKind.CALLERS:
                limit = routes.body_limit or MAX_BODY_BYTES_BY_KIND[PortKind.CALLERS]
                port.server.max_body_bytes = limit
                port.server.client_limits = routes.client_limits
        self.guard.sweep()
        self.home_wait_log.update()
        self.demand.prune()
        await self.job_manager.remove_expired_jobs(self.chance)

    def background_tasks(self):
        """Return the coroutines of the crash guard and of usage accounting."""
        accounting = self.accounting.background_tasks() if self.accounting else []
        return [self.guard.run(), *accounting]

    async def drain(self, grace: float) -> None:
        """Report not ready, finish the requests in progress, then close the ports.

        Requests that arrive meanwhile are served if they can end before.
        """
        self.draining = True
        end_at = self.clock.monotonic() + grace
        self.sender.calls.end_all_by(end_at - ANSWER_MARGIN_S)
        # Runs concurrently: the store may be slow, and the requests in progress need
        # the whole grace period.
        accounting = asyncio.create_task(self.stop_usage_duty())
        servers = [port.server for port in self.ports if not port.open_while_draining]
        for server in servers:
            server.draining = True
        # Idle connections are closed after their next response.
        await self.clock.sleep(LISTEN_SHARE * grace)
        for server in servers:
            left = max(end_at - self.clock.monotonic(), 0.0)
            await server.stop(left, answers_rest=True)
        accounting.cancel()
        await asyncio.wait({accounting})
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FINAL_FLUSH_TIMEOUT_S):
                await self.flush_usage()

    async def stop_usage_duty(self) -> None:
        """Release the duty of reporting usage; counts are still written."""
        if self.accounting:
            await self.accounting.stop_duty()

    async def flush_usage(self) -> None:
        """Write the usage counts that have not been written yet."""
        if self.accounting:
            await self.accounting.writer.flush()
