"""The memory budget for answers that are read completely, over real sockets."""

import asyncio
import random

from gypsumshift.bytebudget import MIB, ByteKind
from gypsumshift.clock import SystemClock
from gypsumshift.httpclient import Fetcher
from gypsumshift.httpserver import HttpServer, Response
from gypsumshift.outcomes import Answered
from gypsumshift.serving import BackendServer, Directory
from gypsumshift.serving.calls import Call, Failed
from gypsumshift.serving.loadbalancer import LoadBalancer
from gypsumshift.serving.sender import Sender
from tests import job_builders
from tests.budget_builders import HOST, new_budget
from tests.platform_cluster import gateway_lists
from tests.platform_cluster import run_scenario as run_cluster_scenario

# Answers may take half of it while nothing else is held.
LIMIT_BYTES = 12 * MIB
ANSWER_BYTES = 5 * MIB


async def chunks(count):
    for _ in range(count):
        yield b"x" * MIB


def large_response(request):
    """Return a response of the size that the request's path asks for."""
    headers = [("signature", "s")]
    if request.path.startswith("/chunked"):
        return Response(200, headers, chunks(5))
    status = 503 if request.path.startswith("/full") else 200
    size = 64 * 1024 * 1024 - 1 if request.path.startswith("/huge") else ANSWER_BYTES
    if status == 503:
        headers.append(("not-run", "full"))
    return Response(status, headers, b"x" * size)


class Bench:
    """One sender and one server that answers with large bodies."""

    def __init__(self):
        self.budget = new_budget(LIMIT_BYTES)
        self.server = HttpServer(self.serve)

    async def serve(self, request):
        return large_response(request)

    async def start(self):
        clock, directory, fetcher = SystemClock(), Directory(), Fetcher()
        address = HOST, await self.server.listen(HOST, 0)
        self.backend = BackendServer("s", "app", address, "here", 8)
        directory.set_server(self.backend)
        self.balancer = LoadBalancer("here", clock, random.Random(1))
        self.sender = Sender(
            directory,
            self.balancer,
            fetcher,
            job_builders.NAMES,
            clock,
            job_builders.METRICS,
        )

    def start_attempt(self, path="/score/"):
        route = job_builders.routes().find(job_builders.HOST, "/score/")
        deadline = self.sender.clock.monotonic() + 5
        call = Call("r", "GET", path, job_builders.HOST, [], b"", route, deadline)
        call.holding = self.budget.hold()
        return call, asyncio.create_task(self.sender.attempt(call, self.backend))


def run_scenario(scenario):
    async def run():
        bench = Bench()
        await bench.start()
        try:
            async with asyncio.timeout(10):
                await scenario(bench)
        finally:
            await bench.server.stop(0)

    asyncio.run(run())


def test_an_answer_counts_until_its_request_ends_and_the_next_one_waits():
    """Read at once, a few large answers exceed the memory of a small host."""

    async def scenario(bench):
        first_call, first = bench.start_attempt()
        assert isinstance(await first, Answered)
        assert bench.budget.held[ByteKind.ANSWER] == ANSWER_BYTES
        second_call, second = bench.start_attempt()
        await asyncio.sleep(0.1)
        assert not second.done()
        first_call.holding.release()
        assert len((await second).body) == ANSWER_BYTES
        second_call.holding.release()
        assert bench.budget.total == 0

    run_scenario(scenario)


def test_an_answer_without_a_declared_length_counts_as_it_arrives():
    async def scenario(bench):
        call, attempt = bench.start_attempt("/chunked")
        await attempt
        assert bench.budget.held[ByteKind.ANSWER] == ANSWER_BYTES
        call.holding.release()

    run_scenario(scenario)


def test_an_attempt_that_is_cancelled_while_it_waits_holds_nothing():
    async def scenario(bench):
        first_call, first = bench.start_attempt()
        await first
        _, second = bench.start_attempt()
        await asyncio.sleep(0.1)
        second.cancel()
        await asyncio.wait({second})
        first_call.holding.release()
        assert bench.budget.total == 0

    run_scenario(scenario)


def test_a_call_that_waits_for_memory_is_not_sent_to_a_second_server(tmp_path):
    """Its answer has arrived; a second one would wait for the same memory."""

    async def scenario(cluster):
        second = (await cluster.add_crashing_workers(1))[0]
        while not gateway_lists(cluster, second):
            await asyncio.sleep(0.01)
        budget = new_budget(LIMIT_BYTES)
        cluster.gateway.ports[0].server.budget = budget
        budget.add(ByteKind.REQUEST, LIMIT_BYTES)
        task = asyncio.create_task(cluster.send_request("GET", "/app/1"))
        await asyncio.sleep(0.6)
        budget.release(ByteKind.REQUEST, LIMIT_BYTES)
        exchange, _ = await task
        assert exchange.status == 200
        assert len(cluster.app.runs) + len(second.runs) == 1

    run_cluster_scenario(scenario, tmp_path)


def test_the_body_of_a_refusal_is_released_at_once():
    async def scenario(bench):
        _, attempt = bench.start_attempt("/full")
        await attempt
        assert bench.budget.total == 0

    run_scenario(scenario)


def test_an_answer_that_never_fits_is_unknown_and_no_failure_of_its_server():
    """Counted as a failure, large answers would eject healthy servers."""

    async def scenario(bench):
        _, attempt = bench.start_attempt("/huge")
        outcome = await attempt
        assert isinstance(outcome, Failed) and outcome.sent and outcome.local
        assert bench.balancer.stats(bench.backend).consecutive_failures == 0
        assert bench.budget.total == 0

    run_scenario(scenario)
