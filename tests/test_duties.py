"""One host at a time does a duty, and nobody outside sees otherwise.

Calls of a duty go to a system that cannot be asked what it got. It sees a number with
each; one lower than before, one number of two hosts, or a host that acts again soon
after another one did, each mean that two hosts believed to hold the duty at once.
"""

import asyncio
import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gypsumshift.duties import CALL_TIMEOUT_S, LEASE_DURATION_S, DutyRunner, DutyTask
from gypsumshift.leases import Lease
from gypsumshift.memory import MemoryTables
from gypsumshift.outcomes import Unavailable, Unknown
from gypsumshift.platforms import Write
from tests.builders import ManualClock

# Seconds within which A, B, A may not act in this order.
TURN = 3.0
HOSTS = 3


class HostClock(ManualClock):
    """Clock of one host, which may be suspended: then only some of its time passes."""

    def __init__(self, world):
        super().__init__()
        self.world = world
        self.suspended = 0.0

    def monotonic(self):
        return self.world.seconds - self.suspended

    def monotonic_with_suspend(self):
        return self.world.seconds


class TroubledTables(MemoryTables):
    """A store that is slow, away, loses answers, and carries writes out late."""

    def __init__(self, world):
        super().__init__()
        self.world = world
        self.away = False
        self.takes = 0.0
        self.loses = False
        self.delays = False
        self.late = []

    async def read(self, table, key, part=""):
        if self.away:
            return Unavailable("away")
        row = await super().read(table, key, part)
        self.world.pass_time(self.takes)
        return row

    async def commit(self, writes: list[Write]):
        if self.away:
            return Unavailable("away")
        self.world.pass_time(self.takes / 2)
        if self.delays:
            self.late.append(writes)
            return Unknown("no answer yet")
        outcome = await super().commit(writes)
        self.world.pass_time(self.takes / 2)
        return Unknown("the answer was lost") if self.loses else outcome

    async def carry_out(self):
        """Carry out what came late, where its conditions hold still."""
        late, self.late = self.late, []
        for writes in late:
            await super().commit(writes)


class Telling(DutyTask):
    """Work that makes a call each time it may; the call takes its time."""

    def __init__(self, world, host):
        self.world = world
        self.host = host

    async def load_state(self):
        return True

    async def run_step(self, lease):
        if not lease.is_held_for(CALL_TIMEOUT_S):
            return
        fence = lease.fence
        self.world.pass_time(min(self.world.call_takes, CALL_TIMEOUT_S))
        self.world.acts.append((self.world.seconds, self.host, fence))


class World:
    """Hosts with one duty, a store, and time that all of them share."""

    def __init__(self, names=("a", "b", "c")):
        self.seconds = 1000.0
        self.call_takes = 0.0
        self.acts = []
        self.tables = TroubledTables(self)
        self.starts = 0
        self.duties = []
        for name in names:
            self.duties.append(self.start(name))

    def pass_time(self, seconds):
        self.seconds += seconds

    def start(self, host):
        """Start the process of a host, or start it again."""
        self.starts += 1
        clock = HostClock(self)
        owner = f"{host}/{self.starts}"
        lease = Lease(
            self.tables,
            "d",
            owner,
            clock,
            LEASE_DURATION_S,
            host=host,
            return_pause=LEASE_DURATION_S,
        )
        return DutyRunner(lease, Telling(self, host), clock, random.Random(host))

    def check(self):
        fences = [fence for _, _, fence in self.acts]
        assert fences == sorted(fences), self.acts
        holders = {}
        for _, host, fence in self.acts:
            assert holders.setdefault(fence, host) == host, self.acts
        self.check_turns()

    def check_turns(self):
        turns = []
        for at, host, _ in self.acts:
            if turns and turns[-1][1] == host:
                turns[-1] = (turns[-1][0], host, at)
            else:
                turns.append((at, host, at))
        for first, _, third in zip(turns, turns[1:], turns[2:], strict=False):
            back = first[1] == third[1]
            assert not back or third[0] - first[2] >= TURN, self.acts


def play(scenario, **options):
    async def run():
        world = World(**options)
        await scenario(world)
        world.check()

    asyncio.run(run())


def test_a_holder_that_is_gone_is_followed_once_its_lease_has_run_out():
    async def scenario(world):
        one, two, _ = world.duties
        await one.run_once()
        await two.run_once()
        world.pass_time(LEASE_DURATION_S - 0.1)
        await two.run_once()
        assert [host for _, host, _ in world.acts] == ["a"]
        world.pass_time(0.2)
        await two.run_once()
        assert [host for _, host, _ in world.acts] == ["a", "b"]

    play(scenario)


