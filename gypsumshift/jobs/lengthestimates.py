"""Lengths of items in events, learned from the estimates that trainers send.

Trainers estimate the output tokens of an item, at times off by half. Engines put
several tokens into an event, so the ratio is measured, and so is the error.
"""

import collections
import statistics

import attrs

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


@attrs.define
class ModelLengths:
    """Lengths of the items of one model that ended last.

    The sums and the error are computed when an item ends, and read for each item of
    each plan.

    Attributes
    ----------
    ended : deque
        Events and estimate by item.
    events, tokens : int
        Sums of both.
    error : float
        Median relative error of the expected lengths.
    """

    ended: collections.deque[tuple[int, int]] = attrs.field(
        factory=lambda: collections.deque(maxlen=KEPT_ITEMS)
    )
    events: int = 0
    tokens: int = 0
    error: float = DEFAULT_ERROR

    def record(self, events: int, hint: int) -> None:
        """Record an item that has ended."""
        self.ended.append((events, hint))
        self.events = sum(number for number, _ in self.ended)
        self.tokens = sum(estimate for _, estimate in self.ended)
        if len(self.ended) >= MIN_ITEMS:
            self.error = statistics.median(
                abs(number / self.expected(estimate) - 1)
                for number, estimate in self.ended
            )

    def expected(self, hint: int) -> float:
        """Return the expected number of events of an item; 0 if unknown."""
        if len(self.ended) < MIN_ITEMS:
            return 0.0
        return hint * self.events / self.tokens


UNKNOWN_LENGTHS = ModelLengths()


class LengthEstimates:
    """Ratio of events to estimated tokens by model, and its error.

    Parameters
    ----------
    metrics : Metrics

    Attributes
    ----------
    by_model : dict
        `ModelLengths` by model.
    """

    def __init__(self, metrics: Metrics):
        self.metrics = metrics
        self.by_model: dict[str, ModelLengths] = {}

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
        self.by_model.setdefault(model, ModelLengths()).record(events, hint)

    def events(self, model: str, hint: int) -> float:
        """Return the expected number of events of an item; 0 if unknown."""
        return self.by_model.get(model, UNKNOWN_LENGTHS).expected(hint)

    def error(self, model: str) -> float:
        """Return the median relative error of the expected lengths."""
        return self.by_model.get(model, UNKNOWN_LENGTHS).error
