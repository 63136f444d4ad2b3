"""Requests and batch jobs from end to end on the stand-in platform, with failures."""

import asyncio
import json

import pytest

from gypsumshift.httpclient import FetchError
from gypsumshift.storepath import StorePath
from standins.users_documents import config, job_body, route, settings_text
from standins.users_store import RAW_BYTES_FIELD, Faults
from standins.users_worker import FakeWorker, event_text, plain_answer
from tests.platform_cluster import run_scenario
from tests.system import wait_until


def test_a_request_is_forwarded_and_its_response_returned(tmp_path):
    async def scenario(cluster):
        exchange, body = await cluster.send_request(
            "POST", "/app/1?x=2", "a1", b"hello"
        )
        assert (exchange.status, body) == (200, plain_answer("a1"))
        assert exchange.header(b"server-stamp") == f"{cluster.app.id}.a1"
        exchange, _ = await cluster.send_request("POST", "/none/1")
        assert exchange.status == 404

    run_scenario(scenario, tmp_path)


def test_a_batch_job_is_accepted_run_scored_read_and_ended(tmp_path):
    async def scenario(cluster):
        for _ in range(2):
            exchange, _ = await cluster.send_request(
                "POST", "/batch/1", "job", job_body("job")
            )
            assert exchange.status == 202
        results = await cluster.read_results()
        assert sorted(r["id"] for r in results) == [
            f"job-{g}-{n}" for g in (0, 1) for n in (0, 1)
        ]
        one = results[0]
        whole = "\n".join(event_text(one["id"], n) for n in range(1, 5))
        assert (one["state"], one["text"], one["versions"]) == ("succeeded", whole, [1])
        assert one["score"] == f"{cluster.app.id}.score-{one['id']}"
        exchange, body = await cluster.send_request(
            "GET", "/gypsumshift/items/job?id=job-1-0"
        )
        assert (exchange.status, body) == (200, b"1/0")
        for _ in range(2):
            exchange, _ = await cluster.send_request("DELETE", "/gypsumshift/lots/job")
            assert exchange.status == 200
        assert await cluster.read_results() == results
        exchange, _ = await cluster.send_request("GET", "/gypsumshift/lots/none")
        assert exchange.status == 404

    run_scenario(scenario, tmp_path)


def test_a_requested_weight_version_is_ordered_once_and_labels_the_results(tmp_path):
    async def scenario(cluster):
        await cluster.store.write_row("op", "version/m", {"model": "m", "version": 2})
        body = job_body("job", min_version=2)
        exchange, _ = await cluster.send_request("POST", "/batch/1", "job", body)
        assert exchange.status == 202
        results = await cluster.read_results()
        assert all(r["versions"] == [2] for r in results)
        orders = [run["order"] for run in cluster.engine.runs if "order" in run]
        assert [o["version"] for o in orders] == [2]
        assert orders[0]["holder"] == "side" and orders[0]["fence"] > 0

    run_scenario(scenario, tmp_path)


def test_a_request_that_may_not_be_repeated_runs_once_at_most(tmp_path):
    async def scenario(cluster):
        cluster.app.pause = 0.3
        slow = asyncio.create_task(cluster.send_request("POST", "/once/1", "only"))
        exchange, _ = await slow
        assert exchange.status == 200
        runs = [r for r in cluster.app.runs if r["request"] == "only"]
        assert len(runs) == 1
        cluster.app.slots = 0
        exchange, _ = await cluster.send_request("POST", "/once/1", "full")
        assert exchange.status == 503 and float(exchange.header(b"retry-after")) > 0
        assert not [r for r in cluster.app.runs if r["request"] == "full"]

    run_scenario(scenario, tmp_path)


def test_a_request_without_a_response_is_retried_only_on_a_safe_route(tmp_path):
    async def scenario(cluster):
        other = FakeWorker("app")
        await cluster.register(other)
        await wait_until(lambda: other.id in cluster.gateway.directory.servers)
        cluster.app.loses_answers = other.loses_answers = True
        exchange, _ = await cluster.send_request("POST", "/once/1", "only")
        assert exchange.status == 502, (
            "it may have run, so it must not be reported as not run"
        )
        exchange, _ = await cluster.send_request("POST", "/app/1", "again")
        runs = [r["request"] for w in (cluster.app, other) for r in w.runs]
        assert (runs.count("only"), runs.count("again")) == (1, 2)

    run_scenario(scenario, tmp_path)


