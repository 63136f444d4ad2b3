"""Heartbeats: who is alive, what is new, and the newest revision, from neighbours.

News rides on these messages, which flow anyway. Each heartbeat is answered by
one, so both sides learn.
"""

import asyncio

from gypsumshift import logs
from gypsumshift.generated import messages
from gypsumshift.generated.messages import Body, Heartbeat, Member
from gypsumshift.peerconnection import PeerConnection, PeerConnectionError

__all__ = ["HeartbeatExchanger"]

ANSWER_TIMEOUT_S = 1.0
PULL_TIMEOUT_S = 2.0
MIN_GAP_S = 0.02
MAX_CHANGED_PEERS = 8
RANDOM_PEERS = 1
CHANGE_WINDOW_S = 10.0

log = logs.logger("heartbeat")


class HeartbeatExchanger:
    """Exchanges heartbeats for one process.

    Parameters
    ----------
    process : Process
    """

    def __init__(self, process):
        self.process = process
        self.wake = asyncio.Event()
        self.include_callers = False
        self.pending_addresses: set[tuple[str, int]] = set()

    async def run(self) -> None:
        """Exchange heartbeats, at once after a change, else at a steady rate."""
        process = self.process
        while True:
            self.wake.clear()
            addresses = set(process.heartbeat_addresses())
            if self.include_callers:
                addresses |= {
                    known.address for known in process.membership.recent_callers()
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
        """Tell what is new at once, also to those that only call here."""
        self.include_callers = True
        self.wake.set()

    async def exchange_heartbeat(self, address: tuple[str, int]) -> None:
        """Exchange one heartbeat; pull the revision where the peer's is newer."""
        self.pending_addresses.add(address)
        link = self.process.connection(address)
        try:
            answer = await link.call(
                Body(heartbeat=self.make_heartbeat()), ANSWER_TIMEOUT_S
            )
            if answer.heartbeat is None:
                return
            self.apply_heartbeat(answer.heartbeat)
            if answer.heartbeat.revision > self.process.active_revision.number:
                await self.pull_revision(link)
        except PeerConnectionError as error:
            log.debug("No heartbeat from {}:{}: {}.", *address, error)
        finally:
            self.pending_addresses.discard(address)

    async def pull_revision(self, link: PeerConnection) -> None:
        """Ask a peer for its revision and put it in force where it is newer."""
        question = messages.PullRevision(self.process.active_revision.number)
        answer = await link.call(Body(pull_revision=question), PULL_TIMEOUT_S)
        if answer.revision is not None:
            self.process.adopt_revision(answer.revision.number, answer.revision.text)

    def make_heartbeat(self, pool: str = "") -> Heartbeat:
        """Return a heartbeat; with the targets of one pool only where it is named."""
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
        """Return what changed lately, mates of the peer's pool first, and one more.

        The one more, at random, mends what was missed; the rest of the time a
        heartbeat stays short.
        """
        process = self.process
        since = process.clock.monotonic() - CHANGE_WINDOW_S
        everyone = list(process.membership.peers.values())
        news = [known for known in everyone if known.changed >= since]
        news.sort(key=lambda known: (known.member.pool != pool, -known.changed))
        others = process.random.sample(everyone, min(RANDOM_PEERS, len(everyone)))
        return [known.member for known in news[:MAX_CHANGED_PEERS] + others]

    def apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take a heartbeat that came from a peer."""
        view = self.process.membership
        before = view.change_count
        view.apply_heartbeat(heartbeat.sender, heartbeat.revision, heartbeat.load)
        for member in heartbeat.peers:
            view.merge_member(member)
        for target in heartbeat.targets:
            self.process.set_target_version(target.pool, target.version)
        if self.process.forwards_changes and view.change_count != before:
            self.wake.set()

    def answer_heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        """Return the answer to a heartbeat; ask at once where its news is newer."""
        self.apply_heartbeat(heartbeat)
        self.process.membership.record_call(heartbeat.sender.name)
        if heartbeat.revision > self.process.active_revision.number:
            self.wake.set()
        return self.make_heartbeat(heartbeat.sender.pool)
