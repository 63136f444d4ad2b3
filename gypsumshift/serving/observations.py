"""Observations of backend servers that processes exchange.

There are many entry hosts with few requests each. A host with one request every ten
seconds would notice a slow server only by its own caller's wait, although other
processes have used that server a moment before. Their observations replace own ones
that are old. They only raise the cost of a server when one is chosen: they never eject
a server, fresh own observations take precedence, and they expire within seconds.
"""

import math
from collections.abc import Callable, Iterable

import attrs

from gypsumshift.clock import Clock
from gypsumshift.digests import DigestSection
from gypsumshift.serving.directory import ServerStart

__all__ = [
    "MAX_FAILED_AVERAGE",
    "UNREACHABLE_SHARE",
    "Observation",
    "ObservationSection",
    "Observations",
    "decode",
    "encode",
]

# Age after which an observation is ignored. Slow phases of servers last 5 to 8 s.
MAX_AGE_SECONDS = 4.0
# Maximum number of servers in a digest. A digest with its header fields has about
# 0.7 KB, and is sent or received four times a second, whatever the number of servers.
MAX_DIGEST_SIZE = 8
# Servers that took more than this many times the usual time, or failed more than this
# share of their requests, come first in a digest, since avoiding them saves callers a
# wait.
NOTABLE_SLOWNESS = 2.0
NOTABLE_FAILED_SHARE = 0.2
# Share of failed requests that means that no connection can be opened, and the largest
# share of a server that is reached.
UNREACHABLE_SHARE, MAX_FAILED_AVERAGE = 1.0, 0.99
# Upper limits of values received from other processes.
MAX_SLOWNESS = 100.0
MAX_BUSY = 10_000.0


@attrs.frozen
class Observation:
    """What a process observed of one start of a backend server.

    Attributes
    ----------
    start : ServerStart
    slowness : float
        Answer time relative to the usual one of the service at the observing process,
        since processes may send different kinds of requests; 0 for unknown.
    busy : float
        Number of requests running and waiting at the server.
    failed_share : float
        Share of failed requests, 0 to 1.
    observed_at : float
        Time of the observation by this process's monotonic clock, in seconds.
    """

    start: ServerStart
    slowness: float
    busy: float
    failed_share: float
    observed_at: float

    @property
    def is_notable(self) -> bool:
        """Whether other processes should avoid the server."""
        return (
            self.slowness > NOTABLE_SLOWNESS or self.failed_share > NOTABLE_FAILED_SHARE
        )


class Observations:
    """The newest observation of each start of a backend server.

    Parameters
    ----------
    clock : Clock

    Attributes
    ----------
    on_unreachable : callable
        Called with the start of a server that an observation says is unreachable.
    unreachable : set of ServerStart
        Servers of which the newest observation says so, expired or not.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.newest: dict[ServerStart, Observation] = {}
        self.on_unreachable: Callable[[ServerStart], None] = lambda start: None
        self.unreachable: set[ServerStart] = set()

    def merge(self, observations: Iterable[Observation]) -> None:
        """Store observations, except those older than the stored ones."""
        for observation in observations:
            known = self.newest.get(observation.start)
            if known is None or known.observed_at < observation.observed_at:
                self.newest[observation.start] = observation
                if observation.failed_share >= UNREACHABLE_SHARE:
                    self.unreachable.add(observation.start)
                    self.on_unreachable(observation.start)
                else:
                    self.unreachable.discard(observation.start)

    def get(self, start: ServerStart) -> Observation | None:
        """Return the observation of a server start, unless it has expired."""
        observation = self.newest.get(start)
        if (
            observation is None
            or self.clock.monotonic() - observation.observed_at > MAX_AGE_SECONDS
        ):
            return None
        return observation

    def prune(self, known: set[ServerStart]) -> None:
        """Remove starts that are not listed, and expired observations."""
        for start in list(self.newest):
            if start not in known or self.get(start) is None:
                del self.newest[start]
                self.unreachable.discard(start)

    def digest(self) -> list[Observation]:
        """Return the observations to send: notable servers first, then the newest.

        The size is limited, whatever the number of servers.
        """
        current = [s for s in self.newest.values() if self.get(s.start) is not None]
        current.sort(key=lambda s: (not s.is_notable, -s.observed_at))
        return current[:MAX_DIGEST_SIZE]


class ObservationSection(DigestSection):
    """Section of a digest with the observations of servers.

    Parameters
    ----------
    observations : Observations
    """

    name = "servers"

    def __init__(self, observations: Observations):
        self.observations = observations

    def encode(self) -> list[list]:
        """Return the most important observations."""
        now = self.observations.clock.monotonic()
        return encode(self.observations.digest(), now)

    def merge(self, value: object) -> None:
        """Merge the observations of another process; raise ValueError if invalid."""
        self.observations.merge(decode(value, self.observations.clock.monotonic()))


def encode(observations: list[Observation], now: float) -> list[list]:
    """Return observations as JSON values, with ages in place of times."""
    return [
        [
            s.start.id,
            s.start.born,
            round(s.slowness, 2),
            round(s.busy, 1),
            round(s.failed_share, 2),
            round(now - s.observed_at, 2),
        ]
        for s in observations
    ]


def decode(rows: object, now: float) -> list[Observation]:
    """Return the observations that another process sent.

    Raises
    ------
    ValueError
        The rows are not a valid list of observations.
    """
    if not isinstance(rows, list):
        raise ValueError("invalid digest: not a list of observations")
    return [decode_row(row, now) for row in rows[:MAX_DIGEST_SIZE]]


def decode_row(row: object, now: float) -> Observation:
    """Return one observation; raise ValueError if the row is invalid."""
    if not isinstance(row, list) or len(row) != 6:
        raise ValueError(
            "invalid observation: not a list of server id, start time and 4 numbers"
        )
    server, born, *numbers = row
    if not isinstance(server, str) or type(born) is not int:
        raise ValueError("invalid observation: invalid type of server id or start time")
    slowness, busy, failed, age = map(decode_number, numbers)
    return Observation(
        ServerStart(server, born),
        min(max(slowness, 0.0), MAX_SLOWNESS),
        min(max(busy, 0.0), MAX_BUSY),
        min(max(failed, 0.0), 1.0),
        now - max(age, 0.0),
    )


def decode_number(value: object) -> float:
    """Return a number as float; raise ValueError unless it is finite."""
    if type(value) not in (int, float):
        raise ValueError(
            f"invalid observation: {type(value).__name__} instead of a number"
        )
    try:
        number = float(value)
    except OverflowError as error:
        raise ValueError("invalid observation: a number is too large") from error
    if not math.isfinite(number):
        raise ValueError("invalid observation: a number is not finite")
    return number
