"""Which services have no server that this process can reach.

A call to a service whose servers all refuse or ignore connections can only wait, and is
better refused at once. The decision is made by the connections that failed, of calls
and of probes (`reachprobes.py`). Failures that other processes report lead to probes,
and count no further: a server that they cannot reach may be reachable from here. A new
start of a server has no failures, so its service counts as reachable at once. The
module uses no network; the clock and the random source are passed in.
"""

import math
import random
from collections.abc import Iterable

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.outcomes import Answered
from gypsumshift.serving.calls import AttemptOutcome, Failed, Refused
from gypsumshift.serving.directory import BackendServer, ServerStart
from gypsumshift.serving.observations import (
    UNREACHABLE_SHARE,
    Observation,
    Observations,
)

__all__ = ["Reachability", "Unreached"]

# Failed connections to all servers together from which a service counts as unreachable.
# A single lost packet of a service with one server is no such failure.
MIN_FAILURES = 3
# Age after which a failure no longer counts. Probes renew it twice a second, so this
# only matters if they do not run, and then lets a call find out.
MAX_AGE_SECONDS = 4.0
# A service that was reached this lately is not probed.
REACHED_SECONDS = 1.0
# How long a service may have no listed server before its calls are refused at once. A
# server that starts again is listed within about a second.
EMPTY_SECONDS = 1.0
# Without a call or probe for this long, a service without servers counts as new.
EMPTY_GAP_SECONDS = 2.0
# Retry-After: a service that was unreachable for long probably remains so for as long.
# At least one probe happens in between; callers honour a third of the time left.
MIN_RETRY_SECONDS, MAX_RETRY_SECONDS = 0.5, 2.0
RETRY_JITTER = 0.25
HONOURED_SHARE = 1 / 3
# Minimum time between two log lines about refused calls.
LOG_INTERVAL_SECONDS = 1.0

log = logs.logger("reachability")


@attrs.define
class Unreached:
    """Failed connections to one start of a server since the last good one.

    Attributes
    ----------
    failures : int
    last_at : float
        Time of the last one, in seconds.
    """

    failures: int = 0
    last_at: float = 0.0


@attrs.define
class ServiceReach:
    """State of one service.

    Attributes
    ----------
    down_since : float or None
        None while it counts as reachable.
    empty_since, empty_at : float or None
        Since when no server has been listed, and when that was last seen.
    refused : int
        Calls refused since then.
    """

    down_since: float | None = None
    empty_since: float | None = None
    empty_at: float = 0.0
    refused: int = 0


