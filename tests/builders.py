"""Builders and fakes shared by the tests: clock, platform, members and load reports."""

import datetime

from gypsumshift import memory, platforms
from gypsumshift.clock import Clock
from gypsumshift.events import EventRecorder
from gypsumshift.generated.messages import Load, Member, Role
from gypsumshift.outcomes import Unavailable, Unknown


class ManualClock(Clock):
    """Clock whose time changes only by `advance` and `sleep`."""

    def __init__(self):
        self.seconds = 1000.0

    def monotonic(self):
        return self.seconds

    def now(self):
        start = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
        return start + datetime.timedelta(seconds=self.seconds)

    async def sleep(self, seconds):
        self.seconds += seconds

    def advance(self, seconds):
        self.seconds += seconds


class FaultyTables(memory.MemoryTables):
    """Tables in memory with faults.

    While ``down``, they are unavailable. The next ``lost_requests`` writes fail with an
    unknown outcome and no effect, the next ``lost_answers`` writes after their effect.
    """

    def __init__(self):
        super().__init__()
        self.down = False
        self.lost_answers = 0
        self.lost_requests = 0

    async def read(self, table, key, part=""):
        if self.down:
            return Unavailable("down")
        return await super().read(table, key, part)

    async def scan(self, table, prefix, part=""):
        if self.down:
            return Unavailable("down")
        return await super().scan(table, prefix, part)

    async def commit(self, writes):
        if self.down:
            return Unavailable("down")
        if self.lost_requests:
            self.lost_requests -= 1
            return Unknown("the request was lost")
        outcome = await super().commit(writes)
        if self.lost_answers:
            self.lost_answers -= 1
            return Unknown("the answer was lost")
        return outcome


def platform(tables=None):
    """Return a new platform whose services keep their data in memory."""
    return platforms.Platform(
        tables or memory.MemoryTables(),
        memory.MemoryObjectStore(),
        memory.MemoryWeightStore(),
        memory.MemoryHostList(),
    )


def recorder(clock=None):
    return EventRecorder("test", clock or ManualClock())


def member(name="sidecar-a", **changes):
    """Return the membership entry of a sidecar."""
    fields = {
        "name": name,
        "incarnation": 1,
        "role": Role.SIDECAR,
        "zone": "here",
        "host": "127.0.0.1",
        "port": 1,
        "pool": "pool",
        "backend": name.removeprefix("sidecar-"),
        "leaving": False,
        "fence": 1,
        "version": 0,
    }
    return Member(**(fields | changes))


def load(**changes):
    """Return a load report of an idle backend server."""
    fields = {
        "running": 0,
        "queued": 0,
        "limit": 8,
        "wait_ms": 0,
        "version": 1,
        "healthy": True,
        "swapping": False,
        "duration_s": 0.1,
        "mark": 0,
        "queued_clients": 0,
        "queued_internal": 0,
    }
    return Load(**(fields | changes))
