"""Plans a step for one agent, from the claims and heartbeats that all agents have."""

import collections
from collections.abc import Callable, Iterable, Iterator

from gypsumshift.clock import Clock
from gypsumshift.jobs.assignment import (
    EngineLoad,
    StepPlan,
    WaitingUnit,
    free_times,
    plan_step,
)
from gypsumshift.jobs.claimtracker import ClaimTracker
from gypsumshift.jobs.enginestate import EngineState
from gypsumshift.jobs.heartbeatwriter import HeartbeatWriter
from gypsumshift.jobs.lengthestimates import LengthEstimates
from gypsumshift.jobs.openjob import OpenJob
from gypsumshift.jobs.pace import is_slower
from gypsumshift.jobs.peers import PeerState
from gypsumshift.jobs.records import Job, UnitSummary
from gypsumshift.jobs.usualpace import BATCH_SLOWDOWN
from gypsumshift.jobs.weights import WeightManager
from gypsumshift.serving.directory import BackendServer

__all__ = ["StepPlanner"]

# Time at which a claim was seen, by the monotonic clock in seconds, model, and unit.
HeldUnit = tuple[float, str, UnitSummary]
# Seconds for which a unit is left to engines of another class that have a free slot.
# Agents claim within 0.1 s; a host may be lost, or cut off from the store, and the
# items of a step have 7.5 s.
LEFT_TIME = 1.0
# Ratio of the pace that is expected to the usual one: the batch is half full on
# average.
EXPECTED_BATCH_FACTOR = 1 + BATCH_SLOWDOWN / 2


class StepPlanner:
    """Plans which units the agent's engine should claim.

    Parameters
    ----------
    heartbeat_writer : HeartbeatWriter
    weights : WeightManager
    tracker : ClaimTracker
    lengths : LengthEstimates
    clock : Clock

    Attributes
    ----------
    left_since : dict
        Since when a unit is left to other engines that have a free slot, by job and
        unit, by the monotonic clock, in seconds.
    may_run : callable
        Returns whether items of a job may be sent to an engine; see `residency`.
    """

    def __init__(
        self,
        heartbeat_writer: HeartbeatWriter,
        weights: WeightManager,
        tracker: ClaimTracker,
        lengths: LengthEstimates,
        clock: Clock,
    ):
        self.heartbeat_writer = heartbeat_writer
        self.weights = weights
        self.tracker = tracker
        self.lengths = lengths
        self.clock = clock
        self.left_since: dict[tuple[str, str], float] = {}
        self.may_run: Callable[[Job, BackendServer], bool] = lambda job, server: True

    def plan(
        self, open_job: OpenJob, free: int, claimable: Iterable[UnitSummary]
    ) -> StepPlan | None:
        """Return the plan for a job's units; None where the usual rule applies.

        It applies where engines are of similar pace, or paces or lengths are unknown.

        Parameters
        ----------
        open_job : OpenJob
        free : int
            Free slots of this agent's engine.
        claimable : iterable of UnitSummary
            Units that may be claimed, in order.
        """
        model = open_job.job.model
        own = self.heartbeat_writer.usual_pace() * EXPECTED_BATCH_FACTOR
        if not own or not model or not self.lengths.events(model, 1):
            return None
        peers = list(self.peer_states(open_job))
        paces = [own, *(self.pace_of(peer) for peer in peers)]
        if not is_slower(max(paces), min(paces)):
            return None
        units = [self.waiting_unit(model, unit) for unit in claimable]
        if not units:
            return None
        claims = self.claims_by_session()
        loads = [self.peer_load(peer, claims[peer.session]) for peer in peers]
        ends = self.expected_ends(claims[self.tracker.session], own)
        loads.append(EngineLoad(own, free_times(self.slots, free, ends)))
        plan = plan_step(units, loads, own)
        self.take_units_left(open_job.job.id, plan)
        return plan

    def take_units_left(self, job_id: str, plan: StepPlan) -> None:
        """Add units that others have not claimed within `LEFT_TIME` to the plan."""
        now = self.clock.monotonic()
        left = {(job_id, key): now for key in plan.elsewhere}
        self.left_since = {
            place: since
            for place, since in self.left_since.items()
            if place in left
            or (place[0] != job_id and place[0] in self.tracker.open_jobs)
        }
        for place in left:
            since = self.left_since.setdefault(place, now)
            if now - since > LEFT_TIME:
                plan.own.append(place[1])

    def waiting_unit(self, model: str, unit: UnitSummary) -> WaitingUnit:
        """Return a unit with the expected lengths of its items."""
        lengths = (self.lengths.events(model, hint) for hint in unit.item_hints)
        return WaitingUnit(unit.key, tuple(lengths))

    def peer_states(self, open_job: OpenJob) -> Iterator[PeerState]:
        """Yield the agents whose engines may run a job's units, except this one."""
        peers = self.tracker.peers
        engines = self.weights.engines_serving(open_job.job.model)
        servers = self.weights.local_engine.directory.servers
        for state in peers.states.values():
            beat = state.heartbeat
            if state.session == peers.session or beat.engine not in engines:
                continue
            if not beat.usual or beat.state == EngineState.FAULTY.value:
                continue
            if not self.may_run(open_job.job, servers[beat.engine]):
                continue
            version = servers[beat.engine].models.get(open_job.job.model, 0)
            usable = version >= open_job.job.oldest_version
            if usable and peers.is_recent(state.seen_at):
                yield state

    def pace_of(self, peer: PeerState) -> float:
        """Return the pace at which an engine is expected to run further items."""
        return peer.heartbeat.usual * EXPECTED_BATCH_FACTOR

    def peer_load(self, peer: PeerState, claims: list[HeldUnit]) -> EngineLoad:
        """Return when the slots of another engine become free.

        Claims that are newer than its heartbeat have taken some of its places.
        """
        newer = sum(len(unit.items) for at, _, unit in claims if at > peer.seen_at)
        pace = self.pace_of(peer)
        places = peer.heartbeat.places - newer
        ends = self.expected_ends(claims, pace)
        return EngineLoad(pace, free_times(self.slots, places, ends))

    @property
    def slots(self) -> int:
        """Number of slots of each engine of the service."""
        limits = self.weights.local_engine.limits
        return limits.slots if limits else 0

    def claims_by_session(self) -> dict[str, list[HeldUnit]]:
        """Return the units that each agent has claimed and not completed.

        All claims are visited once: a visit for each agent grows with the square of the
        fleet, and a plan is made whenever a slot is free.
        """
        held: dict[str, list[HeldUnit]] = collections.defaultdict(list)
        for open_job in self.tracker.open_jobs.values():
            for unit in open_job.unfinished():
                stored = open_job.claims.get(unit.key)
                if stored:
                    found = (stored.seen_at, open_job.job.model, unit)
                    held[stored.claim.session].append(found)
        return held

    def expected_ends(self, claims: list[HeldUnit], pace: float) -> list[float]:
        """Return in how many seconds the items of some claims are expected to end."""
        now = self.clock.monotonic()
        return [
            at + self.lengths.events(model, hint) * pace - now
            for at, model, unit in claims
            for hint in unit.item_hints
        ]
