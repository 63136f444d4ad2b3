"""Choice of other processes for exchanges, relays and probes, by their distance.

Bytes between regions are expensive. The own zone comes first, then the region; a few
messages cross regions, fewer than with a choice among all processes.
"""

import random
from collections.abc import Sequence

from gypsumshift.neighbours import Neighbour
from gypsumshift.places import Distance, Layout

__all__ = ["choose_exchange_peer", "choose_probed", "choose_receivers"]

# Share of the exchanges that cross regions, relative to a choice among all processes:
# of those that leave the zone, so many more stay in the region.
CROSS_REGION_SHARE = 0.5


def by_distance(
    known: Sequence[Neighbour], layout: Layout
) -> dict[Distance, list[Neighbour]]:
    """Return processes by their distance class, in the given order."""
    found = {distance: [] for distance in Distance}
    for neighbour in known:
        found[layout.distance_to(neighbour.zone)].append(neighbour)
    return found


def choose_probed(
    shuffled: Sequence[Neighbour], layout: Layout, count: int
) -> list[Neighbour]:
    """Return the processes to probe for a path to the store, nearest first.

    There is one of each distance class, since a whole zone or region may be
    disconnected from the store; the rest are the nearest ones.

    Parameters
    ----------
    shuffled : sequence of Neighbour
        Known processes in random order.
    layout : Layout
    count : int
        Number of processes to return, if so many are known.
    """
    classes = by_distance(shuffled, layout)
    chosen = [members[0] for members in classes.values() if members]
    others = [n for members in classes.values() for n in members if n not in chosen]
    chosen = chosen[:count] + others[: max(count - len(chosen), 0)]
    return sorted(chosen, key=lambda n: layout.distance_to(n.zone))


def choose_exchange_peer(
    known: Sequence[Neighbour], layout: Layout, share: float, chance: random.Random
) -> "Neighbour | None":
    """Return a random process to exchange digests with, mostly one of the own zone.

    Parameters
    ----------
    known : sequence of Neighbour
    layout : Layout
    share : float
        Share of the exchanges that may leave the zone.
    chance : random.Random
    """
    if not known:
        return None
    classes = by_distance(known, layout)
    far = classes[Distance.OTHER_REGION]
    # Share of exchanges with other regions if all processes were equally likely.
    crossing = share * len(far) / len(known)
    drawn = chance.random()
    if far and drawn < crossing * CROSS_REGION_SHARE:
        return chance.choice(far)
    zone, region = classes[Distance.SAME_ZONE], classes[Distance.SAME_REGION]
    leaves_zone = drawn < share
    chosen = (region or zone) if leaves_zone else (zone or region)
    return chance.choice(chosen or far)


def choose_receivers(
    known: Sequence[Neighbour], layout: Layout, count: int, chance: random.Random
) -> list[Neighbour]:
    """Return random receivers of a message, one of any region and the rest near.

    Each receiver forwards it, so one that crosses regions is enough.
    """
    near = [n for n in known if not layout.is_other_region(n.zone)]
    chosen = chance.sample(near, min(len(near), count - 1))
    rest = [n for n in known if n not in chosen]
    return chosen + chance.sample(rest, min(len(rest), count - len(chosen)))
