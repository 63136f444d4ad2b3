"""Following a table: number of calls, time followed, and whole reads."""

import asyncio
import datetime

import logbook

from gypsumshift.jobs.heartbeatwriter import HEARTBEAT_PERIOD
from gypsumshift.memory import MemoryTables
from gypsumshift.neighbourregistry import NEIGHBOURS_BATCH_INTERVAL_S
from gypsumshift.platforms import Changes, Row, Write
from gypsumshift.serving import Directory
from gypsumshift.watch import BATCH_INTERVAL_S, MAX_FEED_WAIT, MAX_FOLLOWED_GAP_S, Watch
from tests.builders import ManualClock
from tests.job_builders import JobCluster
from tests.platform_cluster import ADAPTER_FOLDER
from tests.test_agent import scenario

TABLE = "servers"
# Time for which a server that shuts down may still receive requests, in the strictest
# deployment.
MAX_DRAIN_DELAY_S = 2.0
REJECTED = "The store returned an old copy of the table; it is rejected."


class BusyTables(MemoryTables):
    """Table of 50 rows, each of which is written once a second."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock
        self.calls = 0
        self.rows_returned = 0

    async def snapshot(self, table, after=0):
        return Changes([], int(self.clock.monotonic() * 50))

    async def changes(self, table, after, wait: datetime.timedelta):
        self.calls += 1
        # Advancing the clock by hand does not let other tasks run.
        await asyncio.sleep(0)
        self.clock.advance(0.004)
        version = int(self.clock.monotonic() * 50)
        rows = [Row(table, f"s{n % 50}", n, {}) for n in range(after + 1, version + 1)]
        self.rows_returned += len(rows)
        return Changes(rows, version)


def follow_for_ten_seconds(interval):
    """Follow a busy table for ten seconds; return its store."""

    async def run():
        clock = ManualClock()
        store = BusyTables(clock)
        watch = Watch(
            store,
            TABLE,
            lambda rows: None,
            lambda rows: None,
            clock,
            batch_interval=interval,
        )
        following = asyncio.create_task(watch.run())
        end = clock.monotonic() + 10
        while clock.monotonic() < end:
            await asyncio.sleep(0)
        following.cancel()
        return store

    return asyncio.run(run())


def test_longer_batch_interval_reduces_calls_without_losing_changes():
    """By default, a constantly changing table costs each follower 19 calls a second.

    With an interval of a quarter second it costs 4.
    """
    often = follow_for_ten_seconds(BATCH_INTERVAL_S)
    seldom = follow_for_ten_seconds(0.25)
    assert often.calls > 180
    assert seldom.calls < 42
    assert seldom.rows_returned > 480, "all changes of ten seconds except the last ones"


def test_servers_interval_is_well_below_drain_delay():
    assert ADAPTER_FOLDER.is_dir()
    from directory_feed import SERVERS_BATCH_INTERVAL_S, DirectoryFeed

    feed = DirectoryFeed(Directory(), MemoryTables(), ManualClock())
    assert (
        feed.servers_watch.batch_interval
        == SERVERS_BATCH_INTERVAL_S
        <= MAX_DRAIN_DELAY_S / 4
    )
    assert feed.operator_watch.batch_interval == BATCH_INTERVAL_S, (
        "a configuration must be applied without delay"
    )


@scenario
async def test_agents_interval_is_at_most_half_a_heartbeat_period(
    world: JobCluster,
):
    agent = world.agent("a")
    gathers = {watch.table: watch.batch_interval for watch in agent.watches}
    assert gathers["claims"] == gathers["jobs"] == BATCH_INTERVAL_S
    assert gathers["agents"] <= HEARTBEAT_PERIOD / 2


def test_table_counts_as_followed_at_longest_time_between_answers():
    """Otherwise no time would count, and entries of gone processes would stay."""
    assert ADAPTER_FOLDER.is_dir()
    from row_store import FEED_SLACK_S

    assert (
        NEIGHBOURS_BATCH_INTERVAL_S + MAX_FEED_WAIT.total_seconds() + FEED_SLACK_S
        < MAX_FOLLOWED_GAP_S
    )


class AgedTables(MemoryTables):
    """Tables whose answers have the age that is set."""

    age = 0.0

    async def snapshot(self, table, after=0):
        return Changes([], 1, self.age)

    async def changes(self, table, after, wait):
        return Changes([], 1, self.age)


def test_followed_time_counts_once_and_excludes_gaps():
    """A copy read earlier by another process adds no time, nor does an outage."""

    async def run():
        store, clock = AgedTables(), ManualClock()
        watch = Watch(store, TABLE, lambda rows: None, lambda rows: None, clock)
        for passed, age, followed in (
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
            assert watch.followed_seconds == followed

    asyncio.run(run())


class CopiedTables(MemoryTables):
    """Tables that hold back whole reads and may answer them from an old copy."""

    copy = None

    def __init__(self):
        super().__init__()
        self.read_started = asyncio.Event()
        self.may_answer = asyncio.Event()
        self.may_answer.set()

    async def snapshot(self, table, after=0):
        self.read_started.set()
        await self.may_answer.wait()
        return self.copy or await super().snapshot(table, after)

    async def changes(self, table, after, wait):
        return await super().changes(table, after, datetime.timedelta())


class Follower:
    """A watch, and the keys of the table according to its callbacks."""

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

    def kept_keys(self):
        return {row.key for row in self.watch.kept_table().rows}


async def write_rows(store, *keys):
    """Write each row in its own transaction; return the whole table."""
    for key in keys:
        await store.commit([Write(TABLE, key, {})])
    return await MemoryTables.snapshot(store, TABLE)


async def load_copy_during_read(store, follower, changes):
    """Load a neighbour's copy while a read of the whole table is in progress."""
    store.may_answer.clear()
    poll = asyncio.create_task(follower.watch.poll_once())
    await store.read_started.wait()
    assert follower.watch.load_copy(changes)
    store.may_answer.set()
    await poll


