"""What counts as usage, and that a window is told once and right.

Of the requests of each workspace that servers began to run in a window of time, one
report is due. Two reports of one window that differ, as after the end of a holder that
had added up earlier, are worse than none.
"""

import asyncio
import datetime
import random

import pytest

from gypsumshift.leases import Lease
from gypsumshift.metrics import Metrics
from gypsumshift.outcomes import Committed, Unavailable, Unknown
from gypsumshift.platforms import Write
from gypsumshift.usage import USAGE_TABLE, UsageCounter, UsageWriter, part_name
from gypsumshift.usagereports import (
    REPORT_DEADLINE_S,
    REPORT_DELAY_S,
    REPORTS_TABLE,
    RETENTION_S,
    ReportReceiver,
    UsageReporter,
)
from standins.users_cloud import Call as Told
from standins.users_cloud import FakeCloudApi, Faults, find_violations
from standins.users_documents import config, job_body
from standins.users_worker import FakeWorker
from tests.builders import FaultyTables, ManualClock
from tests.platform_cluster import PlatformCluster
from tests.system import until

WIDTH = datetime.timedelta(seconds=5)
METRICS = Metrics("usage", dict)


class Receiver(ReportReceiver):
    """Outside system that notes what it is told."""

    def __init__(self):
        self.told = []
        self.outcome = Committed()
        self.takes_and_loses = False

    async def send_report(self, report, lease):
        if isinstance(self.outcome, Committed) or self.takes_and_loses:
            self.told.append((report.window, dict(report.counts), lease.fence))
        return self.outcome


class Office:
    """Processes that count, one receiver, and a store."""

    def __init__(self, tables=None):
        self.clock = ManualClock()
        self.store = tables or FaultyTables()
        self.receiver = Receiver()
        self.counter = UsageCounter(self.clock, WIDTH)
        # At the begin of a window.
        now = self.counter.now()
        self.clock.advance(self.counter.window_end(self.counter.window_at(now)) - now)
        self.window = self.counter.window_at(self.counter.now())

    def process(self):
        counter = UsageCounter(self.clock, WIDTH)
        return UsageWriter(counter, self.store, self.clock, random.Random(1))

    def reporter(self):
        return UsageReporter(self.counter, self.store, self.receiver, METRICS)

    def lease(self, owner="a"):
        return Lease(self.store, "usage", owner, self.clock, 3.0)

    async def hold(self, reporter, lease):
        """Look at the lease, as its holder does each second, and do what is due."""
        await lease.renew_or_acquire()
        await reporter.run_step(lease)


def play(scenario, **options):
    asyncio.run(scenario(Office(**options)))


def test_a_window_is_told_once_with_what_all_processes_counted():
    async def scenario(office):
        logs = [office.process() for _ in range(3)]
        for number, log in enumerate(logs):
            for _ in range(number + 1):
                log.counter.count_request("w", office.counter.now())
            log.counter.count_request(f"only-{number}", office.counter.now() + 4.99)
            await log.flush()
        reporter, lease = office.reporter(), office.lease()
        await lease.renew_or_acquire()
        assert await reporter.load_state()
        for _ in range(20):
            await office.hold(reporter, lease)
            office.clock.advance(0.5)
        counts = {"w": 6, "only-0": 1, "only-1": 1, "only-2": 1}
        assert office.receiver.told == [(office.window, counts, 1)]

    play(scenario)


def test_a_window_is_told_before_it_is_due_by_a_stated_margin():
    async def scenario(office):
        reporter, lease = office.reporter(), office.lease()
        await lease.renew_or_acquire()
        await reporter.load_state()
        while not office.receiver.told:
            office.clock.advance(0.1)
            await office.hold(reporter, lease)
        late = office.counter.now() - office.counter.window_end(office.window)
        assert REPORT_DELAY_S <= late < REPORT_DELAY_S + 0.2

    play(scenario)


def test_a_later_holder_tells_what_the_one_before_decided():
    """Two reports of one window differed: the first holder had told, and was killed.

    A process wrote its last counts after that. The next holder did not know that the
    window was told, added up anew, and told more.
    """

    async def scenario(office):
        late = office.process()
        late.counter.count_request("w", office.counter.now())
        await late.flush()
        first, lease = office.reporter(), office.lease("a")
        await lease.renew_or_acquire()
        await first.load_state()
        office.clock.advance(5 + REPORT_DELAY_S)
        await lease.renew_or_acquire()
        # It is told and killed before it notes so.
        report = await first.decide_report(office.window)
        await office.receiver.send_report(report, lease)
        late.counter.count_request("w", office.counter.window_end(office.window) - 0.1)
        await late.flush()
        office.clock.advance(3)
        second, lease = office.reporter(), office.lease("b")
        await lease.renew_or_acquire()
        office.clock.advance(3)
        await lease.renew_or_acquire()
        await second.load_state()
        await office.hold(second, lease)
        assert office.receiver.told == [
            (office.window, {"w": 1}, 1),
            (office.window, {"w": 1}, 2),
        ]

    play(scenario)


