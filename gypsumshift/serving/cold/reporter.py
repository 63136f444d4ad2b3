"""Logs and metrics of the rate limit of cold servers."""

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.metrics import Metrics
from gypsumshift.serving.cold.knowledge import ColdKnowledge
from gypsumshift.serving.cold.permits import Grant
from gypsumshift.serving.directory import BackendServer

__all__ = ["ColdReporter"]

# Minimum time between two log lines about delayed requests.
DELAYED_LOG_SECONDS = 1.0

log = logs.logger("coldrates")


class ColdReporter:
    """Logs changes of servers between cold and warm, and counts delayed requests.

    Parameters
    ----------
    clock : Clock
    metrics : Metrics

    Attributes
    ----------
    was_cold : dict
        Last state that was logged, by server id.
    delayed : int
        Number of requests that were delayed and not logged yet.
    """

    def __init__(self, clock: Clock, metrics: Metrics):
        self.clock = clock
        self.metrics = metrics
        self.was_cold: dict[str, bool] = {}
        self.delayed = 0
        self.delayed_logged_at = float("-inf")

    def record_state(
        self, server: BackendServer, cold: bool, knowledge: ColdKnowledge
    ) -> None:
        """Log the state of a server if it has changed, with its source and age."""
        if self.was_cold.get(server.id) is cold:
            return
        self.was_cold[server.id] = cold
        source, since = knowledge.source(server)
        text = (
            "A backend server is cold; requests to it are limited."
            if cold
            else "A backend server is warm; requests to it are not limited."
        )
        logs.event(
            log,
            text,
            server=server.id,
            born=server.born,
            source=source.value,
            age_s=round(self.clock.monotonic() - since, 3),
        )

    def count_delayed(self, server: BackendServer) -> None:
        """Count a delayed request, and log at most one line a second for all."""
        self.metrics.count("cold_delayed", service=server.service)
        self.delayed += 1
        now = self.clock.monotonic()
        if now - self.delayed_logged_at < DELAYED_LOG_SECONDS:
            return
        logs.event(
            log,
            "Requests wait because their server is cold.",
            server=server.id,
            requests=self.delayed,
        )
        self.delayed = 0
        self.delayed_logged_at = now

    def count_withheld(self, server: BackendServer) -> None:
        """Count a request that the check right before the send did not allow."""
        self.metrics.count("cold_withheld", service=server.service)

    def count_permit(self, server: BackendServer, grant: Grant) -> None:
        """Count the answer of another process that was asked for a permit."""
        self.metrics.count("cold_permits", service=server.service, grant=grant.value)

    def prune(self, known: set[str]) -> None:
        """Remove the state of servers that are not listed any more."""
        self.was_cold = {s: cold for s, cold in self.was_cold.items() if s in known}
