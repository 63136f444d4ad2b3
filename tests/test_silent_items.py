"""An item whose engine is silent goes on there, in the run that has the next event.

Guards against items whose runs are cut, and begin anew, while their engine preempts
them, reads a prompt or has a queue: work is done twice, and an engine that always needs
longer than the agent waits never gets an item done.
"""

import asyncio

import logbook
import pytest

from gypsumshift.jobs import itemstream
from standins.users_documents import config, job_body, results_target
from standins.users_worker import event_text
from tests.platform_cluster import PlatformCluster
from tests.silent_worker import FOREVER_S, SilentWorker
from tests.system import wait_until

# The time after which an agent asks again, shortened for the tests.
PATIENCE_S = 0.5
EVENTS = 4


@pytest.fixture(autouse=True)
def short_patience(monkeypatch):
    monkeypatch.setattr(itemstream, "SILENCE_TIMEOUT", PATIENCE_S)


def play(scenario, tmp_path, *silences, slots=4):
    """Run a scenario on a deployment with an engine whose runs have silences."""
    engine = SilentWorker(slots=slots, events=EVENTS, pause=0.02)
    engine.silences = list(silences)

    async def run():
        cluster = PlatformCluster(engine=engine)
        try:
            async with asyncio.timeout(40):
                await cluster.start(tmp_path)
                await cluster.store.write_row("op", "config", config(2, slots=slots))
                await scenario(cluster, engine)
        finally:
            await cluster.close()

    asyncio.run(run())


async def submit(world, items=1):
    """Submit a batch job of single items."""
    body = job_body("job", groups=items, size=1)
    exchange, _ = await world.send_request("POST", "/batch/job", "job", body)
    assert exchange.status == 202


def check_results(results, count=1):
    """Check that all items are listed once with their whole output."""
    assert len(results) == count
    for result in results:
        texts = [event_text(result["id"], n) for n in range(1, EVENTS + 1)]
        assert result["state"] == "succeeded"
        assert result["text"] == "\n".join(texts)


def starts_of(engine):
    """Return after which event each run of the item began."""
    return [run["after"] for run in engine.runs if "request" in run]


def test_an_item_goes_on_in_its_run_while_the_engine_takes_no_other(tmp_path):
    """Guards against a run that is cut, though the engine can't begin another one."""

    async def scenario(world, engine):
        await submit(world)
        await wait_until(lambda: engine.running)
        check_results(await world.read_results())
        assert starts_of(engine) == [0], "it was cut, and began anew"

    play(scenario, tmp_path, {3: 4 * PATIENCE_S}, slots=1)


def test_an_item_is_done_at_an_engine_that_always_begins_late(tmp_path):
    """Guards against an item that is cut again and again and never done."""

    async def scenario(world, engine):
        await submit(world)
        async with asyncio.timeout(12 * PATIENCE_S):
            check_results(await world.read_results())

    play(scenario, tmp_path, *[{0: 1.7 * PATIENCE_S}] * 50)


def test_an_item_whose_answer_is_lost_is_done_by_another_run(tmp_path):
    """Guards against waiting for a run of which nothing comes any more."""

    async def scenario(world, engine):
        await submit(world)
        check_results(await world.read_results())
        assert starts_of(engine) == [0, 2]
        await wait_until(lambda: not engine.running)

    play(scenario, tmp_path, {3: FOREVER_S})


def test_an_item_whose_answers_are_lost_again_and_again_is_done(tmp_path):
    """Guards against a number of lost answers after which an item is never done."""

    async def scenario(world, engine):
        await submit(world)
        check_results(await world.read_results())
        assert starts_of(engine) == [0, 0, 0, 0, 0]
        await wait_until(lambda: not engine.running)

    play(scenario, tmp_path, *[{1: FOREVER_S}] * 4, slots=8)


def test_an_item_that_is_silent_twice_goes_on(tmp_path):
    """Guards against a silence that counts towards the next one."""

    async def scenario(world, engine):
        await submit(world)
        check_results(await world.read_results())
        assert starts_of(engine) == [0]

    play(scenario, tmp_path, {2: 2 * PATIENCE_S, 4: 2 * PATIENCE_S}, slots=1)


def test_a_silent_item_ends_at_its_engine_with_its_job(tmp_path):
    """Guards against runs that outlast the batch job of their item."""

    async def scenario(world, engine):
        await submit(world)
        await wait_until(lambda: len(starts_of(engine)) == 2)
        target = results_target("job").partition("?")[0]
        exchange, _ = await world.send_request("DELETE", target)
        assert exchange.status == 200
        async with asyncio.timeout(3):
            while engine.running:
                await asyncio.sleep(0.02)

    play(scenario, tmp_path, *[{2: FOREVER_S}] * 9)


def test_decisions_on_a_silent_item_are_logged_with_its_age(tmp_path):
    """Guards against an item that is asked for twice, and nobody can tell why."""

    async def scenario(world, engine):
        await submit(world)
        check_results(await world.read_results())

    with logbook.TestHandler(level="INFO") as handler:
        play(scenario, tmp_path, {3: FOREVER_S})
    asked, decided = (r.extra for r in handler.records if "open_runs" in r.extra)
    assert asked["silent_s"] >= PATIENCE_S and asked["events"] == 2
    assert decided["by_new_run"] and decided["silent_s"] >= asked["silent_s"]
