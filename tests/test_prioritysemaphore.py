"""Who is let in next."""

import asyncio

from gypsumshift.jobs.prioritysemaphore import PrioritySemaphore


def play(test):
    asyncio.run(asyncio.wait_for(test(), 20))


async def hold(gate, rank, entered, leave):
    async with gate.enter(rank):
        entered.append(rank)
        await leave.wait()


def test_the_lowest_rank_is_let_in_first_and_equals_in_their_order():
    async def run():
        gate, entered, leave = PrioritySemaphore(1), [], asyncio.Event()
        first = asyncio.create_task(hold(gate, (0, "first"), entered, leave))
        await asyncio.sleep(0)
        ranks = [(3, "a"), (1, "b"), (2, "c"), (1, "a")]
        rest = [asyncio.create_task(hold(gate, r, entered, leave)) for r in ranks]
        await asyncio.sleep(0)
        assert entered == [(0, "first")]
        leave.set()
        await asyncio.gather(first, *rest)
        assert entered[1:] == sorted(ranks)
        assert gate.free == 1

    play(run)


def test_a_waiter_that_is_cancelled_leaves_no_place_behind():
    async def run():
        gate, entered, leave = PrioritySemaphore(1), [], asyncio.Event()
        holder = asyncio.create_task(hold(gate, (0,), entered, leave))
        await asyncio.sleep(0)
        waiter = asyncio.create_task(hold(gate, (1,), entered, leave))
        await asyncio.sleep(0)
        waiter.cancel()
        leave.set()
        await asyncio.gather(holder, waiter, return_exceptions=True)
        assert gate.free == 1

    play(run)


def test_a_place_granted_to_a_waiter_that_is_being_cancelled_is_passed_on():
    async def run():
        gate, entered, leave = PrioritySemaphore(1), [], asyncio.Event()
        await gate.acquire((0,))
        waiters = [
            asyncio.create_task(hold(gate, (rank,), entered, leave)) for rank in (1, 2)
        ]
        await asyncio.sleep(0)
        gate.release()
        waiters[0].cancel()
        leave.set()
        await asyncio.gather(*waiters, return_exceptions=True)
        assert entered == [(2,)]
        assert gate.free == 1

    play(run)
