"""Claim loops look for work once where one look answers for all of them."""

import asyncio

from gypsumshift.jobs.claimloops import ClaimLoops
from tests.virtual_time import run_in_virtual_time

COUNT, PERIOD = 3, 0.25


class Work:
    """Units to claim; a claim is answered after a time."""

    def __init__(self, units=0, answer_s=1.0):
        self.units, self.answer_s = units, answer_s
        self.looks, self.claimed_at = 0, []
        self.loops = ClaimLoops(self.claim_units, COUNT, PERIOD)

    async def claim_units(self):
        while True:
            self.looks += 1
            if not self.units:
                self.loops.note_nothing_found()
                return
            self.units -= 1
            self.claimed_at.append(asyncio.get_running_loop().time())
            await asyncio.sleep(self.answer_s)


def play(work, scenario):
    """Run the loops beside a scenario, in virtual time."""

    async def run():
        task = asyncio.create_task(work.loops.run())
        await scenario()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    run_in_virtual_time(run)


def test_at_rest_there_are_four_looks_a_second():
    # Guards against loops that each poll: twelve looks a second at rest.
    work = Work()

    async def scenario():
        await asyncio.sleep(1.01)
        begun = work.looks
        await asyncio.sleep(10)
        assert work.looks - begun <= 10 / PERIOD

    play(work, scenario)


def test_an_event_without_work_costs_one_look():
    # Guards against a look by each loop for the same event.
    work = Work()

    async def scenario():
        await asyncio.sleep(1.1)
        begun = work.looks
        work.loops.wake()
        await asyncio.sleep(0.01)
        assert work.looks - begun == 1

    play(work, scenario)


def test_all_loops_claim_at_once():
    # Guards against a loop that waits for the answer to another loop's claim.
    work = Work()

    async def scenario():
        await asyncio.sleep(1.1)
        work.units = 5
        work.loops.wake()
        await asyncio.sleep(0.5)
        assert len(work.claimed_at) == COUNT
        assert len(set(work.claimed_at)) == 1
        await asyncio.sleep(0.6)
        assert len(work.claimed_at) == 5

    play(work, scenario)


def test_idle_loops_look_while_another_waits_for_an_answer():
    # Guards against work that is found late while the store answers slowly.
    work = Work(units=1, answer_s=30.0)

    async def scenario():
        await asyncio.sleep(1.1)
        assert len(work.claimed_at) == 1
        work.units = 1
        await asyncio.sleep(PERIOD + 0.01)
        assert len(work.claimed_at) == 2

    play(work, scenario)


def test_an_event_during_a_claim_is_followed_by_a_look():
    # Guards against an event that a look of another loop cancels while a claim is open.
    work = Work(units=1, answer_s=0.1)

    async def scenario():
        await asyncio.sleep(0.05)
        busy = [e for e in work.loops.events if e not in work.loops.idle]
        assert len(busy) == 1
        work.loops.wake()
        await asyncio.sleep(0.01)
        assert busy[0].is_set()

    play(work, scenario)
