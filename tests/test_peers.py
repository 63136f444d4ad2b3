"""Heartbeats that the store carries out late.

Effect for users: items that run on a healthy engine start again on another one, and
their step ends later by the work that is discarded.

Order of events: a process writes a heartbeat, the store gives no answer, and the
process ends. Its successor writes heartbeats and claims units. Then the store carries
the old heartbeat out. The row now names the old session, so the claims of the new one
look like those of an ended process, and other agents take its units over without a
probe, until the next heartbeat: 0.4 s in a small fleet, 5 s with 1,600 agents.

Cause: heartbeats were written without a condition on the row's version, and readers
trust the row that was written last.
"""

import asyncio
import functools

from gypsumshift.jobs.heartbeatwriter import (
    HEARTBEAT_PERIOD,
    HeartbeatWriter,
    heartbeat_part,
)
from gypsumshift.jobs.localengine import AgentIdentity, LocalEngine
from gypsumshift.jobs.pace import Pace
from gypsumshift.jobs.peers import HEARTBEAT_TIMEOUT, HolderState
from gypsumshift.jobs.records import AGENTS, Claim
from gypsumshift.jobs.weights import WeightManager
from gypsumshift.memory import MemoryTables
from gypsumshift.outcomes import Unavailable, Unknown
from gypsumshift.platforms import Row
from gypsumshift.serving import Directory
from tests.builders import ManualClock
from tests.job_builders import ADDRESS, METRICS, SERVICE, FakeEngine, make_tracker

AGENT = "a"


def scenario(test):
    @functools.wraps(test)
    def run():
        asyncio.run(asyncio.wait_for(test(Fleet()), 10))

    # The fleet is passed here; pytest must not look for a fixture of that name.
    del run.__wrapped__
    return run


class LateTables(MemoryTables):
    """Tables that leave some writes unanswered, and carry them out at once or late.

    Attributes
    ----------
    delaying, losing : bool
        Whether writes wait for `carry_out`, or are stored without an answer.
    unreadable : bool
        Whether single rows cannot be read.
    calls : list of str
        Names of the methods that were called.
    """

    def __init__(self):
        super().__init__()
        self.delaying = False
        self.losing = False
        self.unreadable = False
        self.waiting = []
        self.calls = []

    async def read(self, table, key, part=""):
        self.calls.append("read")
        if self.unreadable:
            return Unavailable("a row of another writer")
        return await super().read(table, key, part)

    async def commit(self, writes):
        self.calls.append("commit")
        if self.delaying:
            self.waiting.append(writes)
            return Unknown("no answer")
        outcome = await super().commit(writes)
        return Unknown("no answer") if self.losing else outcome

    async def carry_out(self):
        """Carry out the waiting writes; return their outcomes."""
        waiting, self.waiting = self.waiting, []
        return [await super(LateTables, self).commit(writes) for writes in waiting]


class Fleet:
    """Successive processes of one agent, and another agent that reads their rows."""

    def __init__(self):
        self.clock = ManualClock()
        self.store = LateTables()
        self.reader = make_tracker("reader", self.clock).peers
        self.delivered = 0

    def start(self, session):
        """Return the writer of a new process that has read the table of agents."""
        tracker = make_tracker(session, self.clock)
        tracker.peers.apply_rows(list(self.store.rows.values()))
        local_engine = LocalEngine(
            AgentIdentity(AGENT, SERVICE, ADDRESS),
            Directory(),
            FakeEngine(),
            self.clock,
        )
        weights = WeightManager(local_engine, tracker, self.clock, METRICS)
        writer = HeartbeatWriter(
            session,
            local_engine,
            weights,
            tracker,
            Pace(self.clock),
            self.store,
            self.clock,
            lambda: 0,
        )
        writer.last_heartbeat = tracker.peers.last_heartbeat(AGENT)
        return writer

    def deliver(self):
        """Deliver the changed rows to the reader."""
        self.reader.apply_rows(self.store.changed_rows(AGENTS, self.delivered))
        self.delivered = self.store.version

    def row(self):
        """Return the session and the number of the stored heartbeat."""
        row = self.store.rows[AGENTS, heartbeat_part(AGENT), AGENT]
        return row.value["session"], row.value["beat"]

    async def write_late(self, writer):
        """Write a heartbeat that the store carries out only later."""
        self.store.delaying = True
        await writer.write_heartbeat()
        self.store.delaying = False

    async def write_unanswered(self, writer):
        """Write a heartbeat that is stored, with its answer lost."""
        self.store.losing = True
        await writer.write_heartbeat()
        self.store.losing = False


@scenario
async def test_a_late_heartbeat_of_an_ended_process_does_not_replace_newer_ones(fleet):
    old = fleet.start("old")
    await old.write_heartbeat()
    await fleet.write_late(old)
    new = fleet.start("new")
    await new.write_heartbeat()
    fleet.deliver()
    claimed_at = fleet.clock.monotonic()
    fleet.clock.advance(HEARTBEAT_PERIOD / 2)
    await fleet.store.carry_out()
    fleet.deliver()
    assert (
        fleet.reader.holder_state(Claim(AGENT, "new"), claimed_at) is HolderState.WORKS
    )
    assert (
        fleet.reader.holder_state(Claim(AGENT, "old"), claimed_at) is HolderState.GONE
    )
    late_reader = make_tracker("late", fleet.clock).peers
    late_reader.apply_rows(list(fleet.store.rows.values()))
    assert late_reader.last_heartbeat(AGENT).session == "new", (
        "a reader that starts now must see the new session too"
    )


@scenario
async def test_a_late_first_heartbeat_does_not_replace_that_of_the_successor(fleet):
    """A process may end before the store carries its first heartbeat out."""
    first = fleet.start("first")
    await fleet.write_late(first)
    second = fleet.start("second")
    await second.write_heartbeat()
    await fleet.store.carry_out()
    assert fleet.row() == ("second", 1)


