"""Load of services by the reports that the load balancer holds."""

import attrs

from gypsumshift.serving.admissionrule import LoadSource
from gypsumshift.serving.capacitycorrection import ServiceState
from gypsumshift.serving.directory import Directory
from gypsumshift.serving.loadbalancer import LoadBalancer

__all__ = ["BalancerLoads"]

# Age up to which a computed state is used again. Reports are ten times as old.
STATE_MAX_AGE_SECONDS = 0.02


class BalancerLoads(LoadSource):
    """State of services by the newest reports of their servers.

    Parameters
    ----------
    balancer : LoadBalancer
    directory : Directory

    Attributes
    ----------
    states : dict
        When the state was last computed, and the state, by service. Its places, which
        only a contended service needs, are computed once they are asked for.
    complete : set of str
        Services whose state has its places.
    """

    def __init__(self, balancer: LoadBalancer, directory: Directory):
        self.balancer = balancer
        self.directory = directory
        self.states: dict[str, tuple[float, ServiceState | None]] = {}
        self.complete: set[str] = set()

    def state(self, service: str) -> ServiceState | None:
        """Return the present state; None if no server has reported its load lately."""
        state = self.state_without_places(service)
        if state is not None and service not in self.complete:
            servers = self.directory.ready_servers(service)
            places = self.balancer.service_capacity(servers)
            state = attrs.evolve(state, places=places)
            self.states[service] = self.states[service][0], state
            self.complete.add(service)
        return state

    def state_without_places(self, service: str) -> ServiceState | None:
        """Return the present state; see `LoadSource.state_without_places`."""
        now = self.balancer.clock.monotonic()
        computed_at, state = self.states.get(service, (float("-inf"), None))
        if now - computed_at > STATE_MAX_AGE_SECONDS:
            state = self.compute(service, now)
            self.states[service] = now, state
            self.complete.discard(service)
        return state

    def compute(self, service: str, now: float) -> ServiceState | None:
        """Return the state without places, by reports of servers not avoided."""
        balancer = self.balancer
        servers = self.directory.ready_servers(service)
        slots = busy = waiting = free = age = 0.0
        count = 0
        for server in servers:
            stats = balancer.stats(server)
            report = balancer.load_reports.get(server.start)
            if report is None or max(stats.avoided_until, stats.lost_until) > now:
                continue
            known_busy = max(report.busy, float(stats.outstanding))
            count += 1
            slots += report.slots
            busy += known_busy
            waiting += max(0.0, known_busy - report.slots)
            free += max(0.0, report.slots - known_busy)
            age += now - report.reported_at
        if not count:
            return None
        return ServiceState(0.0, slots, busy, waiting, free, age / count)
