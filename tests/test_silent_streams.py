"""A stream whose server is silent goes on, at that server or at another one.

Guards against streams that are cut, or taken away from their server, before any other
server has the next event: a server that preempts a stream, reads its prompt again or
loads weights is silent for seconds and then goes on.
"""

import asyncio
import contextlib
import time

import logbook
import pytest

from gypsumshift.listeners import close_listener
from gypsumshift.serving.quarantine import TRIAL_DELAYS_S
from gypsumshift.serving.resumablerelay import SILENCE_SECONDS
from standins.users_documents import config, route
from tests import crash_fakes, crash_world
from tests.platform_cluster import run_scenario
from tests.silent_worker import FOREVER_S, SilentWorker, read_stream
from tests.system import wait_until

EVENTS = 6
# Longer than the silence after which other servers are asked, and less than the time
# after which callers give up.
SILENCE_S = 1.6
TIMEOUT_S = 5.0
# How long two servers may work on one stream (rule TWICE).
OVERLAP_S = 0.4


def silent_config(attempts=3, timeout_s=TIMEOUT_S):
    """Return a configuration with a route of streams that may be resumed."""
    fields = {"kind": "stream", "service": "engines", "can_resume": True}
    milliseconds = int(timeout_s * 1000)
    return config(2, [route("s", attempts=attempts, timeout_ms=milliseconds, **fields)])


async def add_engines(world, *silences, slots=4, attempts=3, timeout_s=TIMEOUT_S):
    """Add an engine for each dict of silences; return them in the order of use.

    The gateway has them and the route once this returns. The first one alone is known
    to it until a stream has begun there; see `begin`.
    """
    engines = []
    for silence in silences:
        engine = SilentWorker("engines", slots=slots, events=EVENTS, pause=0.05)
        engine.silences = [silence]
        engines.append(engine)
    await world.register(engines[0])
    await world.store.write_row("op", "config", silent_config(attempts, timeout_s))
    gateway = world.gateway
    await wait_until(lambda: gateway.directory.routes.version == 2)
    await wait_until(lambda: gateway.directory.ready_servers("engines"))
    return engines


async def begin(world, engines, item="s1", full=False):
    """Begin a stream at the first engine, then add the others; return its task.

    The others may be full.
    """
    task = asyncio.create_task(read_stream(world, "/s/1", item))
    await wait_until(lambda: engines[0].runs)
    for engine in engines[1:]:
        await world.register(engine)
    gateway = world.gateway
    await wait_until(
        lambda: len(gateway.directory.ready_servers("engines")) == len(engines)
    )
    if full:
        for engine in engines[1:]:
            engine.slots = 0
    return task


def runs_of(engine):
    return [run for run in engine.runs if "request" in run]


async def check_closed(world, engines):
    """Check that no server works on a stream any more and none counts as running."""
    await wait_until(lambda: not any(engine.running for engine in engines))
    assert not world.gateway.forwarder.guard.active_permits


@pytest.mark.parametrize("before", [1, 4])
def test_a_silent_stream_without_another_server_goes_on_at_its_server(before, tmp_path):
    """Guards against a stream that is cut while its only server is silent."""

    async def scenario(world):
        engines = await add_engines(world, {before: SILENCE_S})
        seen = await (await begin(world, engines))
        assert seen.is_right("s1", EVENTS), seen
        assert len(runs_of(engines[0])) == 1
        await check_closed(world, engines)

    run_scenario(scenario, tmp_path)


def test_a_silent_stream_goes_on_at_its_server_while_all_others_are_full(tmp_path):
    """Guards against a stream that is cut since no other server has a free slot."""

    async def scenario(world):
        engines = await add_engines(world, {4: SILENCE_S}, {}, {})
        seen = await (await begin(world, engines, full=True))
        assert seen.is_right("s1", EVENTS), seen
        assert len(runs_of(engines[0])) == 1

    run_scenario(scenario, tmp_path)


def test_a_silent_stream_moves_once_another_server_has_room(tmp_path):
    """Guards against servers that are asked once and never again."""

    async def scenario(world):
        engines = await add_engines(world, {4: FOREVER_S}, {})
        task = await begin(world, engines, full=True)
        await asyncio.sleep(SILENCE_S)
        engines[1].slots = 4
        seen = await task
        assert seen.is_right("s1", EVENTS), seen
        assert [run["after"] for run in runs_of(engines[1])] == [3]
        await check_closed(world, engines)

    run_scenario(scenario, tmp_path)


def test_a_silent_stream_moves_to_a_server_that_could_not_be_reached_before(tmp_path):
    """Guards against a server that is left out since it refused a connection once."""

    async def scenario(world):
        engines = await add_engines(world, {4: FOREVER_S}, {})
        task = await begin(world, engines)
        port = engines[1].server.listener.sockets[0].getsockname()[1]
        await close_listener(engines[1].server.listener)
        await asyncio.sleep(SILENCE_S)
        await engines[1].server.listen("127.0.0.1", port)
        seen = await task
        assert seen.is_right("s1", EVENTS), seen
        assert [run["after"] for run in runs_of(engines[1])] == [3]

    run_scenario(scenario, tmp_path)


def test_a_silent_stream_whose_attempts_are_used_goes_on_at_its_server(tmp_path):
    """Guards against a stream that is cut since its route allows no other server."""

    async def scenario(world):
        engines = await add_engines(world, {4: SILENCE_S}, {}, attempts=1)
        seen = await (await begin(world, engines))
        assert seen.is_right("s1", EVENTS), seen
        assert not runs_of(engines[1])

    run_scenario(scenario, tmp_path)


