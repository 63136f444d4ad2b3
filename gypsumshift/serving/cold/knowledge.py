"""What one process knows about whether backend servers are cold.

The newest information wins. Only a server itself can prove that it is warm, or its
whole cold time that has passed. An entry reaches a process up to `ENTRY_DELAY_SECONDS`
late, so one that may be older than a restart proves nothing.
"""

import datetime
import enum

import attrs

from gypsumshift.clock import Clock
from gypsumshift.serving.directory import BackendServer
from gypsumshift.serving.routes import ColdLimit

__all__ = ["ENTRY_DELAY_SECONDS", "ColdKnowledge", "ColdRecord", "Source"]

# Maximum age of an entry when it reaches a process.
ENTRY_DELAY_SECONDS = 2.0
# Age up to which an engine's report confirms that the same start is still running. The
# agent requests one every 0.2 s; its items are handed over after 0.9 s without any.
CONFIRMATION_SECONDS = 1.0
NEVER = float("-inf")


class Source(enum.Enum):
    """Source of the information about a server's cold time."""

    UNKNOWN = "unknown"
    ENTRY = "entry"
    ANSWER = "answer"
    REPORT = "report"
    NO_REPORT = "no report"
    BROKEN_CONNECTION = "broken connection"
    ZONE_RETURN = "zone return"


@attrs.define
class ColdRecord:
    """Knowledge about one start of a backend server.

    Attributes
    ----------
    born : int
        See `ServerStart`.
    warm_at : float
        Monotonic time at which the server becomes warm.
    source : Source
        Source of ``warm_at``.
    noted_at : float
        When ``warm_at`` was stored.
    unproved_until : float
        Entries received before may be older than a restart: they cannot show that the
        server is warm.
    doubted_at : float
        When it was last doubted that this start is still running.
    confirmed_at : float
        When the last report was requested that came from this start.
    """

    born: int
    warm_at: float = float("inf")
    source: Source = Source.UNKNOWN
    noted_at: float = NEVER
    unproved_until: float = NEVER
    doubted_at: float = NEVER
    confirmed_at: float = NEVER


