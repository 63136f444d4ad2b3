"""Builders for tests of batch jobs: jobs, agents, and engines without a network."""

import asyncio
import random

import attrs

from gypsumshift import memory
from gypsumshift.clock import SystemClock
from gypsumshift.eventstream import StreamBroken
from gypsumshift.jobs import (
    EngineReport,
    Event,
    Item,
    Job,
    JobManager,
    RewardCall,
    split_into_units,
)
from gypsumshift.jobs.agent import Agent
from gypsumshift.jobs.claimtracker import ClaimTracker
from gypsumshift.jobs.engine import StreamRefused
from gypsumshift.jobs.liveness import NO_PROBE, LivenessProbe
from gypsumshift.jobs.localengine import AgentIdentity
from gypsumshift.jobs.peers import Peers
from gypsumshift.jobs.records import CLAIMS, JOB_KEY, JOBS, Claim, summarize_unit
from gypsumshift.jobs.rowcodec import to_row
from gypsumshift.metrics import Metrics
from gypsumshift.outcomes import Answered
from gypsumshift.platforms import Row
from gypsumshift.policy import DEFAULT_POLICY
from gypsumshift.serving import (
    BackendServer,
    Directory,
    EngineLimits,
    HeaderNames,
    RequestKind,
    Route,
    RouteTable,
    ServerLoad,
    Service,
    Target,
)
from gypsumshift.serving.crashguard import CrashGuard
from gypsumshift.watch import run_watches


def parse_load(text):
    """Return the load in the header of the fake servers."""
    return ServerLoad(*map(int, text.split(",")))


NAMES = HeaderNames(
    request_id="request-id",
    time_left="time-left",
    expected_server="expected-server",
    last_event="last-event-id",
    signature="signature",
    not_run="not-run",
    load="load",
    versions="versions",
    event_version="versions",
    length_hint="length-hint",
    token_counts="token-counts",
    urgency="urgency",
    wait="wait",
    key="key",
    workspace="workspace",
    parse_load=parse_load,
)
MODEL = "m"
SERVICE = "engines"
HOST = "trainers.example"
ADDRESS = ("127.0.0.1", 9)
METRICS = Metrics("test", dict)


def items(groups=2, size=2, step="s", body=None):
    """Return items with reward calls, in some groups of equal size."""
    found = []
    for group in range(groups):
        for number in range(size):
            name = f"{step}-{group}-{number}"
            reward = RewardCall(f"r-{name}", HOST, "/score/", b"x")
            sent = body or name.encode()
            found.append(Item(name, "/run/1", {}, sent, f"g{group}", 10, reward))
    return found


def job(units, job_id="job", model=MODEL, oldest_version=1):
    """Return a batch job that consists of the given units."""
    summaries = tuple(summarize_unit(unit) for unit in units)
    return Job(job_id, HOST, "/run/", model, 0, oldest_version, 0.0, summaries)


def job_row(value, version=1):
    return Row(JOBS, JOB_KEY, version, to_row(value), value.id)


def claim_row(job_id, unit, agent, session, version, done=False):
    claim = Claim(agent, session, done)
    return Row(CLAIMS, unit, version, to_row(claim), job_id)


def routes(version=1, one_version=False, attempts=3, retention=None):
    """Return a route table with a route for items and one for reward calls."""
    run = Route(
        "run",
        HOST,
        "/run/",
        RequestKind.BATCH,
        (Target(SERVICE),),
        attempts=attempts,
        one_version=one_version,
        retention=retention,
    )
    score = Route(
        "score", HOST, "/score/", RequestKind.SAFE, (Target("app"),), attempts=4
    )
    limits = EngineLimits(slots=4, models=(MODEL,))
    return RouteTable(version, [run, score], [Service(SERVICE, engine=limits)])


def server(server_id="e1", ready=True, address=ADDRESS):
    return BackendServer(server_id, SERVICE, address, "here", 4, ready)


class FakeEngine:
    """Engine client that generates a fixed number of events without a network.

    Attributes
    ----------
    length : int
        Number of events of an item.
    gap : float
        Seconds between two events.
    may_finish : asyncio.Event
        Streams wait for it before their last event.
    started : list
        For each stream, the item id and the number of the event after which it began.
    running : set
        Ids of the items that are running.
    replaced : set of str
        Ids of servers that are no longer at their address.
    break_at : dict
        Number of the event after which the next stream of an item breaks, by item id.
    busy : bool
        Whether an order, once received, is still being carried out.
    """

    # Used only after connections were closed, which does not happen here.
    fetcher = None

    def __init__(self, length=3):
        self.length = length
        self.gap = 0.0
        self.version = 1
        self.serves = True
        self.may_finish = asyncio.Event()
        self.may_finish.set()
        self.started = []
        self.running = set()
        self.break_at = {}
        self.orders = []
        self.replaced = set()
        self.servers = []
        self.busy = False

    async def stream(self, server, item, job, after, urgency):
        self.started.append((item.id, after))
        self.servers.append(server.id)
        if server.id in self.replaced:
            raise StreamRefused(421, False)
        if not self.serves:
            raise StreamBroken("refused")
        self.running.add(item.id)
        try:
            for number in range(after + 1, self.length + 1):
                if number == self.length:
                    await self.may_finish.wait()
                if self.gap:
                    await asyncio.sleep(self.gap)
                yield Event(number, f"{item.id}:{number}", self.version)
                if self.break_at.get(item.id) == number:
                    del self.break_at[item.id]
                    raise StreamBroken("cut")
        finally:
            self.running.discard(item.id)

    async def fetch_report(self, server):
        if not self.serves:
            return None
        busy = self.busy and bool(self.orders)
        return EngineReport({MODEL: self.version}, busy, len(self.orders), 0, 0)

    async def send_order(self, server, order):
        self.orders.append(order)
        if not self.busy:
            self.version = order.version
        return Answered(202)


