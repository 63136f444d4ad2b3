"""Processes that send to a server on connections, which end when it restarts.

Extends the model of `cold_senders`: a connection reaches the start that accepted it, or
nothing, and processes may ask each other for permits.
"""

import attrs

from gypsumshift.serving.cold import Grant, Link, Permit
from gypsumshift.serving.cold.permits import MAX_ASKED, PERMIT_SECONDS
from tests.cold_senders import STEP, SenderWorld
from tests.cold_world import Arrival

# Time for which the client keeps an idle connection.
KEEP_SECONDS = 4.0
ENTRY_PERIOD = 1.2


@attrs.define(eq=False)
class ModelLink(Link):
    """Connection of one process to one start of the server."""

    opened_at: float
    heard_at: float
    born: int
    closed: bool = False
    # A partition can hide the end of a connection.
    looks_open: bool = False

    def is_open(self):
        return self.looks_open or not self.closed


class Asking:
    """Asks other processes of the world as `PermitClient` does, without a network."""

    def __init__(self, world, sender):
        self.world = world
        self.sender = sender

    async def ask(self, server, capacity, cold):
        world, now = self.world, self.world.clock.monotonic()
        division = self.sender.rates.own_part.__self__
        names = division.senders(server.id, capacity)
        known = [s for s in world.senders if s.name in names and s is not self.sender]
        grant = Grant.REFUSED
        for other in world.chance.sample(known, min(len(known), MAX_ASKED)):
            grant = other.rates.lending.lend(server.start)
            if grant is not Grant.REFUSED:
                break
        world.grants[grant] += 1
        return Permit(grant, now, now + PERMIT_SECONDS)


class LinkedWorld(SenderWorld):
    """Some processes with connections to one server that they know as warm.

    Attributes
    ----------
    links : dict
        Open `ModelLink` objects by process name.
    withheld : int
        Requests that a process could not send.
    tells_cold : bool
        Whether answers tell the remaining cold time.
    warm : bool
        Whether the server is warm.
    grants : dict
        Number of questions about permits by their `Grant`.
    active : list of Sender or None
        Processes that send; None for all.
    """

    def __init__(self, seed, processes, division, asks=True, **options):
        self.links = {}
        self.asks = asks
        self.withheld = 0
        self.tells_cold = False
        self.warm = True
        self.grants = dict.fromkeys(Grant, 0)
        self.entry_at = 0.0
        self.active = None
        super().__init__(seed, processes, division, **options)

    def add_sender(self, name=""):
        super().add_sender(name)
        sender = self.senders[-1]
        links = self.links.setdefault(sender.name, [])
        sender.rates.proofs.links = lambda address: links
        if self.asks:
            sender.rates.lending.client = Asking(self, sender)

    def restart_server(self):
        """Start the server again: connections end; entries tell it up to 2 s late."""
        super().restart_server()
        self.warm = False
        for links in self.links.values():
            for link in links:
                link.closed = True
            links[:] = [link for link in links if link.looks_open]

    def cool_down(self):
        """Make the server cold without a restart; entries tell it up to 2 s late."""
        self.warm = False
        self.server = self.new_start(self.server.born)
        for sender in self.senders:
            sender.learn_at = self.clock.monotonic() + self.chance.uniform(0, 2)

    def forget(self):
        """Forget what arrived, what was withheld and what was granted so far."""
        self.arrivals.clear()
        self.withheld = 0
        self.grants = dict.fromkeys(Grant, 0)

    def run(self, seconds, chance_to_send=1.0, senders=None):
        """Let some processes send for some seconds; all of them by default."""
        self.active = senders
        super().run(seconds, chance_to_send)

    def entry(self):
        return self.warm_entry() if self.warm else self.server

    def step(self, chance_to_send=1.0):
        now = self.clock.monotonic()
        if now >= self.entry_at:
            self.entry_at = now + ENTRY_PERIOD
            for sender in self.senders:
                if sender.learn_at == float("inf") and not sender.cut:
                    sender.rates.directory.set_server(self.entry())
        for links in self.links.values():
            links[:] = [k for k in links if now - k.heard_at < KEEP_SECONDS]
        super().step(chance_to_send)

    def send(self, sender, now, fresh=False):
        """Send one request; ``fresh`` ones open a connection of their own."""
        if self.active is not None and sender not in self.active:
            return False
        links = self.links[sender.name]
        usable = [] if fresh else [link for link in links if not link.closed]
        link = usable[-1] if usable else ModelLink(now, now, self.server.born)
        if link not in links:
            links.append(link)
        known = sender.rates.directory.servers[self.server.id]
        check = sender.rates.check(known, f"r{len(self.arrivals)}")
        finish(check.prepare(link))
        if not check():
            self.withheld += 1
            return False
        check.settle()
        if link.born == self.server.born and not link.closed:
            late = self.chance.uniform(0.001, 0.05)
            self.arrivals.append(Arrival(now, now + late, not self.warm, 200))
            link.heard_at = now
            check.note_answer(False, self.cold_header())
        return True

    def cold_header(self):
        if not self.tells_cold:
            return ""
        return "0" if self.warm else "3000"


def finish(coroutine):
    """Run a coroutine that waits for nothing to its end."""
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise AssertionError("the coroutine waits")


__all__ = ["STEP", "LinkedWorld", "ModelLink", "finish"]
