"""Traces: find the log lines of all processes that contain an id."""

import json
import pathlib
from collections.abc import Callable, Iterator

__all__ = ["find_lines"]

# Log field that identifies a request's contents: equal for all ids under which the same
# request was sent.
FINGERPRINT = "fingerprint"
# Log fields of events at the servers that ran a request: a server crashed, the request
# was tried again after crashes, or a server answered it.
SERVER_EVENT_FIELDS = ("ended", "trial", "cleared")


def find_lines(folder: pathlib.Path, wanted: str) -> list[dict]:
    """Return the log lines that contain an id, sorted by time.

    A request can be held back because it crashed servers under other ids. The lines of
    those crashes are included.

    Parameters
    ----------
    folder : pathlib.Path
        Contains files with one JSON object per line; other lines are ignored.
    wanted : str
        Id of a request, an item, a batch job or a backend server.

    Returns
    -------
    list of dict
        Objects of the lines, with the name of the log file added as ``file``.
    """
    found = list(matching_lines(folder, lambda line: wanted in line))
    known = {value[FINGERPRINT] for value in found if FINGERPRINT in value}
    if known:
        others = matching_lines(
            folder, lambda line: any(name in line for name in known)
        )
        found += [
            value
            for value in others
            if reports_server_event(value) and value not in found
        ]
    return sorted(found, key=lambda value: str(value.get("time", "")))


def matching_lines(
    folder: pathlib.Path, matches: Callable[[str], bool]
) -> Iterator[dict]:
    """Yield the objects of the lines for which ``matches`` is true.

    Lines are filtered before they are parsed, since only few of them match.
    """
    for file in sorted(path for path in folder.rglob("*") if path.is_file()):
        with file.open(errors="replace") as lines:
            for line in lines:
                value = parse_line(line) if matches(line) else None
                if value is not None:
                    yield value | {"file": file.name}


def reports_server_event(value: dict) -> bool:
    """Return whether a log line reports what happened to a server under a request."""
    return any(value.get(name) for name in SERVER_EVENT_FIELDS)


def parse_line(line: str) -> dict | None:
    """Return the JSON object in a line, after any text before it; None if absent."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        value = json.loads(line[start:])
    except ValueError:
        return None
    return value if isinstance(value, dict) else None
