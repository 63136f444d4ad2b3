"""A gateway that is stopped cuts a stream whose engine is silent for 1.6 s."""

import asyncio
import pathlib
import signal
import sys
import tempfile
import time

from gypsumshift.httpclient import FetchError
from review.rolling_stop import (
    GRACE_S,
    Record,
    StoppedDeployment,
    is_troubled,
    read_answer,
    request_bytes,
)
from soak.deployment import FRONT_PORT, WORKER_PORT, Process
from soak.runs import read_runs
from standins.users_documents import config

ENGINES, SLOTS = 3, 4
EVENTS, EVENT_MS = 30, 120
PAUSE_S = 1.6
DEADLINE_MS = 10_000
FOLDER = pathlib.Path(__file__).resolve().parent


class PausingDeployment(StoppedDeployment):
    """Deployment of gateways and of engines whose streams can be preempted."""

    async def add_engine(self, number: int) -> Process:
        """Add and start an engine."""
        name = f"engine-{number}"
        store = "{}:{}".format(*self.store_address)
        fields = ["--port", str(WORKER_PORT), "--service", "pool", "--store", store]
        fields += ["--slots", str(SLOTS), "--events", str(EVENTS)]
        fields += ["--work-ms", str(EVENT_MS), "--name", f"i-{name}"]
        fields += ["--runs", str(self.folder / f"{name}.runs")]
        process = self.add(name, "review.pausing_worker", *fields)
        await process.start()
        return process


async def run_stream(gateway, number: int, record: Record) -> tuple[float, float, bool]:
    """Request a stream; return when it was sent and ended, and whether it is whole."""
    name = f"s{number:02d}"
    reader, writer = await asyncio.open_connection(gateway.ip, FRONT_PORT)
    writer.write(request_bytes("/resumed/1", name, DEADLINE_MS, b"prompt"))
    sent = time.monotonic()
    status, body, whole = await read_answer(reader)
    ended = time.monotonic()
    writer.close()
    events = body.count(b"\n\n")
    whole = whole and status == 200 and events == EVENTS
    state = "complete" if whole else "ended without its end"
    record.note(
        f"stream {name}: status {status}, {events} of {EVENTS} events, {state},"
        f" {ended - sent:.2f} s after it was sent"
    )
    return sent, ended, whole


async def play(deployment: PausingDeployment, record: Record) -> int:
    """Run the case; return the number of streams that break the rule."""
    routes = config(1, slots=SLOTS)
    for route in routes["routes"]:
        route["timeout_ms"] = DEADLINE_MS
    await deployment.start(routes)
    await asyncio.sleep(4.5)
    gateway = deployment.of_kind("gateway")[0]
    streams = []
    for number in range(ENGINES * SLOTS):
        streams.append(asyncio.create_task(run_stream(gateway, number, record)))
        await asyncio.sleep(0.02)
    record.note(f"{len(streams)} streams requested; all engines are full")
    await asyncio.sleep(0.8)
    stopped_at = time.monotonic()
    gateway.signal(signal.SIGTERM)
    record.note(f"SIGTERM to {gateway.name}, grace_s {GRACE_S:g}")
    await asyncio.sleep(0.4)
    if is_troubled():
        engine = deployment.of_kind("engine")[0]
        pause = str(PAUSE_S).encode()
        address = (engine.ip, WORKER_PORT)
        answer = await deployment.fetcher.fetch(address, "PUT", "/preempt", [], pause)
        record.note(
            f"{engine.name} preempts {answer.body.decode()}: no event for {PAUSE_S} s,"
            " then it goes on"
        )
    ends = await asyncio.gather(*streams)
    last_sixth = stopped_at + GRACE_S * 5 / 6
    cut = [ended for _, ended, whole in ends if not whole]
    # Excuses of the rule: none of these streams was due, none sent after the signal.
    broken = [ended for ended in cut if ended < last_sixth]
    record.note(f"{len(cut)} of {len(ends)} streams have no complete answer")
    for run in read_runs(deployment.folder, "engine"):
        if run.get("left") and run["end"] != "whole":
            record.note(
                f"{run['file']}: {run['left']} was still at work when the gateway left"
                f" it after {run['after_s']} s"
            )
    return len(broken)


async def main() -> int:
    """Run the case; return the exit status."""
    record = Record(FOLDER / "record.txt")
    record.note(f"disruption: {'yes' if is_troubled() else 'no'}")
    deployment = None
    try:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            deployment = PausingDeployment(path, int(time.time()) % 1000, ENGINES)
            try:
                async with asyncio.timeout(100):
                    broken = await play(deployment, record)
            finally:
                await deployment.close()
    except (FetchError, OSError, TimeoutError) as error:
        record.note(f"the case could not run: {error!r}")
        record.write()
        return 2
    record.note("RULE BROKEN" if broken else "rule held")
    record.write()
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
