"""Which backend server gets a request, as loads, zones and failures have it."""

import random

from gypsumshift.serving import BackendServer
from gypsumshift.serving.loadbalancer import LoadBalancer
from tests.builders import ManualClock


def servers(count=4, zones=("here",)):
    return [
        BackendServer(f"s{n}", "app", ("127.0.0.1", n), zones[n % len(zones)], 6)
        for n in range(count)
    ]


def make_pool():
    clock = ManualClock()
    return LoadBalancer("here", clock, random.Random(1)), clock


def test_the_own_zone_goes_first_until_it_is_busy():
    pool, _ = make_pool()
    listed = servers(2, ("here", "there"))
    assert pool.choose(listed, set()).zone == "here"
    for _ in range(3):
        pool.record_sent(listed[0])
    assert pool.choose(listed, set()).zone == "there"


def test_a_told_load_counts_less_as_it_ages():
    pool, clock = make_pool()
    listed = servers(2, ("here", "there"))
    pool.record_load(listed[0], 6)
    assert pool.choose(listed, set()).zone == "there"
    clock.advance(2)
    assert pool.choose(listed, set()).zone == "here"


def test_a_lone_failure_does_not_eject_and_two_in_a_row_do():
    pool, clock = make_pool()
    listed = servers(4)
    assert not pool.record_failure(listed[0], listed)
    pool.record_success(listed[0], 0.03)
    assert not pool.record_failure(listed[0], listed)
    assert pool.record_failure(listed[0], listed)
    assert all(pool.choose(listed, set()).id != "s0" for _ in range(20))
    clock.advance(2)
    for server in listed[1:]:
        pool.record_sent(server)
    assert pool.choose(listed, set()).id == "s0"


def test_a_server_that_fails_four_of_ten_is_ejected_and_one_of_a_hundred_is_not():
    pool, _ = make_pool()
    listed = servers(4)
    for number in range(10):
        if number % 5 in (1, 3):
            pool.record_failure(listed[0], listed)
        else:
            pool.record_success(listed[0], 0.03)
    assert pool.stats(listed[0]).ejections or pool.stats(listed[0]).avoided_until
    for number in range(300):
        if number % 100 == 50:
            assert not pool.record_failure(listed[2], listed)
        else:
            pool.record_success(listed[2], 0.03)


def test_half_of_the_servers_are_never_ejected():
    pool, _ = make_pool()
    listed = servers(4)
    for server in listed:
        for _ in range(5):
            pool.record_failure(server, listed)
    now = pool.clock.monotonic()
    out = [s for s in listed if pool.stats(s).avoided_until > now]
    assert len(out) == 2
    assert pool.choose(listed, {s.start for s in listed} - {out[0].start}) is out[0]


def test_a_slow_server_gets_less_but_is_measured_again():
    pool, _ = make_pool()
    listed = servers(3)
    for _ in range(10):
        pool.record_success(listed[0], 0.3)
        pool.record_success(listed[1], 0.03)
        pool.record_success(listed[2], 0.03)
    assert pool.choose(listed, set()).id != "s0"
    for server in listed[1:]:
        for _ in range(60):
            pool.record_sent(server)
    assert pool.choose(listed, set()).id == "s0"


def test_an_open_connection_goes_first_among_equals_and_not_before_the_own_zone():
    pool, _ = make_pool()
    listed = servers(4, ("here", "there"))
    pool.has_idle_connection = lambda address: address == listed[2].address
    assert {pool.choose(listed, set()).id for _ in range(20)} == {"s2"}
    pool.record_load(listed[2], 2)
    assert pool.choose(listed, set()).id == "s0"
    pool.has_idle_connection = lambda address: address == listed[1].address
    pool, _ = make_pool()
    assert {pool.choose(listed, set()).id for _ in range(20)} == {"s0", "s2"}


def play_light_load(connected):
    """Return the connections that 12 entry hosts open in 30 s, with idle ones kept."""
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


def test_few_requests_open_fewer_connections():
    """A request each two seconds at 12 entry hosts: 126 of 180 opened one before."""
    assert play_light_load(connected=False) > 120
    assert play_light_load(connected=True) < 40


def test_a_server_that_ended_is_used_again_as_soon_as_it_may_be_back():
    """Servers that a request ended came back, and sound work was kept from them.

    Each refused connection counted as a failure of the server: after four seconds at
    three calls a second it was avoided for up to eight more, where it told no start.
    """
    pool, clock = make_pool()
    listed = servers(2)
    for _ in range(12):
        pool.record_gone(listed[0])
        assert pool.choose(listed, set()).id == "s1"
        clock.advance(0.33)
    clock.advance(1.0)
    pool.record_sent(listed[1])
    assert pool.choose(listed, set()).id == "s0"
    record = pool.stats(listed[0])
    assert (record.failures, record.failed_share, record.ejections) == (0, 0.0, 0)
