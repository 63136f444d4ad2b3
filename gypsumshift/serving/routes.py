"""Routes: which service a request goes to, by its host and path."""

import datetime
import enum
import zlib

import attrs

from gypsumshift.workspaces import NO_WORKSPACES, Workspaces

__all__ = ["EngineLimits", "RequestKind", "Route", "RouteTable", "Service", "Target"]

SHARE_BITS = 2**32


class RequestKind(enum.Enum):
    """What may be repeated of the requests of a route."""

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
        Its share of the requests, relative to the other targets.
    """

    service: str
    weight: float = 1.0


@attrs.frozen
class Route:
    """One route of the configuration.

    Attributes
    ----------
    name, host, prefix : str
        A prefix begins and ends with a slash.
    kind : RequestKind
    targets : tuple of Target
    attempts : int
        Backend servers that one request may run on at the most.
    timeout : timedelta or None
        Longest time that a caller is kept waiting.
    objective : timedelta or None
        Time within which an answer is on time.
    resumable : bool
        Whether a stream may go on at another backend server.
    one_version : bool
        Whether all events of a sample must come from one weight version.
    retention : timedelta or None
        Time behind which an item of a batch job may be given up.
    public : bool
        Whether callers need no key.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    targets: tuple[Target, ...]
    attempts: int = 1
    timeout: datetime.timedelta | None = None
    objective: datetime.timedelta | None = None
    resumable: bool = False
    one_version: bool = False
    retention: datetime.timedelta | None = None
    public: bool = False

    def service_for(self, request_id: str) -> str:
        """Return the service that takes a request; the same one on a retry."""
        if len(self.targets) == 1:
            return self.targets[0].service
        total = sum(target.weight for target in self.targets)
        point = zlib.crc32(request_id.encode()) / SHARE_BITS * total
        for target in self.targets:
            point -= target.weight
            if point < 0:
                return target.service
        return self.targets[-1].service


@attrs.frozen
class EngineLimits:
    """What a model engine of a service can hold.

    Attributes
    ----------
    slots : int
        Requests that run at once.
    models : tuple of str
        Models that it serves.
    memory : int
        Tokens that its requests and what it caches may take; 0 for unknown.
    """

    slots: int
    models: tuple[str, ...]
    memory: int = 0


@attrs.frozen
class Service:
    """One service of the configuration.

    Attributes
    ----------
    name : str
    engine : EngineLimits or None
        None for a plain service.
    """

    name: str
    engine: EngineLimits | None = None


class RouteTable:
    """One version of the configuration; immutable.

    A look-up costs as many steps as the path has slashes, however many routes
    there are.

    Parameters
    ----------
    version : int
        Grows with each configuration; 0 before the first.
    routes : iterable of Route
    services : iterable of Service
    body_limit : int
        Bytes of a request's body.
    workspaces : Workspaces
    """

    def __init__(
        self,
        version=0,
        routes=(),
        services=(),
        body_limit=0,
        workspaces: Workspaces = NO_WORKSPACES,
    ):
        self.workspaces = workspaces
        self.version = version
        self.body_limit = body_limit
        self.services = {service.name: service for service in services}
        self.hosts: dict[str, dict[str, Route]] = {}
        for route in routes:
            self.hosts.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of the longest prefix that begins the path."""
        routes = self.hosts.get(host.lower().partition(":")[0])
        if not routes:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
