"""Turn gate: work that holds the event loop is done one piece per turn of the loop.

Parsing a head with thousands of fields, or a body in chunks of one byte, takes the
event loop far longer than its size suggests. Each alone is legal. Through the gate, one
client at a time does such work, so that the others get a turn after each piece.
"""

import asyncio
import collections
import contextlib
import heapq
import itertools

__all__ = [
    "LARGE_HEAD_BYTES",
    "PIECES_PER_TURN",
    "SMALL_PIECE_BYTES",
    "TurnGate",
    "TurnsExhausted",
]

# A head above this size may have hundreds of fields, which take the event loop
# milliseconds to parse.
LARGE_HEAD_BYTES = 2 * 1024
# Pieces of a body below this size cost more to parse than to receive.
SMALL_PIECE_BYTES = 512
# Small pieces that are parsed in one turn of the event loop.
PIECES_PER_TURN = 32
# Longest time that one request waits for the gate. Few such requests fit into it beside
# each other, so that the others are refused while their callers can still retry.
WAIT_TIMEOUT_S = 3.0


class TurnsExhausted(Exception):
    """Raised if a request could not get its turns within the time limit."""


class TurnGate:
    """Gate that one request passes at a time.

    Every other turn is for requests that have had none, in the order of their arrival
    at the gate, so that one that needs a single turn does not wait for those that need
    thousands. The others go to the earliest request, so that it completes.

    Attributes
    ----------
    busy : bool
        Whether a request holds the gate.
    first_turns : deque of Future
        Of the requests that wait for their first turn.
    further_turns : list
        Heap of (start, number, future) of the others that wait.
    prefers_first : bool
        Whether the next turn is for a request that has had none.
    """

    def __init__(self):
        self.busy = False
        self.first_turns: collections.deque[asyncio.Future] = collections.deque()
        self.further_turns: list[tuple[float, int, asyncio.Future]] = []
        self.numbers = itertools.count()
        self.prefers_first = True

    @property
    def is_wanted(self) -> bool:
        """Whether requests may be waiting."""
        return bool(self.first_turns or self.further_turns)

    async def enter(self, started: float, first: bool = True) -> None:
        """Wait for the gate; raise `TurnsExhausted` after the time limit.

        Parameters
        ----------
        started : float
            When the request began, by the clock of the event loop.
        first : bool
            Whether the request has not had a turn yet.
        """
        if not self.busy:
            self.busy = True
            return
        granted = asyncio.get_running_loop().create_future()
        if first:
            self.first_turns.append(granted)
        else:
            entry = started, next(self.numbers), granted
            heapq.heappush(self.further_turns, entry)
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
        """Give the gate to the next request that waits."""
        while self.is_wanted:
            granted = self.take_next()
            if not granted.done():
                granted.set_result(None)
                return
        self.busy = False

    def take_next(self) -> asyncio.Future:
        """Remove and return the request whose turn it is."""
        takes_first = self.prefers_first and self.first_turns
        self.prefers_first = not self.prefers_first
        if takes_first or not self.further_turns:
            return self.first_turns.popleft()
        return heapq.heappop(self.further_turns)[2]

    @contextlib.asynccontextmanager
    async def turn(self, started: float):
        """Hold the gate for one piece of work, in a turn of its own."""
        await self.enter(started)
        try:
            yield
        finally:
            self.leave()
