"""An answer whose status is none is no answer, on any path that reads answers.

Guards against servers in trouble whose answers of status 000, or of any other number
that is no status, are passed on or taken for a success.
"""

import asyncio

import attrs
import pytest

from gypsumshift.attemptresults import AnswerReader, LostAttempt
from gypsumshift.eventstream import StreamBroken
from gypsumshift.generated.messages import Body, End, Head, Load, Whole
from gypsumshift.httpclient import Fetcher, FetchError
from gypsumshift.jobs.engine import EngineClient, StreamRefused, WeightLoadOrder
from gypsumshift.outcomes import Unavailable, Unknown
from gypsumshift.platforms import Write
from gypsumshift.serving.calls import Failed
from standins.users_documents import job_body
from standins.users_worker import FakeWorker
from tests import job_builders as jw
from tests import system
from tests.cut_server import CHUNK, STAMP, TYPE, CutPath, CutServer
from tests.moving_routes import MovingWorld
from tests.platform_cluster import PlatformCluster, run_scenario
from tests.silent_worker import read_stream
from tests.system import wait_until
from tests.test_endless_bytes import AnyProtocol

VERSION = b"HTTP/1.1 "
STATUS_LINES = {
    "000": VERSION + b"000 Oops",
    "000 without reason": VERSION + b"000",
    "000 of HTTP/1.0": b"HTTP/1.0 000 Oops",
    "001": VERSION + b"001 Oops",
    "099": VERSION + b"099 Oops",
    "100": VERSION + b"100 Continue",
    "101": VERSION + b"101 Switching Protocols",
    "199": VERSION + b"199 Oops",
    "600": VERSION + b"600 Oops",
    "799": VERSION + b"799 Oops",
    "999": VERSION + b"999 Oops",
    "one digit": VERSION + b"2 OK",
    "two digits": VERSION + b"20 OK",
    "four digits": VERSION + b"2000 OK",
    "plus": VERSION + b"+20 OK",
    "minus": VERSION + b"-20 OK",
    "exponent": VERSION + b"2e2 OK",
    "letters": VERSION + b"OK",
    "no status": b"HTTP/1.1",
    "HTTP/0.9": b"HTTP/0.9 200 OK",
    "HTTP/2": b"HTTP/2 200 OK",
    "HTTP/2.0": b"HTTP/2.0 200 OK",
    "HTTP/9.9": b"HTTP/9.9 200 OK",
}
FIELDS = b"\r\nrequest-id: %b\r\n" + STAMP
BODY = FIELDS + b"content-length: 2\r\n\r\n{}"
EVENTS = FIELDS + TYPE + b"transfer-encoding: chunked\r\n\r\n" + CHUNK + b"0\r\n\r\n"
# A whole answer of a body, and one of events, for each line.
ANSWERS = {
    f"{name}, {kind}": line + rest
    for name, line in STATUS_LINES.items()
    for kind, rest in {"body": BODY, "events": EVENTS}.items()
}
ITEM = attrs.evolve(jw.items(1, 1)[0], path="/run/cut")
every_answer = pytest.mark.parametrize("name", ANSWERS)


def play(name, scenario):
    """Run a scenario with a server that answers in the way of a name."""

    async def run():
        async with CutServer(ANSWERS[name], False) as server:
            fetcher = Fetcher()
            async with asyncio.timeout(20):
                await scenario(server, fetcher)
            fetcher.close_idle()
            assert server.cuts

    asyncio.run(run())


def entry(server):
    return jw.server(address=server.address)


def client_of(fetcher):
    protocol = AnyProtocol()
    protocol.order_target = protocol.report_target = "/cut"
    return EngineClient(fetcher, jw.NAMES, protocol)


@every_answer
def test_it_is_no_answer_to_a_fetch_an_order_or_a_report(name):
    """Fetches are those of the cloud API, of probes and of neighbours, too."""

    async def scenario(server, fetcher):
        with pytest.raises(FetchError):
            await fetcher.fetch(server.address, "GET", "/cut")
        client = client_of(fetcher)
        order = WeightLoadOrder(jw.MODEL, 2, "a", 1, 0)
        assert isinstance(await client.send_order(entry(server), order), Unknown)
        client.protocol.parse_report = lambda body: pytest.fail("taken for a report")
        assert await client.fetch_report(entry(server)) is None

    play(name, scenario)


@every_answer
def test_it_is_no_stream_of_an_item(name):
    async def scenario(server, fetcher):
        job = jw.job(jw.split_into_units([ITEM]))
        with pytest.raises(StreamBroken) as caught:
            stream = client_of(fetcher).stream(entry(server), ITEM, job, 0, 5)
            async for _ in stream:
                pass
        assert not isinstance(caught.value, StreamRefused)

    play(name, scenario)


@every_answer
def test_it_gives_a_reward_call_no_score(name):
    async def scenario(server, fetcher):
        world = MovingWorld()
        world.sender.fetcher = fetcher
        world.sender.exchange = (
            type(world.sender).__mro__[1].exchange.__get__(world.sender)
        )
        known = world.directory.servers["a"]
        call = attrs.evolve(world.call(reward_for="w"), target="/score/cut")
        outcome = await world.sender.attempt(
            call, attrs.evolve(known, address=server.address)
        )
        assert isinstance(outcome, Failed) and outcome.sent

    play(name, scenario)


