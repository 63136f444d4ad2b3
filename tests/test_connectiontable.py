"""Which connection yields when a port has too many, decided without a network."""

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumshift.connectiontable import (
    PROGRESS_BYTES,
    STALL_S,
    ClosableConnection,
    CloseReason,
    ConnectionTable,
    Phase,
)
from tests.builders import ManualClock

LIMIT = 8


class Connection(ClosableConnection):
    """Connection that remembers why it was closed."""

    def __init__(self, name):
        self.name = name
        self.closed = None

    def evict(self, reason):
        self.closed = reason


class Port:
    """Table with a clock of its own, and connections by name."""

    def __init__(self, limit=LIMIT):
        self.clock = ManualClock()
        self.table = ConnectionTable(limit, self.clock)
        self.connections = []

    def arrive(self, name="crowd"):
        connection = Connection(name)
        self.connections.append(connection)
        return connection if self.table.admit(connection) else None

    def arrive_in(self, phase, count=1):
        arrived = [self.arrive() for _ in range(count)]
        for connection in arrived:
            self.table.move(connection, phase)
        return arrived

    @property
    def closed(self):
        return [c for c in self.connections if c.closed is not None]


def test_the_limit_holds_and_the_request_that_stalls_for_longest_yields():
    port = Port()
    first = port.arrive()
    port.arrive_in(Phase.IDLE, LIMIT - 1)
    port.clock.advance(STALL_S)
    assert port.arrive() is not None
    assert port.closed == [first] and first.closed is CloseReason.STALLED
    assert len(port.table) == LIMIT


def test_a_byte_at_a_time_is_no_progress():
    """A client that keeps sending single bytes would otherwise never yield."""
    port = Port(2)
    trickling, slow = port.arrive(), port.arrive()
    for _ in range(4):
        port.clock.advance(STALL_S / 2)
        assert not port.table.record_bytes(trickling, 1)
        assert port.table.record_bytes(slow, PROGRESS_BYTES)
    port.arrive()
    assert port.closed == [trickling]


def test_idle_clients_stay_while_newcomers_have_half_of_the_port():
    """A crowd that only connects must not close the connections of served clients."""
    port = Port()
    idle = port.arrive_in(Phase.IDLE, LIMIT // 2)
    for _ in range(100):
        port.arrive()
    assert not any(connection.closed for connection in idle)
    assert len(port.table) == LIMIT


def test_idle_clients_yield_to_newcomers_that_have_less():
    port = Port()
    idle = port.arrive_in(Phase.IDLE, LIMIT)
    assert port.arrive() is not None
    assert port.closed == [idle[0]] and idle[0].closed is CloseReason.IDLE


def test_a_client_that_does_not_read_yields_before_idle_ones():
    port = Port()
    port.arrive_in(Phase.IDLE, LIMIT - 1)
    (blocked,) = port.arrive_in(Phase.BLOCKED)
    port.arrive()
    assert port.closed == [blocked]


def test_requests_that_are_served_are_never_closed():
    port = Port()
    port.arrive_in(Phase.SERVING, LIMIT)
    port.clock.advance(60)
    assert port.arrive() is None and not port.closed


def test_a_connection_that_has_left_is_not_moved():
    port = Port()
    connection = port.arrive()
    port.table.remove(connection)
    port.table.change(connection, Phase.IDLE)
    port.table.begin_request(connection)
    port.table.record_bytes(connection, PROGRESS_BYTES)
    assert len(port.table) == 0


STEPS = st.lists(
    st.one_of(
        st.just("arrive"),
        st.tuples(st.sampled_from(list(Phase)), st.integers(0, 30)),
        st.tuples(st.just("bytes"), st.integers(0, 30)),
        st.tuples(st.just("leave"), st.integers(0, 30)),
        st.floats(0, 2).map(lambda seconds: ("wait", seconds)),
    ),
    max_size=80,
)


@given(STEPS)
def test_the_limit_and_served_requests_hold_in_any_order_of_events(steps):
    port = Port()
    for step in steps:
        serving = list(port.table.phases[Phase.SERVING])
        if step == "arrive":
            port.arrive()
        elif step[0] == "wait":
            port.clock.advance(step[1])
        elif step[1] < len(port.connections):
            connection = port.connections[step[1]]
            if step[0] == "bytes":
                port.table.record_bytes(connection, 600)
            elif step[0] == "leave":
                port.table.remove(connection)
            else:
                port.table.change(connection, step[0])
        assert len(port.table) <= LIMIT
        assert sum(map(len, port.table.phases.values())) == len(port.table)
        if step == "arrive":
            assert not any(connection.closed for connection in serving)


@pytest.mark.parametrize("size", [100, 10_000])
def test_the_cost_of_a_decision_does_not_grow_with_the_connections(size):
    """The order is kept as connections progress, so that no decision looks for one."""
    port = Port(size)
    for _ in range(size):
        port.arrive()
    looked_at = 0

    class CountingDict(type(port.table.phases[Phase.UNFINISHED])):
        def __iter__(self):
            nonlocal looked_at
            for item in super().__iter__():
                looked_at += 1
                yield item

    for phase, connections in port.table.phases.items():
        port.table.phases[phase] = CountingDict(connections)
    started = time.perf_counter()
    for _ in range(100):
        port.arrive()
    print(size, (time.perf_counter() - started) * 1e4, "us per arrival")
    assert looked_at <= 200
