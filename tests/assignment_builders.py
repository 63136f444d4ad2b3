"""A step on simulated engines of different pace, with several ways to assign its units.

Agents see the claims of others with a delay, and the free places of heartbeats that are
up to 0.4 s old. Estimates of lengths may be wrong.
"""

import random
import statistics

import attrs

from gypsumshift.jobs.assignment import (
    EngineLoad,
    WaitingUnit,
    free_times,
    plan_step,
)
from gypsumshift.jobs.pace import is_slower
from tests.pace_builders import BUILDS, SLOTS, SPELL, neighbour, quiet

TICK = 0.05
HEARTBEAT_TICKS = 8
LONG_UNIT_WAIT = 1.0
MAX_CANDIDATES = 6
MEAN_NEIGHBOUR = 1.25


@attrs.define
class SimulatedItem:
    """Item with its true and its estimated number of events."""

    events: float
    estimate: float
    left: float = 0.0


@attrs.define(eq=False)
class SimulatedUnit:
    """Items that one engine runs together."""

    key: str
    items: list

    @property
    def longest(self):
        return max(item.estimate for item in self.items)

    def waiting(self):
        return WaitingUnit(self.key, tuple(item.estimate for item in self.items))


@attrs.define(eq=False)
class StepEngine:
    """Engine with slots, and what its heartbeat says."""

    pace: float
    slowdown: object
    told: float = 0.0
    running: list = attrs.field(factory=list)
    places: int = SLOTS
    beat_tick: int = 0
    claims: list = attrs.field(factory=list)
    leaves_at: float = 1e9

    @property
    def free(self):
        return SLOTS - len(self.running)

    def told_load(self, tick):
        """Return what other agents expect of the engine's slots."""
        seen = [(at, unit) for at, unit in self.claims if at < tick]
        places = self.places - sum(
            len(unit.items) for at, unit in seen if at >= self.beat_tick
        )
        ends = [
            at * TICK + item.estimate * self.told - tick * TICK
            for at, unit in seen
            for item in unit.items
        ]
        return EngineLoad(self.told, free_times(SLOTS, places, ends))


def make_units(chance, hint, groups=12, size=8):
    """Return the units of a step; one item in twelve is five to ten times as long."""
    units = []
    for group in range(groups):
        items = []
        for _ in range(size):
            events = chance.uniform(8, 16)
            if chance.random() < 1 / 12:
                events *= chance.uniform(5, 10)
            items.append(SimulatedItem(events, events * hint(chance), events))
        items.sort(key=lambda item: -item.estimate)
        units += [
            SimulatedUnit(f"{group}-{first}", items[first : first + 2])
            for first in range(0, size, 2)
        ]
    return sorted(units, key=lambda unit: -unit.longest)


def today(engine, waiting, engines, tick):
    """Longest first at fast engines; shortest first, and no long ones, at slower."""
    if not any(is_slower(engine.told, other.told) for other in engines):
        return waiting
    median = statistics.median(unit.longest for unit in waiting)
    long_allowed = tick * TICK >= LONG_UNIT_WAIT
    return [
        unit for unit in reversed(waiting) if long_allowed or unit.longest <= 2 * median
    ]


def greedy(engine, waiting, engines, tick):
    """Units that no engine with a free place would end earlier."""
    free = [
        other.told
        for other in engines
        if other is not engine and min(other.told_load(tick).free_in) == 0
    ]
    best = min(free, default=engine.told)
    return [] if is_slower(engine.told, best) else waiting


def whole_step(engine, waiting, engines, tick):
    """Units that the plan of the whole step gives to engines of this pace now."""
    loads = [other.told_load(tick) for other in engines if other is not engine]
    free = [0.0] * engine.free
    busy = sorted(engine.told_load(tick).free_in)[engine.free :]
    loads.append(EngineLoad(engine.told, (*free, *busy)))
    plan = plan_step([unit.waiting() for unit in waiting], loads, engine.told)
    return [unit for unit in waiting if unit.key in plan.own][: plan.choices]


def exact_hint(chance):
    return 1.0


def usual_hint(chance):
    return chance.uniform(0.75, 1.25)


def wrong_hint(chance):
    """Return the factor of an estimate that is off by half or double."""
    return chance.choice([0.5, 1.0, 2.0])


def run_step(
    assign, seed, shared=True, hint=usual_hint, engines=7, told=None, leaver=None
):
    """Run a step; return the end of its last item, and the bound, in seconds.

    Parameters
    ----------
    assign : callable
        Returns the units that an engine may claim, in order.
    seed : int
    shared : bool
        Whether engines have busy neighbours.
    hint : callable
        Returns the ratio of an item's estimated to its true length.
    engines : int
    told : callable or None
        Returns the pace that an engine's heartbeat says, by its number and pace.
    leaver : int or None
        Number of an engine that is lost after 1 s; its units start anew after 1.2 s.
    """
    chance = random.Random(seed)
    waiting = make_units(chance, hint)
    fleet = []
    for number in range(engines):
        pace = BUILDS[number % len(BUILDS)]
        slowdown = neighbour(random.Random(chance.random())) if shared else quiet
        engine = StepEngine(pace, slowdown, told(number, pace) if told else pace)
        engine.places = SLOTS
        fleet.append(engine)
    if leaver is not None:
        fleet[leaver].leaves_at = 1.0
    bound = lower_bound(waiting, fleet, MEAN_NEIGHBOUR if shared else 1.0)
    tick = 0
    lost = []
    while waiting or lost or any(engine.running for engine in fleet):
        now = tick * TICK
        for engine in list(fleet):
            if now >= engine.leaves_at:
                fleet.remove(engine)
                units = {id(unit): unit for _, unit in engine.claims}
                lost += [
                    (now + 1.2, unit)
                    for unit in units.values()
                    if any(item.left > 0 for item in unit.items)
                ]
        for at, unit in [entry for entry in lost if entry[0] <= now]:
            lost.remove((at, unit))
            for item in unit.items:
                item.left = item.events
            waiting.append(unit)
            waiting.sort(key=lambda unit: -unit.longest)
        for number, engine in enumerate(fleet):
            if (tick + number) % HEARTBEAT_TICKS == 0:
                engine.places, engine.beat_tick = engine.free, tick
        for engine in chance.sample(fleet, len(fleet)):
            claim_units(engine, assign, waiting, fleet, tick, chance)
        for engine in fleet:
            advance(engine, now)
        tick += 1
    return tick * TICK, bound


def claim_units(engine, assign, waiting, fleet, tick, chance):
    """Claim units while the engine has places and the assignment gives it some."""
    while waiting and engine.free:
        found = [
            unit
            for unit in assign(engine, waiting, fleet, tick)
            if len(unit.items) <= engine.free
        ]
        if not found:
            return
        unit = chance.choice(found[:MAX_CANDIDATES])
        waiting.remove(unit)
        engine.claims.append((tick, unit))
        engine.running += unit.items


def advance(engine, now):
    """Generate the events of one tick."""
    step = TICK / (engine.pace * engine.slowdown(now + SPELL))
    for item in engine.running:
        item.left -= step
    engine.running = [item for item in engine.running if item.left > 0]


def lower_bound(units, fleet, slowdown):
    """Return the larger of the longest item's time and work over capacity."""
    items = [item for unit in units for item in unit.items]
    longest = max(item.events for item in items) * min(e.pace for e in fleet)
    capacity = sum(SLOTS / engine.pace for engine in fleet)
    return slowdown * max(longest, sum(item.events for item in items) / capacity)
