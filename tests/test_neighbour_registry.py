"""Who is taken for gone from the table of processes, and who is not."""

import asyncio
import datetime
import math
import random

import attrs
import pytest

from gypsumshift.neighbours import (
    ANNOUNCE_PERIOD_S,
    ENTRY_TIMEOUT_S,
    NEIGHBOURS_TABLE,
    Neighbour,
    NeighbourRegistry,
    StorePath,
)
from gypsumshift.outcomes import Unavailable
from gypsumshift.platforms import Write
from gypsumshift.watch import MAX_FEED_WAIT, Watch
from tests.builders import FaultyTables, ManualClock

NOBODY = ("127.0.0.1", 1)
# Rows that the users' store takes in one transaction.
MOST_ROWS = 100


class Store(FaultyTables):
    """Tables whose feed answers at once, and that take few rows in a transaction.

    While it is down, it takes no writes; its feed goes on.
    """

    def __init__(self):
        super().__init__()
        self.refused = 0

    async def changes(self, table, after, wait):
        return await super().changes(table, after, datetime.timedelta())

    async def commit(self, writes):
        if len(writes) > MOST_ROWS:
            self.refused += 1
            return Unavailable("status 400")
        return await super().commit(writes)

    async def names(self):
        return [row.key for row in await self.scan(NEIGHBOURS_TABLE, "")]


class Fleet:
    """Processes that announced themselves and know each other."""

    def __init__(self, count):
        self.store, self.clock = Store(), ManualClock()
        names = [f"p{n:03}" for n in range(count)]
        self.hoods = {name: self.hood(name) for name in names}

    def hood(self, name):
        path = StorePath(NOBODY, None, self.clock, random.Random(1), "here", [])
        own = Neighbour(name, NOBODY, "here")
        return NeighbourRegistry(own, path, self.store, self.clock)

    async def start(self):
        for hood in self.hoods.values():
            await hood.announce()
        await self.hear()
        return list(self.hoods.values())

    async def hear(self):
        for hood in self.hoods.values():
            await hood.watch.poll_once()

    async def listen(self, hood, seconds):
        """Have one process hear the table all the time."""
        for _ in range(math.ceil(seconds / MAX_FEED_WAIT.total_seconds())):
            self.clock.advance(MAX_FEED_WAIT.total_seconds())
            await hood.watch.poll_once()


def played(play, count):
    """Play something in a fleet."""

    async def run():
        await play(Fleet(count))

    asyncio.run(run())


@pytest.mark.parametrize("name", ["p000", "p001"])
def test_processes_learn_of_each_other_and_forget_who_is_gone(name):
    async def play(fleet):
        await fleet.start()
        hood, other = fleet.hoods[name], ({*fleet.hoods} - {name}).pop()
        assert isinstance(hood.watch, Watch)
        assert set(hood.path.neighbours) == {other}
        await fleet.listen(hood, ENTRY_TIMEOUT_S - 1)
        await hood.announce()
        assert len(await fleet.store.names()) == 2, "not before its time"
        await fleet.listen(hood, 2)
        await hood.announce()
        await hood.watch.poll_once()
        assert not hood.path.neighbours
        assert await fleet.store.names() == [name]

    played(play, 2)


def test_nobody_is_removed_for_a_silence_in_which_nothing_was_heard():
    """After an outage of the store, no process knew another one.

    Users see processes that the store turns away and that nobody helps. The store is
    away for 61 s, nobody can announce itself or hear others; it returns with its
    history; the first to announce itself removes the four others, since it counted its
    own deafness as their silence.
    """

    async def play(fleet):
        first, *_ = await fleet.start()
        fleet.clock.advance(ENTRY_TIMEOUT_S + 1)
        await first.announce()
        assert await fleet.store.names() == list(fleet.hoods)
        await fleet.listen(first, ENTRY_TIMEOUT_S / 2)
        await first.announce()
        assert await fleet.store.names() == list(fleet.hoods)

    played(play, 5)


