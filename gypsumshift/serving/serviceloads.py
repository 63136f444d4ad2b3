"""Load of services by the reports that the load balancer holds."""

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
    """

    def __init__(self, balancer: LoadBalancer, directory: Directory):
        self.balancer = balancer
        self.directory = directory
        self.states: dict[str, tuple[float, ServiceState | None]] = {}

    def state(self, service: str) -> ServiceState | None:
        """Return the present state; None if no server has reported its load lately."""
        now = self.balancer.clock.monotonic()
        computed_at, state = self.states.get(service, (float("-inf"), None))
        if now - computed_at > STATE_MAX_AGE_SECONDS:
            state = self.compute(service, now)
            self.states[service] = now, state
        return state

    def compute(self, service: str, now: float) -> ServiceState | None:
        """Return the state by the reports of servers that are not avoided."""
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
        places = balancer.service_capacity(servers)
        return ServiceState(places, slots, busy, waiting, free, age / count)
