"""Whether a request may run, by its key and by what this host can know of it.

Callers carry keys of workspaces. A host that was cut from the store, or suspended, went
on running requests whose keys had been taken away everywhere else; a host that did not
know a new key yet called it unknown, and its caller never came back.
"""

import asyncio
import datetime

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gypsumshift.memory import MemoryTables
from gypsumshift.metrics import Metrics
from gypsumshift.outcomes import CannotTell, Unavailable
from gypsumshift.platforms import Changes, HistoryLost, Write
from gypsumshift.serving import Directory, RouteTable
from gypsumshift.serving.admission import Admission, Grant, UnknownKey
from gypsumshift.serving.currency import Currency
from gypsumshift.watch import POLL, POLL_SILENT, Watch
from gypsumshift.workspaces import Workspace, Workspaces, key_digest
from tests import own_time
from tests.builders import ManualClock

METRICS = Metrics("admission", dict)
BOUND = datetime.timedelta(seconds=5)
TABLE = "settings"


class Held(MemoryTables):
    """A store that answers at once, after a while, or not."""

    away = False
    takes = 0.0
    calls = 0

    def __init__(self, clock):
        super().__init__()
        self.clock = clock

    async def changes(self, table, after, wait):
        self.calls += 1
        if self.away:
            return Unavailable("away")
        answer = await super().changes(table, after, datetime.timedelta())
        self.clock.advance(self.takes)
        return answer


class SuspendedClock(ManualClock):
    """Clock of a host that may be suspended."""

    suspended = 0.0

    def elapsed(self):
        return self.seconds + self.suspended


class World:
    """One host, the store, and an operator who gives and takes keys."""

    def __init__(self, bound=BOUND):
        self.clock = SuspendedClock()
        self.store = Held(self.clock)
        self.directory = Directory()
        self.watch = Watch(self.store, TABLE, self.take, self.take, self.clock)
        self.currency = Currency(self.watch, self.directory, self.clock, bound)
        self.admission = Admission(self.directory, self.currency, METRICS)
        self.version = 0

    def take(self, rows):
        for row in rows:
            found = [
                Workspace(name, frozenset(key_digest(key) for key in keys))
                for name, keys in row.value["workspaces"].items()
            ]
            workspaces = Workspaces(found, required=True)
            version = row.value["version"]
            self.directory.set_routes(RouteTable(version, workspaces=workspaces))

    async def write(self, **workspaces):
        """Have the store hold a configuration with these keys."""
        self.version += 1
        value = {"version": self.version, "workspaces": workspaces}
        await self.store.commit([Write(TABLE, "config", value)])

    async def hear(self):
        """Have the host ask the store, until all is known and confirmed."""
        for _ in range(2):
            await self.watch.step()

    async def admit(self, key="k", **options):
        return await self.admission.admit("r", key, **options)


def play(scenario, **options):
    asyncio.run(scenario(World(**options)))


def test_a_key_names_its_workspace_and_no_other():
    async def scenario(world):
        await world.write(one=["a", "b"], two=["c"])
        await world.hear()
        grants = [await world.admit(key) for key in "abc"]
        assert [grant.workspace for grant in grants] == ["one", "one", "two"]
        assert await world.admit("d") == UnknownKey()
        assert await world.admit("") == UnknownKey()

    play(scenario)


def test_a_host_without_a_configuration_calls_no_key_unknown():
    async def scenario(world):
        for verdict in (
            await world.admit(""),
            await world.admission.identify("r", "k"),
        ):
            assert isinstance(verdict, CannotTell)

    play(scenario)


def test_a_public_route_needs_no_key_whatever_is_known():
    async def scenario(world):
        await world.write(one=["a"])
        await world.hear()
        world.clock.advance(60)
        assert await world.admit("", public=True) == Grant()

    play(scenario)


def test_a_host_that_hears_nothing_runs_nothing_by_a_key():
    async def scenario(world):
        await world.write(one=["k"])
        await world.hear()
        grant = await world.admit()
        world.store.away = True
        world.clock.advance(4.4)
        assert isinstance(await world.admit(), Grant) and grant.holds
        world.clock.advance(0.2)
        assert isinstance(await world.admit(), CannotTell)
        # What was let in before is not sent on, either.
        assert not grant.holds

    play(scenario)


def test_time_in_which_a_host_was_suspended_counts():
    async def scenario(world):
        await world.write(one=["k"])
        await world.hear()
        grant = await world.admit()
        world.clock.suspended = 6.0
        assert not grant.holds
        world.store.away = True
        assert isinstance(await world.admit(), CannotTell)

    play(scenario)


def test_an_answer_that_took_long_confirms_only_what_was_so_when_it_was_asked():
    async def scenario(world):
        await world.write(one=["k"])
        await world.hear()
        world.store.takes = 5.0
        await world.watch.step()
        world.store.away = True
        assert isinstance(await world.admit(), CannotTell)

    play(scenario)


def test_a_key_that_the_host_does_not_know_yet_is_asked_for_before_it_is_unknown():
    async def scenario(world):
        await world.write(one=["k"])
        await world.hear()
        world.clock.advance(1.0)
        await world.write(one=["k", "new"])
        grant = await world.admit("new")
        assert isinstance(grant, Grant) and grant.workspace == "one"

    play(scenario)


def test_a_flood_of_wrong_keys_costs_the_store_little():
    async def scenario(world):
        await world.write(one=["k"])
        await world.hear()
        before = world.store.calls
        for number in range(1000):
            assert await world.admit(f"wrong-{number}") == UnknownKey()
            world.clock.advance(0.01)
        assert world.store.calls - before <= 20, "two a second"

    play(scenario)


