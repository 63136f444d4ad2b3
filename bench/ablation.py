"""Ablation study of the optional mechanisms on days of the users' bench.

``python -m bench.ablation PROGRAM SITE DAY:SEED ... --folder FOLDER`` runs each day
once with all mechanisms of `gypsumshift.policy` and once with each one disabled, in
separate checkouts below the folder, and prints a table of the differences. PROGRAM is
the users' bench; a day given without a seed runs with its default seed.

Runs are paired: both use the same day and seed, and processor time is not charged,
since it varies on a busy machine. So only the decisions of the mechanism differ. A
mechanism has a significant effect if the mean difference is more than twice its
standard error.
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

__all__ = [
    "DayRun",
    "Gain",
    "RunResult",
    "compute_gain",
    "format_table",
    "main",
    "parse_result",
]

ROOT = pathlib.Path(__file__).resolve().parent.parent
ALL_MECHANISMS = "all"
# Row of a day in the bench's output: name, hosts, score and worth.
DAY_ROW = re.compile(r"^\S+\s+\d+/\d+\s+[\d.]+\s+([\d.]+)", re.MULTILINE)
# Line of a trainer in the bench's output, with the delay of its last step.
TRAINER_DELAY = re.compile(r"steps asked, the last ([\d.]+) s behind its time")
COPIED_PATHS = ("gypsumshift", "platform", "deploy", "requirements.txt")
# A mean difference of more than this many standard errors is significant.
SIGNIFICANT_ERRORS = 2.0


@attrs.frozen
class DayRun:
    """One run of a day.

    Attributes
    ----------
    disabled : str
        Mechanism that is disabled; ``all`` if all mechanisms are enabled.
    day : str
        Name and seed, separated by a colon.
    """

    disabled: str
    day: str


@attrs.frozen
class RunResult:
    """Results of one run.

    Attributes
    ----------
    worth : float
        Value of the day as computed by the users' bench.
    delay_s : float
        Mean delay of the trainers' last steps, in seconds.
    """

    worth: float
    delay_s: float = 0.0


@attrs.frozen
class Gain:
    """Effect of a mechanism, averaged over pairs of runs with and without it.

    Attributes
    ----------
    worth, standard_error : float
        Mean difference of the worth, and its standard error.
    delay_s : float
        Mean difference of the trainers' delay, in seconds.
    helped, pairs : int
        Number of pairs with a positive difference of the worth, and of all pairs.
    """

    worth: float
    standard_error: float
    delay_s: float
    helped: int
    pairs: int

    @property
    def is_significant(self) -> bool:
        """Whether the difference exceeds the variation between single runs."""
        return abs(self.worth) > SIGNIFICANT_ERRORS * self.standard_error


def create_checkout(folder: pathlib.Path, mechanism: str) -> pathlib.Path:
    """Clone this repository with its uncommitted state and disable a mechanism."""
    checkout = folder / mechanism
    subprocess.run(["git", "clone", "-q", str(ROOT), str(checkout)], check=True)
    for name in COPIED_PATHS:
        source, target = ROOT / name, checkout / name
        if source.is_dir():
            shutil.copytree(source, target, dirs_exist_ok=True)
        else:
            shutil.copy(source, target)
    if mechanism != ALL_MECHANISMS:
        deploy = checkout / "deploy" / "system.toml"
        line = (
            'metrics = "9464/metrics"\n'
            f'env = {{ {ENVIRONMENT_VARIABLE} = "{mechanism}" }}'
        )
        deploy.write_text(deploy.read_text().replace('metrics = "9464/metrics"', line))
    return checkout


def parse_result(text: str) -> RunResult:
    """Parse the bench's output for one day; raises ValueError if it has no row."""
    found = DAY_ROW.search(text)
    if found is None:
        raise ValueError(f"the bench printed no row of a day in: {text[-300:]}")
    delays = [float(seconds) for seconds in TRAINER_DELAY.findall(text)]
    return RunResult(float(found[1]), statistics.mean(delays) if delays else 0.0)


def run_day(program: str, site: str, checkout: pathlib.Path, run: DayRun) -> RunResult:
    """Run a day with the users' bench; return its results."""
    day, _, seed = run.day.partition(":")
    why = f"ablation: without {run.disabled}"
    command = [program, "run", site, day, "--no-cpu", "--why", why]
    if seed:
        command += ["--seed", seed]
    done = subprocess.run(command, cwd=checkout, capture_output=True, text=True)
    return parse_result(done.stdout + done.stderr)


def compute_gain(enabled: list[RunResult], disabled: list[RunResult]) -> Gain:
    """Compute the effect of a mechanism from paired runs with and without it."""
    pairs = list(zip(enabled, disabled, strict=True))
    worths = [a.worth - b.worth for a, b in pairs]
    spread = statistics.stdev(worths) if len(worths) > 1 else math.inf
    return Gain(
        worth=statistics.mean(worths),
        standard_error=spread / math.sqrt(len(worths)),
        delay_s=statistics.mean(a.delay_s - b.delay_s for a, b in pairs),
        helped=sum(difference > 0 for difference in worths),
        pairs=len(pairs),
    )


def format_table(results: dict[DayRun, RunResult]) -> list[str]:
    """Format the results as a Markdown table with one row per mechanism."""
    days = sorted({run.day for run in results})
    names = [run.disabled for run in results if run.day == days[0]]
    rows = [
        "| mechanism | worth | standard error | s behind | helped | counts |",
        "| --- | ---: | ---: | ---: | ---: | --- |",
    ]
    enabled = [results[DayRun(ALL_MECHANISMS, day)] for day in days]
    for name in names:
        if name != ALL_MECHANISMS:
            rows.append(
                format_row(
                    name,
                    compute_gain(enabled, [results[DayRun(name, d)] for d in days]),
                )
            )
    return rows


def format_row(name: str, gain: Gain) -> str:
    """Format the table row of one mechanism."""
    significant = "yes" if gain.is_significant else "no"
    # Adding 0.0 turns a negative zero into a positive one.
    worth, delay_s = round(gain.worth, 3) + 0.0, round(gain.delay_s, 2) + 0.0
    return (
        f"| {name} | {worth:+.3f} | {gain.standard_error:.3f} | {delay_s:+.2f} "
        f"| {gain.helped} of {gain.pairs} | {significant} |"
    )


def main(
    program: str,
    site: str,
    days: list[str],
    folder: typing.Annotated[pathlib.Path, typer.Option()],
    jobs: int = 4,
    without: str = "",
) -> None:
    """Run days without each mechanism, or without the comma-separated ones given."""
    names = [name for name in without.split(",") if name]
    mechanisms = names or [field.name for field in attrs.fields(Policy)]
    checkouts = {
        name: create_checkout(folder, name) for name in (ALL_MECHANISMS, *mechanisms)
    }
    runs = [DayRun(name, day) for day in days for name in checkouts]
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        done = pool.map(
            lambda run: run_day(program, site, checkouts[run.disabled], run), runs
        )
        results = {}
        for run, result in zip(runs, done, strict=True):
            results[run] = result
            typer.echo(
                f"{run.disabled} {run.day} {result.worth:.3f} {result.delay_s:.1f}"
            )
    typer.echo("\n".join(format_table(results)))


if __name__ == "__main__":
    typer.run(main)