@scenario
async def test_a_late_heartbeat_does_not_count_as_a_sign_of_life(fleet):
    writer = fleet.start("s")
    await fleet.write_late(writer)
    await writer.write_heartbeat()
    fleet.deliver()
    fleet.clock.advance(HEARTBEAT_TIMEOUT + 0.1)
    await fleet.store.carry_out()
    fleet.deliver()
    claim = Claim(AGENT, "s")
    assert fleet.reader.holder_state(claim, 0.0) is HolderState.SILENT
    assert fleet.row() == ("s", 2)


@scenario
async def test_the_first_heartbeat_is_stored_even_if_the_row_changed_meanwhile(fleet):
    """Without a fence, an engine gets no orders; the next heartbeat may be 5 s away."""
    old = fleet.start("old")
    await old.write_heartbeat()
    await fleet.write_late(old)
    new = fleet.start("new")
    await fleet.store.carry_out()
    await new.write_heartbeat()
    assert fleet.row() == ("new", 1)
    assert new.weights.fence == fleet.store.version


@scenario
async def test_heartbeats_continue_after_a_lost_answer(fleet):
    writer = fleet.start("s")
    await writer.write_heartbeat()
    fence = writer.weights.fence
    for _ in range(5):
        await fleet.write_unanswered(writer)
        await writer.write_heartbeat()
        await writer.write_heartbeat()
        assert fleet.row() == ("s", writer.last_heartbeat.beat)
    assert writer.weights.fence == fence, (
        "the fence does not change after the first heartbeat"
    )


@scenario
async def test_the_fence_is_set_although_the_first_answer_is_lost(fleet):
    writer = fleet.start("s")
    await fleet.write_unanswered(writer)
    assert not writer.weights.fence
    await writer.write_heartbeat()
    assert 0 < writer.weights.fence <= fleet.store.version


@scenario
async def test_heartbeats_continue_if_the_row_cannot_be_read(fleet):
    """A row that cannot be read yields neither its version nor its session."""
    writer = fleet.start("s")
    await fleet.write_unanswered(writer)
    fleet.store.unreadable = True
    await writer.write_heartbeat()
    assert fleet.row() == ("s", writer.last_heartbeat.beat)
    assert writer.weights.fence


@scenario
async def test_heartbeats_continue_if_reads_return_an_old_copy(fleet):
    """The store may serve reads from an old copy while it accepts writes."""
    writer = fleet.start("s")
    await writer.write_heartbeat()
    copy = await fleet.store.read(AGENTS, AGENT, heartbeat_part(AGENT))
    await fleet.write_unanswered(writer)

    async def read_old(table, key, part=""):
        return copy

    fleet.store.read = read_old
    await writer.write_heartbeat()
    assert fleet.row() == ("s", writer.last_heartbeat.beat)


@scenario
async def test_a_heartbeat_costs_one_store_call(fleet):
    """The heartbeats of 1,600 agents already take a tenth of the store's writes."""
    writer = fleet.start("s")
    for _ in range(10):
        await writer.write_heartbeat()
    assert fleet.store.calls == ["commit"] * 10


@scenario
async def test_a_lost_answer_costs_no_second_call_if_the_table_has_the_heartbeat(fleet):
    writer = fleet.start("s")
    for _ in range(10):
        await fleet.write_unanswered(writer)
        writer.tracker.peers.apply_rows(list(fleet.store.rows.values()))
    assert fleet.store.calls == ["commit"] * 10
    assert fleet.row() == ("s", 10)


@scenario
async def test_rows_received_again_do_not_count_as_signs_of_life(fleet):
    """Guards against a longer wait for a lost host's units after a table is read again.

    The store's change history was lost, so the table of agents was read again as a
    whole, and the host's last heartbeat in it counted as a new one. For another 1.2 s
    (`HEARTBEAT_TIMEOUT`) no agent probed the host. Cause: a row was applied without
    comparing its version with the known one.
    """
    writer = fleet.start("s")
    await writer.write_heartbeat()
    fleet.deliver()
    fleet.clock.advance(HEARTBEAT_TIMEOUT + 0.1)
    claim = Claim(AGENT, "s")
    assert fleet.reader.holder_state(claim, 0.0) is HolderState.SILENT
    fleet.reader.apply_rows(list(fleet.store.rows.values()))
    assert fleet.reader.holder_state(claim, 0.0) is HolderState.SILENT
    await writer.write_heartbeat()
    fleet.deliver()
    assert fleet.reader.holder_state(claim, 0.0) is HolderState.WORKS


@scenario
async def test_an_older_row_of_an_agent_is_ignored(fleet):
    """A table read once for several processes may arrive after newer changes."""
    old = fleet.start("old")
    await old.write_heartbeat()
    before = list(fleet.store.rows.values())
    new = fleet.start("new")
    await new.write_heartbeat()
    fleet.deliver()
    fleet.reader.apply_rows(before)
    assert fleet.reader.last_heartbeat(AGENT).session == "new"
    gone = Row(AGENTS, AGENT, fleet.store.version + 1, None, heartbeat_part(AGENT))
    fleet.reader.apply_rows([*fleet.store.rows.values(), gone])
    assert fleet.reader.last_heartbeat(AGENT).session == "", (
        "its row was removed afterwards"
    )
    fleet.reader.apply_rows(list(fleet.store.rows.values()))
    assert fleet.reader.last_heartbeat(AGENT).session == ""
    late = make_tracker("late", fleet.clock).peers
    late.apply_rows([*fleet.store.rows.values(), gone])
    assert late.last_heartbeat(AGENT).session == "", (
        "rows within one answer follow the same rule"
    )
