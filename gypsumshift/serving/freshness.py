"""Currency: whether the configuration known here is new enough to go by.

A key that was taken away must stop working at every host within a bound, also at one
that hears nothing: such a host knows only how long it has heard nothing. So a key is
good only while the configuration was confirmed by an exchange with the store that
*began* within the bound. It is counted from the beginning, since the store may have
answered at once and the answer have taken its time, and by a clock that goes on while
the host is suspended. No clocks of two hosts are compared.
"""

import asyncio
import contextlib
import datetime
import math

from gypsumshift.clock import Clock
from gypsumshift.serving.directory import Directory
from gypsumshift.watch import Watch

__all__ = ["ConfigFreshness"]

# Part of the bound that is used: the rest is for clocks that differ in their pace, and
# for the time between a request's arrival and the look at the clock.
BOUND_SHARE = 0.9
# Part of the bound after which new callers should go elsewhere, which the balancer
# takes two questions, a second apart, to do.
READY_SHARE = 0.5
# Seconds for which a request waits until the store has confirmed the configuration: it
# answers in 5 ms. A caller that waits longer is better served elsewhere.
CONFIRM_TIMEOUT = 0.1


class ConfigFreshness:
    """Tells whether what is known of the configuration may be gone by.

    Parameters
    ----------
    watch : Watch
        Follows the table that holds the configuration.
    directory : Directory
    clock : Clock
    bound : timedelta or None
        Time within which a key that was taken away must not work any more; None where
        it may go on wherever the configuration is not heard.
    """

    def __init__(
        self,
        watch: Watch,
        directory: Directory,
        clock: Clock,
        bound: datetime.timedelta | None = None,
    ):
        self.watch = watch
        self.directory = directory
        self.clock = clock
        self.bound = bound.total_seconds() if bound else math.inf

    @property
    def age(self) -> float:
        """Seconds since the begin of the exchange that confirmed the configuration."""
        if self.directory.config_unreadable:
            return math.inf
        return self.clock.monotonic_with_suspend() - self.watch.confirmed_at

    @property
    def keys_accepted(self) -> bool:
        """Whether a key may be taken for good."""
        return self.bound == math.inf or self.age < BOUND_SHARE * self.bound

    @property
    def ready(self) -> bool:
        """Whether that will hold for long enough to invite callers."""
        return self.bound == math.inf or self.age < READY_SHARE * self.bound

    async def confirm(self) -> None:
        """Ask the store at once whether the configuration is the newest.

        Not while it does not answer: whoever waits for it would be held up for nothing.
        """
        if self.watch.failures:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONFIRM_TIMEOUT):
                await self.watch.confirm()
