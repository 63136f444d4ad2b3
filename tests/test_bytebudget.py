"""The memory budget: what fits, what is refused or waits, and what is logged."""

import asyncio
import random

import logbook
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gypsumshift.bytebudget import (
    MIB,
    SMALL_BYTES,
    ByteBudget,
    ByteKind,
    budget_bytes,
)
from tests.builders import ManualClock

LIMIT_BYTES = 12 * MIB
JOB_BODY_BYTES = 200_000


def new_budget(limit=LIMIT_BYTES):
    return ByteBudget(limit, ManualClock(), random.Random(1))


def fill(budget, kind, size=MIB // 2):
    """Hold bytes of a kind, each part by its own request, until no more fit."""
    holdings = []
    while (holding := budget.hold()).add(kind, size):
        holdings.append(holding)
    return holdings


def logged_messages(handler):
    return [record.message for record in handler.records]


def test_without_a_limit_everything_fits_and_is_counted():
    budget = ByteBudget()
    holding = budget.hold()
    assert holding.add(ByteKind.REQUEST, 10**12)
    assert not budget.is_limited
    assert budget.gauges()["bytes_held.request"] == 10**12
    holding.release()
    assert budget.total == 0


def test_large_requests_leave_room_for_small_ones_jobs_answers_and_streams():
    """Without the shares, callers' bodies starve jobs and their own answers."""
    budget = new_budget()
    fill(budget, ByteKind.REQUEST)
    assert budget.total <= LIMIT_BYTES / 2
    assert not budget.hold().add(ByteKind.REQUEST, MIB)
    assert budget.hold().add(ByteKind.REQUEST, SMALL_BYTES)
    assert budget.hold().add(ByteKind.JOB, JOB_BODY_BYTES)
    assert budget.hold().add(ByteKind.ANSWER, MIB)
    assert budget.hold().add(ByteKind.STREAM, 128 * 1024)


def test_slow_streams_leave_room_for_callers_bodies():
    """Streams last long; callers' bodies would be refused as long as they do."""
    budget = new_budget()
    fill(budget, ByteKind.STREAM, 128 * 1024)
    assert budget.hold().add(ByteKind.REQUEST, MIB)


def test_small_requests_do_not_take_the_guaranteed_shares():
    budget = new_budget()
    fill(budget, ByteKind.REQUEST, SMALL_BYTES)
    assert budget.hold().add(ByteKind.JOB, JOB_BODY_BYTES)


def test_a_body_that_grows_beyond_the_small_size_is_not_small_any_more():
    budget = new_budget()
    fill(budget, ByteKind.REQUEST, SMALL_BYTES + 1)
    holding = budget.hold()
    assert holding.add(ByteKind.REQUEST, SMALL_BYTES)
    assert not holding.add(ByteKind.REQUEST, SMALL_BYTES)


def test_a_job_counts_its_memory_while_it_is_decoded_and_stored():
    budget = new_budget()
    budget.hold().add(ByteKind.JOB, JOB_BODY_BYTES)
    assert budget.held[ByteKind.JOB] == 10 * JOB_BODY_BYTES


def test_an_answer_waits_until_others_are_released():
    async def run():
        budget = new_budget()
        holdings = fill(budget, ByteKind.ANSWER)
        waiting = asyncio.create_task(budget.hold().add_when_free(ByteKind.ANSWER, MIB))
        await asyncio.sleep(0)
        holdings.pop().release()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert not waiting.done()
        holdings.pop().release()
        assert await asyncio.wait_for(waiting, 1)

    asyncio.run(run())


def test_waiting_answers_are_served_in_order_and_cancelled_ones_hold_nothing():
    """A large answer would wait for ever behind a sequence of smaller ones."""

    async def run():
        budget = new_budget()
        first = fill(budget, ByteKind.ANSWER).pop(0)
        large, small = budget.hold(), budget.hold()
        waiting = [
            asyncio.create_task(large.add_when_free(ByteKind.ANSWER, MIB)),
            asyncio.create_task(small.add_when_free(ByteKind.ANSWER, MIB // 2)),
        ]
        await asyncio.sleep(0)
        assert large.waiting == small.waiting == 1
        first.release()
        await asyncio.sleep(0.01)
        assert not waiting[0].done() and not waiting[1].done()
        waiting[0].cancel()
        await asyncio.wait(waiting, timeout=1)
        assert await waiting[1] and not small.waiting and not large.waiting
        small.release()
        assert not budget.waiters and budget.total == LIMIT_BYTES / 2 - MIB // 2

    asyncio.run(run())


def test_a_small_answer_passes_large_ones_that_wait():
    async def run():
        budget = new_budget()
        held = budget.hold()
        budget.add(ByteKind.REQUEST, LIMIT_BYTES)
        large = asyncio.create_task(budget.hold().add_when_free("answer", MIB))
        small = asyncio.create_task(budget.hold().add_when_free("answer", 1000))
        await asyncio.sleep(0)
        budget.release(ByteKind.REQUEST, MIB / 2)
        assert await asyncio.wait_for(small, 1) and not large.done()
        held.release()
        large.cancel()

    asyncio.run(run())


def test_an_answer_that_is_cancelled_as_it_is_granted_holds_nothing():
    async def run():
        budget = new_budget()
        held = fill(budget, ByteKind.ANSWER)
        task = asyncio.create_task(
            budget.hold().add_when_free(ByteKind.ANSWER, MIB // 2)
        )
        await asyncio.sleep(0)
        for holding in held:
            holding.release()
        task.cancel()
        await asyncio.wait({task})
        assert budget.total == 0

    asyncio.run(run())


def test_an_answer_that_never_fits_does_not_wait():
    async def run():
        added = new_budget().hold().add_when_free(ByteKind.ANSWER, LIMIT_BYTES)
        assert not await asyncio.wait_for(added, 1)

    asyncio.run(run())


def test_exceeding_and_being_free_again_are_logged_once_each():
    """A line for each request would fill the log while the budget is full."""
    budget = new_budget()
    with logbook.TestHandler() as handler:
        holdings = fill(budget, ByteKind.REQUEST)
        for _ in range(5):
            holdings.pop().release()
            holdings += fill(budget, ByteKind.REQUEST)
        while holdings:
            holdings.pop().release()
    messages = logged_messages(handler)
    assert [message.split(";")[0] for message in messages] == [
        "The memory budget is exceeded",
        "The memory budget is free again.",
    ]


def test_a_body_larger_than_the_whole_budget_does_not_count_as_exceeding_it():
    budget = new_budget()
    with logbook.TestHandler() as handler:
        assert not budget.hold().add(ByteKind.REQUEST, LIMIT_BYTES)
    assert not handler.records and not budget.exceeded_bytes


def test_refusals_are_logged_ten_times_a_second_with_the_number_left_out():
    budget = new_budget()
    with logbook.TestHandler() as handler:
        for _ in range(100):
            budget.record_refusal(ByteKind.REQUEST, MIB, request="r")
            budget.clock.advance(0.02)
    assert len(handler.records) <= 20
    assert sum(record.extra["unlogged"] + 1 for record in handler.records) >= 95


def test_refused_callers_retry_within_half_a_second_and_not_together():
    budget = new_budget()
    delays = {budget.retry_after() for _ in range(20)}
    assert len(delays) > 10 and all(0 < delay <= 0.5 for delay in delays)


def test_budget_follows_the_memory_limit_and_has_a_minimum():
    assert budget_bytes(160 * MIB) == pytest.approx(52 * MIB)
    assert budget_bytes(1) == 8 * MIB


@given(
    st.lists(
        st.tuples(
            st.sampled_from(list(ByteKind)), st.integers(0, 3 * MIB), st.booleans()
        ),
        max_size=60,
    )
)
def test_bytes_held_never_exceed_the_limit_and_end_at_zero(steps):
    budget = new_budget()
    holdings = []
    for kind, size, drops in steps:
        holdings.append(budget.hold())
        holdings[-1].add(kind, size)
        if drops:
            holdings.pop(0).release()
        assert 0 <= budget.total <= LIMIT_BYTES
        assert budget.total == sum(budget.held.values())
    for holding in holdings:
        holding.release()
    assert budget.total == 0
