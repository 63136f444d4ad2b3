"""Weights: keeps the weights of one engine as fresh as its trainers' steps need."""

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.jobs import placement
from gypsumshift.jobs.claimtracker import ClaimTracker
from gypsumshift.jobs.engine import EngineReport, WeightLoadOrder
from gypsumshift.jobs.localengine import LocalEngine
from gypsumshift.jobs.records import Job
from gypsumshift.metrics import Metrics
from gypsumshift.outcomes import Answered
from gypsumshift.policy import DEFAULT, Policy

__all__ = ["WeightManager"]

# Seconds before an order without an answer is given again.
ORDER_RETRY = 1.0
# Seconds after an order in which a report may still be older than it.
ORDER_SETTLE = 0.2
# Seconds after a version was named within which its order is given: two reports.
ORDER_DUE = 0.4
# Versions behind the newest one that a step accepts, until one tells otherwise: the
# first steps of a trainer accept all versions that there are, which tells nothing.
SLACK_USUAL = 1
FIRST_VERSION = 1
ACCEPTED = (200, 202)

log = logs.logger("weights")


class WeightManager:
    """Gives an engine its orders; nobody else does.

    Parameters
    ----------
    local_engine : LocalEngine
    tracker : ClaimTracker
    clock : Clock
    metrics : Metrics
    policy : Policy

    Attributes
    ----------
    demand : Demand
    fence : int
        Grows with each start of this process; 0 until orders may be given.
    loading : str
        Model whose weights the engine loads; empty for none.
    slack : dict
        Versions behind the newest one that the newest step accepted, by model.
    newest_jobs : dict
        `Job` of the newest step, by model.
    """

    def __init__(
        self,
        local_engine: LocalEngine,
        tracker: ClaimTracker,
        clock: Clock,
        metrics: Metrics,
        policy: Policy = DEFAULT,
    ):
        self.policy = policy
        self.local_engine = local_engine
        self.tracker = tracker
        self.clock = clock
        self.metrics = metrics
        self.demand = placement.Demand()
        self.fence = 0
        self.loading_model = ""
        self.order_at = float("-inf")
        self.named_at: dict[str, tuple[int, float]] = {}
        self.slack: dict[str, int] = {}
        self.newest_jobs: dict[str, Job] = {}
        self.placement = placement.Remembered()

    def note_job(self, job: Job) -> None:
        """Learn from a new batch job what is asked of its model, and how fresh."""
        self.demand.add(job)
        known = self.newest_jobs.get(job.model)
        if known is None or job.step >= known.step:
            self.newest_jobs[job.model] = job
        if job.oldest_version > FIRST_VERSION:
            newest = self.local_engine.directory.newest_versions.get(
                job.model, FIRST_VERSION
            )
            self.slack[job.model] = max(0, newest - job.oldest_version)

    def placed(self) -> dict[str, tuple[str, ...]]:
        """Return the models of each engine of the service."""
        limits = self.local_engine.limits
        if limits is None:
            return {}
        told = self.tracker.peers.engine_views()
        engines = [
            self.considered(told.get(peer.start, placement.EngineView(peer.id)))
            for peer in self.local_engine.service_engines
        ]
        shares = self.demand.shares(limits.models)
        return self.placement.assign(engines, shares, self.demand.lengths())

    def considered(self, engine: placement.EngineView) -> placement.EngineView:
        """Return what the policy lets count of an engine."""
        if not self.policy.settled_models:
            engine = attrs.evolve(engine, assigned_model="")
        if not self.policy.slow_engines_short_items:
            engine = attrs.evolve(engine, usual_pace=0.0)
        return engine

    def assigned_model(self) -> str:
        """Return the model that the engine is set to serve; empty for several."""
        models = self.assigned_models()
        return models[0] if len(models) == 1 else ""

    def ready_versions(self) -> dict[str, int]:
        """Return the versions of the models for which the engine takes new work now."""
        versions = self.local_engine.versions
        return {m: n for m, n in versions.items() if not self.holds_back(m)}

    def holds_back(self, model: str) -> bool:
        """Tell whether the engine loads weights of a model now or is about to."""
        if model == self.loading_model:
            return True
        report = self.local_engine.report
        if report is None or model not in self.assigned_models():
            return False
        asked = self.question(report, model, self.engines_serving(model))
        due = asked.named_since < ORDER_DUE
        return due and placement.choose_load(asked) is not None

    def engines_serving(self, model: str) -> list[str]:
        """Return the ids of the engines that serve a model, in the order of turns."""
        placed = self.placed()
        return [engine for engine in sorted(placed) if model in placed[engine]]

    def assigned_models(self) -> tuple[str, ...]:
        """Return the models that the engine is to serve."""
        server = self.local_engine.server
        return self.placed().get(server.id, ()) if server else ()

    def note_report(self, report: EngineReport) -> None:
        """Take a report: an engine that is not busy has loaded."""
        settled = self.clock.monotonic() - self.order_at > ORDER_SETTLE
        if not report.busy and settled:
            self.loading_model = ""

    def reset_load_state(self) -> None:
        """Take that the engine started again: its orders are those of another."""
        self.loading_model = ""
        self.order_at = float("-inf")

    async def order_due_load(self, report: EngineReport) -> None:
        """Order newer weights where they are due."""
        server = self.local_engine.server
        if server is None or report.busy or not self.fence:
            return
        if self.clock.monotonic() - self.order_at < ORDER_RETRY:
            return
        for model in self.assigned_models():
            asked = self.question(report, model, self.engines_serving(model))
            choice = placement.choose_load(asked)
            if choice is not None:
                await self.give_order(server, report, choice)
                return

    def question(self, report, model: str, engines) -> placement.LoadQuestion:
        """Return what decides whether the engine loads weights of a model now.

        Parameters
        ----------
        report : EngineReport
        model : str
        engines : list of str
            Ids of the engines that serve the model, this one among them.
        """
        newest = self.local_engine.directory.newest_versions.get(model, FIRST_VERSION)
        servers = self.local_engine.directory.servers
        seen, since = self.named_at.get(model, (0, 0.0))
        now = self.clock.monotonic()
        if seen != newest:
            since = now
            self.named_at[model] = (newest, now)
        slack = self.slack.get(model, SLACK_USUAL)
        job = self.newest_jobs.get(model)
        route = (
            self.local_engine.directory.routes.find(job.host, job.path) if job else None
        )
        one_version = route is not None and route.one_version
        return placement.LoadQuestion(
            model=model,
            own=report.versions.get(model, 0),
            newest=newest,
            needed=self.tracker.version_for_waiting(model),
            slack=slack,
            versions=tuple(servers[e].models.get(model, 0) for e in engines),
            turn=engines.index(self.local_engine.server.id),
            named_since=now - since,
            step_came=job is not None and job.oldest_version >= newest - slack,
            restarts=not self.policy.loads_behind_steps or one_version,
        )

    async def give_order(self, server, report, choice) -> None:
        """Order the engine to load weights."""
        holder = self.local_engine.identity.name
        order = WeightLoadOrder(
            choice.model, choice.version, holder, self.fence, report.orders
        )
        self.order_at = self.clock.monotonic()
        answer = await self.local_engine.engine.send_order(server, order)
        status = answer.status if isinstance(answer, Answered) else 0
        self.metrics.count("orders", status=str(status))
        self.loading_model = choice.model if status in ACCEPTED else ""
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
