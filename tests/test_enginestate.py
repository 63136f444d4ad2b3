"""States of engines: builds, neighbours and batches are told apart from faults."""

import asyncio

import pytest

from gypsumshift.jobs.enginestate import (
    LONGEST_INTERFERENCE,
    EngineObservation,
    EngineState,
    EngineStateTracker,
    PeerPace,
)
from gypsumshift.jobs.pace import is_slow
from gypsumshift.jobs.peers import Peers
from gypsumshift.jobs.records import AGENTS
from gypsumshift.jobs.usualpace import ADOPT_AFTER, LastingPace
from gypsumshift.platforms import Row, Write
from gypsumshift.policy import Policy
from tests.builders import ManualClock
from tests.job_builders import FakeEngine, JobCluster
from tests.pace_builders import (
    BUILDS,
    Fault,
    SimulatedEngine,
    full_batch,
    mixed_fleet,
    run_fleet,
    uniform_fleet,
)
from tests.virtual_time import LoopClock, run_in_virtual_time

MIXED_PEERS = tuple(PeerPace(pace, pace) for pace in BUILDS * 2)
UNIFORM_PEERS = tuple(PeerPace(pace, 0.031) for pace in (0.035, 0.04, 0.046))
SLOWEST = BUILDS[-1]


def observe(current, usual, peers=MIXED_PEERS, **fields):
    return EngineObservation(
        current, usual, engines=len(peers) + 1, peers=peers, **fields
    )


def state_after(seconds, seen, tracker=None):
    """Return the verdict once an observation has been repeated for a time."""
    tracker = tracker or EngineStateTracker(ManualClock())
    verdict = tracker.update(seen)
    for _ in range(round(seconds / 0.2)):
        tracker.clock.advance(0.2)
        verdict = tracker.update(seen)
    return verdict


@pytest.mark.parametrize(
    ("current", "usual", "fields", "seconds", "state"),
    [
        (0.031, 0.031, {}, 5, EngineState.NORMAL),
        (0.053, 0.053, {}, 5, EngineState.SLOW_HARDWARE),
        (0.085, 0.085, {}, 60, EngineState.SLOW_HARDWARE),
        (0.0465, 0.031, {}, 60, EngineState.NORMAL),
        (0.125, 0.085, {}, 60, EngineState.SLOW_HARDWARE),
        (0.078, 0.031, {}, 1.8, EngineState.SLOWED),
        (0.2125, 0.085, {}, 1.8, EngineState.SLOWED),
        (0.3, 0.085, {"batch_factor": 1.5}, 1.8, EngineState.SLOWED),
        (0.3, 0.085, {"loading": True}, 5, EngineState.SLOWED),
        (0.078, 0.031, {}, LONGEST_INTERFERENCE + 0.2, EngineState.FAULTY),
        (0.1054, 0.031, {}, 0.2, EngineState.FAULTY),
        (0.18, 0.053, {}, 0.2, EngineState.FAULTY),
        (0.289, 0.085, {}, 0.2, EngineState.FAULTY),
        (0.289, 0.289, {}, 0.2, EngineState.FAULTY),
        (0.289, 0.289, {"usual_age": ADOPT_AFTER}, 5, EngineState.SLOW_HARDWARE),
    ],
)
def test_state_follows_from_the_own_usual_pace_and_what_explains_the_current_one(
    current, usual, fields, seconds, state
):
    assert state_after(seconds, observe(current, usual, **fields)).state is state


def test_a_faulty_engine_stays_so_until_it_is_clearly_faster():
    tracker = EngineStateTracker(ManualClock())
    assert state_after(1, observe(0.1054, 0.031), tracker).release
    between = state_after(1, observe(0.055, 0.031), tracker)
    assert between.state is EngineState.FAULTY and not between.release
    assert state_after(0, observe(0.0, 0.031), tracker).state is EngineState.FAULTY
    assert state_after(0, observe(0.04, 0.031), tracker).state is EngineState.NORMAL


def test_a_slowed_engine_stays_so_until_it_is_clearly_faster():
    tracker = EngineStateTracker(ManualClock())
    assert state_after(0, observe(0.055, 0.031), tracker).state is EngineState.SLOWED
    assert state_after(0, observe(0.046, 0.031), tracker).state is EngineState.SLOWED
    assert state_after(0, observe(0.04, 0.031), tracker).state is EngineState.NORMAL


def test_what_slows_all_engines_down_is_no_fault_of_one():
    """Otherwise all engines would release their units at once."""
    peers = tuple(PeerPace(3.4 * pace, pace) for pace in BUILDS * 2)
    assert state_after(9, observe(0.1054, 0.031, peers)).state is EngineState.SLOWED


def test_an_engine_without_known_peers_releases_nothing():
    verdict = state_after(9, observe(0.1054, 0.031, ()))
    assert verdict.state is EngineState.FAULTY and not verdict.release


def test_the_first_heartbeats_of_a_mixed_fleet_do_not_make_a_slow_build_faulty():
    seen = EngineObservation(0.085, 0.085, engines=22, peers=MIXED_PEERS[:1] * 2)
    assert state_after(9, seen).state is not EngineState.FAULTY


def test_some_recent_heartbeats_of_a_large_uniform_fleet_suffice():
    """Of 1,600 agents, a heartbeat is sent every 5 s, and one in four is recent."""
    peers = (PeerPace(0.04, 0.031),) * 20
    seen = EngineObservation(0.1, 0.031, engines=1600, peers=peers)
    assert state_after(0, seen).release


