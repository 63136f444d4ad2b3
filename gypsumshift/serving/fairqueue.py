"""Calls of one process that wait for a service, in the order in which they are sent.

The order is by rank, then expected retries before new calls, then between workspaces by
least service (start-time fair queueing), and within a workspace by earliest deadline.
"""

import heapq
import itertools
import math
from collections.abc import Callable, Iterator

import attrs

from gypsumshift.fairqueueing import FairTags
from gypsumshift.serving.fairshares import ShareKey

__all__ = ["FairQueue", "Ticket"]


@attrs.define(eq=False)
class Ticket:
    """One call that asks to be sent to a service.

    Attributes
    ----------
    request, service : str
        Ids of the call and of its service.
    key : ShareKey
        Whose share it uses.
    mark : str
        See `demand.retry_mark`.
    deadline : float
        By the monotonic clock, in seconds.
    objective : float
        Seconds within which an answer is on time; infinite if there is no objective.
    on_decision : callable
        Called once with True when a waiting call is to be sent, or with False when it
        is refused.
    is_retry : bool
        Whether it was refused before and comes again as expected.
    offered_at, give_up_at : float
        When it arrived, and until when it may wait.
    waiting : bool
    """

    request: str
    service: str
    key: ShareKey
    mark: str
    deadline: float
    objective: float = math.inf
    on_decision: Callable[[bool], None] = lambda admitted: None
    is_retry: bool = False
    offered_at: float = 0.0
    give_up_at: float = 0.0
    waiting: bool = False


class FairQueue:
    """The waiting calls of one process for one service.

    Attributes
    ----------
    groups : dict
        By (rank, 0 for expected retries and 1 for new calls): heaps by workspace.
    count : int
        Number of waiting calls.
    """

    def __init__(self):
        self.groups: dict[tuple[int, int], dict[str, list]] = {}
        self.tags: dict[int, FairTags] = {}
        self.sequence = itertools.count()
        self.count = 0

    def __len__(self):
        return self.count

    def __iter__(self) -> Iterator[Ticket]:
        """Iterate over the waiting calls, in no particular order."""
        for heaps in self.groups.values():
            for heap in heaps.values():
                yield from (entry[2] for entry in heap if entry[2].waiting)

    def push(self, ticket: Ticket) -> None:
        """Add a call."""
        heaps = self.groups.setdefault(group_of(ticket), {})
        entry = (ticket.deadline, next(self.sequence), ticket)
        heapq.heappush(heaps.setdefault(ticket.key.workspace, []), entry)
        ticket.waiting = True
        self.count += 1

    def pop(self) -> Ticket | None:
        """Remove and return the next call; None if none waits."""
        for group in sorted(self.groups):
            ticket = self.pop_from(group)
            if ticket is not None:
                self.withdraw(ticket)
                return ticket
        return None

    def pop_from(self, group: tuple[int, int]) -> Ticket | None:
        """Remove and return the next call of a group, of the workspace least served."""
        heaps = self.groups[group]
        tags = self.tags.setdefault(group[0], FairTags())
        while heaps:
            name = tags.least_served(heaps)
            ticket = heapq.heappop(heaps[name])[2]
            if not heaps[name]:
                del heaps[name]
            if ticket.waiting:
                tags.charge(name, 1.0, len(heaps) + 1)
                return ticket
        del self.groups[group]
        return None

    def withdraw(self, ticket: Ticket) -> None:
        """Cancel a waiting call; its entry is dropped when its turn comes."""
        if ticket.waiting:
            ticket.waiting = False
            self.count -= 1
        if not self.count:
            self.groups.clear()

    def count_ahead_of(self, ticket: Ticket) -> int:
        """Return the most calls that may be sent before a call."""
        group = group_of(ticket)
        return sum(
            1 for other in self if other is not ticket and group_of(other) <= group
        )


def group_of(ticket: Ticket) -> tuple[int, int]:
    """Return the group of a call; groups are sent in their order."""
    return ticket.key.rank, 0 if ticket.is_retry else 1
