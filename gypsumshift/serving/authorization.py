"""Authorization of requests by the workspace key that they carry.

A host holds the newest configuration, one that may be outdated, or none yet. Only a
host with the newest configuration may accept a key, or reject it as unknown; the
others answer that they cannot decide.
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

# Delay after which a caller may retry, possibly at a host with a newer configuration.
RETRY_AFTER_SECONDS = 0.25
# A key is rejected as unknown only if the configuration was confirmed within this time;
# otherwise the store is queried first. This limits a flood of wrong keys to two store
# calls per second.
UNKNOWN_KEY_MAX_AGE_SECONDS = 0.5
# Largest age written to the log, since the age of an unconfirmed configuration is
# infinite.
MAX_LOGGED_AGE_SECONDS = 1e6
KEY_NOT_CONFIRMED = "the key may not be valid any more"

log = logs.logger("admission")


@attrs.frozen
class UnknownKey:
    """No workspace has the key; the caller must not retry with it."""


@attrs.frozen
class Grant:
    """Permission to have backend servers run a request.

    Attributes
    ----------
    workspace : str
        Name of the workspace for which the request runs; empty for none.
    digest : str
        Digest of the key; see `key_digest`.
    authorizer : Authorizer or None
        Checks the grant again before each send; None if no key is needed.
    """

    workspace: str = ""
    digest: str = ""
    authorizer: "Authorizer | None" = attrs.field(default=None, repr=False)

    @property
    def is_valid(self) -> bool:
        """Whether the request may still be sent to a backend server.

        A host that was suspended since the request arrived, or that lost the store
        while the request waited, must not act on an outdated configuration.
        """
        return self.authorizer is None or self.authorizer.is_grant_valid(self)


# Grant for requests that need no key.
KEYLESS_GRANT = Grant()
Verdict = Grant | UnknownKey | CannotTell


class Authorizer:
    """Authorizes requests by the configuration in memory and its age.

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
        """Whether this host should receive requests with keys."""
        required = self.directory.routes.workspaces.required
        return not required or self.freshness.ready

    async def authorize(self, request: str, key: str, public: bool = False) -> Verdict:
        """Return whether a request may run, and for which workspace.

        Parameters
        ----------
        request : str
            Id of the request, for the log.
        key : str
            Key as the caller sent it; empty for none.
        public : bool
            Whether the request's route needs no key.
        """
        if not self.directory.routes.version:
            return self.record_verdict(request, cannot_tell("no configuration yet"))
        if public or not self.directory.routes.workspaces.required:
            return KEYLESS_GRANT
        return self.record_verdict(
            request, await self.resolve_key(key, must_be_current=True)
        )

    def record_verdict(self, request: str, verdict: Verdict) -> Verdict:
        """Count a verdict in the metrics, and log it unless it is a grant."""
        name = type(verdict).__name__
        self.metrics.count("admissions", verdict=name)
        if not isinstance(verdict, Grant):
            logs.event(
                log,
                "Request not authorized; it is not run.",
                request=request,
                verdict=name,
                reason=getattr(verdict, "reason", "no workspace has the key"),
                configuration=self.directory.routes.version,
                confirmed_s_ago=round(
                    min(self.freshness.age, MAX_LOGGED_AGE_SECONDS), 3
                ),
            )
        return verdict

    async def identify(self, request: str, key: str) -> Verdict:
        """Return the workspace whose batch jobs a caller may read and end.

        Without a key, these are the jobs that were submitted without one. A key is
        looked up in the last configuration received, whatever its age, so that jobs
        that were accepted can be read while the store is unreachable.
        """
        if not self.directory.routes.version:
            return self.record_verdict(request, cannot_tell("no configuration yet"))
        if not key or not self.directory.routes.workspaces.required:
            return KEYLESS_GRANT
        return self.record_verdict(
            request, await self.resolve_key(key, must_be_current=False)
        )

    async def resolve_key(self, key: str, must_be_current: bool) -> Verdict:
        """Return the verdict on a key, querying the store if memory cannot decide.

        Parameters
        ----------
        key : str
        must_be_current : bool
            Whether the key must still be valid, as for a request that is to run.
        """
        digest = key_digest(key)
        verdict = self.resolve_from_memory(digest, must_be_current)
        if isinstance(verdict, CannotTell):
            await self.freshness.confirm()
            verdict = self.resolve_from_memory(digest, must_be_current)
        return verdict

    def resolve_from_memory(self, digest: str, must_be_current: bool) -> Verdict:
        """Return the verdict on a key from the configuration in memory."""
        workspace = self.directory.routes.workspaces.find_by_digest(digest)
        if workspace is None:
            if self.freshness.age <= UNKNOWN_KEY_MAX_AGE_SECONDS:
                return UnknownKey()
            return cannot_tell("a newer configuration may hold the key")
        if must_be_current and not self.freshness.keys_accepted:
            return cannot_tell("a newer configuration may have revoked the key")
        return Grant(workspace.name, digest, self)

    def is_grant_valid(self, grant: Grant) -> bool:
        """Return whether a grant's key still belongs to its workspace.

        False as well if the configuration is too old to accept keys.
        """
        workspace = self.directory.routes.workspaces.find_by_digest(grant.digest)
        known = workspace is not None and workspace.name == grant.workspace
        return known and self.freshness.keys_accepted


def cannot_tell(reason: str) -> CannotTell:
    """Return the verdict that a key cannot be checked now, with the time to a retry."""
    return CannotTell(reason, datetime.timedelta(seconds=RETRY_AFTER_SECONDS))
