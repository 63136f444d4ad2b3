"""Gate through which calls pass before they are sent to a contended service."""

import asyncio
import datetime
import math
import random

import attrs

from gypsumshift.clock import Clock
from gypsumshift.metrics import Metrics
from gypsumshift.outcomes import NotRun
from gypsumshift.policy import Policy
from gypsumshift.serving.admissionreport import AdmissionReport
from gypsumshift.serving.admissionrule import AdmissionRule, Decision, Verdict
from gypsumshift.serving.calls import Call
from gypsumshift.serving.demand import DemandTable, retry_mark, share_name
from gypsumshift.serving.directory import BackendServer, Directory
from gypsumshift.serving.fairqueue import Ticket
from gypsumshift.serving.fairshares import REWARD_RANK, ShareKey
from gypsumshift.serving.loadbalancer import LoadBalancer
from gypsumshift.serving.sender import Sender
from gypsumshift.serving.serviceadmission import ServiceAdmission
from gypsumshift.serving.serviceloads import BalancerLoads

__all__ = ["AdmissionGate", "new_admission_gate"]

# Time between two decisions about waiting calls: a fraction of the shortest wait, which
# is a quarter of an objective of 150 ms.
POLL_PERIOD_SECONDS = 0.005
# Reason of a refusal, which callers' logs contain.
REFUSED_REASON = "the service is full"


class AdmissionGate:
    """Lets calls wait until they are sent or refused.

    Parameters
    ----------
    rule : AdmissionRule
    balancer : LoadBalancer
    directory : Directory
    clock : Clock
    metrics : Metrics
    """

    def __init__(
        self,
        rule: AdmissionRule,
        balancer: LoadBalancer,
        directory: Directory,
        clock: Clock,
        metrics: Metrics,
    ):
        self.rule = rule
        self.balancer = balancer
        self.directory = directory
        self.clock = clock
        self.report = AdmissionReport(clock, metrics)
        self.polls: dict[str, asyncio.Task] = {}

    async def enter(self, call: Call, service: str) -> NotRun | None:
        """Return None once a call may be sent, or its refusal.

        A caller that leaves meanwhile cancels the wait.
        """
        ticket = self.new_ticket(call, service)
        decision = self.rule.offer(ticket)
        if decision.verdict == Verdict.SENT:
            if decision.figures is not None:
                self.report.report_sent(ticket, 0.0)
            return None
        if decision.verdict == Verdict.REFUSED:
            return self.refuse(ticket, decision, 0.0)
        return await self.wait(ticket, decision)

    async def wait(self, ticket: Ticket, decision: Decision) -> NotRun | None:
        """Let a call wait for its turn; return its refusal if that comes too late."""
        decided = asyncio.get_running_loop().create_future()
        ticket.on_decision = lambda admitted: (
            None if decided.done() else decided.set_result(admitted)
        )
        self.report.report_deferred(ticket, decision)
        self.start_polling(ticket.service)
        try:
            admitted = await decided
        finally:
            self.rule.withdraw(ticket)
        waited = self.clock.monotonic() - ticket.offered_at
        if admitted:
            self.report.report_sent(ticket, waited)
            return None
        retry_after = self.rule.refuse(ticket)
        refused = attrs.evolve(
            decision, reason="no place became free in time", retry_after=retry_after
        )
        return self.refuse(ticket, refused, waited)

    def refuse(self, ticket: Ticket, decision: Decision, waited: float) -> NotRun:
        """Report a refusal and return it as the outcome of the call."""
        self.report.report_refused(ticket, decision, waited)
        return NotRun(REFUSED_REASON, datetime.timedelta(seconds=decision.retry_after))

    def refused_by_servers(self, call: Call, service: str) -> float | None:
        """Return the seconds until a retry of a call that all servers refused.

        None where the servers report no load.
        """
        if not self.rule.knows_load(service):
            return None
        return self.rule.refuse(self.new_ticket(call, service))

    def record_answer(self, call: Call, server: BackendServer, seconds: float) -> None:
        """Record how long a call took at a server until its answer."""
        report = self.balancer.load_reports.get(server.start)
        if report is not None:
            slowdown = report.expected_slowdown(self.clock.monotonic())
            key = self.share_key(call)
            self.rule.record_answer(server.service, key, seconds, slowdown)

    def start_polling(self, service: str) -> None:
        """Decide about waiting calls of a service as long as there are any."""
        if service not in self.polls:
            task = asyncio.create_task(self.poll(service))
            self.polls[service] = task
            task.add_done_callback(lambda _: self.polls.pop(service, None))

    async def poll(self, service: str) -> None:
        """Decide about waiting calls of a service until none waits."""
        while self.rule.poll(service):
            await self.clock.sleep(POLL_PERIOD_SECONDS)

    def new_ticket(self, call: Call, service: str) -> Ticket:
        """Return the ticket of a call."""
        objective = call.route.objective
        return Ticket(
            call.id,
            service,
            self.share_key(call),
            retry_mark(call.fingerprint),
            call.deadline,
            objective.total_seconds() if objective else math.inf,
        )

    def share_key(self, call: Call) -> ShareKey:
        """Return whose share a call uses."""
        if call.reward_for is not None:
            return ShareKey(REWARD_RANK, share_name(call.reward_for))
        name = call.grant.workspace
        workspace = self.directory.routes.workspaces.by_name.get(name)
        priority = workspace.priority if workspace else None
        if priority is None:
            priority = call.route.priority
        return ShareKey(min(priority, REWARD_RANK - 1), share_name(name))


def new_admission_gate(
    sender: Sender, demand: DemandTable, chance: random.Random, policy: Policy
) -> AdmissionGate | None:
    """Return the gate of a process; None if the policy switches admission off."""
    if not policy.service_admission:
        return None
    loads = BalancerLoads(sender.balancer, sender.directory)
    rule = ServiceAdmission(loads, demand, sender.clock, chance)
    return AdmissionGate(
        rule, sender.balancer, sender.directory, sender.clock, sender.metrics
    )
