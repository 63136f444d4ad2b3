"""The memory budget for relayed streams."""

import asyncio

from gypsumshift.bytebudget import MIB, ByteBudget, ByteKind
from gypsumshift.httpclient import Fetcher
from gypsumshift.serving.streams import STREAM_WINDOW_BYTES
from tests.budget_builders import new_budget
from tests.builders import ManualClock
from tests.platform_cluster import run_scenario

LIMIT_BYTES = 12 * MIB


def limit_budget(cluster, limit=LIMIT_BYTES):
    """Give the gateway of a cluster a budget with a limit."""
    budget = new_budget(limit)
    cluster.gateway.ports[0].server.budget = budget
    return budget


def test_a_stream_holds_its_window_until_its_end(tmp_path):
    async def scenario(cluster):
        budget = limit_budget(cluster)
        task = asyncio.create_task(cluster.send_request("GET", "/flow/1"))
        while not budget.held[ByteKind.STREAM]:
            await asyncio.sleep(0.001)
        assert budget.held[ByteKind.STREAM] == STREAM_WINDOW_BYTES
        exchange, _ = await task
        assert exchange.status == 200
        while budget.total:
            await asyncio.sleep(0.001)

    run_scenario(scenario, tmp_path)


def test_a_stream_that_does_not_fit_is_refused_before_it_is_sent(tmp_path):
    """503 guarantees that the request is not run, so nothing may be sent before."""

    async def scenario(cluster):
        budget = limit_budget(cluster)
        while (other := budget.hold()).add(ByteKind.STREAM, STREAM_WINDOW_BYTES):
            pass
        runs = len(cluster.engine.runs)
        exchange, _ = await cluster.send_request("GET", "/flow/1")
        assert exchange.status == 503 and len(cluster.engine.runs) == runs
        assert 0 < float(exchange.header(b"retry-after")) <= 0.5
        other.release()

    run_scenario(scenario, tmp_path)


def test_bytes_that_arrive_after_the_request_ended_are_not_held_for_ever():
    """A trial runs on when its caller disconnects, and would hold its answer."""
    budget = ByteBudget(LIMIT_BYTES, ManualClock())
    holding = budget.hold()
    holding.add(ByteKind.REQUEST, 1000)
    holding.release()
    assert holding.add(ByteKind.ANSWER, 1000)
    holding.remove(ByteKind.ANSWER, 1000)
    holding.release()
    assert budget.total == 0


def test_the_gateway_limits_the_buffers_of_its_connections_to_servers(tmp_path):
    async def scenario(cluster):
        fetcher: Fetcher = cluster.gateway.forwarder.sender.fetcher
        assert fetcher.receive_window_bytes
        assert cluster.gateway.ports[0].server.budget.is_limited

    run_scenario(scenario, tmp_path, **{"limits.memory_mb": "200"})
