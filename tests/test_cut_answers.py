"""Answers that end early never look complete, on any path that reads them.

Guards against answers of status 200 with an empty or short body, framed as whole, of a
server that stops in the middle of its answer's head and closes.
"""

import asyncio

import attrs
import pytest

from gypsumshift.eventstream import StreamBroken
from gypsumshift.httpclient import Fetcher, FetchError
from gypsumshift.jobs.engine import EngineClient, StreamRefused, WeightLoadOrder
from gypsumshift.outcomes import Unavailable, Unknown
from gypsumshift.platforms import Write
from gypsumshift.serving.calls import Failed
from tests import job_builders as jw
from tests import system
from tests.cut_server import CHUNK, CUTS, UNSIZED, CutPath, CutServer
from tests.moving_routes import MovingWorld
from tests.platform_cluster import run_scenario
from tests.system import wait_until
from tests.test_endless_bytes import AnyProtocol

CASES = [(name, resets) for name in CUTS for resets in (False, True)]
CASES += [(name, True) for name in UNSIZED]
DATA = CUTS | UNSIZED
PREFIXES = ("app", "once", "flow", "resumed")
ITEM = attrs.evolve(jw.items(1, 1)[0], path="/run/cut")


def play(scenario, *case):
    """Run a scenario with a server that cuts its answers as a case says."""

    async def run():
        async with CutServer(DATA[case[0]], case[1]) as server:
            fetcher = Fetcher()
            async with asyncio.timeout(20):
                await scenario(server, fetcher)
            fetcher.close_idle()
            assert server.cuts

    asyncio.run(run())


def entry(server):
    return jw.server(address=server.address)


@pytest.mark.parametrize(("name", "resets"), CASES)
def test_a_cut_answer_is_no_answer_for_a_fetch_or_an_order(name, resets):
    async def scenario(server, fetcher):
        with pytest.raises(FetchError):
            await fetcher.fetch(server.address, "GET", "/cut")
        protocol = AnyProtocol()
        protocol.order_target = "/cut"
        client = EngineClient(fetcher, jw.NAMES, protocol)
        order = WeightLoadOrder(jw.MODEL, 2, "a", 1, 0)
        assert isinstance(await client.send_order(entry(server), order), Unknown)

    play(scenario, name, resets)


@pytest.mark.parametrize(("name", "resets"), CASES)
def test_a_cut_stream_of_an_item_is_broken(name, resets):
    async def scenario(server, fetcher):
        client = EngineClient(fetcher, jw.NAMES, AnyProtocol())
        job = jw.job(jw.split_into_units([ITEM]))
        with pytest.raises((StreamBroken, StreamRefused)):
            async for _ in client.stream(entry(server), ITEM, job, 0, 5):
                pass

    play(scenario, name, resets)


@pytest.mark.parametrize(("name", "resets"), CASES)
def test_a_cut_answer_gives_a_reward_call_no_score(name, resets):
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

    play(scenario, name, resets)


@pytest.mark.parametrize(("name", "resets"), CASES)
def test_a_cut_answer_of_the_store_is_none(name, resets):
    from row_store import PlatformStore

    async def scenario(server, fetcher):
        store = PlatformStore(CutPath(server, fetcher))
        assert isinstance(await store.read("op", "config"), Unavailable)
        outcome = await store.commit([Write("t", "k", {})])
        assert isinstance(outcome, Unknown)

    play(scenario, name, resets)


def looks_complete(result):
    """Return whether a request got a success that is framed as whole."""
    return isinstance(result, tuple) and result[0].status < 300


@pytest.mark.parametrize("resets", [False, True])
def test_callers_of_a_gateway_get_no_cut_answer_as_whole(resets, tmp_path):
    names = [name for name, reset in CASES if reset is resets]

    async def scenario(world):
        for worker in (world.app, world.engine):
            await world.store.write_row("servers", worker.id, None)
        ready = world.gateway.directory.ready_servers
        await wait_until(lambda: not ready("app") and not ready("pool"))
        for name in names:
            async with CutServer(DATA[name], resets) as server:
                for service in ("app", "pool"):
                    row = world.app.table_entry("{}:{}".format(*server.address))
                    row |= {"service": service}
                    await world.store.write_row("servers", f"{service}-{name}", row)
                await wait_until(lambda: ready("app") and ready("pool"))
                for prefix in PREFIXES:
                    before = server.cuts
                    request = world.send_request("POST", f"/{prefix}/cut", name, b"x")
                    results = await asyncio.gather(request, return_exceptions=True)
                    assert not looks_complete(results[0]), (name, prefix)
                    if prefix in ("once", "flow"):
                        assert server.cuts - before == 1, (name, prefix)
                for service in ("app", "pool"):
                    await world.store.write_row("servers", f"{service}-{name}", None)
                await wait_until(lambda: not ready("app") and not ready("pool"))

    run_scenario(scenario, tmp_path)


HEADS = {
    "no signature": b"HTTP/1.1 200 OK\r\nrequest-id: %b\r\n",
    "other request": b"HTTP/1.1 200 OK\r\nrequest-id: other\r\nserver-stamp: s\r\n",
}


@pytest.mark.parametrize("prefix", ["flow", "resumed"])
@pytest.mark.parametrize("head", HEADS.values(), ids=HEADS)
def test_a_stream_that_is_not_the_answer_of_its_server_is_not_relayed(
    head, prefix, tmp_path
):
    """A success needs the server's signature and the id of its request."""
    data = head + b"transfer-encoding: chunked\r\n\r\n" + CHUNK + b"0\r\n\r\n"

    async def scenario(world):
        await world.store.write_row("servers", world.engine.id, None)
        ready = world.gateway.directory.ready_servers
        await wait_until(lambda: not ready("pool"))
        async with CutServer(data, False) as server:
            row = world.app.table_entry("{}:{}".format(*server.address))
            row |= {"service": "pool"}
            await world.store.write_row("servers", "odd", row)
            await wait_until(lambda: ready("pool"))
            request = world.send_request("POST", f"/{prefix}/cut", "s1", b"x")
            results = await asyncio.gather(request, return_exceptions=True)
            assert not looks_complete(results[0]) and server.cuts == 1

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize("resets", [False, True])
def test_callers_of_an_entry_get_no_cut_answer_as_whole(resets):
    names = [name for name, reset in CASES if reset is resets]

    async def work(sys):
        address = sys.entries[0].caller_address
        for name in names:
            server = sys.cut_server
            server.data, server.resets = DATA[name], resets
            target = "/w/services/shop/cut"
            request = Fetcher().fetch(address, "POST", target, [], b"x")
            results = await asyncio.gather(request, return_exceptions=True)
            found = results[0]
            assert isinstance(found, FetchError) or found.status >= 500, name
            assert server.cuts == 1, name
            server.cuts = 0

    async def run():
        async with CutServer(b"", resets) as server:
            async with system.System(engines=0, services=0) as sys:
                sys.cut_server = server
                await sys.add_sidecar("shop-cut", "shop", server.address[1])
                await wait_until(sys.has_converged)
                await work(sys)

    asyncio.run(run())
