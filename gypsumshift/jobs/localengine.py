"""Station: the model engine beside an agent, as it is listed and reports."""

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.jobs.engine import EngineClient, EngineReport
from gypsumshift.serving.directory import BackendServer, Directory, ServerStart
from gypsumshift.serving.routes import EngineLimits

__all__ = ["AgentIdentity", "LocalEngine"]

# Seconds without a report after which the engine's items go to other agents.
REPORT_SILENCE = 0.9

log = logs.logger("station")


@attrs.frozen
class AgentIdentity:
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


class LocalEngine:
    """Knows which start of the engine is there, and whether it serves.

    Parameters
    ----------
    home : Home
    directory : Directory
    engine : EngineClient
    clock : Clock

    Attributes
    ----------
    report : EngineReport or None
        The last one of the start that is listed.
    reported_start : ServerStart or None
        Start of the engine that gave it.
    replaced : set of ServerStart
        Starts of the engine that are not at its address any more.
    """

    def __init__(
        self,
        identity: AgentIdentity,
        directory: Directory,
        engine: EngineClient,
        clock: Clock,
    ):
        self.identity = identity
        self.directory = directory
        self.engine = engine
        self.clock = clock
        self.report: EngineReport | None = None
        self.reported_at = float("-inf")
        self.reported_start: ServerStart | None = None
        self.replaced_starts: set[ServerStart] = set()

    @property
    def server(self) -> BackendServer | None:
        """The engine as listed now; None while it is not or leaves."""
        # The newest entry last: an engine that starts anew has a second entry until
        # its first lapses.
        for server in reversed(self.directory.servers.values()):
            here = server.address == self.identity.address
            own = here and server.service == self.identity.service
            if own and server.ready and server.start not in self.replaced_starts:
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
        service = self.directory.routes.services.get(self.identity.service)
        return service.engine if service else None

    @property
    def versions(self) -> dict[str, int]:
        """Weight versions that this start of the engine reported, by model."""
        server = self.server
        replaced = server is not None and server.start != self.reported_start
        if self.report is None or replaced:
            return {}
        return self.report.versions

    @property
    def service_engines(self) -> list[BackendServer]:
        """Ready engines of the service, this one among them."""
        return self.directory.ready_servers(self.identity.service)

    def is_current(self, report: EngineReport, server: BackendServer | None) -> bool:
        """Tell whether a report is of the start that is listed now."""
        if server is None:
            return False
        return not (report.born and server.born) or report.born == server.born

    def reset_report(self) -> None:
        """Forget what the start of the engine told that is no more.

        The new one has as long for its first report as any: its runs go on there at
        once, and are given back only where it keeps silent.
        """
        self.report = None
        self.reported_at = self.clock.monotonic()

    async def fetch_report(self) -> EngineReport | None:
        """Ask the engine for a report; None where it gives none."""
        server = self.server
        report = await self.engine.fetch_report(server) if server else None
        if report is None or not self.is_current(report, self.server):
            return None
        self.reported_start = self.server.start
        if not self.healthy:
            logs.event(log, "The engine reports.", versions=report.versions)
        self.report = report
        self.reported_at = self.clock.monotonic()
        return report
