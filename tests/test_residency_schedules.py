"""Schedules of requests, faults and configuration changes in three regions.

The checks are at the receivers: no body of a request with homes arrives elsewhere.
"""

import asyncio
import contextlib

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumshift.eventstream import StreamBroken
from gypsumshift.httpserver import ResponseAborted
from gypsumshift.residency import ResidencyRules
from tests.region_builders import REGIONS, ZONES
from tests.region_world import FATES, KINDS, WORKSPACE, RegionWorld, make_routes
from tests.virtual_time import run_in_virtual_time

ZONE_NAMES = [zone for zone, _ in ZONES]
CALL_PREFIXES = ["/safe/", "/once/", "/flow/", "/resumed/"]
owners = st.sampled_from(["", WORKSPACE])
homes = st.sets(st.sampled_from([*REGIONS, "nowhere"]), max_size=2)
calls = st.tuples(st.just("call"), st.sampled_from(CALL_PREFIXES), owners)
# An item that is generated at the engine of a zone, and its reward call.
runs = st.tuples(st.just("item"), st.sampled_from(ZONE_NAMES), owners)
changes = st.tuples(
    st.just("homes"), st.dictionaries(st.sampled_from(sorted(KINDS)), homes), homes
)
faults = st.tuples(st.just("fate"), st.sampled_from(ZONE_NAMES), st.sampled_from(FATES))
pauses = st.tuples(
    st.just("pause"), st.sampled_from([0.001, 0.01, 0.03, 0.1, 0.5]), st.none()
)
# A call whose route gets other homes while its connection opens.
races = st.tuples(st.just("race"), st.sampled_from(CALL_PREFIXES), homes)
# Changes are as frequent as requests, so that most requests meet one.
schedules = st.lists(
    st.one_of(calls, races, runs, changes, changes, faults, pauses, pauses),
    min_size=5,
    max_size=40,
)


async def run_item(world, name, zone, workspace):
    """Run an item at the engine of a zone, with its reward call."""
    run = world.item_run(name, workspace)
    for _ in range(3):
        with contextlib.suppress(StreamBroken):
            await run.generate(world.engine_in(zone))
            break
    async with asyncio.timeout(2.0):
        await run.request_score()


async def run_call(world, name, prefix, workspace):
    """Send a call; a stream may be cut off."""
    with contextlib.suppress(ResponseAborted):
        await world.call(name, prefix, workspace)


async def run_schedule(schedule):
    """Run a schedule and return the world after all requests have ended."""
    world = RegionWorld(per_zone=2)
    version = 1
    tasks = []
    for number, (kind, first, second) in enumerate(schedule):
        if kind in ("call", "race"):
            workspace = second if kind == "call" else ""
            work = run_call(world, f"r{number}", first, workspace)
            tasks.append(asyncio.create_task(work))
        if kind == "race":
            await asyncio.sleep(0.001)
            version += 1
            world.directory.set_routes(make_routes(version, {first: second}))
        elif kind == "item":
            work = run_item(world, f"s{number}", first, second)
            tasks.append(asyncio.create_task(work))
        elif kind == "homes":
            version += 1
            world.directory.set_routes(make_routes(version, first, second))
        elif kind == "fate":
            world.fates[first] = second
        elif kind == "pause":
            await asyncio.sleep(first)
    for outcome in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(outcome, BaseException) and not isinstance(outcome, TimeoutError):
            raise outcome
    return world


@settings(max_examples=150)
@given(schedules)
def test_no_body_arrives_outside_the_homes(schedule):
    """Retries, hedges and resumed streams used to choose among all servers."""

    async def scenario():
        world = await run_schedule(schedule)
        assert not world.outside

    run_in_virtual_time(scenario)


def test_the_schedules_find_a_sender_that_asks_too_early():
    """Homes that change between choice and send: only the last question counts."""

    async def scenario():
        steps = [("call", "/safe/", ""), ("pause", 0.001, None)]
        steps += [("homes", {"/safe/": {"south"}}, set()), ("pause", 0.1, None)]
        world = await run_schedule(steps)
        assert not world.outside
        asked = ResidencyRules.may_send
        ResidencyRules.may_send = lambda rules, call, server: True
        try:
            world = await run_schedule(steps)
        finally:
            ResidencyRules.may_send = asked
        assert [arrival.region for arrival in world.outside] == ["north"]

    run_in_virtual_time(scenario)
