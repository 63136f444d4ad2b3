"""Configuration everywhere, leaving, and graceful shutdown, over real links."""

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
    """Apply through an entry's operator face; return the status."""
    value = {"base": base, "declarations": changed(sys.source, timeout)}
    value |= {"author": "a", "message": "m", "token": f"{token}{entry}{timeout}"}
    address = sys.entries[entry].operator_address
    body = json.dumps(value).encode()
    return (await Fetcher().fetch(address, "POST", "/v1/apply", [], body)).status


def everywhere(sys, number):
    """Tell whether a revision is in force in every process that runs."""
    processes = [*sys.entries, *sys.sidecars.values()]
    return all(
        p.active_revision.number >= number for p in processes if not p.stopped.is_set()
    )


def test_an_accepted_revision_spreads_with_the_platform_down():
    async def work(sys):
        assert await apply(sys, 1, 3.0) == 200
        sys.tables.down = True
        await wait_until(lambda: everywhere(sys, 2))
        timeouts = {
            e.active_revision.catalog.workspaces["w"].timeout for e in sys.entries
        }
        assert timeouts == {3.0}

    system.run(work, entries=2)


def test_racing_operators_get_one_acceptance_and_one_conflict():
    async def work(sys):
        statuses = await asyncio.gather(
            apply(sys, 1, 3.0, entry=0), apply(sys, 1, 4.0, entry=1)
        )
        assert sorted(statuses) == [200, 409]
        await wait_until(lambda: everywhere(sys, 2))
        timeouts = {
            e.active_revision.catalog.workspaces["w"].timeout for e in sys.entries
        }
        assert len(timeouts) == 1

    system.run(work, entries=2)


def test_a_rejected_apply_is_not_accepted_anywhere():
    async def work(sys):
        assert await apply(sys, 1, -1) == 422
        assert await sys.entries[0].revision_history.read_newest_number() == 1

    system.run(work)


def test_processes_replaced_during_a_change_come_up_with_it():
    async def work(sys):
        assert await apply(sys, 1, 3.0) == 200
        await asyncio.gather(
            sys.replace_sidecar("model-0"),
            sys.replace_sidecar("shop-1"),
            sys.add_entry("entry-9"),
        )
        await wait_until(lambda: everywhere(sys, 2))

    system.run(work, services=2, entries=2)


def test_a_process_cut_off_comes_back_to_the_newest_and_never_reverts():
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


def test_an_empty_process_serves_only_once_it_has_a_revision():
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


def test_a_late_host_list_does_not_matter_where_the_sidecar_refuses():
    async def work(sys):
        sys.sidecars["shop-0"].start_leaving("told to")
        async with sys.client() as client:
            for _ in range(10):
                result = await client.call_once("GET", "/services/shop/x", [], b"", 5.0)
                assert isinstance(result, Answered)
        assert sum(sys.services[0].runs.values()) == 0

    system.run(work, engines=0, services=2)


def test_a_dead_sidecar_gets_its_backend_server_no_work():
    async def work(sys):
        await sys.sidecars["shop-0"].stop()
        async with sys.client() as client:
            headers = [("request-id", "x")]
            path = "/services/shop/sales"
            result = await client.call_once("POST", path, headers, b"", 5.0)
            assert isinstance(result, NotRun)
        assert sys.run_counts() == {}

    system.run(work, engines=0)


def test_the_host_list_marks_only_the_very_address():
    clock = builders.ManualClock()
    view = Membership(builders.member("me"), clock)
    view.merge_member(builders.member("sidecar-a", port=5))
    view.apply_host_list([Host("sidecar-a", f"{HOST}:4", "here", leaving=True)])
    assert len(view.sidecars("pool")) == 1
    view.apply_host_list([Host("sidecar-a", f"{HOST}:5", "here", leaving=True)])
    assert not view.sidecars("pool")
    view.merge_member(builders.member("sidecar-a", port=6, incarnation=2))
    assert len(view.sidecars("pool")) == 1


def test_old_news_of_a_replaced_process_is_dropped():
    view = Membership(builders.member("me"), builders.ManualClock())
    view.merge_member(builders.member("sidecar-a", incarnation=2, port=6))
    assert (
        view.merge_member(builders.member("sidecar-a", incarnation=1, port=5)) is None
    )
    assert view.peers["sidecar-a"].member.port == 6


def test_an_entry_that_leaves_finishes_its_streams_first():
    async def work(sys):
        entry, engine = sys.entries[0], sys.engines[0]
        engine.speed.step = 0.01
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


def test_a_drain_deadline_cuts_what_never_ends_and_says_so():
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


def test_everything_is_replaced_under_load_and_no_request_is_cut():
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


def test_a_system_forgets_a_process_that_is_gone_for_good():
    clock = builders.ManualClock()
    view = Membership(builders.member("me"), clock)
    view.apply_heartbeat(builders.member("sidecar-a"), 1, builders.load())
    clock.advance(31)
    view.remove_stale_peers()
    assert not view.peers


def test_a_process_that_comes_back_in_another_pool_is_in_that_one_only():
    view = Membership(builders.member("me"), builders.ManualClock())
    view.merge_member(builders.member("sidecar-a", pool="one"))
    view.merge_member(builders.member("sidecar-a", pool="two", incarnation=2))
    assert not view.sidecars("one") and len(view.sidecars("two")) == 1


def test_news_goes_back_to_those_that_only_call():
    clock = builders.ManualClock()
    view = Membership(builders.member("me"), clock)
    view.merge_member(builders.member("sidecar-a"))
    view.merge_member(builders.member("sidecar-b"))
    view.record_call("sidecar-a")
    assert [known.member.name for known in view.recent_callers()] == ["sidecar-a"]
    clock.advance(60)
    assert not view.recent_callers()


def test_a_sidecar_outside_every_subset_gets_a_revision_at_once():
    async def work(sys):
        entry = sys.entries[0]
        entry.heartbeat_addresses = lambda: []
        for process in (entry, *sys.sidecars.values()):
            process.heartbeat_period = 3600.0
        await wait_until(lambda: len(entry.membership.recent_callers()) == 2)
        assert await apply(sys, 1, 3.0) == 200
        await wait_until(lambda: everywhere(sys, 2))

    system.run(work)
