"""Directory: the configuration, backend servers and weights that are in force.

Held in memory by each process and kept current by watching the platform. It
never steps back: what comes late with an older version is left out.
"""

import asyncio

import attrs

from gypsumshift import logs
from gypsumshift.serving.routes import RouteTable

__all__ = ["BackendServer", "Directory"]

# Seconds after the store's return within which the entries of live backend servers
# are back that it dropped while it was away; the users say about two.
RETURN_GRACE = 2.2

log = logs.logger("directory")


@attrs.frozen
class BackendServer:
    """One start of a backend server.

    Attributes
    ----------
    id : str
        New with each start.
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
    """

    id: str
    service: str
    address: tuple[str, int]
    zone: str
    slots: int = 1
    ready: bool = True
    models: dict[str, int] = attrs.field(factory=dict, hash=False)


class Directory:
    """What a process believes of the deployment.

    Attributes
    ----------
    routes : RouteTable
    servers : dict
        `BackendServer` by id.
    newest : dict
        Newest weight version by model.
    missing : dict
        When to forget a backend server whose entry may come back, by its id.
    changed : asyncio.Event
        Set, and replaced by a new one, at each change.
    """

    def __init__(self):
        self.routes = RouteTable()
        self.servers: dict[str, BackendServer] = {}
        self.newest: dict[str, int] = {}
        self.missing: dict[str, float] = {}
        self.changed = asyncio.Event()

    def announce(self) -> None:
        """Wake whoever waits for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    def set_routes(self, routes: RouteTable) -> None:
        """Put a configuration in force, unless a newer one is."""
        if routes.version <= self.routes.version:
            return
        previous = self.routes.version
        self.routes = routes
        logs.event(
            log, "A configuration is in force.", version=routes.version, was=previous
        )
        self.announce()

    def set_version(self, model: str, version: int) -> None:
        """Take a newer weight version of a model."""
        if version <= self.newest.get(model, 0):
            return
        self.newest[model] = version
        logs.event(log, "New weights are named.", model=model, version=version)
        self.announce()

    def set_server(self, server: BackendServer) -> None:
        """Take what a backend server says of itself."""
        old = self.servers.get(server.id)
        self.servers[server.id] = server
        self.missing.pop(server.id, None)
        if old is None or old.ready != server.ready:
            logs.event(
                log,
                "A backend server is listed.",
                server=server.id,
                service=server.service,
                address=server.address,
                ready=server.ready,
            )
        self.announce()

    def remove_server(self, server_id: str, store_back_at: float, now: float) -> None:
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

    def settle(self, now: float) -> None:
        """Forget the servers whose entries did not come back."""
        for server_id in [s for s, until in self.missing.items() if until <= now]:
            self.forget_server(server_id)

    def forget_server(self, server_id: str) -> None:
        """Forget a backend server that is gone."""
        self.missing.pop(server_id, None)
        if self.servers.pop(server_id, None) is not None:
            logs.event(log, "A backend server is gone.", server=server_id)
            self.announce()

    def service(self, name: str) -> list[BackendServer]:
        """Return the ready backend servers of a service, by id."""
        found = [s for s in self.servers.values() if s.service == name and s.ready]
        return sorted(found, key=lambda server: server.id)
