"""Forwarder: one request to backend servers until one has answered it.

What may be repeated is sent again after a failure, and to a second server when the
first keeps silent; what may not be repeated is sent again only where a server
vouches that it has not run it. What ended servers, in this call or in others, is held
back by the `CrashGuard`.
"""

import asyncio
import datetime
import math

import attrs

from gypsumshift import logs
from gypsumshift.outcomes import Answered, HeldBack, NotRun, Unknown
from gypsumshift.policy import DEFAULT, Policy
from gypsumshift.serving.authorization import KEY_NOT_CONFIRMED
from gypsumshift.serving.calls import AttemptOutcome, Call, Failed, Refused
from gypsumshift.serving.crashguard import HELD_BACK_REASON, CrashGuard, Permit
from gypsumshift.serving.directory import BackendServer, ServerStart
from gypsumshift.serving.latecrashes import LateCrashDetector
from gypsumshift.serving.sender import Sender

__all__ = ["Forwarder"]

# Part of a route's objective after which a second server is asked as well. Half of
# the objective leaves the second the time of a usual answer, which takes a quarter.
HEDGE_SHARE = 0.5
# Seconds before a second server is asked where the route names no objective.
HEDGE_DEFAULT = 0.5
# Seconds of pause after every server said that it is full.
FULL_PAUSE = 0.05
# Times that all servers may say so before the caller is told to come back.
FULL_ROUNDS = 3
# Seconds after which a caller may come back: a few service times.
RETRY_AFTER = 0.25
# Seconds kept back from the deadline, so that the verdict still reaches the caller.
VERDICT_MARGIN = 0.02

log = logs.logger("forwarder")


@attrs.define
class Race:
    """The attempts of one call.

    Attributes
    ----------
    call : Call
    servers : list of BackendServer
        Ready servers of the service when the call began.
    permit : Permit
    running : dict
        Server by the task of its attempt.
    ran : set of ServerStart
        Servers on which it may have run.
    refused : set of ServerStart
        Servers that refused it in this round.
    rounds : int
        Rounds in which every server refused.
    answer : Answered or None
        A failure that a server answered, if nothing better comes.
    """

    call: Call
    servers: list[BackendServer]
    permit: Permit
    running: dict[asyncio.Task, BackendServer] = attrs.field(factory=dict)
    ran: set[ServerStart] = attrs.field(factory=set)
    refused: set[ServerStart] = attrs.field(factory=set)
    rounds: int = 0
    answer: Answered | None = None

    @property
    def involved(self) -> set[ServerStart]:
        """Servers not to be tried now."""
        return self.ran | self.refused | {s.start for s in self.running.values()}

    @property
    def spent(self) -> bool:
        """Whether no further server may run it."""
        begun = len(self.ran) + len(self.running)
        # What may not be repeated stays with the first server that may have run it.
        most = self.call.route.attempts if self.call.repeatable else 1
        return begun >= most