def test_a_job_submitted_during_store_faults_is_rejected_or_stored(tmp_path):
    async def scenario(cluster):
        cluster.store.faults = Faults(down="busy")
        exchange, _ = await cluster.send_request(
            "POST", "/batch/1", "job", job_body("job")
        )
        assert exchange.status == 503
        cluster.store.faults = Faults(lose=1.0)
        lost = asyncio.create_task(
            cluster.send_request("POST", "/batch/1", "job", job_body("job"))
        )
        await wait_until(
            lambda: cluster.store.tables.version and not cluster.store.late_commits
        )
        await wait_until(lambda: ("jobs", "job", "job") in cluster.store.tables.rows)
        cluster.store.faults = Faults()
        exchange, _ = await lost
        assert exchange.status == 202, (
            "the outcome of a write without a response must be settled"
        )
        assert len(await cluster.read_results()) == 4

    run_scenario(scenario, tmp_path)


def stream_text(request_id):
    return "".join(
        f"id: {n}\ndata: {event_text(request_id, n)}\n\n" for n in range(1, 5)
    ).encode()


def test_a_resumable_stream_continues_at_another_worker(tmp_path):
    async def scenario(cluster):
        other = FakeWorker("pool", ("m",))
        await cluster.register(other)
        await wait_until(lambda: other.id in cluster.gateway.directory.servers)
        # The first worker that gets the request breaks off in its third event.
        cluster.engine.break_at_events = other.break_at_events = [3]
        exchange, body = await cluster.send_request("POST", "/resumed/1", "s1")
        assert body == stream_text("s1")
        runs = [r["after"] for w in (cluster.engine, other) for r in w.runs]
        assert sorted(runs) == [0, 2]
        exchange, body = await cluster.send_request("POST", "/flow/1", "s2")
        assert body == stream_text("s2")

    run_scenario(scenario, tmp_path)


def test_a_broken_stream_that_is_not_resumable_is_broken_off_for_the_caller(tmp_path):
    async def scenario(cluster):
        cluster.engine.break_at_events = [3]
        with pytest.raises(FetchError):
            await cluster.send_request("POST", "/flow/1", "s1")
        assert len(cluster.engine.runs) == 1

    run_scenario(scenario, tmp_path)


def test_a_newer_configuration_is_applied_and_an_older_or_invalid_one_is_not(tmp_path):
    async def scenario(cluster):
        added = route("new", kind="safe", service="app")
        await cluster.store.write_row("op", "config", config(5, [added]))
        await wait_until(lambda: cluster.gateway.directory.routes.version == 5)
        exchange, _ = await cluster.send_request("POST", "/new/1", "n1")
        assert exchange.status == 200
        await cluster.store.write_row("op", "config", config(4))
        await cluster.store.write_row("op", "broken", {"version": "?"})
        await cluster.store.write_row("op", "config", {"version": 9})
        await cluster.store.write_row("op", "config", config(10, [added]))
        await wait_until(lambda: cluster.gateway.directory.routes.version == 10)

    run_scenario(scenario, tmp_path)


def test_a_configuration_is_read_after_the_store_dropped_its_change_history(tmp_path):
    async def scenario(cluster):
        cluster.store.faults = Faults(down="reset")
        added = route("new", kind="safe", service="app")
        await cluster.store.write_row("op", "config", config(5, [added]))
        cluster.store.tables.drop_history()
        cluster.store.faults = Faults()
        await wait_until(lambda: cluster.gateway.directory.routes.version == 5)

    run_scenario(scenario, tmp_path)


def test_a_draining_worker_gets_no_new_requests(tmp_path):
    async def scenario(cluster):
        other = FakeWorker("app")
        await cluster.register(other)
        cluster.app.state = "draining"
        await cluster.register(cluster.app)
        await wait_until(
            lambda: (
                [s.id for s in cluster.gateway.directory.ready_servers("app")]
                == [other.id]
            )
        )
        for number in range(10):
            await cluster.send_request("POST", "/app/1", f"d{number}")
        assert not cluster.app.runs and len(other.runs) == 10

    run_scenario(scenario, tmp_path)


