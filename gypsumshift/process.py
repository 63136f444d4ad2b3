"""Base class of the processes of the system, entries and sidecars.

A process listens for its peers, exchanges heartbeats, activates the newest revision,
records events and answers operators' requests about itself.
"""

import asyncio
import math
import random
import secrets

from gypsumshift import logs, platforms
from gypsumshift.addresses import parse_address
from gypsumshift.bytebudget import MIB, ByteBudget, budget_bytes
from gypsumshift.clock import Clock, SystemClock
from gypsumshift.events import EventRecorder
from gypsumshift.generated import messages
from gypsumshift.generated.messages import Body, Member, Role
from gypsumshift.generated.settings import Settings
from gypsumshift.heartbeats import HeartbeatExchanger
from gypsumshift.httpserver import (
    Handler,
    HttpServer,
    Request,
    Response,
    json_response,
    problem_response,
)
from gypsumshift.inbound import (
    Inbound,
    PortKind,
    ProcessLimits,
    host_memory_bytes,
)
from gypsumshift.membership import Membership, Peer, rendezvous_weight
from gypsumshift.metrics import Metrics, scrape
from gypsumshift.peerconnection import PeerConnection, PeerServer, PeerSession
from gypsumshift.platforms import Platform
from gypsumshift.poller import Poller
from gypsumshift.revisions import ActiveRevision, RevisionHistory

__all__ = ["Process"]

# Entries of an availability zone that poll the platform.
POLLERS_PER_ZONE = 2

# Shares of the memory for buffered bytes that frames of peers, and bodies of operators'
# requests, may take.
PEER_MEMORY_SHARE = 0.25
OPERATOR_MEMORY_SHARE = 0.25

log = logs.logger("process")


def process_limits(settings: Settings) -> ProcessLimits:
    """Return what the host grants a process, by its settings."""
    memory = settings.memory_mb * MIB or host_memory_bytes()
    return ProcessLimits(memory, settings.max_descriptors)


