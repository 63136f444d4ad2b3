"""Stand-in store whose lost writes take effect late, and a client for it."""

import asyncio
import contextlib
import random

from gypsumshift.clock import SystemClock
from gypsumshift.httpclient import Fetcher
from gypsumshift.storepath import StorePath
from standins.users_store import FakeMetadataStore, Faults
from tests import platform_cluster  # noqa: F401  (adds the adapter's folder to sys.path)

# Delay of lost writes: longer than the writes that the tests make meanwhile.
LATE_S = 0.2


@contextlib.asynccontextmanager
async def open_store():
    """Start a stand-in store; yield it and a client that reads and writes its rows."""
    from row_store import PlatformStore

    server, fetcher = FakeMetadataStore(), Fetcher()
    port = await server.server.listen("127.0.0.1", 0)
    path = StorePath(
        ("127.0.0.1", port), fetcher, SystemClock(), random.Random(1), "here", []
    )
    try:
        yield server, PlatformStore(path)
    finally:
        fetcher.close_idle()
        server.server.listener.close()


@contextlib.contextmanager
def losing_writes(server):
    """Lose all writes made meanwhile; they take effect after `LATE_S`."""
    server.faults = Faults(lose=1.0, late=LATE_S)
    try:
        yield
    finally:
        server.faults = Faults()


async def wait_for_late_writes(server):
    """Wait until all lost writes have been carried out."""
    await asyncio.gather(*server.late_commits)
