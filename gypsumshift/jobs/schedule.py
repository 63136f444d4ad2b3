"""Schedule: how a batch job is cut into units, and which of them begin first.

The decision answers a step whose items arrive at once and differ tenfold in length:
one in ten takes as long as the whole step may take (6 of 7 s), and its engines hold a
third of the items. A long item that waits makes the step late; a short one does not.
"""

import collections
import statistics
from collections.abc import Collection

from gypsumshift.jobs.records import Item, Job, Unit, UnitSummary

__all__ = [
    "DuplicateItemIdError",
    "order_units",
    "long_units",
    "split_into_units",
    "item_urgency",
]

# Items of a group that are claimed together, both of which begin at once. They share a
# prompt, which costs 1 to 5 ms to read again, the tenth of an event. With four, places
# of engines stood empty until four were free; and units of eight, of which half might
# wait for a place, took a step 1.26 times as long as its longest item (1.00 now).
MAX_UNIT_ITEMS = 2
# Bytes of the bodies in one unit, so that its row stays below the 64 KiB that a
# store takes: base64 adds a third, names and headers some 300 bytes an item.
MAX_UNIT_BODY_BYTES = 30_000
# An item is long where its estimate is this many times the median of its job's units.
LONG_FACTOR = 2.0
# Ranks at a model engine, 0 being the most urgent: where its memory runs out it puts
# back the newest of the least urgent, which costs a short item little.
LONG_ITEM_URGENCY = 4
DEFAULT_URGENCY = 5


class DuplicateItemIdError(ValueError):
    """Several items of a batch job have one id."""


def split_into_units(items: list[Item]) -> list[Unit]:
    """Return the units of a batch job, groups in the order of their first items.

    Items of one group lie in the order of their estimates, so that a unit holds
    items of about the same length.

    Raises
    ------
    RepeatedItem
    """
    check_unique_ids(items)
    groups: dict[str, list[Item]] = {}
    for number, item in enumerate(items):
        groups.setdefault(item.group or f"item-{number}", []).append(item)
    units: list[Unit] = []
    for members in groups.values():
        members.sort(key=lambda item: -item.hint)
        for chunk in chunk_group(members):
            units.append(Unit(f"{len(units):05d}", tuple(chunk)))
    return units


def check_unique_ids(items: list[Item]) -> None:
    """Raise `RepeatedItem` where several items have one id.

    One row holds the result of an item: two copies had 1 row for a total of 2, so that
    the job could not end.
    """
    counts = collections.Counter(item.id for item in items)
    repeated = [item_id for item_id, count in counts.items() if count > 1]
    if repeated:
        raise DuplicateItemIdError(f"several items have the id {repeated[0]!r}")


def chunk_group(members: list[Item]) -> list[list[Item]]:
    """Return the items of one group, cut where a unit would grow too large."""
    found: list[list[Item]] = []
    size = 0
    for item in members:
        full = found and len(found[-1]) >= MAX_UNIT_ITEMS
        if not found or full or size + item.body_bytes > MAX_UNIT_BODY_BYTES:
            found.append([])
            size = 0
        found[-1].append(item)
        size += item.body_bytes
    return found


def order_units(
    job: Job, groups_seen: Collection[str], shortest: bool = False
) -> list[UnitSummary]:
    """Return the units of a job in the order in which to begin them.

    Groups of an earlier step come first, since the trainer waits for these above
    all. Then the longest estimates, which decide when the step is whole. Last come
    the groups that the trainer does not wait for, which are the longest ones.

    Parameters
    ----------
    job : Job
    groups_seen : collection of str
        Groups of earlier jobs.
    shortest : bool
        The shortest estimates come before the longest: for an engine that is slower
        than its peers, which meets them in the middle.
    """
    first = shortest_first_key if shortest else longest_first_key
    again = [unit for unit in job.units if unit.group and unit.group in groups_seen]
    seen = {unit.group for unit in again}
    fresh = [unit for unit in job.units if unit.group not in seen]
    spare = spare_groups(fresh, job.groups_needed - len(seen))
    return sorted(again, key=first) + sorted(
        fresh, key=lambda unit: (unit.group in spare, *first(unit))
    )


def longest_first_key(unit: UnitSummary) -> tuple[int, str]:
    """Return what units are ordered by, where nothing else counts."""
    return (-unit.hint, unit.key)


def shortest_first_key(unit: UnitSummary) -> tuple[int, str]:
    """Return what units are ordered by for a slower engine."""
    return (unit.hint, unit.key)


def long_units(job: Job, factor: float) -> frozenset[str]:
    """Return the units whose estimate is above ``factor`` times the usual one."""
    usual = statistics.median(unit.hint for unit in job.units) if job.units else 0
    return frozenset(u.key for u in job.units if u.hint > factor * usual)


def spare_groups(units: list[UnitSummary], needed: int) -> set[str]:
    """Return the groups with the longest items beyond those that are needed."""
    longest: dict[str, int] = {}
    for unit in units:
        longest[unit.group] = max(longest.get(unit.group, 0), unit.hint)
    if needed <= 0:
        return set()
    return set(sorted(longest, key=lambda group: longest[group])[needed:])


def item_urgency(job: Job, item: Item) -> int:
    """Return the rank of an item at its engine: long ones decide over a step's time."""
    usual = statistics.median(unit.hint for unit in job.units)
    return LONG_ITEM_URGENCY if item.hint > LONG_FACTOR * usual else DEFAULT_URGENCY
