"""Accounting: the parts of a process that count usage, write it and have it told."""

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

# Names the lease of whoever tells the usage.
USAGE_LEASE_NAME = "usage"


@attrs.frozen
class Accounting:
    """What one process does about usage.

    Attributes
    ----------
    counter : UsageCounter
    log : UsageLog
    duty : Duty
        Of telling the usage of all processes.
    """

    counter: UsageCounter
    writer: UsageWriter
    duty: DutyRunner

    def background_tasks(self) -> list[Coroutine]:
        """Return what is to run until it is cancelled."""
        return [self.writer.run(), self.duty.run()]

    async def stop_duty(self) -> None:
        """Have another process tell the usage.

        What is counted from now on is written until the process ends.
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
    """Return the parts of one process.

    Parameters
    ----------
    store : RowStore
    receiver : ReportReceiver
    host : str
        On which this process runs.
    width : timedelta
        Of a window of time.
    clock : Clock
    chance : random.Random
    metrics : Metrics
    """
    counter = UsageCounter(clock, window_width)
    usage_log = UsageWriter(counter, store, clock, chance)
    reporter = UsageReporter(counter, store, receiver, metrics)
    owner = f"{host}/{usage_log.session}"
    lease = Lease(
        store,
        USAGE_LEASE_NAME,
        owner,
        clock,
        LEASE_DURATION_S,
        host=host,
        return_pause=LEASE_DURATION_S,
    )
    return Accounting(counter, usage_log, DutyRunner(lease, reporter, clock, chance))
