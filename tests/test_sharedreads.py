"""A zone reads a table once when all of it lost its history, and waits for nobody."""

import asyncio
import math

import attrs
import pytest

from gypsumshift.httpserver import Response
from gypsumshift.memory import MemoryTables
from gypsumshift.neighbours import Neighbour, Relay
from gypsumshift.outcomes import Unavailable
from gypsumshift.platforms import Changes, HistoryLost, Row, Write
from gypsumshift.sharedreads import (
    COPY_LIFETIME_S,
    TABLE_PATH,
    SharedReadStore,
    order_readers,
    pack_table,
    unpack_table,
)
from gypsumshift.watch import Watch
from tests.builders import ManualClock
from tests.test_neighbours import UNREACHABLE, StoreWorld, scenario

ROWS = "rows"


class CountedTables(MemoryTables):
    """Tables that count whole reads; a read takes a moment."""

    reads = 0
    away = False

    async def snapshot(self, table, after=0):
        self.reads += 1
        if self.away:
            return Unavailable("away")
        changes = await super().snapshot(table, after)
        await asyncio.sleep(0.02)
        return changes


async def process(world: StoreWorld, name, store, clock, link=100.0):
    """Start a process that reads for others; return it."""
    path = world.path(UNREACHABLE)
    path.reached_at = math.inf
    reads = SharedReadStore(
        store, path, Neighbour(name, UNREACHABLE, "here", link), clock
    )
    address = await world.serve(Relay(path, {TABLE_PATH: reads.serve}).serve)
    reads.own = attrs.evolve(reads.own, address=address)
    return reads


async def zone(world: StoreWorld, count, store, clock):
    """Start processes that know each other."""
    found = [await process(world, f"p{n}", store, clock) for n in range(count)]
    for reads in found:
        reads.path.neighbours = {r.own.name: r.own for r in found if r is not reads}
    return found


@scenario
async def test_a_zone_that_lost_its_history_reads_the_table_twice_at_the_most(world):
    store, clock = CountedTables(), ManualClock()
    await store.commit([Write(ROWS, "a", {"v": 1}, part="x")])
    found = await zone(world, 18, store, clock)
    answers = await asyncio.gather(*(reads.snapshot(ROWS) for reads in found))
    assert {changes.version for changes in answers} == {1}
    assert all(changes.rows == answers[0].rows for changes in answers)
    # The second process in the order reads for itself, since it may be asked too.
    assert store.reads <= 2


@scenario
async def test_a_table_is_packed_once_and_comes_with_its_age(world):
    store, clock = CountedTables(), ManualClock()
    await store.commit([Write(ROWS, "a", {"v": 1})])
    reader = await process(world, "reader", store, clock)
    await reader.read_shared(ROWS, 0)
    clock.advance(COPY_LIFETIME_S / 2)
    asking = await process(world, "asking", store, clock, link=1.0)
    asking.path.neighbours = {"reader": reader.own}
    first = await asking.snapshot(ROWS)
    packed = reader.copies[ROWS].packed
    second = await asking.snapshot(ROWS)
    assert packed and reader.copies[ROWS].packed is packed
    assert first == second
    assert (first.version, first.age, store.reads) == (1, COPY_LIFETIME_S / 2, 1)


@scenario
async def test_one_whose_readers_are_gone_reads_by_itself(world):
    store, clock = CountedTables(), ManualClock()
    await store.commit([Write(ROWS, "a", {"v": 1})])
    reads = await process(world, "p0", store, clock, link=1.0)
    gone = [Neighbour(f"gone{n}", UNREACHABLE, "here", 100.0) for n in range(3)]
    reads.path.neighbours = {n.name: n for n in gone}
    assert (await reads.snapshot(ROWS)).version == 1
    assert store.reads == 1


@scenario
async def test_a_copy_is_handed_on_for_a_moment_and_says_how_old_it_is(world):
    store, clock = CountedTables(), ManualClock()
    await store.commit([Write(ROWS, "a", {"v": 1})])
    reads = await process(world, "p0", store, clock)
    assert (await reads.snapshot(ROWS)).age == 0
    await store.commit([Write(ROWS, "a", {"v": 2})])
    clock.advance(COPY_LIFETIME_S / 2)
    old = await reads.snapshot(ROWS, 1)
    assert (old.version, old.age, store.reads) == (1, COPY_LIFETIME_S / 2, 1)
    assert (await reads.snapshot(ROWS, 2)).version == 2, "nothing steps back"
    clock.advance(COPY_LIFETIME_S)
    await store.commit([Write(ROWS, "a", {"v": 3})])
    assert (await reads.snapshot(ROWS)).version == 3


