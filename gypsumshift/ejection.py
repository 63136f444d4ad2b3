"""Policy of ejecting servers that fail: how many at once, and for how long."""

import random

import attrs

__all__ = ["EjectionPolicy"]

# Share by which a pause is lengthened or shortened at random, so that many processes do
# not return to a server at the same moment.
PAUSE_JITTER = 0.2


@attrs.frozen
class EjectionPolicy:
    """Limits on the number and duration of ejections.

    Attributes
    ----------
    first_pause_s : float
        Seconds of the first ejection; each further one without a success in between
        doubles it.
    max_pause_s : float
        Longest ejection, before the random variation.
    max_share : float
        Share of the servers that may be ejected at once; one always may.
    """

    first_pause_s: float
    max_pause_s: float
    max_share: float

    def may_eject(self, ejected: int, total: int) -> bool:
        """Return whether one more of ``total`` servers may be ejected.

        Parameters
        ----------
        ejected : int
            Servers that are ejected already.
        total : int
        """
        return ejected + 1 <= max(1, self.max_share * total)

    def pause_seconds(self, ejections: int, chance: random.Random) -> float:
        """Return the seconds to eject a server that had ``ejections`` in a row."""
        pause = min(self.first_pause_s * 2**ejections, self.max_pause_s)
        return pause * chance.uniform(1 - PAUSE_JITTER, 1 + PAUSE_JITTER)
