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
from gypsumshift.jobs.claims import Candidate, ClaimBoard
from gypsumshift.jobs.engine import Engine
from gypsumshift.jobs.heart import STORE_WRITES, Heart
from gypsumshift.jobs.model import (
    AGENTS,
    CLAIMS,
    JOBS,
    Claim,
    UnitSummary,
    to_row,
)
from gypsumshift.jobs.mover import Mover
from gypsumshift.jobs.pace import is_slow
from gypsumshift.jobs.peers import Peers
from gypsumshift.jobs.presence import UNASKED, Presence
from gypsumshift.jobs.room import NO_ROOM, Room
from gypsumshift.jobs.station import Home, Station
from gypsumshift.jobs.unitruns import UnitRunner
from gypsumshift.jobs.weights import WeightKeeper
from gypsumshift.metrics import Metrics
from gypsumshift.outcomes import Committed, Conflict, Unavailable
from gypsumshift.platforms import ABSENT, Row, RowStore, Write
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
# Seconds between two questions to silent agents. In a fleet of 1,600, most agents are
# silent for longer than the usual time, and each is asked as often as it asks.
ASK_PAUSE = 0.1
# Seconds between two savings of what long runs have generated.
SAVE_PERIOD = 1.0
# Items that may wait for their scores, in engines full: more show that the application
# is slow, and other agents may have better luck with it.
SCORING_ROUNDS = 2

log = logs.logger("agent")


