"""Choice between regions, and time limits by the expected round trip."""

import asyncio
import random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumshift.outcomes import Answered
from gypsumshift.places import ONE_REGION, new_layout
from gypsumshift.roundtrips import MAX_ROUND_TRIP_S, RoundTrips
from gypsumshift.serving import BackendServer, ServerLoad, regionchoice
from gypsumshift.serving.loadbalancer import LoadBalancer
from gypsumshift.serving.regionchoice import LOST_PAUSE_S, RegionChoice
from gypsumshift.serving.sender import CONNECT_HEDGE_SECONDS, connect_hedge_s
from tests.builders import ManualClock
from tests.job_builders import METRICS
from tests.load_builders import make_load
from tests.region_builders import ZONES, make_layout
from tests.region_fleet import RegionFleet, far_share, percentile
from tests.region_world import RegionWorld, make_routes
from tests.virtual_time import run_in_virtual_time

OTHERS = {"south": 0.4, "west": 0.4}


def servers(zones=("north-a", "south-a")):
    return [
        BackendServer(f"s{n}", "app", ("10.0.0.1", n), zone, 6, born=7)
        for n, zone in enumerate(zones)
    ]


def make_balancer(layout=None, seed=1, kind=LoadBalancer):
    clock = ManualClock()
    layout = layout or make_layout()
    balancer = kind("north-a", clock, random.Random(seed), layout=layout)
    balancer.has_idle_connection = lambda address: True
    return balancer, clock


def run_fleet(loads, seconds, lost_from=None, lost_until=None, **options):
    """Run a fleet whose region ``north`` may be lost for a while; return it."""

    async def scenario():
        fleet = RegionFleet(**options)
        loop = asyncio.get_running_loop()
        if lost_from is not None:
            loop.call_later(lost_from, fleet.lost.add, "north")
            loop.call_later(lost_until, fleet.lost.discard, "north")
        await fleet.run(loads, seconds)
        return fleet

    return run_in_virtual_time(scenario)


# Choice of the region.


def test_the_own_region_comes_first_however_far_the_zone():
    """A server of another zone of the region is nearer than any other region."""
    balancer, _ = make_balancer()
    near, far = servers(("north-b", "south-a"))
    for _ in range(20):
        assert balancer.choose([near, far], set()) == near


def test_another_region_is_used_only_if_it_is_earlier_by_more_than_the_error():
    balancer, _ = make_balancer()
    near, far = servers()
    chosen = []
    for busy in range(0, 60, 2):
        for server in (near, far):
            balancer.stats(server).latency = 0.05
        balancer.record_load(near, ServerLoad(busy, 0, 6))
        chosen.append(balancer.choose([near, far], set()).id)
    # The far server takes 1 service time, 0.3 for another zone, and 0.8 for the round
    # trip. With the margins, 3.5 are needed here: one, and 15 requests on 6 slots.
    assert chosen == ["s0"] * 8 + ["s1"] * 22


def test_servers_that_report_a_slowdown_are_compared_in_the_same_way():
    balancer, clock = make_balancer()
    near, far = servers()
    for busy, expected in ((0, near), (8, near), (60, far)):
        clock.advance(0.1)
        for server in (near, far):
            balancer.stats(server).latency = 0.05
        balancer.record_load(near, make_load(min(busy, 6), waiting=max(busy - 6, 0)))
        assert balancer.choose([near, far], set()) == expected


def test_a_new_connection_to_another_region_costs_a_second_round_trip():
    balancer, _ = make_balancer()
    choice = RegionChoice(make_layout(), balancer.round_trips, balancer.chance)
    far = servers()[1]
    idle = choice.far_time(far, lambda s: 1.0, 0.04, lambda address: True)
    new = choice.far_time(far, lambda s: 1.0, 0.04, lambda address: False)
    assert (idle, new) == (2.0, 3.0)


def test_other_regions_serve_while_the_own_one_has_no_server_left():
    balancer, clock = make_balancer()
    near, far = servers()
    assert balancer.choose([far], set()) == far
    assert balancer.choose([near, far], {near.start}) == far
    balancer.record_gone(near)
    assert balancer.choose([near, far], set()) == far
    clock.advance(1.1)
    assert balancer.choose([near, far], set()) == near


