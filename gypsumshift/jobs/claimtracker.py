"""Tracks open batch jobs and claims, and chooses the next unit that an agent claims.

A whole step arrives at once at agents whose engines each have capacity for a part of
it, and its trainer waits for nine tenths of the groups. Each agent claims only what its
engine has capacity for, so slow and loading engines get less work. Claims merely save
double work: two runs of an item do no harm, and its result is stored once.
"""

import functools
import random
from collections.abc import Callable, Collection, Iterator, Mapping

from gypsumshift.clock import Clock
from gypsumshift.jobs.assignment import StepPlan
from gypsumshift.jobs.capacity import FreeCapacity
from gypsumshift.jobs.jobregions import JobRegions
from gypsumshift.jobs.openjob import Candidate, OpenJob, StoredClaim
from gypsumshift.jobs.peers import HolderState, Peers
from gypsumshift.jobs.records import END_KEY, JOB_KEY, Claim, Job, UnitSummary
from gypsumshift.jobs.rowcodec import parse_row, parse_rows
from gypsumshift.jobs.schedule import LONG_FACTOR, long_units, order_units
from gypsumshift.platforms import ABSENT, Row

__all__ = ["ClaimTracker"]

# Seconds that a unit waits for an engine that serves its model before an engine of
# another model may run it.
STEAL_AFTER = 0.8
# Seconds that a unit of long items is left to engines that are not slower than others
# of its model. The longest items take 7.3 s of the 7.5 s that a step has, and 9.4 to
# 10.2 s on an engine with slower hardware; a slot becomes free within a second.
LONG_UNIT_WAIT = 1.0
# Ranks of the open steps while the engines suffice for all.
NO_RANKS: Mapping[str, int] = {}
# Number of next units from which an agent chooses at random. A whole step arrives at
# all agents at once: if each claimed the very next unit, all but one would lose each
# claim.
MAX_CANDIDATES = 6


# Plans an open job's units, given the free slots and the units that may be claimed.
PlanJob = Callable[[OpenJob, int, Iterator[UnitSummary]], StepPlan | None]


