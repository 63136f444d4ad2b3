"""Exchange of server observations, and their effect on the choice of a server."""

import json
import random
import statistics

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumshift.gossip import OBSERVATIONS_PATH, Gossip
from gypsumshift.neighbours import Neighbour
from gypsumshift.relay import Relay
from gypsumshift.serving import Directory
from gypsumshift.serving.loadbalancer import LoadBalancer
from gypsumshift.serving.observations import (
    MAX_AGE_SECONDS,
    MAX_DIGEST_SIZE,
    Observation,
    Observations,
    decode,
    encode,
)
from gypsumshift.serving.serverestimates import OWN_FRESH_SECONDS
from tests.builders import ManualClock
from tests.test_loadbalancer import make_balancer, servers
from tests.test_neighbours import scenario

SLOW, USUAL = 0.4, 0.08


def observation(server, clock, slowness=1.0, busy=0.0, failed=0.0, age=0.0):
    return Observation(server.start, slowness, busy, failed, clock.monotonic() - age)


def chosen(balancer, listed, times=40):
    return {balancer.choose(listed, set()).id for _ in range(times)}


def test_a_process_without_own_observations_avoids_servers_slow_at_others():
    informed, clock = make_balancer()
    listed, now = servers(4), clock.monotonic()
    for server in listed:
        informed.record_success(server, SLOW if server.id in ("s0", "s1") else USUAL)
    informed.estimates.share_own_observations(listed)
    fresh = LoadBalancer("here", clock, random.Random(2))
    fresh.shared_observations.merge(
        decode(encode(informed.shared_observations.digest(), now), now)
    )
    assert chosen(informed, listed) == chosen(fresh, listed) == {"s2", "s3"}


def test_slower_kinds_of_requests_elsewhere_do_not_make_a_server_look_slow():
    """Reward calls take three times as long as bookings at every server."""
    balancer, clock = make_balancer()
    listed = servers(2)
    balancer.record_success(listed[0], 0.025)
    rewards = LoadBalancer("here", clock, random.Random(2))
    for server in listed:
        rewards.record_success(server, 0.08)
    rewards.estimates.share_own_observations(listed)
    balancer.shared_observations.merge(rewards.shared_observations.digest())
    clock.advance(OWN_FRESH_SECONDS + 0.1)
    assert chosen(balancer, listed) == {"s0", "s1"}


def test_fresh_own_observations_take_precedence_over_received_ones():
    balancer, clock = make_balancer()
    listed = servers(2)
    for server in listed:
        balancer.record_success(server, USUAL)
    balancer.shared_observations.merge(
        [observation(listed[0], clock, 50.0, 100.0, 1.0, age=-1.0)]
    )
    assert chosen(balancer, listed) == {"s0", "s1"}
    clock.advance(OWN_FRESH_SECONDS + 0.1)
    assert chosen(balancer, listed) == {"s1"}


def test_received_observations_expire():
    balancer, clock = make_balancer()
    listed = servers(2)
    balancer.shared_observations.merge([observation(listed[0], clock, 50.0)])
    assert chosen(balancer, listed) == {"s1"}
    clock.advance(MAX_AGE_SECONDS + 0.1)
    assert chosen(balancer, listed) == {"s0", "s1"}
    balancer.prune({server.start for server in listed})
    assert not balancer.shared_observations.newest


def test_an_older_observation_does_not_replace_a_newer_one():
    clock = ManualClock()
    (server,) = servers(1)
    known = Observations(clock)
    known.merge(
        [observation(server, clock, 1.0), observation(server, clock, 9.0, age=1.0)]
    )
    assert known.get(server.start).slowness == 1.0


figure = st.one_of(
    st.floats(-1e12, 1e12), st.integers(-(10**9), 10**9), st.sampled_from([0, 1e308])
)


@given(st.lists(st.tuples(st.integers(0, 3), figure, figure, figure, figure)))
def test_false_digests_never_leave_a_balancer_without_a_server(false_rows):
    balancer, clock = make_balancer()
    listed = servers(4)
    rows = [[listed[n].id, listed[n].born, *figures] for n, *figures in false_rows]
    balancer.shared_observations.merge(decode(rows, clock.monotonic()))
    assert balancer.choose(listed, set()) is not None
    avoid = {server.start for server in listed[1:]}
    assert balancer.choose(listed, avoid) is listed[0]


