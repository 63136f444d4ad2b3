"""A backend server that starts again under its id holds and knows nothing of before."""

import asyncio
import random

import attrs
import pytest

from gypsumshift.httpclient import Fetcher, FetchError
from gypsumshift.jobs.engine import EngineReport
from gypsumshift.jobs.localengine import AgentIdentity, LocalEngine
from gypsumshift.serving import BackendServer, Directory
from gypsumshift.serving.directory import ServerStart
from gypsumshift.serving.loadbalancer import LoadBalancer
from tests.builders import ManualClock
from tests.job_builders import ADDRESS, SERVICE, FakeEngine, JobCluster, server


def born(start, **changes):
    """Return a start of the one server of these tests."""
    return attrs.evolve(server("e1"), born=start, **changes)


def test_an_entry_of_an_older_start_never_replaces_a_newer_one():
    directory = Directory()
    directory.set_server(born(2))
    directory.set_server(born(1, ready=False))
    assert directory.servers["e1"] == born(2)
    directory.forget_server("e1")
    directory.set_server(born(1))
    assert not directory.servers


def test_who_asked_is_told_of_the_old_start():
    directory, told = Directory(), []
    directory.on_restart.append(told.append)
    directory.set_server(born(1))
    directory.set_server(born(1, ready=False))
    directory.set_server(born(2))
    assert told == [born(1, ready=False)]


def test_failures_load_and_pace_of_the_old_start_are_not_held_against_the_new_one():
    clock = ManualClock()
    pool = LoadBalancer("here", clock, random.Random(1))
    for _ in range(3):
        pool.record_failure(born(1), [born(1)])
    pool.record_success(born(1), 5.0)
    pool.record_load(born(1), 9)
    assert pool.stats(born(1)).avoided_until > clock.monotonic()
    assert pool.choose([born(2)], {born(1).start}) == born(2)
    fresh = pool.stats(born(2))
    assert (fresh.avoided_until, fresh.latency, fresh.busy, fresh.failures) == (
        0,
        0,
        0,
        0,
    )
    # An answer of the old start that comes late counts for that one.
    pool.record_failure(born(1), [born(2)])
    assert pool.stats(born(2)).failures == 0
    pool.prune({born(2).start})
    assert list(pool.stats_by_start) == [born(2).start]


class Reporter:
    """Engine that gives the reports of a list."""

    def __init__(self, *reports):
        self.reports = list(reports)

    async def fetch_report(self, server):
        return self.reports.pop(0)


def report(start, version=1, orders=0):
    return EngineReport({"m": version}, False, orders, 0, 0, start)


def make_local_engine(*reports):
    directory = Directory()
    directory.set_server(born(1))
    home = AgentIdentity("a", SERVICE, ADDRESS)
    station = LocalEngine(home, directory, Reporter(*reports), ManualClock())
    return station, directory


def test_a_report_of_another_start_is_not_believed():
    async def scenario():
        station, directory = make_local_engine(report(1, 3), report(1, 3), report(2, 1))
        assert await station.fetch_report()
        assert station.versions == {"m": 3}
        directory.set_server(born(2))
        assert station.versions == {}
        assert await station.fetch_report() is None
        assert station.versions == {}
        assert (await station.fetch_report()).versions == {"m": 1}
        assert station.versions == {"m": 1}

    asyncio.run(scenario())


def test_a_server_of_another_service_at_the_address_is_not_the_engine():
    station, directory = make_local_engine()
    directory.forget_server("e1")
    directory.set_server(born(1, service="app"))
    assert station.server is None


@pytest.mark.parametrize("cut", [False, True])
def test_runs_at_a_start_that_is_no_more_go_on_at_once(cut):
    """Behind a silent connection they would wait for three seconds."""

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
            # The streams end as `Fetcher.cut` ends them.
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


def test_connections_to_the_old_start_are_cut_but_for_what_may_not_be_repeated():
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


def test_a_mutant_that_knows_servers_by_their_ids_alone_is_caught(monkeypatch):
    by_id = property(lambda server: ServerStart(server.id, 0))
    monkeypatch.setattr(BackendServer, "start", by_id)
    for caught in (
        test_who_asked_is_told_of_the_old_start,
        test_failures_load_and_pace_of_the_old_start_are_not_held_against_the_new_one,
        test_a_report_of_another_start_is_not_believed,
    ):
        with pytest.raises(AssertionError):
            caught()
