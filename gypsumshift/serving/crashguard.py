"""Crash guard: decides whether a request may be sent, given the crashes it caused.

A request in flight may be about to crash its server. Once a crash of a request is
recorded, the servers at which the same request is in flight from this process therefore
count towards the crash limit; further sends wait for these runs to end. Without a
recorded crash, requests with the same fingerprint run in parallel without limit, so
that sound ones are not delayed.

Deferred work (items of batch jobs and their reward calls) is never the cause of
a crash: it was accepted and is owed, so it is neither held back nor recorded.
"""

import asyncio
import datetime
import random
import weakref

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
# Lower limit of the retry time returned to callers: a trial may be in progress.
MIN_RETRY_AFTER_S = 0.25
# Lowest HTTP status that counts as a failure of the server.
FIRST_FAILURE_STATUS = 500

log = logs.logger("guard")


@attrs.define(eq=False)
class Permit:
    """Permission to send one request to servers.

    Attributes
    ----------
    fingerprint, request : str
        Fingerprint and id of the request.
    trial : int
        Number of the trial if the request is held back; 0 if this is no trial.
    deferred : bool
        Whether the request is deferred work, which is always admitted.
    running : list of ServerStart
        Servers at which the request is in flight under this permit.
    """

    fingerprint: str
    request: str
    trial: int = 0
    deferred: bool = False
    running: list[ServerStart] = attrs.field(factory=list)