class Reachability:
    """Decides which services count as unreachable, by failed connections.

    Parameters
    ----------
    clock : Clock
    chance : random.Random
    shared : Observations
        Observations of servers that processes exchange.

    Attributes
    ----------
    unreached : dict
        `Unreached` by `ServerStart`, for the servers whose last connection failed.
    reached_at : dict
        Time at which any server was last reached, by service.
    services : dict
        `ServiceReach` by service.
    """

    def __init__(self, clock: Clock, chance: random.Random, shared: Observations):
        self.clock = clock
        self.chance = chance
        self.shared = shared
        self.unreached: dict[ServerStart, Unreached] = {}
        self.reached_at: dict[str, float] = {}
        self.services: dict[str, ServiceReach] = {}
        self.refusals = logs.RateLimitedEvents(log, LOG_INTERVAL_SECONDS)

    def record_outcome(self, server: BackendServer, outcome: AttemptOutcome) -> None:
        """Record the outcome of an attempt at a server."""
        if isinstance(outcome, Answered | Refused):
            self.record_reached(server)
        elif isinstance(outcome, Failed) and not outcome.local:
            if outcome.gone or not outcome.sent:
                self.record_unreached(server, outcome.gone)
            else:
                self.record_reached(server)

    def record_reached(self, server: BackendServer) -> None:
        """Record that a server accepted a connection."""
        start = server.start
        self.reached_at[server.service] = self.clock.monotonic()
        if self.unreached.pop(start, None) is not None or self.is_reported(start):
            self.share(start, 0.0)

    def record_unreached(self, server: BackendServer, gone: bool = False) -> None:
        """Record a connection that failed.

        Parameters
        ----------
        server : BackendServer
        gone : bool
            Whether nothing listens at the server's address. One such answer suffices.
        """
        self.prune()
        known = self.unreached.setdefault(server.start, Unreached())
        known.failures += MIN_FAILURES if gone else 1
        known.last_at = self.clock.monotonic()
        if known.failures > 1:
            self.share(server.start, UNREACHABLE_SHARE)

    def share(self, start: ServerStart, failed_share: float) -> None:
        """Tell other processes whether a server can be reached."""
        now = self.clock.monotonic()
        self.shared.merge([Observation(start, 0.0, 0.0, failed_share, now)])

    def is_reported(self, start: ServerStart) -> bool:
        """Return whether the newest observation is that a server is unreachable."""
        return start in self.shared.unreachable and self.shared.get(start) is not None

    def is_clear(self, service: str) -> bool:
        """Return whether nothing at all speaks against the servers of a service.

        Asked for each call, in any deployment, so it must cost next to nothing.
        """
        return not (
            self.unreached or self.shared.unreachable or service in self.services
        )

    def failures(self, start: ServerStart) -> int:
        """Return the failed connections to a server since the last good one."""
        known = self.unreached.get(start)
        if known is None or self.clock.monotonic() - known.last_at > MAX_AGE_SECONDS:
            return 0
        return known.failures

    def needs_probe(self, service: str, servers: Iterable[BackendServer]) -> bool:
        """Return whether a service may be unreachable, by any process's failures."""
        reached_at = self.reached_at.get(service, -math.inf)
        if self.clock.monotonic() - reached_at <= REACHED_SECONDS:
            return False
        return any(
            self.failures(server.start) or self.is_reported(server.start)
            for server in servers
        )

    def is_down(self, service: str, servers: list[BackendServer]) -> bool:
        """Return whether a service counts as unreachable now.

        Parameters
        ----------
        service : str
        servers : list of BackendServer
            Its ready servers.
        """
        state = self.services.setdefault(service, ServiceReach())
        if servers:
            failures = [self.failures(server.start) for server in servers]
            down = all(failures) and sum(failures) >= MIN_FAILURES
            state.empty_since = None
        else:
            down = self.is_empty_for_long(state)
        self.note_change(service, state, down, len(servers))
        if servers and not down:
            del self.services[service]
        return down

    def is_empty_for_long(self, state: ServiceReach) -> bool:
        """Return whether a service without listed servers has been so for a while.

        One whose entries expired while it was unreachable stays so.
        """
        if state.down_since is not None:
            return True
        now = self.clock.monotonic()
        if state.empty_since is None or now - state.empty_at > EMPTY_GAP_SECONDS:
            state.empty_since = now
        state.empty_at = now
        return now - state.empty_since >= EMPTY_SECONDS

    def note_change(
        self, service: str, state: ServiceReach, down: bool, servers: int
    ) -> None:
        """Record and log that a service became unreachable, or reachable again."""
        now = self.clock.monotonic()
        if down and state.down_since is None:
            state.down_since, state.refused = now, 0
            logs.event(
                log,
                "No server of a service can be reached; its calls are refused.",
                service=service,
                servers=servers,
            )
        elif not down and state.down_since is not None:
            logs.event(
                log,
                "A server of a service can be reached again.",
                service=service,
                down_s=round(now - state.down_since, 2),
                refused=state.refused,
            )
            state.down_since = None

    def refuse(self, service: str, time_left: float) -> float:
        """Register a refused call; return the seconds until a retry.

        Parameters
        ----------
        service : str
        time_left : float
            Seconds until the call's deadline.
        """
        state = self.services.setdefault(service, ServiceReach())
        state.refused += 1
        now = self.clock.monotonic()
        known_for = now - state.down_since if state.down_since is not None else 0.0
        seconds = min(max(known_for, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
        seconds *= self.chance.uniform(1.0 - RETRY_JITTER, 1.0 + RETRY_JITTER)
        useful = HONOURED_SHARE * time_left
        if useful >= MIN_RETRY_SECONDS:
            seconds = min(seconds, useful)
        self.refusals.event(
            now,
            "Calls refused: no server of the service can be reached.",
            service=service,
            down_s=round(known_for, 2),
            retry_after_s=round(seconds, 2),
        )
        return seconds

    def servers_to_probe(
        self, servers: list[BackendServer], count: int
    ) -> list[BackendServer]:
        """Return the servers to probe next: without own failures, then the oldest."""
        order = list(servers)
        self.chance.shuffle(order)
        order.sort(key=self.probed_at)
        return order[:count]

    def probed_at(self, server: BackendServer) -> float:
        """Return when a connection to a server last failed; 0 if it did not."""
        known = self.unreached.get(server.start)
        return known.last_at if known and self.failures(server.start) else 0.0

    def prune(self) -> None:
        """Remove failures that no longer count, also those of former starts."""
        self.unreached = {s: u for s, u in self.unreached.items() if self.failures(s)}
