"""Records of batch jobs, and the store tables that hold them.

All rows of a job are in one partition of the store, named by the job's id, so that
they can be written in one transaction.
"""

import enum
import urllib.parse

import attrs

from gypsumshift.serving.directory import ServerStart

__all__ = [
    "AGENTS",
    "CLAIMS",
    "END_KEY",
    "JOBS",
    "JOB_KEY",
    "JOB_TABLES",
    "PARTIALS",
    "RESULTS",
    "TEXTS",
    "UNITS",
    "Claim",
    "Heartbeat",
    "Item",
    "Job",
    "Partial",
    "Result",
    "ResultState",
    "RewardCall",
    "Unit",
    "UnitSummary",
    "qualified_job_id",
    "summarize_unit",
]

# Table names.
JOBS = "jobs"
UNITS = "units"
CLAIMS = "claims"
RESULTS = "results"
PARTIALS = "partials"
TEXTS = "texts"
AGENTS = "agents"
# Tables with a partition for each job, in the order in which a job's rows are removed.
JOB_TABLES = (TEXTS, PARTIALS, CLAIMS, RESULTS, UNITS, JOBS)
# Row keys in the job table.
JOB_KEY = "job"
END_KEY = "end"


class ResultState(enum.Enum):
    """Final state of an item."""

    WHOLE = "whole"
    GIVEN_UP = "given up"


@attrs.frozen
class RewardCall:
    """The request to the reward service that scores an item.

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
        Name of the item's group, whose items share a prompt; empty for none.
    hint : int
        Estimated number of output tokens; 0 if unknown.
    memory : int
        Estimated engine memory that the item uses at its end, in tokens.
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
        """Total size of the request and reward call bodies, in bytes."""
        return len(self.body) + (len(self.reward.body) if self.reward else 0)


@attrs.frozen
class Unit:
    """Items of one group that one agent claims and runs together.

    Attributes
    ----------
    key : str
    items : tuple of Item
    """

    key: str
    items: tuple[Item, ...]


@attrs.frozen
class UnitSummary:
    """Description of a unit without the bodies of its items.

    Attributes
    ----------
    key, group : str
    items : tuple of str
        Item ids.
    hint : int
        Largest estimate among the items, in output tokens.
    memory : int
        Largest estimated engine memory among the items, in tokens.
    hints : tuple of int
        Estimate of each item, in output tokens; empty in rows of older versions.
    """

    key: str
    group: str
    items: tuple[str, ...]
    hint: int = 0
    memory: int = 0
    hints: tuple[int, ...] = ()

    @property
    def item_hints(self) -> tuple[int, ...]:
        """Estimate of each item; the largest one where they are unknown."""
        return self.hints or (self.hint,) * len(self.items)


@attrs.frozen
class Job:
    """An accepted batch job.

    Attributes
    ----------
    id : str
    host, path : str
        Host and path of the submission, which select the job's route.
    model : str
        Model of the trainer; empty if the job is not part of a training run.
    step : int
        Step of the trainer; -1 if the job is not part of a training run.
    oldest_version : int
        Oldest weight version that may generate tokens of the job.
    submitted : float
        Time of submission by the store's clock, in seconds.
    units : tuple of UnitSummary
    groups_needed : int
        Number of complete groups that the trainer waits for; 0 for all.
    workspace : str
        Workspace on whose behalf the items run; empty for none.
    region : str
        Region of the gateway that accepted it; empty in a deployment of one region.
    services : tuple of str
        Services of the route by which it was accepted; empty in rows of older versions.
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
    region: str = ""
    services: tuple[str, ...] = ()

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
    """The final result of an item.

    Attributes
    ----------
    item : str
        Id of the item.
    state : ResultState
    text : str
        Data of all events in order, separated by line feeds.
    versions : tuple of int
        Weight versions that generated events of the text.
    score : str
        Signature of the response to the reward call.
    pieces : int
        Number of rows that hold the text, if it is stored apart from the result.
    size : int
        Length of the text in characters.
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
    """The partial result of an unfinished item.

    Attributes
    ----------
    item : str
        Id of the item.
    events : tuple of str
        Data of the events, which are numbered from 1.
    versions : tuple of int
        Weight versions that generated the events.
    """

    item: str
    events: tuple[str, ...]
    versions: tuple[int, ...]


@attrs.frozen
class Claim:
    """The claim of an agent to a unit.

    Attributes
    ----------
    agent : str
        Name of the agent; empty if the unit was released.
    session : str
        Identifies the start of the agent; each process has its own.
    done : bool
        Whether all items of the unit have results.
    """

    agent: str = ""
    session: str = ""
    done: bool = False


@attrs.frozen
class Heartbeat:
    """Status that an agent stores every 0.4 s, or less often in large fleets.

    Attributes
    ----------
    session : str
        Identifies the start of the agent.
    beat : int
        Number of the heartbeat, counted from 1.
    pace : float
        Current interval between two events of a stream at the agent's engine, in
        seconds; 0 if unknown.
    usual : float
        Shortest such interval of the last seconds; see `Pace.usual`.
    engine : str
        Id of the agent's engine; empty if none is listed.
    born : int
        Start of that engine; see `ServerStart`.
    places : int
        Number of further items that the engine could take now.
    home : str
        Model that the engine is configured to serve; empty for none or several.
    state : str
        Value of the engine's `EngineState`; empty if unknown.
    slowdown : float
        Mean slowdown that the engine's host reported during the last seconds; 0 if
        unknown.
    event_tokens : float
        Average number of estimated tokens per event of its completed items; 0 if
        unknown.
    """

    session: str
    beat: int = 0
    pace: float = 0.0
    usual: float = 0.0
    engine: str = ""
    born: int = 0
    places: int = 0
    home: str = ""
    state: str = ""
    slowdown: float = 0.0
    event_tokens: float = 0.0

    @property
    def server_start(self) -> ServerStart:
        """Start of the engine that the heartbeat describes."""
        return ServerStart(self.engine, self.born)


def qualified_job_id(workspace: str, submitted: str) -> str:
    """Return the id under which a batch job is stored, qualified by its workspace.

    Each workspace has its own namespace of ids: its jobs do not exist for others, and
    two workspaces can use the same id.

    Parameters
    ----------
    workspace : str
        Empty for none.
    submitted : str
        Id given by the submitter.
    """
    parts = (workspace, submitted) if workspace else (submitted,)
    return "/".join(urllib.parse.quote(part, safe="") for part in parts)


def summarize_unit(unit: Unit) -> UnitSummary:
    """Return the summary of a unit."""
    ids = tuple(item.id for item in unit.items)
    hint = max(item.hint for item in unit.items)
    memory = max(item.memory for item in unit.items)
    hints = tuple(item.hint for item in unit.items)
    return UnitSummary(unit.key, unit.items[0].group, ids, hint, memory, hints)
