"""Admission of calls to services that are at times too small for all.

Each process decides for its own calls. It divides the capacity of a service, as the
load balancer computes it from the servers' reports, by the demand of all processes
(`demand.py`, `fairshares.py`), and sends that share of its own arrivals. A process
receives few calls, often less than one at a time for a share, so a share is a part of
the arrivals: each arrival adds the share to a credit, and a whole credit sends a call.
Calls without a credit wait for places that the servers report as free, and are refused
as soon as their turn cannot come in time. The module uses no network; the clock, the
random source and the reports are passed in.
"""

import math
import random

from gypsumshift.clock import Clock
from gypsumshift.serving.admissionrule import (
    SENT_UNCONTENDED,
    AdmissionRule,
    Decision,
    LoadSource,
    Verdict,
)
from gypsumshift.serving.capacitycorrection import ServiceState
from gypsumshift.serving.demand import DemandTable
from gypsumshift.serving.fairqueue import Ticket
from gypsumshift.serving.fairshares import REWARD_RANK
from gypsumshift.serving.servicecontrol import ServiceControl

__all__ = ["ServiceAdmission"]

# Demand is reported and shares are computed from this utilization on. A service whose
# servers are mostly free is left alone, and nothing is added to the digests.
NEAR_FULL_UTILIZATION = 0.7
# Below this utilization every call is sent, whatever demand is known: refusing a call
# while most places are free would be wrong, and a queue is far.
FREE_UTILIZATION = 0.5
# Longest wait, as a share of the objective. An answer takes a quarter of the objective,
# so that a call that waited so long is still on time after a retry at another server.
MAX_WAIT_SHARE = 0.25
# Longest wait without an objective, as a share of the time left.
MAX_WAIT_SHARE_OF_TIME_LEFT = 0.1
# Waiting calls of one process and service. More cannot be sent within a wait.
MAX_WAITING = 128


class ServiceAdmission(AdmissionRule):
    """Admission by shares of the demand of all processes.

    Parameters
    ----------
    loads : LoadSource
    demand : DemandTable
    clock : Clock
    chance : random.Random

    Attributes
    ----------
    controls : dict
        `ServiceControl` by service.
    """

    def __init__(
        self,
        loads: LoadSource,
        demand: DemandTable,
        clock: Clock,
        chance: random.Random,
    ):
        self.loads = loads
        self.demand = demand
        self.clock = clock
        self.chance = chance
        self.controls: dict[str, ServiceControl] = {}

    def control(self, service: str) -> ServiceControl:
        """Return the control of a service, created if missing."""
        if service not in self.controls:
            self.controls[service] = ServiceControl(
                service, self.demand, self.clock, self.chance
            )
        return self.controls[service]

    def offer(self, ticket: Ticket) -> Decision:
        """Decide about a new call; a waiting one is decided later by `poll`."""
        control = self.control(ticket.service)
        ticket.offered_at = self.clock.monotonic()
        self.count_arrival(control, ticket)
        state = self.contended_state(ticket.service)
        if state is None:
            if not len(control.queue):
                control.reset()
            return SENT_UNCONTENDED
        control.update(state, ticket.key)
        ticket.is_retry = self.demand.take_retry(ticket.mark)
        if control.take_credit(ticket):
            figures = control.figures(ticket, 0.0)
            return Decision(Verdict.SENT, "within the share", figures=figures)
        return self.defer(control, ticket)

    def count_arrival(self, control: ServiceControl, ticket: Ticket) -> None:
        """Count a call as demand."""
        seconds = control.times.usual(ticket.key.rank == REWARD_RANK, ticket.objective)
        if self.demand.record_arrival(ticket.service, ticket.key, seconds):
            # The shares were computed without the surge.
            control.updated_at = -math.inf
        control.count_arrival()

    def contended_state(self, service: str) -> ServiceState | None:
        """Return the state of a service that is contended; None if it is not.

        It is not where no server reports its load: then the servers' refusals decide.
        """
        utilization = self.loads.utilization(service)
        if utilization is None:
            return None
        if utilization >= NEAR_FULL_UTILIZATION:
            self.demand.record_full(service)
        if utilization < FREE_UTILIZATION or not self.demand.is_contended(service):
            return None
        return self.loads.state(service)

    def defer(self, control: ServiceControl, ticket: Ticket) -> Decision:
        """Let a call wait for free places, or refuse it if its turn comes too late."""
        now = self.clock.monotonic()
        control.refill_lent()
        ticket.give_up_at = now + self.longest_wait(control, ticket)
        wait = control.expected_wait(ticket)
        figures = control.figures(ticket, wait)
        if now + wait > ticket.give_up_at or len(control.queue) >= MAX_WAITING:
            reason = "its turn would come too late"
            return Decision(Verdict.REFUSED, reason, self.refuse(ticket), figures)
        control.queue.push(ticket)
        self.demand.own_demand(ticket.service).waiting = len(control.queue)
        return Decision(Verdict.WAITS, "no free place yet", figures=figures)

    def longest_wait(self, control: ServiceControl, ticket: Ticket) -> float:
        """Return the seconds for which a call may wait."""
        time_left = ticket.deadline - self.clock.monotonic()
        usual = control.times.usual(ticket.key.rank == REWARD_RANK, ticket.objective)
        if math.isinf(ticket.objective):
            useful = MAX_WAIT_SHARE_OF_TIME_LEFT * time_left
        else:
            useful = MAX_WAIT_SHARE * ticket.objective
        return max(0.0, min(useful, time_left - usual))

    def poll(self, service: str) -> int:
        """Decide about waiting calls as far as possible; return how many still wait."""
        control = self.control(service)
        state = self.contended_state(service)
        if state is None:
            control.lent = math.inf
        else:
            control.update(state)
            control.refill_lent()
        while control.lent >= 1.0 and len(control.queue):
            control.lent -= 1.0
            control.queue.pop().on_decision(True)
        if state is None:
            control.reset()
        self.refuse_late(control)
        self.demand.own_demand(service).waiting = len(control.queue)
        return len(control.queue)

    def refuse_late(self, control: ServiceControl) -> None:
        """Refuse waiting calls whose turn cannot come in time any more."""
        now = self.clock.monotonic()
        for ticket in list(control.queue):
            if now + control.expected_wait(ticket) > ticket.give_up_at:
                control.queue.withdraw(ticket)
                ticket.on_decision(False)

    def withdraw(self, ticket: Ticket) -> None:
        """Cancel a waiting call whose caller left."""
        control = self.control(ticket.service)
        control.queue.withdraw(ticket)
        self.demand.own_demand(ticket.service).waiting = len(control.queue)

    def knows_load(self, service: str) -> bool:
        """Return whether servers have lately reported the load of a service."""
        return self.loads.utilization(service) is not None

    def refuse(self, ticket: Ticket) -> float:
        """Register a refusal; return the seconds until a retry."""
        now = self.clock.monotonic()
        control = self.control(ticket.service)
        state = self.loads.state(ticket.service)
        if state is not None:
            control.update(state)
        seconds = control.retry_after(ticket.deadline - now)
        self.demand.expect_retry(ticket.mark, now + seconds)
        return seconds

    def record_answer(self, service, key, seconds, slowdown):
        """Record the time to an answer, unless calls may wait at the servers.

        Waiting at a server is no work, and would be counted as such.
        """
        state = self.loads.state_without_places(service)
        if state is None or (
            state.utilization < NEAR_FULL_UTILIZATION and not state.waiting
        ):
            times = self.control(service).times
            times.record(key.rank == REWARD_RANK, seconds, slowdown)
