"""Builders for the tests of admission control."""

from gypsumshift.serving.admissionrule import LoadSource
from gypsumshift.serving.capacitycorrection import ServiceState
from gypsumshift.serving.demand import DemandTable, retry_mark
from gypsumshift.serving.demandrates import Rates
from gypsumshift.serving.demandrecords import ProcessDemand
from gypsumshift.serving.fairqueue import Ticket
from gypsumshift.serving.fairshares import ShareKey

SERVICE = "app"


class FixedLoads(LoadSource):
    """Load source whose state the test sets."""

    def __init__(self, state=None):
        self.current = state

    def state(self, service):
        return self.current


def service_state(busy=12.0, slots=12.0, places=12.0, age=0.1):
    """Return the state of a service with a number of calls at its servers."""
    waiting, free = max(0.0, busy - slots), max(0.0, slots - busy)
    return ServiceState(places, slots, busy, waiting, free, age)


def ticket(clock, workspace="w", rank=1, request="r", objective=0.2, time_left=1.0):
    """Return the ticket of a call that arrives now."""
    return Ticket(
        request,
        SERVICE,
        ShareKey(rank, workspace),
        retry_mark(request),
        clock.monotonic() + time_left,
        objective,
    )


def process_demand(process, now, places, saw_full=True, waiting=0.0, service=SERVICE):
    """Return the demand of a process, by (rank, workspace)."""
    rates = {ShareKey(*key): Rates(each, each) for key, each in places.items()}
    return ProcessDemand(process, service, now, saw_full, waiting, rates)


def demand_table(clock, *records):
    """Return the demand table of a process that knows the given records."""
    table = DemandTable("own", clock)
    table.merge(records)
    return table
