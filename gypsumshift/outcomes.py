"""Outcomes: every way in which an operation of the system can end, as values."""

import dataclasses
import datetime

__all__ = [
    "Answered",
    "CannotTell",
    "Committed",
    "Conflict",
    "HeldBack",
    "Invalid",
    "Missing",
    "NotRun",
    "Outcome",
    "Problem",
    "Unavailable",
    "Unknown",
    "Written",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The write took effect.

    Attributes
    ----------
    version : int
        Number of the transaction, where the store counts them; else 0.
    """

    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The write did not take effect: a condition did not hold.

    Attributes
    ----------
    detail : str
        The condition that failed.
    """

    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The operation did not take effect: nobody could be asked.

    Attributes
    ----------
    reason : str
        What stood in the way.
    """

    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The operation may have taken effect, or run, or not.

    Attributes
    ----------
    reason : str
        Why it cannot be told.
    """

    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Missing:
    """There is no such thing."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A whole answer to a request.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : tuple of (str, str)
        Header fields, names in lower case.
    body : bytes
        The whole body.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    def header(self, name: str, default: str = "") -> str:
        """Return the first header field of that lower-case name."""
        return next((value for key, value in self.headers if key == name), default)


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request has not run and never will.

    Attributes
    ----------
    reason : str
        Why it was refused.
    retry_after : datetime.timedelta
        When another try makes sense.
    """

    reason: str
    retry_after: datetime.timedelta = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class HeldBack(NotRun):
    """The request has not run, since backend servers ended under it before."""


@dataclasses.dataclass(frozen=True, slots=True)
class CannotTell(NotRun):
    """The request has not run, since this host may not know whether its key is good."""


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One thing that is wrong with an input.

    Attributes
    ----------
    where : str
        File with line, or file with path, or request field.
    what : str
        What is wrong there, with the offending value.
    mend : str
        How to mend it.
    """

    where: str
    what: str
    fix: str

    def __str__(self) -> str:
        return f"{self.where}: {self.what}; {self.fix}"


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """The input was rejected; nothing of it took effect.

    Attributes
    ----------
    problems : tuple of Problem
        Everything that was found wrong.
    """

    problems: tuple[Problem, ...]


Written = Committed | Conflict | Unavailable | Unknown
Outcome = Answered | NotRun | Unknown
