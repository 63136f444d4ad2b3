"""Admission control: which requests to a backend server run, wait or are refused.

Request classes have strict priority: client, internal, sample. Within a class the
workspaces share the slots by weight (start-time fair queueing), and within a workspace
the more urgent request goes first. While there are client requests, the other classes
leave as many slots free as client requests usually occupy.
"""

import abc
import collections
import heapq
import itertools
import math
from collections.abc import Callable

import attrs

from gypsumshift.clock import Clock
from gypsumshift.concurrencylimit import ConcurrencyLimit
from gypsumshift.fairqueueing import FairTags
from gypsumshift.generated.messages import RequestClass

__all__ = ["Admission", "FairAdmission", "FifoAdmission", "Ticket"]

# By priority, highest first.
CLASSES = (RequestClass.CLIENT, RequestClass.INTERNAL, RequestClass.SAMPLE)
# Least share of the slots that is kept for clients.
CLIENT_RESERVE_SHARE = 0.25
# Slots are kept for clients for this long after their last request.
CLIENT_ACTIVITY_WINDOW_S = 10.0
# Weights of the newest value in the moving averages.
CLIENT_AVERAGE_WEIGHT = 0.05
DURATION_AVERAGE_WEIGHT = 0.1
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 30.0


@attrs.define(eq=False)
class Ticket:
    """One request that asks for a slot of the backend server.

    Attributes
    ----------
    workspace : str
    request_class : RequestClass
    deadline : float
        By the monotonic clock, in seconds.
    share : int
        Weight of the workspace.
    urgency : int
        Lower values go first within the workspace.
    on_decision : callable
        Called once, with True when the request is admitted or False when it is
        refused after `Admission.offer` accepted it.
    offered_at, admitted_at : float
        By the monotonic clock, in seconds; 0 before.
    waiting : bool
    """

    workspace: str
    request_class: int
    deadline: float
    share: int = 10
    urgency: int = 3
    on_decision: Callable[[bool], None] = lambda admitted: None
    offered_at: float = 0.0
    admitted_at: float = 0.0
    waiting: bool = False


