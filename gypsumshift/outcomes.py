"""Outcomes: result types for the ways in which an operation can end."""

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
    "WriteOutcome",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The write took effect.

    Attributes
    ----------
    version : int
        Number of the transaction if the store numbers them, else 0.
    """

    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The write did not take effect because a condition did not hold.

    Attributes
    ----------
    detail : str
        The condition that failed.
    """

    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The operation did not take effect because the service was not available.

    Attributes
    ----------
    reason : str
        Why the service was not available.
    """

    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """It is unknown whether the operation took effect, or the request ran.

    Attributes
    ----------
    reason : str
        Why the result is unknown.
    """

    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Missing:
    """The requested row, object or resource does not exist."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The complete response to a request.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : tuple of (str, str)
        Header fields, with names in lower case.
    body : bytes
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    def header(self, name: str, default: str = "") -> str:
        """Return the first value of a header field, named in lower case."""
        return next((value for key, value in self.headers if key == name), default)


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request has not run and will not run.

    Attributes
    ----------
    reason : str
        Why it was refused.
    retry_after : datetime.timedelta
        Time after which a retry is useful.
    """

    reason: str
    retry_after: datetime.timedelta = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class HeldBack(NotRun):
    """The request has not run because it crashed backend servers before."""


@dataclasses.dataclass(frozen=True, slots=True)
class CannotTell(NotRun):
    """The request has not run because its key could not be checked.

    The configuration on this host may be too old to decide whether the key is valid.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """An error in an input.

    Attributes
    ----------
    where : str
        File and line, file and path within it, or field of the request.
    what : str
        Description of the error, with the offending value.
    fix : str
        How to correct the input.
    """

    where: str
    what: str
    fix: str

    def __str__(self) -> str:
        return f"{self.where}: {self.what}; {self.fix}"


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """The input was rejected and no part of it took effect.

    Attributes
    ----------
    problems : tuple of Problem
        All errors that were found.
    """

    problems: tuple[Problem, ...]


WriteOutcome = Committed | Conflict | Unavailable | Unknown
Outcome = Answered | NotRun | Unknown