def test_two_silent_servers_let_calls_go_elsewhere_for_a_while():
    """With many silent servers, each call would find another one first."""
    balancer, clock = make_balancer()
    listed = servers(("north-a", "north-a", "north-b", "north-b", "south-a"))
    balancer.record_unconnected(listed[0])
    assert balancer.choose(listed, set()).zone != "south-a"
    balancer.record_unconnected(listed[2])
    assert balancer.choose(listed, set()).zone == "south-a"
    balancer.record_success(listed[1], 0.05)
    assert balancer.choose(listed, set()).zone != "south-a"
    balancer.record_unconnected(listed[0])
    balancer.record_unconnected(listed[2])
    clock.advance(LOST_PAUSE_S)
    assert balancer.choose(listed, set()).zone != "south-a"


def test_servers_that_start_again_count_anew():
    """A region that restarted is used as soon as its servers are listed."""
    balancer, _ = make_balancer()
    listed = servers(("north-a", "north-b", "south-a"))
    for server in listed[:2]:
        balancer.record_unconnected(server)
    assert balancer.choose(listed, set()).zone == "south-a"
    listed[0] = attrs.evolve(listed[0], born=8)
    assert balancer.choose(listed, set()) == listed[0]


@pytest.mark.parametrize(("prefix", "limit"), [("/safe/", 0.4), ("/once/", 0.7)])
@pytest.mark.parametrize("gap", [0.1, 2.0])
def test_calls_to_a_silent_region_are_answered_elsewhere_within_a_second(
    prefix, limit, gap
):
    """A process with few calls found the servers silent one after the other."""

    async def scenario():
        world = RegionWorld(per_zone=3)
        world.fates = {"north-a": "no connection", "north-b": "no connection"}
        times = []

        async def call(number):
            began = world.clock.monotonic()
            assert isinstance(await world.call(f"r{number}", prefix), Answered)
            times.append(world.clock.monotonic() - began)

        calls = []
        for number in range(10):
            calls.append(asyncio.create_task(call(number)))
            await asyncio.sleep(gap)
        await asyncio.gather(*calls)
        assert max(times) < limit
        assert sum(took < 0.1 for took in times) >= 5, times

    run_in_virtual_time(scenario)


def test_a_region_that_is_cut_off_gets_no_calls_of_an_overloaded_one():
    """Each call that spilled over would lose the connect hedge delay."""
    balancer, _ = make_balancer()
    listed = servers(("north-a", "south-a", "south-b", "west-a", "west-b"))
    for server in listed:
        balancer.stats(server).latency = 0.05
    balancer.record_load(listed[0], ServerLoad(60, 0, 6))
    chosen = {balancer.choose(listed, set()).zone for _ in range(30)}
    assert chosen == {"south-a", "south-b", "west-a", "west-b"}
    balancer.record_unconnected(listed[1])
    balancer.record_unconnected(listed[2])
    chosen = {balancer.choose(listed, set()).zone for _ in range(30)}
    assert chosen == {"west-a", "west-b"}
    balancer.record_unconnected(listed[3])
    balancer.record_unconnected(listed[4])
    assert balancer.choose(listed, set()).zone == "north-a"
    balancer.record_success(listed[1], 0.05)
    chosen = {balancer.choose(listed, set()).zone for _ in range(30)}
    assert chosen == {"south-a", "south-b"}


def test_a_silent_server_of_another_region_does_not_count():
    balancer, _ = make_balancer()
    listed = servers(("north-a", "south-a", "south-b"))
    for server in listed[1:]:
        balancer.record_unconnected(server)
    assert balancer.choose(listed, set()) == listed[0]


def test_a_region_with_room_serves_its_own_calls():
    """Bytes between regions are expensive; before, four of ten calls went there."""
    fleet = run_fleet({"north": 0.6, **OTHERS}, 4)
    assert far_share(fleet.between(0, 4)) < 0.01
    unaware = run_fleet({"north": 0.6, **OTHERS}, 4, narrow=False)
    assert far_share(unaware.between(0, 4)) > 0.2


