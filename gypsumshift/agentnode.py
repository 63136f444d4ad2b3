"""Agent node: the process beside a model engine."""

import asyncio

from gypsumshift import logs
from gypsumshift.jobs.agent import Agent
from gypsumshift.jobs.engine import EngineClient
from gypsumshift.jobs.heartbeatwriter import STORE_WRITES
from gypsumshift.jobs.liveness import NO_PROBE, LivenessProbe
from gypsumshift.jobs.localengine import AgentIdentity
from gypsumshift.lifecycle import Node
from gypsumshift.policy import DEFAULT_POLICY, Policy
from gypsumshift.serving.crashguard import CrashGuard
from gypsumshift.serving.forwarder import Forwarder
from gypsumshift.serving.loadbalancer import LoadBalancer
from gypsumshift.serving.sender import Sender

__all__ = ["AgentNode"]

log = logs.logger("agent")


class AgentNode(Node):
    """Runs an agent with what it needs.

    Parameters
    ----------
    identity : AgentIdentity
    store : RowStore
    directory : Directory
    watches : list of Watch
        Keep the directory current.
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
        Writes a second that the store takes from all processes.
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
    ):
        self.guard = CrashGuard(store, clock, chance, metrics)
        watches = [*watches, self.guard.table.watch]
        super().__init__(
            directory, watches, LoadBalancer(zone, clock, chance, policy), clock
        )
        directory.on_restart.append(lambda old: fetcher.close_connections(old.address))
        self.balancer.has_idle_connection = fetcher.has_idle_connection
        sender = Sender(directory, self.balancer, fetcher, names, clock, metrics)
        forwarder = Forwarder(sender, self.guard, policy)
        engine = EngineClient(fetcher, names, protocol)
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

    def background_tasks(self):
        """Return what the agent does until it is cancelled."""
        return [self.agent.run(), self.guard.run()]

    async def sweep(self) -> None:
        """Forget what is gone or too old."""
        await super().sweep()
        self.guard.sweep()

    async def drain(self, grace: float) -> None:
        """Give the work back, within ``grace`` seconds."""
        try:
            async with asyncio.timeout(grace):
                await self.agent.drain()
        except TimeoutError:
            # What could not be given back is free once the heartbeats stop.
            log.warning("Not all work was given back in {:.1f} s.", grace)
