"""Metrics: counters, durations and figures, by OpenTelemetry."""

from collections.abc import Callable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY, generate_latest

__all__ = ["Metrics", "scrape"]

PREFIX = "gypsumshift"


class Metrics:
    """Instruments of one process.

    Parameters
    ----------
    process : str
        Name of the process.
    figures : callable
        Returns the process's current figures by name.
    """

    def __init__(self, process: str, figures: Callable[[], dict[str, float]]):
        self.reader = PrometheusMetricReader()
        resource = Resource({"service.name": PREFIX, "service.instance.id": process})
        self.provider = MeterProvider([self.reader], resource, shutdown_on_exit=False)
        self.meter = self.provider.get_meter(PREFIX)
        self.counters = {}
        self.histograms = {}
        self.figures = figures
        self.totals: dict[str, float] = {}
        self.meter.create_observable_gauge(f"{PREFIX}.figure", [self.observe])

    def observe(self, options: CallbackOptions):
        """Yield the figures for the scrape page."""
        for name, value in self.figures().items():
            yield Observation(value, {"figure": name})

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        if name not in self.counters:
            self.counters[name] = self.meter.create_counter(f"{PREFIX}.{name}")
        self.counters[name].add(amount, labels)
        key = ".".join([name, *labels.values()])
        self.totals[key] = self.totals.get(key, 0) + amount

    def time(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration."""
        if name not in self.histograms:
            instrument = self.meter.create_histogram(f"{PREFIX}.{name}", unit="s")
            self.histograms[name] = instrument
        self.histograms[name].record(seconds, labels)

    def close(self) -> None:
        """Stop; the reader leaves the scrape page."""
        self.provider.shutdown()


def scrape() -> bytes:
    """Return the scrape page of this process."""
    return generate_latest(REGISTRY)