@pytest.mark.parametrize("reports", [False, True])
def test_calls_of_an_overloaded_region_spill_over_and_do_not_swing(reports):
    """Gateways that exchange reports must not all move to and fro together."""
    fleet = run_fleet({"north": 1.3, **OTHERS}, 6, reports=reports)
    outcomes = fleet.between(1, 6)
    assert percentile(outcomes, 0.95) < 0.25
    # A third of the load is too much for the region: 1 - 1 / 1.3 = 0.23.
    shares = [far_share(fleet.between(n / 2, n / 2 + 0.5)) for n in range(2, 12)]
    assert 0.1 < min(shares) and max(shares) < 0.5, shares
    assert far_share(fleet.between(1, 6, "south")) < 0.01


@pytest.mark.parametrize("reports", [False, True])
def test_calls_leave_a_lost_region_within_a_second_and_return_for_good(reports):
    loads = {"north": 0.5, **OTHERS}
    fleet = run_fleet(loads, 10, lost_from=3.0, lost_until=5.0, reports=reports)
    during = fleet.between(3.0, 5.0)
    assert far_share(during) == 1.0 and max(o.took for o in during) < 0.5
    # The last failures before the return count until then.
    assert far_share(fleet.between(8.0, 10.0)) < 0.01
    times = [o.took for o in fleet.between(5.0, 10.0)]
    assert max(times) < 0.3


# Time limits.


def test_connections_to_another_region_are_neither_hedged_nor_failures():
    """A round trip of 0.04 s is longer than the connect hedge delay of 0.03 s."""

    async def scenario():
        world = RegionWorld()
        world.directory.set_routes(make_routes(2, {"/safe/": ("south",)}))
        for number in range(10):
            await world.call(f"r{number}", "/safe/")
        assert len(world.arrivals) == 10
        stats = world.balancer.estimates.stats_by_start.values()
        assert not any(each.failed_share for each in stats)
        assert max(each.latency for each in stats) < 0.025

    run_in_virtual_time(scenario)


def test_time_limits_inside_the_own_region_are_the_constants():
    """One region must behave as before, whatever its connections take."""
    for layout in (ONE_REGION, new_layout("north-a", "north"), make_layout()):
        trips = RoundTrips(layout)
        trips.note_address(("10.0.0.1", 1), "north-b")
        trips.record_connection(("10.0.0.1", 1), 0.2)
        assert trips.extra_s("north-b") == 0.0 and not trips.times


def test_the_connect_hedge_delay_grows_by_the_round_trip():
    world = run_in_virtual_time(make_world)
    near, far = world.engine_in("north-b"), world.engine_in("south-a")
    assert connect_hedge_s(world.sender.new_progress(near)) == CONNECT_HEDGE_SECONDS
    assert connect_hedge_s(world.sender.new_progress(far)) == pytest.approx(0.09)


async def make_world():
    return RegionWorld()


def test_the_round_trip_is_learnt_and_a_slow_host_does_not_count():
    trips = RoundTrips(make_layout())
    assert trips.expected_s("south-a") == 0.04
    for host in range(3):
        address = (f"10.0.0.{host}", 1)
        trips.note_address(address, "south-a")
        for seconds in (0.3, 0.08, 0.2):
            trips.record_connection(address, seconds)
    assert trips.expected_s("south-a") == 0.08
    slow = ("10.0.0.9", 1)
    trips.note_address(slow, "south-a")
    trips.record_connection(slow, 5.0)
    assert trips.expected_s("south-a") == 0.08


def test_a_single_slow_host_does_not_change_the_estimate():
    trips = RoundTrips(make_layout())
    trips.note_address(("10.0.0.1", 1), "south-a")
    trips.record_connection(("10.0.0.1", 1), 2.0)
    assert trips.expected_s("south-a") == 0.04


