"""Calls whose server does not accept connections, in virtual time.

Guards against late answers while servers are silent: a call waited for half of its
objective before a second server was tried, although nothing of it had been sent. And
since that server answered before the connection timed out, the silent one never counted
as failing and was chosen again.
"""

import asyncio
import datetime
import random

import attrs

from gypsumshift import memory
from gypsumshift.outcomes import Answered
from gypsumshift.serving import BackendServer, Directory
from gypsumshift.serving.calls import Call, Failed
from gypsumshift.serving.crashguard import CrashGuard
from gypsumshift.serving.forwarder import HEDGE_SHARE, Forwarder
from gypsumshift.serving.loadbalancer import LoadBalancer
from gypsumshift.serving.sender import Sender
from tests.job_builders import HOST, METRICS, NAMES, routes
from tests.virtual_time import LoopClock, run_in_virtual_time

OBJECTIVE_S = 0.16
SERVICE_S = 0.02
SERVERS = 4


class SilentServers(Sender):
    """Sender whose first servers accept no connection, and whose others answer."""

    silent = 0
    accepts = False

    async def exchange(self, call, server, progress):
        if int(server.id) >= self.silent:
            progress.connected = True
            await asyncio.sleep(SERVICE_S)
            return Answered(200)
        progress.connected = self.accepts
        await asyncio.sleep(0.3)
        return Failed("connection timed out", False)


def make_forwarder(silent, accepts=False):
    clock, directory = LoopClock(), Directory()
    for number in range(SERVERS):
        address = ("127.0.0.1", number)
        directory.set_server(BackendServer(str(number), "app", address, "here"))
    balancer = LoadBalancer("here", clock, random.Random(1))
    sender = SilentServers(directory, balancer, None, NAMES, clock, METRICS)
    sender.silent, sender.accepts = silent, accepts
    store = memory.MemoryTables()
    return Forwarder(sender, CrashGuard(store, clock, random.Random(1), METRICS))


def make_call(number, forwarder):
    objective = datetime.timedelta(seconds=OBJECTIVE_S)
    route = attrs.evolve(routes().find(HOST, "/score/"), objective=objective)
    deadline = forwarder.clock.monotonic() + 1.5
    return Call(f"r{number}", "POST", "/score/", HOST, [], b"", route, deadline)


async def play_calls(forwarder, count):
    """Forward calls one after the other; return the seconds that each one took."""
    took = []
    for number in range(count):
        began = forwarder.clock.monotonic()
        outcome = await forwarder.forward(make_call(number, forwarder))
        assert outcome == Answered(200)
        took.append(forwarder.clock.monotonic() - began)
    return took


def test_a_second_server_is_tried_soon_when_the_first_accepts_no_connection():
    async def scenario():
        return await play_calls(make_forwarder(SERVERS - 1), 1)

    took = run_in_virtual_time(scenario)
    assert took[0] <= OBJECTIVE_S


def test_a_server_that_accepts_connections_keeps_its_time_to_answer():
    """A hedge after each connection would double the work of a busy service."""

    async def scenario():
        forwarder = make_forwarder(1, accepts=True)
        forwarder.balancer.has_idle_connection = lambda address: address[1] == 0
        return await play_calls(forwarder, 1)

    took = run_in_virtual_time(scenario)
    assert took[0] >= HEDGE_SHARE * OBJECTIVE_S + SERVICE_S - 0.001


def test_a_silent_server_is_ejected_although_a_second_one_always_answers_first():
    async def scenario():
        forwarder = make_forwarder(1)
        await play_calls(forwarder, 40)
        silent = forwarder.directory.servers["0"]
        return (
            forwarder.balancer.stats(silent).avoided_until > forwarder.clock.monotonic()
        )

    assert run_in_virtual_time(scenario)
