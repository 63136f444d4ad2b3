"""Tests of what counts as usage, and of the report of each time window.

A window has one report, with the number of requests of each workspace that servers
began to run in it. Two different reports of a window are worse than none; they could
arise when a holder of the duty ends and its successor sums the counts again.
"""

import asyncio
import contextlib
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
from standins.users_cloud import Call as ReceivedReport
from standins.users_cloud import FakeCloudApi, Faults, find_violations
from standins.users_documents import config, job_body
from standins.users_worker import FakeWorker
from tests.builders import FaultyTables, ManualClock
from tests.late_store import losing_writes, open_store, wait_for_late_writes
from tests.platform_cluster import PlatformCluster
from tests.system import wait_until

WINDOW_WIDTH = datetime.timedelta(seconds=5)
METRICS = Metrics("usage", dict)


class RecordingReceiver(ReportReceiver):
    """External system that records the reports it receives."""

    def __init__(self):
        self.reports = []
        self.outcome = Committed()
        self.accepts_despite_outcome = False

    async def send_report(self, report, lease):
        if isinstance(self.outcome, Committed) or self.accepts_despite_outcome:
            self.reports.append((report.window, dict(report.counts), lease.fence))
        return self.outcome


class UsageWorld:
    """Processes that count usage, a report receiver and a store."""

    def __init__(self, tables=None):
        self.clock = ManualClock()
        self.store = tables or FaultyTables()
        self.receiver = RecordingReceiver()
        self.counter = UsageCounter(self.clock, WINDOW_WIDTH)
        # Advance to the beginning of a window.
        now = self.counter.now()
        self.clock.advance(self.counter.window_end(self.counter.window_at(now)) - now)
        self.window = self.counter.window_at(self.counter.now())

    def new_writer(self):
        counter = UsageCounter(self.clock, WINDOW_WIDTH)
        return UsageWriter(counter, self.store, self.clock, random.Random(1))

    def new_reporter(self):
        return UsageReporter(self.counter, self.store, self.receiver, METRICS)

    def new_lease(self, owner="a"):
        return Lease(self.store, "usage", owner, self.clock, 3.0)

    async def run_step(self, reporter, lease):
        """Renew the lease, as its holder does each second, and run a reporter step."""
        await lease.renew_or_acquire()
        await reporter.run_step(lease)


def run_scenario(scenario, **options):
    asyncio.run(scenario(UsageWorld(**options)))


def test_window_is_reported_once_with_the_counts_of_all_processes():
    async def scenario(world):
        writers = [world.new_writer() for _ in range(3)]
        for number, writer in enumerate(writers):
            for _ in range(number + 1):
                writer.counter.count_request("w", world.counter.now())
            writer.counter.count_request(f"only-{number}", world.counter.now() + 4.99)
            await writer.flush()
        reporter, lease = world.new_reporter(), world.new_lease()
        await lease.renew_or_acquire()
        assert await reporter.load_state()
        for _ in range(20):
            await world.run_step(reporter, lease)
            world.clock.advance(0.5)
        counts = {"w": 6, "only-0": 1, "only-1": 1, "only-2": 1}
        assert world.receiver.reports == [(world.window, counts, lease.fence)]

    run_scenario(scenario)


def test_window_is_reported_as_soon_as_the_report_delay_has_passed():
    async def scenario(world):
        reporter, lease = world.new_reporter(), world.new_lease()
        await lease.renew_or_acquire()
        await reporter.load_state()
        while not world.receiver.reports:
            world.clock.advance(0.1)
            await world.run_step(reporter, lease)
        late = world.counter.now() - world.counter.window_end(world.window)
        assert REPORT_DELAY_S <= late < REPORT_DELAY_S + 0.2

    run_scenario(scenario)


