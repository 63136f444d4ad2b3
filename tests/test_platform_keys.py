"""Keys of workspaces, from end to end on the stand-in platform."""

import asyncio
import json

import pytest

from gypsumshift.serving.authorization import Grant
from standins.users_documents import config, job_body, results_target
from standins.users_store import Faults
from tests.platform_cluster import run_scenario
from tests.system import wait_until

KEYS = {"one": ["key-one", "key-more"], "two": ["key-two"]}


async def configure_keys(cluster, version=2, **keys):
    """Write a configuration with keys; wait until it is applied and confirmed."""
    value = config(version, workspaces=keys or KEYS)
    await cluster.store.write_row("op", "config", value)
    gateway = cluster.gateway
    await wait_until(lambda: gateway.directory.routes.version == version)
    watch = next(w for w in gateway.directory_watches if w.table == "op")
    applied_at = gateway.clock.monotonic_with_suspend()
    await wait_until(lambda: watch.confirmed_at > applied_at)


def test_a_worker_receives_the_workspace_but_never_the_key(tmp_path):
    """A worker that received a key could send requests for its workspace.

    A workspace header that the caller sent is removed.
    """

    async def scenario(cluster):
        await configure_keys(cluster)
        exchange, _ = await cluster.send_request(
            "POST", "/app/1", "a", key="key-one", tenant="two"
        )
        assert exchange.status == 200
        exchange, _ = await cluster.send_request(
            "POST", "/score/1", "b", key="x", tenant="two"
        )
        assert exchange.status == 200, "a public route must need no key"
        exchange, _ = await cluster.send_request(
            "POST", "/resumed/1", "c", key="key-two"
        )
        assert exchange.status == 200
        runs = {r["request"]: r for w in (cluster.app, cluster.engine) for r in w.runs}
        assert {n: r["workspace"] for n, r in runs.items()} == {
            "a": "one",
            "b": "",
            "c": "two",
        }
        assert not any(run["told_key"] for run in runs.values())

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize("headers", [{}, {"key": ""}, {"key": "wrong"}])
def test_a_request_without_a_valid_key_gets_401_and_is_not_run(tmp_path, headers):
    async def scenario(cluster):
        await configure_keys(cluster)
        for target in ("/app/1", "/flow/1", "/batch/1"):
            exchange, _ = await cluster.send_request("POST", target, "r", **headers)
            assert exchange.status == 401
        assert not cluster.app.runs and not cluster.engine.runs

    run_scenario(scenario, tmp_path)


def test_a_revoked_key_gets_401_and_its_batch_job_continues(tmp_path):
    async def scenario(cluster):
        await configure_keys(cluster)
        body = job_body("job")
        exchange, _ = await cluster.send_request(
            "POST", "/batch/1", "job", body, key="key-one"
        )
        assert exchange.status == 202
        await configure_keys(cluster, 3, one=["key-more"], two=["key-two"])
        exchange, _ = await cluster.send_request(
            "POST", "/app/1", "gone", key="key-one"
        )
        assert exchange.status == 401

        async def read_results():
            target = results_target("job")
            exchange, content = await cluster.send_request(
                "GET", target, key="key-more"
            )
            return exchange.status, json.loads(content)["results"]

        while len((await read_results())[1]) < 4:
            await asyncio.sleep(0.02)
        runs = [r for r in cluster.engine.runs if "request" in r]
        assert {run["workspace"] for run in runs} == {"one"}
        assert not any(run["told_key"] for run in runs)
        assert {run["workspace"] for run in cluster.app.runs} == {""}

    run_scenario(scenario, tmp_path)


