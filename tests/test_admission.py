"""Admission keeps its limits, decides once per request and starves no workspace."""

import collections

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gypsumshift.admission import FairAdmission, FifoAdmission, Ticket
from gypsumshift.concurrencylimit import AdaptiveLimit, FixedLimit
from gypsumshift.generated.messages import RequestClass

from . import builders

LIMIT, QUEUE = 4, 5


class AdmissionMachine(RuleBasedStateMachine):
    """Requests arrive, run, are withdrawn and expire, in any order."""

    admission_class = FairAdmission

    def __init__(self):
        super().__init__()
        self.clock = builders.ManualClock()
        self.admission = self.admission_class(FixedLimit(LIMIT), QUEUE, self.clock)
        self.decided = collections.Counter()
        self.running, self.waiting = [], []

    def decide(self, ticket, admitted):
        self.decided[id(ticket)] += 1
        if ticket in self.waiting:
            self.waiting.remove(ticket)
        if admitted:
            assert ticket.deadline > self.clock.monotonic()
            self.running.append(ticket)

    @rule(
        request_class=st.sampled_from([1, 2, 3]),
        workspace=st.sampled_from(["a", "b", "c"]),
        seconds=st.sampled_from([0.5, 5.0, 50.0]),
        urgency=st.integers(0, 7),
    )
    def offer(self, request_class, workspace, seconds, urgency):
        deadline = self.clock.monotonic() + seconds
        ticket = Ticket(workspace, request_class, deadline, urgency=urgency)
        ticket.on_decision = lambda admitted: self.decide(ticket, admitted)
        self.waiting.append(ticket)
        if self.admission.offer(ticket):
            self.waiting.remove(ticket)
            assert not self.decided[id(ticket)]
        self.keep = getattr(self, "keep", []) + [ticket]

    @rule(pick=st.integers(0, 9), ok=st.booleans())
    def release(self, pick, ok):
        if self.running:
            ticket = self.running.pop(pick % len(self.running))
            self.admission.release(ticket, ok)

    @rule(pick=st.integers(0, 9))
    def withdraw(self, pick):
        if self.waiting:
            ticket = self.waiting.pop(pick % len(self.waiting))
            self.admission.withdraw(ticket)

    @rule(seconds=st.sampled_from([0.1, 1.0, 20.0]))
    def pass_time(self, seconds):
        self.clock.advance(seconds)

    @invariant()
    def counts_match_tickets(self):
        admission = self.admission
        assert admission.running == len(self.running) <= LIMIT
        assert admission.waiting == len(self.waiting) <= QUEUE + 1
        assert all(count == 1 for count in self.decided.values())
        if self.admission_class is FairAdmission:
            waits = collections.Counter(t.request_class for t in self.waiting)
            assert +admission.waiting_by_class == +waits
            assert not any(t.request_class == 1 for t in self.waiting) or (
                admission.running == LIMIT
            )


TestFair = AdmissionMachine.TestCase


class FifoMachine(AdmissionMachine):
    admission_class = FifoAdmission


TestFifo = FifoMachine.TestCase


def offer_tickets(admission, order, count, **fields):
    """Offer tickets that append themselves to ``order`` when admitted."""
    tickets = []
    for _ in range(count):
        ticket = Ticket(**({"workspace": "w", "deadline": 1e9} | fields))
        ticket.on_decision = lambda admitted, t=ticket: (
            order.append(t) if admitted else None
        )
        admission.offer(ticket)
        tickets.append(ticket)
    return tickets


def finish_running(admission, order, count):
    """Finish running requests one by one; return those admitted meanwhile."""
    start = len(order)
    for number in range(count):
        admission.release(order[number], True)
    return order[start:]


def new_admission(limit=1, queue=1000):
    return FairAdmission(FixedLimit(limit), queue, builders.ManualClock())


def test_clients_run_before_internal_requests_and_those_before_samples():
    admission, order = new_admission(), []
    offer_tickets(admission, order, 1, request_class=RequestClass.SAMPLE)
    for request_class in (3, 2, 1):
        offer_tickets(admission, order, 2, request_class=request_class)
    classes = [t.request_class for t in finish_running(admission, order, 6)]
    assert classes == [1, 1, 2, 2, 3, 3]


def test_many_requests_of_one_workspace_do_not_starve_another():
    admission, order = new_admission(), []
    offer_tickets(admission, order, 100, request_class=1, workspace="flood")
    offer_tickets(admission, order, 5, request_class=1, workspace="quiet")
    first = [t.workspace for t in finish_running(admission, order, 12)]
    assert first.count("quiet") == 5


def test_workspaces_run_in_proportion_to_their_shares():
    admission, order = new_admission(), []
    offer_tickets(admission, order, 1, request_class=1, workspace="x")
    offer_tickets(admission, order, 60, request_class=1, workspace="heavy", share=30)
    offer_tickets(admission, order, 60, request_class=1, workspace="light", share=10)
    first = [t.workspace for t in finish_running(admission, order, 40)]
    assert first.count("heavy") == pytest.approx(30, abs=2)


def test_the_more_urgent_request_runs_first_within_a_workspace():
    admission, order = new_admission(), []
    offer_tickets(admission, order, 3, request_class=3, urgency=5)
    offer_tickets(admission, order, 1, request_class=3, urgency=2)
    assert finish_running(admission, order, 1)[0].urgency == 2


def test_slots_are_reserved_only_while_clients_were_seen_recently():
    admission, order = new_admission(limit=8), []
    offer_tickets(admission, order, 1, request_class=1)
    offer_tickets(admission, order, 20, request_class=3)
    assert admission.running == 6 + 1
    admission.clock.advance(60)
    admission.admit_waiting()
    assert admission.running == 8


def test_a_full_queue_drops_a_sample_for_a_client():
    admission, order = new_admission(queue=3), []
    offer_tickets(admission, order, 4, request_class=3)
    refused = []
    for ticket in [t for t in admission.queues[3, "w"]]:
        ticket[2].on_decision = lambda admitted: refused.append(admitted)
    offer_tickets(admission, order, 1, request_class=1)
    assert refused == [False] and admission.waiting == 3


def test_a_request_that_cannot_start_before_its_deadline_is_refused_at_once():
    admission, order = new_admission(), []
    offer_tickets(admission, order, 3, request_class=1)
    admission.average_duration = 10.0
    ticket = Ticket("w", 1, admission.clock.monotonic() + 5)
    assert admission.offer(ticket) > 0
    assert admission.waiting == 2


def test_an_adaptive_limit_falls_when_requests_slow_down_and_recovers():
    limit = AdaptiveLimit(16)
    for _ in range(200):
        limit.record_request(0.1, 16, True)
    for _ in range(1000):
        limit.record_request(0.4, 16, True)
    low = limit.value
    for _ in range(2000):
        limit.record_request(0.1, limit.value, True)
    assert low < 12 and limit.value == 16
