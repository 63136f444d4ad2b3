"""The whole path on the users' platform, over loopback, and its failures."""

import asyncio
import json

import pytest

from gypsumshift.httpclient import FetchError
from gypsumshift.neighbours import StorePath
from standins.users_documents import config, job_body, route, settings_text
from standins.users_store import RAW_BYTES_FIELD, Faults
from standins.users_worker import FakeWorker, event_text, plain_answer
from tests.platform_cluster import run_scenario
from tests.system import until


def test_a_request_goes_to_a_worker_and_back(tmp_path):
    async def scenario(world):
        exchange, body = await world.send_request("POST", "/app/1?x=2", "a1", b"hello")
        assert (exchange.status, body) == (200, plain_answer("a1"))
        assert exchange.header(b"server-stamp") == f"{world.app.id}.a1"
        exchange, _ = await world.send_request("POST", "/none/1")
        assert exchange.status == 404

    run_scenario(scenario, tmp_path)


def test_a_batch_job_is_accepted_run_scored_read_and_ended(tmp_path):
    async def scenario(world):
        for _ in range(2):
            exchange, _ = await world.send_request(
                "POST", "/batch/1", "job", job_body("job")
            )
            assert exchange.status == 202
        results = await world.read_results()
        assert sorted(r["id"] for r in results) == [
            f"job-{g}-{n}" for g in (0, 1) for n in (0, 1)
        ]
        one = results[0]
        whole = "\n".join(event_text(one["id"], n) for n in range(1, 5))
        assert (one["state"], one["text"], one["versions"]) == ("succeeded", whole, [1])
        assert one["score"] == f"{world.app.id}.score-{one['id']}"
        exchange, body = await world.send_request(
            "GET", "/gypsumshift/items/job?id=job-1-0"
        )
        assert (exchange.status, body) == (200, b"1/0")
        for _ in range(2):
            exchange, _ = await world.send_request("DELETE", "/gypsumshift/lots/job")
            assert exchange.status == 200
        assert await world.read_results() == results
        exchange, _ = await world.send_request("GET", "/gypsumshift/lots/none")
        assert exchange.status == 404

    run_scenario(scenario, tmp_path)


def test_a_named_version_is_ordered_and_labels_what_follows(tmp_path):
    async def scenario(world):
        await world.store.write_row("op", "version/m", {"model": "m", "version": 2})
        body = job_body("job", min_version=2)
        exchange, _ = await world.send_request("POST", "/batch/1", "job", body)
        assert exchange.status == 202
        results = await world.read_results()
        assert all(r["versions"] == [2] for r in results)
        orders = [run["order"] for run in world.engine.runs if "order" in run]
        assert [o["version"] for o in orders] == [2]
        assert orders[0]["holder"] == "side" and orders[0]["fence"] > 0

    run_scenario(scenario, tmp_path)


def test_a_request_that_may_not_be_repeated_runs_once(tmp_path):
    async def scenario(world):
        world.app.pause = 0.3
        slow = asyncio.create_task(world.send_request("POST", "/once/1", "only"))
        exchange, _ = await slow
        assert exchange.status == 200
        runs = [r for r in world.app.runs if r["request"] == "only"]
        assert len(runs) == 1
        world.app.slots = 0
        exchange, _ = await world.send_request("POST", "/once/1", "full")
        assert exchange.status == 503 and float(exchange.header(b"retry-after")) > 0
        assert not [r for r in world.app.runs if r["request"] == "full"]

    run_scenario(scenario, tmp_path)


def test_a_lost_answer_is_tried_again_only_where_that_is_allowed(tmp_path):
    async def scenario(world):
        other = FakeWorker("app")
        await world.register(other)
        await until(lambda: other.id in world.gateway.directory.servers)
        world.app.loses_answers = other.loses_answers = True
        exchange, _ = await world.send_request("POST", "/once/1", "only")
        assert exchange.status == 502, "it may have run, so it is not called refused"
        exchange, _ = await world.send_request("POST", "/app/1", "again")
        runs = [r["request"] for w in (world.app, other) for r in w.runs]
        assert (runs.count("only"), runs.count("again")) == (1, 2)

    run_scenario(scenario, tmp_path)


def test_a_job_during_an_outage_is_refused_or_unsure_but_never_lost(tmp_path):
    async def scenario(world):
        world.store.faults = Faults(down="busy")
        exchange, _ = await world.send_request(
            "POST", "/batch/1", "job", job_body("job")
        )
        assert exchange.status == 503
        world.store.faults = Faults(lose=1.0)
        lost = asyncio.create_task(
            world.send_request("POST", "/batch/1", "job", job_body("job"))
        )
        await until(lambda: world.store.tables.version and not world.store.late_commits)
        await until(lambda: ("jobs", "job", "job") in world.store.tables.rows)
        world.store.faults = Faults()
        exchange, _ = await lost
        assert exchange.status == 202, "the write whose answer was lost is settled"
        assert len(await world.read_results()) == 4

    run_scenario(scenario, tmp_path)


