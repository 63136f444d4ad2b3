"""A process that the store does not answer calls it through a neighbour."""

import asyncio
import datetime
import math
import random

import attrs
import pytest

from gypsumshift.clock import SystemClock
from gypsumshift.fetch import Fetcher, FetchError
from gypsumshift.neighbours import (
    ANNOUNCE_PERIOD,
    FORGOTTEN,
    NEIGHBOURS,
    Neighbour,
    Neighbourhood,
    Relay,
    StorePath,
)
from gypsumshift.outcomes import Unavailable
from gypsumshift.platforms import Write
from gypsumshift.server import Abandon, Response, Server
from gypsumshift.watch import POLL, Watch
from tests.builders import FaultyTables, ManualClock
from tests.system import until

NOBODY = ("127.0.0.1", 1)
# Rows that the users' store takes in one transaction.
MOST_ROWS = 100


def scenario(test):
    """Run a test with servers that are stopped at its end."""

    def run():
        async def inside():
            world = World()
            try:
                await test(world)
            finally:
                await world.close()

        asyncio.run(inside())

    run.__name__ = test.__name__
    return run


class World:
    """A store that answers some, and processes around it."""

    def __init__(self):
        self.servers = []
        self.calls = []
        self.status = 200
        self.fetcher = Fetcher()

    async def serve(self, handler):
        """Have a handler answer; return its address."""
        server = Server(handler)
        port = await server.listen("127.0.0.1", 0)
        self.servers.append(server)
        return ("127.0.0.1", port)

    async def store(self, request):
        self.calls.append((request.method, request.target, request.body))
        return Response(self.status, [], b"stored")

    def path(self, store, neighbours=(), zone="here"):
        path = StorePath(store, self.fetcher, SystemClock(), random.Random(1), zone, [])
        path.neighbours = {n.name: n for n in neighbours}
        return path

    async def neighbour(self, name, store, zone="here"):
        """Start a process that the store at this address answers, or not."""
        path = self.path(store)
        address = await self.serve(Relay(path).serve)
        await call(path)
        return Neighbour(name, address, zone)

    async def close(self):
        for server in self.servers:
            await server.stop(0)


async def call(path, method="GET", body=b""):
    """Call the store; return status, or the error."""
    try:
        answer = await path.fetch(method, "/rows?a=b", [], body, 1.0)
    except FetchError as error:
        return error
    return answer.status


async def fail_twice(path):
    for _ in range(2):
        assert isinstance(await call(path), FetchError)


async def helped(world, answer):
    """Cut a process off from a store that answers so; return both once it is helped."""
    store = await world.serve(answer)
    helper = await world.neighbour("helper", store)
    path = world.path(NOBODY, [helper])
    await fail_twice(path)
    await until(lambda: path.via == helper)
    return store, path


@scenario
async def test_a_cut_process_is_helped_until_the_store_answers_it_again(world):
    store, path = await helped(world, world.store)
    assert await call(path, "POST", b"row") == 200
    assert world.calls[-1] == ("POST", "/rows?a=b", b"row")
    path.store = store
    await until(lambda: path.via is None)
    assert await call(path) == 200


@scenario
async def test_a_process_that_is_turned_away_is_helped_too(world):
    async def turn_away(request):
        return Response(503)

    store = await world.serve(world.store)
    helper = await world.neighbour("helper", store)
    path = world.path(await world.serve(turn_away), [helper])
    assert [await call(path), await call(path)] == [503, 503]
    await until(lambda: path.via == helper)
    assert await call(path) == 200


@scenario
async def test_the_own_zone_is_asked_first(world):
    store = await world.serve(world.store)
    far = [await world.neighbour(f"far{n}", store, "there") for n in range(3)]
    near = await world.neighbour("near", store)
    path = world.path(NOBODY, [*far, near])
    await fail_twice(path)
    await until(lambda: path.via is not None)
    assert path.via == near


@scenario
async def test_another_zone_helps_where_the_own_zone_is_cut_off(world):
    """With the own zone alone first, three of its four were asked each time."""
    near = [await world.neighbour(f"near{n}", NOBODY) for n in range(4)]
    store = await world.serve(world.store)
    far = await world.neighbour("far", store, "there")
    path = world.path(NOBODY, [*near, far])
    await fail_twice(path)
    await until(lambda: path.via is not None)
    assert path.via == far


def test_three_neighbours_are_asked_wherever_they_are():
    path = StorePath(NOBODY, None, None, random.Random(1), "here", [])
    for near, far in ((0, 5), (1, 5), (5, 0), (5, 5), (2, 1)):
        zones = ["here"] * near + ["there"] * far
        path.neighbours = {
            str(n): Neighbour(str(n), NOBODY, zone) for n, zone in enumerate(zones)
        }
        asked = path.candidates()
        assert len({n.name for n in asked}) == 3
        assert [n.zone for n in asked] == sorted(n.zone for n in asked)


