"""Process: what every process of the system has, whatever its role.

It listens for its peers, exchanges heartbeats, keeps the newest revision in
force, records events and answers operators' questions about itself.
"""

import asyncio
import json
import random
import secrets

from gypsumshift import logs, platforms
from gypsumshift.clock import Clock, SystemClock
from gypsumshift.events import Recorder
from gypsumshift.generated import messages
from gypsumshift.generated.messages import Body, Member, Role
from gypsumshift.generated.settings import Settings
from gypsumshift.links import Link, LinkError, PeerServer, Session
from gypsumshift.members import Known, View, rank
from gypsumshift.metrics import Metrics, scrape
from gypsumshift.outcomes import Missing, Unavailable
from gypsumshift.platforms import Host, Platform
from gypsumshift.revisions import CONFIG_HEAD, HEADS_TABLE, History, InForce
from gypsumshift.server import Request, Response, Server, json_response, problem
from gypsumshift.settings import parse_address

__all__ = ["Process"]

HEARTBEAT_TIMEOUT = 1.0
PULL_TIMEOUT = 2.0
PEERS_TOLD = 8
POLLERS_PER_ZONE = 2
POLL_PERIOD = 0.5
HOSTS_PERIOD = 10.0
READY_NEIGHBOURS = 2
READY_PERIOD = 0.2
STATUS_TIMEOUT = 2.0
WEIGHTS_PREFIX = "weights/"
LEAVING_PREFIX = "leaving/"

log = logs.logger("process")


