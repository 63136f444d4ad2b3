"""Stragglers move, and what was generated is neither lost nor made twice."""

import asyncio

from gypsumshift import Group

from . import system
from .system import wait_until
from .test_samples import check_labels, check_truth


def groups(count, tokens):
    return [
        Group(f"g{n}", f"p {n}", samples=2, max_tokens=tokens) for n in range(count)
    ]


def wasted(sys):
    """Return the tokens that were thrown away, by reason."""
    totals = sys.entries[0].metrics.totals
    return {k: v for k, v in totals.items() if k.startswith("tokens_wasted")}


def test_a_broken_stream_is_resumed_without_waste():
    async def work(sys):
        for engine in sys.engines:
            engine.faults.break_streams = 2
        async with sys.trainer() as trainer:
            await trainer.submit(groups(2, tokens=40))
            delivery = await trainer.step(1)
            check_labels(delivery)
            check_truth(delivery)
            assert all(len(s.token_ids) == 40 for s in delivery.samples)
        assert not wasted(sys)

    system.run(work, engines=2, services=0)


def test_a_sample_on_a_crawling_engine_moves():
    async def work(sys):
        fast, slow = sys.engines
        async with sys.trainer() as trainer:
            await trainer.submit(groups(20, tokens=20))
            for number in (1, 2, 3):
                await trainer.step(number)
            slow.faults.slow = 30.0
            for number in (4, 5, 6):
                delivery = await trainer.step(number)
                check_truth(delivery)
        sampler = sys.entries[0].driver_manager.drivers["tr"].sampler
        assert sampler.migrated > 0
        assert not wasted(sys)

    system.run(work, engines=2, services=0)


def test_a_sample_on_an_engine_that_hangs_moves(monkeypatch):
    monkeypatch.setattr("gypsumshift.sampling.STALL_TIMEOUT_S", 0.1)

    async def work(sys):
        hung = sys.engines[0]
        async with sys.trainer() as trainer:
            await trainer.submit(groups(4, tokens=60))
            pull = asyncio.create_task(trainer.step(1))
            await wait_until(lambda: hung.running)
            await hung.swapping.acquire()
            delivery = await pull
            check_truth(delivery)
        assert sys.entries[0].driver_manager.drivers["tr"].sampler.migrated > 0

    system.run(work, engines=2, services=0)


def test_what_becomes_too_old_on_the_way_is_cut_and_made_anew():
    async def work(sys):
        async with sys.trainer() as trainer:
            await trainer.submit(groups(2, tokens=300))
            trainer.version = 0
            pull = asyncio.create_task(trainer.step(1))
            await wait_until(lambda: sys.engines[0].made > 20)
            await trainer.publish(5, b"w")
            trainer.version = 5
            trainer.client.entry_index += 1
            jump = asyncio.create_task(trainer.step(1))
            delivery = await jump
            await pull
            assert min(s.oldest for s in delivery.samples) >= 4
        assert any("stale" in name for name in wasted(sys))

    system.run(work, services=0)
