"""Breakdown of each day's lost worth, from journal entries of the users' bench.

``python -m bench.worth journal/ENTRY.json ... [--plot FILE]`` prints a table for each
deployment. Each day has a row with its worth, the loss from each part of the credit
(its weight times the missing share), and each price. Columns without any noticeable
loss are left out.
"""

import collections
import json
import pathlib
import sys
from typing import Annotated

import attrs
import typer

__all__ = ["Day", "format_table", "main", "parse_days"]

# Columns with a smaller loss than this on every day are summed up as the rest.
MIN_SHOWN_LOSS = 0.005
REST = "rest"
EXIT_INVALID = 2


@attrs.frozen
class Day:
    """Result of one day.

    Attributes
    ----------
    site, name : str
    worth : float
    full_mark : float or None
        Worth at which the users give a day their full mark.
    broken_rules : int
        Number of violations of rules.
    losses : dict
        Lost worth by part of the credit or by price.
    """

    site: str
    name: str
    worth: float
    full_mark: float | None
    broken_rules: int
    losses: dict[str, float]


def parse_day(site: str, value: dict) -> Day:
    """Parse one day of a journal entry; raises KeyError or TypeError."""
    losses = {name: weight * (1 - got) for name, weight, got in value["parts"]}
    losses |= {name: cost for name, _, cost in value["prices"]}
    name = value["name"].partition(" ")[0]
    rules = value.get("rules") or {}
    return Day(site, name, value["G"], value.get("top"), sum(rules.values()), losses)


def parse_days(text: str) -> list[Day]:
    """Parse the days of a journal entry; raises ValueError if it is malformed."""
    try:
        entry = json.loads(text)
        return [parse_day(entry["site"] or "", day) for day in entry["days"]]
    except (AttributeError, KeyError, TypeError) as error:
        raise ValueError(f"not a journal entry of the bench: {error!r}") from error


def select_columns(days: list[Day]) -> list[str]:
    """Return the columns with a noticeable loss on any day, by descending total."""
    total: collections.Counter = collections.Counter()
    for day in days:
        total.update(day.losses)
    shown = {
        n for day in days for n, cost in day.losses.items() if cost >= MIN_SHOWN_LOSS
    }
    return [name for name, _ in total.most_common() if name in shown]


def format_cells(day: Day, columns: list[str]) -> list[str]:
    """Format the cells of a day's row."""
    losses = [day.losses.get(name, 0.0) for name in columns]
    rest = sum(day.losses.values()) - sum(losses)
    full_mark = "" if day.full_mark is None else f"{day.full_mark:.3f}"
    figures = [f"{cost:.3f}" for cost in (*losses, rest)]
    return [day.name, f"{day.worth:.3f}", full_mark, str(day.broken_rules), *figures]


def format_table(days: list[Day]) -> str:
    """Format the days of one deployment and their mean worth as a Markdown table."""
    columns = select_columns(days)
    header = ["day", "worth", "full mark", "rules broken", *columns, REST]
    rows = [format_cells(day, columns) for day in days]
    mean = sum(day.worth for day in days) / len(days)
    rows.append(["mean", f"{mean:.3f}", *[""] * (len(header) - 2)])
    rule = ["---", *["---:"] * (len(header) - 1)]
    return "\n".join(f"| {' | '.join(row)} |" for row in [header, rule, *rows])


def plot_losses(days: list[Day], path: pathlib.Path) -> None:
    """Plot the losses of each day as stacked bars into a PNG file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    columns = select_columns(days)
    figure, axis = pyplot.subplots(figsize=(10, 1 + 0.4 * len(days)))
    labels = [f"{day.site} {day.name}" for day in days]
    bar_starts = [0.0] * len(days)
    for name in columns:
        widths = [max(day.losses.get(name, 0.0), 0.0) for day in days]
        axis.barh(labels, widths, left=bar_starts, label=name)
        bar_starts = [
            start + width for start, width in zip(bar_starts, widths, strict=True)
        ]
    axis.invert_yaxis()
    axis.set_xlabel("worth lost")
    axis.legend(fontsize="small", loc="best")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def main(
    entries: Annotated[list[pathlib.Path], typer.Argument(help="Journal entries.")],
    plot_path: Annotated[
        pathlib.Path | None, typer.Option("--plot", help="PNG file for a plot.")
    ] = None,
) -> None:
    """Print the lost worth of each day, by part of the credit and by price."""
    by_site: dict[str, list[Day]] = {}
    for entry in entries:
        try:
            for day in parse_days(entry.read_text()):
                by_site.setdefault(day.site, []).append(day)
        except (OSError, ValueError) as error:
            print(f"worth: cannot read {entry}: {error}", file=sys.stderr)
            raise typer.Exit(EXIT_INVALID) from error
    for site, days in by_site.items():
        print(f"{site}\n\n{format_table(days)}\n")
    if plot_path is not None and by_site:
        plot_losses([day for days in by_site.values() for day in days], plot_path)


if __name__ == "__main__":
    typer.run(main)
