"""Times at which the callers of refused calls are asked to try again."""

import random

from gypsumshift.clock import Clock

__all__ = ["RetrySchedule"]

# A retry sooner than this costs a connection and an answer for little. Retries come at
# the rate at which the servers' queues shorten, so a later start only loses callers.
MIN_RETRY_SECONDS = 0.02
MAX_RETRY_SECONDS = 10.0
# Callers wait for up to this share of the time that they have left. A later place in
# the schedule is not kept for them, since they will not come.
HONOURED_SHARE = 1 / 3


class RetrySchedule:
    """Spreads the retries of refused calls over the time in which they can be served.

    Each refused call gets the next place in a sequence that advances at the rate at
    which this process can send retries, at a random time within that place. Without
    the random time, the first places of all processes would fall together.

    Parameters
    ----------
    clock : Clock
    chance : random.Random

    Attributes
    ----------
    next_at : float
        Start of the next place, by the monotonic clock.
    next_part : float
        Random time within that place, as a part of it. It is drawn once for each place:
        a place that is partly too late would else go to the call that draws early.
    """

    def __init__(self, clock: Clock, chance: random.Random):
        self.clock = clock
        self.chance = chance
        self.next_at = 0.0
        self.next_part = chance.uniform(0.0, 1.0)

    def book(self, calls_per_second: float, time_left: float) -> float:
        """Return the seconds after which a refused call is to be tried again.

        Parameters
        ----------
        calls_per_second : float
            Rate at which this process can send retries.
        time_left : float
            Seconds until the call's deadline.
        """
        now = self.clock.monotonic()
        gap = 1.0 / max(calls_per_second, 1.0 / MAX_RETRY_SECONDS)
        start = max(self.next_at, now + MIN_RETRY_SECONDS)
        seconds = start - now + self.next_part * gap
        if seconds > MAX_RETRY_SECONDS:
            return MAX_RETRY_SECONDS * self.chance.uniform(0.5, 1.0)
        if seconds <= HONOURED_SHARE * time_left:
            self.next_at = start + gap
            self.next_part = self.chance.uniform(0.0, 1.0)
        return seconds
