"""Semaphore that grants its slots by rank, the lowest rank first."""

import asyncio
import contextlib
import heapq
import itertools
from collections.abc import AsyncIterator

__all__ = ["PrioritySemaphore"]


class PrioritySemaphore:
    """Semaphore that serves waiters by rank, and equal ranks in order of arrival.

    Parameters
    ----------
    capacity : int
        Number of slots, each of which has one holder at a time.
    """

    def __init__(self, capacity: int):
        self.capacity = capacity
        self.free = capacity
        self.waiters: list[tuple[tuple, int, asyncio.Future]] = []
        self.arrival_numbers = itertools.count()

    @contextlib.asynccontextmanager
    async def enter(self, rank: tuple) -> AsyncIterator[None]:
        """Hold a slot for the duration of the block; the lowest rank goes first."""
        await self.acquire(rank)
        try:
            yield
        finally:
            self.release()

    def resize(self, capacity: int) -> None:
        """Change the number of slots; current holders keep theirs."""
        added = capacity - self.capacity
        self.capacity = capacity
        if added < 0:
            self.free += added
        for _ in range(added):
            self.release()

    async def acquire(self, rank: tuple) -> None:
        """Take a slot, waiting for one if none is free."""
        if self.free > 0:
            self.free -= 1
            return
        granted = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiters, (rank, next(self.arrival_numbers), granted))
        try:
            await granted
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled():
                # The slot was granted while the waiter was being cancelled.
                self.release()
            raise

    def release(self) -> None:
        """Pass a slot on to the next waiter, unless the capacity was reduced."""
        while self.waiters and self.free >= 0:
            granted = heapq.heappop(self.waiters)[2]
            if not granted.done():
                granted.set_result(None)
                return
        self.free += 1
