"""Sampling: one sample at a time, moved to another engine where one is too slow.

A stream that breaks, stalls or crawls is resumed elsewhere from the tokens that
are there already, so that nothing is generated twice. Labels stay per token:
each comes with the event that carried the token.
"""

import asyncio
import collections
import datetime
import json

import attrs

from gypsumshift import logs
from gypsumshift.attemptresults import CompleteAnswer, StreamedAnswer
from gypsumshift.dialects import DIALECTS, Dialect
from gypsumshift.dispatch import Dispatcher, PoolRequest
from gypsumshift.generated.declarations import Trainer
from gypsumshift.generated.messages import RequestClass, Span
from gypsumshift.groups import Group, Sample
from gypsumshift.labels import Labeller
from gypsumshift.outcomes import HeldBack, NotRun
from gypsumshift.peerconnection import PeerConnectionError
from gypsumshift.process import Process

__all__ = ["Sampler"]

SAMPLE_TIMEOUT_S = 600.0
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 2.0
MAX_REJECTIONS = 3
# A sample that is held back for longer than this has ended engines in its trials, too.
MAX_HOLD_BACK = datetime.timedelta(minutes=5)
MAX_MIGRATIONS = 2
STALL_TIMEOUT_S = 2.0
SLOW_FACTOR = 3.0
MIN_PACE_TOKENS = 8
PACE_WINDOW = 64
MIN_PACES = 8
COMPLETIONS_PATH = "/v1/completions"

log = logs.logger("sampling")


class UnreadableEvent(Exception):
    """The engine sent something that is no event of a completion."""


class StreamTooSlow(Exception):
    """The engine stalls, or is much slower than the others."""


@attrs.frozen
class CompletionEvent:
    """One event of a completion stream.

    Attributes
    ----------
    text : str
    token_ids, prompt_ids : list of int
    finish_reason : str
    version : int or None
    """

    text: str = ""
    token_ids: list[int] = attrs.field(factory=list)
    prompt_ids: list[int] = attrs.field(factory=list)
    finish_reason: str = ""
    version: int | None = None


