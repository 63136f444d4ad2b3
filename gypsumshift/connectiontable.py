"""Connection table: which connections of a port may stay, and which is closed next.

The decisions use no network and the clock is injected. Each costs the same however many
connections are open: connections of one phase are kept in the order of their progress,
so that the next one to close is the first of a phase.
"""

import abc
import collections
import enum

from gypsumshift.clock import Clock

__all__ = ["CloseReason", "ClosableConnection", "ConnectionTable", "Phase"]

# Bytes of a request that count as progress. A client that sends a byte at a time keeps
# its place in the order until it has sent this many.
PROGRESS_BYTES = 1024
# Time without progress after which an unfinished request yields to other clients.
STALL_S = 1.0
# Share of the connections that unfinished requests may have while idle connections of
# clients that have been served stay open.
UNFINISHED_SHARE = 0.5


class Phase(enum.StrEnum):
    """What a connection is doing.

    Attributes
    ----------
    UNFINISHED
        No complete request has arrived yet, or the next one has begun.
    IDLE
        The last request was answered.
    SERVING
        A request is being served; the connection is not closed for others.
    BLOCKED
        The client does not read its answer.
    """

    UNFINISHED = "unfinished"
    IDLE = "idle"
    SERVING = "serving"
    BLOCKED = "blocked"


class CloseReason(enum.StrEnum):
    """Why a connection is closed before its client ends it."""

    STALLED = "stalled"
    UNFINISHED = "unfinished"
    IDLE = "idle"
    BLOCKED = "blocked"
    MEMORY = "memory"
    FULL = "full"
    HEADER_TIMEOUT = "header_timeout"
    BODY_TIMEOUT = "body_timeout"
    TURNS = "turns"


class ClosableConnection(abc.ABC):
    """Connection that can be closed to make room for others."""

    @abc.abstractmethod
    def evict(self, reason: CloseReason) -> None:
        """Close the connection at once, and release what is held for it."""


class ConnectionTable:
    """Open connections of one port.

    Parameters
    ----------
    limit : int
        Maximum number of connections.
    clock : Clock

    Attributes
    ----------
    phases : dict of Phase to OrderedDict
        Connections by phase, with the time of their last progress, oldest first.
    phase_of : dict
        Phase by connection.
    unrewarded : dict
        Bytes received since the last progress, by connection.
    """

    def __init__(self, limit: int, clock: Clock):
        self.limit = limit
        self.clock = clock
        self.phases: dict[Phase, collections.OrderedDict] = {
            phase: collections.OrderedDict() for phase in Phase
        }
        self.phase_of: dict[ClosableConnection, Phase] = {}
        self.unrewarded: dict[ClosableConnection, int] = {}

    def __len__(self) -> int:
        return len(self.phase_of)

    def admit(self, connection: ClosableConnection) -> bool:
        """Add a new connection, closing another if needed; False if none may yield."""
        if len(self) >= self.limit and not self.close_one():
            return False
        self.move(connection, Phase.UNFINISHED)
        return True

    def close_one(self) -> bool:
        """Close the connection that yields first; return False if there is none."""
        reason = self.next_to_close()
        if reason is None:
            return False
        connection = next(iter(self.phases[PHASES_BY_REASON[reason]]))
        self.remove(connection)
        connection.evict(reason)
        return True

    def next_to_close(self) -> CloseReason | None:
        """Return why the next connection yields; None if all of them are served.

        Clients that make no progress come first, then those that do not read. Idle
        clients yield to new ones only while these have few of the connections.
        """
        unfinished = self.phases[Phase.UNFINISHED]
        if self.is_stalled():
            return CloseReason.STALLED
        if self.phases[Phase.BLOCKED]:
            return CloseReason.BLOCKED
        if len(unfinished) >= UNFINISHED_SHARE * self.limit:
            return CloseReason.UNFINISHED
        if self.phases[Phase.IDLE]:
            return CloseReason.IDLE
        return CloseReason.UNFINISHED if unfinished else None

    def is_stalled(self) -> bool:
        """Return whether an unfinished request has made no progress for a while."""
        oldest = next(iter(self.phases[Phase.UNFINISHED].values()), None)
        return oldest is not None and self.clock.monotonic() - oldest >= STALL_S

    def move(self, connection: ClosableConnection, phase: Phase) -> None:
        """Put a connection into a phase; that counts as progress."""
        self.remove(connection)
        self.phase_of[connection] = phase
        self.phases[phase][connection] = self.clock.monotonic()

    def change(self, connection: ClosableConnection, phase: Phase) -> None:
        """Put a connection that is still open for others into a phase."""
        if self.phase_of.get(connection, phase) is not phase:
            self.move(connection, phase)

    def begin_request(self, connection: ClosableConnection) -> None:
        """Note that the first bytes of a request have arrived."""
        if connection in self.phase_of:
            self.move(connection, Phase.UNFINISHED)

    def record_bytes(self, connection: ClosableConnection, count: int) -> bool:
        """Count bytes of an unfinished request; return whether they are progress."""
        received = self.unrewarded.get(connection, 0) + count
        if received < PROGRESS_BYTES:
            self.unrewarded[connection] = received
            return False
        if connection in self.phase_of:
            self.move(connection, Phase.UNFINISHED)
        return True

    def remove(self, connection: ClosableConnection) -> None:
        """Remove a connection that was closed."""
        self.unrewarded.pop(connection, None)
        phase = self.phase_of.pop(connection, None)
        if phase is not None:
            del self.phases[phase][connection]


PHASES_BY_REASON = {
    CloseReason.STALLED: Phase.UNFINISHED,
    CloseReason.UNFINISHED: Phase.UNFINISHED,
    CloseReason.BLOCKED: Phase.BLOCKED,
    CloseReason.IDLE: Phase.IDLE,
}
