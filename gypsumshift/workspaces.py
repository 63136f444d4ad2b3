"""Workspaces: whose requests these are, told by the keys that callers send.

Keys are known by their digests only: what a process holds, logs or hands on lets
nobody call in a workspace's name.
"""

import hashlib
from collections.abc import Iterable

import attrs

__all__ = ["NO_WORKSPACES", "Workspace", "Workspaces", "key_digest"]

# Bytes of a digest: enough that nobody finds a second key with the same one.
DIGEST_SIZE = 16


def key_digest(key: str) -> str:
    """Return what a key is known by, in hexadecimal digits."""
    data = key.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, digest_size=DIGEST_SIZE).hexdigest()


@attrs.frozen
class Workspace:
    """One workspace of the configuration.

    Attributes
    ----------
    name : str
    keys : frozenset of str
        Digests of the keys that name it; see `key_digest`.
    """

    name: str
    keys: frozenset[str] = frozenset()


class Workspaces:
    """The workspaces of one configuration; immutable.

    Parameters
    ----------
    workspaces : iterable of Workspace
    required : bool
        Whether callers have to send a key where a route is not public.
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
        """Return the workspace whose key has a digest."""
        return self.by_digest.get(digest)


# A deployment that does not tell callers apart.
NO_WORKSPACES = Workspaces()
