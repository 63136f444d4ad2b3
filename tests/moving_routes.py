"""Builder for tests: calls whose routes move while they are served, in virtual time."""

import asyncio
import datetime
import random

import attrs

from gypsumshift import memory
from gypsumshift.outcomes import Answered
from gypsumshift.serving import BackendServer, Directory, RouteTable, Service, Target
from gypsumshift.serving.calls import Call, Failed, Refused
from gypsumshift.serving.crashguard import CrashGuard
from gypsumshift.serving.forwarder import Forwarder
from gypsumshift.serving.loadbalancer import LoadBalancer
from gypsumshift.serving.sender import Sender
from tests.job_builders import HOST, METRICS, NAMES, routes
from tests.virtual_time import LoopClock, run_in_virtual_time

OLD, NEW = "old", "new"
OBJECTIVE = datetime.timedelta(seconds=0.4)
# Time after which an attempt at the old service ends, and before that the route moves.
WORK_S, MOVE_AFTER_S = 0.05, 0.02
LIMIT_S = 3.0


def route(*targets, **changes):
    """Return the route of the calls, to services or targets."""
    found = routes().find(HOST, "/score/")
    pairs = tuple(Target(t) if isinstance(t, str) else t for t in targets)
    return attrs.evolve(found, targets=pairs, objective=OBJECTIVE, **changes)


def table(version, *targets, **changes):
    """Return a configuration; without targets it has no route for the calls."""
    found = [route(*targets, **changes)] if targets else []
    return RouteTable(version, found, [Service(OLD), Service(NEW)])


def server(name, service):
    return BackendServer(name, service, ("127.0.0.1", 9), "here")


class ScriptedSender(Sender):
    """Sender whose attempts at the old service end as told; the new one answers.

    Attributes
    ----------
    sends : list of str
        Service of each attempt.
    ends_with : outcome or None
        Outcome of an attempt at the old service; None to hang.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.sends = []
        self.ends_with = Failed("broken", True)

    async def exchange(self, call, server, progress):
        self.sends.append(server.service)
        progress.connected = not isinstance(self.ends_with, Refused)
        if server.service == NEW:
            return Answered(200)
        await asyncio.sleep(WORK_S if self.ends_with else 60)
        return self.ends_with


class MovingWorld:
    """A forwarder with two servers of the old service and one of the new one."""

    def __init__(self, first=None):
        self.clock, self.directory = LoopClock(), Directory()
        self.directory.set_routes(first or table(1, OLD))
        for name, service in (("a", OLD), ("b", OLD), ("c", NEW)):
            self.directory.set_server(server(name, service))
        balancer = LoadBalancer("here", self.clock, random.Random(1))
        arguments = (self.directory, balancer, None, NAMES, self.clock, METRICS)
        self.sender = ScriptedSender(*arguments)
        store = memory.MemoryTables()
        guard = CrashGuard(store, self.clock, random.Random(1), METRICS)
        self.forwarder = Forwarder(self.sender, guard)

    def call(self, **fields):
        """Return a call by the route in force."""
        found = self.directory.routes.find(HOST, "/score/")
        deadline = self.clock.monotonic() + LIMIT_S
        return Call("r", "POST", "/score/1", HOST, [], b"", found, deadline, **fields)

    async def forward(self, *changes, **fields):
        """Forward a call beside which changes are applied one after another."""
        moving = asyncio.create_task(self.change(changes))
        try:
            return await self.forwarder.forward(self.call(**fields))
        finally:
            await moving

    async def change(self, changes):
        for each in changes:
            await asyncio.sleep(MOVE_AFTER_S)
            each(self.directory)


def move(configuration):
    """Return a change that applies a configuration."""
    return lambda directory: directory.set_routes(configuration)


def play(scenario, first=None):
    """Run a scenario on a new world in virtual time; return its value."""

    async def run():
        return await scenario(MovingWorld(first))

    return run_in_virtual_time(run)