class Admission(abc.ABC):
    """Admits, queues and refuses requests; subclasses decide the order.

    Parameters
    ----------
    limit : ConcurrencyLimit
        Limit on the requests that run at once.
    max_waiting : int
        Limit on the requests that wait while no slot is free.
    clock : Clock

    Attributes
    ----------
    running, waiting : int
        Requests that run and wait now.
    running_by_class, waiting_by_class : Counter
        The same by request class; waiting only where a subclass counts it.
    average_duration : float
        Moving average of the seconds that an answered request ran.
    refused_count : int
    """

    def __init__(self, limit: ConcurrencyLimit, max_waiting: int, clock: Clock):
        self.limit = limit
        self.max_waiting = max_waiting
        self.clock = clock
        self.running = 0
        self.waiting = 0
        self.running_by_class = collections.Counter()
        self.waiting_by_class = collections.Counter()
        self.average_duration = 0.0
        self.refused_count = 0

    @abc.abstractmethod
    def push(self, ticket: Ticket) -> None:
        """Add a waiting ticket to the queue."""

    @abc.abstractmethod
    def pop(self) -> Ticket | None:
        """Remove and return the next ticket that may run now; None if there is none."""

    @abc.abstractmethod
    def evict_for(self, ticket: Ticket) -> Ticket | None:
        """Remove and return a waiting ticket that a full queue drops for ``ticket``."""

    @abc.abstractmethod
    def count_ahead_of(self, ticket: Ticket) -> int:
        """Return the number of waiting tickets that would run before this one."""

    def has_free_slot(self, request_class: int) -> bool:
        """Return whether a request of a class would run at once."""
        return self.running < self.limit.value and not self.waiting

    def offer(self, ticket: Ticket) -> float:
        """Admit or queue a request; if refused, return the seconds until a retry.

        It is refused if it could not start before its deadline, or if the queue is
        full and none of the waiting tickets has to make room for it.

        Returns
        -------
        float
            0 if the request was admitted or queued.
        """
        now = self.clock.monotonic()
        ticket.offered_at = now
        wait = self.estimate_wait(ticket)
        if now + wait > ticket.deadline:
            return self.count_refusal(wait)
        if self.waiting >= self.max_waiting and self.running >= self.limit.value:
            victim = self.evict_for(ticket)
            if victim is None:
                return self.count_refusal(wait)
            self.waiting -= 1
            victim.waiting = False
            self.refused_count += 1
            victim.on_decision(False)
        ticket.waiting = True
        self.waiting += 1
        self.push(ticket)
        self.admit_waiting()
        return 0.0

    def count_refusal(self, wait: float) -> float:
        """Count a refusal; return the seconds until a retry, within bounds."""
        self.refused_count += 1
        return min(max(wait, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)

    def estimate_wait(self, ticket: Ticket) -> float:
        """Return the seconds that a ticket would wait, by the average duration."""
        free = self.limit.value - self.running
        ahead = self.count_ahead_of(ticket)
        if free > ahead:
            return 0.0
        return self.average_duration * (ahead + 1 - max(free, 0)) / self.limit.value

    def admit_waiting(self) -> None:
        """Admit waiting tickets while slots are free; refuse those that expired."""
        now = self.clock.monotonic()
        while self.running < self.limit.value and (ticket := self.pop()):
            self.waiting -= 1
            ticket.waiting = False
            if ticket.deadline <= now:
                self.refused_count += 1
                ticket.on_decision(False)
                continue
            self.running += 1
            self.running_by_class[ticket.request_class] += 1
            ticket.admitted_at = now
            ticket.on_decision(True)

    def withdraw(self, ticket: Ticket) -> None:
        """Cancel a waiting ticket whose caller gave up."""
        if ticket.waiting:
            ticket.waiting = False
            self.waiting -= 1

    def release(self, ticket: Ticket, answered: bool) -> None:
        """Free the slot of a ticket that has run, and admit waiting ones.

        Parameters
        ----------
        ticket : Ticket
        answered : bool
            Whether the request was answered; only then its duration counts.
        """
        duration_s = self.clock.monotonic() - ticket.admitted_at
        self.running -= 1
        self.running_by_class[ticket.request_class] -= 1
        if answered:
            weight = DURATION_AVERAGE_WEIGHT if self.average_duration else 1.0
            self.average_duration += weight * (duration_s - self.average_duration)
        self.limit.record_request(duration_s, self.running + 1, answered)
        self.admit_waiting()


class FairAdmission(Admission):
    """Strict priority of classes, weighted shares of workspaces, then urgency.

    The shares are those of start-time fair queueing (`fairqueueing.py`).
    """

    def __init__(self, limit: ConcurrencyLimit, max_waiting: int, clock: Clock):
        super().__init__(limit, max_waiting, clock)
        self.queues: dict[tuple[int, str], list] = {}
        self.tags = FairTags()
        self.sequence = itertools.count()
        self.last_client_at = float("-inf")
        self.average_clients = 0.0

    def push(self, ticket):
        """Add a waiting ticket to the queue."""
        if ticket.request_class == RequestClass.CLIENT:
            self.last_client_at = self.clock.monotonic()
            present = self.running_by_class[RequestClass.CLIENT]
            present += self.waiting_by_class[RequestClass.CLIENT]
            self.average_clients += CLIENT_AVERAGE_WEIGHT * (
                present - self.average_clients
            )
        key = (ticket.request_class, ticket.workspace)
        entry = (ticket.urgency, next(self.sequence), ticket)
        heapq.heappush(self.queues.setdefault(key, []), entry)
        self.waiting_by_class[ticket.request_class] += 1

    def withdraw(self, ticket):
        """Cancel a waiting ticket whose caller gave up."""
        if ticket.waiting:
            self.waiting_by_class[ticket.request_class] -= 1
        super().withdraw(ticket)

    def pop(self):
        """Remove and return the next ticket that may run now; None if there is none."""
        for request_class in CLASSES:
            if not self.waiting_by_class[request_class] or not self.class_may_run(
                request_class
            ):
                continue
            ticket = self.pop_class(request_class)
            if ticket is not None:
                return ticket
        return None

    def has_free_slot(self, request_class):
        """Return whether a request of a class would run at once."""
        waiting = sum(
            n for other, n in self.waiting_by_class.items() if other <= request_class
        )
        free = self.running < self.limit.value and not waiting
        return free and self.class_may_run(request_class)

    def class_may_run(self, request_class: int) -> bool:
        """Return whether a class may take one more slot beside the client reserve.

        The reserve holds while clients have sent requests recently. It leaves the
        other classes one slot in any case.
        """
        if request_class == RequestClass.CLIENT:
            return True
        if self.clock.monotonic() - self.last_client_at > CLIENT_ACTIVITY_WINDOW_S:
            return True
        reserved = math.ceil(
            max(CLIENT_RESERVE_SHARE * self.limit.value, self.expected_client_slots())
        )
        others = self.running - self.running_by_class[RequestClass.CLIENT]
        return others < max(1, self.limit.value - reserved)

    def expected_client_slots(self) -> float:
        """Return the slots that clients usually take: their average plus its spread."""
        return self.average_clients + math.sqrt(self.average_clients)

    def pop_class(self, request_class: int) -> Ticket | None:
        """Remove and return a class's next ticket, of the workspace least served."""
        while True:
            names = [name for each, name in self.queues if each == request_class]
            if not names:
                return None
            name = self.tags.least_served(names)
            heap = self.queues[request_class, name]
            ticket = heapq.heappop(heap)[2]
            if not heap:
                del self.queues[request_class, name]
            if ticket.waiting:
                self.waiting_by_class[request_class] -= 1
                self.tags.charge(ticket.workspace, ticket.share, len(self.queues))
                return ticket

    def evict_for(self, ticket):
        """Remove and return a ticket of a lower class or of a larger workspace.

        A ticket of a lower class goes first. Otherwise one goes of the workspace
        with the most waiting tickets in the same class, if it has at least two more
        than the new ticket's workspace. Within a workspace the least urgent and newest
        ticket goes.
        """
        counts = collections.Counter()
        for (request_class, name), heap in self.queues.items():
            counts[request_class, name] = sum(1 for item in heap if item[2].waiting)
        lower = [key for key in counts if key[0] > ticket.request_class and counts[key]]
        same = [key for key in counts if key[0] == ticket.request_class]
        own = counts[ticket.request_class, ticket.workspace]
        heavier = [key for key in same if counts[key] > own + 1]
        choice = max(
            lower or heavier, key=lambda key: (key[0], counts[key]), default=None
        )
        if choice is None:
            return None
        heap = self.queues[choice]
        entry = max(item for item in heap if item[2].waiting)
        heap.remove(entry)
        heapq.heapify(heap)
        if not heap:
            del self.queues[choice]
        self.waiting_by_class[choice[0]] -= 1
        return entry[2]

    def count_ahead_of(self, ticket):
        """Return the most waiting tickets that could run before this one."""
        ahead = 0
        for request_class, count in self.waiting_by_class.items():
            if request_class <= ticket.request_class:
                ahead += count
        return ahead


class FifoAdmission(Admission):
    """First come, first served, as a baseline for comparison."""

    def __init__(self, limit: ConcurrencyLimit, max_waiting: int, clock: Clock):
        super().__init__(limit, max_waiting, clock)
        self.tickets: collections.deque[Ticket] = collections.deque()

    def push(self, ticket):
        """Add a waiting ticket to the queue."""
        self.tickets.append(ticket)

    def pop(self):
        """Remove and return the oldest waiting ticket."""
        while self.tickets:
            ticket = self.tickets.popleft()
            if ticket.waiting:
                return ticket
        return None

    def evict_for(self, ticket):
        """Return None: no waiting ticket makes room for a later one."""
        return None

    def count_ahead_of(self, ticket):
        """Return the number of waiting tickets."""
        return self.waiting
