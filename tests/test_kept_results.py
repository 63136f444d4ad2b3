"""Results that are kept between changes equal those made anew."""

import heapq
import random

import pytest

from bench.decisionworld import AgentWorld, GatewayWorld
from gypsumshift.jobs.assignment import smallest
from gypsumshift.jobs.pace import MIN_GAPS, MIN_SPAN, Pace
from gypsumshift.jobs.records import CLAIMS, END_KEY, JOBS, Claim
from gypsumshift.jobs.rowcodec import to_row
from gypsumshift.platforms import Row
from gypsumshift.serving.demand import MAX_AGE_SECONDS
from tests.builders import ManualClock

SEEDS = range(5)
JOB_SIZE = 20


def apply_random_claim(world, rng, job):
    """Apply a claim, a release or an end of a unit, at times with an old version."""
    agent = rng.randrange(-1, 4)
    name = f"agent-{agent}" if agent >= 0 else ""
    session = f"session-{agent}" if agent >= 0 else ""
    claim = Claim(name, session, agent >= 0 and rng.random() < 0.2)
    version = max(1, world.next_version() - rng.choice((0, 0, 3)))
    key = f"{rng.randrange(JOB_SIZE):05d}"
    world.tracker.apply_claim_rows([Row(CLAIMS, key, version, to_row(claim), job)])


def units_made_anew(tracker):
    """Return the own units and the units that are not done, by a visit of all."""
    own, unfinished = [], {}
    for name, open_job in tracker.open_jobs.items():
        claims = open_job.claims
        own += [
            (open_job.job, u)
            for u in open_job.order
            if tracker.is_own(claims.get(u.key))
        ]
        unfinished[name] = [
            u
            for u in open_job.order
            if u.key not in claims or not claims[u.key].claim.done
        ]
    return own, unfinished


@pytest.mark.parametrize("seed", SEEDS)
def test_kept_units_follow_claims_and_jobs(seed):
    # Guards against a unit that is claimed after its end, or not given back.
    rng = random.Random(seed)
    world = AgentWorld(4, 0, clock=ManualClock())
    tracker = world.tracker
    for step in range(400):
        job = f"job{rng.randrange(4)}"
        if rng.random() < 0.05 and not tracker.is_known(job):
            world.add_job(job, JOB_SIZE, 0.0, 0.0)
        elif rng.random() < 0.005:
            tracker.apply_job_rows([Row(JOBS, END_KEY, step + 1, {}, job)])
        else:
            apply_random_claim(world, rng, job)
        own, unfinished = units_made_anew(tracker)
        assert tracker.own_units() == own
        assert {n: j.unfinished() for n, j in tracker.open_jobs.items()} == unfinished


@pytest.mark.parametrize("seed", SEEDS)
def test_a_kept_assignment_follows_heartbeats_jobs_and_servers(seed):
    # Guards against an engine that keeps the model of an earlier state.
    rng = random.Random(seed)
    world = AgentWorld(6, 0, clock=ManualClock())
    for step in range(100):
        chosen = rng.randrange(4)
        if chosen == 0:
            world.apply_heartbeat(rng.randrange(8))
        elif chosen == 1:
            world.add_job(f"job{step}", rng.randrange(1, 9), 0.0, 0.0)
        elif chosen == 2:
            world.directory.set_server(world.engine(rng.randrange(8)))
        else:
            world.directory.forget_server(f"e{rng.randrange(8):04d}")
        weights = world.weights
        assert weights.assignment() == weights.make_assignment(weights.division())


@pytest.mark.parametrize("seed", SEEDS)
def test_counted_processes_equal_the_records(seed):
    # Guards against a service that stays contended, or never becomes so.
    rng = random.Random(seed)
    world = GatewayWorld(2, clock=ManualClock())
    for _ in range(200):
        if rng.random() < 0.5:
            world.hear_demand(f"p{rng.randrange(6)}", rng.uniform(0.0, 2.0))
        world.clock.advance(rng.uniform(0.0, 1.0))
        contended = world.demand.is_contended("app")
        records = world.demand.elsewhere("app").records.values()
        assert contended == any(record.saw_full for record in records)
        reported = [record.reported_at for record in records]
        now = world.clock.monotonic()
        assert all(now - at <= MAX_AGE_SECONDS for at in reported)


def test_the_smallest_of_a_heap_equal_those_of_a_search():
    # Guards against a plan by a slot that is not the next free one.
    rng = random.Random(1)
    for _ in range(500):
        heap = [rng.randrange(9) for _ in range(rng.randrange(1, 12))]
        heapq.heapify(heap)
        count = rng.randrange(1, 5)
        assert smallest(heap, count) == heapq.nsmallest(count, heap)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_kept_pace_follows_the_gaps(seed):
    # Guards against the pace of streams that have ended.
    rng, clock = random.Random(seed), ManualClock()
    pace = Pace(clock)
    for _ in range(500):
        clock.advance(rng.choice((0.0, 0.01, 0.05, 0.4)))
        if rng.random() < 0.02:
            pace.clear_gaps()
        if rng.random() < 0.8:
            pace.record_gap(rng.choice((0.02, 0.03, 0.08)))
        kept = pace.current()
        gaps = sorted(gap for _, gap in pace.gaps)
        known = len(gaps) >= MIN_GAPS
        known = known and clock.monotonic() - pace.gaps[0][0] >= MIN_SPAN
        assert kept == (gaps[len(gaps) // 2] if known else 0.0)
