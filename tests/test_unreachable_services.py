"""Calls to a service whose servers cannot be reached, in virtual time.

Guards against calls that were held for up to 1.2 s before their refusal, and against
answers 502 and 504 to calls that had reached no server.
"""

import asyncio
import datetime
import time

import pytest

from gypsumshift.httpclient import FetchError
from gypsumshift.outcomes import Answered, NotRun, Unknown
from gypsumshift.serving import BackendServer
from gypsumshift.serving.calls import Failed
from gypsumshift.serving.observations import UNREACHABLE_SHARE, Observation
from gypsumshift.serving.reachprobes import FIRST_PROBES, IDLE_SECONDS
from tests.platform_cluster import crash_worker, run_scenario
from tests.test_connect_hedge import SERVERS, SilentServers, make_call, make_forwarder
from tests.virtual_time import run_in_virtual_time

CONNECT_S = 0.3
# A busy machine delays a request over loopback by this much.
SLACK_S = 0.1


class Network:
    """Network between a forwarder and its servers, which may be cut."""

    def __init__(self, forwarder):
        self.forwarder = forwarder
        self.cut = True
        self.probes = []

    async def connect(self, server):
        self.probes.append((self.forwarder.clock.monotonic(), server.id))
        if self.cut:
            await asyncio.sleep(CONNECT_S)
            return FetchError("connection timed out", False)
        await asyncio.sleep(0.002)
        return None

    def set_cut(self, cut):
        self.cut = cut
        self.forwarder.sender.silent = SERVERS if cut else 0


def cut_off_forwarder():
    forwarder = make_forwarder(SERVERS)
    network = Network(forwarder)
    forwarder.prober.connect = network.connect
    return forwarder, network


async def timed_call(forwarder, number=0):
    began = forwarder.clock.monotonic()
    outcome = await forwarder.forward(make_call(number, forwarder))
    return outcome, forwarder.clock.monotonic() - began


def test_calls_are_refused_at_once_within_a_second_of_the_first_failure():
    async def scenario():
        forwarder, _ = cut_off_forwarder()
        first = asyncio.create_task(timed_call(forwarder))
        await asyncio.sleep(1.0)
        later = [await timed_call(forwarder, n) for n in range(1, 20)]
        return [await first, *later]

    first, *later = run_in_virtual_time(scenario)
    assert all(isinstance(outcome, NotRun) for outcome, _ in [first, *later])
    assert first[1] <= 1.05
    assert max(took for _, took in later) <= 0.05
    assert all(
        datetime.timedelta(0) < outcome.retry_after <= datetime.timedelta(seconds=0.5)
        for outcome, _ in later
    )


def test_without_the_decision_calls_are_held():
    """Shows that the test above notices calls that are not refused at once."""

    async def scenario():
        forwarder, _ = cut_off_forwarder()
        forwarder.prober.is_down = lambda service, servers: False
        return await timed_call(forwarder)

    _, took = run_in_virtual_time(scenario)
    assert took > 1.0


def test_a_server_that_is_back_is_found_within_a_second_and_probes_are_few():
    async def scenario():
        forwarder, network = cut_off_forwarder()
        for number in range(50):
            await timed_call(forwarder, number)
            await asyncio.sleep(0.1)
        began = forwarder.clock.monotonic()
        per_second = len([at for at, _ in network.probes if at > began - 2]) / 2
        network.set_cut(False)
        while (await timed_call(forwarder, 99))[0] != Answered(200):
            await asyncio.sleep(0.02)
        return per_second, forwarder.clock.monotonic() - began

    per_second, took = run_in_virtual_time(scenario)
    assert took <= 1.0
    assert per_second <= 2 * SERVERS


def test_a_newly_listed_start_gets_the_next_call():
    async def scenario():
        forwarder, _ = cut_off_forwarder()
        await timed_call(forwarder)
        assert isinstance((await timed_call(forwarder, 1))[0], NotRun)
        address = ("127.0.0.1", 9)
        forwarder.directory.set_server(BackendServer("9", "app", address, "here"))
        return await timed_call(forwarder, 2)

    outcome, took = run_in_virtual_time(scenario)
    assert outcome == Answered(200)
    assert took <= 0.1


def test_reports_of_others_let_this_process_know_before_its_own_call():
    async def scenario():
        forwarder, network = cut_off_forwarder()
        network.set_cut(False)
        await timed_call(forwarder)
        await asyncio.sleep(2.0)
        network.set_cut(True)
        shared, now = forwarder.balancer.shared_observations, forwarder.clock.monotonic
        for server in forwarder.directory.ready_servers("app"):
            shared.merge([Observation(server.start, 0, 0, UNREACHABLE_SHARE, now())])
        await asyncio.sleep(1.0)
        return await timed_call(forwarder, 1)

    outcome, took = run_in_virtual_time(scenario)
    assert isinstance(outcome, NotRun)
    assert took <= 0.05


def test_a_service_that_works_is_left_alone_after_a_few_probes():
    """One lost server must not cost connections to all others again and again."""

    async def scenario():
        forwarder, network = cut_off_forwarder()
        network.set_cut(False)
        forwarder.sender.silent = 1
        for number in range(60):
            await timed_call(forwarder, number)
            await asyncio.sleep(0.1)
        return network.probes

    assert len(run_in_virtual_time(scenario)) <= 2 * FIRST_PROBES


def test_probes_end_when_no_calls_come():
    async def scenario():
        forwarder, network = cut_off_forwarder()
        await timed_call(forwarder)
        await asyncio.sleep(IDLE_SECONDS + 2)
        before = len(network.probes)
        await asyncio.sleep(60)
        return len(network.probes) - before, forwarder.prober.tasks

    assert run_in_virtual_time(scenario) == (0, {})


class SlowToConnect(SilentServers):
    """Sender whose servers never accept a connection, nor refuse it."""

    connects = False

    async def exchange(self, call, server, progress):
        progress.connected = self.connects
        await asyncio.sleep(100)
        return Failed("connection timed out", False)


@pytest.mark.parametrize(("connects", "outcome"), [(False, NotRun), (True, Unknown)])
def test_a_call_is_unknown_at_its_deadline_only_if_it_was_sent(connects, outcome):
    """An attempt without a connection counted as one that may have run: a 504."""

    async def scenario():
        forwarder, _ = cut_off_forwarder()
        forwarder.sender.__class__ = SlowToConnect
        forwarder.sender.connects = connects
        forwarder.prober.is_down = lambda service, servers: False
        return await timed_call(forwarder)

    assert isinstance(run_in_virtual_time(scenario)[0], outcome)


def test_a_caller_gets_503_at_once_while_the_only_server_refuses_connections(tmp_path):
    """The same with a gateway over loopback: status, Retry-After and return."""

    async def scenario(world):
        exchange, _ = await world.send_request("POST", "/app/1", "r0")
        assert exchange.status == 200
        port = world.app.server.listener.sockets[0].getsockname()[1]
        crash_worker(world.app)
        await world.send_request("POST", "/app/1", "r1")
        for number in range(2, 7):
            began = time.monotonic()
            exchange, _ = await world.send_request("POST", "/app/1", f"r{number}")
            assert exchange.status == 503
            assert 0 < float(exchange.header(b"retry-after")) <= 2.5
            assert time.monotonic() - began <= 0.05 + SLACK_S
        await world.app.server.listen("127.0.0.1", port)
        await asyncio.sleep(1.0)
        exchange, _ = await world.send_request("POST", "/app/1", "r9")
        assert exchange.status == 200

    run_scenario(scenario, tmp_path)
