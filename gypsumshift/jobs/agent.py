"""Agent that claims items of batch jobs and runs them on one model engine.

Each engine has one agent, the only process that gives it orders. The agent claims work
from the store as its engine has capacity, so slow, loading and crashed engines get less
work without a central scheduler.
"""

import asyncio
import contextlib
import random

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.jobs.assignment import StepPlan
from gypsumshift.jobs.capacity import NO_CAPACITY, FreeCapacity
from gypsumshift.jobs.claimer import Claimer
from gypsumshift.jobs.claimtracker import Candidate, ClaimTracker
from gypsumshift.jobs.engine import EngineClient
from gypsumshift.jobs.enginestate import (
    EngineObservation,
    EngineStateTracker,
    Verdict,
)
from gypsumshift.jobs.heartbeatwriter import STORE_WRITES, HeartbeatWriter
from gypsumshift.jobs.liveness import NO_PROBE, LivenessProbe
from gypsumshift.jobs.localengine import AgentIdentity, LocalEngine
from gypsumshift.jobs.pace import Pace, is_slow
from gypsumshift.jobs.peers import Peers
from gypsumshift.jobs.records import (
    AGENTS,
    CLAIMS,
    JOBS,
    Claim,
)
from gypsumshift.jobs.reportedslowdown import ReportedSlowdown
from gypsumshift.jobs.stepneeds import EngineDivider
from gypsumshift.jobs.stepplanner import StepPlanner
from gypsumshift.jobs.unitmigrator import UnitMigrator
from gypsumshift.jobs.unitrunner import UnitRunner
from gypsumshift.jobs.usualpace import LastingPace
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
# Seconds after which the agent tries to claim work again without being woken.
CLAIM_PERIOD = 0.25
# Seconds for which a slow engine gets no work, and up to which it then gets one unit at
# a time to be measured again: engines were seen to stay slow for 6 to 8 s.
SLOW_PAUSE = 2.0
SLOW_PROBATION = 4.0
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

