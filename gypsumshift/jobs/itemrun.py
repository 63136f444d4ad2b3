"""Item run: one item of a batch job, from its first token to its score."""

import functools
import json

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.eventstream import StreamBroken
from gypsumshift.jobs.engine import EngineClient, Event, StreamRefused
from gypsumshift.jobs.pace import Pace
from gypsumshift.jobs.records import Item, Job, Partial, Result, ResultState
from gypsumshift.jobs.schedule import item_urgency
from gypsumshift.outcomes import Answered, HeldBack
from gypsumshift.serving.calls import Call
from gypsumshift.serving.directory import BackendServer, Directory
from gypsumshift.serving.fingerprints import fingerprint
from gypsumshift.serving.forwarder import Forwarder
from gypsumshift.serving.headers import HeaderNames
from gypsumshift.serving.routes import RequestKind, Route

__all__ = ["ItemRun"]

# Seconds before an item goes to its engine again after a broken or refused stream:
# some tokens' time, so that an engine that restarts is not flooded.
RETRY_PAUSE = 0.1
# Runs that an item gets where its route is not known any more.
ATTEMPTS_DEFAULT = 3
# Seconds for one try of a reward call: several times its usual 0.1 to 0.2 s, and
# short enough to try again before the step is due in some 7 s.
SCORE_TIMEOUT = 1.5
# Seconds between tries of a reward call.
SCORE_PAUSE = 0.1
UNPROCESSABLE = 422
# Events after which a run is saved: a second's worth. Most items are shorter.
EVENTS_TO_SAVE = 20
# Bytes of the events in one row, below the 64 KiB that a store takes.
PARTIAL_SIZE = 60_000

log = logs.logger("items")


