"""States of a model engine: which slowness is a fault, and which is not.

A fleet may consist of engines of several builds, on hosts that they share with others.
A slow build with a busy neighbour or a full batch is then further behind the median of
all engines than a fast build that is faulty. An engine is therefore compared with its
own usual pace. A faulty engine costs a trainer seconds for each item that it keeps,
whereas an engine that releases its units for no reason costs the prompts of its items,
and leaves two seconds of its capacity unused.
"""

import enum
import statistics

import attrs

from gypsumshift.clock import Clock
from gypsumshift.jobs.pace import MIN_PEERS, SLOW_FACTOR, SLOWER_FACTOR
from gypsumshift.jobs.usualpace import ADOPT_AFTER, BATCH_SLOWDOWN

__all__ = [
    "EngineObservation",
    "EngineState",
    "EngineStateTracker",
    "PeerPace",
    "Verdict",
]

# Ratio to the expected pace that a busy neighbour does not reach: neighbours were seen
# to make work take 2.5 times as long, faulty engines 3.4 times. It is between the two.
NEIGHBOUR_FACTOR = 2.9
# Seconds for which a ratio above `NEIGHBOUR_FACTOR` has to last. It is less than the
# period of the checks, so the second check confirms it: meanwhile the heartbeats of
# peers that are slow for the same reason arrive. With a third check, 3 of 36 faults of
# 3.4 times were found only after 2.2 s.
CONFIRM_TIME = 0.15
# Seconds for which a ratio above `SLOW_FACTOR` has to last where a neighbour may
# explain it. Five spells of 0.6 s in a row keep the median of 1.5 s high for 2.4 s;
# with a sixth of the time, that is once in an hour and a half at an engine.
LONGEST_INTERFERENCE = 2.4
# The same where the host reports a slowdown that explains it. A host that reports it
# for so long is of no use to the long items of a step, which has 7.5 s.
LONGEST_REPORTED_INTERFERENCE = 5.0
# Ratio below which a faulty engine has recovered: a full batch does not exceed it.
RECOVERED_FACTOR = 1.5
# Ratios to the own usual pace above which an engine becomes slowed, and below which it
# ceases to be: a trainer's longest items end late from half as long again.
SLOWED_FACTOR = 1.7
NOT_SLOWED_FACTOR = 1.4
# Ratio of usual paces below which an engine ceases to be slow hardware; it becomes so
# at `SLOWER_FACTOR`. In between, usual paces vary with the size of the batch.
NOT_SLOWER_FACTOR = 1.1
# Share of the other engines whose paces have to be known before they say which builds
# there are. With fewer, the first two reports of a mixed fleet may be of one build.
MIN_KNOWN_SHARE = 0.5
# Number of peers that suffices in any case. Agents of large fleets send heartbeats less
# often, and only some are recent; eight engines of three builds are hardly all of one.
ENOUGH_PEERS = 8
# Ratio of the usual paces of the slowest and the fastest peer up to which the median of
# all engines decides: with a full batch, the slowest one is then still below
# `SLOW_FACTOR`.
UNIFORM_SPREAD = SLOW_FACTOR / (1 + BATCH_SLOWDOWN)


class EngineState(enum.Enum):
    """State of an engine. Only a faulty one releases its units and pauses."""

    NORMAL = "normal"
    SLOW_HARDWARE = "slow hardware"
    SLOWED = "slowed"
    FAULTY = "faulty"


@attrs.frozen
class PeerPace:
    """Paces of another engine, from its agent's recent heartbeat.

    Attributes
    ----------
    current, usual : float
        Current and usual seconds between two events; 0 for unknown.
    faulty : bool
        Whether its agent found it to be faulty.
    """

    current: float
    usual: float
    faulty: bool = False


