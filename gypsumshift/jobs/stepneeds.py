"""Needs of the open steps and capacity of the engines, as one agent knows them.

Both come from data that all agents have: the open jobs, their claims, and heartbeats.
"""

import datetime
import math
import statistics
from collections.abc import Callable

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.jobs.claimtracker import ClaimTracker
from gypsumshift.jobs.engineshares import (
    BEGUN_SHARE,
    LOAD_TIME_S,
    NO_DIVISION,
    Division,
    StepNeed,
    StepRank,
    divide_engines,
)
from gypsumshift.jobs.localengine import LocalEngine
from gypsumshift.jobs.openjob import OpenJob, estimated_tokens
from gypsumshift.jobs.records import Job
from gypsumshift.jobs.servicerecord import ServiceRecord

__all__ = ["STEP_TIME_S", "EngineCapacity", "EngineDivider"]

# Time in which a step is to be complete, for routes without a completion objective:
# trainers request a step every 4 s and have at most two in progress.
STEP_TIME_S = 7.5
# Time between two divisions. It is shorter than an item, so that engines return within
# an item's length, and as long as the changes of claims take to reach all agents.
REFRESH_PERIOD_S = 0.5
# Ratio of need to capacity above which the engines are divided, and below which the
# division ends. A trainer with two steps in progress, one each 4 s, counts 1.07 times
# its need in the long run, and the size of a unit is estimated by its longest item,
# which is 1.14 times too much where items differ. Between the two ratios the needs
# change as steps come and end; engines that change their models lose 0.9 s each.
BEGIN_RATIO = 1.25
END_RATIO = 1.0
# Time for which the need must be below the capacity before the division ends: the
# needs of a trainer differ over the time of a step.
END_DELAY_S = STEP_TIME_S
# Share of an item that is still to be generated, on average over running items.
RUNNING_SHARE = 0.5

log = logs.logger("shares")


@attrs.frozen
class EngineCapacity:
    """Capacity of the engines of a service.

    Attributes
    ----------
    tokens_per_s : float
        Estimated tokens per second of all engines; 0 if unknown.
    token_s : float
        Seconds per token of one item at the fastest engine.
    """

    tokens_per_s: float = 0.0
    token_s: float = 0.0


@attrs.define
class StepSizes:
    """Sizes of a step's units in estimated output tokens, by their progress.

    Attributes
    ----------
    total, waiting, running : float
        Of all units, of those that no agent holds, and of those that run.
    longest_waiting : float
        Of the longest item that waits.
    """

    total: float = 0.0
    waiting: float = 0.0
    running: float = 0.0
    longest_waiting: float = 0.0

    @property
    def begun_share(self) -> float:
        """Share of the tokens in units that have started."""
        return 1 - self.waiting / self.total if self.total else 1.0

    @property
    def remaining(self) -> float:
        """Tokens that are still to be generated; 0 if no unit waits."""
        return self.waiting + RUNNING_SHARE * self.running if self.waiting else 0.0


