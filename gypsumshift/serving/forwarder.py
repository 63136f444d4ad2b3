"""Forwarding of one request to backend servers, with retries and hedging.

A request that may be repeated is retried after a failure, and is sent to a second
server if the first does not answer in time. A request that may not be repeated is
retried only if a server states that it has not run it. Requests that ended servers, in
this call or in others, are held back by the `CrashGuard`.
"""

import asyncio
import datetime

from gypsumshift import logs
from gypsumshift.outcomes import Answered, HeldBack, NotRun, Unknown
from gypsumshift.policy import DEFAULT_POLICY, Policy
from gypsumshift.residency import NO_HOME_SERVER
from gypsumshift.roundtrips import EXCHANGE_ROUND_TRIPS
from gypsumshift.serving.admissiongate import AdmissionGate
from gypsumshift.serving.authorization import KEY_NOT_CONFIRMED
from gypsumshift.serving.calls import (
    AttemptOutcome,
    AttemptProgress,
    Call,
    Failed,
    Refused,
)
from gypsumshift.serving.crashguard import HELD_BACK_REASON, CrashGuard, Permit
from gypsumshift.serving.directory import BackendServer
from gypsumshift.serving.forwardstate import ForwardState
from gypsumshift.serving.forwardwaits import HEDGE_SHARE, AttemptWaits
from gypsumshift.serving.latecrashes import LateCrashDetector
from gypsumshift.serving.reachprobes import new_prober
from gypsumshift.serving.sender import Sender

__all__ = [
    "ALL_EVACUATED",
    "EVACUATED_RETRY_SECONDS",
    "HEDGE_SHARE",
    "NO_ROUTE",
    "Forwarder",
]

# Pause after every server refused a request; multiplied by the number of the round.
FULL_PAUSE_SECONDS = 0.05
# Rounds in which all servers may refuse before the caller is asked to retry later.
MAX_FULL_ROUNDS = 3
# Delay after which a caller may retry: a few service times.
RETRY_AFTER_SECONDS = 0.25
# The same while all servers of a service are in evacuated zones: operators remove an
# evacuation after seconds to minutes.
EVACUATED_RETRY_SECONDS = 1.0
ALL_EVACUATED = "all servers of the service are in evacuated availability zones"
UNREACHABLE_REASON = "no server of the service can be reached"
DEADLINE_PASSED = "the deadline passed"
NO_ROUTE = "the configuration has no route for the request any more"
# Part of the time before the deadline that is left for the outcome to reach the caller.
OUTCOME_MARGIN_SECONDS = 0.02

log = logs.logger("forwarder")


