"""Event loop in virtual time: waiting takes no real time, and runs are repeatable."""

import asyncio

from gypsumshift.clock import SystemClock


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose time jumps to the next timer when no callback is ready."""

    seconds = 100.0

    def time(self):
        return self.seconds

    def _run_once(self):
        if not self._ready and self._scheduled:
            self.seconds = max(self.seconds, self._scheduled[0]._when)
        super()._run_once()


class LoopClock(SystemClock):
    """Clock that shows the time of the running event loop."""

    def monotonic(self):
        return asyncio.get_running_loop().time()

    def monotonic_with_suspend(self):
        return self.monotonic()


def run_in_virtual_time(scenario):
    """Run a coroutine function on a new event loop in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(scenario())
