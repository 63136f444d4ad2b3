"""Model: what a batch job is made of, and how its parts lie in the store.

All rows of a job share one part of the store, named by the job's id, so that they
can be written in one transaction.
"""

import base64
import enum
import urllib.parse
from collections.abc import Iterable, Iterator

import attrs
import cattrs

from gypsumshift import logs
from gypsumshift.platforms import Row
from gypsumshift.serving.directory import ServerStart

__all__ = [
    "AGENTS",
    "CLAIMS",
    "END_KEY",
    "JOBS",
    "JOB_KEY",
    "PARTIALS",
    "RESULTS",
    "JOB_TABLES",
    "TEXTS",
    "UNITS",
    "Claim",
    "InvalidRowError",
    "Heartbeat",
    "Item",
    "Job",
    "Partial",
    "Result",
    "ResultState",
    "RewardCall",
    "Unit",
    "UnitSummary",
    "from_row",
    "qualified_job_id",
    "parse_row",
    "parse_rows",
    "summarize_unit",
    "to_row",
]

# Tables.
JOBS = "jobs"
UNITS = "units"
CLAIMS = "claims"
RESULTS = "results"
PARTIALS = "partials"
TEXTS = "texts"
AGENTS = "agents"
# Those with a part for each job, in the order in which an old job is removed.
JOB_TABLES = (TEXTS, PARTIALS, CLAIMS, RESULTS, UNITS, JOBS)
# Keys in the table of jobs.
JOB_KEY = "job"
END_KEY = "end"

log = logs.logger("model")


class InvalidRowError(ValueError):
    """A row is not of the kind that its table holds: another writer put it there."""


class ResultState(enum.Enum):
    """How an item ended."""

    WHOLE = "whole"
    GIVEN_UP = "given up"


@attrs.frozen
class RewardCall:
    """The reward call of an item.

    Attributes
    ----------
    id, host, path : str
    body : bytes
    """

    id: str
    host: str
    path: str
    body: bytes


@attrs.frozen
class Item:
    """One request of a batch job.

    Attributes
    ----------
    id, path : str
    headers : dict
        Passed on to the model engine.
    body : bytes
    group : str
        Items of one group share their prompt; empty outside of groups.
    hint : int
        Estimated number of output tokens; 0 for unknown.
    memory : int
        Tokens of an engine's memory that it is estimated to take at its end.
    reward : RewardCall or None
    """

    id: str
    path: str
    headers: dict[str, str]
    body: bytes
    group: str = ""
    hint: int = 0
    reward: RewardCall | None = None
    memory: int = 0

    @property
    def body_bytes(self) -> int:
        """Bytes of its bodies."""
        return len(self.body) + (len(self.reward.body) if self.reward else 0)


@attrs.frozen
class Unit:
    """Items of one group that one agent runs together.

    Attributes
    ----------
    key : str
    items : tuple of Item
    """

    key: str
    items: tuple[Item, ...]


@attrs.frozen
class UnitSummary:
    """What is known of a unit without its bodies.

    Attributes
    ----------
    key, group : str
    items : tuple of str
        Ids.
    hint : int
        The longest estimate among the items, in output tokens.
    memory : int
        Tokens of an engine's memory that the largest is estimated to take.
    """

    key: str
    group: str
    items: tuple[str, ...]
    hint: int = 0
    memory: int = 0


@attrs.frozen
class Job:
    """One batch job as accepted.

    Attributes
    ----------
    id : str
    host, path : str
        Where it was submitted; they select its route.
    model : str
        Empty where it is for no trainer.
    step : int
        Of the trainer; -1 where it is for no trainer.
    oldest_version : int
        Oldest weight version that may generate its tokens.
    submitted : float
        Store time in seconds.
    units : tuple of UnitSummary
    groups_needed : int
        Whole groups that its trainer waits for; 0 for all.
    workspace : str
        For which its items run; empty for none.
    """

    id: str
    host: str
    path: str
    model: str
    step: int
    oldest_version: int
    submitted: float
    units: tuple[UnitSummary, ...]
    groups_needed: int = 0
    workspace: str = ""

    @property
    def item_count(self) -> int:
        """Number of items."""
        return sum(len(unit.items) for unit in self.units)

    def unit_key_of(self, item_id: str) -> str | None:
        """Return the key of the unit that holds an item."""
        holders = (u.key for u in self.units if item_id in u.items)
        return next(holders, None)


