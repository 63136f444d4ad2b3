"""Orders an engine to load the weight versions that its trainers' steps need."""

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.jobs import placement
from gypsumshift.jobs.claimtracker import ClaimTracker
from gypsumshift.jobs.engine import EngineReport, WeightLoadOrder
from gypsumshift.jobs.engineshares import NO_DIVISION, Division
from gypsumshift.jobs.localengine import LocalEngine
from gypsumshift.jobs.records import Job
from gypsumshift.jobs.regionassignment import RegionAssignment
from gypsumshift.jobs.stepneeds import EngineDivider
from gypsumshift.jobs.weightloads import LoadConditions, choose_load
from gypsumshift.jobs.zonereturn import MODEL_HOLD_SECONDS, keep_models
from gypsumshift.metrics import Metrics
from gypsumshift.outcomes import Answered
from gypsumshift.policy import DEFAULT_POLICY, Policy

__all__ = ["WeightManager"]

# Seconds before another order is sent, such as after one without a response.
ORDER_RETRY_INTERVAL = 1.0
# Seconds after an order in which a report may still precede the order.
ORDER_SETTLE_TIME = 0.2
# Seconds after a version was announced within which its load is ordered: two reports.
ORDER_DUE_WITHIN = 0.4
# Number of versions behind the newest one that steps are assumed to accept, until a
# step shows otherwise: the first steps of a trainer accept all existing versions, which
# says nothing about later ones.
DEFAULT_MAX_LAG = 1
FIRST_VERSION = 1
ACCEPTED_STATUSES = (200, 202)

log = logs.logger("weights")


