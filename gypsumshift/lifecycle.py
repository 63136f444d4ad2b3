"""Lifecycle: start one process, and end it when it is told to."""

import abc
import asyncio
import gc
import signal

from gypsumshift import logs

__all__ = ["Node", "serve"]

# Part of the time between the signal to stop and the end that is used: the rest is
# left for a slow host.
GRACE_SHARE = 0.8

log = logs.logger("process")


class Node(abc.ABC):
    """One process of the system."""

    @abc.abstractmethod
    async def run(self) -> None:
        """Work until cancelled."""

    @abc.abstractmethod
    async def drain(self, grace: float) -> None:
        """Take no new work, and end or hand over what runs, in ``grace`` seconds."""

    def reload(self) -> None:
        """Take note that the settings file may have changed."""
        logs.event(log, "Told to reload; the settings hold until the next start.")


async def serve(node: Node, grace: float) -> int:
    """Run a node until a signal ends it; return the exit status."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    working = asyncio.create_task(node.run())
    logs.event(log, "Started.", kind=type(node).__name__)
    # What the start left behind stays for good: spare the collector from it.
    gc.collect()
    gc.freeze()
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait({working, stopping}, return_when=asyncio.FIRST_COMPLETED)
    if working.done():
        # Only a broken invariant ends the work by itself.
        log.error("The work ended: {!r}", working.exception())
        return 70
    logs.event(log, "Told to stop.", grace_s=grace)
    await node.drain(grace * GRACE_SHARE)
    working.cancel()
    await asyncio.wait({working})
    logs.event(log, "Stopped.")
    return 0
