"""Dispatch: an entry brings one request to a backend server, whichever will do."""

import asyncio
import contextlib
import datetime

import attrs

from gypsumshift.answers import Answer, Lost, Refusal, Streamed, Whole
from gypsumshift.attempts import new_attempt
from gypsumshift.backendrequest import end_to_end_headers
from gypsumshift.budgets import RetryBudget
from gypsumshift.generated.messages import (
    AttemptState,
    Bar,
    BarReply,
    Body,
    Cancel,
    Header,
    RequestClass,
    Start,
)
from gypsumshift.links import LinkError
from gypsumshift.members import Known
from gypsumshift.memory import MemoryTables
from gypsumshift.outcomes import HeldBack, NotRun, Unknown
from gypsumshift.process import Process
from gypsumshift.routing import ROUTERS, Router
from gypsumshift.serving.crashguard import CrashGuard, Permit
from gypsumshift.serving.directory import ServerStart
from gypsumshift.serving.fingerprints import fingerprint

__all__ = ["Dispatcher", "Job", "mark", "not_run"]

MOST_TRIES = 4
MOST_PROBES = 2
TIMEOUT_SHRINK = 0.95
BAR_TIMEOUT = 0.5
BAR_TRIES = 3
BAR_PAUSE = 0.1
FOLLOW_PERIOD = 0.1
# Seconds between two looks at what the guard may forget.
SWEEP_PERIOD = 10.0


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
    busy : set of str
        Sidecars that seemed to have a place, but had none.
    no_wait : bool
        Whether the next attempt shall be refused where it would have to wait.
    fresh_key : bool
        Whether the caller vouches that its key was never sent before.
    identity : str
        What is the same each time that it comes, where its body is not.
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
    busy: set[str] = attrs.field(factory=set)
    no_wait: bool = False
    fresh_key: bool = False
    identity: str = ""

    @property
    def fingerprint(self) -> str:
        """What is the same each time that it comes; see `serving.fingerprints`."""
        what = self.identity.encode() if self.identity else self.body
        return fingerprint(self.method, self.pool, self.target, self.workspace, what)


