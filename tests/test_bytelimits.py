"""Limits on the bytes outstanding at a server, learnt from its crashes under load."""

import asyncio
import random

import attrs
import pytest

from gypsumshift.httpclient import FetchError
from gypsumshift.policy import Policy
from gypsumshift.serving import Directory
from gypsumshift.serving.bytelimits import MIN_LIMIT_BYTES, ServerByteLimits
from gypsumshift.serving.calls import Call
from gypsumshift.serving.loadbalancer import LoadBalancer
from gypsumshift.serving.sender import Sender
from tests.builders import ManualClock
from tests.job_builders import HOST, METRICS, NAMES, routes
from tests.platform_cluster import run_scenario
from tests.test_loadbalancer import servers

CALL_BYTES = 200_000


def crash(limits, server, calls=4, size=CALL_BYTES):
    """Let a server crash while it holds some calls."""
    for _ in range(calls):
        limits.begin(server, size)
    limits.record_crash(server)
    for _ in range(calls):
        limits.end(server, size)


def room(limits, server, size=CALL_BYTES):
    """Return how many calls of a size a server takes at once, up to 100."""
    count = 0
    while count < 100 and limits.has_room(server, size):
        limits.begin(server, size)
        count += 1
    for _ in range(count):
        limits.end(server, size)
    return count


def test_without_a_crash_there_is_no_limit():
    assert room(ServerByteLimits(ManualClock()), servers()[0]) == 100


def test_a_crash_under_load_halves_the_bytes_that_the_next_start_gets():
    """Without the limit, the same load crashes the server again at once."""
    limits = ServerByteLimits(ManualClock())
    old = servers()[0]
    crash(limits, old)
    restarted = attrs.evolve(old, born=old.born + 1)
    assert room(limits, restarted) == 2
    assert room(limits, servers()[1]) == 100


def test_calls_of_one_crash_lower_the_limit_only_once():
    limits = ServerByteLimits(ManualClock())
    server = servers()[0]
    crash(limits, server)
    limits.begin(server, CALL_BYTES)
    limits.begin(server, CALL_BYTES)
    limits.record_crash(server)
    limits.end(server, CALL_BYTES)
    limits.end(server, CALL_BYTES)
    assert room(limits, server) == 2


def test_the_limit_is_raised_slowly_and_then_forgotten():
    clock = ManualClock()
    limits = ServerByteLimits(clock)
    crash(limits, servers()[0])
    found = []
    for _ in range(4):
        found.append(room(limits, servers()[0]))
        clock.advance(30)
    assert found == [2, 4, 8, 100]
    assert not limits.limits


def test_a_crash_with_one_call_or_few_bytes_teaches_no_limit():
    """It was the call and not the load that ended the server."""
    limits = ServerByteLimits(ManualClock())
    crash(limits, servers()[0], calls=1)
    crash(limits, servers()[1], calls=4, size=100)
    assert room(limits, servers()[0]) == room(limits, servers()[1]) == 100


def test_an_idle_server_takes_any_call_and_a_full_one_takes_empty_bodies():
    """Otherwise a call above the limit would never run anywhere."""
    limits = ServerByteLimits(ManualClock())
    server = servers()[0]
    crash(limits, server, size=MIN_LIMIT_BYTES)
    assert limits.has_room(server, 100 * MIN_LIMIT_BYTES)
    limits.begin(server, 100 * MIN_LIMIT_BYTES)
    assert not limits.has_room(server, 1)
    assert limits.has_room(server, 0)


def test_a_server_that_is_not_listed_for_a_while_keeps_its_limit():
    """Its entry expires before it is back, and the same load would crash it again."""
    clock = ManualClock()
    balancer = LoadBalancer("here", clock, random.Random(1))
    crash(balancer.byte_limits, servers()[0])
    balancer.prune(set())
    assert room(balancer.byte_limits, servers()[0]) == 2
    clock.advance(100)
    balancer.prune(set())
    assert not balancer.byte_limits.limits


@pytest.mark.parametrize("enabled", [True, False])
def test_the_balancer_chooses_another_server_unless_switched_off(enabled):
    policy = Policy(byte_budget=enabled)
    balancer = LoadBalancer("here", ManualClock(), random.Random(1), policy)
    listed = servers(2)
    crash(balancer.byte_limits, listed[0])
    for _ in range(2):
        balancer.byte_limits.begin(listed[0], CALL_BYTES)
    chosen = {balancer.choose(listed, set(), CALL_BYTES).id for _ in range(50)}
    assert (listed[0].id in chosen) is not enabled


class CrashingFetcher:
    """Fetcher whose server crashes once it holds some calls."""

    def __init__(self, calls):
        self.calls = calls
        self.crashed = asyncio.Event()

    async def open(self, *args, **options):
        self.calls -= 1
        if not self.calls:
            self.crashed.set()
        await self.crashed.wait()
        raise FetchError("connection broke before the response", True, closed=True)

    async def is_connection_refused(self, address, timeout):
        return True


def test_the_sender_learns_the_limit_from_calls_that_a_crash_ended():
    async def run():
        clock, directory, listed = ManualClock(), Directory(), servers(1)
        directory.set_server(listed[0])
        balancer = LoadBalancer("here", clock, random.Random(1))
        sender = Sender(directory, balancer, CrashingFetcher(4), NAMES, clock, METRICS)
        route = routes().find(HOST, "/score/")
        calls = [
            Call(f"r{n}", "POST", "/score/", HOST, [], b"x" * CALL_BYTES, route, 9e9)
            for n in range(4)
        ]
        await asyncio.gather(*(sender.attempt(call, listed[0]) for call in calls))
        assert room(balancer.byte_limits, listed[0]) == 2

    asyncio.run(run())


def test_a_call_that_no_server_can_take_is_refused_as_not_run(tmp_path):
    async def scenario(cluster):
        limits = cluster.gateway.balancer.byte_limits
        server = cluster.gateway.directory.servers[cluster.app.id]
        crash(limits, server)
        for _ in range(2):
            limits.begin(server, CALL_BYTES)
        body = b"x" * CALL_BYTES
        for path in ("/app/1", "/once/1"):
            exchange, _ = await cluster.send_request("POST", path, body=body)
            assert exchange.status == 503 and exchange.header(b"retry-after")
        assert not cluster.app.runs
        limits.end(server, CALL_BYTES)
        exchange, _ = await cluster.send_request("POST", "/app/1", "r2", body)
        assert exchange.status == 200

    run_scenario(scenario, tmp_path)


def test_streams_count_and_keep_to_the_limit(tmp_path):
    async def scenario(cluster):
        limits = cluster.gateway.balancer.byte_limits
        server = cluster.gateway.directory.servers[cluster.engine.id]
        body = b"x" * CALL_BYTES
        task = asyncio.create_task(cluster.send_request("POST", "/flow/1", body=body))
        while not limits.outstanding:
            await asyncio.sleep(0.001)
        assert limits.outstanding[server.start].size == CALL_BYTES
        await task
        assert not limits.outstanding
        crash(limits, server)
        for _ in range(2):
            limits.begin(server, CALL_BYTES)
        exchange, _ = await cluster.send_request("POST", "/flow/1", "r2", body)
        assert exchange.status == 503

    run_scenario(scenario, tmp_path)
