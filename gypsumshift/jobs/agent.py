"""Agent that claims items of batch jobs and runs them on one model engine.

Each engine has one agent, the only process that gives it orders. The agent claims work
from the store as its engine has capacity, so slow, loading and crashed engines get less
work without a central scheduler.
"""

import asyncio
import random
from collections.abc import Iterator

from gypsumshift.clock import Clock
from gypsumshift.jobs.assignment import StepPlan
from gypsumshift.jobs.capacity import NO_CAPACITY, FreeCapacity
from gypsumshift.jobs.claimer import Claimer
from gypsumshift.jobs.claimloops import ClaimLoops
from gypsumshift.jobs.claimtracker import ClaimTracker
from gypsumshift.jobs.engine import EngineClient
from gypsumshift.jobs.engineevacuation import EngineEvacuation
from gypsumshift.jobs.enginemonitor import EngineMonitor
from gypsumshift.jobs.heartbeatwriter import STORE_WRITES, HeartbeatWriter
from gypsumshift.jobs.liveness import NO_PROBE, LivenessProbe
from gypsumshift.jobs.localengine import AgentIdentity, LocalEngine
from gypsumshift.jobs.openjob import Candidate, OpenJob
from gypsumshift.jobs.pace import Pace
from gypsumshift.jobs.peers import Peers
from gypsumshift.jobs.records import (
    AGENTS,
    CLAIMS,
    JOBS,
    Claim,
    UnitSummary,
)
from gypsumshift.jobs.reportedslowdown import ReportedSlowdown
from gypsumshift.jobs.stepneeds import EngineDivider
from gypsumshift.jobs.stepplanner import StepPlanner
from gypsumshift.jobs.unitmigrator import UnitMigrator
from gypsumshift.jobs.unitrunner import UnitRunner
from gypsumshift.jobs.usualpace import LastingPace
from gypsumshift.jobs.waits import WaitMonitor
from gypsumshift.jobs.weights import WeightManager
from gypsumshift.metrics import Metrics
from gypsumshift.platforms import Row, RowStore
from gypsumshift.policy import DEFAULT_POLICY, Policy
from gypsumshift.serving.directory import BackendServer, Directory
from gypsumshift.serving.forwarder import Forwarder
from gypsumshift.serving.headers import HeaderNames
from gypsumshift.serving.routes import EngineLimits
from gypsumshift.watch import Watch, run_watches

__all__ = ["Agent"]

# Seconds between two reports of the engine, which cost little on its own host.
REPORT_PERIOD = 0.2
# Seconds after which the agent looks for work again without being woken.
CLAIM_PERIOD = 0.25
# Claims that an agent makes concurrently. With a single sequence, each claim waited for
# the one before: while half of the store's answers were lost, items were claimed up to
# 3.1 s after their step had arrived.
CONCURRENT_CLAIMS = 3
# Seconds between answers of the change feed of the table of agents. It is half of a
# heartbeat period and delays the detection of a lost agent by as much.
PEERS_GATHER = 0.2
# Seconds between two saves of what long runs have generated.
SAVE_PERIOD = 1.0
# Items that may wait for their scores, as a multiple of the engine's slots. More
# waiting items show that the application that scores them is slow; other agents may get
# faster answers from it.
SCORING_ROUNDS = 2
# Seconds between two checks for stored claims while this agent drains: several usual
# answer times of the store.
DRAIN_POLL_PERIOD = 0.05


