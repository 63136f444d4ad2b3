"""Random tests of agents and desks over a store with late answers.

Each item must have exactly one result. `test_late_answers.py` describes the faults that
users saw. Here the order of events is random, on an event loop with simulated time, so
that waiting costs no time and each seed always gives the same order of events.
"""

import asyncio
import collections
import random

import pytest

from gypsumshift.jobs import Event, JobManager, split_into_units
from gypsumshift.jobs.agent import Agent
from gypsumshift.jobs.localengine import AgentIdentity
from gypsumshift.memory import MemoryTables
from gypsumshift.outcomes import Unavailable, Unknown
from gypsumshift.platforms import StoreWrapper
from gypsumshift.serving import Directory
from gypsumshift.watch import run_watches
from tests import job_builders as jw
from tests.virtual_time import LoopClock, VirtualTimeLoop

# Seconds with faults, at most until all results are listed afterwards, and for calls
# that are still in progress then.
FAULTS, CALM, REST = 8.0, 40.0, 6.0


class LateStore(StoreWrapper):
    """Store connection of one process, with late writes and answers."""

    def __init__(self, world):
        super().__init__(world.tables)
        self.world = world
        self.chance = world.chances()
        self.ended = False

    async def delay(self, most):
        await asyncio.sleep(self.chance.uniform(0.001, most))
        if self.ended:
            await asyncio.Event().wait()

    async def commit(self, writes):
        await self.delay(0.005)
        outcomes = ("late", "late", "late", "lost", "later", "refused", "prompt")
        kind = self.chance.choice(outcomes) if self.world.faulty else "prompt"
        if kind == "refused":
            return Unavailable("429")
        if kind == "later":
            late = self.carry_out(writes, self.chance.uniform(0.4, 5.0))
            self.world.tasks.append(asyncio.create_task(late))
            await self.delay(0.4)
            return Unknown("no answer, and not carried out yet")
        rows = [(w.table, w.part, w.key) for w in writes]
        self.world.duplicate_rows += [row for row in rows if rows.count(row) > 1]
        outcome = await self.inner.commit(writes)
        await self.delay(0.005 if kind == "prompt" else 1.0)
        return Unknown("its answer was lost") if kind == "lost" else outcome

    async def carry_out(self, writes, after):
        await asyncio.sleep(after)
        await self.inner.commit(writes)

    async def scan(self, table, prefix, part=""):
        rows = await self.inner.scan(table, prefix, part)
        await self.delay(0.01)
        return rows


class Engine(jw.FakeEngine):
    """Engine that generates a different text in each run of an item."""

    def __init__(self, world):
        super().__init__()
        self.chance = world.chances()
        self.runs = 0

    async def stream(self, server, item, host, after, urgency):
        self.runs = run = self.runs + 1
        for number in range(after + 1, 5):
            await asyncio.sleep(self.chance.uniform(0.0, 0.1))
            yield Event(number, f"{item.id}:{number}:{run}", self.version)


class Fleet:
    """Two agents, a desk that follows the store's changes and one that reads rows."""

    def __init__(self, seed):
        self.chance = random.Random(seed)
        self.tables, self.clock = MemoryTables(), LoopClock()
        self.faulty, self.duplicate_rows, self.tasks = True, [], []
        self.agents, self.stores = {}, {}
        self.desks = [
            JobManager(LateStore(self), self.clock, jw.METRICS) for _ in range(2)
        ]
        self.jobs, self.results = {}, collections.defaultdict(dict)

    def chances(self):
        return random.Random(self.chance.getrandbits(64))

    def start(self, name):
        directory, store = Directory(), LateStore(self)
        directory.set_routes(jw.routes())
        directory.set_server(jw.server(f"e-{name}"))
        self.agents[name] = agent = Agent(
            AgentIdentity(name, jw.SERVICE, jw.ADDRESS),
            store,
            directory,
            Engine(self),
            jw.FakeForwarder(),
            jw.NAMES,
            self.clock,
            self.chances(),
            jw.METRICS,
        )
        self.stores[name] = store
        self.tasks.append(asyncio.create_task(agent.run()))

    async def submit(self, name):
        units = split_into_units(jw.items(self.chance.randint(2, 4), 2, step=name))
        self.jobs[name] = job = jw.job(units, name)
        await self.desks[0].submit_job(job, units, self.clock.monotonic() + CALM)
        for desk in self.desks:
            self.tasks.append(asyncio.create_task(self.read_results(desk, name)))

    async def read_results(self, desk, name):
        """Read results as trainers do; check that all desks agree on each position."""
        chance, after = self.chances(), 0
        while True:
            page = await desk.result_reader.read_results(
                name, chance.choice((0, after)), 0.2
            )
            after = max(after, page.next)
            for place, result in enumerate(page.results, page.next - len(page.results)):
                known = self.results[name].setdefault(place, result)
                assert known == result, f"{place} of {name} holds another result"
            await asyncio.sleep(chance.uniform(0.02, 0.2))

    async def disturb(self):
        agent = self.agents[name := self.chance.choice("ab")]
        if self.chance.random() < 0.1:
            self.stores[name].ended = True
            self.start(name)
        elif agent.runner.units and self.chance.random() < 0.5:
            units = list(agent.runner.units.values())
            agent.runner.hand_over_unit(self.chance.choice(units), "chance")
        await asyncio.sleep(self.chance.uniform(0.0, 0.5))

    async def play(self):
        self.tasks.append(asyncio.create_task(run_watches(self.desks[0].watches)))
        for name in "ab":
            self.start(name)
        for name in ("one", "two"):
            self.tasks.append(asyncio.create_task(self.submit(name)))
        until = self.clock.monotonic() + FAULTS
        while self.clock.monotonic() < until:
            await self.disturb()
        self.faulty, until = False, until + CALM
        expected = sum(job.item_count for job in self.jobs.values())
        while self.clock.monotonic() < until:
            if sum(map(len, self.results.values())) >= expected:
                break
            await asyncio.sleep(0.1)
        await asyncio.sleep(REST)
        self.check()

    def check(self):
        for task in self.tasks:
            if task.done() and not task.cancelled():
                task.result()
        assert not self.duplicate_rows, "a transaction writes a row twice"
        for name, job in self.jobs.items():
            items = [result.item for result in self.results[name].values()]
            expected = [item for unit in job.units for item in unit.items]
            assert sorted(items) == sorted(expected), "each item has exactly one result"


@pytest.mark.parametrize("seed", range(10))
def test_each_item_has_one_result_despite_late_and_lost_answers(seed):
    async def play():
        await Fleet(seed).play()

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        runner.run(play())
