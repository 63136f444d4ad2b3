"""Times at which faults kept gateways from the store or from their callers."""

import asyncio
import contextlib
import math
import time

import attrs

from gypsumshift.httpclient import FetchError
from soak.deployment import Deployment

__all__ = ["Disturbance", "Disturbances"]

# Time between two requests to the store that measure whether it answers, and the time
# after which an answer counts as late. A busy machine delays it by several seconds.
PROBE_PERIOD_S = 0.2
LATE_ANSWER_S = 0.4


@attrs.define
class Disturbance:
    """A fault while it lasted.

    Attributes
    ----------
    name : str
        Name of the gateway that it affects; empty if it affects all.
    started_at, ended_at : float
        Unix time in seconds.
    """

    name: str
    started_at: float
    ended_at: float = math.inf


class Disturbances:
    """Faults that may excuse a refusal.

    Attributes
    ----------
    periods : list of Disturbance
    """

    def __init__(self):
        self.periods: list[Disturbance] = []

    @contextlib.contextmanager
    def record(self, name: str = ""):
        """Record a fault of one process, or of all, for as long as the block runs."""
        period = Disturbance(name, time.time())
        self.periods.append(period)
        try:
            yield
        finally:
            period.ended_at = time.time()

    async def watch_store(self, deployment: Deployment) -> None:
        """Record the times in which the store does not answer, until cancelled."""
        while True:
            sent_at = time.time()
            with contextlib.suppress(FetchError):
                await deployment.fetcher.fetch(
                    deployment.store_address, "GET", "/none", [], b"", LATE_ANSWER_S
                )
            answered_at = time.time()
            if answered_at - sent_at >= LATE_ANSWER_S:
                self.periods.append(Disturbance("", sent_at, answered_at))
            await asyncio.sleep(PROBE_PERIOD_S)

    def include(self, name: str, started_at: float, ended_at: float) -> bool:
        """Return whether a fault affected a gateway at some time of a range."""
        return any(
            period.name in ("", name)
            and period.started_at <= ended_at
            and started_at <= period.ended_at
            for period in self.periods
        )
