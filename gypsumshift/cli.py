"""Command line: ``gypsumshift``, the operators' tool.

Exit status: 0 done, 1 the entry or the platform could not be asked, 2 the input
was rejected, 3 another change came first, 4 it may or may not have happened,
5 not in force everywhere in time.
"""

import getpass
import json
import os
import pathlib
import secrets
import sys
import time
import urllib.parse
from typing import Annotated

import rich.console
import rich.progress
import typer

from gypsumshift import declarations, documents, settings, timeline, traces
from gypsumshift.keycommands import keys_app
from gypsumshift.operatorclient import (
    DEFAULT_OPERATOR,
    EXIT_INVALID,
    EXIT_LAGGING,
    OperatorClient,
    fail,
    fail_with_problem,
)
from gypsumshift.outcomes import Invalid

__all__ = ["main"]

APPLY_TRIES = 5
APPLY_RETRY_PAUSE_S = 1.0
STATUS_POLL_PERIOD_S = 0.2
MAX_LAGGING_SHOWN = 10

app = typer.Typer(
    help="Operate gypsumshift: declarations, processes, weights, time line.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
weights_app = typer.Typer(help="Publish weights, or show who has loaded which.")
app.add_typer(weights_app, name="weights", no_args_is_help=True)
app.add_typer(keys_app, name="keys", no_args_is_help=True)


operator_client = OperatorClient()
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]


def print_json(value) -> None:
    """Print a value as JSON."""
    print(json.dumps(value, indent=2))


@app.callback()
def set_common_options(
    operator: Annotated[
        str,
        typer.Option(envvar="GYPSUMSHIFT_OPERATOR", help="URL of an operator face."),
    ] = DEFAULT_OPERATOR,
    token_file: Annotated[
        pathlib.Path | None,
        typer.Option(help="File with the token; else GYPSUMSHIFT_OPERATOR_TOKEN."),
    ] = None,
) -> None:
    """Take the options that all commands share."""
    operator_client.url = operator
    operator_client.token = os.environ.get(settings.OPERATOR_TOKEN_VARIABLE, "")
    if token_file is not None:
        try:
            operator_client.token = token_file.read_text().strip()
        except OSError as error:
            fail(f"{token_file}: {error.strerror}; name another file", EXIT_INVALID)


def load_or_fail(path: pathlib.Path) -> declarations.Catalog:
    """Return the declarations at a path; ends the command where they are wrong."""
    catalog = declarations.load(path)
    if isinstance(catalog, Invalid):
        for problem in catalog.problems[1:]:
            print(f"gypsumshift: {problem}", file=sys.stderr)
        fail(str(catalog.problems[0]), EXIT_INVALID)
    return catalog


def is_settings_file(path: pathlib.Path) -> bool:
    """Tell whether a file holds the settings of a process."""
    value = documents.read_file(path) if path.is_file() else None
    return isinstance(value, dict) and ("role" in value or "platform" in value)


@app.command()
def check(paths: Annotated[list[pathlib.Path], typer.Argument()]) -> None:
    """Check settings and declarations, without asking anybody."""
    wrong = False
    for path in paths:
        outcome = (
            settings.load(path) if is_settings_file(path) else declarations.load(path)
        )
        if isinstance(outcome, Invalid):
            wrong = True
            for problem in outcome.problems:
                print(f"gypsumshift: {problem}", file=sys.stderr)
        else:
            print(f"{path}: in order")
    if wrong:
        raise typer.Exit(EXIT_INVALID)


@app.command()
def plan(path: pathlib.Path, as_json: JsonOption = False) -> None:
    """Show what declarations would change; nothing is accepted."""
    planned = request_plan(load_or_fail(path))
    if as_json:
        print_json(planned)
        return
    print(f"On top of revision {planned['base']}:")
    for line in planned["difference"] or ["nothing changes"]:
        print(f"  {line}")


def request_plan(catalog: declarations.Catalog) -> dict:
    """Return the plan that an entry makes of declarations."""
    answer = operator_client.send_request(
        "POST", "/v1/plan", {"declarations": catalog.source}
    )
    if answer.status != 200:
        fail_with_problem(answer)
    return json.loads(answer.body)


