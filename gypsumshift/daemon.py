"""Daemon: ``gypsumshiftd``, one process in the role that its settings name."""

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
    """Return the process of the role that the settings name."""
    if chosen.role == "entry":
        from gypsumshift.entry import Entry

        return Entry(chosen)
    from gypsumshift.sidecar import Sidecar

    return Sidecar(chosen)


async def run_process(chosen: settings.Settings) -> int:
    """Run one process until it is told to leave and has; return the exit status."""
    loop = asyncio.get_running_loop()
    try:
        process = make_process(chosen)
        await process.start()
    except OSError as error:
        log.error("Cannot listen on {}: {}.", chosen.host, error.strerror or error)
        return 1
    # What the start left behind stays for good: spare the collector from it.
    gc.collect()
    gc.freeze()
    leaving: set[asyncio.Task] = set()

    def leave() -> None:
        # A second signal changes nothing: what runs is still finished.
        if not leaving:
            leaving.add(loop.create_task(drain_and_stop(process)))

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, leave)
    await process.stopped.wait()
    await process.stop()
    return 0 if leaving else os.EX_SOFTWARE


async def drain_and_stop(process) -> None:
    """Drain a process, then have it stop."""
    await process.drain(DRAIN_DEADLINE_S)
    process.stopped.set()


@app.command()
def run(
    file: Annotated[
        pathlib.Path, typer.Option("--settings", help="Settings of this process.")
    ],
) -> None:
    """Run one process of gypsumshift, an entry or a sidecar."""
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
