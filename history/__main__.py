"""Command ``python -m history``: records a run under faults and checks its history.

The environment variables ``SEED``, ``DURATION`` (seconds) and ``CALLERS`` configure the
run; with ``HISTORY``, the given recorded file is checked again instead. The exit status
is 1 if a promise is violated, and 2 if the run had too few calls to be conclusive.
"""

import asyncio
import json
import os
import pathlib
import sys
import time

from gypsumshift import declarations
from history.checkers import MAX_SHOWN_VIOLATIONS, check_history
from history.faults import FaultSchedule
from history.workload import Recorder, Workload
from standins.deployment import Deployment

DECLARATIONS_FOLDER = pathlib.Path("examples/teranga-signes")
REPORTS = pathlib.Path("reports")
STANDIN_OPTIONS = {"step": 0.005, "swap": 0.05, "duration": 0.01, "host_lag": 30.0}
MIN_CALLS = 10_000
MIN_DURATION_S = 60.0
FINISH_TIMEOUT_S = 90.0


async def record_history(
    seed: int, duration: float, callers: int, daemon=None, fault_names=()
) -> list[dict]:
    """Run a workload on a deployment under faults; return the recorded history."""
    catalog = declarations.load(DECLARATIONS_FOLDER)
    recorder = Recorder()
    async with Deployment(catalog, speed=STANDIN_OPTIONS, daemon=daemon) as deployment:
        await deployment.apply(catalog, "first", 0)
        await deployment.until_in_force(1)
        workload = Workload(deployment, recorder, seed)
        schedule = FaultSchedule(deployment, recorder, seed, fault_names)
        workload_task = asyncio.create_task(workload.run(callers))
        try:
            faults_task = asyncio.create_task(schedule.run(time.time() + duration))
            await asyncio.wait(
                {workload_task, faults_task}, return_when=asyncio.FIRST_COMPLETED
            )
            if workload_task.done():
                faults_task.cancel()
            workload.stopping.set()
            async with asyncio.timeout(FINISH_TIMEOUT_S):
                await workload_task
        except TimeoutError:
            print(
                f"workload not finished {FINISH_TIMEOUT_S:g} s after the faults:"
                " the trainer could not pull all submitted groups"
            )
        finally:
            workload_task.cancel()
            await asyncio.gather(workload_task, return_exceptions=True)
        save_logs(deployment, seed)
        return recorder.records + read_journals(deployment)


def read_journals(deployment: Deployment) -> list[dict]:
    """Read the runs of requests from the journals of the stand-in services."""
    runs = []
    for path in deployment.folder.glob("*.journal"):
        for line in path.read_text().splitlines():
            runs.append({"kind": "run", **json.loads(line)})
    return runs


def save_logs(deployment: Deployment, seed: int) -> None:
    """Save the logs of all processes into one file in the report folder."""
    REPORTS.mkdir(exist_ok=True)
    lines = []
    for path in sorted(deployment.folder.glob("*.log")):
        lines += [f"== {path.stem}", path.read_text(errors="replace")]
    (REPORTS / f"promises-{seed}.log").write_text("\n".join(lines))


def print_report(records: list[dict]) -> int:
    """Print one line per promise with its violations; return their total number."""
    calls = [record for record in records if record["kind"] == "call"]
    faults = [record for record in records if record["kind"] == "fault"]
    unknown = sum(1 for call in calls if call["outcome"] == "unknown")
    not_run = sum(1 for call in calls if call["outcome"] == "not run")
    broken = 0
    for finding in check_history(records):
        broken += len(finding.violations)
        print(
            f"{finding.promise:14} checked {finding.checked:6}  faults {len(faults):3}"
            f"  violations {len(finding.violations)}"
        )
        for violation in finding.violations[:MAX_SHOWN_VIOLATIONS]:
            print(f"    {violation}")
    share = unknown / max(1, len(calls))
    print(f"{len(calls)} calls: {not_run} not run, {unknown} unknown ({share:.2%})")
    return broken


def main() -> int:
    """Record or read a history, check it, and return the exit status."""
    path = os.environ.get("HISTORY")
    if path:
        with open(path) as lines:
            return 1 if print_report([json.loads(line) for line in lines]) else 0
    seed = int(os.environ.get("SEED", time.time_ns() % 1_000_000))
    duration = float(os.environ.get("DURATION", MIN_DURATION_S))
    callers = int(os.environ.get("CALLERS", 24))
    print(f"SEED={seed} DURATION={duration:g} CALLERS={callers}", flush=True)
    records = asyncio.run(record_history(seed, duration, callers))
    path = REPORTS / f"promises-{seed}.jsonl"
    path.write_text("".join(json.dumps(record) + "\n" for record in records))
    print(f"history: {path}")
    if print_report(records):
        return 1
    calls = sum(1 for record in records if record["kind"] == "call")
    if duration >= MIN_DURATION_S and calls < MIN_CALLS:
        print(f"inconclusive: {calls} calls, fewer than the required {MIN_CALLS}")
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
