"""Load that a process expects at a server, where servers report their slowdown."""

import random

import attrs

__all__ = ["ExpectedLoad"]


@attrs.frozen
class ExpectedLoad:
    """Load that a process expects at a server when it chooses one.

    Attributes
    ----------
    ahead : float
        Mean number of requests running and waiting there, by reports of some age.
    outstanding : int
        Own requests among them, which are known exactly.
    slots : float
    slowness : float
        How long work takes, relative to the usual time.
    """

    ahead: float
    outstanding: int
    slots: float
    slowness: float

    @property
    def mean_time(self) -> float:
        """Expected time of a request, in usual service times."""
        ahead = max(self.ahead, self.outstanding)
        return (1.0 + ahead / max(self.slots, 1.0)) * self.slowness

    def draw_time(self, chance: random.Random) -> float:
        """Return a random time of a request, in usual service times.

        Many processes see the same figures for some time. Each draws the work ahead
        from the exponential distribution with the reported mean, so that their choices
        are spread in inverse proportion to the work ahead. Without load nothing is
        drawn, and availability zone and idle connections decide.
        """
        ahead = max(self.ahead * chance.expovariate(1.0), self.outstanding)
        return (1.0 + ahead / max(self.slots, 1.0)) * self.slowness
