"""A process that starts while the store is away learns from its neighbours."""

import asyncio
import random

import pytest

from gypsumshift.bootstrap import KNOWN_TABLES_PATH, Bootstrap
from gypsumshift.clock import SystemClock
from gypsumshift.httpclient import Fetcher
from gypsumshift.httpserver import HttpServer, Response
from gypsumshift.memory import MemoryTables
from gypsumshift.neighbours import Neighbour, Relay, StorePath
from gypsumshift.outcomes import Unavailable
from gypsumshift.platforms import Changes, Row, Write
from gypsumshift.watch import Watch
from standins.deployment import free_port
from standins.users_documents import settings_text
from tests.system import wait_until
from tests.test_platform import run_scenario

TABLE = "settings"


def kept_watch(store, told):
    return Watch(store, TABLE, told.extend, told.extend, SystemClock(), keeps_rows=True)


def path(neighbours=()):
    found = StorePath(
        ("127.0.0.1", 1), Fetcher(), SystemClock(), random.Random(1), "here", []
    )
    found.neighbours = {n.name: n for n in neighbours}
    found.failures = 1
    return found


class Away(MemoryTables):
    """A store that answers nobody until it returns."""

    away = True

    async def snapshot(self, table, after=0):
        if self.away:
            return Unavailable("away")
        return await super().snapshot(table, after)

    async def changes(self, table, after, wait):
        if self.away:
            return Unavailable("away")
        return await super().changes(table, after, wait)


async def serve(handler):
    """Have a handler answer; return the server and its address."""
    server = HttpServer(handler)
    return server, ("127.0.0.1", await server.listen("127.0.0.1", 0))


async def neighbour(name, store):
    """Start a process that knows what is in a store."""
    watch = kept_watch(store, [])
    await watch.poll_once()
    bootstrap = Bootstrap([watch], path(), SystemClock())
    relay = Relay(bootstrap.path, {KNOWN_TABLES_PATH: bootstrap.serve})
    server, address = await serve(relay.serve)
    return server, Neighbour(name, address, "here")


def test_the_newest_of_what_neighbours_know_is_taken_and_the_store_goes_on():
    async def run():
        store = Away()
        await store.commit([Write(TABLE, "a", {"v": 1})])
        store.away = False
        old_server, old = await neighbour("old", store)
        await store.commit([Write(TABLE, "a", {"v": 2}), Write(TABLE, "b", {"v": 1})])
        new_server, new = await neighbour("new", store)
        store.away = True
        told = []
        watch = kept_watch(store, told)
        bootstrap = Bootstrap([watch], path([old, new]), SystemClock())
        await watch.poll_once()
        assert watch.version < 0
        await asyncio.wait_for(bootstrap.run(), 10)
        assert {row.key: row.value["v"] for row in told} == {"a": 2, "b": 1}
        assert watch.current_at == float("-inf"), "nobody said that this is current"
        store.away = False
        await store.commit([Write(TABLE, "b", None)])
        await watch.poll_once()
        assert told[-1].key == "b" and told[-1].value is None
        assert [row.key for row in watch.kept_table().rows] == ["a"]
        for server in (old_server, new_server):
            await server.stop(0)

    asyncio.run(run())


def test_nothing_known_is_replaced_by_what_a_neighbour_knows():
    watch = kept_watch(None, [])
    assert watch.load_copy(Changes([Row(TABLE, "a", 3, {"v": 3})], 3))
    assert not watch.load_copy(Changes([Row(TABLE, "a", 9, {"v": 9})], 9))
    assert watch.kept_table().version == 3


@pytest.mark.parametrize(
    "body", [b"", b"[]", b'{"settings": 1}', b'{"settings": {"rows": [{}]}}']
)
def test_a_foreign_answer_is_left_out(body):
    async def run():
        async def answer(request):
            return Response(200, [], body)

        server, address = await serve(answer)
        bootstrap = Bootstrap([], path(), SystemClock())
        assert await bootstrap.request_tables(Neighbour("foreign", address)) == {}
        await server.stop(0)

    asyncio.run(run())


def test_a_gateway_that_starts_while_the_store_is_away_serves_callers(tmp_path):
    import main
    import node_settings

    async def scenario(world):
        seed = world.gateway.ports[2].address
        file = tmp_path / "late.conf"
        listen = {"listen.front": "127.0.0.1:0", "listen.ready": "127.0.0.1:0"}
        listen["listen.control"] = f"127.0.0.1:{free_port()}"
        listen["seeds"] = f"{seed[0]}:{seed[1]}"
        file.write_text(settings_text("late", "127.0.0.1", ("127.0.0.1", 1), **listen))
        late = main.new_gateway(node_settings.load(file))
        # Its neighbours are cut off from the store as well.
        world.gateway.store.path.store = ("127.0.0.1", 1)
        world.tasks.append(asyncio.create_task(late.run()))
        await wait_until(
            lambda: late.directory.routes.version and late.directory.servers
        )
        world.front_address = late.ports[0].server.listener.sockets[0].getsockname()
        exchange, _ = await world.send_request("POST", "/app/1", "a1", b"hello")
        assert exchange.status == 200

    run_scenario(scenario, tmp_path)
