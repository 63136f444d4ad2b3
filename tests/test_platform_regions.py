"""Regions and home regions from end to end on the stand-in platform."""

import asyncio
import json

from standins.deployment import free_port
from standins.users_documents import config, job_body, settings_text
from standins.users_worker import FakeWorker
from tests.platform_cluster import run_scenario
from tests.system import wait_until

# Metric of reward calls that are refused because of their homes.
REFUSED_SCORES = "residency_refusals.score"
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
        await cluster.agent.agent.claim_units()
        assert not requests_at(cluster.engine)
        await set_homes(cluster, 3, batch=["south", "north"])
        assert len(await cluster.read_results()) == 4
        await wait_until(lambda: not cluster.gateway.home_wait_log.waiting)

    run_scenario(scenario, tmp_path, **SETTINGS)


def test_items_whose_scorer_has_no_home_server_wait(tmp_path):
    async def scenario(cluster):
        await set_homes(cluster, 2, score=["south"])
        await cluster.send_request("POST", "/batch/1", "job", job_body("job"))
        totals = cluster.agent.agent.metrics.totals
        before = totals.get(REFUSED_SCORES, 0)
        await wait_until(
            lambda: cluster.agent.agent.metrics.totals.get(REFUSED_SCORES, 0) > before
        )
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


async def add_south(cluster, tmp_path):
    """Add an engine with its agent, and an application server, to the south."""
    import main
    import node_settings

    engine, app = FakeWorker("pool", ("m",)), FakeWorker("app")
    for worker in (engine, app):
        port = await worker.server.listen("127.0.0.1", 0)
        entry = worker.table_entry(f"127.0.0.1:{port}") | {"zone": "there"}
        await cluster.store.write_row("servers", worker.id, entry)
    port = engine.server.listener.sockets[0].getsockname()[1]
    settings = SETTINGS | {
        "zone": "there",
        "region": "south",
        "app": f"127.0.0.1:{port}",
        "service": "pool",
        "port_range": f"{free_port()},0",
    }
    file = tmp_path / "south.conf"
    store = ("127.0.0.1", cluster.store_port)
    file.write_text(settings_text("south", "127.0.0.1", store, **settings))
    agent = main.new_agent(node_settings.load(file))
    cluster.tasks.append(asyncio.create_task(agent.run()))
    for node in (cluster.gateway, cluster.agent, agent):
        servers = node.directory.servers
        await wait_until(lambda servers=servers: {engine.id, app.id} <= servers.keys())
    return agent, engine, app


def requests_at(worker):
    return [run["request"] for run in worker.runs if "request" in run]


def test_a_job_runs_in_its_homes_though_another_region_accepted_it(tmp_path):
    """Its prompts and reward calls must not reach the region of the gateway."""

    async def scenario(cluster):
        _, engine, app = await add_south(cluster, tmp_path)
        await set_homes(cluster, 2, batch=["south"], score=["south"])
        body = job_body("job", groups=4)
        exchange, _ = await cluster.send_request("POST", "/batch/1", "job", body)
        assert exchange.status == 202
        assert len(await cluster.read_results()) == 8
        assert len(set(requests_at(engine))) == 8
        assert len(set(requests_at(app))) == 8
        assert not requests_at(cluster.engine) and not requests_at(cluster.app)

    run_scenario(scenario, tmp_path, **SETTINGS)


def test_a_job_without_homes_runs_in_the_region_that_accepted_it(tmp_path):
    async def scenario(cluster):
        south, engine, app = await add_south(cluster, tmp_path)
        states = south.agent.peers.states
        await wait_until(lambda: "side" in states and states["side"].heartbeat.places)
        body = job_body("job", groups=2)
        await cluster.send_request("POST", "/batch/1", "job", body)
        assert len(await cluster.read_results()) == 4
        assert len(set(requests_at(cluster.engine))) == 4
        assert not requests_at(engine) and not requests_at(app)

    run_scenario(scenario, tmp_path, **SETTINGS)


def test_a_submission_is_relayed_in_its_homes_only(tmp_path):
    """A gateway that the store does not answer has neighbours in both regions."""

    async def scenario(cluster):
        south, _, _ = await add_south(cluster, tmp_path)
        await set_homes(cluster, 2, batch=["south"])
        path = cluster.gateway.store.path
        await wait_until(lambda: {"side", "south"} <= path.neighbours.keys())
        bodies = {"side": [], "south": []}
        for name, node in (("side", cluster.agent), ("south", south)):
            record_relayed(node, bodies[name])
        path.store = ("127.0.0.1", 1)
        await wait_until(lambda: path.via is not None and len(path.able) == 2)
        assert path.via.name == "side", "the nearest relay carries the other calls"
        body = job_body("job")
        exchange, _ = await cluster.send_request("POST", "/batch/1", "job", body)
        assert exchange.status == 202
        assert [table for table in bodies["south"] if table == "units"]
        assert "units" not in bodies["side"]

    run_scenario(scenario, tmp_path, **SETTINGS)


def record_relayed(node, tables):
    """Record the tables of the transactions that a process sends to the store."""
    path = node.agent.store.path
    fetch = path.fetch_direct

    async def record(method, target, headers, body, timeout):
        if method == "POST":
            tables.extend(write["table"] for write in json.loads(body)["writes"])
        return await fetch(method, target, headers, body, timeout)

    path.fetch_direct = record
