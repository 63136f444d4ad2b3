"""Builders for tests with several regions."""

from gypsumshift.places import new_layout

REGIONS = ("north", "south", "west")
ZONES = tuple((f"{region}-{zone}", region) for region in REGIONS for zone in "ab")


def make_layout(zone="north-a"):
    """Return the layout of three regions with two zones each, seen from one zone."""
    return new_layout(zone, "", ZONES)