class EngineDivider:
    """Divides the engines between workspaces if the open steps need more than there is.

    Parameters
    ----------
    tracker : ClaimTracker
    local_engine : LocalEngine
    store_time : callable
        Returns the store's time, by which steps are dated.
    clock : Clock

    Attributes
    ----------
    division : Division
        Division that is in force.
    divided_at : float
        When the division was made, by the monotonic clock, in seconds.
    exceeded_at : float
        When the need was last above the limit, by the same clock.
    service : ServiceRecord
    """

    def __init__(
        self,
        tracker: ClaimTracker,
        local_engine: LocalEngine,
        store_time: Callable[[], datetime.timedelta],
        clock: Clock,
    ):
        self.tracker = tracker
        self.local_engine = local_engine
        self.store_time = store_time
        self.clock = clock
        self.division = NO_DIVISION
        self.divided_at = -math.inf
        self.exceeded_at = -math.inf
        self.service = ServiceRecord()

    def current_division(self) -> Division:
        """Return the division in force, made anew every `REFRESH_PERIOD_S`."""
        now = self.clock.monotonic()
        if now - self.divided_at >= REFRESH_PERIOD_S:
            self.divided_at = now
            self.division = self.divide()
        return self.division

    def divide(self) -> Division:
        """Return the division of the engines by the needs known now."""
        open_jobs = [
            open_job
            for open_job in self.tracker.open_jobs.values()
            if open_job.job.model
        ]
        capacity = self.capacity()
        division, need = NO_DIVISION, 0.0
        if any(j.job.workspace for j in open_jobs) and capacity.tokens_per_s:
            steps = [self.step_need(open_job, capacity) for open_job in open_jobs]
            self.service.record(steps, self.division)
            need = sum(step.usual_rate for step in steps)
            if self.is_division_needed(need / capacity.tokens_per_s):
                division = divide_engines(
                    steps, capacity.tokens_per_s, self.service.tokens, self.division
                )
        self.log_change(division, need, capacity)
        return division

    def is_division_needed(self, ratio: float) -> bool:
        """Record the ratio of need to capacity; return whether to divide the engines.

        They are divided until the ratio has been below the limit for `END_DELAY_S`.
        """
        now = self.clock.monotonic()
        if ratio > (END_RATIO if self.division.rates else BEGIN_RATIO):
            self.exceeded_at = now
        return now - self.exceeded_at < END_DELAY_S

    def log_change(
        self, division: Division, need: float, capacity: EngineCapacity
    ) -> None:
        """Log the begin and the end of a division, before it is in force."""
        if bool(division.rates) != bool(self.division.rates):
            begun = bool(division.rates)
            logs.event(
                log,
                "Open steps need more than the engines can do; the engines are divided "
                "between workspaces."
                if begun
                else "The engines suffice for all open steps; the division ends.",
                need=round(need, 1),
                capacity=round(capacity.tokens_per_s, 1),
                models={m: round(rate, 1) for m, rate in division.rates.items()},
                late=sum(rank is StepRank.LATE for rank in division.ranks.values()),
            )

    def step_need(self, open_job: OpenJob, capacity: EngineCapacity) -> StepNeed:
        """Return what an open step still needs."""
        job = open_job.job
        sizes = self.step_sizes(open_job)
        step_time = self.step_time_s(job)
        age = self.store_time().total_seconds() - job.submitted
        # The last items take their time, and the first ones may wait for weights.
        has_begun = sizes.begun_share >= BEGUN_SHARE
        tail = open_job.usual_hint * capacity.token_s / 2 + (
            0.0 if has_begun else LOAD_TIME_S
        )
        return StepNeed(
            job=job.id,
            model=job.model,
            workspace=job.workspace,
            submitted=job.submitted,
            tokens=sizes.remaining,
            total_tokens=sizes.total,
            step_time_s=step_time,
            begun_share=sizes.begun_share,
            longest_s=sizes.longest_waiting * capacity.token_s,
            left_s=step_time - age - tail,
            served_at=self.service.last_step_of(job.workspace, job.model),
        )

    def step_sizes(self, open_job: OpenJob) -> StepSizes:
        """Return the sizes of a step, without the groups that its trainer can spare."""
        sizes = StepSizes(total=open_job.needed_tokens)
        for unit in open_job.unfinished():
            if unit.group in open_job.spare_groups:
                continue
            if self.tracker.is_free(open_job.claims.get(unit.key)):
                sizes.waiting += estimated_tokens(unit)
                sizes.longest_waiting = max(sizes.longest_waiting, unit.hint)
            else:
                sizes.running += estimated_tokens(unit)
        return sizes

    def step_time_s(self, job: Job) -> float:
        """Return the seconds from a step's submission until it is late."""
        route = self.local_engine.directory.routes.find(job.host, job.path)
        objective = route.completion_objective if route is not None else None
        return objective.total_seconds() if objective is not None else STEP_TIME_S

    def capacity(self) -> EngineCapacity:
        """Return the capacity of the engines by their agents' last heartbeats.

        An engine whose pace is unknown counts with the median of the others.
        """
        limits = self.local_engine.limits
        heartbeats = self.tracker.peers.heartbeats()
        found = [heartbeats.get(e.start) for e in self.local_engine.service_engines]
        sizes = [beat.event_tokens for beat in found if beat and beat.event_tokens]
        paces = [beat.pace or beat.usual for beat in found if beat]
        known = [pace for pace in paces if pace]
        if limits is None or not sizes or not known:
            return EngineCapacity()
        size, usual = statistics.median(sizes), statistics.median(known)
        unknown = len(found) - len(known)
        events_per_s = sum(1 / pace for pace in known) + unknown / usual
        return EngineCapacity(
            limits.slots * events_per_s * size,
            min(known) / size,
        )
