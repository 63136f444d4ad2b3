"""Agent node: the process that runs the agent of a model engine."""

import asyncio

from gypsumshift import logs
from gypsumshift.jobs.agent import Agent
from gypsumshift.jobs.engine import EngineClient
from gypsumshift.jobs.heartbeatwriter import STORE_WRITES
from gypsumshift.jobs.jobregions import JobRegions
from gypsumshift.jobs.jobservices import JobServices
from gypsumshift.jobs.liveness import NO_PROBE, LivenessProbe
from gypsumshift.jobs.localengine import AgentIdentity
from gypsumshift.jobs.regionassignment import RegionAssignment
from gypsumshift.lifecycle import Node
from gypsumshift.places import ONE_REGION, Layout
from gypsumshift.policy import DEFAULT_POLICY, Policy
from gypsumshift.residency import ResidencyRules
from gypsumshift.serving.admissiongate import new_admission_gate
from gypsumshift.serving.coldrates import ColdRates
from gypsumshift.serving.crashguard import CrashGuard
from gypsumshift.serving.demand import DemandTable
from gypsumshift.serving.forwarder import Forwarder
from gypsumshift.serving.loadbalancer import LoadBalancer
from gypsumshift.serving.sender import Sender

__all__ = ["AgentNode"]

log = logs.logger("agent")


class AgentNode(Node):
    """Process that runs an agent and the components that the agent needs.

    Parameters
    ----------
    identity : AgentIdentity
    store : RowStore
    directory : Directory
    watches : list of Watch
        Keep the directory up to date.
    names : HeaderNames
    protocol : EngineProtocol
    zone : str
    clock : Clock
    fetcher : Fetcher
    chance : random.Random
    metrics : Metrics
    policy : Policy
    liveness : LivenessProbe
    store_writes : float
        Maximum number of writes a second that the store accepts from all processes.
    layout : Layout
        Regions of the zones.
    """

    def __init__(
        self,
        identity: AgentIdentity,
        store,
        directory,
        watches,
        names,
        protocol,
        zone,
        clock,
        fetcher,
        chance,
        metrics,
        policy: Policy = DEFAULT_POLICY,
        liveness: LivenessProbe = NO_PROBE,
        store_writes: float = STORE_WRITES,
        layout: Layout = ONE_REGION,
    ):
        self.guard = CrashGuard(store, clock, chance, metrics)
        watches = [*watches, self.guard.table.watch]
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
        sender = Sender(directory, self.balancer, fetcher, names, clock, metrics)
        self.sender = sender
        self.demand = DemandTable(identity.name, clock)
        gate = new_admission_gate(sender, self.demand, chance, policy)
        forwarder = Forwarder(sender, self.guard, policy, gate)
        engine = EngineClient(fetcher, names, protocol)
        services = JobServices(directory)
        engine.may_run = lambda job, server: (
            sender.residency.may_run(job, server)
            and services.allows(job, server.service)
        )
        engine.may_send = directory.begin_send
        self.agent = Agent(
            identity,
            store,
            directory,
            engine,
            forwarder,
            names,
            clock,
            chance,
            metrics,
            policy,
            liveness,
            store_writes,
        )
        residency = sender.residency
        self.agent.tracker.may_hold = residency.may_hold
        self.agent.tracker.may_serve = lambda job: services.allows(
            job, identity.service
        )
        self.agent.planner.may_run = residency.may_run
        if layout.has_regions:
            self.prefer_job_regions(residency)
        # The faster engine may be outside the homes.
        self.agent.unit_migrator.may_migrate = lambda job: (
            not residency.of_job(job).is_restricted
        )
        limiter = self.agent.runner.item_runner.reward_limiter
        limiter.usable_slots = self.balancer.usable_slots
        limiter.permitted = residency.permitted_for

    def prefer_job_regions(self, residency: ResidencyRules) -> None:
        """Let the agent leave units to the regions of their jobs."""
        agent = self.agent
        regions = JobRegions(residency, agent.peers, self.clock)
        agent.tracker.regions = regions
        agent.weights.region_assignment = RegionAssignment(residency)
        agent.planner.may_run = lambda job, engine: (
            residency.may_run(job, engine) and regions.may_be_planned(job, engine)
        )

    def limit_cold_rates(self, cold_rates: ColdRates) -> None:
        """Limit the items, orders and reward calls to servers that just started."""
        self.cold_rates = self.sender.cold_rates = cold_rates
        self.balancer.permitted = cold_rates.permitted
        self.balancer.cold_rate = cold_rates.cold_rate
        cold_rates.proofs.links = self.sender.fetcher.open_connections
        local_engine = self.agent.local_engine
        local_engine.cold_rates = local_engine.client.cold_rates = cold_rates

    def background_tasks(self):
        """Return the coroutines of the agent and of the crash guard."""
        return [self.agent.run(), self.guard.run()]

    async def sweep(self) -> None:
        """Remove outdated data about servers and crashes."""
        await super().sweep()
        self.guard.sweep()
        self.demand.prune()

    async def drain(self, grace: float) -> None:
        """Release the agent's units of work within ``grace`` seconds."""
        try:
            async with asyncio.timeout(grace):
                await self.agent.drain()
        except TimeoutError:
            # Other agents claim the remaining units once the heartbeats have stopped.
            log.warning(
                "Not all units were released within {:.1f} s; other agents claim them "
                "once the heartbeats have stopped.",
                grace,
            )
