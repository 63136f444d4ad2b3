"""Duties: work outside the store that one host does at a time.

Whoever receives the calls of a duty sees a number that grows with each holder, no call
of a holder behind one of its successor, and none of a host that comes back soon.
"""

import abc
import asyncio
import random

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.leases import Lease

__all__ = ["CALL_TIMEOUT_S", "DutyRunner", "DutyTask"]

# Seconds for which a lease is held behind its last renewal. A holder that was killed is
# replaced after these and one period, well inside what most duties may be late.
LEASE_DURATION_S = 3.0
# Seconds between two looks at the lease. A holder renews with two thirds of its time
# left, so that one write whose answer is lost costs nothing.
LEASE_CHECK_PERIOD_S = 1.0
# Part of a period by which looks are drawn apart, so that challengers do not come
# together.
PERIOD_JITTER = 0.2
# Seconds for a call of a duty. A holder makes one only while its lease lasts longer.
CALL_TIMEOUT_S = 1.0
# Seconds for which a process that stops waits for a call that is under way; without its
# end the lease is not given up, but runs out.
STOP_TIMEOUT_S = 3.0

log = logs.logger("duties")


class DutyTask(abc.ABC):
    """What the holder of a duty does."""

    @abc.abstractmethod
    async def load_state(self) -> bool:
        """Learn what was done before; return whether that succeeded."""

    @abc.abstractmethod
    async def run_step(self, lease: Lease) -> None:
        """Do what is due, in one call at the most.

        The call is made only while the lease lasts for `CALL_TIMEOUT`, which ends it,
        and bears the lease's fence.
        """


class DutyRunner:
    """Does the work of a duty while this process holds its lease.

    Parameters
    ----------
    lease : Lease
    work : Work
    clock : Clock
    chance : random.Random

    Attributes
    ----------
    known : int
        Fence under which what was done before was learnt; 0 for none.
    leaving : bool
        Whether this process stops.
    """

    def __init__(
        self, lease: Lease, task: DutyTask, clock: Clock, chance: random.Random
    ):
        self.lease = lease
        self.task = task
        self.clock = clock
        self.chance = chance
        self.loaded_fence = 0
        self.stopping = False
        self.step_lock = asyncio.Lock()

    async def run(self) -> None:
        """Hold the lease where nobody else does, and do the work meanwhile."""
        while not self.stopping:
            async with self.step_lock:
                await self.run_once()
            await self.clock.sleep(
                LEASE_CHECK_PERIOD_S
                * self.chance.uniform(1 - PERIOD_JITTER, 1 + PERIOD_JITTER)
            )

    async def run_once(self) -> None:
        """Look at the lease, and do what is due while it lasts."""
        before = self.lease.fence
        held = await self.lease.renew_or_acquire()
        if self.lease.fence != before:
            self.log_lease_change(before)
        if held:
            await self.run_task()

    async def run_task(self) -> None:
        """Do what is due, once what was done before is known."""
        if self.loaded_fence != self.lease.fence:
            if not await self.task.load_state():
                return
            self.loaded_fence = self.lease.fence
        await self.task.run_step(self.lease)

    def log_lease_change(self, before: int) -> None:
        """Log that the lease was taken or lost."""
        message = "Holds a duty." if self.lease.fence else "A duty is held no more."
        logs.event(
            log,
            message,
            duty=self.lease.name,
            fence=self.lease.fence or before,
        )

    async def stop(self) -> None:
        """Give the duty up, so that another process takes it at once.

        Not while a call is under way: its successor's could come before it.
        """
        self.stopping = True
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S), self.step_lock:
                await self.lease.release()
        except TimeoutError:
            log.warning("A duty is not given up: {}.", self.lease.name)
