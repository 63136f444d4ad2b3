"""Trials of what is held back: made by one process, and not lost for nothing."""

import asyncio

from gypsumshift.outcomes import Answered, HeldBack
from gypsumshift.serving.quarantine import (
    MOST_ENDS,
    TRIAL_PAUSES,
)
from tests.crash_world import BACK_AFTER, POISON, TOLD_AFTER
from tests.test_fatal_requests import end_three, play

FIRST = TRIAL_PAUSES[0]


def test_a_request_that_only_ran_beside_another_is_sent_by_a_call():
    async def scenario(world):
        await end_three(world)
        guard = world.gateways["g0"].guard
        starts = [
            crash.start
            for crash in guard.quarantine.crashes(world.call(POISON).fingerprint)
        ]
        beside = world.call(b"beside")
        permit = await guard.admit(beside.fingerprint, "r")
        for start in starts:
            guard.note_end(permit, start)
        guard.close(permit, ran=True)
        assert isinstance(await world.ask("g0", b"beside"), HeldBack)
        await asyncio.sleep(BACK_AFTER + TOLD_AFTER)
        await world.ask("g1", POISON)
        assert len(world.ended) == MOST_ENDS + 1
        await asyncio.sleep(0.1)
        for name in world.gateways:
            assert isinstance(await world.ask(name, b"beside"), Answered)

    play(scenario)
