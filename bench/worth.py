"""Worth: what a day lost, by part and price, from the journal of the users' bench.

``python -m bench.worth journal/ENTRY.json ... [--plot FILE]`` prints a table for each
deployment: a row a day with its worth, what each part of the credit cost (its weight
times what is missing of it), and each price. What costs nothing anywhere is left out.
"""

import collections
import json
import pathlib
import sys
from typing import Annotated

import attrs
import typer

__all__ = ["Day", "days_in", "main", "table"]

# Columns that cost less than this on every day are added up as the rest.
SHOWN_FROM = 0.005
REST = "rest"
EXIT_INVALID = 2


@attrs.frozen
class Day:
    """One day as it was played.

    Attributes
    ----------
    site, name : str
    worth : float
    one : float or None
        Worth at which the users give a day their full mark.
    broken : int
        Broken rules.
    lost : dict
        Worth lost, by part of the credit or price.
    """

    site: str
    name: str
    worth: float
    one: float | None
    broken: int
    lost: dict[str, float]


def day_of(site: str, value: dict) -> Day:
    """Return one day of a journal entry; raises KeyError or TypeError."""
    lost = {name: weight * (1 - got) for name, weight, got in value["parts"]}
    lost |= {name: cost for name, _, cost in value["prices"]}
    name = value["name"].partition(" ")[0]
    rules = value.get("rules") or {}
    return Day(site, name, value["G"], value.get("top"), sum(rules.values()), lost)


def days_in(text: str) -> list[Day]:
    """Return the days of a journal entry; raises ValueError for another text."""
    try:
        entry = json.loads(text)
        return [day_of(entry["site"] or "", day) for day in entry["days"]]
    except (AttributeError, KeyError, TypeError) as error:
        raise ValueError(f"no journal entry: {error!r}") from error


def columns_of(days: list[Day]) -> list[str]:
    """Return what cost enough on some day, the dearest in all first."""
    total: collections.Counter = collections.Counter()
    for day in days:
        total.update(day.lost)
    dear = {n for day in days for n, cost in day.lost.items() if cost >= SHOWN_FROM}
    return [name for name, _ in total.most_common() if name in dear]


def cells(day: Day, columns: list[str]) -> list[str]:
    """Return the cells of a day's row."""
    lost = [day.lost.get(name, 0.0) for name in columns]
    rest = sum(day.lost.values()) - sum(lost)
    one = "" if day.one is None else f"{day.one:.3f}"
    figures = [f"{cost:.3f}" for cost in (*lost, rest)]
    return [day.name, f"{day.worth:.3f}", one, str(day.broken), *figures]


def table(days: list[Day]) -> str:
    """Return the days of one deployment as a table, with their mean."""
    columns = columns_of(days)
    head = ["day", "worth", "full mark", "rules broken", *columns, REST]
    rows = [cells(day, columns) for day in days]
    mean = sum(day.worth for day in days) / len(days)
    rows.append(["mean", f"{mean:.3f}", *[""] * (len(head) - 2)])
    rule = ["---", *["---:"] * (len(head) - 1)]
    return "\n".join(f"| {' | '.join(row)} |" for row in [head, rule, *rows])


def plot(days: list[Day], path: pathlib.Path) -> None:
    """Draw what each day lost as stacked bars, into a PNG file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    columns = columns_of(days)
    figure, axis = pyplot.subplots(figsize=(10, 1 + 0.4 * len(days)))
    labels = [f"{day.site} {day.name}" for day in days]
    left = [0.0] * len(days)
    for name in columns:
        widths = [max(day.lost.get(name, 0.0), 0.0) for day in days]
        axis.barh(labels, widths, left=left, label=name)
        left = [start + width for start, width in zip(left, widths, strict=True)]
    axis.invert_yaxis()
    axis.set_xlabel("worth lost")
    axis.legend(fontsize="small", loc="best")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def main(
    entries: Annotated[list[pathlib.Path], typer.Argument(help="Journal entries.")],
    picture: Annotated[
        pathlib.Path | None, typer.Option("--plot", help="PNG file for a plot.")
    ] = None,
) -> None:
    """Print what days lost, by part and price."""
    by_site: dict[str, list[Day]] = {}
    for entry in entries:
        try:
            for day in days_in(entry.read_text()):
                by_site.setdefault(day.site, []).append(day)
        except (OSError, ValueError) as error:
            print(f"worth: {entry}: {error}", file=sys.stderr)
            raise typer.Exit(EXIT_INVALID) from error
    for site, days in by_site.items():
        print(f"{site}\n\n{table(days)}\n")
    if picture is not None and by_site:
        plot([day for days in by_site.values() for day in days], picture)


if __name__ == "__main__":
    typer.run(main)