@attrs.define
class PartialSample:
    """A sample in the making.

    Attributes
    ----------
    prompt_ids : list of int
        The prompt as the engine read it; needed to resume.
    text : list of str
    token_ids : list of int
    labeller : Labeller
    finish_reason : str
        Empty until it is whole.
    streams : int
        How many streams it came from.
    """

    prompt_ids: list[int] = attrs.field(factory=list)
    text: list[str] = attrs.field(factory=list)
    token_ids: list[int] = attrs.field(factory=list)
    labeller: Labeller = attrs.field(factory=Labeller)
    finish_reason: str = ""
    streams: int = 0

    def add_event(self, event: CompletionEvent) -> None:
        """Take one event."""
        self.prompt_ids = self.prompt_ids or event.prompt_ids
        self.text.append(event.text)
        self.token_ids += event.token_ids
        self.labeller.add_tokens(len(event.token_ids), event.version)
        self.finish_reason = event.finish_reason or self.finish_reason

    @property
    def is_resumable(self) -> bool:
        """Whether another engine can go on with it, all tokens labelled."""
        return bool(self.prompt_ids) and not self.labeller.bare

    def spans(self, reported: list[Span]) -> list[Span]:
        """Return the labels; ``told`` by the sidecar where events carry none."""
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
        The trainer's.
    """

    def __init__(self, process: Process, dispatcher: Dispatcher, name: str):
        self.process = process
        self.dispatcher = dispatcher
        self.clock = process.clock
        self.name = name
        self.trainer = Trainer(name=name, workspace="", pool="")
        self.min_version = 0
        self.paces: collections.deque[float] = collections.deque(maxlen=PACE_WINDOW)
        self.migrated = 0

    def count_wasted(self, tokens: int, why: str) -> None:
        """Count tokens that were generated and thrown away."""
        if tokens:
            metrics = self.process.metrics
            metrics.count("tokens_wasted", tokens, trainer=self.name, why=why)

    async def generate_sample(
        self, group: Group, number: int, urgency: int
    ) -> Sample | None:
        """Generate one whole and labelled sample.

        None where the engine rejects it, or engines end under it.
        """
        partial, avoid, rejections = PartialSample(), set(), 0
        while rejections < MAX_REJECTIONS:
            job = self.make_request(group, partial, urgency, avoid)
            result = await self.dispatcher.send(job)
            avoid, wait = set(), MIN_RETRY_DELAY_S
            if isinstance(result, StreamedAnswer):
                partial = await self.read_stream(result, partial, avoid)
                sample = self.make_sample(group, number, partial, result)
                if sample is not None:
                    return sample
                if partial.finish_reason:
                    self.count_wasted(len(partial.token_ids), "unlabelled")
                    partial = PartialSample()
            elif isinstance(result, HeldBack) and result.retry_after > MAX_HOLD_BACK:
                return None
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
        """Return the request for a sample, or for the rest of it."""
        resumed = partial.prompt_ids + partial.token_ids
        body = {
            "prompt": resumed if partial.token_ids else group.prompt,
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
            oldest_version=max(0, self.min_version),
            urgency=urgency,
            share=self.trainer.share,
            affinity=group.prompt,
            avoid=avoid,
            # Not its body, which grows with what was generated.
            identity=group.prompt,
        )

    async def read_stream(
        self, streamed: StreamedAnswer, partial: PartialSample, avoid: set
    ) -> PartialSample:
        """Read a stream; return what there is, to finish or to resume."""
        partial.streams += 1
        before, began = len(partial.token_ids), self.clock.monotonic()
        reason = ""
        try:
            async for event in self.iter_events(streamed):
                partial.add_event(event)
                if self.is_stale(partial):
                    reason = "stale"
                    break
                self.check_speed(partial, before, began)
        except (PeerConnectionError, UnreadableEvent) as error:
            reason = "broken"
            log.info("A sample of {} broke: {}.", self.name, error)
        except StreamTooSlow:
            reason = "slow"
            self.migrated += 1
            avoid.add(streamed.sidecar)
        finally:
            await streamed.chunks.aclose()
        if not reason:
            self.record_pace(len(partial.token_ids) - before, began)
        elif reason == "stale" or not partial.is_resumable:
            self.count_wasted(len(partial.token_ids), reason)
            return PartialSample()
        return partial

    async def iter_events(self, streamed: StreamedAnswer):
        """Yield the events of a stream; raises `TooSlow` where it stalls."""
        pool = self.process.active_revision.catalog.pools.get(self.trainer.pool)
        dialect = DIALECTS[pool.dialect if pool else "plain"]
        rest = b""
        chunks = aiter(streamed.chunks)
        while True:
            try:
                async with asyncio.timeout(
                    STALL_TIMEOUT_S if self.may_migrate() else None
                ):
                    data = await anext(chunks)
            except StopAsyncIteration:
                return
            except TimeoutError as error:
                raise StreamTooSlow from error
            *lines, rest = (rest + data).split(b"\n")
            for event in parse_events(lines, dialect):
                yield event

    def may_migrate(self) -> bool:
        """Tell whether a stream that stalls may move to another backend server."""
        others = len(self.process.membership.sidecars(self.trainer.pool)) > 1
        return others and self.trainer.move_stragglers

    def is_stale(self, partial: PartialSample) -> bool:
        """Tell whether a sample has become too old already."""
        spans = partial.labeller.spans
        return bool(spans) and min(span.version for span in spans) < self.min_version

    def check_speed(self, partial: PartialSample, before: int, began: float) -> None:
        """Raise `TooSlow` where the stream crawls beside what others do."""
        tokens = len(partial.token_ids) - before
        stays = partial.streams > MAX_MIGRATIONS or not partial.is_resumable
        stays |= not self.trainer.move_stragglers
        if stays or tokens < MIN_PACE_TOKENS or len(self.paces) < MIN_PACES:
            return
        usual = sorted(self.paces)[len(self.paces) // 2]
        if (self.clock.monotonic() - began) / tokens > SLOW_FACTOR * usual:
            raise StreamTooSlow

    def record_pace(self, tokens: int, began: float) -> None:
        """Note the time per token of a stream that ended well."""
        if tokens >= MIN_PACE_TOKENS:
            self.paces.append((self.clock.monotonic() - began) / tokens)

    def make_sample(
        self,
        group: Group,
        number: int,
        partial: PartialSample,
        streamed: StreamedAnswer,
    ) -> Sample | None:
        """Return a sample that is whole and labelled."""
        spans = partial.spans(streamed.spans)
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


def parse_events(lines: list[bytes], dialect: Dialect) -> list[CompletionEvent]:
    """Return the events in some lines of a completion stream."""
    events = []
    for line in lines:
        data = line.removeprefix(b"data:").strip()
        if line.startswith(b"data:") and data != b"[DONE]":
            events.append(parse_event(data, dialect))
    return events


def parse_event(data: bytes, dialect: Dialect) -> CompletionEvent:
    """Return one event of a completion stream."""
    try:
        value = json.loads(data)
        choice = (value.get("choices") or [{}])[0]
        return CompletionEvent(
            text=choice.get("text") or "",
            token_ids=choice.get("token_ids") or [],
            prompt_ids=choice.get("prompt_token_ids") or [],
            finish_reason=choice.get("finish_reason") or "",
            version=dialect.read_event_tokens(value).version,
        )
    except (ValueError, TypeError, AttributeError, IndexError) as error:
        raise UnreadableEvent(f"an event cannot be read: {error}") from error
