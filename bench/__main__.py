"""``python -m bench [--quick] [NAME ...]`` or ``python -m bench compare A B``."""

import asyncio
import sys
import time
from typing import Annotated

import typer

from bench import capacity, change, overhead, report, rollout, routing, steps

EXPERIMENTS = {
    "routing": routing.routing,
    "affinity": routing.affinity,
    "limits": routing.limits,
    "retries": routing.retries,
    "steps": steps.steps,
    "rollout": rollout.rollout,
    "overhead": overhead.overhead,
    "change": change.change,
    "cost": change.cost,
}

app = typer.Typer(add_completion=False)


@app.command()
def main(
    names: Annotated[list[str] | None, typer.Argument()] = None,
    quick: Annotated[bool, typer.Option(help="Short segments.")] = False,
) -> None:
    """Run experiments, all by default; or compare two results; or do capacity."""
    names = names or list(EXPERIMENTS)
    if names[0] == "compare":
        print("\n".join(report.compare(names[1], names[2])))
        return
    if names[0] == "table":
        print(report.table())
        return
    if names[0] == "capacity":
        print(capacity.page())
        return
    for name in names:
        if name not in EXPERIMENTS:
            known = ", ".join([*EXPERIMENTS, "capacity", "compare", "table"])
            print(f"bench: no experiment {name!r}; known: {known}", file=sys.stderr)
            raise typer.Exit(2)
    for name in names:
        began = time.monotonic()
        rows, details = asyncio.run(EXPERIMENTS[name](quick))
        report.write(name, rows, details)
        print(f"== {name} ({time.monotonic() - began:.0f} s)")
        for row in rows:
            print(row.line(), flush=True)


if __name__ == "__main__":
    app()
