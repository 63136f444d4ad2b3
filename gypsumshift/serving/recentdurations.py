"""Recent durations: how long the requests of each route have lately taken."""

from gypsumshift.clock import Clock

__all__ = ["RecentDurations"]

# Length of the windows, of which the current and the previous one are kept.
WINDOW_SECONDS = 30.0


class RecentDurations:
    """Longest duration of each name within the last one to two windows.

    Parameters
    ----------
    clock : Clock

    Attributes
    ----------
    current, previous : dict of str to float
        Longest durations of a window by name, in seconds.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.current: dict[str, float] = {}
        self.previous: dict[str, float] = {}
        self.began_at = clock.monotonic()

    def record(self, name: str, seconds: float) -> None:
        """Record a duration."""
        self.advance()
        self.current[name] = max(seconds, self.current.get(name, 0.0))

    def longest(self, name: str) -> float | None:
        """Return the longest recent duration in seconds; None if there is none."""
        self.advance()
        known = [w[name] for w in (self.current, self.previous) if name in w]
        return max(known, default=None)

    def advance(self) -> None:
        """Begin a new window if the current one has ended."""
        elapsed = self.clock.monotonic() - self.began_at
        if elapsed < WINDOW_SECONDS:
            return
        self.previous = self.current if elapsed < 2 * WINDOW_SECONDS else {}
        self.current = {}
        self.began_at = self.clock.monotonic()
