"""Experiments: routing, cache affinity, limits and retries on one pool."""

import asyncio
import json
import random

from bench.load import LoadGenerator, LoadResult
from bench.report import Row
from bench.testbed import Testbed, run_testbed, service_source, trainer_source

__all__ = ["affinity", "limits", "retries", "routing"]

MEDIAN_SERVICE_TIME_S = 0.08
SERVICE_TIME_SIGMA = 0.7
SLOTS = 4
SERVER_COUNT = 5
MEAN_SERVICE_TIME_S = MEDIAN_SERVICE_TIME_S * 2.718281828 ** (SERVICE_TIME_SIGMA**2 / 2)
CAPACITY_PER_S = SERVER_COUNT * SLOTS / MEAN_SERVICE_TIME_S
PATH = "/services/parts"


def make_request(rng):
    """Return a client's request as method, path, body and headers."""
    return "GET", f"{PATH}/x{rng.randrange(1000)}", b"", []


async def run_load_segment(
    testbed: Testbed, share: float, seconds: float, seed: int, what=make_request
):
    """Load the service for some seconds at a share of its capacity."""
    urls = testbed.deployment.caller_urls("/yards")
    return await LoadGenerator(urls, share * CAPACITY_PER_S, seed, what).run(seconds)


def standin_options(**more) -> dict:
    """Return the options of the stand-ins for service times and slots."""
    return {
        "duration": MEDIAN_SERVICE_TIME_S,
        "spread": SERVICE_TIME_SIGMA,
        "places": SLOTS,
    } | more


async def routing(quick: bool) -> tuple[list[Row], dict]:
    """Compare routing by estimated wait, round robin and delayed load reports.

    Also measures the tail latency while one of five servers is slow.
    """
    seconds, rounds = (4, 1) if quick else (8, 3)
    kinds = ("load", "round-robin", "least-reported")
    results = {kind: LoadResult() for kind in kinds}
    slow, calm = LoadResult(), LoadResult()
    async with run_testbed(service_source(SLOTS), **standin_options()) as testbed:
        for turn in range(rounds):
            for kind in kinds:
                await testbed.declare({"routing": kind})
                results[kind].add(await run_load_segment(testbed, 0.8, seconds, turn))
            await testbed.declare({"routing": "load"})
            calm.add(await run_load_segment(testbed, 0.5, seconds, turn))
            await testbed.deployment.set_faults("parts-0", slow=4.0)
            await asyncio.sleep(1)
            slow.add(await run_load_segment(testbed, 0.5, seconds, turn))
            await testbed.deployment.set_faults("parts-0")
    p99 = {kind: result.percentile_ms(99) for kind, result in results.items()}
    rows = [
        ratio_row(
            "p99 at 80 % load, round robin", p99["load"], p99["round-robin"], 0.5
        ),
        ratio_row(
            "p99 at 80 % load, least reported", p99["load"], p99["least-reported"], 1
        ),
        ratio_row(
            "p99 with one of five slow",
            slow.percentile_ms(99),
            calm.percentile_ms(99),
            1.2,
        ),
    ]
    details = {kind: result.summary() for kind, result in results.items()}
    return rows, details | {"calm": calm.summary(), "slow": slow.summary()}


def ratio_row(what: str, candidate: float, baseline: float, max_ratio: float) -> Row:
    """Return a row of latencies whose ratio must not exceed a maximum."""
    met = candidate <= max_ratio * baseline
    return Row(what, candidate, baseline, "ms", f"<= {max_ratio}", met)


def make_prompt_request(rng: random.Random):
    """Return a request whose prompt shares one of 40 long prefixes."""
    prefix = rng.randrange(40)
    words = [f"p{prefix}w{n}" for n in range(256)]
    words += [f"u{rng.randrange(10**6)}" for _ in range(8)]
    body = json.dumps({"prompt": " ".join(words), "max_tokens": 4}).encode()
    return "POST", "/v1/completions", body, []


async def affinity(quick: bool) -> tuple[list[Row], dict]:
    """Compare prefix cache hit rates of routing by load and round robin."""
    seconds, rounds = (4, 1) if quick else (8, 2)
    hits = {"load": [0, 0], "round-robin": [0, 0]}
    latency = {kind: LoadResult() for kind in hits}
    source = trainer_source()
    async with run_testbed(source, step=0.004, cache_blocks=200) as testbed:
        urls = testbed.deployment.caller_urls("/yards")
        for turn in range(rounds):
            for kind, count in hits.items():
                await testbed.declare({"routing": kind})
                await LoadGenerator(urls, 40, 99 + turn, make_prompt_request).run(
                    seconds / 2
                )
                before = await read_cache_counts(testbed)
                latency[kind].add(
                    await LoadGenerator(urls, 40, turn, make_prompt_request).run(
                        seconds
                    )
                )
                after = await read_cache_counts(testbed)
                count[0] += after[0] - before[0]
                count[1] += after[1] - before[1]
    share = {kind: h / max(1, h + m) for kind, (h, m) in hits.items()}
    hits_row = Row(
        "prefix blocks found in the cache",
        share["load"],
        share["round-robin"],
        "share",
        ">= 2",
        share["load"] >= 2 * share["round-robin"],
    )
    return [hits_row], {kind: result.summary() for kind, result in latency.items()}


