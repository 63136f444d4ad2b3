"""Complete answers, reliable outcomes and at-most-once runs over real connections."""

import asyncio

import pytest

from gypsumshift.outcomes import Answered, NotRun, Unknown

from . import system
from .system import HOST, Relay, wait_until

BUY = ("POST", "/services/shop/sales")


def once(client, method, path, **options):
    """Call once through one entry host, without the client's own retries."""
    fields = [("request-id", options.pop("id", "x"))]
    if "key" in options:
        fields.append(("idempotency-key", options.pop("key")))
    return client.call_once(method, path, fields, b"{}", 8.0)


def test_an_answer_that_is_cut_off_has_an_unknown_outcome():
    async def work(sys):
        sys.services[0].faults.cut = 1
        async with sys.client() as client:
            result = await once(client, *BUY, id="one")
            assert isinstance(result, Unknown)
            assert sys.run_counts() == {"one": 1}

    system.run(work, engines=0)


def test_a_repeatable_request_is_retried_at_another_server_after_a_cut():
    async def work(sys):
        for service in sys.services:
            service.faults.cut = 1
        sys.services[1].faults.cut = 0
        async with sys.client() as client:
            results = [await once(client, "GET", "/services/shop/x") for _ in range(4)]
            assert all(isinstance(result, Answered) for result in results)

    system.run(work, engines=0, services=2)


def test_a_request_is_not_run_if_the_backend_server_refuses_connections():
    async def work(sys):
        await sys.services[0].server.stop(0)
        async with sys.client() as client:
            result = await once(client, *BUY, id="one")
            assert isinstance(result, NotRun)
            assert sys.run_counts() == {}

    system.run(work, engines=0)


@pytest.mark.parametrize("dies", [False, True])
@pytest.mark.parametrize("direction", ["cut_after_sent", "cut_after_received"])
def test_outcomes_are_true_with_the_link_cut_after_any_byte(
    direction, dies, monkeypatch
):
    """The link is cut after each number of bytes up to 420, in either direction."""
    monkeypatch.setattr("gypsumshift.dispatch.BAR_RETRY_PAUSE_S", 0.001)

    async def work(sys):
        sidecar, entry = sys.sidecars["shop-0"], sys.entries[0]
        relay = await Relay(sidecar.member.port).start()
        sidecar.member.port = relay.port
        await wait_until(
            lambda: entry.membership.peers[sidecar.member.name].address[1] == relay.port
        )
        entry.heartbeat_period = sidecar.heartbeat_period = 3600.0
        seen = set()
        async with sys.client() as client:
            for count in range(420):
                entry.close_connection((HOST, relay.port))
                relay.refuses, relay.refuses_after_cut = False, dies
                setattr(relay, direction, count)
                name = f"r{count}"
                result = await once(client, *BUY, id=name)
                setattr(relay, direction, None)
                runs = sys.run_counts().get(name, 0)
                assert runs <= 1
                if isinstance(result, Answered):
                    assert runs == 1 and name.encode() in result.body
                elif isinstance(result, NotRun):
                    assert runs == 0
                seen.add(type(result))
        expected = {(True, "cut_after_sent"): {Answered, Unknown}}
        expected[True, "cut_after_received"] = {Answered, Unknown}
        expected[False, "cut_after_sent"] = {Answered, NotRun}
        # Once the link is back, a lost answer is fetched from the sidecar's memory, and
        # the entry waits for a request that still runs.
        expected[False, "cut_after_received"] = {Answered}
        assert seen == expected[dies, direction]

    system.run(work, engines=0)


def test_a_late_answer_is_dropped_and_not_returned_to_later_requests():
    async def work(sys):
        service = sys.services[0]
        async with sys.client() as client:
            service.faults.slow = 400.0
            wait = [("prefer", "wait=0.1"), ("request-id", "late")]
            result = await client.call_once(
                "GET", "/services/shop/late", wait, b"", 8.0
            )
            assert not isinstance(result, Answered)
            service.faults.slow = 1.0
            for number in range(20):
                path = f"/services/shop/{number}"
                answer = await client.call("GET", path)
                assert f'"path": "/{number}"'.encode() in answer.body

    system.run(work, engines=0)


def test_concurrent_requests_each_get_their_own_answer():
    async def work(sys):
        sys.services[0].spread = 1.0
        async with sys.client("w") as one, sys.client("v") as two:
            calls = [
                (one if n % 2 else two).call("GET", f"/services/shop/{n}")
                for n in range(12)
            ]
            answers = await asyncio.gather(*calls)
        for number, answer in enumerate(answers):
            assert f'"path": "/{number}"'.encode() in answer.body

    system.run(work, engines=0, services=2)


