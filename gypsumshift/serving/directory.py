"""In-memory directory of the configuration, backend servers and weight versions.

Each process has one, kept current by watching the platform. It never goes back to an
older state: updates that arrive late with an older version are ignored.
"""

import asyncio
import datetime
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.serving.evacuations import Evacuations
from gypsumshift.serving.routes import RouteTable

if TYPE_CHECKING:
    from gypsumshift.serving.calls import Call

__all__ = ["BackendServer", "Directory", "ServerStart"]

# Time after an outage of the store within which live backend servers have restored the
# entries that the store dropped meanwhile, which takes about two seconds.
ENTRY_RETURN_GRACE_SECONDS = 2.2
# Number of server ids whose newest start is remembered after their entries end, so that
# late entries of older starts are ignored. Enough for the servers of some days.
MAX_REMEMBERED_STARTS = 4096

log = logs.logger("directory")


# The hash is cached, since starts are the keys of all state about servers.
@attrs.frozen(order=True, cache_hash=True)
class ServerStart:
    """Identity of one start of a backend server.

    All state kept about a server belongs to one start, since a server that starts again
    has none of its earlier requests, caches or weights.

    Attributes
    ----------
    id : str
        A server may start again under the same id.
    born : int
        Unix time of the start in milliseconds; 0 if the server does not report it.
    """

    id: str
    born: int


@attrs.frozen
class BackendServer:
    """A backend server as listed on the platform, for one of its starts.

    Attributes
    ----------
    id : str
    service : str
    address : (str, int)
        IP address and port.
    zone : str
        Availability zone.
    slots : int
        Number of requests that it runs at once.
    ready : bool
        False once the server is leaving and gets no new requests.
    models : dict
        Weight version by model, as last reported to the platform.
    born : int
        See `ServerStart`.
    listed_start : ServerStart
        The value of `start`, made once.
    cold_left : timedelta
        Time for which the server was still cold when it wrote its entry.
    """

    id: str
    service: str
    address: tuple[str, int]
    zone: str
    slots: int = 1
    ready: bool = True
    models: dict[str, int] = attrs.field(factory=dict, hash=False)
    born: int = 0
    listed_start: ServerStart = attrs.field(
        init=False,
        eq=False,
        repr=False,
        default=attrs.Factory(
            lambda server: ServerStart(server.id, server.born), takes_self=True
        ),
    )
    cold_left: datetime.timedelta = attrs.field(
        default=datetime.timedelta(), eq=False, repr=False
    )

    @property
    def start(self) -> ServerStart:
        """Identity of this start of the server."""
        return self.listed_start


