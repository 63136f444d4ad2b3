"""Rollout: one sidecar brings its backend server to the newest weights, in waves.

There is no leader. Each sidecar knows the pool's backend servers and the version,
so each finds its own wave; it goes once it has heard that the waves before it are
through, or once they had the time declared for that.
"""

import asyncio

from gypsumshift.attemptrunner import AttemptRunner
from gypsumshift.backend import Backend, Fence
from gypsumshift.generated.messages import RequestClass
from gypsumshift.membership import rendezvous_weight
from gypsumshift.process import Process

__all__ = ["WeightRollout", "plan_waves"]

WAVE_CHECK_PERIOD_S = 0.05
VERSION_CHECK_PERIOD_S = 1.0
MAX_CLIENT_WAIT_S = 0.3
CLIENT_CHECK_PERIOD_S = 0.01
FIRST_RETRY_DELAY_S = 0.25
MAX_RETRY_DELAY_S = 10.0


def plan_waves(backends: set[str], version: int, floor: float) -> list[list[str]]:
    """Return the backend servers of a pool in the waves that load a version.

    Parameters
    ----------
    backends : set of str
    version : int
        Shuffles the order, so that no backend server is always the last.
    floor : float
        Share of the pool that keeps serving.
    """
    order = sorted(backends, key=lambda name: rendezvous_weight(str(version), name))
    size = max(1, int(len(order) * (1 - floor) + 1e-9))
    return [order[start : start + size] for start in range(0, len(order), size)]


class WeightRollout:
    """Follows the newest published version of the pool.

    Parameters
    ----------
    process : Process
        The sidecar.
    backend : Backend
    fence : Fence
    runs : Runs
    """

    def __init__(
        self,
        process: Process,
        backend: Backend,
        fence: Fence,
        attempt_runner: AttemptRunner,
    ):
        self.attempt_runner = attempt_runner
        self.process = process
        self.backend = backend
        self.fence = fence
        self.clock = process.clock
        self.wave = 0
        self.wake = asyncio.Event()

    @property
    def target(self) -> int:
        """Newest published version known here."""
        return self.process.target_versions.get(self.process.member.pool, 0)

    async def run(self) -> None:
        """Load each newer version when this one's wave comes."""
        tries = 0
        while True:
            held = self.backend.state.version
            if not self.process.member.fence or held is None or held >= self.target:
                tries = 0
                await self.wait_for_new_version()
                continue
            if tries == 0:
                await self.wait_for_wave(self.target)
            if await self.fence.is_superseded():
                self.process.start_leaving("a newer sidecar gives the orders")
                return
            await self.wait_for_client_requests()
            if await self.backend.load_weights(self.target, self.process.member.fence):
                tries = 0
                self.process.heartbeats.wake.set()
                continue
            tries += 1
            await self.clock.sleep(
                min(FIRST_RETRY_DELAY_S * 2**tries, MAX_RETRY_DELAY_S)
            )

    async def wait_for_new_version(self) -> None:
        """Wait for a new version; look once in a while whether the engine lost its."""
        try:
            async with asyncio.timeout(VERSION_CHECK_PERIOD_S):
                await self.wake.wait()
        except TimeoutError:
            pass
        self.wake.clear()

    async def wait_for_client_requests(self) -> None:
        """Send new clients elsewhere; wait a moment for those that run.

        Samples go on: they are paused by the swap, and labelled per token.
        """
        self.backend.swapping = True
        self.process.heartbeats.wake.set()
        deadline = self.clock.monotonic() + MAX_CLIENT_WAIT_S
        running = self.attempt_runner.admission.running_by_class
        while running[RequestClass.CLIENT] and self.clock.monotonic() < deadline:
            await self.clock.sleep(CLIENT_CHECK_PERIOD_S)

    async def wait_for_wave(self, version: int) -> None:
        """Wait until the waves before this one's are through, or had their time."""
        own = self.process.member
        sidecars = self.process.membership.sidecars(own.pool)
        backends = {known.member.backend for known in sidecars} | {own.backend}
        pool = self.backend.pool
        order = plan_waves(backends, version, pool.serving_floor)
        self.wave = next(n for n, wave in enumerate(order) if own.backend in wave)
        detail = f"version {version} wave {self.wave} of {len(order)}"
        self.process.recorder.record("wave", own.backend, detail)
        earlier = {name for wave in order[: self.wave] for name in wave}
        deadline = self.clock.monotonic() + self.wave * pool.swap_allowance
        while self.clock.monotonic() < deadline and not self.all_loaded(
            earlier, version
        ):
            await self.clock.sleep(WAVE_CHECK_PERIOD_S)

    def all_loaded(self, earlier: set[str], version: int) -> bool:
        """Tell whether all these backend servers are known to have a version."""
        held = {
            known.member.backend: known.member.version
            for known in self.process.membership.sidecars(self.process.member.pool)
        }
        return all(held.get(name, 0) >= version for name in earlier)
