"""Pace of an engine that remembers what the engine's hardware does.

`Pace.usual` is the best pace of the last 10 s, so an engine that is faulty for longer
comes to count its faulty pace as usual, and would look healthy to itself. Here, paces
far above the usual one leave it unchanged until they have lasted for a minute.
"""

import collections
import statistics

import attrs

from gypsumshift.clock import Clock
from gypsumshift.jobs.pace import USUAL_WINDOW, WINDOW, Pace
from gypsumshift.jobs.reportedslowdown import ReportedSlowdown

__all__ = ["BATCH_SLOWDOWN", "LastingPace"]

# Share by which an event takes longer in a full batch than alone: a full batch was seen
# to take up to half as long again.
BATCH_SLOWDOWN = 0.5
# Ratio to the usual pace above which a pace does not replace it: more than a full batch
# explains.
UNUSUAL_FACTOR = 1.7
# Seconds for which paces have to be unusual until they count as what the engine's
# hardware does. Slow phases of engines were seen to last for 8 s. After a minute, short
# items are of more use to trainers at a slow engine than nowhere.
ADOPT_AFTER = 60.0
# Least seconds between two samples. The usual pace is asked for at each claim, and the
# median changes little in this time.
SAMPLE_PERIOD = 0.1
# Ratio of the mean gap to the median one above which a median is not used. After a
# freeze of this process, many events are read at once: their median gap is close to 0.
MAX_MEAN_RATIO = 2.0


@attrs.frozen
class PaceSample:
    """A measured pace.

    Attributes
    ----------
    at : float
        Time of the measurement, by the monotonic clock, in seconds.
    pace : float
        Median seconds between two events of a stream.
    streams : float
        Mean number of streams that ran meanwhile.
    """

    at: float
    pace: float
    streams: float


class LastingPace(Pace):
    """Pace whose usual value is kept while the engine is slower for a time.

    Parameters
    ----------
    clock : Clock
    reported : ReportedSlowdown or None
        What the engine's host reports; None for nothing.

    Attributes
    ----------
    unexplained_gaps : collections.deque of float
        For each of `gaps`, what it would be without the reported slowdown.
    samples : list of PaceSample
        Paces of the last `USUAL_WINDOW` that are not unusual.
    measured : bool
        Whether the usual pace was measured by this process.
    best_streams : float
        Mean number of streams that ran when the usual pace was measured; 0 if unknown.
    known_since : float or None
        When a usual pace was first known, by the monotonic clock, in seconds.
    unusual_since : float or None
        Since when all paces have been unusual.
    """

    def __init__(self, clock: Clock, reported: ReportedSlowdown | None = None):
        super().__init__(clock)
        self.reported = reported
        self.unexplained_gaps: collections.deque[float] = collections.deque()
        self.samples: list[PaceSample] = []
        self.measured = False
        self.best_streams = 0.0
        self.known_since: float | None = None
        self.unusual_since: float | None = None

    @property
    def usual_age(self) -> float:
        """Seconds since a usual pace was first known."""
        since = self.known_since
        return 0.0 if since is None else self.clock.monotonic() - since

    def record_gap(self, gap: float) -> None:
        """Record the seconds between two events of one stream."""
        super().record_gap(gap)
        slowdown = (
            self.reported.mean(self.clock.monotonic() - gap) if self.reported else 1.0
        )
        self.unexplained_gaps.append(gap / slowdown)

    def clear_gaps(self) -> None:
        """Discard all gaps, once the streams that they come from have ended."""
        super().clear_gaps()
        self.unexplained_gaps.clear()

    def unexplained(self) -> float:
        """Return the median gap without the reported slowdown, in seconds.

        It is 0 where too few gaps are known, or reports do not apply to all of the time
        in which the gaps were measured.
        """
        if not self.current() or not self.reported:
            return 0.0
        if not self.reported.covers(self.clock.monotonic() - WINDOW):
            return 0.0
        while len(self.unexplained_gaps) > len(self.gaps):
            self.unexplained_gaps.popleft()
        return statistics.median_high(self.unexplained_gaps)

    def slowdown(self) -> float:
        """Return the mean reported slowdown of the last `WINDOW`; 0 if unknown."""
        since = self.clock.monotonic() - WINDOW
        if not self.reported or not self.reported.covers(since):
            return 0.0
        return self.reported.mean(since)

    def reset(self) -> None:
        """Discard all measurements, once the engine has started again."""
        super().reset()
        self.unexplained_gaps.clear()
        if self.reported:
            self.reported.reset()
        self.samples.clear()
        self.measured = False
        self.best_streams = 0.0
        self.known_since = self.unusual_since = None

    def seed_usual(self, usual: float) -> None:
        """Use the usual pace that an earlier process of this agent measured.

        It applies until a pace is measured, and only while the same engine start is
        listed: for another one, ``usual`` is 0.
        """
        if not self.measured and usual != self.best:
            self.best = usual
            self.known_since = self.clock.monotonic() if usual else None

    def usual(self) -> float:
        """Return the lowest pace within `USUAL_WINDOW`, in seconds; 0 if unknown.

        It is kept while the engine is idle, and while all paces are unusual.
        """
        value = self.current()
        if value and self.is_plausible(value) and not self.is_unusual(value):
            self.add_sample(value)
        return self.best

    def add_sample(self, value: float) -> None:
        """Add a measured pace, and update the usual one."""
        now = self.clock.monotonic()
        if self.samples and now - self.samples[-1].at < SAMPLE_PERIOD:
            return
        self.samples.append(PaceSample(now, value, self.streams()))
        self.samples = [s for s in self.samples if s.at >= now - USUAL_WINDOW]
        best = min(self.samples, key=lambda sample: sample.pace)
        self.best, self.best_streams, self.measured = best.pace, best.streams, True
        if self.known_since is None:
            self.known_since = now

    def is_plausible(self, value: float) -> bool:
        """Return whether a median is not the result of events read in a burst."""
        mean = sum(gap for _, gap in self.gaps) / len(self.gaps)
        return mean <= MAX_MEAN_RATIO * value

    def is_unusual(self, value: float) -> bool:
        """Return whether a pace is far above the usual one and is not adopted yet."""
        now = self.clock.monotonic()
        if not self.best or value <= UNUSUAL_FACTOR * self.best:
            self.unusual_since = None
            return False
        if self.unusual_since is None:
            self.unusual_since = now
        if now - self.unusual_since < ADOPT_AFTER:
            return True
        self.samples.clear()
        self.unusual_since = None
        return False

    def streams(self) -> float:
        """Return the mean number of streams over the gaps that count."""
        if not self.gaps:
            return 0.0
        span = self.clock.monotonic() - self.gaps[0][0] + self.gaps[0][1]
        return sum(gap for _, gap in self.gaps) / span

    def batch_factor(self, slots: int) -> float:
        """Return how much longer events may take now, since more streams run.

        It compares with the time when the usual pace was measured.

        Parameters
        ----------
        slots : int
            Number of streams that the engine runs at once.
        """
        if not slots:
            return 1.0
        now, usual = (
            1 + BATCH_SLOWDOWN * min(1.0, streams / slots)
            for streams in (self.streams(), self.best_streams)
        )
        return max(1.0, now / usual)
