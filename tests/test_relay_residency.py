"""Store calls with bodies are relayed only by processes in the job's homes."""

import asyncio
import random

import attrs
import pytest

from gypsumshift.httpclient import FetchedResponse
from gypsumshift.jobs import split_into_units
from gypsumshift.jobs.records import CLAIMS, PARTIALS, RESULTS, UNITS
from gypsumshift.jobs.rowcodec import to_row
from gypsumshift.jobs.storeresidency import StoreResidency
from gypsumshift.neighbours import Neighbour
from gypsumshift.platforms import Write
from gypsumshift.residency import ResidencyRules
from gypsumshift.serving import Directory
from gypsumshift.storepath import StorePath
from tests.builders import ManualClock
from tests.job_builders import items, job
from tests.platform_cluster import ADAPTER_FOLDER  # noqa: F401 - puts platform/ on the path
from tests.region_builders import ZONES, make_layout
from tests.region_world import WORKSPACE, make_routes

STORE = ("10.1.0.1", 1)
ANSWER = b'{"ver": 1, "rows": [], "has_more": false, "parts": []}'
UNITS_OF_JOB = split_into_units(items(1, 1, "job"))
JOB = job(UNITS_OF_JOB, "w/job")


class RecordingFetcher:
    """Replacement of a `Fetcher` that records the addresses of all calls."""

    def __init__(self):
        self.addresses = []

    async def fetch(self, address, method, target, headers, body, timeout):
        self.addresses.append(address)
        return FetchedResponse(200, [], ANSWER)


@attrs.define
class Host:
    """A process in the zone ``north-a`` that calls the store through neighbours."""

    store: object
    path: StorePath
    residency: StoreResidency
    known: list[Neighbour]

    def receiver(self):
        """Return the zone that received the last call; None for the store itself."""
        zones = {neighbour.address: neighbour.zone for neighbour in self.known}
        return zones.get(self.path.fetcher.addresses[-1])


def make_host(homes=(), workspace_homes=(), relays=("south-a", "north-b")):
    from row_store import PlatformStore

    directory, layout = Directory(), make_layout()
    directory.set_routes(make_routes(1, {"/run/": homes}, workspace_homes))
    path = StorePath(
        STORE,
        RecordingFetcher(),
        ManualClock(),
        random.Random(1),
        "north-a",
        [],
        layout=layout,
    )
    found = [
        Neighbour(f"p-{zone}", ("10.2.0.1", n), zone)
        for n, (zone, _) in enumerate(ZONES)
    ]
    path.able = [n for zone in relays for n in found if n.zone == zone]
    path.via = path.able[0]
    residency = StoreResidency(ResidencyRules(directory, layout))
    residency.find_job = {JOB.id: JOB}.get
    store = PlatformStore(path, residency)
    return Host(store, path, residency, found)


def write(table=UNITS, part=JOB.id):
    return Write(table, "00000", to_row(UNITS_OF_JOB[0]), part=part)


def test_without_homes_the_relay_in_use_carries_all_calls():
    host = make_host()
    asyncio.run(host.store.commit([write()]))
    assert host.receiver() == "south-a"


@pytest.mark.parametrize("table", [UNITS, PARTIALS, RESULTS])
def test_a_write_with_bodies_takes_a_relay_in_the_homes(table):
    """The relay in use was chosen by distance, and may be in any region."""
    host = make_host(homes=("north",))
    asyncio.run(host.store.commit([write(table)]))
    assert host.receiver() == "north-b"
    asyncio.run(host.store.scan(table, "", JOB.id))
    assert host.receiver() == "north-b", "the answer of a read carries bodies, too"


def test_any_process_in_the_homes_is_tried_if_no_known_relay_is_there():
    """Only one process of other regions is probed, which may be in none of them."""
    host = make_host(homes=("west",))
    host.path.neighbours = {n.name: n for n in host.known}
    for _ in range(10):
        asyncio.run(host.store.commit([write()]))
        assert host.receiver().startswith("west")


def test_a_write_with_bodies_goes_directly_if_no_process_is_in_the_homes():
    """It then fails or waits; the body must not leave its homes instead."""
    host = make_host(homes=("west",))
    asyncio.run(host.store.commit([write()]))
    assert host.path.fetcher.addresses == [STORE]


def test_homes_of_the_workspace_apply_to_relays_as_well():
    host = make_host(workspace_homes=("north",))
    host.residency.find_job = {JOB.id: attrs.evolve(JOB, workspace=WORKSPACE)}.get
    asyncio.run(host.store.commit([write()]))
    assert host.receiver() == "north-b"


def test_calls_without_bodies_take_any_relay():
    """Claims decide who runs an item; they must not depend on relays in the homes."""
    host = make_host(homes=("west",))
    asyncio.run(host.store.commit([write(CLAIMS)]))
    assert host.receiver() == "south-a"


def test_bodies_of_unknown_jobs_and_whole_tables_stay_in_the_own_region():
    host = make_host(homes=("south",))
    asyncio.run(host.store.commit([write(part="unknown")]))
    assert host.receiver() == "north-b"
    asyncio.run(host.store.snapshot(RESULTS))
    assert host.receiver() == "north-b"


def test_homes_that_change_apply_to_the_next_call():
    host = make_host(homes=("north",))
    host.residency.rules.directory.set_routes(make_routes(2, {"/run/": ("south",)}))
    asyncio.run(host.store.commit([write()]))
    assert host.receiver() == "south-a"


def test_without_the_rule_a_body_leaves_its_homes():
    host = make_host(homes=("north",))
    host.store.residency = None
    asyncio.run(host.store.commit([write()]))
    assert host.receiver() == "south-a"
