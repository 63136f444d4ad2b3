"""Seeded schedule of faults that are injected into a deployment."""

import asyncio
import contextlib
import random
import signal
import time

import attrs

from gypsumshift.httpclient import FetchError
from history.workload import Recorder
from standins.deployment import Deployment

__all__ = ["FaultSchedule"]

INJECTION_INTERVAL_S = (0.5, 2.0)
SHUTDOWN_TIMEOUT_S = 12.0
DRAIN_TIME_S = 9.0
CALM_TIME_S = 4.0


@attrs.define
class FaultSchedule:
    """Injects one fault after another; faults may overlap.

    Attributes
    ----------
    deployment : Deployment
    recorder : Recorder
    seed : int
    fault_names : tuple of str
        Method names of the faults to inject; all if empty.
    """

    deployment: Deployment
    recorder: Recorder
    seed: int
    fault_names: tuple[str, ...] = ()
    busy_targets: set = attrs.field(factory=set)
    running_faults: set = attrs.field(factory=set)

    async def run(self, end: float) -> None:
        """Inject faults until a given time, then wait until their effects are over."""
        rng = random.Random(f"{self.seed}/faults")
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
        if self.fault_names:
            kinds = [kind for kind in kinds if kind.__name__ in self.fault_names]
        while time.time() < end:
            rng.shuffle(kinds)
            for kind in kinds:
                if time.time() >= end:
                    break
                if kind == self.graceful:
                    # Runs alone, so that interrupted calls are not due to other faults.
                    await self.wait_until_calm()
                    await kind(random.Random(rng.random()))
                    continue
                self.start_fault(kind(random.Random(rng.random())))
                await asyncio.sleep(rng.uniform(*INJECTION_INTERVAL_S))
        await self.wait_until_calm()

    async def wait_until_calm(self) -> None:
        """Wait until no fault is active, plus a time for their effects to end."""
        if self.running_faults:
            await asyncio.wait(set(self.running_faults))
        await asyncio.sleep(CALM_TIME_S)

    def start_fault(self, coroutine) -> None:
        """Start a fault in the background."""
        task = asyncio.create_task(coroutine)
        self.running_faults.add(task)
        task.add_done_callback(self.running_faults.discard)

    def pick_idle_target(self, rng, candidates) -> str | None:
        """Choose the name of a process without an active fault, or return None."""
        names = [r.name for r in candidates if r.name not in self.busy_targets]
        return rng.choice(names) if names else None

    @contextlib.contextmanager
    def record_fault(self, what: str, whom: str):
        """Record a fault with its start and end, and mark its target as busy."""
        self.busy_targets.add(whom)
        began = time.time()
        fault = self.recorder.add("fault", what=what, whom=whom)
        fault |= {"from": began, "to": began + 3600}
        try:
            yield
        finally:
            fault["to"] = time.time()
            self.busy_targets.discard(whom)

    async def kill_sidecar(self, rng) -> None:
        """Kill a sidecar and start it again without state."""
        await self.kill_and_restart(rng, self.deployment.sidecars())

    async def kill_entry(self, rng) -> None:
        """Kill an entry and start it again without state."""
        await self.kill_and_restart(rng, self.deployment.entries())

    async def crash_backend(self, rng) -> None:
        """Kill a backend server and start it again without its weights."""
        backends = [r for r in self.deployment.running.values() if "backend" in r.ports]
        await self.kill_and_restart(rng, backends)

    async def kill_and_restart(self, rng, candidates) -> None:
        """Kill one of the candidates and start it again."""
        name = self.pick_idle_target(rng, candidates)
        if name is None:
            return
        with self.record_fault("kill", name):
            self.deployment.kill(name)
            await asyncio.sleep(rng.uniform(0.0, 2.0))
            self.deployment.restart(name)
            await asyncio.sleep(1.0)

    async def pause_sidecar(self, rng) -> None:
        """Pause a sidecar, possibly for longer than its leases."""
        await self.pause_process(rng, self.deployment.sidecars())

    async def pause_entry(self, rng) -> None:
        """Pause an entry, possibly for longer than its leases."""
        await self.pause_process(rng, self.deployment.entries())

    async def pause_process(self, rng, candidates) -> None:
        """Stop one of the candidates by SIGSTOP for some seconds."""
        name = self.pick_idle_target(rng, candidates)
        if name is None:
            return
        with self.record_fault("pause", name):
            self.deployment.signal(name, signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(1.0, 6.0))
            self.deployment.signal(name, signal.SIGCONT)

    async def platform_fault(self, rng) -> None:
        """Make the platform unavailable, slow, or lose its answers."""
        if "platform" in self.busy_targets:
            return
        fault = rng.choice(
            [
                {"down": True},
                {"slow": 0.5},
                {"lose": 0.5, "seed": rng.randrange(1000)},
                {"objects_down": True},
            ]
        )
        with self.record_fault(f"platform {next(iter(fault))}", "platform"):
            await self.deployment.set_faults("platform", **fault)
            await asyncio.sleep(rng.uniform(2.0, 6.0))
            await self.deployment.set_faults("platform")

    async def engine_fault(self, rng) -> None:
        """Make an engine fail or delay swaps, break streams or omit versions."""
        fault = rng.choice(
            [
                {"fail_swaps": 2},
                {"half_swaps": 2},
                {"late_swaps": 3.0},
                {"break_streams": 3},
                {"bare": True},
            ]
        )
        await self.inject_backend_fault(rng, "model", fault)

    async def service_fault(self, rng) -> None:
        """Make a service truncate answers or respond slowly."""
        fault = rng.choice([{"cut": 5}, {"slow": 20.0}])
        await self.inject_backend_fault(rng, "booking", fault)

    async def inject_backend_fault(self, rng, pool: str, fault: dict) -> None:
        """Enable a fault of one backend server of a pool for some seconds."""
        backends = [
            r
            for r in self.deployment.running.values()
            if "backend" in r.ports and pool in r.name
        ]
        name = self.pick_idle_target(rng, backends)
        if name is None:
            return
        with self.record_fault(f"backend {next(iter(fault))}", name):
            with contextlib.suppress(FetchError):
                await self.deployment.set_faults(name, **fault)
                await asyncio.sleep(rng.uniform(1.0, 4.0))
                await self.deployment.set_faults(name)

    async def drain(self, rng) -> None:
        """Drain a backend server, then cancel the drain and restart its sidecar."""
        backends = [
            r
            for r in self.deployment.running.values()
            if "backend" in r.ports and "booking" in r.name
        ]
        name = self.pick_idle_target(rng, backends)
        if (
            name is None
            or f"sidecar-{name}" in self.busy_targets
            or "drain" in self.busy_targets
        ):
            return
        target = f"/v1/drain?name={name}"
        sidecar = f"sidecar-{name}"
        self.busy_targets |= {"drain", sidecar}
        try:
            answer = await self.deployment.operator("POST", target)
            if answer.status == 200:
                with self.record_fault("drain", name):
                    await asyncio.sleep(DRAIN_TIME_S)
                await self.cancel_drain(target)
                with self.record_fault("kill", sidecar):
                    self.deployment.kill(sidecar)
                    self.deployment.restart(sidecar)
        except FetchError:
            await self.cancel_drain(target)
        finally:
            self.busy_targets -= {"drain", sidecar}

    async def cancel_drain(self, target: str) -> None:
        """Cancel a drain, repeating the request until it succeeds."""
        while True:
            with contextlib.suppress(FetchError):
                answer = await self.deployment.operator("DELETE", target)
                if answer.status == 200:
                    return
            await asyncio.sleep(0.5)

    async def graceful(self, rng) -> None:
        """Send SIGTERM to one entry or sidecar twice, then replace it."""
        entries, sidecars = self.deployment.entries(), self.deployment.sidecars()
        name = self.pick_idle_target(rng, entries if rng.random() < 0.5 else sidecars)
        with self.record_fault("graceful", name):
            process = self.deployment.running[name].process
            self.deployment.signal(name, signal.SIGTERM)
            await asyncio.sleep(0.2)
            self.deployment.signal(name, signal.SIGTERM)
            deadline = time.time() + SHUTDOWN_TIMEOUT_S
            while process.poll() is None and time.time() < deadline:
                await asyncio.sleep(0.05)
            self.deployment.restart(name)
            await asyncio.sleep(CALM_TIME_S)
