"""Two services whose engines serve one model, of which a job's route names one."""

import asyncio
import copy

from standins.deployment import free_port
from standins.users_documents import config, job_body, route, settings_text
from standins.users_worker import FakeWorker
from tests.platform_cluster import run_scenario
from tests.system import wait_until

ADDED = "next"


def added_config():
    """Return the usual configuration with a service and a route of its own."""
    value = config(2, [route("added", kind="rollout", service=ADDED, attempts=3)])
    engine = copy.deepcopy(value["services"][1])
    value["services"].append(engine | {"name": ADDED})
    return value


async def start_agent(world, engine, folder):
    """Start the agent of a further engine."""
    import main
    import node_settings

    port = engine.server.listener.sockets[0].getsockname()[1]
    fields = {
        "app": f"127.0.0.1:{port}",
        "service": engine.service,
        "port_range": f"{free_port()},0",
    }
    file = folder / "added.conf"
    store = ("127.0.0.1", world.store_port)
    file.write_text(settings_text("added", "127.0.0.1", store, **fields))
    agent = main.new_agent(node_settings.load(file))
    world.tasks.append(asyncio.create_task(agent.run()))
    return agent


def runs_of_items(engine):
    return [run for run in engine.runs if "request" in run]


def test_items_of_an_added_route_run_only_at_engines_of_its_service(tmp_path):
    """Guards against items at a service to which their route never led."""

    async def scenario(world):
        added = FakeWorker(ADDED, ("m",))
        await world.register(added)
        agent = await start_agent(world, added, tmp_path)
        await world.store.write_row("op", "config", added_config())
        nodes = (world.gateway, world.agent, agent)
        await wait_until(lambda: all(n.directory.routes.version == 2 for n in nodes))
        body = job_body("job", groups=6, size=4).replace(b"/batch/", b"/added/")
        exchange, _ = await world.send_request("POST", "/added/1", "job", body)
        assert exchange.status == 202
        results = await world.read_results()
        assert {result["state"] for result in results} == {"succeeded"}
        assert len(runs_of_items(added)) >= len(results) == 24
        assert not runs_of_items(world.engine)

    run_scenario(scenario, tmp_path)