def test_wrong_keys_at_once_share_a_call():
    async def scenario(world):
        await world.write(one=["k"])
        await world.hear()
        world.clock.advance(1.0)
        before = world.store.calls
        await asyncio.gather(*(world.admit(f"wrong-{n}") for n in range(50)))
        assert world.store.calls - before == 1

    play(scenario)


def test_without_the_store_a_wrong_key_is_not_called_unknown():
    async def scenario(world):
        await world.write(one=["k"])
        await world.hear()
        world.store.away = True
        world.clock.advance(1.0)
        verdict = await world.admit("new")
        assert isinstance(verdict, CannotTell) and verdict.retry_after

    play(scenario)


def test_nobody_waits_for_a_store_that_does_not_answer():
    """A host was cut off: each request was held for a second and more, then refused."""

    async def scenario(world):
        await world.write(one=["k"])
        await world.hear()
        asked = asyncio.Event()

        async def silent(table, after, wait):
            asked.set()
            await asyncio.Event().wait()

        world.store.changes = silent
        world.clock.advance(6.0)
        before = asyncio.get_running_loop().time()
        assert isinstance(await world.admit(), CannotTell)
        assert asked.is_set()
        assert asyncio.get_running_loop().time() - before < 0.2
        # Once it is known that the store does not answer, nobody is held up at all.
        world.watch.note_failure("silent")
        asked.clear()
        assert isinstance(await world.admit(), CannotTell)
        assert not asked.is_set()

    own_time.play(lambda: scenario(World()))


def test_a_host_that_was_suspended_asks_before_it_refuses():
    async def scenario(world):
        await world.write(one=["k"])
        await world.hear()
        world.clock.suspended = 30.0
        assert isinstance(await world.admit(), Grant)

    play(scenario)


def test_what_was_accepted_before_is_read_while_nothing_is_heard():
    async def scenario(world):
        await world.write(one=["k"])
        await world.hear()
        world.store.away = True
        world.clock.advance(60)
        assert (await world.admission.identify("r", "k")).workspace == "one"

    play(scenario)


def test_a_copy_that_another_process_read_confirms_nothing():
    async def scenario(world):
        await world.write(one=["k"])

        async def snapshot(table, after=0):
            return Changes(list(world.store.rows.values()), 1, age=0.0)

        world.store.snapshot = snapshot
        world.store.away = True
        await world.watch.step()
        assert world.watch.version == 1
        assert not world.currency.holds

    play(scenario)


def test_a_whole_copy_is_confirmed_soon():
    """A store that forgot its history again and again left all keys unconfirmed."""

    async def scenario(world):
        await world.write(one=["k"])
        waits = []
        changes = world.store.changes

        async def noted(table, after, wait):
            waits.append(wait)
            return await changes(table, after, wait)

        world.store.changes = noted
        await world.hear()
        world.watch.version = -1
        for _ in range(3):
            await world.watch.step()
        assert waits == [POLL_SILENT, POLL_SILENT, POLL]
        assert world.currency.holds

    play(scenario)


def test_changes_that_were_lost_confirm_nothing():
    async def scenario(world):
        await world.write(one=["k"])
        await world.hear()
        confirmed = world.watch.confirmed_at

        async def lost(table, after, wait):
            return HistoryLost()

        world.store.changes = lost
        world.clock.advance(1.0)
        await world.watch.confirm()
        assert world.watch.confirmed_at == confirmed

    play(scenario)


def test_a_configuration_that_cannot_be_read_makes_no_key_good():
    async def scenario(world):
        await world.write(one=["k"])
        await world.hear()
        world.directory.outdated = True
        assert isinstance(await world.admit(), CannotTell)
        await world.write(one=["k"])
        await world.hear()
        assert isinstance(await world.admit(), Grant)

    play(scenario)


def test_where_keys_may_live_on_an_outage_costs_no_request():
    async def scenario(world):
        await world.write(one=["k"])
        await world.hear()
        world.clock.advance(60)
        assert isinstance(await world.admit(), Grant)

    play(scenario, bound=None)


@pytest.mark.parametrize("key", ["", "\ud800", "x" * 10_000])
def test_any_key_has_a_digest(key):
    assert len(key_digest(key)) == 32


class Revocations(RuleBasedStateMachine):
    """No key runs anything later than the bound after it was taken away."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.world = World()
        self.held = []
        self.gone_at = None
        self.do(self.world.write(one=["k"]))

    def do(self, work):
        return self.runner.run(work)

    def teardown(self):
        self.runner.close()

    def now(self):
        return self.world.clock.elapsed()

    @rule(seconds=st.floats(0, 3))
    def wait(self, seconds):
        self.world.clock.advance(seconds)

    @rule(seconds=st.floats(0, 8))
    def suspend(self, seconds):
        self.world.clock.suspended += seconds

    @rule(away=st.booleans(), takes=st.floats(0, 4))
    def trouble_store(self, away, takes):
        self.world.store.away = away
        self.world.store.takes = takes

    @rule()
    def hear(self):
        self.do(self.world.watch.step())

    @rule()
    def take_away(self):
        if self.gone_at is None:
            self.do(self.world.write(one=[]))
            self.gone_at = self.now()

    @rule()
    def ask(self):
        sent = self.now()
        verdict = self.do(self.world.admit())
        if isinstance(verdict, Grant):
            self.held.append(verdict)
            late = self.gone_at is not None and sent > self.gone_at + 5
            assert not late

    @invariant()
    def nothing_held_is_sent_later(self):
        if self.gone_at is not None and self.now() > self.gone_at + 5:
            assert not any(grant.holds for grant in self.held)


Revocations.TestCase.settings = settings(max_examples=300, stateful_step_count=30)
TestRevocations = Revocations.TestCase
