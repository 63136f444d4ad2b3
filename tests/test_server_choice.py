"""Choice of a server by many gateways, where servers report their slowdown.

Guards against herds: gateways that see the same stale figures and all choose the same
server, which is overloaded by the time their requests arrive.
"""

import collections
import random

import pytest

from gypsumshift.serving import ServerLoad
from gypsumshift.serving.expectedload import ExpectedLoad
from gypsumshift.serving.loadreports import LoadReport
from tests.load_builders import make_balancer, make_load, make_servers
from tests.server_fleet import (
    Scenario,
    choose_at_random,
    choose_with_full_knowledge,
    run_fleet,
)

CHOOSERS = 39


def shares(figures, rounds=50, age_s=0.1):
    """Return the share of choosers by server that all see the same (busy, slowdown)."""
    listed = make_servers(len(figures))
    chosen = collections.Counter()
    for number in range(CHOOSERS):
        balancer, clock = make_balancer(number)
        seen_at = clock.monotonic() - age_s
        balancer.load_reports.merge(
            LoadReport(server.start, busy, server.slots, slowdown, seen_at)
            for server, (busy, slowdown) in zip(listed, figures, strict=True)
        )
        chosen.update(balancer.choose(listed, set()).id for _ in range(rounds))
    return [chosen[server.id] / chosen.total() for server in listed]


@pytest.mark.parametrize("requests_per_s", [12, 60])
def test_choosers_with_the_same_stale_figures_use_all_servers_alike(requests_per_s):
    """Figures are 0.1 to 0.6 s old and the same for all 39 choosers."""
    scenario = Scenario(requests_per_s=requests_per_s, seconds=40, snapshot_s=0.5)
    drawn = run_fleet(scenario)
    at_random = run_fleet(scenario, choose_at_random)
    informed = run_fleet(scenario, choose_with_full_knowledge)
    assert drawn.busiest_share <= 1.15
    assert drawn.percentile(0.99) <= at_random.percentile(0.99)
    assert informed.mean_s < drawn.mean_s < at_random.mean_s
    assert drawn.late == 0


def test_a_small_difference_of_stale_figures_does_not_attract_all_choosers():
    least_busy, *others = shares([(3, 1.0), (4, 1.0), (4, 1.0)])
    assert 1 / 3 < least_busy < 0.5
    assert min(others) > 0.25


def test_most_choosers_avoid_a_server_that_reports_a_slowdown():
    slow, *others = shares([(0, 2.5), (0, 1.0), (0, 1.0)])
    assert slow < 0.15
    assert min(others) > 0.4


def test_an_old_slowdown_does_not_matter():
    slow, *_ = shares([(0, 2.5), (0, 1.0), (0, 1.0)], age_s=3.0)
    assert slow > 0.2


def test_own_open_requests_are_known_exactly():
    load = ExpectedLoad(0.0, 6, 6, 1.0)
    assert load.draw_time(random.Random(1)) == 2.0


def served_by(slow_server_takes_s, reported, requests=400):
    """Return the share of requests at a server that always reports a slowdown."""
    balancer, clock = make_balancer()
    listed = make_servers()
    count = 0
    for _ in range(requests):
        server = balancer.choose(listed, set())
        first = server is listed[0]
        count += first
        balancer.record_load(server, make_load(slowdown=reported if first else 1.0))
        balancer.record_success(server, slow_server_takes_s if first else 0.03)
        clock.advance(0.2)
    return count / requests


def test_a_server_that_falsely_reports_a_slowdown_is_measured_by_its_answers():
    assert served_by(0.03, reported=50.0) > 0.2


def test_a_server_that_is_as_slow_as_it_reports_gets_a_request_from_time_to_time():
    assert 0 < served_by(1.5, reported=50.0) < 0.05


def test_a_server_that_is_slow_but_reports_none_is_measured_by_its_answers():
    assert served_by(0.3, reported=1.0) < 0.05


def test_nothing_is_drawn_for_servers_that_report_three_figures():
    """Their choice stays the same, including the numbers taken from the source."""
    balancer, _ = make_balancer()
    listed = make_servers(4, ("here", "there"))
    balancer.estimates.expected_load = None
    for server in listed:
        balancer.record_load(server, ServerLoad(5, 0, 6))
        balancer.record_success(server, 0.03)
    assert balancer.choose(listed, set()).zone == "here"
