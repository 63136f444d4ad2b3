"""Keys of workspaces on the whole path, over loopback."""

import asyncio
import json

import pytest

from gypsumshift.serving.authorization import Grant
from standins.users_documents import config, job_body, results_target
from standins.users_store import Faults
from tests.platform_cluster import run_scenario
from tests.system import until

KEYS = {"one": ["key-one", "key-more"], "two": ["key-two"]}


async def configure_keys(world, version=2, **keys):
    """Have a configuration with keys in force, and confirmed."""
    value = config(version, workspaces=keys or KEYS)
    await world.store.write_row("op", "config", value)
    gateway = world.gateway
    await until(lambda: gateway.directory.routes.version == version)
    watch = next(w for w in gateway.directory_watches if w.table == "op")
    at = gateway.clock.monotonic_with_suspend()
    await until(lambda: watch.confirmed_at > at)


def test_a_worker_gets_the_workspace_and_never_the_key(tmp_path):
    """A key that went to a worker would let it call in the workspace's name.

    A caller that claims a workspace in a field of its own is not believed.
    """

    async def scenario(world):
        await configure_keys(world)
        exchange, _ = await world.send_request(
            "POST", "/app/1", "a", key="key-one", tenant="two"
        )
        assert exchange.status == 200
        exchange, _ = await world.send_request(
            "POST", "/score/1", "b", key="x", tenant="two"
        )
        assert exchange.status == 200, "a public route needs no key"
        exchange, _ = await world.send_request("POST", "/resumed/1", "c", key="key-two")
        assert exchange.status == 200
        runs = {r["request"]: r for w in (world.app, world.engine) for r in w.runs}
        assert {n: r["workspace"] for n, r in runs.items()} == {
            "a": "one",
            "b": "",
            "c": "two",
        }
        assert not any(run["told_key"] for run in runs.values())

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize("headers", [{}, {"key": ""}, {"key": "wrong"}])
def test_a_request_without_a_good_key_is_refused_and_not_run(tmp_path, headers):
    async def scenario(world):
        await configure_keys(world)
        for prefix in ("/app/1", "/flow/1", "/batch/1"):
            exchange, _ = await world.send_request("POST", prefix, "r", **headers)
            assert exchange.status == 401
        assert not world.app.runs and not world.engine.runs

    run_scenario(scenario, tmp_path)


def test_a_key_that_was_taken_away_is_unknown_and_its_batch_job_goes_on(tmp_path):
    async def scenario(world):
        await configure_keys(world)
        body = job_body("job")
        exchange, _ = await world.send_request(
            "POST", "/batch/1", "job", body, key="key-one"
        )
        assert exchange.status == 202
        await configure_keys(world, 3, one=["key-more"], two=["key-two"])
        exchange, _ = await world.send_request("POST", "/app/1", "gone", key="key-one")
        assert exchange.status == 401

        async def listed():
            target = results_target("job")
            exchange, content = await world.send_request("GET", target, key="key-more")
            return exchange.status, json.loads(content)["results"]

        while len((await listed())[1]) < 4:
            await asyncio.sleep(0.02)
        runs = [r for r in world.engine.runs if "request" in r]
        assert {run["workspace"] for run in runs} == {"one"}
        assert not any(run["told_key"] for run in runs)
        assert {run["workspace"] for run in world.app.runs} == {""}

    run_scenario(scenario, tmp_path)


def test_a_batch_job_is_not_there_for_another_workspace(tmp_path):
    """Another workspace neither reads it, nor ends it, nor takes its id."""

    async def scenario(world):
        await configure_keys(world)
        body = job_body("job")
        exchange, _ = await world.send_request(
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
            exchange, _ = await world.send_request(method, target, **other)
            assert exchange.status == 404, target
        own = job_body("job", groups=1, size=1)
        exchange, _ = await world.send_request("POST", "/batch/1", "job", own, **other)
        assert exchange.status == 202
        totals = []
        for key in ("key-more", "key-two"):
            exchange, content = await world.send_request(
                "GET", results_target("job"), key=key
            )
            totals.append(json.loads(content)["total"])
        assert totals == [4, 1]
        exchange, _ = await world.send_request(
            "DELETE", "/gypsumshift/lots/job", key="key-more"
        )
        assert exchange.status == 200

    run_scenario(scenario, tmp_path)


def test_without_the_store_keys_run_nothing_and_the_rest_is_served(tmp_path):
    """A host that hears nothing cannot know that a key is good still."""

    async def scenario(world):
        await configure_keys(world)
        body = job_body("job")
        exchange, _ = await world.send_request(
            "POST", "/batch/1", "job", body, key="key-one"
        )
        assert exchange.status == 202
        while True:
            _, content = await world.send_request(
                "GET", results_target("job"), key="key-one"
            )
            if len(json.loads(content)["results"]) == 4:
                break
            await asyncio.sleep(0.02)
        world.store.faults = Faults(down="busy")
        freshness = world.gateway.authorizer.freshness
        freshness.bound = 0.0
        exchange, _ = await world.send_request("POST", "/app/1", "a", key="key-one")
        assert exchange.status == 503 and float(exchange.header(b"retry-after")) > 0
        assert not [run for run in world.app.runs if run["request"] == "a"]
        assert not world.gateway.ready
        exchange, _ = await world.send_request("POST", "/score/1", "b")
        assert exchange.status == 200
        # Texts lie in the store; that there is nothing behind the last one is known.
        target = results_target("job", 4)
        exchange, content = await world.send_request("GET", target, key="key-one")
        assert (exchange.status, json.loads(content)["next"]) == (200, 4)

    run_scenario(scenario, tmp_path)


def test_a_host_that_was_suspended_sends_nothing_on_old_knowledge(tmp_path):
    """It was admitted, the host was suspended, and the key was taken away meanwhile."""

    async def scenario(world):
        await configure_keys(world)
        authorizer = world.gateway.authorizer
        authorize = authorizer.authorize

        async def authorize_and_suspend(request, key, public=False):
            grant = await authorize(request, key, public)
            assert isinstance(grant, Grant)
            authorizer.freshness.bound = 0.0
            return grant

        authorizer.authorize = authorize_and_suspend
        exchange, _ = await world.send_request("POST", "/app/1", "a", key="key-one")
        assert exchange.status == 503
        authorizer.freshness.bound = 5.0
        exchange, _ = await world.send_request("POST", "/flow/1", "b", key="key-one")
        assert exchange.status == 503
        assert not world.app.runs and not world.engine.runs

    run_scenario(scenario, tmp_path)


def test_no_process_holds_or_hands_on_a_key(tmp_path):
    async def scenario(world):
        await configure_keys(world)
        store = world.gateway.store
        row = await store.read("op", "config")
        snapshot = await store.snapshot("op")
        kept = [w.kept_table() for w in world.gateway.directory_watches]
        held = repr([row, snapshot, kept, vars(world.gateway.directory.routes)])
        assert "key-one" not in held and "two" in held

    run_scenario(scenario, tmp_path)
