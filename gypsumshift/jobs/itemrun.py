"""Run of one batch-job item: generation on an engine, then the reward call."""

import contextlib
import enum
import json

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.eventstream import StreamBroken
from gypsumshift.jobs.engine import (
    HTTP_FAILED,
    SILENCE_TIMEOUT,
    EngineClient,
    Event,
    StreamRefused,
)
from gypsumshift.jobs.pace import Pace
from gypsumshift.jobs.records import Item, Job, Partial, Result, ResultState
from gypsumshift.jobs.schedule import item_urgency
from gypsumshift.outcomes import Answered, Unknown
from gypsumshift.serving.calls import Call
from gypsumshift.serving.directory import BackendServer, Directory
from gypsumshift.serving.forwarder import Forwarder
from gypsumshift.serving.headers import HeaderNames
from gypsumshift.serving.routes import Route

__all__ = ["ItemRun", "WaitReason"]

# Seconds before an item is sent to its engine again after a broken or refused stream:
# the time of some tokens, so that a restarting engine is not flooded.
RETRY_PAUSE = 0.1
# Failed runs after which an item is given up whose route is no longer configured.
DEFAULT_ATTEMPTS = 3
# Time-out of the first attempt of a reward call, in seconds: several times its usual
# 0.1 to 0.2 s, and short enough for another attempt before the step is due in some 7 s.
# Each attempt without an answer doubles it, up to the time limit of the call's route: a
# call may need longer than this at any server.
SCORE_TIMEOUT = 1.5
# Longest time-out where the route has no limit, in seconds.
MAX_SCORE_TIMEOUT = 12.0
MAX_SCORE_DOUBLINGS = 8
# Seconds between attempts of a reward call.
SCORE_RETRY_PAUSE = 0.1
# Maximum size of the answer to a reward call, of which only the signature is used.
MAX_SCORE_BYTES = 1024 * 1024
HTTP_UNPROCESSABLE = 422
# New events after which a run's output is saved: one second's worth. Most items are
# shorter.
SAVE_INTERVAL_EVENTS = 20
# Maximum size of the saved events in one row, whose base64 the store limits to 64 KiB.
MAX_PARTIAL_BYTES = 45_000

log = logs.logger("items")


class WaitReason(enum.Enum):
    """Why an item is at no engine."""

    QUEUED = "queued for a slot of the engine"
    NOT_LISTED = "the engine is not listed or not ready"
    LOADING = "the engine loads weights of the model"
    EVACUATED = "the zone of the engine is evacuated"
    COLD = "the engine is cold, and the item's turn has not come"
    BROKEN = "its stream broke or was refused; tried again after a pause"
    SCORING = "generated; its reward call has no answer"


