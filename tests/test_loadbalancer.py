"""Choice of a backend server by load, availability zone and failures."""

import random

from gypsumshift.serving import BackendServer, ServerLoad
from gypsumshift.serving.loadbalancer import LoadBalancer
from tests.builders import ManualClock


def servers(count=4, zones=("here",)):
    return [
        BackendServer(f"s{n}", "app", ("127.0.0.1", n), zones[n % len(zones)], 6)
        for n in range(count)
    ]


def make_balancer():
    clock = ManualClock()
    return LoadBalancer("here", clock, random.Random(1)), clock


def test_the_own_zone_is_preferred_until_it_is_busy():
    balancer, _ = make_balancer()
    listed = servers(2, ("here", "there"))
    assert balancer.choose(listed, set()).zone == "here"
    for _ in range(3):
        balancer.record_sent(listed[0])
    assert balancer.choose(listed, set()).zone == "there"


def test_a_reported_load_counts_less_as_it_ages():
    balancer, clock = make_balancer()
    listed = servers(2, ("here", "there"))
    balancer.record_load(listed[0], ServerLoad(6, 0, 6))
    assert balancer.choose(listed, set()).zone == "there"
    clock.advance(2)
    assert balancer.choose(listed, set()).zone == "here"


def test_two_consecutive_failures_eject_a_server_and_a_single_one_does_not():
    balancer, clock = make_balancer()
    listed = servers(4)
    assert not balancer.record_failure(listed[0], listed)
    balancer.record_success(listed[0], 0.03)
    assert not balancer.record_failure(listed[0], listed)
    assert balancer.record_failure(listed[0], listed)
    assert all(balancer.choose(listed, set()).id != "s0" for _ in range(20))
    clock.advance(2)
    for server in listed[1:]:
        balancer.record_sent(server)
    assert balancer.choose(listed, set()).id == "s0"


def test_a_server_that_fails_four_of_ten_is_ejected_and_one_of_a_hundred_is_not():
    balancer, _ = make_balancer()
    listed = servers(4)
    for number in range(10):
        if number % 5 in (1, 3):
            balancer.record_failure(listed[0], listed)
        else:
            balancer.record_success(listed[0], 0.03)
    assert (
        balancer.stats(listed[0]).consecutive_ejections
        or balancer.stats(listed[0]).avoided_until
    )
    for number in range(300):
        if number % 100 == 50:
            assert not balancer.record_failure(listed[2], listed)
        else:
            balancer.record_success(listed[2], 0.03)


def test_at_most_half_of_the_servers_are_ejected():
    balancer, _ = make_balancer()
    listed = servers(4)
    for server in listed:
        for _ in range(5):
            balancer.record_failure(server, listed)
    now = balancer.clock.monotonic()
    ejected = [s for s in listed if balancer.stats(s).avoided_until > now]
    assert len(ejected) == 2
    assert (
        balancer.choose(listed, {s.start for s in listed} - {ejected[0].start})
        is ejected[0]
    )


def test_a_slow_server_gets_fewer_requests_but_is_measured_again():
    balancer, _ = make_balancer()
    listed = servers(3)
    for _ in range(10):
        balancer.record_success(listed[0], 0.3)
        balancer.record_success(listed[1], 0.03)
        balancer.record_success(listed[2], 0.03)
    assert balancer.choose(listed, set()).id != "s0"
    for server in listed[1:]:
        for _ in range(60):
            balancer.record_sent(server)
    assert balancer.choose(listed, set()).id == "s0"


def test_an_idle_connection_is_preferred_among_equals_but_not_over_the_own_zone():
    balancer, _ = make_balancer()
    listed = servers(4, ("here", "there"))
    balancer.has_idle_connection = lambda address: address == listed[2].address
    assert {balancer.choose(listed, set()).id for _ in range(20)} == {"s2"}
    balancer.record_load(listed[2], ServerLoad(2, 0, 6))
    assert balancer.choose(listed, set()).id == "s0"
    balancer.has_idle_connection = lambda address: address == listed[1].address
    balancer, _ = make_balancer()
    assert {balancer.choose(listed, set()).id for _ in range(20)} == {"s0", "s2"}


def count_new_connections(connected):
    """Return the number of connections that 12 entry hosts open in 30 s.

    Idle connections are kept for 4 s.
    """
    chance, clock, opened = random.Random(3), ManualClock(), 0
    listed = servers(6, ("there",))
    entries = [LoadBalancer("here", clock, random.Random(n)) for n in range(12)]
    idle_until = {}
    for entry in entries:
        if connected:
            entry.has_idle_connection = lambda address, entry=entry: (
                idle_until.get((id(entry), address), 0) > clock.monotonic()
            )
    for _ in range(180):
        entry = chance.choice(entries)
        server = entry.choose(listed, set())
        key = (id(entry), server.address)
        opened += idle_until.get(key, 0) <= clock.monotonic()
        idle_until[key] = clock.monotonic() + 4.0
        entry.record_success(server, 0.03)
        clock.advance(1 / 6)
    return opened


def test_preferring_idle_connections_reduces_new_connections_at_light_load():
    """With one request every 2 s at each of 12 hosts, 126 of 180 opened one before."""
    assert count_new_connections(connected=False) > 120
    assert count_new_connections(connected=True) < 40


def test_a_server_that_is_gone_is_used_again_after_a_short_pause_without_failures():
    """Servers that came back after a crash were avoided for up to eight more seconds.

    Each refused connection counted as a failure, at three calls a second for four
    seconds, and a server that reports no start time kept its failures when it was back.
    """
    balancer, clock = make_balancer()
    listed = servers(2)
    for _ in range(12):
        balancer.record_gone(listed[0])
        assert balancer.choose(listed, set()).id == "s1"
        clock.advance(0.33)
    clock.advance(1.0)
    balancer.record_sent(listed[1])
    assert balancer.choose(listed, set()).id == "s0"
    stats = balancer.stats(listed[0])
    assert (
        stats.consecutive_failures,
        stats.failed_share,
        stats.consecutive_ejections,
    ) == (0, 0.0, 0)
