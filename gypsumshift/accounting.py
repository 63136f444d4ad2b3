"""Accounting: the components of a process that count, store and report usage."""

import datetime
import random
from collections.abc import Coroutine

import attrs

from gypsumshift.clock import Clock
from gypsumshift.duties import LEASE_DURATION_S, DutyRunner
from gypsumshift.leases import Lease
from gypsumshift.metrics import Metrics
from gypsumshift.platforms import RowStore
from gypsumshift.usage import UsageCounter, UsageWriter
from gypsumshift.usagereports import ReportReceiver, UsageReporter

__all__ = ["Accounting", "new_accounting"]

# Name of the lease that the process reporting usage holds.
USAGE_LEASE_NAME = "usage"


@attrs.frozen
class Accounting:
    """Usage accounting of one process.

    Attributes
    ----------
    counter : UsageCounter
    writer : UsageWriter
    duty : DutyRunner
        Runs the duty of reporting the usage of all processes.
    """

    counter: UsageCounter
    writer: UsageWriter
    duty: DutyRunner

    def background_tasks(self) -> list[Coroutine]:
        """Return the coroutines to run until cancelled."""
        return [self.writer.run(), self.duty.run()]

    async def stop_duty(self) -> None:
        """Release the duty, so that another process reports the usage.

        This process goes on counting and writing its counts until it exits.
        """
        await self.duty.stop()


def new_accounting(
    store: RowStore,
    receiver: ReportReceiver,
    host: str,
    window_width: datetime.timedelta,
    clock: Clock,
    chance: random.Random,
    metrics: Metrics,
) -> Accounting:
    """Return the usage accounting of one process.

    Parameters
    ----------
    store : RowStore
    receiver : ReportReceiver
    host : str
        Host that this process runs on.
    window_width : timedelta
        Length of a time window.
    clock : Clock
    chance : random.Random
    metrics : Metrics
    """
    counter = UsageCounter(clock, window_width)
    usage_writer = UsageWriter(counter, store, clock, chance)
    reporter = UsageReporter(counter, store, receiver, metrics)
    owner = f"{host}/{usage_writer.session}"
    lease = Lease(
        store,
        USAGE_LEASE_NAME,
        owner,
        clock,
        LEASE_DURATION_S,
        host=host,
        return_pause=LEASE_DURATION_S,
    )
    return Accounting(counter, usage_writer, DutyRunner(lease, reporter, clock, chance))
