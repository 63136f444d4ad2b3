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
from gypsumshift.watch import MAX_FEED_WAIT, MAX_FEED_WAIT_UNCONFIRMED
from gypsumshift.workspaces import key_digest
from tests import virtual_time
from tests.authorization_builders import AuthorizationHost


def run_scenario(scenario, **options):
    asyncio.run(scenario(AuthorizationHost(**options)))


def test_a_key_grants_its_own_workspace_and_unknown_keys_are_rejected():
    async def scenario(host):
        await host.write(one=["a", "b"], two=["c"])
        await host.refresh()
        grants = [await host.authorize(key) for key in "abc"]
        assert [grant.workspace for grant in grants] == ["one", "one", "two"]
        assert await host.authorize("d") == UnknownKey()
        assert await host.authorize("") == UnknownKey()

    run_scenario(scenario)


def test_a_host_without_a_configuration_cannot_tell_for_any_key():
    async def scenario(host):
        for verdict in (
            await host.authorize(""),
            await host.authorizer.identify("r", "k"),
        ):
            assert isinstance(verdict, CannotTell)

    run_scenario(scenario)


def test_a_public_route_needs_no_key_even_with_an_old_configuration():
    async def scenario(host):
        await host.write(one=["a"])
        await host.refresh()
        host.clock.advance(60)
        assert await host.authorize("", public=True) == Grant()

    run_scenario(scenario)


def test_keys_are_not_accepted_once_the_configuration_is_too_old():
    async def scenario(host):
        await host.write(one=["k"])
        await host.refresh()
        grant = await host.authorize()
        host.store.unavailable = True
        host.clock.advance(4.4)
        assert isinstance(await host.authorize(), Grant) and grant.is_valid
        host.clock.advance(0.2)
        assert isinstance(await host.authorize(), CannotTell)
        # Requests authorized before are not sent any more either.
        assert not grant.is_valid

    run_scenario(scenario)


def test_suspended_time_counts_towards_the_age_of_the_configuration():
    async def scenario(host):
        await host.write(one=["k"])
        await host.refresh()
        grant = await host.authorize()
        host.clock.suspended = 6.0
        assert not grant.is_valid
        host.store.unavailable = True
        assert isinstance(await host.authorize(), CannotTell)

    run_scenario(scenario)


def test_a_slow_answer_of_the_store_confirms_only_the_time_of_the_query():
    async def scenario(host):
        await host.write(one=["k"])
        await host.refresh()
        host.store.delay = 5.0
        await host.watch.poll_once()
        host.store.unavailable = True
        assert isinstance(await host.authorize(), CannotTell)

    run_scenario(scenario)


def test_a_new_key_is_looked_up_in_the_store_before_it_is_rejected():
    async def scenario(host):
        await host.write(one=["k"])
        await host.refresh()
        host.clock.advance(1.0)
        await host.write(one=["k", "new"])
        grant = await host.authorize("new")
        assert isinstance(grant, Grant) and grant.workspace == "one"

    run_scenario(scenario)


def test_a_flood_of_wrong_keys_causes_few_store_calls():
    async def scenario(host):
        await host.write(one=["k"])
        await host.refresh()
        before = host.store.calls
        for number in range(1000):
            assert await host.authorize(f"wrong-{number}") == UnknownKey()
            host.clock.advance(0.01)
        assert host.store.calls - before <= 20, "more than two store calls per second"

    run_scenario(scenario)


def test_concurrent_wrong_keys_share_one_store_call():
    async def scenario(host):
        await host.write(one=["k"])
        await host.refresh()
        host.clock.advance(1.0)
        before = host.store.calls
        await asyncio.gather(*(host.authorize(f"wrong-{n}") for n in range(50)))
        assert host.store.calls - before == 1

    run_scenario(scenario)


def test_a_wrong_key_is_not_rejected_while_the_store_is_unavailable():
    async def scenario(host):
        await host.write(one=["k"])
        await host.refresh()
        host.store.unavailable = True
        host.clock.advance(1.0)
        verdict = await host.authorize("new")
        assert isinstance(verdict, CannotTell) and verdict.retry_after

    run_scenario(scenario)


