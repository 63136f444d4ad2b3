"""What an agent does while the availability zone of its engine is evacuated.

The engine gets no requests, so units with items that have not begun are released at
once. Items that the engine is generating run to their end, unless their step is due
before: then they are released with their partial output, and continue at an engine of
another zone.
"""

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.jobs.claimer import Claimer
from gypsumshift.jobs.localengine import REPORT_SILENCE, LocalEngine
from gypsumshift.jobs.unitmigrator import MIGRATION_TIME, UnitMigrator
from gypsumshift.jobs.unitrun import UnitRun
from gypsumshift.jobs.unitrunner import UnitRunner
from gypsumshift.metrics import Metrics

__all__ = ["EngineEvacuation"]

NOT_BEGUN = "the zone of the engine is evacuated, and an item has not begun"
TOO_LATE = "the zone of the engine is evacuated, and an item would end too late"

log = logs.logger("agent")


class EngineEvacuation:
    """Releases the units of an agent whose engine is in an evacuated zone.

    Parameters
    ----------
    local_engine : LocalEngine
    claimer : Claimer
    runner : UnitRunner
    migrator : UnitMigrator
        Knows when items are expected to end.
    clock : Clock
    metrics : Metrics

    Attributes
    ----------
    returned_at : float
        When an evacuation last ended, by the monotonic clock, in seconds.
    """

    def __init__(
        self,
        local_engine: LocalEngine,
        claimer: Claimer,
        runner: UnitRunner,
        migrator: UnitMigrator,
        clock: Clock,
        metrics: Metrics,
    ):
        self.local_engine = local_engine
        self.claimer = claimer
        self.runner = runner
        self.migrator = migrator
        self.clock = clock
        self.metrics = metrics
        self.returned_at = float("-inf")
        evacuations = local_engine.directory.evacuations
        evacuations.on_begin.append(self.note_begin)
        evacuations.on_return.append(self.note_return)
        evacuations.count_running = self.count_in_evacuated_zone

    @property
    def in_force(self) -> bool:
        """Whether the zone of the engine is evacuated."""
        return self.local_engine.is_evacuated

    @property
    def awaits_report(self) -> bool:
        """Whether an evacuation ended so recently that a report may still arrive.

        The items that ran to their end meanwhile must not be taken from an engine only
        because it was not asked for reports.
        """
        recent = self.clock.monotonic() - self.returned_at < REPORT_SILENCE
        return recent and self.local_engine.server is not None

    def note_begin(self, zone: str) -> None:
        """Release units at once if the evacuated zone is that of the engine."""
        if not self.is_own_zone(zone):
            return
        released = self.release_units()
        logs.event(
            log,
            "The zone of the engine is evacuated; its agent claims nothing.",
            zone=zone,
            released_units=released,
            running_items=self.count_running(),
        )

    def note_return(self, zone: str) -> None:
        """Record the end of an evacuation of the engine's zone."""
        if self.is_own_zone(zone):
            self.returned_at = self.clock.monotonic()

    def is_own_zone(self, zone: str) -> bool:
        """Return whether the engine is listed in a zone."""
        server = self.local_engine.server
        return server is not None and server.zone == zone

    def count_running(self) -> int:
        """Return how many items the engine is generating."""
        units = self.runner.units.values()
        return sum(run.is_streaming for unit in units for run in unit.runs.values())

    def count_in_evacuated_zone(self) -> int:
        """Return how many items the engine is generating while it is evacuated."""
        return self.count_running() if self.in_force else 0

    def release_units(self) -> int:
        """Release the units that the engine does not complete; return their number.

        Claims that were stored though their answers were lost have to be given back as
        well, so their units are started first.
        """
        self.claimer.start_held_units()
        released = 0
        for unit in list(self.runner.units.values()):
            reason = self.release_reason(unit)
            if reason:
                released += 1
                self.metrics.count("evacuated_units")
                self.runner.hand_over_unit(unit, reason)
        return released

    def release_reason(self, unit: UnitRun) -> str:
        """Return why a unit is released; empty if its items run to their end."""
        runs = unit.runs.values()
        if "" in unit.tasks or not all(r.is_streaming or r.generated for r in runs):
            return NOT_BEGUN
        return TOO_LATE if self.is_too_late(unit) else ""

    def is_too_late(self, unit: UnitRun) -> bool:
        """Return whether a unit ends after its step is due, and others may run it.

        Nothing is gained where less is left to generate than a migration takes. An item
        of unknown length is left alone until its step is due.
        """
        generating = unit.generating_runs
        if not generating or not self.local_engine.service_engines:
            return False
        left = self.migrator.time_left(unit)
        # An expected end of 0 means that the engine's pace is unknown.
        found = [ends.here for _, ends in self.migrator.ends_of(unit) if ends.here > 0]
        unknown = len(found) < len(generating)
        latest = max(found, default=0.0)
        return latest > max(left, MIGRATION_TIME) or (unknown and left <= 0)
