"""Load balancing of requests over the backend servers of a service.

The load is light and spread over many entry hosts, so that each sees too few requests
to know the queue of a server exactly. It therefore compares the load that servers last
reported with its own open requests, prefers its own availability zone, and avoids
servers that failed or are slow. The module uses no network, and the clock is injected.
"""

import random
from collections.abc import Callable

from gypsumshift.clock import Clock
from gypsumshift.ejection import EjectionPolicy
from gypsumshift.places import ONE_REGION, Layout
from gypsumshift.policy import DEFAULT_POLICY, Policy
from gypsumshift.roundtrips import RoundTrips
from gypsumshift.serving.bytelimits import ServerByteLimits
from gypsumshift.serving.directory import BackendServer, ServerStart
from gypsumshift.serving.loadreports import LoadReports, make_report
from gypsumshift.serving.observations import (
    MAX_AGE_SECONDS,
    MAX_BUSY,
    Observations,
)
from gypsumshift.serving.regionchoice import ERROR_SHARE, RegionChoice
from gypsumshift.serving.serverestimates import (
    MAX_SLOWNESS_FACTOR,
    ServerEstimates,
    decayed_load,
)
from gypsumshift.serving.serverload import ServerLoad
from gypsumshift.serving.serverstats import ServerStats

__all__ = [
    "LOST_SECONDS",
    "NEW_CONNECTION_PENALTY",
    "REPORTED_CONNECTION_PENALTY",
    "LoadBalancer",
]

# Added to the cost of a server in another zone, in usual service times. The round trip
# between zones takes 3 ms, a tenth of a short service time of 30 ms, and traffic
# between zones is expensive.
OTHER_ZONE_PENALTY = 0.3
# Added to the cost of a server without an idle connection: opening one takes a round
# trip and occupies a slot there for a moment. Lower than the penalty for another zone.
# In a simulation of entry hosts with one request every two seconds over six servers, it
# reduced new connections from 126 to 35 of 180 requests, since idle ones are kept for
# 4 s.
NEW_CONNECTION_PENALTY = 0.15
# The same if servers report a slowdown, whose changes would otherwise move requests to
# servers without an idle connection. In a simulation of 23 processes with 64 requests
# per second together over three such servers, it reduced new connections from 4.8 to
# 1.8 % of the requests. A usual answer takes a quarter of the objective, so one that
# takes 1.6 service times more is still in time.
REPORTED_CONNECTION_PENALTY = 1.6
# Maximum of the random time that is added to the expected time of a server that reports
# a slowdown, in usual service times. Otherwise all processes would choose the same
# slightly better server. It is less than the penalties above.
MAX_RANDOM_TIME = 0.1
# Weight of the newest answer in the moving averages, which cover about ten answers.
AVERAGE_WEIGHT = 0.2
# A server is ejected after this many consecutive failures, since healthy servers lose
# a single answer now and then,
FAILURES_TO_EJECT = 2
# or if this share of its requests failed. One of a hundred is usual; broken servers
# have failed four of ten.
FAILED_SHARE_TO_EJECT = 0.35
# The ejection time doubles from 1 s to 8 s, which is how long servers have been slow.
# At least half of the servers stay in use, to carry the load.
EJECTION = EjectionPolicy(first_pause_s=1.0, max_pause_s=8.0, max_share=0.5)
# How long a server is avoided if nothing listens at its address. It may come back at
# any time, and a failed attempt costs a caller only one round trip.
GONE_PAUSE_SECONDS = 1.0
# How long a server is avoided that was replaced at its address. Its directory entry
# expires after 4 s.
REPLACED_PAUSE_SECONDS = 10.0
# How long a lost server has no capacity unless it answers again. Its directory entry
# expires after 4 s.
LOST_SECONDS = 4.0
# A server's capacity is reduced by its measured answer time if that is more than this
# many times the usual one. Averages of a few answers often differ by less.
CAPACITY_MIN_SLOWNESS = 2.0