class Dispatcher:
    """Sends the requests of one entry, tracking what it sees of the sidecars.

    Parameters
    ----------
    process : Process
        The entry.

    Attributes
    ----------
    guard : CrashGuard
        Holds back what ends backend servers. It goes by what this entry saw: its table
        is its own, since this deployment's tables have no feed to be told by.
    """

    def __init__(self, process: Process):
        self.process = process
        self.clock = process.clock
        self.routers: dict[str, Router] = {}
        self.budgets: dict[str, RetryBudget] = {}
        self.guard = CrashGuard(
            MemoryTables(), process.clock, process.random, process.metrics
        )

    async def run(self) -> None:
        """Keep the guard's table until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.guard.table.watch.run())
            group.create_task(self.guard.run())
            group.create_task(self.sweep())

    async def sweep(self) -> None:
        """Forget what is too old, now and then."""
        while True:
            await self.clock.sleep(SWEEP_PERIOD)
            self.guard.sweep()

    def router(self, pool: str) -> Router:
        """Return the router of a pool, as declared now."""
        declared = self.process.active_revision.catalog.pools.get(pool)
        kind = declared.routing if declared else "load"
        if type(self.routers.get(pool)) is not ROUTERS[kind]:
            view, chance = self.process.view, self.process.random
            self.routers[pool] = ROUTERS[kind](pool, view, self.clock, chance)
        return self.routers[pool]

    def budget(self, workspace: str) -> RetryBudget:
        """Return the retry budget of a workspace, as declared now."""
        declared = self.process.active_revision.catalog.workspaces.get(workspace)
        ratio = declared.retry_ratio if declared else 0.1
        burst = declared.retry_burst if declared else 10
        budget = self.budgets.setdefault(workspace, RetryBudget(ratio, burst))
        budget.ratio, budget.burst = ratio, burst
        return budget

    async def send(self, job: Job) -> Whole | Streamed | NotRun | Unknown:
        """Try backend servers until one answers, unless servers end under it."""
        permit = await self.guard.admit(job.fingerprint, job.workspace)
        if isinstance(permit, HeldBack):
            return permit
        result = None
        try:
            result = await self.send_on(job, permit)
            return result
        finally:
            if not isinstance(result, Streamed):
                self.guard.release_permit(permit, job.attempts > 0)

    async def send_on(
        self, job: Job, permit: Permit
    ) -> Whole | Streamed | NotRun | Unknown:
        """Try backend servers until one answers, or nothing is left to try."""
        router, budget = self.router(job.pool), self.budget(job.workspace)
        budget.earn()
        refusal = Refusal(f"no backend server of {job.pool} is known here", 1.0)
        lost = None
        for _ in range(MOST_TRIES + MOST_PROBES):
            if not self.guard.may_send(permit, 0, job.attempts > 0):
                break
            known = self.next_sidecar(job, router)
            if known is None or job.deadline <= self.clock.monotonic():
                break
            result = await self.attempt(job, known, new_attempt(mark(known)))
            if isinstance(result, Lost) and result.ended:
                self.guard.record_crash(permit, backend_start(known))
            if isinstance(result, Lost):
                if not job.repeatable:
                    result = await self.settle(job, known, result)
                elif not budget.spend():
                    return Unknown(f"{result.reason}; no retry is left")
            if isinstance(result, Refusal):
                refusal = result
                if result.busy:
                    job.busy.add(known.member.name)
            elif isinstance(result, Lost):
                lost = result
            else:
                return self.settled(result, permit, known)
        # One attempt that may have run makes the whole unknown, whatever came after.
        return Unknown(lost.reason) if lost else not_run(refusal)

    def settled(self, result, permit: Permit, known: Known):
        """Have the guard learn from an answer, or from the end of a stream."""
        if isinstance(result, Whole):
            self.guard.record_answer(permit, result.head.status)
        if isinstance(result, Streamed):
            result.chunks = self.guarded(result.chunks, result, permit, known)
        return result

    async def guarded(self, chunks, result: Streamed, permit: Permit, known: Known):
        """Yield the chunks of a stream, and have the guard learn how it ended."""
        try:
            async with contextlib.aclosing(chunks):
                async for data in chunks:
                    yield data
            self.guard.record_answer(permit, result.head.status)
        except LinkError:
            if result.answer.ended:
                self.guard.record_crash(permit, backend_start(known))
            raise
        finally:
            self.guard.release_permit(permit, ran=True)

    def next_sidecar(self, job: Job, router: Router) -> Known | None:
        """Return the sidecar to try next.

        The first ones are asked to refuse rather than have the request wait, where
        they seem to have a place; then it waits where the wait seems shortest.
        """
        known = None
        if len(job.busy) < MOST_PROBES:
            known = router.choose(job.avoid, job.affinity, job.request_class)
            kind = job.request_class
            job.no_wait = known is not None and router.has_place(known, kind)
        if known is None and job.busy:
            job.avoid -= job.busy
            job.no_wait = False
            known = router.choose(job.avoid, job.affinity, job.request_class)
        if known is not None:
            job.avoid.add(known.member.name)
        return known

    async def attempt(self, job: Job, known: Known, attempt: str):
        """Send one attempt to one sidecar and take its answer.

        Returns
        -------
        Whole, Streamed, Refusal, Lost or Unknown
        """
        result = await self.exchange(job, known, attempt)
        job.attempts += not isinstance(result, Refusal)
        return result

    async def exchange(self, job: Job, known: Known, attempt: str):
        """Send one attempt to one sidecar and take its answer."""
        router = self.router(job.pool)
        link = self.process.link(known.address)
        began = self.clock.monotonic()
        router.sent(known)
        handed_on = False
        try:
            async with asyncio.timeout(job.deadline - began):
                start = self.start(job, known, attempt)
                exchange = await link.open(Body(start=start))
                answer = Answer(router, self.clock, known, attempt, link, exchange)
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
        fields = end_to_end_headers(
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
            no_wait=job.no_wait,
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


def backend_start(known: Known) -> ServerStart:
    """Return the backend server beside a sidecar, which tells no start of it."""
    return ServerStart(known.member.backend, 0)


def mark(known: Known) -> int:
    """Return the mark last heard from a sidecar."""
    return known.load.mark if known.load else 0


def not_run(refusal: Refusal) -> NotRun:
    """Return a refusal as the caller's outcome."""
    wait = datetime.timedelta(seconds=refusal.retry_after)
    return NotRun(refusal.reason, wait)
