"""Claims: which unit of which batch job an agent runs next.

The decision answers a burst: a whole step arrives at once at agents whose engines
have room for a part of it, and its trainer waits for nine tenths of the groups.
Each agent takes what it has room for, so slow and loading engines take less.
Claims only save double work: two runs of an item do no harm, and its result is
stored once.
"""

import random
from collections.abc import Collection, Iterator

import attrs

from gypsumshift.clock import Clock
from gypsumshift.jobs.capacity import FreeCapacity
from gypsumshift.jobs.peers import HolderState, Peers
from gypsumshift.jobs.records import (
    END_KEY,
    JOB_KEY,
    Claim,
    Job,
    UnitSummary,
    parse_row,
    parse_rows,
)
from gypsumshift.jobs.schedule import LONG_FACTOR, long_units, order_units
from gypsumshift.platforms import ABSENT, Row

__all__ = ["Candidate", "ClaimTracker", "StoredClaim"]

# Seconds that a unit waits for an engine of its own model before another takes it.
STEAL_AFTER = 0.8
# Seconds that a unit of long items waits for an engine that is not slower than others
# of its model. The longest items take 7.3 s of the 7.5 s that a step has, and 9.4 to
# 10.2 s at an engine that is built slower; a place becomes free within a second.
LONG_UNIT_WAIT = 1.0
# Units that come next of which an agent takes any: a whole step arrives at all agents
# at once, and where each took the very next unit, all but one lost each claim.
CANDIDATES = 6


@attrs.frozen
class StoredClaim:
    """A claim as the store holds it.

    Attributes
    ----------
    claim : Claim
    version : int
        Of its row, the condition to replace it.
    seen_at : float
        When it was told here, by the monotonic clock, in seconds.
    """

    claim: Claim
    version: int
    seen_at: float


@attrs.frozen
class Candidate:
    """A unit that may be claimed.

    Attributes
    ----------
    job : Job
    unit : UnitSummary
    version : int
        Version that the row of its claim must have.
    taken_over : bool
        Whether another agent held it before.
    silent : Claim or None
        Claim of an agent that was not heard of for a while, and is to be asked first.
    """

    job: Job
    unit: UnitSummary
    version: int
    taken_over: bool
    silent_claim: Claim | None = None


@attrs.define
class OpenJob:
    """One job that is open.

    Attributes
    ----------
    job : Job
    since : float
        When it was first seen, by the monotonic clock, in seconds.
    order, short_order : list of UnitSummary
        The order in which its units are begun, and that for slower engines.
    long : frozenset of str
        Units of long items.
    claims : dict
        `Held` by unit.
    """

    job: Job
    first_seen_at: float
    order: list[UnitSummary]
    short_order: list[UnitSummary]
    long_units: frozenset[str]
    claims: dict[str, StoredClaim] = attrs.field(factory=dict)


