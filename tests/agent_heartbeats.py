"""Builder of an agent that has completed a job, for tests of its heartbeats."""

import asyncio

from gypsumshift.jobs.heartbeatwriter import HEARTBEAT_PERIOD
from tests.job_builders import FakeEngine, JobCluster
from tests.virtual_time import LoopClock


async def agent_with_results(length):
    """Run a job whose items have an estimate of 10 tokens; return the heartbeat.

    Parameters
    ----------
    length : int
        Number of events of each item.
    """
    world = JobCluster()
    agent = world.agent("a", FakeEngine(length), clock=LoopClock())
    await world.submit(groups=2)
    await world.results()
    await asyncio.sleep(2 * HEARTBEAT_PERIOD)
    heartbeat = agent.peers.last_heartbeat("a")
    await world.close()
    return heartbeat
