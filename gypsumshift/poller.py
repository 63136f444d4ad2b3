"""Poller: periodic reads of the platform for one process and its neighbours."""

import json

from gypsumshift.outcomes import Missing, Unavailable
from gypsumshift.platforms import Host
from gypsumshift.revisions import CONFIG_HEAD_KEY, HEADS_TABLE

__all__ = ["LEAVING_PREFIX", "WEIGHTS_PREFIX", "Poller"]

# Time between two reads of the heads and of the list of hosts.
HEADS_PERIOD_S = 0.5
HOSTS_PERIOD_S = 10.0
# Time between two attempts to load a first revision.
STARTUP_RETRY_PERIOD_S = 0.2
# Number of neighbours that must have reported a revision before a process that has none
# and cannot read the platform may start with the newest one reported.
MIN_REVISION_REPORTS = 2
WEIGHTS_PREFIX = "weights/"
LEAVING_PREFIX = "leaving/"


class Poller:
    """Reads revisions, weight versions and the list of hosts from the platform.

    Parameters
    ----------
    process : Process
        Receives what was read.

    Attributes
    ----------
    head_seen : int or None
        Newest revision by the platform when this process started; None if the platform
        has not answered yet.
    """

    def __init__(self, process):
        self.process = process
        self.tables = process.platform.tables
        self.hosts = process.platform.hosts
        self.head_seen: int | None = None

    async def load_first_revision(self) -> None:
        """Load a first revision from the platform, retrying until there is one."""
        process = self.process
        while not process.active_revision.ready:
            head = await process.revision_history.read_newest_number()
            if not isinstance(head, Unavailable):
                self.head_seen = head
                await self.load_revision(head)
            if not process.active_revision.ready:
                await process.clock.sleep(STARTUP_RETRY_PERIOD_S)

    def may_start_with(self, number: int) -> bool:
        """Return whether a process without a revision may start with this one.

        It may if the platform or several neighbours reported no newer one. A single
        neighbour is not enough, since it may have been disconnected for long.
        """
        if self.head_seen is not None:
            return number >= self.head_seen
        known = self.process.membership.peers.values()
        reported = [each.revision for each in known if each.revision >= 0]
        return len(reported) >= MIN_REVISION_REPORTS and number >= max(reported)

    async def load_revision(self, number: int) -> None:
        """Read a revision from the platform and apply it if it is newer."""
        if number <= self.process.active_revision.number:
            return
        accepted = await self.process.revision_history.read_revision(number)
        if isinstance(accepted, (Missing, Unavailable)):
            return
        self.process.adopt_revision(number, json.dumps(accepted.declarations))

    async def run(self) -> None:
        """Announce this process, and read heads and hosts if it is assigned to."""
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
        """Add this process to the platform's list of hosts; return success."""
        own = self.process.member
        host = Host(own.name, f"{own.host}:{own.port}", own.zone)
        return not isinstance(await self.hosts.announce(host), Unavailable)

    async def read_heads(self) -> None:
        """Read the newest revision and the weight versions in one scan."""
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
