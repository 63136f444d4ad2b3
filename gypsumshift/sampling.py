"""Generation of single samples, migrated to another engine if one is too slow.

A stream that breaks or is too slow is resumed on another engine from the tokens
received so far, so that no token is generated twice; see `SampleStream` for one that
stalls. Each token keeps the weight version that was reported in the event that
contained it.
"""

import collections
import contextlib
import json
from collections.abc import Awaitable

import attrs

from gypsumshift import logs
from gypsumshift.attemptresults import CompleteAnswer, StreamedAnswer
from gypsumshift.dialects import DIALECTS
from gypsumshift.dispatch import Dispatcher, PoolRequest
from gypsumshift.eventstream import StreamBroken
from gypsumshift.generated.declarations import Trainer
from gypsumshift.generated.messages import RequestClass, Span
from gypsumshift.groups import Group, Sample
from gypsumshift.labels import Labeller
from gypsumshift.outcomes import NotRun
from gypsumshift.process import Process
from gypsumshift.samplestream import CompletionEvent, SampleStream

__all__ = ["Sampler"]

SAMPLE_TIMEOUT_S = 600.0
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 2.0
MAX_REJECTIONS = 3
# Once a sample has been resumed this often, a slow stream of it is not interrupted.
MAX_MIGRATIONS = 2
# A stream is too slow if its time per token exceeds the median of the last
# PACE_WINDOW streams by this factor. Streams of fewer than MIN_PACE_TOKENS tokens are
# neither judged nor recorded, and at least MIN_PACES streams must be recorded.
SLOW_FACTOR = 3.0
MIN_PACE_TOKENS = 8
PACE_WINDOW = 64
MIN_PACES = 8
COMPLETIONS_PATH = "/v1/completions"

log = logs.logger("sampling")


class StreamTooSlow(Exception):
    """The stream is much slower than recent streams."""


@attrs.define
class PartialSample:
    """The part of a sample that has been received so far.

    Attributes
    ----------
    prompt_ids : list of int
        Token ids of the prompt as reported by the engine; needed to resume.
    text : list of str
        Texts of the events.
    token_ids : list of int
    labeller : Labeller
    finish_reason : str
        Empty until the sample is complete.
    streams : int
        Number of streams that contributed to it.
    """

    prompt_ids: list[int] = attrs.field(factory=list)
    text: list[str] = attrs.field(factory=list)
    token_ids: list[int] = attrs.field(factory=list)
    labeller: Labeller = attrs.field(factory=Labeller)
    finish_reason: str = ""
    streams: int = 0

    def clear(self) -> None:
        """Discard what has been received."""
        self.prompt_ids = []
        self.text = []
        self.token_ids = []
        self.labeller = Labeller()
        self.finish_reason = ""

    def add_event(self, event: CompletionEvent) -> None:
        """Append the text and tokens of one event."""
        self.prompt_ids = self.prompt_ids or event.prompt_ids
        self.text.append(event.text)
        self.token_ids += event.token_ids
        self.labeller.add_tokens(len(event.token_ids), event.version)
        self.finish_reason = event.finish_reason or self.finish_reason

    @property
    def is_resumable(self) -> bool:
        """Whether another engine can resume it with a known version for each token."""
        return bool(self.prompt_ids) and not self.labeller.bare

    def spans(self, reported: list[Span]) -> list[Span]:
        """Return the weight versions of the tokens as spans.

        If events contained no version, the spans ``reported`` by the sidecar are used.
        They describe one stream, so a sample from several streams has none.
        """
        if not self.labeller.bare:
            return self.labeller.spans
        return reported if self.streams == 1 else []


