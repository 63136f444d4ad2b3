"""Usual time for which a call occupies a place at a server of a service."""

import collections
import math
import statistics

__all__ = ["ServiceTimes"]

# Answers of which the median is taken: enough for a median of varying calls, and few
# enough to follow a new release of a server within seconds.
SAMPLES = 15
# Usual answer time before the first answer, as a share of the objective, and the same
# for a route without an objective.
OBJECTIVE_SHARE = 0.25
DEFAULT_SECONDS = 0.05


class ServiceTimes:
    """Usual times by rank of calls: reward calls often take longer than callers' ones.

    Times at a host that reports a slowdown are divided by it, so that the slowdown
    counts once, in the capacity.

    Attributes
    ----------
    samples : dict
        The last times of answers in seconds, by whether the calls are reward calls.
    """

    def __init__(self):
        self.samples: dict[bool, collections.deque] = {}
        self.medians: dict[bool, float] = {}

    def record(self, is_reward: bool, seconds: float, slowdown: float) -> None:
        """Record the time of an answer of a server at which no calls waited."""
        samples = self.samples.setdefault(is_reward, collections.deque(maxlen=SAMPLES))
        samples.append(seconds / max(slowdown, 1.0))
        self.medians[is_reward] = statistics.median(samples)

    def usual(self, is_reward: bool, objective: float) -> float:
        """Return the usual seconds of a call with an objective in seconds."""
        known = self.medians.get(is_reward)
        if known is not None:
            return known
        if math.isinf(objective):
            return DEFAULT_SECONDS
        return OBJECTIVE_SHARE * objective