@scenario
async def test_nobody_helps_where_the_store_answers_nobody(world):
    other = await world.neighbour("other", NOBODY)
    path = world.path(NOBODY, [other])
    await fail_twice(path)
    await until(lambda: path.seeking.done())
    assert path.via is None
    assert isinstance(await call(path), FetchError)


@scenario
async def test_a_neighbour_that_goes_is_left(world):
    _, path = await helped(world, world.store)
    await world.servers.pop().stop(0)
    assert isinstance(await call(path), FetchError)
    assert path.via is None


@scenario
async def test_a_write_whose_answer_is_lost_on_the_way_stays_unknown(world):
    async def lose(request):
        if request.method == "GET":
            return Response(200)
        return Response(200, [], cut())

    async def cut():
        raise Abandon("lost")
        yield b""

    _, path = await helped(world, lose)
    error = await call(path, "POST", b"row")
    assert isinstance(error, FetchError)
    assert error.sent, "it may have been written"


@scenario
async def test_a_write_that_a_neighbour_could_not_send_was_not_done(world):
    _, path = await helped(world, world.store)
    for server in world.servers[:1]:
        await server.stop(0)
    world.fetcher.close()
    assert await call(path, "POST", b"row") == 503
    assert path.via is None


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
        return [row.key for row in await self.scan(NEIGHBOURS, "")]


class Fleet:
    """Processes that announced themselves and know each other."""

    def __init__(self, count):
        self.store, self.clock = Store(), ManualClock()
        names = [f"p{n:03}" for n in range(count)]
        self.hoods = {name: self.hood(name) for name in names}

    def hood(self, name):
        path = StorePath(NOBODY, None, self.clock, random.Random(1), "here", [])
        own = Neighbour(name, NOBODY, "here")
        return Neighbourhood(own, path, self.store, self.clock)

    async def start(self):
        for hood in self.hoods.values():
            await hood.announce()
        await self.hear()
        return list(self.hoods.values())

    async def hear(self):
        for hood in self.hoods.values():
            await hood.watch.step()

    async def listen(self, hood, seconds):
        """Have one process hear the table all the time."""
        for _ in range(math.ceil(seconds / POLL.total_seconds())):
            self.clock.advance(POLL.total_seconds())
            await hood.watch.step()


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
        await fleet.listen(hood, FORGOTTEN - 1)
        await hood.announce()
        assert len(await fleet.store.names()) == 2, "not before its time"
        await fleet.listen(hood, 2)
        await hood.announce()
        await hood.watch.step()
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
        fleet.clock.advance(FORGOTTEN + 1)
        await first.announce()
        assert await fleet.store.names() == list(fleet.hoods)
        await fleet.listen(first, FORGOTTEN / 2)
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
            await fleet.listen(first, ANNOUNCE_PERIOD)
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
        await fleet.listen(first, FORGOTTEN + 1)
        await second.announce()
        await first.announce()
        assert await fleet.store.names() == list(fleet.hoods)
        await first.watch.step()
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
        before = (await fleet.store.read(NEIGHBOURS, first.own.name)).version
        await fleet.listen(first, FORGOTTEN + 1)
        for _ in range(20):
            await first.announce()
            after = (await fleet.store.read(NEIGHBOURS, first.own.name)).version
            assert after > before, "it announced itself"
            before = after
            await fleet.listen(first, ANNOUNCE_PERIOD)
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
        await fleet.store.commit([Write(NEIGHBOURS, gone.own.name, None)])
        fleet.store.forget()
        await first.watch.step()
        await first.watch.step()
        assert set(first.path.neighbours) == {silent.own.name}
        await fleet.listen(first, FORGOTTEN + 1)
        await first.announce()
        assert await fleet.store.names() == [first.own.name]

    played(play, 3)


def test_an_entry_that_is_read_again_is_no_sign_of_life():
    """Where the store dropped its history each minute, nobody was ever forgotten."""

    async def play(fleet):
        first, _ = await fleet.start()
        for _ in range(3):
            await fleet.listen(first, FORGOTTEN / 2)
            await fleet.store.commit([Write("other", "row", {})])
            fleet.store.forget()
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
        await fleet.store.commit([Write(NEIGHBOURS, foreign.own.name, {"zone": 1})])
        if not readable:
            bare = attrs.evolve(fleet.store.history[-1], value=None, readable=False)
            fleet.store.history[-1] = bare
        await fleet.listen(first, FORGOTTEN + 1)
        await first.announce()
        assert await fleet.store.names() == [first.own.name, foreign.own.name]

    played(play, 3)
