"""Dispatch: an entry brings one request to a backend server, whichever will do."""

import asyncio
import datetime
from collections.abc import AsyncIterator

import attrs

from gypsumshift import logs
from gypsumshift.attempts import new_attempt
from gypsumshift.budgets import RetryBudget
from gypsumshift.exchange import passed_on
from gypsumshift.generated.messages import (
    AttemptState,
    Bar,
    BarReply,
    Body,
    Cancel,
    End,
    Head,
    Header,
    RequestClass,
    Span,
    Start,
)
from gypsumshift.links import Exchanges, Link, LinkError
from gypsumshift.members import Known
from gypsumshift.outcomes import NotRun, Unknown
from gypsumshift.process import Process
from gypsumshift.routing import Router, new_router

__all__ = ["Dispatcher", "Job", "Streamed", "Whole"]

MOST_TRIES = 4
TIMEOUT_SHRINK = 0.95
BAR_TIMEOUT = 0.5
BAR_TRIES = 3
BAR_PAUSE = 0.1
FOLLOW_PERIOD = 0.1
WHOLE_LIMIT = 16 * 1024 * 1024
EVENT_STREAM = b"text/event-stream"

log = logs.logger("dispatch")


@attrs.define
class Job:
    """One request to bring to a pool.

    Attributes
    ----------
    workspace, pool : str
    method, target : str
    headers : list of (name, value)
    body : bytes
    deadline : float
        By the monotonic clock, in seconds.
    request_class : RequestClass
    repeatable : bool
    oldest_version : int
        Least weight version that will do.
    urgency, share : int
    affinity : str
        Requests with the same text profit from the same backend server.
    avoid : set of str
        Sidecars already tried.
    attempts : int
        How many were sent so far.
    fresh_key : bool
        Whether the caller vouches that its key was never sent before.
    """

    workspace: str
    pool: str
    method: str
    target: str
    deadline: float
    headers: list[tuple] = attrs.field(factory=list)
    body: bytes = b""
    request_class: int = RequestClass.CLIENT
    repeatable: bool = True
    oldest_version: int = 0
    urgency: int = 3
    share: int = 10
    affinity: str = ""
    avoid: set[str] = attrs.field(factory=set)
    attempts: int = 0
    fresh_key: bool = False


@attrs.frozen
class Whole:
    """A whole answer of a backend server.

    Attributes
    ----------
    head : Head
    body : bytes
    spans : list of Span
    backend : str
    """

    head: Head
    body: bytes
    backend: str
    spans: list[Span] = attrs.field(factory=list)


@attrs.define
class Streamed:
    """A streamed answer under way; its end may yet fail.

    Attributes
    ----------
    head : Head
    chunks : async iterator of bytes
        Raises `LinkError` where the stream breaks.
    backend : str
    spans : list of Span
        Complete once the chunks have ended.
    """

    head: Head
    chunks: AsyncIterator[bytes]
    backend: str
    spans: list[Span] = attrs.field(factory=list)


@attrs.frozen
class Refusal:
    """A sidecar's true "not run"."""

    reason: str
    retry_after: float


@attrs.frozen
class Lost:
    """An attempt that may have run, and its name."""

    reason: str
    attempt: str