class ColdKnowledge:
    """Knowledge of one process about the cold time of backend servers.

    Parameters
    ----------
    clock : Clock
    own_engine : (str, int) or None
        Address of the engine whose reports this process reads.

    Attributes
    ----------
    started_at : float
        When this process started to gather knowledge, by the monotonic clock.
    records : dict
        `ColdRecord` by server id.
    """

    def __init__(self, clock: Clock, own_engine: tuple[str, int] | None = None):
        self.clock = clock
        self.own_engine = own_engine
        self.started_at = clock.monotonic()
        self.records: dict[str, ColdRecord] = {}

    def get(self, server: BackendServer) -> ColdRecord | None:
        """Return the record of a server's start, if there is one."""
        record = self.records.get(server.id)
        return record if record is not None and record.born == server.born else None

    def is_cold(self, server: BackendServer) -> bool:
        """Return whether a server counts as cold now."""
        record, now = self.get(server), self.clock.monotonic()
        if record is None or now < record.warm_at:
            return True
        return not self.is_confirmed(server, record)

    def is_confirmed(self, server: BackendServer, record: ColdRecord) -> bool:
        """Return whether the start of the own engine is known to be running.

        Other servers send this process no reports.
        """
        if server.address != self.own_engine:
            return True
        age = self.clock.monotonic() - record.confirmed_at
        return record.confirmed_at > record.doubted_at and age <= CONFIRMATION_SECONDS

    def source(self, server: BackendServer) -> tuple[Source, float]:
        """Return what a server's state is known from, and since when."""
        record, now = self.get(server), self.clock.monotonic()
        if record is None:
            return Source.UNKNOWN, now
        if now < record.warm_at or self.is_confirmed(server, record):
            return record.source, record.noted_at
        if record.doubted_at >= record.confirmed_at:
            return Source.BROKEN_CONNECTION, record.doubted_at
        return Source.NO_REPORT, record.confirmed_at

    def note_entry(self, server: BackendServer) -> None:
        """Store the remaining cold time in an entry, which counts from its receipt."""
        now = self.clock.monotonic()
        record = self.get(server)
        if record is None:
            record = self.add_record(server)
        warm_at = now + server.cold_left.total_seconds()
        if now < record.unproved_until:
            known = record.warm_at if record.source is not Source.UNKNOWN else NEVER
            warm_at = max(warm_at, known, record.unproved_until)
        self.set_warm_at(record, warm_at, Source.ENTRY)

    def add_record(self, server: BackendServer) -> ColdRecord:
        """Return a new record of a server's start, which replaces an older start's."""
        old = self.records.get(server.id)
        unproved_until = self.started_at + ENTRY_DELAY_SECONDS
        if old is not None:
            unproved_until = max(unproved_until, old.unproved_until)
        record = ColdRecord(server.born, unproved_until=unproved_until)
        record.doubted_at = self.clock.monotonic()
        self.records[server.id] = record
        return record

    def set_warm_at(self, record: ColdRecord, warm_at: float, source: Source) -> None:
        """Store when a server becomes warm."""
        record.warm_at = warm_at
        record.source = source
        record.noted_at = self.clock.monotonic()

    def note_answer(
        self, server: BackendServer, left: datetime.timedelta, asked_at: float
    ) -> None:
        """Store the remaining cold time that a server sent with an answer.

        Parameters
        ----------
        server : BackendServer
        left : timedelta
        asked_at : float
            When the answer was requested, by the monotonic clock.
        """
        record = self.get(server) or self.add_record(server)
        now = self.clock.monotonic()
        self.set_warm_at(record, now + left.total_seconds(), Source.ANSWER)
        if asked_at >= record.doubted_at:
            record.unproved_until = min(record.unproved_until, now)

    def note_report(
        self, server: BackendServer, born: int, asked_at: float, limit: ColdLimit
    ) -> None:
        """Record from which start of the own engine a report came.

        Parameters
        ----------
        server : BackendServer
            Entry of the engine that is expected at the address.
        born : int
            Start in the report; 0 where it has none.
        asked_at : float
            When the report was requested, by the monotonic clock.
        limit : ColdLimit
        """
        record = self.get(server) or self.add_record(server)
        now = self.clock.monotonic()
        if born and server.born:
            if born == server.born:
                record.confirmed_at = max(record.confirmed_at, asked_at)
            else:
                self.doubt(record, now)
            return
        # The report does not tell the start, so after a doubt the whole cold time has
        # to pass, unless an entry that is certainly newer shows less.
        if asked_at < record.doubted_at:
            return
        if record.confirmed_at <= record.doubted_at:
            whole = now + limit.duration.total_seconds()
            record.unproved_until = now + ENTRY_DELAY_SECONDS
            self.set_warm_at(record, max(whole, finite(record.warm_at)), Source.REPORT)
        record.confirmed_at = max(record.confirmed_at, asked_at)

    def doubt(self, record: ColdRecord, now: float) -> None:
        """Record that a start may not be running any more."""
        record.doubted_at = now

    def note_broken(self, server: BackendServer, limit: ColdLimit) -> None:
        """Record that a connection to a server broke, so it may have restarted."""
        record = self.get(server)
        if record is None:
            return
        now = self.clock.monotonic()
        self.doubt(record, now)
        if server.address != self.own_engine:
            self.restart_cold_time(record, limit, Source.BROKEN_CONNECTION)

    def note_zone_return(self, server: BackendServer, limit: ColdLimit) -> None:
        """Record that a server's zone has returned from an evacuation."""
        record = self.get(server) or self.add_record(server)
        self.restart_cold_time(record, limit, Source.ZONE_RETURN)

    def restart_cold_time(
        self, record: ColdRecord, limit: ColdLimit, source: Source
    ) -> None:
        """Let a server count as cold for the whole time, unless it proves otherwise."""
        now = self.clock.monotonic()
        record.unproved_until = now + ENTRY_DELAY_SECONDS
        whole = now + limit.duration.total_seconds()
        self.set_warm_at(record, max(whole, finite(record.warm_at)), source)

    def prune(self, known: set[str]) -> None:
        """Remove the records of servers that are not listed any more."""
        for server_id in [s for s in self.records if s not in known]:
            del self.records[server_id]


def finite(warm_at: float) -> float:
    """Return a time; the smallest one in place of an unknown time."""
    return NEVER if warm_at == float("inf") else warm_at
