"""Accounting: the parts of a process that count usage, write it and have it told."""

import datetime
import random
from collections.abc import Coroutine

import attrs

from gypsumshift.clock import Clock
from gypsumshift.duties import DURATION, Duty
from gypsumshift.leases import Lease
from gypsumshift.metrics import Metrics
from gypsumshift.platforms import RowStore
from gypsumshift.usage import UsageCounter, UsageLog
from gypsumshift.usagereports import ReportReceiver, UsageReporter

__all__ = ["Accounting", "new_accounting"]

# Names the lease of whoever tells the usage.
USAGE_DUTY = "usage"


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
    log: UsageLog
    duty: Duty

    def work(self) -> list[Coroutine]:
        """Return what is to run until it is cancelled."""
        return [self.log.run(), self.duty.run()]

    async def leave(self) -> None:
        """Have another process tell the usage.

        What is counted from now on is written until the process ends.
        """
        await self.duty.leave()


def new_accounting(
    store: RowStore,
    receiver: ReportReceiver,
    host: str,
    width: datetime.timedelta,
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
    counter = UsageCounter(clock, width)
    usage_log = UsageLog(counter, store, clock, chance)
    reporter = UsageReporter(counter, store, receiver, metrics)
    owner = f"{host}/{usage_log.session}"
    lease = Lease(
        store, USAGE_DUTY, owner, clock, DURATION, host=host, return_pause=DURATION
    )
    return Accounting(counter, usage_log, Duty(lease, reporter, clock, chance))
