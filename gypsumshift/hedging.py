"""Hedging: a write to the store that is not answered is sent once more.

The decision answers a store that carries writes out and loses their answers: a third to
a half of them for some seconds. Each one lost held a result or a claim up for the 1.5 s
of a time-out, and what stood behind it as well: items were claimed up to 3.1 s after
their step, and results stored 5 s after they were there (logs of a play). Writes are
idempotent: each holds only under a condition, or is the same however often it is made.
"""

import asyncio

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.neighbours import StorePath
from gypsumshift.outcomes import Committed, Conflict, Unavailable, Unknown, WriteOutcome
from gypsumshift.platforms import RowStore, StoreWrapper, Write
from gypsumshift.policy import DEFAULT_POLICY, Policy

__all__ = ["AverageAnswerTime", "HedgedStore"]

# Copies of one write at the most: of three, one in ten finds no answer where half of
# them are lost.
MAX_COPIES = 3
# Seconds after which a copy is sent, at the least and at the most. A transaction takes
# 5 to 10 ms; with less, a host that is busy for a moment would send twice.
MIN_HEDGE_DELAY_S = 0.15
MAX_HEDGE_DELAY_S = 1.0
# A copy is sent once an answer takes so many times the usual time: a store that is slow
# for all answers nothing sooner when it is asked twice.
SLOW_FACTOR = 4.0
# Weight of the newest answer in the usual time: some five answers back, so that a store
# that turned slow is known before a second's writes have been doubled.
NEWEST_WEIGHT = 0.2

log = logs.logger("hedging")


class AverageAnswerTime:
    """Usual time of the store's answers to writes, in seconds."""

    def __init__(self):
        self.average = 0.0

    def record(self, took: float) -> None:
        """Take the seconds that an answer took."""
        self.average = self.average or took
        self.average += NEWEST_WEIGHT * (took - self.average)

    def hedge_delay(self) -> float:
        """Return the seconds after which a write is sent once more."""
        return min(
            max(SLOW_FACTOR * self.average, MIN_HEDGE_DELAY_S), MAX_HEDGE_DELAY_S
        )


class HedgedStore(StoreWrapper):
    """Store whose writes are sent again where their answers stay away.

    Parameters
    ----------
    inner : RowStore
    path : StorePath
        Tells whether the store answers at all: one that is away is not asked twice.
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
        """Apply all writes, or none where a condition does not hold.

        Where a copy met what the one before had written, that is a conflict, as it is
        for a write that is made again after a time-out.
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
        """Return the first outcome that is certain; an uncertain one if none is."""
        ended: list[WriteOutcome] = []
        sent = 0
        while True:
            if sent < self.max_copies and (not sent or self.may_send_copy(ended)):
                copies.add(asyncio.create_task(self.send_copy(writes)))
                sent += 1
            waits = self.answer_time.hedge_delay() if sent < self.max_copies else None
            done, _ = await asyncio.wait(
                copies, timeout=waits, return_when=asyncio.FIRST_COMPLETED
            )
            copies -= done
            ended += [task.result() for task in done]
            for outcome in ended:
                if isinstance(outcome, (Committed, Conflict)):
                    return outcome
            if not copies:
                return self.uncertain_outcome(ended)

    def may_send_copy(self, ended: list[WriteOutcome]) -> bool:
        """Tell whether one more copy may find an answer."""
        return not ended and self.path.reaches_store

    async def send_copy(self, writes: list[Write]) -> WriteOutcome:
        """Send one copy."""
        started = self.clock.monotonic()
        outcome = await self.inner.commit(writes)
        if isinstance(outcome, (Committed, Conflict)):
            self.answer_time.record(self.clock.monotonic() - started)
        return outcome

    def uncertain_outcome(self, ended: list[WriteOutcome]) -> Unavailable | Unknown:
        """Return what may be said of a write of which no copy was answered."""
        unknown = [outcome for outcome in ended if isinstance(outcome, Unknown)]
        return unknown[0] if unknown else ended[0]
