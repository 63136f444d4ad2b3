"""Runs the units that an agent has claimed until their results or their handover."""

import asyncio
import traceback
from collections.abc import Callable

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.jobs.claimtracker import ClaimTracker
from gypsumshift.jobs.eventsize import EventSize
from gypsumshift.jobs.itemrun import RETRY_PAUSE, ItemRun, WaitReason
from gypsumshift.jobs.itemrunner import ItemRunner
from gypsumshift.jobs.jobservices import OTHER_SERVICE
from gypsumshift.jobs.lengthestimates import LengthEstimates
from gypsumshift.jobs.localengine import LocalEngine
from gypsumshift.jobs.openjob import Candidate
from gypsumshift.jobs.pace import Pace
from gypsumshift.jobs.partials import PartialStore, scan_until_answered
from gypsumshift.jobs.records import (
    CLAIMS,
    RESULTS,
    UNITS,
    Claim,
    Item,
    Job,
    Partial,
    Result,
    Unit,
)
from gypsumshift.jobs.resultwriter import PendingResult, ResultWriter
from gypsumshift.jobs.rowcodec import from_row, parse_row, to_row
from gypsumshift.jobs.unitreleaser import UnitReleaser
from gypsumshift.jobs.unitrun import UnitRun
from gypsumshift.jobs.weights import WeightManager
from gypsumshift.metrics import Metrics
from gypsumshift.platforms import Row, RowStore, Write
from gypsumshift.residency import OUTSIDE_HOMES
from gypsumshift.serving.forwarder import Forwarder
from gypsumshift.serving.headers import HeaderNames

__all__ = ["UnitRunner"]

# Seconds before a unit is given back after an unexpected exception in one of its tasks.
FAILED_UNIT_PAUSE = 1.0

log = logs.logger("units")


