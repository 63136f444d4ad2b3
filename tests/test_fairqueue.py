"""Order of the calls that wait at a gateway for a service."""

from gypsumshift.serving.fairqueue import FairQueue
from tests.admission_builders import ticket
from tests.builders import ManualClock


def drain(queue):
    """Remove all calls; return their requests in order."""
    order = []
    while (each := queue.pop()) is not None:
        order.append(each.request)
    return order


def test_calls_go_by_priority_then_retries_then_deadline():
    clock, queue = ManualClock(), FairQueue()
    queue.push(ticket(clock, rank=2, request="low", time_left=0.1))
    queue.push(ticket(clock, request="late", time_left=2.0))
    queue.push(ticket(clock, request="soon", time_left=1.0))
    retry = ticket(clock, request="retry", time_left=3.0)
    retry.is_retry = True
    queue.push(retry)
    assert drain(queue) == ["retry", "soon", "late", "low"]


def test_many_calls_of_one_workspace_do_not_hold_up_another():
    clock, queue = ManualClock(), FairQueue()
    for number in range(20):
        queue.push(ticket(clock, "large", request=f"large{number}"))
    for number in range(3):
        queue.push(ticket(clock, "small", request=f"small{number}"))
    assert sum(name.startswith("small") for name in drain(queue)[:6]) == 3


def test_a_call_that_was_withdrawn_is_not_sent_nor_counted():
    """A place would be spent on a caller that left."""
    clock, queue = ManualClock(), FairQueue()
    gone, here = ticket(clock, request="gone"), ticket(clock, request="here")
    queue.push(gone)
    queue.push(here)
    queue.withdraw(gone)
    queue.withdraw(gone)
    assert len(queue) == 1 and queue.count_ahead_of(here) == 0
    assert drain(queue) == ["here"] and len(queue) == 0
    assert not queue.groups, "entries of withdrawn calls are removed"
