"""Builders for authorization tests: one host, its store and its operator."""

import datetime

from gypsumshift.memory import MemoryTables
from gypsumshift.metrics import Metrics
from gypsumshift.outcomes import Unavailable
from gypsumshift.platforms import Write
from gypsumshift.serving import Directory, RouteTable
from gypsumshift.serving.authorization import Authorizer
from gypsumshift.serving.freshness import ConfigFreshness
from gypsumshift.watch import Watch
from gypsumshift.workspaces import Workspace, Workspaces, key_digest
from tests.builders import ManualClock

METRICS = Metrics("admission", dict)
BOUND = datetime.timedelta(seconds=5)
TABLE = "settings"


class FakeStore(MemoryTables):
    """A store that answers at once, after a delay, or not at all."""

    unavailable = False
    delay = 0.0
    calls = 0

    def __init__(self, clock):
        super().__init__()
        self.clock = clock

    async def changes(self, table, after, wait):
        self.calls += 1
        if self.unavailable:
            return Unavailable("away")
        answer = await super().changes(table, after, datetime.timedelta())
        self.clock.advance(self.delay)
        return answer


class SuspendedClock(ManualClock):
    """Clock of a host that may be suspended."""

    suspended = 0.0

    def monotonic_with_suspend(self):
        return self.seconds + self.suspended


class AuthorizationHost:
    """One host, its store, and an operator who adds and revokes keys."""

    def __init__(self, bound=BOUND):
        self.clock = SuspendedClock()
        self.store = FakeStore(self.clock)
        self.directory = Directory()
        self.watch = Watch(
            self.store, TABLE, self.apply_rows, self.apply_rows, self.clock
        )
        self.freshness = ConfigFreshness(self.watch, self.directory, self.clock, bound)
        self.authorizer = Authorizer(self.directory, self.freshness, METRICS)
        self.version = 0

    def apply_rows(self, rows):
        for row in rows:
            workspace_list = [
                Workspace(name, frozenset(key_digest(key) for key in keys))
                for name, keys in row.value["workspaces"].items()
            ]
            workspaces = Workspaces(workspace_list, required=True)
            version = row.value["version"]
            self.directory.set_routes(RouteTable(version, workspaces=workspaces))

    async def write(self, **workspaces):
        """Store a configuration with the given keys by workspace."""
        self.version += 1
        value = {"version": self.version, "workspaces": workspaces}
        await self.store.commit([Write(TABLE, "config", value)])

    async def refresh(self):
        """Query the store until the configuration is received and confirmed."""
        for _ in range(2):
            await self.watch.poll_once()

    async def authorize(self, key="k", **options):
        return await self.authorizer.authorize("r", key, **options)
