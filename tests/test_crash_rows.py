"""Records and rows of server crashes: limited in number, contents and age."""

import asyncio

from gypsumshift.outcomes import Answered
from gypsumshift.serving.quarantine import MAX_RECORDS
from gypsumshift.serving.trialclaims import CRASHES_TABLE
from tests.crash_world import crash_three_servers, run_scenario


def test_records_and_rows_are_limited_when_many_different_requests_crash_servers():
    async def scenario(world):
        bodies = [b"body-%d" % n for n in range(3 * MAX_RECORDS)]
        world.fatal = set(bodies)
        guard = world.gateways["g0"].guard
        for body in bodies:
            call = world.call(body)
            permit = await guard.admit(call.fingerprint, call.id)
            for worker in world.workers[:2]:
                guard.record_crash(permit, world.entry(worker).start)
            guard.release_permit(permit, ran=True)
            await asyncio.sleep(0.05)
        await asyncio.sleep(20)
        for gateway in world.gateways.values():
            assert len(gateway.guard.quarantine.records) <= MAX_RECORDS
        rows = [row for row in world.tables.rows if row[0] == CRASHES_TABLE]
        assert len(rows) <= 2 * MAX_RECORDS

    run_scenario(scenario)


def test_no_row_is_written_for_a_request_that_another_server_answers():
    async def scenario(world):
        for number in range(20):
            asked = world.start_task(world.send("g0", b"sound %d" % number))
            await asyncio.sleep(0.01)
            at = next(w for w in world.workers if w.id == world.runs[-1].server)
            world.start_task(world.crash_server(at, back_after=0.1))
            assert isinstance(await asked, Answered)
            await asyncio.sleep(0.5)
        written = [write for store in world.stores.values() for write in store.writes]
        assert not [write for write in written if write.table == CRASHES_TABLE]

    run_scenario(scenario)


def test_rows_contain_no_body_and_no_key_of_the_caller():
    async def scenario(world):
        world.fatal = {b"a secret body"}
        for _ in range(2):
            await world.send("g0", b"a secret body", workspace="a secret key")
        await asyncio.sleep(2)
        await world.send("g0", b"a secret body", workspace="a secret key")
        await asyncio.sleep(0.1)
        written = str(list(world.tables.rows.values()))
        assert CRASHES_TABLE in written and "secret" not in written
        assert "secret" not in str(world.gateways["g1"].guard.quarantine.records)

    run_scenario(scenario)


def test_rows_are_removed_after_the_retention_time():
    async def scenario(world):
        await crash_three_servers(world)
        await asyncio.sleep(1)
        assert [row for row in world.tables.rows if row[0] == CRASHES_TABLE]
        await asyncio.sleep(4000)
        assert not [row for row in world.tables.rows if row[0] == CRASHES_TABLE]
        for gateway in world.gateways.values():
            assert not gateway.guard.quarantine.records

    run_scenario(scenario)
