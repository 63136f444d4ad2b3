"""Each wait of a caller ends by the time of its route.

Guards against calls, streams and reads of jobs that wait longer: the limit of a call
was fixed when it began, and nothing limited reads of jobs in sum, nor the streams and
the lost attempts of an entry.
"""

import asyncio
import contextlib
import datetime
import time

import pytest

from gypsumshift.attemptrunner import AttemptRun
from gypsumshift.httpclient import Fetcher, FetchError
from gypsumshift.outcomes import NotRun
from gypsumshift.peerconnection import PeerSession
from gypsumshift.serving.calls import CallerTimes
from standins.users_documents import HOST, config, job_body, results_target, route
from tests import system
from tests.endless_server import EndlessServer
from tests.moving_routes import OLD, move, play, table
from tests.platform_cluster import run_scenario
from tests.system import wait_until
from tests.test_stream_time import CHUNKED, EVENT

# Time limit of the routes, and how much later their answers may come.
LIMIT_S, SLACK_S = 1.2, 0.5
LONG_MS = 30_000
# What a server sends before it is silent.
BEGINNINGS = {
    "app": b"",
    "once": b"",
    "flow": CHUNKED,
    "resumed": CHUNKED + b"f\r\n%b\r\n" % EVENT,
}
KINDS = {"app": "safe", "once": "unsafe", "flow": "stream", "resumed": "stream"}


def limited(version, name, milliseconds):
    """Return a configuration with a time limit for one route."""
    kind = {"kind": KINDS.get(name, "rollout"), "attempts": 2}
    kind |= {"service": "pool" if name == "batch" else "app"}
    resumed = {"can_resume": True} if name == "resumed" else {}
    return config(version, [route(name, timeout_ms=milliseconds, **kind, **resumed)])


async def apply(world, version, name, milliseconds):
    await world.store.write_row("op", "config", limited(version, name, milliseconds))
    await wait_until(lambda: world.gateway.directory.routes.version == version)


async def seconds_of(request):
    """Return how long a request took, whatever its outcome."""
    began = time.monotonic()
    async with asyncio.timeout(8):
        with contextlib.suppress(FetchError):
            await request
    return time.monotonic() - began


@contextlib.asynccontextmanager
async def only_server(world, beginning):
    """Let a server that is silent after some bytes be the only one of its service."""
    async with EndlessServer(beginning, b"", 60.0) as server:
        await world.store.write_row("servers", world.app.id, None)
        entry = world.app.table_entry("{}:{}".format(*server.address[:2]))
        await world.store.write_row("servers", "silent", entry)
        ready = world.gateway.directory.ready_servers
        await wait_until(lambda: [s.id for s in ready("app")] == ["silent"])
        yield server


@pytest.mark.parametrize("name", KINDS)
def test_a_limit_that_is_shortened_under_way_ends_the_wait(name, tmp_path):
    async def scenario(world):
        await apply(world, 2, name, LONG_MS)
        async with only_server(world, BEGINNINGS[name]) as server:
            request = world.send_request("POST", f"/{name}/1", "r1", b"x")
            waiting = asyncio.create_task(seconds_of(request))
            await wait_until(lambda: server.answered)
            await asyncio.sleep(0.1)
            await apply(world, 3, name, int(LIMIT_S * 1000))
            assert await waiting <= LIMIT_S + SLACK_S

    run_scenario(scenario, tmp_path)


class FullGate:
    """Gate at which calls wait without end."""

    async def enter(self, call, service):
        await asyncio.sleep(60)


def test_a_call_that_waits_in_the_queue_ends_by_a_limit_shortened_meanwhile():
    limit = datetime.timedelta(seconds=LIMIT_S)

    async def scenario(world):
        world.forwarder.gate = FullGate()
        began = world.clock.monotonic()
        shortened = move(table(2, OLD, timeout=limit))
        outcome = await world.forward(shortened, times=CallerTimes(began))
        return type(outcome), world.clock.monotonic() - began

    outcome, took = play(scenario)
    assert outcome is NotRun and took == pytest.approx(LIMIT_S)


