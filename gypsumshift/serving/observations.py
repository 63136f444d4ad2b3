"""Sightings: what other processes saw of backend servers, and when.

The decision answers many entry hosts with few requests each: one that has a request
every ten seconds learns of a server that turned slow by its own caller's wait, though
others met that server a moment ago. What they saw stands in for own sight that is old.
It only moves a server back in the order of choice: it ejects nobody, fresh own sight
goes before it, and it is forgotten within seconds.
"""

import math
from collections.abc import Iterable

import attrs

from gypsumshift.clock import Clock
from gypsumshift.serving.directory import ServerStart

__all__ = ["Observation", "Observations", "decode", "encode"]

# Seconds for which what others saw counts. Servers were seen to be slow for 5 to 8 s.
MAX_AGE_SECONDS = 4.0
# Servers in one digest: with its header fields some 0.7 KB, four times a second in and
# out, whatever the size of the fleet.
MAX_DIGEST_SIZE = 8
# A server that took this many times the usual time, or failed such a share of its
# requests, is told before others: knowing of it saves a caller's wait.
NOTABLE_SLOWNESS = 2.0
NOTABLE_FAILED = 0.2
# Bounds of what is believed of another process's word.
MOST_SLOWNESS = 100.0
MOST_BUSY = 10_000.0


@attrs.frozen
class Observation:
    """What a process saw of one start of a backend server.

    Attributes
    ----------
    start : ServerStart
    slowness : float
        Its time to an answer against the usual one of its service at that process,
        which may send other requests than this one; 0 for unknown.
    busy : float
        Requests running and waiting there.
    failed : float
        Share of its answers that were failures, 0 to 1.
    at : float
        When it was seen, by the monotonic clock here, in seconds.
    """

    start: ServerStart
    slowness: float
    busy: float
    failed: float
    observed_at: float

    @property
    def notable(self) -> bool:
        """Whether others should keep away from it."""
        return self.slowness > NOTABLE_SLOWNESS or self.failed > NOTABLE_FAILED


class Observations:
    """The newest sighting of each start of a backend server.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.newest: dict[ServerStart, Observation] = {}

    def merge(self, sightings: Iterable[Observation]) -> None:
        """Take sightings; older ones than those known are left out."""
        for sighting in sightings:
            known = self.newest.get(sighting.start)
            if known is None or known.observed_at < sighting.observed_at:
                self.newest[sighting.start] = sighting

    def get(self, start: ServerStart) -> Observation | None:
        """Return what was seen of a start of a server, while it counts."""
        sighting = self.newest.get(start)
        if (
            sighting is None
            or self.clock.monotonic() - sighting.observed_at > MAX_AGE_SECONDS
        ):
            return None
        return sighting

    def prune(self, known: set[ServerStart]) -> None:
        """Forget starts that are not listed, and what is too old to count."""
        for start in list(self.newest):
            if start not in known or self.get(start) is None:
                del self.newest[start]

    def digest(self) -> list[Observation]:
        """Return what to tell others: servers to keep away from first, then the newest.

        Its size does not depend on the number of servers.
        """
        counted = [s for s in self.newest.values() if self.get(s.start) is not None]
        counted.sort(key=lambda s: (not s.notable, -s.observed_at))
        return counted[:MAX_DIGEST_SIZE]


def encode(sightings: list[Observation], now: float) -> list[list]:
    """Return sightings as JSON holds them, with their ages in place of times."""
    return [
        [
            s.start.id,
            s.start.born,
            round(s.slowness, 2),
            round(s.busy, 1),
            round(s.failed, 2),
            round(now - s.observed_at, 2),
        ]
        for s in sightings
    ]


def decode(rows: object, now: float) -> list[Observation]:
    """Return the sightings that another process told; raises ValueError."""
    if not isinstance(rows, list):
        raise ValueError("no list of sightings")
    return [decode_row(row, now) for row in rows[:MAX_DIGEST_SIZE]]


def decode_row(row: object, now: float) -> Observation:
    """Return one sighting; raises ValueError."""
    if not isinstance(row, list) or len(row) != 6:
        raise ValueError("no sighting")
    server, born, *figures = row
    if not isinstance(server, str) or type(born) is not int:
        raise ValueError("a sighting of no server")
    slowness, busy, failed, age = map(decode_figure, figures)
    return Observation(
        ServerStart(server, born),
        min(max(slowness, 0.0), MOST_SLOWNESS),
        min(max(busy, 0.0), MOST_BUSY),
        min(max(failed, 0.0), 1.0),
        now - max(age, 0.0),
    )


def decode_figure(value: object) -> float:
    """Return a finite figure; raises ValueError."""
    if type(value) not in (int, float):
        raise ValueError("a sighting without figures")
    try:
        figure = float(value)
    except OverflowError as error:
        raise ValueError("a figure beyond reason") from error
    if not math.isfinite(figure):
        raise ValueError("a figure beyond reason")
    return figure
