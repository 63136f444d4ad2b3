"""Splitting and ordering of a step's items, simulated on engines with a few slots."""

import heapq
import random
import statistics

import attrs

from gypsumshift.jobs.capacity import FreeCapacity
from gypsumshift.jobs.claimtracker import MAX_CANDIDATES
from gypsumshift.jobs.records import Item
from gypsumshift.jobs.schedule import MAX_UNIT_ITEMS, order_units, split_into_units
from tests.builders import ManualClock
from tests.job_builders import MODEL, claim_row, items, job, job_row, make_tracker

# Seconds per event, and the largest number of events of an item.
EVENT = 0.05
MOST_EVENTS = 120
ENGINES = 7
SLOTS = 8


def make_step(seed, groups=9, size=16):
    """Return the items of a step and their actual lengths, in events by item id."""
    chance = random.Random(seed)
    found, lengths = [], {}
    for item in items(groups, size):
        tail = 5 if chance.random() < 0.1 else 1
        length = min(12 * chance.lognormvariate(0, 0.8) * tail, MOST_EVENTS)
        hint = round(100 * length * chance.lognormvariate(0, 0.5))
        found.append(attrs.evolve(item, hint=hint))
        lengths[item.id] = length
    return found, lengths


def simulate_step(units, order, lengths):
    """Simulate engines that claim units while they have free slots.

    As in `ClaimBoard.choose`, an engine claims a random one of the next units. Returns
    the end time of each item.
    """
    chance = random.Random(1)
    waiting = list(order)
    by_key = {unit.key: unit for unit in units}
    queues = [[] for _ in range(ENGINES)]
    slots = [(0.0, engine) for engine in range(ENGINES) for _ in range(SLOTS)]
    heapq.heapify(slots)
    free = [0] * ENGINES
    ends = {}
    while slots:
        now, engine = heapq.heappop(slots)
        free[engine] += 1
        room = free[engine] - len(queues[engine])
        fitting = [unit for unit in waiting if len(unit.items) <= room]
        if fitting:
            taken = chance.choice(fitting[:MAX_CANDIDATES])
            waiting.remove(taken)
            queues[engine] += [item.id for item in by_key[taken.key].items]
        while free[engine] and queues[engine]:
            item = queues[engine].pop(0)
            free[engine] -= 1
            ends[item] = now + lengths[item] * EVENT
            heapq.heappush(slots, (ends[item], engine))
    assert not waiting
    return ends


def test_step_takes_little_longer_than_its_longest_item():
    """With units of 8 items, steps took 1.26 times as long on average, at most 1.41."""
    ratios = []
    for seed in range(20):
        found, lengths = make_step(seed)
        units = split_into_units(found)
        ends = simulate_step(units, order_units(job(units), set()), lengths)
        ratios.append(max(ends.values()) / (max(lengths.values()) * EVENT))
    assert sum(ratios) / len(ratios) < 1.02
    assert max(ratios) < 1.1


def test_units_hold_items_of_one_group_sorted_by_estimate():
    found, _ = make_step(1)
    units = split_into_units(found)
    assert sorted(i.id for u in units for i in u.items) == sorted(i.id for i in found)
    assert len({unit.key for unit in units}) == len(units)
    assert all(len(unit.items) <= MAX_UNIT_ITEMS for unit in units)
    assert all(len({item.group for item in unit.items}) == 1 for unit in units)
    for group in {item.group for item in found}:
        hints = [i.hint for u in units for i in u.items if i.group == group]
        assert hints == sorted(hints, reverse=True)


def test_job_without_items_has_no_units():
    assert split_into_units([]) == []


def test_groups_that_are_not_needed_come_last():
    found = [
        Item(f"{group}-{n}", "/run/", {}, b"", group, hint)
        for group, hint in (("a", 10), ("b", 90), ("c", 20))
        for n in range(2)
    ]
    units = split_into_units(found)
    order = order_units(attrs.evolve(job(units), groups_needed=2), set())
    assert [unit.group for unit in order] == ["c", "a", "b"]
    order = order_units(attrs.evolve(job(units), groups_needed=0), set())
    assert [unit.group for unit in order] == ["b", "c", "a"]


def test_group_of_an_earlier_job_counts_as_needed_and_comes_first():
    units = split_into_units(
        [Item(g, "/run/", {}, b"", g, 10) for g in ("a", "b", "c")]
    )
    order = order_units(attrs.evolve(job(units), groups_needed=2), {"c"})
    assert [unit.group for unit in order] == ["c", "a", "b"]


# Seconds per event at each of two engines, their slots, and the seconds in which each
# engine tries ten times to claim a unit.
UNEVEN = (0.038, 0.049)
UNEVEN_SLOTS = 16
CLAIM_PERIOD = 0.05


def simulate_uneven_engines(units, lengths, aware):
    """Simulate a step on two engines of different speed; return its duration.

    Parameters
    ----------
    units : list of Unit
    lengths : dict
        Number of events by item id.
    aware : bool
        Whether the slower engine takes its speed into account when it claims units.
    """
    clock = ManualClock()
    own = make_tracker(clock=clock)
    own.apply_job_rows([job_row(job(units))])
    by_key = {unit.key: unit for unit in units}
    start, ends = clock.monotonic(), ([], [])
    left = set(by_key)
    chance = random.Random(len(units))
    while left:
        for engine in chance.sample((0, 1), 2):
            pace = UNEVEN[engine]
            slower = [MODEL] if aware and engine else []
            running = [end for end in ends[engine] if end > clock.monotonic()]
            room = FreeCapacity(UNEVEN_SLOTS - len(running))
            found = own.choose_candidate([MODEL], {MODEL: 1}, room, slower)
            if found is None:
                continue
            left.discard(found.unit.key)
            own.apply_claim_rows(
                [claim_row("job", found.unit.key, "x", "s", 3, done=True)]
            )
            for item in by_key[found.unit.key].items:
                ends[engine].append(clock.monotonic() + lengths[item.id] * pace)
        clock.advance(CLAIM_PERIOD / 10)
    return max(ends[0] + ends[1]) - start


def test_long_items_run_on_the_faster_of_two_engines():
    """When the slower engine claimed any unit, steps took 1.2 times as long."""
    plain_times, aware_times = [], []
    for seed in range(20):
        found, lengths = make_step(seed, groups=9, size=4)
        units = split_into_units(found)
        best = max(lengths.values()) * UNEVEN[0]
        plain_times.append(simulate_uneven_engines(units, lengths, aware=False) / best)
        aware_times.append(simulate_uneven_engines(units, lengths, aware=True) / best)
    print(statistics.mean(plain_times), statistics.mean(aware_times))
    assert statistics.mean(aware_times) < 1.06
