"""The memory budget for request bodies, over real sockets on loopback."""

import asyncio
import json

from gypsumshift.bytebudget import MIB, ByteBudget, ByteKind
from gypsumshift.httpserver import HttpServer, Response
from tests.budget_builders import (
    HOST,
    exchange_raw,
    new_budget,
    post,
    retry_after,
    status_of,
)

LIMIT_BYTES = 12 * MIB
LARGE_BYTES = 4 * MIB


class Backend:
    """HTTP server whose handler holds each request until it is told to answer."""

    def __init__(self, budget, classify_body=lambda request: ByteKind.REQUEST):
        self.budget = budget
        self.release = asyncio.Event()
        self.served = []
        # Tasks without a reference may be garbage-collected while they wait.
        self.callers = []
        self.server = HttpServer(self.serve, 64 * MIB, budget, classify_body)

    async def serve(self, request):
        self.served.append((request.path, len(request.body)))
        await self.release.wait()
        return Response(200)

    async def listen(self):
        return HOST, await self.server.listen(HOST, 0)


def run_scenario(scenario, budget=None, **options):
    async def run():
        backend = Backend(budget or new_budget(LIMIT_BYTES), **options)
        address = await backend.listen()
        try:
            async with asyncio.timeout(10):
                await scenario(backend, address)
        finally:
            await backend.server.stop(0)

    asyncio.run(run())


async def hold(backend, address, size):
    """Send a request and return its task once its handler runs."""
    count = len(backend.served)
    task = asyncio.create_task(exchange_raw(address, post("/", b"x" * size)))
    backend.callers.append(task)
    while len(backend.served) == count:
        await asyncio.sleep(0.001)
    return task


def test_a_large_body_above_the_budget_is_refused_and_small_ones_are_served():
    """The refusal must reach a caller that sends its whole body before it reads."""

    async def scenario(backend, address):
        first = await hold(backend, address, LARGE_BYTES)
        answer = await exchange_raw(address, post("/", b"x" * LARGE_BYTES))
        assert status_of(answer) == 503
        assert 0 < retry_after(answer) <= 0.5
        assert len(backend.served) == 1
        small = await hold(backend, address, 4000)
        backend.release.set()
        assert status_of(await first) == status_of(await small) == 200
        while backend.budget.total:
            await asyncio.sleep(0.001)

    run_scenario(scenario)


def test_a_declared_body_is_refused_before_it_is_sent():
    async def scenario(backend, address):
        head = post("/", b"x" * LARGE_BYTES).partition(b"\r\n\r\n")[0] + b"\r\n\r\n"
        await hold(backend, address, LARGE_BYTES)
        assert status_of(await exchange_raw(address, head)) == 503

    run_scenario(scenario)


def test_a_body_of_unknown_length_is_refused_as_it_arrives():
    async def scenario(backend, address):
        await hold(backend, address, LARGE_BYTES)
        head = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
        chunk = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
        answer = await exchange_raw(address, head + chunk * 64)
        assert status_of(answer) == 503 and b"connection: close" in answer.lower()
        assert backend.budget.total == LARGE_BYTES

    run_scenario(scenario)


def test_bytes_of_a_caller_that_disconnects_are_released():
    async def scenario(backend, address):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(post("/", b"x" * LARGE_BYTES)[:1000])
        while not backend.budget.total:
            await asyncio.sleep(0.001)
        writer.transport.abort()
        while backend.budget.total:
            await asyncio.sleep(0.001)

    run_scenario(scenario)


def test_without_a_limit_no_body_is_refused():
    async def scenario(backend, address):
        tasks = [await hold(backend, address, LARGE_BYTES) for _ in range(4)]
        backend.release.set()
        assert [status_of(await task) for task in tasks] == [200] * 4

    run_scenario(scenario, ByteBudget())


def test_a_batch_job_is_accepted_while_callers_bodies_take_the_budget():
    def classify(request):
        return ByteKind.JOB if request.path == "/job" else ByteKind.REQUEST

    async def scenario(backend, address):
        await hold(backend, address, LARGE_BYTES)
        refused = await exchange_raw(address, post("/", b"x" * LARGE_BYTES))
        assert status_of(refused) == 503
        job = asyncio.create_task(
            exchange_raw(address, post("/job", json.dumps(["x" * 190_000]).encode()))
        )
        while len(backend.served) < 2:
            await asyncio.sleep(0.001)
        backend.release.set()
        assert status_of(await job) == 200

    run_scenario(scenario, classify_body=classify)


def test_a_body_above_the_maximum_size_is_answered_413_not_503():
    async def scenario(backend, address):
        backend.server.max_body_bytes = MIB
        assert status_of(await exchange_raw(address, post("/", b"x" * 8 * MIB))) == 413

    run_scenario(scenario)
