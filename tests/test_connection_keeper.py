"""Connections that processes keep to servers for the proof of their starts.

Guards against calls that are refused at a warm server which nobody has used lately.
"""

import asyncio

import attrs
import pytest

from gypsumshift.serving.cold import Grant
from gypsumshift.serving.cold.keeper import PERIOD_SECONDS, ConnectionKeeper
from gypsumshift.serving.cold.proofs import LIVE_SECONDS
from tests.linked_world import ModelLink
from tests.test_coldrates import OTHER, entry, make_rates


class Division:
    """Division in which some process keeps the connections."""

    def __init__(self, keeper):
        self.table = self
        self.own_name = "own"
        self.keeper = keeper

    def keepers(self, server_id, capacity):
        return [self.keeper]


class Connector:
    """Client that opens connections to one start of a server."""

    def __init__(self, clock):
        self.clock = clock
        self.links = []
        self.refuses = False

    async def is_connection_refused(self, address, timeout):
        if not self.refuses:
            self.links.append(ModelLink(self.clock.seconds, self.clock.seconds, 1))
        return self.refuses


def make_keeper(keeper="own", **changes):
    rates, clock = make_rates(own_engine=None)
    found = attrs.evolve(entry(address=OTHER, service="app"), **changes)
    rates.directory.set_server(found)
    rates.proofs.entries_current_at = clock.monotonic
    connector = Connector(clock)
    rates.proofs.links = lambda address: connector.links
    return ConnectionKeeper(rates, Division(keeper), connector, clock), found


def run(keeper, seconds):
    """Look at the connections as often as the keeper does."""
    for _ in range(round(seconds / PERIOD_SECONDS)):
        keeper.clock.advance(PERIOD_SECONDS)
        for server in keeper.servers():
            asyncio.run(keeper.renew(server))


def test_an_unused_server_stays_proved():
    keeper, found = make_keeper()
    run(keeper, 4)
    # From now on no entry arrives, as while the store is away.
    current_at = keeper.clock.seconds
    keeper.rates.proofs.entries_current_at = lambda: current_at
    for _ in range(20):
        run(keeper, 1)
        assert keeper.rates.lending.lend(found.start) is Grant.RUNNING
    assert len(keeper.fetcher.links) <= 13


def test_a_restart_ends_the_proof():
    keeper, found = make_keeper()
    run(keeper, 4)
    current_at = keeper.clock.seconds
    keeper.rates.proofs.entries_current_at = lambda: current_at
    for link in keeper.fetcher.links:
        link.closed = True
    run(keeper, LIVE_SECONDS * 2)
    assert not keeper.rates.proofs.is_running(found)


@pytest.mark.parametrize(
    ("keeper", "changes"),
    [("other", {}), ("own", {"ready": False}), ("own", {"service": "none"})],
)
def test_no_connection_is_kept_that_is_of_no_use(keeper, changes):
    kept, _ = make_keeper(keeper, **changes)
    run(kept, 5)
    assert not kept.fetcher.links


def test_no_connection_is_kept_to_an_evacuated_server():
    keeper, found = make_keeper()
    keeper.rates.directory.accepts_requests = lambda server: False
    run(keeper, 5)
    assert not keeper.fetcher.links


def test_a_server_that_refuses_connections_counts_as_cold():
    keeper, found = make_keeper()
    assert not keeper.rates.is_cold(found)
    keeper.fetcher.refuses = True
    run(keeper, 1)
    assert keeper.rates.is_cold(found)