@attrs.define
class ItemRun:
    """Runs one item on an engine, resuming it as often as needed.

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
        Learns the time between two events.
    events : list of str
        Data of the events so far.
    versions : list of int
        Weight versions that generated them, in the order of their use.
    failures : int
        Runs that the engine answered with a failure.
    progress_at : float
        When the last event of this stream came, by the monotonic clock, in
        seconds; 0 before the first.
    began_at : float
        When the first event of all came here, in the same way.
    longest_gap : float
        Longest time between two events of one stream, in seconds.
    saved : int
        Events that the store has for whoever takes the item over.
    generated : bool
        Whether its output is whole.
    held : bool
        Whether it waits, since servers ended under it or under its reward call.
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
    progress_at: float = 0.0
    began_at: float = 0.0
    longest_gap: float = 0.0
    saved_events: int = 0
    generated: bool = False
    held_back: bool = False

    @functools.cached_property
    def fingerprint(self) -> str:
        """What is the same each time that this item is run; see `Call`."""
        job, item = self.job, self.item
        return fingerprint("POST", job.host, item.path, job.workspace, item.body)

    @property
    def route(self) -> Route | None:
        """Route of the job, by the configuration in force."""
        return self.directory.routes.find(self.job.host, self.job.path)

    @property
    def attempts(self) -> int:
        """Runs that may fail before the item is given up."""
        return self.route.attempts if self.route else ATTEMPTS_DEFAULT

    def expired(self, now: float) -> bool:
        """Tell whether the item may be given up by its age, at a time of the store."""
        keeps = self.route.retention if self.route else None
        return keeps is not None and now >= self.job.submitted + keeps.total_seconds()

    def resume(self, partial: Partial) -> None:
        """Go on from what another agent generated, if its versions suit."""
        if partial.versions and min(partial.versions) >= self.job.oldest_version:
            self.events = list(partial.events)
            self.versions = list(partial.versions)

    def make_partial(self) -> Partial | None:
        """Return what was generated so far, for another agent; None if too long."""
        if not self.events or len(json.dumps(self.events)) > PARTIAL_SIZE:
            return None
        return Partial(self.item.id, tuple(self.events), tuple(self.versions))

    @property
    def needs_saving(self) -> bool:
        """Whether so much was generated that it should be saved."""
        return len(self.events) - self.saved_events >= EVENTS_TO_SAVE

    async def generate(self, server: BackendServer) -> Result | None:
        """Generate on one engine until the output is whole.

        Returns
        -------
        Result or None
            A result only where the item is given up.

        Raises
        ------
        StreamBroken
            The engine broke off; what came is kept.
        """
        try:
            rank = item_urgency(self.job, self.item)
            stream = self.engine.stream(
                server, self.item, self.job, len(self.events), rank
            )
            self.progress_at = 0.0
            async for event in stream:
                self.take(event)
        except StreamRefused as refusal:
            return self.refused(refusal)
        if not self.events:
            raise StreamBroken("the stream held no event")
        return None

    def refused(self, refusal: StreamRefused) -> Result:
        """Count a refusal; return a result where the item can never be done."""
        if refusal.counts_as_failure:
            self.failures += 1
        hopeless = refusal.status == UNPROCESSABLE or self.failures >= self.attempts
        if not hopeless:
            reason, replaced = str(refusal), refusal.replaced
            raise StreamBroken(
                reason, replaced, sent=refusal.counts_as_failure
            ) from refusal
        return self.give_up(f"status {refusal.status}")

    def give_up(self, reason: str) -> Result:
        """Return the result of an item that is given up."""
        logs.event(
            log,
            "An item is given up.",
            item=self.item.id,
            job=self.job.id,
            reason=reason,
            failures=self.failures,
        )
        return Result(self.item.id, ResultState.GIVEN_UP)

    def take(self, event: Event) -> None:
        """Take the next event; one out of order breaks the stream."""
        if event.number != len(self.events) + 1:
            expected = len(self.events) + 1
            raise StreamBroken(f"event {event.number} instead of {expected}")
        if event.version < self.job.oldest_version:
            self.restart()
            raise StreamBroken(f"weights {event.version} are too old")
        mixed = self.versions and event.version not in self.versions
        if mixed and self.route and self.route.one_version:
            self.restart()
            raise StreamBroken("the weights changed inside a sample")
        self.events.append(event.data)
        if event.version not in self.versions:
            self.versions.append(event.version)
        now = self.clock.monotonic()
        # The first event of a run waits for a slot and for the prompt.
        if self.progress_at:
            gap = now - self.progress_at
            self.pace.record_gap(gap)
            self.longest_gap = max(self.longest_gap, gap)
        self.progress_at = now
        self.began_at = self.began_at or now

    def restart(self) -> None:
        """Drop what was generated."""
        self.events.clear()
        self.versions.clear()
        self.saved_events = 0

    async def score(self) -> str | HeldBack:
        """Have the whole text scored; tries until it is, or has failed too often.

        Returns
        -------
        str or HeldBack
            Signature of the answer; empty where the call failed for good.
        """
        reward = self.item.reward
        failures = 0
        while True:
            route = self.directory.routes.find(reward.host, reward.path)
            if route is None:
                await self.clock.sleep(SCORE_PAUSE)
                continue
            answer = await self.forwarder.forward(self.score_call(route, failures > 0))
            if isinstance(answer, HeldBack):
                return answer
            if isinstance(answer, Answered):
                signature = answer.header(self.names.signature)
                if 200 <= answer.status < 300 and signature:
                    return signature
                failures += 1
                if failures >= route.attempts:
                    return ""
            await self.clock.sleep(SCORE_PAUSE)

    def score_call(self, route: Route, suspect: bool) -> Call:
        """Return one try of the reward call; see `Call` on ``suspect``."""
        reward = self.item.reward
        # One server a try, so that each answer counts once against the limit.
        once = attrs.evolve(route, kind=RequestKind.SAFE, attempts=1)
        return Call(
            reward.id,
            "POST",
            reward.path,
            reward.host,
            [(self.names.request_id, reward.id)],
            reward.body,
            once,
            self.clock.monotonic() + SCORE_TIMEOUT,
            suspect,
        )

    async def finish(self) -> Result | HeldBack:
        """Return the result of a whole text, unless its reward call is held back."""
        signature = ""
        if self.item.reward is not None:
            signature = await self.score()
            if isinstance(signature, HeldBack):
                return signature
            if not signature:
                return self.give_up("its reward call failed")
        text = "\n".join(self.events)
        versions = tuple(sorted(self.versions))
        return Result(self.item.id, ResultState.WHOLE, text, versions, signature)
