"""Run the soak: ``python -m soak --seed 1 --seconds 20``."""

import asyncio
import pathlib
import signal
import sys
import tempfile
import time
from typing import Annotated

import typer

from soak.admission import check_crowding, check_needless_refusals
from soak.checks import check_backends, check_results
from soak.conditions import Conditions, choose_conditions
from soak.crowding import Crowding
from soak.deployment import Deployment
from soak.evacuations import FAULT_GAP_S as EVACUATION_FAULT_GAP_S
from soak.evacuations import Evacuator, check_evacuations
from soak.fatal import check_fatal_requests, send_fatal_requests, wait_all_ready
from soak.faults import FAULT_GAP_S, FaultInjector
from soak.keys import check_keys
from soak.places import PlaceHistory
from soak.regression import SEEDS
from soak.usagereports import check_usage_reports
from soak.workload import Workload

CALLERS = 4
TRAINERS = 2
READERS = 4
# Time for which callers go on after the last fault, so that the checks also cover the
# time in which all processes have received the current state.
CALM_S = 8.0
# Time after the last fault by which every accepted job must be complete.
SETTLE_TIMEOUT_S = 60.0


async def soak(
    folder: pathlib.Path,
    seed: int,
    seconds: float,
    nodes: int,
    conditions: Conditions,
    evacuations: bool = False,
):
    """Run one seed; return the violations, a summary line and the injected faults.

    With ``evacuations``, each number of gateway, agent and workers is a zone, and zones
    are evacuated from time to time.
    """
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    deployment = Deployment(folder, seed, nodes, conditions, evacuations)
    workload = Workload(deployment, seed)
    gap = EVACUATION_FAULT_GAP_S if evacuations else FAULT_GAP_S
    faults = FaultInjector(deployment, seed, gap)
    crowding = Crowding(deployment, workload, seed, faults.record_fault)
    evacuator = Evacuator(deployment, seed, faults.record_fault)
    try:
        await deployment.start(workload.keys.make_config())
        await workload.keys.write_config()
        callers = [asyncio.create_task(workload.call()) for _ in range(CALLERS)]
        callers += [asyncio.create_task(workload.train()) for _ in range(TRAINERS)]
        callers += [asyncio.create_task(workload.read_on()) for _ in range(READERS)]
        callers.append(asyncio.create_task(send_fatal_requests(workload, seed)))
        restarting = asyncio.create_task(deployment.keep_workers())
        key_rotation = asyncio.create_task(workload.keys.run_rotation())
        watching = asyncio.create_task(faults.disturbances.watch_store(deployment))
        evacuating = evacuator.run(seconds) if evacuations else asyncio.sleep(0)
        await asyncio.gather(faults.run(seconds), crowding.run(seconds), evacuating)
        key_rotation.cancel()
        await wait_all_ready(deployment)
        await crowding.run_alone()
        calm_from = time.time()
        await asyncio.sleep(CALM_S)
        workload.stopping = True
        await asyncio.gather(*callers)
        watching.cancel()
        violations = await settle(workload, deployment)
        violations += await check_usage_reports(deployment)
        restarting.cancel()
    finally:
        await deployment.close()
    violations += check_backends(folder, workload.seen)
    violations += check_fatal_requests(folder, calm_from)
    violations += check_keys(folder, workload.keys)
    excuses = evacuator.with_faults(faults.disturbances)
    violations += check_needless_refusals(
        workload.seen, workload.keys, PlaceHistory(folder), excuses, crowding.periods
    )
    gateways = [process.name for process in deployment.of_kind("gateway")]
    for period in crowding.periods:
        violations += check_crowding(period, gateways, excuses)
    arrivals, checked = check_evacuations(
        folder, evacuator.evacuations, faults.disturbances
    )
    violations += arrivals
    seen = workload.seen
    summary = (
        f"{seen.served_count} requests served, {len(seen.refused)} refused, "
        f"{len(seen.jobs)} jobs, {len(faults.injected)} faults, "
        f"{len(evacuator.evacuations)} evacuations ({checked:.0f} s checked)"
    )
    return violations, summary, faults.injected


async def settle(workload: Workload, deployment: Deployment) -> list[str]:
    """Read and check every job at every gateway, after all faults have ended."""
    violations = []
    gateways = deployment.of_kind("gateway")
    until = asyncio.get_running_loop().time() + SETTLE_TIMEOUT_S
    for job, items in workload.seen.jobs.items():
        try:
            async with asyncio.timeout_at(until):
                pages = [await workload.read(job, gateway) for gateway in gateways]
        except TimeoutError:
            violations.append(
                f"{job}: is not complete {SETTLE_TIMEOUT_S:.0f} s after the last fault"
            )
            continue
        violations += check_results(job, items, pages)
    return violations


def main(
    seed: Annotated[int, typer.Option(help="Seed of the first run.")] = 1,
    seconds: Annotated[
        float, typer.Option(help="Duration of the faults in each run.")
    ] = 15,
    nodes: Annotated[
        int, typer.Option(help="Number of gateways, agents, workers each.")
    ] = 3,
    runs: Annotated[
        int, typer.Option(help="Number of runs, each with the next seed.")
    ] = 1,
    keep: Annotated[str, typer.Option(help="Folder for logs of failed runs.")] = "",
    regression: Annotated[
        bool, typer.Option(help="Run the seeds that once failed instead.")
    ] = False,
    evacuations: Annotated[
        bool, typer.Option(help="Evacuate zones from time to time as well.")
    ] = False,
) -> None:
    """Run the real programs under random faults and check the guarantees."""
    planned = [
        (number, seconds, nodes, choose_conditions(number))
        for number in range(seed, seed + runs)
    ]
    if regression:
        planned = [(k.seed, k.seconds, k.nodes, k.conditions) for k in SEEDS]
    failed = [one for one in planned if not play(*one, keep, evacuations)]
    sys.exit(1 if failed else 0)


def play(
    number: int,
    seconds: float,
    nodes: int,
    conditions: Conditions,
    keep: str,
    evacuations: bool = False,
) -> bool:
    """Run one seed and print the result; return whether all guarantees held."""
    with KeptFolder(keep, number) if keep else tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        run = soak(folder, number, seconds, nodes, conditions, evacuations)
        violations, summary, faults = asyncio.run(run)
    result = f"{summary}; {len(violations)} broken promises"
    print(f"seed {number} ({conditions}): {result}", flush=True)
    for line in violations[:20]:
        print(f"  {line}")
    if violations:
        print("  faults: " + "; ".join(faults))
    return not violations


class KeptFolder:
    """A new folder for each run, which is kept after it.

    It is not reused for another run of the seed: files of the earlier run would be
    counted as results of the new one.
    """

    def __init__(self, parent: str, seed: int):
        pathlib.Path(parent).mkdir(parents=True, exist_ok=True)
        self.path = tempfile.mkdtemp(prefix=f"seed-{seed}-", dir=parent)

    def __enter__(self) -> str:
        return self.path

    def __exit__(self, *error) -> None:
        """Keep the folder."""


if __name__ == "__main__":
    typer.run(main)
