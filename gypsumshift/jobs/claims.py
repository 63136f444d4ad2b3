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
from gypsumshift.jobs.model import (
    END_KEY,
    JOB_KEY,
    Claim,
    Job,
    UnitSummary,
    parse_row,
    parse_rows,
)
from gypsumshift.jobs.peers import Peers, Standing
from gypsumshift.jobs.room import Room
from gypsumshift.jobs.schedule import LONG_FACTOR, begin_order, long_units
from gypsumshift.platforms import ABSENT, Row

__all__ = ["Candidate", "ClaimBoard", "Held"]

# Seconds that a unit waits for an engine of its own model before another takes it.
STEAL_AFTER = 0.8
# Seconds that a unit of long items waits for an engine that is not slower than others
# of its model. The longest items take 7.3 s of the 7.5 s that a step has, and 9.4 to
# 10.2 s at an engine that is built slower; a place becomes free within a second.
LEAVE_LONG = 1.0
# Units that come next of which an agent takes any: a whole step arrives at all agents
# at once, and where each took the very next unit, all but one lost each claim.
SPREAD = 6


@attrs.frozen
class Held:
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
    silent: Claim | None = None


@attrs.define
class Tracked:
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
    since: float
    order: list[UnitSummary]
    short_order: list[UnitSummary]
    long: frozenset[str]
    claims: dict[str, Held] = attrs.field(factory=dict)


