"""Decision that no server of a service can be reached, with an injected clock."""

import json
import random

import pytest

from gypsumshift.outcomes import Answered
from gypsumshift.serving import BackendServer
from gypsumshift.serving.calls import Failed, Refused
from gypsumshift.serving.observations import Observations, decode, encode
from gypsumshift.serving.reachability import (
    EMPTY_SECONDS,
    MAX_AGE_SECONDS,
    MAX_RETRY_SECONDS,
    MIN_RETRY_SECONDS,
    REACHED_SECONDS,
    Reachability,
)
from tests.builders import ManualClock
from tests.load_builders import make_servers

SERVICE = "app"
TIMED_OUT = Failed("connection timed out", False)
GONE = Failed("connection refused", False, gone=True)
SILENT = Failed("no answer", True)


def make_reachability(clock=None):
    clock = clock or ManualClock()
    return Reachability(clock, random.Random(1), Observations(clock)), clock


def fail_all(reach, servers, outcome=TIMED_OUT, times=2):
    for _ in range(times):
        for server in servers:
            reach.record_outcome(server, outcome)


@pytest.mark.parametrize(("outcome", "times"), [(TIMED_OUT, 2), (GONE, 1)])
def test_a_service_is_down_once_no_server_accepts_connections(outcome, times):
    reach, _ = make_reachability()
    servers = make_servers(3)
    assert not reach.is_down(SERVICE, servers)
    fail_all(reach, servers[1:], outcome, times)
    assert not reach.is_down(SERVICE, servers), "one server is left"
    fail_all(reach, servers, outcome, times)
    assert reach.is_down(SERVICE, servers)


def test_one_lost_packet_of_a_single_server_is_no_outage():
    reach, _ = make_reachability()
    servers = make_servers(1)
    fail_all(reach, servers, times=1)
    assert not reach.is_down(SERVICE, servers)
    fail_all(reach, servers, times=2)
    assert reach.is_down(SERVICE, servers)


@pytest.mark.parametrize("outcome", [Answered(500), Refused("full"), SILENT])
def test_a_server_that_received_a_request_can_be_reached(outcome):
    """Refusing calls of a service that is only full or faulty would be wrong."""
    reach, _ = make_reachability()
    servers = make_servers(2)
    fail_all(reach, servers)
    reach.record_outcome(servers[1], outcome)
    assert not reach.is_down(SERVICE, servers)


def test_a_failure_in_this_process_says_nothing_about_the_server():
    reach, _ = make_reachability()
    servers = make_servers(2)
    fail_all(reach, servers, Failed("no memory", True, local=True))
    assert not reach.is_down(SERVICE, servers)
    assert not reach.unreached


def test_a_new_start_of_a_server_ends_the_state_at_once():
    """The new start would otherwise get no call until the next probe."""
    reach, _ = make_reachability()
    servers = make_servers(2)
    fail_all(reach, servers)
    assert reach.is_down(SERVICE, servers)
    new = BackendServer("s0", SERVICE, ("127.0.0.1", 0), "here", born=8)
    assert not reach.is_down(SERVICE, [new, servers[1]])


def test_failures_expire_so_that_calls_find_out_if_probes_do_not_run():
    reach, clock = make_reachability()
    servers = make_servers(2)
    fail_all(reach, servers)
    clock.advance(MAX_AGE_SECONDS + 0.1)
    assert not reach.is_down(SERVICE, servers)


def test_a_service_without_listed_servers_is_down_after_a_while():
    """A restart that lists its server within a second must not refuse calls."""
    reach, clock = make_reachability()
    assert not reach.is_down(SERVICE, [])
    clock.advance(EMPTY_SECONDS + 0.1)
    assert reach.is_down(SERVICE, [])
    assert not reach.is_down(SERVICE, make_servers(1))
    assert not reach.is_down(SERVICE, [])


def test_a_service_whose_entries_expire_while_it_is_down_stays_down():
    reach, _ = make_reachability()
    servers = make_servers(2)
    fail_all(reach, servers)
    assert reach.is_down(SERVICE, servers)
    assert reach.is_down(SERVICE, [])


def test_failures_of_others_ask_for_probes_and_refuse_no_call():
    """A server that another process cannot reach may be reachable from here."""
    clock = ManualClock()
    (here, _), (there, _) = make_reachability(clock), make_reachability(clock)
    servers = make_servers(2)
    fail_all(there, servers)
    reported = []
    here.shared.on_unreachable = reported.append
    now = clock.monotonic()
    rows = json.loads(json.dumps(encode(there.shared.digest(), now)))
    here.shared.merge(decode(rows, now))
    assert {start.id for start in reported} == {"s0", "s1"}
    assert here.needs_probe(SERVICE, servers)
    assert not here.is_down(SERVICE, servers)
    clock.advance(0.1)
    here.record_reached(servers[0])
    assert not here.needs_probe(SERVICE, servers)
    clock.advance(REACHED_SECONDS + 0.1)
    assert here.needs_probe(SERVICE, servers[1:])
    assert not here.needs_probe(SERVICE, servers[:1]), "corrected by the good one"


def test_a_working_service_reports_nothing():
    """Digests of a deployment without outages must not grow."""
    reach, _ = make_reachability()
    for server in make_servers(3):
        reach.record_outcome(server, Answered(200))
    assert not reach.shared.digest() and not reach.unreached


@pytest.mark.parametrize("time_left", [0.3, 1.5, 6.0, 60.0])
def test_a_retry_is_asked_for_while_the_caller_can_still_wait(time_left):
    """Callers wait for up to a third of the time that they have left."""
    reach, clock = make_reachability()
    servers = make_servers(2)
    fail_all(reach, servers)
    reach.is_down(SERVICE, servers)
    for _ in range(20):
        seconds = reach.refuse(SERVICE, time_left)
        assert 0.75 * min(MIN_RETRY_SECONDS, time_left / 3) <= seconds
        assert seconds <= max(MAX_RETRY_SECONDS, MIN_RETRY_SECONDS) * 1.25
        if time_left >= 3 * MIN_RETRY_SECONDS:
            assert seconds <= time_left / 3
        clock.advance(0.3)


def test_probes_take_turns_and_begin_with_servers_without_a_failure():
    reach, clock = make_reachability()
    servers = make_servers(4)
    for server in servers[:3]:
        clock.advance(0.1)
        reach.record_unreached(server)
    assert reach.servers_to_probe(servers, 1) == [servers[3]]
    assert reach.servers_to_probe(servers, 2)[1] == servers[0]


def test_servers_that_are_not_tried_any_more_are_forgotten():
    """Each restart has a new start, so the state would grow with them."""
    reach, clock = make_reachability()
    servers = make_servers(3)
    fail_all(reach, servers)
    clock.advance(MAX_AGE_SECONDS + 0.1)
    fail_all(reach, servers[:1])
    assert set(reach.unreached) == {servers[0].start}
