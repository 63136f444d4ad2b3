"""Choice of other processes by region: few messages cross regions."""

import asyncio
import collections
import random

import pytest

from gypsumshift.httpclient import FetchError
from gypsumshift.jobs.liveness import FAR_SILENCE, HttpLivenessProbe
from gypsumshift.jobs.records import Claim
from gypsumshift.neighbours import Neighbour
from gypsumshift.peerchoice import (
    choose_exchange_peer,
    choose_probed,
    choose_receivers,
)
from gypsumshift.places import ONE_REGION, Distance
from gypsumshift.storepath import PROBE_TIMEOUT_S, StorePath
from tests.builders import ManualClock
from tests.region_builders import ZONES, make_layout

LAYOUT = make_layout()
# Six processes in each zone.
KNOWN = [
    Neighbour(f"{zone}-{n}", ("10.0.0.1", n), zone)
    for zone, _ in ZONES
    for n in range(6)
]
DRAWS = 20_000


def classes(chosen):
    return [LAYOUT.distance_to(neighbour.zone) for neighbour in chosen]


@pytest.mark.parametrize("share", [0.1, 0.35])
def test_fewer_exchanges_cross_regions_than_with_a_choice_among_all(share):
    """Two thirds of the exchanges that left the zone crossed regions before."""
    chance = random.Random(1)
    draws = [choose_exchange_peer(KNOWN, LAYOUT, share, chance) for _ in range(DRAWS)]
    counts = collections.Counter(classes(draws))
    before = share * 24 / 36
    assert 0.4 * before < counts[Distance.OTHER_REGION] / DRAWS < 0.6 * before
    assert 0.9 * (1 - share) < counts[Distance.SAME_ZONE] / DRAWS < 1.1 * (1 - share)


def test_a_process_alone_in_its_region_exchanges_with_other_regions():
    """Otherwise it would know nothing of them, nor they of it."""
    far = [n for n in KNOWN if n.zone.startswith("south")]
    assert choose_exchange_peer(far, LAYOUT, 0.1, random.Random(1)) in far
    assert choose_exchange_peer([], LAYOUT, 0.1, random.Random(1)) is None


def test_relays_are_searched_in_each_distance_class_nearest_first():
    """A whole region may be disconnected from the store."""
    shuffled = random.Random(1).sample(KNOWN, len(KNOWN))
    assert classes(choose_probed(shuffled, LAYOUT, 3)) == list(Distance)
    near = [n for n in shuffled if n.zone == "north-a"]
    assert len(choose_probed(near, LAYOUT, 3)) == 3
    assert len(choose_probed(near[:1], LAYOUT, 3)) == 1


def test_a_crash_is_sent_to_one_process_of_another_region_at_most():
    chance = random.Random(1)
    for _ in range(50):
        chosen = choose_receivers(KNOWN, LAYOUT, 3, chance)
        assert len(set(chosen)) == 3
        assert classes(chosen).count(Distance.OTHER_REGION) <= 1
    far = [n for n in KNOWN if n.zone.startswith("south")]
    assert len(choose_receivers(far, LAYOUT, 3, chance)) == 3


def make_path(layout):
    fetcher = SilentFetcher()
    path = StorePath(
        ("10.1.0.1", 1),
        fetcher,
        ManualClock(),
        random.Random(1),
        "north-a",
        [],
        layout=layout,
    )
    path.neighbours = {n.name: n for n in KNOWN}
    return path


class SilentFetcher:
    """Fetcher whose calls all fail; records their timeouts."""

    def __init__(self):
        self.timeouts = []
        self.refused = False

    async def fetch(self, address, method, target, timeout):
        self.timeouts.append(timeout)
        raise FetchError("no answer", False, refused=self.refused)


@pytest.mark.parametrize(("layout", "extra"), [(ONE_REGION, 0.0), (LAYOUT, 2 * 0.04)])
def test_probes_of_another_region_have_time_for_two_round_trips_more(layout, extra):
    path = make_path(layout)
    asyncio.run(path.probe_neighbour(path.neighbours["north-b-1"]))
    asyncio.run(path.probe_neighbour(path.neighbours["south-a-1"]))
    assert path.fetcher.timeouts == [PROBE_TIMEOUT_S, PROBE_TIMEOUT_S + extra]


def test_silence_of_another_region_is_no_evidence_of_death_at_once():
    """A region that is cut off for a moment keeps its units."""
    path = make_path(LAYOUT)
    probe = HttpLivenessProbe(path)

    def is_alive(name):
        return asyncio.run(probe.is_alive(Claim(name, f"session-{name}")))

    assert not is_alive("north-b-1")
    assert is_alive("south-a-1")
    path.clock.advance(FAR_SILENCE / 2)
    assert is_alive("south-a-1")
    path.clock.advance(FAR_SILENCE / 2)
    assert not is_alive("south-a-1")
    path.fetcher.refused = True
    assert not is_alive("west-a-1"), "a process that is gone refuses connections"


def test_silence_is_evidence_of_death_in_one_region():
    probe = HttpLivenessProbe(make_path(ONE_REGION))
    assert not asyncio.run(probe.is_alive(Claim("south-a-1", "s")))