class ClaimBoard:
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
        self.open: dict[str, Tracked] = {}
        self.ended: set[str] = set()
        self.early: dict[str, dict[str, Held]] = {}
        self.groups: dict[str, set[str]] = {}
        self.claiming: dict[tuple[str, str], Candidate] = {}

    def take_jobs(self, rows: list[Row]) -> list[Job]:
        """Take rows of the table of jobs; return the jobs that are new."""
        new = []
        for row in rows:
            if row.value is None:
                self.forget(row.part)
            elif row.key == END_KEY:
                self.close(row.part)
            elif row.key == JOB_KEY and not self.known(row.part):
                job = parse_row(row, Job)
                if job is not None and self.add(row, job):
                    new.append(job)
        return new

    def known(self, job_id: str) -> bool:
        """Tell whether a job was told before."""
        return job_id in self.open or job_id in self.ended

    def close(self, job_id: str) -> None:
        """Take the end of a job."""
        self.ended.add(job_id)
        self.open.pop(job_id, None)
        self.early.pop(job_id, None)

    def forget(self, job_id: str) -> None:
        """Take that a job is removed from the store."""
        self.close(job_id)
        self.ended.discard(job_id)
        self.groups.pop(job_id, None)

    def groups_seen(self) -> set[str]:
        """Return the groups of the jobs that the store has."""
        return set().union(*self.groups.values())

    def add(self, row: Row, job: Job) -> bool:
        """Take a new job; one that another writer put there is not taken."""
        if job.id != row.part:
            return False
        seen = self.groups_seen()
        self.groups[job.id] = {unit.group for unit in job.units}
        claims = self.early.pop(job.id, {})
        self.open[job.id] = Tracked(
            job,
            self.clock.monotonic(),
            begin_order(job, seen),
            begin_order(job, seen, shortest=True),
            long_units(job, LONG_FACTOR),
            claims,
        )
        return True

    def take_claims(self, rows: list[Row]) -> None:
        """Take rows of the table of claims."""
        current = [r for r in rows if r.value is not None and r.part not in self.ended]
        for row, claim in parse_rows(current, Claim):
            held = Held(claim, row.version, self.clock.monotonic())
            tracked = self.open.get(row.part)
            # A claim may be told before its job, by another watch.
            claims = tracked.claims if tracked else self.early.setdefault(row.part, {})
            known = claims.get(row.key)
            if known is None or known.version < held.version or claim.done:
                claims[row.key] = held

    def free(self, held: Held | None) -> bool:
        """Tell whether a unit may be claimed, once a silent holder was asked."""
        if held is None or not held.claim.agent:
            return True
        return not held.claim.done and self.standing(held) is not Standing.WORKS

    def claimable(self, candidate: Candidate) -> bool:
        """Tell whether what made a unit a candidate still holds."""
        place = (candidate.job.id, candidate.unit.key)
        held = self.held(*place)
        version = held.version if held else ABSENT
        unchanged = candidate.job.id in self.open and version == candidate.version
        return unchanged and self.free(held) and place not in self.claiming

    def standing(self, held: Held) -> Standing:
        """Return what is believed of the agent that holds a claim."""
        return self.peers.standing(held.claim, held.seen_at, held.version)

    def silent(self, held: Held | None) -> Claim | None:
        """Return the claim whose holder is to be asked before its unit is taken."""
        if held is None or not held.claim.agent:
            return None
        return held.claim if self.standing(held) is Standing.SILENT else None

    def unit(self, job_id: str, key: str) -> UnitSummary | None:
        """Return a unit of an open job."""
        tracked = self.open.get(job_id)
        units = tracked.order if tracked else ()
        return next((unit for unit in units if unit.key == key), None)

    def held(self, job_id: str, key: str) -> Held | None:
        """Return the claim of a unit of an open job; None where none is known."""
        tracked = self.open.get(job_id)
        return tracked.claims.get(key) if tracked else None

    def is_own(self, held: Held | None) -> bool:
        """Tell whether a claim is this agent's, of a unit that is not done."""
        if held is None:
            return False
        return held.claim.session == self.session and not held.claim.done

    def mine(self) -> list[tuple[Job, UnitSummary]]:
        """Return the units that this agent holds by the store and are not done."""
        return [
            (tracked.job, unit)
            for tracked in self.open.values()
            for unit in tracked.order
            if self.is_own(tracked.claims.get(unit.key))
        ]

    def waiting(self, model: str) -> int:
        """Return the oldest version that suits all waiting units of a model; -1."""
        versions = [
            tracked.job.oldest_version
            for tracked in self.open.values()
            if tracked.job.model == model
            and any(self.free(tracked.claims.get(u.key)) for u in tracked.order)
        ]
        return max(versions, default=-1)

    def choose(
        self,
        models: Collection[str],
        versions: dict[str, int],
        room: Room,
        slower: Collection[str] = (),
        ask: bool = True,
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
        for tracked in sorted(self.open.values(), key=lambda t: t.since):
            job = tracked.job
            if job.model and versions.get(job.model, 0) < job.oldest_version:
                continue
            own = not job.model or job.model in models
            if not own and now - tracked.since < STEAL_AFTER:
                continue
            silent: list[Candidate] = []
            for candidate in self.candidates(tracked, room, job.model in slower):
                (silent if candidate.silent else found).append(candidate)
                if len(found) == SPREAD:
                    return self.chance.choice(found)
            if silent and ask and not found:
                return self.chance.choice(silent)
        return self.chance.choice(found) if found else None

    def candidates(
        self, tracked: Tracked, room: Room, slower: bool
    ) -> Iterator[Candidate]:
        """Yield the units of a job that may be claimed and for which there is room."""
        for unit in tracked.short_order if slower else tracked.order:
            held = tracked.claims.get(unit.key)
            if not self.free(held) or (tracked.job.id, unit.key) in self.claiming:
                continue
            if slower and self.left_to_faster(tracked, unit):
                continue
            if room.fits(len(unit.items), unit.memory):
                version = held.version if held else ABSENT
                before = held is not None
                silent = self.silent(held)
                yield Candidate(tracked.job, unit, version, before, silent)

    def left_to_faster(self, tracked: Tracked, unit: UnitSummary) -> bool:
        """Tell whether a slower engine leaves a unit to the others of its model."""
        waited = self.clock.monotonic() - self.free_since(tracked, unit)
        return unit.key in tracked.long and waited < LEAVE_LONG

    def free_since(self, tracked: Tracked, unit: UnitSummary) -> float:
        """Return since when a unit that is free has been so, in seconds."""
        held = tracked.claims.get(unit.key)
        if held is None:
            return tracked.since
        return max(tracked.since, self.peers.gone_since(held.claim, held.seen_at))
