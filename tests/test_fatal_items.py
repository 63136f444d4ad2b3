"""Items and reward calls under which servers end are held back, and hold nobody up.

The other homes of what `test_fatal_requests.py` tells. An item under which its engine
ends is handed over to the next agent, whose engine ends as well; a reward call is made
again each 0.1 s until it is answered, and its agent's other items wait behind it.
"""

import asyncio
import datetime
import random

import attrs
import pytest

from gypsumshift.eventstream import StreamBroken
from gypsumshift.jobs import Event, ResultState
from gypsumshift.memory import MemoryTables
from gypsumshift.outcomes import Answered, HeldBack, Unknown
from gypsumshift.serving.crashguard import HELD_BACK_REASON, CrashGuard
from gypsumshift.serving.fingerprints import fingerprint
from gypsumshift.serving.quarantine import (
    CRASH_LIMIT,
    FAILED_TRIAL_DELAY_S,
    TRIAL_DELAYS_S,
)
from gypsumshift.serving.trialclaims import CRASHES_TABLE
from gypsumshift.watch import run_all
from tests import job_builders as jw
from tests import own_time

# Seconds until an item ends its engine, and until the engine is back.
FATAL_AFTER, BACK_AFTER = 0.1, 3.5
POISON = "job-0-0"


class FragileEngine(jw.FakeEngine):
    """Engine that ends under some items, with all that it runs, and comes back."""

    def __init__(self, world, name):
        super().__init__()
        self.world = world
        self.name = name
        self.fetcher = self
        self.gap = 0.05
        self.up = True
        self.ended = asyncio.Event()

    async def refuses(self, address, timeout):
        return not self.up

    async def fetch_report(self, server):
        return await super().fetch_report(server) if self.up else None

    async def stream(self, server, item, host, after, urgency):
        if not self.up:
            raise StreamBroken("nobody listens", sent=False, refused=True)
        self.started.append((item.id, after))
        ended = self.ended
        fatal = item.id in self.world.fatal
        if fatal:
            self.world.begin(self.end_later(item.id))
        for number in range(after + 1, 100 if fatal else self.length + 1):
            try:
                async with asyncio.timeout(self.gap):
                    await ended.wait()
            except TimeoutError:
                yield Event(number, f"{item.id}:{number}", self.version)
                continue
            raise StreamBroken("cut", closed=True)

    async def end_later(self, item):
        await asyncio.sleep(FATAL_AFTER)
        if self.up:
            self.world.ended.append((asyncio.get_running_loop().time(), item))
            await self.end()

    async def end(self):
        """End, and come back as a new start."""
        self.up = False
        self.ended.set()
        await asyncio.sleep(BACK_AFTER)
        self.up, self.ended = True, asyncio.Event()
        directory = self.world.agents[self.name].local_engine.directory
        old = directory.servers[f"e-{self.name}"]
        directory.set_server(attrs.evolve(old, born=old.born + 1))


class Tables(MemoryTables):
    """Tables whose time is the loop's own, from the start of a test."""

    def now(self):
        seconds = asyncio.get_running_loop().time() - own_time.OwnTime.seconds
        return datetime.timedelta(seconds=seconds)


class FragileWorld(jw.JobCluster):
    """Agents beside engines that end, which tell each other of it."""

    def __init__(self, names="abcde", forwarder=jw.FakeForwarder, retention=None):
        super().__init__(store=Tables())
        self.clock = own_time.LoopClock()
        self.job_manager.clock = self.clock
        self.fatal = set()
        self.ended = []
        self.engines = {}
        for name in names:
            self.add(name, forwarder(), retention)

    def add(self, name, forwarder, retention):
        engine = self.engines[name] = FragileEngine(self, name)
        chance = random.Random(name)
        guard = forwarder.guard = CrashGuard(self.store, self.clock, chance, jw.METRICS)
        agent = self.agent(name, engine, forwarder=forwarder, clock=self.clock)
        table = jw.routes(version=2, retention=retention)
        agent.local_engine.directory.set_routes(table)
        self.begin(run_all([guard.table.watch]))
        self.begin(guard.run())

    def begin(self, work):
        self.tasks.append(asyncio.create_task(work))

    async def listed(self, job="job"):
        """Return the results that are listed."""
        return (await self.job_manager.read_results(job, 0, 0)).results


