"""Streamed answers, and the state of one while it is relayed."""

from collections.abc import AsyncIterator

import attrs

from gypsumshift.serving.calls import Call
from gypsumshift.serving.crashguard import Permit
from gypsumshift.serving.directory import BackendServer, ServerStart

__all__ = ["RelayState", "Stream"]


@attrs.frozen
class Stream:
    """A streamed answer whose head has arrived.

    Attributes
    ----------
    status : int
    headers : list of (str, str)
    body : async iterator of bytes
    """

    status: int
    headers: list[tuple[str, str]]
    body: AsyncIterator[bytes]


@attrs.define
class RelayState:
    """State of a stream that is being relayed.

    Attributes
    ----------
    call : Call
    permit : Permit
    tried : set of ServerStart
        Servers at which the stream may have run, or which failed.
    refused_by : set of ServerStart
        Servers that did not take the stream in this round.
    runs : int
        Number of servers at which the stream may have run or may run.
    servers : list of BackendServer
        Servers at which the stream runs now: one, and beside a silent one those that
        were asked to go on.
    status : int
        HTTP status of the answer that was sent to the caller.
    last_event : str
        Number of the last event that was sent to the caller; empty before the first.
    from_start : bool
        Whether the current server began with the first event.
    """

    call: Call
    permit: Permit
    tried: set[ServerStart] = attrs.field(factory=set)
    refused_by: set[ServerStart] = attrs.field(factory=set)
    runs: int = 0
    servers: list[BackendServer] = attrs.field(factory=list)
    status: int = 200
    last_event: str = ""
    from_start: bool = True

    @property
    def exhausted(self) -> bool:
        """Whether no further server may run the stream."""
        route = self.call.route
        return self.runs >= (route.attempts if route.resumable else 1)