def test_requests_from_before_the_duty_was_first_acquired_are_reported():
    """Guards against requests that no report contains.

    Processes serve before the duty has its first holder. If a window ended in between,
    its requests were never reported; windows without any are not reported.
    """

    async def scenario(world):
        writer = world.new_writer()
        writer.counter.count_request("w", world.counter.now())
        await writer.flush()
        world.clock.advance(5.5)
        reporter, lease = world.new_reporter(), world.new_lease()
        await lease.renew_or_acquire()
        await reporter.load_state()
        for _ in range(20):
            await world.run_step(reporter, lease)
            world.clock.advance(0.5)
        assert world.receiver.reports == [
            (world.window, {"w": 1}, lease.fence),
            (world.window + 1, {}, lease.fence),
        ]

    run_scenario(scenario)


def test_later_holder_sends_the_report_that_its_predecessor_decided():
    """Guards against two different reports of one window.

    The first holder was killed after it had sent a report and before it recorded that.
    A process then wrote its last counts. The next holder summed the counts again and
    sent a larger report.
    """

    async def scenario(world):
        late = world.new_writer()
        late.counter.count_request("w", world.counter.now())
        await late.flush()
        first, lease = world.new_reporter(), world.new_lease("a")
        await lease.renew_or_acquire()
        await first.load_state()
        world.clock.advance(5 + REPORT_DELAY_S)
        await lease.renew_or_acquire()
        # The holder sends the report and is killed before it records that.
        report = await first.decide_report(world.window)
        await world.receiver.send_report(report, lease)
        first_fence = lease.fence
        late.counter.count_request("w", world.counter.window_end(world.window) - 0.1)
        await late.flush()
        world.clock.advance(3)
        second, lease = world.new_reporter(), world.new_lease("b")
        await lease.renew_or_acquire()
        world.clock.advance(3)
        await lease.renew_or_acquire()
        await second.load_state()
        await world.run_step(second, lease)
        assert world.receiver.reports == [
            (world.window, {"w": 1}, first_fence),
            (world.window, {"w": 1}, first_fence + 1),
        ]

    run_scenario(scenario)


@pytest.mark.parametrize("outcome", [Unknown("lost"), Unavailable("status 429")])
def test_report_that_was_not_confirmed_is_sent_again_unchanged(outcome):
    async def scenario(world):
        reporter, lease = world.new_reporter(), world.new_lease()
        await lease.renew_or_acquire()
        await reporter.load_state()
        world.clock.advance(5 + REPORT_DELAY_S)
        world.receiver.outcome = outcome
        world.receiver.accepts_despite_outcome = isinstance(outcome, Unknown)
        await world.run_step(reporter, lease)
        world.receiver.outcome = Committed()
        world.clock.advance(1)
        await world.run_step(reporter, lease)
        await world.run_step(reporter, lease)
        reports = world.receiver.reports
        assert len(reports) == 1 + world.receiver.accepts_despite_outcome
        assert all(report == reports[0] for report in reports)

    run_scenario(scenario)


def test_holder_whose_lease_may_expire_during_the_call_sends_nothing():
    async def scenario(world):
        reporter, lease = world.new_reporter(), world.new_lease()
        await lease.renew_or_acquire()
        await reporter.load_state()
        world.clock.advance(5 + REPORT_DELAY_S)
        await reporter.run_step(lease)
        assert not world.receiver.reports

    run_scenario(scenario)


def test_windows_are_reported_after_an_outage_unless_past_the_deadline():
    async def scenario(world):
        reporter, lease = world.new_reporter(), world.new_lease()
        await lease.renew_or_acquire()
        await reporter.load_state()
        world.store.down = True
        for _ in range(12):
            world.clock.advance(1)
            await world.run_step(reporter, lease)
        assert not world.receiver.reports
        world.store.down = False
        await world.run_step(reporter, lease)
        assert [report[0] for report in world.receiver.reports] == [world.window]
        world.clock.advance(REPORT_DEADLINE_S + 20)
        await world.run_step(reporter, lease)
        oldest = world.counter.window_at(world.counter.now() - REPORT_DEADLINE_S)
        assert world.receiver.reports[-1][0] == oldest

    run_scenario(scenario)


