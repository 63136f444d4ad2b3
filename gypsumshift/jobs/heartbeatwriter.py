"""Writes an agent's heartbeats, with the state of its engine, to the store.

The store may carry a heartbeat out late. A late heartbeat of an agent's previous
process, written over those of the new process, made the claims of the new one look like
those of a dead agent until its next heartbeat (0.4 to 5 s). Each heartbeat is therefore
written on the condition that the row still has the version that the writer knows.
"""

import zlib
from collections.abc import Callable

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.jobs.claimtracker import ClaimTracker
from gypsumshift.jobs.eventsize import EventSize
from gypsumshift.jobs.localengine import LocalEngine
from gypsumshift.jobs.pace import Pace
from gypsumshift.jobs.records import AGENTS, Heartbeat
from gypsumshift.jobs.rowcodec import to_row
from gypsumshift.jobs.weights import WeightManager
from gypsumshift.outcomes import Committed, Conflict, WriteOutcome
from gypsumshift.platforms import ABSENT, Row, RowStore, Write
from gypsumshift.serving.directory import ServerStart

__all__ = ["STORE_WRITES", "HeartbeatWriter", "heartbeat_part", "heartbeat_period"]

# Seconds between heartbeats of an agent in a small fleet: an agent is probed once three
# are missing.
HEARTBEAT_PERIOD = 0.4
# Share of the store's writes that the heartbeats of all agents may take together. With
# a period of 0.4 s for every size of fleet, 1,280 agents would take all 3,200 writes a
# second of a large store; so the period grows beyond 128 agents (to 5 s with 1,600).
HEARTBEAT_SHARE = 0.1
# Parts of the store over which heartbeats are distributed. A part takes 200
# transactions a second, and a tenth of the largest store's writes is 320.
HEARTBEAT_PARTS = 8
# Writes a second that the store is assumed to take where the settings name no figure:
# that of the smallest store.
STORE_WRITES = 800.0
# Seconds between checks whether the table of agents was read.
READ_PERIOD = 0.025

log = logs.logger("agent")