class UnitRunner:
    """Holds the claimed units and the tasks that run their items.

    Parameters
    ----------
    own_claim : Claim
        Claim that the agent writes for each unit that it takes.
    store : RowStore
    local_engine : LocalEngine
    weights : WeightManager
    tracker : ClaimTracker
    forwarder : Forwarder
        Sends reward calls.
    names : HeaderNames
    clock : Clock
    metrics : Metrics
    on_capacity_change : callable
        Called when the engine may have room for more items.
    pace : Pace
        Collects the times between the events of the items.
    """

    def __init__(
        self,
        own_claim: Claim,
        store: RowStore,
        local_engine: LocalEngine,
        weights: WeightManager,
        tracker: ClaimTracker,
        forwarder: Forwarder,
        names: HeaderNames,
        clock: Clock,
        metrics: Metrics,
        on_capacity_change: Callable[[], None],
        pace: Pace,
    ):
        self.own_claim = own_claim
        self.store = store
        self.local_engine = local_engine
        self.weights = weights
        self.tracker = tracker
        self.forwarder = forwarder
        self.names = names
        self.clock = clock
        self.metrics = metrics
        self.on_capacity_change = on_capacity_change
        self.pace = pace
        self.event_size = EventSize()
        self.lengths = LengthEstimates(metrics)
        self.result_writer = ResultWriter(store, clock)
        self.partials = PartialStore(store, own_claim.session, clock)
        self.units: dict[tuple[str, str], UnitRun] = {}
        self.item_runner = ItemRunner(
            local_engine,
            weights,
            clock,
            metrics,
            on_capacity_change,
        )
        self.releaser = UnitReleaser(
            store, tracker, self.partials, clock, on_capacity_change
        )

    @property
    def slots_used(self) -> int:
        """Number of items that use a slot of the engine, or are about to.

        Items that wait for their scores are not counted: when they were, slots stood
        empty for half as long as they were used (items of 0.5 s, scores after 0.25 to
        0.5 s).
        """
        return sum(unit.slots_used for unit in self.units.values())

    @property
    def memory_estimates(self) -> tuple[int, ...]:
        """Estimated memory of each item that counts as load, in tokens."""
        return tuple(
            size for unit in self.units.values() for size in unit.memory_estimates
        )

    @property
    def scoring_count(self) -> int:
        """Number of items that were generated and wait for their scores."""
        runs = (run for unit in self.units.values() for run in unit.runs.values())
        return sum(run.generated for run in runs)

    def drop_ended_jobs(self) -> None:
        """Stop running the units whose jobs have ended."""
        for unit in list(self.units.values()):
            if unit.job.id in self.tracker.ended_jobs:
                self.drop_unit(unit)

    def drop_if_taken_over(self, row: Row) -> None:
        """Stop running a unit if its row says that another agent has claimed it."""
        unit = self.units.get((row.part, row.key))
        if unit is None or row.value is None or row.version <= unit.claim_version:
            return
        claim = parse_row(row, Claim)
        if claim is not None and claim.session != self.own_claim.session:
            logs.event(
                log,
                "Stopped running a unit that another agent has claimed.",
                job=row.part,
                unit=row.key,
            )
            self.drop_unit(unit)

    def start_unit(self, candidate: Candidate, version: int) -> None:
        """Start a task that runs a claimed unit."""
        job, summary = candidate.job, candidate.unit
        if job.id in self.tracker.ended_jobs or (job.id, summary.key) in self.units:
            # The job ended while the claim was being written, or the store's answer
            # came late.
            return
        unit = UnitRun(
            job,
            summary,
            version,
            self.clock.monotonic(),
            taken_over=candidate.taken_over,
        )
        if not self.tracker.may_hold(job):
            self.hand_over_unit(unit, OUTSIDE_HOMES)
            return
        if not self.tracker.may_serve(job):
            self.hand_over_unit(unit, OTHER_SERVICE)
            return
        self.units[job.id, summary.key] = unit
        logs.event(
            log,
            "Claimed a unit.",
            job=job.id,
            unit=summary.key,
            items=list(summary.items),
            taken_over=candidate.taken_over,
            planned=candidate.planned,
            claim_version=version,
            weights=self.local_engine.versions.get(job.model, 0),
        )
        self.log_foreign_job(job)
        self.metrics.count("claims", taken_over=str(candidate.taken_over).lower())
        work = self.load_unit(unit, candidate.taken_over)
        task = asyncio.create_task(work)
        task.add_done_callback(lambda ended: self.check_task(unit, ended))
        unit.tasks[""] = task

    def log_foreign_job(self, job: Job) -> None:
        """Log that a unit is claimed whose job was accepted in another region."""
        regions = self.tracker.regions
        if regions is None or not regions.is_foreign(job):
            return
        self.metrics.count("claims_across_regions")
        logs.event(
            log,
            "Items of a batch job run in another region, since its own has no room.",
            job=job.id,
            source=job.region,
            destination=regions.layout.own.region,
        )

    async def load_unit(self, unit: UnitRun, taken_over: bool) -> None:
        """Read the items of a unit and start those without a result."""
        row = await self.read_unit(unit)
        items = from_row(row.value, Unit).items
        done: set[str] = set()
        partials: dict[str, Partial | None] = {}
        if taken_over:
            # Pending results are read before the rows: in the other order, a result
            # that is stored in between would be found in neither.
            done = self.result_writer.pending_items(unit.job.id)
            rows = await scan_until_answered(
                self.store, self.clock, RESULTS, unit.job.id
            )
            done |= {row.key for row in rows}
            for item in items:
                partials[item.id] = await self.partials.read_longest(
                    unit.job.id, item.id
                )
        due = [item for item in items if item.id not in done]
        for item in due:
            self.start_item(unit, item, partials.get(item.id))
        if not due:
            # A unit may be marked done only after its results are stored.
            await self.result_writer.wait_until_stored(unit.job.id, unit.summary.items)
        del unit.tasks[""]
        if not unit.tasks:
            await self.mark_done(unit)

    async def read_unit(self, unit: UnitRun) -> Row:
        """Read the row of a unit, retrying until the store returns it."""
        while True:
            # The homes may change while the store does not answer.
            if self.tracker.may_hold(unit.job):
                row = await self.store.read(UNITS, unit.key, unit.job.id)
                if isinstance(row, Row):
                    return row
            await self.clock.sleep(RETRY_PAUSE)

    def start_item(self, unit: UnitRun, item: Item, partial: Partial | None) -> None:
        """Start a task that runs one item, from its saved output if there is any."""
        run = ItemRun(
            unit.job,
            item,
            self.local_engine.client,
            self.forwarder,
            self.local_engine.directory,
            self.names,
            self.clock,
            self.pace,
        )
        if partial is not None:
            run.resume_from(partial)
        run.leave_engine(WaitReason.QUEUED)
        unit.runs[item.id] = run
        task = asyncio.create_task(self.run_item(unit, run))
        task.add_done_callback(lambda ended: self.check_task(unit, ended))
        unit.tasks[item.id] = task

    def check_task(self, unit: UnitRun, task: asyncio.Task) -> None:
        """Give a unit back if its task ended with an unexpected exception.

        Otherwise the unit would never be done while this agent sends heartbeats.
        """
        if task.cancelled() or task.exception() is None:
            return
        error = "".join(traceback.format_exception(task.exception()))
        log.error(
            "A task of unit {} of job {} failed; the unit will be released: {}",
            unit.key,
            unit.job.id,
            error,
        )
        self.metrics.count("broken_units")
        if self.units.get((unit.job.id, unit.key)) is unit:
            self.drop_unit(unit)
            # After a pause, so that this agent does not claim it again at once.
            self.releaser.start_release(unit, FAILED_UNIT_PAUSE)

    async def run_item(self, unit: UnitRun, run: ItemRun) -> None:
        """Generate, score and store one item."""
        claimed_at = self.clock.monotonic()
        result = await self.item_runner.generate(run)
        generated_at = self.clock.monotonic()
        if result is None:
            self.event_size.record_item(run.item.hint, len(run.events))
            result = await self.item_runner.score(run)
        if run.generated:
            self.lengths.record(run.job.model, run.item.hint, len(run.events))
        now = self.clock.monotonic()
        logs.event(
            log,
            "An item has ended; its result is queued for storage.",
            item=run.item.id,
            job=run.job.id,
            state=result.state.value,
            estimate=run.item.hint,
            events=len(run.events),
            versions=run.versions,
            waited_s=round((run.first_event_at or generated_at) - claimed_at, 3),
            generated_s=round(generated_at - (run.first_event_at or generated_at), 3),
            longest_gap_s=round(run.longest_gap, 3),
            scored_s=round(now - generated_at, 3),
        )
        self.store_result(unit, run, result)

    def store_result(self, unit: UnitRun, run: ItemRun, result: Result) -> None:
        """Queue a result for storage, with the claim of a unit that it completes."""
        self.metrics.count("items", state=result.state.value)
        unit.tasks.pop(run.item.id, None)
        unit.runs.pop(run.item.id, None)
        last = None if unit.tasks else self.finish_unit(unit)
        partial = self.partials.row_key(run) if run.saved_events else ""
        self.result_writer.enqueue(
            PendingResult(unit.job.id, unit.key, result, last, partial)
        )
        self.on_capacity_change()

    def finish_unit(self, unit: UnitRun) -> Claim:
        """Remove a unit that is done; return its final claim, which is to be stored."""
        done = attrs.evolve(self.own_claim, done=True)
        self.units.pop((unit.job.id, unit.key), None)
        # The tracker has the claim before the store's changes report it.
        row = Row(CLAIMS, unit.key, unit.claim_version, to_row(done), unit.job.id)
        self.tracker.apply_claim_rows([row])
        return done

    async def mark_done(self, unit: UnitRun) -> None:
        """Store the final claim of a unit that had no items left to run."""
        done = to_row(self.finish_unit(unit))
        await self.store.commit([Write(CLAIMS, unit.key, done, part=unit.job.id)])

    def drop_unit(self, unit: UnitRun) -> None:
        """Remove a unit and cancel its tasks."""
        self.units.pop((unit.job.id, unit.key), None)
        for task in unit.tasks.values():
            task.cancel()

    def hand_over_all(self, reason: str) -> list[asyncio.Task]:
        """Give all units back, each with the output generated so far."""
        return [self.hand_over_unit(unit, reason) for unit in list(self.units.values())]

    def find_job(self, job_id: str) -> Job | None:
        """Return a job that is open or has units here; None for any other."""
        open_job = self.tracker.open_jobs.get(job_id)
        if open_job is not None:
            return open_job.job
        jobs = (unit.job for unit in self.units.values())
        return next((job for job in jobs if job.id == job_id), None)

    def hand_over_unpermitted(self) -> None:
        """Give back the units that this agent may no longer run.

        The homes of their jobs have changed, or their routes now lead to other
        services. In the latter case items that the engine is generating run to their
        end, as requests do that were sent before the change.
        """
        for unit in list(self.units.values()):
            if not self.tracker.may_hold(unit.job):
                self.hand_over_unit(unit, OUTSIDE_HOMES)
            elif not self.tracker.may_serve(unit.job) and not unit.is_streaming:
                self.hand_over_unit(unit, OTHER_SERVICE)

    def hand_over_unit(self, unit: UnitRun, reason: str) -> asyncio.Task:
        """Give a unit back with the output generated so far."""
        self.drop_unit(unit)
        logs.event(
            log,
            "Releasing a unit, so that other agents can claim it.",
            job=unit.job.id,
            unit=unit.key,
            reason=reason,
            items=list(unit.runs),
        )
        return self.releaser.start_release(unit)

    async def save_partials(self) -> None:
        """Save the output of long runs, so that another agent can resume them."""
        runs: dict[str, list[ItemRun]] = {}
        for unit in self.units.values():
            runs.setdefault(unit.job.id, []).extend(unit.runs.values())
        for job, job_runs in runs.items():
            await self.partials.save_runs(job, job_runs)

    async def drain(self) -> None:
        """Give all units back and wait until results are stored."""
        handovers = self.hand_over_all("this process is stopping")
        if handovers:
            await asyncio.wait(handovers)
        await self.result_writer.drain()
