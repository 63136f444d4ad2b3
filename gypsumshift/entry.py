"""Process on an entry host, which serves callers, trainers and operators."""

from gypsumshift import logs
from gypsumshift.bearer import has_workspace_key, unauthorized
from gypsumshift.callerapi import CallerApi
from gypsumshift.dispatch import Dispatcher
from gypsumshift.generated.messages import Role
from gypsumshift.httpserver import Request, Response, problem_response
from gypsumshift.inbound import PortKind
from gypsumshift.membership import rendezvous_weight
from gypsumshift.operatorapi import OperatorApi
from gypsumshift.process import Process
from gypsumshift.trainerapi import TrainerApi
from gypsumshift.trainerdriver import DriverManager

__all__ = ["Entry"]

# Sidecars of each pool that an entry exchanges heartbeats with.
SIDECARS_PER_POOL = 16
# Other entries, drawn at random, that each round of heartbeats goes to.
HEARTBEAT_ENTRIES = 2
# Share of the memory for buffered bytes that callers' bodies may take.
CALLER_MEMORY_SHARE = 0.5
# Time for the load balancer to notice that a draining entry accepts no new requests.
BALANCER_PAUSE_S = 1.0

log = logs.logger("entry")


class Entry(Process):
    """Process on an entry host.

    It holds no state that must survive it: sidecars hold the requests in progress, and
    the platform stores what is durable.
    """

    role = Role.ENTRY
    forwards_changes = True

    def __init__(self, settings, platform=None, clock=None):
        super().__init__(settings, platform, clock)
        self.dispatcher = Dispatcher(self)
        self.caller_api = CallerApi(self, self.dispatcher)
        self.driver_manager = DriverManager(self, self.dispatcher)
        self.trainer_api = TrainerApi(self, self.driver_manager)
        self.operator_api = OperatorApi(self)
        self.caller_server = self.new_http_server(
            self.serve_caller, PortKind.CALLERS, CALLER_MEMORY_SHARE
        )
        self.caller_address = ("", 0)

    async def start(self) -> None:
        """Listen on the ports and start the tasks."""
        await super().start()
        settings = self.settings
        port = await self.caller_server.listen(settings.host, settings.caller_port)
        self.caller_address = (settings.host, port)
        self.spawn(self.dispatcher.run())

    async def stop(self) -> None:
        """Stop at once, without finishing requests."""
        await self.caller_server.stop(0)
        await super().stop()

    async def drain(self, deadline: float) -> None:
        """Leave the load balancer, finish the requests that run, then stop.

        Requests that still run ``deadline`` seconds after the load balancer's pause
        are answered that their outcome is unknown; their streams are cut.
        """
        if self.member.leaving:
            return
        self.member.leaving = True
        self.stops_at = self.clock.monotonic() + BALANCER_PAUSE_S + deadline
        self.recorder.record("leaving", self.member.name)
        log.info(
            "Draining: accepts no new requests, finishes those that run within {} s.",
            deadline,
        )
        self.heartbeats.wake.set()
        await self.driver_manager.release_leases()
        await self.clock.sleep(BALANCER_PAUSE_S)
        await self.caller_server.stop(deadline, answers_rest=True)
        self.stopped.set()

    def revision_changed(self) -> None:
        """Start drivers for new trainers."""
        self.driver_manager.start_missing_drivers()

    # Peers

    def is_poller(self):
        """Return whether this entry is among its zone's pollers."""
        return self.ranks_as_poller(self.membership.entries())

    def heartbeat_addresses(self):
        """Return the addresses of a subset of each pool's sidecars and of some entries.

        The seeds are added if no other entry is known.
        """
        chosen = []
        pools = {peer.member.pool for peer in self.membership.peers.values()}
        for pool in pools - {""}:
            chosen += self.sidecar_subset(pool)
        entries = self.membership.entries()
        self.random.shuffle(entries)
        chosen += entries[:HEARTBEAT_ENTRIES]
        if not entries:
            return super().heartbeat_addresses() + [peer.address for peer in chosen]
        return [peer.address for peer in chosen]

    def sidecar_subset(self, pool: str):
        """Return the sidecars of a pool that this entry sends heartbeats to.

        Sidecars of its own zone come first, then those with the highest rendezvous
        weight, so that the entries' subsets differ.
        """
        sidecars = self.membership.sidecars(pool)
        name, zone = self.member.name, self.member.zone
        sidecars.sort(
            key=lambda peer: (
                peer.member.zone != zone,
                -rendezvous_weight(name, peer.member.name),
            )
        )
        return sidecars[:SIDECARS_PER_POOL]

    # Requests

    async def serve_caller(self, request: Request) -> Response:
        """Answer one request of a caller or trainer."""
        if request.path == "/health":
            return self.health_response()
        if not self.active_revision.ready:
            detail = "this entry has no revision yet"
            return problem_response(503, "not run", detail, retry_after=1.0)
        workspace, slash, rest = request.path.lstrip("/").partition("/")
        if workspace not in self.active_revision.catalog.workspaces:
            return problem_response(
                404, "not run", f"there is no workspace {workspace!r}"
            )
        if not has_workspace_key(request, workspace, self.active_revision.catalog.keys):
            return unauthorized(f"requests to {workspace} need one of its keys")
        if rest.startswith("trainers/"):
            rest = rest.removeprefix("trainers/")
            return await self.trainer_api.handle_request(request, workspace, rest)
        return await self.caller_api.handle_request(request, workspace, slash + rest)

    async def serve_operator(self, request):
        """Answer one request on the operator port."""
        response = await self.operator_api.serve(request)
        return response or await super().serve_operator(request)

    def read_gauges(self):
        """Return the gauges that `status` and the metrics page show, by name."""
        gauges = super().read_gauges()
        gauges["waiting"] = sum(self.caller_api.waiting_by_workspace.values())
        gauges["caller_connections"] = len(self.caller_server.connections)
        for pool, router in self.dispatcher.routers.items():
            gauges[f"ejected.{pool}"] = router.count_ejected()
        for name, budget in self.dispatcher.budgets.items():
            gauges[f"retry_budget.{name}"] = round(budget.tokens, 2)
        for name, driver in self.driver_manager.drivers.items():
            gauges[f"drives.{name}"] = int(driver.lease.held)
            gauges[f"groups_running.{name}"] = len(driver.running)
            gauges[f"groups_ready.{name}"] = driver.ready_count
            gauges[f"stragglers_moved.{name}"] = driver.sampler.migrated
        for name, idle in self.trainer_api.idle_seconds.items():
            gauges[f"idle_seconds.{name}"] = round(idle, 4)
            gauges[f"staleness.{name}"] = round(
                self.trainer_api.mean_staleness[name], 3
            )
        return gauges
