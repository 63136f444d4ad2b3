"""``python -m history``: run under faults, record, judge.

Takes ``SEED``, ``DURATION`` (seconds), ``CALLERS`` and ``HISTORY`` (a recorded
file to judge again) from the environment. Exits 1 where a promise is broken,
and 2 where the run was too small to tell.
"""

import asyncio
import json
import os
import pathlib
import sys
import time

from gypsumshift import declarations
from history.checkers import SHOWN, judge
from history.faults import Schedule
from history.workload import Recorder, Workload
from standins.deployment import Deployment

FOLDER = pathlib.Path("examples/teranga-signes")
REPORTS = pathlib.Path("reports")
SPEED = {"step": 0.005, "swap": 0.05, "duration": 0.01, "host_lag": 30.0}
LEAST_OPERATIONS = 10_000
LEAST_DURATION = 60.0
FINISH_TIMEOUT = 90.0


async def record(
    seed: int, duration: float, callers: int, daemon=None, only=()
) -> list[dict]:
    """Run a deployment under faults; return its history."""
    catalog = declarations.load(FOLDER)
    recorder = Recorder()
    async with Deployment(catalog, speed=SPEED, daemon=daemon) as deployment:
        await deployment.apply(catalog, "first", 0)
        await deployment.until_in_force(1)
        workload = Workload(deployment, recorder, seed)
        schedule = Schedule(deployment, recorder, seed, only)
        using = asyncio.create_task(workload.run(callers))
        try:
            faulting = asyncio.create_task(schedule.run(time.time() + duration))
            await asyncio.wait({using, faulting}, return_when=asyncio.FIRST_COMPLETED)
            if using.done():
                faulting.cancel()
            workload.done.set()
            async with asyncio.timeout(FINISH_TIMEOUT):
                await using
        except TimeoutError:
            print("the trainer could not pull all that it had submitted")
        finally:
            using.cancel()
            await asyncio.gather(using, return_exceptions=True)
        keep_logs(deployment, seed)
        return recorder.records + journals(deployment)


def journals(deployment: Deployment) -> list[dict]:
    """Return what the services noted in their journals."""
    runs = []
    for path in deployment.folder.glob("*.journal"):
        for line in path.read_text().splitlines():
            runs.append({"kind": "run", **json.loads(line)})
    return runs


def keep_logs(deployment: Deployment, seed: int) -> None:
    """Keep the logs of all processes in one file."""
    REPORTS.mkdir(exist_ok=True)
    lines = []
    for path in sorted(deployment.folder.glob("*.log")):
        lines += [f"== {path.stem}", path.read_text(errors="replace")]
    (REPORTS / f"promises-{seed}.log").write_text("\n".join(lines))


def report(records: list[dict]) -> int:
    """Print one line per promise; return the number of violations."""
    calls = [record for record in records if record["kind"] == "call"]
    faults = [record for record in records if record["kind"] == "fault"]
    unknown = sum(1 for call in calls if call["outcome"] == "unknown")
    refused = sum(1 for call in calls if call["outcome"] == "not run")
    broken = 0
    for finding in judge(records):
        broken += len(finding.violations)
        print(
            f"{finding.promise:14} checked {finding.checked:6}  faults {len(faults):3}"
            f"  violations {len(finding.violations)}"
        )
        for violation in finding.violations[:SHOWN]:
            print(f"    {violation}")
    share = unknown / max(1, len(calls))
    print(f"{len(calls)} calls: {refused} not run, {unknown} unknown ({share:.2%})")
    return broken


def main() -> int:
    """Run or read a history and judge it."""
    path = os.environ.get("HISTORY")
    if path:
        with open(path) as lines:
            return 1 if report([json.loads(line) for line in lines]) else 0
    seed = int(os.environ.get("SEED", time.time_ns() % 1_000_000))
    duration = float(os.environ.get("DURATION", LEAST_DURATION))
    callers = int(os.environ.get("CALLERS", 24))
    print(f"SEED={seed} DURATION={duration:g} CALLERS={callers}", flush=True)
    records = asyncio.run(record(seed, duration, callers))
    path = REPORTS / f"promises-{seed}.jsonl"
    path.write_text("".join(json.dumps(record) + "\n" for record in records))
    print(f"history: {path}")
    if report(records):
        return 1
    calls = sum(1 for record in records if record["kind"] == "call")
    if duration >= LEAST_DURATION and calls < LEAST_OPERATIONS:
        print(f"fewer than {LEAST_OPERATIONS} calls: too few to tell")
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