def test_requests_do_not_wait_for_a_store_that_does_not_answer():
    """At a host without a connection to the store, requests waited over a second."""

    async def scenario(host):
        await host.write(one=["k"])
        await host.refresh()
        asked = asyncio.Event()

        async def silent(table, after, wait):
            asked.set()
            await asyncio.Event().wait()

        host.store.changes = silent
        host.clock.advance(6.0)
        before = asyncio.get_running_loop().time()
        assert isinstance(await host.authorize(), CannotTell)
        assert asked.is_set()
        assert asyncio.get_running_loop().time() - before < 0.2
        # After a failed query, requests do not wait at all.
        host.watch.record_failure("silent")
        asked.clear()
        assert isinstance(await host.authorize(), CannotTell)
        assert not asked.is_set()

    virtual_time.run_in_virtual_time(lambda: scenario(AuthorizationHost()))


def test_a_host_queries_the_store_after_a_suspension_before_it_refuses():
    async def scenario(host):
        await host.write(one=["k"])
        await host.refresh()
        host.clock.suspended = 30.0
        assert isinstance(await host.authorize(), Grant)

    run_scenario(scenario)


def test_callers_are_identified_while_the_store_is_unavailable():
    async def scenario(host):
        await host.write(one=["k"])
        await host.refresh()
        host.store.unavailable = True
        host.clock.advance(60)
        assert (await host.authorizer.identify("r", "k")).workspace == "one"

    run_scenario(scenario)


def test_a_snapshot_read_by_another_process_does_not_confirm_the_configuration():
    async def scenario(host):
        await host.write(one=["k"])

        async def snapshot(table, after=0):
            return Changes(list(host.store.rows.values()), 1, age=0.0)

        host.store.snapshot = snapshot
        host.store.unavailable = True
        await host.watch.poll_once()
        assert host.watch.version == 1
        assert not host.freshness.keys_accepted

    run_scenario(scenario)


def test_a_snapshot_is_confirmed_by_a_short_poll():
    """A store that repeatedly lost its history left all keys unconfirmed."""

    async def scenario(host):
        await host.write(one=["k"])
        waits = []
        changes = host.store.changes

        async def noted(table, after, wait):
            waits.append(wait)
            return await changes(table, after, wait)

        host.store.changes = noted
        await host.refresh()
        host.watch.version = -1
        for _ in range(3):
            await host.watch.poll_once()
        assert waits == [
            MAX_FEED_WAIT_UNCONFIRMED,
            MAX_FEED_WAIT_UNCONFIRMED,
            MAX_FEED_WAIT,
        ]
        assert host.freshness.keys_accepted

    run_scenario(scenario)


def test_lost_history_does_not_confirm_the_configuration():
    async def scenario(host):
        await host.write(one=["k"])
        await host.refresh()
        confirmed = host.watch.confirmed_at

        async def lost(table, after, wait):
            return HistoryLost()

        host.store.changes = lost
        host.clock.advance(1.0)
        await host.watch.confirm()
        assert host.watch.confirmed_at == confirmed

    run_scenario(scenario)


def test_no_key_is_accepted_while_the_configuration_is_unreadable():
    async def scenario(host):
        await host.write(one=["k"])
        await host.refresh()
        host.directory.config_unreadable = True
        assert isinstance(await host.authorize(), CannotTell)
        await host.write(one=["k"])
        await host.refresh()
        assert isinstance(await host.authorize(), Grant)

    run_scenario(scenario)


def test_without_a_bound_keys_are_accepted_during_an_outage():
    async def scenario(host):
        await host.write(one=["k"])
        await host.refresh()
        host.clock.advance(60)
        assert isinstance(await host.authorize(), Grant)

    run_scenario(scenario, bound=None)


@pytest.mark.parametrize("key", ["", "\ud800", "x" * 10_000])
def test_any_text_as_key_has_a_digest(key):
    assert len(key_digest(key)) == 32
