"""Migration of units with long items from slower engines to faster ones.

It is needed in the first step of a day, and in a step whose engine changed its model:
items then start before the pace of their engine is known. The longest ones take 10.2 s
at a slower engine and 7.5 s at a faster one, of the 7.5 s of a step (logs of a
simulated day).
"""

from gypsumshift.clock import Clock
from gypsumshift.jobs.claimtracker import ClaimTracker
from gypsumshift.jobs.heartbeatwriter import HeartbeatWriter
from gypsumshift.jobs.schedule import long_units
from gypsumshift.jobs.unitrun import UnitRun
from gypsumshift.jobs.unitrunner import UnitRunner
from gypsumshift.jobs.weights import WeightManager

__all__ = ["UnitMigrator"]

# A unit is migrated if its estimate is more than this many times the usual one: the
# migration takes some 0.1 s and processes the prompt again, and estimates are off by
# half.
MIN_ESTIMATE_FACTOR = 3.0
# Seconds after its claim within which a unit is migrated: an engine's pace is known
# after half a second of its first step, and later there is less to gain.
MIGRATE_WITHIN = 3.0


class UnitMigrator:
    """Hands over units with long items that a faster engine would complete sooner.

    Parameters
    ----------
    heartbeat_writer : HeartbeatWriter
    weights : WeightManager
    tracker : ClaimTracker
    runner : UnitRunner
    clock : Clock

    Attributes
    ----------
    faster_free_slots : dict
        Free slots of the faster engines, by model.
    migrated : set of (str, str)
        Job and unit of the migrated units whose jobs are open.
    """

    def __init__(
        self,
        heartbeat_writer: HeartbeatWriter,
        weights: WeightManager,
        tracker: ClaimTracker,
        runner: UnitRunner,
        clock: Clock,
    ):
        self.heartbeat_writer = heartbeat_writer
        self.weights = weights
        self.tracker = tracker
        self.runner = runner
        self.clock = clock
        self.faster_free_slots: dict[str, int] = {}
        self.migrated: set[tuple[str, str]] = set()

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
        return found

    def migrate_units(self, model: str, free_slots: int) -> None:
        """Hand over units of a model as long as faster engines have slots for them."""
        for unit in self.migratable_units(model):
            free_slots -= unit.slots_used
            if free_slots < 0:
                return
            self.migrated.add((unit.job.id, unit.key))
            self.runner.hand_over_unit(unit, "a faster engine has room")

    def migratable_units(self, model: str) -> list[UnitRun]:
        """Return the units of a model that a faster engine would complete sooner."""
        since = self.clock.monotonic() - MIGRATE_WITHIN
        return [
            unit
            for unit in self.runner.units.values()
            if unit.job.model == model
            and unit.claimed_at > since
            and "" not in unit.tasks
            and (unit.job.id, unit.key) not in self.migrated
            and unit.key in long_units(unit.job, MIN_ESTIMATE_FACTOR)
        ]
