"""Division of a service's capacity between the workspaces that ask for it.

Capacity and demand are in places: calls per second times the seconds that one occupies
a place at a server. Priorities are served in order, and the workspaces of one priority
by weighted max-min fairness: each gets what it asks for or an equal share, whichever is
less. Everyone keeps a floor, a part of what they would get without priorities, so that
a surge of urgent calls starves nobody, and asking for more raises nobody's floor. The
module is pure: the same demands give the same shares in every process.
"""

from collections.abc import Mapping
from typing import NamedTuple

__all__ = [
    "OTHERS",
    "REWARD_RANK",
    "Demand",
    "ShareKey",
    "divide_capacity",
    "protect_satisfied",
]

# Part of its share without priorities that everyone keeps. A workspace of low priority
# is thereby served at least a quarter as often as all are on average: its callers time
# out if nothing of theirs is answered for long.
FLOOR_SHARE = 0.25
# A key that is served this share of its demand counts as one that asks for no more than
# its part: the figures of capacity and demand have errors of 10 to 20 %, which would
# otherwise cut ten workspaces that ask for 0.09 each when one more asks for all.
SATISFIED_SHARE = 0.8
# The reduction is paid by a few, so it may be this many times larger than one that all
# pay. With 1, the queue that a flood had filled stayed full for 7 s. It is limited to
# this part of the capacity, since a larger one would swing: reports are 0.6 s old.
DRAIN_FACTOR, MAX_DRAIN_SHARE = 3.0, 0.2
# Rank of reward calls, below that of every priority: a step waits seconds for its
# scores, callers a fraction of a second for their answers.
REWARD_RANK = 1_000_000
# Stands for the workspaces that a digest has no row for.
OTHERS = None


class ShareKey(NamedTuple):
    """Those who share one part of the capacity.

    A tuple, since it is hashed some hundred times in one division.

    Attributes
    ----------
    rank : int
        Priority, 0 being the highest, or `REWARD_RANK`.
    workspace : str or None
        Empty for callers without a key; `OTHERS` for all that have no key of their own.
    """

    rank: int
    workspace: str | None


class Demand(NamedTuple):
    """What those of one key ask for.

    Attributes
    ----------
    places : float
    weight : float
        Relative to others of the same rank: the number of workspaces.
    """

    places: float
    weight: float = 1.0


def divide_capacity(
    places: float, demands: Mapping[ShareKey, Demand]
) -> dict[ShareKey, float]:
    """Return the share of its demand that is served, 0 to 1, by key."""
    total = sum([demand.places for demand in demands.values()])
    if total <= places:
        return dict.fromkeys(demands, 1.0)
    equal = divide_max_min(places, demands)
    floors = {key: FLOOR_SHARE * amount for key, amount in equal.items()}
    shares = {}
    # What is left for a rank and those below it, and the floors of these.
    left, floors_left = places, sum(floors.values())
    for rank in sorted({key.rank for key in demands}):
        group = {key: demand for key, demand in demands.items() if key.rank == rank}
        floors_left -= sum(floors[key] for key in group)
        given = divide_with_floors(left - floors_left, group, floors)
        left -= sum(given.values())
        for key, amount in given.items():
            asked = group[key].places
            shares[key] = min(amount / asked, 1.0) if asked else 1.0
    return shares


def protect_satisfied(
    shares: Mapping[ShareKey, float],
    places: float,
    reduced: float,
    demands: Mapping[ShareKey, Demand],
) -> dict[ShareKey, float]:
    """Return shares with which a queue drains, or errors of figures are paid for.

    Those who ask for no more than their part, within the error of the figures, do not
    pay for the queue of those who ask for much more. These keep a floor.

    Parameters
    ----------
    shares : mapping
        By `divide_capacity` of the places.
    places, reduced : float
        Capacity without and with the reduction by which the queue drains.
    demands : mapping
    """
    cut = {k: demand for k, demand in demands.items() if shares[k] < SATISFIED_SHARE}
    if not cut or len(cut) == len(demands):
        return divide_capacity(reduced, demands)
    kept = {key: demand for key, demand in demands.items() if key not in cut}
    equal = divide_max_min(places, demands)
    floors = FLOOR_SHARE * sum([equal[key] for key in cut])
    asked = sum([demand.places for demand in kept.values()])
    paid = min(DRAIN_FACTOR * (places - reduced), MAX_DRAIN_SHARE * places)
    left = max(places - paid - asked, floors)
    return divide_capacity(places - left, kept) | divide_capacity(left, cut)


def divide_with_floors(
    places: float,
    demands: Mapping[ShareKey, Demand],
    floors: Mapping[ShareKey, float],
) -> dict[ShareKey, float]:
    """Return the places of each key by weighted max-min fairness above the floors.

    ``places`` suffices for the floors of all keys.
    """
    raised: dict[ShareKey, float] = {}
    while True:
        rest = {key: demand for key, demand in demands.items() if key not in raised}
        given = divide_max_min(places - sum(raised.values()), rest)
        below = {k: floors[k] for k, amount in given.items() if amount < floors[k]}
        if not below:
            return given | raised
        raised |= below


def divide_max_min(
    places: float, demands: Mapping[ShareKey, Demand]
) -> dict[ShareKey, float]:
    """Return the places of each key by weighted max-min fairness, without a floor."""
    given = {}
    weight_left = sum([demand.weight for demand in demands.values()])
    by_need = [
        (asked / weight, number, key, asked, weight)
        for number, (key, (asked, weight)) in enumerate(demands.items())
    ]
    for _, _, key, asked, weight in sorted(by_need):
        share = places * weight / weight_left
        given[key] = amount = asked if asked < share else max(share, 0.0)
        places -= amount
        weight_left -= weight
    return given
