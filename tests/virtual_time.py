"""Event loop in virtual time: waiting takes no real time, and runs are repeatable."""

import asyncio

from gypsumshift.clock import SystemClock


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Loop whose time goes on at once to the next thing that waits for it."""

    seconds = 100.0

    def time(self):
        return self.seconds

    def _run_once(self):
        if not self._ready and self._scheduled:
            self.seconds = max(self.seconds, self._scheduled[0]._when)
        super()._run_once()


class LoopClock(SystemClock):
    """Clock of the running loop."""

    def monotonic(self):
        return asyncio.get_running_loop().time()

    def monotonic_with_suspend(self):
        return self.monotonic()


def run_in_virtual_time(scenario):
    """Run a coroutine function in a time of its own."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(scenario())