class Agent:
    """Claims units while its engine has room, and hands them over when it cannot.

    Parameters
    ----------
    home : Home
    store : RowStore
    directory : Directory
    engine : Engine
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
        engine: Engine,
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
        self.weights = WeightKeeper(self.station, self.board, clock, metrics, policy)
        self.news = [asyncio.Event() for _ in range(CLAIMS_AT_ONCE)]
        self.presence = presence
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
        self.mover = Mover(self.heart, self.weights, self.board, self.runner, clock)
        directory.on_restart.append(self.note_restart)
        self.slow_at = float("-inf")
        self.asked_at = float("-inf")
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
        self.runner.drop_ended()
        self.note_news()

    def take_claims(self, rows: list[Row]) -> None:
        """Take rows of the table of claims."""
        self.board.take_claims(rows)
        for row in rows:
            self.runner.note_claim(row)
        self.note_news()

    def note_restart(self, old: BackendServer) -> None:
        """Forget what was believed of the engine's start that is no more.

        Its runs are at no engine any more; their streams are cut and go on from the
        events that are held.
        """
        if old.address != self.home.address or old.service != self.home.service:
            return
        self.station.forget_start()
        self.weights.forget_start()
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
            self.runner.hand_over_all("the engine does not serve")
            return
        self.shed_if_slow()
        if self.policy.long_items_to_faster:
            self.mover.look()
        if report is not None and not self.leaving:
            await self.weights.bring(report)

    def shed_if_slow(self) -> None:
        """Hand the items over where this engine is far behind its peers."""
        pace = self.runner.pace
        own, peers = pace.value(), self.peers.paces()
        if self.weights.loading or not is_slow(own, peers):
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
                await self.runner.save()

    def places(self) -> int:
        """Return the items that the engine could take now."""
        limits = self.station.limits
        return self.room(limits).places if limits and self.station.healthy else 0

    def room(self, limits: EngineLimits) -> Room:
        """Return what the engine should be given beside what it runs."""
        coming = self.coming()
        load = self.runner.load + sum(len(unit.items) for unit in coming)
        since = self.clock.monotonic() - self.slow_at
        if since < SLOW_PAUSE:
            return NO_ROOM
        if since < SLOW_PROBATION and load:
            return NO_ROOM
        if self.runner.scoring >= SCORING_ROUNDS * limits.slots:
            return NO_ROOM
        sizes = [size for unit in coming for size in [unit.memory] * len(unit.items)]
        return Room(limits.slots - load, limits.memory, (*self.runner.sizes, *sizes))

    def coming(self) -> list[UnitSummary]:
        """Return the units whose claims are on their way."""
        places = self.board.claiming.keys() - self.runner.units.keys()
        return [unit for place in places if (unit := self.board.unit(*place))]

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
            self.runner.set_places(limits.slots)
            self.adopt()
            candidate = self.board.choose(
                self.weights.models(),
                self.weights.ready_versions(),
                self.room(limits),
                self.mover.slower,
                self.may_ask,
            )
            if candidate is None:
                return
            if candidate.silent and not await self.holder_gone(candidate):
                continue
            if not await self.claim(candidate):
                return

    @property
    def may_ask(self) -> bool:
        """Whether a silent agent may be asked now."""
        return self.clock.monotonic() - self.asked_at >= ASK_PAUSE

    async def holder_gone(self, candidate: Candidate) -> bool:
        """Ask the silent holder of a unit; tell whether the unit may be claimed.

        A heartbeat or another claim that came while it was asked goes before an answer
        that did not come.
        """
        if await self.holder_works(candidate.silent):
            return False
        return self.board.claimable(candidate)

    async def holder_works(self, claim: Claim) -> bool:
        """Ask the silent holder of a claim whether it works."""
        self.asked_at = self.clock.monotonic()
        works = await self.presence.works(claim)
        if works:
            self.peers.note_works(claim)
        logs.event(log, "Asked a silent agent.", agent=claim.agent, works=works)
        self.metrics.count("asked", works=str(works).lower())
        return works

    def adopt(self) -> None:
        """Start units that are held by the store but not run, answered or not."""
        for job, unit in self.board.mine():
            asked = self.board.claiming.get((job.id, unit.key))
            self.begin(asked or Candidate(job, unit, ABSENT, True))

    def begin(self, candidate: Candidate) -> None:
        """Run a unit if this agent holds it, by the newest that is known of its claim.

        The answer to a claim may be old: the store's changes tell the claim too, and
        by then its unit may be done, given back or held by another agent. Begun by
        answers alone, units ran again (16 runs of 8 items where the store answered
        0.3 s after it had told), and their results met in one transaction.
        """
        job, unit = candidate.job, candidate.unit
        held = self.board.held(job.id, unit.key)
        returning = (job.id, unit.key) in self.runner.returning
        if self.board.own(held) and not returning:
            self.runner.start(candidate, held.version)

    async def claim(self, candidate: Candidate) -> bool:
        """Claim a unit; return whether to go on claiming."""
        place = (candidate.job.id, candidate.unit.key)
        self.board.claiming[place] = candidate
        try:
            return await self.write_claim(candidate)
        finally:
            self.board.claiming.pop(place, None)

    async def write_claim(self, candidate: Candidate) -> bool:
        """Write a claim, and run its unit where it holds."""
        job, unit = candidate.job, candidate.unit
        value = to_row(self.own)
        write = Write(CLAIMS, unit.key, value, candidate.version, part=job.id)
        asked_at = self.clock.monotonic()
        outcome = await self.store.commit([write])
        if isinstance(outcome, Committed):
            row = Row(CLAIMS, unit.key, outcome.version, value, job.id)
            self.note_late_answer(row, asked_at)
            self.board.take_claims([row])
            self.begin(candidate)
            return True
        if isinstance(outcome, Conflict):
            return await self.learn_claims(job.id)
        return False

    def note_late_answer(self, row: Row, asked_at: float) -> None:
        """Log that a claim was told by the store's changes before it was answered."""
        held = self.board.held(row.part, row.key)
        if held is None or held.version < row.version:
            return
        logs.event(
            log,
            "A claim was told before it was answered.",
            job=row.part,
            unit=row.key,
            claim_version=row.version,
            known_version=held.version,
            done=held.claim.done,
            answered_s=round(self.clock.monotonic() - asked_at, 3),
        )

    async def learn_claims(self, job_id: str) -> bool:
        """Read who holds the units of a job; return whether that worked."""
        rows = await self.store.scan(CLAIMS, "", job_id)
        if isinstance(rows, Unavailable):
            return False
        self.board.take_claims(rows)
        return True

    async def leave(self) -> None:
        """Give all work back, and wait until results are stored."""
        self.leaving = True
        await self.runner.leave()
