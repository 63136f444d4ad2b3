"""Ablation: what each mechanism is worth on days of the users' bench.

``python -m bench.ablation PROGRAM SITE DAY:SEED ... --folder FOLDER`` plays each day
once with all mechanisms of `gypsumshift.policy` and once without each, in checkouts of
its own below the folder, and prints a table of the differences. The program is the
users' bench; a day without a seed is played with its own.
"""

import concurrent.futures
import pathlib
import re
import shutil
import statistics
import subprocess
import typing

import attrs
import typer

from gypsumshift.policy import VARIABLE, Policy

__all__ = ["Play", "main", "table", "worth_in"]

ROOT = pathlib.Path(__file__).resolve().parent.parent
WHOLE = "all"
# The row of a day in what the bench prints: name, hosts, score and worth.
ROW = re.compile(r"^\S+\s+\d+/\d+\s+[\d.]+\s+([\d.]+)", re.MULTILINE)
COPIED = ("gypsumshift", "platform", "deploy", "requirements.txt")


@attrs.frozen
class Play:
    """One day played once.

    Attributes
    ----------
    without : str
        Mechanism that is switched off; ``all`` where none is.
    day : str
        Name and seed, separated by a colon.
    """

    without: str
    day: str


def checkout(folder: pathlib.Path, without: str) -> pathlib.Path:
    """Return a checkout of this one with a mechanism switched off."""
    place = folder / without
    subprocess.run(["git", "clone", "-q", str(ROOT), str(place)], check=True)
    for name in COPIED:
        source, target = ROOT / name, place / name
        if source.is_dir():
            shutil.copytree(source, target, dirs_exist_ok=True)
        else:
            shutil.copy(source, target)
    if without != WHOLE:
        deploy = place / "deploy" / "system.toml"
        line = f'metrics = "9464/metrics"\nenv = {{ {VARIABLE} = "{without}" }}'
        deploy.write_text(deploy.read_text().replace('metrics = "9464/metrics"', line))
    return place


def worth_in(text: str) -> float:
    """Return the worth in what the bench printed of a day; raises ValueError."""
    found = ROW.search(text)
    if found is None:
        raise ValueError(f"no row of a day in: {text[-300:]}")
    return float(found[1])


def play(program: str, site: str, place: pathlib.Path, one: Play) -> float:
    """Play a day; return its worth."""
    day, _, seed = one.day.partition(":")
    command = [program, "run", site, day, "--why", f"ablation: without {one.without}"]
    if seed:
        command += ["--seed", seed]
    done = subprocess.run(command, cwd=place, capture_output=True, text=True)
    return worth_in(done.stdout + done.stderr)


def table(worths: dict[Play, float]) -> list[str]:
    """Return the rows of the table: mean difference to all mechanisms, and spread."""
    days = sorted({one.day for one in worths})
    names = [one.without for one in worths if one.day == days[0]]
    rows = [
        "| without | mean difference | least | most |",
        "| --- | ---: | ---: | ---: |",
    ]
    for name in names:
        if name == WHOLE:
            continue
        gaps = [worths[Play(name, d)] - worths[Play(WHOLE, d)] for d in days]
        figures = statistics.mean(gaps), min(gaps), max(gaps)
        rows.append(
            f"| {name} | " + " | ".join(f"{gap:+.3f}" for gap in figures) + " |"
        )
    return rows


def main(
    program: str,
    site: str,
    days: list[str],
    folder: typing.Annotated[pathlib.Path, typer.Option()],
    jobs: int = 4,
    without: str = "",
) -> None:
    """Play days without each mechanism, or without those named with commas."""
    names = [name for name in without.split(",") if name]
    mechanisms = names or [field.name for field in attrs.fields(Policy)]
    places = {name: checkout(folder, name) for name in (WHOLE, *mechanisms)}
    plays = [Play(name, day) for day in days for name in places]
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        done = pool.map(
            lambda one: play(program, site, places[one.without], one), plays
        )
        worths = dict(zip(plays, done, strict=True))
    for one, worth in worths.items():
        typer.echo(f"{one.without} {one.day} {worth:.3f}")
    typer.echo("\n".join(table(worths)))


if __name__ == "__main__":
    typer.run(main)
