"""Builders of one host, a store, and an operator who gives and takes keys."""

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
    """A store that answers at once, after a while, or not."""

    away = False
    takes = 0.0
    calls = 0

    def __init__(self, clock):
        super().__init__()
        self.clock = clock

    async def changes(self, table, after, wait):
        self.calls += 1
        if self.away:
            return Unavailable("away")
        answer = await super().changes(table, after, datetime.timedelta())
        self.clock.advance(self.takes)
        return answer


class SuspendedClock(ManualClock):
    """Clock of a host that may be suspended."""

    suspended = 0.0

    def monotonic_with_suspend(self):
        return self.seconds + self.suspended


class AuthorizationWorld:
    """One host, the store, and an operator who gives and takes keys."""

    def __init__(self, bound=BOUND):
        self.clock = SuspendedClock()
        self.store = FakeStore(self.clock)
        self.directory = Directory()
        self.watch = Watch(self.store, TABLE, self.take, self.take, self.clock)
        self.freshness = ConfigFreshness(self.watch, self.directory, self.clock, bound)
        self.authorizer = Authorizer(self.directory, self.freshness, METRICS)
        self.version = 0

    def take(self, rows):
        for row in rows:
            found = [
                Workspace(name, frozenset(key_digest(key) for key in keys))
                for name, keys in row.value["workspaces"].items()
            ]
            workspaces = Workspaces(found, required=True)
            version = row.value["version"]
            self.directory.set_routes(RouteTable(version, workspaces=workspaces))

    async def write(self, **workspaces):
        """Have the store hold a configuration with these keys."""
        self.version += 1
        value = {"version": self.version, "workspaces": workspaces}
        await self.store.commit([Write(TABLE, "config", value)])

    async def refresh(self):
        """Have the host ask the store, until all is known and confirmed."""
        for _ in range(2):
            await self.watch.poll_once()

    async def authorize(self, key="k", **options):
        return await self.authorizer.authorize("r", key, **options)
