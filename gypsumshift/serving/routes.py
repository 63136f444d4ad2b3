"""Route table: the service of a request by its host and path."""

import datetime
import enum
import zlib

import attrs

from gypsumshift.clientlimits import DEFAULT_CLIENT_LIMITS, ClientLimits
from gypsumshift.workspaces import NO_WORKSPACES, Workspaces

__all__ = [
    "ColdLimit",
    "EngineLimits",
    "RequestKind",
    "Route",
    "RouteTable",
    "Service",
    "Target",
]

HASH_RANGE = 2**32


class RequestKind(enum.Enum):
    """Kind of the requests of a route, which decides whether they may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    BATCH = "batch"


@attrs.frozen
class Target:
    """One of the services that share a route.

    Attributes
    ----------
    service : str
    weight : float
        Share of the requests, relative to the weights of the other targets.
    """

    service: str
    weight: float = 1.0


@attrs.frozen
class Route:
    """One route of the configuration.

    Attributes
    ----------
    name, host, prefix : str
        The path prefix begins and ends with a slash.
    kind : RequestKind
    targets : tuple of Target
    attempts : int
        Maximum number of backend servers on which one request may run.
    timeout : timedelta or None
        Longest time that a caller waits for an answer.
    objective : timedelta or None
        Latency objective: answers within this time are on time. Of a batch job, it is
        the objective of the submission.
    completion_objective : timedelta or None
        Time after its submission within which a batch job is to be complete.
    resumable : bool
        Whether a stream may continue at another backend server.
    one_version : bool
        Whether all events of a sample must come from one weight version.
    retention : timedelta or None
        Time after which an item of a batch job may be given up.
    public : bool
        Whether callers need no key.
    priority : int
        Priority of its requests when the service is too small for all; 0 is the
        highest. A workspace's own priority takes precedence.
    homes : frozenset of str
        Regions in which its requests may be served; empty for any.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    targets: tuple[Target, ...]
    attempts: int = 1
    timeout: datetime.timedelta | None = None
    objective: datetime.timedelta | None = None
    completion_objective: datetime.timedelta | None = None
    resumable: bool = False
    one_version: bool = False
    retention: datetime.timedelta | None = None
    public: bool = False
    priority: int = 0
    homes: frozenset[str] = frozenset()

    def as_successor_of(self, other: "Route") -> "Route":
        """Return this route for a request that began on another one.

        What either of them forbids stays forbidden.
        """
        kind = self.kind if self.kind is other.kind else RequestKind.UNSAFE
        resumable = self.resumable and other.resumable
        if (kind, resumable) == (self.kind, self.resumable):
            return self
        return attrs.evolve(self, kind=kind, resumable=resumable)

    def service_for(self, request_id: str) -> str:
        """Return the service for a request id; the same one on each retry."""
        if len(self.targets) == 1:
            return self.targets[0].service
        total = sum(target.weight for target in self.targets)
        point = zlib.crc32(request_id.encode()) / HASH_RANGE * total
        for target in self.targets:
            point -= target.weight
            if point < 0:
                return target.service
        return self.targets[-1].service


@attrs.frozen
class EngineLimits:
    """Capacity of a model engine of a service.

    Attributes
    ----------
    slots : int
        Number of requests that run at once.
    models : tuple of str
        Models that it serves.
    memory : int
        Number of tokens that its requests and caches may hold; 0 for unknown.
    """

    slots: int
    models: tuple[str, ...]
    memory: int = 0


@attrs.frozen
class ColdLimit:
    """Rate limit of a service's servers that have just started.

    Attributes
    ----------
    duration : timedelta
        Time for which a server is cold after its start.
    per_second : float
        Requests per second that a cold server tolerates.
    """

    duration: datetime.timedelta
    per_second: float


@attrs.frozen
class Service:
    """One service of the configuration.

    Attributes
    ----------
    name : str
    engine : EngineLimits or None
        None for a service without a model engine.
    cold : ColdLimit or None
        None for a service whose servers have no limit after their start.
    """

    name: str
    engine: EngineLimits | None = None
    cold: ColdLimit | None = None


class RouteTable:
    """Routes and services of one version of the configuration; immutable.

    A look-up takes one step per slash of the path, regardless of the number of routes.

    Parameters
    ----------
    version : int
        Increases with each configuration; 0 before the first.
    routes : iterable of Route
    services : iterable of Service
    body_limit : int
        Maximum size of a request's body in bytes.
    workspaces : Workspaces
    client_limits : ClientLimits

    Attributes
    ----------
    has_homes : bool
        Whether any route or workspace has home regions.
    limits_cold_servers : bool
        Whether a service limits the rate of servers that have just started.
    """

    def __init__(
        self,
        version=0,
        routes=(),
        services=(),
        body_limit=0,
        workspaces: Workspaces = NO_WORKSPACES,
        client_limits: ClientLimits = DEFAULT_CLIENT_LIMITS,
    ):
        self.workspaces = workspaces
        self.client_limits = client_limits
        self.version = version
        self.body_limit = body_limit
        self.services = {service.name: service for service in services}
        self.limits_cold_servers = any(s.cold for s in self.services.values())
        self.routes_by_host: dict[str, dict[str, Route]] = {}
        self.has_homes = any(w.homes for w in workspaces.by_name.values())
        for route in routes:
            self.has_homes = self.has_homes or bool(route.homes)
            self.routes_by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches the path."""
        routes = self.routes_by_host.get(host.lower().partition(":")[0])
        if not routes:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