class FakeForwarder:
    """Forwarder that answers with ``statuses`` in turn, once ``may_answer`` is set."""

    def __init__(self):
        self.calls = []
        self.statuses = []
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        chance = random.Random(1)
        self.guard = CrashGuard(memory.MemoryTables(), SystemClock(), chance, METRICS)

    async def forward(self, call):
        self.calls.append(call)
        await self.may_answer.wait()
        status = self.statuses.pop(0) if self.statuses else 200
        return Answered(status, ((NAMES.signature, f"signed-{call.id}"),))


class HeldAnswerTables(memory.MemoryTables):
    """Tables that carry out writes at once and can hold back the answers.

    Attributes
    ----------
    held_tables : dict
        Event that answers to writes wait for, by table.
    """

    def __init__(self):
        super().__init__()
        self.held_tables = {}

    def hold_answers(self, table):
        self.held_tables[table] = asyncio.Event()

    def release_answers(self, table):
        self.held_tables.pop(table).set()

    async def commit(self, writes):
        outcome = await super().commit(writes)
        for table in {write.table for write in writes}:
            if table in self.held_tables:
                await self.held_tables[table].wait()
        return outcome


class ScriptedLivenessProbe(LivenessProbe):
    """Probe with a fixed set of live agents; records the agents that were checked."""

    def __init__(self, *working):
        self.working = set(working)
        self.asked = []

    async def is_alive(self, claim):
        self.asked.append(claim.agent)
        return claim.agent in self.working


@attrs.define
class JobCluster:
    """A store with a job manager and agents that use it."""

    store: memory.MemoryTables = attrs.field(factory=memory.MemoryTables)
    tasks: list = attrs.field(factory=list)
    agents: dict = attrs.field(factory=dict)
    job_manager: JobManager = None

    def __attrs_post_init__(self):
        self.job_manager = JobManager(self.store, SystemClock(), METRICS)

    def agent(
        self,
        name="a",
        engine=None,
        store=None,
        liveness=NO_PROBE,
        forwarder=None,
        clock=None,
        policy=DEFAULT_POLICY,
    ):
        """Start an agent with an engine."""
        directory = Directory()
        directory.set_routes(routes())
        directory.set_server(server(f"e-{name}"))
        chance = random.Random(name)
        agent = Agent(
            AgentIdentity(name, SERVICE, ADDRESS),
            store or self.store,
            directory,
            engine or FakeEngine(),
            forwarder or FakeForwarder(),
            NAMES,
            clock or SystemClock(),
            chance,
            METRICS,
            policy,
            liveness=liveness,
        )
        self.agents[name] = agent
        self.tasks.append(asyncio.create_task(agent.run()))
        return agent

    async def submit(self, job_id="job", hints=None, body=None, **shape):
        """Submit a job and return its units; ``hints`` overrides estimates by item."""
        hints = hints or {}
        found = [
            attrs.evolve(item, hint=hints.get(item.id, item.hint))
            for item in items(step=job_id, body=body, **shape)
        ]
        units = split_into_units(found)
        value = job(units, job_id)
        loop = asyncio.get_running_loop()
        await self.job_manager.submit_job(value, units, loop.time() + 5)
        return units

    async def results(self, job_id="job", count=None):
        """Wait until a job has ``count`` results, by default all, and return them.

        Each read starts at the position after the last result, as trainers do: this job
        manager does not follow the store and reads it only for unknown positions.
        """
        found = []
        while True:
            page = await self.job_manager.result_reader.read_results(
                job_id, len(found), 0
            )
            found += page.results
            if len(found) >= (count or page.total):
                return found
            await asyncio.sleep(0.01)

    def follow(self):
        """Let the job manager follow the store's changes, as a gateway does."""
        self.tasks.append(asyncio.create_task(run_watches(self.job_manager.watches)))

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def make_tracker(session="mine", clock=None):
    return ClaimTracker(session, clock, random.Random(1), Peers(session, clock))


def engine_table_entry(**changes):
    """Return an engine's entry in the platform's table of servers."""
    fields = {
        "service": SERVICE,
        "addr": "10.0.0.1:8600",
        "zone": "here",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 1,
    }
    return fields | changes