@pytest.mark.parametrize("outcome", [Unknown("lost"), Unavailable("status 429")])
def test_a_report_that_was_not_taken_is_told_again_the_same(outcome):
    async def scenario(office):
        reporter, lease = office.reporter(), office.lease()
        await lease.renew_or_acquire()
        await reporter.load_state()
        office.clock.advance(5 + REPORT_DELAY_S)
        office.receiver.outcome = outcome
        office.receiver.takes_and_loses = isinstance(outcome, Unknown)
        await office.hold(reporter, lease)
        office.receiver.outcome = Committed()
        office.clock.advance(1)
        await office.hold(reporter, lease)
        await office.hold(reporter, lease)
        told = office.receiver.told
        assert len(told) == 1 + office.receiver.takes_and_loses
        assert all(one == told[0] for one in told)

    play(scenario)


def test_nothing_is_told_by_a_holder_whose_lease_may_end_meanwhile():
    async def scenario(office):
        reporter, lease = office.reporter(), office.lease()
        await lease.renew_or_acquire()
        await reporter.load_state()
        office.clock.advance(5 + REPORT_DELAY_S)
        await reporter.run_step(lease)
        assert not office.receiver.told

    play(scenario)


def test_windows_of_an_outage_are_told_behind_it_and_old_ones_are_not():
    async def scenario(office):
        reporter, lease = office.reporter(), office.lease()
        await lease.renew_or_acquire()
        await reporter.load_state()
        office.store.down = True
        for _ in range(12):
            office.clock.advance(1)
            await office.hold(reporter, lease)
        assert not office.receiver.told
        office.store.down = False
        await office.hold(reporter, lease)
        assert [told[0] for told in office.receiver.told] == [office.window]
        office.clock.advance(REPORT_DEADLINE_S + 20)
        await office.hold(reporter, lease)
        oldest = office.counter.window_at(office.counter.now() - REPORT_DEADLINE_S)
        assert office.receiver.told[-1][0] == oldest

    play(scenario)


def test_rows_of_old_windows_are_removed():
    async def scenario(office):
        log = office.process()
        reporter, lease = office.reporter(), office.lease()
        await lease.renew_or_acquire()
        await reporter.load_state()
        for _ in range(int(RETENTION_S) * 3):
            log.counter.count_request("w", office.counter.now())
            await log.flush()
            await office.hold(reporter, lease)
            office.clock.advance(1)
        tables = [place[0] for place in office.store.rows]
        most = RETENTION_S / 5 + 3
        assert (
            tables.count(USAGE_TABLE) <= most
            and tables.count(REPORTS_TABLE) <= most + 1
        )
        assert len(log.counter.counts_by_window) <= 12
        told = [window for window, _, _ in office.receiver.told]
        assert told == list(range(told[0], told[0] + len(told)))

    play(scenario)


def test_counts_that_could_not_be_written_are_written_later():
    async def scenario(office):
        log = office.process()
        log.counter.count_request("w", office.counter.now())
        office.store.down = True
        await log.flush()
        office.store.down = False
        log.counter.count_request("w", office.counter.now())
        await log.flush()
        assert await office.reporter().sum_counts(office.window) == {"w": 2}
        before = office.store.version
        await log.flush()
        assert office.store.version == before, "nothing changed"

    play(scenario)


def test_rows_of_another_writer_are_left_out():
    async def scenario(office):
        part = part_name(office.window, 0)
        log = office.process()
        log.counter.count_request("w", office.counter.now())
        await log.flush()
        for value in ({}, {"counts": [1]}, {"counts": {"w": "x"}}):
            await office.store.commit([Write(USAGE_TABLE, "other", value, part=part)])
            assert await office.reporter().sum_counts(office.window) == {"w": 1}
        lease = office.lease()
        await office.store.commit([Write("leases", "usage", {"owner": 7})])
        assert not await lease.renew_or_acquire()
        await lease.release()

    play(scenario)


# What counts, on the whole path.


