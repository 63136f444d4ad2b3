"""Places of the application servers over time, from the servers' run logs."""

import bisect
import pathlib

import attrs

from soak.runs import read_runs

__all__ = ["KNOWN_WITHIN_S", "PlaceHistory"]

# Time after its start within which all gateways know a server, as long as they reach
# the store.
KNOWN_WITHIN_S = 3.0


@attrs.define
class ServerHistory:
    """Free places of one server over time, across its restarts.

    A server counts as lost from the last line that it wrote before it was killed, and
    without places until gateways know its next start.

    Attributes
    ----------
    slots : int
    times : list of float
        When the number of free places changed, as Unix time in seconds.
    free_counts : list of int
        Free places from each of these times on.
    """

    slots: int = 0
    times: list[float] = attrs.field(factory=list)
    free_counts: list[int] = attrs.field(factory=list)

    def add_lines(self, lines: list[dict]) -> None:
        """Add all lines of the server's run log."""
        held: set[str] = set()
        known_at = 0.0
        last_at = 0.0
        for line in lines:
            if "started" in line:
                self.slots = line["slots"]
                self.add(last_at, 0)
                held, known_at = set(), line["at"] + KNOWN_WITHIN_S
                self.add(known_at, self.slots)
            elif "ended" in line:
                held.discard(line["ended"])
            elif "request" in line:
                held.add(line["request"])
            last_at = line["at"]
            if last_at >= known_at:
                self.add(last_at, max(0, self.slots - len(held)))
            else:
                self.free_counts[-1] = max(0, self.slots - len(held))

    def add(self, at: float, free: int) -> None:
        """Add a change of the number of free places."""
        while self.times and self.times[-1] > at:
            del self.times[-1], self.free_counts[-1]
        self.times.append(at)
        self.free_counts.append(free)

    def least_free(self, from_at: float, to_at: float) -> int:
        """Return the lowest number of free places in a range of time."""
        first = max(0, bisect.bisect_right(self.times, from_at) - 1)
        last = bisect.bisect_right(self.times, to_at)
        return min(self.free_counts[first:last], default=0)


class PlaceHistory:
    """Free places of all application servers over time.

    Parameters
    ----------
    folder : pathlib.Path
        Folder with the run logs.
    """

    def __init__(self, folder: pathlib.Path):
        lines_by_file: dict[str, list[dict]] = {}
        for line in read_runs(folder, "app"):
            lines_by_file.setdefault(line["file"], []).append(line)
        self.servers = [ServerHistory() for _ in lines_by_file]
        for server, lines in zip(self.servers, lines_by_file.values(), strict=True):
            server.add_lines(lines)

    def half_free(self, from_at: float, to_at: float) -> bool:
        """Return whether at least half of all places were free in all of a range.

        The sum of the lowest numbers of the servers is not above the lowest sum.
        """
        free = sum(server.least_free(from_at, to_at) for server in self.servers)
        return 2 * free >= sum(server.slots for server in self.servers)
