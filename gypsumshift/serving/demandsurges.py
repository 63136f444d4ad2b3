"""Workspaces whose demand has grown faster than digests report it.

Digests need 1 to 2 s until every process knows a flood. Until then each process would
send nearly all of its part of it, since the reports of others, made before the flood,
do not contain it. A process therefore assumes that the others receive as many calls of
a surging key as itself, until their reports are newer than the surge.
"""

import math
from collections.abc import Iterable

import attrs

from gypsumshift.serving.demandrecords import ProcessDemand
from gypsumshift.serving.fairshares import ShareKey

__all__ = ["OwnSurges", "Surge", "unreported_places"]

# Time over which arrivals are counted. A gateway receives few calls: of a flood of 180
# calls a second at 30 gateways, two or three of them in this time.
WINDOW_SECONDS = 0.5
# A surge is this many calls in the window, plus a multiple of the expected ones. A key
# with half a call a second exceeds that with one of fifty calls.
MIN_CALLS = 1.5
EXPECTED_FACTOR = 4.0
# A surge ends after this time without such a number of calls.
END_SECONDS = 2.0
# Number of keys that are counted.
MAX_KEYS = 256


@attrs.define
class Surge:
    """Recent arrivals of one key at this process.

    Attributes
    ----------
    calls : float
        Number of calls that decays over the window.
    places : float
        The same in seconds for which they occupy a place.
    updated_at : float
    began_at, last_at : float
        When the present surge began, and when the key last had that many calls;
        infinite and minus infinite without a surge.
    """

    calls: float = 0.0
    places: float = 0.0
    updated_at: float = 0.0
    began_at: float = math.inf
    last_at: float = -math.inf

    def decay(self, now: float) -> None:
        """Let the counts decay until now."""
        factor = math.exp(-max(0.0, now - self.updated_at) / WINDOW_SECONDS)
        self.calls *= factor
        self.places *= factor
        self.updated_at = now
        if now - self.last_at > END_SECONDS:
            self.began_at = math.inf

    @property
    def is_lasting(self) -> bool:
        """Whether there is a surge."""
        return not math.isinf(self.began_at)


class OwnSurges:
    """Keys of one service whose calls have become more frequent at this process.

    Attributes
    ----------
    by_key : dict
        `Surge` by `ShareKey`, also for keys without a surge.
    """

    def __init__(self):
        self.by_key: dict[ShareKey, Surge] = {}

    def record(self, key: ShareKey, places: float, expected: float, now: float) -> bool:
        """Count an arrival; return whether a surge begins with it.

        Parameters
        ----------
        key : ShareKey
        places : float
            Seconds for which the call occupies a place.
        expected : float
            Usual demand of the key at one process, in places.
        now : float
        """
        if key not in self.by_key and len(self.by_key) >= MAX_KEYS:
            self.prune(now)
            if len(self.by_key) >= MAX_KEYS:
                return False
        surge = self.by_key.setdefault(key, Surge())
        surge.decay(now)
        surge.calls += 1.0
        surge.places += places
        expected_calls = expected * WINDOW_SECONDS / places if places else math.inf
        if surge.calls < MIN_CALLS + EXPECTED_FACTOR * expected_calls:
            return False
        began = not surge.is_lasting
        surge.last_at = now
        if began:
            surge.began_at = now
        return began

    def prune(self, now: float) -> None:
        """Remove keys without recent arrivals."""
        horizon = now - END_SECONDS
        current = self.by_key.items()
        self.by_key = {key: s for key, s in current if s.updated_at >= horizon}

    def current(self, now: float) -> dict[ShareKey, Surge]:
        """Return the surges that last, by key."""
        for surge in self.by_key.values():
            surge.decay(now)
        return {key: surge for key, surge in self.by_key.items() if surge.is_lasting}


def unreported_places(
    key: ShareKey, surge: Surge, records: Iterable[ProcessDemand]
) -> float:
    """Return the places by which the reports of others lack a surge.

    Reports made until a window after its beginning are assumed to lack it.
    """
    assumed = surge.places / WINDOW_SECONDS
    horizon = surge.began_at + WINDOW_SECONDS
    missing = 0.0
    for record in records:
        if record.reported_at < horizon:
            known = record.rates.get(key)
            missing += max(0.0, assumed - (known.larger if known else 0.0))
    return missing
