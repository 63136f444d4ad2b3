"""Trials of held-back requests: each made by one process, unused ones made again."""

import asyncio
import datetime
import functools
import random

from gypsumshift.memory import MemoryTables
from gypsumshift.outcomes import Answered, HeldBack
from gypsumshift.platforms import Row, Write
from gypsumshift.serving.crashtable import SWEEP_PERIOD_S, CrashTable
from gypsumshift.serving.crashwriter import MAX_QUEUED_ROWS
from gypsumshift.serving.quarantine import (
    CRASH_LIMIT,
    CRASH_RETENTION_S,
    FAILED_TRIAL_DELAY_S,
    TRIAL_DELAYS_S,
    Quarantine,
)
from gypsumshift.serving.trialclaims import CRASHES_TABLE, trial_key
from tests.builders import ManualClock
from tests.crash_world import (
    KINDS,
    LISTING_DELAY_S,
    POISON,
    RESTART_DELAY_S,
    crash_three_servers,
    run_scenario,
)

FIRST_DELAY_S = TRIAL_DELAYS_S[0]


def crash_row_keys(world):
    return [key for table, _, key in world.tables.rows if table == CRASHES_TABLE]


async def hold_back_request(world, name="g0"):
    """Crash three servers, wait until a trial is due, and return the fingerprint."""
    await crash_three_servers(world)
    await asyncio.sleep(max(FIRST_DELAY_S, RESTART_DELAY_S + LISTING_DELAY_S))
    return world.call(POISON).fingerprint


def test_a_request_cleared_during_a_claim_leaves_the_claim_of_another_process():
    async def scenario(world):
        fingerprint = await hold_back_request(world)
        guard = world.gateways["g0"].guard
        claim_trial = guard.table.claim_trial

        async def cleared_meanwhile(*arguments):
            other = world.gateways["g1"].guard.table
            await other.claim_trial(*arguments)
            outcome = await claim_trial(*arguments)
            guard.quarantine.clear(fingerprint)
            return outcome

        guard.table.claim_trial = cleared_meanwhile
        await guard.admit(fingerprint, "r")
        await asyncio.sleep(1)
        assert trial_key(fingerprint, 1) in crash_row_keys(world)

    run_scenario(scenario)


def test_a_repeated_late_withdrawal_does_not_remove_a_newer_claim():
    async def scenario(world):
        fingerprint = await hold_back_request(world)
        table = world.gateways["g0"].guard.table
        store = world.stores["g0"]
        assert (await table.claim_trial(fingerprint, 1)).name == "OWN"
        # After the withdrawal, the store executes a copy of the removal again later.
        store.writes.clear()
        table.withdraw_trial(fingerprint, 1)
        await asyncio.sleep(0.5)
        repeated = [w for w in store.writes if w.key == trial_key(fingerprint, 1)]
        assert repeated and trial_key(fingerprint, 1) not in crash_row_keys(world)
        other = world.gateways["g1"].guard.table
        assert (await other.claim_trial(fingerprint, 1)).name == "OWN"
        await world.tables.commit(repeated)
        assert trial_key(fingerprint, 1) in crash_row_keys(world)

    run_scenario(scenario)


def test_a_claim_answered_after_its_timeout_is_used_for_the_next_request():
    async def scenario(world):
        fingerprint = await hold_back_request(world)
        world.fatal = set()
        world.stores["g0"].slow = 1.0
        assert isinstance(await world.send("g0", POISON), HeldBack)
        world.stores["g0"].slow = 0.0
        await asyncio.sleep(2 * FIRST_DELAY_S)
        assert world.gateways["g0"].guard.quarantine.trial_count(fingerprint) == 0
        assert isinstance(await world.send("g0", POISON), Answered)

    run_scenario(scenario)


def test_a_trial_is_completed_after_its_caller_disconnects():
    """An aborted trial would give no result, and the next is due only 20 s later."""

    async def scenario(world, prefix):
        await crash_three_servers(world, prefix=prefix)
        await asyncio.sleep(RESTART_DELAY_S + LISTING_DELAY_S)
        world.fatal = set()
        await world.send_and_disconnect("g0", POISON, prefix, after=0.02)
        await asyncio.sleep(1)
        assert isinstance(await world.send("g1", POISON, prefix), Answered)

    for prefix in KINDS:
        run_scenario(functools.partial(scenario, prefix=prefix))


def test_a_started_process_counts_the_delay_from_the_time_of_the_last_trial():
    async def scenario(world):
        await hold_back_request(world)
        await world.send("g0", POISON)
        await asyncio.sleep(0.7 * TRIAL_DELAYS_S[1])
        gateway = world.start_gateway("g1")
        await asyncio.sleep(0.1)
        pause = gateway.guard.quarantine.seconds_to_trial(
            world.call(POISON).fingerprint
        )
        assert 0 < pause < FAILED_TRIAL_DELAY_S - 0.6 * TRIAL_DELAYS_S[1]

    run_scenario(scenario)


def test_a_request_that_only_ran_beside_one_with_more_crashes_is_answered():
    async def scenario(world):
        await crash_three_servers(world)
        guard = world.gateways["g0"].guard
        starts = [
            crash.start
            for crash in guard.quarantine.crashes(world.call(POISON).fingerprint)
        ]
        beside = world.call(b"beside")
        permit = await guard.admit(beside.fingerprint, "r")
        for start in starts:
            guard.record_crash(permit, start)
        guard.release_permit(permit, ran=True)
        assert isinstance(await world.send("g0", b"beside"), HeldBack)
        await asyncio.sleep(RESTART_DELAY_S + LISTING_DELAY_S)
        await world.send("g1", POISON)
        assert len(world.crashes) == CRASH_LIMIT + 1
        await asyncio.sleep(0.1)
        for name in world.gateways:
            assert isinstance(await world.send(name, b"beside"), Answered)

    run_scenario(scenario)


def test_a_loaded_guard_stays_loaded_when_the_store_loses_its_history():
    async def scenario(world):
        guard = world.gateways["g0"].guard
        assert guard.loaded
        world.stores["g0"].down = True
        world.tables.drop_history()
        for number in range(3):
            await world.tables.commit([Write("other", f"{number}", {})])
        guard.table.watch.version = -1
        assert guard.loaded

    run_scenario(scenario)


def test_expired_rows_are_removed_in_limited_batches():
    clock = ManualClock()
    chance = random.Random(1)
    table = CrashTable(MemoryTables(), Quarantine(clock), clock, chance)
    for number in range(3 * MAX_QUEUED_ROWS):
        row = Row(CRASHES_TABLE, f"f{number}/x/1", number, {"at": 0.0})
        table.watch.rows["", row.key] = row
    table.store.now = lambda: datetime.timedelta(seconds=2 * CRASH_RETENTION_S)
    clock.advance(SWEEP_PERIOD_S)
    table.sweep()
    assert len(table.writer.pending_removals) == MAX_QUEUED_ROWS
