"""Record the latest events of a process, and order the events of all processes.

Timestamps come from hybrid logical clocks: they follow the wall clock, and an event
that may have caused another has the earlier timestamp.
"""

import collections

import attrs

from gypsumshift.clock import Clock
from gypsumshift.generated import messages

__all__ = ["EventRecorder", "HybridClock", "Timestamp", "merge_events"]

MAX_EVENTS = 4096
MAX_DETAIL_LENGTH = 200


@attrs.frozen(order=True)
class Timestamp:
    """Hybrid logical timestamp.

    Attributes
    ----------
    time_us : int
        Microseconds since 1970.
    tick : int
        Order among timestamps with the same microsecond.
    """

    time_us: int
    tick: int


class HybridClock:
    """Hybrid logical clock of one process.

    Parameters
    ----------
    clock : Clock
        Source of the wall-clock time.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.last = Timestamp(0, 0)

    def next_timestamp(self) -> Timestamp:
        """Return a timestamp later than all earlier ones of this clock."""
        return self.advance(self.last)

    def observe_timestamp(self, other: Timestamp) -> None:
        """Advance the clock past a timestamp received with a message."""
        self.advance(max(self.last, other))

    def advance(self, floor: Timestamp) -> Timestamp:
        """Set the clock to the wall time or just past ``floor``, whichever is later."""
        wall = int(self.clock.now().timestamp() * 1_000_000)
        if wall > floor.time_us:
            self.last = Timestamp(wall, 0)
        else:
            self.last = Timestamp(floor.time_us, floor.tick + 1)
        return self.last


class EventRecorder:
    """Keeps the latest events of a process, and counts its bytes exchanged with peers.

    Parameters
    ----------
    process : str
        Name of the process.
    clock : Clock
        Source of time.
    """

    def __init__(self, process: str, clock: Clock):
        self.process = process
        self.hybrid_clock = HybridClock(clock)
        self.ring = collections.deque(maxlen=MAX_EVENTS)
        self.bytes_sent = self.bytes_received = 0

    def record(self, kind: str, subject: str, detail: str = "") -> None:
        """Record an event of a kind that concerns ``subject``."""
        stamp = self.hybrid_clock.next_timestamp()
        event = messages.Event(
            stamp.time_us,
            stamp.tick,
            self.process,
            kind,
            subject,
            detail[:MAX_DETAIL_LENGTH],
        )
        self.ring.append(event)

    def latest_events(self, subject: str, limit: int) -> list[messages.Event]:
        """Return the latest events that name ``subject``, or all if it is empty."""
        matching = [event for event in self.ring if names_subject(event, subject)]
        return matching[-limit:]


def names_subject(event: messages.Event, subject: str) -> bool:
    """Return whether the event's subject or detail contains ``subject``."""
    return not subject or subject in event.subject or subject in event.detail


def merge_events(events: list[messages.Event]) -> list[messages.Event]:
    """Return the events of several processes by timestamp, without duplicates."""
    unique = {(e.process, e.time_us, e.tick): e for e in events}
    return sorted(unique.values(), key=lambda e: (e.time_us, e.tick, e.process))
