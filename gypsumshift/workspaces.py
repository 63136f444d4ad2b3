"""Workspaces: tenants of a deployment, identified by the keys that callers send.

Only digests of the keys are stored, logged and passed on, so nobody can use them to
send requests in the name of a workspace.
"""

import hashlib
from collections.abc import Iterable

import attrs

__all__ = ["NO_WORKSPACES", "Workspace", "Workspaces", "key_digest"]

# Size of a digest in bytes, large enough to make a second key with the same digest
# infeasible to find.
DIGEST_SIZE = 16


def key_digest(key: str) -> str:
    """Return the digest of a key in hexadecimal digits."""
    data = key.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, digest_size=DIGEST_SIZE).hexdigest()


@attrs.frozen
class Workspace:
    """A workspace of the configuration.

    Attributes
    ----------
    name : str
    keys : frozenset of str
        Digests of its keys; see `key_digest`.
    priority : int or None
        Priority of its requests, which takes precedence over that of their routes; 0 is
        the highest. None if the workspace has none.
    homes : frozenset of str
        Regions in which its requests may be served; empty for any.
    """

    name: str
    keys: frozenset[str] = frozenset()
    priority: int | None = None
    homes: frozenset[str] = frozenset()


class Workspaces:
    """The workspaces of one configuration; immutable.

    Parameters
    ----------
    workspaces : iterable of Workspace
    required : bool
        Whether callers must send a key for routes that are not public.
    """

    def __init__(self, workspaces: Iterable[Workspace] = (), required: bool = False):
        self.required = required
        self.by_name = {workspace.name: workspace for workspace in workspaces}
        self.by_digest = {
            digest: workspace
            for workspace in self.by_name.values()
            for digest in workspace.keys
        }

    def find_by_digest(self, digest: str) -> Workspace | None:
        """Return the workspace with a key of that digest; None if there is none."""
        return self.by_digest.get(digest)


# Workspaces of a deployment that does not distinguish callers.
NO_WORKSPACES = Workspaces()
