"""Results of experiments: stored as JSON with a plot, compared, and listed."""

import json
import pathlib

import attrs

__all__ = [
    "COMMITTED_REPORTS",
    "REPORTS",
    "Row",
    "compare_results",
    "format_table",
    "read_result",
    "write_result",
]

REPORTS = pathlib.Path("reports")
COMMITTED_REPORTS = pathlib.Path("docs/results")


@attrs.frozen
class Row:
    """One measurement of candidate and baseline, with its target.

    Attributes
    ----------
    what : str
        Name of the measurement.
    candidate, baseline : float
    unit : str
    aim : str
        Target in words, such as "<= 0.5".
    met : bool
        Whether the target is met, by the ratio or by the candidate alone.
    """

    what: str
    candidate: float
    baseline: float
    unit: str
    aim: str
    met: bool

    @property
    def ratio(self) -> float:
        """Candidate divided by baseline; 1 if both are 0."""
        if not self.baseline:
            return float("inf") if self.candidate else 1.0
        return self.candidate / self.baseline

    def format(self) -> str:
        """Format the row as a line of text."""
        verdict = "met" if self.met else "MISSED"
        return (
            f"{self.what:44} {self.candidate:10.4g} {self.baseline:10.4g} {self.unit:8}"
            f" ratio {self.ratio:6.3f}  aim {self.aim:12} {verdict}"
        )


def write_result(name: str, rows: list[Row], details: dict) -> None:
    """Write a result as JSON into the report folder, and plot its rows."""
    REPORTS.mkdir(exist_ok=True)
    value = {
        "name": name,
        "rows": [attrs.asdict(row) | {"ratio": row.ratio} for row in rows],
        "details": details,
    }
    (REPORTS / f"{name}.json").write_text(json.dumps(value, indent=2))
    plot_result(name, rows, details)


def plot_result(name: str, rows: list[Row], details: dict) -> None:
    """Plot the ratios of a result, and its curve if it has one."""
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


def read_result(path: str) -> dict:
    """Read a result from its JSON file."""
    return json.loads(pathlib.Path(path).read_text())


def compare_results(first: str, second: str) -> list[str]:
    """Format the ratios of two results side by side, one line per common row."""
    first_result, second_result = read_result(first), read_result(second)
    second_rows = {row["what"]: row for row in second_result["rows"]}
    lines = [f"{'':44} {'first':>10} {'second':>10}"]
    for row in first_result["rows"]:
        if row["what"] in second_rows:
            left, right = row["ratio"], second_rows[row["what"]]["ratio"]
            lines.append(f"{row['what']:44} {left:10.3f} {right:10.3f}")
    return lines


def format_table(folder: pathlib.Path = COMMITTED_REPORTS) -> str:
    """Format all results in a folder as one Markdown table."""
    lines = ["| experiment | what | candidate | baseline | ratio | aim | |"]
    lines.append("| --- | --- | ---: | ---: | ---: | --- | --- |")
    for path in sorted(folder.glob("*.json")):
        for row in read_result(str(path))["rows"]:
            verdict = "met" if row["met"] else "**missed**"
            cells = [path.stem, row["what"]]
            cells += [
                f"{row[key]:.4g} {row['unit']}" for key in ("candidate", "baseline")
            ]
            cells += [f"{row['ratio']:.3f}", row["aim"], verdict]
            lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines)
