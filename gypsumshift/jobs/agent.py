"""Agent: runs items of batch jobs on the model engine beside it.

One agent stands beside one engine and is the only one to give it orders. It takes
work from the store as its engine has room, so that slow, loading and crashed
engines take less without anybody deciding it.
"""

import asyncio
import contextlib
import random

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.jobs.capacity import NO_CAPACITY, FreeCapacity
from gypsumshift.jobs.claimer import Claimer
from gypsumshift.jobs.claimtracker import Candidate, ClaimTracker
from gypsumshift.jobs.engine import EngineClient
from gypsumshift.jobs.heartbeatwriter import STORE_WRITES, HeartbeatWriter
from gypsumshift.jobs.liveness import NO_PROBE, LivenessProbe
from gypsumshift.jobs.localengine import AgentIdentity, LocalEngine
from gypsumshift.jobs.pace import is_slow
from gypsumshift.jobs.peers import Peers
from gypsumshift.jobs.records import (
    AGENTS,
    CLAIMS,
    JOBS,
    Claim,
)
from gypsumshift.jobs.unitmigrator import UnitMigrator
from gypsumshift.jobs.unitrunner import UnitRunner
from gypsumshift.jobs.weights import WeightManager
from gypsumshift.metrics import Metrics
from gypsumshift.platforms import Row, RowStore
from gypsumshift.policy import DEFAULT, Policy
from gypsumshift.serving.directory import BackendServer, Directory
from gypsumshift.serving.forwarder import Forwarder
from gypsumshift.serving.headers import HeaderNames
from gypsumshift.serving.routes import EngineLimits
from gypsumshift.watch import Watch, run_all

__all__ = ["Agent"]

# Seconds between reports of the engine, which are free on its own host.
REPORT_PERIOD = 0.2
# Seconds after which the agent looks for work again though nothing was told.
CLAIM_PERIOD = 0.25
# Seconds for which a slow engine gets nothing, and for which it then gets one unit at
# a time, to be measured again: slowness was seen to last 6 to 8 s.
SLOW_PAUSE = 2.0
SLOW_PROBATION = 4.0
# Claims that an agent makes side by side. One after the other, each waited for the
# last: while half of the store's answers were lost, items were claimed up to 3.1 s
# after their step had come (logs of a play).
CONCURRENT_CLAIMS = 3
# Seconds between answers of the table of agents: half of a heartbeat, by which a lost
# agent is missed later.
PEERS_GATHER = 0.2
# Seconds between two savings of what long runs have generated.
SAVE_PERIOD = 1.0
# Items that may wait for their scores, in engines full: more show that the application
# is slow, and other agents may have better luck with it.
SCORING_ROUNDS = 2
# Seconds between two looks at what claims bring while this process stops: several
# usual answers of the store.
LEAVE_PAUSE = 0.05

log = logs.logger("agent")


