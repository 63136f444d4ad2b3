"""Revisions: the history of accepted declarations, and what is in force here."""

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
    """One accepted revision.

    Attributes
    ----------
    number : int
        From 1; 0 stands for the empty declarations before the first.
    author, message : str
    time : str
        ISO 8601, UTC, by the accepting entry's clock; for people only.
    token : str
        Chosen by whoever applied it, to recognize it after a lost answer.
    declarations : dict
    """

    number: int
    author: str = ""
    message: str = ""
    time: str = ""
    token: str = ""
    declarations: dict = attrs.field(factory=dict)


def revision_key(number: int) -> str:
    """Return the key of a revision's row; keys sort as their numbers do."""
    return f"{number:012d}"


class RevisionHistory:
    """The history of accepted revisions in the table service.

    Parameters
    ----------
    tables : Tables
    clock : Clock
    """

    def __init__(self, tables: Tables, clock: Clock):
        self.tables = tables
        self.clock = clock

    async def read_newest_number(self) -> int | Unavailable:
        """Return the newest accepted number."""
        row = await self.tables.read(HEADS_TABLE, CONFIG_HEAD_KEY)
        if isinstance(row, Unavailable):
            return row
        return 0 if isinstance(row, Missing) else row.value["number"]

    async def read_revision(
        self, number: int
    ) -> AcceptedRevision | Missing | Unavailable:
        """Return one revision."""
        if number == 0:
            return AcceptedRevision(0)
        row = await self.tables.read(HISTORY_TABLE, revision_key(number))
        return (
            row
            if isinstance(row, (Missing, Unavailable))
            else AcceptedRevision(**row.value)
        )

    async def read_all(self) -> list[AcceptedRevision] | Unavailable:
        """Return all revisions, oldest first."""
        rows = await self.tables.scan(HISTORY_TABLE, "")
        if isinstance(rows, Unavailable):
            return rows
        return [AcceptedRevision(**row.value) for row in rows]

    async def apply(
        self, base: int, source: dict, author: str, message: str, token: str
    ) -> AcceptedRevision | Conflict | Unavailable | Unknown:
        """Accept declarations on top of revision ``base``.

        Parameters
        ----------
        base : int
            Revision that was planned on; any other head is a conflict.
        source : dict
            Checked declarations.
        author, message : str
        token : str
            Unique to this apply; the same token twice is accepted once.
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
            settled = await self.resolve_uncertain(accepted, outcome)
            if settled is not None:
                return settled
        return Unknown("the platform's answer was lost; run the same apply again")

    async def commit_revision(self, accepted: AcceptedRevision):
        """Write a revision and move the head, in one transaction."""
        head = await self.tables.read(HEADS_TABLE, CONFIG_HEAD_KEY)
        if isinstance(head, Unavailable):
            return head
        number = 0 if isinstance(head, Missing) else head.value["number"]
        if number != accepted.number - 1:
            return Conflict(f"revision {number} is the newest")
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
        """Tell by the token whose revision took the number; None to try again."""
        found = await self.read_revision(accepted.number)
        if isinstance(found, Unavailable):
            if isinstance(outcome, Conflict):
                return outcome
            return Unknown("the platform's answer was lost; run the same apply again")
        if isinstance(found, Missing):
            return outcome if isinstance(outcome, Conflict) else None
        if found.token == accepted.token:
            return found
        return Conflict(f"revision {found.number} by {found.author}: {found.message}")


class ActiveRevision:
    """The revision in force in this process; only ever moves up.

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
        """Whether any revision is in force, be it the empty one."""
        return self.number >= 0

    def activate_if_newer(self, number: int, text: str) -> bool:
        """Put a revision in force where it is newer than the present one."""
        if number <= self.number:
            return False
        catalog = Catalog() if number == 0 else self.parse_catalog(number, text)
        if catalog is None:
            return False
        self.number, self.text, self.catalog = number, text, catalog
        self.recorder.record("revision", f"revision-{number}", "in force")
        log.info("Revision {} is in force.", number)
        self.changed.set()
        self.changed = asyncio.Event()
        return True

    def parse_catalog(self, number: int, text: str) -> Catalog | None:
        """Return the catalog of an accepted revision; None where it is not readable."""
        catalog = declarations.parse(json.loads(text), f"revision {number}")
        if isinstance(catalog, Invalid):
            # An older program beside a newer schema: keep what is in force.
            log.error("Revision {} is not understood: {}.", number, catalog.problems[0])
            return None
        return catalog
