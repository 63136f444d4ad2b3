"""Log lines and metrics about the admission of calls to contended services."""

import math

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.metrics import Metrics
from gypsumshift.serving.admissionrule import Decision
from gypsumshift.serving.fairqueue import Ticket
from gypsumshift.tokenbucket import TokenBucket

__all__ = ["AdmissionReport"]

# Lines per second, and lines in a burst: enough to see who is refused and why, and few
# beside the other lines of a process.
LINES_PER_SECOND = 10.0
BURST_LINES = 20.0
# Workspaces with a metric label of their own; the others share one.
MAX_WORKSPACE_LABELS = 16
OTHER_LABEL = "other"
# Calls after which a workspace counts as one of the largest.
LABEL_MIN_CALLS = 20
# Workspaces of which the calls are counted until they have a label.
MAX_COUNTED_WORKSPACES = 256

log = logs.logger("contention")


class AdmissionReport:
    """Reports decisions about calls, with the figures that decided.

    Parameters
    ----------
    clock : Clock
    metrics : Metrics

    Attributes
    ----------
    lines : TokenBucket
        Lines that may be written now.
    suppressed : int
        Lines left out since the last one.
    """

    def __init__(self, clock: Clock, metrics: Metrics):
        self.clock = clock
        self.metrics = metrics
        self.lines = TokenBucket(LINES_PER_SECOND, BURST_LINES, clock.monotonic())
        self.suppressed = 0
        self.counts: dict[str, int] = {}
        self.labels: set[str] = set()

    def report_sent(self, ticket: Ticket, waited: float) -> None:
        """Report a call of a contended service that is sent."""
        label = self.workspace_label(ticket.key.workspace)
        self.metrics.count("admitted_calls", service=ticket.service, workspace=label)
        self.record_wait(ticket, waited, "sent")

    def report_deferred(self, ticket: Ticket, decision: Decision) -> None:
        """Report a call that waits."""
        self.write("Call deferred: its service is full.", ticket, decision)

    def report_refused(self, ticket: Ticket, decision: Decision, waited: float) -> None:
        """Report a call that is refused."""
        label = self.workspace_label(ticket.key.workspace)
        self.metrics.count("refused_calls", service=ticket.service, workspace=label)
        reason = decision.reason
        self.metrics.count("admission_refusals", service=ticket.service, reason=reason)
        self.record_wait(ticket, waited, "refused")
        self.write("Call refused: its service is full.", ticket, decision)

    def record_wait(self, ticket: Ticket, waited: float, outcome: str) -> None:
        """Record the time that a call waited."""
        self.metrics.record_duration(
            "admission_wait_seconds", waited, service=ticket.service, outcome=outcome
        )

    def workspace_label(self, workspace: str) -> str:
        """Return a metric label: the largest workspaces by name, the rest as other."""
        if workspace in self.labels:
            return workspace
        if len(self.labels) >= MAX_WORKSPACE_LABELS:
            return OTHER_LABEL
        if workspace in self.counts or len(self.counts) < MAX_COUNTED_WORKSPACES:
            self.counts[workspace] = self.counts.get(workspace, 0) + 1
            if self.counts[workspace] >= LABEL_MIN_CALLS:
                del self.counts[workspace]
                self.labels.add(workspace)
        return OTHER_LABEL

    def write(self, message: str, ticket: Ticket, decision: Decision) -> None:
        """Write a log line unless there were too many."""
        if not self.lines.take(self.clock.monotonic()):
            self.suppressed += 1
            return
        fields = figure_fields(decision)
        logs.event(
            log,
            message,
            request=ticket.request,
            service=ticket.service,
            workspace=ticket.key.workspace,
            priority=ticket.key.rank,
            reason=decision.reason,
            is_retry=ticket.is_retry,
            **fields,
            retry_after_s=round(decision.retry_after, 3),
            suppressed_lines=self.suppressed,
        )
        self.suppressed = 0


def figure_fields(decision: Decision) -> dict[str, float | int | None]:
    """Return the figures of a decision, rounded, as fields of a log line."""
    figures = decision.figures
    if figures is None:
        return {}
    wait = figures.expected_wait
    return {
        "capacity": round(figures.capacity, 2),
        "demand": round(figures.demand, 2),
        "share": round(figures.share, 3),
        "waiting": figures.waiting,
        "expected_wait_s": round(wait, 3) if math.isfinite(wait) else None,
        "utilization": round(figures.utilization, 2),
        "load_age_s": round(figures.load_age, 2),
        "demand_age_s": round(figures.demand_age, 2),
        "other_processes": figures.others,
    }
