"""Places, distance classes and the settings that name them."""

import pytest

from gypsumshift.places import ONE_REGION, Distance, LayoutError, new_layout
from standins.users_documents import settings_text
from tests.platform_cluster import ADAPTER_FOLDER  # noqa: F401 - puts platform/ on the path
from tests.region_builders import make_layout


def load_settings(tmp_path, **fields):
    import node_settings

    file = tmp_path / "boot.conf"
    file.write_text(settings_text("p", "127.0.0.1", ("127.0.0.1", 1), **fields))
    return node_settings.load(file)


def test_a_zone_has_the_distance_class_of_its_region():
    layout = make_layout("north-a")
    assert layout.distance_to("north-a") is Distance.SAME_ZONE
    assert layout.distance_to("north-b") is Distance.SAME_REGION
    assert layout.distance_to("south-a") is Distance.OTHER_REGION
    assert layout.round_trip_s("north-a", "south-a") == 0.04


def test_without_regions_every_zone_is_in_the_same_region():
    """A deployment that names no regions must not wait longer for any server."""
    assert ONE_REGION.distance_to("x") is Distance.SAME_REGION
    assert not new_layout("a", "north").has_regions
    assert new_layout("a", "north").distance_to("b") is Distance.SAME_REGION


def test_a_zone_without_a_region_is_far_and_its_region_unknown():
    """Two zones that no setting names must not count as one region."""
    layout = make_layout("north-a")
    assert layout.distance_to("new") is Distance.OTHER_REGION
    assert layout.distance("new", "newer") is Distance.OTHER_REGION
    assert layout.region_of("new") == ""


def test_settings_name_the_region_and_the_zones(tmp_path):
    zones = {"zones.here": "north", "zones.b": "south"}
    layout = load_settings(tmp_path, region="north", **zones).layout
    assert layout.own.zone == "here" and layout.own.region == "north"
    assert layout.regions == {"here": "north", "b": "south"}


def test_the_region_is_that_of_the_zone_if_only_zones_are_named(tmp_path):
    layout = load_settings(tmp_path, **{"zones.here": "north"}).layout
    assert layout.own.region == "north"


def test_settings_without_regions_give_the_layout_of_one_region(tmp_path):
    layout = load_settings(tmp_path).layout
    assert not layout.has_regions and layout.own.region == ""


def test_contradictory_regions_are_an_error(tmp_path):
    """A process in the wrong region would send bodies outside their homes."""
    import node_settings

    with pytest.raises(LayoutError):
        new_layout("a", "north", [("a", "south")])
    with pytest.raises(node_settings.SettingsError):
        load_settings(tmp_path, region="north", **{"zones.here": "south"})
