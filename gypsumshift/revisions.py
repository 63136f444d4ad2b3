"""History of accepted declarations, and the revision that is active in this process."""

import asyncio
import json

import attrs

from gypsumshift import declarations, logs
from gypsumshift.clock import Clock
from gypsumshift.declarations import Catalog
from gypsumshift.events import EventRecorder
from gypsumshift.outcomes import (
    Committed,
    Conflict,
    Invalid,
    Missing,
    Unavailable,
    Unknown,
)
from gypsumshift.platforms import ABSENT, Tables, Write

__all__ = ["AcceptedRevision", "RevisionHistory", "ActiveRevision"]

HISTORY_TABLE = "revisions"
HEADS_TABLE = "heads"
CONFIG_HEAD_KEY = "config"
MAX_COMMIT_TRIES = 3

log = logs.logger("config")


@attrs.frozen
class AcceptedRevision:
    """One accepted revision of the declarations.

    Attributes
    ----------
    number : int
        From 1; 0 denotes the empty declarations before the first revision.
    author, message : str
    time : str
        ISO 8601, UTC, by the clock of the entry that accepted it. Informational only.
    token : str
        Chosen by the client that applied it, to identify it after a lost answer.
    declarations : dict
    """

    number: int
    author: str = ""
    message: str = ""
    time: str = ""
    token: str = ""
    declarations: dict = attrs.field(factory=dict)


def revision_key(number: int) -> str:
    """Return the key of a revision's row; keys sort in order of their numbers."""
    return f"{number:012d}"


class RevisionHistory:
    """Reads and extends the history of accepted revisions in the table service.

    Parameters
    ----------
    tables : Tables
    clock : Clock
    """

    def __init__(self, tables: Tables, clock: Clock):
        self.tables = tables
        self.clock = clock

    async def read_newest_number(self) -> int | Unavailable:
        """Read the number of the newest accepted revision; 0 if there is none."""
        row = await self.tables.read(HEADS_TABLE, CONFIG_HEAD_KEY)
        if isinstance(row, Unavailable):
            return row
        return 0 if isinstance(row, Missing) else row.value["number"]

    async def read_revision(
        self, number: int
    ) -> AcceptedRevision | Missing | Unavailable:
        """Read one revision."""
        if number == 0:
            return AcceptedRevision(0)
        row = await self.tables.read(HISTORY_TABLE, revision_key(number))
        return (
            row
            if isinstance(row, (Missing, Unavailable))
            else AcceptedRevision(**row.value)
        )

    async def read_all(self) -> list[AcceptedRevision] | Unavailable:
        """Read all revisions, oldest first."""
        rows = await self.tables.scan(HISTORY_TABLE, "")
        if isinstance(rows, Unavailable):
            return rows
        return [AcceptedRevision(**row.value) for row in rows]

    async def apply(
        self, base: int, source: dict, author: str, message: str, token: str
    ) -> AcceptedRevision | Conflict | Unavailable | Unknown:
        """Accept declarations as the revision after ``base``.

        Parameters
        ----------
        base : int
            Revision on which the change was planned. If another one is the newest,
            the result is a conflict.
        source : dict
            Declarations that have been checked.
        author, message : str
        token : str
            Unique to this apply; applying with the same token again has no effect.
        """
        accepted = AcceptedRevision(
            number=base + 1,
            author=author,
            message=message,
            time=self.clock.now().isoformat(timespec="seconds"),
            token=token,
            declarations=source,
        )
        for _ in range(MAX_COMMIT_TRIES):
            outcome = await self.commit_revision(accepted)
            if isinstance(outcome, Committed):
                return accepted
            if isinstance(outcome, Unavailable):
                return outcome
            resolved = await self.resolve_uncertain(accepted, outcome)
            if resolved is not None:
                return resolved
        return Unknown(
            f"the platform did not confirm whether revision {accepted.number} was"
            " accepted; run the same apply again"
        )

    async def commit_revision(self, accepted: AcceptedRevision):
        """Write a revision and set it as the newest in one transaction."""
        head = await self.tables.read(HEADS_TABLE, CONFIG_HEAD_KEY)
        if isinstance(head, Unavailable):
            return head
        number = 0 if isinstance(head, Missing) else head.value["number"]
        if number != accepted.number - 1:
            return Conflict(
                f"the change is based on revision {accepted.number - 1},"
                f" but revision {number} is the newest"
            )
        version = ABSENT if isinstance(head, Missing) else head.version
        value = {"number": accepted.number}
        row = attrs.asdict(accepted)
        return await self.tables.commit(
            [
                Write(HEADS_TABLE, CONFIG_HEAD_KEY, value, version),
                Write(HISTORY_TABLE, revision_key(accepted.number), row, ABSENT),
            ]
        )

    async def resolve_uncertain(self, accepted: AcceptedRevision, outcome):
        """Find out by the token which revision has the number after a failed commit.

        Returns
        -------
        AcceptedRevision, Conflict, Unknown, or None to try again
        """
        found = await self.read_revision(accepted.number)
        if isinstance(found, Unavailable):
            if isinstance(outcome, Conflict):
                return outcome
            return Unknown(
                f"the platform did not confirm whether revision {accepted.number} was"
                " accepted; run the same apply again"
            )
        if isinstance(found, Missing):
            return outcome if isinstance(outcome, Conflict) else None
        if found.token == accepted.token:
            return found
        return Conflict(
            f"revision {found.number} was accepted from {found.author}: {found.message}"
        )


class ActiveRevision:
    """The revision that is active in this process; its number never decreases.

    Parameters
    ----------
    recorder : EventRecorder
    """

    def __init__(self, recorder: EventRecorder):
        self.recorder = recorder
        self.number = -1
        self.text = ""
        self.catalog = Catalog()
        self.changed = asyncio.Event()

    @property
    def ready(self) -> bool:
        """Whether any revision is active, including the empty revision 0."""
        return self.number >= 0

    def activate_if_newer(self, number: int, text: str) -> bool:
        """Activate a revision if it is newer than the active one and readable.

        Returns whether it was activated.
        """
        if number <= self.number:
            return False
        catalog = Catalog() if number == 0 else self.parse_catalog(number, text)
        if catalog is None:
            return False
        self.number, self.text, self.catalog = number, text, catalog
        self.recorder.record("revision", f"revision-{number}", "in force")
        log.info("Revision {} is active.", number)
        self.changed.set()
        self.changed = asyncio.Event()
        return True

    def parse_catalog(self, number: int, text: str) -> Catalog | None:
        """Parse an accepted revision; None if it does not fit this program's schema."""
        catalog = declarations.parse(json.loads(text), f"revision {number}")
        if isinstance(catalog, Invalid):
            # The declarations may have been accepted by a newer program whose schema
            # this program lacks.
            log.error(
                "Revision {} cannot be parsed: {}; the active revision is kept.",
                number,
                catalog.problems[0],
            )
            return None
        return catalog
