"""Limits on the requests that a backend server runs at once, fixed or adaptive."""

import abc
import collections

__all__ = ["FixedLimit", "AdaptiveLimit", "ConcurrencyLimit"]

# Requests per window; the limit is adjusted after each full window.
WINDOW_REQUESTS = 100
# The limit is lowered if the median duration exceeds this multiple of the base.
SLOWDOWN_TOLERANCE = 1.6
# The limit is not lowered below this, unless the declared maximum is lower.
MIN_LIMIT = 2
DECREASE_FACTOR = 0.9
# Factor by which the base duration may grow in one window.
BASE_DRIFT_FACTOR = 1.02


class ConcurrencyLimit(abc.ABC):
    """Limit on the requests that run at once.

    Attributes
    ----------
    value : int
        Present limit.
    """

    value: int

    @abc.abstractmethod
    def record_request(
        self, duration_s: float, concurrency: int, answered: bool
    ) -> None:
        """Record one finished request, which may change the limit.

        Parameters
        ----------
        duration_s : float
            Seconds from admission to the end.
        concurrency : int
            Requests that ran at the same time, including this one.
        answered : bool
            Whether the request was answered.
        """


class FixedLimit(ConcurrencyLimit):
    """Limit that keeps its declared value."""

    def __init__(self, value: int):
        self.value = value

    def record_request(self, duration_s, concurrency, answered):
        """Do nothing: the limit is fixed."""


class AdaptiveLimit(ConcurrencyLimit):
    """Limit that falls when requests become slower and rises while they do not.

    The median duration of each window is compared with the base, the lowest median
    so far. The base drifts upwards slowly, so that it adapts to a backend server that
    has become slower for good.

    Parameters
    ----------
    max_value : int
        Declared limit, which is also the value at the start and never exceeded.
    """

    def __init__(self, max_value: int):
        self.max_value = max_value
        self.value = max_value
        self.durations: collections.deque[float] = collections.deque(
            maxlen=WINDOW_REQUESTS
        )
        self.peak_concurrency = 0
        self.base_duration = 0.0

    def record_request(self, duration_s, concurrency, answered):
        """Record an answered request; adjust the limit after each full window."""
        if not answered:
            return
        self.durations.append(duration_s)
        self.peak_concurrency = max(self.peak_concurrency, concurrency)
        if len(self.durations) < WINDOW_REQUESTS:
            return
        median = sorted(self.durations)[WINDOW_REQUESTS // 2]
        self.base_duration = (
            min(self.base_duration * BASE_DRIFT_FACTOR, median)
            if self.base_duration
            else median
        )
        lowest = min(MIN_LIMIT, self.max_value)
        if median > SLOWDOWN_TOLERANCE * self.base_duration:
            self.value = max(lowest, int(self.value * DECREASE_FACTOR))
        elif self.peak_concurrency >= self.value:
            self.value = min(self.max_value, self.value + 1)
        self.durations.clear()
        self.peak_concurrency = 0
