"""Which zones are evacuated, by the operator's table and the digests of others.

Guards against requests to a zone that the operator evacuated, and against a zone that
stays unused after its evacuation ended. Both happen if an older order that arrives late
takes effect, or if a removal is missed.
"""

import math
import random

import pytest

from gypsumshift.platforms import Changes, Row
from gypsumshift.serving import BackendServer, Directory
from gypsumshift.serving.evacuations import (
    CORRECTION_SECONDS,
    END_REPORT_SECONDS,
    MAX_ZONES,
    Evacuations,
    EvacuationSection,
)
from gypsumshift.serving.routes import EngineLimits, RouteTable, Service
from tests import platform_cluster  # noqa: F401  (adds the adapter's folder to sys.path)
from tests.builders import ManualClock


def zone_row(zone, version, present=True):
    return Row("op", f"evacuate/{zone}", version, {} if present else None)


class Host:
    """Directory, feed and digest section of one process."""

    def __init__(self, clock=None):
        import directory_feed

        self.clock = clock or ManualClock()
        self.directory = Directory(self.clock)
        self.feed = directory_feed.DirectoryFeed(self.directory, None, self.clock)
        self.watch = self.feed.operator_watch
        self.section = EvacuationSection(self.directory.evacuations)
        self.returned = []
        self.directory.on_zone_return.append(self.returned.append)

    @property
    def zones(self):
        return self.directory.evacuations.zones

    def receive(self, version, *rows):
        """Receive an answer of the change feed."""
        self.watch.accept_answer(Changes(list(rows), version), whole=False)

    def read(self, version, *rows):
        """Receive the whole table."""
        self.watch.accept_answer(Changes(list(rows), version), whole=True)

    def exchange(self, other):
        """Send a digest to another process, and merge its answer, as `Gossip` does."""
        if (sent := self.section.encode()) is not None:
            other.section.merge(sent)
        if (answer := other.section.encode()) is not None:
            self.section.merge(answer)


def read_host(version=1, clock=None):
    host = Host(clock)
    host.read(version)
    return host


def backend(name="s", zone="east", service="app"):
    return BackendServer(name, service, ("10.0.0.1", 1), zone)


def test_servers_of_an_evacuated_zone_are_left_out_until_the_row_is_removed():
    host = read_host()
    engines = Service("pool", EngineLimits(1, ()))
    host.directory.set_routes(RouteTable(1, [], [engines], 0))
    east, west = backend("e"), backend("w", "west")
    engine = backend("x", service="pool")
    for one in (east, west, engine):
        host.directory.set_server(one)
    host.receive(2, zone_row("east", 2))
    assert host.directory.ready_servers("app") == [west]
    assert host.directory.ready_engines() == []
    assert host.directory.all_ready_engines() == [engine], "its agent writes heartbeats"
    assert not host.directory.accepts_requests(east)
    assert host.directory.accepts_requests(west)
    assert host.directory.is_service_evacuated("pool")
    assert not host.directory.is_service_evacuated("app")
    host.receive(3, zone_row("east", 3, present=False))
    assert host.directory.ready_servers("app") == [east, west]
    assert host.directory.ready_engines() == [engine]
    assert host.returned == ["east"]


def test_an_evacuation_that_a_whole_read_does_not_contain_has_ended():
    """After a loss of the change history, no removal of the row is delivered."""
    host = read_host()
    host.receive(2, zone_row("east", 2), zone_row("west", 2))
    host.read(7, zone_row("west", 2))
    assert host.zones == {"west"}
    assert host.returned == ["east"]


def test_a_whole_read_older_than_an_order_from_a_neighbour_does_not_end_it():
    """A table may be read by another process, up to a second before."""
    host = Host()
    host.section.merge({"east": [9, True, 0.5]})
    host.read(8)
    assert host.zones == {"east"}
    host.read(9)
    assert not host.zones


def test_no_request_is_accepted_before_the_operators_table_was_read():
    host = Host()
    assert not host.directory.accepts_requests(backend())
    host.read(1)
    assert host.directory.accepts_requests(backend())


def test_an_order_within_one_answer_as_its_removal_counts_by_version():
    host = read_host()
    host.receive(2, zone_row("east", 2))
    host.receive(4, zone_row("east", 4))
    assert host.zones == {"east"} and host.returned == []
    host.directory.evacuations.apply_row("east", 3, False)
    assert host.zones == {"east"}, "the removal before the second order came late"


def test_digests_contain_nothing_while_no_evacuation_is_known():
    host, other = read_host(), read_host()
    assert host.section.encode() is None
    host.receive(2, zone_row("east", 2))
    host.exchange(other)
    assert other.zones == {"east"}
    host.receive(3, zone_row("east", 3, present=False))
    host.exchange(other)
    assert not other.zones and other.returned == ["east"]
    for one in (host, other):
        one.clock.advance(END_REPORT_SECONDS + 1)
        assert one.section.encode() is None