@attrs.frozen
class EngineObservation:
    """Figures of an engine and its peers that determine the engine's state.

    Attributes
    ----------
    current : float
        Current seconds between two events; 0 for unknown.
    usual : float
        Usual seconds between two events; 0 for unknown.
    usual_age : float
        Seconds since the usual pace was first known.
    batch_factor : float
        How much longer events may take now because of a larger batch.
    loading : bool
        Whether the engine loads weights.
    engines : int
        Number of engines of the fleet, this one included.
    peers : tuple of PeerPace
    unexplained : float
        Current seconds between two events without the slowdown that the engine's host
        reports; 0 for unknown.
    """

    current: float
    usual: float
    usual_age: float = 0.0
    batch_factor: float = 1.0
    loading: bool = False
    engines: int = 0
    peers: tuple[PeerPace, ...] = ()
    unexplained: float = 0.0

    @property
    def peer_usuals(self) -> list[float]:
        """Usual paces of the peers that are not faulty, fastest first.

        The current pace stands in for an unknown usual one, which is no higher.
        """
        paces = (p.usual or p.current for p in self.peers if not p.faulty)
        return sorted(pace for pace in paces if pace)

    @property
    def knows_fleet(self) -> bool:
        """Whether enough peers are known to say which builds there are."""
        known = len(self.peer_usuals)
        needed = min(ENOUGH_PEERS, MIN_KNOWN_SHARE * (self.engines - 1))
        return known >= max(MIN_PEERS, needed)

    @property
    def is_uniform_fleet(self) -> bool:
        """Whether all engines are of similar builds, as far as known.

        An engine whose own pace differs counts as one of them until it has kept that
        pace for `ADOPT_AFTER`.
        """
        usuals = self.peer_usuals
        if not self.knows_fleet or usuals[-1] > UNIFORM_SPREAD * usuals[0]:
            return False
        differs = self.usual > UNIFORM_SPREAD * usuals[-1]
        return not (differs and self.usual_age >= ADOPT_AFTER)

    @property
    def peer_median(self) -> float:
        """Median of the peers' current paces; 0 if too few are known."""
        paces = [peer.current for peer in self.peers if peer.current]
        return sorted(paces)[len(paces) // 2] if len(paces) >= MIN_PEERS else 0.0

    @property
    def peer_excess(self) -> float:
        """How much longer events of the peers take than full batches explain.

        It is the median ratio of their current to their usual paces, so that what slows
        all engines down is not taken for a fault of each.
        """
        ratios = [p.current / p.usual for p in self.peers if p.current and p.usual]
        if len(ratios) < MIN_PEERS:
            return 1.0
        return max(1.0, statistics.median(ratios) / (1 + BATCH_SLOWDOWN))

    @property
    def reference(self) -> float:
        """Pace that the engine should have at rest; 0 if unknown.

        It is the engine's own usual pace, unless that is far above the slowest healthy
        build: an engine that is slow from its first event on has no better history.
        """
        usuals = self.peer_usuals
        if not self.knows_fleet or self.usual_age >= ADOPT_AFTER:
            return self.usual
        slowest = usuals[-1]
        return self.usual if 0 < self.usual <= SLOW_FACTOR * slowest else slowest

    @property
    def ratio(self) -> float:
        """Current pace relative to the one that is expected now; 0 if unknown.

        In a uniform fleet, the median pace of the others is expected.
        """
        if not self.is_uniform_fleet:
            return self.reference_ratio
        return self.current / self.peer_median if self.peer_median else 0.0

    @property
    def reference_ratio(self) -> float:
        """Current pace relative to the reference; 0 if unknown.

        What a larger batch explains is expected, and what slows the other engines down
        as well.
        """
        expected = self.reference * self.batch_factor * self.peer_excess
        return self.current / expected if expected else 0.0

    @property
    def unexplained_share(self) -> float:
        """Share of the current pace that the reported slowdown does not explain."""
        if not self.current or not self.unexplained:
            return 1.0
        return self.unexplained / self.current

    @property
    def is_explained(self) -> bool:
        """Whether the engine is slow only by what its host reports."""
        return bool(
            self.unexplained
            and self.ratio > SLOW_FACTOR
            and self.ratio * self.unexplained_share <= SLOW_FACTOR
        )

    @property
    def own_ratio(self) -> float:
        """Current pace relative to the engine's own usual one; 0 if unknown."""
        return self.current / self.usual if self.usual else 0.0


@attrs.frozen
class Verdict:
    """Result of a check of an engine's state.

    Attributes
    ----------
    state, previous : EngineState
    reason : str
    release : bool
        Whether the engine is to release its units and to pause.
    """

    state: EngineState
    previous: EngineState
    reason: str
    release: bool


class EngineStateTracker:
    """Determines the state of one engine from successive observations.

    Parameters
    ----------
    clock : Clock

    Attributes
    ----------
    state : EngineState
    held_since : dict
        Since when a condition has held without interruption, by its reason.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.state = EngineState.NORMAL
        self.held_since: dict[str, float] = {}

    def reset(self) -> None:
        """Discard the state, once the engine has started again."""
        self.state = EngineState.NORMAL
        self.held_since.clear()

    def update(self, seen: EngineObservation) -> Verdict:
        """Return the state after an observation, and whether to release all units.

        Units are released only where other engines are known to be able to run them.
        """
        previous = self.state
        reason = "no current pace is known"
        if seen.current:
            self.state, reason = self.next_state(seen)
        release = (
            bool(seen.current and seen.peer_usuals)
            and not seen.loading
            and self.state is EngineState.FAULTY
            and seen.ratio > SLOW_FACTOR
        )
        return Verdict(self.state, previous, reason, release)

    def next_state(self, seen: EngineObservation) -> tuple[EngineState, str]:
        """Return the next state and the reason for it."""
        fault = self.find_fault(seen)
        if fault:
            return EngineState.FAULTY, fault
        if self.state is EngineState.FAULTY and seen.ratio > RECOVERED_FACTOR:
            return EngineState.FAULTY, "not recovered"
        slowed = self.state is EngineState.SLOWED
        if seen.own_ratio > (NOT_SLOWED_FACTOR if slowed else SLOWED_FACTOR):
            return EngineState.SLOWED, "explained, or too short for a fault"
        slower = self.state is EngineState.SLOW_HARDWARE
        factor = NOT_SLOWER_FACTOR if slower else SLOWER_FACTOR
        if seen.peer_usuals and seen.usual > factor * seen.peer_usuals[0]:
            return EngineState.SLOW_HARDWARE, "near its own usual pace"
        return EngineState.NORMAL, "like its peers"

    def find_fault(self, seen: EngineObservation) -> str:
        """Return why the engine is faulty; an empty string if it is not."""
        if seen.loading:
            self.held_since.clear()
            return ""
        if seen.is_uniform_fleet and not seen.is_explained:
            self.held_since.clear()
            slow = seen.ratio > SLOW_FACTOR
            return "far behind engines of its build" if slow else ""
        ratio = seen.reference_ratio
        unexplained = ratio * seen.unexplained_share if seen.unexplained else 0.0
        longest = (
            LONGEST_REPORTED_INTERFERENCE if seen.is_explained else LONGEST_INTERFERENCE
        )
        conditions = (
            ("more than a neighbour explains", ratio > NEIGHBOUR_FACTOR, CONFIRM_TIME),
            ("not reported by its host", unexplained > SLOW_FACTOR, CONFIRM_TIME),
            ("lasting", ratio > SLOW_FACTOR, longest),
        )
        # Each condition is checked, so that all their times are kept.
        found = [name for name, *rest in conditions if self.has_held(name, *rest)]
        return found[0] if found else ""

    def has_held(self, name: str, holds: bool, seconds: float) -> bool:
        """Return whether a condition holds and has done so for a time."""
        if not holds:
            self.held_since.pop(name, None)
            return False
        now = self.clock.monotonic()
        return now - self.held_since.setdefault(name, now) >= seconds
