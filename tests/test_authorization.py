"""Authorization of requests by key and by the age of the configuration.

Guards against two failures. A host that lost the store, or was suspended, continued to
run requests whose keys had been revoked. A host that had not yet received a new key
rejected it as unknown, so that the caller never retried.
"""

import asyncio

import pytest

from gypsumshift.outcomes import CannotTell
from gypsumshift.platforms import Changes, HistoryLost
from gypsumshift.serving.authorization import Grant, UnknownKey
from gypsumshift.watch import POLL, POLL_SILENT
from gypsumshift.workspaces import key_digest
from tests import own_time
from tests.authorization_world import AuthorizationWorld


def play(scenario, **options):
    asyncio.run(scenario(AuthorizationWorld(**options)))


def test_a_key_grants_its_own_workspace_and_unknown_keys_are_rejected():
    async def scenario(world):
        await world.write(one=["a", "b"], two=["c"])
        await world.refresh()
        grants = [await world.authorize(key) for key in "abc"]
        assert [grant.workspace for grant in grants] == ["one", "one", "two"]
        assert await world.authorize("d") == UnknownKey()
        assert await world.authorize("") == UnknownKey()

    play(scenario)


def test_a_host_without_a_configuration_cannot_tell_for_any_key():
    async def scenario(world):
        for verdict in (
            await world.authorize(""),
            await world.authorizer.identify("r", "k"),
        ):
            assert isinstance(verdict, CannotTell)

    play(scenario)


def test_a_public_route_needs_no_key_even_with_an_old_configuration():
    async def scenario(world):
        await world.write(one=["a"])
        await world.refresh()
        world.clock.advance(60)
        assert await world.authorize("", public=True) == Grant()

    play(scenario)


def test_keys_are_not_accepted_once_the_configuration_is_too_old():
    async def scenario(world):
        await world.write(one=["k"])
        await world.refresh()
        grant = await world.authorize()
        world.store.unavailable = True
        world.clock.advance(4.4)
        assert isinstance(await world.authorize(), Grant) and grant.is_valid
        world.clock.advance(0.2)
        assert isinstance(await world.authorize(), CannotTell)
        # Requests authorized before are not sent any more either.
        assert not grant.is_valid

    play(scenario)


def test_suspended_time_counts_towards_the_age_of_the_configuration():
    async def scenario(world):
        await world.write(one=["k"])
        await world.refresh()
        grant = await world.authorize()
        world.clock.suspended = 6.0
        assert not grant.is_valid
        world.store.unavailable = True
        assert isinstance(await world.authorize(), CannotTell)

    play(scenario)


def test_a_slow_answer_of_the_store_confirms_only_the_time_of_the_query():
    async def scenario(world):
        await world.write(one=["k"])
        await world.refresh()
        world.store.delay = 5.0
        await world.watch.step()
        world.store.unavailable = True
        assert isinstance(await world.authorize(), CannotTell)

    play(scenario)


def test_a_new_key_is_looked_up_in_the_store_before_it_is_rejected():
    async def scenario(world):
        await world.write(one=["k"])
        await world.refresh()
        world.clock.advance(1.0)
        await world.write(one=["k", "new"])
        grant = await world.authorize("new")
        assert isinstance(grant, Grant) and grant.workspace == "one"

    play(scenario)


def test_a_flood_of_wrong_keys_causes_few_store_calls():
    async def scenario(world):
        await world.write(one=["k"])
        await world.refresh()
        before = world.store.calls
        for number in range(1000):
            assert await world.authorize(f"wrong-{number}") == UnknownKey()
            world.clock.advance(0.01)
        assert world.store.calls - before <= 20, "more than two store calls per second"

    play(scenario)


def test_concurrent_wrong_keys_share_one_store_call():
    async def scenario(world):
        await world.write(one=["k"])
        await world.refresh()
        world.clock.advance(1.0)
        before = world.store.calls
        await asyncio.gather(*(world.authorize(f"wrong-{n}") for n in range(50)))
        assert world.store.calls - before == 1

    play(scenario)


def test_a_wrong_key_is_not_rejected_while_the_store_is_unavailable():
    async def scenario(world):
        await world.write(one=["k"])
        await world.refresh()
        world.store.unavailable = True
        world.clock.advance(1.0)
        verdict = await world.authorize("new")
        assert isinstance(verdict, CannotTell) and verdict.retry_after

    play(scenario)


def test_requests_do_not_wait_for_a_store_that_does_not_answer():
    """At a host without a connection to the store, requests waited over a second."""

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
        # After a failed query, requests do not wait at all.
        world.watch.note_failure("silent")
        asked.clear()
        assert isinstance(await world.authorize(), CannotTell)
        assert not asked.is_set()

    own_time.play(lambda: scenario(AuthorizationWorld()))


def test_a_host_queries_the_store_after_a_suspension_before_it_refuses():
    async def scenario(world):
        await world.write(one=["k"])
        await world.refresh()
        world.clock.suspended = 30.0
        assert isinstance(await world.authorize(), Grant)

    play(scenario)


def test_callers_are_identified_while_the_store_is_unavailable():
    async def scenario(world):
        await world.write(one=["k"])
        await world.refresh()
        world.store.unavailable = True
        world.clock.advance(60)
        assert (await world.authorizer.identify("r", "k")).workspace == "one"

    play(scenario)


def test_a_snapshot_read_by_another_process_does_not_confirm_the_configuration():
    async def scenario(world):
        await world.write(one=["k"])

        async def snapshot(table, after=0):
            return Changes(list(world.store.rows.values()), 1, age=0.0)

        world.store.snapshot = snapshot
        world.store.unavailable = True
        await world.watch.step()
        assert world.watch.version == 1
        assert not world.freshness.keys_accepted

    play(scenario)


def test_a_snapshot_is_confirmed_by_a_short_poll():
    """A store that repeatedly lost its history left all keys unconfirmed."""

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
            await world.watch.step()
        assert waits == [POLL_SILENT, POLL_SILENT, POLL]
        assert world.freshness.keys_accepted

    play(scenario)


def test_lost_history_does_not_confirm_the_configuration():
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


def test_no_key_is_accepted_while_the_configuration_is_unreadable():
    async def scenario(world):
        await world.write(one=["k"])
        await world.refresh()
        world.directory.config_unreadable = True
        assert isinstance(await world.authorize(), CannotTell)
        await world.write(one=["k"])
        await world.refresh()
        assert isinstance(await world.authorize(), Grant)

    play(scenario)


def test_without_a_bound_keys_are_accepted_during_an_outage():
    async def scenario(world):
        await world.write(one=["k"])
        await world.refresh()
        world.clock.advance(60)
        assert isinstance(await world.authorize(), Grant)

    play(scenario, bound=None)


@pytest.mark.parametrize("key", ["", "\ud800", "x" * 10_000])
def test_any_text_as_key_has_a_digest(key):
    assert len(key_digest(key)) == 32
