"""Heartbeats between processes: liveness, load, changes and the newest revision.

Each heartbeat is answered by another, so that one exchange updates both processes.
Changes of other processes and of weight versions are sent along with them.
"""

import asyncio

from gypsumshift import logs
from gypsumshift.generated import messages
from gypsumshift.generated.messages import Body, Heartbeat, Member
from gypsumshift.peerconnection import PeerConnection, PeerConnectionError

__all__ = ["HeartbeatExchanger"]

ANSWER_TIMEOUT_S = 1.0
PULL_TIMEOUT_S = 2.0
# Least pause between two rounds of heartbeats.
MIN_GAP_S = 0.02
# Limit on the changed peers in one heartbeat.
MAX_CHANGED_PEERS = 8
# Peers added at random to each heartbeat.
RANDOM_PEERS = 1
# A peer counts as changed for this long.
CHANGE_WINDOW_S = 10.0

log = logs.logger("heartbeat")


class HeartbeatExchanger:
    """Exchanges heartbeats for one process.

    Parameters
    ----------
    process : Process

    Attributes
    ----------
    wake : asyncio.Event
        Starts the next round of heartbeats at once.
    include_callers : bool
        Whether the next round also goes to the peers that only call this process.
    pending_addresses : set of (str, int)
        Addresses with an exchange in progress.
    """

    def __init__(self, process):
        self.process = process
        self.wake = asyncio.Event()
        self.include_callers = False
        self.pending_addresses: set[tuple[str, int]] = set()

    async def run(self) -> None:
        """Send heartbeats periodically, and at once when `wake` is set."""
        process = self.process
        while True:
            self.wake.clear()
            addresses = set(process.heartbeat_addresses())
            if self.include_callers:
                addresses |= {
                    peer.address for peer in process.membership.recent_callers()
                }
                self.include_callers = False
            addresses -= self.pending_addresses
            addresses.discard((process.member.host, process.member.port))
            for address in addresses:
                process.spawn(self.exchange_heartbeat(address))
            await process.clock.sleep(MIN_GAP_S)
            try:
                async with asyncio.timeout(process.heartbeat_period):
                    await self.wake.wait()
            except TimeoutError:
                pass

    def broadcast(self) -> None:
        """Send heartbeats at once, also to the peers that only call this process."""
        self.include_callers = True
        self.wake.set()

    async def exchange_heartbeat(self, address: tuple[str, int]) -> None:
        """Exchange heartbeats with one peer; pull its revision if that is newer."""
        self.pending_addresses.add(address)
        connection = self.process.connection(address)
        try:
            answer = await connection.call(
                Body(heartbeat=self.make_heartbeat()), ANSWER_TIMEOUT_S
            )
            if answer.heartbeat is None:
                return
            self.apply_heartbeat(answer.heartbeat)
            if answer.heartbeat.revision > self.process.active_revision.number:
                await self.pull_revision(connection)
        except PeerConnectionError as error:
            log.debug("Heartbeat exchange with {}:{} failed: {}.", *address, error)
        finally:
            self.pending_addresses.discard(address)

    async def pull_revision(self, connection: PeerConnection) -> None:
        """Request a peer's revision and activate it if it is newer."""
        request = messages.PullRevision(self.process.active_revision.number)
        answer = await connection.call(Body(pull_revision=request), PULL_TIMEOUT_S)
        if answer.revision is not None:
            self.process.adopt_revision(answer.revision.number, answer.revision.text)

    def make_heartbeat(self, pool: str = "") -> Heartbeat:
        """Return a heartbeat with the target version of ``pool``; if empty, of all."""
        targets = self.process.target_versions
        return Heartbeat(
            sender=self.process.member,
            revision=self.process.active_revision.number,
            load=self.process.load_report(),
            peers=self.members_to_send(pool),
            targets=[
                messages.Target(name, targets[name])
                for name in ([pool] if pool else targets)
                if name in targets
            ],
        )

    def members_to_send(self, pool: str) -> list[Member]:
        """Return the peers that changed recently, those of ``pool`` first, and others.

        The others are drawn at random, which in time repairs changes that were missed
        while heartbeats without changes stay short.
        """
        process = self.process
        since = process.clock.monotonic() - CHANGE_WINDOW_S
        everyone = list(process.membership.peers.values())
        changed = [peer for peer in everyone if peer.changed >= since]
        changed.sort(key=lambda peer: (peer.member.pool != pool, -peer.changed))
        others = process.random.sample(everyone, min(RANDOM_PEERS, len(everyone)))
        return [peer.member for peer in changed[:MAX_CHANGED_PEERS] + others]

    def apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Update membership and target versions from a peer's heartbeat.

        An entry forwards the changes at once.
        """
        membership = self.process.membership
        before = membership.change_count
        membership.apply_heartbeat(heartbeat.sender, heartbeat.revision, heartbeat.load)
        for member in heartbeat.peers:
            membership.merge_member(member)
        for target in heartbeat.targets:
            self.process.set_target_version(target.pool, target.version)
        if self.process.forwards_changes and membership.change_count != before:
            self.wake.set()

    def answer_heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        """Apply a received heartbeat and return the one that answers it.

        If the peer's revision is newer, a round of heartbeats starts at once, which
        pulls it.
        """
        self.apply_heartbeat(heartbeat)
        self.process.membership.record_call(heartbeat.sender.name)
        if heartbeat.revision > self.process.active_revision.number:
            self.wake.set()
        return self.make_heartbeat(heartbeat.sender.pool)
