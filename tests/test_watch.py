"""How often a table is asked for while it changes all the time."""

import asyncio
import datetime

from gypsumshift.jobs.heart import HEARTBEAT
from gypsumshift.memory import MemoryTables
from gypsumshift.neighbours import GATHER as NEIGHBOURS_GATHER
from gypsumshift.platforms import Changes, Row
from gypsumshift.serving import Directory
from gypsumshift.watch import GATHER, HEARD_GAP, POLL, Watch
from tests.builders import ManualClock
from tests.jobs_world import World
from tests.platform_world import FOLDER
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
            store, TABLE, lambda rows: None, lambda rows: None, clock, gather=gather
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
    often, seldom = followed(GATHER), followed(0.25)
    assert often.calls > 180
    assert seldom.calls < 42
    assert seldom.told > 480, "all changes of ten seconds but for the last ones"


def test_servers_that_leave_are_known_well_before_they_may_get_no_requests():
    assert FOLDER.is_dir()
    from documents import SERVERS_GATHER, DirectoryFeed

    feed = DirectoryFeed(Directory(), MemoryTables(), ManualClock())
    assert feed.servers.gather == SERVERS_GATHER <= LEAVING / 4
    assert feed.operator.gather == GATHER, "a configuration is in force at once"


@scenario
async def test_a_lost_agent_is_missed_by_half_a_heartbeat_later_at_the_most(
    world: World,
):
    agent = world.agent("a")
    gathers = {watch.table: watch.gather for watch in agent.watches}
    assert gathers["claims"] == gathers["jobs"] == GATHER
    assert gathers["agents"] <= HEARTBEAT / 2


def test_a_table_counts_as_heard_between_its_rarest_answers():
    """Else nobody's silence would ever count: no process that is gone was forgotten."""
    assert FOLDER.is_dir()
    from row_store import FEED_SLACK

    assert NEIGHBOURS_GATHER + POLL.total_seconds() + FEED_SLACK < HEARD_GAP


def test_time_counts_as_heard_once_and_without_gaps():
    """A copy that others read is older than what is known; an outage is no hearing."""

    async def run():
        clock = ManualClock()
        watch = Watch(None, TABLE, lambda rows: None, lambda rows: None, clock)
        for passed, age, heard in (
            (0.0, 0.0, 0.0),
            (1.0, 0.0, 1.0),
            (0.5, 1.0, 1.0),
            (0.5, 0.0, 2.0),
            (HEARD_GAP, 0.0, 2.0),
            (1.0, 0.0, 3.0),
        ):
            clock.advance(passed)
            watch.take(Changes([], 1, age))
            assert watch.heard == heard

    asyncio.run(run())