def stream_text(request_id):
    return "".join(
        f"id: {n}\ndata: {event_text(request_id, n)}\n\n" for n in range(1, 5)
    ).encode()


def test_a_stream_that_may_be_resumed_goes_on_at_another_worker(tmp_path):
    async def scenario(world):
        other = FakeWorker("pool", ("m",))
        await world.register(other)
        await until(lambda: other.id in world.gateway.directory.servers)
        # Whichever is asked first breaks off inside its third event.
        world.engine.break_at_events = other.break_at_events = [3]
        exchange, body = await world.send_request("POST", "/resumed/1", "s1")
        assert body == stream_text("s1")
        runs = [r["after"] for w in (world.engine, other) for r in w.runs]
        assert sorted(runs) == [0, 2]
        exchange, body = await world.send_request("POST", "/flow/1", "s2")
        assert body == stream_text("s2")

    run_scenario(scenario, tmp_path)


def test_a_stream_that_may_not_be_resumed_is_cut_where_its_worker_cut_it(tmp_path):
    async def scenario(world):
        world.engine.break_at_events = [3]
        with pytest.raises(FetchError):
            await world.send_request("POST", "/flow/1", "s1")
        assert len(world.engine.runs) == 1

    run_scenario(scenario, tmp_path)


def test_a_newer_configuration_is_in_force_and_an_older_one_is_not(tmp_path):
    async def scenario(world):
        added = route("new", kind="safe", service="app")
        await world.store.write_row("op", "config", config(5, [added]))
        await until(lambda: world.gateway.directory.routes.version == 5)
        exchange, _ = await world.send_request("POST", "/new/1", "n1")
        assert exchange.status == 200
        await world.store.write_row("op", "config", config(4))
        await world.store.write_row("op", "broken", {"version": "?"})
        await world.store.write_row("op", "config", {"version": 9})
        await world.store.write_row("op", "config", config(10, [added]))
        await until(lambda: world.gateway.directory.routes.version == 10)

    run_scenario(scenario, tmp_path)


def test_lost_history_is_made_up_for(tmp_path):
    async def scenario(world):
        world.store.faults = Faults(down="reset")
        added = route("new", kind="safe", service="app")
        await world.store.write_row("op", "config", config(5, [added]))
        world.store.tables.drop_history()
        world.store.faults = Faults()
        await until(lambda: world.gateway.directory.routes.version == 5)

    run_scenario(scenario, tmp_path)


def test_a_draining_worker_gets_nothing_new(tmp_path):
    async def scenario(world):
        other = FakeWorker("app")
        await world.register(other)
        world.app.state = "draining"
        await world.register(world.app)
        await until(
            lambda: (
                [s.id for s in world.gateway.directory.ready_servers("app")]
                == [other.id]
            )
        )
        for number in range(10):
            await world.send_request("POST", "/app/1", f"d{number}")
        assert not world.app.runs and len(other.runs) == 10

    run_scenario(scenario, tmp_path)