class ClaimTracker:
    """Tracks open jobs and the claims of their units, as the store reports them.

    Parameters
    ----------
    session : str
        Session of this agent.
    clock : Clock
    chance : random.Random
        Chooses among the next units.
    peers : Peers
        Determines which agents still work on what they claimed.

    Attributes
    ----------
    open_jobs : dict
        `OpenJob` by job.
    ended_jobs : set of str
        Jobs that have ended and that the store still has.
    early_claims : dict
        `StoredClaim` by unit, by job, of jobs that have not been received yet.
    groups_by_job : dict
        Groups of each job that the store has.
    pending_claims : dict
        `Candidate` by job and unit, of the claims that were sent and not answered yet.
    may_hold : callable
        Returns whether this process may read the bodies of a job; see `residency`.
    may_serve : callable
        Returns whether the routes lead a job to this agent's engine; see `JobServices`.
    regions : JobRegions or None
        Leaves units to the region of their job; None in a deployment of one region.
    found_own_units : list or None
        Result of `own_units`; None after a change of own claims or open jobs.
    """

    def __init__(self, session: str, clock: Clock, chance: random.Random, peers: Peers):
        self.session = session
        self.clock = clock
        self.chance = chance
        self.peers = peers
        self.open_jobs: dict[str, OpenJob] = {}
        self.ended_jobs: set[str] = set()
        self.early_claims: dict[str, dict[str, StoredClaim]] = {}
        self.groups_by_job: dict[str, set[str]] = {}
        self.pending_claims: dict[tuple[str, str], Candidate] = {}
        self.may_hold: Callable[[Job], bool] = lambda job: True
        self.may_serve: Callable[[Job], bool] = lambda job: True
        self.regions: JobRegions | None = None
        self.found_own_units: list[tuple[Job, UnitSummary]] | None = None

    def apply_job_rows(self, rows: list[Row]) -> list[Job]:
        """Apply rows of the table of jobs; return the jobs that are new."""
        new = []
        for row in rows:
            if row.value is None:
                self.remove_job(row.part)
            elif row.key == END_KEY:
                self.close_job(row.part)
            elif row.key == JOB_KEY and not self.is_known(row.part):
                job = parse_row(row, Job)
                if job is not None and self.add_job(row, job):
                    new.append(job)
        return new

    def is_known(self, job_id: str) -> bool:
        """Return whether a job is open or has ended."""
        return job_id in self.open_jobs or job_id in self.ended_jobs

    def close_job(self, job_id: str) -> None:
        """Record the end of a job."""
        self.ended_jobs.add(job_id)
        self.found_own_units = None
        self.open_jobs.pop(job_id, None)
        self.early_claims.pop(job_id, None)

    def remove_job(self, job_id: str) -> None:
        """Remove a job that was deleted from the store."""
        self.close_job(job_id)
        self.ended_jobs.discard(job_id)
        self.groups_by_job.pop(job_id, None)

    def known_groups(self) -> set[str]:
        """Return the groups of all jobs that the store has."""
        return set().union(*self.groups_by_job.values())

    def add_job(self, row: Row, job: Job) -> bool:
        """Add a new job; return False if its row is stored under another job's id."""
        if job.id != row.part:
            return False
        groups = self.known_groups()
        self.groups_by_job[job.id] = {unit.group for unit in job.units}
        claims = self.early_claims.pop(job.id, {})
        self.found_own_units = None
        self.open_jobs[job.id] = OpenJob(
            job,
            self.clock.monotonic(),
            order_units(job, groups),
            order_units(job, groups, shortest=True),
            long_units(job, LONG_FACTOR),
            claims,
        )
        return True

    def apply_claim_rows(self, rows: list[Row]) -> None:
        """Apply rows of the table of claims."""
        current = [
            row
            for row in rows
            if row.value is not None and row.part not in self.ended_jobs
        ]
        for row, claim in parse_rows(current, Claim):
            stored = StoredClaim(claim, row.version, self.clock.monotonic())
            open_job = self.open_jobs.get(row.part)
            # Another watch delivers the jobs, so a claim may arrive before its job.
            claims = (
                open_job.claims
                if open_job
                else self.early_claims.setdefault(row.part, {})
            )
            known = claims.get(row.key)
            if known is not None and known.version >= stored.version and not claim.done:
                continue
            if self.is_own(known) or self.is_own(stored):
                self.found_own_units = None
            if open_job:
                open_job.set_claim(row.key, stored)
            else:
                claims[row.key] = stored

    def is_free(self, stored: StoredClaim | None) -> bool:
        """Return whether a unit may be claimed; probe a silent holder first."""
        if stored is None or not stored.claim.agent:
            return True
        return (
            not stored.claim.done and self.holder_state(stored) is not HolderState.WORKS
        )

    def is_claimable(self, candidate: Candidate) -> bool:
        """Return whether the conditions that made a unit a candidate still hold."""
        key = (candidate.job.id, candidate.unit.key)
        stored = self.find_claim(*key)
        version = stored.version if stored else ABSENT
        unchanged = candidate.job.id in self.open_jobs and version == candidate.version
        return unchanged and self.is_free(stored) and key not in self.pending_claims

    def holder_state(self, stored: StoredClaim) -> HolderState:
        """Return the state of the agent that holds a claim."""
        return self.peers.holder_state(stored.claim, stored.seen_at, stored.version)

    def silent_claim(self, stored: StoredClaim | None) -> Claim | None:
        """Return the claim if its holder has to be probed before the unit is claimed.

        None where the unit is not held, or its holder needs no probe.
        """
        if stored is None or not stored.claim.agent:
            return None
        return stored.claim if self.holder_state(stored) is HolderState.SILENT else None

    def find_unit(self, job_id: str, key: str) -> UnitSummary | None:
        """Return a unit of an open job; None where there is none of this key."""
        open_job = self.open_jobs.get(job_id)
        return open_job.units.get(key) if open_job else None

    def find_claim(self, job_id: str, key: str) -> StoredClaim | None:
        """Return the claim of a unit of an open job; None where none is known."""
        open_job = self.open_jobs.get(job_id)
        return open_job.claims.get(key) if open_job else None

    def is_own(self, stored: StoredClaim | None) -> bool:
        """Return whether a claim is this agent's and its unit is not done."""
        if stored is None:
            return False
        return stored.claim.session == self.session and not stored.claim.done

    def own_units(self) -> list[tuple[Job, UnitSummary]]:
        """Return the unfinished units that the store assigns to this agent.

        The list is shared until one of the agent's claims or an open job changes.
        """
        if self.found_own_units is None:
            self.found_own_units = [
                (open_job.job, unit)
                for open_job in self.open_jobs.values()
                for unit in open_job.unfinished()
                if self.is_own(open_job.claims.get(unit.key))
            ]
        return self.found_own_units

    def version_for_waiting_units(self, model: str) -> int:
        """Return the oldest version that all waiting units of a model accept.

        It is -1 if none wait.
        """
        versions = [
            open_job.job.oldest_version
            for open_job in self.open_jobs.values()
            if open_job.job.model == model
            and self.may_serve(open_job.job)
            and any(
                self.is_free(open_job.claims.get(u.key)) for u in open_job.unfinished()
            )
        ]
        return max(versions, default=-1)

    def choose_candidate(
        self,
        models: Collection[str],
        versions: dict[str, int],
        capacity: FreeCapacity,
        slower_for: Collection[str] = (),
        may_probe: bool = True,
        step_ranks: Mapping[str, int] = NO_RANKS,
        plan_job: PlanJob = lambda *_: None,
    ) -> Candidate | None:
        """Return the unit to claim next; None where there is none.

        Within a step, units of silent agents come after the free ones. They come before
        all units of newer steps, since they have waited longest.

        Parameters
        ----------
        models : collection of str
            Models that this agent's engine is assigned now.
        versions : dict
            Loaded weight version by model.
        capacity : FreeCapacity
            Free capacity of the engine.
        slower_for : collection of str
            Models that faster engines serve as well.
        may_probe : bool
            Whether units of silent agents, which have to be probed first, may be
            chosen.
        step_ranks : mapping
            Rank of each open step by job, if the engines do not suffice for all; the
            lowest comes first. Of equal ranks, the models assigned to the engine come
            before others, whose share would otherwise grow with their backlog.
        plan_job : callable
            Returns the `StepPlan` of an open job, given the free slots and the units
            that may be claimed; None for the usual order.
        """
        if capacity.free_slots <= 0:
            return None
        found: list[Candidate] = []
        claim_class = functools.partial(self.claim_class, models, step_ranks)
        found_class = None
        for open_job in sorted(
            self.open_jobs.values(), key=lambda j: (claim_class(j), j.first_seen_at)
        ):
            if found and claim_class(open_job) != found_class:
                break
            found_class = claim_class(open_job)
            if not self.may_run(open_job, models, versions):
                continue
            if self.is_left_to_region(open_job):
                continue
            silent: list[Candidate] = []
            plan = self.make_plan(open_job, capacity, plan_job)
            limit = plan.choices if plan else MAX_CANDIDATES
            slower = open_job.job.model in slower_for
            for candidate in self.candidates(open_job, capacity, slower, plan):
                (silent if candidate.silent_claim else found).append(candidate)
                if len(found) >= limit:
                    return self.chance.choice(found)
            if silent and may_probe and not found:
                return self.chance.choice(silent)
        return self.chance.choice(found) if found else None

    def may_run(
        self, open_job: OpenJob, models: Collection[str], versions: Mapping[str, int]
    ) -> bool:
        """Return whether the engine may run a job's units with the weights it has.

        Units of a model that the engine is not assigned are left to the model's own
        engines for `STEAL_AFTER`.
        """
        job = open_job.job
        if not self.may_hold(job) or not self.may_serve(job):
            return False
        if job.model and versions.get(job.model, 0) < job.oldest_version:
            return False
        if not job.model or job.model in models:
            return True
        return self.clock.monotonic() - open_job.first_seen_at >= STEAL_AFTER

    def is_left_to_region(self, open_job: OpenJob) -> bool:
        """Return whether the engines of a job's region have room for all its items."""
        regions = self.regions
        return regions is not None and regions.leaves_to_region(open_job, self.is_free)

    def claim_class(
        self,
        models: Collection[str],
        step_ranks: Mapping[str, int],
        open_job: OpenJob,
    ) -> tuple[int, bool, bool]:
        """Return the class of a job; units of a lower class are claimed first."""
        job = open_job.job
        foreign = self.regions is not None and self.regions.is_foreign(job)
        if not step_ranks:
            return (0, False, foreign)
        other_model = bool(job.model) and job.model not in models
        return (step_ranks.get(job.id, 0), other_model, foreign)

    def make_plan(
        self, open_job: OpenJob, capacity: FreeCapacity, plan_job: PlanJob
    ) -> StepPlan | None:
        """Return the plan for the units of a job; None for the usual order."""
        claimable = (u for u in open_job.unfinished() if self.may_start(open_job, u))
        return plan_job(open_job, capacity.free_slots, claimable)

    def may_start(self, open_job: OpenJob, unit: UnitSummary) -> bool:
        """Return whether a unit is free, and this agent is not claiming it already."""
        pending = (open_job.job.id, unit.key) in self.pending_claims
        return not pending and self.is_free(open_job.claims.get(unit.key))

    def candidates(
        self,
        open_job: OpenJob,
        capacity: FreeCapacity,
        slower: bool,
        plan: StepPlan | None = None,
    ) -> Iterator[Candidate]:
        """Yield the claimable units of a job for which the engine has capacity."""
        for unit in self.ordered_units(open_job, slower, plan):
            if not self.may_start(open_job, unit):
                continue
            if capacity.fits(len(unit.items), unit.memory):
                stored = open_job.claims.get(unit.key)
                version = stored.version if stored else ABSENT
                taken_over = stored is not None
                silent_claim = self.silent_claim(stored)
                yield Candidate(
                    open_job.job,
                    unit,
                    version,
                    taken_over,
                    silent_claim,
                    plan is not None,
                )

    def ordered_units(
        self, open_job: OpenJob, slower: bool, plan: StepPlan | None
    ) -> Iterator[UnitSummary]:
        """Yield the units that the plan gives to this engine, or the usual order."""
        if plan is not None:
            yield from (u for u in open_job.unfinished() if u.key in plan.own)
        elif slower:
            for unit in open_job.short_order:
                if not self.is_left_to_faster(open_job, unit):
                    yield unit
        else:
            yield from open_job.unfinished()

    def is_left_to_faster(self, open_job: OpenJob, unit: UnitSummary) -> bool:
        """Return whether a slower engine must not claim a long unit yet."""
        waited = self.clock.monotonic() - self.free_since(open_job, unit)
        return unit.key in open_job.long_units and waited < LONG_UNIT_WAIT

    def free_since(self, open_job: OpenJob, unit: UnitSummary) -> float:
        """Return when a free unit became free, by the monotonic clock, in seconds."""
        stored = open_job.claims.get(unit.key)
        if stored is None:
            return open_job.first_seen_at
        return max(
            open_job.first_seen_at,
            self.peers.free_since(stored.claim, stored.seen_at),
        )
