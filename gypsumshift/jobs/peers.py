"""Peers: the other agents, as their heartbeats tell of them.

The decision answers hosts that are lost in the midst of a step: once nothing was heard
of one for a while, who would take its units over asks it (`presence.py`), and takes
them where it does not answer. Nobody is judged by a silence in which nothing could be
heard: while the store is away, no heartbeat comes from anyone.
"""

import enum
import math
from collections.abc import Callable, Collection

import attrs

from gypsumshift.clock import Clock
from gypsumshift.jobs.pace import is_slower
from gypsumshift.jobs.placement import EngineView
from gypsumshift.jobs.records import Claim, Heartbeat, parse_row
from gypsumshift.platforms import ABSENT, Row
from gypsumshift.serving.directory import ServerStart

__all__ = ["HEARTBEAT_TIMEOUT", "Peers", "HolderState"]

# Seconds without a heartbeat after which an agent is asked whether it works. Of a host
# that is lost with the longest items of a step, each second counts: with 2.6 s they
# ended 10.9 s after their step came (logs of a play). Three heartbeats of a small
# fleet; in a large one, agents beat less often and are asked more.
HEARTBEAT_TIMEOUT = 1.2
# Seconds since the table of agents was last told within which a silence counts. Less
# than `SILENCE` by more than a heartbeat, so that nobody is missed between the last
# heartbeat and an outage: agents took each other's units over in the moment of the
# store's return (12 units in three plays with 5 engines), and what had been generated
# meanwhile was lost.
MAX_TABLE_AGE = 0.7


@attrs.define
class PeerState:
    """Heartbeat of one agent as seen here.

    Attributes
    ----------
    session : str
    at : float
        When it changed last, by the monotonic clock, in seconds.
    beat : Heartbeat
    version : int
        Of its row; 0 where none was read.
    since : float
        When its session was heard first, by the monotonic clock, in seconds.
    """

    session: str
    seen_at: float
    heartbeat: Heartbeat = Heartbeat("")
    version: int = ABSENT
    first_seen_at: float = attrs.field(
        default=attrs.Factory(lambda p: p.seen_at, takes_self=True)
    )

    @property
    def pace(self) -> float:
        """Seconds between two events at its engine now; 0 for unknown."""
        return self.heartbeat.pace


class HolderState(enum.Enum):
    """What is believed of the agent that holds a claim."""

    WORKS = "works"
    SILENT = "silent"
    GONE = "gone"