def test_the_estimate_has_an_upper_limit():
    trips = RoundTrips(make_layout())
    for host in range(5):
        trips.note_address((f"10.0.0.{host}", 1), "south-a")
        trips.record_connection((f"10.0.0.{host}", 1), 9.0)
    assert trips.expected_s("south-a") == MAX_ROUND_TRIP_S


# One region.


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            ["choose", "load", "success", "failure", "gone", "unconnected", "wait"]
        ),
        st.integers(0, 5),
        st.integers(0, 40),
    ),
    max_size=60,
)
ONE_REGION_LAYOUTS = [
    ONE_REGION,
    new_layout("north-a", "north"),
    new_layout("north-a", "", [(zone, "north") for zone, _ in ZONES]),
]


class BalancerWithoutRegions(LoadBalancer):
    """Chooses as load balancers did before there were regions."""

    def choose(self, servers, avoid, size=0):
        candidates = [server for server in servers if server.start not in avoid]
        now = self.clock.monotonic()
        healthy = [s for s in candidates if self.stats(s).avoided_until <= now]
        if not healthy:
            return min(candidates, key=lambda s: self.stats(s).avoided_until)
        usual = self.estimates.median_latency(servers)
        cost = (
            self.reported_cost
            if self.estimates.is_slowdown_reported(servers)
            else self.cost
        )
        return min(healthy, key=lambda s: (cost(s, usual), self.chance.random()))


def decisions(balancer, clock, events):
    """Return the servers that a balancer chooses during some events."""
    listed = servers([zone for zone, _ in ZONES])
    chosen = []
    for kind, index, value in events:
        server = listed[index]
        if kind == "choose":
            found = balancer.choose(listed, {server.start} if value % 2 else set())
            chosen.append(found.id)
            balancer.record_sent(found)
        elif kind == "load":
            balancer.record_load(server, make_load(value))
        elif kind == "success":
            balancer.record_success(server, 0.01 * (value + 1))
        elif kind == "failure":
            chosen.append(balancer.record_failure(server, listed))
        elif kind == "gone":
            balancer.record_gone(server)
        elif kind == "unconnected":
            balancer.record_unconnected(server)
        clock.advance(0.01 * value)
    return chosen


@given(EVENTS, st.sampled_from(ONE_REGION_LAYOUTS), st.integers(0, 100))
def test_one_region_decides_as_without_regions(events, layout, seed):
    """The choice of a region must change no decision where there is only one."""
    balancer, clock = make_balancer(layout, seed)
    plain, plain_clock = make_balancer(seed=seed, kind=BalancerWithoutRegions)
    assert decisions(balancer, clock, events) == decisions(plain, plain_clock, events)
    assert not balancer.regions.unconnected


def test_calls_to_another_region_are_logged_once_a_second_with_their_reason(
    monkeypatch,
):
    lines = []
    monkeypatch.setattr(
        regionchoice.logs, "event", lambda log, text, **fields: lines.append(fields)
    )
    balancer, clock = make_balancer()
    far = servers()[1]
    for _ in range(5):
        balancer.choose([far], set())
    clock.advance(1.0)
    balancer.choose([far], set())
    assert [line["calls"] for line in lines] == [1, 5]
    assert {line["reason"] for line in lines} == {regionchoice.NONE_LEFT}
    assert (lines[0]["source"], lines[0]["destination"]) == ("north", "south")


def test_sends_are_counted_by_distance_class():
    async def scenario():
        world = RegionWorld()
        counted = {}
        before = dict(METRICS.totals)
        await world.call("near", "/safe/")
        world.directory.set_routes(make_routes(2, {"/safe/": ("south",)}))
        await world.call("far", "/safe/")
        world.directory.set_routes(make_routes(3, {"/safe/": ("nowhere",)}))
        await world.call("refused", "/safe/")
        for name, value in METRICS.totals.items():
            counted[name] = value - before.get(name, 0)
        assert counted["sends_by_distance.app.same_zone"] == 1
        assert counted["sends_by_distance.app.other_region"] == 1
        assert counted["residency_refusals./safe/"] == 1

    run_in_virtual_time(scenario)
