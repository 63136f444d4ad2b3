"""Simulation of trainers whose steps need more than the engines can do.

The choice of units and the assignment of engines are real. Engines, store and trainers
are simulated in steps of 0.1 s, without a network. All agents are assumed to have the
same data, so that one tracker and one weight manager decide for all engines.
"""

import datetime
import random

import attrs

from gypsumshift.jobs import Item, Job, split_into_units
from gypsumshift.jobs.capacity import FreeCapacity
from gypsumshift.jobs.claimtracker import ClaimTracker
from gypsumshift.jobs.localengine import AgentIdentity, LocalEngine
from gypsumshift.jobs.peers import Peers
from gypsumshift.jobs.records import (
    AGENTS,
    CLAIMS,
    END_KEY,
    JOBS,
    Claim,
    Heartbeat,
    summarize_unit,
)
from gypsumshift.jobs.rowcodec import to_row
from gypsumshift.jobs.schedule import MAX_UNIT_ITEMS
from gypsumshift.jobs.stepneeds import EngineDivider
from gypsumshift.jobs.weights import WeightManager
from gypsumshift.platforms import Row
from gypsumshift.policy import DEFAULT_POLICY
from gypsumshift.serving import (
    BackendServer,
    Directory,
    EngineLimits,
    RequestKind,
    Route,
    RouteTable,
    Service,
    Target,
)
from tests.builders import ManualClock
from tests.job_builders import HOST, METRICS, SERVICE, job_row

# Time between two steps of the simulation, and between two checks of an agent.
TICK_S, CHECK_S = 0.1, 0.2
SLOTS = 4
# Time between two events, estimated tokens per event, and time to load weights.
EVENT_S, TOKENS, LOAD_S = 0.1, 50, 0.9
# Time between two steps of a trainer, and time within which a step is to be complete.
STEP_PERIOD_S, STEP_TIME_S = 4.0, 7.5
# Age at which a trainer ends a step that is late; its groups come again in a later one.
GIVE_UP_S = 12.0
# Events of a usual and of a long item; one item in twelve is long.
USUAL_EVENTS, LONG_EVENTS, LONG_EVERY = 6, 30, 12
SESSION = "all"


def events_of(number):
    """Return the events of an item by its number; the items of a unit are alike."""
    return USUAL_EVENTS if number // MAX_UNIT_ITEMS % LONG_EVERY else LONG_EVENTS


@attrs.define
class Trainer:
    """Trainer that requests a step periodically.

    Attributes
    ----------
    model, workspace : str
    items : int
        Items of a step.
    begin_s, period_s, end_s : float
        Time of the first step, time between two, and time after which none follows.
    submitted : dict
        Time of submission by job.
    completed : dict
        Time of completion by job.
    """

    model: str
    workspace: str
    items: int
    begin_s: float = 0.0
    period_s: float = STEP_PERIOD_S
    end_s: float = 1e9
    submitted: dict = attrs.field(factory=dict)
    completed: dict = attrs.field(factory=dict)

    def is_due(self, seconds):
        """Return whether the next step is to be submitted."""
        due = self.begin_s + len(self.submitted) * self.period_s
        return due <= seconds + 1e-6 and due < self.end_s

    def in_time(self):
        """Return the number of steps that were complete in time."""
        return sum(
            done - self.submitted[job] <= STEP_TIME_S
            for job, done in self.completed.items()
        )

    def make_units(self, step):
        """Return the units of a step, of which one item in `LONG_EVERY` is long."""
        return split_into_units(
            [
                Item(
                    f"{self.model}-{step}-{number}",
                    "/run/1",
                    {},
                    b"x",
                    f"{self.model}-{step}-{number // 4}",
                    TOKENS * events_of(number),
                )
                for number in range(self.items)
            ]
        )


@attrs.define
class Engine:
    """Engine that holds current weights of one model at a time.

    Attributes
    ----------
    server : BackendServer
    loaded : str
        Model whose weights it holds.
    loading : str
        Model whose weights it is loading; empty for none.
    ready_at : float
        When the load is complete.
    running : list of (float, str, UnitSummary)
        End, job and unit of each running unit.
    loads : int
        Number of loads so far.
    """

    server: BackendServer
    loaded: str = ""
    loading: str = ""
    ready_at: float = 0.0
    running: list = attrs.field(factory=list)
    loads: int = 0

    @property
    def free_slots(self):
        return SLOTS - sum(len(unit.items) for _, _, unit in self.running)


