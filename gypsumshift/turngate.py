"""Turn gate: work that holds the event loop is done one piece per turn of the loop.

Parsing a head with thousands of fields, or a body in chunks of one byte, takes the
event loop far longer than its size suggests. Each alone is legal. Through the gate, one
client at a time does such work, so that the others get a turn after each piece.
"""

import asyncio
import contextlib
import heapq
import itertools

__all__ = ["TurnGate", "TurnsExhausted"]

# Longest time that one request waits for the gate. Few such requests fit into it beside
# each other, so that the others are refused while their callers can still retry.
WAIT_TIMEOUT_S = 3.0


class TurnsExhausted(Exception):
    """Raised if a request could not get its turns within the time limit."""


class TurnGate:
    """Gate that one request passes at a time; the earliest request comes first.

    Attributes
    ----------
    busy : bool
        Whether a request holds the gate.
    waiting : list
        Heap of (start, number, future) of the requests that wait.
    """

    def __init__(self):
        self.busy = False
        self.waiting: list[tuple[float, int, asyncio.Future]] = []
        self.numbers = itertools.count()

    async def enter(self, started: float) -> None:
        """Wait for the gate; raise `TurnsExhausted` after the time limit.

        Parameters
        ----------
        started : float
            When the request began, by the clock of the event loop.
        """
        if not self.busy:
            self.busy = True
            return
        granted = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiting, (started, next(self.numbers), granted))
        try:
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                await granted
        except BaseException as error:
            if granted.done() and not granted.cancelled():
                self.leave()
            if isinstance(error, TimeoutError):
                raise TurnsExhausted from error
            raise

    def leave(self) -> None:
        """Pass the gate on in the next turn of the event loop."""
        asyncio.get_running_loop().call_soon(self.pass_on)

    def pass_on(self) -> None:
        """Give the gate to the earliest request that waits."""
        while self.waiting:
            granted = heapq.heappop(self.waiting)[2]
            if not granted.done():
                granted.set_result(None)
                return
        self.busy = False

    @contextlib.asynccontextmanager
    async def turn(self, started: float):
        """Hold the gate for one piece of work, in a turn of its own."""
        await self.enter(started)
        try:
            yield
        finally:
            self.leave()
