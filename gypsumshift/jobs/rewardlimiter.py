"""Limit on the reward calls that an agent has in flight.

An application may serve callers and score samples with the same slots. Whatever the
number of agents, their reward calls together leave about half of the slots to callers,
also while the application is slow and each call occupies a slot for longer, or while
some of its servers are lost. With a fixed limit of three calls per agent, 19 agents had
57 calls in flight on 36 slots, and callers' requests queued behind them.
"""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator, Callable

from gypsumshift.clock import Clock
from gypsumshift.jobs.prioritysemaphore import PrioritySemaphore
from gypsumshift.jobs.records import RewardCall
from gypsumshift.serving.directory import BackendServer, Directory
from gypsumshift.serving.routes import Route

__all__ = ["RewardLimiter", "calls_per_agent"]

# Share of an application's slots that the reward calls of all agents may take, rounded
# up for each agent. Half of 36 slots carries the 280 calls of a step, of 80 ms each, in
# a third of the time between two steps.
REWARD_SLOT_SHARE = 0.5
# Calls in flight while the number of the application's slots is unknown.
DEFAULT_CALLS = 1.0
# Maximum of calls in flight per agent, however few agents there are.
MAX_CALLS = 8
# Least number of slots of an application whose servers are listed, but all ejected or
# lost at the moment.
MIN_SLOTS = 1.0
# Maximum delay between the end of a call and the next one, in seconds: a call that took
# long for other reasons says nothing about the next.
MAX_PAUSE = 1.0


def calls_per_agent(slots: float, agents: int) -> float:
    """Return the number of reward calls that one agent may have in flight.

    Parameters
    ----------
    slots : float
        Requests that all servers of the application run at once; 0 for unknown.
    agents : int
        Number of agents that share the slots.

    Returns
    -------
    float
        A value below 1 is the fraction of time in which one call may be in flight.
    """
    if not slots:
        return DEFAULT_CALLS
    return min(REWARD_SLOT_SHARE * slots / max(agents, 1), MAX_CALLS)


def listed_slots(servers: list[BackendServer]) -> float:
    """Return the sum of the slots that servers are listed with."""
    return sum(server.slots for server in servers)


class RewardLimiter:
    """Limits an agent's reward calls in flight, and starts the lowest ranks first.

    Parameters
    ----------
    clock : Clock
    directory : Directory
        Lists the application's servers and the engines.

    Attributes
    ----------
    usable_slots : callable
        Returns the slots of given servers that are usable now; by default the listed
        ones.
    permitted : callable
        Returns those of some servers that may receive the calls of a route and a
        workspace; by default all. See `residency`.
    call_limit : float
        Limit in force; see `calls_per_agent`.
    pause_tasks : set of Task
        Tasks that release a slot of the semaphore after a pause.
    """

    def __init__(self, clock: Clock, directory: Directory):
        self.clock = clock
        self.directory = directory
        self.usable_slots: Callable[[list[BackendServer]], float] = listed_slots
        self.permitted: Callable[
            [Route, str, list[BackendServer]], list[BackendServer]
        ] = lambda route, workspace, servers: servers
        self.semaphore = PrioritySemaphore(1)
        self.call_limit = DEFAULT_CALLS
        self.pause_tasks: set[asyncio.Task] = set()

    def update_limit(self, reward: RewardCall | None, workspace: str = "") -> None:
        """Set the limit by the slots of the application that a reward call goes to.

        The limit stays as it is where the call has no route.

        Parameters
        ----------
        reward : RewardCall or None
        workspace : str
            Workspace of the job.
        """
        routes = self.directory.routes
        route = routes.find(reward.host, reward.path) if reward else None
        if route is None:
            return
        servers = self.directory.ready_servers(route.service_for(reward.id))
        servers = self.permitted(route, workspace, servers)
        slots = max(self.usable_slots(servers), MIN_SLOTS) if servers else 0
        self.set_call_limit(calls_per_agent(slots, len(self.directory.ready_engines())))

    def set_call_limit(self, call_limit: float) -> None:
        """Set the number of calls that may be in flight; see `calls_per_agent`."""
        self.call_limit = call_limit
        self.semaphore.resize(math.ceil(call_limit))

    @contextlib.asynccontextmanager
    async def enter(self, rank: tuple) -> AsyncIterator[None]:
        """Count a call as in flight for the duration of the block."""
        await self.semaphore.acquire(rank)
        started_at = self.clock.monotonic()
        try:
            yield
        finally:
            self.end_call(self.pause_after(self.clock.monotonic() - started_at))

    def pause_after(self, took: float) -> float:
        """Return the seconds to wait after a call that took ``took`` seconds.

        They keep the fraction of time with a call in flight at a limit below 1.
        """
        if self.call_limit >= 1:
            return 0.0
        return min(took * (1 / self.call_limit - 1), MAX_PAUSE)

    def end_call(self, pause: float) -> None:
        """Release the slot of a call that ended, at once or after a pause."""
        if not pause:
            self.semaphore.release()
            return
        task = asyncio.create_task(self.release_after(pause))
        self.pause_tasks.add(task)
        task.add_done_callback(self.pause_tasks.discard)

    async def release_after(self, pause: float) -> None:
        """Release a slot after a pause, in a task so that no result is delayed."""
        await self.clock.sleep(pause)
        self.semaphore.release()
