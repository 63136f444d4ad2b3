"""New connections to servers that report a slowdown.

Guards against choices that change the server for a small gain: with a request every few
seconds, the connection to the new server has to be opened, and the old one expires.
"""

import math

import attrs
import pytest

from gypsumshift.serving import loadbalancer
from gypsumshift.serving.loadbalancer import (
    NEW_CONNECTION_PENALTY,
    REPORTED_CONNECTION_PENALTY,
)
from tests.connection_choices import (
    AGENTS_3_SERVERS,
    AGENTS_8_SERVERS,
    GATEWAYS_3_SERVERS,
    GATEWAYS_8_SERVERS,
    make_subset_choice,
)
from tests.load_builders import make_balancer, make_load, make_servers
from tests.server_fleet import KEEP_ALIVE_S, run_fleet

SEEDS = 3
ALL = [GATEWAYS_3_SERVERS, GATEWAYS_8_SERVERS, AGENTS_3_SERVERS, AGENTS_8_SERVERS]


@pytest.mark.parametrize("scenario", ALL, ids=["3", "8", "agents-3", "agents-8"])
def test_preferring_idle_connections_opens_no_more_than_a_subset(scenario):
    """The subset of one server or two of the zone, left for the same cost."""
    preferred = run_fleet(scenario, seeds=SEEDS)
    for size in (1, 2):
        choice = make_subset_choice(size, REPORTED_CONNECTION_PENALTY)
        subset = run_fleet(scenario, choice, SEEDS)
        assert preferred.opened <= 1.02 * subset.opened
    assert preferred.late == 0


@pytest.mark.parametrize(
    ("scenario", "most"), [(AGENTS_3_SERVERS, 0.5), (AGENTS_8_SERVERS, 0.5)]
)
def test_a_strong_preference_halves_the_new_connections_of_agents(
    scenario, most, monkeypatch
):
    strong = run_fleet(scenario, seeds=SEEDS)
    monkeypatch.setattr(
        loadbalancer, "REPORTED_CONNECTION_PENALTY", NEW_CONNECTION_PENALTY
    )
    weak = run_fleet(scenario, seeds=SEEDS)
    assert strong.opened <= most * weak.opened
    assert strong.mean_s <= 1.05 * weak.mean_s


@pytest.mark.parametrize("scenario", [GATEWAYS_3_SERVERS, GATEWAYS_8_SERVERS])
def test_gateways_open_hardly_more_connections_than_they_must(scenario):
    """A gateway without a request for 4 s has no connection, whatever it chose."""
    rate_per_gateway = scenario.requests_per_s / scenario.gateways
    unavoidable = math.exp(-rate_per_gateway * KEEP_ALIVE_S)
    assert run_fleet(scenario).opened_share <= 1.05 * unavoidable


def test_servers_with_three_figures_keep_the_weak_preference():
    """The stronger one would leave the own zone for an idle connection."""
    scenario = attrs.evolve(GATEWAYS_8_SERVERS, reports_slowdown=False)
    outcome = run_fleet(scenario, seeds=1)
    assert outcome.same_zone == outcome.sent


def test_a_connection_is_opened_if_the_idle_ones_lead_to_a_much_slower_server():
    balancer, _ = make_balancer()
    listed = make_servers()
    balancer.has_idle_connection = lambda address: address == listed[0].address
    balancer.record_load(listed[0], make_load(slowdown=2.0))
    assert {balancer.choose(listed, set()).id for _ in range(50)} == {"s0"}
    balancer.clock.advance(0.01)
    balancer.record_load(listed[0], make_load(slowdown=6.0))
    chosen = [balancer.choose(listed, set()).id for _ in range(200)]
    assert chosen.count("s0") < 80
