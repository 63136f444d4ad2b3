"""Experiment: rollout of weights in waves, compared to all at once and one by one."""

import asyncio
import json
import time

from bench.load import LoadGenerator, LoadResult
from bench.report import Row
from bench.testbed import Testbed, run_testbed, trainer_source

__all__ = ["rollout"]

WEIGHTS_SIZE_BYTES = 4_000_000
DOWNLOAD_BYTES_PER_S = 20e6
SWAP_TIME_S = 0.4
ENGINE_COUNT = 5
SERVING_FLOORS = {"waves": 0.4, "all at once": 0.0, "one by one": 0.9}


def make_request(rng):
    """Return a client's completion request."""
    body = json.dumps({"prompt": f"p{rng.random()}", "max_tokens": 12}).encode()
    return "POST", "/v1/completions", body, []


async def publish_weights(testbed: Testbed, version: int) -> float:
    """Publish weights; return the seconds until the last engine serves them."""
    target = f"/v1/weights?pool=model&version={version}"
    deployment = testbed.deployment
    address = ("127.0.0.1", deployment.entries()[0].ports["operator"])
    began = time.monotonic()
    await deployment.fetcher.fetch(
        address, "PUT", target, [], b"w" * WEIGHTS_SIZE_BYTES, timeout=30.0
    )
    while await count_lagging_engines(testbed, version):
        await asyncio.sleep(0.02)
    return time.monotonic() - began


async def count_lagging_engines(testbed: Testbed, version: int) -> int:
    """Return the number of engines whose version is older than the given one."""
    count = 0
    for name in testbed.backend_names():
        address = ("127.0.0.1", testbed.deployment.running[name].ports["backend"])
        answer = await testbed.deployment.fetcher.fetch(address, "GET", "/standin")
        count += json.loads(answer.body)["version"] < version
    return count


async def rollout(quick: bool) -> tuple[list[Row], dict]:
    """Measure the time to the last engine, and the clients' tail latency meanwhile."""
    rounds = 1 if quick else 3
    durations = {name: [] for name in SERVING_FLOORS}
    during = {name: LoadResult() for name in SERVING_FLOORS}
    calm = LoadResult()
    version = 0
    source = trainer_source({"publishes": False}, swap_allowance=4.0)
    source["trainers"] = []
    async with run_testbed(
        source, step=0.004, swap=SWAP_TIME_S, weight_rate=DOWNLOAD_BYTES_PER_S
    ) as testbed:
        urls = testbed.deployment.caller_urls("/yards")
        for turn in range(rounds):
            calm.add(await LoadGenerator(urls, 40, turn, make_request).run(4))
            for name, floor in SERVING_FLOORS.items():
                await testbed.declare({"serving_floor": floor})
                version += 1
                load = asyncio.create_task(
                    LoadGenerator(urls, 40, turn, make_request).run(4)
                )
                await asyncio.sleep(0.5)
                durations[name].append(await publish_weights(testbed, version))
                during[name].add(await load)
    mean = {name: sum(values) / len(values) for name, values in durations.items()}
    # All engines download through one store of limited bandwidth, then swap.
    limit = ENGINE_COUNT * WEIGHTS_SIZE_BYTES / DOWNLOAD_BYTES_PER_S + SWAP_TIME_S
    rows = [
        Row(
            "publication to last engine / limit",
            mean["waves"],
            limit,
            "s",
            "<= 1.5",
            mean["waves"] <= 1.5 * limit,
        ),
        Row(
            "publication to last engine / one by one",
            mean["waves"],
            mean["one by one"],
            "s",
            "<= 1",
            mean["waves"] <= mean["one by one"],
        ),
        p99_row("client p99 during the swap", during["waves"], calm, 1.5),
        p99_row("same, against all at once", during["waves"], during["all at once"], 1),
    ]
    details = {name: result.summary() for name, result in during.items()}
    return rows, details | {"calm": calm.summary(), "took": durations, "limit": limit}


def p99_row(
    what: str, candidate: LoadResult, baseline: LoadResult, max_ratio: float
) -> Row:
    """Return a row that compares two 99th percentiles of latency."""
    high, low = candidate.percentile_ms(99), baseline.percentile_ms(99)
    return Row(what, high, low, "ms", f"<= {max_ratio}", high <= max_ratio * low)
