"""Evacuated zones from end to end; the last arrival is measured at the server.

Guards against requests to servers of a zone that the operator evacuated, and against a
zone that gets no requests after its evacuation ended. Each test of a trouble is run
again without the mechanism that handles it, and must then fail.
"""

import asyncio
import random
import time

import pytest

from gypsumshift.jobs.localengine import LocalEngine
from gypsumshift.outcomes import Answered, NotRun
from gypsumshift.policy import ENVIRONMENT_VARIABLE
from gypsumshift.serving import Directory
from gypsumshift.serving.calls import Refused
from gypsumshift.serving.evacuations import (
    ZONE_EVACUATED,
    Evacuations,
    EvacuationSection,
)
from gypsumshift.watch import MAX_FEED_WAIT
from standins.users_store import Faults
from tests.system import wait_until
from tests.test_connect_hedge import make_call, make_forwarder
from tests.zone_cluster import run_in_zones, silence

# Time after the store's answer from which nothing may arrive (`bounds.evacuate_ms`).
BOUND_S = 5.0
# The same for a store without troubles: the latency of the feed and of a request.
QUIET_BOUND_S = 0.5
# Time for which requests go on after the bound.
WATCHED_S = 1.0


def leave_out_nothing(monkeypatch):
    """Switch the filters and the check before each send off."""
    monkeypatch.setattr(Directory, "outside_evacuated_zones", lambda self, found: found)
    monkeypatch.setattr(Evacuations, "accepts", lambda self, zone: True)
    monkeypatch.setattr(LocalEngine, "is_evacuated", False)


def ignore_missing_rows(monkeypatch):
    """Ignore that a row is missing from a whole read, as the feed did before."""

    def apply_table(self, versions, version, age):
        self.loaded = True
        for zone, row_version in versions.items():
            self.apply(zone, row_version, True, age, "store")

    monkeypatch.setattr(Evacuations, "apply_table", apply_table)


def ignore_removals(monkeypatch):
    """Ignore removed rows, as the feed did before."""
    apply = Evacuations.apply_row
    monkeypatch.setattr(
        Evacuations,
        "apply_row",
        lambda self, zone, version, evacuated: (
            apply(self, zone, version, True) if evacuated else None
        ),
    )


def ignore_whole_reads(monkeypatch):
    """Apply only changes, and nothing of a whole read but the configuration."""
    from directory_feed import DirectoryFeed

    def replace_operator_rows(self, rows):
        self.directory.evacuations.loaded = True
        self.apply_operator_rows([row for row in rows if row.key == "config"])

    monkeypatch.setattr(DirectoryFeed, "replace_operator_rows", replace_operator_rows)


def use_no_neighbours(monkeypatch):
    """Neither relay calls of the store nor exchange digests."""
    monkeypatch.setenv(
        ENVIRONMENT_VARIABLE, "store_through_neighbours,shared_sight,shared_rereads"
    )


class LateArrival(AssertionError):
    """A request arrived at an evacuated server after the bound."""


class NoReturn(AssertionError):
    """A server got no request in time after the end of its evacuation."""


def with_and_without(remove, expected=LateArrival):
    """Run a test with its mechanism, and without it, where it must fail."""

    def decorate(test):
        @pytest.mark.parametrize("mechanism", [True, False], ids=["with", "without"])
        def run(tmp_path, monkeypatch, mechanism):
            if mechanism:
                test(tmp_path)
                return
            remove(monkeypatch)
            with pytest.raises(expected):
                test(tmp_path)

        run.__name__, run.__doc__ = test.__name__, test.__doc__
        return run

    return decorate


async def check_silence(worker, since, bound):
    """Check that nothing arrives from ``bound`` seconds after a time on."""
    await asyncio.sleep(since + bound + WATCHED_S - time.monotonic())
    late = worker.last_arrival - since
    if late >= bound:
        raise LateArrival(f"the last request arrived after {late:.2f} s")


