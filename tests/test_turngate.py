"""The gate for parsing that holds the event loop."""

import asyncio

import pytest

from gypsumshift import turngate
from gypsumshift.turngate import TurnGate, TurnsExhausted


async def take_turns(gate, turns, started, count):
    """Take turns at a gate as one request, and record them."""
    for number in range(count):
        await gate.enter(started, first=number == 0)
        turns.append(started)
        gate.leave()


def test_one_request_passes_in_each_turn_and_others_run_between():
    async def run():
        gate, order = TurnGate(), []

        async def pass_gate(name):
            async with gate.turn(0.0):
                order.append(name)

        async def ordinary():
            for _ in range(6):
                order.append("ordinary")
                await asyncio.sleep(0)

        tasks = [pass_gate(n) for n in range(3)]
        await asyncio.gather(*tasks, ordinary())
        gaps = [order[i : i + 2] for i in range(len(order) - 1)]
        assert all("ordinary" in gap for gap in gaps[:3])
        assert [name for name in order if name != "ordinary"] == [0, 1, 2]

    asyncio.run(run())


def test_the_earliest_request_passes_first():
    async def run():
        gate, order = TurnGate(), []
        await gate.enter(0.0)

        async def pass_gate(started):
            await gate.enter(started, first=False)
            order.append(started)
            gate.leave()

        tasks = [asyncio.create_task(pass_gate(s)) for s in (3.0, 1.0, 2.0)]
        await asyncio.sleep(0)
        gate.leave()
        await asyncio.gather(*tasks)
        assert order == [1.0, 2.0, 3.0]

    asyncio.run(run())


def test_a_request_that_waits_too_long_gives_up_and_the_gate_goes_on(monkeypatch):
    monkeypatch.setattr(turngate, "WAIT_TIMEOUT_S", 0.01)

    async def run():
        gate = TurnGate()
        await gate.enter(0.0)
        with pytest.raises(TurnsExhausted):
            await gate.enter(1.0)
        gate.leave()
        async with asyncio.timeout(5):
            await asyncio.sleep(0)
            await gate.enter(2.0)

    asyncio.run(run())


def test_a_request_cancelled_as_it_gets_the_gate_passes_it_on():
    async def run():
        gate = TurnGate()
        await gate.enter(0.0)
        task = asyncio.create_task(gate.enter(1.0))
        await asyncio.sleep(0)
        gate.pass_on()
        task.cancel()
        await asyncio.wait({task})
        async with asyncio.timeout(5):
            await asyncio.sleep(0)
            await gate.enter(2.0)

    asyncio.run(run())


def test_a_request_that_needs_one_turn_does_not_wait_for_those_that_need_many():
    """A large head would otherwise starve behind a crowd of bodies in small pieces."""

    async def run():
        gate, turns = TurnGate(), []

        crowd = [
            asyncio.create_task(take_turns(gate, turns, float(n), 100))
            for n in range(20)
        ]
        while len(turns) < 200:
            await asyncio.sleep(0)
        before = len(turns)
        await take_turns(gate, turns, 1000.0, 1)
        assert len(turns) - before <= 5
        await asyncio.gather(*crowd)
        assert len(turns) == 2001

    asyncio.run(run())


def test_the_earliest_request_completes_while_others_keep_arriving():
    async def run():
        gate, turns = TurnGate(), []

        early = asyncio.create_task(take_turns(gate, turns, 0.0, 50))
        crowd = [
            asyncio.create_task(take_turns(gate, turns, 1.0 + n, 50))
            for n in range(100)
        ]
        await early
        assert len(turns) <= 2 * 50 + 100
        await asyncio.gather(*crowd)

    asyncio.run(run())
