"""Runs items in the engine's slots and their reward calls under the agent's limit.

An item is owed until it has a result: one whose engine crashed is tried again as any
other whose stream broke.
"""

import asyncio
from collections.abc import Callable

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.eventstream import StreamBroken, StreamWithheld
from gypsumshift.jobs.engine import send_id
from gypsumshift.jobs.itemrun import (
    RETRY_PAUSE,
    SCORE_RETRY_PAUSE,
    ItemRun,
    WaitReason,
)
from gypsumshift.jobs.localengine import LocalEngine
from gypsumshift.jobs.records import Result
from gypsumshift.jobs.rewardlimiter import RewardLimiter
from gypsumshift.jobs.weights import WeightManager
from gypsumshift.metrics import Metrics
from gypsumshift.serving.directory import BackendServer
from gypsumshift.serving.liveness import is_gone

__all__ = ["ItemRunner"]

log = logs.logger("units")


class ItemRunner:
    """Limits how many items an agent generates and scores at once, and runs them.

    Parameters
    ----------
    local_engine : LocalEngine
    weights : WeightManager
    clock : Clock
    metrics : Metrics
    on_capacity_change : callable
        Called when the engine may have room for more items.

    Attributes
    ----------
    slots : asyncio.Semaphore
        Slots of the engine.
    """

    def __init__(
        self,
        local_engine: LocalEngine,
        weights: WeightManager,
        clock: Clock,
        metrics: Metrics,
        on_capacity_change: Callable[[], None],
    ):
        self.local_engine = local_engine
        self.weights = weights
        self.clock = clock
        self.metrics = metrics
        self.on_capacity_change = on_capacity_change
        self.reward_limiter = RewardLimiter(clock, local_engine.directory)
        self.slots = asyncio.Semaphore(1)
        self.slot_count = 1

    def set_slot_count(self, count: int) -> None:
        """Set how many items may be generated at once."""
        if count != self.slot_count:
            self.slot_count = count
            self.slots = asyncio.Semaphore(count)

    async def score(self, run: ItemRun) -> Result:
        """Score an item that has left its slot; return its result."""
        self.on_capacity_change()
        run.leave_engine(WaitReason.SCORING)
        while True:
            self.reward_limiter.update_limit(run.item.reward, run.job.workspace)
            async with self.reward_limiter.enter(score_rank(run)):
                result = await run.make_result()
            if result is not None:
                return result
            # Outside of the limiter, so that the reward calls of other items go on
            # while this one fails.
            await self.clock.sleep(SCORE_RETRY_PAUSE)

    async def generate(self, run: ItemRun) -> Result | None:
        """Generate one item; return a result only if it is given up."""
        while True:
            if self.slots.locked():
                run.wait_reason = WaitReason.QUEUED
            async with self.slots:
                result = await self.try_generate(run)
            if run.generated or result is not None:
                return result
            # An engine that loads a model's weights refuses its requests: retries
            # ten times a second were 4 of 10 requests on a day without faults.
            await self.clock.sleep(RETRY_PAUSE)

    async def try_generate(self, run: ItemRun) -> Result | None:
        """Generate one item if the engine takes it now.

        Returns None also where it is to be tried again.
        """
        server = self.usable_server(run)
        cold_rates = self.local_engine.cold_rates
        if server is None or cold_rates is None:
            return await self.try_generate_at(run, server)
        key = send_id(run.job, run.item)
        run.wait_reason = WaitReason.COLD
        await cold_rates.wait_turn(server, key, remaining_events(run))
        try:
            current = self.usable_server(run)
            if current is None or current.start != server.start:
                return None
            return await self.try_generate_at(run, current)
        finally:
            cold_rates.release_turn(server, key)

    def usable_server(self, run: ItemRun) -> BackendServer | None:
        """Return the engine if it can generate an item now."""
        loading = self.weights.loading_model
        if loading and run.job.model in ("", loading):
            run.wait_reason = WaitReason.LOADING
            return None
        if self.local_engine.server is None:
            run.wait_reason = WaitReason.NOT_LISTED
        return self.local_engine.server

    async def try_generate_at(
        self, run: ItemRun, server: BackendServer | None
    ) -> Result | None:
        """Generate one item at the engine, unless its zone is evacuated."""
        if server is None:
            return None
        if self.local_engine.is_evacuated:
            run.wait_reason = WaitReason.EVACUATED
            return None
        run.wait_reason = None
        received = len(run.events)
        try:
            result = await run.generate(server)
            run.generated = result is None
            return result
        except StreamWithheld:
            return None
        except StreamBroken as error:
            await self.handle_broken_stream(run, server, error)
            return None
        finally:
            if len(run.events) > received:
                run.leave_engine(WaitReason.BROKEN)
            run.wait_reason = WaitReason.BROKEN

    async def handle_broken_stream(
        self, run: ItemRun, server: BackendServer, error: StreamBroken
    ) -> None:
        """Log a broken stream, and record whether the engine was replaced.

        The item is tried again.
        """
        if self.local_engine.cold_rates is not None:
            self.local_engine.cold_rates.note_broken(server)
        directory, fetcher = (
            self.local_engine.directory,
            self.local_engine.client.fetcher,
        )
        ended = error.closed and await is_gone(directory, fetcher, server)
        if error.replaced:
            self.local_engine.replaced_starts.add(server.start)
        self.metrics.count("broken_streams")
        logs.event(
            log,
            "The output stream of an item broke; the item is tried again.",
            item=run.item.id,
            job=run.job.id,
            server=server.id,
            events=len(run.events),
            reason=str(error),
            ended=ended,
        )


def remaining_events(run: ItemRun) -> int:
    """Return the number of events that an item is expected to have still."""
    return max(run.item.hint - len(run.events), 0)


def score_rank(run: ItemRun) -> tuple[float, int]:
    """Return the rank of a reward call: items of older steps, then longer ones first.

    The last and longest items of a step are generated when the next step's many short
    ones wait for their scores. Queued behind those, they lost up to 0.8 s of the
    step's 7 s.
    """
    return (run.job.submitted, -len(run.events))
