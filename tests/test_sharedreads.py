"""Whole tables are read once for a zone, and directly if the readers do not answer."""

import asyncio
import math

import attrs
import pytest

from gypsumshift.httpserver import Response
from gypsumshift.memory import MemoryTables
from gypsumshift.neighbours import Neighbour
from gypsumshift.outcomes import Unavailable
from gypsumshift.platforms import Changes, HistoryLost, Row, Write
from gypsumshift.relay import Relay
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
    """Tables that count whole reads, each of which takes 20 ms."""

    reads = 0
    unavailable = False

    async def snapshot(self, table, after=0):
        self.reads += 1
        if self.unavailable:
            return Unavailable("down")
        changes = await super().snapshot(table, after)
        await asyncio.sleep(0.02)
        return changes


async def start_process(world: StoreWorld, name, store, clock, link=100.0):
    """Start a process that may read tables for others; return its store."""
    path = world.path(UNREACHABLE)
    path.reached_at = math.inf
    reads = SharedReadStore(
        store, path, Neighbour(name, UNREACHABLE, "here", link), clock
    )
    address = await world.serve(Relay(path, {TABLE_PATH: reads.serve}).serve)
    reads.own = attrs.evolve(reads.own, address=address)
    return reads


async def start_zone(world: StoreWorld, count, store, clock):
    """Start processes of one zone that are neighbours of each other."""
    found = [await start_process(world, f"p{n}", store, clock) for n in range(count)]
    for reads in found:
        reads.path.neighbours = {r.own.name: r.own for r in found if r is not reads}
    return found


@scenario
async def test_zone_reads_table_at_most_twice_after_lost_history(world):
    store, clock = CountedTables(), ManualClock()
    await store.commit([Write(ROWS, "a", {"v": 1}, part="x")])
    found = await start_zone(world, 18, store, clock)
    answers = await asyncio.gather(*(reads.snapshot(ROWS) for reads in found))
    assert {changes.version for changes in answers} == {1}
    assert all(changes.rows == answers[0].rows for changes in answers)
    # The second reader reads the table itself, since it may receive requests as well.
    assert store.reads <= 2


@scenario
async def test_copy_is_packed_once_and_sent_with_its_age(world):
    store, clock = CountedTables(), ManualClock()
    await store.commit([Write(ROWS, "a", {"v": 1})])
    reader = await start_process(world, "reader", store, clock)
    await reader.read_shared(ROWS, 0)
    clock.advance(COPY_LIFETIME_S / 2)
    requester = await start_process(world, "requester", store, clock, link=1.0)
    requester.path.neighbours = {"reader": reader.own}
    first = await requester.snapshot(ROWS)
    packed = reader.copies[ROWS].packed
    second = await requester.snapshot(ROWS)
    assert packed and reader.copies[ROWS].packed is packed
    assert first == second
    assert (first.version, first.age, store.reads) == (1, COPY_LIFETIME_S / 2, 1)


@scenario
async def test_process_reads_table_itself_when_readers_are_gone(world):
    store, clock = CountedTables(), ManualClock()
    await store.commit([Write(ROWS, "a", {"v": 1})])
    reads = await start_process(world, "p0", store, clock, link=1.0)
    gone = [Neighbour(f"gone{n}", UNREACHABLE, "here", 100.0) for n in range(3)]
    reads.path.neighbours = {n.name: n for n in gone}
    assert (await reads.snapshot(ROWS)).version == 1
    assert store.reads == 1


@scenario
async def test_copy_is_shared_until_it_expires_and_has_its_age(world):
    store, clock = CountedTables(), ManualClock()
    await store.commit([Write(ROWS, "a", {"v": 1})])
    reads = await start_process(world, "p0", store, clock)
    assert (await reads.snapshot(ROWS)).age == 0
    await store.commit([Write(ROWS, "a", {"v": 2})])
    clock.advance(COPY_LIFETIME_S / 2)
    old = await reads.snapshot(ROWS, 1)
    assert (old.version, old.age, store.reads) == (1, COPY_LIFETIME_S / 2, 1)
    assert (await reads.snapshot(ROWS, 2)).version == 2, "the version never decreases"
    clock.advance(COPY_LIFETIME_S)
    await store.commit([Write(ROWS, "a", {"v": 3})])
    assert (await reads.snapshot(ROWS)).version == 3


