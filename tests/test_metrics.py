"""Metrics: what a scrape contains, and what it costs a process that starts."""

import subprocess
import sys

from gypsumshift.metrics import MAX_DURATIONS, Metrics, scrape


def new_metrics() -> Metrics:
    return Metrics("gateway-1", lambda: {"open_calls": 2.0})


def sample(page: str, name: str, label: str) -> float:
    """Return the only value with a name and a label on a scrape page."""
    lines = [line for line in page.splitlines() if line.startswith(f"{name}{{")]
    (found,) = (line for line in lines if label in line)
    return float(found.split()[-1])


def test_scrape_contains_counters_durations_and_gauges():
    # Guards against values that are lost because they come before the first scrape.
    metrics = new_metrics()
    metrics.count("early_refusals", reason="full")
    metrics.record_duration("early_seconds", 0.5, service="a")
    page = scrape().decode()
    metrics.record_duration("early_seconds", 0.25, service="a")
    metrics.count("late_refusals")
    second = scrape().decode()
    metrics.close()
    assert sample(page, "gypsumshift_early_refusals_total", 'reason="full"') == 1.0
    assert sample(page, "gypsumshift_figure", 'figure="open_calls"') == 2.0
    assert sample(page, "gypsumshift_early_seconds_count", 'service="a"') == 1.0
    assert sample(second, "gypsumshift_early_seconds_count", 'service="a"') == 2.0
    assert sample(second, "gypsumshift_late_refusals_total", "") == 1.0


def test_closed_metrics_leave_the_scrape_page():
    # Guards against figures of a process that has ended, in tests and in restarts.
    metrics = new_metrics()
    metrics.count("closed_refusals")
    scrape()
    metrics.close()
    assert "closed_refusals" not in scrape().decode()


def test_durations_that_nobody_scrapes_are_bounded():
    # Guards against memory that grows in a deployment without a scraper.
    metrics = new_metrics()
    for _ in range(MAX_DURATIONS + 5):
        metrics.record_duration("unscraped_seconds", 0.1)
    metrics.close()
    assert len(metrics.durations) == MAX_DURATIONS


def test_a_process_starts_without_the_metrics_sdk():
    # Guards against a slow start: the SDK takes a third of the time of all imports.
    code = (
        "import sys, gypsumshift.gateway, gypsumshift.agentnode;"
        "print([m for m in sys.modules if m.startswith('opentelemetry')])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert done.stdout.strip() == "[]"
