"""Loads that servers report with their answers.

Guards against a load that is not read: the gateway accepted three figures only, and
knew the load of no server that reports a fourth one.
"""

import re

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumshift.serving import ServerLoad
from tests import platform_cluster  # noqa: F401  (adds the adapter's folder to sys.path)
from tests.job_builders import METRICS
from tests.test_loadbalancer import servers
from tests.test_sender import make_sender


class FakeExchange:
    """An answer that has a load header only."""

    def __init__(self, load):
        self.load = load

    def header(self, name):
        return self.load


def parse(text):
    from server_load import parse_server_load

    return parse_server_load(text)


def test_three_figures_are_running_waiting_and_slots():
    assert parse("3,0,8") == ServerLoad(3, 0, 8)


def test_a_fourth_figure_is_the_pace_of_the_host_in_percent():
    assert parse("3,1,8,250") == ServerLoad(3, 1, 8, 2.5, True)


@pytest.mark.parametrize(
    "text",
    ["", "3", "3,0", "3,0,0", "3,0,8,0", "3,0,8,100,1", "3,,8", "-1,0,8", "٣,0,8"],
)
def test_a_malformed_load_is_an_error(text):
    with pytest.raises(ValueError, match=re.escape(repr(text))):
        parse(text)


@given(st.text())
def test_any_text_is_a_load_or_one_clear_error(text):
    try:
        assert isinstance(parse(text), ServerLoad)
    except ValueError as error:
        assert str(error)


def test_a_figure_that_overflows_a_float_is_malformed():
    """Divided by 100, it raised an OverflowError that ended the call."""
    with pytest.raises(ValueError, match="not three or four whole numbers"):
        parse("3,0,8," + "9" * 400)


def make_platform_sender():
    from wire_protocol import HEADERS

    sender = make_sender()
    sender.names = HEADERS
    return sender


def test_the_load_balancer_learns_a_load_of_four_figures():
    sender = make_platform_sender()
    sender.record_load(servers()[0], FakeExchange("5,2,6,100"))
    assert sender.balancer.stats(servers()[0]).busy == 7


def test_a_malformed_load_is_ignored_and_counted():
    sender = make_platform_sender()
    counter = f"malformed_loads.{servers()[0].service}"
    counted = METRICS.totals.get(counter, 0)
    sender.record_load(servers()[0], FakeExchange("5,two,6"))
    sender.record_load(servers()[0], FakeExchange(""))
    assert sender.balancer.stats(servers()[0]).busy == 0
    assert METRICS.totals[counter] == counted + 1