def play(scenario, **options):
    async def run():
        world = FragileWorld(**options)
        world.follow()
        try:
            await asyncio.sleep(0.5)
            await scenario(world)
        finally:
            await world.close()

    own_time.play(run)


def test_an_item_under_which_engines_end_is_held_back_and_the_others_are_done():
    async def scenario(world):
        world.fatal = {POISON}
        await world.submit(groups=6, size=4)
        await asyncio.sleep(20)
        done = {result.item for result in await world.listed()}
        assert len(done) == 23 and POISON not in done
        third = world.ended[CRASH_LIMIT - 1][0]
        await asyncio.sleep(60)
        assert len(world.ended) <= CRASH_LIMIT + len(TRIAL_DELAYS_S)
        late = [at for at, _ in world.ended if at > third + 3.0]
        assert len(late) <= CRASH_LIMIT

    play(scenario)


def test_items_that_run_beside_it_are_done_and_not_held_back_with_it():
    """An item of the same unit was handed over with it, and lost each engine as well.

    It was held back, and both of its trials were made beside those of the other.
    """

    async def scenario(world):
        for engine in world.engines.values():
            engine.length = 30
        world.fatal = {POISON}
        await world.submit(groups=8, size=8)
        await asyncio.sleep(20)
        done = {result.item for result in await world.listed()}
        assert len(done) == 63 and POISON not in done

    play(scenario)


def test_a_held_item_takes_no_place_of_an_engine():
    async def scenario(world):
        world.fatal = {POISON}
        await world.submit(groups=1, size=1)
        await asyncio.sleep(40)
        assert all(agent.runner.load == 0 for agent in world.agents.values())
        await world.submit("next", groups=6, size=4)
        await asyncio.sleep(5)
        assert len(await world.listed("next")) == 24

    play(scenario)


def test_a_sound_item_whose_engines_were_lost_is_done_soon():
    async def scenario(world):
        world.fatal = {POISON}
        await world.submit(groups=1, size=1)
        while len(world.ended) < CRASH_LIMIT:
            await asyncio.sleep(0.1)
        world.fatal = set()
        await asyncio.sleep(TRIAL_DELAYS_S[0] + 2)
        (result,) = await world.listed()
        assert result.state is ResultState.WHOLE
        # Its last engine made the rest only; the next one that makes all of it says
        # that it is sound.
        assert [row for row in world.store.rows if row[0] == CRASHES_TABLE]
        await asyncio.sleep(TRIAL_DELAYS_S[1])
        body = jw.items(groups=1, size=1, step="job")[0].body
        await world.submit("again", groups=1, size=1, body=body)
        await asyncio.sleep(2)
        assert len(await world.listed("again")) == 1
        assert not [row for row in world.store.rows if row[0] == CRASHES_TABLE]

    play(scenario)


def test_a_held_item_is_given_up_once_its_time_is_over_and_no_sooner():
    async def scenario(world):
        world.fatal = {POISON}
        await world.submit(groups=1, size=2)
        await asyncio.sleep(25)
        assert len(await world.listed()) == 1
        await asyncio.sleep(10)
        states = {result.item: result.state for result in await world.listed()}
        assert states[POISON] is ResultState.GIVEN_UP

    play(scenario, retention=datetime.timedelta(seconds=30))


def test_a_held_item_of_a_job_that_ended_is_let_go():
    async def scenario(world):
        world.fatal = {POISON}
        await world.submit(groups=1, size=1)
        await asyncio.sleep(20)
        await world.job_manager.end_job("job", world.clock.monotonic() + 5)
        await asyncio.sleep(1)
        assert not any(agent.runner.units for agent in world.agents.values())

    play(scenario)


class HoldsOne(jw.FakeForwarder):
    """Forwarder that holds one reward call back, after it was sent three times."""

    held = f"r-{POISON}"
    sent = 0

    async def forward(self, call):
        if call.id != self.held:
            return await super().forward(call)
        self.calls.append(call)
        HoldsOne.sent += 1
        if HoldsOne.sent <= CRASH_LIMIT:
            return Unknown("its server ended")
        return HeldBack(HELD_BACK_REASON, datetime.timedelta(seconds=5))


