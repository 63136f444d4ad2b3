"""Sidecar: the process beside one backend server, and its only sender."""

from gypsumshift import logs
from gypsumshift.addresses import parse_address
from gypsumshift.attemptrunner import AttemptRunner
from gypsumshift.backend import Backend, Fence
from gypsumshift.generated import messages
from gypsumshift.generated.declarations import Pool
from gypsumshift.generated.messages import Body, Role
from gypsumshift.httpclient import Fetcher
from gypsumshift.membership import rendezvous_weight
from gypsumshift.outcomes import Missing, Unavailable
from gypsumshift.poller import LEAVING_PREFIX
from gypsumshift.process import Process
from gypsumshift.revisions import HEADS_TABLE
from gypsumshift.weightrollout import WeightRollout

__all__ = ["Sidecar"]

HEARTBEAT_ENTRIES = 3
STATE_PERIOD_S = 1.0
DRAIN_CHECK_PERIOD_S = 0.05
DEFAULT_DRAIN_DEADLINE_S = 30.0

log = logs.logger("sidecar")


class Sidecar(Process):
    """Process beside one backend server.

    It alone sends requests and orders there. So it can say truly that a request
    has not run, and label tokens by what the engine reports.
    """

    role = Role.SIDECAR
    heartbeat_period = 4.0

    def __init__(self, settings, platform=None, clock=None):
        super().__init__(settings, platform, clock)
        self.fetcher = Fetcher()
        address = parse_address(settings.backend_url.removeprefix("http://"))
        undeclared = Pool(name=settings.pool, kind="model")
        self.backend = Backend(
            address, undeclared, self.fetcher, self.recorder, settings.backend
        )
        self.attempt_runner = AttemptRunner(self, self.backend, self.fetcher)
        owner = f"{self.member.name}/{self.member.incarnation}"
        tables = self.platform.tables
        self.fence = Fence(tables, settings.backend, owner, self.clock)
        self.weight_rollout = WeightRollout(
            self, self.backend, self.fence, self.attempt_runner
        )

    async def start(self) -> None:
        """Listen and run the tasks."""
        await super().start()
        self.spawn(self.acquire_fence())
        self.spawn(self.poll_backend_state())
        self.spawn(self.weight_rollout.run())

    async def stop(self) -> None:
        """Stop at once."""
        await super().stop()
        self.fetcher.close_idle()

    # What it knows

    def revision_changed(self) -> None:
        """Take the declaration of its pool."""
        pool = self.active_revision.catalog.pools.get(self.settings.pool)
        if pool is not None and pool != self.backend.pool:
            self.backend.pool = pool
            self.attempt_runner.update_pool(pool)

    def target_version_changed(self):
        """Have the rollout look at the new version."""
        self.weight_rollout.wake.set()

    def heartbeat_addresses(self):
        """Return a few entries; the seeds where none is known."""
        entries = self.membership.entries()
        if not entries:
            return super().heartbeat_addresses()
        entries.sort(
            key=lambda known: -rendezvous_weight(self.member.name, known.member.name)
        )
        return [known.address for known in entries[:HEARTBEAT_ENTRIES]]

    def polls_hosts(self):
        """Read the platform's list only where nobody else tells of entries."""
        return not self.membership.entries()

    def load_report(self) -> messages.Load:
        """Return the load of the backend server."""
        load = self.attempt_runner.current_load()
        self.member.version = load.version
        return load

    def read_gauges(self):
        """Return the figures that `status` and the scrape page show."""
        load = self.load_report()
        return super().read_gauges() | {
            "running": load.running,
            "queued": load.queued,
            "limit": load.limit,
            "wait_ms": load.wait_ms,
            "refused": self.attempt_runner.admission.refused_count,
            "weight_version": load.version,
            "target_version": self.weight_rollout.target,
            "rollout_wave": self.weight_rollout.wave,
            "swapping": int(load.swapping),
            "failed_swaps": self.backend.failed_swaps,
            "fence": self.member.fence,
            "healthy": int(load.healthy),
        }

    # Its backend server

    async def acquire_fence(self) -> None:
        """Take the fencing number, and learn whether operators drain this one."""
        self.member.fence = await self.fence.acquire()
        self.recorder.record("fence", self.settings.backend, str(self.member.fence))
        key = LEAVING_PREFIX + self.settings.backend
        row = await self.platform.tables.read(HEADS_TABLE, key)
        if not isinstance(row, (Missing, Unavailable)):
            self.start_leaving("drained by operators")
        self.heartbeats.wake.set()

    async def poll_backend_state(self) -> None:
        """Ask for the backend server's state, again and again."""
        while True:
            await self.backend.fetch_state()
            await self.clock.sleep(STATE_PERIOD_S)

    def start_leaving(self, reason: str) -> None:
        """Take no new work from now on."""
        if not self.member.leaving:
            self.member.leaving = True
            self.recorder.record("leaving", self.settings.backend, reason)
            log.info("Takes no new work: {}.", reason)
            self.heartbeats.wake.set()

    async def drain(self, deadline: float) -> None:
        """Take no new work and finish what runs, within ``deadline`` seconds."""
        self.start_leaving("drain ordered")
        end = self.clock.monotonic() + (deadline or DEFAULT_DRAIN_DEADLINE_S)
        while self.attempt_runner.running and self.clock.monotonic() < end:
            await self.clock.sleep(DRAIN_CHECK_PERIOD_S)

    # Requests

    async def serve_peer(self, session, exchange, body):
        """Answer one question of a peer."""
        if body.start is not None:
            self.attempt_runner.accept_attempt(session, exchange, body.start)
        elif body.cancel is not None:
            self.attempt_runner.cancel_attempt(body.cancel.attempt)
        elif body.bar is not None:
            await session.reply(
                exchange, Body(bar_reply=self.attempt_runner.bar_attempt(body.bar))
            )
        else:
            await super().serve_peer(session, exchange, body)

    def session_ended(self, session):
        """Give up what a lost entry can no longer receive."""
        self.attempt_runner.cancel_session_attempts(session)
