"""State of the attempts to forward one call."""

import asyncio

import attrs

from gypsumshift.outcomes import Answered
from gypsumshift.serving.calls import AttemptProgress, Call
from gypsumshift.serving.crashguard import Permit
from gypsumshift.serving.directory import BackendServer, ServerStart

__all__ = ["ForwardState"]


@attrs.define
class ForwardState:
    """State of the attempts of one call.

    Attributes
    ----------
    call : Call
    servers : list of BackendServer
        Ready servers of the call's service before the last attempt.
    permit : Permit
    running : dict
        Server by the task of its attempt.
    progress : dict
        `AttemptProgress` by the task of the attempt.
    ran_on : set of ServerStart
        Servers on which the call may have run.
    refused_by : set of ServerStart
        Servers that refused the call in this round.
    rounds : int
        Number of rounds in which every server refused.
    asked_again : int
        Number of times that servers which refused were asked again while another one
        ran the call.
    ask_again_at : float
        When the next such time is, by the monotonic clock, in seconds.
    error_answer : Answered or None
        Error response of a server, returned if no attempt succeeds.
    refused_at_gate : bool
        Whether the call was refused before its first attempt; the gate or the
        `Reachability` reports that.
    """

    call: Call
    servers: list[BackendServer]
    permit: Permit
    running: dict[asyncio.Task, BackendServer] = attrs.field(factory=dict)
    progress: dict[asyncio.Task, AttemptProgress] = attrs.field(factory=dict)
    ran_on: set[ServerStart] = attrs.field(factory=set)
    refused_by: set[ServerStart] = attrs.field(factory=set)
    rounds: int = 0
    asked_again: int = 0
    ask_again_at: float = 0.0
    error_answer: Answered | None = None
    refused_at_gate: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have received the call.

        An attempt without a connection has sent nothing, and sends nothing once it is
        cancelled.
        """
        return bool(self.ran_on) or any(
            self.progress[task].connected for task in self.running
        )

    @property
    def excluded(self) -> set[ServerStart]:
        """Servers that must not be tried in this round."""
        return self.ran_on | self.refused_by | {s.start for s in self.running.values()}

    @property
    def exhausted(self) -> bool:
        """Whether no further server may run the call."""
        begun = len(self.ran_on) + len(self.running)
        # A call that may not be repeated ends at the first server that may have run it.
        max_attempts = self.call.attempts if self.call.repeatable else 1
        return begun >= max_attempts
