"""Mark tests that fail because of known faults as expected failures.

``KNOWN-RED.txt`` at the root has a line for each of them, "test | cause | issue". A
listed test that passes fails the run, so that a fixed fault is removed from the list.
Where the cause begins with "intermittent:", the fault shows in some runs only, so the
test may pass as well.
"""

import pathlib

import attrs
import pytest

__all__ = ["FILE", "KnownRed", "mark_expected_failures", "parse", "report_lines"]

FILE = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
SEPARATOR = "|"
INTERMITTENT = "intermittent:"


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
    """Return the entries of a list; raise ValueError for a malformed line."""
    lines = [line.strip() for line in text.splitlines()]
    return [parse_line(line) for line in lines if line and not line.startswith("#")]


def parse_line(line: str) -> KnownRed:
    """Return the entry in a line."""
    fields = [field.strip() for field in line.split(SEPARATOR)]
    if len(fields) != 3 or not all(fields):
        raise ValueError(f"line is not 'test | cause | issue': {line!r}")
    return KnownRed(*fields)


def mark_expected_failures(items: list[pytest.Item], known: list[KnownRed]) -> None:
    """Mark the listed tests among the collected ones as expected to fail."""
    by_test = {entry.test: entry for entry in known}
    for item in items:
        entry = by_test.get(item.nodeid)
        if entry is not None:
            reason = f"known red, issue {entry.issue}: {entry.cause}"
            always = not entry.cause.startswith(INTERMITTENT)
            item.add_marker(pytest.mark.xfail(reason=reason, strict=always))


def report_lines(known: list[KnownRed]) -> list[str]:
    """Return a line for each entry, which the summary of a test run prints."""
    return [f"{entry.test}: {entry.cause} (issue {entry.issue})" for entry in known]
