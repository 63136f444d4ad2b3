"""Ablation: what each mechanism is worth on days of the users' bench.

``python -m bench.ablation PROGRAM SITE DAY:SEED ... --folder FOLDER`` plays each day
once with all mechanisms of `gypsumshift.policy` and once without each, in checkouts of
its own below the folder, and prints a table of the differences. The program is the
users' bench; a day without a seed is played with its own.

Plays are paired: the same day with the same seed, and without charging the processor
time of a busy machine, so that what differs is the decision. A mechanism has shown its
worth where the mean difference is more than twice its standard error.
"""

import concurrent.futures
import math
import pathlib
import re
import shutil
import statistics
import subprocess
import typing

import attrs
import typer

from gypsumshift.policy import ENVIRONMENT_VARIABLE, Policy

__all__ = ["Figures", "Gain", "Play", "figures_in", "gain", "main", "table"]

ROOT = pathlib.Path(__file__).resolve().parent.parent
WHOLE = "all"
# The row of a day in what the bench prints: name, hosts, score and worth.
ROW = re.compile(r"^\S+\s+\d+/\d+\s+[\d.]+\s+([\d.]+)", re.MULTILINE)
# How far each trainer was behind its plan at its last step.
BEHIND = re.compile(r"steps asked, the last ([\d.]+) s behind its time")
COPIED = ("gypsumshift", "platform", "deploy", "requirements.txt")
# Standard errors by which a mean difference must lie beyond 0 to count.
ERRORS_TO_COUNT = 2.0


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


@attrs.frozen
class Figures:
    """What a play showed.

    Attributes
    ----------
    worth : float
    behind : float
        Seconds that the trainers were behind at their last steps, in the mean.
    """

    worth: float
    behind: float = 0.0


@attrs.frozen
class Gain:
    """What a mechanism is worth over some pairs of plays.

    Attributes
    ----------
    worth, error : float
        Mean difference to plays without it, and its standard error.
    behind : float
        Mean difference of the seconds that trainers were behind.
    helped, pairs : int
        Pairs in which it was worth something, and all of them.
    """

    worth: float
    error: float
    behind: float
    helped: int
    pairs: int

    @property
    def counts(self) -> bool:
        """Whether the difference is beyond what single plays differ by."""
        return abs(self.worth) > ERRORS_TO_COUNT * self.error


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
        line = (
            'metrics = "9464/metrics"\n'
            f'env = {{ {ENVIRONMENT_VARIABLE} = "{without}" }}'
        )
        deploy.write_text(deploy.read_text().replace('metrics = "9464/metrics"', line))
    return place


def figures_in(text: str) -> Figures:
    """Return the figures in what the bench printed of a day; raises ValueError."""
    found = ROW.search(text)
    if found is None:
        raise ValueError(f"no row of a day in: {text[-300:]}")
    behind = [float(seconds) for seconds in BEHIND.findall(text)]
    return Figures(float(found[1]), statistics.mean(behind) if behind else 0.0)


def play(program: str, site: str, place: pathlib.Path, one: Play) -> Figures:
    """Play a day; return its figures."""
    day, _, seed = one.day.partition(":")
    why = f"ablation: without {one.without}"
    command = [program, "run", site, day, "--no-cpu", "--why", why]
    if seed:
        command += ["--seed", seed]
    done = subprocess.run(command, cwd=place, capture_output=True, text=True)
    return figures_in(done.stdout + done.stderr)


def gain(whole: list[Figures], without: list[Figures]) -> Gain:
    """Return what a mechanism is worth, by pairs of plays with and without it."""
    pairs = list(zip(whole, without, strict=True))
    worths = [a.worth - b.worth for a, b in pairs]
    spread = statistics.stdev(worths) if len(worths) > 1 else math.inf
    return Gain(
        worth=statistics.mean(worths),
        error=spread / math.sqrt(len(worths)),
        behind=statistics.mean(a.behind - b.behind for a, b in pairs),
        helped=sum(difference > 0 for difference in worths),
        pairs=len(pairs),
    )


def table(found: dict[Play, Figures]) -> list[str]:
    """Return the rows of the table, a mechanism each."""
    days = sorted({one.day for one in found})
    names = [one.without for one in found if one.day == days[0]]
    rows = [
        "| mechanism | worth | standard error | s behind | helped | counts |",
        "| --- | ---: | ---: | ---: | ---: | --- |",
    ]
    whole = [found[Play(WHOLE, day)] for day in days]
    for name in names:
        if name != WHOLE:
            rows.append(row(name, gain(whole, [found[Play(name, d)] for d in days])))
    return rows


def row(name: str, found: Gain) -> str:
    """Return the row of one mechanism."""
    counts = "yes" if found.counts else "no"
    # Adding nothing makes a negative zero a plain one.
    worth, behind = round(found.worth, 3) + 0.0, round(found.behind, 2) + 0.0
    return (
        f"| {name} | {worth:+.3f} | {found.error:.3f} | {behind:+.2f} "
        f"| {found.helped} of {found.pairs} | {counts} |"
    )


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
        found = {}
        for one, figures in zip(plays, done, strict=True):
            found[one] = figures
            typer.echo(
                f"{one.without} {one.day} {figures.worth:.3f} {figures.behind:.1f}"
            )
    typer.echo("\n".join(table(found)))


if __name__ == "__main__":
    typer.run(main)
