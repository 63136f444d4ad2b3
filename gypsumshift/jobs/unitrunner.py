"""Unit runs: the claimed units of one agent, from claim to results or handover."""

import asyncio
import traceback
from collections.abc import Callable

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.jobs.claimtracker import Candidate, ClaimTracker
from gypsumshift.jobs.itemrun import RETRY_PAUSE, ItemRun
from gypsumshift.jobs.itemrunner import ItemRunner
from gypsumshift.jobs.localengine import LocalEngine
from gypsumshift.jobs.pace import Pace
from gypsumshift.jobs.partials import PartialStore, scan_until_answered
from gypsumshift.jobs.records import (
    CLAIMS,
    RESULTS,
    UNITS,
    Claim,
    Item,
    Partial,
    Result,
    Unit,
    from_row,
    parse_row,
    to_row,
)
from gypsumshift.jobs.resultwriter import PendingResult, ResultWriter
from gypsumshift.jobs.unitreleaser import UnitReleaser
from gypsumshift.jobs.unitrun import UnitRun
from gypsumshift.jobs.weights import WeightManager
from gypsumshift.metrics import Metrics
from gypsumshift.platforms import Row, RowStore, Write
from gypsumshift.serving.forwarder import Forwarder
from gypsumshift.serving.headers import HeaderNames

__all__ = ["UnitRunner"]

# Seconds after which a unit is given back that met an error of the program.
BROKEN_PAUSE = 1.0

log = logs.logger("units")