class Sampler:
    """Generates the samples of one trainer.

    Parameters
    ----------
    process : Process
    dispatcher : Dispatcher
    name : str
        Name of the trainer.
    """

    def __init__(self, process: Process, dispatcher: Dispatcher, name: str):
        self.process = process
        self.dispatcher = dispatcher
        self.clock = process.clock
        self.name = name
        self.trainer = Trainer(name=name, workspace="", pool="")
        self.oldest_allowed_version = 0
        self.paces: collections.deque[float] = collections.deque(maxlen=PACE_WINDOW)
        self.migrated = 0

    def count_wasted(self, tokens: int, why: str) -> None:
        """Count tokens that were generated and then discarded."""
        if tokens:
            metrics = self.process.metrics
            metrics.count("tokens_wasted", tokens, trainer=self.name, why=why)

    async def generate_sample(
        self, group: Group, number: int, urgency: int
    ) -> Sample | None:
        """Generate one complete sample with a known weight version for each token.

        Returns None if engines reject the request ``MAX_REJECTIONS`` times.
        """
        partial, avoid, rejections = PartialSample(), set(), 0
        while rejections < MAX_REJECTIONS:
            request = self.make_request(group, partial, urgency, avoid)
            result = await self.dispatcher.send(request)
            avoid, wait = set(), MIN_RETRY_DELAY_S
            if isinstance(result, StreamedAnswer):
                stream = self.open_stream(result, group, partial, urgency)
                partial = await self.read_stream(stream, partial, avoid)
                sample = self.make_sample(group, number, partial, stream.spans)
                if sample is not None:
                    return sample
                if partial.finish_reason:
                    self.count_wasted(len(partial.token_ids), "unlabelled")
                    partial = PartialSample()
            elif isinstance(result, NotRun):
                wait = min(
                    max(result.retry_after.total_seconds(), wait), MAX_RETRY_DELAY_S
                )
            elif isinstance(result, CompleteAnswer) and 400 <= result.head.status < 500:
                rejections += 1
            await self.clock.sleep(wait)
        return None

    def make_request(
        self, group: Group, partial: PartialSample, urgency: int, avoid: set
    ) -> PoolRequest:
        """Return the request for a sample, or for its remaining tokens."""
        if not partial.is_resumable:
            partial = PartialSample()
        prefix_ids = partial.prompt_ids + partial.token_ids
        body = {
            "prompt": prefix_ids if partial.token_ids else group.prompt,
            "max_tokens": group.max_tokens - len(partial.token_ids),
            "temperature": group.temperature,
            "stream": True,
            "return_token_ids": True,
            "priority": urgency,
        }
        return PoolRequest(
            workspace=f"trainer:{self.name}",
            pool=self.trainer.pool,
            method="POST",
            target=COMPLETIONS_PATH,
            headers=[("content-type", "application/json")],
            body=json.dumps(body).encode(),
            deadline=self.clock.monotonic() + SAMPLE_TIMEOUT_S,
            request_class=RequestClass.SAMPLE,
            oldest_version=max(0, self.oldest_allowed_version),
            urgency=urgency,
            share=self.trainer.share,
            affinity=group.prompt,
            avoid=avoid,
            # Not the body, which grows with the tokens received so far.
            identity=group.prompt,
        )

    def open_stream(
        self,
        streamed: StreamedAnswer,
        group: Group,
        partial: PartialSample,
        urgency: int,
    ) -> SampleStream:
        """Return a stream that goes on elsewhere if it stalls."""
        pool = self.process.active_revision.catalog.pools.get(self.trainer.pool)

        def send_successor(sidecar: str) -> Awaitable:
            request = self.make_request(group, partial, urgency, {sidecar})
            return self.dispatcher.send(request)

        return SampleStream(
            streamed,
            self.name,
            DIALECTS[pool.dialect if pool else "plain"],
            send_successor if self.may_migrate() else None,
        )

    async def read_stream(
        self, stream: SampleStream, partial: PartialSample, avoid: set
    ) -> PartialSample:
        """Read a stream to its end, or until it breaks, is too slow or is stale.

        A sidecar whose stream is too slow is added to ``avoid``.

        Returns
        -------
        PartialSample
            ``partial`` with the tokens received, to complete or resume; an empty one
            if the tokens were discarded.
        """
        partial.streams += 1
        before, began = len(partial.token_ids), self.clock.monotonic()
        moved, reason = 0, ""
        try:
            async with contextlib.aclosing(stream):
                async for event in stream:
                    if stream.moved > moved:
                        moved = stream.moved
                        self.migrated += 1
                        self.begin_again(partial)
                        before, began = len(partial.token_ids), self.clock.monotonic()
                    partial.add_event(event)
                    if self.is_stale(partial):
                        reason = "stale"
                        break
                    self.check_speed(partial, before, began)
        except StreamBroken as error:
            reason = "broken"
            log.info(
                "Stream of a sample of trainer {} broke after {} tokens: {}.",
                self.name,
                len(partial.token_ids) - before,
                error,
            )
        except StreamTooSlow:
            reason = "slow"
            self.migrated += 1
            avoid.add(stream.sidecar)
        if not reason:
            self.record_pace(len(partial.token_ids) - before, began)
        elif reason == "stale" or not partial.is_resumable:
            self.count_wasted(len(partial.token_ids), reason)
            return PartialSample()
        return partial

    def begin_again(self, partial: PartialSample) -> None:
        """Prepare a partial sample for the stream that goes on after a stall.

        One that can't be resumed was requested anew from its first token.
        """
        partial.streams += 1
        if not partial.is_resumable and partial.token_ids:
            self.count_wasted(len(partial.token_ids), "slow")
            partial.clear()
            partial.streams = 1

    def may_migrate(self) -> bool:
        """Return whether a stalled stream may be moved to another backend server."""
        others = len(self.process.membership.sidecars(self.trainer.pool)) > 1
        return others and self.trainer.move_stragglers

    def is_stale(self, partial: PartialSample) -> bool:
        """Return whether the sample already contains a version below the minimum."""
        spans = partial.labeller.spans
        return (
            bool(spans)
            and min(span.version for span in spans) < self.oldest_allowed_version
        )

    def check_speed(self, partial: PartialSample, before: int, began: float) -> None:
        """Raise `StreamTooSlow` if the stream is much slower than recent streams.

        A sample that may not be moved, or has been moved too often, is not checked.
        """
        tokens = len(partial.token_ids) - before
        is_fixed = partial.streams > MAX_MIGRATIONS or not partial.is_resumable
        is_fixed |= not self.trainer.move_stragglers
        if is_fixed or tokens < MIN_PACE_TOKENS or len(self.paces) < MIN_PACES:
            return
        median = sorted(self.paces)[len(self.paces) // 2]
        if (self.clock.monotonic() - began) / tokens > SLOW_FACTOR * median:
            raise StreamTooSlow

    def record_pace(self, tokens: int, began: float) -> None:
        """Record the time per token of a stream that ended normally."""
        if tokens >= MIN_PACE_TOKENS:
            self.paces.append((self.clock.monotonic() - began) / tokens)

    def make_sample(
        self,
        group: Group,
        number: int,
        partial: PartialSample,
        reported: list[Span],
    ) -> Sample | None:
        """Return the sample; None if it is incomplete or a token has no version."""
        spans = partial.spans(reported)
        count = len(partial.token_ids)
        if not partial.finish_reason or not spans or spans[-1].last != count:
            return None
        self.process.metrics.count("tokens_sampled", count, trainer=self.name)
        return Sample(
            id=f"{group.id}/{number}",
            prompt=group.prompt,
            text="".join(partial.text),
            token_ids=partial.token_ids,
            spans=[[span.first, span.last, span.version] for span in spans],
            finish_reason=partial.finish_reason,
        )
