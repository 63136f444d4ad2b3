"""Loops in which an agent claims units, woken when there may be work or capacity."""

import asyncio
from collections.abc import Awaitable, Callable

__all__ = ["ClaimLoops"]


class ClaimLoops:
    """Runs several claims at once, and looks for work only where one may be found.

    A look that finds nothing holds for all idle loops: when each loop looked by itself,
    an event that gave no work cost as many looks as there are loops.

    Parameters
    ----------
    claim_units : callable
        Claims units until there are none, or no capacity, or a claim fails. It calls
        `note_nothing_found` where it ends because of one of the first two.
    count : int
        Number of loops.
    period : float
        Seconds without a look after which idle loops look again.

    Attributes
    ----------
    events : list of asyncio.Event
        One for each loop; set when there may be work or capacity.
    idle : set of asyncio.Event
        Events of the loops that wait.
    looked_at : float
        When an idle loop last began to look, by the event loop's clock, in seconds.
    """

    def __init__(
        self, claim_units: Callable[[], Awaitable[None]], count: int, period: float
    ):
        self.claim_units = claim_units
        self.period = period
        self.events = [asyncio.Event() for _ in range(count)]
        self.idle: set[asyncio.Event] = set()
        self.looked_at = 0.0

    def wake(self) -> None:
        """Wake all loops, as units or capacity may have become available."""
        for event in self.events:
            event.set()

    def note_nothing_found(self) -> None:
        """Cancel the looks of the idle loops, which would find nothing either.

        A loop that waits for the answer to a claim keeps its event: it has to look
        again when the answer releases capacity.
        """
        for event in self.idle:
            event.clear()

    async def run(self) -> None:
        """Run all loops until cancelled."""
        async with asyncio.TaskGroup() as group:
            for event in self.events:
                group.create_task(self.run_loop(event))
            group.create_task(self.run_poll_loop())

    async def run_loop(self, event: asyncio.Event) -> None:
        """Claim units each time that the event is set."""
        event.set()
        while True:
            self.idle.add(event)
            await event.wait()
            self.idle.discard(event)
            # The look of another loop may have cleared the event meanwhile.
            if event.is_set():
                event.clear()
                self.looked_at = asyncio.get_running_loop().time()
                await self.claim_units()

    async def run_poll_loop(self) -> None:
        """Wake the idle loops when none has looked for a period."""
        now = asyncio.get_running_loop().time
        while True:
            left = self.looked_at + self.period - now()
            if left <= 0:
                for event in self.idle:
                    event.set()
                left = self.period
            await asyncio.sleep(left)