async def read_cache_counts(testbed: Testbed) -> tuple[int, int]:
    """Read the total hits and misses of all engines' prefix caches."""
    hits = misses = 0
    deployment = testbed.deployment
    for name in testbed.backend_names():
        address = ("127.0.0.1", deployment.running[name].ports["backend"])
        answer = await deployment.fetcher.fetch(address, "GET", "/standin")
        value = json.loads(answer.body)
        hits, misses = hits + value["hits"], misses + value["misses"]
    return hits, misses


async def limits(quick: bool) -> tuple[list[Row], dict]:
    """Measure clients during a flood of internal checks and during overload.

    The flood arrives at three times the capacity, the overload at twice the capacity.
    """
    seconds, rounds = (4, 1) if quick else (8, 2)
    alone, beside, fifo_alone, fifo_beside = (LoadResult() for _ in range(4))
    over, after = LoadResult(), LoadResult()
    async with run_testbed(service_source(SLOTS), **standin_options()) as testbed:
        for turn in range(rounds):
            for kind, quiet, busy in (
                ("fair", alone, beside),
                ("fifo", fifo_alone, fifo_beside),
            ):
                await testbed.declare({"admission": kind})
                quiet.add(await run_load_segment(testbed, 0.4, seconds, turn))
                flood = start_flood(testbed, 3.0, seconds + 1, turn + 50)
                await asyncio.sleep(1)
                busy.add(await run_load_segment(testbed, 0.4, seconds - 1, turn))
                await asyncio.to_thread(flood.wait)
            await testbed.declare({"admission": "fair"})
            over.add(await run_load_segment(testbed, 2.0, seconds, turn))
            await asyncio.sleep(1)
            after.add(await run_load_segment(testbed, 0.4, seconds, turn))
    goodput = over.answered / over.seconds
    rows = [
        ratio_row("client p99, internal checks at 3x", *p99_pair(beside, alone), 1.2),
        ratio_row(
            "same, against first come first served", *p99_pair(beside, fifo_beside), 1
        ),
        Row(
            "goodput at 2x overload / capacity",
            goodput,
            CAPACITY_PER_S,
            "1/s",
            ">= 0.9",
            goodput >= 0.9 * CAPACITY_PER_S,
        ),
        ratio_row(
            "client p99 from 1 s after the overload", *p99_pair(after, alone), 1.2
        ),
    ]
    named = {"alone": alone, "beside": beside, "fifo_alone": fifo_alone}
    named |= {"fifo_beside": fifo_beside, "over": over, "after": after}
    return rows, {name: result.summary() for name, result in named.items()}


def start_flood(testbed: Testbed, share: float, seconds: float, seed: int):
    """Start a process that sends internal checks at a multiple of the capacity."""
    urls = testbed.deployment.caller_urls("/yards")
    command = [
        "bench.flood",
        str(share * CAPACITY_PER_S),
        str(seconds),
        str(seed),
        *urls,
    ]
    return testbed.deployment.launch("flood", command).process


def p99_pair(candidate: LoadResult, baseline: LoadResult) -> tuple[float, float]:
    """Return the 99th percentiles of latency of two results."""
    return candidate.percentile_ms(99), baseline.percentile_ms(99)


async def retries(quick: bool) -> tuple[list[Row], dict]:
    """Compare budgeted with blind retries while backend servers are killed."""
    seconds, rounds = (6, 1) if quick else (20, 2)
    results = {"budget": LoadResult(), "blind": LoadResult()}
    async with run_testbed(service_source(SLOTS), **standin_options()) as testbed:
        for turn in range(rounds):
            for kind, result in results.items():
                await testbed.declare(
                    {"routing": "load" if kind == "budget" else "round-robin"}
                )
                killing = asyncio.create_task(
                    kill_one_server(testbed, seconds / 2, turn)
                )
                result.add(await run_load_segment(testbed, 0.5, seconds, turn))
                await killing
    budget, blind = results["budget"], results["blind"]
    errors = [1 - r.answered / r.calls for r in (budget, blind)]
    extra = [r.attempts / max(1, r.answered) - 1 for r in (budget, blind)]
    rows = [
        Row("client errors", *errors, "share", "<= 0.001", errors[0] <= 0.001),
        Row("extra attempts", *extra, "share", "<= 0.1", extra[0] <= 0.1),
    ]
    return rows, {kind: result.summary() for kind, result in results.items()}


async def kill_one_server(testbed: Testbed, after: float, turn: int) -> None:
    """Kill a backend server after a delay, and restart it a second later."""
    await asyncio.sleep(after)
    name = testbed.backend_names()[turn % SERVER_COUNT]
    testbed.deployment.kill(name)
    await asyncio.sleep(1)
    testbed.deployment.restart(name)
