"""Batch jobs that clients read and submit at two gateways, one of which is behind.

The second gateway learns of every change 2 s late. Guards against rows that are missed
or repeated when a client continues at another gateway, against a second job under the
id of an accepted one, and against answers that depend on the gateway.
"""

import asyncio
import json

import pytest

from gypsumshift.httpserver import Response
from standins.users_documents import job_body, results_target
from tests.lagging_store import LaggingStore
from tests.system import wait_until
from tests.zone_cluster import front_address, run_in_zones

LAG_S = 2.0
ITEMS = 4


async def add_lagging_gateway(cluster, tmp_path):
    """Start a gateway that learns of changes `LAG_S` late; return it."""
    store = LaggingStore(cluster.store.tables, LAG_S)
    port = await store.server.listen("127.0.0.1", 0)
    cluster.tasks.append(asyncio.create_task(store.record_versions()))
    gateway = await cluster.add_gateway("behind", tmp_path, port, waits=False)
    await wait_until(lambda: gateway.ready)
    return gateway


async def send(cluster, gateway, method, target, request_id="r", body=b"", **headers):
    """Send a request to a gateway; return status and content of the answer."""
    cluster.front_address = front_address(gateway)
    exchange, content = await cluster.send_request(
        method, target, request_id, body, **headers
    )
    return exchange.status, content


async def read_page(cluster, gateway, after, job="job"):
    status, content = await send(cluster, gateway, "GET", results_target(job, after))
    assert status == 200
    return json.loads(content)


async def read_all(cluster, *gateways):
    """Read all results, each page at the next gateway."""
    found, number = [], 0
    async with asyncio.timeout(10):
        while len(found) < ITEMS:
            gateway = gateways[number % len(gateways)]
            page = await read_page(cluster, gateway, len(found))
            assert page["total"] == ITEMS
            assert page["next"] == len(found) + len(page["results"])
            found += page["results"]
            number += 1
            await asyncio.sleep(0.02)
    return found


def in_two_gateways(test):
    """Run a test with the gateway of the cluster and one that is behind."""

    def run(tmp_path):
        async def scenario(cluster):
            behind = await add_lagging_gateway(cluster, tmp_path)
            await test(cluster, cluster.gateway, behind)

        run_in_zones(scenario, tmp_path)

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run


async def submit(cluster, gateway, body=None):
    return await send(
        cluster, gateway, "POST", "/batch/1", "job", body or job_body("job")
    )


@in_two_gateways
async def test_a_job_is_read_at_the_other_gateway_right_after_its_202(
    cluster, first, behind
):
    assert (await submit(cluster, first))[0] == 202
    assert (await read_page(cluster, behind, 0))["total"] == ITEMS


@in_two_gateways
async def test_results_read_in_turns_are_neither_missed_nor_repeated(
    cluster, first, behind
):
    assert (await submit(cluster, first))[0] == 202
    found = await read_all(cluster, first, behind)
    assert len({result["id"] for result in found}) == ITEMS
    for gateway in (first, behind):
        assert await read_all(cluster, gateway) == found


@in_two_gateways
async def test_each_position_holds_the_same_result_at_both(cluster, first, behind):
    assert (await submit(cluster, first))[0] == 202
    found = await read_all(cluster, first)
    for after in range(ITEMS + 1):
        for gateway in (behind, first):
            page = await read_page(cluster, gateway, after)
            assert page["results"] == found[after:]
            assert page["next"] == ITEMS
    page = await read_page(cluster, behind, ITEMS + 7)
    assert page["results"] == [] and page["total"] == ITEMS


@in_two_gateways
async def test_a_position_ahead_of_the_gateway_is_read_from_the_store(
    cluster, first, behind
):
    """The gateway that is behind knows the job and none of its results."""
    cluster.engine.pause = 0.2
    assert (await submit(cluster, behind))[0] == 202
    assert (await read_page(cluster, behind, 0))["results"] == []
    found = await read_all(cluster, first)
    page = await read_page(cluster, behind, 2)
    assert page["results"] == found[2:]


@in_two_gateways
async def test_bodies_of_items_are_read_at_both(cluster, first, behind):
    assert (await submit(cluster, first))[0] == 202
    for gateway in (behind, first):
        target = "/gypsumshift/items/job?id=job-1-0"
        assert await send(cluster, gateway, "GET", target) == (200, b"1/0")
        status, _ = await send(
            cluster, gateway, "GET", "/gypsumshift/items/job?id=none"
        )
        assert status == 404


@in_two_gateways
async def test_an_end_sent_to_both_is_acknowledged_by_both(cluster, first, behind):
    cluster.engine.pause = 0.3
    assert (await submit(cluster, first))[0] == 202
    for gateway in (first, behind, first, behind):
        status, _ = await send(cluster, gateway, "DELETE", "/gypsumshift/lots/job")
        assert status == 200
    await wait_until(lambda: "job" in cluster.agent.agent.tracker.ended_jobs)
    assert (await read_page(cluster, behind, 0))["total"] == ITEMS


@pytest.mark.parametrize("pause", [0.0, 1.0, 3.0])
def test_a_job_submitted_again_at_the_other_gateway_is_the_same_job(tmp_path, pause):
    async def scenario(cluster):
        behind = await add_lagging_gateway(cluster, tmp_path)
        assert (await submit(cluster, cluster.gateway))[0] == 202
        await asyncio.sleep(pause)
        rows = dict(cluster.store.tables.rows)
        before = {k: r.version for k, r in rows.items() if k[0] in ("jobs", "units")}
        status, content = await submit(cluster, behind)
        assert status == 202 and content == b""
        # Another body under the same id changes nothing either.
        assert (await submit(cluster, behind, job_body("job", 3, 3)))[0] == 202
        rows = cluster.store.tables.rows
        after = {k: r.version for k, r in rows.items() if k[0] in ("jobs", "units")}
        assert after == before
        found = await read_all(cluster, behind, cluster.gateway)
        assert len({result["id"] for result in found}) == ITEMS

    run_in_zones(scenario, tmp_path)


@in_two_gateways
async def test_an_ended_job_submitted_again_at_the_other_gateway_stays_ended(
    cluster, first, behind
):
    assert (await submit(cluster, first))[0] == 202
    found = await read_all(cluster, first)
    await send(cluster, first, "DELETE", "/gypsumshift/lots/job")
    runs = len(cluster.engine.runs)
    assert (await submit(cluster, behind))[0] == 202
    await asyncio.sleep(0.5)
    assert len(cluster.engine.runs) == runs, "no item may run again"
    assert await read_all(cluster, behind) == found


@in_two_gateways
async def test_an_item_that_is_given_up_is_listed_as_dead_at_both(
    cluster, first, behind
):
    """All reward calls fail until the item is given up."""

    async def fail(request):
        return Response(500, [("request-id", request.header("request-id"))])

    cluster.app.run_request = cluster.east.run_request = fail
    assert (await submit(cluster, first))[0] == 202
    found = await read_all(cluster, first, behind)
    assert {result["state"] for result in found} == {"dead"}
    assert await read_all(cluster, behind) == found