async def gateway_counts(tmp_path, scenario):
    """Play a scenario on a platform world whose gateway counts; return its counts."""
    cloud = FakeCloudApi()
    port = await cloud.server.listen("127.0.0.1", 0)
    world = PlatformCluster(
        extra_settings={
            "cloud_api.addr": f"127.0.0.1:{port}",
            "cloud_api.duties": "usage,scale",
            "bounds.report_window_s": "1",
        }
    )
    try:
        async with asyncio.timeout(60):
            await world.start(tmp_path)
            value = config(2, workspaces={"one": ["k1"], "two": ["k2"]})
            await world.store.write_row("op", "config", value)
            await until(lambda: world.gateway.directory.routes.version == 2)
            await scenario(world, cloud)
            windows = world.gateway.accounting.counter.counts_by_window.values()
            return {
                name: sum(counts[name] for counts in windows) for name in ("one", "two")
            }
    finally:
        await world.close()
        cloud.server.listener.close()


def count(tmp_path, scenario):
    return asyncio.run(gateway_counts(tmp_path, scenario))


def test_a_request_counts_once_for_its_workspace(tmp_path):
    async def scenario(world, cloud):
        for number in range(3):
            await world.send_request("POST", "/app/1", f"a{number}", key="k1")
        await world.send_request("POST", "/flow/1", "s", key="k2")

    assert count(tmp_path, scenario) == {"one": 3, "two": 1}


def test_public_routes_and_wrong_keys_and_items_do_not_count(tmp_path):
    async def scenario(world, cloud):
        await world.send_request("POST", "/score/1", "p")
        await world.send_request("POST", "/app/1", "w", key="wrong")
        await world.send_request("POST", "/batch/1", "job", job_body("job"), key="k1")
        await until(lambda: len([r for r in world.engine.runs if "end" in r]) >= 4)

    assert count(tmp_path, scenario) == {"one": 0, "two": 0}


def test_what_servers_refuse_does_not_count(tmp_path):
    async def scenario(world, cloud):
        world.app.slots = 0
        exchange, _ = await world.send_request("POST", "/app/1", "a", key="k1")
        assert exchange.status == 503

    assert count(tmp_path, scenario) == {"one": 0, "two": 0}


def test_a_request_that_ran_twice_counts_once_and_one_without_an_answer_too(tmp_path):
    async def scenario(world, cloud):
        other = FakeWorker("app")
        await world.register(other)
        await until(lambda: other.id in world.gateway.directory.servers)
        world.app.loses_answers = other.loses_answers = True
        exchange, _ = await world.send_request("POST", "/app/1", "a", key="k1")
        assert exchange.status == 502
        assert len(world.app.runs) + len(other.runs) == 2

    assert count(tmp_path, scenario) == {"one": 1, "two": 0}


def test_reports_reach_the_platform_through_its_faults(tmp_path):
    async def scenario(world, cloud):
        for number in range(5):
            await world.send_request("POST", "/app/1", f"a{number}", key="k1")
        cloud.faults = Faults(status=429)
        await asyncio.sleep(2)
        cloud.faults = Faults(lose=True)
        await until(lambda: cloud.calls)
        cloud.faults = Faults()

        def told():
            windows = {call.window: call.counts for call in cloud.calls}
            return sum(counts.get("one", 0) for counts in windows.values())

        await until(lambda: told() == 5)
        assert not find_violations(cloud.calls)

    assert count(tmp_path, scenario)["one"] == 5


def test_a_gateway_that_stops_does_not_wait_for_its_duty(tmp_path):
    """A call of the duty was slow, and the platform's kill cut requests that ran."""

    async def scenario(world, cloud):
        accounting = world.gateway.accounting
        await accounting.duty.step_lock.acquire()
        stopping = asyncio.create_task(world.gateway.drain(0.2))
        await asyncio.sleep(0)
        assert all(port.server.draining for port in world.gateway.ports[:1])
        await stopping
        assert accounting.duty.stopping

    count(tmp_path, scenario)


def test_the_stand_in_finds_what_it_must_never_get():
    calls = [
        Told(0.0, "a", 1, 7, {"w": 1}),
        Told(1.0, "b", 2, 7, {"w": 2}),
        Told(1.5, "c", 2, 8, {}),
        Told(2.0, "b", 1, 9, {}),
    ]
    assert find_violations(calls) == [
        "different reports of window 7",
        "two hosts with token 2",
        "two hosts with token 1",
        "token 1 of b after token 2",
        "b calls again after 1.0 s",
    ]
    assert not find_violations([calls[0], calls[0]])