class UnitRunner:
    """Owns the claimed units, and the tasks that run their items.

    Parameters
    ----------
    own : Claim
        What the agent writes where it claims.
    store : RowStore
    local_engine : LocalEngine
    weights : WeightManager
    tracker : ClaimTracker
    forwarder : Forwarder
        For reward calls; its guard is asked for items, too.
    names : HeaderNames
    clock : Clock
    metrics : Metrics
    changed : callable
        Called when there may be room for more.
    """

    def __init__(
        self,
        own: Claim,
        store: RowStore,
        local_engine: LocalEngine,
        weights: WeightManager,
        tracker: ClaimTracker,
        forwarder: Forwarder,
        names: HeaderNames,
        clock: Clock,
        metrics: Metrics,
        changed: Callable[[], None],
    ):
        self.own = own
        self.store = store
        self.local_engine = local_engine
        self.weights = weights
        self.tracker = tracker
        self.forwarder = forwarder
        self.names = names
        self.clock = clock
        self.metrics = metrics
        self.changed = changed
        self.pace = Pace(clock)
        self.result_writer = ResultWriter(store, clock)
        self.partials = PartialStore(store, own.session, clock)
        self.units: dict[tuple[str, str], UnitRun] = {}
        self.item_runner = ItemRunner(
            local_engine, weights, forwarder.guard, store, clock, metrics, changed
        )
        self.releaser = UnitReleaser(store, tracker, self.partials, clock, changed)

    @property
    def load(self) -> int:
        """Items that take a place of the engine, or are about to.

        Not those that wait for their scores: with them, places stood empty for half
        as long as they were used (items of 0.5 s, scores after 0.25 to 0.5 s).
        """
        return sum(unit.slots_used for unit in self.units.values())

    @property
    def sizes(self) -> tuple[int, ...]:
        """Tokens of the engine's memory that each of these is estimated to take."""
        return tuple(
            size for unit in self.units.values() for size in unit.memory_estimates
        )

    @property
    def scoring_count(self) -> int:
        """Items that were generated and wait for their scores."""
        runs = (run for unit in self.units.values() for run in unit.runs.values())
        return sum(run.generated and not run.held_back for run in runs)

    def drop_ended_jobs(self) -> None:
        """Stop the units whose jobs have ended."""
        for unit in list(self.units.values()):
            if unit.job.id in self.tracker.ended_jobs:
                self.drop(unit)

    def drop_if_taken_over(self, row: Row) -> None:
        """Let go of a unit that another agent holds by the store."""
        unit = self.units.get((row.part, row.key))
        if unit is None or row.value is None or row.version <= unit.claim_version:
            return
        claim = parse_row(row, Claim)
        if claim is not None and claim.session != self.own.session:
            logs.event(log, "Another agent runs a unit.", job=row.part, unit=row.key)
            self.drop(unit)

    def start_unit(self, candidate: Candidate, version: int) -> None:
        """Run a claimed unit."""
        job, summary = candidate.job, candidate.unit
        if job.id in self.tracker.ended_jobs or (job.id, summary.key) in self.units:
            # The job ended while the claim was on its way, or its answer was late.
            return
        unit = UnitRun(job, summary, version, self.clock.monotonic())
        self.units[job.id, summary.key] = unit
        logs.event(
            log,
            "Claimed a unit.",
            job=job.id,
            unit=summary.key,
            items=list(summary.items),
            taken_over=candidate.taken_over,
            claim_version=version,
            weights=self.local_engine.versions.get(job.model, 0),
        )
        self.metrics.count("claims", taken_over=str(candidate.taken_over).lower())
        loading = self.load_unit(unit, candidate.taken_over)
        task = asyncio.create_task(loading)
        task.add_done_callback(lambda ended: self.check(unit, ended))
        unit.tasks[""] = task

    async def load_unit(self, unit: UnitRun, taken_over: bool) -> None:
        """Read the items of a unit, and run those without a result."""
        row = await self.read_unit(unit)
        items = from_row(row.value, Unit).items
        known: set[str] = set()
        partials: dict[str, Partial | None] = {}
        if taken_over:
            # First what this agent has itself: it may be stored before the rows come.
            known = self.result_writer.pending_items(unit.job.id)
            rows = await scan_until_answered(
                self.store, self.clock, RESULTS, unit.job.id
            )
            known |= {row.key for row in rows}
            for item in items:
                partials[item.id] = await self.partials.read_longest(
                    unit.job.id, item.id
                )
        due = [item for item in items if item.id not in known]
        for item in due:
            self.start_item(unit, item, partials.get(item.id))
        if not due:
            # The claim that says that a unit is done stands behind its results.
            await self.result_writer.wait_until_stored(unit.job.id, unit.summary.items)
        del unit.tasks[""]
        if not unit.tasks:
            await self.close_unit(unit)

    async def read_unit(self, unit: UnitRun) -> Row:
        """Read the row of a unit, however long that takes."""
        while True:
            row = await self.store.read(UNITS, unit.key, unit.job.id)
            if isinstance(row, Row):
                return row
            await self.clock.sleep(RETRY_PAUSE)

    def start_item(self, unit: UnitRun, item: Item, partial: Partial | None) -> None:
        """Run one item in a task of its own."""
        run = ItemRun(
            unit.job,
            item,
            self.local_engine.engine,
            self.forwarder,
            self.local_engine.directory,
            self.names,
            self.clock,
            self.pace,
        )
        if partial is not None:
            run.resume(partial)
        unit.runs[item.id] = run
        task = asyncio.create_task(self.run_item(unit, run))
        task.add_done_callback(lambda ended: self.check(unit, ended))
        unit.tasks[item.id] = task

    def check(self, unit: UnitRun, task: asyncio.Task) -> None:
        """Give a unit back whose task ended with an error of the program.

        Held on to, it would never be done while this agent's heartbeats are heard.
        """
        if task.cancelled() or task.exception() is None:
            return
        error = "".join(traceback.format_exception(task.exception()))
        log.error("A unit fails here: {} of {}: {}", unit.key, unit.job.id, error)
        self.metrics.count("broken_units")
        if self.units.get((unit.job.id, unit.key)) is unit:
            self.drop(unit)
            # After a pause, so that it does not come at once again.
            self.releaser.start_release(unit, BROKEN_PAUSE)

    async def run_item(self, unit: UnitRun, run: ItemRun) -> None:
        """Generate, score and store one item."""
        claimed = self.clock.monotonic()
        result = await self.item_runner.generate(run)
        generated = self.clock.monotonic()
        if result is None:
            result = await self.item_runner.score(run)
        now = self.clock.monotonic()
        logs.event(
            log,
            "An item has its result.",
            item=run.item.id,
            job=run.job.id,
            state=result.state.value,
            estimate=run.item.hint,
            events=len(run.events),
            versions=run.versions,
            waited_s=round((run.began_at or generated) - claimed, 3),
            generated_s=round(generated - (run.began_at or generated), 3),
            longest_gap_s=round(run.longest_gap, 3),
            scored_s=round(now - generated, 3),
        )
        self.store_result(unit, run, result)

    def store_result(self, unit: UnitRun, run: ItemRun, result: Result) -> None:
        """Hand a result to the committer."""
        self.metrics.count("items", state=result.state.value)
        unit.tasks.pop(run.item.id, None)
        unit.runs.pop(run.item.id, None)
        last = None if unit.tasks else self.finish(unit)
        partial = self.partials.row_key(run) if run.saved_events else ""
        self.result_writer.enqueue(
            PendingResult(unit.job.id, unit.key, result, last, partial)
        )
        self.changed()

    def finish(self, unit: UnitRun) -> Claim:
        """Let go of a unit that is done; return its claim, which is to be stored."""
        done = attrs.evolve(self.own, done=True)
        self.units.pop((unit.job.id, unit.key), None)
        # Known here before the store tells it.
        row = Row(CLAIMS, unit.key, unit.claim_version, to_row(done), unit.job.id)
        self.tracker.apply_claim_rows([row])
        return done

    async def close_unit(self, unit: UnitRun) -> None:
        """Mark a unit done that had all its results before."""
        done = to_row(self.finish(unit))
        await self.store.commit([Write(CLAIMS, unit.key, done, part=unit.job.id)])

    def drop(self, unit: UnitRun) -> None:
        """Stop running a unit."""
        self.units.pop((unit.job.id, unit.key), None)
        for task in unit.tasks.values():
            task.cancel()

    def hand_over_all(self, reason: str) -> list[asyncio.Task]:
        """Give all units back, with what was generated of them."""
        return [self.hand_over_unit(unit, reason) for unit in list(self.units.values())]

    def hand_over_unit(self, unit: UnitRun, reason: str) -> asyncio.Task:
        """Give a unit back, with what was generated of it."""
        self.drop(unit)
        logs.event(
            log,
            "Gave a unit back.",
            job=unit.job.id,
            unit=unit.key,
            reason=reason,
            items=list(unit.runs),
        )
        return self.releaser.start_release(unit)

    async def save_partials(self) -> None:
        """Save what long runs have generated."""
        runs: dict[str, list[ItemRun]] = {}
        for unit in self.units.values():
            runs.setdefault(unit.job.id, []).extend(unit.runs.values())
        for job, own in runs.items():
            await self.partials.save_runs(job, own)

    async def drain(self) -> None:
        """Give all units back, and wait until results are stored."""
        given = self.hand_over_all("this process stops")
        if given:
            await asyncio.wait(given)
        await self.result_writer.drain()
