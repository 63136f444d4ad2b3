"""A request to be forwarded, and the possible outcomes of one attempt."""

import functools
import math

import attrs

from gypsumshift.bytebudget import NO_BUDGET, Holding
from gypsumshift.httpconnection import MAX_BODY_BYTES
from gypsumshift.outcomes import Answered
from gypsumshift.serving.authorization import KEYLESS_GRANT, Grant
from gypsumshift.serving.fingerprints import fingerprint
from gypsumshift.serving.routes import RequestKind, Route, RouteTable

__all__ = [
    "AttemptOutcome",
    "AttemptProgress",
    "Call",
    "CallerTimes",
    "Failed",
    "Refused",
]


@attrs.frozen
class CallerTimes:
    """When a caller's request arrived, and how long the caller waits for its answer.

    Attributes
    ----------
    received_at : float
        Monotonic time, in seconds.
    allowed_s : float
        Seconds; infinite if the caller sets no limit.
    """

    received_at: float
    allowed_s: float = math.inf

    def due(self, route: Route) -> float:
        """Return the monotonic time by which a route's answer is due, in seconds.

        It is infinite if neither the route nor the caller sets a limit.
        """
        limit = route.timeout.total_seconds() if route.timeout else math.inf
        return self.received_at + min(limit, self.allowed_s)


@attrs.define
class Call:
    """One request to be forwarded to backend servers.

    Attributes
    ----------
    id : str
    method, target : str
        The target is the path and query as received.
    host : str
        Value of the Host header field.
    headers : list of (str, str)
        Names in lower case; hop-by-hop fields are not forwarded.
    body : bytes
    route : Route
        By the last configuration that had one; see `follow`.
    deadline : float
        Monotonic time, in seconds.
    failed_before : bool
        Whether a server has already answered the request with a failure. Some requests
        fail at every server, so further failures are not counted against servers.
    grant : Grant
        Permission to run the request, with the workspace.
    usage_counted : bool
        Whether the request is already counted as one that a server began to run.
    holding : Holding
        Bytes that the request and its answer hold in the memory budget.
    max_answer_bytes : int
        Maximum size of an answer's body.
    answer_due : float
        Monotonic time by which a streamed answer has to be complete, in seconds;
        infinite where neither the caller nor the route limits it.
    reward_for : str or None
        Workspace whose item a reward call scores; None for callers' requests, which go
        before reward calls where a service is too small for both.
    times : CallerTimes or None
        Of a caller's request, which ends by the time limit of the route in force; None
        for one whose deadline does not depend on its route.
    routed_by : RouteTable or None
        Configuration by which the route was looked up last.
    has_route : bool
        Whether that configuration has a route.
    """

    id: str
    method: str
    target: str
    host: str
    headers: list[tuple[str, str]]
    body: bytes
    route: Route
    deadline: float
    failed_before: bool = False
    grant: Grant = KEYLESS_GRANT
    usage_counted: bool = False
    holding: Holding = attrs.field(factory=NO_BUDGET.hold, eq=False, repr=False)
    max_answer_bytes: int = MAX_BODY_BYTES
    answer_due: float = math.inf
    reward_for: str | None = None
    times: CallerTimes | None = None
    routed_by: RouteTable | None = attrs.field(default=None, eq=False, repr=False)
    has_route: bool = True

    def follow(self, routes: RouteTable) -> None:
        """Take the route of a configuration, which may have moved since the last one.

        Before the first configuration, and where it has no route, the last one stays.
        """
        if routes is self.routed_by or not routes.version:
            return
        self.routed_by = routes
        route = routes.find(self.host, self.target.partition("?")[0])
        self.has_route = route is not None
        if route is None:
            return
        self.route = route.as_successor_of(self.route)
        if self.times is not None:
            self.end_by(self.times.due(self.route))

    def end_by(self, at: float) -> None:
        """Let the call end by a monotonic time, in seconds, if it would end later."""
        self.deadline = min(self.deadline, at)
        self.answer_due = min(self.answer_due, at)

    def service_by(self, routes: RouteTable) -> str:
        """Return the service that may run the call by a configuration.

        It is empty where the configuration has no route for the call.
        """
        self.follow(routes)
        return self.route.service_for(self.id) if self.has_route else ""

    @functools.cached_property
    def fingerprint(self) -> str:
        """Fingerprint of the request, which does not depend on its id."""
        who = self.grant.workspace
        return fingerprint(self.method, self.host, self.target, who, self.body)

    @property
    def deferred(self) -> bool:
        """Whether this is a reward call, which is owed as its item is."""
        return self.reward_for is not None

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        kinds = (RequestKind.SAFE, RequestKind.BATCH)
        return self.deferred or self.route.kind in kinds

    @property
    def attempts(self) -> int:
        """Maximum number of servers on which the request may run.

        A reward call has one for each `Call`, so that each answer counts once against
        the limit of its route.
        """
        return 1 if self.deferred else self.route.attempts


@attrs.define
class AttemptProgress:
    """Progress of one attempt, shared by the sender and who waits for it.

    Attributes
    ----------
    connected : bool
        Whether there was a connection to the server, so that the request may have been
        sent.
    connected_after_s : float
        Seconds from the start of the attempt until there was one.
    round_trip_s : float
        Expected round trip to a server of another region; 0 inside the own one.
    """

    connected: bool = False
    connected_after_s: float = 0.0
    round_trip_s: float = 0.0


@attrs.frozen
class Refused:
    """A backend server stated that it has not run the request.

    Attributes
    ----------
    reason : str
    replaced : bool
        Whether another server now answers at its address.
    """

    reason: str
    replaced: bool = False


@attrs.frozen
class Failed:
    """An attempt ended without a usable response.

    Attributes
    ----------
    reason : str
    sent : bool
        Whether the request may have run.
    gone : bool
        Whether the server is gone: it is not listed any more, or nothing listens at its
        address.
    local : bool
        Whether the cause lies in this process and not in the server.
    """

    reason: str
    sent: bool
    gone: bool = False
    local: bool = False

    @property
    def ended(self) -> bool:
        """Whether the server ended while it ran the request, and not before."""
        return self.sent and self.gone


AttemptOutcome = Answered | Refused | Failed
