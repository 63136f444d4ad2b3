"""Metrics: counters, histograms and gauges, exported with OpenTelemetry."""

import functools
from collections.abc import Callable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY, generate_latest

__all__ = ["Metrics", "scrape"]

PREFIX = "gypsumshift"


class Metrics:
    """Metrics of one process.

    Parameters
    ----------
    process : str
        Name of the process.
    read_gauges : callable
        Returns the current values of the process's gauges by name.
    """

    def __init__(self, process: str, read_gauges: Callable[[], dict[str, float]]):
        self.reader = PrometheusMetricReader()
        resource = Resource({"service.name": PREFIX, "service.instance.id": process})
        self.provider = MeterProvider([self.reader], resource, shutdown_on_exit=False)
        self.meter = self.provider.get_meter(PREFIX)
        self.counters: dict[str, dict[tuple, float]] = {}
        self.histograms = {}
        self.read_gauges = read_gauges
        self.meter.create_observable_gauge(f"{PREFIX}.figure", [self.observe_gauges])

    def observe_gauges(self, options: CallbackOptions):
        """Yield the gauges for the scrape page."""
        for name, value in self.read_gauges().items():
            yield Observation(value, {"figure": name})

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter, which is exported when the scrape page is requested."""
        if name not in self.counters:
            self.counters[name] = {}
            observe = functools.partial(self.observe_counter, name)
            self.meter.create_observable_counter(f"{PREFIX}.{name}", [observe])
        key = tuple(labels.items())
        counts = self.counters[name]
        counts[key] = counts.get(key, 0) + amount

    def observe_counter(self, name: str, options: CallbackOptions):
        """Yield the values of a counter for the scrape page."""
        for labels, value in self.counters[name].items():
            yield Observation(value, dict(labels))

    @property
    def totals(self) -> dict[str, float]:
        """Values of all counters, by name and label values joined with dots."""
        return {
            ".".join([name, *(text for _, text in labels)]): value
            for name, counts in self.counters.items()
            for labels, value in counts.items()
        }

    def record_duration(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration in a histogram."""
        if name not in self.histograms:
            instrument = self.meter.create_histogram(f"{PREFIX}.{name}", unit="s")
            self.histograms[name] = instrument
        self.histograms[name].record(seconds, labels)

    def close(self) -> None:
        """Shut down, which removes this process's metrics from the scrape page."""
        self.provider.shutdown()


def scrape() -> bytes:
    """Return the scrape page of this process in the Prometheus text format."""
    return generate_latest(REGISTRY)
