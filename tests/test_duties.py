"""Tests that the receiver of a duty's calls sees one holder at a time.

The receiver cannot be queried for the calls it got; it sees the fence of each call. A
fence lower than the one before, one fence used by two hosts, or a host that acts again
shortly after another host acted each show that two hosts held the duty at once.
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

# Minimum time between the last action of a host and its next one if another host acted
# in between.
MIN_RETURN_S = 3.0
HOST_COUNT = 3


class HostClock(ManualClock):
    """Clock of a host whose monotonic time stands still while it is suspended."""

    def __init__(self, cluster):
        super().__init__()
        self.cluster = cluster
        self.suspended_s = 0.0

    def monotonic(self):
        return self.cluster.seconds - self.suspended_s

    def monotonic_with_suspend(self):
        return self.cluster.seconds


class FaultyTables(MemoryTables):
    """Store that can be slow or unavailable, lose answers and apply writes late."""

    def __init__(self, cluster):
        super().__init__()
        self.cluster = cluster
        self.unavailable = False
        self.delay_s = 0.0
        self.loses_answers = False
        self.delays_writes = False
        self.late_writes = []

    async def read(self, table, key, part=""):
        if self.unavailable:
            return Unavailable("down")
        row = await super().read(table, key, part)
        self.cluster.pass_time(self.delay_s)
        return row

    async def commit(self, writes: list[Write]):
        if self.unavailable:
            return Unavailable("down")
        self.cluster.pass_time(self.delay_s / 2)
        if self.delays_writes:
            self.late_writes.append(writes)
            return Unknown("no answer yet")
        outcome = await super().commit(writes)
        self.cluster.pass_time(self.delay_s / 2)
        return Unknown("the answer was lost") if self.loses_answers else outcome

    async def apply_late_writes(self):
        """Apply the delayed writes whose conditions still hold."""
        late, self.late_writes = self.late_writes, []
        for writes in late:
            await super().commit(writes)


class CallingTask(DutyTask):
    """Task that makes a call in each step in which its lease lasts long enough."""

    def __init__(self, cluster, host):
        self.cluster = cluster
        self.host = host

    async def load_state(self):
        return True

    async def run_step(self, lease):
        if not lease.is_held_for(CALL_TIMEOUT_S):
            return
        fence = lease.fence
        self.cluster.pass_time(min(self.cluster.call_duration_s, CALL_TIMEOUT_S))
        self.cluster.actions.append((self.cluster.seconds, self.host, fence))


class DutyCluster:
    """Hosts that compete for one duty, their store and their common time."""

    def __init__(self, names=("a", "b", "c")):
        self.seconds = 1000.0
        self.call_duration_s = 0.0
        self.actions = []
        self.tables = FaultyTables(self)
        self.starts = 0
        self.duties = []
        for name in names:
            self.duties.append(self.start(name))

    def pass_time(self, seconds):
        self.seconds += seconds

    def start(self, host):
        """Start or restart the process of a host."""
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
        return DutyRunner(lease, CallingTask(self, host), clock, random.Random(host))

    def check_calls(self):
        """Assert that the receiver's calls show one holder at a time."""
        fences = [fence for _, _, fence in self.actions]
        assert fences == sorted(fences), self.actions
        holders = {}
        for _, host, fence in self.actions:
            assert holders.setdefault(fence, host) == host, self.actions
        self.check_returns()

    def check_returns(self):
        """Assert that no host acts again shortly after another host acted."""
        turns = []
        for at, host, _ in self.actions:
            if turns and turns[-1][1] == host:
                turns[-1] = (turns[-1][0], host, at)
            else:
                turns.append((at, host, at))
        for first, _, third in zip(turns, turns[1:], turns[2:], strict=False):
            returned = first[1] == third[1]
            assert not returned or third[0] - first[2] >= MIN_RETURN_S, self.actions


def run_scenario(scenario, **options):
    async def run():
        cluster = DutyCluster(**options)
        await scenario(cluster)
        cluster.check_calls()

    asyncio.run(run())


def test_duty_of_killed_holder_is_taken_over_after_lease_expires():
    async def scenario(cluster):
        one, two, _ = cluster.duties
        await one.run_once()
        await two.run_once()
        cluster.pass_time(LEASE_DURATION_S - 0.1)
        await two.run_once()
        assert [host for _, host, _ in cluster.actions] == ["a"]
        cluster.pass_time(0.2)
        await two.run_once()
        assert [host for _, host, _ in cluster.actions] == ["a", "b"]

    run_scenario(scenario)


def test_duty_of_stopping_holder_is_taken_over_at_once():
    async def scenario(cluster):
        one, two, _ = cluster.duties
        await one.run_once()
        await one.stop()
        await two.run_once()
        await one.run_once()
        assert [host for _, host, _ in cluster.actions] == ["a", "b"]

    run_scenario(scenario)


