"""Slow or broken streams are resumed on another engine without losing tokens."""

import asyncio

from gypsumshift import Group

from . import system
from .system import wait_until
from .test_samples import check_spans, check_token_versions


def make_groups(count, tokens):
    return [
        Group(f"g{n}", f"p {n}", samples=2, max_tokens=tokens) for n in range(count)
    ]


def tokens_wasted(sys):
    """Return the numbers of discarded tokens by metric name with trainer and reason."""
    totals = sys.entries[0].metrics.totals
    return {k: v for k, v in totals.items() if k.startswith("tokens_wasted")}


def total_generated(sys):
    """Return the number of tokens that all engines have generated."""
    return sum(engine.generated_count for engine in sys.engines)


def test_broken_stream_is_resumed_without_discarding_tokens():
    async def work(sys):
        for engine in sys.engines:
            engine.faults.break_streams = 2
        async with sys.trainer() as trainer:
            await trainer.submit(make_groups(2, tokens=40))
            delivery = await trainer.step(1)
            check_spans(delivery)
            check_token_versions(delivery)
            assert all(len(s.token_ids) == 40 for s in delivery.samples)
        assert not tokens_wasted(sys)

    system.run(work, engines=2, services=0)


def test_sample_on_a_much_slower_engine_is_migrated():
    async def work(sys):
        fast, slow = sys.engines
        async with sys.trainer() as trainer:
            await trainer.submit(make_groups(20, tokens=20))
            for number in (1, 2, 3):
                await trainer.step(number)
            slow.faults.slow = 30.0
            for number in (4, 5, 6):
                delivery = await trainer.step(number)
                check_token_versions(delivery)
        sampler = sys.entries[0].driver_manager.drivers["tr"].sampler
        assert sampler.migrated > 0
        assert not tokens_wasted(sys)

    system.run(work, engines=2, services=0)


def test_sample_on_a_stalled_engine_is_migrated(monkeypatch):
    monkeypatch.setattr("gypsumshift.samplestream.STALL_TIMEOUT_S", 0.1)

    async def work(sys):
        stalled = sys.engines[0]
        async with sys.trainer() as trainer:
            await trainer.submit(make_groups(4, tokens=60))
            pull = asyncio.create_task(trainer.step(1))
            await wait_until(lambda: stalled.running)
            await stalled.swap_lock.acquire()
            delivery = await pull
            check_token_versions(delivery)
        assert sys.entries[0].driver_manager.drivers["tr"].sampler.migrated > 0

    system.run(work, engines=2, services=0)


def test_sample_on_a_stalled_engine_goes_on_there_while_no_other_begins(monkeypatch):
    """Guards against a sample that is cut at a silent engine, and then has none."""
    monkeypatch.setattr("gypsumshift.samplestream.STALL_TIMEOUT_S", 0.1)

    async def work(sys):
        async with sys.trainer() as trainer:
            await trainer.submit([Group("g1", "p 1", samples=1, max_tokens=5)])
            pull = asyncio.create_task(trainer.step(1))
            await wait_until(lambda: total_generated(sys) == 5)
            await wait_until(lambda: not any(engine.running for engine in sys.engines))
            counts = [engine.generated_count for engine in sys.engines]
            await trainer.submit([Group("g0", "p 0", samples=1, max_tokens=60)])
            await wait_until(lambda: total_generated(sys) > 8)
            for engine in sys.engines:
                await engine.swap_lock.acquire()
            await wait_until(lambda: all(engine.running for engine in sys.engines))
            grown = [
                e.generated_count - n for e, n in zip(sys.engines, counts, strict=True)
            ]
            first = grown.index(max(grown))
            sys.engines[first].swap_lock.release()
            check_token_versions(await pull)
            sys.engines[1 - first].swap_lock.release()
        assert total_generated(sys) == 65, "no token is generated twice"
        assert sys.engines[first].generated_count - counts[first] == 60
        assert not sys.entries[0].driver_manager.drivers["tr"].sampler.migrated

    system.run(work, engines=2, services=0)


def test_sample_that_becomes_stale_is_discarded_and_generated_again():
    async def work(sys):
        async with sys.trainer() as trainer:
            await trainer.submit(make_groups(2, tokens=300))
            trainer.version = 0
            pull = asyncio.create_task(trainer.step(1))
            await wait_until(lambda: sys.engines[0].generated_count > 20)
            await trainer.publish(5, b"w")
            trainer.version = 5
            trainer.client.entry_index += 1
            pull_with_new_version = asyncio.create_task(trainer.step(1))
            delivery = await pull_with_new_version
            await pull
            assert min(s.oldest for s in delivery.samples) >= 4
        assert any("stale" in name for name in tokens_wasted(sys))

    system.run(work, services=0)