class Process:
    """Process of the system; as a context manager it runs inside the block.

    Parameters
    ----------
    settings : Settings
    platform : Platform, optional
        Used instead of the one that the settings name.
    clock : Clock, optional

    Attributes
    ----------
    role : Role
    heartbeat_period : float
        Seconds between heartbeats without changes.
    forwards_changes : bool
        Whether changes received from one peer are sent to the others at once.
    member : Member
        Description of this process for its peers.
    membership : Membership
        The other processes.
    target_versions : dict of str to int
        Newest published weight version by pool.
    connections : dict of (str, int) to PeerConnection
        Client connections by address.
    stopped : asyncio.Event
        Set when the process is to end or has ended.
    stops_at : float
        Monotonic time at which it stops, in seconds; infinite while it does not.
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
        self.stops_at = math.inf
        self.tasks: set[asyncio.Task] = set()
        self.inbound = Inbound(process_limits(settings), self.clock, self.metrics)
        self.metrics.add_gauges(self.inbound.gauges)
        self.peer_server = PeerServer(
            self.serve_peer,
            self.session_ended,
            self.recorder,
            self.inbound,
            self.new_budget(PEER_MEMORY_SHARE),
        )
        self.operator_server = self.new_http_server(
            self.serve_operator, PortKind.OPERATORS, OPERATOR_MEMORY_SHARE
        )
        self.operator_address = ("", 0)

    def new_budget(self, share: float) -> ByteBudget:
        """Create a memory budget of a share of what this process may buffer."""
        memory = process_limits(self.settings).memory_bytes
        limit = share * budget_bytes(memory)
        return ByteBudget(limit, self.clock, self.random, self.metrics)

    def new_http_server(
        self, handler: Handler, kind: PortKind, memory_share: float
    ) -> HttpServer:
        """Create the server of a port, with a share of the memory."""
        budget = self.new_budget(memory_share)
        return HttpServer(handler, budget=budget, inbound=self.inbound, kind=kind)

    def make_member(self) -> Member:
        """Return the description of this process for its peers."""
        settings = self.settings
        started_us = int(self.clock.now().timestamp() * 1_000_000)
        # The random bits distinguish two processes started in the same microsecond.
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
        """Listen on the ports and start the tasks."""
        settings = self.settings
        self.member.port = await self.peer_server.listen(
            settings.host, settings.peer_port
        )
        port = await self.operator_server.listen(settings.host, settings.operator_port)
        self.operator_address = (settings.host, port)
        self.spawn(self.poller.load_first_revision())
        self.spawn(self.heartbeats.run())
        self.spawn(self.poller.run())
        log.info(
            "Started with role {} in availability zone {}.",
            settings.role,
            settings.zone,
        )

    async def stop(self) -> None:
        """Stop at once, without finishing requests."""
        self.stopped.set()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.peer_server.close()
        for connection in self.connections.values():
            connection.close()
        await self.operator_server.stop(0)
        self.metrics.close()
        log.info("Stopped.")

    def spawn(self, work) -> asyncio.Task:
        """Start a task that is cancelled when the process stops."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)
        return task

    def on_task_done(self, task: asyncio.Task) -> None:
        """Remove a finished task; one that ended with an error stops the process."""
        self.tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        log.critical(
            "A task ended with an unexpected error, the process stops: {!r}.",
            task.exception(),
        )
        log.exception(exc_info=task.exception())
        self.stopped.set()

    def connection(self, address: tuple[str, int]) -> PeerConnection:
        """Return the connection to an address, creating it if there is none."""
        if address not in self.connections:
            self.connections[address] = PeerConnection(address, self.recorder)
        return self.connections[address]

    def close_connection(self, address: tuple[str, int]) -> None:
        """Close the connection to an address, if there is one."""
        connection = self.connections.pop(address, None)
        if connection:
            connection.close()

    # Revisions and weights

    def adopt_revision(self, number: int, text: str) -> None:
        """Activate a revision if it is newer, and send heartbeats about it at once.

        A process without a revision ignores one that `Poller.may_start_with` rejects.
        """
        if not self.active_revision.ready and not self.poller.may_start_with(number):
            return
        if self.active_revision.activate_if_newer(number, text):
            self.revision_changed()
            self.heartbeats.broadcast()

    def revision_changed(self) -> None:
        """Apply a new active revision; overridden by the roles."""

    def set_target_version(self, pool: str, version: int) -> None:
        """Store a pool's published weight version if it is newer, and spread it."""
        if version > self.target_versions.get(pool, 0):
            self.target_versions[pool] = version
            self.recorder.record("published", f"{pool}@{version}", "known here")
            self.heartbeats.broadcast()
            self.target_version_changed()

    def target_version_changed(self) -> None:
        """Apply a new target version; overridden by the roles."""

    # Overridden by the roles

    def is_poller(self) -> bool:
        """Return whether this process polls the platform for revisions and versions."""
        return False

    def polls_hosts(self) -> bool:
        """Return whether this process reads the platform's list of hosts."""
        return True

    def heartbeat_addresses(self) -> list[tuple[str, int]]:
        """Return the addresses that heartbeats are sent to: here, the seeds."""
        return [parse_address(seed) for seed in self.settings.seeds]

    def load_report(self) -> messages.Load | None:
        """Return the load report of this process's backend server, if it has one."""
        return None

    # Requests of peers

    async def serve_peer(self, session: PeerSession, exchange: int, body: Body) -> None:
        """Answer one message of a peer."""
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
        """Handle the end of a peer's connection; overridden by the roles."""

    async def drain(self, deadline: float) -> None:
        """Accept no new requests and finish those that run, within a deadline.

        Parameters
        ----------
        deadline : float
            Seconds from now.
        """
        raise NotImplementedError

    # Requests of operators

    def read_gauges(self) -> dict[str, float]:
        """Return the gauges that `status` and the metrics page show, by name."""
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
        """Answer one request on the operator port."""
        if request.path == "/metrics":
            content_type = ("content-type", "text/plain; version=0.0.4")
            return Response(200, [content_type], scrape())
        if request.path == "/health":
            return self.health_response()
        return problem_response(404, "not run", f"there is nothing at {request.path}")

    def health_response(self) -> Response:
        """Answer a load balancer's health check: 200 if new requests are accepted."""
        if self.member.leaving or not self.active_revision.ready:
            reason = "leaving" if self.member.leaving else "no revision yet"
            return problem_response(503, "not run", reason)
        return json_response(200, {"status": "ok"})

    def ranks_as_poller(self, candidates: list[Peer]) -> bool:
        """Return whether this process is among its zone's pollers.

        The live processes of the zone with the highest rendezvous weights poll.
        """
        names = [
            peer.member.name
            for peer in candidates
            if peer.member.zone == self.member.zone and self.is_alive(peer)
        ]
        own_weight = rendezvous_weight("poller", self.member.name)
        higher = sum(
            1 for name in names if rendezvous_weight("poller", name) > own_weight
        )
        return higher < POLLERS_PER_ZONE

    def is_alive(self, peer: Peer) -> bool:
        """Return whether a peer sent a heartbeat within the last four periods."""
        horizon = self.clock.monotonic() - 4 * self.heartbeat_period
        return peer.heard >= horizon
