"""Runs: what backend servers wrote down of what they ran."""

import json
import pathlib

__all__ = ["read_runs"]


def read_runs(folder: pathlib.Path, kind: str) -> list[dict]:
    """Return what the backend servers of a kind wrote down, also before a kill."""
    found = []
    for file in sorted(folder.glob(f"{kind}-*.runs")):
        for line in file.read_text().splitlines():
            # A server that is killed may leave half a line.
            if line.endswith("}"):
                found.append(json.loads(line) | {"file": file.name})
    return found
