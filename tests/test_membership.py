"""Spread of revisions, leaving and graceful shutdown, over real connections."""

import asyncio
import copy
import json

from gypsumshift.entry import Entry
from gypsumshift.httpclient import Fetcher
from gypsumshift.membership import Membership
from gypsumshift.outcomes import Answered, NotRun, Unknown
from gypsumshift.platforms import Host

from . import builders, system
from .system import HOST, wait_until


def changed(source, timeout):
    """Return declarations with another timeout for workspace w."""
    value = copy.deepcopy(source)
    value["workspaces"][0]["parameters"] = {"timeout": timeout}
    return value


async def apply(sys, base, timeout, entry=0, token="t"):
    """Apply declarations through an entry's operator port; return the status."""
    value = {"base": base, "declarations": changed(sys.source, timeout)}
    value |= {"author": "a", "message": "m", "token": f"{token}{entry}{timeout}"}
    address = sys.entries[entry].operator_address
    body = json.dumps(value).encode()
    return (await Fetcher().fetch(address, "POST", "/v1/apply", [], body)).status


def active_everywhere(sys, number):
    """Return whether a revision is active in every running process."""
    processes = [*sys.entries, *sys.sidecars.values()]
    return all(
        p.active_revision.number >= number for p in processes if not p.stopped.is_set()
    )


def test_an_accepted_revision_spreads_while_the_platform_is_down():
    async def work(sys):
        assert await apply(sys, 1, 3.0) == 200
        sys.tables.down = True
        await wait_until(lambda: active_everywhere(sys, 2))
        timeouts = {
            e.active_revision.catalog.workspaces["w"].timeout for e in sys.entries
        }
        assert timeouts == {3.0}

    system.run(work, entries=2)


def test_concurrent_applies_get_one_acceptance_and_one_conflict():
    async def work(sys):
        statuses = await asyncio.gather(
            apply(sys, 1, 3.0, entry=0), apply(sys, 1, 4.0, entry=1)
        )
        assert sorted(statuses) == [200, 409]
        await wait_until(lambda: active_everywhere(sys, 2))
        timeouts = {
            e.active_revision.catalog.workspaces["w"].timeout for e in sys.entries
        }
        assert len(timeouts) == 1

    system.run(work, entries=2)


def test_a_rejected_apply_adds_no_revision():
    async def work(sys):
        assert await apply(sys, 1, -1) == 422
        assert await sys.entries[0].revision_history.read_newest_number() == 1

    system.run(work)


def test_processes_replaced_during_a_change_start_with_the_new_revision():
    async def work(sys):
        assert await apply(sys, 1, 3.0) == 200
        await asyncio.gather(
            sys.replace_sidecar("model-0"),
            sys.replace_sidecar("shop-1"),
            sys.add_entry("entry-9"),
        )
        await wait_until(lambda: active_everywhere(sys, 2))

    system.run(work, services=2, entries=2)


def test_a_reconnected_process_gets_the_newest_revision_and_never_reverts():
    async def work(sys):
        sidecar = sys.sidecars["shop-0"]
        port, sidecar.member.port = sidecar.member.port, 9
        sidecar.heartbeat_addresses = lambda: []
        for entry in sys.entries:
            entry.close_connection((HOST, port))
            entry.membership.peers[sidecar.member.name].member.port = 9
        sidecar.is_poller = lambda: False
        for number, timeout in ((1, 3.0), (2, 4.0)):
            assert await apply(sys, number, timeout) == 200
        await wait_until(lambda: sys.entries[0].active_revision.number == 3)
        assert sidecar.active_revision.number == 1
        del sidecar.heartbeat_addresses
        sidecar.member.port = port
        seen = []
        activate = sidecar.active_revision.activate_if_newer
        sidecar.active_revision.activate_if_newer = lambda n, text: (
            seen.append(n) or activate(n, text)
        )
        sidecar.heartbeats.wake.set()
        await wait_until(lambda: sidecar.active_revision.number == 3)
        assert seen == sorted(seen)

    system.run(work, engines=0)


def test_a_new_entry_answers_503_until_it_has_a_revision():
    async def work(sys):
        sys.tables.down = True
        settings = sys.settings("entry-new", "entry")
        settings.seeds = []
        async with Entry(settings, sys.platform) as alone:
            health = await Fetcher().fetch(alone.caller_address, "GET", "/health")
            assert health.status == 503
            answer = await Fetcher().fetch(
                alone.caller_address, "GET", "/w/services/shop/x"
            )
            assert answer.status == 503
            assert json.loads(answer.body)["outcome"] == "not run"
        fresh = await sys.add_entry("entry-late")
        await wait_until(lambda: fresh.active_revision.ready)
        assert fresh.active_revision.number == 1

    system.run(work)


def test_requests_avoid_a_leaving_sidecar_before_the_host_list_shows_it():
    async def work(sys):
        sys.sidecars["shop-0"].start_leaving("test")
        async with sys.client() as client:
            for _ in range(10):
                result = await client.call_once("GET", "/services/shop/x", [], b"", 5.0)
                assert isinstance(result, Answered)
        assert sum(sys.services[0].runs.values()) == 0

    system.run(work, engines=0, services=2)


def test_a_backend_server_gets_no_request_after_its_sidecar_stopped():
    async def work(sys):
        await sys.sidecars["shop-0"].stop()
        async with sys.client() as client:
            headers = [("request-id", "x")]
            path = "/services/shop/sales"
            result = await client.call_once("POST", path, headers, b"", 5.0)
            assert isinstance(result, NotRun)
        assert sys.run_counts() == {}

    system.run(work, engines=0)