def test_the_end_reaches_a_process_that_was_cut_off_for_long():
    """Its neighbours do not send the end any more when it returns."""
    clock = ManualClock()
    host, cut_off = read_host(1, clock), Host(clock)
    host.receive(2, zone_row("east", 2))
    host.exchange(cut_off)
    host.receive(3, zone_row("east", 3, present=False))
    clock.advance(10 * END_REPORT_SECONDS)
    cut_off.exchange(host)
    assert not cut_off.zones
    clock.advance(CORRECTION_SECONDS + END_REPORT_SECONDS)
    assert host.section.encode() is None


def test_a_process_that_read_the_table_later_corrects_an_evacuation_that_has_ended():
    clock = ManualClock()
    cut_off, restarted = Host(clock), read_host(9, clock)
    cut_off.section.merge({"east": [2, True, 0.0]})
    cut_off.exchange(restarted)
    assert not restarted.zones and not cut_off.zones


def test_the_table_decides_against_digests_as_far_as_it_was_received():
    host = read_host()
    host.receive(5, zone_row("east", 2))
    host.section.merge({"east": [4, False, 0.0]})
    assert host.zones == {"east"}
    host.section.merge({"east": [6, False, 0.0]})
    assert not host.zones


@pytest.mark.parametrize("seed", range(20))
def test_all_processes_agree_with_the_table_whatever_order_the_news_take(seed):
    """Some follow the table, some only exchange digests, with late deliveries."""
    chance, clock = random.Random(seed), ManualClock()
    followers = [read_host(1, clock) for _ in range(3)]
    others = [Host(clock) for _ in range(3)]
    history, late, version = [], [], 1
    for _ in range(60):
        clock.advance(chance.random())
        if chance.random() < 0.3:
            version += 1
            zone = chance.choice(["east", "west"])
            history.append(zone_row(zone, version, chance.random() < 0.5))
        for host in followers:
            if chance.random() < 0.3:
                known = host.watch.version
                news = {r.key: r for r in history if r.version > known}
                host.receive(version, *news.values())
            elif chance.random() < 0.1:
                newest = {r.key: r for r in history}
                rows = [r for r in newest.values() if r.value is not None]
                host.watch.oldest_accepted_version = max(host.watch.version, 0)
                host.watch.version = -1
                host.read(version, *rows)
        for host in others:
            sender = chance.choice(followers + others)
            late.append((host, sender.section.encode()))
            host.exchange(chance.choice(followers + others))
        if late and chance.random() < 0.5:
            receiver, digest = late.pop(chance.randrange(len(late)))
            receiver.section.merge(digest or {})
    newest = {r.key: r for r in history}
    expected = {
        key.removeprefix("evacuate/") for key, row in newest.items() if row.value == {}
    }
    for host in followers:
        host.receive(version, *newest.values())
    for host in others:
        for follower in followers:
            host.exchange(follower)
    for host in followers + others:
        assert host.zones == expected


@pytest.mark.parametrize(
    "value",
    [
        [],
        {"": [1, True, 0.0]},
        {"z" * 201: [1, True, 0.0]},
        {"z": [1, True]},
        {"z": [1, 1, 0.0]},
        {"z": [True, True, 0.0]},
        {"z": [-1, True, 0.0]},
        {"z": [1, True, math.nan]},
        {"z": [1, True, "0"]},
        {str(n): [1, True, 0.0] for n in range(MAX_ZONES + 1)},
    ],
)
def test_an_invalid_section_is_rejected_as_a_whole(value):
    host = Host()
    if isinstance(value, dict):
        value = {"valid": [1, True, 0.0]} | value
    with pytest.raises(ValueError):
        host.section.merge(value)
    assert not host.zones


def test_the_number_of_known_zones_is_limited():
    evacuations = Evacuations(ManualClock())
    for number in range(2 * MAX_ZONES):
        evacuations.apply_row(f"z{number}", 2 * number + 1, True)
        evacuations.apply_row(f"z{number}", 2 * number + 2, False)
    assert len(evacuations.orders) == MAX_ZONES
    for number in range(2 * MAX_ZONES):
        evacuations.apply_row(f"y{number}", 1000 + number, True)
    assert len(evacuations.zones) == MAX_ZONES


def test_a_row_evacuates_its_zone_whatever_it_holds():
    from row_store import decode_row

    raw = {"table": "op", "key": "evacuate/east", "ver": 2, "value": "/w=="}
    host = read_host()
    host.receive(2, decode_row(raw))
    assert host.zones == {"east"}
    host.read(3, decode_row(raw))
    assert host.zones == {"east"}
    assert not decode_row(raw | {"key": "config"}).readable


def test_a_row_without_a_zone_is_skipped():
    host = read_host()
    host.receive(2, zone_row("", 2))
    host.read(3, zone_row("", 2))
    assert not host.zones


def test_figures_name_the_zone_its_age_and_the_last_request():
    host = read_host()
    assert host.directory.evacuations.gauges() == {}
    assert host.directory.begin_send(backend())
    host.clock.advance(2)
    host.receive(2, zone_row("east", 2))
    host.clock.advance(3)
    assert not host.directory.begin_send(backend())
    assert host.directory.evacuations.gauges() == {
        "evacuated_seconds.east": 3,
        "evacuated_last_request_seconds.east": 5,
    }
