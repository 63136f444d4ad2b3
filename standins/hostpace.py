"""Pace of the host of a stand-in server: how long work takes there at the moment."""

import abc
import random
import time

__all__ = ["HostPace", "SharedHostPace", "SteadyPace"]

# Time between two changes of a shared host's pace.
CHANGE_PERIOD_S = 0.6
# Slowdown while neighbours use the host, and the share of the time in which they do.
BUSY_SLOWDOWN = 2.5
BUSY_SHARE = 1 / 6


class HostPace(abc.ABC):
    """Pace of a host."""

    @abc.abstractmethod
    def slowdown(self) -> float:
        """Return how long work takes now, in units of the usual time."""


class SteadyPace(HostPace):
    """Pace of a host that is not shared."""

    def slowdown(self) -> float:
        """Return the usual time."""
        return 1.0


class SharedHostPace(HostPace):
    """Pace of a host whose neighbours slow it down from time to time.

    Parameters
    ----------
    name : str
        Determines when it is slow.
    """

    def __init__(self, name: str):
        self.name = name

    def slowdown(self) -> float:
        """Return the slowdown of the current period."""
        period = int(time.monotonic() / CHANGE_PERIOD_S)
        busy = random.Random(f"{self.name} {period}").random() < BUSY_SHARE
        return BUSY_SLOWDOWN if busy else 1.0
