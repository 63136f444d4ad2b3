"""Experiment: one workspace floods a service of which half of the servers are slow."""

import asyncio
import os
import pathlib
import tempfile
import time

import attrs

from bench.report import Row
from bench.surge import CallRecord, format_summaries, percentile_ms
from bench.surgecallers import Phase, SurgePlan
from bench.surgedeployment import SERVERS, SurgeDeployment, run_callers
from bench.surgereport import PERIODS, make_rows, plot_workspaces, summarize_phases
from bench.surgescenario import (
    ARMS,
    CONDITIONS,
    FLOODER,
    LARGE_BODY_BYTES,
    LARGE_SHARE,
    SLOWDOWN,
    TIME_LIMIT_MS,
    WORKSPACES,
    make_config,
    make_phases,
)
from standins.users_documents import HOST

__all__ = ["contention"]

# Time that the processes of the callers need to start.
START_DELAY_S = 1.5


def make_plan(
    deployment: SurgeDeployment, phases: list[Phase], names: set[str], seed: int
) -> SurgePlan:
    """Return the plan of the callers of some workspaces, which starts soon."""
    return SurgePlan(
        started_at=time.monotonic() + START_DELAY_S,
        seed=seed,
        gateways=deployment.gateway_addresses(),
        target="/surge/1",
        host=HOST,
        time_limit_s=TIME_LIMIT_MS / 1000,
        keys={name: f"key-{name}" for name in names},
        phases=[
            attrs.evolve(p, rates={n: p.rates[n] for n in p.rates if n in names})
            for p in phases
        ],
    )


async def slow_half(deployment: SurgeDeployment, plan: SurgePlan) -> None:
    """Slow down half of the servers during the surge."""
    calm, onset, lasting, _ = plan.phases
    servers = deployment.of_kind("app")[: SERVERS // 2]
    began = plan.started_at + calm.seconds
    ended = began + onset.seconds + lasting.seconds
    for at, slowdown in ((began, SLOWDOWN), (ended, 1)):
        await asyncio.sleep(at - time.monotonic())
        await asyncio.gather(*(deployment.set_slowdown(s, slowdown) for s in servers))


async def run_arm(
    without: str, phases: list[Phase], seed: int
) -> tuple[list[CallRecord], float]:
    """Play the surge once; return the requests and the gateways' peak memory in MB."""
    with tempfile.TemporaryDirectory(prefix="contention-") as text:
        folder = pathlib.Path(text)
        deployment = SurgeDeployment(folder, seed, CONDITIONS, without)
        try:
            await deployment.start(make_config())
            others = make_plan(
                deployment, phases, set(WORKSPACES) - {FLOODER}, 2 * seed
            )
            flood = attrs.evolve(
                make_plan(deployment, phases, {FLOODER}, 2 * seed + 1),
                started_at=others.started_at,
                large_body_bytes=LARGE_BODY_BYTES,
                large_share=LARGE_SHARE,
            )
            async with asyncio.TaskGroup() as group:
                tasks = [
                    group.create_task(run_callers(folder, "others", others)),
                    group.create_task(run_callers(folder, "flood", flood)),
                ]
                group.create_task(slow_half(deployment, others))
            records = [record for task in tasks for record in task.result()]
            return records, deployment.peak_memory_mb()
        finally:
            await deployment.close()


def rotated_arms(number: int) -> list[str]:
    """Return the arms in the order of a round, each of which begins with another."""
    arms = list(ARMS)
    return arms[number % len(arms) :] + arms[: number % len(arms)]


async def contention(quick: bool) -> tuple[list[Row], dict]:
    """Play a surge with all mechanisms, and without admission or byte budget."""
    phases, rounds = make_phases(quick), 1 if quick else len(ARMS)
    records: dict[str, list[CallRecord]] = {arm: [] for arm in ARMS}
    peaks = dict.fromkeys(ARMS, 0.0)
    runs = []
    for seed in range(rounds):
        for arm in rotated_arms(seed):
            calls, peak_mb = await run_arm(ARMS[arm], phases, seed)
            records[arm] += calls
            peaks[arm] = max(peaks[arm], peak_mb)
            lag_ms = percentile_ms([call.lag_s for call in calls], 99)
            load = os.getloadavg()[0]
            runs.append({"arm": arm, "load_average": load, "lag_p99_ms": lag_ms})
    by_period = {
        name: summarize_phases(records, names) for name, names in PERIODS.items()
    }
    plot_workspaces(by_period["surge"])
    details = {
        name: {
            arm: {workspace: attrs.asdict(s) for workspace, s in by_workspace.items()}
            for arm, by_workspace in summaries.items()
        }
        for name, summaries in by_period.items()
    }
    details |= {"peak_memory_mb": peaks, "runs": runs}
    details["table"] = format_summaries(by_period["surge"])
    return make_rows(by_period, peaks), details
