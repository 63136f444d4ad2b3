"""Calls: a request to be answered, and how one attempt at it can end."""

import functools

import attrs

from gypsumshift.outcomes import Answered
from gypsumshift.serving.authorization import KEYLESS_GRANT, Grant
from gypsumshift.serving.fingerprints import fingerprint
from gypsumshift.serving.routes import RequestKind, Route

__all__ = ["AttemptOutcome", "Call", "Failed", "Refused"]


@attrs.define
class Call:
    """One request to be answered.

    Attributes
    ----------
    id : str
    method, target : str
        The target holds path and query as they came.
    host : str
        Host header field.
    headers : list of (str, str)
        Names in lower case; those of one connection are left out on the way.
    body : bytes
    route : Route
    deadline : float
        By the monotonic clock, in seconds.
    suspect : bool
        Whether a server answered it with a failure before: some requests fail at
        every server, which says nothing about the others.
    grant : Grant
        Leave to run it, and for whom.
    counted : bool
        Whether it is counted among those that servers began to run.
    """

    id: str
    method: str
    target: str
    host: str
    headers: list[tuple[str, str]]
    body: bytes
    route: Route
    deadline: float
    suspect: bool = False
    grant: Grant = KEYLESS_GRANT
    counted: bool = False

    @functools.cached_property
    def fingerprint(self) -> str:
        """What is the same each time that this request comes, whatever its id."""
        who = self.grant.workspace
        return fingerprint(self.method, self.host, self.target, who, self.body)

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""
        return self.route.kind in (RequestKind.SAFE, RequestKind.BATCH)


@attrs.frozen
class Refused:
    """A backend server vouches that it has not run the request.

    Attributes
    ----------
    reason : str
    replaced : bool
        Whether another server stands at its address now.
    """

    reason: str
    replaced: bool = False


@attrs.frozen
class Failed:
    """An attempt came to nothing.

    Attributes
    ----------
    reason : str
    sent : bool
        Whether it may have run.
    gone : bool
        Whether the server is: nobody listens at its address.
    """

    reason: str
    sent: bool
    gone: bool = False

    @property
    def ended(self) -> bool:
        """Whether the server ended under it, and not before."""
        return self.sent and self.gone


AttemptOutcome = Answered | Refused | Failed
