"""Builders for tests of late answers: engines that block, stores that do not answer."""

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
    """Run more iterations of the event loop than running an item takes."""
    for _ in range(count):
        await asyncio.sleep(0)


class BlockingEngine(FakeEngine):
    """Engine that blocks given items until their entries in ``stuck`` are set."""

    def __init__(self, *stuck):
        super().__init__()
        self.stuck = {item: asyncio.Event() for item in stuck}

    async def stream(self, server, item, host, after, urgency):
        if item.id in self.stuck:
            await self.stuck[item.id].wait()
        async for event in super().stream(server, item, host, after, urgency):
            yield event


class FailingEngine(FakeEngine):
    """Engine whose client raises an unexpected exception."""

    async def stream(self, server, item, host, after, urgency):
        self.started.append((item.id, after))
        raise RuntimeError("an error of the program")
        yield


class LostReleaseTables(HeldAnswerTables):
    """Tables that lose the answer to the first release and can hold back changes.

    Attributes
    ----------
    lost_answers : int
    changes_allowed : asyncio.Event
        Changes are answered while it is set.
    """

    def __init__(self):
        super().__init__()
        self.lost_answers = 0
        self.changes_allowed = asyncio.Event()
        self.changes_allowed.set()

    async def changes(self, table, after, wait):
        await self.changes_allowed.wait()
        return await super().changes(table, after, wait)

    async def commit(self, writes):
        outcome = await super().commit(writes)
        if not self.lost_answers and any(
            w.table == CLAIMS and w.value == {} for w in writes
        ):
            self.lost_answers += 1
            return Unknown("the answer was lost")
        return outcome


class LostClaimTables(HeldAnswerTables):
    """Tables that store claims and hold back their answers and changes.

    Attributes
    ----------
    lost_answers : int
    answers_allowed : asyncio.Event
        Once a claim was stored, changes and answers to claims wait for it.
    """

    def __init__(self):
        super().__init__()
        self.lost_answers = 0
        self.answers_allowed = asyncio.Event()

    async def changes(self, table, after, wait):
        answer = await super().changes(table, after, wait)
        if self.lost_answers:
            await self.answers_allowed.wait()
        return answer

    async def commit(self, writes):
        outcome = await super().commit(writes)
        if any(w.table == CLAIMS and w.value for w in writes):
            self.lost_answers += 1
            await self.answers_allowed.wait()
            return Unknown("the answer was lost")
        return outcome


class NoClaimChangesTables(HeldAnswerTables):
    """Tables that never report changes of claims."""

    async def changes(self, table, after, wait):
        if table == CLAIMS:
            await asyncio.Event().wait()
        return await super().changes(table, after, wait)


class ClaimRefusingTables(MemoryTables):
    """Tables that answer every write of a claim with a conflict."""

    def __init__(self):
        super().__init__()
        self.refused_claims = 0

    async def commit(self, writes):
        if any(w.table == CLAIMS for w in writes):
            self.refused_claims += 1
            return Conflict("the job is gone")
        return await super().commit(writes)