@every_answer
def test_it_is_no_answer_of_the_store(name):
    from row_store import PlatformStore

    async def scenario(server, fetcher):
        store = PlatformStore(CutPath(server, fetcher))
        assert isinstance(await store.read("op", "config"), Unavailable)
        assert isinstance(await store.commit([Write("t", "k", {})]), Unknown)

    play(name, scenario)


async def replace_workers(world, server, name):
    """Let a server be the only one of both services."""
    ready = world.gateway.directory.ready_servers
    for service in ("app", "pool"):
        row = world.app.table_entry("{}:{}".format(*server.address))
        row |= {"service": service}
        await world.store.write_row("servers", f"{service}-{name}", row)
    await wait_until(lambda: ready("app") and ready("pool"))


async def remove_workers(world, *names):
    """Remove servers; return once both services have none."""
    for name in names:
        await world.store.write_row("servers", name, None)
    ready = world.gateway.directory.ready_servers
    await wait_until(lambda: not ready("app") and not ready("pool"))


def test_callers_of_a_gateway_get_it_as_a_failure_of_the_gateway(tmp_path):
    """A request that may not be repeated is sent once."""

    async def scenario(world):
        await remove_workers(world, world.app.id, world.engine.id)
        for name, answer in ANSWERS.items():
            async with CutServer(answer, False) as server:
                await replace_workers(world, server, "odd")
                for prefix in ("app", "once", "flow", "resumed"):
                    before = server.cuts
                    exchange, _ = await world.send_request(
                        "POST", f"/{prefix}/cut", "r1", b"x"
                    )
                    assert exchange.status in (502, 504), (name, prefix)
                    assert not exchange.header(b"server-stamp"), (name, prefix)
                    sent = server.cuts - before
                    assert sent == 1 or prefix in ("app", "resumed"), (name, prefix)
                await remove_workers(world, "app-odd", "pool-odd")

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize("line", ["000", "600", "999", "HTTP/0.9"])
def test_a_stream_does_not_go_on_with_it(line, tmp_path):
    """A server that is asked to go on with a stream that broke answers oddly."""

    async def scenario(world):
        world.engine.break_at_events, world.engine.pause = [3], 0.3
        async with CutServer(STATUS_LINES[line] + EVENTS, False) as server:
            task = asyncio.create_task(read_stream(world, "/resumed/cut", "s1"))
            await wait_until(lambda: world.engine.runs)
            row = world.app.table_entry("{}:{}".format(*server.address))
            await world.store.write_row("servers", "odd", row | {"service": "pool"})
            await wait_until(lambda: "odd" in world.gateway.directory.servers)
            assert not task.done()
            seen = await task
            assert not seen.whole and seen.numbers == [1, 2] and server.cuts == 1

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize("status", [600, 799, 999])
def test_items_are_done_beside_it_with_their_own_outputs(status, tmp_path):
    """The first answers to items and reward calls are odd; none counts as a failure."""

    class OddWorker(FakeWorker):
        odd_answers = 4

        async def run_request(self, request):
            response = await super().run_request(request)
            if self.odd_answers:
                self.odd_answers -= 1
                response.status = status
            return response

    async def scenario(world):
        exchange, _ = await world.send_request(
            "POST", "/batch/job", "job", job_body("job")
        )
        assert exchange.status == 202
        results = await world.read_results()
        assert {result["state"] for result in results} == {"succeeded"}
        assert not world.engine.odd_answers and not world.app.odd_answers

    async def run():
        cluster = PlatformCluster(
            app=OddWorker("app"), engine=OddWorker("pool", ("m",))
        )
        try:
            async with asyncio.timeout(40):
                await cluster.start(tmp_path)
                await scenario(cluster)
        finally:
            await cluster.close()

    asyncio.run(run())


def test_callers_of_an_entry_get_it_as_a_failure_of_the_entry():
    async def work(sys, server):
        address = sys.entries[0].caller_address
        for name, answer in ANSWERS.items():
            server.data, server.cuts = answer, 0
            target = "/w/services/shop/cut"
            found = await Fetcher().fetch(address, "POST", target, [], b"x")
            assert found.status >= 500 and server.cuts == 1, name

    async def run():
        async with CutServer(b"", False) as server:
            async with system.System(engines=0, services=0) as sys:
                await sys.add_sidecar("shop-odd", "shop", server.address[1])
                await wait_until(sys.has_converged)
                await work(sys, server)

    asyncio.run(run())


@pytest.mark.parametrize("status", [-1, 0, 99, 100, 101, 199, 600, 999, 2000])
@pytest.mark.parametrize("whole", [True, False])
def test_it_is_no_answer_of_a_sidecar_to_an_entry(status, whole):
    class Router:
        failures = 0

        def record_failure(self, sidecar):
            self.failures += 1

    class Call:
        closed = False

        async def receive(self):
            head = Head(status, [])
            if whole:
                return Body(whole=Whole(head, b"x", End([], Load())))
            return Body(head=head)

        def close(self):
            self.closed = True

    router, call = Router(), Call()
    reader = AnswerReader(router, None, None, "a1", None, call, 1.0)
    assert isinstance(asyncio.run(reader.read(0.0)), LostAttempt)
    assert router.failures == 1 and call.closed
