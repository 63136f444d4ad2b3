"""Rows and plot of the contention experiment."""

import statistics

from bench.report import REPORTS, Row
from bench.surge import CallRecord, WorkspaceSummary, summarize
from bench.surgedeployment import MEMORY_MB
from bench.surgescenario import FLOODER, LAST, OBJECTIVE_MS, ONSET_S, WORKSPACES

__all__ = ["PERIODS", "Summaries", "make_rows", "plot_workspaces", "summarize_phases"]

# Summaries by arm and workspace.
Summaries = dict[str, dict[str, WorkspaceSummary]]

# Phases of the periods that are reported.
PERIODS = {
    "calm": ("calm",),
    "surge": ("onset", "lasting"),
    "lasting": ("lasting",),
    "recovery": ("recovery",),
}
OUTCOME_FIELDS = ("in_time", "late", "refused", "failed")
# The other workspaces ask for half of what the slowed service can do, so they are to be
# served as before. The lowest priority keeps a quarter of the mean.
MAX_LOSS = 0.05
MIN_SERVED_RATIO = 0.25


def summarize_phases(
    records: dict[str, list[CallRecord]], phases: tuple[str, ...]
) -> Summaries:
    """Return the summaries of some phases by arm and workspace."""
    return {
        arm: {
            name: summarize(
                (r for r in calls if r.workspace == name and r.phase in phases),
                OBJECTIVE_MS / 1000,
            )
            for name in WORKSPACES
        }
        for arm, calls in records.items()
    }


def make_rows(by_period: dict[str, Summaries], peaks: dict[str, float]) -> list[Row]:
    """Return the rows: shares in time and served, refusals, and memory."""
    calm, lasting, surge = (by_period[n] for n in ("calm", "lasting", "surge"))
    rows = []
    for name in (n for n in WORKSPACES if n not in (FLOODER, LAST)):
        share, before = (p["all"][name].in_time_share for p in (lasting, calm))
        what = f"in time, {name}, from {ONSET_S:.0f} s on / before"
        rows.append(make_loss_row(what, share, before))
    served = surge["all"][LAST].served_share
    mean = statistics.mean(summary.served_share for summary in surge["all"].values())
    met = served >= MIN_SERVED_RATIO * mean
    aim = f">= {MIN_SERVED_RATIO}"
    rows.append(Row(f"served, {LAST} / mean of all", served, mean, "share", aim, met))
    rows += [make_missed_row(name, surge) for name in WORKSPACES]
    shares = [mean_in_time_share(surge[arm]) for arm in ("all", "without budget")]
    rows.append(make_loss_row("in time, others / without budget", *shares))
    refusal_ms = surge["all"][FLOODER].refusal_p99_ms or 0.0
    what = "refusal p99 of the flood / quarter objective"
    rows.append(make_limit_row(what, refusal_ms, OBJECTIVE_MS / 4, "ms"))
    what = "peak memory of a gateway / limit"
    rows.append(make_limit_row(what, peaks["all"], MEMORY_MB, "MB"))
    what = "peak memory of a gateway / without budget"
    rows.append(Row(what, peaks["all"], peaks["without budget"], "MB", "-", True))
    return rows


def mean_in_time_share(summaries: dict[str, WorkspaceSummary]) -> float:
    """Return the mean share in time of the workspaces that do not flood."""
    return statistics.mean(
        summary.in_time_share for name, summary in summaries.items() if name != FLOODER
    )


def make_loss_row(what: str, share: float, baseline: float) -> Row:
    """Return a row whose share may be a little less than the baseline."""
    met = share >= baseline - MAX_LOSS
    return Row(what, share, baseline, "share", f"loss <= {MAX_LOSS}", met)


def make_missed_row(name: str, surge: Summaries) -> Row:
    """Return the row that compares the shares not in time with no admission."""
    arm = "without admission"
    missed = 1 - surge["all"][name].in_time_share
    other = 1 - surge[arm][name].in_time_share
    what = f"not in time, {name} / {arm}"
    if name == FLOODER:
        # The flood may lose what the others gain.
        return Row(what, missed, other, "share", "-", True)
    return make_limit_row(what, missed, other, "share")


def make_limit_row(what: str, value: float, limit: float, unit: str) -> Row:
    """Return a row whose candidate is to be at most the baseline."""
    return Row(what, value, limit, unit, "<= 1", value <= limit)


def plot_workspaces(surge: Summaries) -> None:
    """Plot the shares of the outcomes by workspace and arm."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, len(WORKSPACES), figsize=(14, 4), sharey=True)
    for axis, name in zip(axes, WORKSPACES, strict=True):
        bottoms = [0.0] * len(surge)
        for field in OUTCOME_FIELDS:
            summaries = [by_workspace[name] for by_workspace in surge.values()]
            shares = [getattr(s, field) / max(1, s.requests) for s in summaries]
            axis.bar(list(surge), shares, bottom=bottoms, label=field.replace("_", " "))
            bottoms = [a + b for a, b in zip(bottoms, shares, strict=True)]
        axis.set_title(f"{name} (priority {WORKSPACES[name]})")
        axis.tick_params(axis="x", rotation=30)
    axes[0].set_ylabel("share of requests during the surge")
    axes[-1].legend()
    figure.tight_layout()
    REPORTS.mkdir(exist_ok=True)
    figure.savefig(REPORTS / "contention-workspaces.png")
    pyplot.close(figure)