class CrashGuard:
    """Admits requests by the crashes that this and all other processes recorded.

    Parameters
    ----------
    store : RowStore
    clock : Clock
    chance : random.Random
    metrics : Metrics

    Attributes
    ----------
    active_permits : weakref.WeakSet of Permit
        Permits of requests in flight. The references are weak since a stream that its
        caller never begins to read is dropped without the end of its run.
    run_ended : asyncio.Event
        Set, and replaced by a new one, whenever a run ends.
    """

    def __init__(
        self, store: RowStore, clock: Clock, chance: random.Random, metrics: Metrics
    ):
        self.clock = clock
        self.metrics = metrics
        self.quarantine = Quarantine(clock)
        self.table = CrashTable(store, self.quarantine, clock, chance)
        self.claiming: set[str] = set()
        self.active_permits: weakref.WeakSet[Permit] = weakref.WeakSet()
        self.run_ended = asyncio.Event()

    @property
    def loaded(self) -> bool:
        """Whether the crashes recorded before this process started were received."""
        return self.table.loaded

    async def admit(
        self, fingerprint: str, request: str, deferred: bool = False
    ) -> Permit | HeldBack:
        """Return the permit to send a request, or `HeldBack` if it may not be sent.

        If a trial of a held-back request is due and this process obtains the claim for
        it, the permit is for the trial. Deferred work is always admitted.
        """
        request = request[:MAX_REQUEST_ID_LENGTH]
        if deferred:
            return Permit(fingerprint, request, deferred=True)
        trial = 0
        if self.quarantine.is_held_back(fingerprint):
            trial = await self.begin_trial(fingerprint, request)
        if trial or not self.quarantine.is_held_back(fingerprint):
            return Permit(fingerprint, request, trial)
        return self.refuse(fingerprint, request)

    async def begin_trial(self, fingerprint: str, request: str) -> int:
        """Claim the next trial if due; return its number, or 0 if it is not granted."""
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
            # The request was answered at another process in the meantime.
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
            "Trial of a held-back request started.",
            request=request,
            fingerprint=fingerprint,
            trial=number,
        )
        return number

    def refuse(self, fingerprint: str, request: str) -> HeldBack:
        """Return that a request is held back, and log the crashes that it caused."""
        crashes = self.quarantine.crashes(fingerprint)
        self.metrics.count("quarantine_refusals")
        logs.event(
            log,
            "Request not sent; it is held back because servers crashed during it.",
            request=request,
            fingerprint=fingerprint,
            servers=[crash.start.id for crash in crashes],
            requests=list(dict.fromkeys(crash.request for crash in crashes)),
            trials=self.quarantine.trial_count(fingerprint),
            retry_after_s=round(self.retry_after_s(fingerprint), 3),
        )
        return self.held_back_outcome(fingerprint)

    def held_back_outcome(self, fingerprint: str) -> HeldBack:
        """Return the outcome for a held-back request, with the time until a retry."""
        pause = self.retry_after_s(fingerprint)
        return HeldBack(HELD_BACK_REASON, datetime.timedelta(seconds=pause))

    def retry_after_s(self, fingerprint: str) -> float:
        """Return the seconds after which a caller may retry a request."""
        return max(MIN_RETRY_AFTER_S, self.quarantine.seconds_to_trial(fingerprint))

    def begin_run(self, permit: Permit, start: ServerStart) -> None:
        """Count a request as in flight at a server, before it is sent."""
        permit.running.append(start)
        if not permit.deferred:
            self.active_permits.add(permit)

    def end_run(self, permit: Permit, start: ServerStart) -> None:
        """Count a run as ended, after its answer or crash was recorded."""
        permit.running.remove(start)
        if not permit.running:
            self.active_permits.discard(permit)
        self.run_ended.set()
        self.run_ended = asyncio.Event()

    def starts_in_flight(self, fingerprint: str) -> set[ServerStart]:
        """Return the servers that a request in flight from this process may crash.

        A server whose crash is recorded cannot crash again. A run there may not have
        noticed the crash, and the others would wait for it until their deadline.
        """
        starts = {
            start
            for permit in self.active_permits
            if permit.fingerprint == fingerprint
            for start in permit.running
        }
        return starts - {crash.start for crash in self.quarantine.crashes(fingerprint)}

    def may_send(
        self, permit: Permit, ran: bool, start: ServerStart | None = None
    ) -> bool:
        """Return whether a request may be sent to one more server.

        Parameters
        ----------
        permit : Permit
        ran : bool
            Whether a server has run it under this permit before.
        start : ServerStart or None
            The server, if there is no choice. At a server where the request is in
            flight already, one more run cannot cause one more crash.
        """
        if permit.deferred:
            return True
        if permit.trial:
            return not permit.running and not ran
        limit = self.quarantine.max_parallel_sends(permit.fingerprint)
        if not self.quarantine.crash_count(permit.fingerprint):
            return len(permit.running) < limit
        in_flight = self.starts_in_flight(permit.fingerprint)
        return len(in_flight) < limit or (limit > 0 and start in in_flight)

    async def wait_until_sendable(
        self, permit: Permit, ran: bool, timeout: float
    ) -> bool:
        """Wait for the runs that prevent a request from being sent to one more server.

        Parameters
        ----------
        permit : Permit
        ran : bool
            See `may_send`.
        timeout : float
            Longest wait in seconds.

        Returns
        -------
        bool
            Whether it may be sent now. False at once for a request that is held back
            and for a trial that has run.
        """
        try:
            async with asyncio.timeout(timeout):
                while not self.may_send(permit, ran):
                    if permit.trial or self.quarantine.is_held_back(permit.fingerprint):
                        return False
                    await self.run_ended.wait()
        except TimeoutError:
            return False
        return True

    def record_crash(self, permit: Permit, start: ServerStart) -> None:
        """Record that a server crashed while it ran a request."""
        if permit.deferred:
            self.metrics.count("deferred_crashes")
            return
        crash = Crash(
            self.table.new_key(permit.fingerprint),
            permit.fingerprint,
            permit.request,
            start,
            self.clock.monotonic(),
        )
        self.metrics.count("quarantine_ends")
        self.table.writer.queue_removals(self.quarantine.add_crash(crash))
        if self.quarantine.has_crash(permit.fingerprint, crash.key):
            self.table.writer.queue_write(crash)
        crash_count = self.quarantine.crash_count(permit.fingerprint)
        if crash_count == CRASH_LIMIT:
            self.log_quarantine_start(permit.fingerprint)

    def log_quarantine_start(self, fingerprint: str) -> None:
        """Log that a request reached the crash limit and is held back from now on."""
        crashes = self.quarantine.crashes(fingerprint)
        logs.event(
            log,
            "Request reached the crash limit; it is held back from now on.",
            fingerprint=fingerprint,
            ended=True,
            servers=[crash.start.id for crash in crashes],
            requests=list(dict.fromkeys(crash.request for crash in crashes)),
        )

    def record_answer(self, permit: Permit, status: int, whole: bool = True) -> None:
        """Clear the crashes of a request that a server answered.

        An answer shows that the request does not crash every server.

        Parameters
        ----------
        permit : Permit
        status : int
            HTTP status. A failure clears nothing: a server that is full, or that fails
            every request, sends it without having run the request.
        whole : bool
            Whether one server ran the whole request. A server that only completed what
            others began proves little: a stream that crashes its servers midway is
            completed in the end, too. Such an answer clears a single crash, which is
            then attributed to chance, but not several.
        """
        crash_count = self.quarantine.crash_count(permit.fingerprint)
        if (
            not crash_count
            or status >= FIRST_FAILURE_STATUS
            or (crash_count > 1 and not whole)
            or permit.deferred
        ):
            return
        trials = self.quarantine.trial_count(permit.fingerprint)
        crash_keys = self.quarantine.clear(permit.fingerprint)
        self.table.remove_request(permit.fingerprint, crash_keys, trials)
        permit.trial = 0
        logs.event(
            log,
            "Request answered; the crashes recorded for it are cleared.",
            request=permit.request,
            fingerprint=permit.fingerprint,
            cleared=True,
        )

    def release_permit(self, permit: Permit, ran: bool) -> None:
        """Release the permit of a finished request, and withdraw an unused trial."""
        if permit.trial and not ran:
            self.quarantine.withdraw_trial(permit.fingerprint, permit.trial)
            self.table.withdraw_trial(permit.fingerprint, permit.trial)

    async def run(self) -> None:
        """Write crashes to the shared table until cancelled."""
        await self.table.writer.run()

    def sweep(self) -> None:
        """Remove expired crashes and rows, and queue overdue writes."""
        self.quarantine.remove_expired()
        self.table.sweep()
