"""Rewards: how many reward calls an agent has under way.

The decision answers an application that serves callers and scores samples with the same
places. Whatever the number of agents, their reward calls together leave about half of
the places to callers, also while the application is slow and each call holds one for
longer: with three calls of each agent, 19 agents held 57 of 36 places, and callers'
requests stood behind them.
"""

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator

from gypsumshift.clock import Clock
from gypsumshift.jobs.prioritysemaphore import PrioritySemaphore
from gypsumshift.jobs.records import RewardCall
from gypsumshift.serving.directory import Directory

__all__ = ["RewardLimiter", "share_of_places"]

# Part of an application's places that reward calls of all agents may take, rounded up
# for each agent. Half of 36 places carries the 280 calls of a step, of 80 ms each, in a
# third of the time between two steps.
REWARD_SHARE = 0.5
# Calls under way where the application's places are not known yet.
UNKNOWN_SHARE = 1.0
# Calls of one agent at the most, however few agents there are.
MOST = 8
# Seconds for which a call keeps the next one back at the most: one that took long for
# other reasons says nothing about the next.
MOST_PAUSE = 1.0


def share_of_places(places: int, agents: int) -> float:
    """Return the reward calls that one agent may have under way.

    Parameters
    ----------
    places : int
        Requests that all servers of the application run at once; 0 for unknown.
    agents : int
        Agents that share them.

    Returns
    -------
    float
        Below 1, the part of the time for which it may have a single one.
    """
    if not places:
        return UNKNOWN_SHARE
    return min(REWARD_SHARE * places / max(agents, 1), MOST)


class RewardLimiter:
    """Lets reward calls through, those of the lowest rank first.

    Parameters
    ----------
    clock : Clock
    directory : Directory
        Lists the application's servers and the engines.
    """

    def __init__(self, clock: Clock, directory: Directory):
        self.clock = clock
        self.directory = directory
        self.semaphore = PrioritySemaphore(1)
        self.share = UNKNOWN_SHARE
        self.pausing: set[asyncio.Task] = set()

    def fit(self, reward: RewardCall | None) -> None:
        """Let as many calls be under way as the application of a call has room for."""
        routes = self.directory.routes
        route = routes.find(reward.host, reward.path) if reward else None
        if route is None:
            return
        servers = self.directory.ready_servers(route.service_for(reward.id))
        places = sum(server.slots for server in servers)
        self.set_share(share_of_places(places, len(self.directory.ready_engines())))

    def set_share(self, share: float) -> None:
        """Let so many calls be under way; see `share_of_places`."""
        self.share = share
        self.semaphore.resize(math.ceil(share))

    @contextlib.asynccontextmanager
    async def enter(self, rank: tuple) -> AsyncIterator[None]:
        """Have a call under way for the time of the block."""
        await self.semaphore.acquire(rank)
        began = self.clock.monotonic()
        try:
            yield
        finally:
            self.leave(self.pause(self.clock.monotonic() - began))

    def pause(self, took: float) -> float:
        """Return the seconds for which a call keeps the next one back."""
        if self.share >= 1:
            return 0.0
        return min(took * (1 / self.share - 1), MOST_PAUSE)

    def leave(self, pause: float) -> None:
        """Let the next call in, after a pause."""
        if not pause:
            self.semaphore.release()
            return
        task = asyncio.create_task(self.release_after(pause))
        self.pausing.add(task)
        task.add_done_callback(self.pausing.discard)

    async def release_after(self, pause: float) -> None:
        """Let the next call in after a pause, which holds no result up."""
        await self.clock.sleep(pause)
        self.semaphore.release()
