"""Faults: what is done to the processes from outside, by a seed."""

import asyncio
import random
import signal

from soak.deployment import Deployment, Process
from soak.proxy import Mode

__all__ = ["Faults"]

GAP = 0.8
LONGEST = 3.0
# Seconds by which the store's answers to writes come late. A client waits longer.
ANSWERS_LATE = (0.3, 0.6, 0.9)
# What the platform does where it takes calls of duties.
CLOUD_FAULTS = [{"status": 503}, {"status": 429}, {"slow": 2.0}, {"lose": True}]
# What another writer may put where a worker's entry belongs.
FOREIGN = [
    b"",
    b"\xff\x00",
    b"[1, 2]",
    b'{"service": "pool", "state": "ready"}',
    b'{"service": "app", "addr": 7, "zone": [], "slots": "6", "state": "resting"}',
    b'{"service": "pool", "addr": "x", "models": [null], "born": "now"}',
]


class Faults:
    """A series of faults that overlap.

    Parameters
    ----------
    deployment : Deployment
    seed : int
    """

    def __init__(self, deployment: Deployment, seed: int):
        self.deployment = deployment
        self.chance = random.Random(seed)
        self.running: set[asyncio.Task] = set()
        self.done: list[str] = []
        self.kinds = [
            self.kill,
            self.stop_politely,
            self.freeze,
            self.cut_from_store,
            self.trouble_store,
            self.kill_worker,
            self.name_version,
            self.write_foreign,
        ]
        self.duty_chance = random.Random(f"{seed} duties")
        self.version = 1
        # Chances of their own: what a seed draws for the faults above stays the same.
        self.late_chance = random.Random(f"{seed} late answers")
        self.trouble: dict[str, str | float] = {}
        self.lateness: dict[str, float] = {}
        self.switching = asyncio.Lock()

    async def run(self, seconds: float) -> None:
        """Inject faults for a time, then wait until all have ended."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        late = asyncio.create_task(self.delay_answers(until))
        refusing = asyncio.create_task(self.trouble_cloud(until))
        while loop.time() < until:
            kind = self.chance.choice(self.kinds)
            span = self.chance.uniform(0.2, LONGEST)
            task = asyncio.create_task(kind(span))
            self.running.add(task)
            task.add_done_callback(self.running.discard)
            await asyncio.sleep(self.chance.uniform(0.1, 2 * GAP))
        if self.running:
            await asyncio.wait(set(self.running))
        await asyncio.gather(late, refusing)

    def pick(self, *kinds: str) -> Process:
        """Return a process of one of the kinds."""
        found = [p for kind in kinds for p in self.deployment.of_kind(kind)]
        return self.chance.choice(found)

    def note(self, text: str) -> None:
        """Keep what was done, for the report of a failure."""
        self.done.append(text)

    async def kill(self, span: float) -> None:
        """Kill a program, start it again."""
        process = self.pick("gateway", "agent")
        self.note(f"kill {process.name} for {span:.1f} s")
        async with process.lock:
            await process.stop()
            await asyncio.sleep(span)
            await process.start()

    async def stop_politely(self, span: float) -> None:
        """Tell a program to stop, start it again when it has."""
        process = self.pick("gateway", "agent")
        self.note(f"stop {process.name}")
        async with process.lock:
            process.signal(signal.SIGTERM)
            await process.child.wait()
            await process.start()

    async def freeze(self, span: float) -> None:
        """Suspend a program for a while."""
        process = self.pick("gateway", "agent")
        self.note(f"freeze {process.name} for {span:.1f} s")
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(span)
        process.signal(signal.SIGCONT)

    async def cut_from_store(self, span: float) -> None:
        """Harm a program's way to the store."""
        process = self.pick("gateway", "agent")
        modes = [mode for mode in Mode if mode is not Mode.PASS]
        mode = self.chance.choice(modes)
        self.note(f"{mode.value} {process.name} for {span:.1f} s")
        process.proxy.switch(mode, 0.3)
        await asyncio.sleep(span)
        process.proxy.switch(Mode.PASS)

    async def trouble_store(self, span: float) -> None:
        """Have the store misbehave."""
        faults = self.chance.choice(
            [
                {"down": "busy"},
                {"down": "silent"},
                {"down": "reset"},
                {"slow": 0.2},
                {"lose": 0.4},
                {"lose": 0.4, "late": 0.5},
            ]
        )
        self.note(f"store {faults} for {span:.1f} s")
        self.trouble = faults
        await self.switch_store()
        await asyncio.sleep(span)
        self.trouble = {}
        await self.switch_store()

    async def delay_answers(self, until: float) -> None:
        """Have the store answer writes late, again and again beside other faults."""
        while True:
            await asyncio.sleep(self.late_chance.uniform(0.1, 2 * LONGEST))
            if asyncio.get_running_loop().time() >= until:
                return
            seconds = self.late_chance.choice(ANSWERS_LATE)
            span = self.late_chance.uniform(0.2, LONGEST)
            self.note(f"answers to writes {seconds} s late for {span:.1f} s")
            self.lateness = {"answer_late": seconds}
            await self.switch_store()
            await asyncio.sleep(span)
            self.lateness = {}
            await self.switch_store()

    async def trouble_cloud(self, until: float) -> None:
        """Have the platform be slow, refuse or lose answers where it takes duties."""
        while True:
            await asyncio.sleep(self.duty_chance.uniform(0.1, 2 * LONGEST))
            if asyncio.get_running_loop().time() >= until:
                return
            faults = self.duty_chance.choice(CLOUD_FAULTS)
            span = self.duty_chance.uniform(0.2, LONGEST)
            self.note(f"platform {faults} for {span:.1f} s")
            await self.deployment.set_cloud(**faults)
            await asyncio.sleep(span)
            await self.deployment.set_cloud()

    async def switch_store(self) -> None:
        """Tell the store its faults; the last one told has all that hold then."""
        async with self.switching:
            await self.deployment.set_store(**self.trouble, **self.lateness)

    async def kill_worker(self, span: float) -> None:
        """Kill a backend server, start it again, under its id or as a new one."""
        process = self.pick("engine", "app")
        self.note(f"kill {process.name} for {span:.1f} s")
        async with process.lock:
            await process.stop()
            await asyncio.sleep(span)
            await process.start()

    async def name_version(self, span: float) -> None:
        """Name new weights, as a trainer does."""
        self.version += 1
        version = self.version
        self.note(f"version {version}")
        value = {"model": "m", "version": version}
        await self.deployment.write("op", "version/m", value)

    async def write_foreign(self, span: float) -> None:
        """Write an entry that is none, under the id of a worker or beside it."""
        process = self.pick("engine", "app")
        key = self.chance.choice([f"i-{process.name}", "i-nobody"])
        entry = self.chance.choice(FOREIGN)
        self.note(f"foreign entry {key}: {entry[:30]!r}")
        await self.deployment.write("servers", key, entry)
