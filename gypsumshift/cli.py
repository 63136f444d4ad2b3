"""Command-line tool for operators: ``gypsumshift``.

Exit status: 0 success, 1 the entry or the platform is unavailable, 2 the input was
rejected, 3 conflict with another operator's change, 4 the outcome is unknown, 5 the
revision was not in force in all processes before the timeout.
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
    help="Operate gypsumshift: declarations, processes, weights and timeline.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
weights_app = typer.Typer(help="Publish weights, or show the versions loaded.")
app.add_typer(weights_app, name="weights", no_args_is_help=True)
app.add_typer(keys_app, name="keys", no_args_is_help=True)


operator_client = OperatorClient()
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]


def print_json(value) -> None:
    """Print a value as indented JSON."""
    print(json.dumps(value, indent=2))


@app.callback()
def set_common_options(
    operator: Annotated[
        str,
        typer.Option(envvar="GYPSUMSHIFT_OPERATOR", help="URL of an operator API."),
    ] = DEFAULT_OPERATOR,
    token_file: Annotated[
        pathlib.Path | None,
        typer.Option(
            help="File with the bearer token; default: $GYPSUMSHIFT_OPERATOR_TOKEN."
        ),
    ] = None,
) -> None:
    """Apply the options that all commands share."""
    operator_client.url = operator
    operator_client.token = os.environ.get(settings.OPERATOR_TOKEN_VARIABLE, "")
    if token_file is not None:
        try:
            operator_client.token = token_file.read_text().strip()
        except OSError as error:
            fail(
                f"cannot read the token file {token_file}: {error.strerror}; "
                "name another file",
                EXIT_INVALID,
            )


def load_or_fail(path: pathlib.Path) -> declarations.Catalog:
    """Load declarations; print all problems and exit if they are invalid."""
    catalog = declarations.load(path)
    if isinstance(catalog, Invalid):
        for problem in catalog.problems[1:]:
            print(f"gypsumshift: {problem}", file=sys.stderr)
        fail(str(catalog.problems[0]), EXIT_INVALID)
    return catalog


def is_settings_file(path: pathlib.Path) -> bool:
    """Return whether a file holds the settings of a process."""
    value = documents.read_file(path) if path.is_file() else None
    return isinstance(value, dict) and ("role" in value or "platform" in value)


@app.command()
def check(paths: Annotated[list[pathlib.Path], typer.Argument()]) -> None:
    """Check files of settings or declarations locally, without a connection."""
    found_invalid = False
    for path in paths:
        outcome = (
            settings.load(path) if is_settings_file(path) else declarations.load(path)
        )
        if isinstance(outcome, Invalid):
            found_invalid = True
            for problem in outcome.problems:
                print(f"gypsumshift: {problem}", file=sys.stderr)
        else:
            print(f"{path}: valid")
    if found_invalid:
        raise typer.Exit(EXIT_INVALID)


@app.command()
def plan(path: pathlib.Path, as_json: JsonOption = False) -> None:
    """Show what declarations would change, without applying them."""
    planned = request_plan(load_or_fail(path))
    if as_json:
        print_json(planned)
        return
    print(f"Changes to revision {planned['base']}:")
    for line in planned["difference"] or ["nothing changes"]:
        print(f"  {line}")


def request_plan(catalog: declarations.Catalog) -> dict:
    """Request the difference between declarations and the newest revision."""
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
        int | None,
        typer.Option(help="Revision that the change is based on; default: newest."),
    ] = None,
    token: Annotated[
        str, typer.Option(help="Token of an earlier apply whose outcome is unknown.")
    ] = "",
    wait: Annotated[
        bool,
        typer.Option("--wait", help="Wait until it is in force in all processes."),
    ] = False,
    timeout: Annotated[float, typer.Option(help="Seconds for --wait.")] = 60.0,
    as_json: JsonOption = False,
) -> None:
    """Apply declarations as the next revision."""
    catalog = load_or_fail(path)
    planned = request_plan(catalog)
    if not planned["difference"] and base is None:
        print(f"nothing changes: revision {planned['base']} has the same declarations")
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
        fail(
            f"revision {number} is not in force after {timeout:g} s in "
            f"{len(lagging)} processes: {names}",
            EXIT_LAGGING,
        )


def apply_until_known(value: dict) -> int:
    """Send an apply request until its outcome is known; return the revision number.

    Repeats are safe: the request's token identifies it, so it is applied only once.
    """
    for _ in range(APPLY_TRIES):
        answer = operator_client.send_request("POST", "/v1/apply", value)
        if answer.status == 200:
            return json.loads(answer.body)["number"]
        if answer.status not in (503, 504):
            break
        time.sleep(APPLY_RETRY_PAUSE_S)
    if answer.status == 504:
        options = f"--base {value['base']} --token {value['token']}"
        print(
            f"gypsumshift: to resolve the unknown outcome, apply again with {options}",
            file=sys.stderr,
        )
    fail_with_problem(answer)


def wait_in_force(number: int, timeout: float) -> list[str]:
    """Wait until a revision is in force; return the processes without it at timeout."""
    deadline = time.monotonic() + timeout
    columns = (
        "{task.description}",
        rich.progress.BarColumn(),
        "{task.completed}/{task.total}",
    )
    stderr = rich.console.Console(stderr=True)
    with rich.progress.Progress(*columns, console=stderr, transient=True) as progress:
        task = progress.add_task(f"revision {number} in force", total=None)
        while True:
            rows = operator_client.get_json("/v1/status")
            lagging = [r["name"] for r in rows if (r["revision"] or 0) < number]
            current = len(rows) - len(lagging)
            progress.update(task, total=len(rows), completed=current)
            if not lagging or time.monotonic() >= deadline:
                return lagging
            time.sleep(STATUS_POLL_PERIOD_S)


@app.command()
def get(
    revision: Annotated[str, typer.Argument()] = "newest",
    as_json: JsonOption = False,
) -> None:
    """Print the declarations of a revision."""
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
        bool, typer.Option("--figures", help="Print all gauges of each process.")
    ] = False,
) -> None:
    """Show the processes, their backend servers, revisions and weight versions."""
    rows = operator_client.get_json("/v1/status")
    if as_json:
        print_json(rows)
        return
    header = ["process", "zone", "backend", "state", "revision", "weights", "load"]
    print_columns([header] + [status_cells(row) for row in rows])
    if figures:
        for row in rows:
            for name, value in sorted(row["figures"].items()):
                print(f"{row['name']}  {name}  {value:g}")


def print_columns(rows: list[list[str]]) -> None:
    """Print rows as a table whose columns fit their widest cells."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  ".join(cells).rstrip())


