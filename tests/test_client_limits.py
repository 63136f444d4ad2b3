"""Limits on what a client sends and on its time, over real sockets on loopback."""

import asyncio
import contextlib
import datetime
import random
import socket

import pytest

from gypsumshift import requestreader
from gypsumshift.bytebudget import MIB, ByteBudget, ByteKind
from gypsumshift.clientlimits import ClientLimits
from gypsumshift.clock import SystemClock
from gypsumshift.connectiontable import STALL_S, ClosableConnection, CloseReason
from gypsumshift.httpserver import HttpServer, Response
from gypsumshift.inbound import Inbound, PortKind, ProcessLimits, connection_limit
from gypsumshift.metrics import Metrics
from tests.budget_builders import HOST, exchange_raw, new_budget, post, status_of
from tests.builders import ManualClock
from tests.platform_cluster import ADAPTER_FOLDER  # noqa: F401

import directory_feed  # isort: skip

HEADER_BYTES = 1000
HEADER_TIMEOUT_S = 0.3
IDLE_TIMEOUT_S = 0.3
LARGE_BYTES = 4 * MIB
GET = b"GET / HTTP/1.1\r\nhost: h\r\n"


class Port:
    """HTTP server whose requests wait until they are released."""

    def __init__(self, budget=None, limits=None, connections=0):
        clock = SystemClock()
        self.metrics = Metrics("test", dict)
        self.inbound = Inbound(ProcessLimits(), clock, self.metrics)
        self.inbound.limit = connections or self.inbound.limit
        self.served = []
        self.answer = b"done"
        self.release = asyncio.Event()
        self.release.set()
        self.server = HttpServer(
            self.serve, 64 * MIB, budget or ByteBudget(), inbound=self.inbound
        )
        self.server.client_limits = limits or ClientLimits(
            HEADER_BYTES,
            datetime.timedelta(seconds=HEADER_TIMEOUT_S),
            datetime.timedelta(seconds=IDLE_TIMEOUT_S),
        )

    async def serve(self, request):
        self.served.append((request.path, len(request.body)))
        await self.release.wait()
        return Response(200, [], self.answer)

    async def listen(self):
        return HOST, await self.server.listen(HOST, 0)

    def closed_for(self, reason):
        return self.metrics.totals.get(f"closed_connections.callers.{reason}", 0)


def run_port(scenario, **options):
    async def run():
        port = Port(**options)
        try:
            async with asyncio.timeout(20):
                await scenario(port, await port.listen())
        finally:
            await port.server.stop(0)
            port.metrics.close()

    asyncio.run(run())


async def read_to_end(reader):
    """Return what arrives until the connection ends, however it ends."""
    received = b""
    with contextlib.suppress(ConnectionError):
        while data := await reader.read(65536):
            received += data
    return received


@pytest.mark.parametrize("end", [b"\r\n", b""])
def test_a_head_above_the_limit_is_refused_complete_or_not(end):
    async def scenario(port, address):
        head = GET + b"x: " + b"x" * HEADER_BYTES + b"\r\n" + end
        assert status_of(await exchange_raw(address, head)) == 431
        assert not port.served

    run_port(scenario)


def test_a_head_at_the_limit_is_served():
    async def scenario(port, address):
        head = GET + b"connection: close\r\nx: \r\n\r\n"
        head = head.replace(b"x: ", b"x: " + b"x" * (HEADER_BYTES - len(head)))
        assert len(head) == HEADER_BYTES
        assert status_of(await exchange_raw(address, head)) == 200

    run_port(scenario)


def test_a_head_that_arrives_a_byte_at_a_time_has_one_time_limit():
    """A limit that begins anew with each byte never ends."""

    async def scenario(port, address):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(GET + b"x: ")
        loop = asyncio.get_running_loop()
        end = loop.time() + 10 * HEADER_TIMEOUT_S
        reading = asyncio.create_task(read_to_end(reader))
        while not reading.done() and loop.time() < end:
            writer.write(b"x")
            await asyncio.sleep(HEADER_TIMEOUT_S / 10)
        assert reading.done() and not reading.result()
        assert port.closed_for("header_timeout") == 1

    run_port(scenario)


def test_an_idle_connection_is_closed_after_the_time_of_the_operator():
    async def scenario(port, address):
        reader, writer = await asyncio.open_connection(*address)
        for _ in range(3):
            writer.write(GET + b"\r\n")
            assert b"done" in await reader.readuntil(b"done")
            await asyncio.sleep(0.5 * IDLE_TIMEOUT_S)
        assert await reader.read() == b""
        assert len(port.served) == 3

    run_port(scenario)


