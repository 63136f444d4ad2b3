"""Process: what every process of the system has, whatever its role.

It listens for its peers, exchanges heartbeats, keeps the newest revision in
force, records events and answers operators' questions about itself.
"""

import asyncio
import random
import secrets

from gypsumshift import logs, platforms
from gypsumshift.addresses import parse_address
from gypsumshift.clock import Clock, SystemClock
from gypsumshift.events import Recorder
from gypsumshift.generated import messages
from gypsumshift.generated.messages import Body, Member, Role
from gypsumshift.generated.settings import Settings
from gypsumshift.heartbeats import Heartbeats
from gypsumshift.httpserver import (
    HttpServer,
    Request,
    Response,
    json_response,
    problem_response,
)
from gypsumshift.links import Link, PeerServer, Session
from gypsumshift.members import Known, View, rank
from gypsumshift.metrics import Metrics, scrape
from gypsumshift.platforms import Platform
from gypsumshift.poller import Poller
from gypsumshift.revisions import ActiveRevision, RevisionHistory

__all__ = ["Process"]

POLLERS_PER_ZONE = 2

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
    heartbeat_period = 4.0
    passes_on_news = False

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
        self.revision_history = RevisionHistory(self.platform.tables, self.clock)
        self.active_revision = ActiveRevision(self.recorder)
        self.own = self.describe()
        self.view = View(self.own, self.clock)
        self.targets: dict[str, int] = {}
        self.links: dict[tuple[str, int], Link] = {}
        self.random = random.Random(settings.name)
        self.heartbeats = Heartbeats(self)
        self.poller = Poller(self)
        self.stopped = asyncio.Event()
        self.tasks: set[asyncio.Task] = set()
        self.peers = PeerServer(self.serve, self.session_ended, self.recorder)
        self.operators = HttpServer(self.serve_operator)
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
            version=0,
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
        self.spawn(self.poller.load_first_revision())
        self.spawn(self.heartbeats.run())
        self.spawn(self.poller.run())
        log.info("Started as {} in {}.", settings.role, settings.zone)

    async def stop(self) -> None:
        """Stop at once."""
        self.stopped.set()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.peers.close()
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
            self.links[address] = Link(address, self.recorder)
        return self.links[address]

    def drop_link(self, address: tuple[str, int]) -> None:
        """Cut the link to an address."""
        link = self.links.pop(address, None)
        if link:
            link.close()

    # Revisions and weights

    def adopt(self, number: int, text: str) -> None:
        """Put a revision in force and tell the neighbours at once."""
        if not self.active_revision.ready and not self.poller.may_start_with(number):
            return
        if self.active_revision.activate_if_newer(number, text):
            self.revision_changed()
            self.heartbeats.spread()

    def revision_changed(self) -> None:
        """React to a new revision; roles extend it."""

    def set_target(self, pool: str, version: int) -> None:
        """Take the newest published weight version of a pool."""
        if version > self.targets.get(pool, 0):
            self.targets[pool] = version
            self.recorder.note("published", f"{pool}@{version}", "known here")
            self.heartbeats.spread()
            self.target_changed()

    def target_changed(self) -> None:
        """React to a newly published weight version; roles extend it."""

    # What roles decide

    def polls(self) -> bool:
        """Tell whether this process is one of the few that poll the platform."""
        return False

    def reads_hosts(self) -> bool:
        """Tell whether this process reads the platform's list of hosts."""
        return True

    def correspondents(self) -> list[tuple[str, int]]:
        """Return the addresses to send heartbeats to now."""
        return [parse_address(seed) for seed in self.settings.seeds]

    def load(self) -> messages.Load | None:
        """Return the load of the backend server beside this process, if any."""
        return None

    # Answers to peers

    async def serve(self, session: Session, exchange: int, body: Body) -> None:
        """Answer one question of a peer."""
        answer = None
        if body.heartbeat is not None:
            answer = Body(heartbeat=self.heartbeats.answer(body.heartbeat))
        elif body.pull_revision is not None:
            number = self.active_revision.number
            answer = Body(revision=messages.Revision(number, self.active_revision.text))
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
            "revision": self.active_revision.number,
            "known_processes": len(self.view.known),
            "links": len(self.links),
            "peer_bytes_sent": self.recorder.bytes_sent,
            "peer_bytes_received": self.recorder.bytes_received,
        }

    def status(self) -> messages.Status:
        """Return the status of this process."""
        figures = self.figures() | self.metrics.totals
        return messages.Status(
            member=self.own,
            revision=self.active_revision.number,
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
        return problem_response(404, "not run", f"there is nothing at {request.path}")

    def health(self) -> Response:
        """Answer the balancer: whether new requests are welcome here."""
        if self.own.leaving or not self.active_revision.ready:
            reason = "leaving" if self.own.leaving else "no revision yet"
            return problem_response(503, "not run", reason)
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
