"""Loading of new weights into the backend servers of a pool, in waves.

There is no leader. Each sidecar computes its own wave from the names of the pool's
backend servers and the version. It loads the weights as soon as heartbeats report that
all earlier waves have loaded them, or after the time declared for the earlier waves.
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
RETRY_DELAY_BASE_S = 0.25
MAX_RETRY_DELAY_S = 10.0


def plan_waves(backends: set[str], version: int, floor: float) -> list[list[str]]:
    """Divide the backend servers of a pool into the waves that load a version.

    Parameters
    ----------
    backends : set of str
    version : int
        Determines the order, so that no backend server is always in the last wave.
    floor : float
        Share of the pool that continues serving during each wave.
    """
    order = sorted(backends, key=lambda name: rendezvous_weight(str(version), name))
    size = max(1, int(len(order) * (1 - floor) + 1e-9))
    return [order[start : start + size] for start in range(0, len(order), size)]


class WeightRollout:
    """Loads the newest published version of the pool into one backend server.

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
        """Newest published version known to this sidecar; 0 if there is none."""
        return self.process.target_versions.get(self.process.member.pool, 0)

    async def run(self) -> None:
        """Load each newer version when this backend server's wave may start.

        Ends if a newer sidecar of the backend server has replaced this one.
        """
        tries = 0
        while True:
            loaded = self.backend.state.version
            if not self.process.member.fence or loaded is None or loaded >= self.target:
                tries = 0
                await self.wait_for_new_version()
                continue
            if tries == 0:
                await self.wait_for_wave(self.target)
            if await self.fence.is_superseded():
                self.process.start_leaving(
                    "a newer sidecar controls this backend server"
                )
                return
            await self.wait_for_client_requests()
            if await self.backend.load_weights(self.target, self.process.member.fence):
                tries = 0
                self.process.heartbeats.wake.set()
                continue
            tries += 1
            await self.clock.sleep(
                min(RETRY_DELAY_BASE_S * 2**tries, MAX_RETRY_DELAY_S)
            )

    async def wait_for_new_version(self) -> None:
        """Wait for a new version, at most until the next check of the loaded one.

        The engine may have lost its weights, for example by a restart.
        """
        try:
            async with asyncio.timeout(VERSION_CHECK_PERIOD_S):
                await self.wake.wait()
        except TimeoutError:
            pass
        self.wake.clear()

    async def wait_for_client_requests(self) -> None:
        """Direct new client requests elsewhere; wait briefly for running ones to end.

        Samples continue: the swap pauses them, and each token gets the weight version
        that generated it.
        """
        self.backend.swapping = True
        self.process.heartbeats.wake.set()
        deadline = self.clock.monotonic() + MAX_CLIENT_WAIT_S
        running = self.attempt_runner.admission.running_by_class
        while running[RequestClass.CLIENT] and self.clock.monotonic() < deadline:
            await self.clock.sleep(CLIENT_CHECK_PERIOD_S)

    async def wait_for_wave(self, version: int) -> None:
        """Wait until earlier waves have loaded the version or their time has passed."""
        member = self.process.member
        sidecars = self.process.membership.sidecars(member.pool)
        backends = {sidecar.member.backend for sidecar in sidecars} | {member.backend}
        pool = self.backend.pool
        order = plan_waves(backends, version, pool.serving_floor)
        self.wave = next(n for n, wave in enumerate(order) if member.backend in wave)
        detail = f"version {version} wave {self.wave} of {len(order)}"
        self.process.recorder.record("wave", member.backend, detail)
        earlier = {name for wave in order[: self.wave] for name in wave}
        deadline = self.clock.monotonic() + self.wave * pool.swap_allowance
        while self.clock.monotonic() < deadline and not self.all_loaded(
            earlier, version
        ):
            await self.clock.sleep(WAVE_CHECK_PERIOD_S)

    def all_loaded(self, earlier: set[str], version: int) -> bool:
        """Return whether all the given backend servers report at least a version."""
        loaded = {
            sidecar.member.backend: sidecar.member.version
            for sidecar in self.process.membership.sidecars(self.process.member.pool)
        }
        return all(loaded.get(name, 0) >= version for name in earlier)
