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
from gypsumshift.events import EventRecorder
from gypsumshift.generated import messages
from gypsumshift.generated.messages import Body, Member, Role
from gypsumshift.generated.settings import Settings
from gypsumshift.heartbeats import HeartbeatExchanger
from gypsumshift.httpserver import (
    HttpServer,
    Request,
    Response,
    json_response,
    problem_response,
)
from gypsumshift.membership import Membership, Peer, rendezvous_weight
from gypsumshift.metrics import Metrics, scrape
from gypsumshift.peerconnection import PeerConnection, PeerServer, PeerSession
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
    forwards_changes = False

    def __init__(
        self,
        settings: Settings,
        platform: Platform | None = None,
        clock: Clock | None = None,
    ):
        self.settings = settings
        self.clock = clock or SystemClock()
        self.platform = platform or platforms.connect(settings.platform)
        self.recorder = EventRecorder(settings.name, self.clock)
        self.metrics = Metrics(settings.name, self.read_gauges)
        self.revision_history = RevisionHistory(self.platform.tables, self.clock)
        self.active_revision = ActiveRevision(self.recorder)
        self.member = self.make_member()
        self.membership = Membership(self.member, self.clock)
        self.target_versions: dict[str, int] = {}
        self.connections: dict[tuple[str, int], PeerConnection] = {}
        self.random = random.Random(settings.name)
        self.heartbeats = HeartbeatExchanger(self)
        self.poller = Poller(self)
        self.stopped = asyncio.Event()
        self.tasks: set[asyncio.Task] = set()
        self.peer_server = PeerServer(
            self.serve_peer, self.session_ended, self.recorder
        )
        self.operator_server = HttpServer(self.serve_operator)
        self.operator_address = ("", 0)

    def make_member(self) -> Member:
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
        self.member.port = await self.peer_server.listen(
            settings.host, settings.peer_port
        )
        port = await self.operator_server.listen(settings.host, settings.operator_port)
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
        await self.peer_server.close()
        for link in self.connections.values():
            link.close()
        await self.operator_server.stop(0)
        self.metrics.close()
        log.info("Stopped.")

    def spawn(self, work) -> asyncio.Task:
        """Run a task until it ends or the process stops."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)
        return task

    def on_task_done(self, task: asyncio.Task) -> None:
        """Take a finished task off the list; an unforeseen error stops the process."""
        self.tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        log.critical("An invariant broke: {!r}.", task.exception())
        log.exception(exc_info=task.exception())
        self.stopped.set()

    def connection(self, address: tuple[str, int]) -> PeerConnection:
        """Return the link to an address."""
        if address not in self.connections:
            self.connections[address] = PeerConnection(address, self.recorder)
        return self.connections[address]

    def close_connection(self, address: tuple[str, int]) -> None:
        """Cut the link to an address."""
        link = self.connections.pop(address, None)
        if link:
            link.close()

    # Revisions and weights

    def adopt_revision(self, number: int, text: str) -> None:
        """Put a revision in force and tell the neighbours at once."""
        if not self.active_revision.ready and not self.poller.may_start_with(number):
            return
        if self.active_revision.activate_if_newer(number, text):
            self.revision_changed()
            self.heartbeats.broadcast()

    def revision_changed(self) -> None:
        """React to a new revision; roles extend it."""

    def set_target_version(self, pool: str, version: int) -> None:
        """Take the newest published weight version of a pool."""
        if version > self.target_versions.get(pool, 0):
            self.target_versions[pool] = version
            self.recorder.record("published", f"{pool}@{version}", "known here")
            self.heartbeats.broadcast()
            self.target_version_changed()

    def target_version_changed(self) -> None:
        """React to a newly published weight version; roles extend it."""

    # What roles decide

    def is_poller(self) -> bool:
        """Tell whether this process is one of the few that poll the platform."""
        return False

    def polls_hosts(self) -> bool:
        """Tell whether this process reads the platform's list of hosts."""
        return True

    def heartbeat_addresses(self) -> list[tuple[str, int]]:
        """Return the addresses to send heartbeats to now."""
        return [parse_address(seed) for seed in self.settings.seeds]

    def load_report(self) -> messages.Load | None:
        """Return the load of the backend server beside this process, if any."""
        return None

    # Answers to peers

    async def serve_peer(self, session: PeerSession, exchange: int, body: Body) -> None:
        """Answer one question of a peer."""
        answer = None
        if body.heartbeat is not None:
            answer = Body(heartbeat=self.heartbeats.answer_heartbeat(body.heartbeat))
        elif body.pull_revision is not None:
            number = self.active_revision.number
            answer = Body(revision=messages.Revision(number, self.active_revision.text))
        elif body.pull_events is not None:
            pull = body.pull_events
            events = self.recorder.latest_events(pull.subject, pull.limit)
            answer = Body(events=messages.Events(events))
        elif body.pull_status is not None:
            answer = Body(status=self.status())
        elif body.drain is not None:
            self.spawn(self.drain(body.drain.deadline_ms / 1000))
            answer = Body(done=messages.Done())
        if answer is not None:
            await session.reply(exchange, answer)

    def session_ended(self, session: PeerSession) -> None:
        """React to the end of a peer's connection; roles extend it."""

    async def drain(self, deadline: float) -> None:
        """Leave: take no new work, finish what runs, stop."""
        raise NotImplementedError

    # Answers to operators

    def read_gauges(self) -> dict[str, float]:
        """Return the figures that `status` and the scrape page show."""
        return {
            "revision": self.active_revision.number,
            "known_processes": len(self.membership.peers),
            "links": len(self.connections),
            "peer_bytes_sent": self.recorder.bytes_sent,
            "peer_bytes_received": self.recorder.bytes_received,
        }

    def status(self) -> messages.Status:
        """Return the status of this process."""
        figures = self.read_gauges() | self.metrics.totals
        return messages.Status(
            member=self.member,
            revision=self.active_revision.number,
            load=self.load_report(),
            figures=[messages.Figure(name, value) for name, value in figures.items()],
        )

    async def serve_operator(self, request: Request) -> Response:
        """Answer one request on the operators' port."""
        if request.path == "/metrics":
            content_type = ("content-type", "text/plain; version=0.0.4")
            return Response(200, [content_type], scrape())
        if request.path == "/health":
            return self.health_response()
        return problem_response(404, "not run", f"there is nothing at {request.path}")

    def health_response(self) -> Response:
        """Answer the balancer: whether new requests are welcome here."""
        if self.member.leaving or not self.active_revision.ready:
            reason = "leaving" if self.member.leaving else "no revision yet"
            return problem_response(503, "not run", reason)
        return json_response(200, {"status": "ok"})

    def ranks_as_poller(self, candidates: list[Peer]) -> bool:
        """Tell whether this process ranks among its zone's pollers."""
        names = [
            known.member.name
            for known in candidates
            if known.member.zone == self.member.zone and self.is_alive(known)
        ]
        mine = rendezvous_weight("poller", self.member.name)
        better = sum(1 for name in names if rendezvous_weight("poller", name) > mine)
        return better < POLLERS_PER_ZONE

    def is_alive(self, known: Peer) -> bool:
        """Tell whether a process was heard of within a few heartbeats."""
        horizon = self.clock.monotonic() - 4 * self.heartbeat_period
        return known.heard >= horizon
