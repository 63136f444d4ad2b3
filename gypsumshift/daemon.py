"""Daemon ``gypsumshiftd``: runs one process, an entry or a sidecar, by its settings."""

import asyncio
import gc
import os
import pathlib
import signal
import sys
from typing import Annotated

import typer

from gypsumshift import logs, settings
from gypsumshift.outcomes import Invalid

__all__ = ["main"]

EXIT_INVALID = 2
DRAIN_DEADLINE_S = 30.0

log = logs.logger("daemon")
app = typer.Typer(add_completion=False)


def make_process(chosen: settings.Settings):
    """Return a process with the role given in the settings."""
    if chosen.role == "entry":
        from gypsumshift.entry import Entry

        return Entry(chosen)
    from gypsumshift.sidecar import Sidecar

    return Sidecar(chosen)


async def run_process(chosen: settings.Settings) -> int:
    """Run a process until a signal ends it or it stops itself; return the exit status.

    A signal (SIGTERM or SIGINT) drains the process first; the status is then 0.
    """
    loop = asyncio.get_running_loop()
    try:
        process = make_process(chosen)
        await process.start()
    except OSError as error:
        log.error(
            "Cannot listen on {}: {}; the process exits.",
            chosen.host,
            error.strerror or error,
        )
        return 1
    # Objects created during the start live as long as the process: exclude them from
    # garbage collection.
    gc.collect()
    gc.freeze()
    drain_tasks: set[asyncio.Task] = set()

    def start_drain() -> None:
        # A second signal has no effect: running work is finished in any case.
        if not drain_tasks:
            drain_tasks.add(loop.create_task(drain_and_stop(process)))

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, start_drain)
    await process.stopped.wait()
    await process.stop()
    return 0 if drain_tasks else os.EX_SOFTWARE


async def drain_and_stop(process) -> None:
    """Drain a process, then signal that it may stop."""
    await process.drain(DRAIN_DEADLINE_S)
    process.stopped.set()


@app.command()
def run(
    file: Annotated[
        pathlib.Path, typer.Option("--settings", help="Settings of this process.")
    ],
) -> None:
    """Run one gypsumshift process, an entry or a sidecar."""
    chosen = settings.load(file)
    if isinstance(chosen, Invalid):
        for problem in chosen.problems:
            print(f"gypsumshiftd: {problem}", file=sys.stderr)
        raise typer.Exit(EXIT_INVALID)
    logs.configure(chosen.name, chosen.log_format, chosen.log_level)
    raise typer.Exit(asyncio.run(run_process(chosen)))


def main() -> None:
    """Run the daemon."""
    app()


if __name__ == "__main__":
    main()
