"""Requests that crash servers, on the users' platform, over loopback connections."""

import base64
import json

import logbook

from gypsumshift import traces
from standins.users_documents import job_body
from tests.builders import ManualClock
from tests.platform_cluster import gateway_lists, run_scenario
from tests.system import wait_until


def test_a_fatal_request_is_held_back_and_its_trace_lists_the_crashes(tmp_path):
    async def scenario(world):
        await world.store.write_row("servers", world.app.id, None)
        workers = await world.add_crashing_workers(4)
        await wait_until(lambda: not gateway_lists(world, world.app))
        await wait_until(
            lambda: all(gateway_lists(world, worker) for worker in workers)
        )
        # A stopped clock, so that no trial becomes due on a slow machine.
        stopped = ManualClock()
        stopped.seconds = world.gateway.clock.monotonic()
        world.gateway.guard.quarantine.clock = stopped
        # Worker ids are random hexadecimal digits, and the trace finds each line in
        # which an id occurs, so no request id may consist of such digits.
        exchange, _ = await world.send_request(
            "POST", "/app/1", "request-1", b"fatal", key="secret"
        )
        assert exchange.status == 502, "it ran, so it is not reported as not run"
        await world.send_request("POST", "/app/1", "request-2", b"fatal", key="secret")
        exchange, _ = await world.send_request(
            "POST", "/app/1", "request-3", b"fatal", key="secret"
        )
        assert exchange.status == 503 and float(exchange.header(b"retry-after")) > 0
        runs = [run["request"] for worker in workers for run in worker.runs]
        assert len(runs) == 3 and "request-3" not in runs
        exchange, _ = await world.send_request(
            "POST", "/app/1", "sound", b"sound", key="secret"
        )
        assert exchange.status == 200

    with logbook.TestHandler(level="INFO") as handler:
        run_scenario(scenario, tmp_path)
    lines = [{"message": r.message, **r.extra} for r in handler.records]
    written = "\n".join(json.dumps(line, default=str) for line in lines)
    (tmp_path / "gateway.log").write_text(written)
    found = traces.find_lines(tmp_path, "request-3")
    crashed = {line["server"] for line in found if "server" in line}
    refused = next(line for line in found if line.get("request") == "request-3")
    assert crashed == set(refused["servers"]) and len(crashed) == 3
    assert refused["requests"] == ["request-1", "request-2"]
    assert "fatal" not in written and "secret" not in written


def test_items_and_reward_calls_that_crash_servers_delay_no_others(tmp_path):
    async def scenario(world):
        await world.store.write_row("servers", world.app.id, None)
        await wait_until(lambda: not gateway_lists(world, world.app))
        await world.add_crashing_workers(4)
        body = json.loads(job_body("job"))
        fatal = base64.b64encode(b"fatal").decode()
        body["requests"][0]["scorer"]["body"] = fatal
        exchange, _ = await world.send_request(
            "POST", "/batch/1", "job", json.dumps(body).encode()
        )
        assert exchange.status == 202
        done = await world.wait_for_results(3)
        assert {result["id"] for result in done} == {"job-0-1", "job-1-0", "job-1-1"}

    run_scenario(scenario, tmp_path)
