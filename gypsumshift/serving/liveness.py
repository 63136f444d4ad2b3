"""Liveness: whether a backend server is gone that closed a connection."""

from gypsumshift.httpclient import Fetcher
from gypsumshift.serving.directory import BackendServer, Directory

__all__ = ["is_gone"]

# Seconds to find out: a round trip, which callers wait for before another server is
# asked.
GONE_TIMEOUT = 0.1


async def is_gone(
    directory: Directory, fetcher: Fetcher, server: BackendServer
) -> bool:
    """Tell whether a start of a server is not listed, or nobody listens there.

    One that is listed and keeps silent may be cut off, and is not taken for gone.
    """
    listed = directory.servers.get(server.id)
    if listed is None or listed.start != server.start:
        # A new start may listen at the address by now.
        return True
    return await fetcher.is_connection_refused(server.address, GONE_TIMEOUT)