def test_rows_of_old_windows_are_removed():
    async def scenario(world):
        writer = world.new_writer()
        reporter, lease = world.new_reporter(), world.new_lease()
        await lease.renew_or_acquire()
        await reporter.load_state()
        for _ in range(int(RETENTION_S) * 3):
            writer.counter.count_request("w", world.counter.now())
            await writer.flush()
            await world.run_step(reporter, lease)
            world.clock.advance(1)
        tables = [place[0] for place in world.store.rows]
        max_rows = RETENTION_S / 5 + 3
        assert (
            tables.count(USAGE_TABLE) <= max_rows
            and tables.count(REPORTS_TABLE) <= max_rows + 1
        )
        assert len(writer.counter.counts_by_window) <= 12
        windows = [window for window, _, _ in world.receiver.reports]
        assert windows == list(range(windows[0], windows[0] + len(windows)))

    run_scenario(scenario)


def test_counts_whose_write_failed_are_written_later():
    async def scenario(world):
        writer = world.new_writer()
        writer.counter.count_request("w", world.counter.now())
        world.store.down = True
        await writer.flush()
        world.store.down = False
        writer.counter.count_request("w", world.counter.now())
        await writer.flush()
        assert await world.new_reporter().sum_counts(world.window) == {"w": 2}
        before = world.store.version
        await writer.flush()
        assert world.store.version == before, "unchanged counts were written again"

    run_scenario(scenario)


def test_write_that_takes_effect_late_does_not_replace_newer_counts():
    """Guards against lost counts: a late write of one request replaced that of two."""

    async def scenario():
        async with open_store() as (server, store):
            world = UsageWorld(tables=store)
            writer = world.new_writer()
            for lost in (True, False, True, False):
                writer.counter.count_request("w", world.counter.now())
                with losing_writes(server) if lost else contextlib.nullcontext():
                    await writer.flush()
            await wait_for_late_writes(server)
            counts = await world.new_reporter().sum_counts(world.window)
            assert counts == {"w": 4}
            assert not writer.counter.unwritten_windows

    asyncio.run(scenario())


def test_counts_are_written_after_a_write_whose_answer_was_lost():
    async def scenario(world):
        writer = world.new_writer()
        for total in range(1, 4):
            writer.counter.count_request("w", world.counter.now())
            world.store.lost_answers = 1
            for _ in range(3):
                await writer.flush()
            counts = await world.new_reporter().sum_counts(world.window)
            assert counts == {"w": total}
            assert not writer.counter.unwritten_windows

    run_scenario(scenario)


def test_counts_are_written_again_after_their_row_was_removed():
    async def scenario(world):
        writer = world.new_writer()
        writer.counter.count_request("w", world.counter.now())
        await writer.flush()
        part = part_name(world.window, writer.shard)
        await world.store.commit([Write(USAGE_TABLE, writer.session, part=part)])
        writer.counter.count_request("w", world.counter.now())
        for _ in range(2):
            await writer.flush()
        assert await world.new_reporter().sum_counts(world.window) == {"w": 2}

    run_scenario(scenario)


def test_invalid_rows_of_another_writer_are_ignored():
    async def scenario(world):
        part = part_name(world.window, 0)
        writer = world.new_writer()
        writer.counter.count_request("w", world.counter.now())
        await writer.flush()
        for value in ({}, {"counts": [1]}, {"counts": {"w": "x"}}):
            await world.store.commit([Write(USAGE_TABLE, "other", value, part=part)])
            assert await world.new_reporter().sum_counts(world.window) == {"w": 1}
        lease = world.new_lease()
        await world.store.commit([Write("leases", "usage", {"owner": 7})])
        assert not await lease.renew_or_acquire()
        await lease.release()

    run_scenario(scenario)


# Which requests count, tested with a gateway and stand-ins of the platform.


async def gateway_counts(tmp_path, scenario):
    """Run a scenario with a gateway that counts usage; return the gateway's counts."""
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
            await wait_until(lambda: world.gateway.directory.routes.version == 2)
            await scenario(world, cloud)
            windows = world.gateway.accounting.counter.counts_by_window.values()
            return {
                name: sum(counts[name] for counts in windows) for name in ("one", "two")
            }
    finally:
        await world.close()
        cloud.server.listener.close()


