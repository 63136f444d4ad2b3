"""Silent agents are asked, and heartbeats of large fleets stay within the store."""

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
from gypsumshift.jobs.records import AGENTS, CLAIMS, Claim, to_row
from gypsumshift.neighbours import Neighbour, Relay
from gypsumshift.platforms import Row, Write
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
from tests.system import until
from tests.test_agent import scenario as jobs_scenario
from tests.test_neighbours import NOBODY, call, fail_twice, scenario

# Transactions a second that one part of the store takes.
PART_RATE = 200


async def held_by_a_silent_agent(world, presence):
    """Start an agent while another, of which nothing is heard, holds the only unit."""
    agent = world.agent("a", presence=presence)
    units = await world.submit(groups=1)
    claim = Claim("silent", "s")
    row = await world.store.read(CLAIMS, units[0].key, "job")
    version = getattr(row, "version", 0)
    write = Write(CLAIMS, units[0].key, to_row(claim), version, part="job")
    await world.store.commit([write])
    return agent


@jobs_scenario
async def test_a_silent_agent_that_answers_keeps_its_units(world: JobsWorld):
    presence = ScriptedLivenessProbe("silent")
    agent = await held_by_a_silent_agent(world, presence)
    await until(lambda: len(presence.asked) >= 2)
    assert not agent.runner.units, "it works, and is asked again later"
    presence.working.clear()
    assert len(await world.results()) == 2


@scenario
async def test_an_agent_says_which_start_of_it_works(world):
    store = await world.serve(world.store)
    path = world.path(store)
    await call(path)
    told = HttpLivenessProbe(path)
    told.session = "now"
    address = await world.serve(Relay(path, {LIVENESS_PATH: told.serve}).serve)
    asker = HttpLivenessProbe(world.path(store, [Neighbour("a", address, "here")]))
    assert await asker.is_alive(Claim("a", "now"))
    assert not await asker.is_alive(Claim("a", "before")), "that start is no more"
    assert not await asker.is_alive(Claim("unknown", "now"))


@scenario
async def test_an_agent_that_cannot_store_results_does_not_work(world):
    path = world.path(NOBODY)
    await fail_twice(path)
    told = HttpLivenessProbe(path)
    told.session = "now"
    address = await world.serve(Relay(path, {LIVENESS_PATH: told.serve}).serve)
    asker = HttpLivenessProbe(world.path(NOBODY, [Neighbour("a", address, "here")]))
    assert not await asker.is_alive(Claim("a", "now"))


@scenario
async def test_a_host_that_is_gone_does_not_work(world):
    asker = HttpLivenessProbe(world.path(NOBODY, [Neighbour("a", NOBODY, "here")]))
    assert not await asker.is_alive(Claim("a", "now"))


def test_small_fleets_beat_often_and_large_ones_within_the_store():
    assert heartbeat_period(19, 3200) == HEARTBEAT_PERIOD
    assert heartbeat_period(22, 1500) == HEARTBEAT_PERIOD
    assert heartbeat_period(350, 3200) == 350 / 320
    for agents, writes in ((5, 800), (19, 3200), (350, 3200), (1600, 3200)):
        assert agents / heartbeat_period(agents, writes) <= max(0.1 * writes, 19 / 0.4)


def test_no_part_of_the_store_carries_more_than_half_of_what_it_takes():
    parts = collections.Counter(heartbeat_part(f"side-{n}") for n in range(1600))
    assert max(parts.values()) / heartbeat_period(1600, 3200) < PART_RATE / 2


def pool(agents, fleet, clock, seed):
    """Return boards of idle agents of one model, each holder beating now and then.

    Parameters
    ----------
    agents : int
        Engines of the model, each with one unit but for the idle ones.
    fleet : int
        Agents of all models, which decide how often each of them beats.
    """
    chance = random.Random(seed)
    value = job(split_into_units(items(agents, size=1)))
    period = heartbeat_period(fleet, 3200)
    phases = {f"a{n}": chance.uniform(0, period) for n in range(agents)}
    boards = []
    for number in range(agents // 10):
        peers = Peers(f"idle{number}", clock)
        board = ClaimTracker(f"idle{number}", clock, random.Random(number), peers)
        board.apply_job_rows([job_row(value)])
        rows = [
            claim_row("job", unit.key, f"a{n}", "s", 2)
            for n, unit in enumerate(value.units)
        ]
        board.apply_claim_rows(rows)
        boards.append(board)
    return boards, phases, period


def beats_since(phases, period, before, now):
    """Return the heartbeats that were written between two moments."""
    found = []
    for agent, phase in phases.items():
        beat = int((now - phase) // period)
        if beat > (before - phase) // period:
            found.append(Row(AGENTS, agent, beat, {"session": "s", "beat": beat}))
    return found


def seconds_to_go_on(agents, fleet, seed, lost="a150"):
    """Return the seconds until an idle agent takes the unit of a lost host over."""
    clock = ManualClock()
    boards, phases, period = pool(agents, fleet, clock, seed)
    del phases[lost]
    began, asked_at = clock.monotonic(), {}
    while True:
        before = clock.monotonic()
        clock.advance(CLAIM_PERIOD / 5)
        told = beats_since(phases, period, before, clock.monotonic())
        for board in boards:
            board.peers.apply_rows(told)
            since = clock.monotonic() - asked_at.get(board, 0)
            ask = since >= PROBE_PERIOD
            found = board.choose_candidate(
                [MODEL], {MODEL: 1}, FreeCapacity(1), may_probe=ask
            )
            if found is None:
                continue
            asked_at[board] = clock.monotonic()
            if found.silent_claim.agent == lost:
                return clock.monotonic() - began
            board.peers.note_alive(found.silent_claim)


def test_the_unit_of_a_lost_host_goes_on_soon_in_a_small_and_a_large_fleet():
    """One in ten engines of a model has room; 8 models share 1,600 engines."""
    small = [seconds_to_go_on(20, 20, seed, lost="a15") for seed in range(5)]
    assert max(small) < 2.0, small
    large = [seconds_to_go_on(200, 1600, seed) for seed in range(5)]
    assert max(large) < 4.0, large


def test_a_unit_of_a_silent_agent_comes_before_those_of_newer_steps():
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
