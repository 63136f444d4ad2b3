"""Directory: the configuration, backend servers and weights that are in force.

Held in memory by each process and kept current by watching the platform. It
never steps back: what comes late with an older version is left out.
"""

import asyncio
from collections.abc import Callable

import attrs

from gypsumshift import logs
from gypsumshift.serving.routes import RouteTable

__all__ = ["BackendServer", "Directory", "ServerStart"]

# Seconds after the store's return within which the entries of live backend servers
# are back that it dropped while it was away; the users say about two.
RETURN_GRACE = 2.2
# Ids whose newest start is remembered behind the end of their entries, so that an entry
# of an older start that comes late names nothing: some days' worth of servers.
STARTS_KEPT = 4096

log = logs.logger("directory")


@attrs.frozen(order=True)
class ServerStart:
    """Identity of one start of a backend server.

    All that is believed of a server holds for one start: one that started again holds
    and knows nothing of before.

    Attributes
    ----------
    id : str
        A server may start again under the id that it had.
    born : int
        Unix time of the start in milliseconds; 0 where the server does not tell.
    """

    id: str
    born: int


@attrs.frozen
class BackendServer:
    """One start of a backend server.

    Attributes
    ----------
    id : str
    service : str
    address : (str, int)
        IP number and port.
    zone : str
    slots : int
        Requests that it runs at once.
    ready : bool
        False once it leaves: it gets no new requests.
    models : dict
        Weight version by model, as it told the platform last.
    born : int
        See `ServerStart`.
    """

    id: str
    service: str
    address: tuple[str, int]
    zone: str
    slots: int = 1
    ready: bool = True
    models: dict[str, int] = attrs.field(factory=dict, hash=False)
    born: int = 0

    @property
    def start(self) -> ServerStart:
        """Identity of this start."""
        return ServerStart(self.id, self.born)


class Directory:
    """What a process believes of the deployment.

    Attributes
    ----------
    routes : RouteTable
    servers : dict
        `BackendServer` by id.
    outdated : bool
        Whether there is a configuration that could not be read.
    newest : dict
        Newest weight version by model.
    born : dict
        Newest start that was told, by id; see `ServerStart`.
    on_restart : list of callable
        Called with the old start of a backend server that started again.
    missing : dict
        When to forget a backend server whose entry may come back, by its id.
    changed : asyncio.Event
        Set, and replaced by a new one, at each change.
    """

    def __init__(self):
        self.routes = RouteTable()
        self.config_unreadable = False
        self.servers: dict[str, BackendServer] = {}
        self.newest_versions: dict[str, int] = {}
        self.newest_starts: dict[str, int] = {}
        self.on_restart: list[Callable[[BackendServer], None]] = []
        self.missing: dict[str, float] = {}
        self.changed = asyncio.Event()

    def notify_changed(self) -> None:
        """Wake whoever waits for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    def set_routes(self, routes: RouteTable) -> None:
        """Put a configuration in force, unless a newer one is."""
        if routes.version < self.routes.version:
            return
        self.config_unreadable = False
        if routes.version == self.routes.version:
            return
        previous = self.routes.version
        self.routes = routes
        logs.event(
            log, "A configuration is in force.", version=routes.version, was=previous
        )
        self.notify_changed()

    def set_weight_version(self, model: str, version: int) -> None:
        """Take a newer weight version of a model."""
        if version <= self.newest_versions.get(model, 0):
            return
        self.newest_versions[model] = version
        logs.event(log, "New weights are named.", model=model, version=version)
        self.notify_changed()

    def set_server(self, server: BackendServer) -> None:
        """Take what a backend server says of itself, unless a newer start did."""
        if server.born < self.newest_starts.get(server.id, 0):
            log.debug("An entry of an older start of {} came late.", server.id)
            return
        old = self.servers.get(server.id)
        restarted = old is not None and old.start != server.start
        self.note_born(server)
        self.servers[server.id] = server
        self.missing.pop(server.id, None)
        if restarted:
            self.end_start(old, server)
        if old is None or restarted or old.ready != server.ready:
            logs.event(
                log,
                "A backend server is listed.",
                server=server.id,
                service=server.service,
                address=server.address,
                ready=server.ready,
            )
        self.notify_changed()

    def note_born(self, server: BackendServer) -> None:
        """Remember the newest start of an id."""
        if server.born:
            self.newest_starts.pop(server.id, None)
            self.newest_starts[server.id] = server.born
        while len(self.newest_starts) > STARTS_KEPT:
            del self.newest_starts[next(iter(self.newest_starts))]

    def end_start(self, old: BackendServer, new: BackendServer) -> None:
        """Take that a backend server started again: its old start is no more."""
        logs.event(
            log,
            "A backend server started again.",
            server=new.id,
            born=new.born,
            was=old.born,
        )
        # The newest entry is the last one of the table.
        self.servers.pop(new.id)
        self.servers[new.id] = new
        for told in self.on_restart:
            told(old)

    def handle_removed_entry(
        self, server_id: str, store_back_at: float, now: float
    ) -> None:
        """Take that an entry is gone.

        Parameters
        ----------
        server_id : str
        store_back_at : float
            When the store last answered again after an outage; entries that it
            dropped meanwhile may come back.
        now : float
            By the same monotonic clock, in seconds.
        """
        if server_id not in self.servers:
            return
        if now < store_back_at + RETURN_GRACE:
            self.missing.setdefault(server_id, store_back_at + RETURN_GRACE)
            return
        self.forget_server(server_id)

    def forget_missing_servers(self, now: float) -> None:
        """Forget the servers whose entries did not come back."""
        for server_id in [s for s, until in self.missing.items() if until <= now]:
            self.forget_server(server_id)

    def forget_server(self, server_id: str) -> None:
        """Forget a backend server that is gone."""
        self.missing.pop(server_id, None)
        if self.servers.pop(server_id, None) is not None:
            logs.event(log, "A backend server is gone.", server=server_id)
            self.notify_changed()

    def ready_servers(self, name: str) -> list[BackendServer]:
        """Return the ready backend servers of a service, by id."""
        found = [s for s in self.servers.values() if s.service == name and s.ready]
        return sorted(found, key=lambda server: server.id)

    def ready_engines(self) -> list[BackendServer]:
        """Return the ready model engines of all services."""
        services = self.routes.services
        engine = {name for name, service in services.items() if service.engine}
        return [s for s in self.servers.values() if s.ready and s.service in engine]
