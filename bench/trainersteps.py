"""Experiment: idle time, staleness and waste of trainer steps.

There are stragglers among the samples, and an engine crashes in each segment.
"""

import asyncio
import time

import attrs

from bench.report import Row
from bench.testbed import Testbed, run_testbed, trainer_source
from gypsumshift import AsyncTrainer
from standins.trainer import FakeTrainer

__all__ = ["trainer_steps"]

PATH = "/yards/trainers/tr"
TRAIN_TIME_S = 1.0
GROUPS_PER_STEP = 8
SAMPLES_PER_GROUP = 4
BASELINE_TRAINER = {
    "staleness_weight": 0.4,
    "overprovision": 0.0,
    "move_stragglers": False,
}
CANDIDATE_TRAINER = {
    "staleness_weight": 0.4,
    "overprovision": 0.5,
    "move_stragglers": True,
}
BASELINE_POOL = {"routing": "round-robin", "admission": "fifo"}
CANDIDATE_POOL = {"routing": "load", "admission": "fair"}
CURVE_WEIGHTS = (1.0, 0.5, 0.0)


@attrs.define
class StepStats:
    """Idle times and staleness of some steps.

    Attributes
    ----------
    idle_s : list of float
        Seconds for which the trainer waited for each step.
    lags : list of int
        Versions by which the oldest token of each sample lagged behind
        its delivery.
    """

    idle_s: list[float] = attrs.field(factory=list)
    lags: list[int] = attrs.field(factory=list)

    @property
    def mean_idle_s(self) -> float:
        """Mean idle time of a step, in seconds."""
        return sum(self.idle_s) / max(1, len(self.idle_s))

    @property
    def mean_lag(self) -> float:
        """Mean staleness of a sample, in versions."""
        return sum(self.lags) / max(1, len(self.lags))

    def summary(self) -> dict:
        """Return the statistics for the result file."""
        return {
            "steps": len(self.idle_s),
            "mean_idle_s": round(self.mean_idle_s, 3),
            "worst_idle_s": round(max(self.idle_s, default=0), 3),
            "mean_staleness": round(self.mean_lag, 3),
            "worst_staleness": max(self.lags, default=0),
        }


@attrs.define
class StepRunner:
    """Runs the steps of one trainer, one after another."""

    testbed: Testbed
    trainer: AsyncTrainer
    fake_trainer: FakeTrainer
    step: int = 0

    async def run_steps(self, count: int, crash: bool) -> StepStats:
        """Run some steps; optionally crash an engine during the middle one."""
        stats = StepStats()
        for number in range(count):
            await self.fake_trainer.submit(GROUPS_PER_STEP)
            self.step += 1
            if crash and number == count // 2:
                asyncio.get_running_loop().call_later(0.3, self.crash)
            began = time.monotonic()
            delivery = await self.trainer.step(self.step)
            stats.idle_s.append(time.monotonic() - began)
            stats.lags += [delivery.version - s.oldest for s in delivery.samples]
            await asyncio.sleep(TRAIN_TIME_S)
            await self.trainer.publish(self.trainer.version + 1, b"w" * 200_000)
        stats.idle_s = stats.idle_s[1:]
        return stats

    def crash(self) -> None:
        """Kill one engine and restart it."""
        name = self.testbed.backend_names()[self.step % 5]
        self.testbed.deployment.kill(name)
        self.testbed.deployment.restart(name)


async def trainer_steps(quick: bool) -> tuple[list[Row], dict]:
    """Compare moving of stragglers and overprovisioning with neither of them.

    Also measures idle time over staleness for several staleness weights.
    """
    count, rounds = (4, 1) if quick else (8, 2)
    candidate, baseline = StepStats(), StepStats()
    curve = {}
    standin_options = {
        "step": 0.008,
        "swap": 0.1,
        "length_median": 60,
        "length_sigma": 0.8,
    }
    async with run_testbed(
        trainer_source(BASELINE_TRAINER), **standin_options
    ) as testbed:
        async with AsyncTrainer(testbed.deployment.caller_urls(PATH)) as trainer:
            fake_trainer = FakeTrainer(
                trainer, "tr", samples=SAMPLES_PER_GROUP, max_tokens=600, seed=1
            )
            runner = StepRunner(testbed, trainer, fake_trainer)
            await fake_trainer.submit(4 * GROUPS_PER_STEP)
            for _ in range(rounds):
                for stats, pool, declared in (
                    (candidate, CANDIDATE_POOL, CANDIDATE_TRAINER),
                    (baseline, BASELINE_POOL, BASELINE_TRAINER),
                ):
                    await testbed.declare(pool, declared)
                    segment_stats = await runner.run_steps(count, crash=True)
                    stats.idle_s += segment_stats.idle_s
                    stats.lags += segment_stats.lags
            for weight in CURVE_WEIGHTS:
                declared = CANDIDATE_TRAINER | {"staleness_weight": weight}
                await testbed.declare(CANDIDATE_POOL, declared)
                curve[weight] = await runner.run_steps(count, crash=False)
            wasted = await read_wasted_share(testbed)
    rows = [
        Row(
            "trainer idle time a step",
            candidate.mean_idle_s,
            baseline.mean_idle_s,
            "s",
            "<= 0.333",
            candidate.mean_idle_s <= baseline.mean_idle_s / 3,
        ),
        Row(
            "oldest sample against the bound",
            max(candidate.lags),
            2,
            "versions",
            "<= 1",
            max(candidate.lags) <= 2,
        ),
        Row("tokens wasted", wasted, 0.05, "share", "<= 1", wasted <= 0.05),
    ]
    points = [
        {"x": round(c.mean_lag, 3), "y": round(c.mean_idle_s, 3), "label": str(weight)}
        for weight, c in curve.items()
    ]
    details = {
        "candidate": candidate.summary(),
        "baseline": baseline.summary(),
        "curve": points,
        "curve_x": "mean staleness (versions)",
        "curve_y": "mean idle time (s)",
    }
    return rows, details


async def read_wasted_share(testbed: Testbed) -> float:
    """Read the share of the generated tokens that were discarded."""
    wasted = sampled = 0.0
    for row in await testbed.deployment.status():
        for name, value in row["figures"].items():
            if name.startswith("tokens_wasted"):
                wasted += value
            elif name.startswith("tokens_sampled"):
                sampled += value
    return wasted / max(1.0, wasted + sampled)
