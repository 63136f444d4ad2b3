"""How often a table is asked for while it changes all the time."""

import asyncio
import datetime

import logbook

from gypsumshift.jobs.heartbeatwriter import HEARTBEAT_PERIOD
from gypsumshift.memory import MemoryTables
from gypsumshift.neighbours import NEIGHBOURS_BATCH_INTERVAL_S as NEIGHBOURS_GATHER
from gypsumshift.platforms import Changes, Row, Write
from gypsumshift.serving import Directory
from gypsumshift.watch import BATCH_INTERVAL_S, MAX_FEED_WAIT, MAX_FOLLOWED_GAP_S, Watch
from tests.builders import ManualClock
from tests.job_builders import JobCluster
from tests.platform_cluster import ADAPTER_FOLDER
from tests.test_agent import scenario

TABLE = "servers"
# Seconds for which a server that leaves may get requests, in the strictest deployment.
LEAVING = 2.0


class Busy(MemoryTables):
    """A table of 50 rows, of which each is written once a second."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock
        self.calls = 0
        self.told = 0

    async def snapshot(self, table, after=0):
        return Changes([], int(self.clock.monotonic() * 50))

    async def changes(self, table, after, wait: datetime.timedelta):
        self.calls += 1
        # A clock that is advanced by hand gives no other task its turn.
        await asyncio.sleep(0)
        self.clock.advance(0.004)
        version = int(self.clock.monotonic() * 50)
        rows = [Row(table, f"s{n % 50}", n, {}) for n in range(after + 1, version + 1)]
        self.told += len(rows)
        return Changes(rows, version)


def followed(gather):
    """Return the store after ten seconds of following its table."""

    async def run():
        clock = ManualClock()
        store = Busy(clock)
        watch = Watch(
            store,
            TABLE,
            lambda rows: None,
            lambda rows: None,
            clock,
            batch_interval=gather,
        )
        following = asyncio.create_task(watch.run())
        end = clock.monotonic() + 10
        while clock.monotonic() < end:
            await asyncio.sleep(0)
        following.cancel()
        return store

    return asyncio.run(run())


def test_a_table_that_changes_all_the_time_costs_few_calls_and_no_change():
    """Its followers asked 19 times a second each; 4 times with a quarter second."""
    often, seldom = followed(BATCH_INTERVAL_S), followed(0.25)
    assert often.calls > 180
    assert seldom.calls < 42
    assert seldom.told > 480, "all changes of ten seconds but for the last ones"


def test_servers_that_leave_are_known_well_before_they_may_get_no_requests():
    assert ADAPTER_FOLDER.is_dir()
    from directory_feed import SERVERS_BATCH_INTERVAL_S, DirectoryFeed

    feed = DirectoryFeed(Directory(), MemoryTables(), ManualClock())
    assert feed.servers_watch.batch_interval == SERVERS_BATCH_INTERVAL_S <= LEAVING / 4
    assert feed.operator_watch.batch_interval == BATCH_INTERVAL_S, (
        "a configuration is in force at once"
    )


@scenario
async def test_a_lost_agent_is_missed_by_half_a_heartbeat_later_at_the_most(
    world: JobCluster,
):
    agent = world.agent("a")
    gathers = {watch.table: watch.batch_interval for watch in agent.watches}
    assert gathers["claims"] == gathers["jobs"] == BATCH_INTERVAL_S
    assert gathers["agents"] <= HEARTBEAT_PERIOD / 2


def test_a_table_counts_as_heard_between_its_rarest_answers():
    """Else nobody's silence would ever count: no process that is gone was forgotten."""
    assert ADAPTER_FOLDER.is_dir()
    from row_store import FEED_SLACK_S

    assert (
        NEIGHBOURS_GATHER + MAX_FEED_WAIT.total_seconds() + FEED_SLACK_S
        < MAX_FOLLOWED_GAP_S
    )


class Aged(MemoryTables):
    """A table whose answers are of the age that is set."""

    age = 0.0

    async def snapshot(self, table, after=0):
        return Changes([], 1, self.age)

    async def changes(self, table, after, wait):
        return Changes([], 1, self.age)


def test_time_counts_as_heard_once_and_without_gaps():
    """A copy that others read is older than what is known; an outage is no hearing."""

    async def run():
        store, clock = Aged(), ManualClock()
        watch = Watch(store, TABLE, lambda rows: None, lambda rows: None, clock)
        for passed, age, heard in (
            (0.0, 0.0, 0.0),
            (1.0, 0.0, 1.0),
            (0.5, 1.0, 1.0),
            (0.5, 0.0, 2.0),
            (MAX_FOLLOWED_GAP_S, 0.0, 2.0),
            (1.0, 0.0, 3.0),
        ):
            clock.advance(passed)
            store.age = age
            await watch.poll_once()
            assert watch.followed_seconds == heard

    asyncio.run(run())