@attrs.frozen
class Result:
    """The end of one item.

    Attributes
    ----------
    item : str
    state : ResultState
    text : str
        Data of all events in order, separated by line feeds.
    versions : tuple of int
        Weight versions that generated an event of the text.
    score : str
        Signature of the reward call's answer.
    pieces : int
        Rows that hold the text, where the result stands without it.
    size : int
        Characters of the text.
    """

    item: str
    state: ResultState
    text: str = ""
    versions: tuple[int, ...] = ()
    score: str = ""
    pieces: int = 0
    size: int = 0


@attrs.frozen
class Partial:
    """Events of an item that was handed over before its end.

    Attributes
    ----------
    item : str
    events : tuple of str
        Data of the events 1, 2, and so on.
    versions : tuple of int
    """

    item: str
    events: tuple[str, ...]
    versions: tuple[int, ...]


@attrs.frozen
class Claim:
    """Who runs a unit.

    Attributes
    ----------
    agent : str
        Name; empty where it was given back.
    session : str
        Start of that agent, which ends with its process.
    done : bool
        Whether all items of the unit have results.
    """

    agent: str = ""
    session: str = ""
    done: bool = False


@attrs.frozen
class Heartbeat:
    """What an agent writes of itself, each 0.4 s or less often in large fleets.

    Attributes
    ----------
    session : str
        Start of the agent.
    beat : int
        Number of the heartbeat, from 1.
    pace : float
        Seconds between two events at its engine now; 0 for unknown.
    usual : float
        The same at its best of the last seconds; see `Pace.usual`.
    engine : str
        Id of the engine beside it; empty where none was listed.
    born : int
        Start of that engine; see `ServerStart`.
    places : int
        Items that the engine could take at once.
    home : str
        Model that the engine is set to serve; empty for none, or for several.
    """

    session: str
    beat: int = 0
    pace: float = 0.0
    usual: float = 0.0
    engine: str = ""
    born: int = 0
    places: int = 0
    home: str = ""

    @property
    def server_start(self) -> ServerStart:
        """Start of the engine of which this tells."""
        return ServerStart(self.engine, self.born)


# What `cattrs` raises for a value that is not of the kind asked for.
CONVERSION_ERRORS = (
    cattrs.BaseValidationError,
    AttributeError,
    KeyError,
    TypeError,
    ValueError,
)
converter = cattrs.Converter(omit_if_default=True)
converter.register_unstructure_hook(bytes, lambda b: base64.b64encode(b).decode())
converter.register_structure_hook(bytes, lambda text, _: base64.b64decode(text))


def to_row(value: object) -> dict:
    """Return a value as a row of the store holds it."""
    return converter.unstructure(value)


def from_row(row: dict, kind: type):
    """Return a value of ``kind`` from a row of the store; raises `ForeignRow`."""
    try:
        return converter.structure(row, kind)
    except CONVERSION_ERRORS as error:
        raise InvalidRowError(f"no {kind.__name__}: {error!r}") from error


def qualified_job_id(workspace: str, submitted: str) -> str:
    """Return the id under which a batch job is kept.

    Each workspace has ids of its own: to others, its jobs are not there, and neither
    can take an id from the other.

    Parameters
    ----------
    workspace : str
        Empty for none.
    submitted : str
        Id that the submitter gave it.
    """
    parts = (workspace, submitted) if workspace else (submitted,)
    return "/".join(urllib.parse.quote(part, safe="") for part in parts)


def parse_rows(rows: Iterable[Row], kind: type) -> Iterator[tuple[Row, object]]:
    """Yield rows with their values; those that are not of the kind are left out."""
    for row in rows:
        value = parse_row(row, kind)
        if value is not None:
            yield row, value


def parse_row(row: Row, kind: type):
    """Return the value of a row; None, with a log line, where it is not of the kind."""
    try:
        return from_row(row.value, kind)
    except InvalidRowError as error:
        log.error("Cannot read {}/{}/{}: {}", row.table, row.part, row.key, error)
        return None


def summarize_unit(unit: Unit) -> UnitSummary:
    """Return what is known of a unit without its bodies."""
    ids = tuple(item.id for item in unit.items)
    hint = max(item.hint for item in unit.items)
    memory = max(item.memory for item in unit.items)
    return UnitSummary(unit.key, unit.items[0].group, ids, hint, memory)
