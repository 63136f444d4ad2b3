"""Duties: tasks that only one host performs at a time, such as reporting usage.

A duty acts on a system outside the store, where no transaction rejects the calls of a
former holder. Calls therefore carry a fence: a number that grows with each new holder.
The receiver never gets a call of a holder after one of its successor, and a host that
lost a duty does not resume it shortly after another host acted.
"""

import abc
import asyncio
import random

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.leases import Lease

__all__ = ["CALL_TIMEOUT_S", "DutyRunner", "DutyTask"]

# How long a lease lasts after its last renewal. A holder that was killed is replaced
# after this time plus one check period, well within the delay that most duties allow.
LEASE_DURATION_S = 3.0
# Time between two checks of the lease. A holder renews it with two thirds of its
# duration left, so a single write whose answer is lost does not end the lease.
LEASE_CHECK_PERIOD_S = 1.0
# Fraction by which the period varies at random, so that challengers do not check the
# lease at the same moment.
PERIOD_JITTER = 0.2
# Timeout of a call of a duty. A holder starts a call only if its lease lasts longer.
CALL_TIMEOUT_S = 1.0
# How long a stopping process waits for a call in progress. If the call has not ended by
# then, the lease is not released but expires.
STOP_TIMEOUT_S = 3.0

log = logs.logger("duties")


class DutyTask(abc.ABC):
    """Task that the holder of a duty performs."""

    @abc.abstractmethod
    async def load_state(self) -> bool:
        """Load what earlier holders have done; return whether that succeeded."""

    @abc.abstractmethod
    async def run_step(self, lease: Lease) -> None:
        """Perform the work that is due, with at most one call.

        The call is made only if the lease lasts longer than `CALL_TIMEOUT_S`, which is
        also its timeout, and carries the lease's fence.
        """


class DutyRunner:
    """Performs the task of a duty while this process holds its lease.

    Parameters
    ----------
    lease : Lease
    task : DutyTask
    clock : Clock
    chance : random.Random

    Attributes
    ----------
    loaded_fence : int
        Fence under which the state of earlier holders was loaded; 0 if it was not.
    stopping : bool
        Whether this process is stopping.
    step_lock : asyncio.Lock
        Held during each step, so that the lease is not released during a call.
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
        """Compete for the lease and perform the task while holding it."""
        while not self.stopping:
            async with self.step_lock:
                await self.run_once()
            await self.clock.sleep(
                LEASE_CHECK_PERIOD_S
                * self.chance.uniform(1 - PERIOD_JITTER, 1 + PERIOD_JITTER)
            )

    async def run_once(self) -> None:
        """Renew or acquire the lease, and run one step of the task if it is held."""
        before = self.lease.fence
        held = await self.lease.renew_or_acquire()
        if self.lease.fence != before:
            self.log_lease_change(before)
        if held:
            await self.run_task()

    async def run_task(self) -> None:
        """Run one step of the task, after loading the state of earlier holders."""
        if self.loaded_fence != self.lease.fence:
            if not await self.task.load_state():
                return
            self.loaded_fence = self.lease.fence
        await self.task.run_step(self.lease)

    def log_lease_change(self, before: int) -> None:
        """Log that the lease was acquired or lost.

        Parameters
        ----------
        before : int
            Fence before the change.
        """
        message = "Acquired a duty." if self.lease.fence else "Lost a duty."
        logs.event(
            log,
            message,
            duty=self.lease.name,
            fence=self.lease.fence or before,
        )

    async def stop(self) -> None:
        """Release the lease, so that another process acquires the duty at once.

        Waits for a call in progress, since a call of the successor could otherwise
        reach the receiver first.
        """
        self.stopping = True
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S), self.step_lock:
                await self.lease.release()
        except TimeoutError:
            log.warning(
                "Duty {} not released within {} s; its lease will expire.",
                self.lease.name,
                STOP_TIMEOUT_S,
            )
