"""Limit on reward calls by the measured capacity of the application.

Guards against reward calls that take the slots of callers when servers are slow or
dead: the limit was half of the listed slots, whatever the servers could serve.
"""

import random

import pytest

from gypsumshift import memory
from gypsumshift.agentnode import AgentNode
from gypsumshift.httpclient import Fetcher
from gypsumshift.jobs.localengine import AgentIdentity
from gypsumshift.jobs.records import RewardCall
from gypsumshift.jobs.rewardlimiter import MIN_SLOTS, REWARD_SLOT_SHARE, RewardLimiter
from gypsumshift.serving import Directory, ServerLoad
from tests.builders import ManualClock
from tests.job_builders import (
    ADDRESS,
    HOST,
    METRICS,
    NAMES,
    SERVICE,
    routes,
    server,
)
from tests.load_builders import make_balancer, make_load, make_servers

AGENTS = 6
CALL = RewardCall("r", HOST, "/score/", b"")


@pytest.fixture
def application():
    """Return a limiter, a balancer and the servers of an application of 36 slots."""
    directory, listed = Directory(), make_servers(6)
    directory.set_routes(routes())
    for number in range(AGENTS):
        directory.set_server(server(f"e{number}"))
    for listed_server in listed:
        directory.set_server(listed_server)
    balancer, clock = make_balancer()
    limiter = RewardLimiter(clock, directory)
    limiter.usable_slots = balancer.usable_slots
    return limiter, balancer, listed


def limit_for(limiter):
    limiter.update_limit(CALL)
    return limiter.call_limit


def test_listed_slots_count_while_servers_report_three_figures(application):
    limiter, balancer, listed = application
    balancer.record_load(listed[0], ServerLoad(6, 20, 6))
    for number, slow in enumerate(listed):
        balancer.record_success(slow, 0.3 if number < 2 else 0.03)
    assert limit_for(limiter) == 3


def test_the_limit_falls_with_a_reported_slowdown_and_rises_again(application):
    limiter, balancer, listed = application
    for slow in listed:
        balancer.record_load(slow, make_load(slowdown=2.5))
    assert limit_for(limiter) == pytest.approx(3 / 2.5)
    for usual in listed:
        balancer.clock.advance(0.01)
        balancer.record_load(usual, make_load())
    assert limit_for(limiter) == 3


def test_ejected_and_lost_servers_do_not_count(application):
    limiter, balancer, listed = application
    for _ in range(2):
        balancer.record_failure(listed[0], listed)
    balancer.record_gone(listed[1])
    assert limit_for(limiter) == 2


def test_the_limit_does_not_rise_if_no_server_is_usable(application):
    """A capacity of 0 is not the unknown capacity for which one call is allowed."""
    limiter, balancer, listed = application
    for lost in listed:
        balancer.record_gone(lost)
    assert limit_for(limiter) == REWARD_SLOT_SHARE * MIN_SLOTS / AGENTS


def test_the_limiter_of_an_agent_process_uses_the_capacity_measured_there():
    directory, listed = Directory(), make_servers(6)
    node = AgentNode(
        AgentIdentity("a", SERVICE, ADDRESS),
        memory.MemoryTables(),
        directory,
        [],
        NAMES,
        None,
        "here",
        ManualClock(),
        Fetcher(),
        random.Random(1),
        METRICS,
    )
    node.balancer.record_gone(listed[0])
    limiter = node.agent.runner.item_runner.reward_limiter
    assert limiter.usable_slots(listed) == 30
