"""Builders for tests of the load that servers report."""

import random

from gypsumshift.serving import BackendServer, ServerLoad
from gypsumshift.serving.loadbalancer import LoadBalancer
from tests.builders import ManualClock

SLOTS = 6


def make_servers(count=3, zones=("here",)):
    return [
        BackendServer(
            f"s{n}", "app", ("127.0.0.1", n), zones[n % len(zones)], SLOTS, born=7
        )
        for n in range(count)
    ]


def make_balancer(seed=1, clock=None):
    clock = clock or ManualClock()
    return LoadBalancer("here", clock, random.Random(seed)), clock


def make_load(running=0, slowdown=1.0, waiting=0, slots=SLOTS):
    """Return a load of four figures."""
    return ServerLoad(running, waiting, slots, slowdown, True)
