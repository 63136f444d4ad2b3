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

__all__ = ["AttemptLog", "Record", "new_attempt"]

RECORD_LIMIT = 20_000
BODY_BUDGET = 32 * 1024 * 1024


def new_attempt(mark: int) -> str:
    """Return a name for an attempt at a sidecar last heard at ``mark``."""
    return f"{mark}-{secrets.token_hex(8)}"


def mark_of(attempt: str) -> int:
    """Return the mark in an attempt's name; 0 where it has none."""
    mark = attempt.partition("-")[0]
    return int(mark) if mark.isdigit() else 0


@attrs.define
class Record:
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
        self.records: collections.OrderedDict[str, Record] = collections.OrderedDict()
        self.arrivals = 0
        self.forgotten = 0
        self.body_bytes = 0

    def may_start(self, attempt: str) -> bool:
        """Tell whether an attempt may start: neither known nor perhaps forgotten."""
        return attempt not in self.records and mark_of(attempt) >= self.forgotten

    def start(self, attempt: str) -> None:
        """Put an attempt on record, before anything of it is sent."""
        self.put(attempt, AttemptState.RUNNING)

    def put(self, attempt: str, state: int) -> Record:
        """Add a record, forgetting the oldest where there are too many."""
        self.arrivals += 1
        record = self.records[attempt] = Record(self.arrivals, state)
        if len(self.records) > RECORD_LIMIT:
            self.forget_oldest()
        return record

    def finish(self, attempt: str, head: Head | None, body: bytes) -> None:
        """Keep the whole answer of an attempt; without a head its end is unknown."""
        record = self.records.get(attempt)
        if record is None:
            return
        if head is None:
            record.state = AttemptState.UNKNOWN
            return
        record.state, record.head, record.body = AttemptState.DONE, head, body
        self.body_bytes += len(body)
        while self.body_bytes > BODY_BUDGET:
            self.forget_oldest()

    def forget_oldest(self) -> None:
        """Drop the oldest record, remembering that something was dropped."""
        _, record = self.records.popitem(last=False)
        self.body_bytes -= len(record.body)
        self.forgotten = record.arrival

    def withdraw(self, attempt: str) -> None:
        """Mark an attempt that turned out never to have been sent."""
        record = self.records.get(attempt)
        if record is not None:
            record.state = AttemptState.NEVER

    def bar(self, attempt: str) -> Record:
        """Return what became of an attempt; one that never started never will."""
        if attempt in self.records:
            return self.records[attempt]
        if mark_of(attempt) < self.forgotten:
            return Record(state=AttemptState.UNKNOWN)
        return self.put(attempt, AttemptState.NEVER)
