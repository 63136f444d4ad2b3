"""Claims units of batch jobs for an agent, and starts the units that it holds."""

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.jobs.claimtracker import ClaimTracker
from gypsumshift.jobs.liveness import LivenessProbe
from gypsumshift.jobs.openjob import Candidate
from gypsumshift.jobs.records import CLAIMS, Claim, UnitSummary
from gypsumshift.jobs.rowcodec import to_row
from gypsumshift.jobs.unitrunner import UnitRunner
from gypsumshift.metrics import Metrics
from gypsumshift.outcomes import Committed, Conflict, Unavailable
from gypsumshift.platforms import ABSENT, Row, RowStore, Write

__all__ = ["Claimer"]

# Seconds between two probes that this agent sends. In a fleet of 1,600, most agents are
# without a heartbeat for longer than the time-out, and each agent receives as many
# probes as it sends.
PROBE_PERIOD = 0.1

log = logs.logger("claimer")


class Claimer:
    """Writes claims to the store, and starts the units that this agent holds.

    Parameters
    ----------
    own_claim : Claim
        Value that the agent writes into the rows of its claims.
    store : RowStore
    tracker : ClaimTracker
    runner : UnitRunner
    liveness : LivenessProbe
        Checks agents without a recent heartbeat.
    clock : Clock
    metrics : Metrics

    Attributes
    ----------
    probed_at : float
        When the last probe was sent, by the monotonic clock, in seconds.
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
        """Return the units whose claims were sent and not answered yet."""
        keys = self.tracker.pending_claims.keys() - self.runner.units.keys()
        return [unit for key in keys if (unit := self.tracker.find_unit(*key))]

    @property
    def may_probe(self) -> bool:
        """Whether a probe may be sent now."""
        return self.clock.monotonic() - self.probed_at >= PROBE_PERIOD

    async def may_claim(self, candidate: Candidate) -> bool:
        """Probe the holder of a unit; return whether the unit may be claimed.

        A heartbeat or another claim that arrived during the probe takes precedence
        over a probe that failed.
        """
        if await self.probe_holder(candidate.silent_claim):
            return False
        return self.tracker.is_claimable(candidate)

    async def probe_holder(self, claim: Claim) -> bool:
        """Probe the holder of a claim; return whether it works."""
        self.probed_at = self.clock.monotonic()
        works = await self.liveness.is_alive(claim)
        if works:
            self.tracker.peers.note_alive(claim)
        logs.event(
            log,
            "Probed an agent without a recent heartbeat.",
            agent=claim.agent,
            works=works,
        )
        self.metrics.count("asked", works=str(works).lower())
        return works

    def start_held_units(self) -> None:
        """Start the units that the store assigns to this agent.

        Includes units whose claims were stored though their answers were lost.
        """
        for job, unit in self.tracker.own_units():
            pending = self.tracker.pending_claims.get((job.id, unit.key))
            self.start_if_held(pending or Candidate(job, unit, ABSENT, True))

    def start_if_held(self, candidate: Candidate) -> None:
        """Start a unit if this agent holds it by the newest known version of its claim.

        The answer to a claim may be out of date: the store's change feed delivers the
        claim too, and the unit may already be done, given back or held by another
        agent. When units were started on answers alone, they ran again (16 runs of 8
        items where the store answered 0.3 s after its feed), and both runs' results met
        in one transaction.
        """
        job, unit = candidate.job, candidate.unit
        held = self.tracker.find_claim(job.id, unit.key)
        returning = (job.id, unit.key) in self.runner.releaser.pending
        if self.tracker.is_own(held) and not returning:
            self.runner.start_unit(candidate, held.version)

    async def claim(self, candidate: Candidate) -> bool:
        """Claim a unit; return whether to continue with further claims."""
        key = (candidate.job.id, candidate.unit.key)
        self.tracker.pending_claims[key] = candidate
        try:
            return await self.write_claim(candidate)
        finally:
            self.tracker.pending_claims.pop(key, None)

    async def write_claim(self, candidate: Candidate) -> bool:
        """Write a claim and, if it is stored, start its unit.

        Returns whether to continue with further claims.
        """
        job, unit = candidate.job, candidate.unit
        value = to_row(self.own_claim)
        write = Write(CLAIMS, unit.key, value, candidate.version, part=job.id)
        sent_at = self.clock.monotonic()
        outcome = await self.store.commit([write])
        if isinstance(outcome, Committed):
            row = Row(CLAIMS, unit.key, outcome.version, value, job.id)
            self.log_late_answer(row, sent_at)
            self.tracker.apply_claim_rows([row])
            self.start_if_held(candidate)
            return True
        if isinstance(outcome, Conflict):
            return await self.read_claims(job.id) and self.explains_conflict(candidate)
        return False

    def explains_conflict(self, candidate: Candidate) -> bool:
        """Return whether the claims that were read explain why a claim was refused.

        Otherwise the next try would be the same: 133 tries a second were seen for a job
        whose removal had not reached this agent.
        """
        held = self.tracker.find_claim(candidate.job.id, candidate.unit.key)
        return held is not None and held.version != candidate.version

    def log_late_answer(self, row: Row, sent_at: float) -> None:
        """Log a claim that the change feed delivered before its answer arrived."""
        held = self.tracker.find_claim(row.part, row.key)
        if held is None or held.version < row.version:
            return
        logs.event(
            log,
            "The change feed delivered a claim before its write was answered.",
            job=row.part,
            unit=row.key,
            claim_version=row.version,
            known_version=held.version,
            done=held.claim.done,
            answered_s=round(self.clock.monotonic() - sent_at, 3),
        )

    async def read_claims(self, job_id: str) -> bool:
        """Read the claims of a job from the store; return whether that succeeded."""
        rows = await self.store.scan(CLAIMS, "", job_id)
        if isinstance(rows, Unavailable):
            return False
        self.tracker.apply_claim_rows(rows)
        return True
