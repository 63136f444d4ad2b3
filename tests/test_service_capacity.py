"""Capacity of a service, and the load reports that processes exchange for it."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumshift.digests import DigestSection, decode_digest
from gypsumshift.gossip import Gossip
from gypsumshift.serving import Directory, ServerLoad
from gypsumshift.serving.loadbalancer import LOST_SECONDS
from gypsumshift.serving.loadreports import (
    FULL_WEIGHT_SECONDS,
    HALF_LIFE_SECONDS,
    MAX_DIGEST_SIZE,
    decode,
    encode,
)
from tests.load_builders import SLOTS, make_balancer, make_load, make_servers


def make_gossip(seed=1, clock=None):
    balancer, clock = make_balancer(seed, clock)
    directory = Directory()
    for server in make_servers():
        directory.set_server(server)
    return Gossip(balancer, directory, None, clock, balancer.chance)


def exchange(sender, receiver):
    """Send a digest as it goes over the network; return its sections."""
    body = json.dumps(sender.encoded_digest()).encode()
    receiver.merge_digest(body)
    return json.loads(body)


def test_servers_without_reports_have_their_listed_slots():
    balancer, _ = make_balancer()
    listed = make_servers()
    assert balancer.service_capacity(listed) == 3 * SLOTS
    balancer.record_load(listed[0], ServerLoad(6, 2, SLOTS))
    balancer.record_success(listed[0], 0.05)
    balancer.record_success(listed[1], 0.03)
    assert balancer.service_capacity(listed) == 3 * SLOTS
    assert balancer.service_capacity([]) == 0


def test_a_reported_slowdown_divides_the_slots_and_its_weight_decays():
    balancer, clock = make_balancer()
    listed = make_servers()
    balancer.record_load(listed[0], make_load(slowdown=3.0, slots=9))
    assert balancer.service_capacity(listed[:1]) == 3
    clock.advance(FULL_WEIGHT_SECONDS)
    assert balancer.service_capacity(listed[:1]) == pytest.approx(3)
    clock.advance(HALF_LIFE_SECONDS)
    assert balancer.service_capacity(listed[:1]) == pytest.approx(4.5)
    clock.advance(10)
    assert balancer.service_capacity(listed[:1]) == SLOTS


def test_a_server_slower_than_it_reports_counts_by_its_answer_times():
    """Answer times are relative to the reported slowdowns: 4 times 1.5 is 6."""
    balancer, _ = make_balancer()
    listed = make_servers()
    for server, seconds in zip(listed, (0.12, 0.03, 0.03), strict=True):
        balancer.record_load(server, make_load(slowdown=1.5))
        balancer.record_success(server, seconds)
    assert balancer.service_capacity(listed) == pytest.approx(6 / 6 + 2 * 6 / 1.5)


def test_a_reported_slowdown_is_not_counted_twice_by_the_answer_times():
    balancer, _ = make_balancer()
    listed = make_servers()
    for server, slowdown in zip(listed, (3.0, 1.0, 1.0), strict=True):
        balancer.record_load(server, make_load(slowdown=slowdown))
        balancer.record_success(server, 0.03 * slowdown)
    assert balancer.service_capacity(listed) == pytest.approx(2 + 6 + 6)


def test_an_ejected_server_has_no_capacity():
    balancer, clock = make_balancer()
    listed = make_servers()
    for _ in range(2):
        balancer.record_failure(listed[0], listed)
    assert balancer.service_capacity(listed) == 2 * SLOTS
    clock.advance(5)
    assert balancer.service_capacity(listed) == 3 * SLOTS


def test_a_lost_server_has_no_capacity_until_it_answers_or_its_entry_expires():
    """Its avoidance ends after 1 s: the capacity rose and fell once a second."""
    balancer, clock = make_balancer()
    listed = make_servers()
    balancer.record_gone(listed[0])
    clock.advance(LOST_SECONDS - 0.1)
    assert balancer.service_capacity(listed) == 2 * SLOTS
    balancer.record_success(listed[0], 0.03)
    assert balancer.service_capacity(listed) == 3 * SLOTS
    balancer.record_gone(listed[0])
    clock.advance(LOST_SECONDS)
    assert balancer.service_capacity(listed) == 3 * SLOTS


def test_slots_and_slowdown_reach_other_processes_with_their_age():
    sender = make_gossip()
    receiver = make_gossip(2, sender.clock)
    listed = make_servers()
    sender.balancer.record_load(listed[0], make_load(slowdown=3.0))
    sender.clock.advance(FULL_WEIGHT_SECONDS + HALF_LIFE_SECONDS)
    exchange(sender, receiver)
    assert receiver.balancer.service_capacity(listed) == pytest.approx(12 + 6 / 2)
    receiver.balancer.prune({server.start for server in listed[1:]})
    assert receiver.balancer.service_capacity(listed) == 18


def test_an_older_report_does_not_replace_a_newer_one():
    sender = make_gossip()
    receiver = make_gossip(2, sender.clock)
    (server, *_) = make_servers()
    sender.balancer.record_load(server, make_load(slowdown=3.0))
    sender.clock.advance(0.1)
    receiver.balancer.record_load(server, make_load(slowdown=1.0))
    exchange(sender, receiver)
    assert receiver.balancer.load_reports.get(server.start).slowdown == 1.0


def test_nothing_is_added_to_digests_if_no_server_reports_a_slowdown():
    gossip = make_gossip()
    gossip.balancer.record_load(make_servers()[0], ServerLoad(1, 0, 6))
    assert set(gossip.encoded_digest()) == {"servers"}


def test_a_digest_in_the_list_form_of_an_older_version_is_merged():
    gossip = make_gossip()
    gossip.merge_digest(b'[["s0", 7, 3.0, 1.0, 0.0, 0.5]]')
    (server, *_) = make_servers()
    assert gossip.balancer.shared_observations.get(server.start).slowness == 3.0


class NumberSection(DigestSection):
    name = "number"

    def __init__(self):
        self.value = None

    def encode(self):
        return self.value

    def merge(self, value):
        if not isinstance(value, int):
            raise ValueError("not a number")
        self.value = value


def test_other_modules_add_sections_and_unknown_ones_are_ignored():
    sender, receiver, section = make_gossip(), make_gossip(2), NumberSection()
    sender.add_section(section)
    assert "number" not in sender.encoded_digest()
    section.value = 5
    assert exchange(sender, receiver)["number"] == 5, "unknown to the receiver"
    receiver.add_section(NumberSection())
    exchange(sender, receiver)
    assert receiver.sections["number"].value == 5


def test_an_invalid_section_is_reported_and_the_others_are_merged():
    gossip = make_gossip()
    gossip.add_section(NumberSection())
    row = ["s0", 7, 3.0, 1.0, 0.0, 0.5]
    digest = {"number": "x", "servers": [row], "loads": [["s0"]]}
    with pytest.raises(ValueError, match="not a number"):
        gossip.merge_digest(json.dumps(digest).encode())
    assert gossip.balancer.shared_observations.newest
    assert not gossip.balancer.load_reports.newest


@pytest.mark.parametrize("body", [b"", b"7", b'"x"', b"null", b"[" * 100_000])
def test_a_body_that_is_no_digest_is_an_error(body):
    with pytest.raises(ValueError):
        decode_digest(body)


@pytest.mark.parametrize(
    "rows",
    [
        None,
        {},
        ["x"],
        [["s0", 0, 1, 6, 1]],
        [[7, 0, 1, 6, 1, 0]],
        [["s0", 0.5, 1, 6, 1, 0]],
        [["s0", 0, 1, 6, None, 0]],
        [["s0", 0, 1, 6, float("nan"), 0]],
        [["s0", 0, 10**400, 6, 1, 0]],
    ],
)
def test_invalid_loads_are_rejected(rows):
    with pytest.raises(ValueError):
        decode(rows, 0.0)


figure = st.one_of(st.floats(-1e12, 1e12), st.integers(-(10**300), 10**300))


@given(st.lists(st.tuples(st.integers(0, 2), figure, figure, figure, figure)))
def test_false_reports_leave_the_capacity_within_bounds(rows):
    balancer, clock = make_balancer()
    listed = make_servers()
    sent = [[listed[n].id, 7, *figures] for n, *figures in rows]
    balancer.load_reports.merge(decode(sent, clock.monotonic()))
    assert 0 < balancer.service_capacity(listed) <= 3 * 10_000
    assert balancer.choose(listed, set()) is not None


def test_the_size_of_the_load_section_is_limited():
    balancer, clock = make_balancer()
    for server in make_servers(500):
        balancer.record_load(server, make_load())
    rows = encode(balancer.load_reports.digest(), clock.monotonic())
    assert len(rows) == MAX_DIGEST_SIZE
    assert len(json.dumps(rows)) < 600


def test_a_load_with_enormous_figures_is_limited():
    balancer, _ = make_balancer()
    listed = make_servers()
    balancer.record_load(listed[0], make_load(running=10**400, slots=10**400))
    assert balancer.service_capacity(listed[:1]) == 10_000
