"""Known failures: tests of faults that are not mended yet.

``KNOWN-RED.txt`` at the root has a line for each: the test, ``|``, the cause, ``|``,
the issue. Such a test is expected to fail, and one that passes fails the run, so that
a mended fault is taken off the list.
"""

import pathlib

import attrs
import pytest

__all__ = ["FILE", "KnownRed", "mark", "parse", "report"]

FILE = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
SEPARATOR = "|"


@attrs.frozen
class KnownRed:
    """One line of the list.

    Attributes
    ----------
    test : str
        Id of the test, as pytest prints it.
    cause, issue : str
    """

    test: str
    cause: str
    issue: str


def parse(text: str) -> list[KnownRed]:
    """Return the entries of a list; raises ValueError for a line that is none."""
    lines = [line.strip() for line in text.splitlines()]
    return [parse_line(line) for line in lines if line and not line.startswith("#")]


def parse_line(line: str) -> KnownRed:
    """Return the entry of one line."""
    fields = [field.strip() for field in line.split(SEPARATOR)]
    if len(fields) != 3 or not all(fields):
        raise ValueError(f"not a test, a cause and an issue: {line!r}")
    return KnownRed(*fields)


def mark(items: list[pytest.Item], known: list[KnownRed]) -> None:
    """Expect the listed tests among the collected ones to fail."""
    by_test = {entry.test: entry for entry in known}
    for item in items:
        entry = by_test.get(item.nodeid)
        if entry is not None:
            reason = f"known red, issue {entry.issue}: {entry.cause}"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def report(known: list[KnownRed]) -> list[str]:
    """Return the lines that a run prints of the list."""
    return [f"{entry.test}: {entry.cause} (issue {entry.issue})" for entry in known]
