"""Simulated engines with neighbours, batches and faults, for tests of their states."""

import random

import attrs

from gypsumshift.jobs.enginemonitor import SLOW_PAUSE
from gypsumshift.jobs.enginestate import (
    EngineObservation,
    EngineState,
    EngineStateTracker,
    PeerPace,
)
from gypsumshift.jobs.pace import is_slow
from gypsumshift.jobs.reportedslowdown import ReportedSlowdown
from gypsumshift.jobs.usualpace import LastingPace
from tests.builders import ManualClock

# Seconds between two events at rest, for the three builds.
BUILDS = (0.031, 0.053, 0.085)
SLOTS = 6
CHECK_PERIOD = 0.2
SPELL = 0.6
NEIGHBOUR_SHARE = 1 / 6
NEIGHBOUR_SLOWDOWN = 2.5


@attrs.frozen
class Fault:
    """Phase in which an engine takes longer for everything."""

    begin: float
    end: float
    factor: float

    def at(self, seconds):
        return self.factor if self.begin <= seconds < self.end else 1.0


NO_FAULT = Fault(0.0, 0.0, 1.0)


def quiet(seconds):
    """Return the slowdown by neighbours on a host that is not shared."""
    return 1.0


def neighbour(chance):
    """Return a function of time with spells of a busy neighbour."""
    spells = [
        NEIGHBOUR_SLOWDOWN if chance.random() < NEIGHBOUR_SHARE else 1.0
        for _ in range(2000)
    ]
    return lambda seconds: spells[int(seconds / SPELL)]


def random_batch(chance):
    """Return a function of time with batch sizes that change every 1.5 s."""
    sizes = [chance.randint(2, SLOTS) for _ in range(800)]
    return lambda seconds: sizes[int(seconds / 1.5)]


def full_batch(seconds):
    return SLOTS


class SimulatedEngine:
    """Engine that generates events, with the pace and the state that its agent keeps.

    Parameters
    ----------
    rest : float
        Seconds between two events of a stream that runs alone on a quiet host.
    chance : random.Random
    slowdown, batch : callable
        Slowdown by neighbours, and number of streams, by seconds since the start.
    fault : Fault
    report : callable or None
        Slowdown that the host reports at each check, by seconds since the start.
    """

    def __init__(
        self,
        rest,
        chance,
        slowdown=quiet,
        batch=full_batch,
        fault=NO_FAULT,
        report=None,
    ):
        self.rest = rest
        self.chance = chance
        self.slowdown = slowdown
        self.batch = batch
        self.fault = fault
        self.clock = ManualClock()
        self.begin = self.clock.seconds
        self.report = report
        self.reported = ReportedSlowdown(self.clock, None, None)
        self.pace = LastingPace(self.clock, self.reported)
        self.tracker = EngineStateTracker(self.clock)
        self.next_events = [chance.random() * rest for _ in range(SLOTS)]
        self.pending = []
        self.faulty_at = []
        self.behind_median_at = []

    @property
    def elapsed(self):
        return self.clock.seconds - self.begin

    def gap_at(self, seconds):
        """Return the time of an event that begins at some time."""
        full = 1 + 0.5 * self.batch(seconds) / SLOTS
        factor = self.slowdown(seconds) * self.fault.at(seconds)
        return self.rest * full * factor * self.chance.uniform(0.9, 1.1)

    def run_until(self, seconds):
        """Generate the events up to a time."""
        events = []
        for stream in range(SLOTS):
            at = self.next_events[stream]
            while at < seconds:
                gap = self.gap_at(at)
                at += gap
                if stream < self.batch(at):
                    events.append((at, gap))
            self.next_events[stream] = at
        self.pending += events
        due = sorted(event for event in self.pending if event[0] <= seconds)
        self.pending = [event for event in self.pending if event[0] > seconds]
        for at, gap in due:
            self.clock.seconds = self.begin + at
            self.pace.record_gap(gap)
        self.clock.seconds = self.begin + seconds
        if self.report:
            self.reported.note_slowdown(self.report(seconds))

    def peer_pace(self):
        """Return what the agent's heartbeat says."""
        faulty = self.tracker.state is EngineState.FAULTY
        return PeerPace(self.pace.current(), self.pace.usual(), faulty)

    def check(self, peers, engines):
        """Update the state as the agent does; note what the median of all would say."""
        paces = [peer.current for peer in peers if peer.current]
        last = max(self.behind_median_at, default=-SLOW_PAUSE)
        if is_slow(self.pace.current(), paces) and self.elapsed - last >= SLOW_PAUSE:
            self.behind_median_at.append(self.elapsed)
        verdict = self.tracker.update(
            EngineObservation(
                self.pace.current(),
                self.pace.usual(),
                self.pace.usual_age,
                self.pace.batch_factor(SLOTS),
                engines=engines,
                peers=tuple(peers),
                unexplained=self.pace.unexplained(),
            )
        )
        if verdict.release:
            self.faulty_at.append(self.elapsed)
            self.pace.clear_gaps()


def run_fleet(engines, seconds):
    """Run engines side by side; heartbeats are those of every second check."""
    ticks = int(seconds / CHECK_PERIOD)
    beats = {}
    for tick in range(1, ticks + 1):
        for number, engine in enumerate(engines):
            engine.run_until(tick * CHECK_PERIOD)
            if (tick + number) % 2 == 0:
                beats[number] = engine.peer_pace()
        for number, engine in enumerate(engines):
            peers = [beat for other, beat in beats.items() if other != number]
            engine.check(peers, len(engines))


def mixed_fleet(seed, count=22, **options):
    """Return engines of the three builds on shared hosts."""
    chance = random.Random(seed)
    return [
        SimulatedEngine(
            BUILDS[number % len(BUILDS)],
            random.Random(chance.random()),
            neighbour(random.Random(chance.random())),
            random_batch(random.Random(chance.random())),
            **options,
        )
        for number in range(count)
    ]


def uniform_fleet(seed, count=8):
    """Return engines of one build on hosts of their own."""
    chance = random.Random(seed)
    return [
        SimulatedEngine(
            BUILDS[0],
            random.Random(chance.random()),
            batch=random_batch(random.Random(chance.random())),
        )
        for _ in range(count)
    ]
