"""Log of the attempts at a sidecar that may not be repeated.

A sidecar counts these attempts as they arrive and reports the count, its mark, with
its load. An entry names an attempt ``MARK-RANDOM``, where MARK is the last mark that
it received from the sidecar. An attempt therefore arrives after its mark, and the
sidecar can state that an attempt never started as long as it has dropped no record
that arrived after that mark. This needs no clock, and the memory is bounded.
"""

import collections
import secrets

import attrs

from gypsumshift.generated.messages import AttemptState, Head
from gypsumshift.wholenumbers import parse_whole_number

__all__ = ["AttemptLog", "AttemptRecord", "new_attempt_name"]

MAX_RECORDS = 20_000
MAX_BODY_BYTES = 32 * 1024 * 1024


def new_attempt_name(mark: int) -> str:
    """Return a new name for an attempt at a sidecar whose last mark is ``mark``."""
    return f"{mark}-{secrets.token_hex(8)}"


def parse_mark(attempt: str) -> int:
    """Return the mark in an attempt's name; 0 if it has none."""
    return parse_whole_number(attempt.partition("-")[0]) or 0


@attrs.define
class AttemptRecord:
    """State and answer of one attempt that may not be repeated.

    Attributes
    ----------
    arrival : int
        Position in the order of arrivals, from 1.
    state : AttemptState
        NEVER means that the attempt has not run and is barred from starting.
    head : Head or None
        Head of the answer, once the attempt is done.
    body : bytes
        Complete body of the answer, once the attempt is done.
    """

    arrival: int = 0
    state: int = AttemptState.RUNNING
    head: Head | None = None
    body: bytes = b""


class AttemptLog:
    """Bounded log of one sidecar's unrepeatable attempts, held in its memory.

    The oldest records are dropped when there are more than `MAX_RECORDS`, or when
    the bodies kept exceed `MAX_BODY_BYTES`.

    Attributes
    ----------
    records : dict of str to AttemptRecord
        By name of the attempt, oldest first.
    arrivals : int
        Attempts recorded so far: the sidecar's mark.
    last_dropped_arrival : int
        Arrival number of the newest record dropped; 0 for none.
    body_bytes : int
        Bytes of the bodies kept.
    """

    def __init__(self):
        self.records: collections.OrderedDict[str, AttemptRecord] = (
            collections.OrderedDict()
        )
        self.arrivals = 0
        self.last_dropped_arrival = 0
        self.body_bytes = 0

    def may_start(self, attempt: str) -> bool:
        """Return whether an attempt is neither recorded nor possibly dropped."""
        return (
            attempt not in self.records
            and parse_mark(attempt) >= self.last_dropped_arrival
        )

    def record_start(self, attempt: str) -> None:
        """Record an attempt as running, before any of it is sent."""
        self.add_record(attempt, AttemptState.RUNNING)

    def add_record(self, attempt: str, state: int) -> AttemptRecord:
        """Add a record; drop the oldest one if there are too many."""
        self.arrivals += 1
        record = self.records[attempt] = AttemptRecord(self.arrivals, state)
        if len(self.records) > MAX_RECORDS:
            self.drop_oldest()
        return record

    def record_end(self, attempt: str, head: Head | None, body: bytes) -> None:
        """Store an attempt's complete answer; without a head its outcome is unknown."""
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
        """Drop the oldest record and note its arrival number."""
        _, record = self.records.popitem(last=False)
        self.body_bytes -= len(record.body)
        self.last_dropped_arrival = record.arrival

    def mark_never_sent(self, attempt: str) -> None:
        """Mark a recorded attempt as never sent to the backend server."""
        record = self.records.get(attempt)
        if record is not None:
            record.state = AttemptState.NEVER

    def bar(self, attempt: str) -> AttemptRecord:
        """Return an attempt's record; bar the attempt if it has not started.

        The state is unknown if a record of the attempt may have been dropped.
        """
        if attempt in self.records:
            return self.records[attempt]
        if parse_mark(attempt) < self.last_dropped_arrival:
            return AttemptRecord(state=AttemptState.UNKNOWN)
        return self.add_record(attempt, AttemptState.NEVER)
