"""Loss of a whole availability zone at once, machines and servers together.

All are back within 1.5 to 4 s, as new processes. Guards against a step that does not
complete, results that are stored twice or not at all, jobs that are unknown afterwards,
and callers that are refused while another zone serves.
"""

import asyncio
import time

import pytest

from gypsumshift.jobs import ResultState
from gypsumshift.jobs.records import END_KEY, JOBS, RESULTS
from gypsumshift.platforms import Write
from standins.users_documents import job_body
from standins.users_worker import event_text
from tests.job_builders import FakeEngine, JobCluster
from tests.platform_cluster import crash_worker
from tests.system import wait_until
from tests.zone_cluster import run_in_zones

# Shortest and longest time until the machines of the zone are back.
OUTAGES_S = (1.5, 4.0)
LENGTH = 30


def slow_engine():
    """Return an engine whose items take about a second and a half."""
    engine = FakeEngine(length=LENGTH)
    engine.gap = 0.05
    return engine


@pytest.mark.parametrize("outage", OUTAGES_S)
@pytest.mark.parametrize("others", [0, 1])
def test_an_open_step_is_completed_after_the_loss_of_its_agents(outage, others):
    """Two agents are lost; with no agent elsewhere, their successors complete it."""

    async def scenario(world):
        for name in ("a", "b"):
            world.agent(name, slow_engine())
        for number in range(others):
            world.agent(f"other-{number}", slow_engine())
        await world.submit(groups=4)
        lost = [world.agents[name] for name in ("a", "b")]
        await wait_until(lambda: all(agent.runner.units for agent in lost))
        await asyncio.sleep(1.2)
        for task, agent in zip(world.tasks, lost, strict=False):
            task.cancel()
            end_work(agent)
        await asyncio.sleep(outage)
        for name in ("a", "b"):
            world.agent(name, slow_engine())
        results = await world.results()
        assert len({result.item for result in results}) == len(results) == 8
        for result in results:
            assert result.state is ResultState.WHOLE
            text = [f"{result.item}:{n}" for n in range(1, LENGTH + 1)]
            assert result.text.split("\n") == text, "events missing or repeated"
        rows = await world.store.scan(RESULTS, "", "job")
        assert len(rows) == 8

    run_jobs(scenario)


def test_the_end_of_a_job_during_the_outage_is_known_to_the_successors():
    async def scenario(world):
        world.agent("a", slow_engine())
        await world.submit(groups=2)
        await wait_until(lambda: world.agents["a"].runner.units)
        agent = world.agents["a"]
        world.tasks[0].cancel()
        end_work(agent)
        await world.store.commit([Write(JOBS, END_KEY, {"ended": True}, part="job")])
        engine = slow_engine()
        successor = world.agent("a", engine)
        await wait_until(lambda: successor.tracker.ended_jobs)
        await wait_until(lambda: successor.local_engine.healthy)
        await asyncio.sleep(0.5)
        assert not engine.started

    run_jobs(scenario)


def end_work(agent):
    """End the work of an agent as its kill would, without a release or a result."""
    for unit in list(agent.runner.units.values()):
        agent.runner.drop_unit(unit)
    for task in agent.runner.result_writer.writer_tasks.values():
        task.cancel()


def kill_node(node, task):
    """End a process: its tasks, its ports and the connections to them."""
    task.cancel()
    for port in node.ports:
        crash_worker(port)


def run_jobs(test):
    """Run a test in a new `JobCluster`, for 30 s at most."""

    async def play():
        world = JobCluster()
        try:
            async with asyncio.timeout(30):
                await test(world)
        finally:
            await world.close()

    asyncio.run(play())


async def restart_worker(cluster, worker, port):
    """Start a crashed worker again at its port, and list its new start."""
    worker.restart()
    await worker.server.listen("127.0.0.1", port)
    await cluster.register(worker)


@pytest.mark.parametrize("outage", OUTAGES_S)
def test_jobs_and_callers_survive_the_loss_of_a_zone(tmp_path, outage):
    """The zone has a gateway, the only agent with its engine, and one server."""

    async def scenario(cluster):
        import main
        import node_settings

        cluster.engine.pause = 0.05
        cluster.engine.events = 20
        other = await cluster.add_gateway("other", tmp_path, cluster.store_port, False)
        await wait_until(lambda: other.ready)
        await cluster.wait_until_listed(other, cluster.east)
        body = job_body("job")
        status, _ = await cluster.send_request("POST", "/batch/1", "job", body)
        assert status.status == 202
        await wait_until(lambda: cluster.engine.running)
        workers = (cluster.app, cluster.engine)
        ports = [w.server.listener.sockets[0].getsockname()[1] for w in workers]
        for worker in workers:
            crash_worker(worker)
        lost_at = time.monotonic()
        for task, node in zip(
            cluster.tasks[:2], (cluster.gateway, cluster.agent), strict=True
        ):
            kill_node(node, task)
        end_work(cluster.agent.agent)
        statuses = set()
        while time.monotonic() < lost_at + outage:
            number = time.monotonic()
            statuses.add((await cluster.call(other, f"c{number}"))[0])
            await asyncio.sleep(0.05)
        assert statuses == {200}, "the other zone serves all callers"
        for worker, port in zip(workers, ports, strict=True):
            await restart_worker(cluster, worker, port)
        agent = main.new_agent(node_settings.load(tmp_path / "side.conf"))
        gateway = main.new_gateway(node_settings.load(tmp_path / "front.conf"))
        for node in (agent, gateway):
            cluster.tasks.append(asyncio.create_task(node.run()))
        await wait_until(lambda: gateway.ready)
        for reader in (other, gateway):
            cluster.front_address = address_of(reader)
            results = await cluster.read_results()
            assert len({result["id"] for result in results}) == len(results) == 4
            for result in results:
                whole = [event_text(result["id"], n) for n in range(1, 21)]
                assert result["text"].split("\n") == whole
        # A second submission after the outage finds the same job.
        exchange, _ = await cluster.send_request("POST", "/batch/1", "job", body)
        assert exchange.status == 202
        assert len(cluster.engine.runs) <= 8, "each item runs once before and after"

    run_in_zones(scenario, tmp_path)


def address_of(gateway):
    return gateway.ports[0].server.listener.sockets[0].getsockname()
