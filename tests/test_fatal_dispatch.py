"""The product's own deployment: what ends backend servers is held back by its entry.

Told in `test_fatal_requests.py`. Here a request went to four servers in each call, and
a sample whose engine ended was taken up by the next one without end.
"""

import asyncio
import json

from gypsumshift import Group
from gypsumshift.fetch import Fetcher
from gypsumshift.serving.quarantine import CRASH_LIMIT, TRIAL_DELAYS_S
from tests import system
from tests.builders import ManualClock
from tests.platform_world import end
from tests.system import until

FATAL = b"fatal"


def make_fragile(servers, name):
    """Have servers end under what holds the text; return those that ended."""
    ended = []

    def wrap(server):
        serve = getattr(server, name)

        async def fragile(request):
            if FATAL not in request.body:
                return await serve(request)
            ended.append(server)
            end(server)
            await asyncio.Event().wait()

        setattr(server, name, fragile)

    for server in servers:
        wrap(server)
    return ended


def stop_time(entry):
    """Have no trial come due, however slow this machine is."""
    still = ManualClock()
    still.seconds = entry.clock.monotonic()
    entry.dispatcher.guard.quarantine.clock = still


async def put(entry, body):
    fetcher = Fetcher()
    try:
        target = "/w/services/shop/items/1"
        return await fetcher.fetch(entry.front_address, "PUT", target, [], body, 10.0)
    finally:
        fetcher.close()


def test_a_request_ends_three_servers_at_the_most_and_is_then_refused():
    async def work(sys):
        entry = sys.entries[0]
        stop_time(entry)
        ended = make_fragile(sys.services, "run")
        answer = await put(entry, FATAL)
        assert answer.status == 504 and len(ended) == CRASH_LIMIT
        answer = await put(entry, FATAL)
        problem = json.loads(answer.body)
        assert answer.status == 503 and problem["outcome"] == "not run"
        assert len(ended) == CRASH_LIMIT
        assert (await put(entry, b"sound")).status == 200

    system.run(work, engines=0, services=6)


def test_a_server_that_breaks_an_answer_off_and_is_there_is_no_reason():
    async def work(sys):
        entry = sys.entries[0]
        for service in sys.services:
            service.faults.cut = 1
        await put(entry, b"sound")
        assert not entry.dispatcher.guard.quarantine.records

    system.run(work, engines=0, services=2)


def test_a_sample_ends_three_engines_at_the_most_and_the_others_are_delivered():
    async def work(sys):
        stop_time(sys.entries[0])
        ended = make_fragile(sys.engines, "complete")
        async with sys.trainer() as trainer:
            prompts = {"g0": "fatal", "g1": "p 1", "g2": "p 2"}
            groups = [Group(name, p, samples=2) for name, p in prompts.items()]
            await trainer.submit(groups)
            delivery = await trainer.step(1)
        assert {sample.id.split("/")[0] for sample in delivery.samples} == {"g1", "g2"}
        await until(lambda: len(ended) == CRASH_LIMIT)
        await asyncio.sleep(0.3)
        assert len(ended) == CRASH_LIMIT

    system.run(work, engines=5, services=0)


def test_a_group_under_which_engines_end_in_its_trials_too_is_set_aside():
    async def work(sys):
        entry = sys.entries[0]
        stop_time(entry)
        quarantine = entry.dispatcher.guard.quarantine
        ended = make_fragile(sys.engines, "complete")
        async with sys.trainer() as trainer:
            await trainer.submit([Group("g0", "fatal", samples=1)])
            pull = asyncio.create_task(trainer.step(1))
            for number, pause in enumerate((0, *TRIAL_DELAYS_S), CRASH_LIMIT):
                # And the seconds that this test took, which the ends are told by.
                quarantine.clock.advance(pause and pause + 60.0)
                await until(lambda due=number: ends(quarantine) == due)
            await until(lambda: failed_groups(sys))
            pull.cancel()
        assert len(ended) == CRASH_LIMIT + len(TRIAL_DELAYS_S)

    system.run(work, engines=6, services=0)


def ends(quarantine):
    return sum(record.crash_count for record in quarantine.records.values())


def failed_groups(sys):
    rows = [row for place, row in sys.tables.rows.items() if place[0] == "groups"]
    return [row.key for row in rows if row.value["failed"]]
