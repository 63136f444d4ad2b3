"""Outcomes of attempts that a sender reports to the load balancer."""

import random

from gypsumshift.outcomes import Answered
from gypsumshift.serving import Directory
from gypsumshift.serving.calls import Call, Failed
from gypsumshift.serving.loadbalancer import LoadBalancer
from gypsumshift.serving.sender import Sender
from tests.builders import ManualClock
from tests.job_builders import HOST, METRICS, NAMES, routes
from tests.test_loadbalancer import servers

DURATION = 0.03


def make_sender(count=4):
    clock = ManualClock()
    directory = Directory()
    for server in servers(count):
        directory.set_server(server)
    balancer = LoadBalancer("here", clock, random.Random(1))
    return Sender(directory, balancer, None, NAMES, clock, METRICS)


def call(name="r"):
    route = routes().find(HOST, "/score/")
    return Call(name, "POST", "/score/", HOST, [], b"", route, 5.0)


def avoided(sender):
    now = sender.clock.monotonic()
    return {
        start.id
        for start, stats in sender.balancer.estimates.stats_by_start.items()
        if stats.avoided_until > now
    }


def test_a_call_that_fails_everywhere_counts_as_failure_of_one_server_only():
    """Counted at each of its four servers, the second such call ejected two."""
    sender = make_sender()
    for first in range(2):
        bad = call(f"bad{first}")
        for number in range(4):
            sender.record_outcome(
                bad, servers()[(first + number) % 4], Answered(500), DURATION
            )
    assert not avoided(sender)
    failures = [
        sender.balancer.stats(server).consecutive_failures for server in servers()
    ]
    assert failures == [1, 1, 0, 0]


def test_a_server_that_fails_two_different_calls_is_avoided():
    sender = make_sender()
    for number in range(2):
        sender.record_outcome(call(f"r{number}"), servers()[0], Answered(500), DURATION)
    assert avoided(sender) == {"s0"}


def test_broken_connections_count_as_failures_even_for_a_call_that_failed_before():
    sender = make_sender()
    bad = call()
    sender.record_outcome(bad, servers()[0], Answered(500), DURATION)
    for _ in range(2):
        sender.record_outcome(bad, servers()[1], Failed("reset", True), DURATION)
    assert avoided(sender) == {"s1"}


def test_a_server_that_is_gone_is_avoided_without_counting_failures():
    sender = make_sender()
    for sent in (True, False, False, False):
        gone = Failed("nobody listens", sent, gone=True)
        sender.record_outcome(call(), servers()[0], gone, DURATION)
    assert avoided(sender) == {"s0"}
    assert sender.balancer.stats(servers()[0]).consecutive_failures == 0