class Agent:
    """Claims units while its engine has capacity, and hands them over if it fails.

    Units of an engine that is much slower than its peers are handed over as well.

    Parameters
    ----------
    identity : AgentIdentity
    store : RowStore
    directory : Directory
    engine : EngineClient
    forwarder : Forwarder
        For reward calls.
    names : HeaderNames
    clock : Clock
    chance : random.Random
    metrics : Metrics
    policy : Policy
    liveness : LivenessProbe
        Checks agents without a recent heartbeat.
    store_writes : float
        Writes a second that the store takes from all processes.

    Attributes
    ----------
    claim_loops : ClaimLoops
    monitor : EngineMonitor
        Hands the units over if the engine is faulty or far behind its peers.
    evacuation : EngineEvacuation
        Releases the units while the engine's zone is evacuated.
    waits : WaitMonitor
        Reports items and units that are at no engine.
    draining : bool
        Whether this agent gives its work back and claims none.
    """

    def __init__(
        self,
        identity: AgentIdentity,
        store: RowStore,
        directory: Directory,
        engine: EngineClient,
        forwarder: Forwarder,
        names: HeaderNames,
        clock: Clock,
        chance: random.Random,
        metrics: Metrics,
        policy: Policy = DEFAULT_POLICY,
        liveness: LivenessProbe = NO_PROBE,
        store_writes: float = STORE_WRITES,
    ):
        self.identity = identity
        self.policy = policy
        self.store = store
        self.clock = clock
        self.metrics = metrics
        self.own_claim = Claim(identity.name, f"{chance.getrandbits(64):016x}")
        self.peers = Peers(self.own_claim.session, clock, self.peers_current_at)
        self.tracker = ClaimTracker(self.own_claim.session, clock, chance, self.peers)
        self.local_engine = LocalEngine(identity, directory, engine, clock)
        self.weights = WeightManager(
            self.local_engine,
            self.tracker,
            clock,
            metrics,
            policy,
            EngineDivider(self.tracker, self.local_engine, store.now, clock),
        )
        self.claim_loops = ClaimLoops(self.claim_units, CONCURRENT_CLAIMS, CLAIM_PERIOD)
        reported = ReportedSlowdown(clock, names.parse_load, metrics)
        engine.on_load = reported.note_header
        self.runner = UnitRunner(
            self.own_claim,
            store,
            self.local_engine,
            self.weights,
            self.tracker,
            forwarder,
            names,
            clock,
            metrics,
            self.wake,
            LastingPace(clock, reported) if policy.engine_states else Pace(clock),
        )
        self.claimer = Claimer(
            self.own_claim,
            store,
            self.tracker,
            self.runner,
            liveness,
            clock,
            metrics,
        )
        self.heartbeat_writer = HeartbeatWriter(
            self.own_claim.session,
            self.local_engine,
            self.weights,
            self.tracker,
            self.runner.pace,
            store,
            clock,
            self.free_slots,
            store_writes,
            self.engine_state,
            self.runner.event_size,
        )
        self.monitor = EngineMonitor(
            self.heartbeat_writer,
            self.weights,
            self.peers,
            self.runner,
            clock,
            metrics,
            policy,
        )
        self.unit_migrator = UnitMigrator(
            self.heartbeat_writer,
            self.weights,
            self.tracker,
            self.runner,
            clock,
            metrics,
            policy,
        )
        self.planner = StepPlanner(
            self.heartbeat_writer,
            self.weights,
            self.tracker,
            self.runner.lengths,
            clock,
        )
        self.evacuation = EngineEvacuation(
            self.local_engine,
            self.claimer,
            self.runner,
            self.unit_migrator,
            clock,
            metrics,
        )
        self.waits = WaitMonitor(
            self.runner, self.tracker, self.weights, self.free_slots, clock, metrics
        )
        directory.on_restart.append(self.note_restart)
        self.draining = False
        peers = self.peers
        self.peer_watch = Watch(
            store,
            AGENTS,
            peers.apply_rows,
            peers.apply_rows,
            clock,
            peers.note_store_recovered,
            batch_interval=PEERS_GATHER,
        )
        self.watches = [
            Watch(store, JOBS, self.apply_job_rows, self.apply_job_rows, clock),
            Watch(store, CLAIMS, self.apply_claim_rows, self.apply_claim_rows, clock),
            self.peer_watch,
        ]

    # Callbacks.

    def peers_current_at(self) -> float:
        """Return when the table of agents was last current, in seconds."""
        return self.peer_watch.current_at

    def engine_state(self) -> str:
        """Return the value of the engine's state; empty if the policy ignores it."""
        return self.monitor.state_name()

    def wake(self) -> None:
        """Wake all claim loops, as units or capacity may have become available."""
        self.claim_loops.wake()

    def apply_job_rows(self, rows: list[Row]) -> None:
        """Apply rows of the table of jobs."""
        for job in self.tracker.apply_job_rows(rows):
            if job.model and self.tracker.may_serve(job):
                self.weights.note_job(job)
        self.runner.drop_ended_jobs()
        self.wake()

    def apply_claim_rows(self, rows: list[Row]) -> None:
        """Apply rows of the table of claims."""
        self.tracker.apply_claim_rows(rows)
        for row in rows:
            self.runner.drop_if_taken_over(row)
        self.wake()

    def note_restart(self, old: BackendServer) -> None:
        """Reset the state of this agent's engine after a restart.

        Its runs have ended with the old start; their streams are cut and continue after
        the events that were received.
        """
        if old.address != self.identity.address or old.service != self.identity.service:
            return
        self.local_engine.reset_report()
        self.weights.reset_load_state()
        self.runner.pace.reset()
        self.monitor.reset()
        self.wake()

    # Tasks.

    async def run(self) -> None:
        """Run all tasks of this agent until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(run_watches(self.watches))
            group.create_task(self.heartbeat_writer.run())
            group.create_task(self.run_engine_loop())
            group.create_task(self.claim_loops.run())
            group.create_task(self.run_save_loop())

    async def run_engine_loop(self) -> None:
        """Check the engine and load the weights that it needs, periodically."""
        while True:
            await self.update_engine()
            self.waits.check()
            await self.clock.sleep(REPORT_PERIOD)

    async def update_engine(self) -> None:
        """Fetch the engine's report, then hand over units or order a load if needed."""
        if self.evacuation.in_force:
            self.evacuation.release_units()
            return
        was_healthy = self.local_engine.healthy
        versions = self.weights.ready_versions()
        report = await self.local_engine.fetch_report()
        if report is not None:
            self.weights.note_report(report)
            if not was_healthy or versions != self.weights.ready_versions():
                self.wake()
        if not self.local_engine.healthy:
            if self.evacuation.in_force or self.evacuation.awaits_report:
                return
            # Claims that were stored though their answers were lost have to be given
            # back as well, so their units are started first.
            self.claimer.start_held_units()
            self.runner.hand_over_all("the engine does not serve")
            return
        self.monitor.check()
        self.runner.hand_over_unpermitted()
        if self.policy.long_items_to_faster:
            self.unit_migrator.migrate_long_units()
        if report is not None and not self.draining:
            await self.weights.order_due_load(report)

    async def run_save_loop(self) -> None:
        """Save the output of long runs periodically."""
        while True:
            await self.clock.sleep(SAVE_PERIOD)
            if self.policy.saved_runs:
                await self.runner.save_partials()

    def free_slots(self) -> int:
        """Return the number of items that the engine could take now."""
        limits = self.local_engine.limits
        if self.policy.expected_end and self.weights.loading_model:
            # No item starts meanwhile; others would leave their units to this engine.
            return 0
        return (
            self.free_capacity(limits).free_slots
            if limits and self.local_engine.healthy
            else 0
        )

    def free_capacity(self, limits: EngineLimits) -> FreeCapacity:
        """Return the capacity for further items, less that of pending claims."""
        pending = self.claimer.pending_units()
        load = self.runner.slots_used + sum(len(unit.items) for unit in pending)
        if self.monitor.is_paused(load):
            return NO_CAPACITY
        if self.runner.scoring_count >= SCORING_ROUNDS * limits.slots:
            return NO_CAPACITY
        sizes = [size for unit in pending for size in [unit.memory] * len(unit.items)]
        return FreeCapacity(
            limits.slots - load, limits.memory, (*self.runner.memory_estimates, *sizes)
        )

    async def claim_units(self) -> None:
        """Claim one unit after another while the engine has capacity."""
        while (candidate := self.choose_candidate()) is not None:
            if candidate.silent_claim and not await self.may_claim(candidate):
                continue
            if not await self.claimer.claim(candidate):
                return
        self.claim_loops.note_nothing_found()

    def choose_candidate(self) -> Candidate | None:
        """Return the unit to claim next; None where there is none, or no capacity."""
        limits = self.local_engine.limits
        if self.draining or not self.local_engine.healthy or limits is None:
            return None
        self.runner.item_runner.set_slot_count(limits.slots)
        self.claimer.start_held_units()
        capacity = self.free_capacity(limits)
        if capacity.free_slots <= 0:
            return None
        return self.tracker.choose_candidate(
            self.weights.assigned_models(),
            self.weights.ready_versions(),
            capacity,
            self.unit_migrator.faster_free_slots,
            self.claimer.may_probe,
            self.weights.division().ranks,
            self.plan_job,
        )

    def plan_job(
        self, open_job: OpenJob, free: int, claimable: Iterator[UnitSummary]
    ) -> StepPlan | None:
        """Return the plan of an open job; None to claim its units in the usual order.

        Parameters
        ----------
        open_job : OpenJob
        free : int
            Free slots of the engine.
        claimable : iterator of UnitSummary
            Units that may be claimed, in the usual order.
        """
        if not self.policy.expected_end:
            return None
        return self.planner.plan(open_job, free, claimable)

    async def may_claim(self, candidate: Candidate) -> bool:
        """Probe an agent without heartbeats; return whether its unit may be claimed.

        During the probe, other claims may have used up the capacity, or this process
        may have begun to stop.
        """
        limits = self.local_engine.limits
        if limits is None or not await self.claimer.may_claim(candidate):
            return False
        unit = candidate.unit
        fits = self.free_capacity(limits).fits(len(unit.items), unit.memory)
        return fits and not self.draining and not self.evacuation.in_force

    async def drain(self) -> None:
        """Give all units back, and wait until results are stored.

        Claims that were not answered yet may still assign units to this agent. A unit
        that is not given back waits 1.5 s until other agents detect the loss of this
        process.
        """
        self.draining = True
        while True:
            self.claimer.start_held_units()
            await self.runner.drain()
            if not self.tracker.pending_claims and not self.runner.units:
                return
            await self.clock.sleep(DRAIN_POLL_PERIOD)
