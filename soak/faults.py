"""Inject seeded random faults into the processes of a deployment."""

import asyncio
import random
import signal

from soak.deployment import Deployment, Process
from soak.disturbances import Disturbances
from soak.proxy import Mode

__all__ = ["FAULT_GAP_S", "FaultInjector"]

# Half of the longest time between the starts of two faults, and the longest duration of
# a fault.
FAULT_GAP_S = 0.8
MAX_FAULT_S = 3.0
# Delays of the store's answers to writes. Clients wait longer than that.
ANSWER_DELAYS_S = (0.3, 0.6, 0.9)
# Faults of the cloud API, which receives usage reports.
CLOUD_FAULTS = [{"status": 503}, {"status": 429}, {"slow": 2.0}, {"lose": True}]
# Invalid rows that another writer may store in place of a worker's entry.
INVALID_ENTRIES = [
    b"",
    b"\xff\x00",
    b"[1, 2]",
    b'{"service": "pool", "state": "ready"}',
    b'{"service": "app", "addr": 7, "zone": [], "slots": "6", "state": "resting"}',
    b'{"service": "pool", "addr": "x", "models": [null], "born": "now"}',
]


class FaultInjector:
    """Injects a random series of overlapping faults.

    Parameters
    ----------
    deployment : Deployment
    seed : int
        Determines the faults, their targets and their times.
    fault_gap : float
        Half of the longest time between the starts of two faults, in seconds.
    """

    def __init__(
        self, deployment: Deployment, seed: int, fault_gap: float = FAULT_GAP_S
    ):
        self.fault_gap = fault_gap
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.running: set[asyncio.Task] = set()
        self.injected: list[str] = []
        self.disturbances = Disturbances()
        self.fault_methods = [
            self.kill_node,
            self.terminate_node,
            self.suspend_node,
            self.disturb_store_connection,
            self.disturb_store,
            self.kill_worker,
            self.publish_version,
            self.write_invalid_entry,
        ]
        self.cloud_rng = random.Random(f"{seed} duties")
        self.version = 1
        # A separate generator, so that a seed draws the same faults above as before.
        self.delay_rng = random.Random(f"{seed} late answers")
        self.store_faults: dict[str, str | float] = {}
        self.store_delay: dict[str, float] = {}
        self.switch_lock = asyncio.Lock()

    async def run(self, seconds: float) -> None:
        """Inject faults for a time, then wait until all have ended."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        delaying = asyncio.create_task(self.delay_store_answers(until))
        disturbing = asyncio.create_task(self.disturb_cloud(until))
        while loop.time() < until:
            method = self.rng.choice(self.fault_methods)
            span = self.rng.uniform(0.2, MAX_FAULT_S)
            task = asyncio.create_task(method(span))
            self.running.add(task)
            task.add_done_callback(self.running.discard)
            await asyncio.sleep(self.rng.uniform(0.1, 2 * self.fault_gap))
        if self.running:
            await asyncio.wait(set(self.running))
        await asyncio.gather(delaying, disturbing)

    def choose_process(self, *kinds: str) -> Process:
        """Return a process of one of the kinds."""
        found = [p for kind in kinds for p in self.deployment.of_kind(kind)]
        return self.rng.choice(found)

    def record_fault(self, text: str) -> None:
        """Record a fault, for the report of a failed run."""
        self.injected.append(text)

    async def kill_node(self, span: float) -> None:
        """Kill a gateway or agent, and restart it after a while."""
        process = self.choose_process("gateway", "agent")
        self.record_fault(f"kill {process.name} for {span:.1f} s")
        async with process.lock:
            with self.disturbances.record(process.name):
                await process.stop()
                await asyncio.sleep(span)
                await process.start()

    async def terminate_node(self, span: float) -> None:
        """Terminate a gateway or agent, and restart it once it has ended."""
        process = self.choose_process("gateway", "agent")
        self.record_fault(f"stop {process.name}")
        async with process.lock:
            with self.disturbances.record(process.name):
                process.signal(signal.SIGTERM)
                await process.child.wait()
                await process.start()

    async def suspend_node(self, span: float) -> None:
        """Suspend a gateway or agent for a while."""
        process = self.choose_process("gateway", "agent")
        self.record_fault(f"freeze {process.name} for {span:.1f} s")
        with self.disturbances.record(process.name):
            process.signal(signal.SIGSTOP)
            await asyncio.sleep(span)
            process.signal(signal.SIGCONT)

    async def disturb_store_connection(self, span: float) -> None:
        """Disturb the connection of a gateway or agent to the store for a while."""
        process = self.choose_process("gateway", "agent")
        modes = [mode for mode in Mode if mode is not Mode.PASS]
        mode = self.rng.choice(modes)
        self.record_fault(f"{mode.value} {process.name} for {span:.1f} s")
        with self.disturbances.record(process.name):
            process.proxy.set_mode(mode, 0.3)
            await asyncio.sleep(span)
            process.proxy.set_mode(Mode.PASS)

    async def disturb_store(self, span: float) -> None:
        """Set faults of the store for a while."""
        faults = self.rng.choice(
            [
                {"down": "busy"},
                {"down": "silent"},
                {"down": "reset"},
                {"slow": 0.2},
                {"lose": 0.4},
                {"lose": 0.4, "late": 0.5},
            ]
        )
        self.record_fault(f"store {faults} for {span:.1f} s")
        with self.disturbances.record():
            self.store_faults = faults
            await self.switch_store()
            await asyncio.sleep(span)
            self.store_faults = {}
            await self.switch_store()

    async def delay_store_answers(self, until: float) -> None:
        """Delay answers to writes from time to time, besides the other faults."""
        while True:
            await asyncio.sleep(self.delay_rng.uniform(0.1, 2 * MAX_FAULT_S))
            if asyncio.get_running_loop().time() >= until:
                return
            seconds = self.delay_rng.choice(ANSWER_DELAYS_S)
            span = self.delay_rng.uniform(0.2, MAX_FAULT_S)
            self.record_fault(f"answers to writes {seconds} s late for {span:.1f} s")
            self.store_delay = {"answer_late": seconds}
            await self.switch_store()
            await asyncio.sleep(span)
            self.store_delay = {}
            await self.switch_store()

    async def disturb_cloud(self, until: float) -> None:
        """Make the cloud API slow, refuse calls or lose answers from time to time."""
        while True:
            await asyncio.sleep(self.cloud_rng.uniform(0.1, 2 * MAX_FAULT_S))
            if asyncio.get_running_loop().time() >= until:
                return
            faults = self.cloud_rng.choice(CLOUD_FAULTS)
            span = self.cloud_rng.uniform(0.2, MAX_FAULT_S)
            self.record_fault(f"platform {faults} for {span:.1f} s")
            await self.deployment.set_cloud(**faults)
            await asyncio.sleep(span)
            await self.deployment.set_cloud()

    async def switch_store(self) -> None:
        """Set the store's faults to those in effect.

        The lock keeps the requests in order, so the last one has the current faults.
        """
        async with self.switch_lock:
            await self.deployment.set_store(**self.store_faults, **self.store_delay)

    async def kill_worker(self, span: float) -> None:
        """Kill a backend server and restart it, under its id or a new one."""
        process = self.choose_process("engine", "app")
        self.record_fault(f"kill {process.name} for {span:.1f} s")
        async with process.lock:
            await process.stop()
            await asyncio.sleep(span)
            await process.start()

    async def publish_version(self, span: float) -> None:
        """Write a new weight version to the store, as a trainer does."""
        self.version += 1
        version = self.version
        self.record_fault(f"version {version}")
        value = {"model": "m", "version": version}
        await self.deployment.write("op", "version/m", value)

    async def write_invalid_entry(self, span: float) -> None:
        """Write an invalid worker entry, under a worker's id or an unknown one."""
        process = self.choose_process("engine", "app")
        key = self.rng.choice([f"i-{process.name}", "i-nobody"])
        entry = self.rng.choice(INVALID_ENTRIES)
        self.record_fault(f"invalid entry {key}: {entry[:30]!r}")
        with self.disturbances.record():
            await self.deployment.write("servers", key, entry)
