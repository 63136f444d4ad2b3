"""Check whether a backend server that closed a connection is gone."""

from gypsumshift.httpclient import Fetcher
from gypsumshift.serving.directory import BackendServer, Directory

__all__ = ["is_gone"]

# One round trip inside a region fits. Callers wait for this check before the request is
# sent to another server.
CONNECT_CHECK_TIMEOUT_SECONDS = 0.1


async def is_gone(
    directory: Directory,
    fetcher: Fetcher,
    server: BackendServer,
    extra_s: float = 0.0,
) -> bool:
    """Return whether a server start is not listed, or refuses connections.

    A listed server that does not answer may only be cut off from this host, so it does
    not count as gone. Neither does one in an evacuated zone, which is not contacted.

    Parameters
    ----------
    directory : Directory
    fetcher : Fetcher
    server : BackendServer
    extra_s : float
        Seconds by which a server of another region may answer later.
    """
    listed = directory.servers.get(server.id)
    if listed is None or listed.start != server.start:
        # A new start of the server may already listen at the address.
        return True
    if not directory.accepts_requests(server):
        return False
    return await fetcher.is_connection_refused(
        server.address, CONNECT_CHECK_TIMEOUT_SECONDS + extra_s
    )
