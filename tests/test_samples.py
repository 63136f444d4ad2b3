"""Delivered samples have true weight versions, are fresh and are delivered once.

The tests run entries, sidecars and a stand-in engine over real connections.
"""

import asyncio
import json

from gypsumshift import Group
from gypsumshift.generated import messages
from gypsumshift.generated.messages import Body
from gypsumshift.httpclient import Fetcher
from gypsumshift.outcomes import Missing
from standins.engine import TOKENS_PER_VERSION

from . import system
from .system import wait_until


def make_groups(count, start=0, tokens=20):
    return [
        Group(f"g{n}", f"prompt {n}", samples=2, max_tokens=tokens)
        for n in range(start, start + count)
    ]


def check_spans(delivery):
    """Check that the spans of each sample cover its tokens without gap or overlap."""
    for sample in delivery.samples:
        end = 0
        for first, last, _ in sample.spans:
            assert first == end and last > first
            end = last
        assert end == len(sample.token_ids)


def check_token_versions(delivery):
    """Check each token's version against the one with which the engine generated it."""
    for sample in delivery.samples:
        for first, last, version in sample.spans:
            for token in sample.token_ids[first:last]:
                assert token // TOKENS_PER_VERSION == version


def test_tokens_before_and_after_a_weight_swap_have_their_own_versions():
    async def work(sys):
        async with sys.trainer() as trainer:
            await trainer.submit(make_groups(4, tokens=150))
            pull = asyncio.create_task(trainer.step(1))
            await wait_until(
                lambda: sys.engines[0].running and sys.engines[0].generated_count > 40
            )
            await trainer.publish(1, b"w")
            delivery = await pull
            check_spans(delivery)
            check_token_versions(delivery)
            assert any(len(sample.spans) > 1 for sample in delivery.samples)

    system.run(work, services=0)


def test_failed_partial_and_late_swaps_are_retried_and_do_not_set_the_version():
    async def work(sys):
        engine, sidecar = sys.engines[0], sys.sidecars["model-0"]
        engine.faults.fail_swaps, engine.faults.half_swaps = 1, 1
        engine.faults.late_swaps = 1.0
        async with sys.trainer() as trainer:
            await trainer.submit(make_groups(4))
            await trainer.publish(1, b"w")
            delivery = await trainer.step(1)
            check_token_versions(delivery)
            await wait_until(lambda: sidecar.backend.state.version == 1)
            assert engine.version == 1 and engine.fence == sidecar.member.fence

    system.run(work, services=0)


def test_tokens_without_version_during_a_swap_are_discarded():
    async def work(sys):
        engine = sys.engines[0]
        engine.faults.bare = True
        async with sys.trainer() as trainer:
            await trainer.submit(make_groups(2, tokens=150))
            pull = asyncio.create_task(trainer.step(1))
            await wait_until(lambda: engine.generated_count > 40)
            await trainer.publish(1, b"w")
            delivery = await pull
            check_spans(delivery)
            assert all(len(sample.spans) == 1 for sample in delivery.samples)
        totals = sys.entries[0].metrics.totals
        assert totals["tokens_wasted.tr.unlabelled"] > 0

    system.run(work, services=0)


def test_killed_sidecar_loses_no_sample():
    async def work(sys):
        async with sys.trainer() as trainer:
            await trainer.submit(make_groups(2, tokens=150))
            pull = asyncio.create_task(trainer.step(1))
            await wait_until(lambda: sys.engines[0].generated_count > 40)
            await sys.replace_sidecar("model-0")
            delivery = await pull
            assert sorted(s.id for s in delivery.samples) == [
                "g0/0",
                "g0/1",
                "g1/0",
                "g1/1",
            ]
            check_spans(delivery)

    system.run(work, services=0)


def test_weight_load_by_a_replaced_sidecar_is_refused():
    async def work(sys):
        old = sys.sidecars["model-0"]
        port = old.backend.address[1]
        new = await sys.add_sidecar("model-0", "model", port)
        await wait_until(lambda: new.member.fence > old.member.fence > 0)
        assert await new.backend.load_weights(2, new.member.fence)
        assert not await old.backend.load_weights(1, old.member.fence)
        assert sys.engines[0].version == 2
        old.set_target_version("model", 3)
        await wait_until(lambda: old.member.leaving)

    system.run(work, services=0)


def test_only_the_newer_of_two_sidecars_receives_requests():
    async def work(sys):
        old = sys.sidecars["model-0"]
        new = await sys.add_sidecar("model-0", "model", old.backend.address[1])
        entry = sys.entries[0]
        await wait_until(
            lambda: entry.membership.newest_fences.get("model-0") == new.member.fence
        )
        await wait_until(lambda: entry.membership.peers[new.member.name].load)
        assert [k.member.fence for k in entry.membership.sidecars("model")] == [
            new.member.fence
        ]

    system.run(work, services=0)


