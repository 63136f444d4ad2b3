"""Averages of the demand for a service, over a long and a short window."""

import math

import attrs

from gypsumshift.serving.fairshares import OTHERS, Demand, ShareKey

__all__ = ["MAX_OWN_ROWS", "ArrivalSums", "Rates", "settle", "summarize"]

# Demand is averaged over two windows. The short one notices a surge within 0.3 s.
# The long one is used as long as both agree within the noise of random arrivals: the
# calls of a workspace with 16 a second vary by a fifth from one second to the next, and
# some would be refused in each second that has more of them than its share.
SHORT_WINDOW_SECONDS = 0.3
LONG_WINDOW_SECONDS = 8.0
# Difference of the two, in standard deviations, from which the short one is used.
SIGNIFICANT_DEVIATIONS = 3.0
# Number of rows that a process reports; the rest is summed up by rank.
MAX_OWN_ROWS = 12


@attrs.frozen
class Rates:
    """Demand in places, averaged over the two windows.

    Attributes
    ----------
    long, short : float
    weight : float
        Number of workspaces included.
    """

    long: float
    short: float
    weight: float = 1.0

    @property
    def larger(self) -> float:
        """The larger of the two averages."""
        return max(self.long, self.short)


@attrs.define
class ArrivalSums:
    """Places asked for by arrivals, as sums that decay over the two windows."""

    long: float = 0.0
    short: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        """Let the sums decay until now."""
        passed = max(0.0, now - self.updated_at)
        self.long *= math.exp(-passed / LONG_WINDOW_SECONDS)
        self.short *= math.exp(-passed / SHORT_WINDOW_SECONDS)
        self.updated_at = now

    def add(self, places: float, now: float) -> None:
        """Add an arrival."""
        self.decay(now)
        self.long += places
        self.short += places

    def rates(self, now: float) -> Rates:
        """Return the averages."""
        self.decay(now)
        return Rates(self.long / LONG_WINDOW_SECONDS, self.short / SHORT_WINDOW_SECONDS)


def settle(
    sums: dict[ShareKey, tuple[float, float]],
    weights: dict[ShareKey, float],
    seconds: float,
) -> dict[ShareKey, Demand]:
    """Return the demands: long averages, or short ones where the demand has changed.

    The change is judged by key, and for the other keys by rank: in a surge of many
    small workspaces none has changed by more than usual, but all together have.

    Parameters
    ----------
    sums : dict
        Long and short average by key.
    weights : dict
        By key, where the weight is not 1.
    seconds : float
        Usual seconds of a call, which decide how much the short average varies.
    """
    ranks: dict[int, tuple[float, float]] = {}
    settled = {}
    for key, (long, short) in sums.items():
        if has_changed(long, short, seconds):
            settled[key] = Demand(short, weights.get(key, 1.0))
        else:
            rank_long, rank_short = ranks.get(key.rank, (0.0, 0.0))
            ranks[key.rank] = rank_long + long, rank_short + short
    factors = {
        rank: short / long if long and has_changed(long, short, seconds) else 1.0
        for rank, (long, short) in ranks.items()
    }
    for key, (long, _) in sums.items():
        if key not in settled:
            settled[key] = Demand(long * factors[key.rank], weights.get(key, 1.0))
    return settled


def has_changed(long: float, short: float, seconds: float) -> bool:
    """Return whether two averages differ by more than random arrivals explain."""
    difference = short - long
    variance = seconds * max(long, short) / (2 * SHORT_WINDOW_SECONDS)
    return difference * difference > SIGNIFICANT_DEVIATIONS**2 * variance


def summarize(rates: dict[ShareKey, Rates]) -> dict[ShareKey, Rates]:
    """Return the largest demands, with the rest summed up by rank."""
    by_size = sorted(rates.items(), key=lambda item: -item[1].larger)
    kept = dict(by_size[:MAX_OWN_ROWS])
    for key, each in by_size[MAX_OWN_ROWS:]:
        rest = ShareKey(key.rank, OTHERS)
        known = kept.get(rest, Rates(0.0, 0.0, 0.0))
        kept[rest] = Rates(
            known.long + each.long,
            known.short + each.short,
            known.weight + each.weight,
        )
    return kept