def test_a_reward_call_that_is_held_back_holds_up_no_other():
    async def scenario(world):
        HoldsOne.sent = 0
        await world.submit(groups=2, size=4)
        await asyncio.sleep(10)
        done = {result.item for result in await world.listed()}
        assert len(done) == 7 and POISON not in done
        assert HoldsOne.sent <= CRASH_LIMIT + 10, "it asks about once a second"
        (agent,) = world.agents.values()
        assert agent.runner.scoring_count == 0

    play(scenario, names="a", forwarder=HoldsOne)


def test_an_item_whose_reward_call_is_held_back_is_given_up_in_the_end():
    async def scenario(world):
        HoldsOne.sent = 0
        await world.submit(groups=1, size=2)
        await asyncio.sleep(35)
        states = {result.item: result.state for result in await world.listed()}
        assert states == {
            POISON: ResultState.GIVEN_UP,
            "job-0-1": ResultState.WHOLE,
        }

    seconds = datetime.timedelta(seconds=30)
    play(scenario, names="a", forwarder=HoldsOne, retention=seconds)


def test_a_reward_call_that_is_let_through_again_scores_its_item():
    class LetsThrough(HoldsOne):
        async def forward(self, call):
            answer = await super().forward(call)
            late = isinstance(answer, HeldBack) and HoldsOne.sent > CRASH_LIMIT + 2
            score = ((jw.NAMES.signature, f"signed-{call.id}"),)
            return Answered(200, score) if late else answer

    async def scenario(world):
        HoldsOne.sent = 0
        await world.submit(groups=1, size=1)
        await asyncio.sleep(10)
        (result,) = await world.listed()
        assert result.score == f"signed-r-{POISON}"

    play(scenario, names="a", forwarder=LetsThrough)


def ends_under(world, job, item_id):
    """Return how many engines ended under an item, as its agents know."""
    item = next(i for i in jw.items(6, 4, step=job) if i.id == item_id)
    name = fingerprint("POST", jw.HOST, item.path, "", item.body)
    guards = (agent.runner.forwarder.guard for agent in world.agents.values())
    return max(guard.quarantine.crash_count(name) for guard in guards)


async def late(world, job):
    """Return the sound items of a job that are not done."""
    sound = {item.id for item in jw.items(6, 4, step=job)} - world.fatal
    return sound - {result.item for result in await world.listed(job)}


# In the last two, a sound item's first trial is at an engine that is lost by itself.
@pytest.mark.parametrize("seed", [*range(6), 15, 18])
def test_sound_items_are_done_whatever_engines_are_lost_beside_them(seed):
    """Engines are lost by themselves, too, while an item of each job ends them."""

    async def scenario(world):
        chance = random.Random(seed)
        jobs = ("one", "two")
        world.fatal = {f"{job}-0-{chance.randrange(4)}" for job in jobs}
        for engine in world.engines.values():
            engine.length = 20
        for job in jobs:
            await world.submit(job, groups=6, size=4)
        for _ in range(chance.randrange(3, 9)):
            await asyncio.sleep(chance.uniform(0.1, 4.0))
            up = [engine for engine in world.engines.values() if engine.up]
            if up:
                world.begin(chance.choice(up).end())
        # Longer than the second trial of one that is held back for nothing is away,
        # unless its first one met a lost engine as well.
        await asyncio.sleep(45)
        for job in jobs:
            for item in await late(world, job):
                assert ends_under(world, job, item) > CRASH_LIMIT, item
        await asyncio.sleep(FAILED_TRIAL_DELAY_S)
        for job in jobs:
            done = {result.item for result in await world.listed(job)}
            assert len(done) == 23 and not done & world.fatal
        for item in world.fatal:
            ended = [at for at, under in world.ended if under == item]
            assert len(ended) <= CRASH_LIMIT + len(TRIAL_DELAYS_S) + 1

    play(scenario)
