"""Split batch jobs into units and decide the order in which units are started.

The items of a step arrive at the same time and differ in length by a factor of ten: one
in ten takes almost the whole time available for the step (6 of 7 s), and the engines
can run only a third of the items at once. A long item that has to wait delays the
step; a short one does not.
"""

import collections
import statistics
from collections.abc import Collection

from gypsumshift.jobs.records import Item, Job, Unit, UnitSummary

__all__ = [
    "DuplicateItemIdError",
    "item_urgency",
    "long_units",
    "order_units",
    "split_into_units",
]

# Items of a group that are claimed together and started at the same time. They share a
# prompt, which takes an engine 1 to 5 ms to read again, a tenth of the time of an
# event. With four items per unit, engine slots stayed empty until four were free. With
# eight, of which half might wait for a slot, a step took 1.26 times as long as its
# longest item; with two it takes 1.00 times as long.
MAX_UNIT_ITEMS = 2
# Limit of the bodies in one unit, so that its row stays below the 64 KiB that a store
# accepts: base64 adds a third, names and headers about 300 bytes per item.
MAX_UNIT_BODY_BYTES = 30_000
# An item is long if its estimate exceeds the median of its job's units by this factor.
LONG_FACTOR = 2.0
# Urgency values sent to a model engine, 0 being the most urgent. An engine that runs
# out of memory preempts the newest of its least urgent items, which costs a short item
# little.
LONG_ITEM_URGENCY = 4
DEFAULT_URGENCY = 5


class DuplicateItemIdError(ValueError):
    """Several items of a batch job have the same id."""


def split_into_units(items: list[Item]) -> list[Unit]:
    """Split the items of a batch job into units.

    Groups are in the order of their first items. Items of a group are sorted by their
    estimates, so that a unit holds items of about the same length.

    Raises
    ------
    DuplicateItemIdError
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
    """Raise `DuplicateItemIdError` if several items have the same id.

    The result of an item is one row. Two items with one id had 1 result row for a total
    of 2, so that the job could never be complete.
    """
    counts = collections.Counter(item.id for item in items)
    repeated = [item_id for item_id, count in counts.items() if count > 1]
    if repeated:
        raise DuplicateItemIdError(f"several items have the id {repeated[0]!r}")


def chunk_group(members: list[Item]) -> list[list[Item]]:
    """Split the items of one group at the limits of a unit's items and bytes."""
    chunks: list[list[Item]] = []
    size = 0
    for item in members:
        full = chunks and len(chunks[-1]) >= MAX_UNIT_ITEMS
        if not chunks or full or size + item.body_bytes > MAX_UNIT_BODY_BYTES:
            chunks.append([])
            size = 0
        chunks[-1].append(item)
        size += item.body_bytes
    return chunks


def order_units(
    job: Job, groups_seen: Collection[str], shortest: bool = False
) -> list[UnitSummary]:
    """Return the units of a job in the order in which they should be started.

    Groups that were part of an earlier step come first, since the trainer needs them
    most. Other groups follow by descending estimate, because the longest items
    determine when the step is complete. The groups that the trainer does not wait for,
    which are those with the longest estimates, come last.

    Parameters
    ----------
    job : Job
    groups_seen : collection of str
        Groups of earlier jobs.
    shortest : bool
        Sort by ascending estimate, for an engine that is slower than its peers: the
        fast engines start with the longest units, the slow one with the shortest.
    """
    sort_key = shortest_first_key if shortest else longest_first_key
    repeated_units = [
        unit for unit in job.units if unit.group and unit.group in groups_seen
    ]
    seen = {unit.group for unit in repeated_units}
    new_units = [unit for unit in job.units if unit.group not in seen]
    spare = spare_groups(new_units, job.groups_needed - len(seen))
    return sorted(repeated_units, key=sort_key) + sorted(
        new_units, key=lambda unit: (unit.group in spare, *sort_key(unit))
    )


def longest_first_key(unit: UnitSummary) -> tuple[int, str]:
    """Return the sort key that orders units by descending estimate."""
    return (-unit.hint, unit.key)


def shortest_first_key(unit: UnitSummary) -> tuple[int, str]:
    """Return the sort key that orders units by ascending estimate."""
    return (unit.hint, unit.key)


def long_units(job: Job, factor: float) -> frozenset[str]:
    """Return the keys of units whose estimate exceeds ``factor`` times the median."""
    median = statistics.median(unit.hint for unit in job.units) if job.units else 0
    return frozenset(u.key for u in job.units if u.hint > factor * median)


def spare_groups(units: list[UnitSummary], needed: int) -> set[str]:
    """Return the groups that are not needed: those with the longest estimates.

    Parameters
    ----------
    units : list of UnitSummary
    needed : int
        Number of groups that the trainer still waits for; no group is spare if
        this is 0 or less.
    """
    longest: dict[str, int] = {}
    for unit in units:
        longest[unit.group] = max(longest.get(unit.group, 0), unit.hint)
    if needed <= 0:
        return set()
    return set(sorted(longest, key=lambda group: longest[group])[needed:])


def item_urgency(job: Job, item: Item) -> int:
    """Return the urgency of an item; long items determine how long a step takes."""
    median = statistics.median(unit.hint for unit in job.units)
    return LONG_ITEM_URGENCY if item.hint > LONG_FACTOR * median else DEFAULT_URGENCY
