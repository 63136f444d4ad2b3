"""Ejection: for how long a server that failed is avoided, and when it may be."""

import random

import attrs

__all__ = ["EjectionPolicy"]

# The pause is spread by this much either way, so that many processes do not return
# to a server in the same moment.
PAUSE_JITTER = 0.2


@attrs.frozen
class EjectionPolicy:
    """Bounds of ejections.

    Attributes
    ----------
    first : float
        Seconds of the first one; each that follows without a success doubles it.
    most : float
        Seconds at the most.
    share : float
        Part of the servers that may be out at once; one always may.
    """

    first_pause_s: float
    max_pause_s: float
    max_share: float

    def may_eject(self, out: int, total: int) -> bool:
        """Tell whether one more may go out, of which so many are out already."""
        return out + 1 <= max(1, self.max_share * total)

    def pause_seconds(self, ejections: int, chance: random.Random) -> float:
        """Return the seconds to avoid a server after so many ejections in a row."""
        pause = min(self.first_pause_s * 2**ejections, self.max_pause_s)
        return pause * chance.uniform(1 - PAUSE_JITTER, 1 + PAUSE_JITTER)
