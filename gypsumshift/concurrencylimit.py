"""Limits: how many requests a backend server runs at once, fixed or learnt."""

import abc
import collections

__all__ = ["FixedLimit", "AdaptiveLimit", "ConcurrencyLimit"]

WINDOW_REQUESTS = 100
SLOWDOWN_TOLERANCE = 1.6
MIN_LIMIT = 2
DECREASE_FACTOR = 0.9
BASE_DRIFT_FACTOR = 1.02


class ConcurrencyLimit(abc.ABC):
    """How many requests may run at once."""

    value: int

    @abc.abstractmethod
    def record_request(self, took: float, beside: int, ok: bool) -> None:
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


class FixedLimit(ConcurrencyLimit):
    """A limit that stays as declared."""

    def __init__(self, value: int):
        self.value = value

    def record_request(self, took, beside, ok):
        """Nothing to learn."""


class AdaptiveLimit(ConcurrencyLimit):
    """A limit that follows the delay: down when it grows, up while it is flat.

    It compares the median of a window with the least median seen, which drifts
    up slowly so that a backend server that became slower is measured anew.

    Parameters
    ----------
    most : int
        The declared limit, never exceeded.
    """

    def __init__(self, most: int):
        self.max_value = most
        self.value = most
        self.durations: collections.deque[float] = collections.deque(
            maxlen=WINDOW_REQUESTS
        )
        self.peak_concurrency = 0
        self.base_duration = 0.0

    def record_request(self, took, beside, ok):
        """Adjust after each full window."""
        if not ok:
            return
        self.durations.append(took)
        self.peak_concurrency = max(self.peak_concurrency, beside)
        if len(self.durations) < WINDOW_REQUESTS:
            return
        median = sorted(self.durations)[WINDOW_REQUESTS // 2]
        self.base_duration = (
            min(self.base_duration * BASE_DRIFT_FACTOR, median)
            if self.base_duration
            else median
        )
        least = min(MIN_LIMIT, self.max_value)
        if median > SLOWDOWN_TOLERANCE * self.base_duration:
            self.value = max(least, int(self.value * DECREASE_FACTOR))
        elif self.peak_concurrency >= self.value:
            self.value = min(self.max_value, self.value + 1)
        self.durations.clear()
        self.peak_concurrency = 0