class Forwarder:
    """Forwards calls to the backend servers of their services.

    Parameters
    ----------
    sender : Sender
    guard : CrashGuard
    policy : Policy
    gate : AdmissionGate or None
        Decides which calls are sent when a service is too small for all; None sends all
        calls.
    """

    def __init__(
        self,
        sender: Sender,
        guard: CrashGuard,
        policy: Policy = DEFAULT_POLICY,
        gate: AdmissionGate | None = None,
    ):
        self.policy = policy
        self.gate = gate
        self.sender = sender
        self.guard = guard
        self.directory = sender.directory
        self.balancer = sender.balancer
        self.clock = sender.clock
        self.metrics = sender.metrics
        self.waits = AttemptWaits(sender, lambda: self.policy)
        self.trial_tasks: set[asyncio.Task] = set()
        self.prober = new_prober(
            sender.fetcher,
            sender.reachability,
            self.directory,
            self.clock,
            self.balancer.chance,
        )
        self.late_crashes = LateCrashDetector(
            guard, self.balancer, self.directory, sender.fetcher, self.clock
        )

    async def forward(self, call: Call) -> Answered | NotRun | Unknown:
        """Forward a call and return its outcome before the call's deadline."""
        permit = await self.guard.admit(call.fingerprint, call.id, call.deferred)
        if isinstance(permit, HeldBack):
            return permit
        if not permit.trial:
            return await self.forward_permitted(permit, call)
        # Trials are rare, so a trial runs to its end even if the caller disconnects.
        trial = asyncio.create_task(self.forward_permitted(permit, call))
        self.trial_tasks.add(trial)
        trial.add_done_callback(self.trial_tasks.discard)
        return await asyncio.shield(trial)

    async def forward_permitted(
        self, permit: Permit, call: Call
    ) -> Answered | NotRun | Unknown:
        """Forward a call that the guard permits, and return its outcome."""
        state = ForwardState(call, self.directory.ready_servers_for(call), permit)
        started = self.clock.monotonic()
        outcome = None
        try:
            async with self.sender.calls.limit(call):
                outcome = await self.enter(state) or await self.run_attempts(state)
        except TimeoutError:
            outcome = self.final_outcome(state, DEADLINE_PASSED)
        finally:
            ran = bool(state.ran_on or state.running)
            cancelled = list(state.running.values())
            await self.cancel_attempts(state)
            self.guard.release_permit(permit, ran)
            if not isinstance(outcome, Answered):
                self.late_crashes.check_servers(permit, cancelled)
        if isinstance(outcome, Answered):
            self.sender.calls.record_answer(call)
        took = self.clock.monotonic() - started
        service = self.service_of(call)
        outcome_name = type(outcome).__name__
        self.metrics.record_duration(
            "request_seconds", took, service=service, outcome=outcome_name
        )
        if not isinstance(outcome, Answered) and not state.refused_at_gate:
            logs.event(
                log,
                "Request not served by any backend server.",
                request=call.id,
                fingerprint=call.fingerprint,
                route=call.route.name,
                outcome=outcome_name,
                reason=outcome.reason,
                servers=len(state.servers),
                ran_on=sorted(start.id for start in state.ran_on),
                refused_by=sorted(start.id for start in state.refused_by),
                left_s=round(call.deadline - self.clock.monotonic(), 3),
            )
        return outcome

    def service_of(self, call: Call) -> str:
        """Return the service to which the configuration in force leads a call."""
        return call.service_by(self.directory.routes)

    async def enter(self, state: ForwardState) -> NotRun | None:
        """Return None once the first attempt may start, or the call's refusal.

        A call whose route moves while it waits enters the other service.
        """
        while True:
            service = self.service_of(state.call)
            refusal = await self.enter_service(state, service)
            if self.service_of(state.call) == service:
                return refusal

    async def enter_service(self, state: ForwardState, service: str) -> NotRun | None:
        """Return None once a call may be sent to a service, or its refusal."""
        if not state.call.has_route:
            return self.final_outcome(state, NO_ROUTE)
        if self.sender.residency.lacks_home_server(state.call):
            return self.refuse_without_home(state)
        state.servers = self.directory.ready_servers(service)
        if self.directory.is_service_evacuated(service):
            pause = datetime.timedelta(seconds=EVACUATED_RETRY_SECONDS)
            return NotRun(ALL_EVACUATED, pause)
        if self.prober.is_down(service, state.servers):
            state.refused_at_gate = True
            return self.refuse_unreachable(state)
        if self.gate is None:
            return None
        refusal = await self.gate.enter(state.call, service)
        state.refused_at_gate = refusal is not None
        return refusal

    def refuse_without_home(self, state: ForwardState) -> NotRun:
        """Return the refusal of a call none of whose homes has a ready server."""
        self.metrics.count("residency_refusals", route=state.call.route.name)
        return self.final_outcome(state, NO_HOME_SERVER)

    async def run_attempts(self, state: ForwardState) -> Answered | NotRun | Unknown:
        """Start attempts until one settles the call or no more may be made."""
        hedge = self.waits.hedge_delay(state.call)
        while True:
            left = state.call.deadline - OUTCOME_MARGIN_SECONDS - self.clock.monotonic()
            if left <= 0:
                return self.final_outcome(state, DEADLINE_PASSED)
            # The route may have moved, and servers may have left.
            state.servers = self.directory.ready_servers_for(state.call)
            if self.is_hopeless(state):
                return self.refuse_unreachable(state)
            started = self.start_attempt(state)
            if not state.running:
                blocked = self.blocked_reason(state)
                if blocked == HELD_BACK_REASON and await self.wait_for_runs(
                    state, left
                ):
                    continue
                if blocked:
                    return self.final_outcome(state, blocked)
                if not await self.next_round(state, left):
                    return self.final_outcome(state, self.not_accepted_reason(state))
                continue
            if started is None:
                done = await self.waits.wait_for_running(state, left)
            else:
                delay = hedge + EXCHANGE_ROUND_TRIPS * started.round_trip_s
                due = min(left, delay)
                done = await self.waits.wait_for_hedge(state, started, due)
            for task in done:
                server = state.running.pop(task)
                state.progress.pop(task)
                answer = self.handle_outcome(state, server, task.result())
                self.guard.end_run(state.permit, server.start)
                if answer is not None:
                    return answer

    def is_hopeless(self, state: ForwardState) -> bool:
        """Return whether nothing was sent and no server can be reached any more."""
        if state.error_answer is not None or state.may_have_run:
            return False
        return self.prober.is_down(self.service_of(state.call), state.servers)

    def refuse_unreachable(self, state: ForwardState) -> NotRun:
        """Return the refusal of a call whose service cannot be reached."""
        service = self.service_of(state.call)
        left = state.call.deadline - self.clock.monotonic()
        seconds = self.sender.reachability.refuse(service, left)
        self.metrics.count("refused_unreachable", service=service)
        return NotRun(UNREACHABLE_REASON, datetime.timedelta(seconds=seconds))

    def blocked_reason(self, state: ForwardState) -> str:
        """Return why no more attempts may be made; empty if they may."""
        if not state.call.has_route:
            return NO_ROUTE
        if not state.call.grant.is_valid:
            return KEY_NOT_CONFIRMED
        if self.sender.residency.lacks_home_server(state.call):
            return NO_HOME_SERVER
        allowed = self.guard.may_send(state.permit, bool(state.ran_on))
        return "" if allowed else HELD_BACK_REASON

    async def wait_for_runs(self, state: ForwardState, left: float) -> bool:
        """Wait for other runs of the request; return whether it may be sent now."""
        return not state.exhausted and await self.guard.wait_until_sendable(
            state.permit, bool(state.ran_on), left
        )

    def not_accepted_reason(self, state: ForwardState) -> str:
        """Return why no server took a call in the last round."""
        size = len(state.call.body)
        has_room = self.balancer.byte_limits.has_room
        if any(not has_room(server, size) for server in state.servers):
            return (
                "no backend server accepted the request; at least one crashed under "
                "load and has as many bytes outstanding as it may"
            )
        return "no backend server accepted the request"

    def start_attempt(self, state: ForwardState) -> AttemptProgress | None:
        """Start another attempt and return its progress; None if none is allowed."""
        if state.exhausted or self.blocked_reason(state):
            return None
        if state.call.holding.waiting:
            # An answer has arrived and waits for memory; a second one would do so, too.
            return None
        size = len(state.call.body)
        servers = self.sender.residency.permitted(state.call, state.servers)
        server = self.balancer.choose(servers, state.excluded, size)
        if server is None:
            return None
        self.guard.begin_run(state.permit, server.start)
        progress = self.sender.new_progress(server)
        task = asyncio.create_task(self.attempt(state.call, server, progress))
        state.running[task] = server
        state.progress[task] = progress
        return progress

    async def attempt(
        self, call: Call, server: BackendServer, progress: AttemptProgress
    ) -> AttemptOutcome:
        """Send a call to one server; report the time of its answer to the gate."""
        started = self.clock.monotonic()
        outcome = await self.sender.attempt(call, server, progress)
        answered = isinstance(outcome, Answered) and outcome.status < 500
        if self.gate is not None and answered:
            took = self.sender.service_time(progress, started)
            self.gate.record_answer(call, server, took)
        return outcome

    async def next_round(self, state: ForwardState, left: float) -> bool:
        """Wait before the next round; return False if no further round is allowed."""
        service = self.service_of(state.call)
        if state.exhausted or state.rounds >= MAX_FULL_ROUNDS:
            return False
        if self.directory.is_service_evacuated(service):
            return False
        state.rounds += 1
        state.refused_by.clear()
        await asyncio.sleep(min(FULL_PAUSE_SECONDS * state.rounds, left))
        return True

    def handle_outcome(
        self, state: ForwardState, server, outcome: AttemptOutcome
    ) -> Answered | None:
        """Record an attempt's outcome; return the answer if it settles the call."""
        if isinstance(outcome, Refused):
            state.refused_by.add(server.start)
            return None
        if isinstance(outcome, Failed):
            if outcome.ended:
                self.guard.record_crash(state.permit, server.start)
            if outcome.sent:
                state.ran_on.add(server.start)
            else:
                state.refused_by.add(server.start)
            return None
        state.ran_on.add(server.start)
        self.guard.record_answer(state.permit, outcome.status)
        if outcome.status < 500 or not state.call.repeatable:
            return outcome
        state.error_answer = outcome
        return None

    def final_outcome(
        self, state: ForwardState, reason: str
    ) -> Answered | NotRun | Unknown:
        """Return the outcome of a call that no server answered successfully."""
        if state.error_answer is not None:
            return state.error_answer
        if state.may_have_run:
            return Unknown(reason)
        if reason == HELD_BACK_REASON:
            return self.guard.held_back_outcome(state.permit.fingerprint)
        seconds = self.retry_after(state) or RETRY_AFTER_SECONDS
        return NotRun(reason, datetime.timedelta(seconds=seconds))

    def retry_after(self, state: ForwardState) -> float | None:
        """Return the seconds until a retry that the gate schedules; None if none."""
        if self.gate is None or not state.rounds:
            return None
        service = self.service_of(state.call)
        return self.gate.refused_by_servers(state.call, service)

    async def cancel_attempts(self, state: ForwardState) -> None:
        """Cancel the attempts that are still running, and wait for their end."""
        for task in state.running:
            task.cancel()
        if state.running:
            await asyncio.wait(state.running)
        for server in state.running.values():
            self.guard.end_run(state.permit, server.start)