class Agent:
    """Claims units while its engine has room, and hands them over when it cannot.

    Parameters
    ----------
    home : Home
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
    presence : Presence
        Asks agents that were not heard of for a while.
    store_writes : float
        Writes a second that the store takes from all processes.
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
        policy: Policy = DEFAULT,
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
            self.local_engine, self.tracker, clock, metrics, policy
        )
        self.wake_events = [asyncio.Event() for _ in range(CONCURRENT_CLAIMS)]
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
        )
        self.claimer = Claimer(
            self.own_claim, store, self.tracker, self.runner, liveness, clock, metrics
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
        )
        self.unit_migrator = UnitMigrator(
            self.heartbeat_writer, self.weights, self.tracker, self.runner, clock
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
            gather=PEERS_GATHER,
        )
        self.watches = [
            Watch(store, JOBS, self.apply_job_rows, self.apply_job_rows, clock),
            Watch(store, CLAIMS, self.apply_claim_rows, self.apply_claim_rows, clock),
            self.peer_watch,
        ]

    # What is told.

    def peers_current_at(self) -> float:
        """Return when the store last told of the other agents, in seconds."""
        return self.peer_watch.current_at

    def wake(self) -> None:
        """Have this agent look for work: there may be some, or room for it."""
        for news in self.wake_events:
            news.set()

    def apply_job_rows(self, rows: list[Row]) -> None:
        """Take rows of the table of jobs."""
        for job in self.tracker.apply_job_rows(rows):
            if job.model:
                self.weights.note_job(job)
        self.runner.drop_ended_jobs()
        self.wake()

    def apply_claim_rows(self, rows: list[Row]) -> None:
        """Take rows of the table of claims."""
        self.tracker.apply_claim_rows(rows)
        for row in rows:
            self.runner.drop_if_taken_over(row)
        self.wake()

    def note_restart(self, old: BackendServer) -> None:
        """Forget what was believed of the engine's start that is no more.

        Its runs are at no engine any more; their streams are cut and go on from the
        events that are held.
        """
        if old.address != self.identity.address or old.service != self.identity.service:
            return
        self.local_engine.reset_report()
        self.weights.reset_load_state()
        self.runner.pace.reset()
        self.slow_at = float("-inf")
        self.wake()

    # Tasks.

    async def run(self) -> None:
        """Work until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(run_all(self.watches))
            group.create_task(self.heartbeat_writer.run())
            group.create_task(self.run_engine_loop())
            for news in self.wake_events:
                group.create_task(self.run_claim_loop(news))
            group.create_task(self.run_save_loop())

    async def run_engine_loop(self) -> None:
        """Watch the engine, and bring it the weights that it needs."""
        while True:
            await self.update_engine()
            await self.clock.sleep(REPORT_PERIOD)

    async def update_engine(self) -> None:
        """Ask for a report; hand work over or give an order where it calls for it."""
        was_healthy, versions = self.local_engine.healthy, self.weights.ready_versions()
        report = await self.local_engine.fetch_report()
        if report is not None:
            self.weights.note_report(report)
            if not was_healthy or versions != self.weights.ready_versions():
                self.wake()
        if not self.local_engine.healthy:
            # Claims that were carried out unanswered are given back as well.
            self.claimer.start_held_units()
            self.runner.hand_over_all("the engine does not serve")
            return
        self.hand_over_if_slow()
        if self.policy.long_items_to_faster:
            self.unit_migrator.migrate_long_units()
        if report is not None and not self.draining:
            await self.weights.order_due_load(report)

    def hand_over_if_slow(self) -> None:
        """Hand the items over where this engine is far behind its peers."""
        pace = self.runner.pace
        own, peers = pace.current(), self.peers.paces()
        if self.weights.loading_model or not is_slow(own, peers):
            return
        if not self.policy.slow_handover:
            return
        self.slow_at = self.clock.monotonic()
        pace.clear_gaps()
        logs.event(
            log,
            "The engine is slow.",
            seconds_an_event=round(own, 4),
            peers=[round(pace, 4) for pace in sorted(peers)],
        )
        self.metrics.count("slow_engine")
        self.runner.hand_over_all("the engine is slow")

    async def run_save_loop(self) -> None:
        """Save what long runs have generated, again and again."""
        while True:
            await self.clock.sleep(SAVE_PERIOD)
            if self.policy.saved_runs:
                await self.runner.save_partials()

    def free_slots(self) -> int:
        """Return the items that the engine could take now."""
        limits = self.local_engine.limits
        return (
            self.free_capacity(limits).free_slots
            if limits and self.local_engine.healthy
            else 0
        )

    def free_capacity(self, limits: EngineLimits) -> FreeCapacity:
        """Return what the engine should be given beside what it runs."""
        coming = self.claimer.pending_units()
        load = self.runner.slots_used + sum(len(unit.items) for unit in coming)
        since = self.clock.monotonic() - self.slow_at
        if since < SLOW_PAUSE:
            return NO_CAPACITY
        if since < SLOW_PROBATION and load:
            return NO_CAPACITY
        if self.runner.scoring_count >= SCORING_ROUNDS * limits.slots:
            return NO_CAPACITY
        sizes = [size for unit in coming for size in [unit.memory] * len(unit.items)]
        return FreeCapacity(
            limits.slots - load, limits.memory, (*self.runner.memory_estimates, *sizes)
        )

    async def run_claim_loop(self, news: asyncio.Event) -> None:
        """Claim units while the engine has room."""
        while True:
            news.clear()
            await self.claim_units()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CLAIM_PERIOD):
                    await news.wait()

    async def claim_units(self) -> None:
        """Claim one unit after another."""
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
            )
            if candidate is None:
                return
            if candidate.silent_claim and not await self.may_claim(candidate, limits):
                continue
            if not await self.claimer.claim(candidate):
                return

    async def may_claim(self, candidate: Candidate, limits: EngineLimits) -> bool:
        """Tell whether a unit of a silent agent may be claimed, once it was asked.

        Meanwhile other claims may have taken the room, or this process been stopped.
        """
        if not await self.claimer.may_claim(candidate):
            return False
        unit = candidate.unit
        fits = self.free_capacity(limits).fits(len(unit.items), unit.memory)
        return fits and not self.draining

    async def drain(self) -> None:
        """Give all work back, and wait until results are stored.

        Claims that are on their way bring work as long as they are: not returned, a
        unit waits for others to miss this process, 1.5 s.
        """
        self.draining = True
        while True:
            self.claimer.start_held_units()
            await self.runner.drain()
            if not self.tracker.pending_claims and not self.runner.units:
                return
            await self.clock.sleep(LEAVE_PAUSE)
