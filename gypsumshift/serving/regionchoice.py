"""Choice between the servers of the own region and those of others.

The own region comes first. Another one is used if it is expected to be earlier by more
than the error of the estimates, or if the own one seems to be lost. Regions that seem
to be lost are left out.
"""

import math
import random
from collections.abc import Callable, Iterable

from gypsumshift import logs
from gypsumshift.places import Layout
from gypsumshift.roundtrips import RoundTrips
from gypsumshift.serving.directory import BackendServer

__all__ = ["ERROR_SHARE", "RegionChoice"]

# Error of an expected time: a share of it, and some usual service times. With smaller
# values, calls leave a region that still has room.
ERROR_SHARE = 0.25
ERROR_SERVICE_TIMES = 0.5
# Service time in seconds that is assumed before any answer was measured; short, so that
# a round trip to another region seems long and the own region is used.
ASSUMED_SERVICE_TIME_S = 0.03
# Servers of a region to which no connection opened, without an answer of another one
# since, after which the region counts as lost. A single one is usual.
LOST_SERVERS = 2
# Seconds for which such a failure counts. Directory entries of lost servers expire
# after 4 s, and servers that start again count anew. A call that finds the region still
# lost takes 0.4 s, and 0.7 s if it may not be repeated.
LOST_PAUSE_S = 4.0

# Returns the expected time of a request at a server, in usual service times.
ServerCost = Callable[[BackendServer], float]


# Reasons for which calls leave the region.
EARLIER = "another region is earlier by more than the error of the estimate"
LOST = "servers of the own region accept no connections"
NONE_LEFT = "no server of the own region is left, or may serve the call"
# Seconds between two log lines of one reason.
LOG_PERIOD_S = 1.0

log = logs.logger("regions")


class CrossingLog:
    """Logs that calls are sent to other regions, once a second for each reason.

    Parameters
    ----------
    layout : Layout

    Attributes
    ----------
    logged_at : dict
        Monotonic time of the last line by service, region and reason.
    counts : dict
        Calls since that line.
    """

    def __init__(self, layout: Layout):
        self.layout = layout
        self.logged_at: dict[tuple[str, str, str], float] = {}
        self.counts: dict[tuple[str, str, str], int] = {}

    def record(self, server: BackendServer, reason: str, now: float) -> None:
        """Record that a server of another region was chosen."""
        region = self.layout.region_of(server.zone)
        key = (server.service, region, reason)
        count = self.counts[key] = self.counts.get(key, 0) + 1
        if now - self.logged_at.get(key, -math.inf) < LOG_PERIOD_S:
            return
        self.logged_at[key] = now
        self.counts[key] = 0
        logs.event(
            log,
            "Calls are sent to another region.",
            service=server.service,
            source=self.layout.own.region,
            destination=region,
            reason=reason,
            calls=count,
        )


class RegionChoice:
    """Chooses between regions for one process.

    Parameters
    ----------
    layout : Layout
    round_trips : RoundTrips
    chance : random.Random
        Chooses among regions of the same expected time.

    Attributes
    ----------
    unconnected : dict
        Monotonic time by server, of failures to connect since a server of its region
        answered.
    log : CrossingLog
    """

    def __init__(self, layout: Layout, round_trips: RoundTrips, chance: random.Random):
        self.layout = layout
        self.round_trips = round_trips
        self.chance = chance
        self.unconnected: dict[BackendServer, float] = {}
        self.log = CrossingLog(layout)

    def record_unconnected(self, server: BackendServer, now: float) -> None:
        """Record that no connection to a server opened in time."""
        if not self.layout.has_regions:
            return
        recent = {s: t for s, t in self.unconnected.items() if now - t < LOST_PAUSE_S}
        self.unconnected = recent | {server: now}

    def record_answer(self, server: BackendServer) -> None:
        """Record that a server answered."""
        if self.unconnected:
            region = self.layout.region_of(server.zone)
            for other in self.in_region(region, list(self.unconnected)):
                del self.unconnected[other]

    def in_region(
        self, region: str, servers: Iterable[BackendServer]
    ) -> list[BackendServer]:
        """Return those of some servers that are in a region."""
        return [s for s in servers if self.layout.region_of(s.zone) == region]

    def lost_regions(self, listed: list[BackendServer], now: float) -> set[str]:
        """Return the regions that seem to be lost, given all listed servers."""
        if not self.unconnected:
            return set()
        times = {s.start: at for s, at in self.unconnected.items()}
        failed = [
            self.layout.region_of(server.zone)
            for server in listed
            if now - times.get(server.start, -math.inf) < LOST_PAUSE_S
        ]
        return {
            region
            for region in set(failed)
            if failed.count(region)
            >= min(LOST_SERVERS, len(self.in_region(region, listed)))
        }

    def narrow(
        self,
        servers: list[BackendServer],
        listed: list[BackendServer],
        cost: ServerCost,
        usual: float,
        has_idle: Callable[[tuple[str, int]], bool],
        now: float,
    ) -> list[BackendServer]:
        """Return the servers of one region, from which one is to be chosen.

        It is asked only where there are several regions.

        Parameters
        ----------
        servers : list of BackendServer
            Servers that may be chosen; at least one.
        listed : list of BackendServer
            All ready servers of the service, those already tried included.
        cost : callable
        usual : float
            Usual service time in seconds; 0 if unknown.
        has_idle : callable
            Returns whether there is an idle connection to an address.
        now : float
            Monotonic time in seconds.
        """
        lost = self.lost_regions(listed, now)
        region_of = self.layout.region_of
        alive = [s for s in servers if region_of(s.zone) not in lost] or servers
        near = [s for s in alive if not self.layout.is_other_region(s.zone)]
        far = [s for s in alive if self.layout.is_other_region(s.zone)]
        if not far:
            return near
        time_near = min(map(cost, near), default=math.inf)
        # A server of another region takes one service time and the round trip at least.
        if not is_earlier(1.0, time_near):
            return near
        times = [self.far_time(server, cost, usual, has_idle) for server in far]
        time_far, _, best = min(
            (time, self.chance.random(), number) for number, time in enumerate(times)
        )
        if not is_earlier(time_far, time_near):
            return near
        reason = EARLIER if near else LOST if self.own_region_in(lost) else NONE_LEFT
        self.log.record(far[best], reason, now)
        return self.in_region(region_of(far[best].zone), far)

    def own_region_in(self, lost: set[str]) -> bool:
        """Return whether the region of this process is lost."""
        return self.layout.own.region in lost

    def far_time(
        self, server: BackendServer, cost: ServerCost, usual: float, has_idle
    ) -> float:
        """Return the expected time at a server of another region.

        It includes the round trip, and another one if a connection must be opened.
        """
        count = 1.0 if has_idle(server.address) else 2.0
        seconds = self.round_trips.extra_s(server.zone, count)
        return cost(server) + seconds / (usual or ASSUMED_SERVICE_TIME_S)


def is_earlier(time: float, other: float) -> bool:
    """Return whether a time is less than another by more than the estimates' error."""
    return time + ERROR_SERVICE_TIMES < other * (1 - ERROR_SHARE)
