"""Limits: how many requests a backend server runs at once, fixed or learnt."""

import abc
import collections

__all__ = ["FixedLimit", "LearntLimit", "Limit"]

WINDOW = 100
TOLERANCE = 1.6
LEAST = 2
DECREASE = 0.9
BASE_DRIFT = 1.02


class Limit(abc.ABC):
    """How many requests may run at once."""

    value: int

    @abc.abstractmethod
    def learn(self, took: float, beside: int, ok: bool) -> None:
        """Take one finished request.

        Parameters
        ----------
        took : float
            Seconds from admission to the end.
        beside : int
            How many ran at once, itself included.
        ok : bool
            Whether it was answered.
        """


class FixedLimit(Limit):
    """A limit that stays as declared."""

    def __init__(self, value: int):
        self.value = value

    def learn(self, took, beside, ok):
        """Nothing to learn."""


class LearntLimit(Limit):
    """A limit that follows the delay: down when it grows, up while it is flat.

    It compares the median of a window with the least median seen, which drifts
    up slowly so that a backend server that became slower is measured anew.

    Parameters
    ----------
    most : int
        The declared limit, never exceeded.
    """

    def __init__(self, most: int):
        self.most = most
        self.value = most
        self.window: collections.deque[float] = collections.deque(maxlen=WINDOW)
        self.busiest = 0
        self.base = 0.0

    def learn(self, took, beside, ok):
        """Adjust after each full window."""
        if not ok:
            return
        self.window.append(took)
        self.busiest = max(self.busiest, beside)
        if len(self.window) < WINDOW:
            return
        median = sorted(self.window)[WINDOW // 2]
        self.base = min(self.base * BASE_DRIFT, median) if self.base else median
        least = min(LEAST, self.most)
        if median > TOLERANCE * self.base:
            self.value = max(least, int(self.value * DECREASE))
        elif self.busiest >= self.value:
            self.value = min(self.most, self.value + 1)
        self.window.clear()
        self.busiest = 0
