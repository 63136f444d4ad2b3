"""Poller: what a process reads of the platform for itself, and for others."""

import json

from gypsumshift.outcomes import Missing, Unavailable
from gypsumshift.platforms import Host
from gypsumshift.revisions import CONFIG_HEAD_KEY, HEADS_TABLE

__all__ = ["LEAVING_PREFIX", "WEIGHTS_PREFIX", "Poller"]

HEADS_PERIOD_S = 0.5
HOSTS_PERIOD_S = 10.0
STARTUP_RETRY_PERIOD_S = 0.2
MIN_REVISION_REPORTS = 2
WEIGHTS_PREFIX = "weights/"
LEAVING_PREFIX = "leaving/"


class Poller:
    """Reads the platform for one process.

    Parameters
    ----------
    process : Process
    """

    def __init__(self, process):
        self.process = process
        self.tables = process.platform.tables
        self.hosts = process.platform.hosts
        self.head_seen: int | None = None

    async def load_first_revision(self) -> None:
        """Learn a revision to begin with, from the platform."""
        process = self.process
        while not process.active_revision.ready:
            head = await process.revision_history.read_newest_number()
            if not isinstance(head, Unavailable):
                self.head_seen = head
                await self.load_revision(head)
            if not process.active_revision.ready:
                await process.clock.sleep(STARTUP_RETRY_PERIOD_S)

    def may_start_with(self, number: int) -> bool:
        """Tell whether a process without a revision may begin with this one.

        It may where the platform said that none is newer, or several neighbours
        did: a single neighbour may have been cut off for long.
        """
        if self.head_seen is not None:
            return number >= self.head_seen
        known = self.process.membership.peers.values()
        told = [each.revision for each in known if each.revision >= 0]
        return len(told) >= MIN_REVISION_REPORTS and number >= max(told)

    async def load_revision(self, number: int) -> None:
        """Read a revision from the platform and put it in force."""
        if number <= self.process.active_revision.number:
            return
        accepted = await self.process.revision_history.read_revision(number)
        if isinstance(accepted, (Missing, Unavailable)):
            return
        self.process.adopt_revision(number, json.dumps(accepted.declarations))

    async def run(self) -> None:
        """Announce this process; read heads and hosts where that is its task."""
        process = self.process
        hosts_due = 0.0
        announced = False
        while True:
            if not announced:
                announced = await self.announce()
            if process.is_poller():
                await self.read_heads()
            if process.polls_hosts() and process.clock.monotonic() >= hosts_due:
                hosts_due = process.clock.monotonic() + HOSTS_PERIOD_S
                await self.read_hosts()
            await process.clock.sleep(HEADS_PERIOD_S)

    async def announce(self) -> bool:
        """Put this process on the platform's list; return whether it worked."""
        own = self.process.member
        host = Host(own.name, f"{own.host}:{own.port}", own.zone)
        return not isinstance(await self.hosts.announce(host), Unavailable)

    async def read_heads(self) -> None:
        """Read the newest revision and weight versions, in one scan."""
        rows = await self.tables.scan(HEADS_TABLE, "")
        if isinstance(rows, Unavailable):
            return
        for row in rows:
            if row.key == CONFIG_HEAD_KEY:
                await self.load_revision(row.value["number"])
            elif row.key.startswith(WEIGHTS_PREFIX):
                pool = row.key.removeprefix(WEIGHTS_PREFIX)
                self.process.set_target_version(pool, row.value["version"])

    async def read_hosts(self) -> None:
        """Read the platform's list of hosts."""
        hosts = await self.hosts.list()
        if not isinstance(hosts, Unavailable):
            self.process.membership.apply_host_list(hosts)
        self.process.membership.remove_stale_peers()