@pytest.mark.parametrize("factor", [1.5, 1.9, 2.1, 2.5, 3.4, 4.0])
def test_among_engines_of_one_build_the_decision_is_that_of_the_peers_median(factor):
    current = factor * 0.04
    slow = is_slow(current, [peer.current for peer in UNIFORM_PEERS])
    for usual in (0.031, current):
        verdict = state_after(0, observe(current, usual, UNIFORM_PEERS))
        assert verdict.release == slow == (factor > 2)


def test_a_faulty_peer_does_not_count_as_a_build():
    faulty = PeerPace(0.3, 0.3, faulty=True)
    seen = observe(0.1054, 0.1054, (*UNIFORM_PEERS, faulty))
    assert state_after(0, seen).release


def test_a_pace_that_is_faulty_for_longer_than_the_window_does_not_become_usual():
    clock = ManualClock()
    pace = LastingPace(clock)

    def run(gap, seconds):
        for _ in range(round(seconds / gap)):
            pace.record_gap(gap)
            clock.advance(gap)
            pace.usual()

    run(0.031, 3)
    run(0.105, 30)
    assert pace.usual() == 0.031
    run(0.105, ADOPT_AFTER)
    assert pace.usual() == 0.105, "after a minute it is what the hardware does"
    run(0.031, 3)
    assert pace.usual() == 0.031


def test_a_successor_keeps_the_usual_pace_of_the_previous_process():
    """Otherwise the pace of an engine that is faulty at the restart would be usual."""
    clock = ManualClock()
    pace = LastingPace(clock)
    pace.seed_usual(0.031)
    for _ in range(40):
        pace.record_gap(0.105)
        clock.advance(0.1)
        pace.usual()
    assert pace.usual() == 0.031
    pace.reset()
    assert pace.usual() == 0


def test_events_read_in_a_burst_after_a_freeze_do_not_become_usual():
    clock = ManualClock()
    pace = LastingPace(clock)
    for _ in range(30):
        pace.record_gap(0.031)
        clock.advance(0.031)
    clock.advance(1.2)
    pace.record_gap(1.2)
    for _ in range(60):
        pace.record_gap(0.0001)
    assert pace.current() == 0.0001
    assert pace.usual() == 0


@pytest.mark.parametrize("seed", range(4))
def test_no_build_and_no_neighbour_makes_an_engine_faulty(seed):
    """With the median of all peers, engines released their units 72 times in 50 s."""
    fleet = mixed_fleet(seed)
    run_fleet(fleet, 50)
    found = [(engine.rest, engine.faulty_at) for engine in fleet if engine.faulty_at]
    assert not found
    assert any(engine.behind_median_at for engine in fleet), "with the median they are"


@pytest.mark.parametrize("rest", BUILDS)
@pytest.mark.parametrize("seed", range(3))
def test_an_engine_of_any_build_that_becomes_slow_is_faulty_within_two_seconds(
    seed, rest
):
    fleet = mixed_fleet(seed, count=11)
    slow = next(engine for engine in fleet if engine.rest == rest)
    slow.fault = Fault(12.0, 20.0, 3.4)
    run_fleet(fleet, 26)
    assert 12 <= slow.faulty_at[0] < 14.1, "the check of the second second finds it"
    assert slow.tracker.state is not EngineState.FAULTY
    assert sum(len(engine.faulty_at) for engine in fleet) == len(slow.faulty_at)


@pytest.mark.parametrize("factor", [2.5, 3.4, 4.0])
@pytest.mark.parametrize("begin", [0.0, 12.0])
def test_a_slow_engine_of_a_uniform_fleet_is_found_when_the_median_finds_it(
    factor, begin
):
    fleet = uniform_fleet(7)
    fleet[0].fault = Fault(begin, 30.0, factor)
    fleet[0].batch = full_batch
    run_fleet(fleet, 20)
    assert begin < fleet[0].faulty_at[0] <= fleet[0].behind_median_at[0]
    assert not any(engine.faulty_at for engine in fleet[1:])


def test_a_full_batch_is_not_faulty():
    fleet = mixed_fleet(1, count=6)
    fleet.append(
        SimulatedEngine(SLOWEST, fleet[0].chance, batch=lambda s: 1 + 5 * (s > 9))
    )
    run_fleet(fleet, 20)
    assert not fleet[-1].faulty_at


async def run_old_and_new_policy():
    """Run an engine of a slow build with each policy; return the two agents."""
    world = JobCluster()
    for name, pace in (("p", 0.03), ("q", 0.03), ("r", 0.09)):
        value = {"session": name, "beat": 1, "pace": pace, "usual": pace}
        await world.store.commit([Write(AGENTS, name, value)])
    agents = []
    for name, policy in (("new", Policy()), ("old", Policy(engine_states=False))):
        engine = FakeEngine(length=40)
        engine.gap = 0.09
        agents.append(world.agent(name, engine, clock=LoopClock(), policy=policy))
    await world.submit(groups=4)
    await asyncio.sleep(1.1)
    await world.close()
    return agents


def test_an_agent_keeps_the_units_of_a_slow_build():
    """The median of all engines takes it for faulty, and its units start anew."""
    new, old = run_in_virtual_time(run_old_and_new_policy)
    assert old.monitor.slow_at > 0 and not old.runner.units
    assert new.monitor.slow_at < 0 and new.runner.units
    assert new.heartbeat_writer.last_heartbeat.state == "slow hardware"
    assert old.heartbeat_writer.last_heartbeat.state == ""


def test_a_heartbeat_of_an_older_version_has_an_unknown_state():
    peers = Peers("mine", ManualClock())
    value = {"session": "s", "beat": 1, "pace": 0.05, "usual": 0.04}
    peers.apply_rows([Row(AGENTS, "a", 1, value)])
    assert peers.peer_paces() == (PeerPace(0.05, 0.04),)