def test_a_batch_job_does_not_exist_for_another_workspace(tmp_path):
    """Another workspace can neither read nor end the job, but may use its id."""

    async def scenario(cluster):
        await configure_keys(cluster)
        body = job_body("job")
        exchange, _ = await cluster.send_request(
            "POST", "/batch/1", "job", body, key="key-one"
        )
        assert exchange.status == 202
        other = {"key": "key-two"}
        for method, target in (
            ("GET", results_target("job")),
            ("GET", "/gypsumshift/items/job?id=job-0-0"),
            ("DELETE", "/gypsumshift/lots/job"),
            ("GET", "/gypsumshift/lots/one%2Fjob"),
        ):
            exchange, _ = await cluster.send_request(method, target, **other)
            assert exchange.status == 404, target
        own = job_body("job", groups=1, size=1)
        exchange, _ = await cluster.send_request(
            "POST", "/batch/1", "job", own, **other
        )
        assert exchange.status == 202
        totals = []
        for key in ("key-more", "key-two"):
            exchange, content = await cluster.send_request(
                "GET", results_target("job"), key=key
            )
            totals.append(json.loads(content)["total"])
        assert totals == [4, 1]
        exchange, _ = await cluster.send_request(
            "DELETE", "/gypsumshift/lots/job", key="key-more"
        )
        assert exchange.status == 200

    run_scenario(scenario, tmp_path)


def test_without_the_store_no_key_is_accepted_and_public_routes_work(tmp_path):
    """A host that cannot read the store cannot rule out that a key was revoked."""

    async def scenario(cluster):
        await configure_keys(cluster)
        body = job_body("job")
        exchange, _ = await cluster.send_request(
            "POST", "/batch/1", "job", body, key="key-one"
        )
        assert exchange.status == 202
        while True:
            _, content = await cluster.send_request(
                "GET", results_target("job"), key="key-one"
            )
            if len(json.loads(content)["results"]) == 4:
                break
            await asyncio.sleep(0.02)
        cluster.store.faults = Faults(down="busy")
        freshness = cluster.gateway.authorizer.freshness
        freshness.bound = 0.0
        exchange, _ = await cluster.send_request("POST", "/app/1", "a", key="key-one")
        assert exchange.status == 503 and float(exchange.header(b"retry-after")) > 0
        assert not [run for run in cluster.app.runs if run["request"] == "a"]
        assert not cluster.gateway.ready
        exchange, _ = await cluster.send_request("POST", "/score/1", "b")
        assert exchange.status == 200
        # The texts of results must be read from the store, but the gateway has the list
        # of results, and none follows the last one.
        target = results_target("job", 4)
        exchange, content = await cluster.send_request("GET", target, key="key-one")
        assert (exchange.status, json.loads(content)["next"]) == (200, 4)

    run_scenario(scenario, tmp_path)


def test_a_request_authorized_before_a_suspension_is_not_sent_after_it(tmp_path):
    """The key may have been revoked while the host was suspended."""

    async def scenario(cluster):
        await configure_keys(cluster)
        authorizer = cluster.gateway.authorizer
        authorize = authorizer.authorize

        async def authorize_and_suspend(request, key, public=False):
            grant = await authorize(request, key, public)
            assert isinstance(grant, Grant)
            authorizer.freshness.bound = 0.0
            return grant

        authorizer.authorize = authorize_and_suspend
        exchange, _ = await cluster.send_request("POST", "/app/1", "a", key="key-one")
        assert exchange.status == 503
        authorizer.freshness.bound = 5.0
        exchange, _ = await cluster.send_request("POST", "/flow/1", "b", key="key-one")
        assert exchange.status == 503
        assert not cluster.app.runs and not cluster.engine.runs

    run_scenario(scenario, tmp_path)


def test_neither_rows_nor_table_copies_nor_routes_hold_a_key(tmp_path):
    async def scenario(cluster):
        await configure_keys(cluster)
        store = cluster.gateway.store
        row = await store.read("op", "config")
        snapshot = await store.snapshot("op")
        kept = [w.kept_table() for w in cluster.gateway.directory_watches]
        held = repr([row, snapshot, kept, vars(cluster.gateway.directory.routes)])
        assert "key-one" not in held and "two" in held

    run_scenario(scenario, tmp_path)
