"""Guard: whether a request may be sent to servers, after what it did to others."""

import datetime
import random

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.metrics import Metrics
from gypsumshift.outcomes import HeldBack
from gypsumshift.platforms import RowStore
from gypsumshift.serving.crashtable import CrashTable
from gypsumshift.serving.directory import ServerStart
from gypsumshift.serving.quarantine import (
    CRASH_LIMIT,
    MAX_REQUEST_ID_LENGTH,
    Crash,
    Quarantine,
)
from gypsumshift.serving.trialclaims import ClaimResult

__all__ = ["HELD_BACK_REASON", "CrashGuard", "Permit"]

HELD_BACK_REASON = "servers ended under this request each time that it ran"
# Seconds after which a caller may come back at the soonest: a trial may be under way.
MIN_RETRY_AFTER_S = 0.25
# HTTP statuses from which on an answer is a failure of its server.
FIRST_FAILURE_STATUS = 500

log = logs.logger("guard")


@attrs.define
class Permit:
    """Leave to send one request to servers.

    Attributes
    ----------
    fingerprint, request : str
    trial : int
        Number of the trial that this is, of a request that is held back; 0 for none.
    """

    fingerprint: str
    request: str
    trial: int = 0


class CrashGuard:
    """Decides by what this process and all others saw.

    Parameters
    ----------
    store : RowStore
    clock : Clock
    chance : random.Random
    metrics : Metrics
    """

    def __init__(
        self, store: RowStore, clock: Clock, chance: random.Random, metrics: Metrics
    ):
        self.clock = clock
        self.metrics = metrics
        self.quarantine = Quarantine(clock)
        self.table = CrashTable(store, self.quarantine, clock, chance)
        self.claiming: set[str] = set()

    @property
    def loaded(self) -> bool:
        """Whether this process was told what others saw before it began."""
        return self.table.loaded

    async def admit(self, fingerprint: str, request: str) -> Permit | HeldBack:
        """Return leave to send a request, or that it is held back.

        Of a request that is held back a trial is due from time to time, which one
        process makes.
        """
        request = request[:MAX_REQUEST_ID_LENGTH]
        trial = 0
        if self.quarantine.is_held_back(fingerprint):
            trial = await self.begin_trial(fingerprint, request)
        if trial or not self.quarantine.is_held_back(fingerprint):
            return Permit(fingerprint, request, trial)
        return self.refuse(fingerprint, request)

    async def begin_trial(self, fingerprint: str, request: str) -> int:
        """Return the number of a trial that this process is to make; 0 for none."""
        if fingerprint in self.claiming or not self.quarantine.is_trial_due(
            fingerprint
        ):
            return 0
        number = self.quarantine.trial_count(fingerprint) + 1
        self.claiming.add(fingerprint)
        try:
            claim = await self.table.claim_trial(fingerprint, number)
        finally:
            self.claiming.discard(fingerprint)
        if not self.quarantine.is_held_back(fingerprint):
            # Answered elsewhere meanwhile.
            if claim is ClaimResult.OWN:
                self.table.withdraw_trial(fingerprint, number)
            return 0
        if claim is ClaimResult.UNCERTAIN:
            self.quarantine.postpone_trial(fingerprint)
            return 0
        self.quarantine.record_trial(fingerprint, number)
        if claim is ClaimResult.OTHER:
            return 0
        self.metrics.count("quarantine_trials")
        logs.event(
            log,
            "A request that is held back is tried again.",
            request=request,
            fingerprint=fingerprint,
            trial=number,
        )
        return number

    def refuse(self, fingerprint: str, request: str) -> HeldBack:
        """Return that a request is held back, and log what it is held back for."""
        crashes = self.quarantine.crashes(fingerprint)
        self.metrics.count("quarantine_refusals")
        logs.event(
            log,
            "A request is held back.",
            request=request,
            fingerprint=fingerprint,
            servers=[crash.start.id for crash in crashes],
            requests=list(dict.fromkeys(crash.request for crash in crashes)),
            trials=self.quarantine.trial_count(fingerprint),
            retry_after_s=round(self.retry_after_s(fingerprint), 3),
        )
        return self.held_back_outcome(fingerprint)

    def held_back_outcome(self, fingerprint: str) -> HeldBack:
        """Return that a request is held back, and when it may come back."""
        pause = self.retry_after_s(fingerprint)
        return HeldBack(HELD_BACK_REASON, datetime.timedelta(seconds=pause))

    def retry_after_s(self, fingerprint: str) -> float:
        """Return the seconds after which a request may come back."""
        return max(MIN_RETRY_AFTER_S, self.quarantine.seconds_to_trial(fingerprint))

    def may_send(self, permit: Permit, running: int, ran: bool) -> bool:
        """Tell whether a request may be sent to one more server.

        Parameters
        ----------
        permit : Permit
        running : int
            Servers at which it runs now: under each, its server may end.
        ran : bool
            Whether it ran before.
        """
        if permit.trial:
            return not running and not ran
        return running < self.quarantine.max_parallel_sends(permit.fingerprint)

    def record_crash(self, permit: Permit, start: ServerStart) -> None:
        """Take that a server ended under a request."""
        crash = Crash(
            self.table.new_key(permit.fingerprint),
            permit.fingerprint,
            permit.request,
            start,
            self.clock.monotonic(),
        )
        self.metrics.count("quarantine_ends")
        self.table.queue_removals(self.quarantine.add_crash(crash))
        if self.quarantine.has_crash(permit.fingerprint, crash.key):
            self.table.queue_write(crash)
        ends = self.quarantine.crash_count(permit.fingerprint)
        if ends == CRASH_LIMIT:
            self.log_hold(permit.fingerprint)

    def log_hold(self, fingerprint: str) -> None:
        """Log that a request is held back from now on."""
        crashes = self.quarantine.crashes(fingerprint)
        logs.event(
            log,
            "A request is held back from now on: servers ended under it.",
            fingerprint=fingerprint,
            ended=True,
            servers=[crash.start.id for crash in crashes],
            requests=list(dict.fromkeys(crash.request for crash in crashes)),
        )

    def record_answer(self, permit: Permit, status: int, whole: bool = True) -> None:
        """Take that a server answered a request: it does not end each.

        Parameters
        ----------
        permit : Permit
        status : int
            HTTP status. A failure clears nothing: a server that is full, or fails
            whatever it is asked, answers so without having begun.
        whole : bool
            Whether one server ran all of it. One that made the rest of what others
            began may have been spared: a stream that ends its servers in its midst is
            whole in the end, too. A lone end then counts for chance.
        """
        ends = self.quarantine.crash_count(permit.fingerprint)
        if not ends or status >= FIRST_FAILURE_STATUS or (ends > 1 and not whole):
            return
        trials = self.quarantine.trial_count(permit.fingerprint)
        known = self.quarantine.clear(permit.fingerprint)
        self.table.remove_request(permit.fingerprint, known, trials)
        permit.trial = 0
        logs.event(
            log,
            "A request under which servers ended was answered.",
            request=permit.request,
            fingerprint=permit.fingerprint,
            cleared=True,
        )

    def release_permit(self, permit: Permit, ran: bool) -> None:
        """Take the end of a request; a trial that no server took is withdrawn."""
        if permit.trial and not ran:
            self.quarantine.withdraw_trial(permit.fingerprint, permit.trial)
            self.table.withdraw_trial(permit.fingerprint, permit.trial)

    async def run(self) -> None:
        """Tell other processes until cancelled."""
        await self.table.run()

    def sweep(self) -> None:
        """Forget what is too old."""
        self.quarantine.remove_expired()
        self.table.sweep()
