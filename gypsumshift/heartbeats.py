"""Heartbeats: who is alive, what is new, and the newest revision, from neighbours.

News rides on these messages, which flow anyway. Each heartbeat is answered by
one, so both sides learn.
"""

import asyncio

from gypsumshift import logs
from gypsumshift.generated import messages
from gypsumshift.generated.messages import Body, Heartbeat, Member
from gypsumshift.links import Link, LinkError

__all__ = ["Heartbeats"]

ANSWER_TIMEOUT = 1.0
PULL_TIMEOUT = 2.0
LEAST_GAP = 0.02
NEWS_TOLD = 8
OTHERS_TOLD = 1
NEWS_TIME = 10.0

log = logs.logger("heartbeat")


class Heartbeats:
    """Exchanges heartbeats for one process.

    Parameters
    ----------
    process : Process
    """

    def __init__(self, process):
        self.process = process
        self.wake = asyncio.Event()
        self.wide = False
        self.under_way: set[tuple[str, int]] = set()

    async def run(self) -> None:
        """Exchange heartbeats, at once after a change, else at a steady rate."""
        process = self.process
        while True:
            self.wake.clear()
            addresses = set(process.correspondents())
            if self.wide:
                addresses |= {known.address for known in process.view.callers()}
                self.wide = False
            addresses -= self.under_way
            addresses.discard((process.own.host, process.own.port))
            for address in addresses:
                process.spawn(self.greet(address))
            await process.clock.sleep(LEAST_GAP)
            try:
                async with asyncio.timeout(process.heartbeat_period):
                    await self.wake.wait()
            except TimeoutError:
                pass

    def spread(self) -> None:
        """Tell what is new at once, also to those that only call here."""
        self.wide = True
        self.wake.set()

    async def greet(self, address: tuple[str, int]) -> None:
        """Exchange one heartbeat; pull the revision where the peer's is newer."""
        self.under_way.add(address)
        link = self.process.link(address)
        try:
            answer = await link.ask(Body(heartbeat=self.compose()), ANSWER_TIMEOUT)
            if answer.heartbeat is None:
                return
            self.hear(answer.heartbeat)
            if answer.heartbeat.revision > self.process.active_revision.number:
                await self.pull_revision(link)
        except LinkError as error:
            log.debug("No heartbeat from {}:{}: {}.", *address, error)
        finally:
            self.under_way.discard(address)

    async def pull_revision(self, link: Link) -> None:
        """Ask a peer for its revision and put it in force where it is newer."""
        question = messages.PullRevision(self.process.active_revision.number)
        answer = await link.ask(Body(pull_revision=question), PULL_TIMEOUT)
        if answer.revision is not None:
            self.process.adopt(answer.revision.number, answer.revision.text)

    def compose(self, pool: str = "") -> Heartbeat:
        """Return a heartbeat; with the targets of one pool only where it is named."""
        targets = self.process.targets
        return Heartbeat(
            sender=self.process.own,
            revision=self.process.active_revision.number,
            load=self.process.load(),
            peers=self.peers_to_tell(pool),
            targets=[
                messages.Target(name, targets[name])
                for name in ([pool] if pool else targets)
                if name in targets
            ],
        )

    def peers_to_tell(self, pool: str) -> list[Member]:
        """Return what changed lately, mates of the peer's pool first, and one more.

        The one more, at random, mends what was missed; the rest of the time a
        heartbeat stays short.
        """
        process = self.process
        since = process.clock.monotonic() - NEWS_TIME
        everyone = list(process.view.known.values())
        news = [known for known in everyone if known.changed >= since]
        news.sort(key=lambda known: (known.member.pool != pool, -known.changed))
        others = process.random.sample(everyone, min(OTHERS_TOLD, len(everyone)))
        return [known.member for known in news[:NEWS_TOLD] + others]

    def hear(self, heartbeat: Heartbeat) -> None:
        """Take a heartbeat that came from a peer."""
        view = self.process.view
        before = view.news
        view.heard(heartbeat.sender, heartbeat.revision, heartbeat.load)
        for member in heartbeat.peers:
            view.merge(member)
        for target in heartbeat.targets:
            self.process.set_target(target.pool, target.version)
        if self.process.passes_on_news and view.news != before:
            self.wake.set()

    def answer(self, heartbeat: Heartbeat) -> Heartbeat:
        """Return the answer to a heartbeat; ask at once where its news is newer."""
        self.hear(heartbeat)
        self.process.view.note_call(heartbeat.sender.name)
        if heartbeat.revision > self.process.active_revision.number:
            self.wake.set()
        return self.compose(heartbeat.sender.pool)
