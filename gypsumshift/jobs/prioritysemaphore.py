"""Gate: lets a few in at once, those of the lowest rank first."""

import asyncio
import contextlib
import heapq
import itertools
from collections.abc import AsyncIterator

__all__ = ["PrioritySemaphore"]


class PrioritySemaphore:
    """Semaphore whose waiters are served by rank, then in the order of their coming.

    Parameters
    ----------
    places : int
        Holders at once.
    """

    def __init__(self, places: int):
        self.places = places
        self.free = places
        self.waiting: list[tuple[tuple, int, asyncio.Future]] = []
        self.numbers = itertools.count()

    @contextlib.asynccontextmanager
    async def enter(self, rank: tuple) -> AsyncIterator[None]:
        """Hold a place for the time of the block; the lowest rank waits least."""
        await self.acquire(rank)
        try:
            yield
        finally:
            self.release()

    def resize(self, places: int) -> None:
        """Have another number of holders; who holds a place already keeps it."""
        added = places - self.places
        self.places = places
        if added < 0:
            self.free += added
        for _ in range(added):
            self.release()

    async def acquire(self, rank: tuple) -> None:
        """Wait for a place."""
        if self.free > 0:
            self.free -= 1
            return
        turn = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiting, (rank, next(self.numbers), turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                # The place was granted while the waiter was being cancelled.
                self.release()
            raise

    def release(self) -> None:
        """Pass a place on to the next waiter, unless there are fewer places now."""
        while self.waiting and self.free >= 0:
            turn = heapq.heappop(self.waiting)[2]
            if not turn.done():
                turn.set_result(None)
                return
        self.free += 1
