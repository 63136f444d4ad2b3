"""Traces: the log lines of all processes that speak of one id."""

import json
import pathlib

__all__ = ["find"]


def find(folder: pathlib.Path, wanted: str) -> list[dict]:
    """Return the log lines that name an id, in order of time.

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
    found = []
    for file in sorted(path for path in folder.rglob("*") if path.is_file()):
        with file.open(errors="replace") as lines:
            for line in lines:
                # Few lines name the id: only these are worth parsing.
                value = parse(line) if wanted in line else None
                if value is not None:
                    found.append(value | {"file": file.name})
    return sorted(found, key=lambda value: str(value.get("time", "")))


def parse(line: str) -> dict | None:
    """Return the object in a line, which may have text before it; None for none."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        value = json.loads(line[start:])
    except ValueError:
        return None
    return value if isinstance(value, dict) else None
