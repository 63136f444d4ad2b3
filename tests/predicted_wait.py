"""Admission by the predicted wait from the servers' reports alone, for comparison.

A process refuses a call if the calls that the servers hold, by their last reports,
would make it miss its objective. It knows nothing of workspaces, nor of the calls of
other processes.
"""

from gypsumshift.serving.admissionrule import AdmissionRule, Decision, Verdict
from gypsumshift.serving.retryschedule import RetrySchedule
from gypsumshift.serving.serviceadmission import NEAR_FULL_UTILIZATION
from gypsumshift.serving.servicetimes import ServiceTimes


class PredictedWaitAdmission(AdmissionRule):
    """Refuses calls whose predicted answer would come after their objective.

    Parameters
    ----------
    loads : LoadSource
    clock : Clock
    chance : random.Random
    """

    def __init__(self, loads, clock, chance):
        self.loads = loads
        self.clock = clock
        self.chance = chance
        self.times = ServiceTimes()
        self.schedule = RetrySchedule(clock, chance)

    def offer(self, ticket):
        state = self.loads.state(ticket.service)
        if state is None or not state.places:
            return Decision(Verdict.SENT)
        usual = self.times.usual(False, ticket.objective)
        answer_after = usual * (state.waiting + state.slots) / state.places
        if answer_after <= ticket.objective:
            return Decision(Verdict.SENT)
        reason = "the predicted wait is too long"
        return Decision(Verdict.REFUSED, reason, self.refuse(ticket))

    def poll(self, service):
        return 0

    def withdraw(self, ticket):
        pass

    def knows_load(self, service):
        return self.loads.state(service) is not None

    def refuse(self, ticket):
        state = self.loads.state(ticket.service)
        places = state.places if state else 1.0
        left = ticket.deadline - self.clock.monotonic()
        usual = self.times.usual(False, ticket.objective)
        return self.schedule.book(places / usual, left)

    def record_answer(self, service, key, seconds, slowdown):
        state = self.loads.state(service)
        if state is None or state.utilization < NEAR_FULL_UTILIZATION:
            self.times.record(False, seconds, slowdown)


def predicted_wait(gateway):
    """Return the admission of a gateway by predicted wait alone."""
    clock = gateway.world.clock
    return PredictedWaitAdmission(gateway.loads, clock, gateway.chance)