async def check_return(cluster, gateway, since, bound):
    """Check that the server gets requests within a time after the evacuation.

    The other server alone cannot take all requests of a burst.
    """
    while worker_is_unused(cluster.east, since):
        if time.monotonic() > since + bound:
            raise NoReturn
        await asyncio.gather(*(cluster.call(gateway, f"b{n}") for n in range(12)))


def worker_is_unused(worker, since):
    """Return whether a server got no request since a time."""
    return worker.last_arrival < since


async def silence_for_all_feeds(store):
    """Let a server of the store answer nothing; feeds that were open have ended."""
    silence(store)
    await asyncio.sleep(MAX_FEED_WAIT.total_seconds() + 0.2)


@with_and_without(leave_out_nothing)
def test_no_request_arrives_in_an_evacuated_zone_until_its_row_is_removed(tmp_path):
    async def scenario(cluster):
        async with cluster.traffic():
            await cluster.wait_for_arrival(cluster.east, time.monotonic())
            since = await cluster.evacuate("east")
            await check_silence(cluster.east, since, QUIET_BOUND_S)
            assert cluster.app.last_arrival > since, "other zones serve the callers"
            await check_return(
                cluster, cluster.gateway, await cluster.end_evacuation("east"), 1.0
            )

    run_in_zones(scenario, tmp_path)


@with_and_without(leave_out_nothing)
def test_the_engine_of_an_evacuated_zone_gets_no_reports_until_it_returns(tmp_path):
    async def scenario(cluster):
        await cluster.wait_for_arrival(cluster.engine, time.monotonic())
        since = await cluster.evacuate("here")
        await check_silence(cluster.engine, since, QUIET_BOUND_S)
        after = await cluster.end_evacuation("here")
        await cluster.wait_for_arrival(cluster.engine, after)

    run_in_zones(scenario, tmp_path)


@with_and_without(leave_out_nothing)
def test_an_order_that_arrives_while_the_store_is_slow_is_followed(tmp_path):
    async def scenario(cluster):
        async with cluster.traffic():
            cluster.store.faults = Faults(slow=0.4)
            since = await cluster.evacuate("east")
            await check_silence(cluster.east, since, 2.5)
            await check_return(
                cluster, cluster.gateway, await cluster.end_evacuation("east"), 3.0
            )

    run_in_zones(scenario, tmp_path)


@with_and_without(use_no_neighbours)
def test_an_order_reaches_a_gateway_that_the_store_does_not_answer(tmp_path):
    async def scenario(cluster):
        own_store, port = await cluster.open_second_store_port()
        await cluster.add_gateway("second", tmp_path, cluster.store_port, waits=False)
        cut_off = await cluster.add_gateway("third", tmp_path, port, waits=False)
        await wait_until(lambda: cut_off.ready and cluster.gateways[1].ready)
        await cluster.wait_until_listed(cut_off, cluster.east)
        async with cluster.traffic(cut_off):
            await cluster.wait_for_arrival(cluster.east, time.monotonic())
            await silence_for_all_feeds(own_store)
            since = await cluster.evacuate("east")
            await check_silence(cluster.east, since, BOUND_S)

    run_in_zones(scenario, tmp_path)


@pytest.mark.parametrize("mechanism", [True, False], ids=["with", "without"])
def test_an_order_reaches_a_gateway_without_the_store_in_digests(
    tmp_path, monkeypatch, mechanism
):
    """No call of the store is relayed, as while the store is away for all."""
    without = "store_through_neighbours,shared_rereads"
    monkeypatch.setenv(ENVIRONMENT_VARIABLE, without)
    if not mechanism:
        monkeypatch.setattr(EvacuationSection, "encode", lambda self: None)

    async def scenario(cluster):
        own_store, port = await cluster.open_second_store_port()
        cut_off = await cluster.add_gateway("third", tmp_path, port, waits=False)
        await wait_until(lambda: cut_off.ready)
        await cluster.wait_until_listed(cut_off, cluster.east)
        async with cluster.traffic(cut_off):
            await cluster.wait_for_arrival(cluster.east, time.monotonic())
            await silence_for_all_feeds(own_store)
            since = await cluster.evacuate("east")
            if mechanism:
                await check_silence(cluster.east, since, BOUND_S)
                return
            with pytest.raises(LateArrival):
                await check_silence(cluster.east, since, BOUND_S)

    run_in_zones(scenario, tmp_path)