def status_cells(row: dict) -> list[str]:
    """Return the table cells for the status of one process."""
    gauges = row["figures"]
    state = "leaving" if row["leaving"] else "serves"
    if not row["answers"]:
        state = "silent"
    elif gauges.get("healthy") == 0:
        state = "backend server unhealthy"
    load = weights = ""
    if row["role"] == "sidecar":
        running, limit = gauges.get("running", 0), gauges.get("limit", 0)
        load = f"{running:g}/{limit:g} +{gauges.get('queued', 0):g}"
        loaded, target = (
            gauges.get("weight_version", 0),
            gauges.get("target_version", 0),
        )
        weights = f"{loaded:g}" if loaded >= target else f"{loaded:g} of {target:g}"
    revision = "" if row["revision"] is None else str(row["revision"])
    return [row["name"], row["zone"], row["backend"], state, revision, weights, load]


@app.command()
def drain(
    name: str,
    undo: Annotated[
        bool,
        typer.Option("--undo", help="Accept work again after its sidecar restarts."),
    ] = False,
) -> None:
    """Drain a backend server or a process: it accepts no new work."""
    target = f"/v1/drain?name={urllib.parse.quote(name)}"
    answer = operator_client.send_request("DELETE" if undo else "POST", target)
    if answer.status != 200:
        fail_with_problem(answer)
    if undo:
        print(f"{name} accepts work again after its sidecar is restarted")
        return
    notified = json.loads(answer.body)["told"]
    print(
        "drain order received by: "
        f"{', '.join(notified) or 'no process yet; the platform stores the order'}"
    )


@weights_app.command("show")
def weights_show(as_json: JsonOption = False) -> None:
    """Show the newest version of each pool and those that its servers have loaded."""
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
        fail(
            f"cannot read the weights in {file}: {error.strerror}; name another file",
            EXIT_INVALID,
        )
    query = urllib.parse.urlencode({"pool": pool, "version": version})
    answer = operator_client.send_request("PUT", f"/v1/weights?{query}", body=data)
    if answer.status != 200:
        fail_with_problem(answer)
    print(f"version {version} of {pool} is published")


@app.command("trace")
def trace(
    wanted: Annotated[
        str, typer.Argument(metavar="ID", help="Id of a request or item.")
    ],
    folder: Annotated[
        pathlib.Path, typer.Option("--logs", help="Folder with all processes' logs.")
    ],
    as_json: JsonOption = False,
) -> None:
    """Show the log lines of all processes that contain an id, ordered by time."""
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
        print(
            f"gypsumshift: no log line in {str(folder)!r} contains {wanted!r}",
            file=sys.stderr,
        )
        raise typer.Exit(1)


@app.command("timeline")
def show_timeline(
    subject: Annotated[
        str, typer.Argument(help="Request, sample, backend server or revision.")
    ] = "",
    page: Annotated[
        pathlib.Path | None, typer.Option("--html", help="Write them to an HTML page.")
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Show the events of all processes that concern a subject, ordered by time."""
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
