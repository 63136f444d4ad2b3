"""Mover: long items go from an engine that is built slower to the faster ones.

The decision answers the first step of a day, and any whose engine changed its model:
items begin before the pace of their engine is known. The longest of them take 10.2 s
there, and 7.5 s at a faster engine (logs of a play), of the 7.5 s of a step.
"""

from gypsumshift.clock import Clock
from gypsumshift.jobs.claimtracker import ClaimTracker
from gypsumshift.jobs.heartbeatwriter import HeartbeatWriter
from gypsumshift.jobs.schedule import long_units
from gypsumshift.jobs.unitrun import UnitRun
from gypsumshift.jobs.unitrunner import UnitRunner
from gypsumshift.jobs.weights import WeightManager

__all__ = ["UnitMigrator"]

# An item goes where its estimate is this many times the usual one, and within so many
# seconds of its claim: an engine's pace is known after half a second of its first step.
# The move takes some 0.1 s and reads the prompt again. Estimates are off by half, and
# later there is less to gain.
MOVE_FACTOR = 3.0
MOVE_WITHIN = 3.0


class UnitMigrator:
    """Gives long items back that a faster engine would end sooner.

    Parameters
    ----------
    heartbeat_writer : HeartbeatWriter
    weights : WeightManager
    tracker : ClaimTracker
    runner : UnitRunner
    clock : Clock

    Attributes
    ----------
    slower : dict
        Free places of the faster engines, by model.
    moved : set of (str, str)
        Job and unit of those that went, while their jobs are open.
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
        """Find the models that faster engines serve too; move long items of them."""
        self.migrated = {
            place for place in self.migrated if place[0] in self.tracker.open_jobs
        }
        self.faster_free_slots = self.slower_models()
        for model, places in self.faster_free_slots.items():
            self.move(model, places)

    def slower_models(self) -> dict[str, int]:
        """Return the models that faster engines serve too, with their free places.

        Also those of items that run here from before this engine changed its model.
        """
        usual = self.heartbeat_writer.usual_pace()
        found = {}
        running = {unit.job.model for unit in self.runner.units.values()}
        for model in sorted(running | set(self.weights.assigned_models())):
            faster = self.tracker.peers.faster_engines(
                usual, self.weights.engines_serving(model)
            )
            if faster:
                found[model] = sum(beat.places for beat in faster)
        return found

    def move(self, model: str, places: int) -> None:
        """Hand long items of a model over, as far as there are places for them."""
        for unit in self.movable(model):
            places -= unit.slots_used
            if places < 0:
                return
            self.migrated.add((unit.job.id, unit.key))
            self.runner.hand_over_unit(unit, "a faster engine has room")

    def movable(self, model: str) -> list[UnitRun]:
        """Return the units of a model that a faster engine would end sooner."""
        since = self.clock.monotonic() - MOVE_WITHIN
        return [
            unit
            for unit in self.runner.units.values()
            if unit.job.model == model
            and unit.claimed_at > since
            and "" not in unit.tasks
            and (unit.job.id, unit.key) not in self.migrated
            and unit.key in long_units(unit.job, MOVE_FACTOR)
        ]
