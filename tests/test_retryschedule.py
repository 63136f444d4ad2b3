"""Times for the retries of refused calls, and what they are planned by."""

import random

import attrs
import pytest

from gypsumshift.serving.fairshares import ShareKey
from gypsumshift.serving.retryschedule import (
    HONOURED_SHARE,
    MIN_RETRY_SECONDS,
    RetrySchedule,
)
from gypsumshift.serving.serviceadmission import ServiceAdmission
from tests.admission_builders import (
    SERVICE,
    FixedLoads,
    demand_table,
    process_demand,
    service_state,
    ticket,
)
from tests.builders import ManualClock

KEY = ShareKey(1, "w")


def usable(schedule, rate, time_left, calls):
    """Return how many of some calls refused now are told a time that they can use."""
    times = [schedule.book(rate, time_left) for _ in range(calls)]
    return sum(seconds <= HONOURED_SHARE * time_left for seconds in times)


def test_more_calls_do_not_get_more_places_than_can_be_served():
    """Each call drew a new time in the last place until one of them was early enough.

    Of two places and a half, all processes together then filled three.
    """
    rate, time_left, processes = 5.0, 1.5, 400
    chance = random.Random(1)
    schedules = [RetrySchedule(ManualClock(), chance) for _ in range(processes)]
    planned = sum(usable(each, rate, time_left, 20) for each in schedules)
    seconds = HONOURED_SHARE * time_left - MIN_RETRY_SECONDS
    served = rate * seconds * processes
    assert planned == pytest.approx(served, rel=0.05)


def test_the_first_retry_does_not_wait_for_the_queue_to_end():
    """The servers' queues shorten all the time; a pause of 0.1 s lost callers."""
    schedule = RetrySchedule(ManualClock(), random.Random(1))
    assert usable(schedule, 100.0, 0.3, 10) >= 7


def admission(state):
    clock = ManualClock()
    others = [process_demand("other", clock.monotonic(), {(1, "v"): 1.0})]
    demand = demand_table(clock, *others)
    return ServiceAdmission(FixedLoads(state), demand, clock, random.Random(1)), clock


def test_a_burst_leaves_room_for_its_own_retries():
    """Refused calls counted as usual arrivals, beside which no retry had a place."""
    rule, clock = admission(service_state(busy=60.0))
    for number in range(100):
        rule.count_arrival(rule.control(SERVICE), ticket(clock, request=f"r{number}"))
    times = [rule.refuse(ticket(clock, request=f"r{n}")) for n in range(100)]
    assert sum(seconds <= HONOURED_SHARE for seconds in times) >= 20


def test_a_process_plans_retries_for_an_equal_part_whatever_it_knows_of_others():
    """Right after a burst the own part of the known demand was near 0 or near 1."""
    rule, clock = admission(service_state(busy=60.0))
    rule.demand.count_processes = lambda: 30
    control = rule.control(SERVICE)
    assert control.retry_fraction() == 1 / 30
    rule.offer(ticket(clock))
    assert control.retry_fraction() == 1 / 30


@pytest.mark.parametrize(("waiting", "learnt"), [(0.0, 0.2), (3.0, 0.05)])
def test_times_of_answers_count_only_while_no_call_waits_at_a_server(waiting, learnt):
    """One of two servers had a queue, so the demand was taken for a fourth more."""
    state = service_state(busy=7.0)
    rule, _ = admission(state)
    for _ in range(20):
        rule.record_answer(SERVICE, KEY, 0.05, 1.0)
    rule.loads.current = attrs.evolve(state, waiting=waiting)
    for _ in range(20):
        rule.record_answer(SERVICE, KEY, 0.2, 1.0)
    assert rule.control(SERVICE).times.usual(False, 0.4) == learnt
