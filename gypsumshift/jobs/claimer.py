"""Claimer: makes an agent's claims, and begins the units that it holds."""

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.jobs.claims import Candidate, ClaimBoard
from gypsumshift.jobs.model import CLAIMS, Claim, UnitSummary, to_row
from gypsumshift.jobs.presence import Presence
from gypsumshift.jobs.unitrunner import UnitRunner
from gypsumshift.metrics import Metrics
from gypsumshift.outcomes import Committed, Conflict, Unavailable
from gypsumshift.platforms import ABSENT, Row, RowStore, Write

__all__ = ["Claimer"]

# Seconds between two questions to silent agents. In a fleet of 1,600, most agents are
# silent for longer than the usual time, and each is asked as often as it asks.
ASK_PAUSE = 0.1

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
        own: Claim,
        store: RowStore,
        board: ClaimBoard,
        runner: UnitRunner,
        presence: Presence,
        clock: Clock,
        metrics: Metrics,
    ):
        self.own = own
        self.store = store
        self.board = board
        self.runner = runner
        self.presence = presence
        self.clock = clock
        self.metrics = metrics
        self.asked_at = float("-inf")

    def coming(self) -> list[UnitSummary]:
        """Return the units whose claims are on their way."""
        places = self.board.claiming.keys() - self.runner.units.keys()
        return [unit for place in places if (unit := self.board.unit(*place))]

    @property
    def may_ask(self) -> bool:
        """Whether a silent agent may be asked now."""
        return self.clock.monotonic() - self.asked_at >= ASK_PAUSE

    async def may_take(self, candidate: Candidate) -> bool:
        """Ask the silent holder of a unit; tell whether the unit may be claimed.

        A heartbeat or another claim that came while it was asked goes before an answer
        that did not come.
        """
        if await self.holder_works(candidate.silent):
            return False
        return self.board.claimable(candidate)

    async def holder_works(self, claim: Claim) -> bool:
        """Ask the silent holder of a claim whether it works."""
        self.asked_at = self.clock.monotonic()
        works = await self.presence.works(claim)
        if works:
            self.board.peers.note_works(claim)
        logs.event(log, "Asked a silent agent.", agent=claim.agent, works=works)
        self.metrics.count("asked", works=str(works).lower())
        return works

    def adopt(self) -> None:
        """Run units that the store has as this agent's, whether that was answered."""
        for job, unit in self.board.mine():
            asked = self.board.claiming.get((job.id, unit.key))
            self.begin(asked or Candidate(job, unit, ABSENT, True))

    def begin(self, candidate: Candidate) -> None:
        """Run a unit if this agent holds it, by the newest that is known of its claim.

        The answer to a claim may be old: the store's changes tell the claim too, and
        by then its unit may be done, given back or held by another agent. Begun by
        answers alone, units ran again (16 runs of 8 items where the store answered
        0.3 s after it had told), and their results met in one transaction.
        """
        job, unit = candidate.job, candidate.unit
        held = self.board.held(job.id, unit.key)
        returning = (job.id, unit.key) in self.runner.returns.pending
        if self.board.is_own(held) and not returning:
            self.runner.start_unit(candidate, held.version)

    async def claim(self, candidate: Candidate) -> bool:
        """Claim a unit; return whether to go on claiming."""
        place = (candidate.job.id, candidate.unit.key)
        self.board.claiming[place] = candidate
        try:
            return await self.write_claim(candidate)
        finally:
            self.board.claiming.pop(place, None)

    async def write_claim(self, candidate: Candidate) -> bool:
        """Write a claim, and run its unit where it holds."""
        job, unit = candidate.job, candidate.unit
        value = to_row(self.own)
        write = Write(CLAIMS, unit.key, value, candidate.version, part=job.id)
        asked_at = self.clock.monotonic()
        outcome = await self.store.commit([write])
        if isinstance(outcome, Committed):
            row = Row(CLAIMS, unit.key, outcome.version, value, job.id)
            self.note_late_answer(row, asked_at)
            self.board.take_claims([row])
            self.begin(candidate)
            return True
        if isinstance(outcome, Conflict):
            return await self.learn_claims(job.id) and self.explained(candidate)
        return False

    def explained(self, candidate: Candidate) -> bool:
        """Tell whether what was read of a claim says why it was refused.

        Else the next try is the same: 133 a second were seen for a job whose removal
        had not been told.
        """
        held = self.board.held(candidate.job.id, candidate.unit.key)
        return held is not None and held.version != candidate.version

    def note_late_answer(self, row: Row, asked_at: float) -> None:
        """Log that a claim was told by the store's changes before it was answered."""
        held = self.board.held(row.part, row.key)
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

    async def learn_claims(self, job_id: str) -> bool:
        """Read who holds the units of a job; return whether that worked."""
        rows = await self.store.scan(CLAIMS, "", job_id)
        if isinstance(rows, Unavailable):
            return False
        self.board.take_claims(rows)
        return True