def test_former_holder_waits_before_it_acts_after_another_host():
    async def scenario(cluster):
        one, two, _ = cluster.duties
        await one.run_once()
        await one.stop()
        await two.run_once()
        await two.stop()
        again = cluster.start("a")
        for _ in range(8):
            await again.run_once()
            cluster.pass_time(0.5)
        assert [host for _, host, _ in cluster.actions][:2] == ["a", "b"]
        assert cluster.actions[2][1] == "a", "the former holder never acted again"

    run_scenario(scenario)


def test_hosts_with_the_same_name_do_not_share_a_lease():
    async def scenario(cluster):
        one, two = cluster.duties
        await one.run_once()
        cluster.pass_time(0.5)
        await two.run_once()
        assert len(cluster.actions) == 1
        assert two.lease.fence == 0

    run_scenario(scenario, names=("a", "a"))


def test_holder_suspended_past_its_lease_does_not_act():
    async def scenario(cluster):
        one, two, _ = cluster.duties
        await one.run_once()
        await two.run_once()
        cluster.pass_time(LEASE_DURATION_S + 0.1)
        one.lease.clock.suspended_s = LEASE_DURATION_S + 0.1
        assert not one.lease.held
        await two.run_once()
        await one.run_task()
        assert [host for _, host, _ in cluster.actions] == ["a", "b"]

    run_scenario(scenario)


def test_stopping_holder_keeps_lease_until_call_in_progress_ends():
    async def scenario(cluster):
        one, two, _ = cluster.duties
        call_started, call_may_end = asyncio.Event(), asyncio.Event()

        async def call(lease):
            call_started.set()
            await call_may_end.wait()
            cluster.actions.append((cluster.seconds, "a", lease.fence))

        one.task.run_step = call
        running = asyncio.create_task(one.run())
        await call_started.wait()
        stopping = asyncio.create_task(one.stop())
        await asyncio.sleep(0)
        await two.run_once()
        assert not cluster.actions, (
            "the successor acted before the call in progress ended"
        )
        call_may_end.set()
        await stopping
        await two.run_once()
        assert [host for _, host, _ in cluster.actions] == ["a", "b"]
        running.cancel()

    run_scenario(scenario)


class DutyMachine(RuleBasedStateMachine):
    """Hosts step, stop, get killed and suspended while the store and calls fail."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.cluster = DutyCluster()

    def teardown(self):
        self.runner.close()

    def run_coroutine(self, coroutine):
        self.runner.run(coroutine)

    @rule(who=st.integers(0, HOST_COUNT - 1))
    def step(self, who):
        self.run_coroutine(self.cluster.duties[who].run_once())

    @rule(who=st.integers(0, HOST_COUNT - 1))
    def stop(self, who):
        host = self.cluster.duties[who].task.host
        self.run_coroutine(self.cluster.duties[who].stop())
        self.cluster.duties[who] = self.cluster.start(host)

    @rule(who=st.integers(0, HOST_COUNT - 1))
    def kill(self, who):
        host = self.cluster.duties[who].task.host
        self.cluster.duties[who] = self.cluster.start(host)

    @rule(seconds=st.sampled_from([0.2, 0.9, 1.5, 3.1, 6.5]))
    def wait(self, seconds):
        self.cluster.pass_time(seconds)

    @rule(who=st.integers(0, HOST_COUNT - 1), seconds=st.sampled_from([0.5, 2.0, 4.0]))
    def suspend(self, who, seconds):
        self.cluster.duties[who].lease.clock.suspended_s += seconds
        self.cluster.pass_time(seconds)

    @rule(
        unavailable=st.booleans(),
        loses_answers=st.booleans(),
        delays_writes=st.booleans(),
        delay_s=st.sampled_from([0.0, 0.0, 0.4, 2.0]),
    )
    def set_store_faults(self, unavailable, loses_answers, delays_writes, delay_s):
        tables = self.cluster.tables
        tables.unavailable, tables.loses_answers = unavailable, loses_answers
        tables.delays_writes, tables.delay_s = delays_writes, delay_s

    @rule()
    def apply_late_writes(self):
        self.run_coroutine(self.cluster.tables.apply_late_writes())

    @rule(seconds=st.sampled_from([0.0, 0.3, 2.0]))
    def set_call_duration(self, seconds):
        self.cluster.call_duration_s = seconds

    @invariant()
    def receiver_sees_one_holder_at_a_time(self):
        self.cluster.check_calls()


DutyMachine.TestCase.settings = settings(max_examples=400, stateful_step_count=40)
TestDutyMachine = DutyMachine.TestCase
