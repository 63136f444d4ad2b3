"""Agent: runs items of batch jobs on the model engine beside it.

One agent stands beside one engine and is the only one to give it orders. It takes
work from the store as its engine has room, so that slow, loading and crashed
engines take less without anybody deciding it.
"""

import asyncio
import contextlib
import random

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.eventstream import StreamBroken
from gypsumshift.jobs import placement
from gypsumshift.jobs.claims import Candidate, ClaimBoard
from gypsumshift.jobs.committer import Committer, Finished
from gypsumshift.jobs.engine import Engine, EngineReport, VersionOrder
from gypsumshift.jobs.itemrun import PAUSE, ItemRun
from gypsumshift.jobs.model import (
    AGENTS,
    CLAIMS,
    JOBS,
    PARTIALS,
    RESULTS,
    UNITS,
    Claim,
    Item,
    Job,
    Partial,
    Result,
    Unit,
    from_row,
    to_row,
)
from gypsumshift.jobs.pace import Pace, is_slow
from gypsumshift.metrics import Metrics
from gypsumshift.outcomes import (
    Answered,
    Committed,
    Conflict,
    Unavailable,
)
from gypsumshift.platforms import Row, RowStore, Write
from gypsumshift.serving.directory import BackendServer, Directory
from gypsumshift.serving.forwarder import Forwarder
from gypsumshift.serving.headers import HeaderNames
from gypsumshift.watch import Watch

__all__ = ["Agent", "Home"]

# Seconds between heartbeats of an agent.
HEARTBEAT = 1.0
# Seconds between reports of the engine, which are free on its own host.
REPORT_PERIOD = 0.2
# Seconds without a report after which the engine's items go to other agents.
REPORT_SILENCE = 0.9
# Seconds after which the agent looks for work again though nothing was told.
LOOK_PERIOD = 0.25
# Seconds before an order without an answer is given again.
ORDER_RETRY = 1.0
# Reward calls of one agent at once: the application answers callers too, and five
# agents with three each take half of its places at the most.
SCORES_AT_ONCE = 3
# Seconds for which a slow engine gets nothing, and for which it then gets one unit at
# a time, to be measured again: slowness was seen to last 6 to 8 s.
SLOW_PAUSE = 2.0
SLOW_PROBATION = 4.0
ACCEPTED = (200, 202)

log = logs.logger("agent")


@attrs.frozen
class Home:
    """Where an agent stands.

    Attributes
    ----------
    name : str
        Of its process, the holder of its orders.
    service : str
        Of the engine.
    address : (str, int)
        Of the engine.
    """

    name: str
    service: str
    address: tuple[str, int]


@attrs.define
class UnitRun:
    """A claimed unit on its way.

    Attributes
    ----------
    job : Job
    key : str
    version : int
        Of the row of its claim; -1 where unknown.
    runs : dict
        `ItemRun` by item, of those without a result.
    tasks : dict
        Task by item.
    """

    job: Job
    key: str
    version: int = -1
    runs: dict[str, ItemRun] = attrs.field(factory=dict)
    tasks: dict[str, asyncio.Task] = attrs.field(factory=dict)


