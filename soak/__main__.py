"""Run the soak: ``python -m soak --seed 1 --seconds 20``."""

import asyncio
import pathlib
import signal
import sys
import tempfile
import time
from typing import Annotated

import typer

from soak.checks import check_backends, check_results
from soak.deployment import Deployment
from soak.fatal import check_fatal_requests, send_fatal_requests, wait_all_ready
from soak.faults import FaultInjector
from soak.keys import check_keys
from soak.regression import SEEDS
from soak.usagereports import check_usage_reports
from soak.workload import Workload

CALLERS = 4
TRAINERS = 2
READERS = 4
# Seconds behind the last fault in which callers go on: for what is known everywhere by
# then to be seen.
CALM_S = 8.0
# Seconds after the last fault in which every accepted job must be whole.
SETTLE_TIMEOUT_S = 60.0


async def soak(folder: pathlib.Path, seed: int, seconds: float, nodes: int):
    """Play one run; return what is wrong, and a line on what was played."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    deployment = Deployment(folder, seed, nodes)
    workload = Workload(deployment, seed)
    faults = FaultInjector(deployment, seed)
    try:
        await deployment.start(workload.keys.make_config())
        await workload.keys.write_config()
        callers = [asyncio.create_task(workload.call()) for _ in range(CALLERS)]
        callers += [asyncio.create_task(workload.train()) for _ in range(TRAINERS)]
        callers += [asyncio.create_task(workload.read_on()) for _ in range(READERS)]
        callers.append(asyncio.create_task(send_fatal_requests(workload, seed)))
        keeping = asyncio.create_task(deployment.keep_workers())
        changing = asyncio.create_task(workload.keys.run_rotation())
        await faults.run(seconds)
        changing.cancel()
        await wait_all_ready(deployment)
        calm_from = time.time()
        await asyncio.sleep(CALM_S)
        workload.stopping = True
        await asyncio.gather(*callers)
        wrong = await settle(workload, deployment)
        wrong += await check_usage_reports(deployment)
        keeping.cancel()
    finally:
        await deployment.close()
    wrong += check_backends(folder, workload.seen)
    wrong += check_fatal_requests(folder, calm_from)
    wrong += check_keys(folder, workload.keys)
    seen = workload.seen
    played = (
        f"{seen.served_count} requests served, {len(seen.refused)} refused, "
        f"{len(seen.jobs)} jobs, {len(faults.injected)} faults"
    )
    return wrong, played, faults.injected


async def settle(workload: Workload, deployment: Deployment) -> list[str]:
    """Read every job at every gateway, once all faults have ended."""
    wrong = []
    gateways = deployment.of_kind("gateway")
    until = asyncio.get_running_loop().time() + SETTLE_TIMEOUT_S
    for job, items in workload.seen.jobs.items():
        try:
            async with asyncio.timeout_at(until):
                pages = [await workload.read(job, gateway) for gateway in gateways]
        except TimeoutError:
            wrong.append(
                f"{job}: is not whole {SETTLE_TIMEOUT_S:.0f} s after the last fault"
            )
            continue
        wrong += check_results(job, items, pages)
    return wrong


def main(
    seed: Annotated[int, typer.Option(help="Of the first run.")] = 1,
    seconds: Annotated[float, typer.Option(help="Of faults in each run.")] = 15,
    nodes: Annotated[int, typer.Option(help="Gateways, agents, workers.")] = 3,
    runs: Annotated[int, typer.Option(help="Runs, each with the next seed.")] = 1,
    keep: Annotated[str, typer.Option(help="Folder for logs of failed runs.")] = "",
    regression: Annotated[
        bool, typer.Option(help="Play the seeds that once failed instead.")
    ] = False,
) -> None:
    """Run the real programs under random faults and check the promises."""
    due = [(number, seconds, nodes) for number in range(seed, seed + runs)]
    if regression:
        due = [(known.seed, known.seconds, known.nodes) for known in SEEDS]
    failed = [one for one in due if not play(*one, keep)]
    sys.exit(1 if failed else 0)


def play(number: int, seconds: float, nodes: int, keep: str) -> bool:
    """Play one seed and print what came of it; return whether all promises held."""
    with KeptFolder(keep, number) if keep else tempfile.TemporaryDirectory() as name:
        run = soak(pathlib.Path(name), number, seconds, nodes)
        wrong, played, done = asyncio.run(run)
    print(f"seed {number}: {played}; {len(wrong)} broken promises", flush=True)
    for line in wrong[:20]:
        print(f"  {line}")
    if wrong:
        print("  faults: " + "; ".join(done))
    return not wrong


class KeptFolder:
    """A new folder that stays after its run.

    What an earlier run of the seed wrote would be counted as this one's.
    """

    def __init__(self, parent: str, seed: int):
        pathlib.Path(parent).mkdir(parents=True, exist_ok=True)
        self.path = tempfile.mkdtemp(prefix=f"seed-{seed}-", dir=parent)

    def __enter__(self) -> str:
        return self.path

    def __exit__(self, *error) -> None:
        """Leave it as it is."""


if __name__ == "__main__":
    typer.run(main)
