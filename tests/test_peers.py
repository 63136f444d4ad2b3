"""Heartbeats that the store carries out late.

What users would see: items that run at a healthy engine start again at another one, and
their step ends later by what was thrown away.

Order of events: a process writes a heartbeat, the store gives no answer, and the
process ends. Its successor writes heartbeats and claims units. Then the store carries
the old heartbeat out: the row tells of the old session, so the claims of the new one
count as those of a process that is gone, and others take its units over without a
question, until the next heartbeat: 0.4 s in a small fleet, 5 s with 1,600 agents.

Cause: heartbeats were written whatever the row held, and readers believe the row that
was written last.
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

    # The test is given its fleet here, not by a fixture of that name.
    del run.__wrapped__
    return run


class LateTables(MemoryTables):
    """Tables that give some writes no answer, and carry them out at once or late.

    Attributes
    ----------
    holding, losing : bool
        Whether writes wait for `carry_out`, or lose their answers.
    unreadable : bool
        Whether single rows cannot be read.
    calls : list of str
        Kinds of the calls that were made.
    """

    def __init__(self):
        super().__init__()
        self.holding = False
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
        if self.holding:
            self.waiting.append(writes)
            return Unknown("no answer")
        outcome = await super().commit(writes)
        return Unknown("no answer") if self.losing else outcome

    async def carry_out(self):
        """Carry out what waits; return the outcomes that nobody hears of."""
        waiting, self.waiting = self.waiting, []
        return [await super(LateTables, self).commit(writes) for writes in waiting]


class Fleet:
    """Processes of one agent after each other, and another agent that hears them."""

    def __init__(self):
        self.clock = ManualClock()
        self.store = LateTables()
        self.reader = make_tracker("reader", self.clock).peers
        self.heard = 0

    def start(self, session):
        """Return the heart of a process that has read the table of agents."""
        own = make_tracker(session, self.clock)
        own.peers.apply_rows(list(self.store.rows.values()))
        station = LocalEngine(
            AgentIdentity(AGENT, SERVICE, ADDRESS),
            Directory(),
            FakeEngine(),
            self.clock,
        )
        weights = WeightManager(station, own, self.clock, METRICS)
        heart = HeartbeatWriter(
            session,
            station,
            weights,
            own,
            Pace(self.clock),
            self.store,
            self.clock,
            lambda: 0,
        )
        heart.last = own.peers.last_heartbeat(AGENT)
        return heart

    def hear(self):
        """Tell the reader what changed."""
        self.reader.apply_rows(self.store.changed_rows(AGENTS, self.heard))
        self.heard = self.store.version

    def row(self):
        """Return the session and the number of the heartbeat that stands."""
        row = self.store.rows[AGENTS, heartbeat_part(AGENT), AGENT]
        return row.value["session"], row.value["beat"]

    async def beat_late(self, heart):
        """Write a heartbeat that the store has not carried out yet."""
        self.store.holding = True
        await heart.write_next()
        self.store.holding = False

    async def beat_unanswered(self, heart):
        """Write a heartbeat that stands, with its answer lost."""
        self.store.losing = True
        await heart.write_next()
        self.store.losing = False


@scenario
async def test_a_late_heartbeat_of_an_ended_process_leaves_its_successor_alive(fleet):
    old = fleet.start("old")
    await old.write_next()
    await fleet.beat_late(old)
    new = fleet.start("new")
    await new.write_next()
    fleet.hear()
    claimed_at = fleet.clock.monotonic()
    fleet.clock.advance(HEARTBEAT_PERIOD / 2)
    await fleet.store.carry_out()
    fleet.hear()
    assert (
        fleet.reader.holder_state(Claim(AGENT, "new"), claimed_at) is HolderState.WORKS
    )
    assert (
        fleet.reader.holder_state(Claim(AGENT, "old"), claimed_at) is HolderState.GONE
    )
    late_reader = make_tracker("late", fleet.clock).peers
    late_reader.apply_rows(list(fleet.store.rows.values()))
    assert late_reader.last_heartbeat(AGENT).session == "new", (
        "nor for who reads it only now"
    )


@scenario
async def test_a_late_first_heartbeat_leaves_the_successor_alive(fleet):
    """A process that starts again and again may end before its first is carried out."""
    first = fleet.start("first")
    await fleet.beat_late(first)
    second = fleet.start("second")
    await second.write_next()
    await fleet.store.carry_out()
    assert fleet.row() == ("second", 1)


@scenario
async def test_a_late_heartbeat_is_no_sign_of_life(fleet):
    heart = fleet.start("s")
    await fleet.beat_late(heart)
    await heart.write_next()
    fleet.hear()
    fleet.clock.advance(HEARTBEAT_TIMEOUT + 0.1)
    await fleet.store.carry_out()
    fleet.hear()
    claim = Claim(AGENT, "s")
    assert fleet.reader.holder_state(claim, 0.0) is HolderState.SILENT
    assert fleet.row() == ("s", 2)


@scenario
async def test_the_first_heartbeat_stands_whatever_was_written_since_it_was_read(fleet):
    """Without its fence, an engine gets no orders; the next beat may be 5 s away."""
    old = fleet.start("old")
    await old.write_next()
    await fleet.beat_late(old)
    new = fleet.start("new")
    await fleet.store.carry_out()
    await new.write_next()
    assert fleet.row() == ("new", 1)
    assert new.weights.fence == fleet.store.version


@scenario
async def test_a_lost_answer_does_not_stop_the_heartbeats(fleet):
    heart = fleet.start("s")
    await heart.write_next()
    fence = heart.weights.fence
    for _ in range(5):
        await fleet.beat_unanswered(heart)
        await heart.write_next()
        await heart.write_next()
        assert fleet.row() == ("s", heart.last.beat)
    assert heart.weights.fence == fence, "the fence stays that of the start"


@scenario
async def test_a_first_heartbeat_whose_answer_is_lost_gives_the_fence(fleet):
    heart = fleet.start("s")
    await fleet.beat_unanswered(heart)
    assert not heart.weights.fence
    await heart.write_next()
    assert 0 < heart.weights.fence <= fleet.store.version


@scenario
async def test_a_row_that_cannot_be_read_does_not_stop_the_heartbeats(fleet):
    """Another writer's row says neither its version nor its session."""
    heart = fleet.start("s")
    await fleet.beat_unanswered(heart)
    fleet.store.unreadable = True
    await heart.write_next()
    assert fleet.row() == ("s", heart.last.beat)
    assert heart.weights.fence


