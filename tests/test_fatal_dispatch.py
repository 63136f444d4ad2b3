"""Entries of the product's own deployment hold back requests that crash servers.

Guards against the failure described in `test_fatal_requests.py`. Here each call sent a
request to four servers, and a sample whose engine crashed was moved to the next
engine without limit.
"""

import asyncio
import json

from gypsumshift import Group
from gypsumshift.httpclient import Fetcher
from gypsumshift.serving.quarantine import CRASH_LIMIT, TRIAL_DELAYS_S
from tests import system
from tests.builders import ManualClock
from tests.platform_cluster import crash_worker
from tests.system import wait_until

FATAL = b"fatal"


def make_crash_on_fatal(servers, name):
    """Make servers crash under requests that contain `FATAL`; return those that did."""
    crashed = []

    def wrap(server):
        serve = getattr(server, name)

        async def fragile(request):
            if FATAL not in request.body:
                return await serve(request)
            crashed.append(server)
            crash_worker(server)
            await asyncio.Event().wait()

        setattr(server, name, fragile)

    for server in servers:
        wrap(server)
    return crashed


def stop_quarantine_clock(entry):
    """Stop the quarantine's clock, so that no trial becomes due on a slow machine."""
    stopped = ManualClock()
    stopped.seconds = entry.clock.monotonic()
    entry.dispatcher.guard.quarantine.clock = stopped


async def send_put(entry, body):
    fetcher = Fetcher()
    try:
        target = "/w/services/shop/items/1"
        return await fetcher.fetch(entry.caller_address, "PUT", target, [], body, 10.0)
    finally:
        fetcher.close_idle()


def test_a_fatal_request_crashes_three_servers_and_is_then_refused():
    async def work(sys):
        entry = sys.entries[0]
        stop_quarantine_clock(entry)
        crashed = make_crash_on_fatal(sys.services, "run_request")
        answer = await send_put(entry, FATAL)
        assert answer.status == 504 and len(crashed) == CRASH_LIMIT
        answer = await send_put(entry, FATAL)
        problem = json.loads(answer.body)
        assert answer.status == 503 and problem["outcome"] == "not run"
        assert len(crashed) == CRASH_LIMIT
        assert (await send_put(entry, b"sound")).status == 200

    system.run(work, engines=0, services=6)


def test_an_aborted_answer_of_a_running_server_is_not_recorded_as_crash():
    async def work(sys):
        entry = sys.entries[0]
        for service in sys.services:
            service.faults.cut = 1
        await send_put(entry, b"sound")
        assert not entry.dispatcher.guard.quarantine.records

    system.run(work, engines=0, services=2)


def test_a_fatal_sample_crashes_three_engines_and_the_other_groups_are_delivered():
    async def work(sys):
        stop_quarantine_clock(sys.entries[0])
        crashed = make_crash_on_fatal(sys.engines, "serve_completion")
        async with sys.trainer() as trainer:
            prompts = {"g0": "fatal", "g1": "p 1", "g2": "p 2"}
            groups = [Group(name, p, samples=2) for name, p in prompts.items()]
            await trainer.submit(groups)
            delivery = await trainer.step(1)
        assert {sample.id.split("/")[0] for sample in delivery.samples} == {"g1", "g2"}
        await wait_until(lambda: len(crashed) == CRASH_LIMIT)
        await asyncio.sleep(0.3)
        assert len(crashed) == CRASH_LIMIT

    system.run(work, engines=5, services=0)


def test_a_group_whose_trials_crash_engines_too_is_marked_as_failed():
    async def work(sys):
        entry = sys.entries[0]
        stop_quarantine_clock(entry)
        quarantine = entry.dispatcher.guard.quarantine
        crashed = make_crash_on_fatal(sys.engines, "serve_completion")
        async with sys.trainer() as trainer:
            await trainer.submit([Group("g0", "fatal", samples=1)])
            pull = asyncio.create_task(trainer.step(1))
            for number, pause in enumerate((0, *TRIAL_DELAYS_S), CRASH_LIMIT):
                # 60 s more cover the running time of the test, by which crashes are
                # dated.
                quarantine.clock.advance(pause and pause + 60.0)
                await wait_until(lambda due=number: total_crashes(quarantine) == due)
            await wait_until(lambda: failed_groups(sys))
            pull.cancel()
        assert len(crashed) == CRASH_LIMIT + len(TRIAL_DELAYS_S)

    system.run(work, engines=6, services=0)


def total_crashes(quarantine):
    return sum(record.crash_count for record in quarantine.records.values())


def failed_groups(sys):
    rows = [row for place, row in sys.tables.rows.items() if place[0] == "groups"]
    return [row.key for row in rows if row.value["failed"]]
