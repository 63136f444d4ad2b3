"""Inbound connections: what all ports of a process may hold for their clients.

The descriptors and the memory of the process bound the sum of its connections. Each
port has a share of them, so that a crowd at one port leaves room at the others. The
rest of the descriptors is for connections that the process opens itself.
"""

import collections
import enum
import math
import os
import resource

import attrs

from gypsumshift import logs
from gypsumshift.bytebudget import (
    IDLE_MEMORY_BYTES,
    ByteBudget,
    ByteKind,
    Holding,
)
from gypsumshift.clock import Clock, SystemClock
from gypsumshift.connectiontable import (
    STALL_S,
    ClosableConnection,
    CloseReason,
    ConnectionTable,
)
from gypsumshift.metrics import Metrics
from gypsumshift.turngate import TurnGate

__all__ = [
    "Inbound",
    "PortKind",
    "ProcessLimits",
    "connection_limit",
    "host_memory_bytes",
]

# Descriptors that the host reserves for files.
FILE_DESCRIPTORS = 200
# Share of the other descriptors that clients may take. A forwarded request needs one
# for its caller and one for its server.
INBOUND_SHARE = 0.5
# Share of the memory above that of an idle process for connections, apart from what
# their requests hold in the memory budget.
CONNECTION_MEMORY_SHARE = 0.25
# Memory of a connection: its objects, a head of the usual size and its receive buffers.
CONNECTION_BYTES = 24 * 1024
MAX_CONNECTIONS = 20_000
MIN_CONNECTIONS = 16
# At most ten lines per second about connections closed for one reason.
LOG_INTERVAL_S = 0.1

log = logs.logger("inbound")


class PortKind(enum.StrEnum):
    """Who connects to a port."""

    CALLERS = "callers"
    PEERS = "peers"
    READINESS = "readiness"
    METRICS = "metrics"
    OPERATORS = "operators"


# Parts of the inbound connections by port, relative to each other.
PORT_WEIGHTS = {
    PortKind.CALLERS: 6,
    PortKind.PEERS: 3,
    PortKind.READINESS: 1,
    PortKind.METRICS: 1,
    PortKind.OPERATORS: 1,
}


@attrs.frozen
class ProcessLimits:
    """What the host grants a process.

    Attributes
    ----------
    memory_bytes : float
        Memory above which it is killed; infinite if unknown.
    descriptors : int
        File descriptors that it may open; 0 if only the operating system limits them.
    """

    memory_bytes: float = math.inf
    descriptors: int = 0


def host_memory_bytes() -> float:
    """Return the memory of the host."""
    return float(os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE"))


def connection_limit(limits: ProcessLimits) -> int:
    """Return how many connections all clients of a process may have open."""
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if allowed == resource.RLIM_INFINITY:
        allowed = MAX_CONNECTIONS + FILE_DESCRIPTORS
    descriptors = min(allowed, limits.descriptors or allowed)
    by_descriptors = INBOUND_SHARE * (descriptors - FILE_DESCRIPTORS)
    free_bytes = limits.memory_bytes - IDLE_MEMORY_BYTES
    by_memory = CONNECTION_MEMORY_SHARE * free_bytes / CONNECTION_BYTES
    most = min(by_descriptors, by_memory, MAX_CONNECTIONS)
    return max(MIN_CONNECTIONS, int(most))


class Inbound:
    """Connections of all ports of a process, and the requests that hold memory.

    Parameters
    ----------
    limits : ProcessLimits
    clock : Clock or None
    metrics : Metrics or None

    Attributes
    ----------
    limit : int
        Maximum number of connections at all ports.
    tables : dict of PortKind to ConnectionTable
    gate : TurnGate
        For parsing that holds the event loop.
    receiving : dict of ByteBudget to OrderedDict
        Connections whose unfinished request holds memory of a budget, with the time of
        their last progress, oldest first.
    """

    def __init__(
        self,
        limits: ProcessLimits | None = None,
        clock: Clock | None = None,
        metrics: Metrics | None = None,
    ):
        self.limit = connection_limit(limits or ProcessLimits())
        self.clock = clock or SystemClock()
        self.metrics = metrics
        self.tables: dict[PortKind, ConnectionTable] = {}
        self.gate = TurnGate()
        self.receiving: dict[ByteBudget, collections.OrderedDict] = (
            collections.defaultdict(collections.OrderedDict)
        )
        self.events = {
            reason: logs.RateLimitedEvents(log, LOG_INTERVAL_S)
            for reason in CloseReason
        }

    def add_port(self, kind: PortKind) -> ConnectionTable:
        """Return the table of a new port; all tables are divided anew."""
        self.tables[kind] = ConnectionTable(0, self.clock)
        total = sum(PORT_WEIGHTS[other] for other in self.tables)
        for other, table in self.tables.items():
            table.limit = max(2, self.limit * PORT_WEIGHTS[other] // total)
        return self.tables[kind]

    def reserve(
        self,
        connection: ClosableConnection,
        holding: Holding,
        kind: ByteKind,
        size: int,
    ) -> bool:
        """Reserve memory for an unfinished request; return False if it does not fit.

        Requests that have made no progress for a while yield.
        """
        while not holding.add(kind, size):
            if holding.size_of(kind, size) > holding.budget.capacity(kind):
                return False
            if not self.reclaim(holding.budget, connection):
                return False
        receiving = self.receiving[holding.budget]
        receiving.setdefault(connection, self.clock.monotonic())
        return True

    def reclaim(self, budget: ByteBudget, requester: ClosableConnection) -> bool:
        """Close the connection whose request holds memory and stalls for longest."""
        for connection, progress_at in self.receiving[budget].items():
            if connection is requester:
                continue
            if self.clock.monotonic() - progress_at < STALL_S:
                return False
            del self.receiving[budget][connection]
            connection.evict(CloseReason.MEMORY)
            return True
        return False

    def record_progress(
        self, budget: ByteBudget, connection: ClosableConnection
    ) -> None:
        """Note that an unfinished request that holds memory has made progress."""
        receiving = self.receiving[budget]
        if connection in receiving:
            receiving[connection] = self.clock.monotonic()
            receiving.move_to_end(connection)

    def end_receiving(self, budget: ByteBudget, connection: ClosableConnection) -> None:
        """Note that a request is complete or was given up."""
        self.receiving[budget].pop(connection, None)

    def record_close(self, port: PortKind, reason: CloseReason, **figures) -> None:
        """Count a connection that is closed early, and log it with its figures."""
        if self.metrics is not None:
            self.metrics.count("closed_connections", port=str(port), reason=str(reason))
        self.events[reason].event(
            self.clock.monotonic(),
            "Connection closed before its client ended it.",
            port=str(port),
            reason=str(reason),
            open=len(self.tables[port]),
            limit=self.tables[port].limit,
            **figures,
        )

    def gauges(self) -> dict[str, float]:
        """Return the gauges for the metrics page."""
        return {
            f"connections.{port}.{phase}": len(connections)
            for port, table in self.tables.items()
            for phase, connections in table.phases.items()
        }
