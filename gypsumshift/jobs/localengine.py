"""State of the model engine that an agent manages: directory entry and last report."""

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.jobs.engine import EngineClient, EngineReport
from gypsumshift.serving.coldrates import ColdRates
from gypsumshift.serving.directory import BackendServer, Directory, ServerStart
from gypsumshift.serving.routes import EngineLimits

__all__ = ["AgentIdentity", "LocalEngine"]

# Seconds without a report after which the engine's items are handed to other agents.
REPORT_SILENCE = 0.9

log = logs.logger("station")


@attrs.frozen
class AgentIdentity:
    """Name of an agent, and service and address of the engine that it manages.

    Attributes
    ----------
    name : str
        Name of the agent's process, under which it holds claims.
    service : str
        Service of the engine.
    address : (str, int)
        Address of the engine.
    """

    name: str
    service: str
    address: tuple[str, int]


class LocalEngine:
    """Tracks which start of the engine is running, and whether it serves.

    Parameters
    ----------
    identity : AgentIdentity
    directory : Directory
    client : EngineClient
    clock : Clock

    Attributes
    ----------
    report : EngineReport or None
        Last report of the start that is listed.
    reported_at : float
        When that report was received, by the monotonic clock, in seconds.
    reported_start : ServerStart or None
        Start of the engine that sent it.
    replaced_starts : set of ServerStart
        Starts of the engine that no longer run at its address.
    entries : list of BackendServer
        Result of `find_entries` at the directory's revision `entries_revision`.
    cold_rates : ColdRates or None
        Limits the requests to the engine while it is cold.
    """

    def __init__(
        self,
        identity: AgentIdentity,
        directory: Directory,
        client: EngineClient,
        clock: Clock,
    ):
        self.identity = identity
        self.directory = directory
        self.client = client
        self.clock = clock
        self.report: EngineReport | None = None
        self.reported_at = float("-inf")
        self.reported_start: ServerStart | None = None
        self.replaced_starts: set[ServerStart] = set()
        self.entries: list[BackendServer] = []
        self.entries_revision = -1
        self.cold_rates: ColdRates | None = None

    @property
    def server(self) -> BackendServer | None:
        """Directory entry of the engine; None while it is not listed or not ready."""
        if self.directory.revision != self.entries_revision:
            self.entries = self.find_entries()
            self.entries_revision = self.directory.revision
        for server in self.entries:
            if server.start not in self.replaced_starts:
                return server
        return None

    def find_entries(self) -> list[BackendServer]:
        """Return the ready entries at the engine's address, the newest first.

        A restarted engine has a second entry until its first one expires.
        """
        return [
            server
            for server in reversed(self.directory.servers.values())
            if server.address == self.identity.address
            and server.service == self.identity.service
            and server.ready
        ]

    @property
    def is_evacuated(self) -> bool:
        """Whether the engine is listed, and its availability zone is evacuated."""
        zones, server = self.directory.evacuations.zones, self.server
        return bool(zones) and server is not None and server.zone in zones

    @property
    def healthy(self) -> bool:
        """Whether the engine is listed, gets requests and has reported recently."""
        silent = self.clock.monotonic() - self.reported_at
        listed = self.server is not None and not self.is_evacuated
        return listed and silent < REPORT_SILENCE

    @property
    def limits(self) -> EngineLimits | None:
        """Limits of the engine, from the configuration."""
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
        """Ready engines of the service, this one included."""
        return self.directory.ready_servers(self.identity.service)

    def is_current(self, report: EngineReport, server: BackendServer | None) -> bool:
        """Return whether a report comes from the start that is listed now."""
        if server is None:
            return False
        return not (report.born and server.born) or report.born == server.born

    def reset_report(self) -> None:
        """Discard the report of a start of the engine that has ended.

        The new start has the usual time for its first report: the engine's runs
        continue on it at once, and are given back only if it does not report.
        """
        self.report = None
        self.reported_at = self.clock.monotonic()

    async def fetch_report(self) -> EngineReport | None:
        """Request a report from the engine; None where it sends none."""
        server = self.server
        if server is None or self.is_evacuated:
            return None
        asked_at = self.clock.monotonic()
        report = await self.client.fetch_report(server)
        if self.cold_rates is not None:
            if report is None:
                self.cold_rates.note_broken(server)
            else:
                self.cold_rates.note_report(server, report.born, asked_at)
        if report is None or not self.is_current(report, self.server):
            return None
        self.reported_start = self.server.start
        if not self.healthy:
            logs.event(
                log,
                "Received a report; the engine is healthy.",
                versions=report.versions,
            )
        self.report = report
        self.reported_at = self.clock.monotonic()
        return report
