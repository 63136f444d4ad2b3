"""Hedging: send a write to the store again if its answer is late.

The store may carry out writes but lose their answers, for some seconds a third to a
half of them. Each lost answer delayed a result or a claim, and whatever depended on it,
by the time-out of 1.5 s: items were claimed up to 3.1 s after their step, and results
were stored 5 s after they were ready. Writes are idempotent: each one either depends on
a condition or has the same effect however often it is sent.
"""

import asyncio

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.outcomes import Committed, Conflict, Unavailable, Unknown, WriteOutcome
from gypsumshift.platforms import RowStore, StoreWrapper, Write
from gypsumshift.policy import DEFAULT_POLICY, Policy
from gypsumshift.storepath import StorePath

__all__ = ["AverageAnswerTime", "HedgedStore"]

# Maximum number of copies of one write. With three, one write in ten gets no answer
# while half of the answers are lost.
MAX_COPIES = 3
# Minimum and maximum delay before another copy is sent. A transaction takes 5 to 10 ms;
# with a shorter minimum, a host that is briefly busy would send writes twice.
MIN_HEDGE_DELAY_S = 0.15
MAX_HEDGE_DELAY_S = 1.0
# Multiple of the average answer time after which a copy is sent. A store that is slow
# for all calls does not answer sooner if writes are sent twice.
SLOW_FACTOR = 4.0
# Weight of the newest answer in the average, which thus covers about five answers: a
# store that becomes slow is detected before the writes of a second are doubled.
NEWEST_WEIGHT = 0.2

log = logs.logger("hedging")


class AverageAnswerTime:
    """Moving average of the store's answer time for writes, in seconds."""

    def __init__(self):
        self.average = 0.0

    def record(self, took: float) -> None:
        """Add the time that an answer took, in seconds."""
        self.average = self.average or took
        self.average += NEWEST_WEIGHT * (took - self.average)

    def hedge_delay(self) -> float:
        """Return the delay in seconds before another copy of a write is sent."""
        return min(
            max(SLOW_FACTOR * self.average, MIN_HEDGE_DELAY_S), MAX_HEDGE_DELAY_S
        )


class HedgedStore(StoreWrapper):
    """Store that sends a write again if its answer is late.

    Parameters
    ----------
    inner : RowStore
    path : StorePath
        Provides whether the store answers at all; if not, writes are not repeated.
    clock : Clock
    policy : Policy
    """

    def __init__(
        self,
        inner: RowStore,
        path: StorePath,
        clock: Clock,
        policy: Policy = DEFAULT_POLICY,
    ):
        self.max_copies = MAX_COPIES if policy.hedged_writes else 1
        super().__init__(inner)
        self.path = path
        self.clock = clock
        self.answer_time = AverageAnswerTime()

    async def commit(self, writes: list[Write]) -> WriteOutcome:
        """Apply all writes, or none if a condition does not hold.

        If a copy finds the rows of an earlier copy already written, the outcome is a
        conflict, as for a write that is repeated after a time-out.
        """
        copies: set[asyncio.Task] = set()
        try:
            return await self.race_copies(writes, copies)
        finally:
            for copy in copies:
                copy.cancel()

    async def race_copies(
        self, writes: list[Write], copies: set[asyncio.Task]
    ) -> WriteOutcome:
        """Send copies until one has a certain outcome; else return an uncertain one."""
        ended: list[WriteOutcome] = []
        sent = 0
        while True:
            if sent < self.max_copies and (not sent or self.may_send_copy(ended)):
                copies.add(asyncio.create_task(self.send_copy(writes)))
                sent += 1
            delay = self.answer_time.hedge_delay() if sent < self.max_copies else None
            done, _ = await asyncio.wait(
                copies, timeout=delay, return_when=asyncio.FIRST_COMPLETED
            )
            copies -= done
            ended += [task.result() for task in done]
            for outcome in ended:
                if isinstance(outcome, (Committed, Conflict)):
                    return outcome
            if not copies:
                return self.uncertain_outcome(ended)

    def may_send_copy(self, ended: list[WriteOutcome]) -> bool:
        """Return whether another copy is worth sending."""
        return not ended and self.path.reaches_store

    async def send_copy(self, writes: list[Write]) -> WriteOutcome:
        """Send one copy of a write, and record the time until its answer."""
        started = self.clock.monotonic()
        outcome = await self.inner.commit(writes)
        if isinstance(outcome, (Committed, Conflict)):
            self.answer_time.record(self.clock.monotonic() - started)
        return outcome

    def uncertain_outcome(self, ended: list[WriteOutcome]) -> Unavailable | Unknown:
        """Return the outcome of a write none of whose copies had a certain outcome.

        It is unknown if any copy may have been carried out.
        """
        unknown = [outcome for outcome in ended if isinstance(outcome, Unknown)]
        return unknown[0] if unknown else ended[0]
