"""Processes that send to a cold server, their table, and faults of both.

Time advances in steps. Each process has its own copy of the table of processes; a
process that is cut off keeps its copy and cannot announce itself.
"""

import datetime
import random

import attrs

from gypsumshift.serving import BackendServer, Directory
from gypsumshift.serving.cold.senders import ProcessTable
from gypsumshift.serving.coldrates import ColdRates
from tests.builders import ManualClock
from tests.cold_world import BOUND, LIMIT, Arrival, cold_routes
from tests.job_builders import METRICS

STEP = 0.05
REFRESH_PERIOD = 1.0


class CopiedTable(ProcessTable):
    """Copy of the table that one process has."""

    def __init__(self, name):
        self.own_name = name
        self.known = set()
        self.copied_at = float("-inf")
        self.announced_at = float("inf")

    def names(self):
        return self.known - {self.own_name}

    def current_at(self):
        return self.copied_at

    def listed_since(self):
        return self.announced_at


@attrs.define(eq=False)
class Sender:
    """One process that sends to the server whenever it may."""

    name: str
    table: CopiedTable
    rates: ColdRates
    refresh_at: float
    announce_at: float
    alive: bool = True
    cut: bool = False
    learn_at: float = float("inf")


class SenderWorld:
    """Some processes and one server that is cold all the time.

    Parameters
    ----------
    seed : int
    processes : int
    division : callable
        Makes the `SenderDivision` of a process; None for processes without a limit.
    bound : ColdBound
    """

    def __init__(self, seed, processes, division, bound=BOUND):
        self.chance = random.Random(seed)
        self.clock = ManualClock()
        self.division = division
        self.bound = bound
        self.rows = set()
        self.senders = []
        self.arrivals = []
        self.started = 0
        self.server = self.new_start(1)
        for _ in range(processes):
            self.add_sender()
        # The processes have run for long.
        for sender in self.senders:
            self.rows.add(sender.name)
            sender.table.announced_at = self.clock.monotonic() - 100
        for sender in self.senders:
            self.refresh(sender)

    def new_start(self, born):
        """Return the server's entry for one of its starts."""
        return BackendServer(
            "app-1",
            "app",
            ("10.0.0.9", 1),
            "here",
            8,
            born=born,
            cold_left=datetime.timedelta(seconds=1000),
        )

    def warm_entry(self):
        """Return the entry of the server's present start once it is warm."""
        return attrs.evolve(self.server, cold_left=datetime.timedelta())

    def add_sender(self, name=""):
        """Start a process, under a new name or one that was used before."""
        self.started += 1
        name = name or f"p{self.started}"
        now = self.clock.monotonic()
        directory = Directory()
        directory.set_routes(cold_routes())
        table = CopiedTable(name)
        rates = ColdRates(directory, self.clock, METRICS, self.bound)
        if self.division is not None:
            rates.own_part = self.division(table, self.clock).own_part
        directory.set_server(self.server)
        sender = Sender(
            name,
            table,
            rates,
            now + self.chance.uniform(0.05, 0.5),
            now + self.chance.uniform(0.05, 0.5),
        )
        self.senders.append(sender)

    def kill(self, sender):
        sender.alive = False
        self.senders.remove(sender)

    def refresh(self, sender):
        """Bring a process's copy up to date, as of a moment ago."""
        sender.table.known = set(self.rows)
        sender.table.copied_at = self.clock.monotonic()
        sender.refresh_at = self.clock.monotonic() + REFRESH_PERIOD

    def restart_server(self):
        """Start the server again; processes learn it up to 2 s late."""
        self.server = self.new_start(self.server.born + 1)
        for sender in self.senders:
            sender.learn_at = self.clock.monotonic() + self.chance.uniform(0, 2)

    def step(self, chance_to_send=1.0):
        """Let each process follow the table, and send if it may."""
        now = self.clock.monotonic()
        senders = self.senders[:]
        self.chance.shuffle(senders)
        for sender in senders:
            if not sender.cut and sender.announce_at <= now:
                self.rows.add(sender.name)
                sender.table.announced_at = min(sender.table.announced_at, now)
                sender.announce_at = now + 15
            if sender.learn_at <= now:
                sender.learn_at = float("inf")
                sender.rates.directory.set_server(self.server)
            if not sender.cut and sender.refresh_at <= now:
                self.refresh(sender)
            if self.chance.random() < chance_to_send:
                self.send(sender, now)
        self.clock.advance(STEP)

    def send(self, sender, now):
        if self.division is None:
            allowed = True
        else:
            known = sender.rates.directory.servers[self.server.id]
            check = sender.rates.check(known, "r")
            allowed = check()
            check.settle()
        if allowed:
            late = self.chance.uniform(0.001, 0.05)
            self.arrivals.append(Arrival(now, now + late, True, 200))

    def run(self, seconds, chance_to_send=1.0):
        for _ in range(round(seconds / STEP)):
            self.step(chance_to_send)

    def rate(self, seconds, chance_to_send=1.0):
        """Return the requests per second that the server gets for some seconds."""
        before = len(self.arrivals)
        self.run(seconds, chance_to_send)
        return (len(self.arrivals) - before) / seconds


def cut_half(world):
    """Half of the processes are cut off for longer than a copy may be old."""
    for sender in world.chance.sample(world.senders, len(world.senders) // 2):
        sender.cut = True
    world.run(2)
    add_pairs(world)
    world.run(2)
    for sender in world.senders:
        sender.cut = False
    world.run(3)


def restart_half(world):
    """Half of the processes are killed, and are back within a second."""
    killed = world.chance.sample(world.senders, len(world.senders) // 2)
    for sender in killed:
        world.kill(sender)
    world.run(world.chance.uniform(0.1, 0.9))
    for sender in killed:
        world.add_sender(sender.name)
    world.run(6)


def add_pairs(world):
    """Two processes are added at a time, a second apart."""
    for _ in range(3):
        world.add_sender()
        world.add_sender()
        world.run(1)
    world.run(5)


def restart_server(world):
    world.restart_server()
    world.run(2)


def lose_tables(world):
    """Copies of the table differ by up to the time that a copy may be old."""
    for sender in world.senders:
        sender.refresh_at += world.chance.uniform(0, 4)
    add_pairs(world)
    for sender in world.chance.sample(world.senders, 4):
        world.kill(sender)
    world.run(4)


FAULTS = {
    "cut": cut_half,
    "restart": restart_half,
    "pairs": add_pairs,
    "server": restart_server,
    "tables": lose_tables,
}

__all__ = ["FAULTS", "LIMIT", "STEP", "SenderWorld"]
