"""Choice between the servers of the own region and those of others.

The own region comes first. Another one is used if it is expected to be earlier by more
than the error of the estimates, or if the own one seems to be lost.
"""

from collections.abc import Callable

from gypsumshift.places import Layout
from gypsumshift.roundtrips import RoundTrips
from gypsumshift.serving.directory import BackendServer, ServerStart

__all__ = ["ERROR_SHARE", "RegionChoice"]

# Error of an expected time: a share of it, and some usual service times. Reported loads
# are a few service times old, and answer times vary by a quarter.
ERROR_SHARE = 0.25
ERROR_SERVICE_TIMES = 0.5
# Service time in seconds that is assumed before any answer was measured; short, so that
# a round trip to another region seems long and the own region is used.
ASSUMED_SERVICE_TIME_S = 0.03
# Servers of the own region to which no connection opened, without an answer of another
# one since, after which the region counts as lost. A single one is usual.
LOST_SERVERS = 2
# Seconds after the last such failure until the own region is tried again. A call that
# finds it still lost goes elsewhere after the connect hedge delay.
LOST_PAUSE_S = 1.0

# Returns the expected time of a request at a server, in usual service times.
ServerCost = Callable[[BackendServer], float]


class RegionChoice:
    """Chooses between regions for one process.

    Parameters
    ----------
    layout : Layout
    round_trips : RoundTrips

    Attributes
    ----------
    unconnected : dict
        Monotonic time by server of the own region, of failures to connect since a
        server of the region answered.
    """

    def __init__(self, layout: Layout, round_trips: RoundTrips):
        self.layout = layout
        self.round_trips = round_trips
        self.unconnected: dict[ServerStart, float] = {}

    def record_unconnected(self, server: BackendServer, now: float) -> None:
        """Record that no connection to a server opened in time."""
        if self.layout.has_regions and not self.layout.is_other_region(server.zone):
            self.unconnected[server.start] = now

    def record_answer(self, server: BackendServer) -> None:
        """Record that a server answered."""
        if self.unconnected and not self.layout.is_other_region(server.zone):
            self.unconnected.clear()

    def is_lost(self, near: list[BackendServer], now: float) -> bool:
        """Return whether the own region seems to be lost, given its servers."""
        recent = [at for at in self.unconnected.values() if now - at < LOST_PAUSE_S]
        return len(recent) >= min(LOST_SERVERS, len(near))

    def narrow(
        self,
        servers: list[BackendServer],
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
        cost : callable
        usual : float
            Usual service time in seconds; 0 if unknown.
        has_idle : callable
            Returns whether there is an idle connection to an address.
        now : float
            Monotonic time in seconds.
        """
        near = [s for s in servers if not self.layout.is_other_region(s.zone)]
        far = [s for s in servers if self.layout.is_other_region(s.zone)]
        if not near or not far:
            return near or self.nearest(far, cost, usual, has_idle)
        if self.is_lost(near, now):
            return self.nearest(far, cost, usual, has_idle)
        time_near = min(map(cost, near))
        # A server of another region takes one service time and the round trip at least.
        if not is_earlier(1.0, time_near):
            return near
        best = self.nearest(far, cost, usual, has_idle)
        time_far = self.far_time(best[0], cost, usual, has_idle)
        return best if is_earlier(time_far, time_near) else near

    def nearest(self, far, cost: ServerCost, usual: float, has_idle):
        """Return the server of other regions with the shortest expected time."""
        return [min(far, key=lambda s: self.far_time(s, cost, usual, has_idle))]

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
