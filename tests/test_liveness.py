"""Liveness probes, and the load of a fleet's heartbeats on the store."""

import collections
import random

from gypsumshift.jobs import split_into_units
from gypsumshift.jobs.agent import CLAIM_PERIOD
from gypsumshift.jobs.capacity import FreeCapacity
from gypsumshift.jobs.claimer import PROBE_PERIOD
from gypsumshift.jobs.claimtracker import ClaimTracker
from gypsumshift.jobs.heartbeatwriter import (
    HEARTBEAT_PERIOD,
    heartbeat_part,
    heartbeat_period,
)
from gypsumshift.jobs.liveness import LIVENESS_PATH, HttpLivenessProbe
from gypsumshift.jobs.peers import HEARTBEAT_TIMEOUT, Peers
from gypsumshift.jobs.records import AGENTS, CLAIMS, Claim
from gypsumshift.jobs.rowcodec import to_row
from gypsumshift.neighbours import Neighbour
from gypsumshift.platforms import Row, Write
from gypsumshift.relay import Relay
from tests.builders import ManualClock
from tests.job_builders import (
    MODEL,
    ScriptedLivenessProbe,
    claim_row,
    items,
    job,
    job_row,
)
from tests.job_builders import JobCluster as JobsWorld
from tests.system import wait_until
from tests.test_agent import scenario as jobs_scenario
from tests.test_neighbours import UNREACHABLE, call_store, fail_twice, scenario

# Transactions a second that one part of the store takes.
PART_RATE = 200


async def start_beside_silent_holder(world, probe):
    """Start an agent while another one without heartbeats holds the only unit."""
    agent = world.agent("a", liveness=probe)
    units = await world.submit(groups=1)
    claim = Claim("silent", "s")
    row = await world.store.read(CLAIMS, units[0].key, "job")
    version = getattr(row, "version", 0)
    write = Write(CLAIMS, units[0].key, to_row(claim), version, part="job")
    await world.store.commit([write])
    return agent


@jobs_scenario
async def test_an_agent_that_answers_the_probe_keeps_its_units(world: JobsWorld):
    probe = ScriptedLivenessProbe("silent")
    agent = await start_beside_silent_holder(world, probe)
    await wait_until(lambda: len(probe.asked) >= 2)
    assert not agent.runner.units, "its holder works and is probed again later"
    probe.working.clear()
    assert len(await world.results()) == 2


@scenario
async def test_a_probe_succeeds_only_for_the_session_that_runs(world):
    store = await world.serve(world.store)
    path = world.path(store)
    await call_store(path)
    answering = HttpLivenessProbe(path)
    answering.session = "now"
    address = await world.serve(Relay(path, {LIVENESS_PATH: answering.serve}).serve)
    asking = HttpLivenessProbe(world.path(store, [Neighbour("a", address, "here")]))
    assert await asking.is_alive(Claim("a", "now"))
    assert not await asking.is_alive(Claim("a", "before")), "that process has ended"
    assert not await asking.is_alive(Claim("unknown", "now"))


@scenario
async def test_a_probe_fails_if_the_agent_cannot_store_results(world):
    path = world.path(UNREACHABLE)
    await fail_twice(path)
    answering = HttpLivenessProbe(path)
    answering.session = "now"
    address = await world.serve(Relay(path, {LIVENESS_PATH: answering.serve}).serve)
    asking = HttpLivenessProbe(
        world.path(UNREACHABLE, [Neighbour("a", address, "here")])
    )
    assert not await asking.is_alive(Claim("a", "now"))


@scenario
async def test_a_probe_of_an_unreachable_host_fails(world):
    asking = HttpLivenessProbe(
        world.path(UNREACHABLE, [Neighbour("a", UNREACHABLE, "here")])
    )
    assert not await asking.is_alive(Claim("a", "now"))


def test_heartbeats_are_frequent_in_small_fleets_and_limited_in_large_ones():
    assert heartbeat_period(19, 3200) == HEARTBEAT_PERIOD
    assert heartbeat_period(22, 1500) == HEARTBEAT_PERIOD
    assert heartbeat_period(350, 3200) == 350 / 320
    for agents, writes in ((5, 800), (19, 3200), (350, 3200), (1600, 3200)):
        assert agents / heartbeat_period(agents, writes) <= max(0.1 * writes, 19 / 0.4)


