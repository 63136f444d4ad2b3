"""Heart: tells the other agents that one works, and what is known of its engine.

The decision answers heartbeats that the store carries out late: behind those of a new
process, one of the process before it made its claims those of an agent that is gone,
until its next heartbeat (0.4 to 5 s). So each is written only over the row that its
writer knows.
"""

import zlib
from collections.abc import Callable

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.jobs.claimtracker import ClaimTracker
from gypsumshift.jobs.localengine import LocalEngine
from gypsumshift.jobs.pace import Pace
from gypsumshift.jobs.records import AGENTS, Heartbeat, to_row
from gypsumshift.jobs.weights import WeightManager
from gypsumshift.outcomes import Committed, Conflict, Written
from gypsumshift.platforms import ABSENT, Row, RowStore, Write
from gypsumshift.serving.directory import ServerStart

__all__ = ["STORE_WRITES", "HeartbeatWriter", "heartbeat_part", "heartbeat_period"]

# Seconds between heartbeats of an agent in a small fleet: three are missed before it
# is asked whether it works.
HEARTBEAT_PERIOD = 0.4
# Part of the store's writes that heartbeats of all agents may take together. Agents
# that beat each 0.4 s whatever their number take all 3,200 writes a second of a large
# store with 1,280 of them; so they beat less often beyond 128 (each 5 s with 1,600).
HEARTBEAT_SHARE = 0.1
# Parts of the store over which heartbeats lie. A part takes 200 transactions a second,
# and a tenth of the largest store's writes is 320.
HEARTBEAT_PARTS = 8
# Writes a second that a store is taken to carry where nobody says, as the smallest.
STORE_WRITES = 800.0
# Seconds between looks whether the table of agents was read.
READ_PERIOD = 0.025

log = logs.logger("agent")


class HeartbeatWriter:
    """Writes an agent's heartbeats.

    Parameters
    ----------
    session : str
        Start of the agent.
    station : Station
    weights : WeightManager
        Told its fence, which is the number of the first heartbeat's transaction.
    board : ClaimBoard
    pace : Pace
    store : RowStore
    clock : Clock
    places : callable
        Returns the items that the engine could take now.
    store_writes : float
        Writes a second that the store takes from all processes.

    Attributes
    ----------
    told : Heartbeat
        The last one.
    version : int
        Of the row, as far as the store's answers tell; 0 for none.
    """

    def __init__(
        self,
        session: str,
        local_engine: LocalEngine,
        weights: WeightManager,
        tracker: ClaimTracker,
        pace: Pace,
        store: RowStore,
        clock: Clock,
        free_slots: Callable[[], int],
        store_writes: float = STORE_WRITES,
    ):
        self.session = session
        self.local_engine = local_engine
        self.weights = weights
        self.tracker = tracker
        self.pace = pace
        self.store = store
        self.clock = clock
        self.free_slots = free_slots
        self.store_writes = store_writes
        self.last = Heartbeat("")
        self.version = ABSENT

    async def run(self) -> None:
        """Beat until cancelled.

        What the process before this one had told is read first: told anew without it,
        the engine's model was lost, and after a restart of all hosts half of the
        engines changed theirs.
        """
        while not self.tracker.peers.table_read:
            await self.clock.sleep(READ_PERIOD)
        self.last = self.tracker.peers.last_heartbeat(self.local_engine.identity.name)
        while True:
            await self.write_next()
            agents = len(self.local_engine.directory.ready_engines())
            await self.clock.sleep(heartbeat_period(agents, self.store_writes))

    async def write_next(self) -> None:
        """Write a heartbeat over the row as it is known here."""
        self.last = self.next_heartbeat()
        # The table of agents tells what a lost answer did not, without a further call.
        told = self.tracker.peers.row_version(self.local_engine.identity.name)
        expected = max(self.version, told)
        outcome = await self.commit_last(expected)
        if isinstance(outcome, Conflict):
            await self.resolve_conflict(expected)

    async def commit_last(self, expected: int | None) -> Written:
        """Write what is to be told, over a version of the row; None for any."""
        name, value = self.local_engine.identity.name, to_row(self.last)
        write = Write(AGENTS, name, value, expected, part=heartbeat_part(name))
        outcome = await self.store.commit([write])
        if isinstance(outcome, Committed):
            self.note_written(outcome.version)
        return outcome

    async def resolve_conflict(self, refused: int) -> None:
        """Go on from the row that is there, where a heartbeat was refused.

        One of this process tells that it works: an answer was lost, and no further
        write is needed. Any other is written over at once, also one that cannot be
        read: an agent that is not heard loses its units.

        Parameters
        ----------
        refused : int
            Version that the row does not have; the store may serve an old copy to
            reads.
        """
        name = self.local_engine.identity.name
        row = await self.store.read(AGENTS, name, heartbeat_part(name))
        if not isinstance(row, Row) or row.version <= refused:
            await self.commit_last(None)
        elif row.value.get("session") == self.session:
            self.note_written(row.version)
        else:
            await self.commit_last(row.version)

    def note_written(self, version: int) -> None:
        """Take that a heartbeat stands; the first one's transaction is the fence."""
        self.version = version
        if not self.weights.fence:
            self.weights.fence = version
            logs.event(log, "This agent may give orders.", fence=version)

    def next_heartbeat(self) -> Heartbeat:
        """Return what there is to tell.

        Pace and model are those of one start of the engine; while none is listed, they
        stay as they were told.
        """
        server = self.local_engine.server
        start = server.start if server else self.last.server_start
        known = self.last_for_start(start)
        beat = self.last.beat + 1 if self.last.session == self.session else 1
        return Heartbeat(
            session=self.session,
            beat=beat,
            pace=round(self.pace.current(), 5),
            usual=round(self.usual(known), 5),
            engine=start.id,
            born=start.born,
            places=self.free_slots(),
            home=self.weights.assigned_model() or known.home,
        )

    def usual_pace(self) -> float:
        """Return the engine's usual pace, as an earlier process knew it if need be."""
        server = self.local_engine.server
        return self.usual(
            self.last_for_start(server.start) if server else Heartbeat("")
        )

    def usual(self, known: Heartbeat) -> float:
        """Return the usual pace as measured here, or else as it was told."""
        return self.pace.usual() or known.usual

    def last_for_start(self, start: ServerStart) -> Heartbeat:
        """Return what was told last of a start of the engine; empty of another one."""
        return self.last if start == self.last.server_start else Heartbeat("")


def heartbeat_period(agents: int, store_writes: float) -> float:
    """Return the seconds between two heartbeats of an agent, in a fleet of so many."""
    return max(HEARTBEAT_PERIOD, agents / (HEARTBEAT_SHARE * store_writes))


def heartbeat_part(agent: str) -> str:
    """Return the part of the store in which the heartbeats of an agent lie."""
    return str(zlib.crc32(agent.encode()) % HEARTBEAT_PARTS)
