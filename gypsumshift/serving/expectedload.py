"""Load that a process expects at a server, where servers report their slowdown."""

import random

import attrs

__all__ = ["MAX_SLOWNESS_FACTOR", "ExpectedLoad"]

# Upper limit of the slowness factor, so that a slow server still gets a request from
# time to time and is measured again.
MAX_SLOWNESS_FACTOR = 8.0
# Share of the choices in which a reported slowdown is taken to hold still. If all did,
# processes that see the same figures would leave a slow server together: in a
# simulation of 200 requests per second over three servers of six slots, on figures 0.1
# to 0.6 s old, 46 of 15,172 missed an objective of 0.167 s; with this share 13 did.
REPORT_HOLDS_SHARE = 0.75


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
        Measured answer time over the reported slowdown, relative to the usual one.
    slowdown, average_slowdown : float
        Slowdown by the newest report, and on average.
    """

    ahead: float
    outstanding: int
    slots: float
    slowness: float
    slowdown: float
    average_slowdown: float

    def draw_time(self, chance: random.Random) -> float:
        """Return a random time of a request, in usual service times.

        Many processes see the same figures for some time. Each draws the work ahead
        from the exponential distribution with the reported mean, and whether the
        reported slowdown holds still. Their choices are then spread in inverse
        proportion to the work ahead, and do not all avoid the same server. Without load
        and slowdown nothing differs, and availability zone and idle connections decide.
        """
        ahead = max(self.ahead * chance.expovariate(1.0), self.outstanding)
        holds = chance.random() < REPORT_HOLDS_SHARE
        slowness = self.slowness * (self.slowdown if holds else self.average_slowdown)
        limited = min(max(slowness, 1.0), MAX_SLOWNESS_FACTOR)
        return (1.0 + ahead / max(self.slots, 1.0)) * limited
