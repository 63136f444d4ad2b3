"""Availability zones that the operator has evacuated: nothing is sent to their servers.

Each process follows the operator's order by itself, like the configuration. A process
that cannot follow the store learns of a change from the digests of other processes
(`EvacuationSection`). The newest version of an order wins, whoever delivers it.
"""

import math
from collections.abc import Callable, Mapping

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock, SystemClock
from gypsumshift.digests import DigestSection

__all__ = ["ZONE_EVACUATED", "EvacuationSection", "Evacuations", "ZoneOrder"]

# Reason of a request that was not sent because of an evacuation.
ZONE_EVACUATED = "the server's availability zone is evacuated"

# Time for which digests contain the end of an evacuation. Exchanges with processes of
# another zone take place every 10 s on average.
END_REPORT_SECONDS = 60.0
# The same after a process reported an evacuation that has ended.
CORRECTION_SECONDS = 10.0
# Largest age of an order in a digest; also stands for an unknown age.
MAX_AGE_SECONDS = 86_400.0
# Limits of what is accepted from other processes and kept.
MAX_ZONES = 64
MAX_ZONE_LENGTH = 200

log = logs.logger("evacuations")


@attrs.frozen
class ZoneOrder:
    """Newest known order of the operator about one availability zone.

    Attributes
    ----------
    version : int
        Version of the row, of its removal, or of a table that does not contain it.
    evacuated : bool
    known_at : float
        Time since when a process has known it, by this process's monotonic clock, in
        seconds; minus infinity if that is unknown.
    """

    version: int
    evacuated: bool
    known_at: float

    @property
    def rank(self) -> tuple[int, bool]:
        """Sort key: of two orders, the higher one is in force.

        A table that does not contain a row of its own version was read after the row
        had been removed.
        """
        return (self.version, not self.evacuated)


class Evacuations:
    """Orders to evacuate availability zones, as this process knows them.

    Parameters
    ----------
    clock : Clock or None
        The system's clock by default.

    Attributes
    ----------
    orders : dict
        `ZoneOrder` by zone, also for evacuations that have ended: an older order that
        arrives late must not take effect.
    zones : set of str
        Zones that are evacuated now.
    loaded : bool
        Whether the operator's table was read. Until then, requests are accepted for no
        server, as its zone may be evacuated.
    table_version : callable
        Returns the version up to which this process has all changes of the operator's
        table; -1 if it has none.
    last_sends : dict
        Monotonic time of the last request that this process sent, by zone.
    count_running : callable or None
        Returns how many items this process's engine generates in an evacuated zone.
    reported_until : dict
        Monotonic time until which digests contain the end of an evacuation, by zone.
    last_return_at : float
        Monotonic time at which the end of an evacuation was last received.
    on_begin, on_return : list of callable
        Called with the name of a zone when its evacuation begins or ends.
    on_change : list of callable
        Called without arguments before either.
    """

    def __init__(self, clock: Clock | None = None):
        self.clock = clock or SystemClock()
        self.orders: dict[str, ZoneOrder] = {}
        self.zones: set[str] = set()
        self.loaded = True
        self.table_version: Callable[[], int] = lambda: -1
        self.last_sends: dict[str, float] = {}
        self.count_running: Callable[[], int] | None = None
        self.on_begin: list[Callable[[str], None]] = []
        self.on_return: list[Callable[[str], None]] = []
        self.on_change: list[Callable[[], None]] = []
        self.reported_until: dict[str, float] = {}
        self.last_return_at = -math.inf

    def accepts(self, zone: str) -> bool:
        """Return whether requests may be sent to the servers of a zone."""
        return self.loaded and zone not in self.zones

    def record_send(self, zone: str) -> None:
        """Record that a request is sent to a server of a zone now."""
        self.last_sends[zone] = self.clock.monotonic()

    def apply_row(
        self, zone: str, version: int, evacuated: bool, age: float = 0.0
    ) -> None:
        """Apply a changed row of the operator's table; see `apply`."""
        self.apply(zone, version, evacuated, age, "store")

    def apply_table(
        self, versions: Mapping[str, int], version: int, age: float
    ) -> None:
        """Apply a read of the operator's whole table, which contains every evacuation.

        Parameters
        ----------
        versions : mapping
            Version of the row by zone.
        version : int
            Version of the table. Orders that are newer stay in force: another process
            may have reported them, or the table was read some time ago.
        age : float
            Age of the copy in seconds.
        """
        self.loaded = True
        for zone, row_version in versions.items():
            self.apply(zone, row_version, True, age, "store")
        for zone in self.zones - versions.keys():
            self.apply(zone, version, False, age, "store")

    def apply(
        self, zone: str, version: int, evacuated: bool, age: float, source: str
    ) -> None:
        """Apply an order unless one as new is known; log what changes.

        Parameters
        ----------
        zone : str
        version : int
        evacuated : bool
            Whether the zone is evacuated as of that version.
        age : float
            Seconds for which the order has been known to any process.
        source : str
            Where the order comes from, for the log.
        """
        known = self.orders.get(zone)
        if known is not None and (version, not evacuated) <= known.rank:
            return
        if known is None and len(self.orders) >= MAX_ZONES and not self.make_room():
            log.error("Evacuation of zone {} ignored: too many are known.", zone)
            return
        order = ZoneOrder(version, evacuated, self.clock.monotonic() - age)
        self.orders[zone] = order
        was_evacuated = zone in self.zones
        if evacuated:
            self.begin(zone, order, source, was_evacuated)
        elif was_evacuated:
            self.end(zone, order, known, source)

    def make_room(self) -> bool:
        """Remove the oldest order that has ended; return whether there was one."""
        ended = [zone for zone in self.orders if zone not in self.zones]
        if ended:
            del self.orders[min(ended, key=lambda zone: self.orders[zone].version)]
        return bool(ended)

    def begin(
        self, zone: str, order: ZoneOrder, source: str, was_evacuated: bool
    ) -> None:
        """Put an evacuation in force."""
        self.zones.add(zone)
        self.reported_until.pop(zone, None)
        logs.event(
            log,
            "The evacuation of an availability zone was ordered again."
            if was_evacuated
            else "An availability zone is evacuated; its servers get no requests.",
            zone=zone,
            version=order.version,
            age_s=self.seconds_since(order.known_at),
            source=source,
            last_request_s=self.seconds_since(self.last_sends.get(zone, -math.inf)),
        )
        if not was_evacuated:
            self.notify(self.on_begin, zone)

    def end(self, zone: str, order: ZoneOrder, known: ZoneOrder, source: str) -> None:
        """End an evacuation."""
        self.zones.discard(zone)
        self.last_return_at = self.clock.monotonic()
        self.reported_until[zone] = self.clock.monotonic() + END_REPORT_SECONDS
        logs.event(
            log,
            "The evacuation of an availability zone ended; its servers get requests.",
            zone=zone,
            version=order.version,
            age_s=self.seconds_since(order.known_at),
            source=source,
            lasted_s=self.seconds_since(known.known_at),
        )
        self.notify(self.on_return, zone)

    def notify(self, callbacks: list[Callable[[str], None]], zone: str) -> None:
        """Call the callbacks of a change, first those that discard derived data."""
        for changed in self.on_change:
            changed()
        for callback in callbacks:
            callback(zone)

    def seconds_since(self, at: float) -> float | None:
        """Return the seconds since a monotonic time; None if it is unknown."""
        return round(self.clock.monotonic() - at, 3) if at > -math.inf else None

    def returned_within(self, seconds: float) -> bool:
        """Return whether an evacuation ended within the last seconds."""
        return self.clock.monotonic() - self.last_return_at < seconds

    def merge_report(
        self, zone: str, version: int, evacuated: bool, age: float
    ) -> None:
        """Merge what another process reported about a zone.

        The operator's table decides as far as this process has received it. An
        evacuation that is no longer in it has ended, and is reported as ended for some
        time, so that the other process learns of it.
        """
        table_version = self.table_version()
        if version > table_version:
            self.apply(zone, version, evacuated, age, "neighbour")
        elif evacuated and zone not in self.zones:
            self.correct(zone, table_version)

    def correct(self, zone: str, table_version: int) -> None:
        """Report that an evacuation that another process still knows has ended."""
        if zone not in self.orders and len(self.orders) < MAX_ZONES:
            self.orders[zone] = ZoneOrder(table_version, False, -math.inf)
        until = self.clock.monotonic() + CORRECTION_SECONDS
        self.reported_until[zone] = max(self.reported_until.get(zone, 0.0), until)

    def reported_orders(self) -> dict[str, ZoneOrder]:
        """Return the orders that digests contain, by zone."""
        now = self.clock.monotonic()
        for zone in [z for z, until in self.reported_until.items() if until <= now]:
            del self.reported_until[zone]
        return {
            zone: order
            for zone, order in self.orders.items()
            if len(zone) <= MAX_ZONE_LENGTH
            and (order.evacuated or zone in self.reported_until)
        }

    def gauges(self) -> dict[str, float]:
        """Return the current figures by name; none while no zone is evacuated."""
        figures: dict[str, float] = {}
        now = self.clock.monotonic()
        for zone in sorted(self.zones):
            since = self.orders[zone].known_at
            if since > -math.inf:
                figures[f"evacuated_seconds.{zone}"] = now - since
            if zone in self.last_sends:
                age = now - self.last_sends[zone]
                figures[f"evacuated_last_request_seconds.{zone}"] = age
        if self.zones and self.count_running is not None:
            figures["evacuated_running_items"] = self.count_running()
        return figures


