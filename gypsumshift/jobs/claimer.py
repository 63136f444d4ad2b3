"""Claimer: makes an agent's claims, and begins the units that it holds."""

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.jobs.claimtracker import Candidate, ClaimTracker
from gypsumshift.jobs.liveness import LivenessProbe
from gypsumshift.jobs.records import CLAIMS, Claim, UnitSummary, to_row
from gypsumshift.jobs.unitrunner import UnitRunner
from gypsumshift.metrics import Metrics
from gypsumshift.outcomes import Committed, Conflict, Unavailable
from gypsumshift.platforms import ABSENT, Row, RowStore, Write

__all__ = ["Claimer"]

# Seconds between two questions to silent agents. In a fleet of 1,600, most agents are
# silent for longer than the usual time, and each is asked as often as it asks.
PROBE_PERIOD = 0.1

log = logs.logger("claimer")


class Claimer:
    """Writes claims, and has units run that are this agent's.

    Parameters
    ----------
    own : Claim
        What the agent writes where it claims.
    store : RowStore
    board : ClaimBoard
    runner : UnitRunner
    presence : Presence
        Asks agents that were not heard of for a while.
    clock : Clock
    metrics : Metrics
    """

    def __init__(
        self,
        own_claim: Claim,
        store: RowStore,
        tracker: ClaimTracker,
        runner: UnitRunner,
        liveness: LivenessProbe,
        clock: Clock,
        metrics: Metrics,
    ):
        self.own_claim = own_claim
        self.store = store
        self.tracker = tracker
        self.runner = runner
        self.liveness = liveness
        self.clock = clock
        self.metrics = metrics
        self.probed_at = float("-inf")

    def pending_units(self) -> list[UnitSummary]:
        """Return the units whose claims are on their way."""
        places = self.tracker.pending_claims.keys() - self.runner.units.keys()
        return [unit for place in places if (unit := self.tracker.find_unit(*place))]

    @property
    def may_probe(self) -> bool:
        """Whether a silent agent may be asked now."""
        return self.clock.monotonic() - self.probed_at >= PROBE_PERIOD

    async def may_claim(self, candidate: Candidate) -> bool:
        """Ask the silent holder of a unit; tell whether the unit may be claimed.

        A heartbeat or another claim that came while it was asked goes before an answer
        that did not come.
        """
        if await self.probe_holder(candidate.silent_claim):
            return False
        return self.tracker.is_claimable(candidate)

    async def probe_holder(self, claim: Claim) -> bool:
        """Ask the silent holder of a claim whether it works."""
        self.probed_at = self.clock.monotonic()
        works = await self.liveness.is_alive(claim)
        if works:
            self.tracker.peers.note_alive(claim)
        logs.event(log, "Asked a silent agent.", agent=claim.agent, works=works)
        self.metrics.count("asked", works=str(works).lower())
        return works

    def start_held_units(self) -> None:
        """Run units that the store has as this agent's, whether that was answered."""
        for job, unit in self.tracker.own_units():
            asked = self.tracker.pending_claims.get((job.id, unit.key))
            self.start_if_held(asked or Candidate(job, unit, ABSENT, True))

    def start_if_held(self, candidate: Candidate) -> None:
        """Run a unit if this agent holds it, by the newest that is known of its claim.

        The answer to a claim may be old: the store's changes tell the claim too, and
        by then its unit may be done, given back or held by another agent. Begun by
        answers alone, units ran again (16 runs of 8 items where the store answered
        0.3 s after it had told), and their results met in one transaction.
        """
        job, unit = candidate.job, candidate.unit
        held = self.tracker.find_claim(job.id, unit.key)
        returning = (job.id, unit.key) in self.runner.releaser.pending
        if self.tracker.is_own(held) and not returning:
            self.runner.start_unit(candidate, held.version)

    async def claim(self, candidate: Candidate) -> bool:
        """Claim a unit; return whether to go on claiming."""
        place = (candidate.job.id, candidate.unit.key)
        self.tracker.pending_claims[place] = candidate
        try:
            return await self.write_claim(candidate)
        finally:
            self.tracker.pending_claims.pop(place, None)

    async def write_claim(self, candidate: Candidate) -> bool:
        """Write a claim, and run its unit where it holds."""
        job, unit = candidate.job, candidate.unit
        value = to_row(self.own_claim)
        write = Write(CLAIMS, unit.key, value, candidate.version, part=job.id)
        asked_at = self.clock.monotonic()
        outcome = await self.store.commit([write])
        if isinstance(outcome, Committed):
            row = Row(CLAIMS, unit.key, outcome.version, value, job.id)
            self.log_late_answer(row, asked_at)
            self.tracker.apply_claim_rows([row])
            self.start_if_held(candidate)
            return True
        if isinstance(outcome, Conflict):
            return await self.read_claims(job.id) and self.explains_conflict(candidate)
        return False

    def explains_conflict(self, candidate: Candidate) -> bool:
        """Tell whether what was read of a claim says why it was refused.

        Else the next try is the same: 133 a second were seen for a job whose removal
        had not been told.
        """
        held = self.tracker.find_claim(candidate.job.id, candidate.unit.key)
        return held is not None and held.version != candidate.version

    def log_late_answer(self, row: Row, asked_at: float) -> None:
        """Log that a claim was told by the store's changes before it was answered."""
        held = self.tracker.find_claim(row.part, row.key)
        if held is None or held.version < row.version:
            return
        logs.event(
            log,
            "A claim was told before it was answered.",
            job=row.part,
            unit=row.key,
            claim_version=row.version,
            known_version=held.version,
            done=held.claim.done,
            answered_s=round(self.clock.monotonic() - asked_at, 3),
        )

    async def read_claims(self, job_id: str) -> bool:
        """Read who holds the units of a job; return whether that worked."""
        rows = await self.store.scan(CLAIMS, "", job_id)
        if isinstance(rows, Unavailable):
            return False
        self.tracker.apply_claim_rows(rows)
        return True
