"""Pool: which backend server of a service gets a request.

The decision answers a light load over many entries: each sees too few requests to
know a server's queue exactly, so it weighs what servers said last against its own
open requests, prefers its own availability zone, and keeps away from those that
failed or are slow. Chosen without a network, by an injected clock.
"""

import math
import random
from collections.abc import Callable

import attrs

from gypsumshift.clock import Clock
from gypsumshift.ejection import Ejection
from gypsumshift.policy import DEFAULT_POLICY, Policy
from gypsumshift.serving.directory import BackendServer, ServerStart
from gypsumshift.serving.observations import Observation, Observations

__all__ = ["LoadBalancer", "ServerStats"]

# Share by which a server of another zone looks busier. Zones lie 3 ms apart there
# and back, a tenth of a short service time of 30 ms; bytes between zones are dear.
OTHER_ZONE_PENALTY = 0.3
# Share by which a server looks busier to which no connection is open: opening one takes
# a round trip, and holds a place there for a moment. Less than for another zone. Entry
# hosts with a request each two seconds, spread over six servers, opened connections for
# 126 of 180 requests, and for 35 with this, since idle ones are kept for 4 s (without
# a network).
NEW_CONNECTION_PENALTY = 0.15
# A load that was told is halved after this many seconds: about ten service times.
LOAD_HALF_LIFE = 0.3
# Weight of the newest answer in the moving averages: some ten answers back.
AVERAGE_WEIGHT = 0.2
# A server is avoided after this many failures in a row, since a lone lost answer
# happens to healthy ones,
FAILURES_TO_EJECT = 2
# or where it failed this share of its requests: one of a hundred is usual, a
# broken server was seen to fail four of ten.
SHARE_TO_EJECT = 0.35
# Doubled from 1 s to 8 s, as long as servers were seen to be slow; half of the servers
# must stay, to carry all.
EJECTION = Ejection(first=1.0, most=8.0, share=0.5)
# A server slower than the pool by more than this counts this much busier only, so
# that it is measured again from time to time.
SLOWEST_FACTOR = 8.0
# Seconds for which own sight goes before what others saw: an entry host that has a
# request every ten seconds saw a server last before it turned slow.
OWN_FRESH_SECONDS = 1.0
# A server that others saw to fail counts as slower by this, times its share: one that
# fails four of ten is then chosen like one that takes four times as long.
FAILED_COST = 8.0
# Seconds for which a server is avoided at whose address nobody listens: it may be back
# at any time, and trying it costs a caller one round trip.
DOWN_PAUSE = 1.0
# Seconds for which a server is avoided that was replaced; its entry lapses in four.
GONE = 10.0


@attrs.define
class ServerStats:
    """What one process has seen of one backend server.

    Attributes
    ----------
    outstanding : int
        Requests sent there without an answer yet.
    busy, busy_at : float
        Requests running and waiting there as told last, and when (seconds).
    latency : float
        Moving average of the time to an answer, in seconds; 0 before the first.
    failures : int
        In a row.
    failed_share : float
        Moving average of failures, 0 to 1.
    ejections : int
        In a row.
    until : float
        Avoided before this time, in seconds.
    seen_at : float
        When an answer came or stayed away last, in seconds.
    """

    outstanding: int = 0
    busy: float = 0.0
    busy_at: float = 0.0
    latency: float = 0.0
    failures: int = 0
    failed_share: float = 0.0
    ejections: int = 0
    avoided_until: float = 0.0
    seen_at: float = -math.inf


