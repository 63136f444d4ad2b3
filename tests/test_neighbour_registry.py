"""Removal of entries of gone processes from the neighbours table."""

import asyncio
import datetime
import math
import random

import attrs
import pytest

from gypsumshift.neighbourregistry import (
    ANNOUNCE_PERIOD_S,
    ENTRY_TIMEOUT_S,
    NeighbourRegistry,
)
from gypsumshift.neighbours import NEIGHBOURS_TABLE, Neighbour
from gypsumshift.outcomes import Unavailable
from gypsumshift.platforms import Write
from gypsumshift.storepath import StorePath
from gypsumshift.watch import MAX_FEED_WAIT, Watch
from tests.builders import FaultyTables, ManualClock

UNREACHABLE = ("127.0.0.1", 1)
# Maximum number of rows that the users' store accepts in one transaction.
MAX_TRANSACTION_ROWS = 100


class LimitedTables(FaultyTables):
    """Tables whose feed answers at once, with a limit of rows in a transaction.

    While the store is down, it accepts no writes, but its feed still answers.
    """

    def __init__(self):
        super().__init__()
        self.refused = 0

    async def changes(self, table, after, wait):
        return await super().changes(table, after, datetime.timedelta())

    async def commit(self, writes):
        if len(writes) > MAX_TRANSACTION_ROWS:
            self.refused += 1
            return Unavailable("status 400")
        return await super().commit(writes)

    async def names(self):
        return [row.key for row in await self.scan(NEIGHBOURS_TABLE, "")]


class Fleet:
    """Registries of several processes on one store."""

    def __init__(self, count):
        self.store, self.clock = LimitedTables(), ManualClock()
        names = [f"p{n:03}" for n in range(count)]
        self.registries = {name: self.new_registry(name) for name in names}

    def new_registry(self, name):
        path = StorePath(UNREACHABLE, None, self.clock, random.Random(1), "here", [])
        own = Neighbour(name, UNREACHABLE, "here")
        return NeighbourRegistry(own, path, self.store, self.clock)

    async def start(self):
        for registry in self.registries.values():
            await registry.announce()
        await self.poll_all()
        return list(self.registries.values())

    async def poll_all(self):
        for registry in self.registries.values():
            await registry.watch.poll_once()

    async def follow(self, registry, seconds):
        """Let one process follow the table for some time without gaps."""
        for _ in range(math.ceil(seconds / MAX_FEED_WAIT.total_seconds())):
            self.clock.advance(MAX_FEED_WAIT.total_seconds())
            await registry.watch.poll_once()


def run_with_fleet(scenario, count):
    """Run a scenario with the registries of some processes."""

    async def run():
        await scenario(Fleet(count))

    asyncio.run(run())


@pytest.mark.parametrize("name", ["p000", "p001"])
def test_entry_of_gone_process_is_removed_after_timeout(name):
    async def scenario(fleet):
        await fleet.start()
        registry, other = fleet.registries[name], ({*fleet.registries} - {name}).pop()
        assert isinstance(registry.watch, Watch)
        assert set(registry.path.neighbours) == {other}
        await fleet.follow(registry, ENTRY_TIMEOUT_S - 1)
        await registry.announce()
        assert len(await fleet.store.names()) == 2, "entry removed before its timeout"
        await fleet.follow(registry, 2)
        await registry.announce()
        await registry.watch.poll_once()
        assert not registry.path.neighbours
        assert await fleet.store.names() == [name]

    run_with_fleet(scenario, 2)


def test_no_entry_is_removed_for_time_without_answers_of_feed():
    """After an outage of the store, processes no longer had any neighbours.

    Processes that the store rejected then found none to relay their calls. During an
    outage of 61 s, no process can write its entry or read others. The first process to
    write again removed the four others, because it counted the outage as their absence.
    """

    async def scenario(fleet):
        first, *_ = await fleet.start()
        fleet.clock.advance(ENTRY_TIMEOUT_S + 1)
        await first.announce()
        assert await fleet.store.names() == list(fleet.registries)
        await fleet.follow(first, ENTRY_TIMEOUT_S / 2)
        await first.announce()
        assert await fleet.store.names() == list(fleet.registries)

    run_with_fleet(scenario, 5)