class LoadBalancer:
    """Chooses among backend servers by statistics of their answers.

    Parameters
    ----------
    zone : str
        Availability zone of this process.
    clock : Clock
    chance : random.Random
        Breaks ties, so that processes do not all choose the same server.
    policy : Policy
    layout : Layout
        Regions of the zones.

    Attributes
    ----------
    shared_observations : Observations
        Observations of this and other processes, as exchanged between them.
    load_reports : LoadReports
        Loads that servers with a slowdown reported to this and other processes.
    estimates : ServerEstimates
        Estimates of the load and speed of servers.
    round_trips : RoundTrips
        Expected round trips to the servers of other regions.
    regions : RegionChoice
        Chooses between the own region and others.
    byte_limits : ServerByteLimits
        Limits on the bytes outstanding at servers that crashed under load.
    has_idle_connection : callable
        Returns whether there is an idle connection to an address; by default False.
    cold_rate : callable
        Returns the requests per second of a server that is cold; None for a warm one.
    permitted : callable or None
        Returns those of given servers that may get a request now; None permits all.
    """

    def __init__(
        self,
        zone: str,
        clock: Clock,
        chance: random.Random,
        policy: Policy = DEFAULT_POLICY,
        layout: Layout = ONE_REGION,
    ):
        self.policy = policy
        self.layout = layout
        self.round_trips = RoundTrips(layout)
        self.regions = RegionChoice(layout, self.round_trips, chance)
        self.zone = zone
        self.clock = clock
        self.chance = chance
        self.shared_observations = Observations(clock)
        self.load_reports = LoadReports(clock)
        self.estimates = ServerEstimates(
            clock, self.shared_observations, self.load_reports
        )
        self.byte_limits = ServerByteLimits(clock, policy.byte_budget)
        self.permitted: Callable[[list[BackendServer]], list[BackendServer]] | None = (
            None
        )
        self.cold_rate: Callable[[BackendServer], float | None] = lambda server: None
        self.has_idle_connection: Callable[[tuple[str, int]], bool] = lambda address: (
            False
        )

    def stats(self, server: BackendServer) -> ServerStats:
        """Return the statistics of a server start, created if missing."""
        return self.estimates.stats(server)

    def prune(self, known: set[ServerStart]) -> None:
        """Remove statistics of server starts that are not listed any more.

        Those with open requests are kept.
        """
        for start in [s for s in self.estimates.stats_by_start if s not in known]:
            if not self.estimates.stats_by_start[start].outstanding:
                del self.estimates.stats_by_start[start]
        self.shared_observations.prune(known)
        self.load_reports.prune(known)
        self.byte_limits.prune()

    def choose(
        self, servers: list[BackendServer], avoid: set[ServerStart], size: int = 0
    ) -> BackendServer | None:
        """Return the server to send a request to; None if none is left.

        Parameters
        ----------
        servers : list of BackendServer
            Ready servers of the service.
        avoid : set of ServerStart
            Servers already tried.
        size : int
            Bytes of the request's body.
        """
        candidates = [server for server in servers if server.start not in avoid]
        if self.byte_limits.limits:
            has_room = self.byte_limits.has_room
            candidates = [server for server in candidates if has_room(server, size)]
        if self.permitted is not None:
            candidates = self.permitted(candidates)
        if not candidates:
            return None
        now = self.clock.monotonic()
        healthy = [
            s for s in candidates if self.estimates.stats(s).avoided_until <= now
        ]
        if not healthy:
            return min(
                candidates,
                key=lambda server: self.estimates.stats(server).avoided_until,
            )
        usual = self.estimates.median_latency(servers)
        is_reported = self.estimates.is_slowdown_reported(servers)
        cost = self.reported_cost if is_reported else self.cost
        if self.layout.has_regions:
            mean_cost = self.mean_cost if is_reported else self.cost
            healthy = self.regions.narrow(
                healthy,
                servers,
                lambda s: mean_cost(s, usual),
                usual,
                self.has_idle_connection,
                now,
            )
        return min(healthy, key=lambda s: (cost(s, usual), self.chance.random()))

    def cost(self, server: BackendServer, usual: float) -> float:
        """Return a request's expected time at a server, in usual service times."""
        stats = self.estimates.stats(server)
        observed = self.estimates.observation(server, usual)
        reported = decayed_load(
            observed.busy, self.clock.monotonic() - observed.observed_at
        )
        busy = max(reported, stats.outstanding)
        slowness = min(max(observed.slowness, 1.0), MAX_SLOWNESS_FACTOR)
        time = (1.0 + busy / max(server.slots, 1)) * slowness
        return time + self.penalty(server, NEW_CONNECTION_PENALTY)

    def penalty(self, server: BackendServer, new_connection: float) -> float:
        """Return the cost of reaching a server, in usual service times."""
        zone = 0.0 if server.zone == self.zone else OTHER_ZONE_PENALTY
        idle = self.has_idle_connection(server.address)
        return zone + (0.0 if idle else new_connection)

    def reported_cost(self, server: BackendServer, usual: float) -> float:
        """Return the cost of a server, if servers of the service report a slowdown."""
        time = self.estimates.expected_load(server, usual).draw_time(self.chance)
        time += self.chance.uniform(0.0, MAX_RANDOM_TIME)
        return time + self.penalty(server, REPORTED_CONNECTION_PENALTY)

    def mean_cost(self, server: BackendServer, usual: float) -> float:
        """Return the mean of `reported_cost`, varied by the error of the estimate.

        The processes of a region see the same reports, and would otherwise all change
        to another region at the same time, and back.
        """
        time = self.estimates.expected_load(server, usual).mean_time
        time *= self.chance.uniform(1.0 - ERROR_SHARE, 1.0 + ERROR_SHARE)
        return time + self.penalty(server, REPORTED_CONNECTION_PENALTY)

    def service_capacity(self, servers: list[BackendServer]) -> float:
        """Return how many requests servers complete in a usual service time.

        Each counts its slots over its slowness. A lost or ejected server counts 0, one
        without recent reports or answers its listed slots.

        Parameters
        ----------
        servers : list of BackendServer
            Ready servers of one service.
        """
        usual = self.estimates.median_latency(servers)
        return sum(self.server_capacity(server, usual) for server in servers)

    def usable_slots(self, servers: list[BackendServer]) -> float:
        """Return the capacity of servers in slots, for the limit of reward calls.

        It is `service_capacity` if a server reports a slowdown, is ejected, lost or
        cold, and otherwise the sum of the listed slots.
        """
        now = self.clock.monotonic()
        avoided = any(
            self.estimates.stats(server).avoided_until > now for server in servers
        )
        lost = any(self.estimates.stats(server).lost_until > now for server in servers)
        lost = lost or any(self.cold_rate(server) is not None for server in servers)
        if avoided or lost or self.estimates.is_slowdown_reported(servers):
            return self.service_capacity(servers)
        return sum(server.slots for server in servers)

    def server_capacity(self, server: BackendServer, usual: float) -> float:
        """Return a server's slots over its slowness; 0 if it is ejected or lost.

        A cold server counts no more than what it takes in a usual service time.
        """
        stats, now = self.estimates.stats(server), self.clock.monotonic()
        if max(stats.avoided_until, stats.lost_until) > now:
            return 0.0
        observed = self.estimates.observation(server, usual)
        recent = now - observed.observed_at < MAX_AGE_SECONDS
        slowness = self.estimates.expected_slowdown(server)
        if recent and observed.slowness > CAPACITY_MIN_SLOWNESS:
            slowness *= min(observed.slowness, MAX_SLOWNESS_FACTOR)
        report = self.load_reports.get(server.start)
        slots = report.slots if report else server.slots
        capacity, rate = slots / max(slowness, 1.0), self.cold_rate(server)
        return min(capacity, rate * usual) if rate is not None and usual else capacity

    def record_sent(self, server: BackendServer) -> None:
        """Count a request as sent."""
        self.estimates.stats(server).outstanding += 1

    def record_finished(self, server: BackendServer) -> None:
        """Count a request as ended, whatever its outcome."""
        stats = self.estimates.stats(server)
        stats.outstanding = max(0, stats.outstanding - 1)

    def record_load(self, server: BackendServer, load: ServerLoad) -> None:
        """Store the load that a server reported with an answer."""
        stats = self.estimates.stats(server)
        now = self.clock.monotonic()
        stats.busy = min(load.busy, MAX_BUSY)
        stats.busy_reported_at = now
        stats.lost_until = 0.0
        if load.reports_slowdown:
            self.load_reports.merge([make_report(server.start, load, now)])

    def record_success(self, server: BackendServer, took: float) -> None:
        """Record a successful answer that took ``took`` seconds."""
        self.regions.record_answer(server)
        stats = self.estimates.stats(server)
        stats.last_outcome_at = self.clock.monotonic()
        stats.lost_until = 0.0
        stats.consecutive_failures = 0
        stats.consecutive_ejections = 0
        stats.failed_share *= 1 - AVERAGE_WEIGHT
        took /= self.estimates.expected_slowdown(server)
        if not stats.latency:
            stats.latency = took
        stats.latency += AVERAGE_WEIGHT * (took - stats.latency)

    def record_wait(self, server: BackendServer, took: float) -> None:
        """Record a request that was still unanswered after ``took`` seconds."""
        stats = self.estimates.stats(server)
        stats.last_outcome_at = self.clock.monotonic()
        took /= self.estimates.expected_slowdown(server)
        if took > stats.latency:
            stats.latency += AVERAGE_WEIGHT * (took - stats.latency)

    def record_unconnected(self, server: BackendServer) -> None:
        """Record that no connection to a server opened in time."""
        self.regions.record_unconnected(server, self.clock.monotonic())

    def record_replaced(self, server: BackendServer) -> None:
        """Avoid a server whose address another server uses now."""
        self.estimates.stats(server).avoided_until = (
            self.clock.monotonic() + REPLACED_PAUSE_SECONDS
        )

    def record_gone(self, server: BackendServer) -> None:
        """Reset the statistics of a server that is gone, and avoid it briefly.

        This does not count as a failure: whatever ended the server, it is healthy when
        it is back. A server that does not report its start time then has the same
        statistics entry.
        """
        before = self.estimates.stats(server)
        now = self.clock.monotonic()
        self.estimates.stats_by_start[server.start] = ServerStats(
            outstanding=before.outstanding,
            avoided_until=now + GONE_PAUSE_SECONDS,
            last_outcome_at=now,
            lost_until=now + LOST_SECONDS,
        )

    def record_failure(
        self, server: BackendServer, servers: list[BackendServer]
    ) -> bool:
        """Record a failure; return whether the server is ejected by it."""
        stats = self.estimates.stats(server)
        stats.last_outcome_at = self.clock.monotonic()
        stats.consecutive_failures += 1
        stats.failed_share += AVERAGE_WEIGHT * (1 - stats.failed_share)
        consecutive = stats.consecutive_failures >= FAILURES_TO_EJECT
        too_many = consecutive or stats.failed_share >= FAILED_SHARE_TO_EJECT
        if not too_many or not self.policy.ejection:
            return False
        return self.eject(stats, servers)

    def eject(self, stats: ServerStats, servers: list[BackendServer]) -> bool:
        """Eject a server for a while, unless too many are avoided already."""
        now = self.clock.monotonic()
        avoided = sum(
            1 for server in servers if self.estimates.stats(server).avoided_until > now
        )
        if not EJECTION.may_eject(avoided, len(servers)):
            return False
        stats.avoided_until = now + EJECTION.pause_seconds(
            stats.consecutive_ejections, self.chance
        )
        stats.consecutive_ejections += 1
        return True
