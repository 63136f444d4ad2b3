"""Whether a request may run, by its key and by what this host can know of it.

Callers carry keys of workspaces. A host that was cut from the store, or suspended, went
on running requests whose keys had been taken away everywhere else; a host that did not
know a new key yet called it unknown, and its caller never came back.
"""

import asyncio

import pytest

from gypsumshift.outcomes import CannotTell
from gypsumshift.platforms import Changes, HistoryLost
from gypsumshift.serving.authorization import Grant, UnknownKey
from gypsumshift.watch import MAX_FEED_WAIT, MAX_FEED_WAIT_UNCONFIRMED
from gypsumshift.workspaces import key_digest
from tests import own_time
from tests.authorization_world import AuthorizationWorld


def play(scenario, **options):
    asyncio.run(scenario(AuthorizationWorld(**options)))


def test_a_key_names_its_workspace_and_no_other():
    async def scenario(world):
        await world.write(one=["a", "b"], two=["c"])
        await world.refresh()
        grants = [await world.authorize(key) for key in "abc"]
        assert [grant.workspace for grant in grants] == ["one", "one", "two"]
        assert await world.authorize("d") == UnknownKey()
        assert await world.authorize("") == UnknownKey()

    play(scenario)


def test_a_host_without_a_configuration_calls_no_key_unknown():
    async def scenario(world):
        for verdict in (
            await world.authorize(""),
            await world.authorizer.identify("r", "k"),
        ):
            assert isinstance(verdict, CannotTell)

    play(scenario)


def test_a_public_route_needs_no_key_whatever_is_known():
    async def scenario(world):
        await world.write(one=["a"])
        await world.refresh()
        world.clock.advance(60)
        assert await world.authorize("", public=True) == Grant()

    play(scenario)


def test_a_host_that_hears_nothing_runs_nothing_by_a_key():
    async def scenario(world):
        await world.write(one=["k"])
        await world.refresh()
        grant = await world.authorize()
        world.store.away = True
        world.clock.advance(4.4)
        assert isinstance(await world.authorize(), Grant) and grant.is_valid
        world.clock.advance(0.2)
        assert isinstance(await world.authorize(), CannotTell)
        # What was let in before is not sent on, either.
        assert not grant.is_valid

    play(scenario)


def test_time_in_which_a_host_was_suspended_counts():
    async def scenario(world):
        await world.write(one=["k"])
        await world.refresh()
        grant = await world.authorize()
        world.clock.suspended = 6.0
        assert not grant.is_valid
        world.store.away = True
        assert isinstance(await world.authorize(), CannotTell)

    play(scenario)


def test_an_answer_that_took_long_confirms_only_what_was_so_when_it_was_asked():
    async def scenario(world):
        await world.write(one=["k"])
        await world.refresh()
        world.store.takes = 5.0
        await world.watch.poll_once()
        world.store.away = True
        assert isinstance(await world.authorize(), CannotTell)

    play(scenario)


def test_a_key_that_the_host_does_not_know_yet_is_asked_for_before_it_is_unknown():
    async def scenario(world):
        await world.write(one=["k"])
        await world.refresh()
        world.clock.advance(1.0)
        await world.write(one=["k", "new"])
        grant = await world.authorize("new")
        assert isinstance(grant, Grant) and grant.workspace == "one"

    play(scenario)


def test_a_flood_of_wrong_keys_costs_the_store_little():
    async def scenario(world):
        await world.write(one=["k"])
        await world.refresh()
        before = world.store.calls
        for number in range(1000):
            assert await world.authorize(f"wrong-{number}") == UnknownKey()
            world.clock.advance(0.01)
        assert world.store.calls - before <= 20, "two a second"

    play(scenario)


def test_wrong_keys_at_once_share_a_call():
    async def scenario(world):
        await world.write(one=["k"])
        await world.refresh()
        world.clock.advance(1.0)
        before = world.store.calls
        await asyncio.gather(*(world.authorize(f"wrong-{n}") for n in range(50)))
        assert world.store.calls - before == 1

    play(scenario)


def test_without_the_store_a_wrong_key_is_not_called_unknown():
    async def scenario(world):
        await world.write(one=["k"])
        await world.refresh()
        world.store.away = True
        world.clock.advance(1.0)
        verdict = await world.authorize("new")
        assert isinstance(verdict, CannotTell) and verdict.retry_after

    play(scenario)


def test_nobody_waits_for_a_store_that_does_not_answer():
    """A host was cut off: each request was held for a second and more, then refused."""

    async def scenario(world):
        await world.write(one=["k"])
        await world.refresh()
        asked = asyncio.Event()

        async def silent(table, after, wait):
            asked.set()
            await asyncio.Event().wait()

        world.store.changes = silent
        world.clock.advance(6.0)
        before = asyncio.get_running_loop().time()
        assert isinstance(await world.authorize(), CannotTell)
        assert asked.is_set()
        assert asyncio.get_running_loop().time() - before < 0.2
        # Once it is known that the store does not answer, nobody is held up at all.
        world.watch.record_failure("silent")
        asked.clear()
        assert isinstance(await world.authorize(), CannotTell)
        assert not asked.is_set()

    own_time.play(lambda: scenario(AuthorizationWorld()))


def test_a_host_that_was_suspended_asks_before_it_refuses():
    async def scenario(world):
        await world.write(one=["k"])
        await world.refresh()
        world.clock.suspended = 30.0
        assert isinstance(await world.authorize(), Grant)

    play(scenario)


def test_what_was_accepted_before_is_read_while_nothing_is_heard():
    async def scenario(world):
        await world.write(one=["k"])
        await world.refresh()
        world.store.away = True
        world.clock.advance(60)
        assert (await world.authorizer.identify("r", "k")).workspace == "one"

    play(scenario)


def test_a_copy_that_another_process_read_confirms_nothing():
    async def scenario(world):
        await world.write(one=["k"])

        async def snapshot(table, after=0):
            return Changes(list(world.store.rows.values()), 1, age=0.0)

        world.store.snapshot = snapshot
        world.store.away = True
        await world.watch.poll_once()
        assert world.watch.version == 1
        assert not world.freshness.keys_accepted

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
        await world.refresh()
        world.watch.version = -1
        for _ in range(3):
            await world.watch.poll_once()
        assert waits == [
            MAX_FEED_WAIT_UNCONFIRMED,
            MAX_FEED_WAIT_UNCONFIRMED,
            MAX_FEED_WAIT,
        ]
        assert world.freshness.keys_accepted

    play(scenario)


def test_changes_that_were_lost_confirm_nothing():
    async def scenario(world):
        await world.write(one=["k"])
        await world.refresh()
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
        await world.refresh()
        world.directory.config_unreadable = True
        assert isinstance(await world.authorize(), CannotTell)
        await world.write(one=["k"])
        await world.refresh()
        assert isinstance(await world.authorize(), Grant)

    play(scenario)


def test_where_keys_may_live_on_an_outage_costs_no_request():
    async def scenario(world):
        await world.write(one=["k"])
        await world.refresh()
        world.clock.advance(60)
        assert isinstance(await world.authorize(), Grant)

    play(scenario, bound=None)


@pytest.mark.parametrize("key", ["", "\ud800", "x" * 10_000])
def test_any_key_has_a_digest(key):
    assert len(key_digest(key)) == 32