log = logs.logger("agent")


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
    wake_events : list of asyncio.Event
        One for each claim loop; set when there may be work or capacity.
    slow_at : float
        When the engine was last found to be slow, by the monotonic clock, in seconds.
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
        self.wake_events = [asyncio.Event() for _ in range(CONCURRENT_CLAIMS)]
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
        self.state_tracker = EngineStateTracker(clock)
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
        directory.on_restart.append(self.note_restart)
        self.slow_at = float("-inf")
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

    def wake(self) -> None:
        """Wake all claim loops, as units or capacity may have become available."""
        for event in self.wake_events:
            event.set()

    def apply_job_rows(self, rows: list[Row]) -> None:
        """Apply rows of the table of jobs."""
        for job in self.tracker.apply_job_rows(rows):
            if job.model:
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
        self.state_tracker.reset()
        self.slow_at = float("-inf")
        self.wake()

    # Tasks.

    async def run(self) -> None:
        """Run all tasks of this agent until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(run_watches(self.watches))
            group.create_task(self.heartbeat_writer.run())
            group.create_task(self.run_engine_loop())
            for event in self.wake_events:
                group.create_task(self.run_claim_loop(event))
            group.create_task(self.run_save_loop())

    async def run_engine_loop(self) -> None:
        """Check the engine and load the weights that it needs, periodically."""
        while True:
            await self.update_engine()
            await self.clock.sleep(REPORT_PERIOD)

    async def update_engine(self) -> None:
        """Fetch the engine's report, then release units or order a load if needed."""
        was_healthy, versions = (
            self.local_engine.healthy,
            self.weights.ready_versions(),
        )
        report = await self.local_engine.fetch_report()
        if report is not None:
            self.weights.note_report(report)
            if not was_healthy or versions != self.weights.ready_versions():
                self.wake()
        if not self.local_engine.healthy:
            # Claims that were stored though their answers were lost have to be given
            # back as well, so their units are started first.
            self.claimer.start_held_units()
            self.runner.hand_over_all("the engine does not serve")
            return
        if self.policy.engine_states:
            self.update_state()
        else:
            self.hand_over_if_slow()
        if self.policy.long_items_to_faster:
            self.unit_migrator.migrate_long_units()
        if report is not None and not self.draining:
            await self.weights.order_due_load(report)

    def hand_over_if_slow(self) -> None:
        """Hand all units over if this engine is far behind its peers."""
        pace = self.runner.pace
        own, peers = pace.current(), self.peers.paces()
        if self.weights.loading_model or not is_slow(own, peers):
            return
        if not self.policy.slow_handover:
            return
        logs.event(
            log,
            "The engine is much slower than its peers; releasing all its units.",
            seconds_an_event=round(own, 4),
            peers=[round(pace, 4) for pace in sorted(peers)],
        )
        self.release_and_pause("the engine is slow")

    def release_and_pause(self, reason: str) -> None:
        """Hand all units over, and claim none for `SLOW_PAUSE`."""
        self.slow_at = self.clock.monotonic()
        self.runner.pace.clear_gaps()
        self.metrics.count("slow_engine")
        self.runner.hand_over_all(reason)

    def engine_state(self) -> str:
        """Return the value of the engine's state; empty if the policy ignores it."""
        return self.state_tracker.state.value if self.policy.engine_states else ""

    def update_state(self) -> None:
        """Determine the engine's state; hand all units over if it is faulty."""
        seen = self.observe_engine()
        verdict = self.state_tracker.update(seen)
        if verdict.state is not verdict.previous:
            self.log_state(verdict, seen)
        if verdict.release and self.policy.slow_handover:
            logs.event(
                log,
                "The engine is faulty; releasing all its units.",
                **state_figures(seen),
            )
            self.release_and_pause("the engine is faulty")

    def observe_engine(self) -> EngineObservation:
        """Return the figures that determine the engine's state."""
        pace, limits = self.runner.pace, self.local_engine.limits
        # Reading the usual pace adds the current one to it.
        usual = self.heartbeat_writer.usual_pace()
        return EngineObservation(
            pace.current(),
            usual,
            pace.usual_age,
            pace.batch_factor(limits.slots if limits else 0),
            bool(self.weights.loading_model),
            len(self.local_engine.directory.ready_engines()),
            self.peers.peer_paces(),
            pace.unexplained(),
        )

    def log_state(self, verdict: Verdict, seen: EngineObservation) -> None:
        """Log a change of the engine's state, with the figures that decided it."""
        logs.event(
            log,
            "The state of the engine changed.",
            state=verdict.state.value,
            was=verdict.previous.value,
            why=verdict.reason,
            **state_figures(seen),
        )
        self.metrics.count("engine_states", state=verdict.state.value)

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
        since = self.clock.monotonic() - self.slow_at
        if since < SLOW_PAUSE:
            return NO_CAPACITY
        if since < SLOW_PROBATION and load:
            return NO_CAPACITY
        if self.runner.scoring_count >= SCORING_ROUNDS * limits.slots:
            return NO_CAPACITY
        sizes = [size for unit in pending for size in [unit.memory] * len(unit.items)]
        return FreeCapacity(
            limits.slots - load, limits.memory, (*self.runner.memory_estimates, *sizes)
        )

    async def run_claim_loop(self, wake_event: asyncio.Event) -> None:
        """Claim units when woken, and every `CLAIM_PERIOD`."""
        while True:
            wake_event.clear()
            await self.claim_units()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CLAIM_PERIOD):
                    await wake_event.wait()

    async def claim_units(self) -> None:
        """Claim one unit after another while the engine has capacity."""
        while not self.draining and self.local_engine.healthy:
            limits = self.local_engine.limits
            if limits is None:
                return
            self.runner.item_runner.set_slot_count(limits.slots)
            self.claimer.start_held_units()
            candidate = self.tracker.choose_candidate(
                self.weights.assigned_models(),
                self.weights.ready_versions(),
                self.free_capacity(limits),
                self.unit_migrator.faster_free_slots,
                self.claimer.may_probe,
                self.weights.division().ranks,
                self.plan_job,
            )
            if candidate is None:
                return
            if candidate.silent_claim and not await self.may_claim(candidate, limits):
                continue
            if not await self.claimer.claim(candidate):
                return

    def plan_job(self, open_job, free: int, claimable) -> StepPlan | None:
        """Return the plan of an open job; None where the policy has none."""
        if not self.policy.expected_end:
            return None
        return self.planner.plan(open_job, free, claimable)

    async def may_claim(self, candidate: Candidate, limits: EngineLimits) -> bool:
        """Probe an agent without heartbeats; return whether its unit may be claimed.

        During the probe, other claims may have used up the capacity, or this process
        may have begun to stop.
        """
        if not await self.claimer.may_claim(candidate):
            return False
        unit = candidate.unit
        fits = self.free_capacity(limits).fits(len(unit.items), unit.memory)
        return fits and not self.draining

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


def state_figures(seen: EngineObservation) -> dict:
    """Return the figures of an observation for a log line."""
    return {
        "seconds_an_event": round(seen.current, 4),
        "usual": round(seen.usual, 4),
        "usual_age_s": round(seen.usual_age, 1),
        "batch_factor": round(seen.batch_factor, 2),
        "ratio": round(seen.ratio, 2),
        "unexplained_share": round(seen.unexplained_share, 2),
        "uniform_fleet": seen.is_uniform_fleet,
        "peers_usual": [round(pace, 4) for pace in seen.peer_usuals],
    }
