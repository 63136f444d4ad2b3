"""Loads of backend servers as this process and others last received them.

Only servers that report the slowdown of their host are included. The reports change the
order in which servers are tried, and the capacity that a service is expected to have;
they never exclude a server.
"""

from collections.abc import Iterable

import attrs

from gypsumshift.clock import Clock
from gypsumshift.digests import DigestSection
from gypsumshift.serving.directory import ServerStart
from gypsumshift.serving.observations import decode_number
from gypsumshift.serving.serverload import ServerLoad

__all__ = [
    "LoadReport",
    "LoadReports",
    "LoadSection",
    "decode",
    "encode",
    "make_report",
]

# Age after which a report is removed. Its slowdown has no weight by then.
MAX_AGE_SECONDS = 4.0
# Age up to which a reported slowdown counts in full, and the time in which its weight
# halves from then on. Interference on a shared host lasts about 0.6 s.
FULL_WEIGHT_SECONDS = 0.6
HALF_LIFE_SECONDS = 0.3
# Maximum number of reports in a digest, the newest first. One has about 40 bytes.
MAX_DIGEST_SIZE = 16
# Limits of the values received from servers and from other processes.
MIN_SLOWDOWN, MAX_SLOWDOWN = 0.1, 100.0
MAX_BUSY = 10_000.0
MAX_SLOTS = 10_000.0


@attrs.frozen
class LoadReport:
    """Load that one start of a backend server reported.

    Attributes
    ----------
    start : ServerStart
    busy : float
        Number of requests running and waiting.
    slots : float
        Number of requests that it runs at once.
    slowdown : float
        How long work takes on its host, relative to the usual time.
    reported_at : float
        Time of the report by this process's monotonic clock, in seconds.
    """

    start: ServerStart
    busy: float
    slots: float
    slowdown: float
    reported_at: float

    def expected_slowdown(self, now: float) -> float:
        """Return the slowdown to expect now, nearer to 1 as the report ages."""
        excess_age = max(0.0, now - self.reported_at - FULL_WEIGHT_SECONDS)
        return 1.0 + (self.slowdown - 1.0) * 0.5 ** (excess_age / HALF_LIFE_SECONDS)


class LoadReports:
    """The newest load report of each start of a backend server.

    Parameters
    ----------
    clock : Clock

    Attributes
    ----------
    newest : dict
        `LoadReport` by `ServerStart`.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.newest: dict[ServerStart, LoadReport] = {}

    def merge(self, reports: Iterable[LoadReport]) -> None:
        """Store reports, except those older than the stored ones."""
        for report in reports:
            known = self.newest.get(report.start)
            if known is None or known.reported_at < report.reported_at:
                self.newest[report.start] = report

    def get(self, start: ServerStart) -> LoadReport | None:
        """Return the report of a server start, unless it has expired."""
        report = self.newest.get(start)
        if (
            report is None
            or self.clock.monotonic() - report.reported_at > MAX_AGE_SECONDS
        ):
            return None
        return report

    def prune(self, known: set[ServerStart]) -> None:
        """Remove starts that are not listed, and expired reports."""
        for start in list(self.newest):
            if start not in known or self.get(start) is None:
                del self.newest[start]

    def digest(self) -> list[LoadReport]:
        """Return the reports to send, a limited number of the newest."""
        current = [r for r in self.newest.values() if self.get(r.start) is not None]
        current.sort(key=lambda report: -report.reported_at)
        return current[:MAX_DIGEST_SIZE]


class LoadSection(DigestSection):
    """Section of a digest with the loads of servers that report a slowdown.

    Parameters
    ----------
    reports : LoadReports
    """

    name = "loads"

    def __init__(self, reports: LoadReports):
        self.reports = reports

    def encode(self) -> list[list] | None:
        """Return the newest reports; None if there are none."""
        digest = self.reports.digest()
        return encode(digest, self.reports.clock.monotonic()) if digest else None

    def merge(self, value: object) -> None:
        """Merge the reports of another process; raise ValueError if invalid."""
        self.reports.merge(decode(value, self.reports.clock.monotonic()))


def encode(reports: list[LoadReport], now: float) -> list[list]:
    """Return reports as JSON values, with ages in place of times."""
    return [
        [
            r.start.id,
            r.start.born,
            round(r.busy, 1),
            round(r.slots, 1),
            round(r.slowdown, 2),
            round(now - r.reported_at, 2),
        ]
        for r in reports
    ]


def decode(rows: object, now: float) -> list[LoadReport]:
    """Return the reports that another process sent; raise ValueError if invalid."""
    if not isinstance(rows, list):
        raise ValueError("invalid digest: not a list of loads")
    return [decode_row(row, now) for row in rows[:MAX_DIGEST_SIZE]]


def decode_row(row: object, now: float) -> LoadReport:
    """Return one report, in plausible ranges; raise ValueError if it is invalid."""
    if not isinstance(row, list) or len(row) != 6:
        raise ValueError(
            "invalid load: not a list of server id, start time and 4 numbers"
        )
    server, born, *numbers = row
    if not isinstance(server, str) or type(born) is not int:
        raise ValueError("invalid load: invalid type of server id or start time")
    busy, slots, slowdown, age = map(decode_number, numbers)
    return limited_report(
        ServerStart(server, born), busy, slots, slowdown, now - max(age, 0.0)
    )


def make_report(start: ServerStart, load: ServerLoad, now: float) -> LoadReport:
    """Return the report of a load that a server just sent to this process."""
    return limited_report(start, load.busy, load.slots, load.slowdown, now)


def limited_report(
    start: ServerStart, busy: float, slots: float, slowdown: float, reported_at: float
) -> LoadReport:
    """Return a report whose figures are limited to the range of plausible values."""
    return LoadReport(
        start,
        min(max(busy, 0.0), MAX_BUSY),
        min(max(slots, 1.0), MAX_SLOTS),
        min(max(slowdown, MIN_SLOWDOWN), MAX_SLOWDOWN),
        reported_at,
    )