def test_nobody_is_removed_for_a_silence_in_which_nobody_could_write():
    """After a minute without writes, no process knew another one.

    Users see the same as after an outage. The store's feed is heard all the time, but
    it takes no writes for 61 s; the first that announces itself then removes all
    others, whose turn comes some seconds later.
    """

    async def play(fleet):
        first, *_ = await fleet.start()
        fleet.store.down = True
        for _ in range(5):
            await fleet.listen(first, ANNOUNCE_PERIOD_S)
            await first.announce()
        fleet.store.down = False
        await first.announce()
        assert await fleet.store.names() == list(fleet.hoods)

    played(play, 5)


def test_one_that_announced_itself_meanwhile_is_not_removed():
    """A process that had just come back was removed again.

    Users see a process for 15 s that nobody helps. It announces itself again after a
    minute; another one has not heard that yet, and its removal, which held without a
    condition, meets the new entry.
    """

    async def play(fleet):
        first, second = await fleet.start()
        await fleet.listen(first, ENTRY_TIMEOUT_S + 1)
        await second.announce()
        await first.announce()
        assert await fleet.store.names() == list(fleet.hoods)
        await first.watch.poll_once()
        await first.announce()
        assert await fleet.store.names() == list(fleet.hoods)

    played(play, 2)


def test_many_that_are_gone_keep_nobody_from_announcing_itself():
    """After the loss of a large zone, no process could announce itself any more.

    Users see processes vanish for each other one by one. Of 150 processes 149 are gone;
    their removals stand in one transaction with the own entry, which names 150 rows;
    the store refuses it, now and each 15 s from then on.
    """

    async def play(fleet):
        first, *_ = await fleet.start()
        before = (await fleet.store.read(NEIGHBOURS_TABLE, first.own.name)).version
        await fleet.listen(first, ENTRY_TIMEOUT_S + 1)
        for _ in range(20):
            await first.announce()
            after = (await fleet.store.read(NEIGHBOURS_TABLE, first.own.name)).version
            assert after > before, "it announced itself"
            before = after
            await fleet.listen(first, ANNOUNCE_PERIOD_S)
        assert await fleet.store.names() == [first.own.name]
        assert fleet.store.refused == 0

    played(play, 150)


def test_who_is_missing_from_the_whole_table_is_no_neighbour_any_more():
    """A process that was removed while changes were lost was asked for ever.

    Users see retries that lead nowhere: neighbours that are gone are asked for help.
    The store drops its history, in which the removal stood; the table is read anew,
    and who is not in it was kept. Nor could others be removed beside it: a removal
    that names an entry that is not there holds up its whole transaction.
    """

    async def play(fleet):
        first, gone, silent = await fleet.start()
        await fleet.store.commit([Write(NEIGHBOURS_TABLE, gone.own.name, None)])
        fleet.store.drop_history()
        await first.watch.poll_once()
        await first.watch.poll_once()
        assert set(first.path.neighbours) == {silent.own.name}
        await fleet.listen(first, ENTRY_TIMEOUT_S + 1)
        await first.announce()
        assert await fleet.store.names() == [first.own.name]

    played(play, 3)


def test_an_entry_that_is_read_again_is_no_sign_of_life():
    """Where the store dropped its history each minute, nobody was ever forgotten."""

    async def play(fleet):
        first, _ = await fleet.start()
        for _ in range(3):
            await fleet.listen(first, ENTRY_TIMEOUT_S / 2)
            await fleet.store.commit([Write("other", "row", {})])
            fleet.store.drop_history()
            await fleet.listen(first, 1)
        await first.announce()
        assert await fleet.store.names() == [first.own.name]

    played(play, 2)


@pytest.mark.parametrize("readable", [True, False])
def test_an_entry_that_cannot_be_read_any_more_holds_up_no_removal(readable):
    """A process that was gone stayed a neighbour for good.

    Users see retries that lead nowhere. An entry is overwritten by something that is
    no entry, or no JSON object; a removal that names its old version holds up those
    beside it, each time.
    """

    async def play(fleet):
        first, foreign, _ = await fleet.start()
        await fleet.store.commit(
            [Write(NEIGHBOURS_TABLE, foreign.own.name, {"zone": 1})]
        )
        if not readable:
            bare = attrs.evolve(fleet.store.history[-1], value=None, readable=False)
            fleet.store.history[-1] = bare
        await fleet.listen(first, ENTRY_TIMEOUT_S + 1)
        await first.announce()
        assert await fleet.store.names() == [first.own.name, foreign.own.name]

    played(play, 3)
