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
from gypsumshift.answers import Streamed, Whole
from gypsumshift.dialects import DIALECTS, Dialect
from gypsumshift.dispatch import Dispatcher, Job
from gypsumshift.generated.declarations import Trainer
from gypsumshift.generated.messages import RequestClass, Span
from gypsumshift.groups import Group, Sample
from gypsumshift.labels import Labeller
from gypsumshift.links import LinkError
from gypsumshift.outcomes import HeldBack, NotRun
from gypsumshift.process import Process

__all__ = ["Sampler"]

SAMPLE_TIMEOUT = 600.0
RETRY_LEAST = 0.05
RETRY_MOST = 2.0
MOST_REJECTIONS = 3
# A sample that is held back for longer than this has ended engines in its trials, too.
HOPELESS = datetime.timedelta(minutes=5)
MOST_MOVES = 2
STALL = 2.0
CRAWL_FACTOR = 3.0
CRAWL_TOKENS = 8
RATES_KEPT = 64
RATES_NEEDED = 8
COMPLETIONS = "/v1/completions"

log = logs.logger("sampling")


class UnreadableEvent(Exception):
    """The engine sent something that is no event of a completion."""


class TooSlow(Exception):
    """The engine stalls, or is much slower than the others."""


@attrs.frozen
class Event:
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
class Partial:
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

    def add(self, event: Event) -> None:
        """Take one event."""
        self.prompt_ids = self.prompt_ids or event.prompt_ids
        self.text.append(event.text)
        self.token_ids += event.token_ids
        self.labeller.add(len(event.token_ids), event.version)
        self.finish_reason = event.finish_reason or self.finish_reason

    @property
    def resumable(self) -> bool:
        """Whether another engine can go on with it, all tokens labelled."""
        return bool(self.prompt_ids) and not self.labeller.bare

    def spans(self, told: list[Span]) -> list[Span]:
        """Return the labels; ``told`` by the sidecar where events carry none."""
        if not self.labeller.bare:
            return self.labeller.spans
        return told if self.streams == 1 else []


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
        self.floor = 0
        self.rates: collections.deque[float] = collections.deque(maxlen=RATES_KEPT)
        self.moved = 0

    def count_wasted(self, tokens: int, why: str) -> None:
        """Count tokens that were generated and thrown away."""
        if tokens:
            metrics = self.process.metrics
            metrics.count("tokens_wasted", tokens, trainer=self.name, why=why)

    async def sample(self, group: Group, number: int, urgency: int) -> Sample | None:
        """Generate one whole and labelled sample.

        None where the engine rejects it, or engines end under it.
        """
        partial, avoid, rejections = Partial(), set(), 0
        while rejections < MOST_REJECTIONS:
            job = self.job(group, partial, urgency, avoid)
            result = await self.dispatcher.send(job)
            avoid, wait = set(), RETRY_LEAST
            if isinstance(result, Streamed):
                partial = await self.take(result, partial, avoid)
                sample = self.finished(group, number, partial, result)
                if sample is not None:
                    return sample
                if partial.finish_reason:
                    self.count_wasted(len(partial.token_ids), "unlabelled")
                    partial = Partial()
            elif isinstance(result, HeldBack) and result.retry_after > HOPELESS:
                return None
            elif isinstance(result, NotRun):
                wait = min(max(result.retry_after.total_seconds(), wait), RETRY_MOST)
            elif isinstance(result, Whole) and 400 <= result.head.status < 500:
                rejections += 1
            await self.clock.sleep(wait)
        return None

    def job(self, group: Group, partial: Partial, urgency: int, avoid: set) -> Job:
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
        return Job(
            workspace=f"trainer:{self.name}",
            pool=self.trainer.pool,
            method="POST",
            target=COMPLETIONS,
            headers=[("content-type", "application/json")],
            body=json.dumps(body).encode(),
            deadline=self.clock.monotonic() + SAMPLE_TIMEOUT,
            request_class=RequestClass.SAMPLE,
            oldest_version=max(0, self.floor),
            urgency=urgency,
            share=self.trainer.share,
            affinity=group.prompt,
            avoid=avoid,
            # Not its body, which grows with what was generated.
            identity=group.prompt,
        )

    async def take(self, streamed: Streamed, partial: Partial, avoid: set) -> Partial:
        """Read a stream; return what there is, to finish or to resume."""
        partial.streams += 1
        before, began = len(partial.token_ids), self.clock.monotonic()
        reason = ""
        try:
            async for event in self.events(streamed):
                partial.add(event)
                if self.is_stale(partial):
                    reason = "stale"
                    break
                self.check_speed(partial, before, began)
        except (LinkError, UnreadableEvent) as error:
            reason = "broken"
            log.info("A sample of {} broke: {}.", self.name, error)
        except TooSlow:
            reason = "slow"
            self.moved += 1
            avoid.add(streamed.sidecar)
        finally:
            await streamed.chunks.aclose()
        if not reason:
            self.note_rate(len(partial.token_ids) - before, began)
        elif reason == "stale" or not partial.resumable:
            self.count_wasted(len(partial.token_ids), reason)
            return Partial()
        return partial

    async def events(self, streamed: Streamed):
        """Yield the events of a stream; raises `TooSlow` where it stalls."""
        pool = self.process.in_force.catalog.pools.get(self.trainer.pool)
        dialect = DIALECTS[pool.dialect if pool else "plain"]
        rest = b""
        chunks = aiter(streamed.chunks)
        while True:
            try:
                async with asyncio.timeout(STALL if self.may_move() else None):
                    data = await anext(chunks)
            except StopAsyncIteration:
                return
            except TimeoutError as error:
                raise TooSlow from error
            *lines, rest = (rest + data).split(b"\n")
            for event in read_events(lines, dialect):
                yield event

    def may_move(self) -> bool:
        """Tell whether a stream that stalls may move to another backend server."""
        others = len(self.process.view.sidecars(self.trainer.pool)) > 1
        return others and self.trainer.move_stragglers

    def is_stale(self, partial: Partial) -> bool:
        """Tell whether a sample has become too old already."""
        spans = partial.labeller.spans
        return bool(spans) and min(span.version for span in spans) < self.floor

    def check_speed(self, partial: Partial, before: int, began: float) -> None:
        """Raise `TooSlow` where the stream crawls beside what others do."""
        tokens = len(partial.token_ids) - before
        stays = partial.streams > MOST_MOVES or not partial.resumable
        stays |= not self.trainer.move_stragglers
        if stays or tokens < CRAWL_TOKENS or len(self.rates) < RATES_NEEDED:
            return
        usual = sorted(self.rates)[len(self.rates) // 2]
        if (self.clock.monotonic() - began) / tokens > CRAWL_FACTOR * usual:
            raise TooSlow

    def note_rate(self, tokens: int, began: float) -> None:
        """Note the time per token of a stream that ended well."""
        if tokens >= CRAWL_TOKENS:
            self.rates.append((self.clock.monotonic() - began) / tokens)

    def finished(
        self, group: Group, number: int, partial: Partial, streamed: Streamed
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


def read_events(lines: list[bytes], dialect: Dialect) -> list[Event]:
    """Return the events in some lines of a completion stream."""
    events = []
    for line in lines:
        data = line.removeprefix(b"data:").strip()
        if line.startswith(b"data:") and data != b"[DONE]":
            events.append(read_event(data, dialect))
    return events


def read_event(data: bytes, dialect: Dialect) -> Event:
    """Return one event of a completion stream."""
    try:
        value = json.loads(data)
        choice = (value.get("choices") or [{}])[0]
        return Event(
            text=choice.get("text") or "",
            token_ids=choice.get("token_ids") or [],
            prompt_ids=choice.get("prompt_token_ids") or [],
            finish_reason=choice.get("finish_reason") or "",
            version=dialect.piece(value).version,
        )
    except (ValueError, TypeError, AttributeError, IndexError) as error:
        raise UnreadableEvent(f"an event cannot be read: {error}") from error
