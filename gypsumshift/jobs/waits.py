"""Reports items and units that are at no engine: why, by whose decision, since when.

An item that nobody runs is owed all the same. Each wait therefore has an owner: the
agent that holds the item, or every agent for a unit that none has claimed.
"""

import enum
from collections.abc import Callable, Iterator

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.jobs.claimtracker import ClaimTracker
from gypsumshift.jobs.itemrun import ItemRun
from gypsumshift.jobs.jobservices import OTHER_SERVICE
from gypsumshift.jobs.openjob import OpenJob, StoredClaim
from gypsumshift.jobs.unitrun import UnitRun
from gypsumshift.jobs.unitrunner import UnitRunner
from gypsumshift.jobs.weights import WeightManager
from gypsumshift.metrics import Metrics

__all__ = ["ClaimObstacle", "WaitMonitor"]

# Seconds between two checks.
CHECK_PERIOD = 0.5
# Seconds at no engine after which an item is reported, and between further reports of
# the same wait. A step has 7.5 s.
REPORT_AFTER = 1.0
REPORT_PERIOD = 5.0
# Seconds after which a unit that nobody has claimed is reported. Units of a step that
# is larger than the engines wait for up to its duration.
FREE_AFTER = 2.0
# Seconds after which a unit that another agent holds is reported. The longest items
# take 10 s on the slowest engines.
HELD_AFTER = 12.0
WAITS_FOR_STORE = "its items are not read from the store, or its results not stored"

log = logs.logger("waits")


class ClaimObstacle(enum.Enum):
    """Why an agent does not claim the free units of a job."""

    ENGINE_DOWN = "the engine does not serve"
    NO_ROOM = "the engine has no room"
    OTHER_SERVICE = OTHER_SERVICE
    OLD_WEIGHTS = "the engine's weights are too old"
    OTHER_ENGINES = "left to the engines of its model, or not permitted here"
    OTHER_REGION = "left to the region of the job"
    NOT_CHOSEN = "not chosen by the plan or order of this agent"


@attrs.define
class ReportedWait:
    """Last report of a wait.

    Attributes
    ----------
    reason : str
    at : float
        Time of the report, in seconds of the monotonic clock.
    """

    reason: str
    at: float