def test_heartbeats_take_less_than_half_of_the_capacity_of_each_store_part():
    parts = collections.Counter(heartbeat_part(f"side-{n}") for n in range(1600))
    assert max(parts.values()) / heartbeat_period(1600, 3200) < PART_RATE / 2


def pool(agents, fleet, clock, seed):
    """Return trackers of idle agents of one model, and the holders' heartbeat times.

    Parameters
    ----------
    agents : int
        Engines of the model; each holds a unit, and a tenth as many are idle.
    fleet : int
        Agents of all models, whose number determines the heartbeat period.
    """
    chance = random.Random(seed)
    value = job(split_into_units(items(agents, size=1)))
    period = heartbeat_period(fleet, 3200)
    phases = {f"a{n}": chance.uniform(0, period) for n in range(agents)}
    trackers = []
    for number in range(agents // 10):
        peers = Peers(f"idle{number}", clock)
        tracker = ClaimTracker(f"idle{number}", clock, random.Random(number), peers)
        tracker.apply_job_rows([job_row(value)])
        rows = [
            claim_row("job", unit.key, f"a{n}", "s", 2)
            for n, unit in enumerate(value.units)
        ]
        tracker.apply_claim_rows(rows)
        trackers.append(tracker)
    return trackers, phases, period


def heartbeats_between(phases, period, before, now):
    """Return the heartbeats that are written between two times."""
    found = []
    for agent, phase in phases.items():
        beat = int((now - phase) // period)
        if beat > (before - phase) // period:
            found.append(Row(AGENTS, agent, beat, {"session": "s", "beat": beat}))
    return found


def seconds_to_take_over(agents, fleet, seed, lost="a150"):
    """Return the seconds until an idle agent may take a lost host's unit over."""
    clock = ManualClock()
    trackers, phases, period = pool(agents, fleet, clock, seed)
    del phases[lost]
    began, probed_at = clock.monotonic(), {}
    while True:
        before = clock.monotonic()
        clock.advance(CLAIM_PERIOD / 5)
        rows = heartbeats_between(phases, period, before, clock.monotonic())
        for tracker in trackers:
            tracker.peers.apply_rows(rows)
            since = clock.monotonic() - probed_at.get(tracker, 0)
            may_probe = since >= PROBE_PERIOD
            found = tracker.choose_candidate(
                [MODEL], {MODEL: 1}, FreeCapacity(1), may_probe=may_probe
            )
            if found is None:
                continue
            probed_at[tracker] = clock.monotonic()
            if found.silent_claim.agent == lost:
                return clock.monotonic() - began
            tracker.peers.note_alive(found.silent_claim)


def test_the_unit_of_a_lost_host_is_taken_over_soon_in_small_and_large_fleets():
    """One in ten engines of a model has capacity; 8 models share 1,600 engines."""
    small = [seconds_to_take_over(20, 20, seed, lost="a15") for seed in range(5)]
    assert max(small) < 2.0, small
    large = [seconds_to_take_over(200, 1600, seed) for seed in range(5)]
    assert max(large) < 4.0, large


def test_a_unit_of_a_silent_agent_is_chosen_before_units_of_newer_steps():
    clock = ManualClock()
    own = ClaimTracker("mine", clock, random.Random(1), Peers("mine", clock))
    own.apply_job_rows([job_row(job(split_into_units(items(1)), "old"))])
    own.apply_claim_rows([claim_row("old", "00000", "silent", "s", 2)])
    clock.advance(HEARTBEAT_TIMEOUT + 0.1)
    own.apply_job_rows([job_row(job(split_into_units(items(3, step="n")), "new"))])
    chosen = own.choose_candidate([MODEL], {MODEL: 1}, FreeCapacity(8))
    assert (chosen.job.id, chosen.silent_claim.agent) == ("old", "silent")
    assert (
        own.choose_candidate(
            [MODEL], {MODEL: 1}, FreeCapacity(8), may_probe=False
        ).job.id
        == "new"
    )
