"""Small stand-in for a model engine that fails some runs and repeats some answers.

It speaks HTTP/1.1 by itself, so that it can send a second copy of an answer late, at
the point where the next answer on the connection is expected (PROTOCOL.md, Workers).
"""

import asyncio
import contextlib
import json
import random
import time

import typer

from gypsumshift.addresses import parse_address
from gypsumshift.httpclient import Fetcher
from standins.users_worker import HEARTBEAT_PERIOD_S, event_text, put_row

__all__ = ["GarblingEngine"]

# The disruptions come again and again, each for its length (site files: srv_grey 6.5 s
# and more, garble "extra late" 5 s).
PERIOD_S, FAILING_S, GARBLE_S = 7.0, 6.5, 5.0


class GarblingEngine:
    """Model engine with one connection handler.

    Parameters
    ----------
    name : str
        Id of the worker.
    slots : int
    events : int
        Events of each item.
    pause : float
        Seconds before each event.
    failing : float
        Share of the runs that are answered with 500.
    repeated : float
        Share of all answers of which a second copy follows late; of those with 500, as
        long as there are any.
    log : file

    Attributes
    ----------
    answers, window_answers, copies : int
        Answers to items, those in the time of late copies, and second copies, so far.
    """

    def __init__(self, name, slots, events, pause, failing, repeated, log):
        self.began = time.monotonic()
        self.name = name
        self.slots = slots
        self.events = events
        self.pause = pause
        self.failing = failing
        self.repeated = repeated
        self.log = log
        self.rng = random.Random(name)
        self.born = int(time.time() * 1000)
        self.running = 0
        self.answers = self.window_answers = self.copies = 0

    def in_window(self, seconds: float) -> bool:
        """Return whether a disruption of some seconds lasts that comes each period."""
        return (time.monotonic() - self.began) % PERIOD_S < seconds

    def note(self, **line) -> None:
        """Write a line to the log."""
        self.log.write(json.dumps(line) + "\n")
        self.log.flush()

    def report(self) -> bytes:
        """Return the body of the report."""
        value = {"stage": "mixed", "models": [{"name": "m", "version": 1}]}
        value |= {"busy": False, "seq": 0, "queued": 0, "running": self.running}
        return json.dumps(value | {"born": self.born}).encode()

    def entry(self, address: str, seq: int) -> dict:
        """Return the entry for the table of workers."""
        return {
            "born": self.born,
            "seq": seq,
            "cold_left_ms": 0,
            "service": "pool",
            "addr": address,
            "zone": "here",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "models": [{"name": "m", "version": 1}],
        }

    async def serve(self, reader, writer) -> None:
        """Serve the requests of one connection."""
        copy = b""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                pairs = (line.split(":", 1) for line in lines[1:] if line)
                fields = {name.lower(): value.strip() for name, value in pairs}
                await reader.readexactly(int(fields.get("content-length", "0")))
                if copy:
                    writer.write(copy)
                    self.copies += 1
                    self.note(copied=True)
                copy = await self.answer(lines[0].split()[1], fields, writer)
        writer.close()

    async def answer(self, path: str, fields: dict, writer) -> bytes:
        """Answer a request; return the copy that is to follow late, if any."""
        if path == "/gypsumshift/report":
            await send(writer, 200, {}, self.report())
            return b""
        if fields.get("expect-instance", self.name) != self.name:
            await send(writer, 421, {"not-run": "1"}, b"")
            return b""
        if not path.startswith("/batch/"):
            await send(writer, 400, {}, b"")
            return b""
        item = fields.get("request-id", "")
        stamp = {"request-id": item, "server-stamp": f"{self.name}.{item}"}
        if self.running >= self.slots:
            await send(writer, 503, stamp | {"not-run": "1"}, b"")
            return b""
        self.answers += 1
        self.window_answers += self.in_window(GARBLE_S)
        if self.in_window(FAILING_S) and self.rng.random() < self.failing:
            self.note(failed=item)
            sent = await send(writer, 500, stamp, b"error")
            if not self.in_window(GARBLE_S):
                return b""
            within = self.copies + 1 <= self.repeated * self.window_answers
            return sent if within else b""
        await self.stream(item, int(fields.get("last-event-id", "0")), stamp, writer)
        return b""

    async def stream(self, item: str, after: int, stamp: dict, writer) -> None:
        """Send the events of an item."""
        self.running += 1
        self.note(began=item)
        try:
            fields = stamp | {"weight-versions": "1"}
            fields |= {"content-type": "text/event-stream"}
            fields |= {"transfer-encoding": "chunked"}
            writer.write(head_bytes(200, fields))
            for number in range(after + 1, self.events + 1):
                await asyncio.sleep(self.pause)
                event = f"id: {number}\ndata: {event_text(item, number)}\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running -= 1


def head_bytes(status: int, fields: dict[str, str]) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def send(writer, status: int, fields: dict, body: bytes) -> bytes:
    """Send an answer with a body of known length; return its bytes."""
    data = head_bytes(status, fields | {"content-length": str(len(body))}) + body
    writer.write(data)
    await writer.drain()
    return data


async def run(engine: GarblingEngine, ip: str, port: int, store: str) -> None:
    """Serve requests, and keep the engine's entry in the store."""
    await asyncio.start_server(engine.serve, ip, port)
    fetcher, address = Fetcher(), parse_address(store)
    seq = 0
    while True:
        seq += 1
        entry = engine.entry(f"{ip}:{port}", seq)
        await put_row(fetcher, address, ("servers", engine.name, entry))
        await asyncio.sleep(HEARTBEAT_PERIOD_S)


def main(
    ip: str = "127.0.0.1",
    port: int = 9200,
    store: str = "127.0.0.1:9100",
    name: str = "i-engine",
    slots: int = 4,
    events: int = 8,
    work_ms: float = 40,
    failing: float = 0.0,
    repeated: float = 0.0,
    runs: str = "engine.runs",
) -> None:
    """Run the stand-in."""
    with open(runs, "a") as log:
        engine = GarblingEngine(
            name, slots, events, work_ms / 1000, failing, repeated, log
        )
        asyncio.run(run(engine, ip, port, store))


if __name__ == "__main__":
    typer.run(main)
