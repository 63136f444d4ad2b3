"""Faults: a seeded schedule of what is done to whom."""

import asyncio
import contextlib
import random
import signal
import time

import attrs

from gypsumshift.httpclient import FetchError
from history.workload import Recorder
from standins.deployment import Deployment

__all__ = ["Schedule"]

PAUSE = (0.5, 2.0)
GRACE = 12.0
DRAIN_TIME = 9.0
CALM = 4.0


@attrs.define
class Schedule:
    """Injects one fault after another, sometimes two at a time.

    Attributes
    ----------
    deployment : Deployment
    recorder : Recorder
    seed : int
    only : tuple of str
        Names of the faults to inject; empty for all.
    """

    deployment: Deployment
    recorder: Recorder
    seed: int
    only: tuple[str, ...] = ()
    busy: set = attrs.field(factory=set)
    running: set = attrs.field(factory=set)

    async def run(self, end: float) -> None:
        """Inject faults until a time, then wait until all are over."""
        chance = random.Random(f"{self.seed}/faults")
        kinds = [
            self.kill_sidecar,
            self.pause_sidecar,
            self.kill_entry,
            self.pause_entry,
            self.crash_backend,
            self.platform_fault,
            self.engine_fault,
            self.service_fault,
            self.drain,
            self.graceful,
        ]
        if self.only:
            kinds = [kind for kind in kinds if kind.__name__ in self.only]
        while time.time() < end:
            chance.shuffle(kinds)
            for kind in kinds:
                if time.time() >= end:
                    break
                if kind == self.graceful:
                    # Alone, so that what it cuts can be told from other faults.
                    await self.calm()
                    await kind(random.Random(chance.random()))
                    continue
                self.spawn(kind(random.Random(chance.random())))
                await asyncio.sleep(chance.uniform(*PAUSE))
        await self.calm()

    async def calm(self) -> None:
        """Wait until no fault is under way or felt any more."""
        if self.running:
            await asyncio.wait(set(self.running))
        await asyncio.sleep(CALM)

    def spawn(self, work) -> None:
        """Run a fault beside others."""
        task = asyncio.create_task(work)
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    def pick(self, chance, candidates) -> str | None:
        """Return one that nothing is being done to."""
        names = [r.name for r in candidates if r.name not in self.busy]
        return chance.choice(names) if names else None

    @contextlib.contextmanager
    def record(self, what: str, whom: str):
        """Record a fault from its begin to its end."""
        self.busy.add(whom)
        began = time.time()
        fault = self.recorder.add("fault", what=what, whom=whom)
        fault |= {"from": began, "to": began + 3600}
        try:
            yield
        finally:
            fault["to"] = time.time()
            self.busy.discard(whom)

    async def kill_sidecar(self, chance) -> None:
        """Kill a sidecar; an empty one takes its place."""
        await self.kill(chance, self.deployment.sidecars())

    async def kill_entry(self, chance) -> None:
        """Kill an entry; an empty one takes its place."""
        await self.kill(chance, self.deployment.entries())

    async def crash_backend(self, chance) -> None:
        """Crash a backend server; it comes back without its weights."""
        backends = [r for r in self.deployment.running.values() if "backend" in r.ports]
        await self.kill(chance, backends)

    async def kill(self, chance, candidates) -> None:
        """Kill one process and start it again."""
        name = self.pick(chance, candidates)
        if name is None:
            return
        with self.record("kill", name):
            self.deployment.kill(name)
            await asyncio.sleep(chance.uniform(0.0, 2.0))
            self.deployment.restart(name)
            await asyncio.sleep(1.0)

    async def pause_sidecar(self, chance) -> None:
        """Pause a sidecar for longer than leases last."""
        await self.pause(chance, self.deployment.sidecars())

    async def pause_entry(self, chance) -> None:
        """Pause an entry for longer than leases last."""
        await self.pause(chance, self.deployment.entries())

    async def pause(self, chance, candidates) -> None:
        """Pause one process for a while."""
        name = self.pick(chance, candidates)
        if name is None:
            return
        with self.record("pause", name):
            self.deployment.signal(name, signal.SIGSTOP)
            await asyncio.sleep(chance.uniform(1.0, 6.0))
            self.deployment.signal(name, signal.SIGCONT)

    async def platform_fault(self, chance) -> None:
        """Have the platform be down, slow, or lose answers."""
        if "platform" in self.busy:
            return
        fault = chance.choice(
            [
                {"down": True},
                {"slow": 0.5},
                {"lose": 0.5, "seed": chance.randrange(1000)},
                {"objects_down": True},
            ]
        )
        with self.record(f"platform {next(iter(fault))}", "platform"):
            await self.deployment.set_faults("platform", **fault)
            await asyncio.sleep(chance.uniform(2.0, 6.0))
            await self.deployment.set_faults("platform")

    async def engine_fault(self, chance) -> None:
        """Have an engine fail swaps, break streams or report no versions."""
        fault = chance.choice(
            [
                {"fail_swaps": 2},
                {"half_swaps": 2},
                {"late_swaps": 3.0},
                {"break_streams": 3},
                {"bare": True},
            ]
        )
        await self.backend_fault(chance, "model", fault)

    async def service_fault(self, chance) -> None:
        """Have a service cut answers or be slow."""
        fault = chance.choice([{"cut": 5}, {"slow": 20.0}])
        await self.backend_fault(chance, "booking", fault)

    async def backend_fault(self, chance, pool: str, fault: dict) -> None:
        """Switch a fault of one backend server for a while."""
        backends = [
            r
            for r in self.deployment.running.values()
            if "backend" in r.ports and pool in r.name
        ]
        name = self.pick(chance, backends)
        if name is None:
            return
        with self.record(f"backend {next(iter(fault))}", name):
            with contextlib.suppress(FetchError):
                await self.deployment.set_faults(name, **fault)
                await asyncio.sleep(chance.uniform(1.0, 4.0))
                await self.deployment.set_faults(name)

    async def drain(self, chance) -> None:
        """Drain a backend server, then take it back in."""
        backends = [
            r
            for r in self.deployment.running.values()
            if "backend" in r.ports and "booking" in r.name
        ]
        name = self.pick(chance, backends)
        if name is None or f"sidecar-{name}" in self.busy or "drain" in self.busy:
            return
        target = f"/v1/drain?name={name}"
        sidecar = f"sidecar-{name}"
        self.busy |= {"drain", sidecar}
        try:
            answer = await self.deployment.operator("POST", target)
            if answer.status == 200:
                with self.record("drain", name):
                    await asyncio.sleep(DRAIN_TIME)
                await self.undo(target)
                with self.record("kill", sidecar):
                    self.deployment.kill(sidecar)
                    self.deployment.restart(sidecar)
        except FetchError:
            await self.undo(target)
        finally:
            self.busy -= {"drain", sidecar}

    async def undo(self, target: str) -> None:
        """Take a drain back, however often that takes."""
        while True:
            with contextlib.suppress(FetchError):
                answer = await self.deployment.operator("DELETE", target)
                if answer.status == 200:
                    return
            await asyncio.sleep(0.5)

    async def graceful(self, chance) -> None:
        """Tell one entry or sidecar to leave, twice; then replace it."""
        entries, sidecars = self.deployment.entries(), self.deployment.sidecars()
        name = self.pick(chance, entries if chance.random() < 0.5 else sidecars)
        with self.record("graceful", name):
            process = self.deployment.running[name].process
            self.deployment.signal(name, signal.SIGTERM)
            await asyncio.sleep(0.2)
            self.deployment.signal(name, signal.SIGTERM)
            deadline = time.time() + GRACE
            while process.poll() is None and time.time() < deadline:
                await asyncio.sleep(0.05)
            self.deployment.restart(name)
            await asyncio.sleep(CALM)