def test_a_disconnected_caller_frees_its_slot():
    async def work(sys):
        engine = sys.engines[0]
        engine.step_timing.base_s = 0.01
        async with sys.client() as client:
            body = {"prompt": "p", "max_tokens": 100000}
            call = asyncio.create_task(client.call("POST", "/v1/completions", body))
            await wait_until(lambda: engine.running)
            call.cancel()
            await wait_until(lambda: all(s.closed for s in engine.running))
            await wait_until(
                lambda: sys.sidecars["model-0"].attempt_runner.admission.running == 0
            )

    system.run(work, services=0)


def test_a_broken_stream_has_an_unknown_outcome_at_the_caller():
    async def work(sys):
        sys.engines[0].faults.break_streams = 1
        async with sys.client() as client:
            body = b'{"prompt": "p", "max_tokens": 20, "stream": true}'
            result = await client.call_once("POST", "/v1/completions", [], body, 8.0)
            assert isinstance(result, Unknown)

    system.run(work, services=0)


def test_a_keyed_request_is_replayed_after_its_entry_stopped():
    async def work(sys):
        service = sys.services[0]
        service.faults.slow = 100.0
        async with sys.client(entry=0) as first, sys.client(entry=1) as second:
            options = {"id": "k", "key": "k"}
            call = asyncio.create_task(once(first, *BUY, **dict(options)))
            await wait_until(lambda: sys.run_counts())
            await sys.entries[0].stop()
            assert not isinstance(await call, Answered)
            service.faults.slow = 1.0
            again = await once(second, *BUY, **dict(options))
            assert isinstance(again, Answered) and again.status == 200
            assert again.header("idempotency-replayed") == "true"
        assert sys.run_counts() == {"k": 1}

    system.run(work, engines=0, entries=2)


def test_a_keyed_request_stays_unknown_if_its_sidecar_was_replaced():
    async def work(sys):
        service = sys.services[0]
        service.faults.slow = 1000.0
        async with sys.client() as client:
            call = asyncio.create_task(once(client, *BUY, id="k", key="k"))
            await wait_until(lambda: sys.run_counts())
            await sys.replace_sidecar("shop-0")
            assert isinstance(await call, Unknown)
            service.faults.slow = 1.0
            assert isinstance(await once(client, *BUY, id="k", key="k"), Unknown)
            assert isinstance(await once(client, *BUY, id="m", key="m"), Answered)
        assert sys.run_counts() == {"k": 1, "m": 1}

    system.run(work, engines=0)


def test_the_answer_of_a_request_still_running_after_a_cut_is_awaited():
    async def work(sys):
        sidecar, entry = sys.sidecars["shop-0"], sys.entries[0]
        sys.services[0].faults.slow = 300.0
        async with sys.client() as client:
            call = asyncio.create_task(once(client, *BUY, id="k"))
            await wait_until(lambda: sys.run_counts())
            entry.close_connection((HOST, sidecar.member.port))
            assert isinstance(await call, Answered)
        assert sys.run_counts() == {"k": 1}

    system.run(work, engines=0)


def test_only_keyed_requests_need_the_platform():
    async def work(sys):
        sys.tables.down = True
        async with sys.client() as client:
            assert isinstance(await once(client, *BUY, id="k", key="k"), Unknown)
            plain = await once(client, "GET", "/services/shop/a", id="a")
            assert isinstance(plain, Answered)
            unkeyed = await once(client, *BUY, id="b")
            assert isinstance(unkeyed, Answered)
            body = {"prompt": "p", "max_tokens": 3}
            model = await client.call("POST", "/v1/completions", body, key="c")
            assert isinstance(model, Answered) and model.status == 200
            sys.tables.down = False
            assert isinstance(await once(client, *BUY, id="k", key="k"), Answered)
        assert sys.run_counts() == {"a": 1, "b": 1, "k": 1}

    system.run(work)


def test_a_flood_from_one_workspace_does_not_starve_another():
    async def work(sys):
        sys.services[0].faults.slow = 20.0
        async with sys.client("w") as flood, sys.client("v") as quiet:
            path = "/services/shop/x"
            many = [
                asyncio.create_task(flood.call_once("GET", path, [], b"", 8.0))
                for _ in range(300)
            ]
            await wait_until(
                lambda: sys.sidecars["shop-0"].attempt_runner.admission.waiting >= 8
            )
            results = [
                await quiet.call_once("GET", path, [], b"", 8.0) for _ in range(5)
            ]
            assert all(isinstance(result, Answered) for result in results)
            outcomes = await asyncio.gather(*many)
            assert any(isinstance(result, NotRun) for result in outcomes)
            assert not any(isinstance(result, Unknown) for result in outcomes)

    system.run(work, engines=0)
