"""Liveness and engine state of the other agents, from their heartbeats.

If a host is lost in the middle of a step, another agent that wants to take its units
over first sends it a liveness probe (`liveness.py`), once it has sent no heartbeat for
`HEARTBEAT_TIMEOUT`, and takes the units over if the probe fails. Time in which no
heartbeat could be received does not count: while the store is unavailable, none
arrives from any agent.
"""

import enum
import math
from collections.abc import Callable, Collection

import attrs

from gypsumshift.clock import Clock
from gypsumshift.jobs.enginestate import EngineState, PeerPace
from gypsumshift.jobs.pace import is_slower
from gypsumshift.jobs.placement import EngineView
from gypsumshift.jobs.records import Claim, Heartbeat
from gypsumshift.jobs.rowcodec import parse_row
from gypsumshift.platforms import ABSENT, Row
from gypsumshift.serving.directory import ServerStart

__all__ = ["HEARTBEAT_TIMEOUT", "HolderState", "Peers"]

# Seconds without a heartbeat after which an agent is probed. When a host is lost with
# the longest items of a step, each second counts: with 2.6 s these items ended 10.9 s
# after their step had arrived. The value is three heartbeats of a small fleet; agents
# of a large fleet send fewer heartbeats and are probed more often.
HEARTBEAT_TIMEOUT = 1.2
# Age of the table of agents, in seconds since its last update, up to which a missing
# heartbeat counts. It is less than `HEARTBEAT_TIMEOUT` by more than a heartbeat
# period, so that no agent times out between its last heartbeat and an outage of the
# store: agents took each other's units over when the store returned (12 units in three
# runs with 5 engines), and what had been generated meanwhile was lost.
MAX_TABLE_AGE = 0.7


@attrs.define
class PeerState:
    """Last heartbeat of one agent, with the time of its receipt.

    Attributes
    ----------
    session : str
    seen_at : float
        When it last changed, by the monotonic clock, in seconds.
    heartbeat : Heartbeat
    version : int
        Version of its row; 0 where none was read.
    first_seen_at : float
        When its session was first seen, by the monotonic clock, in seconds.
    """

    session: str
    seen_at: float
    heartbeat: Heartbeat = Heartbeat("")
    version: int = ABSENT
    first_seen_at: float = attrs.field(
        default=attrs.Factory(lambda state: state.seen_at, takes_self=True)
    )

    @property
    def pace(self) -> float:
        """Current seconds between two events at its engine; 0 for unknown."""
        return self.heartbeat.pace


class HolderState(enum.Enum):
    """Liveness of the agent that holds a claim, as observed by this agent.

    ``SILENT`` agents have sent no heartbeat within `HEARTBEAT_TIMEOUT` and have to be
    probed. The session of ``GONE`` agents has ended: a newer row names another one.
    """

    WORKS = "works"
    SILENT = "silent"
    GONE = "gone"


