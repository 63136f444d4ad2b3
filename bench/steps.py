"""Trainer steps: idle time, staleness and waste, with stragglers and a crash."""

import asyncio
import time

import attrs

from bench.report import Row
from bench.scenes import Scene, scene, trainer_source
from gypsumshift import AsyncTrainer
from standins.trainer import FakeTrainer

__all__ = ["steps"]

PATH = "/yards/trainers/tr"
TRAIN_TIME = 1.0
GROUPS = 8
SAMPLES = 4
BASELINE = {"staleness_weight": 0.4, "overprovision": 0.0, "move_stragglers": False}
CANDIDATE = {"staleness_weight": 0.4, "overprovision": 0.5, "move_stragglers": True}
PLAIN = {"routing": "round-robin", "admission": "fifo"}
GOOD = {"routing": "load", "admission": "fair"}
CURVE = (1.0, 0.5, 0.0)


@attrs.define
class Course:
    """What came of some steps.

    Attributes
    ----------
    idle : list of float
        Seconds that the trainer waited for each step.
    lag : list of int
        Versions by which the oldest token of each sample lagged.
    """

    idle: list[float] = attrs.field(factory=list)
    lag: list[int] = attrs.field(factory=list)

    @property
    def mean_idle(self) -> float:
        """Mean idle time of a step, in seconds."""
        return sum(self.idle) / max(1, len(self.idle))

    @property
    def mean_lag(self) -> float:
        """Mean staleness of a sample, in versions."""
        return sum(self.lag) / max(1, len(self.lag))

    def summary(self) -> dict:
        """Return the figures as JSON."""
        return {
            "steps": len(self.idle),
            "mean_idle_s": round(self.mean_idle, 3),
            "worst_idle_s": round(max(self.idle, default=0), 3),
            "mean_staleness": round(self.mean_lag, 3),
            "worst_staleness": max(self.lag, default=0),
        }


@attrs.define
class Bench:
    """One trainer that trains step after step."""

    running: Scene
    trainer: AsyncTrainer
    standin: FakeTrainer
    step: int = 0

    async def course(self, count: int, crash: bool) -> Course:
        """Train some steps; crash an engine in the middle of one."""
        course = Course()
        for number in range(count):
            await self.standin.submit(GROUPS)
            self.step += 1
            if crash and number == count // 2:
                asyncio.get_running_loop().call_later(0.3, self.crash)
            began = time.monotonic()
            delivery = await self.trainer.step(self.step)
            course.idle.append(time.monotonic() - began)
            course.lag += [delivery.version - s.oldest for s in delivery.samples]
            await asyncio.sleep(TRAIN_TIME)
            await self.trainer.publish(self.trainer.version + 1, b"w" * 200_000)
        course.idle = course.idle[1:]
        return course

    def crash(self) -> None:
        """Crash one engine and start it again."""
        name = self.running.backends()[self.step % 5]
        self.running.deployment.kill(name)
        self.running.deployment.restart(name)


async def steps(quick: bool) -> tuple[list[Row], dict]:
    """Moving and overprovisioning against neither, and the curve of the weight."""
    count, rounds = (4, 1) if quick else (8, 2)
    candidate, baseline = Course(), Course()
    curve = {}
    speed = {"step": 0.008, "swap": 0.1, "length_median": 60, "length_sigma": 0.8}
    async with scene(trainer_source(BASELINE), **speed) as running:
        async with AsyncTrainer(running.deployment.caller_urls(PATH)) as trainer:
            standin = FakeTrainer(
                trainer, "tr", samples=SAMPLES, max_tokens=600, seed=1
            )
            bench = Bench(running, trainer, standin)
            await standin.submit(4 * GROUPS)
            for _ in range(rounds):
                for course, pool, declared in (
                    (candidate, GOOD, CANDIDATE),
                    (baseline, PLAIN, BASELINE),
                ):
                    await running.declare(pool, declared)
                    part = await bench.course(count, crash=True)
                    course.idle += part.idle
                    course.lag += part.lag
            for weight in CURVE:
                declared = CANDIDATE | {"staleness_weight": weight}
                await running.declare(GOOD, declared)
                curve[weight] = await bench.course(count, crash=False)
            wasted = await waste(running)
    rows = [
        Row(
            "trainer idle time a step",
            candidate.mean_idle,
            baseline.mean_idle,
            "s",
            "<= 0.333",
            candidate.mean_idle <= baseline.mean_idle / 3,
        ),
        Row(
            "oldest sample against the bound",
            max(candidate.lag),
            2,
            "versions",
            "<= 1",
            max(candidate.lag) <= 2,
        ),
        Row("tokens wasted", wasted, 0.05, "share", "<= 1", wasted <= 0.05),
    ]
    points = [
        {"x": round(c.mean_lag, 3), "y": round(c.mean_idle, 3), "label": str(weight)}
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


async def waste(running: Scene) -> float:
    """Return the share of the generated tokens that were thrown away."""
    wasted = sampled = 0.0
    for row in await running.deployment.status():
        for name, value in row["figures"].items():
            if name.startswith("tokens_wasted"):
                wasted += value
            elif name.startswith("tokens_sampled"):
                sampled += value
    return wasted / max(1.0, wasted + sampled)
