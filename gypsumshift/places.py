"""Places: availability zones, their regions, and the distances between them.

A deployment in one region is the usual case. Its layout names no regions, all its zones
count as one region, and no decision depends on this module.
"""

import enum
from collections.abc import Iterable, Mapping

import attrs

__all__ = [
    "ONE_REGION",
    "UNKNOWN_REGION",
    "Distance",
    "Layout",
    "LayoutError",
    "Place",
    "new_layout",
]

# Region of a zone that no setting assigns to one. No route or workspace can have it as
# its home.
UNKNOWN_REGION = ""


class LayoutError(ValueError):
    """The settings assign a zone to two regions."""


class Distance(enum.IntEnum):
    """Distance class of two zones; nearer classes are less."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2

    @property
    def label(self) -> str:
        """Value of the class in metrics and log lines."""
        return self.name.lower()


# Round trips in seconds before any connection was measured, by distance class: 1 and
# 3 ms are usual inside a region, 40 ms between regions.
INITIAL_ROUND_TRIP_S = {
    Distance.SAME_ZONE: 0.001,
    Distance.SAME_REGION: 0.003,
    Distance.OTHER_REGION: 0.04,
}


@attrs.frozen
class Place:
    """Where a process, server or host is.

    Attributes
    ----------
    zone : str
        Availability zone; empty if unknown.
    region : str
        Region of the zone; empty if unknown.
    """

    zone: str = ""
    region: str = UNKNOWN_REGION


@attrs.frozen
class Layout:
    """The zones of a deployment, seen from the place of one process.

    Attributes
    ----------
    own : Place
        Place of this process.
    regions : mapping
        Region by zone.
    has_regions : bool
        Whether the deployment has more than one region.
    """

    own: Place = Place()
    regions: Mapping[str, str] = attrs.field(factory=dict, hash=False)
    has_regions: bool = attrs.field(init=False)

    @has_regions.default
    def count_regions(self) -> bool:
        """Return whether the deployment has more than one region."""
        return len(set(self.regions.values())) > 1

    @property
    def job_region(self) -> str:
        """Region in which jobs accepted here run first; empty if there is only one."""
        return self.own.region if self.has_regions else ""

    def region_of(self, zone: str) -> str:
        """Return the region of a zone; `UNKNOWN_REGION` if no setting names it."""
        return self.regions.get(zone, UNKNOWN_REGION)

    def distance(self, zone: str, other: str) -> Distance:
        """Return the distance class of two zones.

        In a layout with regions, a zone of unknown region counts as far: a time limit
        that is too long does less harm there than a server that is taken for dead.
        """
        if zone == other:
            return Distance.SAME_ZONE
        if not self.has_regions:
            return Distance.SAME_REGION
        region = self.region_of(zone)
        near = region != UNKNOWN_REGION and region == self.region_of(other)
        return Distance.SAME_REGION if near else Distance.OTHER_REGION

    def distance_to(self, zone: str) -> Distance:
        """Return the distance class of a zone from this process."""
        return self.distance(self.own.zone, zone)

    def is_other_region(self, zone: str) -> bool:
        """Return whether a zone is in another region than this process."""
        return self.distance_to(zone) is Distance.OTHER_REGION

    def round_trip_s(self, zone: str, other: str) -> float:
        """Return the round trip between two zones that their distance suggests."""
        return INITIAL_ROUND_TRIP_S[self.distance(zone, other)]


# Layout of a deployment whose settings name no regions.
ONE_REGION = Layout()


def new_layout(zone: str, region: str, zones: Iterable[tuple[str, str]] = ()) -> Layout:
    """Return the layout of a process.

    Parameters
    ----------
    zone, region : str
        Zone and region of the process; the region is empty if unknown.
    zones : iterable of (str, str)
        Further zones with their regions.

    Raises
    ------
    LayoutError
        If the region of the process contradicts that of its zone.
    """
    regions = dict(zones)
    listed = regions.get(zone, region)
    if region and listed != region:
        raise LayoutError(f"zone {zone} is in the regions {listed} and {region}")
    if listed:
        regions[zone] = listed
    return Layout(Place(zone, listed), regions)
