"""Correction of a service's computed capacity by the load that its servers report.

The computed capacity may be wrong: service times vary, and processes of an older
version send without asking. A lasting queue at the servers shows that too much is sent,
and free places while calls are refused show that too little is.
"""

import attrs

from gypsumshift.clock import Clock

__all__ = ["CapacityCorrection", "ServiceState"]

# Time between two steps. Reports are up to 0.6 s old, so a shorter one would count the
# same queue several times.
STEP_PERIOD_SECONDS = 0.5
# A report older than this says nothing about the effect of the last step.
MAX_REPORT_AGE_SECONDS = 1.0
# Calls running and waiting per slot to which the load is brought: all slots busy, and
# one service time of queue, which an objective of several has room for. With less, the
# slots are idle at times, since the processes send independently of each other.
TARGET_BUSY_PER_SLOT = 2.0
# Exponent by which the factor follows the ratio of load and target in a step, and the
# largest changes of a step. Places that stay free are used again within about 2 s. The
# factor falls more slowly: a surge fills the queues before the shares follow it, and a
# lower factor would then cost the callers who stay within their share.
STEP_GAIN = 0.2
MAX_DECREASE, MAX_INCREASE = 0.02, 0.1
MIN_BUSY_PER_SLOT = 0.1
# Immediate change of the corrected amount, per call and slot of difference, so that a
# queue drains; a larger one would swing, as reports are up to 0.6 s old.
QUEUE_GAIN = 0.05
MAX_QUEUE_REDUCTION = 0.2
# The factor is reduced once the queue has been longer than the target for this long. A
# surge fills the queues until the shares follow, which says nothing about the factor.
MIN_QUEUE_SECONDS = 3.0


@attrs.frozen
class ServiceState:
    """Capacity and load of a service, by the reports of its servers.

    Attributes
    ----------
    places : float
        Calls that it runs at once, in usual service times.
    slots, busy : float
        Slots of the servers that reported, and calls running and waiting there.
    waiting, free : float
        Calls that wait for a slot there, and slots without a call.
    age : float
        Mean age of the reports in seconds.
    """

    places: float
    slots: float
    busy: float
    waiting: float
    free: float
    age: float = 0.0

    @property
    def utilization(self) -> float:
        """Share of the slots that are busy."""
        return 1.0 - self.free / self.slots if self.slots else 1.0

    @property
    def busy_per_slot(self) -> float:
        """Number of calls that run or wait, for each slot."""
        return self.busy / self.slots if self.slots else 0.0


class CapacityCorrection:
    """Factor by which an amount is corrected so that servers are busy, but not queuing.

    Parameters
    ----------
    clock : Clock
    limits : (float, float)
        Of the factor.

    Attributes
    ----------
    factor : float
        Changes slowly.
    queue_factor : float
        Follows the queue at the servers at once.
    """

    def __init__(self, clock: Clock, limits: tuple[float, float]):
        self.clock = clock
        self.limits = limits
        self.factor = 1.0
        self.queue_factor = 1.0
        self.stepped_at = clock.monotonic()
        self.below_target_at = clock.monotonic()

    @property
    def value(self) -> float:
        """Product of both factors."""
        return self.factor * self.queue_factor

    def update(self, state: ServiceState, is_limiting: bool) -> None:
        """Adjust the factors by a new state.

        Parameters
        ----------
        state : ServiceState
        is_limiting : bool
            Whether calls are refused or wait by the corrected amount.
        """
        if state.age > MAX_REPORT_AGE_SECONDS:
            return
        now = self.clock.monotonic()
        excess = state.busy_per_slot - TARGET_BUSY_PER_SLOT
        self.queue_factor = max(1.0 - QUEUE_GAIN * excess, 1.0 - MAX_QUEUE_REDUCTION)
        if excess <= 0:
            self.below_target_at = now
        if now - self.stepped_at < STEP_PERIOD_SECONDS:
            return
        self.stepped_at = now
        lasting = now - self.below_target_at >= MIN_QUEUE_SECONDS
        if lasting or (excess < 0 and is_limiting):
            self.step(state.busy_per_slot)

    def step(self, busy_per_slot: float) -> None:
        """Bring the factor nearer to the value at which the load is on target."""
        ratio = max(busy_per_slot, MIN_BUSY_PER_SLOT) / TARGET_BUSY_PER_SLOT
        change = min(max(ratio**-STEP_GAIN, 1.0 - MAX_DECREASE), 1.0 + MAX_INCREASE)
        self.set_factor(self.factor * change)

    def set_factor(self, factor: float) -> None:
        """Set the factor within its limits."""
        low, high = self.limits
        self.factor = min(max(factor, low), high)

    def relax(self) -> None:
        """Forget the corrections: the service is not contended any more."""
        self.factor = self.queue_factor = 1.0