@attrs.define
class ItemRun:
    """State and operations of one item's run, which resumes after broken streams.

    Attributes
    ----------
    job : Job
    item : Item
    engine : EngineClient
    forwarder : Forwarder
    directory : Directory
    names : HeaderNames
    clock : Clock
    pace : Pace
        Collects the times between events.
    events : list of str
        Data of the events received so far.
    versions : list of int
        Weight versions that generated them, in the order of their use.
    failures : int
        Number of runs that the engine answered with a failure.
    last_event_at : float
        When the last event of the current stream was received, by the monotonic
        clock, in seconds; 0 before the first.
    first_event_at : float
        When this process received the item's first event, in the same way.
    longest_gap : float
        Longest time between two events of one stream, in seconds.
    is_streaming : bool
        Whether the engine is generating it: an event of the current stream has arrived.
    saved_events : int
        Number of events in the store, for an agent that takes the item over.
    generated : bool
        Whether the output is complete.
    score_failures : int
        Number of failures with which the reward call was answered.
    unanswered_scores : int
        Number of attempts of the reward call that had no answer in their time.
    wait_reason : WaitReason or None
        Why the item is at no engine; None while it is.
    idle_since : float
        Since when it is at no engine, by the monotonic clock, in seconds.
    """

    job: Job
    item: Item
    engine: EngineClient
    forwarder: Forwarder
    directory: Directory
    names: HeaderNames
    clock: Clock
    pace: Pace
    events: list[str] = attrs.field(factory=list)
    versions: list[int] = attrs.field(factory=list)
    failures: int = 0
    last_event_at: float = 0.0
    first_event_at: float = 0.0
    longest_gap: float = 0.0
    is_streaming: bool = False
    saved_events: int = 0
    generated: bool = False
    score_failures: int = 0
    unanswered_scores: int = 0
    wait_reason: WaitReason | None = WaitReason.QUEUED
    idle_since: float = 0.0

    def leave_engine(self, reason: WaitReason) -> None:
        """Record that the item is at no engine from now on."""
        self.idle_since = self.clock.monotonic()
        self.wait_reason = reason

    @property
    def route(self) -> Route | None:
        """Route of the job by the current configuration; None without one."""
        return self.directory.routes.find(self.job.host, self.job.path)

    @property
    def attempts(self) -> int:
        """Number of failed runs after which the item is given up."""
        return self.route.attempts if self.route else DEFAULT_ATTEMPTS

    @property
    def reward_route(self) -> Route | None:
        """Route of the reward call by the current configuration; None without one."""
        reward = self.item.reward
        return self.directory.routes.find(reward.host, reward.path)

    @property
    def score_failed(self) -> bool:
        """Whether the reward call failed as often as its route allows."""
        route = self.reward_route
        return route is not None and self.score_failures >= max(route.attempts, 1)

    def resume_from(self, partial: Partial) -> None:
        """Continue from another agent's output if its weight versions are accepted."""
        if partial.versions and min(partial.versions) >= self.job.oldest_version:
            self.events = list(partial.events)
            self.versions = list(partial.versions)

    def make_partial(self) -> Partial | None:
        """Return the output so far for another agent; None if empty or too long."""
        if not self.events or len(json.dumps(self.events)) > MAX_PARTIAL_BYTES:
            return None
        return Partial(self.item.id, tuple(self.events), tuple(self.versions))

    @property
    def needs_saving(self) -> bool:
        """Whether enough new events were generated to save the output."""
        return len(self.events) - self.saved_events >= SAVE_INTERVAL_EVENTS

    async def generate(self, server: BackendServer) -> Result | None:
        """Generate the rest of the output on one engine.

        Returns
        -------
        Result or None
            A result only where the item is given up.

        Raises
        ------
        StreamBroken
            The stream ended early; the events received so far are kept.
        """
        try:
            rank = item_urgency(self.job, self.item)
            stream = self.engine.stream(
                server, self.item, self.job, len(self.events), rank
            )
            self.last_event_at = 0.0
            async with contextlib.aclosing(stream):
                async for event in stream:
                    self.append_event(event)
        except StreamRefused as refusal:
            return self.handle_refusal(refusal)
        finally:
            self.is_streaming = False
        if not self.events:
            raise StreamBroken(f"stream of item {self.item.id} ended without an event")
        return None

    def handle_refusal(self, refusal: StreamRefused) -> Result:
        """Count a refusal; return the result of an item that is given up.

        Raises
        ------
        StreamBroken
            The item may be tried again.
        """
        if refusal.counts_as_failure:
            self.failures += 1
        final = refusal.status == HTTP_UNPROCESSABLE or self.failures >= self.attempts
        if not final:
            reason, replaced = str(refusal), refusal.replaced
            raise StreamBroken(
                reason, replaced, sent=refusal.counts_as_failure
            ) from refusal
        return self.give_up(f"engine refused the item with status {refusal.status}")

    def give_up(self, reason: str) -> Result:
        """Log that the item is given up, and return its result."""
        logs.event(
            log,
            "An item is given up and not run again.",
            item=self.item.id,
            job=self.job.id,
            reason=reason,
            failures=self.failures,
        )
        return Result(self.item.id, ResultState.GIVEN_UP)

    def append_event(self, event: Event) -> None:
        """Append the next event of the output.

        Raises
        ------
        StreamBroken
            The event is out of order, or its weight version is not accepted; in the
            latter case the output is discarded.
        """
        if event.number != len(self.events) + 1:
            expected = len(self.events) + 1
            raise StreamBroken(
                f"received event {event.number} instead of event {expected}"
            )
        if event.version < self.job.oldest_version:
            self.discard_output()
            raise StreamBroken(
                f"weight version {event.version} is older than version "
                f"{self.job.oldest_version}, the oldest that the job accepts; "
                "output discarded"
            )
        mixed = self.versions and event.version not in self.versions
        if mixed and self.route and self.route.one_version:
            self.discard_output()
            raise StreamBroken(
                f"weight version changed to {event.version} within a sample, and the "
                "route requires one version; output discarded"
            )
        self.events.append(event.data)
        if event.version not in self.versions:
            self.versions.append(event.version)
        now = self.clock.monotonic()
        # The time to a stream's first event includes the wait for a slot and the
        # processing of the prompt, so it is no gap between events.
        if self.last_event_at:
            gap = now - self.last_event_at
            if gap < SILENCE_TIMEOUT:
                self.pace.record_gap(gap)
            self.longest_gap = max(self.longest_gap, gap)
        self.last_event_at = now
        self.is_streaming = True
        self.first_event_at = self.first_event_at or now

    def discard_output(self) -> None:
        """Discard the output so far."""
        self.events.clear()
        self.versions.clear()
        self.saved_events = 0

    async def request_score(self) -> str | None:
        """Send the reward call once, and count its failure if it fails.

        Only status 500 is a failure of the call itself. Servers in trouble answer with
        others, such as 504 at the deadline, after which the call is sent again.

        Returns
        -------
        str or None
            Signature of the response; None if there is none.
        """
        route = self.reward_route
        if route is None:
            return None
        answer = await self.forwarder.forward(
            self.build_score_call(route, self.score_failures > 0)
        )
        if isinstance(answer, Unknown):
            self.unanswered_scores += 1
        if not isinstance(answer, Answered):
            return None
        signature = answer.header(self.names.signature)
        if 200 <= answer.status < 300 and signature:
            return signature
        if answer.status == HTTP_FAILED:
            self.score_failures += 1
        return None

    def score_timeout(self, route: Route) -> float:
        """Return the time-out of the next attempt of the reward call, in seconds."""
        limit = route.timeout.total_seconds() if route.timeout else MAX_SCORE_TIMEOUT
        doublings = min(self.unanswered_scores, MAX_SCORE_DOUBLINGS)
        grown = SCORE_TIMEOUT * 2**doublings
        return min(grown, max(limit, SCORE_TIMEOUT))

    def build_score_call(self, route: Route, suspect: bool) -> Call:
        """Build one attempt of the reward call; see `Call` for ``suspect``."""
        reward = self.item.reward
        return Call(
            reward.id,
            "POST",
            reward.path,
            reward.host,
            [(self.names.request_id, reward.id)],
            reward.body,
            route,
            self.clock.monotonic() + self.score_timeout(route),
            suspect,
            max_answer_bytes=MAX_SCORE_BYTES,
            reward_for=self.job.workspace,
        )

    async def make_result(self) -> Result | None:
        """Score the complete output once; return its result if there is one now."""
        signature = ""
        if self.item.reward is not None:
            signature = await self.request_score()
            if signature is None:
                failed = self.score_failed
                return self.give_up("its reward call failed") if failed else None
        text = "\n".join(self.events)
        versions = tuple(sorted(self.versions))
        return Result(self.item.id, ResultState.WHOLE, text, versions, signature)
