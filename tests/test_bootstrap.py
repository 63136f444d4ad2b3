"""A process that starts during an outage loads its tables from neighbours."""

import asyncio
import random

import pytest

from gypsumshift.bootstrap import KNOWN_TABLES_PATH, Bootstrap
from gypsumshift.clock import SystemClock
from gypsumshift.httpclient import Fetcher
from gypsumshift.httpserver import HttpServer, Response
from gypsumshift.memory import MemoryTables
from gypsumshift.neighbours import Neighbour
from gypsumshift.outcomes import Unavailable
from gypsumshift.platforms import Changes, Row, Write
from gypsumshift.relay import Relay
from gypsumshift.storepath import StorePath
from gypsumshift.watch import Watch
from standins.deployment import free_port
from standins.users_documents import settings_text
from tests.system import wait_until
from tests.test_platform import run_scenario

TABLE = "settings"


def make_watch(store, received):
    return Watch(
        store, TABLE, received.extend, received.extend, SystemClock(), keeps_rows=True
    )


def make_path(neighbours=()):
    path = StorePath(
        ("127.0.0.1", 1), Fetcher(), SystemClock(), random.Random(1), "here", []
    )
    path.neighbours = {n.name: n for n in neighbours}
    path.failures = 1
    return path


class UnavailableTables(MemoryTables):
    """Tables that are unavailable while ``unavailable`` is set."""

    unavailable = True

    async def snapshot(self, table, after=0):
        if self.unavailable:
            return Unavailable("down")
        return await super().snapshot(table, after)

    async def changes(self, table, after, wait):
        if self.unavailable:
            return Unavailable("down")
        return await super().changes(table, after, wait)


async def serve(handler):
    """Start a server with a handler; return the server and its address."""
    server = HttpServer(handler)
    return server, ("127.0.0.1", await server.listen("127.0.0.1", 0))


async def start_neighbour(name, store):
    """Start a process that has read a store; return its server and address."""
    watch = make_watch(store, [])
    await watch.poll_once()
    bootstrap = Bootstrap([watch], make_path(), SystemClock())
    relay = Relay(bootstrap.path, {KNOWN_TABLES_PATH: bootstrap.serve})
    server, address = await serve(relay.serve)
    return server, Neighbour(name, address, "here")


def test_newest_copy_of_neighbours_is_loaded_and_then_updated_by_store():
    async def run():
        store = UnavailableTables()
        await store.commit([Write(TABLE, "a", {"v": 1})])
        store.unavailable = False
        old_server, old = await start_neighbour("old", store)
        await store.commit([Write(TABLE, "a", {"v": 2}), Write(TABLE, "b", {"v": 1})])
        new_server, new = await start_neighbour("new", store)
        store.unavailable = True
        received = []
        watch = make_watch(store, received)
        bootstrap = Bootstrap([watch], make_path([old, new]), SystemClock())
        await watch.poll_once()
        assert watch.version < 0
        await asyncio.wait_for(bootstrap.run(), 10)
        assert {row.key: row.value["v"] for row in received} == {"a": 2, "b": 1}
        assert watch.current_at == float("-inf"), (
            "a neighbour's copy may be out of date"
        )
        store.unavailable = False
        await store.commit([Write(TABLE, "b", None)])
        await watch.poll_once()
        assert received[-1].key == "b" and received[-1].value is None
        assert [row.key for row in watch.kept_table().rows] == ["a"]
        for server in (old_server, new_server):
            await server.stop(0)

    asyncio.run(run())


def test_loaded_table_is_not_replaced_by_neighbours_copy():
    watch = make_watch(None, [])
    assert watch.load_copy(Changes([Row(TABLE, "a", 3, {"v": 3})], 3))
    assert not watch.load_copy(Changes([Row(TABLE, "a", 9, {"v": 9})], 9))
    assert watch.kept_table().version == 3


@pytest.mark.parametrize(
    "body", [b"", b"[]", b'{"settings": 1}', b'{"settings": {"rows": [{}]}}']
)
def test_invalid_answer_of_neighbour_is_ignored(body):
    async def run():
        async def answer(request):
            return Response(200, [], body)

        server, address = await serve(answer)
        bootstrap = Bootstrap([], make_path(), SystemClock())
        assert await bootstrap.request_tables(Neighbour("foreign", address)) == {}
        await server.stop(0)

    asyncio.run(run())


def test_gateway_that_starts_during_outage_serves_callers(tmp_path):
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
        # Its neighbours cannot reach the store either.
        world.gateway.store.path.store = ("127.0.0.1", 1)
        world.tasks.append(asyncio.create_task(late.run()))
        await wait_until(
            lambda: late.directory.routes.version and late.directory.servers
        )
        world.front_address = late.ports[0].server.listener.sockets[0].getsockname()
        exchange, _ = await world.send_request("POST", "/app/1", "a1", b"hello")
        assert exchange.status == 200

    run_scenario(scenario, tmp_path)
