"""Admission: whether a request may run, by the key that it carries.

The decision answers three kinds of host: one that knows the newest configuration, one
that may not know it any more, and one that does not know any yet. Only the first may
say that a key is good, or that it is none.
"""

import datetime

import attrs

from gypsumshift import logs
from gypsumshift.metrics import Metrics
from gypsumshift.outcomes import CannotTell
from gypsumshift.serving.directory import Directory
from gypsumshift.serving.freshness import ConfigFreshness
from gypsumshift.workspaces import key_digest

__all__ = [
    "KEYLESS_GRANT",
    "KEY_NOT_CONFIRMED",
    "Authorizer",
    "Grant",
    "UnknownKey",
    "Verdict",
]

# Seconds after which a caller may come back: another host may know more.
RETRY_AFTER = 0.25
# Seconds within which the configuration must have been confirmed for a key to be called
# unknown; else the store is asked: a flood of wrong keys costs two calls a second.
UNKNOWN_AGE = 0.5
# Seconds that a log line tells at the most of an age that has no end.
LONGEST_TOLD = 1e6
KEY_NOT_CONFIRMED = "the key may not be good any more"

log = logs.logger("admission")


@attrs.frozen
class UnknownKey:
    """No workspace has the key: the caller must not come back with it."""


@attrs.frozen
class Grant:
    """Leave to have servers run a request.

    Attributes
    ----------
    workspace : str
        Name of the workspace for which it runs; empty for none.
    digest : str
        Of the key; see `key_digest`.
    authorizer : Authorizer or None
        Asked again before each send; None where no key is needed.
    """

    workspace: str = ""
    digest: str = ""
    authorizer: "Authorizer | None" = attrs.field(default=None, repr=False)

    @property
    def is_valid(self) -> bool:
        """Whether a server may still be sent the request.

        A host that was suspended since the request came, or that lost the store while
        the request waited, must not act on what it knew before.
        """
        return self.authorizer is None or self.authorizer.is_grant_valid(self)


# Leave for what needs no key.
KEYLESS_GRANT = Grant()
Verdict = Grant | UnknownKey | CannotTell


class Authorizer:
    """Decides by the configuration that is known here, and by its age.

    Parameters
    ----------
    directory : Directory
    freshness : ConfigFreshness
    metrics : Metrics
    """

    def __init__(
        self, directory: Directory, freshness: ConfigFreshness, metrics: Metrics
    ):
        self.directory = directory
        self.freshness = freshness
        self.metrics = metrics

    @property
    def ready(self) -> bool:
        """Whether callers with keys should come here."""
        required = self.directory.routes.workspaces.required
        return not required or self.freshness.ready

    async def authorize(self, request: str, key: str, public: bool = False) -> Verdict:
        """Return whether a request may run.

        Parameters
        ----------
        request : str
            Id of the request, for the log.
        key : str
            As the caller sent it; empty for none.
        public : bool
            Whether its route needs no key.
        """
        if not self.directory.routes.version:
            return self.noted(request, cannot_tell("no configuration yet"))
        if public or not self.directory.routes.workspaces.required:
            return KEYLESS_GRANT
        return self.noted(request, await self.look_up(key, lasting=True))

    def noted(self, request: str, verdict: Verdict) -> Verdict:
        """Count a verdict, and log one that lets nothing run."""
        name = type(verdict).__name__
        self.metrics.count("admissions", verdict=name)
        if not isinstance(verdict, Grant):
            logs.event(
                log,
                "A request is not admitted.",
                request=request,
                verdict=name,
                reason=getattr(verdict, "reason", "no workspace has the key"),
                configuration=self.directory.routes.version,
                confirmed_s_ago=round(min(self.freshness.age, LONGEST_TOLD), 3),
            )
        return verdict

    async def identify(self, request: str, key: str) -> Verdict:
        """Return whose batch jobs a caller may read and end.

        Without a key, those that were submitted without one. A key is taken as it was
        heard of last: what was accepted is read also while nothing is heard.
        """
        if not self.directory.routes.version:
            return self.noted(request, cannot_tell("no configuration yet"))
        if not key or not self.directory.routes.workspaces.required:
            return KEYLESS_GRANT
        return self.noted(request, await self.look_up(key, lasting=False))

    async def look_up(self, key: str, lasting: bool) -> Verdict:
        """Return whose key it is; the store is asked where this host may not know.

        Parameters
        ----------
        key : str
        lasting : bool
            Whether it must be good still, as for a request that is to run.
        """
        digest = key_digest(key)
        verdict = self.decide(digest, lasting)
        if isinstance(verdict, CannotTell):
            await self.freshness.confirm()
            verdict = self.decide(digest, lasting)
        return verdict

    def decide(self, digest: str, lasting: bool) -> Verdict:
        """Return what is known of a key here and now."""
        workspace = self.directory.routes.workspaces.find_by_digest(digest)
        if workspace is None:
            if self.freshness.age <= UNKNOWN_AGE:
                return UnknownKey()
            return cannot_tell("a newer configuration may hold the key")
        if lasting and not self.freshness.keys_accepted:
            return cannot_tell("a newer configuration may have taken the key away")
        return Grant(workspace.name, digest, self)

    def is_grant_valid(self, grant: Grant) -> bool:
        """Tell whether a key is still the same workspace's, as far as can be known."""
        workspace = self.directory.routes.workspaces.find_by_digest(grant.digest)
        known = workspace is not None and workspace.name == grant.workspace
        return known and self.freshness.keys_accepted


def cannot_tell(reason: str) -> CannotTell:
    """Return a refusal of a host that may not know enough."""
    return CannotTell(reason, datetime.timedelta(seconds=RETRY_AFTER))