@scenario
async def test_a_read_that_began_before_a_version_was_known_is_not_taken(world):
    store, clock = CountedTables(), ManualClock()
    await store.commit([Write(ROWS, "a", {"v": 1})])
    reads = await process(world, "p0", store, clock)
    first = asyncio.create_task(reads.read_shared(ROWS, 0))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    await store.commit([Write(ROWS, "a", {"v": 2})])
    assert (await reads.snapshot(ROWS, 2)).version == 2
    assert (await first).changes.version == 1


@scenario
async def test_a_store_that_is_away_is_away_for_all(world):
    store, clock = CountedTables(), ManualClock()
    store.away = True
    found = await zone(world, 4, store, clock)
    answers = await asyncio.gather(*(reads.snapshot(ROWS) for reads in found))
    assert all(isinstance(answer, Unavailable) for answer in answers)


@scenario
async def test_foreign_answers_of_a_reader_are_left_out(world):
    async def foreign(request):
        return Response(200, [], b"no table")

    store, clock = CountedTables(), ManualClock()
    await store.commit([Write(ROWS, "a", {"v": 1})])
    reads = await process(world, "p0", store, clock, link=1.0)
    address = await world.serve(foreign)
    reads.path.neighbours = {"f": Neighbour("f", address, "here", 100.0)}
    assert (await reads.snapshot(ROWS)).version == 1


@scenario
async def test_a_watch_takes_over_a_copy_with_its_age(world):
    store, clock = CountedTables(), ManualClock()
    await store.commit([Write(ROWS, "a", {"v": 1})])
    reads = await process(world, "p0", store, clock)
    await reads.read_shared(ROWS, 0)
    clock.advance(COPY_LIFETIME_S / 2)
    told = []
    watch = Watch(reads, ROWS, told.extend, told.extend, clock)
    await watch.poll_once()
    assert [row.key for row in told] == ["a"]
    assert watch.current_at == clock.monotonic() - COPY_LIFETIME_S / 2


@scenario
async def test_a_watch_whose_history_is_lost_asks_for_nothing_older(world):
    class Forgets(CountedTables):
        asked = None

        async def changes(self, table, after, wait):
            return HistoryLost()

        async def snapshot(self, table, after=0):
            self.asked = after
            return await super().snapshot(table, after)

    store, clock = Forgets(), ManualClock()
    await store.commit([Write(ROWS, "a", {"v": 1})])
    watch = Watch(store, ROWS, lambda rows: None, lambda rows: None, clock)
    for _ in range(3):
        await watch.poll_once()
    assert store.asked == 1


def test_a_table_comes_through_as_it_was():
    rows = [Row(ROWS, "a", 3, {"v": "é"}, "p"), Row(ROWS, "b", 4, None, "", False)]
    changes = Changes(rows, 4)
    assert unpack_table(pack_table(changes)) == changes
    with pytest.raises(ValueError):
        unpack_table(b"")


@scenario
async def test_nobody_is_asked_while_the_store_does_not_answer_here(world):
    store, clock = CountedTables(), ManualClock()
    reads = await process(world, "p0", store, clock, link=1.0)
    reads.path.neighbours = {"w": Neighbour("w", UNREACHABLE, "here", 100.0)}
    assert reads.readers_to_ask(ROWS)
    reads.path.reached_at = -math.inf
    assert reads.readers_to_ask(ROWS) == []


@scenario
async def test_processes_of_other_zones_read_for_themselves(world):
    store, clock = CountedTables(), ManualClock()
    await store.commit([Write(ROWS, "a", {"v": 1})])
    reads = await process(world, "p0", store, clock)
    far = [Neighbour(f"far{n}", UNREACHABLE, "there", 100.0) for n in range(9)]
    reads.path.neighbours = {n.name: n for n in far}
    assert reads.readers_to_ask(ROWS) == []


def processes(count, narrow=0):
    wide = [Neighbour(f"p{n}", UNREACHABLE, "here", 600.0) for n in range(count)]
    return wide + [Neighbour(f"n{n}", UNREACHABLE, "here", 60.0) for n in range(narrow)]


@pytest.mark.parametrize("count", [18, 122, 350])
def test_tables_have_readers_of_their_own_among_wide_hosts(count):
    tables = ["op", "servers", "neighbours", "jobs", "results", "claims", "agents"]
    found = processes(count, narrow=count)
    first = {table: order_readers(table, found)[0].name for table in tables}
    assert len(set(first.values())) >= 5
    assert all(name.startswith("p") for name in first.values())
    without = [p for p in found if p.name != "p3"]
    moved = [t for t in tables if first[t] != order_readers(t, without)[0].name]
    assert all(first[table] == "p3" for table in moved)
