"""Events: a bounded record of what a process did, ordered over all processes.

Timestamps are hybrid logical clocks: they follow the wall clock, and an event
that could have caused another is never ordered behind it.
"""

import collections

import attrs

from gypsumshift.clock import Clock
from gypsumshift.generated import messages

__all__ = ["HybridClock", "EventRecorder", "Timestamp", "merge_events"]

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
        Order among timestamps of one microsecond.
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

    def tick(self) -> Timestamp:
        """Return a timestamp later than all before."""
        return self.advance(self.last)

    def observe(self, other: Timestamp) -> None:
        """Move past a timestamp that came with a message."""
        self.advance(max(self.last, other))

    def advance(self, floor: Timestamp) -> Timestamp:
        """Move past ``floor``, to the wall clock where that is later."""
        wall = int(self.clock.now().timestamp() * 1_000_000)
        if wall > floor.time_us:
            self.last = Timestamp(wall, 0)
        else:
            self.last = Timestamp(floor.time_us, floor.tick + 1)
        return self.last


class EventRecorder:
    """Bounded ring of the events of one process, and its traffic with peers.

    Parameters
    ----------
    process : str
        Name of the process.
    clock : Clock
        Source of time.
    """

    def __init__(self, process: str, clock: Clock):
        self.process = process
        self.hybrid = HybridClock(clock)
        self.ring = collections.deque(maxlen=MAX_EVENTS)
        self.bytes_sent = self.bytes_received = 0

    def record(self, kind: str, subject: str, detail: str = "") -> None:
        """Record that ``kind`` happened to ``subject``."""
        stamp = self.hybrid.tick()
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
        """Return the latest events that name ``subject``; all where it is empty."""
        chosen = [event for event in self.ring if names_subject(event, subject)]
        return chosen[-limit:]


def names_subject(event: messages.Event, subject: str) -> bool:
    """Tell whether an event is about ``subject``."""
    return not subject or subject in event.subject or subject in event.detail


def merge_events(events: list[messages.Event]) -> list[messages.Event]:
    """Return the events of several processes in one order, each once."""
    unique = {(e.process, e.time_us, e.tick): e for e in events}
    return sorted(unique.values(), key=lambda e: (e.time_us, e.tick, e.process))