class ClaimTracker:
    """What is known of open jobs and claims.

    Parameters
    ----------
    session : str
        Start of this agent.
    clock : Clock
    chance : random.Random
        Chooses among the units that come next.
    peers : Peers
        Tell which agents still work on what they claimed.

    Attributes
    ----------
    claiming : dict
        `Candidate` by job and unit of the claims that this agent has on their way.
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

    def apply_job_rows(self, rows: list[Row]) -> list[Job]:
        """Take rows of the table of jobs; return the jobs that are new."""
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
        """Tell whether a job was told before."""
        return job_id in self.open_jobs or job_id in self.ended_jobs

    def close_job(self, job_id: str) -> None:
        """Take the end of a job."""
        self.ended_jobs.add(job_id)
        self.open_jobs.pop(job_id, None)
        self.early_claims.pop(job_id, None)

    def remove_job(self, job_id: str) -> None:
        """Take that a job is removed from the store."""
        self.close_job(job_id)
        self.ended_jobs.discard(job_id)
        self.groups_by_job.pop(job_id, None)

    def known_groups(self) -> set[str]:
        """Return the groups of the jobs that the store has."""
        return set().union(*self.groups_by_job.values())

    def add_job(self, row: Row, job: Job) -> bool:
        """Take a new job; one that another writer put there is not taken."""
        if job.id != row.part:
            return False
        seen = self.known_groups()
        self.groups_by_job[job.id] = {unit.group for unit in job.units}
        claims = self.early_claims.pop(job.id, {})
        self.open_jobs[job.id] = OpenJob(
            job,
            self.clock.monotonic(),
            order_units(job, seen),
            order_units(job, seen, shortest=True),
            long_units(job, LONG_FACTOR),
            claims,
        )
        return True

    def apply_claim_rows(self, rows: list[Row]) -> None:
        """Take rows of the table of claims."""
        current = [
            r for r in rows if r.value is not None and r.part not in self.ended_jobs
        ]
        for row, claim in parse_rows(current, Claim):
            held = StoredClaim(claim, row.version, self.clock.monotonic())
            tracked = self.open_jobs.get(row.part)
            # A claim may be told before its job, by another watch.
            claims = (
                tracked.claims
                if tracked
                else self.early_claims.setdefault(row.part, {})
            )
            known = claims.get(row.key)
            if known is None or known.version < held.version or claim.done:
                claims[row.key] = held

    def is_free(self, held: StoredClaim | None) -> bool:
        """Tell whether a unit may be claimed, once a silent holder was asked."""
        if held is None or not held.claim.agent:
            return True
        return not held.claim.done and self.holder_state(held) is not HolderState.WORKS

    def is_claimable(self, candidate: Candidate) -> bool:
        """Tell whether what made a unit a candidate still holds."""
        place = (candidate.job.id, candidate.unit.key)
        held = self.find_claim(*place)
        version = held.version if held else ABSENT
        unchanged = candidate.job.id in self.open_jobs and version == candidate.version
        return unchanged and self.is_free(held) and place not in self.pending_claims

    def holder_state(self, held: StoredClaim) -> HolderState:
        """Return what is believed of the agent that holds a claim."""
        return self.peers.holder_state(held.claim, held.seen_at, held.version)

    def silent_claim(self, held: StoredClaim | None) -> Claim | None:
        """Return the claim whose holder is to be asked before its unit is taken."""
        if held is None or not held.claim.agent:
            return None
        return held.claim if self.holder_state(held) is HolderState.SILENT else None

    def find_unit(self, job_id: str, key: str) -> UnitSummary | None:
        """Return a unit of an open job."""
        tracked = self.open_jobs.get(job_id)
        units = tracked.order if tracked else ()
        return next((unit for unit in units if unit.key == key), None)

    def find_claim(self, job_id: str, key: str) -> StoredClaim | None:
        """Return the claim of a unit of an open job; None where none is known."""
        tracked = self.open_jobs.get(job_id)
        return tracked.claims.get(key) if tracked else None

    def is_own(self, held: StoredClaim | None) -> bool:
        """Tell whether a claim is this agent's, of a unit that is not done."""
        if held is None:
            return False
        return held.claim.session == self.session and not held.claim.done

    def own_units(self) -> list[tuple[Job, UnitSummary]]:
        """Return the units that this agent holds by the store and are not done."""
        return [
            (tracked.job, unit)
            for tracked in self.open_jobs.values()
            for unit in tracked.order
            if self.is_own(tracked.claims.get(unit.key))
        ]

    def version_for_waiting(self, model: str) -> int:
        """Return the oldest version that suits all waiting units of a model; -1."""
        versions = [
            tracked.job.oldest_version
            for tracked in self.open_jobs.values()
            if tracked.job.model == model
            and any(self.is_free(tracked.claims.get(u.key)) for u in tracked.order)
        ]
        return max(versions, default=-1)

    def choose_candidate(
        self,
        models: Collection[str],
        versions: dict[str, int],
        capacity: FreeCapacity,
        slower_for: Collection[str] = (),
        may_probe: bool = True,
    ) -> Candidate | None:
        """Return the unit to claim next; None where there is none.

        A unit of a silent agent comes behind those of its step that are free, and
        before those of newer steps: it has waited longest.

        Parameters
        ----------
        models : collection of str
            Models that this agent's engine is to serve now.
        versions : dict
            Loaded weight version by model.
        room : Room
            What the engine has room for.
        slower : collection of str
            Models that faster engines serve as well.
        ask : bool
            Whether units of silent agents, which are to be asked first, may be chosen.
        """
        now = self.clock.monotonic()
        found: list[Candidate] = []
        for tracked in sorted(self.open_jobs.values(), key=lambda t: t.first_seen_at):
            job = tracked.job
            if job.model and versions.get(job.model, 0) < job.oldest_version:
                continue
            own = not job.model or job.model in models
            if not own and now - tracked.first_seen_at < STEAL_AFTER:
                continue
            silent: list[Candidate] = []
            for candidate in self.candidates(
                tracked, capacity, job.model in slower_for
            ):
                (silent if candidate.silent_claim else found).append(candidate)
                if len(found) == CANDIDATES:
                    return self.chance.choice(found)
            if silent and may_probe and not found:
                return self.chance.choice(silent)
        return self.chance.choice(found) if found else None

    def candidates(
        self, tracked: OpenJob, capacity: FreeCapacity, slower: bool
    ) -> Iterator[Candidate]:
        """Yield the units of a job that may be claimed and for which there is room."""
        for unit in tracked.short_order if slower else tracked.order:
            held = tracked.claims.get(unit.key)
            if (
                not self.is_free(held)
                or (tracked.job.id, unit.key) in self.pending_claims
            ):
                continue
            if slower and self.is_left_to_faster(tracked, unit):
                continue
            if capacity.fits(len(unit.items), unit.memory):
                version = held.version if held else ABSENT
                before = held is not None
                silent = self.silent_claim(held)
                yield Candidate(tracked.job, unit, version, before, silent)

    def is_left_to_faster(self, tracked: OpenJob, unit: UnitSummary) -> bool:
        """Tell whether a slower engine leaves a unit to the others of its model."""
        waited = self.clock.monotonic() - self.free_since(tracked, unit)
        return unit.key in tracked.long_units and waited < LONG_UNIT_WAIT

    def free_since(self, tracked: OpenJob, unit: UnitSummary) -> float:
        """Return since when a unit that is free has been so, in seconds."""
        held = tracked.claims.get(unit.key)
        if held is None:
            return tracked.first_seen_at
        return max(
            tracked.first_seen_at, self.peers.free_since(held.claim, held.seen_at)
        )
