"""Connections that prove the starts of servers which nobody uses at the moment.

Without any open connection, a server's start is proved only by entries, after some
seconds in which few requests may be sent. Two processes therefore keep a connection
without requests to each server, and answer the questions of the others.
"""

import asyncio
from typing import TYPE_CHECKING

from gypsumshift.clock import Clock
from gypsumshift.httpclient import Fetcher
from gypsumshift.serving.cold.senders import ChosenSenders
from gypsumshift.serving.directory import BackendServer

if TYPE_CHECKING:
    from gypsumshift.serving.coldrates import ColdRates

__all__ = ["ConnectionKeeper"]

# Time between two looks at the connections.
PERIOD_SECONDS = 1.0
# Age of the last data on the newest connection at which another one is opened. Servers
# and this process close idle connections after 4 s or more, and the next one has to be
# open before.
RENEW_SECONDS = 1.5
CONNECT_TIMEOUT_SECONDS = 0.3
# Time for which a process relies on being chosen for a server or not: to find out takes
# a hash for each process.
CHOICE_SECONDS = 5.0


class ConnectionKeeper:
    """Keeps connections to the servers for which this process is chosen.

    Parameters
    ----------
    rates : ColdRates
    division : ChosenSenders
    fetcher : Fetcher
    clock : Clock

    Attributes
    ----------
    choices : dict
        By server id, whether this process is chosen, and until when that is not looked
        at again.
    """

    def __init__(
        self,
        rates: "ColdRates",
        division: ChosenSenders,
        fetcher: Fetcher,
        clock: Clock,
    ):
        self.rates = rates
        self.division = division
        self.fetcher = fetcher
        self.clock = clock
        self.choices: dict[str, tuple[bool, float]] = {}

    async def run(self) -> None:
        """Renew the connections periodically until cancelled."""
        while True:
            await self.clock.sleep(PERIOD_SECONDS)
            await asyncio.gather(*map(self.renew, self.servers()))

    def servers(self) -> list[BackendServer]:
        """Return the servers to which this process keeps a connection."""
        directory = self.rates.directory
        if not directory.routes.limits_cold_servers:
            return []
        self.choices = {s: c for s, c in self.choices.items() if s in directory.servers}
        return [
            server
            for server in directory.servers.values()
            if server.ready
            and directory.accepts_requests(server)
            and self.is_chosen(server)
        ]

    def is_chosen(self, server: BackendServer) -> bool:
        """Return whether this process is one of a server's keepers."""
        limit, now = self.rates.limit(server), self.clock.monotonic()
        if limit is None:
            return False
        chosen, until = self.choices.get(server.id, (False, now))
        if now < until:
            return chosen
        capacity = self.rates.shared_limit(server, limit).capacity
        keepers = self.division.keepers(server.id, capacity)
        chosen = self.division.table.own_name in keepers
        self.choices[server.id] = chosen, now + CHOICE_SECONDS
        return chosen

    async def renew(self, server: BackendServer) -> None:
        """Open a connection to a server if the newest one will soon be too old."""
        now, proofs = self.clock.monotonic(), self.rates.proofs
        links = [link for link in proofs.links(server.address) if link.is_open()]
        if any(now - link.heard_at < RENEW_SECONDS for link in links):
            return
        if await self.fetcher.is_connection_refused(
            server.address, CONNECT_TIMEOUT_SECONDS
        ):
            self.rates.note_broken(server)
        elif proofs.is_running(server):
            # The older connection proves the new one.
            proofs.note_running(server, self.clock.monotonic())
