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
from gypsumshift.jobs.claimer import Claimer
from gypsumshift.jobs.claims import Candidate, ClaimBoard
from gypsumshift.jobs.engine import EngineClient
from gypsumshift.jobs.heart import STORE_WRITES, Heart
from gypsumshift.jobs.model import (
    AGENTS,
    CLAIMS,
    JOBS,
    Claim,
)
from gypsumshift.jobs.pace import is_slow
from gypsumshift.jobs.peers import Peers
from gypsumshift.jobs.presence import UNASKED, Presence
from gypsumshift.jobs.room import NO_ROOM, Room
from gypsumshift.jobs.station import Home, Station
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
LOOK_PERIOD = 0.25
# Seconds for which a slow engine gets nothing, and for which it then gets one unit at
# a time, to be measured again: slowness was seen to last 6 to 8 s.
SLOW_PAUSE = 2.0
SLOW_PROBATION = 4.0
# Claims that an agent makes side by side. One after the other, each waited for the
# last: while half of the store's answers were lost, items were claimed up to 3.1 s
# after their step had come (logs of a play).
CLAIMS_AT_ONCE = 3
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
        home: Home,
        store: RowStore,
        directory: Directory,
        engine: EngineClient,
        forwarder: Forwarder,
        names: HeaderNames,
        clock: Clock,
        chance: random.Random,
        metrics: Metrics,
        policy: Policy = DEFAULT,
        presence: Presence = UNASKED,
        store_writes: float = STORE_WRITES,
    ):
        self.home = home
        self.policy = policy
        self.store = store
        self.clock = clock
        self.metrics = metrics
        self.own = Claim(home.name, f"{chance.getrandbits(64):016x}")
        self.peers = Peers(self.own.session, clock, self.listened_at)
        self.board = ClaimBoard(self.own.session, clock, chance, self.peers)
        self.station = Station(home, directory, engine, clock)
        self.weights = WeightManager(self.station, self.board, clock, metrics, policy)
        self.news = [asyncio.Event() for _ in range(CLAIMS_AT_ONCE)]
        self.runner = UnitRunner(
            self.own,
            store,
            self.station,
            self.weights,
            self.board,
            forwarder,
            names,
            clock,
            metrics,
            self.note_news,
        )
        self.claimer = Claimer(
            self.own, store, self.board, self.runner, presence, clock, metrics
        )
        self.heart = Heart(
            self.own.session,
            self.station,
            self.weights,
            self.board,
            self.runner.pace,
            store,
            clock,
            self.places,
            store_writes,
        )
        self.unit_migrator = UnitMigrator(
            self.heart, self.weights, self.board, self.runner, clock
        )
        directory.on_restart.append(self.note_restart)
        self.slow_at = float("-inf")
        self.leaving = False
        peers = self.peers
        self.peer_watch = Watch(
            store,
            AGENTS,
            peers.take,
            peers.take,
            clock,
            peers.note_store_back,
            gather=PEERS_GATHER,
        )
        self.watches = [
            Watch(store, JOBS, self.take_jobs, self.take_jobs, clock),
            Watch(store, CLAIMS, self.take_claims, self.take_claims, clock),
            self.peer_watch,
        ]

    # What is told.

    def listened_at(self) -> float:
        """Return when the store last told of the other agents, in seconds."""
        return self.peer_watch.current_at

    def note_news(self) -> None:
        """Have this agent look for work: there may be some, or room for it."""
        for news in self.news:
            news.set()

    def take_jobs(self, rows: list[Row]) -> None:
        """Take rows of the table of jobs."""
        for job in self.board.take_jobs(rows):
            if job.model:
                self.weights.note_job(job)
        self.runner.drop_ended_jobs()
        self.note_news()

    def take_claims(self, rows: list[Row]) -> None:
        """Take rows of the table of claims."""
        self.board.take_claims(rows)
        for row in rows:
            self.runner.drop_if_taken_over(row)
        self.note_news()

    def note_restart(self, old: BackendServer) -> None:
        """Forget what was believed of the engine's start that is no more.

        Its runs are at no engine any more; their streams are cut and go on from the
        events that are held.
        """
        if old.address != self.home.address or old.service != self.home.service:
            return
        self.station.forget_start()
        self.weights.reset_load_state()
        self.runner.pace.forget()
        self.slow_at = float("-inf")
        self.note_news()

    # Tasks.

    async def run(self) -> None:
        """Work until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(run_all(self.watches))
            group.create_task(self.heart.run())
            group.create_task(self.tend())
            for news in self.news:
                group.create_task(self.look(news))
            group.create_task(self.save_on())

    async def tend(self) -> None:
        """Watch the engine, and bring it the weights that it needs."""
        while True:
            await self.look_after_engine()
            await self.clock.sleep(REPORT_PERIOD)

    async def look_after_engine(self) -> None:
        """Ask for a report; hand work over or give an order where it calls for it."""
        was_healthy, versions = self.station.healthy, self.weights.ready_versions()
        report = await self.station.ask()
        if report is not None:
            self.weights.note_report(report)
            if not was_healthy or versions != self.weights.ready_versions():
                self.note_news()
        if not self.station.healthy:
            # Claims that were carried out unanswered are given back as well.
            self.claimer.adopt()
            self.runner.hand_over_all("the engine does not serve")
            return
        self.shed_if_slow()
        if self.policy.long_items_to_faster:
            self.unit_migrator.migrate_long_units()
        if report is not None and not self.leaving:
            await self.weights.order_due_load(report)

    def shed_if_slow(self) -> None:
        """Hand the items over where this engine is far behind its peers."""
        pace = self.runner.pace
        own, peers = pace.value(), self.peers.paces()
        if self.weights.loading_model or not is_slow(own, peers):
            return
        if not self.policy.slow_handover:
            return
        self.slow_at = self.clock.monotonic()
        pace.clear()
        logs.event(
            log,
            "The engine is slow.",
            seconds_an_event=round(own, 4),
            peers=[round(pace, 4) for pace in sorted(peers)],
        )
        self.metrics.count("slow_engine")
        self.runner.hand_over_all("the engine is slow")

    async def save_on(self) -> None:
        """Save what long runs have generated, again and again."""
        while True:
            await self.clock.sleep(SAVE_PERIOD)
            if self.policy.saved_runs:
                await self.runner.save_partials()

    def places(self) -> int:
        """Return the items that the engine could take now."""
        limits = self.station.limits
        return self.room(limits).places if limits and self.station.healthy else 0

    def room(self, limits: EngineLimits) -> Room:
        """Return what the engine should be given beside what it runs."""
        coming = self.claimer.coming()
        load = self.runner.load + sum(len(unit.items) for unit in coming)
        since = self.clock.monotonic() - self.slow_at
        if since < SLOW_PAUSE:
            return NO_ROOM
        if since < SLOW_PROBATION and load:
            return NO_ROOM
        if self.runner.scoring_count >= SCORING_ROUNDS * limits.slots:
            return NO_ROOM
        sizes = [size for unit in coming for size in [unit.memory] * len(unit.items)]
        return Room(limits.slots - load, limits.memory, (*self.runner.sizes, *sizes))

    async def look(self, news: asyncio.Event) -> None:
        """Claim units while the engine has room."""
        while True:
            news.clear()
            await self.claim_all()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LOOK_PERIOD):
                    await news.wait()

    async def claim_all(self) -> None:
        """Claim one unit after another."""
        while not self.leaving and self.station.healthy:
            limits = self.station.limits
            if limits is None:
                return
            self.runner.item_runner.set_slot_count(limits.slots)
            self.claimer.adopt()
            candidate = self.board.choose(
                self.weights.assigned_models(),
                self.weights.ready_versions(),
                self.room(limits),
                self.unit_migrator.faster_free_slots,
                self.claimer.may_ask,
            )
            if candidate is None:
                return
            if candidate.silent and not await self.may_take(candidate, limits):
                continue
            if not await self.claimer.claim(candidate):
                return

    async def may_take(self, candidate: Candidate, limits: EngineLimits) -> bool:
        """Tell whether a unit of a silent agent may be claimed, once it was asked.

        Meanwhile other claims may have taken the room, or this process been stopped.
        """
        if not await self.claimer.may_take(candidate):
            return False
        unit = candidate.unit
        fits = self.room(limits).fits(len(unit.items), unit.memory)
        return fits and not self.leaving

    async def leave(self) -> None:
        """Give all work back, and wait until results are stored.

        Claims that are on their way bring work as long as they are: not returned, a
        unit waits for others to miss this process, 1.5 s.
        """
        self.leaving = True
        while True:
            self.claimer.adopt()
            await self.runner.drain()
            if not self.board.claiming and not self.runner.units:
                return
            await self.clock.sleep(LEAVE_PAUSE)
