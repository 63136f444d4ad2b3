"""`PrioritySemaphore`: order of its waiters, and their cancellation."""

import asyncio

from gypsumshift.jobs.prioritysemaphore import PrioritySemaphore


def play(test):
    asyncio.run(asyncio.wait_for(test(), 20))


async def hold(semaphore, rank, entered, leave):
    async with semaphore.enter(rank):
        entered.append(rank)
        await leave.wait()


def test_waiters_are_served_by_lowest_rank_and_then_by_order_of_arrival():
    async def run():
        semaphore, entered, leave = PrioritySemaphore(1), [], asyncio.Event()
        first = asyncio.create_task(hold(semaphore, (0, "first"), entered, leave))
        await asyncio.sleep(0)
        ranks = [(3, "a"), (1, "b"), (2, "c"), (1, "a")]
        rest = [asyncio.create_task(hold(semaphore, r, entered, leave)) for r in ranks]
        await asyncio.sleep(0)
        assert entered == [(0, "first")]
        leave.set()
        await asyncio.gather(first, *rest)
        assert entered[1:] == sorted(ranks)
        assert semaphore.free == 1

    play(run)


def test_cancelled_waiter_keeps_no_slot():
    async def run():
        semaphore, entered, leave = PrioritySemaphore(1), [], asyncio.Event()
        holder = asyncio.create_task(hold(semaphore, (0,), entered, leave))
        await asyncio.sleep(0)
        waiter = asyncio.create_task(hold(semaphore, (1,), entered, leave))
        await asyncio.sleep(0)
        waiter.cancel()
        leave.set()
        await asyncio.gather(holder, waiter, return_exceptions=True)
        assert semaphore.free == 1

    play(run)


def test_slot_granted_to_a_waiter_that_is_being_cancelled_goes_to_the_next_one():
    async def run():
        semaphore, entered, leave = PrioritySemaphore(1), [], asyncio.Event()
        await semaphore.acquire((0,))
        waiters = [
            asyncio.create_task(hold(semaphore, (rank,), entered, leave))
            for rank in (1, 2)
        ]
        await asyncio.sleep(0)
        semaphore.release()
        waiters[0].cancel()
        leave.set()
        await asyncio.gather(*waiters, return_exceptions=True)
        assert entered == [(2,)]
        assert semaphore.free == 1

    play(run)