def test_a_holder_that_stops_is_followed_at_once():
    async def scenario(world):
        one, two, _ = world.duties
        await one.run_once()
        await one.stop()
        await two.run_once()
        await one.run_once()
        assert [host for _, host, _ in world.acts] == ["a", "b"]

    play(scenario)


def test_a_host_does_not_come_back_soon_after_another_one_acted():
    async def scenario(world):
        one, two, _ = world.duties
        await one.run_once()
        await one.stop()
        await two.run_once()
        await two.stop()
        again = world.start("a")
        for _ in range(8):
            await again.run_once()
            world.pass_time(0.5)
        assert [host for _, host, _ in world.acts][:2] == ["a", "b"]
        assert world.acts[2][1] == "a", "it does come back"

    play(scenario)


def test_two_hosts_of_one_name_are_two():
    async def scenario(world):
        one, two = world.duties
        await one.run_once()
        world.pass_time(0.5)
        await two.run_once()
        assert len(world.acts) == 1
        assert two.lease.fence == 0

    play(scenario, names=("a", "a"))


def test_a_holder_that_was_suspended_does_not_act_any_more():
    async def scenario(world):
        one, two, _ = world.duties
        await one.run_once()
        await two.run_once()
        world.pass_time(LEASE_DURATION_S + 0.1)
        one.lease.clock.suspended = LEASE_DURATION_S + 0.1
        assert not one.lease.held
        await two.run_once()
        await one.run_task()
        assert [host for _, host, _ in world.acts] == ["a", "b"]

    play(scenario)


def test_nothing_is_given_up_while_a_call_is_under_way():
    async def scenario(world):
        one, two, _ = world.duties
        under_way, done = asyncio.Event(), asyncio.Event()

        async def call(lease):
            under_way.set()
            await done.wait()
            world.acts.append((world.seconds, "a", lease.fence))

        one.task.run_step = call
        running = asyncio.create_task(one.run())
        await under_way.wait()
        leaving = asyncio.create_task(one.stop())
        await asyncio.sleep(0)
        await two.run_once()
        assert not world.acts, "its successor would come before it"
        done.set()
        await leaving
        await two.run_once()
        assert [host for _, host, _ in world.acts] == ["a", "b"]
        running.cancel()

    play(scenario)


class Schedules(RuleBasedStateMachine):
    """Hosts step, stop, are killed and suspended, while store and calls misbehave."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.world = World()

    def teardown(self):
        self.runner.close()

    def do(self, work):
        self.runner.run(work)

    @rule(who=st.integers(0, HOSTS - 1))
    def step(self, who):
        self.do(self.world.duties[who].run_once())

    @rule(who=st.integers(0, HOSTS - 1))
    def stop(self, who):
        host = self.world.duties[who].task.host
        self.do(self.world.duties[who].stop())
        self.world.duties[who] = self.world.start(host)

    @rule(who=st.integers(0, HOSTS - 1))
    def kill(self, who):
        host = self.world.duties[who].task.host
        self.world.duties[who] = self.world.start(host)

    @rule(seconds=st.sampled_from([0.2, 0.9, 1.5, 3.1, 6.5]))
    def wait(self, seconds):
        self.world.pass_time(seconds)

    @rule(who=st.integers(0, HOSTS - 1), seconds=st.sampled_from([0.5, 2.0, 4.0]))
    def suspend(self, who, seconds):
        self.world.duties[who].lease.clock.suspended += seconds
        self.world.pass_time(seconds)

    @rule(
        away=st.booleans(),
        loses=st.booleans(),
        delays=st.booleans(),
        takes=st.sampled_from([0.0, 0.0, 0.4, 2.0]),
    )
    def trouble_store(self, away, loses, delays, takes):
        tables = self.world.tables
        tables.away, tables.loses = away, loses
        tables.delays, tables.takes = delays, takes

    @rule()
    def carry_out_late_writes(self):
        self.do(self.world.tables.carry_out())

    @rule(takes=st.sampled_from([0.0, 0.3, 2.0]))
    def slow_calls(self, takes):
        self.world.call_takes = takes

    @invariant()
    def nobody_sees_two_holders(self):
        self.world.check()


Schedules.TestCase.settings = settings(max_examples=400, stateful_step_count=40)
TestSchedules = Schedules.TestCase
