"""Flood the application servers through all gateways while half of them are slow."""

import asyncio
import math
import random
import signal
import time

import attrs

from soak.deployment import Deployment, Process
from soak.keys import CROWD_WORKSPACES, FLOODER
from soak.workload import Workload

__all__ = ["RECOVERY_S", "CrowdRequest", "Crowding", "CrowdingPeriod"]

# Range of the duration of a flood, and the part of the run in which the first begins.
FLOOD_S = (3.0, 5.0)
START_SHARES = (0.1, 0.6)
# Requests per second of the flood, as a multiple of what all servers can do.
FLOOD_FACTOR = 1.5
# Requests per second of each workspace that does not flood; of all after a flood.
CALM_RATE = 12.0
# Requests of one workspace that are open at once; the caller waits above that.
MAX_OPEN = 150
# Time after a flood within which every workspace is served again, and for which
# requests are sent after it.
RECOVERY_S = 3.0
AFTER_S = 4.0
# Factors by which half of the servers are slowed down; 0 suspends them.
SLOWDOWNS = (0, 4, 8)


@attrs.frozen
class CrowdRequest:
    """A request of a workspace during a flood or after it.

    Attributes
    ----------
    id, workspace : str
    sent_at, answered_at : float
        Unix time in seconds.
    status : int
        0 if there was no complete answer.
    """

    id: str
    workspace: str
    sent_at: float
    answered_at: float
    status: int


@attrs.define
class CrowdingPeriod:
    """One flood with its requests.

    Attributes
    ----------
    started_at, ended_at : float
        Unix time in seconds.
    requests : list of CrowdRequest
        Also those that were sent after it.
    """

    started_at: float
    ended_at: float = math.inf
    requests: list[CrowdRequest] = attrs.field(factory=list)


class Crowding:
    """Floods the application servers from time to time.

    Parameters
    ----------
    deployment : Deployment
    workload : Workload
    seed : int
        Determines the times of the floods, and which servers are slow.
    record_fault : callable
        Receives a line for each flood.
    """

    def __init__(self, deployment: Deployment, workload: Workload, seed, record_fault):
        self.deployment = deployment
        self.workload = workload
        self.rng = random.Random(f"{seed} crowding")
        self.record_fault = record_fault
        self.periods: list[CrowdingPeriod] = []
        self.open_requests: set[asyncio.Task] = set()

    async def run(self, seconds: float) -> None:
        """Flood once while the other faults are injected for a time."""
        if self.deployment.conditions.crowding:
            await asyncio.sleep(seconds * self.rng.uniform(*START_SHARES))
            await self.flood()

    async def run_alone(self) -> None:
        """Flood once without other faults."""
        if self.deployment.conditions.crowding:
            await self.flood()

    async def flood(self) -> None:
        """Flood while half of the servers are slow, and send requests after that."""
        servers = self.deployment.of_kind("app")
        slow = self.rng.sample(servers, math.ceil(len(servers) / 2))
        slowdown = self.rng.choice(SLOWDOWNS)
        span = self.rng.uniform(*FLOOD_S)
        names = ", ".join(process.name for process in slow)
        self.record_fault(f"flood for {span:.1f} s, {names} slowed {slowdown} times")
        period = CrowdingPeriod(time.time())
        self.periods.append(period)
        await self.slow_down(slow, slowdown)
        rates = dict.fromkeys(CROWD_WORKSPACES, CALM_RATE)
        await self.send_all(period, rates | {FLOODER: self.flood_rate()}, span)
        await self.slow_down(slow, 1)
        period.ended_at = time.time()
        rates = dict.fromkeys(CROWD_WORKSPACES, CALM_RATE)
        await self.send_all(period, rates, AFTER_S)
        await asyncio.gather(*self.open_requests)

    def flood_rate(self) -> float:
        """Return the requests per second of the flood."""
        conditions = self.deployment.conditions
        places = self.deployment.nodes * conditions.app_slots
        return FLOOD_FACTOR * places / (conditions.app_work_ms / 1000)

    async def slow_down(self, servers: list[Process], slowdown: float) -> None:
        """Set the slowdown of servers; 0 suspends them, 1 also resumes them."""
        for process in servers:
            process.signal(signal.SIGCONT if slowdown else signal.SIGSTOP)
            if slowdown:
                await self.deployment.set_slowdown(process, slowdown)

    async def send_all(self, period, rates: dict[str, float], span: float) -> None:
        """Send the requests of all workspaces for a time, without awaiting the last."""
        senders = [self.send_at_rate(period, *item, span) for item in rates.items()]
        await asyncio.gather(*senders)

    async def send_at_rate(self, period, workspace: str, rate: float, span) -> None:
        """Send requests of a workspace at random times for a time."""
        loop = asyncio.get_running_loop()
        until = loop.time() + span
        places = asyncio.Semaphore(MAX_OPEN)
        next_at = loop.time()
        while (next_at := next_at + self.rng.expovariate(rate)) < until:
            await asyncio.sleep(next_at - loop.time())
            await places.acquire()
            task = asyncio.create_task(self.send(period, workspace))
            task.add_done_callback(lambda _: places.release())
            self.open_requests.add(task)
            task.add_done_callback(self.open_requests.discard)

    async def send(self, period: CrowdingPeriod, workspace: str) -> None:
        """Send one request of a workspace, and record its answer."""
        request_id = self.workload.new_id()
        key = self.workload.keys.use_crowd_key(request_id, workspace)
        sent_at = time.time()
        answer = await self.workload.send_request(
            "POST", "/app/1", request_id, request_id.encode(), key=key
        )
        if answer is not None:
            self.workload.check_answer(request_id, *answer)
        status = answer[0] if answer is not None else 0
        period.requests.append(
            CrowdRequest(request_id, workspace, sent_at, time.time(), status)
        )
