"""Restarts of a backend server under its id: state of the old start is dropped."""

import asyncio
import random

import attrs
import pytest

from gypsumshift.httpclient import Fetcher, FetchError
from gypsumshift.jobs.engine import EngineReport
from gypsumshift.jobs.localengine import AgentIdentity, LocalEngine
from gypsumshift.serving import BackendServer, Directory, ServerLoad
from gypsumshift.serving.directory import ServerStart
from gypsumshift.serving.loadbalancer import LoadBalancer
from tests.builders import ManualClock
from tests.job_builders import ADDRESS, SERVICE, FakeEngine, JobCluster, server


def born(start, **changes):
    """Return the server of these tests, started at the given time."""
    return attrs.evolve(server("e1"), born=start, **changes)


def test_an_entry_of_an_older_start_never_replaces_a_newer_one():
    directory = Directory()
    directory.set_server(born(2))
    directory.set_server(born(1, ready=False))
    assert directory.servers["e1"] == born(2)
    directory.forget_server("e1")
    directory.set_server(born(1))
    assert not directory.servers


def test_restart_callbacks_receive_the_old_start():
    directory, received = Directory(), []
    directory.on_restart.append(received.append)
    directory.set_server(born(1))
    directory.set_server(born(1, ready=False))
    directory.set_server(born(2))
    assert received == [born(1, ready=False)]


def test_a_new_start_does_not_inherit_failures_load_and_latency():
    clock = ManualClock()
    balancer = LoadBalancer("here", clock, random.Random(1))
    for _ in range(3):
        balancer.record_failure(born(1), [born(1)])
    balancer.record_success(born(1), 5.0)
    balancer.record_load(born(1), ServerLoad(6, 3, 6))
    assert balancer.stats(born(1)).avoided_until > clock.monotonic()
    assert balancer.choose([born(2)], {born(1).start}) == born(2)
    fresh = balancer.stats(born(2))
    assert (
        fresh.avoided_until,
        fresh.latency,
        fresh.busy,
        fresh.consecutive_failures,
    ) == (
        0,
        0,
        0,
        0,
    )
    # A late answer of the old start counts for the old start.
    balancer.record_failure(born(1), [born(2)])
    assert balancer.stats(born(2)).consecutive_failures == 0
    balancer.prune({born(2).start})
    assert list(balancer.estimates.stats_by_start) == [born(2).start]


class Reporter:
    """Engine that returns the reports of a list in turn."""

    def __init__(self, *reports):
        self.reports = list(reports)

    async def fetch_report(self, server):
        return self.reports.pop(0)


def report(start, version=1, orders=0):
    return EngineReport({"m": version}, False, orders, 0, 0, start)


def make_local_engine(*reports):
    directory = Directory()
    directory.set_server(born(1))
    identity = AgentIdentity("a", SERVICE, ADDRESS)
    local_engine = LocalEngine(identity, directory, Reporter(*reports), ManualClock())
    return local_engine, directory


def test_a_report_of_another_start_is_ignored():
    async def scenario():
        local_engine, directory = make_local_engine(
            report(1, 3), report(1, 3), report(2, 1)
        )
        assert await local_engine.fetch_report()
        assert local_engine.versions == {"m": 3}
        directory.set_server(born(2))
        assert local_engine.versions == {}
        assert await local_engine.fetch_report() is None
        assert local_engine.versions == {}
        assert (await local_engine.fetch_report()).versions == {"m": 1}
        assert local_engine.versions == {"m": 1}

    asyncio.run(scenario())


def test_a_server_of_another_service_at_the_address_is_not_used_as_engine():
    local_engine, directory = make_local_engine()
    directory.forget_server("e1")
    directory.set_server(born(1, service="app"))
    assert local_engine.server is None


@pytest.mark.parametrize("cut", [False, True])
def test_runs_at_an_ended_start_continue_at_once(cut):
    """Runs on a connection without traffic would otherwise wait for 3 s."""

    async def scenario():
        world = JobCluster()
        engine = FakeEngine()
        engine.may_finish.clear()
        agent = world.agent(engine=engine)
        agent.local_engine.directory.set_server(born(1, id="e-a"))
        await world.submit()
        while len(engine.running) < 4:
            await asyncio.sleep(0.01)
        before = len(engine.started)
        if cut:
            # The streams break as after `Fetcher.cut`.
            engine.break_at = dict.fromkeys(engine.running, 2)
        engine.length = 3
        agent.local_engine.directory.set_server(born(2, id="e-a"))
        assert agent.local_engine.versions == {}
        engine.may_finish.set()
        results = await world.results()
        assert len(results) == 4
        assert len(engine.started) >= before
        await world.close()

    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_connections_to_the_old_start_are_cut_except_for_unrepeatable_requests():
    async def scenario():
        async def silent(reader, writer):
            await reader.read()
            writer.close()

        listener = await asyncio.start_server(silent, "127.0.0.1", 0)
        address = listener.sockets[0].getsockname()[:2]
        fetcher = Fetcher()
        runs = [
            asyncio.create_task(fetcher.open(address, "GET", "/", [], fresh=fresh))
            for fresh in (False, True)
        ]
        while len(fetcher.in_use.get(address, ())) < 2:
            await asyncio.sleep(0.01)
        fetcher.close_connections(address)
        with pytest.raises(FetchError):
            await runs[0]
        assert not runs[1].done()
        assert len(fetcher.in_use[address]) == 1
        runs[1].cancel()
        await asyncio.gather(*runs, return_exceptions=True)
        assert not fetcher.in_use
        listener.close()

    asyncio.run(asyncio.wait_for(scenario(), 20))


def test_a_mutant_that_identifies_servers_by_id_alone_is_caught(monkeypatch):
    by_id = property(lambda server: ServerStart(server.id, 0))
    monkeypatch.setattr(BackendServer, "start", by_id)
    for caught in (
        test_restart_callbacks_receive_the_old_start,
        test_a_new_start_does_not_inherit_failures_load_and_latency,
        test_a_report_of_another_start_is_ignored,
    ):
        with pytest.raises(AssertionError):
            caught()