def test_whole_read_replaces_copy_that_was_loaded_meanwhile():
    """A removed server received requests until the process was restarted.

    During its first read of the whole table, a starting process loads a neighbour's
    copy that still has a server which was removed meanwhile. The answer to the read was
    then applied as changes, which never mention that removal.
    """

    async def run():
        store = CopiedTables()
        old = await write_rows(store, "gone", "stays")
        await store.commit([Write(TABLE, "gone", None)])
        follower = Follower(store)
        await load_copy_during_read(store, follower, old)
        assert follower.watch.version == store.version
        assert follower.keys == follower.kept_keys() == {"stays"}

    asyncio.run(run())


def test_whole_read_older_than_loaded_copy_is_ignored():
    """The version never decreases, even if the older answer arrives later."""

    async def run():
        store = CopiedTables()
        store.copy = await write_rows(store, "gone")
        await store.commit([Write(TABLE, "gone", None)])
        follower = Follower(store)
        await load_copy_during_read(store, follower, await write_rows(store, "new"))
        assert follower.keys == follower.kept_keys() == {"new"}
        await write_rows(store, "newest")
        await follower.watch.poll_once()
        assert follower.keys == follower.kept_keys() == {"new", "newest"}

    asyncio.run(run())


async def lose_history(store, follower):
    """Let a follower read the table and then detect that the history is lost."""
    await follower.watch.poll_once()
    await store.commit([Write("other", "row", {})])
    store.drop_history()
    await follower.watch.poll_once()
    assert follower.watch.version == -1


def test_old_copy_after_lost_history_is_rejected_and_read_again():
    """A configuration that had been withdrawn was applied again.

    The store drops its history, and the whole table is read again from an old copy. The
    copy was accepted because after the loss its version was compared with none, and
    users saw old limits for a while.
    """

    async def run():
        store = CopiedTables()
        old = await write_rows(store, "a", "withdrawn")
        await store.commit([Write(TABLE, "withdrawn", None)])
        follower = Follower(store)
        watch = follower.watch
        await lose_history(store, follower)
        current_at = watch.current_at
        store.copy = old
        follower.clock.advance(1)
        with logbook.TestHandler() as lines:
            await watch.poll_once()
            await watch.poll_once()
        assert follower.keys == follower.kept_keys() == {"a"}
        assert watch.failures == 2, "run() retries after a pause"
        assert (watch.version, watch.current_at) == (-1, current_at)
        logged = [record.message for record in lines.records]
        assert logged.count(REJECTED) == 2
        store.copy = None
        await watch.poll_once()
        assert (watch.version, watch.failures) == (store.version, 0)
        assert follower.keys == follower.kept_keys() == {"a"}

    asyncio.run(run())


def test_old_copy_of_neighbour_is_rejected_after_lost_history():
    """The same fault, with the old copy sent by a neighbour."""

    async def run():
        store = CopiedTables()
        old = await write_rows(store, "a", "withdrawn")
        await store.commit([Write(TABLE, "withdrawn", None)])
        follower = Follower(store)
        await lose_history(store, follower)
        assert not follower.watch.load_copy(old)
        assert follower.keys == {"a"}

    asyncio.run(run())
