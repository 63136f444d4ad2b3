"""Station: the model engine beside an agent, as it is listed and reports."""

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.jobs.engine import Engine, EngineReport
from gypsumshift.serving.directory import BackendServer, Directory
from gypsumshift.serving.routes import EngineLimits

__all__ = ["Home", "Station"]

# Seconds without a report after which the engine's items go to other agents.
REPORT_SILENCE = 0.9

log = logs.logger("station")


@attrs.frozen
class Home:
    """Where an agent stands.

    Attributes
    ----------
    name : str
        Of its process, the holder of its orders.
    service : str
        Of the engine.
    address : (str, int)
        Of the engine.
    """

    name: str
    service: str
    address: tuple[str, int]


class Station:
    """Knows which start of the engine is there, and whether it serves.

    Parameters
    ----------
    home : Home
    directory : Directory
    engine : Engine
    clock : Clock

    Attributes
    ----------
    report : EngineReport or None
        The last one.
    replaced : set of str
        Ids of starts of the engine that are not at its address any more.
    """

    def __init__(self, home: Home, directory: Directory, engine: Engine, clock: Clock):
        self.home = home
        self.directory = directory
        self.engine = engine
        self.clock = clock
        self.report: EngineReport | None = None
        self.reported_at = float("-inf")
        self.replaced: set[str] = set()

    @property
    def server(self) -> BackendServer | None:
        """The engine as listed now; None while it is not or leaves."""
        # The newest entry last: an engine that starts anew has a second entry until
        # its first lapses.
        for server in reversed(self.directory.servers.values()):
            here = server.address == self.home.address
            if here and server.ready and server.id not in self.replaced:
                return server
        return None

    @property
    def healthy(self) -> bool:
        """Whether the engine is listed and reports."""
        silent = self.clock.monotonic() - self.reported_at
        return self.server is not None and silent < REPORT_SILENCE

    @property
    def limits(self) -> EngineLimits | None:
        """What the engine can hold, by the configuration."""
        service = self.directory.routes.services.get(self.home.service)
        return service.engine if service else None

    @property
    def versions(self) -> dict[str, int]:
        """Weight versions that the engine reported, by model."""
        return self.report.versions if self.report else {}

    @property
    def peers(self) -> list[str]:
        """Ids of the ready engines of the service, this one among them."""
        return [s.id for s in self.directory.service(self.home.service)]

    async def ask(self) -> EngineReport | None:
        """Ask the engine for a report; None where it gives none."""
        server = self.server
        report = await self.engine.report(server) if server else None
        if report is None:
            return None
        if not self.healthy:
            logs.event(log, "The engine reports.", versions=report.versions)
        self.report = report
        self.reported_at = self.clock.monotonic()
        return report
