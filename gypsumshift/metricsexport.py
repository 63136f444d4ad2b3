"""Export of metrics with OpenTelemetry, on a scrape page in the Prometheus format.

Imported by the first scrape and not at the start: loading the SDK takes a third of the
time in which a process starts, and a restarted host should serve callers soon.
"""

import functools

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY, generate_latest

from gypsumshift.metrics import Duration, Metrics

__all__ = ["MetricsExporter", "generate_page"]

PREFIX = "gypsumshift"


class MetricsExporter:
    """Instruments of one process's metrics.

    Parameters
    ----------
    metrics : Metrics
    """

    def __init__(self, metrics: Metrics):
        self.metrics = metrics
        identity = {"service.name": PREFIX, "service.instance.id": metrics.process}
        self.provider = MeterProvider(
            [PrometheusMetricReader()], Resource(identity), shutdown_on_exit=False
        )
        self.meter = self.provider.get_meter(PREFIX)
        self.counter_names: set[str] = set()
        self.histograms = {}
        self.meter.create_observable_gauge(f"{PREFIX}.figure", [self.observe_gauges])

    def update(self) -> None:
        """Create the instruments of new counters, and record new durations."""
        for name in self.metrics.counters.keys() - self.counter_names:
            self.counter_names.add(name)
            observe = functools.partial(self.observe_counter, name)
            self.meter.create_observable_counter(f"{PREFIX}.{name}", [observe])
        durations = self.metrics.durations
        while durations:
            self.record(durations.popleft())

    def record(self, duration: Duration) -> None:
        """Record a duration in its histogram."""
        name = duration.name
        if name not in self.histograms:
            instrument = self.meter.create_histogram(f"{PREFIX}.{name}", unit="s")
            self.histograms[name] = instrument
        self.histograms[name].record(duration.seconds, duration.labels)

    def observe_gauges(self, options: CallbackOptions):
        """Yield the gauges for the scrape page."""
        for name, value in self.metrics.read_gauges().items():
            yield Observation(value, {"figure": name})

    def observe_counter(self, name: str, options: CallbackOptions):
        """Yield the values of a counter for the scrape page."""
        for labels, value in self.metrics.counters[name].items():
            yield Observation(value, dict(labels))

    def close(self) -> None:
        """Shut down, which removes the metrics from the scrape page."""
        self.provider.shutdown()


def generate_page() -> bytes:
    """Return the scrape page of this process in the Prometheus text format."""
    return generate_latest(REGISTRY)
