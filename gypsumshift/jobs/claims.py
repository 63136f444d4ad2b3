"""Claims: which unit of which batch job an agent runs next.

The decision answers a burst: a whole step arrives at once at agents whose engines
have room for a part of it, and its trainer waits for nine tenths of the groups.
Each agent takes what it has room for, so slow and loading engines take less.
Claims only save double work: two runs of an item do no harm, and its result is
stored once.
"""

import random
from collections.abc import Collection

import attrs

from gypsumshift.clock import Clock
from gypsumshift.jobs.model import (
    END_KEY,
    JOB_KEY,
    Claim,
    Heartbeat,
    Job,
    UnitSummary,
    parse_row,
    parse_rows,
)
from gypsumshift.jobs.pace import is_slower
from gypsumshift.jobs.placement import EngineView
from gypsumshift.jobs.room import Room
from gypsumshift.jobs.schedule import LONG_FACTOR, begin_order, long_units
from gypsumshift.platforms import ABSENT, Row
from gypsumshift.serving.directory import ServerStart

__all__ = ["Candidate", "ClaimBoard", "Held"]

# Seconds without a heartbeat after which an agent's claims are free. Of a host that
# is lost with the longest items of a step, each second counts: with 2.6 s they ended
# 10.9 s after their step came (logs of a play). Taken for gone too soon, an agent loses
# nothing but the work that two do.
SILENCE = 1.6
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
    """

    job: Job
    unit: UnitSummary
    version: int
    taken_over: bool


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


@attrs.define
class Pulse:
    """Heartbeat of one agent as seen here.

    Attributes
    ----------
    session : str
    at : float
        When it changed last, by the monotonic clock, in seconds.
    beat : Heartbeat
    """

    session: str
    at: float
    beat: Heartbeat = Heartbeat("")

    @property
    def pace(self) -> float:
        """Seconds between two events at its engine now; 0 for unknown."""
        return self.beat.pace


class ClaimBoard:
    """What is known of open jobs, claims and agents.

    Parameters
    ----------
    session : str
        Start of this agent.
    clock : Clock
    chance : random.Random
        Chooses among the units that come next.

    Attributes
    ----------
    claiming : set of (str, str)
        Job and unit of the claims that this agent has on their way.
    heard : bool
        Whether the table of agents was read.
    """

    def __init__(self, session: str, clock: Clock, chance: random.Random):
        self.session = session
        self.clock = clock
        self.chance = chance
        self.open: dict[str, Tracked] = {}
        self.ended: set[str] = set()
        self.early: dict[str, dict[str, Held]] = {}
        self.pulses: dict[str, Pulse] = {}
        self.groups: dict[str, set[str]] = {}
        self.deaf_until = float("-inf")
        self.claiming: set[tuple[str, str]] = set()
        self.heard = False

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

    def take_pulses(self, rows: list[Row]) -> None:
        """Take rows of the table of agents."""
        now = self.clock.monotonic()
        self.heard = True
        written = [row for row in rows if row.value is not None]
        for row in rows:
            if row.value is None:
                self.pulses[row.key] = Pulse("", now)
        for row, beat in parse_rows(written, Heartbeat):
            self.pulses[row.key] = Pulse(beat.session, now, beat)

    def note_store_back(self) -> None:
        """Take that nothing could be heard until now."""
        self.deaf_until = self.clock.monotonic()

    def alive(self, held: Held) -> bool:
        """Tell whether the agent that holds a claim still works on it.

        A claim is itself a sign of life, and heartbeats that could not be heard
        while the store was away say nothing: without these two, agents that were
        cut off together took each other's units over at once when they returned.
        """
        claim = held.claim
        if claim.session == self.session:
            return True
        pulse = self.pulses.get(claim.agent)
        if pulse is not None and pulse.session != claim.session:
            return held.seen_at > pulse.at and self.recent(held.seen_at)
        heard = pulse.at if pulse is not None else held.seen_at
        return self.recent(max(heard, held.seen_at, self.deaf_until))

    def paces(self) -> list[float]:
        """Return the known paces of the other agents' engines."""
        return [
            pulse.pace
            for pulse in self.pulses.values()
            if pulse.session != self.session and pulse.pace and self.recent(pulse.at)
        ]

    def told(self, agent: str) -> Heartbeat:
        """Return what an agent told last; an empty heartbeat where it told nothing."""
        pulse = self.pulses.get(agent)
        return pulse.beat if pulse else Heartbeat("")

    def engines(self) -> dict[ServerStart, EngineView]:
        """Return what agents told last of their engines, by the engine's start."""
        beats = [p.beat for p in sorted(self.pulses.values(), key=lambda p: p.at)]
        return {b.start: EngineView(b.engine, b.home, b.usual) for b in beats}

    def faster(self, usual: float, engines: Collection[str]) -> list[Heartbeat]:
        """Return what agents tell whose engines are built faster than one.

        Parameters
        ----------
        usual : float
            Usual pace of that one; see `Pace.usual`.
        engines : collection of str
            Ids of the engines among which to look.
        """
        return [
            pulse.beat
            for pulse in self.pulses.values()
            if pulse.beat.engine in engines
            and self.recent(pulse.at)
            and is_slower(usual, pulse.beat.usual)
        ]

    def recent(self, at: float) -> bool:
        """Tell whether a sign of life is young enough."""
        return self.clock.monotonic() - at < SILENCE

    def free(self, held: Held | None) -> bool:
        """Tell whether a unit may be claimed."""
        if held is None or not held.claim.agent:
            return True
        return not held.claim.done and not self.alive(held)

    def unit(self, job_id: str, key: str) -> UnitSummary | None:
        """Return a unit of an open job."""
        tracked = self.open.get(job_id)
        units = tracked.order if tracked else ()
        return next((unit for unit in units if unit.key == key), None)

    def mine(self) -> list[tuple[Job, UnitSummary, Held]]:
        """Return the units that this agent holds by the store and are not done."""
        return [
            (tracked.job, unit, held)
            for tracked in self.open.values()
            for unit in tracked.order
            if (held := tracked.claims.get(unit.key)) is not None
            and held.claim.session == self.session
            and not held.claim.done
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
    ) -> Candidate | None:
        """Return the unit to claim next; None where there is none.

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
            behind = job.model in slower
            found += self.candidates(tracked, room, SPREAD - len(found), behind)
            if len(found) == SPREAD:
                break
        return self.chance.choice(found) if found else None

    def candidates(
        self, tracked: Tracked, room: Room, most: int, slower: bool
    ) -> list[Candidate]:
        """Return the next free units of a job for which there is room."""
        found = []
        for unit in tracked.short_order if slower else tracked.order:
            held = tracked.claims.get(unit.key)
            if (
                len(found) < most
                and not (slower and self.left_to_faster(tracked, unit))
                and room.fits(len(unit.items), unit.memory)
                and self.free(held)
                and (tracked.job.id, unit.key) not in self.claiming
            ):
                version = held.version if held else ABSENT
                found.append(Candidate(tracked.job, unit, version, held is not None))
        return found

    def left_to_faster(self, tracked: Tracked, unit: UnitSummary) -> bool:
        """Tell whether a slower engine leaves a unit to the others of its model."""
        waited = self.clock.monotonic() - self.free_since(tracked, unit)
        return unit.key in tracked.long and waited < LEAVE_LONG

    def free_since(self, tracked: Tracked, unit: UnitSummary) -> float:
        """Return since when a unit that is free has been so, in seconds."""
        held = tracked.claims.get(unit.key)
        if held is None:
            return tracked.since
        pulse = self.pulses.get(held.claim.agent)
        told = max(tracked.since, held.seen_at, pulse.at if pulse else 0.0)
        restarted = pulse is not None and pulse.session != held.claim.session
        if not held.claim.agent or restarted:
            return told
        return max(told, self.deaf_until) + SILENCE
