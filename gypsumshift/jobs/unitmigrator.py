"""Migration of units with long items from slower engines to faster ones.

It is needed in the first step of a day, and in a step whose engine changed its model:
items then start before the pace of their engine is known. The longest ones take 10.2 s
at a slower engine and 7.5 s at a faster one, of the 7.5 s of a step (logs of a
simulated day).

Where the lengths of items are known from earlier ones, their expected ends decide
instead: a unit is migrated only if it may end after its step is due, and a faster
engine would end it earlier by more than the error of the estimate.
"""

from collections.abc import Callable, Iterator

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.jobs.claimtracker import ClaimTracker
from gypsumshift.jobs.heartbeatwriter import HeartbeatWriter
from gypsumshift.jobs.itemrun import ItemRun
from gypsumshift.jobs.lengthestimates import LengthEstimates
from gypsumshift.jobs.records import Job
from gypsumshift.jobs.schedule import long_units
from gypsumshift.jobs.stepneeds import STEP_TIME_S
from gypsumshift.jobs.unitrun import UnitRun
from gypsumshift.jobs.unitrunner import UnitRunner
from gypsumshift.jobs.weights import WeightManager
from gypsumshift.metrics import Metrics
from gypsumshift.policy import DEFAULT_POLICY, Policy

__all__ = ["ExpectedEnds", "UnitMigrator", "expected_ends"]

# A unit is migrated if its estimate is more than this many times the usual one: the
# migration takes some 0.1 s and processes the prompt again, and estimates are off by
# half.
MIN_ESTIMATE_FACTOR = 3.0
# Seconds after its claim within which a unit is migrated: an engine's pace is known
# after half a second of its first step, and later there is less to gain.
MIGRATE_WITHIN = 3.0
# Seconds that a migration takes: saving the output, two writes of the claim, and
# reading the prompt again.
MIGRATION_TIME = 0.3

log = logs.logger("units")


@attrs.frozen
class ExpectedEnds:
    """When an item is expected to end here and at a faster engine.

    Attributes
    ----------
    here, there : float
        Seconds from now, in the mean.
    error : float
        Relative error of the estimated length.
    """

    here: float
    there: float
    error: float

    def is_worth_migrating(self, left: float) -> bool:
        """Return whether to migrate the item, if its step is due in ``left`` seconds.

        An item that ends in time here is left alone whatever is to be gained.
        """
        may_be_late = self.here * (1 + self.error) > left
        return may_be_late and self.here - self.there > self.error * self.here


def expected_ends(
    run: ItemRun, lengths: LengthEstimates, own: float, faster: float
) -> ExpectedEnds | None:
    """Return when an item is expected to end; None if its length is unknown.

    An item that is longer than estimated is expected to be as long again as the error
    of the estimates says.

    Parameters
    ----------
    run : ItemRun
    lengths : LengthEstimates
    own, faster : float
        Seconds between two events here and at the faster engine.
    """
    expected = lengths.events(run.job.model, run.item.hint)
    if not expected:
        return None
    error = lengths.error(run.job.model)
    left = max(expected - len(run.events), error * expected)
    return ExpectedEnds(left * own, MIGRATION_TIME + left * faster, error)