@app.command()
def apply(
    path: pathlib.Path,
    message: Annotated[str, typer.Option("--message", "-m")] = "",
    author: Annotated[str, typer.Option()] = "",
    base: Annotated[
        int | None, typer.Option(help="Revision planned on; else the newest.")
    ] = None,
    token: Annotated[
        str, typer.Option(help="Of an apply whose outcome is unknown.")
    ] = "",
    wait: Annotated[
        bool, typer.Option("--wait", help="Until in force everywhere.")
    ] = False,
    timeout: Annotated[float, typer.Option(help="Seconds to wait.")] = 60.0,
    as_json: JsonOption = False,
) -> None:
    """Accept declarations as the next revision."""
    catalog = load_or_fail(path)
    planned = request_plan(catalog)
    if not planned["difference"] and base is None:
        print(f"nothing changes; revision {planned['base']} says the same")
        return
    value = {
        "base": planned["base"] if base is None else base,
        "declarations": catalog.source,
        "author": author or getpass.getuser(),
        "message": message,
        "token": token or secrets.token_hex(16),
    }
    number = apply_until_known(value)
    lagging = wait_in_force(number, timeout) if wait else []
    if as_json:
        print_json({"number": number, "lagging": lagging})
    else:
        print(f"revision {number} is accepted")
    if lagging:
        names = ", ".join(lagging[:MAX_LAGGING_SHOWN])
        fail(f"revision {number} is not in force yet in: {names}", EXIT_LAGGING)


def apply_until_known(value: dict) -> int:
    """Apply until the outcome is known; the token makes a second try harmless."""
    for _ in range(APPLY_TRIES):
        answer = operator_client.send_request("POST", "/v1/apply", value)
        if answer.status == 200:
            return json.loads(answer.body)["number"]
        if answer.status not in (503, 504):
            break
        time.sleep(APPLY_RETRY_PAUSE_S)
    if answer.status == 504:
        again = f"--base {value['base']} --token {value['token']}"
        print(f"gypsumshift: to settle it, apply again with {again}", file=sys.stderr)
    fail_with_problem(answer)


def wait_in_force(number: int, timeout: float) -> list[str]:
    """Wait until a revision is in force everywhere; return who lags at the end."""
    deadline = time.monotonic() + timeout
    columns = (
        "{task.description}",
        rich.progress.BarColumn(),
        "{task.completed}/{task.total}",
    )
    err = rich.console.Console(stderr=True)
    with rich.progress.Progress(*columns, console=err, transient=True) as progress:
        task = progress.add_task(f"revision {number} in force", total=None)
        while True:
            rows = operator_client.get_json("/v1/status")
            lagging = [r["name"] for r in rows if (r["revision"] or 0) < number]
            done = len(rows) - len(lagging)
            progress.update(task, total=len(rows), completed=done)
            if not lagging or time.monotonic() >= deadline:
                return lagging
            time.sleep(STATUS_POLL_PERIOD_S)


@app.command()
def get(
    revision: Annotated[str, typer.Argument()] = "newest",
    as_json: JsonOption = False,
) -> None:
    """Print the declarations of one revision."""
    value = operator_client.get_json(
        f"/v1/revisions/{urllib.parse.quote(revision, safe='')}"
    )
    if as_json:
        print_json(value)
        return
    print(f"// revision {value['number']} by {value['author']}: {value['message']}")
    print_json(value["declarations"])


@app.command()
def history(as_json: JsonOption = False) -> None:
    """List the accepted revisions."""
    rows = operator_client.get_json("/v1/revisions")
    if as_json:
        print_json(rows)
        return
    for row in rows:
        print(f"{row['number']:6}  {row['time']}  {row['author']}: {row['message']}")


@app.command()
def status(
    as_json: JsonOption = False,
    figures: Annotated[
        bool, typer.Option("--figures", help="All figures of each process.")
    ] = False,
) -> None:
    """Show the processes, their backend servers and what each has in force."""
    rows = operator_client.get_json("/v1/status")
    if as_json:
        print_json(rows)
        return
    heads = ["process", "zone", "backend", "state", "revision", "weights", "load"]
    print_columns([heads] + [status_cells(row) for row in rows])
    if figures:
        for row in rows:
            for name, value in sorted(row["figures"].items()):
                print(f"{row['name']}  {name}  {value:g}")