class Peers:
    """Tracks the heartbeats of all agents.

    Parameters
    ----------
    session : str
        Session of this agent.
    clock : Clock
    table_current_at : callable or None
        Returns when the table of agents was last current, by the monotonic clock, in
        seconds; by default it is always current.

    Attributes
    ----------
    states : dict
        `PeerState` by agent name.
    recovered_at : float
        When the store last recovered from an outage, by the monotonic clock.
    table_read : bool
        Whether the table of agents was read.
    revision : int
        Number of changes of the heartbeats or of their times so far.
    """

    def __init__(
        self,
        session: str,
        clock: Clock,
        table_current_at: Callable[[], float] | None = None,
    ):
        self.session = session
        self.clock = clock
        self.table_current_at = table_current_at or clock.monotonic
        self.states: dict[str, PeerState] = {}
        self.recovered_at = -math.inf
        self.table_read = False
        self.revision = 0

    def apply_rows(self, rows: list[Row]) -> None:
        """Apply rows of the table of agents.

        Rows that are not newer than the known ones are ignored: when the table is read
        again as a whole, the last heartbeat of a lost host would count as a sign of
        life for another 1.2 s.
        """
        self.table_read = True
        for row in rows:
            if row.version > self.row_version(row.key):
                self.apply_newer_row(row)

    def apply_newer_row(self, row: Row) -> None:
        """Apply a row newer than the known one; one without a value removes it."""
        removed = row.value is None
        heartbeat = Heartbeat("") if removed else parse_row(row, Heartbeat)
        if heartbeat is None:
            return
        now, known = self.clock.monotonic(), self.states.get(row.key)
        same = known is not None and known.session == heartbeat.session
        first_seen_at = known.first_seen_at if same else now
        self.revision += 1
        self.states[row.key] = PeerState(
            heartbeat.session, now, heartbeat, row.version, first_seen_at
        )

    def note_store_recovered(self) -> None:
        """Record the time from which heartbeats can be received again."""
        self.recovered_at = self.clock.monotonic()

    def holder_state(
        self, claim: Claim, seen_at: float, version: int = ABSENT
    ) -> HolderState:
        """Return the liveness of the agent that holds a claim.

        The claim itself counts as a heartbeat, and heartbeats that are missing
        because the store was unavailable do not count. Without these two rules, agents
        that had been cut off together took each other's units over at once when they
        returned.

        Parameters
        ----------
        claim : Claim
        seen_at : float
            When the claim was received, by the monotonic clock, in seconds.
        version : int
            Version of the claim's row. Where claim and heartbeat name different
            processes, the row that was written last names the live one, in whichever
            order the two rows were received.
        """
        if claim.session == self.session:
            return HolderState.WORKS
        alive_at, state = seen_at, self.states.get(claim.agent)
        if state is not None and state.session == claim.session:
            alive_at = max(alive_at, state.seen_at)
        elif state is not None and state.version > version:
            return HolderState.GONE
        works = self.is_within_timeout(max(alive_at, self.recovered_at))
        return HolderState.WORKS if works else HolderState.SILENT

    def note_alive(self, claim: Claim) -> None:
        """Record that the holder of a claim answered a liveness probe."""
        now = self.clock.monotonic()
        self.revision += 1
        state = self.states.setdefault(claim.agent, PeerState(claim.session, now))
        if state.session == claim.session:
            state.seen_at = now

    def is_within_timeout(self, at: float) -> bool:
        """Return whether a time is less than `HEARTBEAT_TIMEOUT` ago.

        If the table of agents is out of date, the time since it was last current does
        not count.
        """
        now, current_at = self.clock.monotonic(), self.table_current_at()
        until = now if now - current_at < MAX_TABLE_AGE else current_at
        return until - at < HEARTBEAT_TIMEOUT

    def is_recent(self, at: float) -> bool:
        """Return whether a heartbeat of this time is within `HEARTBEAT_TIMEOUT`."""
        return self.clock.monotonic() - at < HEARTBEAT_TIMEOUT

    def free_since(self, claim: Claim, seen_at: float) -> float:
        """Return when a claim of an agent that is not alive became free, in seconds."""
        state = self.states.get(claim.agent)
        if state is not None and state.session != claim.session:
            # Not the last heartbeat of the new session: one arrives each 0.4 s, and
            # long items, which are left to faster engines for a second
            # (`LONG_UNIT_WAIT`), would be left to them forever.
            return max(seen_at, state.first_seen_at)
        seen = max(seen_at, state.seen_at if state else 0.0)
        return max(seen, self.recovered_at) + HEARTBEAT_TIMEOUT if claim.agent else seen

    def paces(self) -> list[float]:
        """Return the known paces of the other agents' engines."""
        return [
            state.pace
            for state in self.states.values()
            if state.session != self.session
            and state.pace
            and self.is_recent(state.seen_at)
        ]

    def peer_paces(self) -> tuple[PeerPace, ...]:
        """Return the paces of the other engines whose heartbeats are recent."""
        return tuple(
            PeerPace(
                state.heartbeat.pace,
                state.heartbeat.usual,
                state.heartbeat.state == EngineState.FAULTY.value,
            )
            for state in self.states.values()
            if state.session != self.session and self.is_recent(state.seen_at)
        )

    def last_heartbeat(self, agent: str) -> Heartbeat:
        """Return the last heartbeat of an agent; an empty one where there is none."""
        state = self.states.get(agent)
        return state.heartbeat if state else Heartbeat("")

    def row_version(self, agent: str) -> int:
        """Return the version of an agent's last heartbeat row; 0 for none."""
        state = self.states.get(agent)
        return state.version if state else ABSENT

    def heartbeats(self) -> dict[ServerStart, Heartbeat]:
        """Return the last heartbeats, by start of the engine."""
        states = sorted(self.states.values(), key=lambda state: state.seen_at)
        return {state.heartbeat.server_start: state.heartbeat for state in states}

    def engine_views(self) -> dict[ServerStart, EngineView]:
        """Return the engine state in the last heartbeats, by start of the engine."""
        return {
            start: EngineView(beat.engine, beat.home, beat.usual)
            for start, beat in self.heartbeats().items()
        }

    def faster_engines(self, usual: float, engines: Collection[str]) -> list[Heartbeat]:
        """Return the recent heartbeats of agents whose engines are faster than one.

        Parameters
        ----------
        usual : float
            Usual pace of that one; see `Pace.usual`.
        engines : collection of str
            Ids of the engines to consider.
        """
        return [
            state.heartbeat
            for state in self.states.values()
            if state.heartbeat.engine in engines
            and self.is_recent(state.seen_at)
            and is_slower(usual, state.heartbeat.usual)
        ]
