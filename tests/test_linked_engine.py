"""An agent whose connections prove the start of its engine.

Guards against a limit on items at a warm engine, and against items to a new start.
"""

import asyncio

import pytest

from tests.cold_world import BOUND, LIMIT, most_in_a_second
from tests.linked_engine import LinkedEngineWorld
from tests.virtual_time import run_in_virtual_time

ALLOWED = LIMIT.per_second * BOUND.excess + BOUND.slack
SLOTS_PER_S = 8 / 0.02


def play(seed, restarts):
    """Return the items per second at the warm engine, and the most at a cold one."""

    async def scenario():
        world = LinkedEngineWorld(seed, length=1, gap=0.02, slow_connections=0.0)
        try:
            world.engine.start(cold=False)
            world.start_agent()
            await world.submit("job", groups=2000)
            await asyncio.sleep(6)
            before = len(world.engine.arrivals)
            await asyncio.sleep(2)
            rate = (len(world.engine.arrivals) - before) / 2
            for _ in range(restarts):
                world.engine.stop()
                await asyncio.sleep(world.chance.uniform(0.01, 0.05))
                world.engine.start()
                await asyncio.sleep(world.chance.uniform(0.2, 4.0))
        finally:
            await world.close()
        cold = [arrival for arrival in world.engine.arrivals if arrival.cold]
        return rate, most_in_a_second(cold)

    return run_in_virtual_time(scenario)


@pytest.mark.parametrize("seed", range(1, 6))
def test_a_warm_engine_gets_all_items_and_a_new_start_few(seed):
    rate, most = play(seed, 3)
    assert rate >= 0.9 * SLOTS_PER_S
    assert most <= ALLOWED