class WaitMonitor:
    """Logs and counts the waits that one agent knows of.

    Parameters
    ----------
    runner : UnitRunner
    tracker : ClaimTracker
    weights : WeightManager
    free_slots : callable
        Returns the number of items that the engine could take now.
    clock : Clock
    metrics : Metrics

    Attributes
    ----------
    reported : dict
        `ReportedWait` of each wait that was reported and has not ended, by job and item
        or unit.
    working : set of str
        Sessions of the agents that work, as found in this check: one look at each agent
        instead of one at each unit.
    """

    def __init__(
        self,
        runner: UnitRunner,
        tracker: ClaimTracker,
        weights: WeightManager,
        free_slots: Callable[[], int],
        clock: Clock,
        metrics: Metrics,
    ):
        self.runner = runner
        self.tracker = tracker
        self.weights = weights
        self.free_slots = free_slots
        self.clock = clock
        self.metrics = metrics
        self.reported: dict[tuple[str, str], ReportedWait] = {}
        self.working: set[str] = set()
        self.checked_at = float("-inf")

    def check(self) -> None:
        """Report the waits that are due; does nothing within `CHECK_PERIOD`."""
        now = self.clock.monotonic()
        if now - self.checked_at < CHECK_PERIOD:
            return
        self.checked_at = now
        waiting = {*self.check_items(now), *self.check_units(now)}
        self.reported = {k: wait for k, wait in self.reported.items() if k in waiting}

    def check_items(self, now: float) -> Iterator[tuple[str, str]]:
        """Report the items and units of this agent that wait; yield their keys."""
        for unit in self.runner.units.values():
            if unit.waits_for_store:
                yield from self.check_reading(unit, now)
            for run in unit.runs.values():
                yield from self.check_item(unit, run, now)

    def check_reading(self, unit: UnitRun, now: float) -> Iterator[tuple[str, str]]:
        """Report a claimed unit that waits for the store; yield its key."""
        key = unit.job.id, unit.key
        yield key
        if now - unit.claimed_at >= REPORT_AFTER:
            self.report(
                key,
                WAITS_FOR_STORE,
                "The items of a unit are at no engine.",
                items=list(unit.summary.items),
                waits_s=round(now - unit.claimed_at, 3),
            )

    def check_item(
        self, unit: UnitRun, run: ItemRun, now: float
    ) -> Iterator[tuple[str, str]]:
        """Report an item if it is at no engine; yield its key while it is not."""
        key = unit.job.id, run.item.id
        if run.is_streaming:
            self.log_end(key, run)
            return
        yield key
        if run.wait_reason is not None and now - run.idle_since >= REPORT_AFTER:
            self.report(
                key,
                run.wait_reason.value,
                "An item is at no engine.",
                unit=unit.key,
                events=len(run.events),
                waits_s=round(now - run.idle_since, 3),
                generated=run.generated,
            )

    def check_units(self, now: float) -> Iterator[tuple[str, str]]:
        """Report the units that nobody runs, or that are held for long."""
        self.working.clear()
        for open_job in self.tracker.open_jobs.values():
            if now - open_job.first_seen_at >= FREE_AFTER:
                yield from self.check_job(open_job, now)

    def check_job(self, open_job: OpenJob, now: float) -> Iterator[tuple[str, str]]:
        """Report the units of a job that wait; yield the keys of the reports."""
        waits = []
        for unit in open_job.unfinished():
            stored = open_job.claims.get(unit.key)
            if not self.is_held(stored):
                waits.append(now - self.tracker.free_since(open_job, unit))
            elif now - stored.seen_at >= HELD_AFTER:
                yield from self.report_held(open_job.job.id, unit.key, stored, now)
        waits = [seconds for seconds in waits if seconds >= FREE_AFTER]
        if waits:
            yield self.report_free(open_job, waits)

    def is_held(self, stored: StoredClaim | None) -> bool:
        """Return whether an agent that works holds a unit."""
        if stored is None or not stored.claim.agent:
            return False
        session = stored.claim.session
        if session not in self.working:
            if self.tracker.is_free(stored):
                return False
            self.working.add(session)
        return True

    def report_free(self, open_job: OpenJob, waits: list[float]) -> tuple[str, str]:
        """Report the units of a job that are free for long; return the report's key."""
        key = open_job.job.id, ""
        self.report(
            key,
            self.claim_obstacle(open_job).value,
            "Units of a job are free, and this agent does not claim them.",
            units=len(waits),
            waits_s=round(max(waits), 3),
            weights=self.weights.ready_versions().get(open_job.job.model, 0),
            oldest_version=open_job.job.oldest_version,
        )
        return key

    def report_held(
        self, job_id: str, unit_key: str, stored: StoredClaim, now: float
    ) -> Iterator[tuple[str, str]]:
        """Report a unit that another agent holds for long; yield its key."""
        if stored.claim.session == self.tracker.session:
            return
        key = job_id, unit_key
        yield key
        self.report(
            key,
            self.tracker.holder_state(stored).value,
            "A unit is held by another agent for long.",
            holder=stored.claim.agent,
            session=stored.claim.session,
            waits_s=round(now - stored.seen_at, 3),
        )

    def claim_obstacle(self, open_job: OpenJob) -> ClaimObstacle:
        """Return why this agent does not claim the free units of a job."""
        job, versions = open_job.job, self.weights.ready_versions()
        if not self.tracker.may_serve(job):
            return ClaimObstacle.OTHER_SERVICE
        if not self.weights.local_engine.healthy:
            return ClaimObstacle.ENGINE_DOWN
        if self.free_slots() <= 0:
            return ClaimObstacle.NO_ROOM
        if job.model and versions.get(job.model, 0) < job.oldest_version:
            return ClaimObstacle.OLD_WEIGHTS
        if not self.tracker.may_run(open_job, self.weights.assigned_models(), versions):
            return ClaimObstacle.OTHER_ENGINES
        if self.tracker.is_left_to_region(open_job):
            return ClaimObstacle.OTHER_REGION
        return ClaimObstacle.NOT_CHOSEN

    def report(
        self, key: tuple[str, str], reason: str, message: str, **fields: object
    ) -> None:
        """Log a wait, unless it was reported a short time ago for the same reason."""
        now, last = self.clock.monotonic(), self.reported.get(key)
        if last and last.reason == reason and now - last.at < REPORT_PERIOD:
            return
        self.reported[key] = ReportedWait(reason, now)
        self.metrics.count("waits_reported", reason=reason)
        job, name = key
        logs.event(log, message, job=job, name=name, reason=reason, **fields)

    def log_end(self, key: tuple[str, str], run: ItemRun) -> None:
        """Log that an item whose wait was reported is at an engine again."""
        last = self.reported.get(key)
        if last is None:
            return
        job, name = key
        logs.event(
            log,
            "An item that waited is at its engine.",
            job=job,
            name=name,
            reason=last.reason,
            events=len(run.events),
        )