class Dispatcher:
    """Sends the requests of one entry, tracking what it sees of the sidecars.

    Parameters
    ----------
    process : Process
        The entry.
    """

    def __init__(self, process: Process):
        self.process = process
        self.clock = process.clock
        self.routers: dict[str, Router] = {}
        self.budgets: dict[str, RetryBudget] = {}

    def router(self, pool: str) -> Router:
        """Return the router of a pool, as declared now."""
        declared = self.process.in_force.catalog.pools.get(pool)
        kind = declared.routing if declared else "load"
        router = self.routers.get(pool)
        fresh = new_router(
            kind, pool, self.process.view, self.clock, self.process.random
        )
        if type(router) is not type(fresh):
            self.routers[pool] = fresh
        return self.routers[pool]

    def budget(self, workspace: str) -> RetryBudget:
        """Return the retry budget of a workspace, as declared now."""
        declared = self.process.in_force.catalog.workspaces.get(workspace)
        ratio = declared.retry_ratio if declared else 0.1
        burst = declared.retry_burst if declared else 10
        budget = self.budgets.setdefault(workspace, RetryBudget(ratio, burst))
        budget.ratio, budget.burst = ratio, burst
        return budget

    async def send(self, job: Job) -> Whole | Streamed | NotRun | Unknown:
        """Try backend servers until one answers, or nothing is left to try."""
        router, budget = self.router(job.pool), self.budget(job.workspace)
        budget.earn()
        refusal = Refusal(f"no backend server of {job.pool} is known here", 1.0)
        lost = None
        for _ in range(MOST_TRIES):
            if job.deadline <= self.clock.monotonic():
                break
            known = router.choose(job.avoid, job.affinity)
            if known is None:
                break
            job.avoid.add(known.member.name)
            result = await self.attempt(job, known, new_attempt(mark(known)))
            if isinstance(result, Lost):
                if not job.repeatable:
                    result = await self.settle(job, known, result)
                elif not budget.spend():
                    return Unknown(f"{result.reason}; no retry is left")
            if isinstance(result, Refusal):
                refusal = result
            elif isinstance(result, Lost):
                lost = result
            else:
                return result
        # One attempt that may have run makes the whole unknown, whatever came after.
        return Unknown(lost.reason) if lost else not_run(refusal)

    async def attempt(self, job: Job, known: Known, attempt: str):
        """Send one attempt to one sidecar and take its answer.

        Returns
        -------
        Whole, Streamed, Refusal, Lost or Unknown
        """
        router = self.router(job.pool)
        link = self.process.link(known.address)
        began = self.clock.monotonic()
        job.attempts += 1
        router.sent(known)
        handed_on = False
        try:
            async with asyncio.timeout(job.deadline - began):
                start = self.start(job, known, attempt)
                exchange = await link.open(Body(start=start))
                answer = Answer(self, job, known, attempt, link, exchange)
                result = await answer.take(began)
                handed_on = isinstance(result, Streamed)
                return result
        except LinkError as error:
            router.failed(known)
            if not error.sent:
                return Refusal(str(error), 0.2)
            return Lost(str(error), attempt)
        except TimeoutError:
            link.tell(Body(cancel=Cancel(attempt)))
            return Lost("no answer in time", attempt)
        except asyncio.CancelledError:
            link.tell(Body(cancel=Cancel(attempt)))
            raise
        finally:
            if not handed_on:
                router.ended(known)

    def start(self, job: Job, known: Known, attempt: str) -> Start:
        """Return the order that starts an attempt."""
        remaining = job.deadline - self.clock.monotonic()
        fields = passed_on(
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in job.headers
        )
        return Start(
            attempt=attempt,
            incarnation=known.member.incarnation,
            workspace=job.workspace,
            request_class=job.request_class,
            timeout_ms=max(1, int(remaining * TIMEOUT_SHRINK * 1000)),
            method=job.method,
            target=job.target,
            headers=[Header(name, value) for name, value in fields],
            body=job.body,
            repeatable=job.repeatable,
            oldest_version=job.oldest_version,
            urgency=job.urgency,
            share=job.share,
        )

    async def settle(self, job: Job, known: Known, lost: Lost):
        """Learn from the sidecar what became of an attempt that is not repeatable."""
        reply = await self.follow(
            known.address, known.member.incarnation, lost.attempt, job.deadline
        )
        if reply.state == AttemptState.NEVER:
            return Refusal(lost.reason, 0.2)
        if reply.state == AttemptState.DONE:
            return Whole(reply.head, reply.body, known.member.backend)
        return Unknown(lost.reason)

    async def follow(
        self, address, incarnation: int, attempt: str, deadline: float
    ) -> BarReply:
        """Bar an attempt, or wait for its end where it runs already."""
        while True:
            reply = await self.ask_bar(address, incarnation, attempt)
            if reply.state != AttemptState.RUNNING:
                return reply
            if self.clock.monotonic() + FOLLOW_PERIOD >= deadline:
                return reply
            await self.clock.sleep(FOLLOW_PERIOD)

    async def ask_bar(self, address, incarnation: int, attempt: str) -> BarReply:
        """Bar an attempt where it never started; unknown where nobody answers."""
        question = Body(bar=Bar(attempt, incarnation))
        for _ in range(BAR_TRIES):
            try:
                answer = await self.process.link(address).ask(question, BAR_TIMEOUT)
                if answer.bar_reply is not None:
                    return answer.bar_reply
            except LinkError:
                await self.clock.sleep(BAR_PAUSE)
        return BarReply(AttemptState.UNKNOWN, None, b"")


