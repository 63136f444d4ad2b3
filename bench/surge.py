"""Requests of a surge, and their summary by workspace."""

import collections
import statistics
from collections.abc import Iterable, Sequence

import attrs

__all__ = [
    "CallRecord",
    "WorkspaceSummary",
    "format_summaries",
    "percentile_ms",
    "summarize",
]

REFUSAL_STATUSES = (429, 503)
OK_STATUS = 200


@attrs.frozen
class CallRecord:
    """A request of a caller, with the retries that gateways asked for.

    Attributes
    ----------
    workspace, phase : str
    status : int
        Status of the last answer; 0 if there was no complete answer.
    seconds : float
        Time from when the request was due to its last answer, retries included.
    refusal_seconds : tuple of float
        Time of each refusal since its attempt began.
    lag_s : float
        Time from when the request was due to its first attempt, which a busy caller
        process delays.
    """

    workspace: str
    phase: str
    status: int
    seconds: float
    refusal_seconds: tuple[float, ...] = attrs.field(default=(), converter=tuple)
    lag_s: float = 0.0

    def outcome(self, objective_s: float) -> str:
        """Return ``in time``, ``late``, ``refused`` or ``failed``."""
        if self.status in REFUSAL_STATUSES:
            return "refused"
        if self.status != OK_STATUS:
            return "failed"
        return "in time" if self.seconds <= objective_s else "late"


@attrs.frozen
class WorkspaceSummary:
    """Outcomes and times of one workspace's requests.

    Attributes
    ----------
    requests, in_time, late, refused, failed : int
    answer_p50_ms, answer_p99_ms : float or None
        Times of the requests that were answered with status 200; None without any.
    refusal_p50_ms, refusal_p99_ms : float or None
        Times of all refusals, also of those that a retry followed; None without any.
    lag_p99_ms : float or None
        By how much the callers were late themselves; None without requests.
    """

    requests: int
    in_time: int
    late: int
    refused: int
    failed: int
    answer_p50_ms: float | None
    answer_p99_ms: float | None
    refusal_p50_ms: float | None
    refusal_p99_ms: float | None
    lag_p99_ms: float | None

    @property
    def in_time_share(self) -> float:
        """Share of the requests that were answered in time; 0 without requests."""
        return self.in_time / self.requests if self.requests else 0.0

    @property
    def served_share(self) -> float:
        """Share of the requests that were answered, in time or late."""
        return (self.in_time + self.late) / self.requests if self.requests else 0.0


def percentile_ms(seconds: Sequence[float], percent: int) -> float | None:
    """Return an interpolated percentile in milliseconds; None without values."""
    if not seconds:
        return None
    if len(seconds) == 1:
        return 1000 * seconds[0]
    cuts = statistics.quantiles(seconds, n=100, method="inclusive")
    return 1000 * cuts[percent - 1]


def summarize(records: Iterable[CallRecord], objective_s: float) -> WorkspaceSummary:
    """Summarize requests, of which those answered within the objective are in time."""
    records = list(records)
    counts = collections.Counter(record.outcome(objective_s) for record in records)
    answers = [record.seconds for record in records if record.status == OK_STATUS]
    refusals = [seconds for record in records for seconds in record.refusal_seconds]
    return WorkspaceSummary(
        requests=len(records),
        in_time=counts["in time"],
        late=counts["late"],
        refused=counts["refused"],
        failed=counts["failed"],
        answer_p50_ms=percentile_ms(answers, 50),
        answer_p99_ms=percentile_ms(answers, 99),
        refusal_p50_ms=percentile_ms(refusals, 50),
        refusal_p99_ms=percentile_ms(refusals, 99),
        lag_p99_ms=percentile_ms([record.lag_s for record in records], 99),
    )


def format_summaries(summaries: dict[str, dict[str, WorkspaceSummary]]) -> list[str]:
    """Format summaries by arm and workspace as a Markdown table."""
    lines = [
        "| workspace | arm | requests | in time | late | refused | failed "
        "| p50 ms | p99 ms | refusal p50 ms | refusal p99 ms | lag p99 ms |",
        "| --- | --- |" + " ---: |" * 10,
    ]
    workspaces = dict.fromkeys(name for arm in summaries.values() for name in arm)
    for workspace in workspaces:
        for arm, by_workspace in summaries.items():
            if workspace in by_workspace:
                cells = [workspace, arm, *format_cells(by_workspace[workspace])]
                lines.append(f"| {' | '.join(cells)} |")
    return lines


def format_cells(summary: WorkspaceSummary) -> list[str]:
    """Return the table cells of a summary."""
    return [
        "-" if value is None else f"{value:.0f}" for value in attrs.astuple(summary)
    ]
