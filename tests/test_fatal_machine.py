"""Requests that crash servers, with random faults, in simulated time.

Guards against the failure described in `test_fatal_requests.py` while, drawn from a
seed, gateways restart or lose contact to the store or to each other, the store is
unavailable, slow, or loses answers or its history, servers fail by themselves, and
callers disconnect early.
"""

import asyncio
import collections
import functools

import pytest

from gypsumshift.outcomes import Answered
from gypsumshift.serving.quarantine import MAX_RECORDS
from tests import virtual_time
from tests.crash_world import KINDS, CrashWorld

# Time with faults, and time without faults after it.
FAULTS_S, CALM_S = 25.0, 8.0
# Time without disturbance after which a gateway counts as connected, time within which
# all connected gateways receive the crashes, and number of requests that these may
# still send to servers after that.
CONNECTED_AFTER_S, PROPAGATION_LIMIT_S, LATE_REQUESTS_ALLOWED = 3.0, 3.0, 3
FATAL = (b"fatal one", b"fatal two")
# Seeds that found a fault. Here a resumed stream was complete before its last server
# crashed, and the request was cleared.
RESUMED_STREAM_CLEARED = (12, 28, 65, 156, 219, 267, 300)
# The only process that observed a single crash was killed before it shared it.
CRASH_NOT_SHARED = (92,)
# Processes without room to record a crash sent it to each other endlessly.
ENDLESS_GOSSIP = (43,)
# A trial that crashed its server was followed by the next trial at once.
TRIAL_WITHOUT_DELAY = (896,)
SEEDS_WITH_FAULTS = (
    RESUMED_STREAM_CLEARED + CRASH_NOT_SHARED + ENDLESS_GOSSIP + TRIAL_WITHOUT_DELAY
)


class FaultRun(CrashWorld):
    """Simulation with random faults of gateways, store and servers.

    Attributes
    ----------
    disturbed : dict
        Time spans in which each gateway was disturbed, by gateway name.
    """

    def __init__(self, seed):
        super().__init__(seed, gateways=4, servers=6, attempts=3)
        self.fatal = set(FATAL)
        self.disturbed = collections.defaultdict(list)
        self.faults = [
            self.restart_gateway,
            self.disconnect_from_store,
            self.isolate_gateway,
            self.disturb_store,
            self.crash_random_server,
            self.lose_history,
        ]

    async def simulate(self):
        await asyncio.sleep(0.2)
        callers = [self.start_task(self.run_caller(body)) for body in FATAL]
        callers.append(self.start_task(self.run_caller(b"popular", (0.02, 0.06))))
        until = self.now + FAULTS_S
        while self.now < until:
            self.start_task(
                self.chance.choice(self.faults)(self.chance.uniform(0.3, 4.0))
            )
            await asyncio.sleep(self.chance.uniform(0.1, 1.5))
        await asyncio.sleep(CALM_S)
        for caller in callers:
            caller.cancel()
        await self.check()

    async def run_caller(self, body, gaps=(0.1, 0.6)):
        """Send a body repeatedly; some callers disconnect before the answer."""
        chance = self.new_random()
        prefix = chance.choice(list(KINDS))
        while True:
            name = chance.choice(list(self.gateways))
            if chance.random() < 0.3:
                after = chance.uniform(0.0, 0.15)
                self.start_task(self.send_and_disconnect(name, body, prefix, after))
            else:
                self.start_task(self.send(name, body, prefix))
            await asyncio.sleep(chance.uniform(*gaps))

    # Faults, each lasting for some seconds.

    async def disturb(self, seconds, *names):
        """Wait for some seconds, and record this time as a disturbance of gateways."""
        began = self.now
        for name in names:
            self.disturbed[name].append((began, began + seconds))
        await asyncio.sleep(seconds)

    def random_gateway(self):
        return self.chance.choice(list(self.gateways))

    async def restart_gateway(self, seconds):
        name = self.random_gateway()
        self.start_gateway(name)
        await self.disturb(0.0, name)

    async def disconnect_from_store(self, seconds):
        name = self.random_gateway()
        store = self.stores[name]
        store.down = True
        await self.disturb(seconds, name)
        store.down = False

    async def isolate_gateway(self, seconds):
        name = self.random_gateway()
        self.isolated.add(name)
        await asyncio.sleep(seconds)
        self.isolated.discard(name)

    async def disturb_store(self, seconds):
        kind, value = self.chance.choice(
            [("down", True), ("lose", 0.5), ("slow", 0.3), ("slow", 1.0)]
        )
        stores = list(self.stores.values())
        for store in stores:
            setattr(store, kind, value)
        await self.disturb(seconds, *self.gateways)
        for store in stores:
            setattr(store, kind, type(value)())

    async def crash_random_server(self, seconds):
        up = [worker for worker in self.workers if worker.up]
        if len(up) > 1:
            await self.crash_server(self.chance.choice(up), seconds)

    async def lose_history(self, seconds):
        self.tables.drop_history()

    # Checks.

    def was_connected(self, name, at):
        spans = self.disturbed[name]
        return not any(a <= at and b >= at - CONNECTED_AFTER_S for a, b in spans)

    async def check(self):
        for task in self.tasks:
            if task.done() and not task.cancelled():
                task.result()
        for body in FATAL:
            late = self.late_runs(body, PROPAGATION_LIMIT_S)
            late = {r.request for r in late if self.was_connected(r.sender, r.at)}
            assert len(late) <= LATE_REQUESTS_ALLOWED, (body, late)
        for name, gateway in self.gateways.items():
            assert len(gateway.guard.quarantine.records) <= MAX_RECORDS
            assert isinstance(await self.send(name, b"popular"), Answered), name


class FaultRunWithFailures(FaultRun):
    """Simulation in which servers also answer everything with a failure for a while."""

    def __init__(self, seed):
        super().__init__(seed)
        self.faults.append(self.fail_server)

    async def fail_server(self, seconds):
        worker = self.chance.choice(self.workers)
        worker.failing = True
        await asyncio.sleep(seconds)
        worker.failing = False


@pytest.mark.parametrize(
    ("simulation", "seed"),
    [
        *((FaultRun, seed) for seed in (*range(6), *SEEDS_WITH_FAULTS)),
        *((FaultRunWithFailures, seed) for seed in range(6)),
    ],
)
def test_fatal_requests_are_held_back_and_sound_ones_answered(simulation, seed):
    async def run(seed):
        world = simulation(seed)
        try:
            await world.simulate()
        finally:
            await world.close()

    virtual_time.run_in_virtual_time(functools.partial(run, seed))
