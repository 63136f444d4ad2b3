"""Estimates of the load and speed of backend servers.

They combine the statistics of this process with the observations of other processes
and with the loads that servers reported.
"""

from gypsumshift.clock import Clock
from gypsumshift.serving.directory import BackendServer, ServerStart
from gypsumshift.serving.expectedload import ExpectedLoad
from gypsumshift.serving.loadreports import LoadReports
from gypsumshift.serving.observations import (
    MAX_FAILED_AVERAGE,
    Observation,
    Observations,
)
from gypsumshift.serving.serverstats import ServerStats

__all__ = [
    "MAX_SLOWNESS_FACTOR",
    "OWN_FRESH_SECONDS",
    "ServerEstimates",
    "decayed_load",
]

# A reported load counts half after this time, which is about ten service times.
LOAD_HALF_LIFE_SECONDS = 0.3
# Upper limit of the slowness factor, so that a slow server still gets a request from
# time to time and is measured again.
MAX_SLOWNESS_FACTOR = 8.0
# How long own observations take precedence over those of other processes. An entry host
# with one request every ten seconds has not yet observed a server that turned slow.
OWN_FRESH_SECONDS = 1.0
# Slowness added for failures that other processes observed, per share of failures: a
# server that fails four of ten requests costs as much as one that takes four times as
# long.
FAILED_SHARE_COST = 8.0


class ServerEstimates:
    """Estimates the load and speed of backend servers.

    Parameters
    ----------
    clock : Clock
    shared_observations : Observations
    load_reports : LoadReports

    Attributes
    ----------
    stats_by_start : dict
        `ServerStats` that this process collected, by `ServerStart`.
    """

    def __init__(
        self,
        clock: Clock,
        shared_observations: Observations,
        load_reports: LoadReports,
    ):
        self.clock = clock
        self.shared_observations = shared_observations
        self.load_reports = load_reports
        self.stats_by_start: dict[ServerStart, ServerStats] = {}

    def stats(self, server: BackendServer) -> ServerStats:
        """Return the statistics of a server start, created if missing."""
        stats = self.stats_by_start.get(server.start)
        if stats is None:
            stats = self.stats_by_start[server.start] = ServerStats()
        return stats

    def is_slowdown_reported(self, servers: list[BackendServer]) -> bool:
        """Return whether any of the servers recently reported a slowdown."""
        return any(self.load_reports.get(server.start) for server in servers)

    def median_latency(self, servers: list[BackendServer]) -> float:
        """Return the median of the servers' average answer times, in seconds."""
        known = sorted(r.latency for s in servers if (r := self.stats(s)).latency)
        return known[(len(known) - 1) // 2] if known else 0.0

    def expected_slowdown(self, server: BackendServer) -> float:
        """Return the slowdown that a server's host is expected to have now."""
        report = self.load_reports.get(server.start)
        return report.expected_slowdown(self.clock.monotonic()) if report else 1.0

    def expected_load(self, server: BackendServer, usual: float) -> ExpectedLoad:
        """Return the load to expect at a server, by its newest report if there is one.

        The measured slowness is relative to the reported slowdowns, so that a wrong
        slowdown is cancelled by the answer times.
        """
        now = self.clock.monotonic()
        observed = self.observation(server, usual)
        report = self.load_reports.get(server.start)
        if report is None:
            ahead = decayed_load(observed.busy, now - observed.observed_at)
        else:
            ahead = decayed_load(report.busy, now - report.reported_at)
        slowness = (observed.slowness or 1.0) * self.expected_slowdown(server)
        return ExpectedLoad(
            ahead,
            self.stats(server).outstanding,
            report.slots if report else server.slots,
            min(max(slowness, 1.0), MAX_SLOWNESS_FACTOR),
        )

    def observation(self, server: BackendServer, usual: float) -> Observation:
        """Return the own observation while it is fresh, else the newest available.

        Failures observed by other processes count as slowness; only own failures lead
        to ejection.
        """
        own = self.own_observation(server, usual)
        other = self.shared_observations.get(server.start)
        fresh = (
            self.clock.monotonic() - self.stats(server).last_outcome_at
            < OWN_FRESH_SECONDS
        )
        if fresh or other is None or other.observed_at <= own.observed_at:
            return own
        slowness = max(other.slowness, 1.0) * (
            1.0 + FAILED_SHARE_COST * other.failed_share
        )
        # Made directly, since attrs.evolve takes five times as long.
        return Observation(
            other.start, slowness, other.busy, other.failed_share, other.observed_at
        )

    def own_observation(self, server: BackendServer, usual: float) -> Observation:
        """Return the observation of a server from this process's statistics."""
        stats = self.stats(server)
        slowness = stats.latency / usual if usual else 0.0
        observed_at = max(stats.busy_reported_at, stats.last_outcome_at)
        busy = decayed_load(stats.busy, observed_at - stats.busy_reported_at)
        failed = min(stats.failed_share, MAX_FAILED_AVERAGE)
        return Observation(server.start, slowness, busy, failed, observed_at)

    def share_own_observations(self, servers: list[BackendServer]) -> None:
        """Merge own observations into those that are sent to other processes."""
        by_service: dict[str, list[BackendServer]] = {}
        for server in servers:
            if server.start in self.stats_by_start:
                by_service.setdefault(server.service, []).append(server)
        for listed in by_service.values():
            usual = self.median_latency(listed)
            self.shared_observations.merge(
                self.own_observation(server, usual) for server in listed
            )


def decayed_load(busy: float, age: float) -> float:
    """Return a reported load, reduced by its age in seconds."""
    return busy * 0.5 ** (age / LOAD_HALF_LIFE_SECONDS)
