"""Read the run logs of backend servers."""

import json
import pathlib

__all__ = ["read_runs"]


def read_runs(folder: pathlib.Path, kind: str) -> list[dict]:
    """Return the runs logged by all backend servers of a kind, across restarts."""
    runs = []
    for file in sorted(folder.glob(f"{kind}-*.runs")):
        for line in file.read_text().splitlines():
            # A server that is killed may leave an incomplete line.
            if line.endswith("}"):
                runs.append(json.loads(line) | {"file": file.name})
    return runs