def test_a_stream_that_is_silent_twice_goes_on_at_its_server(tmp_path):
    """Guards against a silence that counts towards the next one."""

    async def scenario(world):
        engines = await add_engines(world, {3: SILENCE_S, 5: SILENCE_S})
        seen = await (await begin(world, engines))
        assert seen.is_right("s1", EVENTS), seen
        assert len(runs_of(engines[0])) == 1

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize("place", [0, 4])
def test_a_server_that_is_asked_to_go_on_and_says_nothing_takes_nothing(
    place, tmp_path
):
    """Guards against a stream taken to a server that is silent in or after its head."""

    async def scenario(world):
        engines = await add_engines(world, {4: 2.0}, {place: FOREVER_S})
        seen = await (await begin(world, engines))
        assert seen.is_right("s1", EVENTS), seen
        assert len(runs_of(engines[0])) == 1
        await check_closed(world, engines)

    run_scenario(scenario, tmp_path)


def test_a_second_silence_at_the_server_that_took_over_is_waited_for(tmp_path):
    """Guards against a stream that is cut at its second server once it has moved."""

    async def scenario(world):
        engines = await add_engines(world, {3: FOREVER_S}, {5: SILENCE_S}, attempts=2)
        seen = await (await begin(world, engines))
        assert seen.is_right("s1", EVENTS), seen
        assert [run["after"] for run in runs_of(engines[1])] == [2]

    run_scenario(scenario, tmp_path)


def test_the_first_of_several_silent_servers_to_go_on_has_the_stream(tmp_path):
    """Guards against waiting for one server only, of which all but one are silent."""

    async def scenario(world):
        engines = await add_engines(world, {3: FOREVER_S}, {3: FOREVER_S}, {})
        seen = await (await begin(world, engines))
        assert seen.is_right("s1", EVENTS), seen
        await check_closed(world, engines)

    run_scenario(scenario, tmp_path)


def test_a_server_that_was_silent_stops_once_another_has_taken_over(tmp_path):
    """Guards against two servers that work on one stream at the same time."""

    async def scenario(world):
        engines = await add_engines(world, {4: FOREVER_S}, {})
        seen = await (await begin(world, engines))
        assert seen.is_right("s1", EVENTS), seen
        began = engines[1].runs[0]["at"] - time.time() + time.monotonic()
        await check_closed(world, engines)
        assert engines[0].ended_at["s1"] - began < OVERLAP_S

    run_scenario(scenario, tmp_path)


def test_a_stream_whose_silent_server_breaks_off_goes_on_where_it_was_asked(tmp_path):
    """Guards against a run that is lost while another one is being asked for."""

    async def scenario(world):
        engines = await add_engines(world, {4: SILENCE_S}, {4: 1.0})
        engines[0].break_at_events = [4]
        seen = await (await begin(world, engines))
        assert seen.is_right("s1", EVENTS), seen
        assert len(runs_of(engines[1])) == 1

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize("others", [0, 1])
def test_a_stream_that_stays_silent_ends_by_the_time_of_its_route(others, tmp_path):
    """Guards against a wait for a silent server that has no end."""

    async def scenario(world):
        silences = [{4: FOREVER_S}] * (1 + others)
        engines = await add_engines(world, *silences, timeout_s=3.0)
        seen = await (await begin(world, engines))
        assert not seen.whole
        assert seen.numbers == [1, 2, 3]
        assert 2.9 <= seen.took_s <= 3.5
        await check_closed(world, engines)

    run_scenario(scenario, tmp_path)


def test_a_caller_that_leaves_ends_the_runs_of_its_silent_stream(tmp_path):
    """Guards against servers that go on for a caller who has left."""

    async def scenario(world):
        engines = await add_engines(world, {4: FOREVER_S}, {4: FOREVER_S})
        task = await begin(world, engines)
        await wait_until(lambda: runs_of(engines[1]))
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        async with asyncio.timeout(1.0):
            await check_closed(world, engines)

    run_scenario(scenario, tmp_path)


def test_decisions_on_a_silent_stream_are_logged_with_its_age(tmp_path):
    """Guards against a stream that moves, or stays, and nobody can tell why."""

    engines = []

    async def scenario(world):
        engines.extend(await add_engines(world, {4: 2.0}, {}))
        await (await begin(world, engines, full=True))

    with logbook.TestHandler(level="INFO") as handler:
        run_scenario(scenario, tmp_path)
    seen = [r.extra for r in handler.records if r.extra.get("request") == "s1"]
    ages = [line["silent_s"] for line in seen if "silent_s" in line]
    assert ages == sorted(ages) and ages[0] >= SILENCE_SECONDS, seen
    assert engines[1].id in [line.get("asked") for line in seen]
    waited = [line for line in seen if "asks_again_in_s" in line]
    assert waited and waited[0]["reason"], "why no other server goes on"
    (decided,) = [line for line in seen if "goes_on_at" in line]
    assert decided["goes_on_at"] == engines[0].id and decided["silent_s"] >= 1.9


def test_a_trial_that_is_silent_goes_on_at_its_server(monkeypatch):
    """Guards against a trial, which has one server only, that is cut in a silence."""

    async def scenario(world):
        await crash_world.crash_three_servers(world, prefix="/resumed/")
        await asyncio.sleep(2 * TRIAL_DELAYS_S[0])
        ran = len(world.runs_of(crash_world.POISON))
        world.fatal, world.caller_timeout_s = set(), 60.0
        monkeypatch.setattr(crash_fakes, "EVENT_TIME_S", SILENCE_S)
        whole = await world.send("g0", crash_world.POISON, "/resumed/")
        assert whole.body.count(b"data") == crash_fakes.EVENT_COUNT
        assert len(world.runs_of(crash_world.POISON)) == ran + 1

    crash_world.run_scenario(scenario)