def run_and_count(tmp_path, scenario):
    return asyncio.run(gateway_counts(tmp_path, scenario))


def test_request_counts_once_for_its_workspace(tmp_path):
    async def scenario(world, cloud):
        for number in range(3):
            await world.send_request("POST", "/app/1", f"a{number}", key="k1")
        await world.send_request("POST", "/flow/1", "s", key="k2")

    assert run_and_count(tmp_path, scenario) == {"one": 3, "two": 1}


def test_public_routes_wrong_keys_and_job_items_do_not_count(tmp_path):
    async def scenario(world, cloud):
        await world.send_request("POST", "/score/1", "p")
        await world.send_request("POST", "/app/1", "w", key="wrong")
        await world.send_request("POST", "/batch/1", "job", job_body("job"), key="k1")
        await wait_until(lambda: len([r for r in world.engine.runs if "end" in r]) >= 4)

    assert run_and_count(tmp_path, scenario) == {"one": 0, "two": 0}


def test_request_refused_by_servers_does_not_count(tmp_path):
    async def scenario(world, cloud):
        world.app.slots = 0
        exchange, _ = await world.send_request("POST", "/app/1", "a", key="k1")
        assert exchange.status == 503

    assert run_and_count(tmp_path, scenario) == {"one": 0, "two": 0}


def test_request_that_ran_twice_without_an_answer_counts_once(tmp_path):
    async def scenario(world, cloud):
        other = FakeWorker("app")
        await world.register(other)
        await wait_until(lambda: other.id in world.gateway.directory.servers)
        world.app.loses_answers = other.loses_answers = True
        exchange, _ = await world.send_request("POST", "/app/1", "a", key="k1")
        assert exchange.status == 502
        assert len(world.app.runs) + len(other.runs) == 2

    assert run_and_count(tmp_path, scenario) == {"one": 1, "two": 0}


def test_reports_reach_the_platform_despite_its_faults(tmp_path):
    async def scenario(world, cloud):
        for number in range(5):
            await world.send_request("POST", "/app/1", f"a{number}", key="k1")
        cloud.faults = Faults(status=429)
        await asyncio.sleep(2)
        cloud.faults = Faults(lose=True)
        await wait_until(lambda: cloud.calls)
        cloud.faults = Faults()

        def reported_requests():
            windows = {call.window: call.counts for call in cloud.calls}
            return sum(counts.get("one", 0) for counts in windows.values())

        await wait_until(lambda: reported_requests() == 5)
        assert not find_violations(cloud.calls)

    assert run_and_count(tmp_path, scenario)["one"] == 5


def test_stopping_gateway_drains_its_ports_without_waiting_for_its_duty(tmp_path):
    """Guards against requests cut off by the platform's kill at the end of a stop.

    The gateway waited for a slow call of its duty before it began to drain.
    """

    async def scenario(world, cloud):
        accounting = world.gateway.accounting
        await accounting.duty.step_lock.acquire()
        stopping = asyncio.create_task(world.gateway.drain(0.2))
        await asyncio.sleep(0)
        assert all(port.server.draining for port in world.gateway.ports[:1])
        await stopping
        assert accounting.duty.stopping

    run_and_count(tmp_path, scenario)


def test_stand_in_detects_reports_that_two_holders_would_send():
    calls = [
        ReceivedReport(0.0, "a", 1, 7, {"w": 1}),
        ReceivedReport(1.0, "b", 2, 7, {"w": 2}),
        ReceivedReport(1.5, "c", 2, 8, {}),
        ReceivedReport(2.0, "b", 1, 9, {}),
    ]
    assert find_violations(calls) == [
        "different reports of window 7",
        "two hosts with token 2",
        "two hosts with token 1",
        "token 1 of b after token 2",
        "b calls again after 1.0 s",
    ]
    assert not find_violations([calls[0], calls[0]])