@attrs.define
class Answer:
    """Takes the answer of one attempt.

    Attributes
    ----------
    dispatcher : Dispatcher
    job : Job
    known : Known
    attempt : str
    link : Link
    exchange : Exchanges
    """

    dispatcher: Dispatcher
    job: Job
    known: Known
    attempt: str
    link: Link
    exchange: Exchanges

    async def take(self, began: float):
        """Return the answer, or how the attempt failed."""
        streaming = False
        try:
            body = await self.exchange.receive()
            if body.head is None:
                return self.end_early(body)
            router = self.dispatcher.router(self.job.pool)
            router.answered(self.known, self.dispatcher.clock.monotonic() - began)
            if is_stream(body.head):
                streaming = True
                return self.streamed(body.head)
            return await self.whole(body.head)
        finally:
            if not streaming:
                self.exchange.close()

    def end_early(self, body: Body):
        """Return how an attempt failed before its answer began."""
        router = self.dispatcher.router(self.job.pool)
        if body.refused is not None:
            self.take_load(body.refused.load)
            refused = body.refused
            return Refusal(refused.reason, refused.retry_after_ms / 1000)
        router.failed(self.known)
        reason = body.broken.reason if body.broken else "an answer out of order"
        return Lost(reason, self.attempt)

    async def whole(self, head: Head):
        """Collect a body up to its end; a broken one is no answer."""
        parts = bytearray()
        while True:
            body = await self.exchange.receive()
            if body.chunk is not None:
                parts += body.chunk.data
                if len(parts) > WHOLE_LIMIT:
                    return Unknown(f"the answer exceeds {WHOLE_LIMIT} bytes")
            elif body.end is not None:
                self.take_end(body.end)
                backend = self.known.member.backend
                return Whole(head, bytes(parts), backend, body.end.spans)
            else:
                return self.end_early(body)

    def streamed(self, head: Head) -> Streamed:
        """Return a stream whose chunks are read by whoever takes it."""
        spans: list[Span] = []
        return Streamed(head, self.chunks(spans), self.known.member.backend, spans)

    async def chunks(self, spans: list[Span]):
        """Yield a stream's chunks; fill in the spans at its end."""
        router = self.dispatcher.router(self.job.pool)
        ended = False
        try:
            while True:
                body = await self.exchange.receive()
                if body.chunk is not None:
                    yield body.chunk.data
                    continue
                ended = True
                if body.end is None:
                    router.failed(self.known)
                    raise LinkError("the backend server broke the stream", True)
                spans.extend(body.end.spans)
                self.take_end(body.end)
                return
        finally:
            if not ended:
                self.link.tell(Body(cancel=Cancel(self.attempt)))
            self.exchange.close()
            router.ended(self.known)

    def take_end(self, end: End) -> None:
        """Take the load report that came with the end."""
        self.take_load(end.load)

    def take_load(self, load) -> None:
        """Take a load report."""
        self.dispatcher.process.view.report(self.known, load)
        self.dispatcher.router(self.job.pool).reported(self.known)


def is_stream(head: Head) -> bool:
    """Tell whether an answer is a stream of events."""
    for header in head.headers:
        if header.name.lower() == b"content-type":
            return header.value.startswith(EVENT_STREAM)
    return False


def mark(known: Known) -> int:
    """Return the mark last heard from a sidecar."""
    return known.load.mark if known.load else 0


def not_run(refusal: Refusal) -> NotRun:
    """Return a refusal as the caller's outcome."""
    wait = datetime.timedelta(seconds=refusal.retry_after)
    return NotRun(refusal.reason, wait)