class Copied(MemoryTables):
    """Tables that answer whole reads when they may, from a copy where there is one."""

    copy = None

    def __init__(self):
        super().__init__()
        self.asked = asyncio.Event()
        self.may_answer = asyncio.Event()
        self.may_answer.set()

    async def snapshot(self, table, after=0):
        self.asked.set()
        await self.may_answer.wait()
        return self.copy or await super().snapshot(table, after)

    async def changes(self, table, after, wait):
        return await super().changes(table, after, datetime.timedelta())


class Follower:
    """A watch, and what it was told: the keys by its owner's reckoning."""

    def __init__(self, store):
        self.keys = set()
        self.clock = ManualClock()
        self.watch = Watch(
            store, TABLE, self.apply, self.replace, self.clock, keeps_rows=True
        )

    def replace(self, rows):
        self.keys.clear()
        self.apply(rows)

    def apply(self, rows):
        for row in rows:
            (self.keys.discard if row.value is None else self.keys.add)(row.key)

    def kept(self):
        return {row.key for row in self.watch.kept_table().rows}


async def written(store, *keys):
    """Write rows, each in a transaction; return the whole table."""
    for key in keys:
        await store.commit([Write(TABLE, key, {})])
    return await MemoryTables.snapshot(store, TABLE)


async def overtaken(store, follower, changes):
    """Have a neighbour tell what it knows while the table is read."""
    store.may_answer.clear()
    step = asyncio.create_task(follower.watch.poll_once())
    await store.asked.wait()
    assert follower.watch.load_copy(changes)
    store.may_answer.set()
    await step


def test_a_whole_table_stays_one_where_a_neighbour_was_faster():
    """A server that was removed got requests until the process was restarted.

    Users see requests fail at a server that is gone. A process starts; its first
    reading of the table is under way; a neighbour tells what it knows, a server among
    it that is removed meanwhile; the reading comes and is taken as changes, since
    something is known by then, so that no change ever tells of the removal.
    """

    async def run():
        store = Copied()
        old = await written(store, "gone", "stays")
        await store.commit([Write(TABLE, "gone", None)])
        follower = Follower(store)
        await overtaken(store, follower, old)
        assert follower.watch.version == store.version
        assert follower.keys == follower.kept() == {"stays"}

    asyncio.run(run())


def test_a_whole_table_older_than_what_a_neighbour_told_is_left_out():
    """Nothing steps back, also where the older answer comes later."""

    async def run():
        store = Copied()
        store.copy = await written(store, "gone")
        await store.commit([Write(TABLE, "gone", None)])
        follower = Follower(store)
        await overtaken(store, follower, await written(store, "new"))
        assert follower.keys == follower.kept() == {"new"}
        await written(store, "newest")
        await follower.watch.poll_once()
        assert follower.keys == follower.kept() == {"new", "newest"}

    asyncio.run(run())


async def without_history(store, follower):
    """Have a follower know the table, and learn that changes are lost."""
    await follower.watch.poll_once()
    await store.commit([Write("other", "row", {})])
    store.drop_history()
    await follower.watch.poll_once()
    assert follower.watch.version == -1


def test_a_copy_older_than_what_was_known_is_refused_and_asked_for_again():
    """A configuration that had been withdrawn was in force again.

    Users see old limits for a while. The store drops its history; the table is read
    anew, from an old copy of it; the copy is taken, since after the loss its version
    is compared with none.
    """

    async def run():
        store = Copied()
        old = await written(store, "a", "withdrawn")
        await store.commit([Write(TABLE, "withdrawn", None)])
        follower = Follower(store)
        watch = follower.watch
        await without_history(store, follower)
        heard_at = watch.current_at
        store.copy = old
        follower.clock.advance(1)
        with logbook.TestHandler() as lines:
            await watch.poll_once()
            await watch.poll_once()
        assert follower.keys == follower.kept() == {"a"}
        assert watch.failures == 2, "run() pauses, then asks again"
        assert (watch.version, watch.current_at) == (-1, heard_at)
        told = [record.message for record in lines.records]
        assert told.count("An old copy is refused.") == 2
        store.copy = None
        await watch.poll_once()
        assert (watch.version, watch.failures) == (store.version, 0)
        assert follower.keys == follower.kept() == {"a"}

    asyncio.run(run())


def test_nothing_older_than_what_was_known_is_learnt_from_a_neighbour():
    """The same, where a neighbour tells the old copy while the history is lost."""

    async def run():
        store = Copied()
        old = await written(store, "a", "withdrawn")
        await store.commit([Write(TABLE, "withdrawn", None)])
        follower = Follower(store)
        await without_history(store, follower)
        assert not follower.watch.load_copy(old)
        assert follower.keys == {"a"}

    asyncio.run(run())
