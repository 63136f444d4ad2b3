"""Process beside one backend server, and the only one that sends requests to it."""

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

# Entries that a sidecar sends heartbeats to.
HEARTBEAT_ENTRIES = 3
STATE_PERIOD_S = 1.0
DRAIN_CHECK_PERIOD_S = 0.05
# Used where a drain order gives no deadline.
DEFAULT_DRAIN_DEADLINE_S = 30.0

log = logs.logger("sidecar")


class Sidecar(Process):
    """Process beside one backend server.

    No other process sends requests or orders to the backend server. The sidecar can
    therefore state reliably that a request has not run, and label tokens with the
    weight version that the engine reports.
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
        """Listen on the ports and start the tasks."""
        await super().start()
        self.spawn(self.acquire_fence())
        self.spawn(self.poll_backend_state())
        self.spawn(self.weight_rollout.run())

    async def stop(self) -> None:
        """Stop at once, without finishing requests."""
        await super().stop()
        self.fetcher.close_idle()

    # Configuration and peers

    def revision_changed(self) -> None:
        """Apply the new declaration of this sidecar's pool."""
        pool = self.active_revision.catalog.pools.get(self.settings.pool)
        if pool is not None and pool != self.backend.pool:
            self.backend.pool = pool
            self.attempt_runner.update_pool(pool)

    def target_version_changed(self):
        """Wake the weight rollout, which loads the new version."""
        self.weight_rollout.wake.set()

    def heartbeat_addresses(self):
        """Return the addresses of some entries; the seeds if no entry is known.

        Rendezvous weights spread the sidecars over the entries.
        """
        entries = self.membership.entries()
        if not entries:
            return super().heartbeat_addresses()
        entries.sort(
            key=lambda peer: -rendezvous_weight(self.member.name, peer.member.name)
        )
        return [peer.address for peer in entries[:HEARTBEAT_ENTRIES]]

    def polls_hosts(self):
        """Return whether to read the platform's host list: if no entry is known."""
        return not self.membership.entries()

    def load_report(self) -> messages.Load:
        """Return the load report of the backend server; update the version reported."""
        load = self.attempt_runner.current_load()
        self.member.version = load.version
        return load

    def read_gauges(self):
        """Return the gauges that `status` and the metrics page show, by name."""
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

    # Backend server

    async def acquire_fence(self) -> None:
        """Acquire the fencing number; leave if operators have ordered a drain."""
        self.member.fence = await self.fence.acquire()
        self.recorder.record("fence", self.settings.backend, str(self.member.fence))
        key = LEAVING_PREFIX + self.settings.backend
        row = await self.platform.tables.read(HEADS_TABLE, key)
        if not isinstance(row, (Missing, Unavailable)):
            self.start_leaving("drained by operators")
        self.heartbeats.wake.set()

    async def poll_backend_state(self) -> None:
        """Fetch the backend server's state periodically until cancelled."""
        while True:
            await self.backend.fetch_state()
            await self.clock.sleep(STATE_PERIOD_S)

    def start_leaving(self, reason: str) -> None:
        """Accept no new requests from now on, and send heartbeats about it at once."""
        if not self.member.leaving:
            self.member.leaving = True
            self.recorder.record("leaving", self.settings.backend, reason)
            log.info("Leaving, accepts no new requests: {}.", reason)
            self.heartbeats.wake.set()

    async def drain(self, deadline: float) -> None:
        """Accept no new requests and finish those that run, within a deadline.

        Parameters
        ----------
        deadline : float
            Seconds from now; 0 for the default.
        """
        self.start_leaving("drain ordered")
        end = self.clock.monotonic() + (deadline or DEFAULT_DRAIN_DEADLINE_S)
        while self.attempt_runner.running and self.clock.monotonic() < end:
            await self.clock.sleep(DRAIN_CHECK_PERIOD_S)

    # Requests

    async def serve_peer(self, session, exchange, body):
        """Answer one message of a peer."""
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
        """Cancel the repeatable attempts of a connection that has closed."""
        self.attempt_runner.cancel_session_attempts(session)
