"""Generation pace of a model engine, and comparison with the paces of its peers.

A step of a batch job is complete only when nine of ten groups are, and a slow engine
holds a few items of most groups, so it delays the whole step. Moving an item to
another engine costs reading its prompt again, some 10 ms; leaving it on an engine that
is three times as slow costs seconds.
"""

import collections

from gypsumshift.clock import Clock

__all__ = ["Pace", "is_slow", "is_slower"]

# Seconds for which a gap between two events counts: about the duration of an item.
WINDOW = 1.5
# Gaps required for a median: with fewer, a single pause would determine it.
MIN_GAPS = 10
# Seconds that the gaps have to span. An engine that starts a dozen items with new
# weights reads all their prompts again, and gaps are two to three times as long for
# 0.2 s: two healthy engines of five were classified as slow and handed 12 items over.
MIN_SPAN = 0.5
# Ratio to the peers' median pace above which an engine is slow. Full engines take half
# as long again per event as idle ones; slow engines were seen to take 2.5 to 4 times
# as long.
SLOW_FACTOR = 2.0
# Seconds over which the best pace of an engine is taken, so that neither the engine's
# load nor the loading of weights affects it.
USUAL_WINDOW = 10.0
# Ratio of usual paces above which an engine is slower than a peer. A full engine
# generates a tenth slower than an empty one; engines on slower hardware were seen to
# take 1.28 times as long.
SLOWER_FACTOR = 1.17
# Peers required to determine the usual pace.
MIN_PEERS = 2


class Pace:
    """Median time between two events of one stream, over all streams of an engine.

    Parameters
    ----------
    clock : Clock

    Attributes
    ----------
    gaps : collections.deque
        Time and length of each gap within `WINDOW`, in seconds.
    median : float or None
        Median of the gaps, in seconds; None after a change of the gaps.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.median: float | None = None
        self.gaps: collections.deque[tuple[float, float]] = collections.deque()
        self.medians: collections.deque[tuple[float, float]] = collections.deque()
        self.best = 0.0

    def record_gap(self, gap: float) -> None:
        """Record the seconds between two events of one stream."""
        self.gaps.append((self.clock.monotonic(), gap))
        self.median = None

    def clear_gaps(self) -> None:
        """Discard all gaps, once the streams that they come from have ended."""
        self.gaps.clear()
        self.median = None

    def reset(self) -> None:
        """Discard all measurements, once the engine has started again."""
        self.gaps.clear()
        self.median = None
        self.medians.clear()
        self.best = 0.0

    def slowdown(self) -> float:
        """Return the slowdown that the engine's host reports; 0 if unknown."""
        return 0.0

    def seed_usual(self, usual: float) -> None:
        """Note the usual pace that an earlier process of this agent measured.

        It has no effect here: the measured pace of the last seconds replaces it.
        """

    def usual(self) -> float:
        """Return the lowest median gap within `USUAL_WINDOW`, in seconds; 0 if unknown.

        The last known value is kept while the engine is idle.
        """
        now, value = self.clock.monotonic(), self.current()
        if value:
            self.medians.append((now, value))
        while self.medians and self.medians[0][0] < now - USUAL_WINDOW:
            self.medians.popleft()
        if self.medians:
            self.best = min(median for _, median in self.medians)
        return self.best

    def current(self) -> float:
        """Return the median gap in seconds; 0 where too few gaps are known."""
        horizon = self.clock.monotonic() - WINDOW
        while self.gaps and self.gaps[0][0] < horizon:
            self.gaps.popleft()
            self.median = None
        if len(self.gaps) < MIN_GAPS:
            return 0.0
        if self.clock.monotonic() - self.gaps[0][0] < MIN_SPAN:
            return 0.0
        if self.median is None:
            # Each check of the engine and each plan of a step asks several times.
            self.median = sorted(gap for _, gap in self.gaps)[len(self.gaps) // 2]
        return self.median


def is_slow(own: float, peers: list[float]) -> bool:
    """Return whether a pace is far behind the median of the peers' paces.

    Parameters
    ----------
    own : float
        Seconds between events; 0 for unknown.
    peers : list of float
        Known paces of the other engines.
    """
    if not own or len(peers) < MIN_PEERS:
        return False
    usual = sorted(peers)[len(peers) // 2]
    return own > SLOW_FACTOR * usual


def is_slower(own: float, peer: float) -> bool:
    """Return whether an engine's hardware is slower than a peer's, by usual paces."""
    return bool(own and peer) and own > SLOWER_FACTOR * peer
