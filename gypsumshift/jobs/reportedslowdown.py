"""Slowdown that an engine's host reports with the engine's answers, over time.

Hosts that engines share with other work are slow while that work runs. A report shows
this at once, the times between events only after a second. It also distinguishes such a
phase from a fault of the engine.
"""

import collections
import itertools
from collections.abc import Callable

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.metrics import Metrics
from gypsumshift.serving.serverload import ServerLoad

__all__ = ["ReportedSlowdown"]

# Seconds for which a report applies. A neighbour's phases last for 0.6 s, so an older
# report is most often about another one.
MAX_REPORT_AGE = 0.6
# Seconds for which reports are kept: longer than the gaps that determine a pace.
KEPT_TIME = 3.0

log = logs.logger("agent")


class ReportedSlowdown:
    """Slowdown of one engine's host, as reported during the last seconds.

    Parameters
    ----------
    clock : Clock
    parse_load : callable
        Decodes the load header; raises ValueError if it is malformed.
    metrics : Metrics

    Attributes
    ----------
    reports : collections.deque of (float, float)
        Time of receipt, by the monotonic clock in seconds, and slowdown.
    """

    def __init__(
        self, clock: Clock, parse_load: Callable[[str], ServerLoad], metrics: Metrics
    ):
        self.clock = clock
        self.parse_load = parse_load
        self.metrics = metrics
        self.reports: collections.deque[tuple[float, float]] = collections.deque()

    def reset(self) -> None:
        """Discard all reports, once the engine has started again."""
        self.reports.clear()

    def note_header(self, text: str) -> None:
        """Record the load header of an answer, where it reports a slowdown."""
        if not text:
            return
        try:
            load = self.parse_load(text)
        except ValueError as error:
            self.metrics.count("malformed_loads")
            log.debug("Load reported by the engine ignored: {}", error)
            return
        if load.reports_slowdown:
            self.note_slowdown(load.slowdown)

    def note_slowdown(self, slowdown: float) -> None:
        """Record a reported slowdown."""
        now = self.clock.monotonic()
        self.reports.append((now, slowdown))
        while self.reports[0][0] < now - KEPT_TIME:
            self.reports.popleft()

    def covers(self, since: float) -> bool:
        """Return whether reports apply to all of the time since then."""
        received = [at for at, _ in self.reports]
        if not received or received[0] > since + MAX_REPORT_AGE:
            return False
        pairs = itertools.pairwise([*received, self.clock.monotonic()])
        recent = ((begin, end) for begin, end in pairs if end > since)
        return all(end - begin <= MAX_REPORT_AGE for begin, end in recent)

    def mean(self, since: float) -> float:
        """Return the mean reported slowdown since then; 1 where no report applies."""
        now = self.clock.monotonic()
        if now <= since or not self.reports:
            return 1.0
        ends = [at for at, _ in itertools.islice(self.reports, 1, None)]
        excess = 0.0
        for (at, slowdown), next_at in zip(self.reports, [*ends, now], strict=True):
            until = min(next_at, at + MAX_REPORT_AGE)
            excess += (slowdown - 1.0) * max(0.0, until - max(at, since))
        return 1.0 + excess / (now - since)