class SharesWorld:
    """Engines with their agents, and trainers of several workspaces.

    Parameters
    ----------
    trainers : list of Trainer
    engines : int
    policy : Policy
    """

    def __init__(self, trainers, engines, policy=DEFAULT_POLICY):
        self.trainers = trainers
        self.policy = policy
        self.clock = ManualClock()
        self.begun_at = self.clock.monotonic()
        self.models = tuple(sorted(trainer.model for trainer in trainers))
        self.versions = 0
        self.engines = [
            Engine(
                BackendServer(f"e{n:02d}", SERVICE, (f"10.0.0.{n}", 9), "here", SLOTS)
            )
            for n in range(engines)
        ]
        self.remaining = {}
        self.peers = Peers(SESSION, self.clock)
        self.tracker = ClaimTracker(SESSION, self.clock, random.Random(1), self.peers)
        self.weights = self.new_weight_manager()
        for engine in self.engines:
            self.write_heartbeat(engine, "")
        self.history = []

    @property
    def seconds(self):
        """Time since the begin of the simulation."""
        return self.clock.monotonic() - self.begun_at

    def new_weight_manager(self):
        """Return the weight manager that decides for all engines."""
        directory = Directory()
        route = Route("run", HOST, "/run/", RequestKind.BATCH, (Target(SERVICE),))
        limits = EngineLimits(SLOTS, self.models)
        directory.set_routes(RouteTable(1, [route], [Service(SERVICE, engine=limits)]))
        for engine in self.engines:
            directory.set_server(engine.server)
        identity = AgentIdentity("agent", SERVICE, self.engines[0].server.address)
        local_engine = LocalEngine(identity, directory, None, self.clock)
        divider = EngineDivider(
            self.tracker,
            local_engine,
            lambda: datetime.timedelta(seconds=self.clock.monotonic()),
            self.clock,
        )
        return WeightManager(
            local_engine, self.tracker, self.clock, METRICS, self.policy, divider
        )

    def next_version(self):
        self.versions += 1
        return self.versions

    def write_heartbeat(self, engine, model):
        """Store the heartbeat of an engine's agent."""
        beat = Heartbeat(
            SESSION,
            usual=EVENT_S,
            engine=engine.server.id,
            home=model,
            event_tokens=TOKENS,
        )
        name = f"agent-{engine.server.id}"
        self.peers.apply_rows([Row(AGENTS, name, self.next_version(), to_row(beat))])

    # Trainers.

    def run_trainer(self, trainer):
        """Submit the step that is due, and end a step that is complete or too late."""
        if trainer.is_due(self.seconds):
            self.submit_step(trainer, len(trainer.submitted))
        for job, submitted in trainer.submitted.items():
            if job in self.remaining and (
                not self.remaining[job] or self.seconds - submitted >= GIVE_UP_S
            ):
                if not self.remaining[job]:
                    trainer.completed[job] = self.seconds
                self.end_job(job)

    def submit_step(self, trainer, number):
        name = f"{trainer.model}-{number:03d}"
        units = tuple(summarize_unit(unit) for unit in trainer.make_units(number))
        trainer.submitted[name] = self.seconds
        self.remaining[name] = {unit.key for unit in units}
        job = Job(
            name,
            HOST,
            "/run/",
            trainer.model,
            number,
            1,
            self.clock.monotonic(),
            units,
            workspace=trainer.workspace,
        )
        for new in self.tracker.apply_job_rows([job_row(job, self.next_version())]):
            self.weights.note_job(new)

    def end_job(self, job):
        del self.remaining[job]
        row = Row(JOBS, END_KEY, self.next_version(), {"ended": True}, job)
        self.tracker.apply_job_rows([row])

    # Engines.

    def write_claim(self, job, unit, done):
        claim = to_row(Claim("agent", SESSION, done))
        row = Row(CLAIMS, unit.key, self.next_version(), claim, job)
        self.tracker.apply_claim_rows([row])

    def finish_units(self, engine):
        """End the running units that are complete or whose job has ended."""
        for run in list(engine.running):
            end, job, unit = run
            if job not in self.remaining:
                engine.running.remove(run)
            elif end <= self.seconds + 1e-6:
                engine.running.remove(run)
                self.remaining[job].discard(unit.key)
                self.write_claim(job, unit, True)

    def change_model(self, engine, model):
        """Load the weights of the assigned model once its units wait for them."""
        if engine.loading and engine.ready_at <= self.seconds:
            engine.loaded, engine.loading = engine.loading, ""
        if engine.loading or engine.loaded == model:
            return
        if self.tracker.version_for_waiting_units(model) < 0:
            return
        engine.loading, engine.ready_at = model, self.seconds + LOAD_S
        engine.loads += 1

    def claim_units(self, engine, model):
        """Claim units for the free slots of an engine."""
        versions = {} if engine.loading else {engine.loaded: 1}
        while engine.free_slots:
            candidate = self.tracker.choose_candidate(
                (model,),
                versions,
                FreeCapacity(engine.free_slots),
                step_ranks=self.weights.division().ranks,
            )
            if candidate is None:
                return
            job, unit = candidate.job.id, candidate.unit
            self.write_claim(job, unit, False)
            end = self.seconds + unit.hint / TOKENS * EVENT_S
            engine.running.append((end, job, unit))

    def check_engines(self):
        """Assign models to engines, and let all engines claim units."""
        assignment = self.weights.assignment()
        for engine in self.engines:
            (model,) = assignment[engine.server.id]
            known = self.peers.heartbeats()[engine.server.start].home
            if model != known:
                self.write_heartbeat(engine, model)
            self.change_model(engine, model)
            self.claim_units(engine, model)
        self.history.append(assignment)

    def run(self, seconds):
        """Run the simulation for some seconds; return this world."""
        for tick in range(round(seconds / TICK_S)):
            for trainer in self.trainers:
                self.run_trainer(trainer)
            for engine in self.engines:
                self.finish_units(engine)
            if tick % round(CHECK_S / TICK_S) == 0:
                self.check_engines()
            self.clock.advance(TICK_S)
        return self

    def loads(self):
        """Return the number of loads of weights by all engines."""
        return sum(engine.loads for engine in self.engines)

    def in_time_by_workspace(self):
        """Return the number of steps complete in time by workspace."""
        found = {}
        for trainer in self.trainers:
            count = trainer.in_time()
            found[trainer.workspace] = found.get(trainer.workspace, 0) + count
        return found
