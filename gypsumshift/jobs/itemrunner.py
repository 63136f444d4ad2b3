"""Item steps: an item in its place of the engine, and in the gate of reward calls.

What is held back, since servers ended under it, waits outside of both.
"""

import asyncio
from collections.abc import Callable

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.eventstream import StreamBroken
from gypsumshift.jobs.itemrun import RETRY_PAUSE, ItemRun
from gypsumshift.jobs.localengine import LocalEngine
from gypsumshift.jobs.records import Result
from gypsumshift.jobs.rewardlimiter import RewardLimiter
from gypsumshift.jobs.weights import WeightManager
from gypsumshift.metrics import Metrics
from gypsumshift.outcomes import HeldBack
from gypsumshift.platforms import RowStore
from gypsumshift.serving.crashguard import CrashGuard, Permit
from gypsumshift.serving.directory import BackendServer
from gypsumshift.serving.liveness import is_gone

__all__ = ["ItemRunner"]

# Longest wait of an item that is held back until it asks again, in seconds.
HELD_PAUSE = 1.0
# HTTP status of a stream that was read to its end.
WHOLE = 200

log = logs.logger("units")


class ItemRunner:
    """Owns the places of the engine and the gate, and takes items through them.

    Parameters
    ----------
    local_engine : LocalEngine
    weights : WeightManager
    guard : CrashGuard
    store : RowStore
        Tells the time by which items age.
    clock : Clock
    metrics : Metrics
    changed : callable
        Called when there may be room for more.

    Attributes
    ----------
    running : list of str
        Fingerprints of the items that the engine runs now.
    """

    def __init__(
        self,
        local_engine: LocalEngine,
        weights: WeightManager,
        guard: CrashGuard,
        store: RowStore,
        clock: Clock,
        metrics: Metrics,
        changed: Callable[[], None],
    ):
        self.local_engine = local_engine
        self.weights = weights
        self.guard = guard
        self.store = store
        self.clock = clock
        self.metrics = metrics
        self.changed = changed
        self.reward_limiter = RewardLimiter(clock, local_engine.directory)
        self.places = asyncio.Semaphore(1)
        self.place_count = 1
        self.running: list[str] = []

    def set_slot_count(self, count: int) -> None:
        """Let so many items run at once."""
        if count != self.place_count:
            self.place_count = count
            self.places = asyncio.Semaphore(count)

    async def score(self, run: ItemRun) -> Result:
        """Have an item scored that left its place."""
        self.changed()
        while True:
            self.reward_limiter.fit(run.item.reward)
            async with self.reward_limiter.enter(score_rank(run)):
                outcome = await run.finish()
            if isinstance(outcome, HeldBack):
                # Not in the gate: the reward calls of the other items go on.
                outcome = await self.wait_held(run, outcome)
            if outcome is not None:
                return outcome

    async def generate(self, run: ItemRun) -> Result | None:
        """Generate one item; return a result only where it is given up."""
        while True:
            async with self.places:
                outcome = await self.try_once(run)
            if run.generated or isinstance(outcome, Result):
                return outcome
            if isinstance(outcome, HeldBack):
                outcome = await self.wait_held(run, outcome)
                if outcome is not None:
                    return outcome
                continue
            # An engine that loads a model's weights refuses its requests: asking
            # ten times a second was 4 of 10 requests on a calm day.
            await self.clock.sleep(RETRY_PAUSE)

    async def try_once(self, run: ItemRun) -> Result | HeldBack | None:
        """Generate one item, where the engine and the guard take it now."""
        server = self.local_engine.server
        if server is None or self.weights.loading_model == run.job.model:
            return None
        if self.guard.quarantine.must_run_apart(run.fingerprint, self.running):
            return None
        self.running.append(run.fingerprint)
        try:
            permit = await self.guard.admit(run.fingerprint, run.item.id)
            if isinstance(permit, HeldBack):
                return permit
            return await self.generate_at(run, server, permit)
        finally:
            self.running.remove(run.fingerprint)

    async def generate_at(
        self, run: ItemRun, server: BackendServer, permit: Permit
    ) -> Result | None:
        """Generate one item at the engine by leave of the guard."""
        ran = True
        from_start = not run.events
        try:
            result = await run.generate(server)
            run.generated = result is None
            if run.generated:
                self.guard.record_answer(permit, WHOLE, from_start)
            return result
        except StreamBroken as error:
            ran = error.sent
            await self.note_broken(run, server, error, permit)
            return None
        finally:
            self.guard.release_permit(permit, ran)

    async def wait_held(self, run: ItemRun, held: HeldBack) -> Result | None:
        """Wait until an item may be tried again; return the result of one given up.

        It takes no place meanwhile, and is given up only by its age: another release
        of the engine may not end under it.
        """
        if run.expired(self.store.now().total_seconds()):
            return run.give_up(held.reason)
        run.held_back = True
        self.changed()
        pause = min(held.retry_after.total_seconds(), HELD_PAUSE)
        try:
            await self.clock.sleep(pause)
        finally:
            run.held_back = False
        return None

    async def note_broken(
        self, run: ItemRun, server: BackendServer, error: StreamBroken, permit: Permit
    ) -> None:
        """Take note of a stream that broke, and of an engine that ended; it goes on."""
        directory, fetcher = (
            self.local_engine.directory,
            self.local_engine.engine.fetcher,
        )
        ended = error.closed and await is_gone(directory, fetcher, server)
        if ended:
            self.guard.record_crash(permit, server.start)
        if error.replaced:
            self.local_engine.replaced_starts.add(server.start)
        self.metrics.count("broken_streams")
        logs.event(
            log,
            "A stream broke.",
            item=run.item.id,
            job=run.job.id,
            fingerprint=run.fingerprint,
            server=server.id,
            events=len(run.events),
            reason=str(error),
            ended=ended,
        )


def score_rank(run: ItemRun) -> tuple[float, int]:
    """Return the rank of a reward call: items that end an older step go first.

    The last and longest items of a step are generated when the next step's many short
    ones wait for their scores; behind them, they lost up to 0.8 s of the step's 7 s.
    """
    return (run.job.submitted, -len(run.events))
