"""Assignment of a step's waiting units to engines of different pace, by expected end.

An engine's agent claims what its engine has capacity for. Where engines differ, the
first free one is not always the one that completes an item first: the longest items
take 4.6 s at a fast build and 12.7 s at a slow one, of the 7.5 s of a step. Each agent
plans the whole step from the claims and heartbeats that all agents have, and claims
what the plan gives to engines of its own pace now.
"""

import heapq
from collections.abc import Iterable, Sequence

import attrs

from gypsumshift.jobs.pace import SLOWER_FACTOR

__all__ = [
    "EngineLoad",
    "StepPlan",
    "WaitingUnit",
    "class_pace",
    "free_times",
    "pace_classes",
    "plan_step",
]

# Seconds until an item is expected to end that has taken longer than its estimate:
# estimates are off by half, and most items last for less than a second.
OVERDUE_TIME = 0.5
# Ratio of the lengths of units above which it does not matter which one starts first.
SIMILAR_LENGTH = 0.7
# Fewest units from which an agent chooses at random.
MIN_CHOICES = 2


@attrs.frozen
class WaitingUnit:
    """A unit that no agent holds.

    Attributes
    ----------
    key : str
    lengths : tuple of float
        Estimated number of events of each item.
    """

    key: str
    lengths: tuple[float, ...]


@attrs.frozen
class EngineLoad:
    """Pace of an engine, and when its slots become free.

    Attributes
    ----------
    pace : float
        Seconds between two events at the expected size of the batch.
    free_in : tuple of float
        Seconds until each slot is free; 0 for a slot that is free now.
    """

    pace: float
    free_in: tuple[float, ...]


@attrs.define
class StepPlan:
    """Units of a step that should be started now.

    Attributes
    ----------
    competitors : int
        Number of engines of the own class that have a free slot.
    own : list of str
        Units for engines of the own class, in order.
    elsewhere : list of str
        Units for free slots of other classes.
    similar : int
        Number of the own units that are about as long as the first one.
    """

    competitors: int = 1
    own: list[str] = attrs.field(factory=list)
    elsewhere: list[str] = attrs.field(factory=list)
    similar: int = 0

    @property
    def choices(self) -> int:
        """Number of units from which an agent chooses at random.

        Engines that all claimed the first unit would lose each claim but one. With six
        choices, a long item could lose its slot to a shorter one, and one step in five
        took more than 1.1 times the lower bound. With two of similar length, none did.
        """
        return max(1, min(self.similar, max(MIN_CHOICES, self.competitors // 2)))


def free_times(slots: int, places: int, ends: Iterable[float]) -> tuple[float, ...]:
    """Return in how many seconds each slot of an engine is free.

    Parameters
    ----------
    slots : int
    places : int
        Number of slots that are free now.
    ends : iterable of float
        Seconds until the items that the engine runs are expected to end. Where there
        are more of them than busy slots, the first ones have ended already.
    """
    places = max(0, min(places, slots))
    busy = slots - places
    latest = sorted(ends)[-busy:] if busy else []
    ends = [max(end, OVERDUE_TIME) for end in latest]
    unknown = [OVERDUE_TIME] * (busy - len(ends))
    return (*[0.0] * places, *unknown, *ends)


def pace_classes(paces: Iterable[float]) -> list[float]:
    """Return the fastest pace of each class of engines that differ by their hardware.

    Paces within `SLOWER_FACTOR` of a class's fastest one belong to it.
    """
    classes: list[float] = []
    for pace in sorted(pace for pace in paces if pace):
        if not classes or pace > SLOWER_FACTOR * classes[-1]:
            classes.append(pace)
    return classes


def class_of(pace: float, classes: Sequence[float]) -> int:
    """Return the index of the class that a pace belongs to."""
    return max(0, sum(pace >= first for first in classes) - 1)


def class_pace(pace: float, classes: Sequence[float]) -> float:
    """Return the fastest pace of the class that a pace belongs to."""
    return classes[class_of(pace, classes)]


def plan_step(
    units: Sequence[WaitingUnit], engines: Sequence[EngineLoad], own: float
) -> StepPlan:
    """Plan which engines run the waiting units of a step.

    The units are given to the engines in their order, the longest first, each to the
    class of engines where its last item is expected to end first. All engines of a
    class are planned together: agents whose data differ by some claims then come to the
    same plan, in a third of the time that single engines take.

    Parameters
    ----------
    units : sequence of WaitingUnit
        In the order in which they should be started.
    engines : sequence of EngineLoad
        All engines that may run them, this one included.
    own : float
        Pace of this agent's engine.
    """
    classes = pace_classes(engine.pace for engine in engines)
    slots: list[list[float]] = [[] for _ in classes]
    for engine in engines:
        slots[class_of(engine.pace, classes)].extend(engine.free_in)
    for free in slots:
        heapq.heapify(free)
    own_class = class_of(own, classes)
    plan = StepPlan(count_competitors(engines, classes, own_class))
    longest = 0.0
    for unit in units:
        if not slots[own_class] or slots[own_class][0] > 0:
            break
        chosen = min(
            (index for index, free in enumerate(slots) if free),
            key=lambda index: unit_end(unit, slots[index], classes[index]),
        )
        if chosen == own_class:
            plan.own.append(unit.key)
            longest = longest or max(unit.lengths)
            plan.similar += max(unit.lengths) >= SIMILAR_LENGTH * longest
        elif slots[chosen][0] <= 0:
            plan.elsewhere.append(unit.key)
        occupy(slots[chosen], unit, classes[chosen])
    return plan


def count_competitors(
    engines: Sequence[EngineLoad], classes: Sequence[float], own_class: int
) -> int:
    """Return how many engines of a class have a free slot."""
    return sum(
        class_of(engine.pace, classes) == own_class and 0.0 in engine.free_in
        for engine in engines
    )


def unit_end(unit: WaitingUnit, free: list[float], pace: float) -> float:
    """Return in how many seconds the last item of a unit would end."""
    starts = smallest(free, len(unit.lengths))
    lengths = sorted(unit.lengths, reverse=True)
    starts += [starts[-1]] * (len(lengths) - len(starts))
    ends = (start + n * pace for start, n in zip(starts, lengths, strict=True))
    return max(ends, default=0.0)


def smallest(heap: list[float], count: int) -> list[float]:
    """Return the smallest elements of a heap, sorted.

    The second smallest is one of the next two elements. A unit has two items at most,
    and a search of the whole heap for each of them made plans cost units times engines.
    """
    if count == 2 and len(heap) > 1:
        return [heap[0], min(heap[1:3])]
    return heapq.nsmallest(count, heap)


def occupy(free: list[float], unit: WaitingUnit, pace: float) -> None:
    """Occupy the slots of a class that are free first, the longest items first."""
    for length in sorted(unit.lengths, reverse=True):
        heapq.heapreplace(free, free[0] + length * pace)
