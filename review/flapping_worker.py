"""Worker stand-in that goes down and comes up again at a signal.

It takes the options of ``standins.users_worker``. At each SIGUSR1 it ends as a process
does: all its connections are closed at once and nothing listens at its address. After
``DOWN_S`` it starts again, with a new id and nothing of what it held. The platform
removes the entry of the start before once its heartbeats have stopped for long enough.
The log of its runs also has a line for each stream that it has sent to its end.
"""

import asyncio
import contextlib
import json
import random
import signal
import time

from gypsumshift.addresses import parse_address
from gypsumshift.httpclient import Fetcher, FetchError
from gypsumshift.httpserver import HttpServer
from standins import users_worker

# Time for which the worker is down.
DOWN_S = 0.5
# The platform removes an entry after three heartbeat intervals of silence.
ENTRY_LIFETIME_S = 3.6


class FlappingWorker(users_worker.FakeWorker):
    """A backend server that can end and start again within one process."""

    def end(self) -> None:
        """Close the port and all connections."""
        self.server.closing = True
        self.server.listener.close()
        for task, connection in list(self.server.connections.items()):
            connection.writer.transport.abort()
            task.cancel()

    def begin(self) -> None:
        """Start anew, without any state of the start before."""
        self.restart()
        self.id = f"i-{random.SystemRandom().getrandbits(32):08x}"
        self.models = dict.fromkeys(self.models, 1)
        self.running = self.waiting = 0
        self.server = HttpServer(self.serve)
        self.log_line({"started": self.id, "at": time.time()})

    async def stream_events(self, run: dict, item: str, after: int, model: str):
        """Yield the events of an item; log its end."""
        events = super().stream_events(run, item, after, model)
        async with contextlib.aclosing(events):
            async for event in events:
                yield event
        self.log_line({"finished": item, "at": time.time()})


async def remove_entry(store: tuple[str, int], worker_id: str) -> None:
    """Remove the entry of a start that has ended, as the platform does."""
    await asyncio.sleep(ENTRY_LIFETIME_S)
    entry = {"table": "servers", "part": "", "key": worker_id}
    body = json.dumps({"expected": [], "writes": [], "remove": [entry]}).encode()
    try:
        await Fetcher().fetch(store, "POST", "/gypsumshift/rows-tx", [], body, 2.0)
    except FetchError as error:
        print(f"cannot remove the entry of {worker_id}: {error}", flush=True)


async def run(worker: FlappingWorker, ip: str, port: int, store: str) -> None:
    """Serve requests and keep the entry in the store, with restarts at signals."""
    address = parse_address(store)
    signalled = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, signalled.set)
    removals = []
    fetcher = Fetcher()
    await worker.server.listen(ip, port)
    while True:
        entry = worker.table_entry(f"{ip}:{port}")
        await users_worker.put_row(fetcher, address, ("servers", worker.id, entry))
        try:
            async with asyncio.timeout(users_worker.HEARTBEAT_PERIOD_S):
                await signalled.wait()
        except TimeoutError:
            continue
        signalled.clear()
        worker.end()
        worker.log_line({"ended_start": worker.id, "at": time.time()})
        removals.append(asyncio.create_task(remove_entry(address, worker.id)))
        await asyncio.sleep(DOWN_S)
        worker.begin()
        await worker.server.listen(ip, port)


if __name__ == "__main__":
    users_worker.FakeWorker = FlappingWorker
    users_worker.run = run
    users_worker.typer.run(users_worker.main)