def test_a_body_that_arrives_a_byte_at_a_time_ends_and_was_not_run(monkeypatch):
    monkeypatch.setattr(requestreader, "BODY_PROGRESS_TIMEOUT_S", 0.3)

    async def scenario(port, address):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(post("/", b"x" * 5000)[:-5000])
        reading = asyncio.create_task(read_to_end(reader))
        while not reading.done():
            writer.write(b"x")
            await asyncio.sleep(0.02)
        assert status_of(reading.result()) == 408
        assert port.closed_for("body_timeout") == 1 and not port.served

    run_port(scenario)


def test_a_body_that_makes_progress_may_take_longer_than_the_time_limit(monkeypatch):
    monkeypatch.setattr(requestreader, "BODY_PROGRESS_TIMEOUT_S", 0.3)

    async def scenario(port, address):
        reader, writer = await asyncio.open_connection(*address)
        data = post("/", b"x" * 8000)
        writer.write(data[:-8000])
        for _ in range(8):
            writer.write(b"x" * 1000)
            await asyncio.sleep(0.1)
        assert status_of(await reader.readline()) == 200

    run_port(scenario)


def test_a_body_that_stalls_yields_its_memory_to_one_that_arrives():
    """Its client is told that it was not run; a request being served does not yield."""

    async def scenario(port, address):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(post("/stalls", b"x" * LARGE_BYTES)[:-1])
        while not port.server.budget.total:
            await asyncio.sleep(0.01)
        early = await exchange_raw(address, post("/early", b"x" * LARGE_BYTES))
        assert status_of(early) == 503 and not port.served
        await asyncio.sleep(1.2)
        answer = await exchange_raw(address, post("/late", b"x" * LARGE_BYTES))
        assert status_of(answer) == 200
        assert status_of(await read_to_end(reader) or b"HTTP/1.1 503 ") == 503
        assert port.served == [("/late", LARGE_BYTES)]
        assert port.closed_for("memory") == 1
        port.release.clear()
        served = asyncio.create_task(
            exchange_raw(address, post("/held", b"x" * LARGE_BYTES))
        )
        while len(port.served) < 2:
            await asyncio.sleep(0.01)
        await asyncio.sleep(1.2)
        answer = await exchange_raw(address, post("/refused", b"x" * LARGE_BYTES))
        assert status_of(answer) == 503
        port.release.set()
        assert status_of(await served) == 200

    run_port(scenario, budget=new_budget(12 * MIB))


def test_a_crowd_closes_neither_a_served_request_nor_a_busy_connection():
    async def scenario(port, address):
        port.release.clear()
        answer = asyncio.create_task(
            exchange_raw(address, GET + b"connection: close\r\n\r\n")
        )
        while not port.served:
            await asyncio.sleep(0.01)
        crowd = [await asyncio.open_connection(*address) for _ in range(40)]
        reader, writer = await asyncio.open_connection(*address)
        port.release.set()
        assert status_of(await answer) == 200
        writer.write(GET + b"\r\n")
        assert status_of(await reader.readline()) == 200
        assert len(port.server.table) <= 8
        assert port.closed_for("unfinished") >= 30
        for _, opened in crowd:
            opened.transport.abort()

    run_port(scenario, connections=8)


def test_pipelined_bytes_wait_and_lose_no_answer():
    async def scenario(port, address):
        answer = await exchange_raw(
            address, (GET + b"\r\n") * 2000 + GET + b"connection: close\r\n\r\n"
        )
        assert answer.count(b"done") == 2001

    run_port(scenario)


def test_a_crowd_at_one_port_leaves_room_at_the_others():
    """Each port has a share of what the process may open."""
    inbound = Inbound()
    inbound.limit = 100
    tables = [inbound.add_port(kind) for kind in PortKind]
    assert sum(table.limit for table in tables) <= 100
    assert min(table.limit for table in tables) >= 5


@pytest.mark.parametrize(
    ("memory_mb", "descriptors", "most"),
    [(120, 1000, 400), (160, 3075, 1438), (0, 600, 200), (58, 8200, 22)],
)
def test_descriptors_and_memory_limit_the_connections(memory_mb, descriptors, most):
    limits = ProcessLimits(memory_mb * MIB or float("inf"), descriptors)
    assert 16 <= connection_limit(limits) <= most


