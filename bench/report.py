"""Report: results as JSON with a plot, and two of them side by side."""

import json
import pathlib

import attrs

__all__ = ["KEPT", "REPORTS", "Row", "compare", "load", "table", "write"]

REPORTS = pathlib.Path("reports")
KEPT = pathlib.Path("docs/results")


@attrs.frozen
class Row:
    """One figure of candidate and baseline beside its aim.

    Attributes
    ----------
    what : str
    candidate, baseline : float
    unit : str
    aim : str
        In words, such as "<= 0.5".
    met : bool
        Whether the aim is met, by ratio or by candidate.
    """

    what: str
    candidate: float
    baseline: float
    unit: str
    aim: str
    met: bool

    @property
    def ratio(self) -> float:
        """Candidate over baseline; 1 where both are 0."""
        if not self.baseline:
            return float("inf") if self.candidate else 1.0
        return self.candidate / self.baseline

    def line(self) -> str:
        """Return the row as text."""
        verdict = "met" if self.met else "MISSED"
        return (
            f"{self.what:44} {self.candidate:10.4g} {self.baseline:10.4g} {self.unit:8}"
            f" ratio {self.ratio:6.3f}  aim {self.aim:12} {verdict}"
        )


def write(name: str, rows: list[Row], details: dict) -> None:
    """Write a result into the report folder, and plot its rows."""
    REPORTS.mkdir(exist_ok=True)
    value = {
        "name": name,
        "rows": [attrs.asdict(row) | {"ratio": row.ratio} for row in rows],
        "details": details,
    }
    (REPORTS / f"{name}.json").write_text(json.dumps(value, indent=2))
    plot(name, rows, details)


def plot(name: str, rows: list[Row], details: dict) -> None:
    """Plot the ratios of a result, and its curve where it has one."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    curve = details.get("curve")
    figure, axes = pyplot.subplots(1, 2 if curve else 1, figsize=(10, 4), squeeze=False)
    axis = axes[0][0]
    axis.barh([row.what for row in rows], [row.ratio for row in rows])
    axis.axvline(1, color="black", linewidth=0.8)
    axis.set_xlabel("candidate / baseline")
    if curve:
        axis = axes[0][1]
        axis.plot([p["x"] for p in curve], [p["y"] for p in curve], marker="o")
        for point in curve:
            axis.annotate(point["label"], (point["x"], point["y"]))
        axis.set_xlabel(details["curve_x"])
        axis.set_ylabel(details["curve_y"])
    figure.suptitle(name)
    figure.tight_layout()
    figure.savefig(REPORTS / f"{name}.png")
    pyplot.close(figure)


def load(path: str) -> dict:
    """Return a result that was written before."""
    return json.loads(pathlib.Path(path).read_text())


def compare(first: str, second: str) -> list[str]:
    """Return two results side by side, line by line."""
    one, two = load(first), load(second)
    other = {row["what"]: row for row in two["rows"]}
    lines = [f"{'':44} {'first':>10} {'second':>10}"]
    for row in one["rows"]:
        if row["what"] in other:
            left, right = row["ratio"], other[row["what"]]["ratio"]
            lines.append(f"{row['what']:44} {left:10.3f} {right:10.3f}")
    return lines


def table(folder: pathlib.Path = KEPT) -> str:
    """Return all results in a folder as one Markdown table."""
    lines = ["| experiment | what | candidate | baseline | ratio | aim | |"]
    lines.append("| --- | --- | ---: | ---: | ---: | --- | --- |")
    for path in sorted(folder.glob("*.json")):
        for row in load(str(path))["rows"]:
            verdict = "met" if row["met"] else "**missed**"
            cells = [path.stem, row["what"]]
            cells += [
                f"{row[key]:.4g} {row['unit']}" for key in ("candidate", "baseline")
            ]
            cells += [f"{row['ratio']:.3f}", row["aim"], verdict]
            lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines)
