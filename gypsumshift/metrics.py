"""Metrics: counters, durations and gauges, exported with OpenTelemetry.

`metricsexport.py` holds the export, which is loaded by the first scrape.
"""

import collections
import importlib
import weakref
from collections.abc import Callable

import attrs

__all__ = ["Duration", "Metrics", "load_exporter", "scrape"]

# Durations kept until the next scrape: those of ten seconds at 1,000 requests a second.
# Older ones are dropped, so that a process that nobody scrapes stays small.
MAX_DURATIONS = 10_000


@attrs.frozen
class Duration:
    """A duration to be recorded in a histogram.

    Attributes
    ----------
    name : str
        Name of the histogram.
    seconds : float
    labels : dict
    """

    name: str
    seconds: float
    labels: dict[str, str]


class Metrics:
    """Metrics of one process.

    Parameters
    ----------
    process : str
        Name of the process.
    read_gauges : callable
        Returns the current values of the process's gauges by name.

    Attributes
    ----------
    counters : dict
        Values by labels, by name.
    durations : collections.deque of Duration
        Durations that no scrape has exported yet, the newest `MAX_DURATIONS`.
    """

    def __init__(self, process: str, read_gauges: Callable[[], dict[str, float]]):
        self.process = process
        self.read_gauges = read_gauges
        self.counters: dict[str, dict[tuple, float]] = {}
        self.durations = collections.deque(maxlen=MAX_DURATIONS)
        self.exporter = None
        scraped.add(self)

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter, which is exported when the scrape page is requested."""
        counts = self.counters.setdefault(name, {})
        key = tuple(labels.items())
        counts[key] = counts.get(key, 0) + amount

    def add_gauges(self, read_gauges: Callable[[], dict[str, float]]) -> None:
        """Add the gauges that a callable returns to those of the process."""
        earlier = self.read_gauges
        self.read_gauges = lambda: earlier() | read_gauges()

    @property
    def totals(self) -> dict[str, float]:
        """Values of all counters, by name and label values joined with dots."""
        return {
            ".".join([name, *(text for _, text in labels)]): value
            for name, counts in self.counters.items()
            for labels, value in counts.items()
        }

    def record_duration(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration, which goes into a histogram at the next scrape."""
        self.durations.append(Duration(name, seconds, labels))

    def close(self) -> None:
        """Shut down, which removes this process's metrics from the scrape page."""
        scraped.discard(self)
        if self.exporter is not None:
            self.exporter.close()


# Metrics on the scrape page.
scraped: weakref.WeakSet[Metrics] = weakref.WeakSet()


def load_exporter():
    """Load the export and return its module; call it in a thread before a scrape.

    Otherwise the first scrape blocks the event loop for as long as the SDK loads, which
    is 0.4 s on a host with a third of a core.
    """
    return importlib.import_module("gypsumshift.metricsexport")


def scrape() -> bytes:
    """Return the scrape page of this process in the Prometheus text format."""
    metricsexport = load_exporter()
    for metrics in list(scraped):
        if metrics.exporter is None:
            metrics.exporter = metricsexport.MetricsExporter(metrics)
        metrics.exporter.update()
    return metricsexport.generate_page()