class HeartbeatWriter:
    """Writes the heartbeats of one agent.

    Parameters
    ----------
    session : str
        Session of the agent.
    local_engine : LocalEngine
    weights : WeightManager
        Receives its fence, the number of the first heartbeat's transaction.
    tracker : ClaimTracker
    pace : Pace
    store : RowStore
    clock : Clock
    free_slots : callable
        Returns the number of items that the engine could take now.
    store_writes : float
        Writes a second that the store takes from all processes.
    engine_state : callable
        Returns the value of the engine's `EngineState`; empty if unknown.
    event_size : EventSize or None

    Attributes
    ----------
    last_heartbeat : Heartbeat
        Last heartbeat of the agent, stored or not; at first that of its previous
        process.
    version : int
        Version of its row, as far as the store's answers name it; 0 for none.
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
        engine_state: Callable[[], str] = lambda: "",
        event_size: EventSize | None = None,
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
        self.engine_state = engine_state
        self.event_size = event_size or EventSize()
        self.last_heartbeat = Heartbeat("")
        self.version = ABSENT

    async def run(self) -> None:
        """Write heartbeats until cancelled.

        The last heartbeat of the agent's previous process is read first. Without it,
        the first heartbeat would lose the engine's model: after a restart of all hosts,
        half of the engines changed theirs.
        """
        while not self.tracker.peers.table_read:
            await self.clock.sleep(READ_PERIOD)
        self.last_heartbeat = self.tracker.peers.last_heartbeat(
            self.local_engine.identity.name
        )
        while True:
            await self.write_heartbeat()
            # Agents in evacuated zones write heartbeats as well.
            agents = len(self.local_engine.directory.all_ready_engines())
            await self.clock.sleep(heartbeat_period(agents, self.store_writes))

    async def write_heartbeat(self) -> None:
        """Write a heartbeat if the row still has the last version known here."""
        self.last_heartbeat = self.next_heartbeat()
        # The table of agents contains a version whose answer was lost, without another
        # call of the store.
        table_version = self.tracker.peers.row_version(self.local_engine.identity.name)
        expected = max(self.version, table_version)
        outcome = await self.commit_heartbeat(expected)
        if isinstance(outcome, Conflict):
            await self.resolve_conflict(expected)

    async def commit_heartbeat(self, expected: int | None) -> WriteOutcome:
        """Write the heartbeat if its row has the expected version; None for any one."""
        name, value = self.local_engine.identity.name, to_row(self.last_heartbeat)
        write = Write(AGENTS, name, value, expected, part=heartbeat_part(name))
        outcome = await self.store.commit([write])
        if isinstance(outcome, Committed):
            self.note_written(outcome.version)
        return outcome

    async def resolve_conflict(self, refused: int) -> None:
        """Read the stored row after a conflict, and replace it where necessary.

        A row of this process already shows that it works: an answer was lost, and no
        further write is needed. Any other row is replaced at once, also one that cannot
        be read, since an agent without heartbeats loses its units.

        Parameters
        ----------
        refused : int
            Version that the row does not have. The store may serve reads from an old
            copy that still has it.
        """
        name = self.local_engine.identity.name
        row = await self.store.read(AGENTS, name, heartbeat_part(name))
        if not isinstance(row, Row) or row.version <= refused:
            await self.commit_heartbeat(None)
        elif row.value.get("session") == self.session:
            self.note_written(row.version)
        else:
            await self.commit_heartbeat(row.version)

    def note_written(self, version: int) -> None:
        """Record a stored heartbeat; the version of the first one is the fence."""
        self.version = version
        if not self.weights.fence:
            self.weights.fence = version
            logs.event(
                log,
                "First heartbeat stored; this agent may send orders to its engine.",
                fence=version,
            )

    def next_heartbeat(self) -> Heartbeat:
        """Return the heartbeat to write next.

        Pace and model belong to one start of the engine; while none is listed, those of
        the last heartbeat are kept.
        """
        server = self.local_engine.server
        start = server.start if server else self.last_heartbeat.server_start
        known = self.last_heartbeat_for(start)
        beat = (
            self.last_heartbeat.beat + 1
            if self.last_heartbeat.session == self.session
            else 1
        )
        return Heartbeat(
            session=self.session,
            beat=beat,
            pace=round(self.pace.current(), 5),
            usual=round(self.usual(known), 5),
            engine=start.id,
            born=start.born,
            places=self.free_slots(),
            home=self.weights.assigned_model() or known.home,
            state=self.engine_state(),
            slowdown=round(self.pace.slowdown(), 2),
            event_tokens=round(self.event_size.tokens_per_event(), 3),
        )

    def usual_pace(self) -> float:
        """Return the engine's usual pace, by default that of the last heartbeat."""
        server = self.local_engine.server
        return self.usual(
            self.last_heartbeat_for(server.start) if server else Heartbeat("")
        )

    def usual(self, known: Heartbeat) -> float:
        """Return the measured usual pace, or else that of a heartbeat."""
        self.pace.seed_usual(known.usual)
        return self.pace.usual() or known.usual

    def last_heartbeat_for(self, start: ServerStart) -> Heartbeat:
        """Return the last heartbeat if it is about this start; else an empty one."""
        return (
            self.last_heartbeat
            if start == self.last_heartbeat.server_start
            else Heartbeat("")
        )


def heartbeat_period(agents: int, store_writes: float) -> float:
    """Return the seconds between two heartbeats of an agent, by size of the fleet."""
    return max(HEARTBEAT_PERIOD, agents / (HEARTBEAT_SHARE * store_writes))


def heartbeat_part(agent: str) -> str:
    """Return the part of the store that holds the heartbeats of an agent."""
    return str(zlib.crc32(agent.encode()) % HEARTBEAT_PARTS)