def test_the_host_list_marks_only_the_process_at_the_listed_address():
    clock = builders.ManualClock()
    membership = Membership(builders.member("me"), clock)
    membership.merge_member(builders.member("sidecar-a", port=5))
    membership.apply_host_list([Host("sidecar-a", f"{HOST}:4", "here", leaving=True)])
    assert len(membership.sidecars("pool")) == 1
    membership.apply_host_list([Host("sidecar-a", f"{HOST}:5", "here", leaving=True)])
    assert not membership.sidecars("pool")
    membership.merge_member(builders.member("sidecar-a", port=6, incarnation=2))
    assert len(membership.sidecars("pool")) == 1


def test_a_description_of_an_earlier_incarnation_is_ignored():
    membership = Membership(builders.member("me"), builders.ManualClock())
    membership.merge_member(builders.member("sidecar-a", incarnation=2, port=6))
    assert (
        membership.merge_member(builders.member("sidecar-a", incarnation=1, port=5))
        is None
    )
    assert membership.peers["sidecar-a"].member.port == 6


def test_a_draining_entry_finishes_its_streams():
    async def work(sys):
        entry, engine = sys.entries[0], sys.engines[0]
        engine.step_timing.base_s = 0.01
        async with sys.client(entry=0) as client:
            body = {"prompt": "p", "max_tokens": 150, "stream": True}
            call = asyncio.create_task(client.call("POST", "/v1/completions", body))
            await wait_until(lambda: engine.running)
            leaving = asyncio.create_task(entry.drain(20))
            await wait_until(lambda: entry.member.leaving)
            await entry.drain(20)
            health = await Fetcher().fetch(entry.caller_address, "GET", "/health")
            assert health.status == 503
            answer = await call
            assert answer.body.count(b"data: {") == 150
            assert answer.body.endswith(b"data: [DONE]\n\n")
            await leaving
            assert entry.stopped.is_set()

    system.run(work, services=0)


def test_a_stream_open_at_the_drain_deadline_is_cut_and_its_outcome_unknown():
    async def work(sys):
        entry, engine = sys.entries[0], sys.engines[0]
        async with sys.client(entry=0) as client:
            body = json.dumps({"prompt": "p", "max_tokens": 10**6, "stream": True})
            call = asyncio.create_task(
                client.call_once("POST", "/v1/completions", [], body.encode(), 30)
            )
            await wait_until(lambda: engine.running)
            await entry.drain(0.05)
            assert isinstance(await call, Unknown)

    system.run(work, services=0)


def test_no_request_fails_while_all_processes_are_replaced_under_load():
    async def work(sys):
        outcomes, done = [], asyncio.Event()

        async def load(number):
            async with sys.client() as client:
                while not done.is_set():
                    client.addresses = [
                        e.caller_address for e in sys.entries if not e.member.leaving
                    ]
                    path = f"/services/shop/{number}"
                    outcomes.append(await client.call("GET", path))

        callers = [asyncio.create_task(load(n)) for n in range(4)]
        for backend in ("shop-0", "shop-1"):
            old = sys.sidecars[backend]
            await old.drain(5)
            await sys.replace_sidecar(backend)
        for number in range(2):
            old = sys.entries[number]
            new = await sys.add_entry(f"entry-new-{number}")
            await wait_until(
                lambda new=new: new.active_revision.ready and sys.has_converged()
            )
            await old.drain(5)
            await old.stop()
        done.set()
        await asyncio.gather(*callers)
        assert len(outcomes) > 100
        assert all(isinstance(o, Answered) and o.status == 200 for o in outcomes)

    system.run(work, engines=0, services=2, entries=2)


def test_a_silent_process_is_removed_after_the_retention_time():
    clock = builders.ManualClock()
    membership = Membership(builders.member("me"), clock)
    membership.apply_heartbeat(builders.member("sidecar-a"), 1, builders.load())
    clock.advance(31)
    membership.remove_stale_peers()
    assert not membership.peers


def test_a_process_restarted_in_another_pool_is_listed_in_that_one_only():
    membership = Membership(builders.member("me"), builders.ManualClock())
    membership.merge_member(builders.member("sidecar-a", pool="one"))
    membership.merge_member(builders.member("sidecar-a", pool="two", incarnation=2))
    assert not membership.sidecars("one") and len(membership.sidecars("two")) == 1


def test_only_peers_that_called_recently_are_recent_callers():
    clock = builders.ManualClock()
    membership = Membership(builders.member("me"), clock)
    membership.merge_member(builders.member("sidecar-a"))
    membership.merge_member(builders.member("sidecar-b"))
    membership.record_call("sidecar-a")
    assert [peer.member.name for peer in membership.recent_callers()] == ["sidecar-a"]
    clock.advance(60)
    assert not membership.recent_callers()


def test_a_sidecar_that_no_entry_sends_heartbeats_to_gets_a_revision_at_once():
    async def work(sys):
        entry = sys.entries[0]
        entry.heartbeat_addresses = lambda: []
        for process in (entry, *sys.sidecars.values()):
            process.heartbeat_period = 3600.0
        await wait_until(lambda: len(entry.membership.recent_callers()) == 2)
        assert await apply(sys, 1, 3.0) == 200
        await wait_until(lambda: active_everywhere(sys, 2))

    system.run(work)