@pytest.mark.parametrize(
    "rows",
    [
        None,
        {"a": 1},
        ["x"],
        [["s0", 0, 1, 1, 1]],
        [[7, 0, 1, 1, 1, 1]],
        [["s0", "0", 1, 1, 1, 1]],
        [["s0", 0, None, 1, 1, 1]],
        [["s0", 0, float("nan"), 1, 1, 1]],
        [["s0", 0, 10**400, 1, 1, 1]],
        [["s0", 0, True, 1, 1, 1]],
    ],
)
def test_an_invalid_digest_is_rejected_whole(rows):
    with pytest.raises(ValueError):
        decode(rows, 0.0)


def test_the_digest_size_is_limited_for_any_number_of_servers():
    clock = ManualClock()
    known = Observations(clock)
    listed = servers(500)
    known.merge(
        observation(server, clock, age=0.001 * n) for n, server in enumerate(listed)
    )
    known.merge([observation(listed[400], clock, slowness=5.0, age=0.3)])
    digest = known.digest()
    assert len(digest) == MAX_DIGEST_SIZE
    assert digest[0].start.id == "s400", "a slow server comes first"
    assert len(json.dumps(encode(digest, clock.monotonic()))) < 400


@scenario
async def test_both_processes_have_all_observations_after_one_exchange(world):
    clock = ManualClock()
    listed = servers(4)
    gossips = []
    for number in range(2):
        directory = Directory()
        for server in listed:
            directory.set_server(server)
        balancer = LoadBalancer("here", clock, random.Random(number))
        path = world.path(("127.0.0.1", 1))
        gossips.append(Gossip(balancer, directory, path, clock, random.Random(number)))
    responder, initiator = gossips
    address = await world.serve(
        Relay(responder.path, {OBSERVATIONS_PATH: responder.serve}).serve
    )
    initiator.path.neighbours = {"a": Neighbour("a", address, "here")}
    for server, balancer in zip(
        listed, [responder.balancer, initiator.balancer] * 2, strict=True
    ):
        balancer.record_success(server, USUAL)
    await initiator.exchange()
    for gossip in gossips:
        assert len(gossip.balancer.shared_observations.newest) == 4
    for invalid in (b"[[1]]", b"", b"[" * 100_000):
        answer = await world.fetcher.fetch(
            address, "POST", OBSERVATIONS_PATH, body=invalid
        )
        assert answer.status == 400


class Load:
    """Simulated zone: 15 entry hosts with a request every 12 s, and 3 busy sidecars.

    Six servers answer in 80 ms; three of them take five times as long from 5 to 10 s.
    """

    def __init__(self, share, seed):
        self.share = share
        self.chance = random.Random(seed)
        self.clock = ManualClock()
        self.listed = servers(6)
        self.waits = []
        balancers = [
            LoadBalancer("here", self.clock, random.Random(n)) for n in range(18)
        ]
        self.entries, self.sidecars = balancers[:15], balancers[15:]

    def call(self, balancer, second):
        server = balancer.choose(self.listed, set())
        slow = 5 <= second < 10 and server.id in ("s0", "s1", "s2")
        took = SLOW if slow else USUAL
        balancer.record_success(server, took)
        return took

    def exchange(self):
        """Exchange observations from each process to one other, as once a second."""
        balancers = self.entries + self.sidecars
        for balancer in balancers:
            other = self.chance.choice(balancers)
            for one in (balancer, other):
                one.estimates.share_own_observations(self.listed)
            digest = balancer.shared_observations.digest()
            balancer.shared_observations.merge(other.shared_observations.digest())
            other.shared_observations.merge(digest)

    def run(self):
        """Return the callers' waits while servers were slow, without the first 2 s."""
        start = self.clock.monotonic()
        for tick in range(10 * 20):
            second = self.clock.monotonic() - start
            for sidecar in self.sidecars:
                self.call(sidecar, second)
            if self.share and tick % 20 == 10:
                self.exchange()
            if tick % 16 == 0:
                entry = self.entries[tick // 16 % len(self.entries)]
                wait = self.call(entry, second)
                if second >= 7:
                    self.waits.append(wait)
            self.clock.advance(0.05)
        return self.waits


def waits(share):
    """Return the callers' waits in twenty runs of the simulation."""
    return [wait for seed in range(20) for wait in Load(share, seed).run()]


def test_observations_of_sidecars_shorten_waits_of_entry_host_callers():
    """The mean wait falls from 0.16 s to 0.08 s, the usual answer time."""
    assert statistics.mean(waits(share=False)) > 0.15
    assert statistics.mean(waits(share=True)) < 0.09