def test_no_entry_is_removed_for_time_without_writes():
    """After a minute without writes, processes no longer had any neighbours.

    The store's feed keeps answering, but the store accepts no writes for 61 s. The
    first process to write its entry again removed all others, which would have written
    theirs some seconds later.
    """

    async def scenario(fleet):
        first, *_ = await fleet.start()
        fleet.store.down = True
        for _ in range(5):
            await fleet.follow(first, ANNOUNCE_PERIOD_S)
            await first.announce()
        fleet.store.down = False
        await first.announce()
        assert await fleet.store.names() == list(fleet.registries)

    run_with_fleet(scenario, 5)


def test_entry_written_in_the_meantime_is_not_removed():
    """The entry of a process that had just come back was removed again.

    The process writes its entry again after a minute. Another process has not received
    it yet, and its removal, which had no condition, deleted the new entry: for 15 s,
    the process was no neighbour of the others.
    """

    async def scenario(fleet):
        first, second = await fleet.start()
        await fleet.follow(first, ENTRY_TIMEOUT_S + 1)
        await second.announce()
        await first.announce()
        assert await fleet.store.names() == list(fleet.registries)
        await first.watch.poll_once()
        await first.announce()
        assert await fleet.store.names() == list(fleet.registries)

    run_with_fleet(scenario, 2)


def test_own_entry_is_written_when_many_processes_are_gone():
    """After the loss of a large zone, no process could write its entry any more.

    Of 150 processes 149 are gone. Their removals were in one transaction with the own
    entry, 150 rows in all, which the store rejected at each attempt, every 15 s, so
    that the remaining processes lost each other one by one.
    """

    async def scenario(fleet):
        first, *_ = await fleet.start()
        before = (await fleet.store.read(NEIGHBOURS_TABLE, first.own.name)).version
        await fleet.follow(first, ENTRY_TIMEOUT_S + 1)
        for _ in range(20):
            await first.announce()
            after = (await fleet.store.read(NEIGHBOURS_TABLE, first.own.name)).version
            assert after > before, "own entry written"
            before = after
            await fleet.follow(first, ANNOUNCE_PERIOD_S)
        assert await fleet.store.names() == [first.own.name]
        assert fleet.store.refused == 0

    run_with_fleet(scenario, 150)


def test_neighbour_missing_from_whole_table_is_removed():
    """A process that was removed while changes were lost stayed a neighbour for good.

    The store drops its history, which contained the removal. The whole table is read
    again, but processes missing from it were kept, and calls were sent to them in vain.
    Other removals failed as well, because a removal of an entry that does not exist
    makes its whole transaction fail.
    """

    async def scenario(fleet):
        first, gone, silent = await fleet.start()
        await fleet.store.commit([Write(NEIGHBOURS_TABLE, gone.own.name, None)])
        fleet.store.drop_history()
        await first.watch.poll_once()
        await first.watch.poll_once()
        assert set(first.path.neighbours) == {silent.own.name}
        await fleet.follow(first, ENTRY_TIMEOUT_S + 1)
        await first.announce()
        assert await fleet.store.names() == [first.own.name]

    run_with_fleet(scenario, 3)


def test_entry_read_again_unchanged_still_times_out():
    """If the store dropped its history every minute, no gone process was removed."""

    async def scenario(fleet):
        first, _ = await fleet.start()
        for _ in range(3):
            await fleet.follow(first, ENTRY_TIMEOUT_S / 2)
            await fleet.store.commit([Write("other", "row", {})])
            fleet.store.drop_history()
            await fleet.follow(first, 1)
        await first.announce()
        assert await fleet.store.names() == [first.own.name]

    run_with_fleet(scenario, 2)


@pytest.mark.parametrize("readable", [True, False])
def test_invalid_entry_does_not_block_other_removals(readable):
    """A process that was gone stayed a neighbour for good, and calls to it failed.

    An entry is overwritten by a value that is no valid entry, or no JSON object. A
    removal on the condition of its old version made the other removals of the
    transaction fail each time.
    """

    async def scenario(fleet):
        first, foreign, _ = await fleet.start()
        await fleet.store.commit(
            [Write(NEIGHBOURS_TABLE, foreign.own.name, {"zone": 1})]
        )
        if not readable:
            bare = attrs.evolve(fleet.store.history[-1], value=None, readable=False)
            fleet.store.history[-1] = bare
        await fleet.follow(first, ENTRY_TIMEOUT_S + 1)
        await first.announce()
        assert await fleet.store.names() == [first.own.name, foreign.own.name]

    run_with_fleet(scenario, 3)