@scenario
async def test_shared_read_begun_before_required_version_is_not_used(world):
    store, clock = CountedTables(), ManualClock()
    await store.commit([Write(ROWS, "a", {"v": 1})])
    reads = await start_process(world, "p0", store, clock)
    first = asyncio.create_task(reads.read_shared(ROWS, 0))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    await store.commit([Write(ROWS, "a", {"v": 2})])
    assert (await reads.snapshot(ROWS, 2)).version == 2
    assert (await first).changes.version == 1


@scenario
async def test_all_processes_report_unavailable_store(world):
    store, clock = CountedTables(), ManualClock()
    store.unavailable = True
    found = await start_zone(world, 4, store, clock)
    answers = await asyncio.gather(*(reads.snapshot(ROWS) for reads in found))
    assert all(isinstance(answer, Unavailable) for answer in answers)


@scenario
async def test_invalid_answer_of_reader_is_ignored(world):
    async def answer_invalid(request):
        return Response(200, [], b"no table")

    store, clock = CountedTables(), ManualClock()
    await store.commit([Write(ROWS, "a", {"v": 1})])
    reads = await start_process(world, "p0", store, clock, link=1.0)
    address = await world.serve(answer_invalid)
    reads.path.neighbours = {"f": Neighbour("f", address, "here", 100.0)}
    assert (await reads.snapshot(ROWS)).version == 1


@scenario
async def test_watch_uses_age_of_shared_copy(world):
    store, clock = CountedTables(), ManualClock()
    await store.commit([Write(ROWS, "a", {"v": 1})])
    reads = await start_process(world, "p0", store, clock)
    await reads.read_shared(ROWS, 0)
    clock.advance(COPY_LIFETIME_S / 2)
    received = []
    watch = Watch(reads, ROWS, received.extend, received.extend, clock)
    await watch.poll_once()
    assert [row.key for row in received] == ["a"]
    assert watch.current_at == clock.monotonic() - COPY_LIFETIME_S / 2


@scenario
async def test_watch_requires_its_last_version_after_lost_history(world):
    class HistoryLosingTables(CountedTables):
        required = None

        async def changes(self, table, after, wait):
            return HistoryLost()

        async def snapshot(self, table, after=0):
            self.required = after
            return await super().snapshot(table, after)

    store, clock = HistoryLosingTables(), ManualClock()
    await store.commit([Write(ROWS, "a", {"v": 1})])
    watch = Watch(store, ROWS, lambda rows: None, lambda rows: None, clock)
    for _ in range(3):
        await watch.poll_once()
    assert store.required == 1


def test_packed_table_is_unpacked_unchanged():
    rows = [Row(ROWS, "a", 3, {"v": "é"}, "p"), Row(ROWS, "b", 4, None, "", False)]
    changes = Changes(rows, 4)
    assert unpack_table(pack_table(changes)) == changes
    with pytest.raises(ValueError):
        unpack_table(b"")


@scenario
async def test_no_reader_is_asked_while_store_does_not_answer(world):
    store, clock = CountedTables(), ManualClock()
    reads = await start_process(world, "p0", store, clock, link=1.0)
    reads.path.neighbours = {"w": Neighbour("w", UNREACHABLE, "here", 100.0)}
    assert reads.readers_to_ask(ROWS)
    reads.path.reached_at = -math.inf
    assert reads.readers_to_ask(ROWS) == []


@scenario
async def test_no_reader_of_another_zone_is_asked(world):
    store, clock = CountedTables(), ManualClock()
    await store.commit([Write(ROWS, "a", {"v": 1})])
    reads = await start_process(world, "p0", store, clock)
    far = [Neighbour(f"far{n}", UNREACHABLE, "there", 100.0) for n in range(9)]
    reads.path.neighbours = {n.name: n for n in far}
    assert reads.readers_to_ask(ROWS) == []


def make_processes(count, slow=0):
    fast = [Neighbour(f"p{n}", UNREACHABLE, "here", 600.0) for n in range(count)]
    return fast + [Neighbour(f"n{n}", UNREACHABLE, "here", 60.0) for n in range(slow)]


@pytest.mark.parametrize("count", [18, 122, 350])
def test_tables_have_different_readers_with_high_bandwidth(count):
    tables = ["op", "servers", "neighbours", "jobs", "results", "claims", "agents"]
    found = make_processes(count, slow=count)
    first = {table: order_readers(table, found)[0].name for table in tables}
    assert len(set(first.values())) >= 5
    assert all(name.startswith("p") for name in first.values())
    without = [p for p in found if p.name != "p3"]
    moved = [t for t in tables if first[t] != order_readers(t, without)[0].name]
    assert all(first[table] == "p3" for table in moved)
