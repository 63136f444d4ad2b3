"""Contended services in virtual time: fairness, changes of capacity, lost gateways.

The scenarios are in `contention_scenarios.py`; each runs 30 gateways for some seconds.
"""

import functools
import random

import pytest

from gypsumshift.serving import servicecontrol
from gypsumshift.serving.admissionrule import Verdict
from gypsumshift.serving.demand import DemandTable
from gypsumshift.serving.fairshares import ShareKey, divide_capacity
from gypsumshift.serving.retryschedule import RetrySchedule
from gypsumshift.serving.serviceadmission import ServiceAdmission
from gypsumshift.serving.servicecontrol import SHARES_MAX_AGE_SECONDS, SHARES_MAX_CALLS
from tests import contention_scenarios as scenarios
from tests.admission_builders import (
    SERVICE,
    FixedLoads,
    demand_table,
    process_demand,
    service_state,
    ticket,
)
from tests.builders import ManualClock
from tests.contention_world import shares_by_demand

SEED = 1


@functools.cache
def flood(enabled):
    return scenarios.flood(shares_by_demand if enabled else None, SEED)


def test_a_workspace_that_floods_a_service_does_not_displace_the_others():
    """The digests need about 1 s to tell all gateways; until then servers queue."""
    result = flood(True)
    assert result.others_settled >= result.before - 0.05
    assert result.used >= 0.95


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_others_lose_a_twentieth_at_most_over_the_whole_flood(seed):
    """Workspaces within their share must not pay for the time that digests need."""
    result = scenarios.flood(shares_by_demand, seed)
    assert result.others >= result.before - 0.05


def test_without_admission_control_the_flood_displaces_the_others():
    result = flood(False)
    assert result.others_settled < result.before - 0.3


def test_high_priority_is_served_and_low_keeps_a_minimum():
    result = scenarios.priorities(shares_by_demand, SEED)
    assert result.high >= 0.99
    assert result.low >= 0.25 * 0.5
    assert result.used >= 0.95


def test_admissions_follow_a_capacity_that_halves_and_recovers():
    """A limit that swings refuses calls that could be served, and queues others."""
    result = scenarios.halving(shares_by_demand, SEED)
    assert 0.9 <= result.halved <= 1.1
    assert 0.9 <= result.recovered <= 1.1
    assert result.turns <= 2


@pytest.mark.parametrize("kind", ["cut off", "kill", "add"])
def test_gateways_that_are_lost_cut_off_or_added_do_not_overload_the_servers(kind):
    result = scenarios.disruption(shares_by_demand, SEED, kind)
    assert result.longest_excess <= 1.5 * result.demand_age
    assert result.smallest > 0.25


def retry_peak(chance):
    """Return the peak of the retries of 60 gateways over the rate they plan for.

    Each refuses eight calls at the same moment.
    """
    clock, rate = ManualClock(), 800.0
    times = []
    for _ in range(60):
        schedule = RetrySchedule(clock, chance)
        times += [schedule.book(rate / 60, 100.0) for _ in range(8)]
    starts = [0.02 * number for number in range(40)]
    counts = [sum(start <= t < start + 0.1 for t in times) for start in starts]
    return max(counts) / 0.1 / rate


class NoJitter(random.Random):
    """Random source without variation."""

    def uniform(self, low, high):
        return low


def test_retries_do_not_arrive_together():
    """Callers wait exactly as long as they are asked to."""
    assert retry_peak(random.Random(SEED)) <= 1.2
    assert retry_peak(NoJitter()) > 1.2, "the test notices a missing jitter"


def test_retries_after_a_burst_are_spread_and_without_admission_control_are_not():
    for seed in (1, 2, 3):
        assert scenarios.burst(shares_by_demand, seed).peak <= 1.2
    assert scenarios.burst(None, SEED).peak > 2.0


def admission(places, state, workspaces=1):
    """Return an admission that knows of other processes' demand, and its clock."""
    clock = ManualClock()
    now = clock.monotonic()
    demands = {(1, f"w{n}"): places / workspaces for n in range(workspaces)}
    demand = demand_table(clock, process_demand("other", now, demands))
    loads = FixedLoads(state)
    return ServiceAdmission(loads, demand, clock, random.Random(SEED)), clock


def test_a_service_whose_servers_report_no_load_gets_every_call():
    rule, clock = admission(1000.0, None)
    verdicts = {rule.offer(ticket(clock)).verdict for _ in range(100)}
    assert verdicts == {Verdict.SENT}


def test_no_call_is_refused_while_places_suffice():
    rule, clock = admission(6.0, service_state(busy=10.0))
    for _ in range(50):
        clock.advance(0.05)
        assert rule.offer(ticket(clock)).verdict == Verdict.SENT


def test_no_call_is_refused_while_most_places_are_free():
    """Wrong or old demand of others must not refuse calls of an idle service."""
    rule, clock = admission(1000.0, service_state(busy=40.0))
    rule.offer(ticket(clock, "w0"))
    rule.loads.current = service_state(busy=5.0)
    for number in range(50):
        clock.advance(0.02)
        call = ticket(clock, "w0", request=f"r{number}")
        assert rule.offer(call).verdict == Verdict.SENT


def test_a_refusal_comes_at_once_where_no_place_becomes_free():
    """A caller that waits for nothing loses the time to try again."""
    rule, clock = admission(1000.0, service_state(busy=40.0))
    calls = [ticket(clock, "w0", request=f"r{n}") for n in range(100)]
    decisions = [rule.offer(call) for call in calls]
    assert {d.verdict for d in decisions} <= {Verdict.SENT, Verdict.REFUSED}
    refused = [d for d in decisions if d.verdict == Verdict.REFUSED]
    assert len(refused) > 90 and all(d.retry_after > 0 for d in refused)


def test_an_expected_retry_goes_before_new_calls():
    rule, clock = admission(120.0, service_state(busy=40.0))
    for number in range(20):
        rule.offer(ticket(clock, request=f"r{number}"))
    retry = ticket(clock, request="again")
    rule.demand.expect_retry(retry.mark, clock.monotonic())
    assert rule.offer(retry).verdict == Verdict.SENT


def test_the_capacity_is_divided_once_for_several_calls(monkeypatch):
    """A division for each call would take a small gateway's processor in a surge.

    There are 75 workspaces, 30 other processes and 100 calls a second.
    """
    divisions = []

    def count_division(places, demands):
        divisions.append(len(demands))
        return divide_capacity(places, demands)

    monkeypatch.setattr(servicecontrol, "divide_capacity", count_division)
    clock = ManualClock()
    demand = DemandTable("own", clock)
    now = clock.monotonic()
    for process in range(30):
        places = {(1, f"w{(process + n) % 75}"): 0.5 for n in range(12)}
        demand.merge([process_demand(f"g{process}", now, places)])
    loads = FixedLoads(service_state(busy=40.0))
    rule = ServiceAdmission(loads, demand, clock, random.Random(SEED))
    for number in range(300):
        clock.advance(0.01)
        rule.offer(ticket(clock, f"w{number % 75}", request=f"r{number}"))
    assert ShareKey(1, "w0") in rule.control(SERVICE).shares
    most = 300 / SHARES_MAX_CALLS + 300 * 0.01 / SHARES_MAX_AGE_SECONDS + 1
    assert 1 < len(divisions) <= most
