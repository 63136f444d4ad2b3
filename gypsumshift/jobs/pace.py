"""Pace: whether an engine generates much more slowly than its peers.

The decision answers stragglers: a slow engine holds a few items of most groups, and a
step is whole only when nine of ten groups are. Moving an item costs reading its prompt
again, some 10 ms; leaving it on an engine that is three times as slow costs seconds.
"""

import collections

from gypsumshift.clock import Clock

__all__ = ["Pace", "is_slow", "is_slower"]

# Seconds of gaps between events that count: about the length of an item.
WINDOW = 1.5
# Gaps that are needed for a figure: below, a single pause would decide.
MIN_GAPS = 10
# Seconds of them that are needed. An engine that begins a dozen items with new weights
# reads all their prompts anew, and gaps are two to three times as long for 0.2 s: two
# healthy engines of five were taken for slow and handed 12 items over.
MIN_SPAN = 0.5
# Full engines generate half as fast again as idle ones; slow ones were seen to take
# 2.5 to 4 times as long.
SLOW_FACTOR = 2.0
# Seconds of which an engine's best pace counts: it is told from how full the engine is,
# and from weights that it loads.
USUAL_WINDOW = 10.0
# A full engine generates a tenth slower than an empty one; engines that are built
# slower were seen to take 1.28 times as long.
SLOWER_FACTOR = 1.17
# Peers that are needed to tell what is usual.
MIN_PEERS = 2


class Pace:
    """Median time between two events of one stream, over an engine's streams.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.gaps: collections.deque[tuple[float, float]] = collections.deque()
        self.medians: collections.deque[tuple[float, float]] = collections.deque()
        self.best = 0.0

    def record_gap(self, gap: float) -> None:
        """Take the seconds between two events of one stream."""
        self.gaps.append((self.clock.monotonic(), gap))

    def clear_gaps(self) -> None:
        """Forget all gaps: what made them has ended."""
        self.gaps.clear()

    def reset(self) -> None:
        """Forget everything: another engine is there."""
        self.gaps.clear()
        self.medians.clear()
        self.best = 0.0

    def usual(self) -> float:
        """Return the best median of its last busy seconds; 0 where none is known."""
        now, value = self.clock.monotonic(), self.current()
        if value:
            self.medians.append((now, value))
        while self.medians and self.medians[0][0] < now - USUAL_WINDOW:
            self.medians.popleft()
        if self.medians:
            self.best = min(median for _, median in self.medians)
        return self.best

    def current(self) -> float:
        """Return the median gap in seconds; 0 where too few are known."""
        horizon = self.clock.monotonic() - WINDOW
        while self.gaps and self.gaps[0][0] < horizon:
            self.gaps.popleft()
        if len(self.gaps) < MIN_GAPS:
            return 0.0
        if self.clock.monotonic() - self.gaps[0][0] < MIN_SPAN:
            return 0.0
        return sorted(gap for _, gap in self.gaps)[len(self.gaps) // 2]


def is_slow(own: float, peers: list[float]) -> bool:
    """Tell whether a pace is far behind the median of the peers' paces.

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
    """Tell whether an engine is built slower than a peer, by their usual paces."""
    return bool(own and peer) and own > SLOWER_FACTOR * peer