class Process:
    """One process of the system; a context manager that runs it.

    Parameters
    ----------
    settings : Settings
    platform : Platform, optional
        In place of the one that the settings name.
    clock : Clock, optional
    """

    role = Role.ENTRY
    heartbeat_period = 1.0

    def __init__(
        self,
        settings: Settings,
        platform: Platform | None = None,
        clock: Clock | None = None,
    ):
        self.settings = settings
        self.clock = clock or SystemClock()
        self.platform = platform or platforms.connect(settings.platform)
        self.recorder = Recorder(settings.name, self.clock)
        self.metrics = Metrics(settings.name, self.figures)
        self.history = History(self.platform.tables, self.clock)
        self.in_force = InForce(self.recorder)
        self.own = self.describe()
        self.view = View(self.own, self.clock)
        self.targets: dict[str, int] = {}
        self.leaving_backends: set[str] = set()
        self.links: dict[tuple[str, int], Link] = {}
        self.random = random.Random(settings.name)
        self.wake = asyncio.Event()
        self.stopped = asyncio.Event()
        self.tasks: set[asyncio.Task] = set()
        self.peers = PeerServer(self.serve, self.session_ended, self.recorder.hybrid)
        self.operators = Server(self.serve_operator)
        self.operator_address = ("", 0)

    def describe(self) -> Member:
        """Return this process as its peers shall know it."""
        settings = self.settings
        started_us = int(self.clock.now().timestamp() * 1_000_000)
        # The low bits tell apart two that start in the same microsecond.
        incarnation = (started_us << 10) | secrets.randbits(10)
        return Member(
            name=settings.name,
            incarnation=incarnation,
            role=self.role,
            zone=settings.zone,
            host=settings.host,
            port=settings.peer_port,
            pool=settings.pool,
            backend=settings.backend,
            leaving=False,
            fence=0,
        )

    async def __aenter__(self):
        await self.start()
        return self

    async def __aexit__(self, *exc_info):
        await self.stop()

    async def start(self) -> None:
        """Listen and run the tasks."""
        settings = self.settings
        self.own.port = await self.peers.listen(settings.host, settings.peer_port)
        port = await self.operators.listen(settings.host, settings.operator_port)
        self.operator_address = (settings.host, port)
        self.spawn(self.become_ready())
        self.spawn(self.beat())
        self.spawn(self.poll())
        log.info("Started as {} in {}.", settings.role, settings.zone)

    async def stop(self) -> None:
        """Stop at once."""
        self.stopped.set()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.peers.close()
        for link in self.links.values():
            link.close()
        await self.operators.stop(0)
        self.metrics.close()
        log.info("Stopped.")

    def spawn(self, work) -> asyncio.Task:
        """Run a task until it ends or the process stops."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.finished)
        return task

    def finished(self, task: asyncio.Task) -> None:
        """Take a finished task off the list; an unforeseen error stops the process."""
        self.tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        log.critical("An invariant broke: {!r}.", task.exception())
        log.exception(exc_info=task.exception())
        self.stopped.set()

    def link(self, address: tuple[str, int]) -> Link:
        """Return the link to an address."""
        if address not in self.links:
            self.links[address] = Link(address, self.recorder.hybrid)
        return self.links[address]

    def drop_link(self, address: tuple[str, int]) -> None:
        """Cut the link to an address."""
        link = self.links.pop(address, None)
        if link:
            link.close()

    # Revisions

    async def become_ready(self) -> None:
        """Learn a revision to begin with, from the platform or several neighbours."""
        while not self.in_force.ready:
            head = await self.history.head()
            if not isinstance(head, Unavailable):
                await self.load_revision(head)
            elif self.neighbours_agree():
                log.info("The platform is down; neighbours told the revision.")
                break
            if not self.in_force.ready:
                await self.clock.sleep(READY_PERIOD)

    def neighbours_agree(self) -> bool:
        """Tell whether enough neighbours told, and their newest revision is here."""
        told = [known.revision for known in self.view.known.values()]
        told = [revision for revision in told if revision >= 0]
        return len(told) >= READY_NEIGHBOURS and self.in_force.number >= max(told)

    async def load_revision(self, number: int) -> None:
        """Read a revision from the platform and put it in force."""
        if number <= self.in_force.number:
            return
        accepted = await self.history.get(number)
        if isinstance(accepted, (Missing, Unavailable)):
            return
        self.adopt(number, json.dumps(accepted.declarations))

    def adopt(self, number: int, text: str) -> None:
        """Put a revision in force and tell the neighbours at once."""
        if self.in_force.adopt(number, text):
            self.revision_changed()
            self.wake.set()

    def revision_changed(self) -> None:
        """React to a new revision; roles extend it."""

    def set_target(self, pool: str, version: int) -> None:
        """Take the newest published weight version of a pool."""
        if version > self.targets.get(pool, 0):
            self.targets[pool] = version
            self.recorder.note("published", f"{pool}@{version}", "known here")
            self.wake.set()

    def set_leaving(self, backends: set[str]) -> None:
        """Take the backend servers that operators drain."""
        if backends != self.leaving_backends:
            self.leaving_backends = backends
            self.wake.set()

    # The platform

    def polls(self) -> bool:
        """Tell whether this process is one of the few that poll the platform."""
        return False

    async def poll(self) -> None:
        """Read heads and hosts where this process is one of the pollers."""
        hosts_due = 0.0
        announced = False
        while True:
            if not announced:
                announced = await self.announce()
            if self.polls() or not self.in_force.ready:
                await self.read_heads()
            if self.reads_hosts() and self.clock.monotonic() >= hosts_due:
                hosts_due = self.clock.monotonic() + HOSTS_PERIOD
                await self.read_hosts()
            await self.clock.sleep(POLL_PERIOD)

    def reads_hosts(self) -> bool:
        """Tell whether this process reads the platform's list of hosts."""
        return True

    async def announce(self) -> bool:
        """Put this process on the platform's list; return whether it worked."""
        address = f"{self.own.host}:{self.own.port}"
        host = Host(self.own.name, address, self.own.zone)
        outcome = await self.platform.hosts.announce(host)
        return not isinstance(outcome, Unavailable)

    async def read_heads(self) -> None:
        """Read the newest revision, weight versions and drains, in one scan."""
        rows = await self.platform.tables.scan(HEADS_TABLE, "")
        if isinstance(rows, Unavailable):
            return
        leaving = set()
        for row in rows:
            if row.key == CONFIG_HEAD:
                await self.load_revision(row.value["number"])
            elif row.key.startswith(WEIGHTS_PREFIX):
                pool = row.key.removeprefix(WEIGHTS_PREFIX)
                self.set_target(pool, row.value["version"])
            elif row.key.startswith(LEAVING_PREFIX):
                leaving.add(row.key.removeprefix(LEAVING_PREFIX))
        self.set_leaving(leaving)

    async def read_hosts(self) -> None:
        """Read the platform's list of hosts."""
        hosts = await self.platform.hosts.list()
        if not isinstance(hosts, Unavailable):
            self.view.take_hosts(hosts)
        self.view.forget()

    # Heartbeats

    def correspondents(self) -> list[tuple[str, int]]:
        """Return the addresses to send heartbeats to now; roles extend it."""
        return [parse_address(seed) for seed in self.settings.seeds]

    async def beat(self) -> None:
        """Exchange heartbeats, at once after a change, else at a steady rate."""
        while True:
            self.wake.clear()
            addresses = set(self.correspondents())
            addresses.discard((self.own.host, self.own.port))
            await asyncio.gather(*(self.greet(address) for address in addresses))
            try:
                async with asyncio.timeout(self.heartbeat_period):
                    await self.wake.wait()
            except TimeoutError:
                pass

    async def greet(self, address: tuple[str, int]) -> None:
        """Exchange one heartbeat; pull the revision where the peer's is newer."""
        link = self.link(address)
        try:
            question = Body(heartbeat=self.heartbeat())
            answer = await link.ask(question, HEARTBEAT_TIMEOUT)
            heartbeat = answer.heartbeat
            if heartbeat is None:
                return
            self.hear(heartbeat)
            if heartbeat.revision > self.in_force.number:
                await self.pull_revision(link)
        except LinkError as error:
            self.unreachable(address, str(error))

    def unreachable(self, address: tuple[str, int], reason: str) -> None:
        """React to a peer that does not answer; roles extend it."""

    async def pull_revision(self, link: Link) -> None:
        """Ask a peer for its revision and put it in force where it is newer."""
        question = messages.PullRevision(self.in_force.number)
        answer = await link.ask(Body(pull_revision=question), PULL_TIMEOUT)
        if answer.revision is not None:
            self.adopt(answer.revision.number, answer.revision.text)

    def load(self) -> messages.Load | None:
        """Return the load of the backend server beside this process, if any."""
        return None

    def heartbeat(self, pool: str = "") -> messages.Heartbeat:
        """Return a heartbeat; targets of one pool only where that is named."""
        pools = [pool] if pool else list(self.targets)
        targets = [
            messages.Target(name, self.targets[name])
            for name in pools
            if name in self.targets
        ]
        return messages.Heartbeat(
            sender=self.own,
            revision=self.in_force.number,
            load=self.load(),
            peers=self.peers_to_tell(pool),
            targets=targets,
        )

    def peers_to_tell(self, pool: str) -> list[Member]:
        """Return some processes to tell a peer of: mates of its pool first."""
        everyone = [known.member for known in self.view.known.values()]
        self.random.shuffle(everyone)
        everyone.sort(key=lambda member: not pool or member.pool != pool)
        return everyone[:PEERS_TOLD]

    def hear(self, heartbeat: messages.Heartbeat) -> None:
        """Take a heartbeat that came from a peer."""
        self.view.heard(heartbeat.sender, heartbeat.revision, heartbeat.load)
        for member in heartbeat.peers:
            self.view.merge(member)
        for target in heartbeat.targets:
            self.set_target(target.pool, target.version)

    # Answers to peers

    async def serve(self, session: Session, exchange: int, body: Body) -> None:
        """Answer one question of a peer."""
        answer = None
        if body.heartbeat is not None:
            self.hear(body.heartbeat)
            answer = Body(heartbeat=self.heartbeat(body.heartbeat.sender.pool))
            if body.heartbeat.revision > self.in_force.number:
                self.wake.set()
        elif body.pull_revision is not None:
            number = self.in_force.number
            answer = Body(revision=messages.Revision(number, self.in_force.text))
        elif body.pull_events is not None:
            pull = body.pull_events
            events = self.recorder.select(pull.subject, pull.limit)
            answer = Body(events=messages.Events(events))
        elif body.pull_status is not None:
            answer = Body(status=self.status())
        elif body.drain is not None:
            self.spawn(self.drain(body.drain.deadline_ms / 1000))
            answer = Body(done=messages.Done())
        if answer is not None:
            await session.reply(exchange, answer)

    def session_ended(self, session: Session) -> None:
        """React to the end of a peer's connection; roles extend it."""

    async def drain(self, deadline: float) -> None:
        """Leave: take no new work, finish what runs, stop."""
        raise NotImplementedError

    # Answers to operators

    def figures(self) -> dict[str, float]:
        """Return the figures that `status` and the scrape page show."""
        return {
            "revision": self.in_force.number,
            "known_processes": len(self.view.known),
            "links": len(self.links),
        }

    def status(self) -> messages.Status:
        """Return the status of this process."""
        figures = self.figures() | self.metrics.totals
        return messages.Status(
            member=self.own,
            revision=self.in_force.number,
            load=self.load(),
            figures=[messages.Figure(name, value) for name, value in figures.items()],
        )

    async def serve_operator(self, request: Request) -> Response:
        """Answer one request on the operators' port."""
        if request.path == "/metrics":
            content_type = ("content-type", "text/plain; version=0.0.4")
            return Response(200, [content_type], scrape())
        if request.path == "/health":
            return self.health()
        return problem(404, "not run", f"there is nothing at {request.path}")

    def health(self) -> Response:
        """Answer the balancer: whether new requests are welcome here."""
        if self.own.leaving or not self.in_force.ready:
            reason = "leaving" if self.own.leaving else "no revision yet"
            return problem(503, "not run", reason)
        return json_response(200, {"status": "ok"})

    def chosen_poller(self, candidates: list[Known]) -> bool:
        """Tell whether this process ranks among its zone's pollers."""
        names = [
            known.member.name
            for known in candidates
            if known.member.zone == self.own.zone and self.alive(known)
        ]
        mine = rank("poller", self.own.name)
        better = sum(1 for name in names if rank("poller", name) > mine)
        return better < POLLERS_PER_ZONE

    def alive(self, known: Known) -> bool:
        """Tell whether a process was heard of within a few heartbeats."""
        horizon = self.clock.monotonic() - 4 * self.heartbeat_period
        return known.heard >= horizon
