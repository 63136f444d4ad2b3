"""Answers in pieces of one byte leave turns of the event loop to others.

Guards against servers, engines, applications that score, and a store that starve the
other requests of the process which reads their answers: 64 KiB of such pieces are ten
thousand events of the parser, which were handled in one turn.
"""

import asyncio
import contextlib
import random

import h11
import pytest

from gypsumshift.backendrequest import send_to_backend
from gypsumshift.dialects import DIALECTS
from gypsumshift.eventstream import EventSplitter, StreamBroken
from gypsumshift.generated.messages import Start
from gypsumshift.httpclient import Fetcher, FetchError
from gypsumshift.jobs.engine import EngineClient
from standins.users_documents import config, route
from tests import job_builders as jw
from tests.endless_server import CHUNKED, HEAD, EndlessServer
from tests.platform_cluster import run_scenario
from tests.system import wait_until

PIECES = b"1\r\nx\r\n" * 4000
LINES = b"1\r\n\n\r\n1\r\nx\r\n" * 2000
KINDS = {"bytes": (HEAD + CHUNKED, PIECES), "lines": (HEAD + CHUNKED, LINES)}
# Events of the parser that may be handled between two turns of another task.
MAX_EVENTS_PER_TURN = 100
TURNS = 300
ITEM = jw.items(1, 1)[0]


async def fetch(server, fetcher):
    await fetcher.fetch(server.address, "GET", "/", timeout=10.0)


async def read_item(server, fetcher):
    client = EngineClient(fetcher, jw.NAMES, None)
    job = jw.job(jw.split_into_units([ITEM]))
    entry = jw.server(address=server.address)
    async for _ in client.stream(entry, ITEM, job, 0, 5):
        pass


async def read_as_sidecar(server, fetcher):
    start = Start(
        method="GET", target="/", headers=[], body=b"", repeatable=True, timeout_ms=9000
    )
    dialect = next(iter(DIALECTS.values()))
    reply = await send_to_backend(fetcher, server.address, start, dialect, 1)
    async for _ in reply.chunks():
        pass


READERS = {"fetch": fetch, "item": read_item, "sidecar": read_as_sidecar}


@pytest.fixture
def parsed(monkeypatch):
    """Return a function that gives the number of events parsed so far."""
    count = 0
    next_event = h11.Connection.next_event

    def count_event(connection):
        nonlocal count
        count += 1
        return next_event(connection)

    monkeypatch.setattr(h11.Connection, "next_event", count_event)
    return lambda: count


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("reader", READERS)
def test_others_get_turns_while_an_answer_in_single_bytes_is_read(kind, reader, parsed):
    async def run():
        beginning, rest = KINDS[kind]
        async with EndlessServer(beginning, rest) as server:
            fetcher = Fetcher()
            reading = asyncio.create_task(READERS[reader](server, fetcher))
            await wait_until(lambda: parsed() > MAX_EVENTS_PER_TURN)
            most = 0
            for _ in range(TURNS):
                before = parsed()
                await asyncio.sleep(0)
                most = max(most, parsed() - before)
            reading.cancel()
            with contextlib.suppress(asyncio.CancelledError, FetchError, StreamBroken):
                await reading
        assert most <= MAX_EVENTS_PER_TURN

    asyncio.run(run())


def test_ordinary_callers_are_answered_beside_answers_in_single_bytes(tmp_path):
    """The callers have long limits, so that nothing depends on the machine's speed."""
    routes = [
        route("app", kind="safe", service="app", attempts=2, timeout_ms=30_000),
        route("flow", kind="stream", service="pool", attempts=2, timeout_ms=60_000),
    ]

    async def scenario(world):
        await world.store.write_row("op", "config", config(2, routes))
        await wait_until(lambda: world.gateway.directory.routes.version == 2)
        async with EndlessServer(*KINDS["bytes"]) as server:
            entry = world.app.table_entry("{}:{}".format(*server.address[:2]))
            odd = entry | {"service": "pool"}
            await world.store.write_row("servers", world.engine.id, None)
            await world.store.write_row("servers", "odd", odd)
            ready = world.gateway.directory.ready_servers
            await wait_until(lambda: [s.id for s in ready("pool")] == ["odd"])
            streams = [
                asyncio.create_task(world.send_request("POST", "/flow/1", f"s{n}"))
                for n in range(30)
            ]
            await wait_until(lambda: server.answered >= 20)
            calls = [world.send_request("GET", f"/app/{n}", f"r{n}") for n in range(12)]
            done = await asyncio.gather(*calls)
            assert {exchange.status for exchange, _ in done} == {200}
            for stream in streams:
                stream.cancel()
            await asyncio.gather(*streams, return_exceptions=True)

    run_scenario(scenario, tmp_path)


def test_events_do_not_depend_on_the_pieces_in_which_they_arrive():
    chance = random.Random(1)
    text = b"id: 1\r\ndata: a\r\n\r\n\n\nid: 2\ndata: b\n\nid: 3\r\ndata"
    for _ in range(200):
        splitter, found, start = EventSplitter(), [], 0
        while start < len(text):
            end = start + chance.randint(1, 6)
            found += splitter.feed(text[start:end])
            start = end
        assert found == [b"id: 1\ndata: a", b"id: 2\ndata: b"]
        assert splitter.rest == b"id: 3\ndata"