class WeightManager:
    """Sends one engine its orders to load weights; no other component sends them.

    Parameters
    ----------
    local_engine : LocalEngine
    tracker : ClaimTracker
    clock : Clock
    metrics : Metrics
    policy : Policy
    divider : EngineDivider or None
        Divides the engines between workspaces; None to leave them undivided.

    Attributes
    ----------
    demand : Demand
    fence : int
        Fencing token, which grows with each start of this process; 0 until orders may
        be sent.
    loading_model : str
        Model whose weights the engine is loading; empty for none.
    newest_seen_at : dict
        Newest version and the time at which this process first saw it, by model.
    max_lags : dict
        Number of versions behind the newest one that the newest step accepted, by
        model.
    newest_jobs : dict
        `Job` of the newest step, by model.
    region_assignment : RegionAssignment or None
        Assigns models by region where jobs have homes; None in a deployment of one
        region.
    current_assignment : dict
        Result of `assignment` with the data of `assigned_from`.
    """

    def __init__(
        self,
        local_engine: LocalEngine,
        tracker: ClaimTracker,
        clock: Clock,
        metrics: Metrics,
        policy: Policy = DEFAULT_POLICY,
        divider: EngineDivider | None = None,
    ):
        self.policy = policy
        self.divider = divider
        self.local_engine = local_engine
        self.tracker = tracker
        self.clock = clock
        self.metrics = metrics
        self.demand = placement.Demand()
        self.fence = 0
        self.loading_model = ""
        self.ordered_at = float("-inf")
        self.newest_seen_at: dict[str, tuple[int, float]] = {}
        self.max_lags: dict[str, int] = {}
        self.newest_jobs: dict[str, Job] = {}
        self.assignment_cache = placement.AssignmentCache()
        self.region_assignment: RegionAssignment | None = None
        self.assigned_from: tuple = ()
        self.current_assignment: dict[str, tuple[str, ...]] = {}

    def note_job(self, job: Job) -> None:
        """Update the demand and the accepted versions of a new batch job's model."""
        self.demand.add_job(job)
        known = self.newest_jobs.get(job.model)
        if known is None or job.step >= known.step:
            self.newest_jobs[job.model] = job
        if job.oldest_version > FIRST_VERSION:
            newest = self.local_engine.directory.newest_versions.get(
                job.model, FIRST_VERSION
            )
            self.max_lags[job.model] = max(0, newest - job.oldest_version)

    def assignment(self) -> dict[str, tuple[str, ...]]:
        """Return the models that each engine of the service is to serve.

        The result is made once for each change of the data that it depends on. A check
        of work asks for it several times, and there are dozens of checks a second.
        """
        division = self.division()
        known = (
            self.local_engine.directory.revision,
            self.tracker.peers.revision,
            self.demand.revision,
            self.zone_returned,
        )
        if not self.assigned_from or self.assigned_from != (known, division):
            self.assigned_from = (known, division)
            self.current_assignment = self.make_assignment(division)
        return self.current_assignment

    @property
    def zone_returned(self) -> bool:
        """Whether an evacuation ended so recently that engines keep their models."""
        evacuations = self.local_engine.directory.evacuations
        return evacuations.returned_within(MODEL_HOLD_SECONDS)

    def make_assignment(self, division: Division) -> dict[str, tuple[str, ...]]:
        """Return the models that each engine is to serve with a division."""
        limits = self.local_engine.limits
        if limits is None:
            return {}
        views = self.tracker.peers.engine_views()
        engines = [
            self.apply_policy(views.get(peer.start, placement.EngineView(peer.id)))
            for peer in self.local_engine.service_engines
        ]
        shares = self.demand.shares(limits.models, division)
        if self.zone_returned:
            kept = keep_models(engines, self.current_assignment, shares)
            if kept:
                return kept
        arguments = (
            engines,
            shares,
            self.demand.longest_estimates(),
            self.policy.expected_end,
        )
        if self.region_assignment is not None:
            return self.region_assignment.assign(*arguments, self.newest_jobs)
        return self.assignment_cache.assign(*arguments)

    def division(self) -> Division:
        """Return the division of the engines between workspaces, if one is needed."""
        if self.divider is None or not self.policy.workspace_shares:
            return NO_DIVISION
        return self.divider.current_division()

    def apply_policy(self, engine: placement.EngineView) -> placement.EngineView:
        """Return an engine without the properties that the policy ignores."""
        if not self.policy.settled_models:
            engine = attrs.evolve(engine, assigned_model="")
        if not self.policy.slow_engines_short_items:
            engine = attrs.evolve(engine, usual_pace=0.0)
        return engine

    def assigned_model(self) -> str:
        """Return the model that the engine is to serve; empty for none or several."""
        models = self.assigned_models()
        return models[0] if len(models) == 1 else ""

    def ready_versions(self) -> dict[str, int]:
        """Return the loaded versions of the models whose items may start now."""
        versions = self.local_engine.versions
        return {m: n for m, n in versions.items() if not self.is_loading_or_due(m)}

    def is_loading_or_due(self, model: str) -> bool:
        """Return whether the engine is loading weights of a model or is about to."""
        if model == self.loading_model:
            return True
        report = self.local_engine.report
        if report is None or model not in self.assigned_models():
            return False
        if self.newest_age(model) >= ORDER_DUE_WITHIN:
            return False
        conditions = self.load_conditions(report, model, self.engines_serving(model))
        return choose_load(conditions) is not None

    def newest_age(self, model: str) -> float:
        """Return the seconds since this process first saw a model's newest version."""
        newest = self.local_engine.directory.newest_versions.get(model, FIRST_VERSION)
        seen, seen_at = self.newest_seen_at.get(model, (0, 0.0))
        now = self.clock.monotonic()
        if seen != newest:
            seen_at = now
            self.newest_seen_at[model] = (newest, now)
        return now - seen_at

    def engines_serving(self, model: str) -> list[str]:
        """Return the sorted ids of the engines that are to serve a model."""
        assignment = self.assignment()
        return [engine for engine in sorted(assignment) if model in assignment[engine]]

    def assigned_models(self) -> tuple[str, ...]:
        """Return the models that the engine is to serve."""
        server = self.local_engine.server
        return self.assignment().get(server.id, ()) if server else ()

    def note_report(self, report: EngineReport) -> None:
        """Process a report: an engine that is not busy has completed its load."""
        settled = self.clock.monotonic() - self.ordered_at > ORDER_SETTLE_TIME
        if not report.busy and settled:
            self.loading_model = ""

    def reset_load_state(self) -> None:
        """Discard the state of orders to an engine process that was replaced."""
        self.loading_model = ""
        self.ordered_at = float("-inf")

    async def order_due_load(self, report: EngineReport) -> None:
        """Order the engine to load a newer version if one is due."""
        server = self.local_engine.server
        if server is None or report.busy or not self.fence:
            return
        if self.clock.monotonic() - self.ordered_at < ORDER_RETRY_INTERVAL:
            return
        for model in self.assigned_models():
            conditions = self.load_conditions(
                report, model, self.engines_serving(model)
            )
            choice = choose_load(conditions)
            if choice is not None:
                await self.send_load_order(server, report, choice)
                return

    def load_conditions(self, report, model: str, engines) -> LoadConditions:
        """Return the conditions that determine whether a model's weights are loaded.

        Parameters
        ----------
        report : EngineReport
        model : str
        engines : list of str
            Ids of the engines that serve the model, this one among them.
        """
        newest = self.local_engine.directory.newest_versions.get(model, FIRST_VERSION)
        servers = self.local_engine.directory.servers
        newest_age = self.newest_age(model)
        max_lag = self.max_lags.get(model, DEFAULT_MAX_LAG)
        job = self.newest_jobs.get(model)
        route = (
            self.local_engine.directory.routes.find(job.host, job.path) if job else None
        )
        one_version = route is not None and route.one_version
        return LoadConditions(
            model=model,
            loaded=report.versions.get(model, 0),
            newest=newest,
            needed=self.tracker.version_for_waiting_units(model),
            max_lag=max_lag,
            versions=tuple(servers[e].models.get(model, 0) for e in engines),
            # The assignment may have changed since the model was looked up, so that
            # the engine is no longer in the list.
            position=sum(engine < self.local_engine.server.id for engine in engines),
            newest_age=newest_age,
            step_arrived=job is not None and job.oldest_version >= newest - max_lag,
            restarts_items=not self.policy.loads_behind_steps or one_version,
        )

    async def send_load_order(self, server, report, choice) -> None:
        """Send the engine an order to load weights, and log its response."""
        holder = self.local_engine.identity.name
        order = WeightLoadOrder(
            choice.model, choice.version, holder, self.fence, report.orders
        )
        self.ordered_at = self.clock.monotonic()
        answer = await self.local_engine.client.send_order(server, order)
        status = answer.status if isinstance(answer, Answered) else 0
        self.metrics.count("orders", status=str(status))
        self.loading_model = choice.model if status in ACCEPTED_STATUSES else ""
        logs.event(
            log,
            "Sent the engine an order to load a weight version.",
            server=server.id,
            model=choice.model,
            version=choice.version,
            was=report.versions.get(choice.model, 0),
            why=choice.reason,
            status=status,
            outcome=type(answer).__name__,
        )