def test_the_configuration_sets_the_limits_of_callers():
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 5,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    value = {"version": 1, "routes": [], "services": [], "limits": limits}
    routes = directory_feed.decode_config(value)
    assert routes.body_limit == 5
    assert routes.client_limits == ClientLimits(
        16384, datetime.timedelta(seconds=3), datetime.timedelta(seconds=15)
    )
    del value["limits"]
    assert directory_feed.decode_config(value).client_limits == ClientLimits()


@pytest.mark.parametrize("number", ["1", None, -1, float("inf"), True, [1]])
@pytest.mark.parametrize(
    "name", ["max_header_bytes", "header_timeout_ms", "idle_timeout_ms"]
)
def test_a_limit_that_is_no_number_in_range_is_an_error(name, number):
    value = {"version": 1, "routes": [], "services": [], "limits": {name: number}}
    with pytest.raises((TypeError, ValueError)):
        directory_feed.decode_config(value)


def test_the_retry_delay_of_a_refusal_needs_no_limited_budget():
    assert ByteBudget().retry_after() > 0
    assert ByteBudget(chance=random.Random(1)).retry_after() > 0


def test_requests_behind_a_body_are_served_in_order():
    """Bytes behind a body that arrive with it come before those that arrive later."""

    async def scenario(port, address):
        port.release.clear()
        reader, writer = await asyncio.open_connection(*address)
        chunked = b"POST /0 HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
        writer.write(chunked + b"1\r\nx\r\n" * 1500 + b"0\r\n\r\n" + GET[:20])
        while not port.served:
            await asyncio.sleep(0.01)
        writer.write(GET[20:] + b"connection: close\r\n\r\n")
        await asyncio.sleep(0.1)
        port.release.set()
        assert (await reader.read()).count(b"done") == 2
        assert port.served == [("/0", 1500), ("/", 0)]

    run_port(scenario)


def test_a_long_trailer_is_read_to_its_end():
    async def scenario(port, address):
        chunked = b"POST /0 HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
        trailer = b"a:\r\n" * 6000 + b"\r\n"
        data = (
            chunked + b"1\r\nx\r\n0\r\n" + trailer + GET + b"connection: close\r\n\r\n"
        )
        assert (await exchange_raw(address, data)).count(b"done") == 2

    run_port(scenario, limits=ClientLimits())


class Client(ClosableConnection):
    """Connection whose request releases its memory when it is closed."""

    def __init__(self, budget):
        self.holding = budget.hold()
        self.closed = None

    def evict(self, reason):
        self.closed = reason
        self.holding.release()


def test_stalled_requests_yield_only_for_requests_of_their_budget():
    """Closing those of another budget would free nothing for the one that asks."""
    clock = ManualClock()
    inbound = Inbound(clock=clock)
    callers, peers = new_budget(8 * MIB), new_budget(8 * MIB)

    def reserve(client):
        return inbound.reserve(client, client.holding, ByteKind.REQUEST, 3 * MIB)

    caller, peer, other = Client(callers), Client(peers), Client(peers)
    assert reserve(caller) and reserve(peer)
    assert not reserve(other)
    clock.advance(STALL_S)
    assert reserve(other)
    assert peer.closed is CloseReason.MEMORY and caller.closed is None


def test_a_full_port_closes_no_caller_that_pauses_in_its_answer():
    """An answer under way is lost with its connection."""

    async def scenario(port, address):
        port.answer = b"x" * 8 * MIB
        reader, writer = await asyncio.open_connection(*address, limit=1024)
        writer.write(GET + b"connection: close\r\n\r\n")
        await asyncio.sleep(2.5)
        crowd = [await asyncio.open_connection(*address) for _ in range(20)]
        await asyncio.sleep(0.2)
        assert len(await read_to_end(reader)) > 8 * MIB
        for _, opened in crowd:
            opened.transport.abort()

    run_port(scenario, budget=new_budget(32 * MIB), connections=4)


def post_bodies(address, size, count):
    """Send bodies on one connection, each after the answer to the one before."""
    body = b"x" * size
    data = post("/", body).replace(b"connection: close\r\n", b"")
    with socket.create_connection(address) as sock:
        for _ in range(count):
            sock.sendall(data)
            answer = b""
            while not answer.endswith(b"done"):
                answer += sock.recv(1024)


def test_large_bodies_do_not_wait_for_segments_to_be_sent_again():
    """A receive buffer below a few segments drops some; each is late by 200 ms.

    With 16 KiB, eight bodies of 1 MiB were not received within 80 s.
    """

    async def scenario(port, address):
        async with asyncio.timeout(5):
            await asyncio.to_thread(post_bodies, address, MIB, 8)
        assert port.served == [("/", MIB)] * 8

    run_port(scenario)