def test_step_pulled_through_two_entries_has_the_same_samples():
    async def work(sys):
        async with sys.trainer(0) as first_trainer, sys.trainer(1) as second_trainer:
            await first_trainer.submit(make_groups(6))
            first, second = await asyncio.gather(
                first_trainer.step(1), second_trainer.step(1)
            )
            assert first == second
            third, fourth = await asyncio.gather(
                second_trainer.step(2), first_trainer.step(2)
            )
            assert third == fourth
            ids = [s.id for s in first.samples + third.samples]
            assert len(ids) == len(set(ids)) == 8

    system.run(work, services=0, entries=2)


def test_another_entry_completes_the_step_of_a_stopped_entry():
    async def work(sys):
        async with sys.trainer() as trainer:
            await trainer.submit(make_groups(4))
            pull = asyncio.create_task(trainer.step(1))
            driving_entries = lambda: [
                e
                for e in sys.entries
                if any(d.running for d in e.driver_manager.drivers.values())
            ]
            driving = (await wait_until(driving_entries))[0]
            await driving.stop()
            delivery = await pull
            assert len(delivery.samples) == 4

    system.run(work, services=0, entries=2)


def test_groups_submitted_twice_are_accepted_once():
    async def work(sys):
        async with sys.trainer() as trainer:
            sys.tables.lost_answers = 1
            assert await trainer.submit(make_groups(3)) in (0, 3)
            assert await trainer.submit(make_groups(4)) == 1
            rows = await sys.tables.scan("groups", "tr/")
            assert [row.value["id"] for row in rows] == ["g0", "g1", "g2", "g3"]

    system.run(work, services=0)


def test_ready_groups_are_stored_after_an_outage_and_stale_ones_not_delivered():
    async def work(sys):
        async with sys.trainer() as trainer:
            await trainer.submit(make_groups(4))
            pull = asyncio.create_task(trainer.step(1))
            await wait_until(lambda: sys.engines[0].generated_count > 5)
            sys.tables.down = True
            await wait_until(lambda: sys.engines[0].generated_count >= 40)
            sys.engines[0].version = 5
            sys.tables.down = False
            delivery = await pull
            assert {s.id for s in delivery.samples} == {"g0/0", "g0/1", "g1/0", "g1/1"}
            trainer.version = 5
            delivery = await trainer.step(2)
            assert min(s.oldest for s in delivery.samples) >= 4

    system.run(work, services=0)


def test_prompt_rejected_by_the_engine_fails_its_group_with_a_reason():
    async def work(sys):
        engine = sys.engines[0]
        inner = engine.serve_completion

        async def complete(request):
            if json.loads(request.body)["prompt"] == "prompt 0":
                request.body = b"{}"
            return await inner(request)

        engine.serve_completion = complete
        async with sys.trainer() as trainer:
            await trainer.submit(make_groups(3))
            delivery = await trainer.step(1)
            assert {s.id[:2] for s in delivery.samples} == {"g1", "g2"}
            row = ("groups", "", "tr/000000000001")
            await wait_until(lambda: sys.tables.rows[row].value["failed"])
            state = await trainer.request_until_answered("GET", "")
            assert "g0" in state["failed"]

    system.run(work, services=0)


def test_draining_sidecar_refuses_new_requests_and_finishes_running_ones():
    async def work(sys):
        engine, sidecar = sys.engines[0], sys.sidecars["model-0"]
        engine.step_timing.base_s = 0.005
        async with sys.client() as client:
            body = {"prompt": "p", "max_tokens": 60}
            call = asyncio.create_task(client.call("POST", "/v1/completions", body))
            await wait_until(lambda: engine.running)
            link = sys.entries[0].connection(("127.0.0.1", sidecar.member.port))
            await link.call(Body(drain=messages.Drain(5000)), 1.0)
            await wait_until(lambda: sidecar.member.leaving)
            refused = await client.call_once(
                "POST", "/v1/completions", [], json.dumps(body).encode(), 5.0
            )
            assert type(refused).__name__ == "NotRun"
            answer = await call
            assert answer.status == 200

    system.run(work, services=0)


def test_drain_by_an_operator_also_applies_to_a_replaced_sidecar():
    async def work(sys):
        address = sys.entries[0].operator_address
        answer = await Fetcher().fetch(address, "POST", "/v1/drain?name=model-0")
        assert json.loads(answer.body)["told"] == ["sidecar-model-0"]
        new = await sys.replace_sidecar("model-0")
        await wait_until(lambda: new.member.leaving)
        row = await sys.tables.read("heads", "leaving/model-0")
        assert not isinstance(row, Missing)

    system.run(work, services=0)
