"""Expected round trips to other regions, and the time limits that follow from them.

Time limits of the code are constants that fit a round trip inside a region. To another
region they grow by the expected round trip, which is learnt from the times in which
connections opened. Inside the own region nothing is added and nothing is learnt.
"""

import statistics
from collections import deque

from gypsumshift.places import Layout

__all__ = [
    "CONNECT_ROUND_TRIPS",
    "EXCHANGE_ROUND_TRIPS",
    "RoundTrips",
]

# Round trips that a time limit adds: half as long again as the single one that a
# connection takes, and the two of an exchange on a new connection.
CONNECT_ROUND_TRIPS = 1.5
EXCHANGE_ROUND_TRIPS = 2.0
# Number of newest connection times kept for each host. The shortest of them counts: a
# host that is busy for a moment answers late, but none answers early.
TIMES_PER_HOST = 8
# Number of hosts per zone whose times are kept, and least number for the median. While
# fewer are known, the layout's round trip stands for the others, so that a single slow
# host changes nothing.
MAX_HOSTS = 16
MIN_HOSTS = 3
# Upper limit of an estimate in seconds, which also limits what it adds to a time limit:
# the longest round trips between regions on Earth take 0.3 s.
MAX_ROUND_TRIP_S = 0.4
# Number of addresses whose zones are remembered.
MAX_ADDRESSES = 4096

Address = tuple[str, int]


class RoundTrips:
    """Learns the round trips from one process to the zones of other regions.

    Parameters
    ----------
    layout : Layout

    Attributes
    ----------
    zones : dict
        Zone by address, of the addresses in other regions that were used.
    times : dict
        Newest connection times in seconds by zone and host, the newest host last.
    """

    def __init__(self, layout: Layout):
        self.layout = layout
        self.zones: dict[Address, str] = {}
        self.times: dict[str, dict[str, deque[float]]] = {}

    def note_address(self, address: Address, zone: str) -> None:
        """Remember the zone of an address to which a connection may be opened."""
        if not self.layout.has_regions or not self.layout.is_other_region(zone):
            return
        self.zones.pop(address, None)
        self.zones[address] = zone
        while len(self.zones) > MAX_ADDRESSES:
            del self.zones[next(iter(self.zones))]

    def record_connection(self, address: Address, seconds: float) -> None:
        """Record the time in which a connection to an address opened."""
        zone = self.zones.get(address)
        if zone is None:
            return
        hosts = self.times.setdefault(zone, {})
        times = hosts.pop(address[0], None) or deque(maxlen=TIMES_PER_HOST)
        times.append(seconds)
        hosts[address[0]] = times
        while len(hosts) > MAX_HOSTS:
            del hosts[next(iter(hosts))]

    def expected_s(self, zone: str) -> float:
        """Return the expected round trip to a zone in seconds."""
        initial = self.layout.round_trip_s(self.layout.own.zone, zone)
        shortest = [min(times) for times in self.times.get(zone, {}).values()]
        shortest += [initial] * (MIN_HOSTS - len(shortest))
        return min(statistics.median(shortest), MAX_ROUND_TRIP_S)

    def extra_s(self, zone: str, count: float = 1.0) -> float:
        """Return the seconds that some round trips to a zone add to a time limit.

        The limits of the own region are long enough already, so they stay as they are.
        """
        if not self.layout.has_regions or not self.layout.is_other_region(zone):
            return 0.0
        return count * self.expected_s(zone)
