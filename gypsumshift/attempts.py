"""Attempts: what a sidecar remembers of those that may not be repeated.

A sidecar counts these attempts as they arrive; the count is its mark. An attempt
is named ``MARK-RANDOM`` by an entry, MARK being one that it heard from that
sidecar before. So an attempt can only arrive after its mark, and "never
started" is known while nothing that arrived after the mark was forgotten. That
needs no clock, and bounded memory.
"""

import collections
import secrets

import attrs

from gypsumshift.generated.messages import AttemptState, Head

__all__ = ["AttemptLog", "AttemptRecord", "new_attempt_name"]

MAX_RECORDS = 20_000
MAX_BODY_BYTES = 32 * 1024 * 1024


def new_attempt_name(mark: int) -> str:
    """Return a name for an attempt at a sidecar last heard at ``mark``."""
    return f"{mark}-{secrets.token_hex(8)}"


def parse_mark(attempt: str) -> int:
    """Return the mark in an attempt's name; 0 where it has none."""
    mark = attempt.partition("-")[0]
    return int(mark) if mark.isdigit() else 0


@attrs.define
class AttemptRecord:
    """One attempt that may not be repeated.

    Attributes
    ----------
    arrival : int
        Its place in the order of arrivals.
    state : AttemptState
        NEVER bars it.
    head : Head or None
    body : bytes
        The whole answer, once done.
    """

    arrival: int = 0
    state: int = AttemptState.RUNNING
    head: Head | None = None
    body: bytes = b""


class AttemptLog:
    """Memory of one sidecar, for as long as its process lives."""

    def __init__(self):
        self.records: collections.OrderedDict[str, AttemptRecord] = (
            collections.OrderedDict()
        )
        self.arrivals = 0
        self.last_dropped_arrival = 0
        self.body_bytes = 0

    def may_start(self, attempt: str) -> bool:
        """Tell whether an attempt may start: neither known nor perhaps forgotten."""
        return (
            attempt not in self.records
            and parse_mark(attempt) >= self.last_dropped_arrival
        )

    def record_start(self, attempt: str) -> None:
        """Put an attempt on record, before anything of it is sent."""
        self.add_record(attempt, AttemptState.RUNNING)

    def add_record(self, attempt: str, state: int) -> AttemptRecord:
        """Add a record, forgetting the oldest where there are too many."""
        self.arrivals += 1
        record = self.records[attempt] = AttemptRecord(self.arrivals, state)
        if len(self.records) > MAX_RECORDS:
            self.drop_oldest()
        return record

    def record_end(self, attempt: str, head: Head | None, body: bytes) -> None:
        """Keep the whole answer of an attempt; without a head its end is unknown."""
        record = self.records.get(attempt)
        if record is None:
            return
        if head is None:
            record.state = AttemptState.UNKNOWN
            return
        record.state, record.head, record.body = AttemptState.DONE, head, body
        self.body_bytes += len(body)
        while self.body_bytes > MAX_BODY_BYTES:
            self.drop_oldest()

    def drop_oldest(self) -> None:
        """Drop the oldest record, remembering that something was dropped."""
        _, record = self.records.popitem(last=False)
        self.body_bytes -= len(record.body)
        self.last_dropped_arrival = record.arrival

    def mark_never_sent(self, attempt: str) -> None:
        """Mark an attempt that turned out never to have been sent."""
        record = self.records.get(attempt)
        if record is not None:
            record.state = AttemptState.NEVER

    def bar(self, attempt: str) -> AttemptRecord:
        """Return what became of an attempt; one that never started never will."""
        if attempt in self.records:
            return self.records[attempt]
        if parse_mark(attempt) < self.last_dropped_arrival:
            return AttemptRecord(state=AttemptState.UNKNOWN)
        return self.add_record(attempt, AttemptState.NEVER)
