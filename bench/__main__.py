"""Command line of the benchmarks.

``python -m bench [--quick] [NAME ...]`` runs experiments, all by default;
``python -m bench compare A B`` compares two result files; ``python -m bench table``
lists the committed results; ``python -m bench capacity`` estimates the capacity.
"""

import asyncio
import sys
import time
from typing import Annotated

import typer

from bench import (
    capacity,
    change,
    contention,
    cost,
    overhead,
    report,
    rollout,
    routing,
    trainersteps,
)

EXPERIMENTS = {
    "routing": routing.routing,
    "affinity": routing.affinity,
    "limits": routing.limits,
    "retries": routing.retries,
    "steps": trainersteps.trainer_steps,
    "rollout": rollout.rollout,
    "overhead": overhead.overhead,
    "change": change.change,
    "idle": change.idle_cost,
    "cost": cost.cost,
    "contention": contention.contention,
}

app = typer.Typer(add_completion=False)


@app.command()
def main(
    names: Annotated[list[str] | None, typer.Argument()] = None,
    quick: Annotated[
        bool, typer.Option(help="Use short load segments and fewer rounds.")
    ] = False,
) -> None:
    """Run experiments (default: all), or print a comparison, table or capacity."""
    names = names or list(EXPERIMENTS)
    if names[0] == "compare":
        print("\n".join(report.compare_results(names[1], names[2])))
        return
    if names[0] == "table":
        print(report.format_table())
        return
    if names[0] == "capacity":
        print(capacity.format_page())
        return
    for name in names:
        if name not in EXPERIMENTS:
            known = ", ".join([*EXPERIMENTS, "capacity", "compare", "table"])
            print(
                f"bench: unknown experiment {name!r}; known: {known}", file=sys.stderr
            )
            raise typer.Exit(2)
    for name in names:
        began = time.monotonic()
        rows, details = asyncio.run(EXPERIMENTS[name](quick))
        report.write_result(name, rows, details)
        print(f"== {name} ({time.monotonic() - began:.0f} s)")
        for row in rows:
            print(row.format(), flush=True)
        for line in details.get("table", []):
            print(line, flush=True)


if __name__ == "__main__":
    app()