class LoadBalancer:
    """Chooses among backend servers, and learns from their answers.

    Parameters
    ----------
    zone : str
        Availability zone of this process.
    clock : Clock
    chance : random.Random
        Breaks ties, so that many processes do not choose alike.
    policy : Policy

    Attributes
    ----------
    shared : Sightings
        What other processes saw.
    connected : callable
        Tells whether a connection to an address lies idle; none do by default.
    """

    def __init__(
        self,
        zone: str,
        clock: Clock,
        chance: random.Random,
        policy: Policy = DEFAULT_POLICY,
    ):
        self.policy = policy
        self.zone = zone
        self.clock = clock
        self.chance = chance
        self.stats_by_start: dict[ServerStart, ServerStats] = {}
        self.shared_observations = Observations(clock)
        self.has_idle_connection: Callable[[tuple[str, int]], bool] = lambda address: (
            False
        )

    def stats(self, server: BackendServer) -> ServerStats:
        """Return what is known of a start of a server."""
        return self.stats_by_start.setdefault(server.start, ServerStats())

    def prune(self, known: set[ServerStart]) -> None:
        """Forget starts of servers that are not listed any more."""
        for start in [s for s in self.stats_by_start if s not in known]:
            if not self.stats_by_start[start].outstanding:
                del self.stats_by_start[start]
        self.shared_observations.prune(known)

    def choose(
        self, servers: list[BackendServer], avoid: set[ServerStart]
    ) -> BackendServer | None:
        """Return the server to send to; None where none is left.

        Parameters
        ----------
        servers : list of BackendServer
            Ready servers of the service.
        avoid : set of ServerStart
            Those already tried.
        """
        left = [server for server in servers if server.start not in avoid]
        if not left:
            return None
        now = self.clock.monotonic()
        healthy = [s for s in left if self.stats(s).avoided_until <= now]
        if not healthy:
            return min(left, key=lambda server: self.stats(server).avoided_until)
        usual = self.usual_latency(servers)
        return min(healthy, key=lambda s: (self.cost(s, usual), self.chance.random()))

    def usual_latency(self, servers: list[BackendServer]) -> float:
        """Return the median time to an answer over the pool, in seconds."""
        known = sorted(r.latency for s in servers if (r := self.stats(s)).latency)
        return known[(len(known) - 1) // 2] if known else 0.0

    def cost(self, server: BackendServer, usual: float) -> float:
        """Return how long a request would take there, in usual service times."""
        record = self.stats(server)
        sighting = self.sighting(server, usual)
        told = aged(sighting.busy, self.clock.monotonic() - sighting.observed_at)
        busy = max(told, record.outstanding)
        slowness = min(max(sighting.slowness, 1.0), SLOWEST_FACTOR)
        penalty = 0.0 if server.zone == self.zone else OTHER_ZONE_PENALTY
        if not self.has_idle_connection(server.address):
            penalty += NEW_CONNECTION_PENALTY
        return (1.0 + busy / max(server.slots, 1)) * slowness + penalty

    def sighting(self, server: BackendServer, usual: float) -> Observation:
        """Return what to go by: own sight while it is fresh, else the newest there is.

        What others saw to fail counts as slow; own failures eject.
        """
        own = self.own_sighting(server, usual)
        other = self.shared_observations.get(server.start)
        fresh = self.clock.monotonic() - self.stats(server).seen_at < OWN_FRESH_SECONDS
        if fresh or other is None or other.observed_at <= own.observed_at:
            return own
        slowness = max(other.slowness, 1.0) * (1.0 + FAILED_COST * other.failed)
        return attrs.evolve(other, slowness=slowness)

    def own_sighting(self, server: BackendServer, usual: float) -> Observation:
        """Return what this process saw of a server."""
        record = self.stats(server)
        slowness = record.latency / usual if usual else 0.0
        at = max(record.busy_at, record.seen_at)
        busy = aged(record.busy, at - record.busy_at)
        return Observation(server.start, slowness, busy, record.failed_share, at)

    def share_own_observations(self, servers: list[BackendServer]) -> None:
        """Put what this process saw beside what others did, to be told to others."""
        by_service: dict[str, list[BackendServer]] = {}
        for server in servers:
            if server.start in self.stats_by_start:
                by_service.setdefault(server.service, []).append(server)
        for mates in by_service.values():
            usual = self.usual_latency(mates)
            self.shared_observations.merge(
                self.own_sighting(mate, usual) for mate in mates
            )

    def record_sent(self, server: BackendServer) -> None:
        """Count a request that goes out."""
        self.stats(server).outstanding += 1

    def record_finished(self, server: BackendServer) -> None:
        """Count a request that ended, however."""
        record = self.stats(server)
        record.outstanding = max(0, record.outstanding - 1)

    def record_load(self, server: BackendServer, busy: float) -> None:
        """Take the load that an answer carried."""
        record = self.stats(server)
        record.busy = busy
        record.busy_at = self.clock.monotonic()

    def record_success(self, server: BackendServer, took: float) -> None:
        """Take a good answer that came after ``took`` seconds."""
        record = self.stats(server)
        record.seen_at = self.clock.monotonic()
        record.failures = 0
        record.ejections = 0
        record.failed_share *= 1 - AVERAGE_WEIGHT
        if not record.latency:
            record.latency = took
        record.latency += AVERAGE_WEIGHT * (took - record.latency)

    def record_wait(self, server: BackendServer, took: float) -> None:
        """Take an answer that has not come after ``took`` seconds."""
        record = self.stats(server)
        record.seen_at = self.clock.monotonic()
        if took > record.latency:
            record.latency += AVERAGE_WEIGHT * (took - record.latency)

    def record_replaced(self, server: BackendServer) -> None:
        """Take that another server stands at its address now."""
        self.stats(server).avoided_until = self.clock.monotonic() + GONE

    def record_gone(self, server: BackendServer) -> None:
        """Take that a server is gone.

        No failure of its own: whatever ended it, it is sound when it is back, which
        one that tells no start does under the same record.
        """
        before = self.stats(server)
        now = self.clock.monotonic()
        self.stats_by_start[server.start] = ServerStats(
            outstanding=before.outstanding, avoided_until=now + DOWN_PAUSE, seen_at=now
        )

    def record_failure(
        self, server: BackendServer, servers: list[BackendServer]
    ) -> bool:
        """Take a failure; return whether the server is avoided from now on."""
        record = self.stats(server)
        record.seen_at = self.clock.monotonic()
        record.failures += 1
        record.failed_share += AVERAGE_WEIGHT * (1 - record.failed_share)
        in_a_row = record.failures >= FAILURES_TO_EJECT
        often = in_a_row or record.failed_share >= SHARE_TO_EJECT
        if not often or not self.policy.ejection:
            return False
        return self.eject(record, servers)

    def eject(self, record: ServerStats, servers: list[BackendServer]) -> bool:
        """Avoid a server for a while, unless too many are avoided already."""
        now = self.clock.monotonic()
        out = sum(1 for server in servers if self.stats(server).avoided_until > now)
        if not EJECTION.allowed(out, len(servers)):
            return False
        record.avoided_until = now + EJECTION.pause(record.ejections, self.chance)
        record.ejections += 1
        return True


def aged(busy: float, age: float) -> float:
    """Return what a load that was told some seconds ago still counts."""
    return busy * 0.5 ** (age / LOAD_HALF_LIFE)
