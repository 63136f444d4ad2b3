"""Regions and home regions from end to end on the stand-in platform."""

import asyncio

from standins.users_documents import config, job_body
from tests.platform_cluster import run_scenario
from tests.system import wait_until

SETTINGS = {"region": "north", "zones.here": "north", "zones.there": "south"}


async def set_homes(cluster, version, **homes):
    """Write a configuration whose routes have home regions, by their names."""
    value = config(version)
    for each in value["routes"]:
        if each["name"] in homes:
            each["home_regions"] = homes[each["name"]]
    await cluster.store.write_row("op", "config", value)
    for node in (cluster.gateway, cluster.agent):
        await wait_until(lambda node=node: node.directory.routes.version == version)


def test_requests_are_served_in_their_homes_and_refused_elsewhere(tmp_path):
    async def scenario(cluster):
        await set_homes(cluster, 2, app=["north"])
        exchange, _ = await cluster.send_request("POST", "/app/1", "a", b"hello")
        assert exchange.status == 200
        await set_homes(cluster, 3, app=["south"], flow=["south"])
        for target in ("/app/1", "/flow/1"):
            exchange, _ = await cluster.send_request("POST", target, target, b"hello")
            assert exchange.status == 503 and exchange.header(b"retry-after")
        assert [run["request"] for run in cluster.app.runs] == ["a"]

    run_scenario(scenario, tmp_path, **SETTINGS)


def test_items_wait_for_an_engine_in_their_homes(tmp_path):
    """The job is accepted, and runs once its homes change or get an engine."""

    async def scenario(cluster):
        await set_homes(cluster, 2, batch=["south"])
        exchange, _ = await cluster.send_request(
            "POST", "/batch/1", "job", job_body("job")
        )
        assert exchange.status == 202
        await wait_until(lambda: cluster.gateway.home_wait_log.waiting == {"job"})
        await asyncio.sleep(0.5)
        assert not [r for r in cluster.engine.runs if "request" in r]
        await set_homes(cluster, 3, batch=["south", "north"])
        assert len(await cluster.read_results()) == 4
        await wait_until(lambda: not cluster.gateway.home_wait_log.waiting)

    run_scenario(scenario, tmp_path, **SETTINGS)


def test_items_whose_scorer_has_no_home_server_wait(tmp_path):
    async def scenario(cluster):
        await set_homes(cluster, 2, score=["south"])
        await cluster.send_request("POST", "/batch/1", "job", job_body("job"))
        await asyncio.sleep(1.0)
        assert not cluster.app.runs
        await set_homes(cluster, 3)
        assert len(await cluster.read_results()) == 4

    run_scenario(scenario, tmp_path, **SETTINGS)


def test_a_job_carries_the_region_only_where_there_are_several(tmp_path):
    """A deployment of one region must write the same rows as before."""

    async def scenario(cluster):
        await cluster.send_request("POST", "/batch/1", "job", job_body("job"))
        [job] = cluster.gateway.job_manager.jobs.values()
        assert job.region == expected
        await cluster.read_results()

    expected = "north"
    run_scenario(scenario, tmp_path, **SETTINGS)
    expected = ""
    (tmp_path / "one").mkdir()
    run_scenario(scenario, tmp_path / "one", region="north")