@with_and_without(ignore_whole_reads)
def test_an_order_is_followed_though_the_store_lost_its_history(tmp_path):
    async def scenario(cluster):
        async with cluster.traffic():
            cluster.store.faults = Faults(down="reset")
            await asyncio.sleep(0.2)
            since = await cluster.evacuate("east")
            cluster.store.tables.drop_history()
            cluster.store.faults = Faults()
            await check_silence(cluster.east, since, 2.0)

    run_in_zones(scenario, tmp_path)


@with_and_without(ignore_missing_rows, NoReturn)
def test_a_removal_is_followed_though_the_store_lost_its_history(tmp_path):
    async def scenario(cluster):
        async with cluster.traffic():
            since = await cluster.evacuate("east")
            await check_silence(cluster.east, since, QUIET_BOUND_S)
            cluster.store.faults = Faults(down="reset")
            await asyncio.sleep(0.2)
            after = await cluster.end_evacuation("east")
            cluster.store.tables.drop_history()
            cluster.store.faults = Faults()
            await check_return(cluster, cluster.gateway, after, 3.0)

    run_in_zones(scenario, tmp_path)


@with_and_without(ignore_removals, NoReturn)
def test_a_removal_reaches_a_process_that_was_cut_off_from_everyone(tmp_path):
    async def scenario(cluster):
        async with cluster.traffic():
            since = await cluster.evacuate("east")
            await check_silence(cluster.east, since, QUIET_BOUND_S)
            await silence_for_all_feeds(cluster.store)
            after = await cluster.end_evacuation("east")
            await asyncio.sleep(0.5)
            await check_silence(cluster.east, after, 0.0)
            cluster.store.faults = Faults()
            await check_return(cluster, cluster.gateway, time.monotonic(), 3.0)

    run_in_zones(scenario, tmp_path)


@with_and_without(leave_out_nothing)
def test_an_order_that_is_given_again_within_a_second_is_followed(tmp_path):
    async def scenario(cluster):
        async with cluster.traffic():
            for _ in range(5):
                await cluster.evacuate("east")
                await asyncio.sleep(random.random() * 0.1)
                await cluster.end_evacuation("east")
                await asyncio.sleep(random.random() * 0.1)
            since = await cluster.evacuate("east")
            await check_silence(cluster.east, since, QUIET_BOUND_S)
            assert cluster.gateway.directory.evacuations.zones == {"east"}

    run_in_zones(scenario, tmp_path)


def retry_in_rounds(monkeypatch):
    """Treat evacuated servers like servers that are full."""
    monkeypatch.setattr(Directory, "is_service_evacuated", lambda self, name: False)


@with_and_without(retry_in_rounds, AssertionError)
def test_requests_are_refused_at_once_while_all_zones_are_evacuated(tmp_path):
    async def scenario(cluster):
        since = await cluster.evacuate("east", "here")
        for worker in (cluster.east, cluster.app, cluster.engine):
            await check_silence(worker, since, QUIET_BOUND_S)
        for target in ("/app/1", "/once/1", "/flow/1"):
            status, took, retry_after = await cluster.call(
                cluster.gateway, target, target
            )
            assert status == 503 and float(retry_after) == 1.0
            assert took < 0.05, f"refused after {took:.3f} s"
        for worker in (cluster.east, cluster.app, cluster.engine):
            assert worker.last_arrival < since + QUIET_BOUND_S
        after = await cluster.end_evacuation("east")
        await wait_until(
            lambda: not cluster.gateway.directory.is_service_evacuated("app")
        )
        status, _, _ = await cluster.call(cluster.gateway, "again")
        assert status == 200 and cluster.east.last_arrival > after

    run_in_zones(scenario, tmp_path)