class Peers:
    """What is known of the agents.

    Parameters
    ----------
    session : str
        Start of this agent.
    clock : Clock
    listened_at : callable or None
        Returns when the table of agents was last told, by the monotonic clock, in
        seconds; by default it is told all the time.

    Attributes
    ----------
    heard : bool
        Whether the table of agents was read.
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

    def apply_rows(self, rows: list[Row]) -> None:
        """Take rows of the table of agents.

        Those that are known are left out: in a table that is read anew, the last
        heartbeat of a lost host would be a sign of life for another 1.2 s.
        """
        self.table_read = True
        for row in rows:
            if row.version > self.row_version(row.key):
                self.apply_newer_row(row)

    def apply_newer_row(self, row: Row) -> None:
        """Take a row that was written after the one known; without a value, its end."""
        removed = row.value is None
        beat = Heartbeat("") if removed else parse_row(row, Heartbeat)
        if beat is None:
            return
        now, known = self.clock.monotonic(), self.states.get(row.key)
        same = known is not None and known.session == beat.session
        since = known.first_seen_at if same else now
        self.states[row.key] = PeerState(beat.session, now, beat, row.version, since)

    def note_store_recovered(self) -> None:
        """Take that nothing could be heard until now."""
        self.recovered_at = self.clock.monotonic()

    def holder_state(
        self, claim: Claim, seen_at: float, version: int = ABSENT
    ) -> HolderState:
        """Return whether the agent that holds a claim works on it, as far as is known.

        A claim is itself a sign of life, and heartbeats that could not be heard
        while the store was away say nothing: without these two, agents that were
        cut off together took each other's units over at once when they returned.

        Parameters
        ----------
        claim : Claim
        seen_at : float
            When it was told here, by the monotonic clock, in seconds.
        version : int
            Of its row. Where claim and heartbeat tell of two processes, the row that
            was written last tells of the one that lives, whichever was told last here.
        """
        if claim.session == self.session:
            return HolderState.WORKS
        heard, pulse = seen_at, self.states.get(claim.agent)
        if pulse is not None and pulse.session == claim.session:
            heard = max(heard, pulse.seen_at)
        elif pulse is not None and pulse.version > version:
            return HolderState.GONE
        audible = self.is_within_timeout(max(heard, self.recovered_at))
        return HolderState.WORKS if audible else HolderState.SILENT

    def note_alive(self, claim: Claim) -> None:
        """Take that the holder of a claim said itself that it works."""
        now = self.clock.monotonic()
        pulse = self.states.setdefault(claim.agent, PeerState(claim.session, now))
        if pulse.session == claim.session:
            pulse.seen_at = now

    def is_within_timeout(self, at: float) -> bool:
        """Tell whether a sign of life is younger than the silence that counts.

        Time in which the table of agents was not told is left out at its end.
        """
        now, listened = self.clock.monotonic(), self.table_current_at()
        until = now if now - listened < MAX_TABLE_AGE else listened
        return until - at < HEARTBEAT_TIMEOUT

    def is_recent(self, at: float) -> bool:
        """Tell whether what an agent told is young enough to hold now."""
        return self.clock.monotonic() - at < HEARTBEAT_TIMEOUT

    def free_since(self, claim: Claim, seen_at: float) -> float:
        """Return when a claim became free whose holder is not alive, in seconds."""
        pulse = self.states.get(claim.agent)
        if pulse is not None and pulse.session != claim.session:
            # Not its last heartbeat: one comes each 0.4 s, and long items that are left
            # to faster engines for a second (`LEAVE_LONG`) would be left for good.
            return max(seen_at, pulse.first_seen_at)
        told = max(seen_at, pulse.seen_at if pulse else 0.0)
        return max(told, self.recovered_at) + HEARTBEAT_TIMEOUT if claim.agent else told

    def paces(self) -> list[float]:
        """Return the known paces of the other agents' engines."""
        return [
            pulse.pace
            for pulse in self.states.values()
            if pulse.session != self.session
            and pulse.pace
            and self.is_recent(pulse.seen_at)
        ]

    def last_heartbeat(self, agent: str) -> Heartbeat:
        """Return what an agent told last; an empty heartbeat where it told nothing."""
        pulse = self.states.get(agent)
        return pulse.heartbeat if pulse else Heartbeat("")

    def row_version(self, agent: str) -> int:
        """Return the version of the row that an agent told last; 0 for none."""
        pulse = self.states.get(agent)
        return pulse.version if pulse else ABSENT

    def engine_views(self) -> dict[ServerStart, EngineView]:
        """Return what agents told last of their engines, by the engine's start."""
        beats = [
            p.heartbeat for p in sorted(self.states.values(), key=lambda p: p.seen_at)
        ]
        return {b.server_start: EngineView(b.engine, b.home, b.usual) for b in beats}

    def faster_engines(self, usual: float, engines: Collection[str]) -> list[Heartbeat]:
        """Return what agents tell whose engines are built faster than one.

        Parameters
        ----------
        usual : float
            Usual pace of that one; see `Pace.usual`.
        engines : collection of str
            Ids of the engines among which to look.
        """
        return [
            pulse.heartbeat
            for pulse in self.states.values()
            if pulse.heartbeat.engine in engines
            and self.is_recent(pulse.seen_at)
            and is_slower(usual, pulse.heartbeat.usual)
        ]