class Agent:
    """Claims units, runs their items, and keeps the engine's weights fresh.

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
    """

    def __init__(
        self, home, store, directory, engine, forwarder, names, clock, chance, metrics
    ):
        self.home: Home = home
        self.store: RowStore = store
        self.directory: Directory = directory
        self.engine: Engine = engine
        self.forwarder: Forwarder = forwarder
        self.names: HeaderNames = names
        self.clock: Clock = clock
        self.chance: random.Random = chance
        self.metrics: Metrics = metrics
        self.pace = Pace(clock)
        self.slow_at = float("-inf")
        self.session = f"{chance.getrandbits(64):016x}"
        self.board = ClaimBoard(self.session, clock)
        self.demand = placement.Demand()
        self.committer = Committer(store, clock)
        self.units: dict[tuple[str, str], UnitRun] = {}
        self.report: EngineReport | None = None
        self.reported_at = float("-inf")
        self.named_at: dict[str, tuple[int, float]] = {}
        self.fence = 0
        self.order_at = float("-inf")
        self.loading = ""
        self.replaced: set[str] = set()
        self.leaving = False
        self.work = asyncio.Event()
        self.scores = asyncio.Semaphore(SCORES_AT_ONCE)
        self.places = asyncio.Semaphore(1)
        self.place_count = 1
        self.beats = 0
        self.watches = [
            Watch(store, JOBS, self.take_jobs, self.take_jobs, clock),
            Watch(store, CLAIMS, self.take_claims, self.take_claims, clock),
            Watch(
                store,
                AGENTS,
                self.board.take_pulses,
                self.board.take_pulses,
                clock,
                self.board.note_store_back,
            ),
        ]

    # What is told.

    def take_jobs(self, rows: list[Row]) -> None:
        """Take rows of the table of jobs."""
        self.board.take_jobs(rows)
        for tracked in self.board.open.values():
            if tracked.job.model:
                self.demand.add(tracked.job)
        for unit in list(self.units.values()):
            if unit.job.id in self.board.ended:
                self.drop(unit)
        self.work.set()

    def take_claims(self, rows: list[Row]) -> None:
        """Take rows of the table of claims."""
        self.board.take_claims(rows)
        for row in rows:
            unit = self.units.get((row.part, row.key))
            if unit is not None and self.lost(unit, row):
                logs.event(
                    log, "Another agent runs a unit.", job=row.part, unit=row.key
                )
                self.drop(unit)
        self.work.set()

    def lost(self, unit: UnitRun, row: Row) -> bool:
        """Tell whether a claim in the store ends this agent's run of a unit."""
        if row.value is None or row.version <= unit.version:
            return False
        return from_row(row.value, Claim).session != self.session

    @property
    def server(self) -> BackendServer | None:
        """The engine as listed now; None while it is not or leaves."""
        # The newest entry last: an engine that starts anew has a second entry until
        # its first lapses.
        for server in reversed(self.directory.servers.values()):
            here = server.address == self.home.address
            if here and server.ready and server.id not in self.replaced:
                return server
        return None

    @property
    def healthy(self) -> bool:
        """Whether the engine is listed and reports."""
        silent = self.clock.monotonic() - self.reported_at
        return self.server is not None and silent < REPORT_SILENCE

    @property
    def load(self) -> int:
        """Items that are claimed and have no result."""
        return sum(len(unit.tasks) for unit in self.units.values())

    # Tasks.

    async def run(self) -> None:
        """Work until cancelled."""
        async with asyncio.TaskGroup() as group:
            for watch in self.watches:
                group.create_task(watch.run())
            group.create_task(self.beat())
            group.create_task(self.tend())
            group.create_task(self.look())

    async def beat(self) -> None:
        """Tell the other agents that this one works."""
        while True:
            await self.send_beat()
            await self.clock.sleep(HEARTBEAT)

    async def send_beat(self) -> None:
        """Write one heartbeat; its first transaction gives the fence of orders."""
        self.beats += 1
        value = {"session": self.session, "beat": self.beats}
        value["pace"] = round(self.pace.value(), 5)
        outcome = await self.store.commit([Write(AGENTS, self.home.name, value)])
        if isinstance(outcome, Committed) and not self.fence:
            self.fence = outcome.version
            logs.event(log, "This agent may give orders.", fence=self.fence)

    async def tend(self) -> None:
        """Watch the engine, and bring it the weights that it needs."""
        while True:
            await self.look_after_engine()
            await self.clock.sleep(REPORT_PERIOD)

    async def look_after_engine(self) -> None:
        """Ask for a report; hand work over or give an order where it calls for it."""
        server = self.server
        report = await self.engine.report(server) if server else None
        if report is not None:
            self.note_report(report)
        if not self.healthy:
            self.hand_over_all("the engine does not serve")
            return
        self.shed_if_slow()
        if report is not None and not self.leaving:
            await self.bring_weights(server, report)

    def shed_if_slow(self) -> None:
        """Hand the items over where this engine is far behind its peers."""
        own, peers = self.pace.value(), self.board.paces()
        if self.loading or not is_slow(own, peers):
            return
        self.slow_at = self.clock.monotonic()
        self.pace.clear()
        logs.event(
            log,
            "The engine is slow.",
            seconds_an_event=round(own, 4),
            peers=[round(pace, 4) for pace in sorted(peers)],
        )
        self.metrics.count("slow_engine")
        self.hand_over_all("the engine is slow")

    def room(self, slots: int) -> int:
        """Return how many items more the engine should be given."""
        since = self.clock.monotonic() - self.slow_at
        if since < SLOW_PAUSE:
            return 0
        if since < SLOW_PROBATION and self.load:
            return 0
        return slots - self.load

    def note_report(self, report: EngineReport) -> None:
        """Take a report of the engine."""
        was_healthy = self.healthy
        fresh = self.report is None or self.report.versions != report.versions
        self.report = report
        self.reported_at = self.clock.monotonic()
        if not report.busy and self.reported_at - self.order_at > REPORT_PERIOD:
            self.loading = ""
        if not was_healthy:
            logs.event(log, "The engine reports.", versions=report.versions)
        if fresh or not was_healthy:
            self.work.set()

    def models(self) -> tuple[str, ...]:
        """Return the models that the engine is to serve."""
        limits = self.limits()
        server = self.server
        if limits is None or server is None:
            return ()
        servers = [s.id for s in self.directory.service(self.home.service)]
        shares = self.demand.shares(limits.models)
        return placement.assign(servers, shares).get(server.id, ())

    def limits(self):
        """Return what the engine can hold, by the configuration."""
        service = self.directory.routes.services.get(self.home.service)
        return service.engine if service else None

    async def bring_weights(self, server: BackendServer, report: EngineReport) -> None:
        """Order newer weights where they are due."""
        if report.busy or not self.fence:
            return
        if self.clock.monotonic() - self.order_at < ORDER_RETRY:
            return
        for model in self.models():
            choice = self.choose_load(server, report, model)
            if choice is not None:
                await self.give_order(server, report, choice)
                return

    def choose_load(self, server, report, model) -> placement.LoadChoice | None:
        """Return the weights to load for a model now."""
        newest = self.directory.newest.get(model, 1)
        seen, since = self.named_at.get(model, (0, 0.0))
        now = self.clock.monotonic()
        if seen != newest:
            since = now
            self.named_at[model] = (newest, now)
        return placement.choose_load(
            model,
            report.versions.get(model, 0),
            newest,
            self.board.waiting(model),
            self.turn(server, model),
            now - since,
        )

    def turn(self, server: BackendServer, model: str) -> int:
        """Return the place of this engine among those of a model."""
        limits = self.limits()
        servers = [s.id for s in self.directory.service(self.home.service)]
        placed = placement.assign(servers, self.demand.shares(limits.models))
        peers = [s for s in sorted(placed) if model in placed[s]]
        return peers.index(server.id) if server.id in peers else 0

    async def give_order(self, server, report, choice) -> None:
        """Order the engine to load weights."""
        order = VersionOrder(
            choice.model, choice.version, self.home.name, self.fence, report.orders
        )
        self.order_at = self.clock.monotonic()
        answer = await self.engine.order(server, order)
        status = answer.status if isinstance(answer, Answered) else 0
        self.metrics.count("orders", status=str(status))
        self.loading = choice.model if status in ACCEPTED else ""
        logs.event(
            log,
            "Ordered new weights.",
            server=server.id,
            model=choice.model,
            version=choice.version,
            was=report.versions.get(choice.model, 0),
            why=choice.reason,
            status=status,
            outcome=type(answer).__name__,
        )

    async def look(self) -> None:
        """Claim units while the engine has room."""
        while True:
            self.work.clear()
            await self.claim_all()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LOOK_PERIOD):
                    await self.work.wait()

    async def claim_all(self) -> None:
        """Claim one unit after another."""
        while not self.leaving and self.healthy and self.report is not None:
            limits = self.limits()
            if limits is None:
                return
            self.set_places(limits.slots)
            self.adopt()
            candidate = self.board.choose(
                list(self.models()), self.report.versions, self.room(limits.slots)
            )
            if candidate is None or not await self.claim(candidate):
                return

    def set_places(self, count: int) -> None:
        """Let so many items run at once."""
        if count != self.place_count:
            self.place_count = count
            self.places = asyncio.Semaphore(count)

    def adopt(self) -> None:
        """Start units that are held by the store but not run: an answer was lost."""
        for job, unit, held in self.board.mine():
            if (job.id, unit.key) not in self.units:
                candidate = Candidate(job, unit, held.version, True)
                self.start(candidate, held.version)

    async def claim(self, candidate: Candidate) -> bool:
        """Claim a unit; return whether to go on claiming."""
        job, unit = candidate.job, candidate.unit
        claim = Claim(self.home.name, self.session)
        write = Write(CLAIMS, unit.key, to_row(claim), candidate.version, part=job.id)
        outcome = await self.store.commit([write])
        if isinstance(outcome, Committed):
            row = Row(CLAIMS, unit.key, outcome.version, write.value, job.id)
            self.board.take_claims([row])
            self.start(candidate, outcome.version)
            return True
        if isinstance(outcome, Conflict):
            return await self.learn_claims(job.id)
        return False

    async def learn_claims(self, job_id: str) -> bool:
        """Read who holds the units of a job; return whether that worked."""
        rows = await self.store.scan(CLAIMS, "", job_id)
        if isinstance(rows, Unavailable):
            return False
        self.board.take_claims(rows)
        return True

    # Units.

    def start(self, candidate: Candidate, version: int) -> None:
        """Run a claimed unit."""
        job, summary = candidate.job, candidate.unit
        if job.id in self.board.ended or (job.id, summary.key) in self.units:
            # The job ended while the claim was on its way, or its answer was late.
            return
        unit = UnitRun(job, summary.key, version)
        self.units[job.id, summary.key] = unit
        logs.event(
            log,
            "Claimed a unit.",
            job=job.id,
            unit=summary.key,
            items=list(summary.items),
            taken_over=candidate.taken_over,
            claim_version=version,
            weights=self.report.versions.get(job.model, 0) if self.report else 0,
        )
        self.metrics.count("claims", taken_over=str(candidate.taken_over).lower())
        loading = self.load_unit(unit, candidate.taken_over)
        unit.tasks[""] = asyncio.create_task(loading)

    async def load_unit(self, unit: UnitRun, taken_over: bool) -> None:
        """Read the items of a unit, and run those without a result."""
        row = await self.read_unit(unit)
        items = from_row(row.value, Unit).items
        known: set[str] = set()
        partials: dict[str, Partial] = {}
        if taken_over:
            known = {r.key for r in await self.read_rows(RESULTS, unit.job.id)}
            for found in await self.read_rows(PARTIALS, unit.job.id):
                partials[found.key] = from_row(found.value, Partial)
        for item in items:
            if item.id not in known:
                self.start_item(unit, item, partials.get(item.id))
        del unit.tasks[""]
        if not unit.tasks:
            await self.close_unit(unit)

    async def read_unit(self, unit: UnitRun) -> Row:
        """Read the row of a unit, however long that takes."""
        while True:
            row = await self.store.read(UNITS, unit.key, unit.job.id)
            if isinstance(row, Row):
                return row
            await self.clock.sleep(PAUSE)

    async def read_rows(self, table: str, part: str) -> list[Row]:
        """Read the rows of a job, however long that takes."""
        while True:
            rows = await self.store.scan(table, "", part)
            if not isinstance(rows, Unavailable):
                return rows
            await self.clock.sleep(PAUSE)

    def start_item(self, unit: UnitRun, item: Item, partial: Partial | None) -> None:
        """Run one item in a task of its own."""
        run = ItemRun(
            unit.job,
            item,
            self.engine,
            self.forwarder,
            self.directory,
            self.names,
            self.clock,
            self.pace,
        )
        if partial is not None:
            run.resume(partial)
        unit.runs[item.id] = run
        task = asyncio.create_task(self.run_item(unit, run))
        unit.tasks[item.id] = task

    async def run_item(self, unit: UnitRun, run: ItemRun) -> None:
        """Generate, score and store one item."""
        result = await self.generate(run)
        if result is None:
            async with self.scores:
                result = await run.finish()
        self.store_result(unit, run, result)

    async def generate(self, run: ItemRun) -> Result | None:
        """Generate one item in a place of the engine."""
        while True:
            async with self.places:
                server = self.server
                if server is not None and self.loading != run.job.model:
                    try:
                        return await run.generate(server)
                    except StreamBroken as error:
                        self.note_broken(run, server, error)
            # An engine that loads a model's weights refuses its requests: asking
            # ten times a second was 4 of 10 requests on a calm day.
            await self.clock.sleep(PAUSE)

    def note_broken(self, run: ItemRun, server, error: StreamBroken) -> None:
        """Take note of a stream that broke; it is resumed."""
        self.metrics.count("broken_streams")
        if error.replaced:
            self.replaced.add(server.id)
        logs.event(
            log,
            "A stream broke.",
            item=run.item.id,
            job=run.job.id,
            server=server.id,
            events=len(run.events),
            reason=str(error),
        )

    def store_result(self, unit: UnitRun, run: ItemRun, result: Result) -> None:
        """Hand a result to the committer."""
        self.metrics.count("items", state=result.state.value)
        unit.tasks.pop(run.item.id, None)
        unit.runs.pop(run.item.id, None)
        last = None
        if not unit.tasks:
            last = Claim(self.home.name, self.session, done=True)
            self.units.pop((unit.job.id, unit.key), None)
            self.note_done(unit, last)
        self.committer.put(Finished(unit.job.id, unit.key, result, last))
        self.work.set()

    def note_done(self, unit: UnitRun, claim: Claim) -> None:
        """Remember that a unit is done before the store tells it."""
        row = Row(CLAIMS, unit.key, unit.version, to_row(claim), unit.job.id)
        self.board.take_claims([row])

    async def close_unit(self, unit: UnitRun) -> None:
        """Mark a unit done that had all its results before."""
        claim = Claim(self.home.name, self.session, done=True)
        self.units.pop((unit.job.id, unit.key), None)
        self.note_done(unit, claim)
        await self.store.commit(
            [Write(CLAIMS, unit.key, to_row(claim), part=unit.job.id)]
        )

    def drop(self, unit: UnitRun) -> None:
        """Stop a unit whose job has ended."""
        self.units.pop((unit.job.id, unit.key), None)
        for task in unit.tasks.values():
            task.cancel()

    def hand_over_all(self, reason: str) -> list[asyncio.Task]:
        """Give all units back, with what was generated of them."""
        given = []
        for unit in list(self.units.values()):
            self.drop(unit)
            logs.event(
                log,
                "Gave a unit back.",
                job=unit.job.id,
                unit=unit.key,
                reason=reason,
                items=list(unit.runs),
            )
            given.append(asyncio.create_task(self.give_back(unit)))
        return given

    async def give_back(self, unit: UnitRun) -> None:
        """Write what was generated of a unit, and that it is free."""
        writes = [
            Write(PARTIALS, item, to_row(partial), part=unit.job.id)
            for item, run in unit.runs.items()
            if (partial := run.partial()) is not None
        ]
        expected = unit.version if unit.version >= 0 else None
        free = Write(CLAIMS, unit.key, to_row(Claim()), expected, part=unit.job.id)
        outcome = await self.store.commit([*writes, free])
        while not isinstance(outcome, (Committed, Conflict)):
            await self.clock.sleep(PAUSE)
            outcome = await self.store.commit([*writes, free])
        if isinstance(outcome, Committed):
            value = to_row(Claim())
            row = Row(CLAIMS, unit.key, outcome.version, value, unit.job.id)
            self.board.take_claims([row])
            self.work.set()

    async def leave(self) -> None:
        """Give all work back, and wait until results are stored."""
        self.leaving = True
        given = self.hand_over_all("this process stops")
        if given:
            await asyncio.wait(given)
        await self.committer.drain()