class UnitMigrator:
    """Hands over units with long items that a faster engine would complete sooner.

    Parameters
    ----------
    heartbeat_writer : HeartbeatWriter
    weights : WeightManager
    tracker : ClaimTracker
    runner : UnitRunner
    clock : Clock
    metrics : Metrics
    policy : Policy

    Attributes
    ----------
    faster_free_slots : dict
        Free slots of the faster engines, by model.
    fastest_paces : dict
        Usual pace of the fastest engine with free slots, by model.
    migrated : set of (str, str)
        Job and unit of the migrated units whose jobs are open.
    may_migrate : callable
        Returns whether units of a job may be migrated; see `residency`.
    """

    def __init__(
        self,
        heartbeat_writer: HeartbeatWriter,
        weights: WeightManager,
        tracker: ClaimTracker,
        runner: UnitRunner,
        clock: Clock,
        metrics: Metrics,
        policy: Policy = DEFAULT_POLICY,
    ):
        self.heartbeat_writer = heartbeat_writer
        self.weights = weights
        self.tracker = tracker
        self.runner = runner
        self.clock = clock
        self.metrics = metrics
        self.policy = policy
        self.fastest_paces: dict[str, float] = {}
        self.faster_free_slots: dict[str, int] = {}
        self.migrated: set[tuple[str, str]] = set()
        self.may_migrate: Callable[[Job], bool] = lambda job: True

    def migrate_long_units(self) -> None:
        """Hand over units with long items of models that faster engines serve too."""
        self.migrated = {
            unit for unit in self.migrated if unit[0] in self.tracker.open_jobs
        }
        self.faster_free_slots = self.find_faster_slots()
        for model, free_slots in self.faster_free_slots.items():
            self.migrate_units(model, free_slots)

    def find_faster_slots(self) -> dict[str, int]:
        """Return the models that faster engines serve too, with their free slots.

        Besides the models assigned to this engine, those of units are considered that
        have run here since before the assignment changed.
        """
        usual = self.heartbeat_writer.usual_pace()
        found = {}
        running = {unit.job.model for unit in self.runner.units.values()}
        for model in sorted(running | set(self.weights.assigned_models())):
            faster = self.tracker.peers.faster_engines(
                usual, self.weights.engines_serving(model)
            )
            if faster:
                found[model] = sum(heartbeat.places for heartbeat in faster)
                paces = [beat.usual for beat in faster if beat.places]
                self.fastest_paces[model] = min(paces, default=usual)
        return found

    def migrate_units(self, model: str, free_slots: int) -> None:
        """Hand over units of a model as long as faster engines have slots for them."""
        for unit in self.migratable_units(model):
            free_slots -= unit.slots_used
            if free_slots < 0:
                return
            self.migrated.add((unit.job.id, unit.key))
            self.log_expected_ends(unit)
            self.metrics.count("migrations")
            self.runner.hand_over_unit(unit, "a faster engine has room")

    def migratable_units(self, model: str) -> list[UnitRun]:
        """Return the units of a model that a faster engine would complete sooner.

        Units whose items are still being read are excluded, as are migrated ones.
        """
        return [
            unit
            for unit in self.runner.units.values()
            if unit.job.model == model
            and "" not in unit.tasks
            and self.may_migrate(unit.job)
            and (unit.job.id, unit.key) not in self.migrated
            and self.is_migratable(unit)
        ]

    def is_migratable(self, unit: UnitRun) -> bool:
        """Return whether a faster engine would complete a unit sooner."""
        if self.policy.expected_end and self.runner.lengths.events(unit.job.model, 1):
            return not unit.taken_over and self.find_gain(unit) is not None
        since = self.clock.monotonic() - MIGRATE_WITHIN
        is_long = unit.key in long_units(unit.job, MIN_ESTIMATE_FACTOR)
        return unit.claimed_at > since and is_long

    def find_gain(self, unit: UnitRun) -> tuple[ItemRun, ExpectedEnds] | None:
        """Return an item of a unit that is worth migrating; None if there is none."""
        left = self.time_left(unit)
        worth = (
            (run, ends)
            for run, ends in self.ends_of(unit)
            if ends.is_worth_migrating(left)
        )
        return next(worth, None)

    def time_left(self, unit: UnitRun) -> float:
        """Return in how many seconds the step of a unit is due."""
        open_job = self.tracker.open_jobs.get(unit.job.id)
        begin = open_job.first_seen_at if open_job else unit.claimed_at
        return begin + STEP_TIME_S - self.clock.monotonic()

    def log_expected_ends(self, unit: UnitRun) -> None:
        """Log why a unit is migrated, where expected ends decided it."""
        found = self.find_gain(unit)
        if found is None:
            return
        run, ends = found
        logs.event(
            log,
            "An item is expected to end earlier at a faster engine.",
            item=run.item.id,
            job=unit.job.id,
            events=len(run.events),
            here_s=round(ends.here, 2),
            there_s=round(ends.there, 2),
            error=round(ends.error, 2),
            due_s=round(self.time_left(unit), 2),
        )

    def ends_of(self, unit: UnitRun) -> Iterator[tuple[ItemRun, ExpectedEnds]]:
        """Yield the generating items of a unit with their expected ends."""
        own = self.heartbeat_writer.usual_pace()
        faster = self.fastest_paces.get(unit.job.model, own)
        for run in unit.generating_runs:
            ends = expected_ends(run, self.runner.lengths, own, faster)
            if ends is not None:
                yield run, ends
