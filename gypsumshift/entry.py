"""Entry: the process on an entry host, for callers, trainers and operators."""

from gypsumshift import logs
from gypsumshift.bearer import has_workspace_key, unauthorized
from gypsumshift.callerapi import CallerApi
from gypsumshift.dispatch import Dispatcher
from gypsumshift.generated.messages import Role
from gypsumshift.httpserver import HttpServer, Request, Response, problem_response
from gypsumshift.membership import rendezvous_weight
from gypsumshift.operatorapi import OperatorApi
from gypsumshift.process import Process
from gypsumshift.trainerapi import TrainerApi
from gypsumshift.trainerdriver import DriverManager

__all__ = ["Entry"]

SIDECARS_PER_POOL = 16
HEARTBEAT_ENTRIES = 2
BALANCER_PAUSE_S = 1.0

log = logs.logger("entry")


class Entry(Process):
    """Process on an entry host.

    It holds nothing that may not be lost: requests under way are the sidecars',
    what must last is the platform's.
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
        self.caller_server = HttpServer(self.serve_caller)
        self.caller_address = ("", 0)

    async def start(self) -> None:
        """Listen and run the tasks."""
        await super().start()
        settings = self.settings
        port = await self.caller_server.listen(settings.host, settings.caller_port)
        self.caller_address = (settings.host, port)
        self.spawn(self.dispatcher.run())

    async def stop(self) -> None:
        """Stop at once."""
        await self.caller_server.stop(0)
        await super().stop()

    async def drain(self, deadline: float) -> None:
        """Leave: the balancer first, then finish all requests, then stop."""
        if self.member.leaving:
            return
        self.member.leaving = True
        self.recorder.record("leaving", self.member.name)
        log.info("Leaves; finishes what runs.")
        self.heartbeats.wake.set()
        await self.driver_manager.release_leases()
        await self.clock.sleep(BALANCER_PAUSE_S)
        await self.caller_server.stop(deadline)
        self.stopped.set()

    def revision_changed(self) -> None:
        """Start drivers for new trainers."""
        self.driver_manager.start_missing_drivers()

    # Whom it knows

    def is_poller(self):
        """Tell whether this entry is one of its zone's pollers."""
        return self.ranks_as_poller(self.membership.entries())

    def heartbeat_addresses(self):
        """Return its subset of every pool's sidecars, and a few entries."""
        chosen = []
        pools = {known.member.pool for known in self.membership.peers.values()}
        for pool in pools - {""}:
            chosen += self.sidecar_subset(pool)
        entries = self.membership.entries()
        self.random.shuffle(entries)
        chosen += entries[:HEARTBEAT_ENTRIES]
        if not entries:
            return super().heartbeat_addresses() + [known.address for known in chosen]
        return [known.address for known in chosen]

    def sidecar_subset(self, pool: str):
        """Return the sidecars of a pool that this entry works with."""
        sidecars = self.membership.sidecars(pool)
        name, zone = self.member.name, self.member.zone
        sidecars.sort(
            key=lambda known: (
                known.member.zone != zone,
                -rendezvous_weight(name, known.member.name),
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
            return unauthorized(f"{workspace} takes requests with one of its keys")
        if rest.startswith("trainers/"):
            rest = rest.removeprefix("trainers/")
            return await self.trainer_api.handle_request(request, workspace, rest)
        return await self.caller_api.handle_request(request, workspace, slash + rest)

    async def serve_operator(self, request):
        """Answer one request on the operators' port."""
        response = await self.operator_api.serve(request)
        return response or await super().serve_operator(request)

    def read_gauges(self):
        """Return the figures that `status` and the scrape page show."""
        figures = super().read_gauges()
        figures["waiting"] = sum(self.caller_api.waiting_by_workspace.values())
        figures["caller_connections"] = len(self.caller_server.connections)
        for pool, router in self.dispatcher.routers.items():
            figures[f"ejected.{pool}"] = router.count_ejected()
        for name, budget in self.dispatcher.budgets.items():
            figures[f"retry_budget.{name}"] = round(budget.tokens, 2)
        for name, driver in self.driver_manager.drivers.items():
            figures[f"drives.{name}"] = int(driver.lease.held)
            figures[f"groups_running.{name}"] = len(driver.running)
            figures[f"groups_ready.{name}"] = driver.ready_count
            figures[f"stragglers_moved.{name}"] = driver.sampler.migrated
        for name, idle in self.trainer_api.idle_seconds.items():
            figures[f"idle_seconds.{name}"] = round(idle, 4)
            figures[f"staleness.{name}"] = round(
                self.trainer_api.mean_staleness[name], 3
            )
        return figures
