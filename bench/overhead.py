"""Experiment: overhead of entry and sidecar over a bare forwarder and direct calls."""

import asyncio
import os
import pathlib
import time

from hdrh.histogram import HdrHistogram

from bench.report import Row
from bench.testbed import run_testbed, service_source, trainer_source
from gypsumshift.httpclient import Fetcher
from standins.deployment import HOST, free_port

__all__ = ["overhead"]

CONCURRENT_CALLERS = 8
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
TOKENS_PER_STREAM = 100


def cpu_seconds(pids: list[int]) -> float:
    """Return the total processor time that processes have used, in seconds."""
    total = 0
    for pid in pids:
        fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
        total += sum(map(int, fields.split()[11:13]))
    return total / TICKS_PER_S


async def run_closed_loop(port: int, path: str, seconds: float, callers: int):
    """Call in a closed loop; return a histogram of latencies in microseconds."""
    histogram = HdrHistogram(1, 60_000_000, 3)
    fetcher = Fetcher()
    end = time.monotonic() + seconds

    async def caller() -> None:
        while time.monotonic() < end:
            began = time.monotonic()
            answer = await fetcher.fetch((HOST, port), "GET", path)
            if answer.status != 200:
                raise RuntimeError(f"GET {path} at port {port} failed: {answer}")
            histogram.record_value(int((time.monotonic() - began) * 1e6))

    await asyncio.gather(*(caller() for _ in range(callers)))
    fetcher.close_idle()
    return histogram


async def measure_token_gaps(port: int, path: str, rounds: int) -> HdrHistogram:
    """Stream completions one by one; return the gaps between tokens in microseconds."""
    histogram = HdrHistogram(1, 60_000_000, 3)
    fetcher = Fetcher()
    body = b'{"prompt": "p", "max_tokens": %d, "stream": true}' % TOKENS_PER_STREAM
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
    """Measure requests per processor second, added latency and added token gaps."""
    seconds, rounds = (2.0, 1) if quick else (4.0, 4)
    counts = {"path": [0, 0.0], "bare": [0, 0.0]}
    single_caller = {
        name: HdrHistogram(1, 60_000_000, 3) for name in ("path", "bare", "direct")
    }
    source = service_source(slots=64, size=1, learn_concurrency=False)
    async with run_testbed(source, 1, duration=0.0, spread=0.0, places=64) as testbed:
        deployment = testbed.deployment
        backend = deployment.running["parts-0"].ports["backend"]
        port = free_port()
        command = ["bench.forwarder", str(port), str(backend)]
        forwarder = deployment.launch("forwarder", command)
        await asyncio.sleep(0.5)
        entry, sidecar = deployment.entries()[0], deployment.sidecars()[0]
        targets = {
            "path": (entry.ports["caller"], "/yards/services/parts/x"),
            "bare": (port, "/x"),
            "direct": (backend, "/x"),
        }
        pids = {
            "path": [entry.process.pid, sidecar.process.pid],
            "bare": [forwarder.process.pid],
        }
        for _ in range(rounds):
            for name, (port, path) in targets.items():
                single_caller[name].add(
                    await run_closed_loop(port, path, seconds / 2, 1)
                )
                if name == "direct":
                    continue
                before = cpu_seconds(pids[name])
                histogram = await run_closed_loop(
                    port, path, seconds, CONCURRENT_CALLERS
                )
                counts[name][0] += histogram.get_total_count()
                counts[name][1] += cpu_seconds(pids[name]) - before
    rate = {name: count / cpu for name, (count, cpu) in counts.items()}
    added_p50 = percentile_ms(single_caller["path"], 50) - percentile_ms(
        single_caller["direct"], 50
    )
    via_path, direct = await compare_token_gaps(rounds)
    added_gap = percentile_ms(via_path, 99) - percentile_ms(direct, 99)
    rows = [
        Row(
            "requests a processor second",
            rate["path"],
            rate["bare"],
            "1/s",
            ">= 0.5",
            rate["path"] >= 0.5 * rate["bare"],
        ),
        Row("added p50", added_p50, 2.0, "ms", "<= 1", added_p50 <= 2.0),
        Row("added p99 between tokens", added_gap, 1.0, "ms", "<= 1", added_gap <= 1.0),
    ]
    return rows, {
        "p50_ms": {name: percentile_ms(h, 50) for name, h in single_caller.items()}
    }


async def compare_token_gaps(rounds: int) -> tuple[HdrHistogram, HdrHistogram]:
    """Measure the gaps between tokens via entry and sidecar, and directly."""
    via_path, direct = HdrHistogram(1, 10**8, 3), HdrHistogram(1, 10**8, 3)
    source = trainer_source(size=1)
    source["trainers"] = []
    async with run_testbed(source, 1, step=0.01) as testbed:
        deployment = testbed.deployment
        entry = deployment.entries()[0].ports["caller"]
        backend = deployment.running["model-0"].ports["backend"]
        for _ in range(rounds):
            via_path.add(await measure_token_gaps(entry, "/yards/v1/completions", 3))
            direct.add(await measure_token_gaps(backend, "/v1/completions", 3))
    return via_path, direct


def percentile_ms(histogram: HdrHistogram, percent: float) -> float:
    """Return a percentile of a histogram in microseconds as milliseconds."""
    return histogram.get_value_at_percentile(percent) / 1000
