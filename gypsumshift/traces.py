"""Traces: the log lines of all processes that speak of one id."""

import json
import pathlib
from collections.abc import Callable, Iterator

__all__ = ["find_lines"]

# Field that is the same in the lines of a request under all of its ids.
FINGERPRINT = "fingerprint"
# Fields of the lines that tell what servers did under a request: that one ended, that
# it was tried again, and that one answered it.
SERVER_EVENT_FIELDS = ("ended", "trial", "cleared")


def find_lines(folder: pathlib.Path, wanted: str) -> list[dict]:
    """Return the log lines that name an id, in order of time.

    A request that is held back for what it did to servers under other ids has those
    lines, too.

    Parameters
    ----------
    folder : pathlib.Path
        Holds files with one JSON object a line; other lines are passed over.
    wanted : str
        Id of a request, an item, a batch job or a backend server.

    Returns
    -------
    list of dict
        With ``file`` added, the name of the file that a line stood in.
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
    """Yield the objects in the lines that ``names`` picks, with their files.

    Few lines are picked: only these are worth parsing.
    """
    for file in sorted(path for path in folder.rglob("*") if path.is_file()):
        with file.open(errors="replace") as lines:
            for line in lines:
                value = parse_line(line) if matches(line) else None
                if value is not None:
                    yield value | {"file": file.name}


def reports_server_event(value: dict) -> bool:
    """Tell whether a line says what servers did under a request."""
    return any(value.get(name) for name in SERVER_EVENT_FIELDS)


def parse_line(line: str) -> dict | None:
    """Return the object in a line, which may have text before it; None for none."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        value = json.loads(line[start:])
    except ValueError:
        return None
    return value if isinstance(value, dict) else None