def test_a_leaving_gateway_is_not_ready_and_finishes_what_runs(tmp_path):
    async def scenario(world):
        world.app.pause = 0.4
        running = asyncio.create_task(world.send_request("POST", "/app/1", "last"))
        await until(lambda: world.app.runs)
        leaving = asyncio.create_task(world.gateway.drain(2.0))
        await asyncio.sleep(0)
        exchange = await world.fetcher.open(
            world.ready_address, "GET", "/gypsumshift/ready", []
        )
        assert exchange.status == 503
        exchange, _ = await running
        assert exchange.status == 200
        assert exchange.header(b"connection") == "close"
        await leaving

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize(
    "body",
    [b"", b"[]", b"{}", b'{"requests": []}', b'{"requests": [{"id": 1}]}', b"\xff"],
)
def test_a_foreign_batch_job_is_refused_in_one_line(tmp_path, body):
    async def scenario(world):
        exchange, content = await world.send_request("POST", "/batch/1", "bad", body)
        assert exchange.status == 400
        assert "not a batch job" in json.loads(content)["error"]

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize("ids", [("one", "one"), ("one", "two", "one"), (1, "1")])
def test_a_batch_job_that_names_an_item_twice_is_refused_whole(tmp_path, ids):
    """A batch job with two items of one id is not accepted.

    What users would see: a batch job that is answered 202. Its item stands at two
    positions for those whose gateway was told both results at once; for others one of
    two results never comes, and the job never ends.

    Order of events: both copies of the item run, as two items of one unit. Their
    results are one row of the store, written twice in one transaction.

    Cause: nothing looked at the ids of one submission beside each other; only a second
    submission was told from the first. A number and its digits are one row, too.
    """

    async def scenario(world):
        value = json.loads(job_body("job", size=len(ids), groups=1))
        for one, item_id in zip(value["requests"], ids, strict=True):
            one["id"] = item_id
        body = json.dumps(value).encode()
        exchange, content = await world.send_request("POST", "/batch/1", "job", body)
        assert exchange.status == 400
        line = json.loads(content)["error"]
        assert str(ids[0]) in line and "\n" not in line
        assert not [place for place in world.store.tables.rows if place[1] == "job"]

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize(
    ("text", "what"),
    [
        ("", "node_name is missing"),
        (settings_text("x", "127.0.0.1", ("127.0.0.1", "no-port")), "invalid literal"),
    ],
)
def test_bad_settings_are_told_in_one_line(tmp_path, text, what):
    import node_settings

    file = tmp_path / "boot.conf"
    file.write_text(text)
    with pytest.raises(node_settings.SettingsError, match=what):
        node_settings.load(file)


def test_a_store_that_returns_from_silence_is_used_at_once():
    from row_store import (
        READ_TIMEOUT_S,
        SHORT_TIMEOUT_S,
        WRITE_TIMEOUT_S,
        PlatformStore,
    )

    path = StorePath(("127.0.0.1", 1), None, None, None, "here", [])
    store = PlatformStore(path)
    assert store.call_timeout(WRITE_TIMEOUT_S) == WRITE_TIMEOUT_S
    patience = []
    for silent in range(1, 7):
        store.unanswered_calls = silent
        patience.append(store.call_timeout(READ_TIMEOUT_S))
    assert patience.count(SHORT_TIMEOUT_S) == 4
    assert patience.count(READ_TIMEOUT_S) == 2, "a slow store is never reached"


def test_a_gateway_that_the_store_does_not_answer_works_through_the_agent(tmp_path):
    async def scenario(world):
        path = world.gateway.store.path
        await until(lambda: path.neighbours)
        path.store = ("127.0.0.1", 1)
        await until(lambda: path.via is not None)
        exchange, _ = await world.send_request(
            "POST", "/batch/", "job", job_body("job")
        )
        assert exchange.status == 202
        assert len(await world.read_results()) == 4
        assert world.gateway.ready
        path.store = ("127.0.0.1", world.store_port)
        await until(lambda: path.via is None)

    run_scenario(scenario, tmp_path)


def test_a_worker_that_starts_again_under_its_id_ends_what_it_had(tmp_path):
    async def scenario(world):
        world.engine.events, world.engine.pause = 40, 0.03
        exchange, _ = await world.send_request(
            "POST", "/batch/1", "job", job_body("job")
        )
        assert exchange.status == 202
        await until(lambda: len(world.engine.runs) == 4)
        before = {run["request"] for run in world.engine.runs}
        world.engine.restart()
        await world.register(world.engine)
        # Its runs are cut and begun anew at once, behind what had come of them.
        await until(lambda: len(world.engine.runs) == 8)
        again = world.engine.runs[4:]
        assert {run["request"] for run in again} == before
        results = await world.read_results()
        for one in results:
            whole = "\n".join(event_text(one["id"], n) for n in range(1, 41))
            assert (one["state"], one["text"]) == ("succeeded", whole)

    run_scenario(scenario, tmp_path)


def test_foreign_rows_end_no_process_and_no_work(tmp_path):
    async def scenario(world):
        for table in ("op", "servers", "jobs", "claims", "results", "agents"):
            for key, value in (("x", {"a": 1}), ("config", {RAW_BYTES_FIELD: "/w=="})):
                await world.store.write_row(table, key, value)
        await world.store.write_row("neighbours", "x", {"address": "y", "zone": 1})
        await world.store.write_row("op", "version/m", {"model": ["m"], "version": "2"})
        exchange, _ = await world.send_request(
            "POST", "/batch/1", "job", job_body("job")
        )
        assert exchange.status == 202
        assert len(await world.read_results()) == 4
        exchange, _ = await world.send_request("POST", "/app/1", "a1")
        assert exchange.status == 200
        assert not any(task.done() for task in world.tasks)

    run_scenario(scenario, tmp_path)
