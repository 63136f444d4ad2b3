"""Builders for tests of late answers: engines that wait, stores that keep silent."""

import asyncio

from gypsumshift.jobs.records import CLAIMS
from gypsumshift.memory import MemoryTables
from gypsumshift.outcomes import Conflict, Unknown
from tests.job_builders import FakeEngine, HeldAnswerTables


def run_scenario(scenario):
    asyncio.run(asyncio.wait_for(scenario(), 20))


async def wait_until(holds):
    while not holds():
        await asyncio.sleep(0.005)


async def run_loop_turns(count=500):
    """Let as many turns of the loop pass as a run of an item takes, and more."""
    for _ in range(count):
        await asyncio.sleep(0)


class BlockingEngine(FakeEngine):
    """Engine at which some items wait for an event of their own before they begin."""

    def __init__(self, *stuck):
        super().__init__()
        self.stuck = {item: asyncio.Event() for item in stuck}

    async def stream(self, server, item, host, after, urgency):
        if item.id in self.stuck:
            await self.stuck[item.id].wait()
        async for event in super().stream(server, item, host, after, urgency):
            yield event


class FailingEngine(FakeEngine):
    """Engine whose client meets an error of the program."""

    async def stream(self, server, item, host, after, urgency):
        self.started.append((item.id, after))
        raise RuntimeError("an error of the program")
        yield


class LostReleaseTables(HeldAnswerTables):
    """Tables that lose the answer to the first unit given back, and tell no change."""

    def __init__(self):
        super().__init__()
        self.lost = 0
        self.told = asyncio.Event()
        self.told.set()

    async def changes(self, table, after, wait):
        await self.told.wait()
        return await super().changes(table, after, wait)

    async def commit(self, writes):
        outcome = await super().commit(writes)
        if not self.lost and any(w.table == CLAIMS and w.value == {} for w in writes):
            self.lost += 1
            return Unknown("the answer was lost")
        return outcome


class LostClaimTables(HeldAnswerTables):
    """Tables that carry claims out, and say nothing of them until told to."""

    def __init__(self):
        super().__init__()
        self.lost = 0
        self.told = asyncio.Event()

    async def changes(self, table, after, wait):
        answer = await super().changes(table, after, wait)
        if self.lost:
            await self.told.wait()
        return answer

    async def commit(self, writes):
        outcome = await super().commit(writes)
        if any(w.table == CLAIMS and w.value for w in writes):
            self.lost += 1
            await self.told.wait()
            return Unknown("the answer was lost")
        return outcome


class NoClaimChangesTables(HeldAnswerTables):
    """Tables whose changes tell nothing of claims."""

    async def changes(self, table, after, wait):
        if table == CLAIMS:
            await asyncio.Event().wait()
        return await super().changes(table, after, wait)


class ClaimRefusingTables(MemoryTables):
    """Tables that refuse claims and have none."""

    def __init__(self):
        super().__init__()
        self.refused = 0

    async def commit(self, writes):
        if any(w.table == CLAIMS for w in writes):
            self.refused += 1
            return Conflict("the job is gone")
        return await super().commit(writes)
