"""Freshness of the configuration in memory, which decides whether keys are accepted.

A revoked key must stop working at every host within a bound, also at a host that
cannot reach the store and knows only for how long that has been so. Keys are therefore
accepted only if the configuration was confirmed by an exchange with the store that
*began* within the bound. The age counts from the beginning of the exchange, since the
store may have answered at once and the answer may have been delayed on the way. It is
measured by a clock that continues while the host is suspended. Clocks of different
hosts are never compared.
"""

import asyncio
import contextlib
import datetime
import math

from gypsumshift.clock import Clock
from gypsumshift.serving.directory import Directory
from gypsumshift.watch import Watch

__all__ = ["ConfigFreshness"]

# Share of the bound for which keys are accepted. The rest allows for clocks that run at
# different rates, and for the time between a request's arrival and the check.
BOUND_SHARE = 0.9
# Share of the bound after which this host reports that it is not ready, so that new
# callers go elsewhere. The external load balancer needs two health checks, a second
# apart, to react.
READY_SHARE = 0.5
# How long a request waits for the store to confirm the configuration. The store usually
# answers in 5 ms; a caller that would wait longer is better served by another host.
CONFIRM_TIMEOUT_SECONDS = 0.1


class ConfigFreshness:
    """Determines whether the configuration in memory is recent enough to accept keys.

    Parameters
    ----------
    watch : Watch
        Watch of the table that holds the configuration.
    directory : Directory
    clock : Clock
    bound : timedelta or None
        Time within which a revoked key must stop working; None if it may continue to
        work at hosts that do not receive the configuration.
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
        """Seconds since the exchange that confirmed the configuration began."""
        if self.directory.config_unreadable:
            return math.inf
        return self.clock.monotonic_with_suspend() - self.watch.confirmed_at

    @property
    def keys_accepted(self) -> bool:
        """Whether keys may be accepted by the configuration in memory."""
        return self.bound == math.inf or self.age < BOUND_SHARE * self.bound

    @property
    def ready(self) -> bool:
        """Whether keys will be accepted for long enough to receive new callers."""
        return self.bound == math.inf or self.age < READY_SHARE * self.bound

    async def confirm(self) -> None:
        """Query the store at once for whether the configuration is the newest.

        Does nothing while the store does not answer, so that requests are not delayed
        in vain.
        """
        if self.watch.failures:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONFIRM_TIMEOUT_SECONDS):
                await self.watch.confirm()