def print_columns(rows: list[list[str]]) -> None:
    """Print rows of cells in columns as wide as they need."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  ".join(cells).rstrip())


def status_cells(row: dict) -> list[str]:
    """Return the cells of one process's line."""
    shown = row["figures"]
    state = "leaving" if row["leaving"] else "serves"
    if not row["answers"]:
        state = "silent"
    elif shown.get("healthy") == 0:
        state = "backend server ill"
    load = weights = ""
    if row["role"] == "sidecar":
        running, limit = shown.get("running", 0), shown.get("limit", 0)
        load = f"{running:g}/{limit:g} +{shown.get('queued', 0):g}"
        held, target = shown.get("weight_version", 0), shown.get("target_version", 0)
        weights = f"{held:g}" if held >= target else f"{held:g} of {target:g}"
    revision = "" if row["revision"] is None else str(row["revision"])
    return [row["name"], row["zone"], row["backend"], state, revision, weights, load]


@app.command()
def drain(
    name: str,
    undo: Annotated[
        bool, typer.Option("--undo", help="Take work again once its sidecar restarts.")
    ] = False,
) -> None:
    """Have a backend server, or one process, take no new work."""
    target = f"/v1/drain?name={urllib.parse.quote(name)}"
    answer = operator_client.send_request("DELETE" if undo else "POST", target)
    if answer.status != 200:
        fail_with_problem(answer)
    if undo:
        print(f"{name} takes work again once its sidecar is restarted")
        return
    told = json.loads(answer.body)["told"]
    print(f"told: {', '.join(told) or 'nobody yet; the platform keeps the order'}")


@weights_app.command("show")
def weights_show(as_json: JsonOption = False) -> None:
    """Show the newest version of each pool, and who has loaded which."""
    pools = operator_client.get_json("/v1/weights")
    if as_json:
        print_json(pools)
        return
    for pool, value in pools.items():
        print(f"{pool}: version {value['version']} by {value['by']} at {value['time']}")
        for backend, version in sorted(value["backends"].items()):
            print(f"  {backend}  {'unknown' if version is None else version}")


@weights_app.command("publish")
def weights_publish(pool: str, version: int, file: pathlib.Path) -> None:
    """Publish the weights in a file as a version of a pool."""
    try:
        data = file.read_bytes()
    except OSError as error:
        fail(f"{file}: {error.strerror}; name another file", EXIT_INVALID)
    query = urllib.parse.urlencode({"pool": pool, "version": version})
    answer = operator_client.send_request("PUT", f"/v1/weights?{query}", body=data)
    if answer.status != 200:
        fail_with_problem(answer)
    print(f"version {version} of {pool} is published")


@app.command("trace")
def trace(
    wanted: Annotated[str, typer.Argument(metavar="ID", help="Of a request or item.")],
    folder: Annotated[
        pathlib.Path, typer.Option("--logs", help="Logs of all processes.")
    ],
    as_json: JsonOption = False,
) -> None:
    """Show what every process logged of one id, in order of time."""
    if not folder.is_dir():
        print(f"gypsumshift: there is no folder {str(folder)!r}", file=sys.stderr)
        raise typer.Exit(EXIT_INVALID)
    lines = traces.find_lines(folder, wanted)
    if as_json:
        print_json(lines)
        return
    for line in lines:
        known = ("time", "level", "process", "part", "message", "file")
        rest = {key: value for key, value in line.items() if key not in known}
        head = " ".join(str(line.get(key, "")) for key in known[:-1])
        print(head, json.dumps(rest))
    if not lines:
        print(f"gypsumshift: no line names {wanted!r}", file=sys.stderr)
        raise typer.Exit(1)


@app.command("timeline")
def show_timeline(
    subject: Annotated[
        str, typer.Argument(help="Request, sample, backend server or revision.")
    ] = "",
    page: Annotated[
        pathlib.Path | None, typer.Option("--html", help="Write an HTML page.")
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Show the events of all processes about one subject, in one order."""
    value = operator_client.get_json(
        f"/v1/timeline?subject={urllib.parse.quote(subject)}"
    )
    if as_json:
        print_json(value)
        return
    if page is not None:
        page.write_text(timeline.as_html(value["events"], subject), encoding="utf-8")
        print(f"{len(value['events'])} events written to {page}")
    else:
        print(timeline.as_text(value["events"]))
    if value["silent"]:
        print(f"no answer from: {', '.join(value['silent'])}", file=sys.stderr)


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