@with_and_without(ignore_whole_reads)
def test_a_process_that_starts_while_the_store_is_away_knows_the_zone(tmp_path):
    async def scenario(cluster):
        since = await cluster.evacuate("east")
        await wait_until(lambda: cluster.gateway.directory.evacuations.zones)
        await asyncio.sleep(QUIET_BOUND_S)
        own_store, port = await cluster.open_second_store_port()
        silence(own_store)
        silence(cluster.store)
        started = await cluster.add_gateway("started", tmp_path, port, waits=False)
        await cluster.wait_until_listed(started, cluster.east)
        await wait_until(lambda: started.directory.routes.version)
        for number in range(20):
            status, _, _ = await cluster.call(started, number)
            assert status == 200
        await check_silence(cluster.east, since, QUIET_BOUND_S)

    run_in_zones(scenario, tmp_path)


@with_and_without(leave_out_nothing)
def test_the_end_of_any_process_delays_neither_begin_nor_end(tmp_path):
    """No process has a duty: each follows the row, also while others are killed."""

    async def scenario(cluster):
        other = await cluster.add_gateway("other", tmp_path, cluster.store_port, False)
        await wait_until(lambda: other.ready)
        await cluster.wait_until_listed(other, cluster.east)
        async with cluster.traffic(other):
            since = await cluster.evacuate("east")
            cluster.tasks[0].cancel()
            await check_silence(cluster.east, since, QUIET_BOUND_S)
            await check_return(
                cluster, other, await cluster.end_evacuation("east"), 1.0
            )

    run_in_zones(scenario, tmp_path)


def ask_only_when_chosen(monkeypatch):
    """Leave the check out that is made right before a send."""
    monkeypatch.setattr(Directory, "accepts_requests", lambda self, server: True)


@with_and_without(ask_only_when_chosen)
def test_a_request_that_waits_for_its_connection_is_not_sent_after_the_order(tmp_path):
    async def scenario(cluster):
        fetcher, directory = (
            cluster.gateway.forwarder.sender.fetcher,
            (cluster.gateway.directory),
        )
        connect, waiting = fetcher.connect, asyncio.Event()
        go_on = asyncio.Event()

        async def connect_late(address, timeout):
            waiting.set()
            await go_on.wait()
            return await connect(address, timeout)

        fetcher.idle.clear()
        fetcher.connect = connect_late
        directory.forget_server(cluster.app.id)
        call = asyncio.create_task(cluster.call(cluster.gateway, "late", "/once/1"))
        await waiting.wait()
        await cluster.evacuate("east")
        await wait_until(lambda: directory.evacuations.zones)
        begun = time.monotonic()
        go_on.set()
        await asyncio.wait([call])
        await check_silence(cluster.east, begun, 0.0)

    run_in_zones(scenario, tmp_path)


def test_a_withheld_request_counts_as_not_run_and_goes_to_another_server():
    """A hedge or a retry uses the list of servers from the begin of the call."""

    async def scenario():
        forwarder = make_forwarder(silent=0)
        first = forwarder.directory.servers["0"]
        sent = []

        async def attempt(call, server, progress=None):
            if not forwarder.directory.accepts_requests(server):
                return Refused(ZONE_EVACUATED)
            sent.append(server.id)
            return Answered(200)

        forwarder.sender.attempt = attempt
        outcome = await forwarder.forward(make_call(1, forwarder))
        assert isinstance(outcome, Answered)
        forwarder.directory.evacuations.apply_row(first.zone, 1, True)
        sent.clear()
        outcome = await forwarder.forward(make_call(2, forwarder))
        assert isinstance(outcome, NotRun) and not sent

    asyncio.run(scenario())