def test_a_draining_gateway_is_not_ready_and_finishes_running_requests(tmp_path):
    async def scenario(cluster):
        cluster.app.pause = 0.4
        running = asyncio.create_task(cluster.send_request("POST", "/app/1", "last"))
        await wait_until(lambda: cluster.app.runs)
        draining = asyncio.create_task(cluster.gateway.drain(2.0))
        await asyncio.sleep(0)
        exchange = await cluster.fetcher.open(
            cluster.ready_address, "GET", "/gypsumshift/ready", []
        )
        assert exchange.status == 503
        exchange, _ = await running
        assert exchange.status == 200
        assert exchange.header(b"connection") == "close"
        await draining

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize(
    "body",
    [b"", b"[]", b"{}", b'{"requests": []}', b'{"requests": [{"id": 1}]}', b"\xff"],
)
def test_a_malformed_batch_job_is_rejected_with_400_and_a_reason(tmp_path, body):
    async def scenario(cluster):
        exchange, content = await cluster.send_request("POST", "/batch/1", "bad", body)
        assert exchange.status == 400
        assert "not a batch job" in json.loads(content)["error"]

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize("ids", [("one", "one"), ("one", "two", "one"), (1, "1")])
def test_a_batch_job_with_a_duplicate_item_id_is_rejected_and_not_stored(tmp_path, ids):
    """Guards against a batch job with two items of one id that is accepted.

    Both items ran, in one unit, but their results share one row of the store, which
    one transaction wrote twice. At a gateway that received both results at once the
    item had two positions; at others one result never came, and the job never ended. A
    numeric id has the same row as the string of its digits.
    """

    async def scenario(cluster):
        value = json.loads(job_body("job", size=len(ids), groups=1))
        for one, item_id in zip(value["requests"], ids, strict=True):
            one["id"] = item_id
        body = json.dumps(value).encode()
        exchange, content = await cluster.send_request("POST", "/batch/1", "job", body)
        assert exchange.status == 400
        reason = json.loads(content)["error"]
        assert str(ids[0]) in reason and "\n" not in reason
        assert not [row for row in cluster.store.tables.rows if row[1] == "job"]

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("", "node_name is missing"),
        (settings_text("x", "127.0.0.1", ("127.0.0.1", "no-port")), "invalid literal"),
    ],
)
def test_invalid_settings_raise_an_error_that_names_the_reason(tmp_path, text, reason):
    import node_settings

    file = tmp_path / "boot.conf"
    file.write_text(text)
    with pytest.raises(node_settings.SettingsError, match=reason):
        node_settings.load(file)


def test_calls_after_unanswered_ones_have_a_short_timeout_except_each_third():
    from row_store import (
        READ_TIMEOUT_S,
        SHORT_TIMEOUT_S,
        WRITE_TIMEOUT_S,
        PlatformStore,
    )

    path = StorePath(("127.0.0.1", 1), None, None, None, "here", [])
    store = PlatformStore(path)
    assert store.call_timeout(WRITE_TIMEOUT_S) == WRITE_TIMEOUT_S
    timeouts = []
    for unanswered in range(1, 7):
        store.unanswered_calls = unanswered
        timeouts.append(store.call_timeout(READ_TIMEOUT_S))
    assert timeouts.count(SHORT_TIMEOUT_S) == 4
    assert timeouts.count(READ_TIMEOUT_S) == 2, "a slow store would never be reached"


def test_a_gateway_cut_off_from_the_store_calls_it_through_the_agent(tmp_path):
    async def scenario(cluster):
        path = cluster.gateway.store.path
        await wait_until(lambda: path.neighbours)
        path.store = ("127.0.0.1", 1)
        await wait_until(lambda: path.via is not None)
        exchange, _ = await cluster.send_request(
            "POST", "/batch/", "job", job_body("job")
        )
        assert exchange.status == 202
        assert len(await cluster.read_results()) == 4
        assert cluster.gateway.ready
        path.store = ("127.0.0.1", cluster.store_port)
        await wait_until(lambda: path.via is None)

    run_scenario(scenario, tmp_path)


def test_items_of_a_worker_restarted_under_its_id_are_resumed_at_once(tmp_path):
    async def scenario(cluster):
        cluster.engine.events, cluster.engine.pause = 40, 0.03
        exchange, _ = await cluster.send_request(
            "POST", "/batch/1", "job", job_body("job")
        )
        assert exchange.status == 202
        await wait_until(lambda: len(cluster.engine.runs) == 4)
        before = {run["request"] for run in cluster.engine.runs}
        cluster.engine.restart()
        await cluster.register(cluster.engine)
        # The items run again at once, from the events received before the restart.
        await wait_until(lambda: len(cluster.engine.runs) == 8)
        again = cluster.engine.runs[4:]
        assert {run["request"] for run in again} == before
        results = await cluster.read_results()
        for one in results:
            whole = "\n".join(event_text(one["id"], n) for n in range(1, 41))
            assert (one["state"], one["text"]) == ("succeeded", whole)

    run_scenario(scenario, tmp_path)


def test_invalid_rows_in_any_table_stop_neither_processes_nor_requests(tmp_path):
    async def scenario(cluster):
        for table in ("op", "servers", "jobs", "claims", "results", "agents"):
            for key, value in (("x", {"a": 1}), ("config", {RAW_BYTES_FIELD: "/w=="})):
                await cluster.store.write_row(table, key, value)
        await cluster.store.write_row("neighbours", "x", {"address": "y", "zone": 1})
        await cluster.store.write_row(
            "op", "version/m", {"model": ["m"], "version": "2"}
        )
        exchange, _ = await cluster.send_request(
            "POST", "/batch/1", "job", job_body("job")
        )
        assert exchange.status == 202
        assert len(await cluster.read_results()) == 4
        exchange, _ = await cluster.send_request("POST", "/app/1", "a1")
        assert exchange.status == 200
        assert not any(task.done() for task in cluster.tasks)

    run_scenario(scenario, tmp_path)