class Forwarder:
    """Has calls answered by the backend servers of their services.

    Parameters
    ----------
    sender : Sender
    guard : CrashGuard
    policy : Policy
    """

    def __init__(self, sender: Sender, guard: CrashGuard, policy: Policy = DEFAULT):
        self.policy = policy
        self.sender = sender
        self.guard = guard
        self.directory = sender.directory
        self.balancer = sender.balancer
        self.clock = sender.clock
        self.metrics = sender.metrics
        self.trials: set[asyncio.Task] = set()
        self.late_crashes = LateCrashDetector(
            guard, self.balancer, self.directory, sender.fetcher, self.clock
        )

    async def forward(self, call: Call) -> Answered | NotRun | Unknown:
        """Return what became of a call, before its deadline."""
        permit = await self.guard.admit(call.fingerprint, call.id)
        if isinstance(permit, HeldBack):
            return permit
        if not permit.trial:
            return await self.forward_by(permit, call)
        # Trials are few: one whose caller leaves is made to its end.
        trial = asyncio.create_task(self.forward_by(permit, call))
        self.trials.add(trial)
        trial.add_done_callback(self.trials.discard)
        return await asyncio.shield(trial)

    async def forward_by(
        self, permit: Permit, call: Call
    ) -> Answered | NotRun | Unknown:
        """Return what became of a call that the guard lets through."""
        service = call.route.service_for(call.id)
        race = Race(call, self.directory.ready_servers(service), permit)
        started = self.clock.monotonic()
        outcome = None
        try:
            outcome = await self.run(race)
        finally:
            ran = bool(race.ran or race.running)
            cut = list(race.running.values())
            await self.abandon(race)
            self.guard.release_permit(permit, ran)
            if not isinstance(outcome, Answered):
                self.late_crashes.check_servers(permit, cut)
        took = self.clock.monotonic() - started
        ending = type(outcome).__name__
        self.metrics.time("request_seconds", took, service=service, outcome=ending)
        if not isinstance(outcome, Answered):
            logs.event(
                log,
                "A request was not served.",
                request=call.id,
                fingerprint=call.fingerprint,
                route=call.route.name,
                outcome=ending,
                reason=outcome.reason,
                servers=len(race.servers),
                ran_on=sorted(start.id for start in race.ran),
                refused_by=sorted(start.id for start in race.refused),
                left_s=round(call.deadline - self.clock.monotonic(), 3),
            )
        return outcome

    async def run(self, race: Race) -> Answered | NotRun | Unknown:
        """Start attempts one after another until there is an outcome."""
        hedge = self.hedge_delay(race.call)
        while True:
            left = race.call.deadline - VERDICT_MARGIN - self.clock.monotonic()
            if left <= 0:
                return self.verdict(race, "the deadline passed")
            started = self.start(race)
            if not race.running:
                barred = self.barred(race)
                if barred:
                    return self.verdict(race, barred)
                if not await self.next_round(race, left):
                    return self.verdict(race, "no backend server took it")
                continue
            patience = min(left, hedge) if started else left
            done, _ = await asyncio.wait(
                race.running, timeout=patience, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                server = race.running.pop(task)
                answer = self.judge(race, server, task.result())
                if answer is not None:
                    return answer

    def hedge_delay(self, call: Call) -> float:
        """Return the seconds after which a second server is asked as well."""
        if not self.policy.second_server:
            return math.inf
        objective = call.route.objective
        if objective is None:
            return HEDGE_DEFAULT
        return HEDGE_SHARE * objective.total_seconds()

    def barred(self, race: Race) -> str:
        """Return why no more attempt may be made; empty where one may."""
        if not race.call.grant.is_valid:
            return KEY_NOT_CONFIRMED
        allowed = self.guard.may_send(race.permit, len(race.running), bool(race.ran))
        return "" if allowed else HELD_BACK_REASON

    def start(self, race: Race) -> bool:
        """Start one more attempt where that is allowed; return whether it was."""
        if race.spent or self.barred(race):
            return False
        server = self.balancer.choose(race.servers, race.involved)
        if server is None:
            return False
        task = asyncio.create_task(self.sender.attempt(race.call, server))
        race.running[task] = server
        return True

    async def next_round(self, race: Race, left: float) -> bool:
        """Wait until servers that were full may be asked again."""
        if race.spent or race.rounds >= FULL_ROUNDS:
            return False
        race.rounds += 1
        race.refused.clear()
        await asyncio.sleep(min(FULL_PAUSE * race.rounds, left))
        service = race.call.route.service_for(race.call.id)
        race.servers = self.directory.ready_servers(service)
        return True

    def judge(self, race: Race, server, outcome: AttemptOutcome) -> Answered | None:
        """Take the end of one attempt; return an answer that settles the call."""
        if isinstance(outcome, Refused):
            race.refused.add(server.start)
            return None
        if isinstance(outcome, Failed):
            if outcome.ended:
                self.guard.record_crash(race.permit, server.start)
            if outcome.sent:
                race.ran.add(server.start)
            else:
                race.refused.add(server.start)
            return None
        race.ran.add(server.start)
        self.guard.record_answer(race.permit, outcome.status)
        if outcome.status < 500 or not race.call.repeatable:
            return outcome
        race.answer = outcome
        return None

    def verdict(self, race: Race, reason: str) -> Answered | NotRun | Unknown:
        """Return the outcome of a call that no server answered well."""
        if race.answer is not None:
            return race.answer
        if race.ran or race.running:
            return Unknown(reason)
        if reason == HELD_BACK_REASON:
            return self.guard.held_back_outcome(race.permit.fingerprint)
        return NotRun(reason, datetime.timedelta(seconds=RETRY_AFTER))

    async def abandon(self, race: Race) -> None:
        """Cut the attempts that are still under way."""
        for task in race.running:
            task.cancel()
        if race.running:
            await asyncio.wait(race.running)
