"""Overhead: the whole path against a bare forwarder and a direct call."""

import asyncio
import os
import pathlib
import time

from hdrh.histogram import HdrHistogram

from bench.report import Row
from bench.scenes import scene, service_source, trainer_source
from gypsumshift.httpclient import Fetcher
from standins.deployment import HOST, free_port

__all__ = ["overhead"]

CALLERS = 8
TICKS = os.sysconf("SC_CLK_TCK")
TOKENS = 100


def cpu_seconds(pids: list[int]) -> float:
    """Return the processor time that some processes have used."""
    total = 0
    for pid in pids:
        fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
        total += sum(map(int, fields.split()[11:13]))
    return total / TICKS


async def closed_loop(port: int, path: str, seconds: float, callers: int):
    """Call in a closed loop; return the count and a histogram in microseconds."""
    histogram = HdrHistogram(1, 60_000_000, 3)
    fetcher = Fetcher()
    end = time.monotonic() + seconds

    async def caller() -> None:
        while time.monotonic() < end:
            began = time.monotonic()
            answer = await fetcher.fetch((HOST, port), "GET", path)
            if answer.status != 200:
                raise RuntimeError(answer)
            histogram.record_value(int((time.monotonic() - began) * 1e6))

    await asyncio.gather(*(caller() for _ in range(callers)))
    fetcher.close_idle()
    return histogram


async def gaps(port: int, path: str, rounds: int) -> HdrHistogram:
    """Stream completions one by one; return the gaps between tokens."""
    histogram = HdrHistogram(1, 60_000_000, 3)
    fetcher = Fetcher()
    body = b'{"prompt": "p", "max_tokens": %d, "stream": true}' % TOKENS
    for _ in range(rounds):
        exchange = await fetcher.open((HOST, port), "POST", path, [], body)
        last = None
        async for _ in exchange.chunks():
            now = time.monotonic()
            if last is not None:
                histogram.record_value(max(1, int((now - last) * 1e6)))
            last = now
        exchange.close()
    fetcher.close_idle()
    return histogram


async def overhead(quick: bool) -> tuple[list[Row], dict]:
    """Requests per processor second, added latency, and added gaps of a stream."""
    seconds, rounds = (2.0, 1) if quick else (4.0, 4)
    counts = {"path": [0, 0.0], "bare": [0, 0.0]}
    one = {name: HdrHistogram(1, 60_000_000, 3) for name in ("path", "bare", "direct")}
    source = service_source(places=64, size=1, learn_concurrency=False)
    async with scene(source, 1, duration=0.0, spread=0.0, places=64) as running:
        deployment = running.deployment
        backend = deployment.running["parts-0"].ports["backend"]
        port = free_port()
        command = ["bench.forwarder", str(port), str(backend)]
        forwarder = deployment.launch("forwarder", command)
        await asyncio.sleep(0.5)
        entry, sidecar = deployment.entries()[0], deployment.sidecars()[0]
        ways = {
            "path": (entry.ports["caller"], "/yards/services/parts/x"),
            "bare": (port, "/x"),
            "direct": (backend, "/x"),
        }
        pids = {
            "path": [entry.process.pid, sidecar.process.pid],
            "bare": [forwarder.process.pid],
        }
        for _ in range(rounds):
            for name, (port, path) in ways.items():
                one[name].add(await closed_loop(port, path, seconds / 2, 1))
                if name == "direct":
                    continue
                before = cpu_seconds(pids[name])
                histogram = await closed_loop(port, path, seconds, CALLERS)
                counts[name][0] += histogram.get_total_count()
                counts[name][1] += cpu_seconds(pids[name]) - before
    rate = {name: count / cpu for name, (count, cpu) in counts.items()}
    added = p(one["path"], 50) - p(one["direct"], 50)
    through, direct = await stream_gaps(rounds)
    more = p(through, 99) - p(direct, 99)
    rows = [
        Row(
            "requests a processor second",
            rate["path"],
            rate["bare"],
            "1/s",
            ">= 0.5",
            rate["path"] >= 0.5 * rate["bare"],
        ),
        Row("added p50", added, 2.0, "ms", "<= 1", added <= 2.0),
        Row("added p99 between tokens", more, 1.0, "ms", "<= 1", more <= 1.0),
    ]
    return rows, {"p50_ms": {name: p(h, 50) for name, h in one.items()}}


async def stream_gaps(rounds: int) -> tuple[HdrHistogram, HdrHistogram]:
    """Return the gaps between tokens through the path, and directly."""
    through, direct = HdrHistogram(1, 10**8, 3), HdrHistogram(1, 10**8, 3)
    source = trainer_source(size=1)
    source["trainers"] = []
    async with scene(source, 1, step=0.01) as running:
        deployment = running.deployment
        entry = deployment.entries()[0].ports["caller"]
        backend = deployment.running["model-0"].ports["backend"]
        for _ in range(rounds):
            through.add(await gaps(entry, "/yards/v1/completions", 3))
            direct.add(await gaps(backend, "/v1/completions", 3))
    return through, direct


def p(histogram: HdrHistogram, percent: float) -> float:
    """Return a quantile in milliseconds."""
    return histogram.get_value_at_percentile(percent) / 1000
