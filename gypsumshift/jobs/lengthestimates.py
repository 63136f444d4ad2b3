"""Lengths of items in events, learned from the estimates that trainers send.

Trainers estimate the output tokens of an item, at times off by half. Engines put
several tokens into an event, so the ratio is measured, and so is the error.
"""

import collections
import statistics

from gypsumshift.metrics import Metrics

__all__ = ["LengthEstimates"]

# Number of last items of a model from which ratio and error are computed: about as many
# as an agent runs in one step.
KEPT_ITEMS = 64
# Items required: the ratio of the first one may be off by half.
MIN_ITEMS = 4
# Relative error that is assumed until it is measured.
DEFAULT_ERROR = 0.5
# Upper limits of the classes of the metric: length over estimated length.
ERROR_CLASSES = (0.5, 0.8, 1.25, 2.0)


class LengthEstimates:
    """Ratio of events to estimated tokens by model, and its error.

    Parameters
    ----------
    metrics : Metrics

    Attributes
    ----------
    ended : dict
        Events and estimate of the items that ended last, by model.
    """

    def __init__(self, metrics: Metrics):
        self.metrics = metrics
        self.ended: dict[str, collections.deque[tuple[int, int]]] = {}

    def record(self, model: str, hint: int, events: int) -> None:
        """Record the estimate and the number of events of an item that has ended."""
        if not hint or not events:
            return
        expected = self.events(model, hint)
        if expected:
            ratio = events / expected
            above = sum(ratio > limit for limit in ERROR_CLASSES)
            limits = (*map(str, ERROR_CLASSES), "more")
            self.metrics.count("length_estimates", up_to=limits[above])
        kept = self.ended.setdefault(model, collections.deque(maxlen=KEPT_ITEMS))
        kept.append((events, hint))

    def events(self, model: str, hint: int) -> float:
        """Return the expected number of events of an item; 0 if unknown."""
        kept = self.ended.get(model, ())
        if len(kept) < MIN_ITEMS:
            return 0.0
        return hint * sum(n for n, _ in kept) / sum(known for _, known in kept)

    def error(self, model: str) -> float:
        """Return the median relative error of the expected lengths."""
        kept = self.ended.get(model, ())
        if len(kept) < MIN_ITEMS:
            return DEFAULT_ERROR
        errors = (abs(n / self.events(model, hint) - 1) for n, hint in kept)
        return statistics.median(errors)
