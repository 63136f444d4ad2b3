"""Limits on the bytes outstanding at a server, learnt from its crashes under load.

A server crashes if the requests that it holds exceed its memory, and does not tell how
much that is. Each process therefore limits what it sends to a server that crashed while
it held several of its requests. There is no limit before such a crash. The module uses
no network, and the clock is injected.
"""

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.serving.directory import BackendServer, ServerStart

__all__ = ["MIN_LIMIT_BYTES", "ServerByteLimits"]

# A limit is never lower: fewer bytes do not fill the memory of a server, and the usual
# calls of some kilobytes must go on.
MIN_LIMIT_BYTES = 64 * 1024
# Requests that a server held at least, for its crash to count as one under load. A
# single request that ends servers is held back by the crash guard.
MIN_CALLS = 2
# Share of the bytes outstanding at the crash to which the limit is lowered.
CRASH_SHARE = 0.5
# Time in which a limit doubles. A crash interrupts a server's calls for about a second,
# so trying the same load again half a minute later costs callers little.
DOUBLING_SECONDS = 30.0
# Multiple of the bytes outstanding at the crash above which the limit is dropped.
FORGET_FACTOR = 4.0

log = logs.logger("bytelimits")


@attrs.define
class Outstanding:
    """Calls open at one server start.

    Attributes
    ----------
    calls : int
    size : int
        Bytes of their bodies.
    """

    calls: int = 0
    size: int = 0


@attrs.frozen
class Limit:
    """Limit of one server.

    Attributes
    ----------
    start : ServerStart
        The start that crashed; one start does not lower the limit again.
    size : float
        Bytes, right after the crash.
    crashed_size : int
        Bytes outstanding at the crash.
    set_at : float
        Monotonic time of the crash, in seconds.
    """

    start: ServerStart
    size: float
    crashed_size: int
    set_at: float


class ServerByteLimits:
    """Counts the bytes outstanding at servers, and limits them after a crash.

    Parameters
    ----------
    clock : Clock
    enabled : bool
        Whether limits are set.

    Attributes
    ----------
    outstanding : dict of ServerStart to Outstanding
    limits : dict of str to Limit
        By server id, since a server that crashed starts again under its id.
    """

    def __init__(self, clock: Clock, enabled: bool = True):
        self.clock = clock
        self.enabled = enabled
        self.outstanding: dict[ServerStart, Outstanding] = {}
        self.limits: dict[str, Limit] = {}

    def begin(self, server: BackendServer, size: int) -> None:
        """Count a call as sent to a server."""
        open_calls = self.outstanding.setdefault(server.start, Outstanding())
        open_calls.calls += 1
        open_calls.size += size

    def end(self, server: BackendServer, size: int) -> None:
        """Count a call as ended, whatever its outcome."""
        open_calls = self.outstanding[server.start]
        open_calls.calls -= 1
        open_calls.size -= size
        if not open_calls.calls:
            del self.outstanding[server.start]

    def has_room(self, server: BackendServer, size: int) -> bool:
        """Return whether a server may get a call with a body of some bytes.

        A server without open calls gets any call, so that one above the limit is not
        refused for ever.
        """
        limit = self.limit_of(server.id)
        open_calls = self.outstanding.get(server.start)
        if limit is None or open_calls is None or not size:
            return True
        return open_calls.size + size <= limit

    def limit_of(self, server_id: str) -> float | None:
        """Return a server's limit in bytes; None if it has none."""
        limit = self.limits.get(server_id)
        if limit is None:
            return None
        age = self.clock.monotonic() - limit.set_at
        size = limit.size * 2 ** (age / DOUBLING_SECONDS)
        if size < FORGET_FACTOR * limit.crashed_size:
            return size
        del self.limits[server_id]
        return None

    def record_crash(self, server: BackendServer) -> None:
        """Lower a server's limit if it crashed while it held several calls."""
        open_calls = self.outstanding.get(server.start, Outstanding())
        known = self.limits.get(server.id)
        if not self.enabled or open_calls.calls < MIN_CALLS:
            return
        if known is not None and known.start == server.start:
            return
        if open_calls.size <= MIN_LIMIT_BYTES:
            return
        size = max(MIN_LIMIT_BYTES, CRASH_SHARE * open_calls.size)
        now = self.clock.monotonic()
        self.limits[server.id] = Limit(server.start, size, open_calls.size, now)
        logs.event(
            log,
            "A server crashed under load; the bytes outstanding at it are limited.",
            server=server.id,
            calls=open_calls.calls,
            outstanding_bytes=open_calls.size,
            limit_bytes=round(size),
        )

    def prune(self) -> None:
        """Remove limits that were raised enough to be dropped.

        Servers that are not listed keep theirs: an entry expires after 4 s, and a
        server that crashed may take longer to start again.
        """
        for server_id in list(self.limits):
            self.limit_of(server_id)
