"""Requests under which servers end, amid faults drawn by a seed, in the loop's time.

What users saw is told in `test_fatal_requests.py`. Here gateways start again, are cut
off from the store or from each other, the store is away, slow, loses answers and its
history, servers are lost by themselves, and callers leave before they are answered.
"""

import asyncio
import collections
import functools

import pytest

from gypsumshift.outcomes import Answered
from gypsumshift.serving.quarantine import MAX_RECORDS
from tests import own_time
from tests.crash_world import KINDS, CrashWorld

# Seconds with faults, and of calm behind them.
FAULTS, CALM = 25.0, 8.0
# Seconds that a gateway must have been undisturbed for to be in touch, within which all
# that are know, and requests of which these may send something later.
IN_TOUCH, KNOWN_WITHIN, RETRIES_LEFT = 3.0, 3.0, 3
FATAL = (b"fatal one", b"fatal two")
# Seeds in which a stream was whole before its last server ended, and was cleared.
PIECED_TOGETHER = (12, 28, 65, 156, 219, 267, 300)
# One in which the only process that saw a lone end was killed before it told of it.
TOLD_LATE = (92,)
# One in which processes without room told each other of one end without end.
TOLD_ROUND = (43,)
# One in which a trial that ended its server was followed by the next at once.
TRIED_TWICE = (896,)
FOUND = PIECED_TOGETHER + TOLD_LATE + TOLD_ROUND + TRIED_TWICE


class Days(CrashWorld):
    """Gateways, servers and callers, disturbed by chance.

    Attributes
    ----------
    disturbed : dict
        By gateway, the spans of time in which it was not in order.
    """

    def __init__(self, seed):
        super().__init__(seed, gateways=4, servers=6, attempts=3)
        self.fatal = set(FATAL)
        self.disturbed = collections.defaultdict(list)
        self.faults = [
            self.restart,
            self.cut_from_store,
            self.leave_alone,
            self.trouble_store,
            self.lose_server,
            self.lose_history,
        ]

    async def play(self):
        await asyncio.sleep(0.2)
        callers = [self.begin(self.send(body)) for body in FATAL]
        callers.append(self.begin(self.send(b"popular", (0.02, 0.06))))
        until = self.now + FAULTS
        while self.now < until:
            self.begin(self.chance.choice(self.faults)(self.chance.uniform(0.3, 4.0)))
            await asyncio.sleep(self.chance.uniform(0.1, 1.5))
        await asyncio.sleep(CALM)
        for caller in callers:
            caller.cancel()
        await self.check()

    async def send(self, body, gaps=(0.1, 0.6)):
        """Send a body again and again; some callers leave before they are answered."""
        chance = self.chances()
        prefix = chance.choice(list(KINDS))
        while True:
            name = chance.choice(list(self.gateways))
            if chance.random() < 0.3:
                after = chance.uniform(0.0, 0.15)
                self.begin(self.ask_and_leave(name, body, prefix, after))
            else:
                self.begin(self.ask(name, body, prefix))
            await asyncio.sleep(chance.uniform(*gaps))

    # Faults, each for some seconds.

    async def span(self, seconds, *names):
        """Wait, and note for whom something was out of order meanwhile."""
        began = self.now
        for name in names:
            self.disturbed[name].append((began, began + seconds))
        await asyncio.sleep(seconds)

    def draw(self):
        return self.chance.choice(list(self.gateways))

    async def restart(self, seconds):
        name = self.draw()
        self.start_gateway(name)
        await self.span(0.0, name)

    async def cut_from_store(self, seconds):
        name = self.draw()
        way = self.ways[name]
        way.down = True
        await self.span(seconds, name)
        way.down = False

    async def leave_alone(self, seconds):
        name = self.draw()
        self.alone.add(name)
        await asyncio.sleep(seconds)
        self.alone.discard(name)

    async def trouble_store(self, seconds):
        kind, value = self.chance.choice(
            [("down", True), ("lose", 0.5), ("slow", 0.3), ("slow", 1.0)]
        )
        ways = list(self.ways.values())
        for way in ways:
            setattr(way, kind, value)
        await self.span(seconds, *self.gateways)
        for way in ways:
            setattr(way, kind, type(value)())

    async def lose_server(self, seconds):
        up = [worker for worker in self.workers if worker.up]
        if len(up) > 1:
            await self.end(self.chance.choice(up), seconds)

    async def lose_history(self, seconds):
        self.tables.forget()

    # What is checked.

    def in_touch(self, name, at):
        spans = self.disturbed[name]
        return not any(a <= at and b >= at - IN_TOUCH for a, b in spans)

    async def check(self):
        for task in self.tasks:
            if task.done() and not task.cancelled():
                task.result()
        for body in FATAL:
            late = self.late_runs(body, KNOWN_WITHIN)
            late = {r.request for r in late if self.in_touch(r.sender, r.at)}
            assert len(late) <= RETRIES_LEFT, (body, late)
        for name, gateway in self.gateways.items():
            assert len(gateway.guard.quarantine.records) <= MAX_RECORDS
            assert isinstance(await self.ask(name, b"popular"), Answered), name


class DaysWithFailures(Days):
    """The same with servers that answer all with a failure for a while."""

    def __init__(self, seed):
        super().__init__(seed)
        self.faults.append(self.fail_server)

    async def fail_server(self, seconds):
        worker = self.chance.choice(self.workers)
        worker.failing = True
        await asyncio.sleep(seconds)
        worker.failing = False


@pytest.mark.parametrize(
    ("days", "seed"),
    [
        *((Days, seed) for seed in (*range(6), *FOUND)),
        *((DaysWithFailures, seed) for seed in range(6)),
    ],
)
def test_what_ends_servers_is_held_back_and_sound_requests_are_not(days, seed):
    async def run(seed):
        world = days(seed)
        try:
            await world.play()
        finally:
            await world.close()

    own_time.play(functools.partial(run, seed))