class Directory:
    """State of the deployment as one process has received it.

    Parameters
    ----------
    clock : Clock or None
        The system's clock by default.

    Attributes
    ----------
    routes : RouteTable
    servers : dict
        `BackendServer` by id.
    config_unreadable : bool
        Whether the platform holds a configuration that could not be read.
    newest_versions : dict
        Newest weight version by model.
    newest_starts : dict
        Newest reported start time (`ServerStart.born`) by server id.
    on_routes : list of callable
        Called after a new configuration was applied.
    on_restart : list of callable
        Called with the old start of a backend server that started again.
    on_entry : list of callable
        Called with each entry of a backend server that is added or updated.
    missing : dict
        Monotonic time at which to remove a backend server whose entry may come back, by
        server id.
    changed : asyncio.Event
        Set, and replaced by a new one, at each change.
    evacuations : Evacuations
        Availability zones whose servers get no requests.
    on_zone_return : list of callable
        Called with the name of a zone whose evacuation ended.
    revision : int
        Number of changes so far; results derived from the directory stay valid while it
        is the same.
    ready_by_service : dict
        Results of `ready_servers` at this revision, by service.
    """

    def __init__(self, clock: Clock | None = None):
        self.routes = RouteTable()
        self.config_unreadable = False
        self.servers: dict[str, BackendServer] = {}
        self.newest_versions: dict[str, int] = {}
        self.newest_starts: dict[str, int] = {}
        self.on_routes: list[Callable[[], None]] = []
        self.on_restart: list[Callable[[BackendServer], None]] = []
        self.on_entry: list[Callable[[BackendServer], None]] = []
        self.missing: dict[str, float] = {}
        self.changed = asyncio.Event()
        self.evacuations = Evacuations(clock)
        self.evacuations.on_change.append(self.notify_changed)
        self.on_zone_return = self.evacuations.on_return
        self.revision = 0
        self.ready_by_service: dict[str, list[BackendServer]] = {}
        self.usable_engines: list[BackendServer] | None = None

    def notify_changed(self) -> None:
        """Wake the tasks that wait for a change, and discard results derived before."""
        self.revision += 1
        self.ready_by_service = {}
        self.usable_engines = None
        self.changed.set()
        self.changed = asyncio.Event()

    def set_routes(self, routes: RouteTable) -> None:
        """Apply a configuration, unless a newer one is already in force."""
        if routes.version < self.routes.version:
            return
        self.config_unreadable = False
        if routes.version == self.routes.version:
            return
        previous = self.routes.version
        self.routes = routes
        logs.event(log, "Configuration applied.", version=routes.version, was=previous)
        self.notify_changed()
        for callback in self.on_routes:
            callback()

    def set_weight_version(self, model: str, version: int) -> None:
        """Store a model's newest weight version; older versions are ignored."""
        if version <= self.newest_versions.get(model, 0):
            return
        self.newest_versions[model] = version
        logs.event(log, "Newer weight version announced.", model=model, version=version)
        self.notify_changed()

    def set_server(self, server: BackendServer) -> None:
        """Add or update a backend server; entries of older starts are ignored."""
        if server.born < self.newest_starts.get(server.id, 0):
            log.debug("Ignored a late entry of an older start of {}.", server.id)
            return
        old = self.servers.get(server.id)
        restarted = old is not None and old.start != server.start
        self.remember_start(server)
        self.servers[server.id] = server
        self.missing.pop(server.id, None)
        for callback in self.on_entry:
            callback(server)
        # Servers renew their entries every 0.6 s, almost always without a change.
        if old != server:
            self.notify_changed()
        if restarted:
            self.replace_start(old, server)
        if old is None or restarted or old.ready != server.ready:
            logs.event(
                log,
                "Backend server listed.",
                server=server.id,
                service=server.service,
                address=server.address,
                ready=server.ready,
            )

    def remember_start(self, server: BackendServer) -> None:
        """Remember the newest start of a server id, evicting the oldest records."""
        if server.born:
            self.newest_starts.pop(server.id, None)
            self.newest_starts[server.id] = server.born
        while len(self.newest_starts) > MAX_REMEMBERED_STARTS:
            del self.newest_starts[next(iter(self.newest_starts))]

    def replace_start(self, old: BackendServer, new: BackendServer) -> None:
        """Replace the old start of a backend server, and call the restart callbacks."""
        logs.event(
            log,
            "Backend server started again; state of its old start is dropped.",
            server=new.id,
            born=new.born,
            was=old.born,
        )
        # Keep the newest entry last in the table.
        self.servers.pop(new.id)
        self.servers[new.id] = new
        self.notify_changed()
        for callback in self.on_restart:
            callback(old)

    def handle_removed_entry(
        self, server_id: str, store_back_at: float, now: float
    ) -> None:
        """Remove the server of a removed entry, at once or after a grace period.

        Parameters
        ----------
        server_id : str
        store_back_at : float
            Monotonic time at which the store last answered again after an outage;
            entries that it dropped meanwhile may come back.
        now : float
            Current time by the same clock, in seconds.
        """
        if server_id not in self.servers:
            return
        if now < store_back_at + ENTRY_RETURN_GRACE_SECONDS:
            self.missing.setdefault(
                server_id, store_back_at + ENTRY_RETURN_GRACE_SECONDS
            )
            return
        self.forget_server(server_id)

    def forget_missing_servers(self, now: float) -> None:
        """Remove the servers whose entries did not come back in time."""
        for server_id in [s for s, until in self.missing.items() if until <= now]:
            self.forget_server(server_id)

    def forget_server(self, server_id: str) -> None:
        """Remove a backend server that is gone."""
        self.missing.pop(server_id, None)
        if self.servers.pop(server_id, None) is not None:
            logs.event(
                log, "Backend server removed from the directory.", server=server_id
            )
            self.notify_changed()

    def ready_servers(self, name: str) -> list[BackendServer]:
        """Return the ready backend servers of a service, sorted by id.

        Servers in evacuated zones are left out, here and in `ready_engines`. The list
        is shared between callers until the directory changes: calls and checks of work
        ask for it many times a second.
        """
        found = self.ready_by_service.get(name)
        if found is None:
            found = [s for s in self.servers.values() if s.service == name and s.ready]
            found = self.outside_evacuated_zones(found)
            found.sort(key=lambda server: server.id)
            self.ready_by_service[name] = found
        return found

    def ready_servers_for(self, call: "Call") -> list[BackendServer]:
        """Return the ready servers to which the configuration in force leads a call."""
        return self.ready_servers(call.service_by(self.routes))

    def leads_to(self, call: "Call", server: BackendServer) -> bool:
        """Return whether the configuration in force leads a call to a server.

        To be asked immediately before each send: the route may have moved since the
        server was chosen.
        """
        return call.service_by(self.routes) == server.service

    def ready_engines(self) -> list[BackendServer]:
        """Return the ready model engines of all services, in a shared list."""
        if self.usable_engines is None:
            self.usable_engines = self.outside_evacuated_zones(self.all_ready_engines())
        return self.usable_engines

    def all_ready_engines(self) -> list[BackendServer]:
        """Return the ready model engines, also those in evacuated zones."""
        services = self.routes.services
        engine = {name for name, service in services.items() if service.engine}
        return [s for s in self.servers.values() if s.ready and s.service in engine]

    def outside_evacuated_zones(
        self, servers: list[BackendServer]
    ) -> list[BackendServer]:
        """Return the servers whose zone is not evacuated."""
        zones = self.evacuations.zones
        return [s for s in servers if s.zone not in zones] if zones else servers

    def accepts_requests(self, server: BackendServer) -> bool:
        """Return whether requests may be sent to a server, as its zone is in use.

        To be asked immediately before each send: an evacuation may have begun since the
        server was chosen.
        """
        return self.evacuations.accepts(server.zone)

    def begin_send(self, server: BackendServer) -> bool:
        """Return `accepts_requests`, and if so record that a request is sent now."""
        if not self.accepts_requests(server):
            return False
        self.evacuations.record_send(server.zone)
        return True

    def is_service_evacuated(self, name: str) -> bool:
        """Return whether all ready servers of a service are in evacuated zones."""
        if not self.evacuations.zones:
            return False
        ready = [s for s in self.servers.values() if s.service == name and s.ready]
        return bool(ready) and not self.outside_evacuated_zones(ready)