def test_a_stream_that_is_resumed_at_a_silent_server_ends_in_time(tmp_path):
    async def scenario(world):
        await apply(world, 2, "resumed", int(LIMIT_S * 1000))
        broken = CHUNKED + b"f\r\n%b\r\n" % EVENT + b"zz\r\n"
        async with only_server(world, broken), EndlessServer(b"", b"", 60.0) as dark:
            entry = world.app.table_entry("{}:{}".format(*dark.address[:2]))
            await world.store.write_row("servers", "dark", entry)
            ready = world.gateway.directory.ready_servers
            await wait_until(lambda: len(ready("app")) == 2)
            request = world.send_request("POST", "/resumed/1", "r1", b"x")
            assert await seconds_of(request) <= LIMIT_S + SLACK_S

    run_scenario(scenario, tmp_path)


JOB_CALLS = {
    "page": ("GET", results_target("job"), b"", {}),
    "page-wait": ("GET", results_target("job"), b"", {"wait_ms": "1000"}),
    "page-unknown": ("GET", results_target("none"), b"", {}),
    "body": ("GET", "/gypsumshift/items/job?id=job-0-0", b"", {}),
    "end": ("DELETE", "/gypsumshift/lots/job", b"", {}),
    "submit": ("POST", "/batch/1", job_body("late"), {}),
}


@pytest.mark.parametrize("down", ["silent", "slow"])
@pytest.mark.parametrize("name", JOB_CALLS)
def test_a_call_about_a_job_ends_by_the_time_of_its_route(name, down, tmp_path):
    """The store answers not at all, or each of its calls late."""
    method, target, body, headers = JOB_CALLS[name]

    async def scenario(world):
        world.engine.pause = 5.0
        await apply(world, 2, "batch", int(LIMIT_S * 1000))
        first = job_body("job")
        exchange, _ = await world.send_request("POST", "/batch/1", "job", first)
        assert exchange.status == 202
        faults = world.store.faults
        faults.down, faults.slow = ("silent", 0.0) if down == "silent" else ("", 0.55)
        request = world.send_request(method, target, "late", body, **headers)
        assert await seconds_of(request) <= LIMIT_S + SLACK_S

    run_scenario(scenario, tmp_path)


async def ask_entry(sys, path, body):
    """Return how long a request to an entry took whose caller waits `LIMIT_S`."""
    headers = [("prefer", f"wait={LIMIT_S}"), ("content-type", "application/json")]
    address = sys.entries[0].caller_address

    async def request():
        exchange = await Fetcher().open(
            address, "POST", f"/w{path}", headers, body, host=HOST
        )
        try:
            await exchange.read()
        finally:
            exchange.close()

    return await seconds_of(request())


def test_a_stream_of_an_entry_ends_in_time_when_its_sidecar_goes_dark(monkeypatch):
    reply = AttemptRun.send_reply

    async def reply_once(run, body):
        if body.head is not None:
            await reply(run, body)

    monkeypatch.setattr(AttemptRun, "send_reply", reply_once)

    async def work(sys):
        body = b'{"prompt": "p", "max_tokens": 50, "stream": true}'
        took = await ask_entry(sys, "/v1/completions", body)
        assert took <= LIMIT_S + SLACK_S

    system.run(work, services=0)


def test_a_lost_attempt_at_a_dark_sidecar_is_settled_in_time(monkeypatch):
    """An attempt that may not be repeated; its sidecar answers nothing any more."""
    reply = PeerSession.reply

    async def reply_to_heartbeats(session, exchange, body):
        if body.heartbeat is not None:
            await reply(session, exchange, body)

    async def work(sys):
        monkeypatch.setattr(PeerSession, "reply", reply_to_heartbeats)
        took = await ask_entry(sys, "/services/shop/1", b"x")
        assert took <= LIMIT_S + SLACK_S

    system.run(work, engines=0)