class EvacuationSection(DigestSection):
    """Section of a digest with the newest orders by zone; absent without any.

    Parameters
    ----------
    evacuations : Evacuations
    """

    name = "evacuations"

    def __init__(self, evacuations: Evacuations):
        self.evacuations = evacuations

    def encode(self) -> dict[str, list] | None:
        """Return version, state and age in seconds by zone; None without any."""
        orders = self.evacuations.reported_orders()
        now = self.evacuations.clock.monotonic()
        encoded = {
            zone: [
                order.version,
                order.evacuated,
                round(min(now - order.known_at, MAX_AGE_SECONDS), 1),
            ]
            for zone, order in orders.items()
        }
        return encoded or None

    def merge(self, value: object) -> None:
        """Merge the orders that another process knows; raise ValueError if invalid."""
        if not isinstance(value, dict) or len(value) > MAX_ZONES:
            raise ValueError("invalid evacuations: not an object of a few zones")
        reports = [decode_report(zone, row) for zone, row in value.items()]
        for report in reports:
            self.evacuations.merge_report(*report)


def decode_report(zone: str, row: object) -> tuple[str, int, bool, float]:
    """Return zone, version, state and age of a report; raise ValueError if invalid."""
    if not zone or len(zone) > MAX_ZONE_LENGTH:
        raise ValueError("invalid evacuation: empty or too long name of a zone")
    if not isinstance(row, list) or len(row) != 3:
        raise ValueError("invalid evacuation: not a version, a state and an age")
    version, evacuated, age = row
    if type(version) is not int or version < 0 or type(evacuated) is not bool:
        raise ValueError("invalid evacuation: invalid version or state")
    if type(age) not in (int, float) or not math.isfinite(age):
        raise ValueError("invalid evacuation: the age is not a finite number")
    return zone, version, evacuated, max(float(age), 0.0)