@scenario
async def test_an_old_copy_of_the_row_does_not_stop_the_heartbeats(fleet):
    """The store may serve one to reads while it takes writes."""
    heart = fleet.start("s")
    await heart.write_next()
    copy = await fleet.store.read(AGENTS, AGENT, heartbeat_part(AGENT))
    await fleet.beat_unanswered(heart)

    async def read_old(table, key, part=""):
        return copy

    fleet.store.read = read_old
    await heart.write_next()
    assert fleet.row() == ("s", heart.last.beat)


@scenario
async def test_a_heartbeat_is_one_call_of_the_store(fleet):
    """Heartbeats of 1,600 agents take a tenth of the store's writes."""
    heart = fleet.start("s")
    for _ in range(10):
        await heart.write_next()
    assert fleet.store.calls == ["commit"] * 10


@scenario
async def test_an_unanswered_heartbeat_that_was_told_costs_no_further_call(fleet):
    heart = fleet.start("s")
    for _ in range(10):
        await fleet.beat_unanswered(heart)
        heart.tracker.peers.apply_rows(list(fleet.store.rows.values()))
    assert fleet.store.calls == ["commit"] * 10
    assert fleet.row() == ("s", 10)


@scenario
async def test_rows_that_are_told_again_are_no_signs_of_life(fleet):
    """A lost host's units waited longer where the table of agents was read anew.

    Its last heartbeat was told; the store's history was lost, so the table was read
    again, and the host's row in it counted as a heartbeat of that moment. For another
    1.2 s (`SILENCE`) nobody asked whether it works. Cause: a row was taken without
    comparing its version with the one known.
    """
    heart = fleet.start("s")
    await heart.write_next()
    fleet.hear()
    fleet.clock.advance(HEARTBEAT_TIMEOUT + 0.1)
    claim = Claim(AGENT, "s")
    assert fleet.reader.holder_state(claim, 0.0) is HolderState.SILENT
    fleet.reader.apply_rows(list(fleet.store.rows.values()))
    assert fleet.reader.holder_state(claim, 0.0) is HolderState.SILENT
    await heart.write_next()
    fleet.hear()
    assert fleet.reader.holder_state(claim, 0.0) is HolderState.WORKS


@scenario
async def test_an_older_row_of_an_agent_is_left_out(fleet):
    """A table that was read for several processes may be told behind its changes."""
    old = fleet.start("old")
    await old.write_next()
    before = list(fleet.store.rows.values())
    new = fleet.start("new")
    await new.write_next()
    fleet.hear()
    fleet.reader.apply_rows(before)
    assert fleet.reader.last_heartbeat(AGENT).session == "new"
    gone = Row(AGENTS, AGENT, fleet.store.version + 1, None, heartbeat_part(AGENT))
    fleet.reader.apply_rows([*fleet.store.rows.values(), gone])
    assert fleet.reader.last_heartbeat(AGENT).session == "", "its row was removed since"
    fleet.reader.apply_rows(list(fleet.store.rows.values()))
    assert fleet.reader.last_heartbeat(AGENT).session == ""
    late = make_tracker("late", fleet.clock).peers
    late.apply_rows([*fleet.store.rows.values(), gone])
    assert late.last_heartbeat(AGENT).session == "", "nor within one answer"
