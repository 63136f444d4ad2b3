"""Dispatch: an entry brings one request to a backend server, whichever will do."""

import asyncio
import contextlib
import datetime

import attrs

from gypsumshift.attemptresults import (
    AnswerReader,
    CompleteAnswer,
    LostAttempt,
    Refusal,
    StreamedAnswer,
)
from gypsumshift.attempts import new_attempt_name
from gypsumshift.backendrequest import end_to_end_headers
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
from gypsumshift.membership import Peer
from gypsumshift.memory import MemoryTables
from gypsumshift.outcomes import HeldBack, NotRun, Unknown
from gypsumshift.peerconnection import PeerConnectionError
from gypsumshift.process import Process
from gypsumshift.retrybudget import RetryBudget
from gypsumshift.routing import ROUTERS, Router
from gypsumshift.serving.crashguard import CrashGuard, Permit
from gypsumshift.serving.directory import ServerStart
from gypsumshift.serving.fingerprints import fingerprint

__all__ = ["Dispatcher", "PoolRequest", "last_mark", "not_run_outcome"]

MAX_TRIES = 4
MAX_NO_WAIT_TRIES = 2
SIDECAR_TIMEOUT_SHARE = 0.95
BAR_TIMEOUT_S = 0.5
MAX_BAR_TRIES = 3
BAR_RETRY_PAUSE_S = 0.1
STATE_POLL_PERIOD_S = 0.1
# Seconds between two looks at what the guard may forget.
SWEEP_PERIOD_S = 10.0


@attrs.define
class PoolRequest:
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
            group.create_task(self.run_sweep_loop())

    async def run_sweep_loop(self) -> None:
        """Forget what is too old, now and then."""
        while True:
            await self.clock.sleep(SWEEP_PERIOD_S)
            self.guard.sweep()

    def router(self, pool: str) -> Router:
        """Return the router of a pool, as declared now."""
        declared = self.process.active_revision.catalog.pools.get(pool)
        kind = declared.routing if declared else "load"
        if type(self.routers.get(pool)) is not ROUTERS[kind]:
            view, chance = self.process.membership, self.process.random
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

    async def send(
        self, job: PoolRequest
    ) -> CompleteAnswer | StreamedAnswer | NotRun | Unknown:
        """Try backend servers until one answers, unless servers end under it."""
        permit = await self.guard.admit(job.fingerprint, job.workspace)
        if isinstance(permit, HeldBack):
            return permit
        result = None
        try:
            result = await self.try_sidecars(job, permit)
            return result
        finally:
            if not isinstance(result, StreamedAnswer):
                self.guard.release_permit(permit, job.attempts > 0)

    async def try_sidecars(
        self, job: PoolRequest, permit: Permit
    ) -> CompleteAnswer | StreamedAnswer | NotRun | Unknown:
        """Try backend servers until one answers, or nothing is left to try."""
        router, budget = self.router(job.pool), self.budget(job.workspace)
        budget.record_request()
        refusal = Refusal(f"no backend server of {job.pool} is known here", 1.0)
        lost = None
        for _ in range(MAX_TRIES + MAX_NO_WAIT_TRIES):
            if not self.guard.may_send(permit, 0, job.attempts > 0):
                break
            known = self.next_sidecar(job, router)
            if known is None or job.deadline <= self.clock.monotonic():
                break
            result = await self.run_attempt(
                job, known, new_attempt_name(last_mark(known))
            )
            if isinstance(result, LostAttempt) and result.server_ended:
                self.guard.record_crash(permit, backend_start(known))
            if isinstance(result, LostAttempt):
                if not job.repeatable:
                    result = await self.resolve_lost_attempt(job, known, result)
                elif not budget.try_spend():
                    return Unknown(f"{result.reason}; no retry is left")
            if isinstance(result, Refusal):
                refusal = result
                if result.busy:
                    job.busy.add(known.member.name)
            elif isinstance(result, LostAttempt):
                lost = result
            else:
                return self.report_to_guard(result, permit, known)
        # One attempt that may have run makes the whole unknown, whatever came after.
        return Unknown(lost.reason) if lost else not_run_outcome(refusal)

    def report_to_guard(self, result, permit: Permit, known: Peer):
        """Have the guard learn from an answer, or from the end of a stream."""
        if isinstance(result, CompleteAnswer):
            self.guard.record_answer(permit, result.head.status)
        if isinstance(result, StreamedAnswer):
            result.chunks = self.guarded_chunks(result.chunks, result, permit, known)
        return result

    async def guarded_chunks(
        self, chunks, result: StreamedAnswer, permit: Permit, known: Peer
    ):
        """Yield the chunks of a stream, and have the guard learn how it ended."""
        try:
            async with contextlib.aclosing(chunks):
                async for data in chunks:
                    yield data
            self.guard.record_answer(permit, result.head.status)
        except PeerConnectionError:
            if result.reader.server_ended:
                self.guard.record_crash(permit, backend_start(known))
            raise
        finally:
            self.guard.release_permit(permit, ran=True)

    def next_sidecar(self, job: PoolRequest, router: Router) -> Peer | None:
        """Return the sidecar to try next.

        The first ones are asked to refuse rather than have the request wait, where
        they seem to have a place; then it waits where the wait seems shortest.
        """
        known = None
        if len(job.busy) < MAX_NO_WAIT_TRIES:
            known = router.choose_sidecar(job.avoid, job.affinity, job.request_class)
            kind = job.request_class
            job.no_wait = known is not None and router.has_free_slot(known, kind)
        if known is None and job.busy:
            job.avoid -= job.busy
            job.no_wait = False
            known = router.choose_sidecar(job.avoid, job.affinity, job.request_class)
        if known is not None:
            job.avoid.add(known.member.name)
        return known

    async def run_attempt(self, job: PoolRequest, known: Peer, attempt: str):
        """Send one attempt to one sidecar and take its answer.

        Returns
        -------
        Whole, Streamed, Refusal, Lost or Unknown
        """
        result = await self.send_attempt(job, known, attempt)
        job.attempts += not isinstance(result, Refusal)
        return result

    async def send_attempt(self, job: PoolRequest, known: Peer, attempt: str):
        """Send one attempt to one sidecar and take its answer."""
        router = self.router(job.pool)
        link = self.process.connection(known.address)
        began = self.clock.monotonic()
        router.record_sent(known)
        handed_on = False
        try:
            async with asyncio.timeout(job.deadline - began):
                start = self.start_message(job, known, attempt)
                exchange = await link.start_call(Body(start=start))
                answer = AnswerReader(
                    router, self.clock, known, attempt, link, exchange
                )
                result = await answer.read(began)
                handed_on = isinstance(result, StreamedAnswer)
                return result
        except PeerConnectionError as error:
            router.record_failure(known)
            if not error.sent:
                return Refusal(str(error), 0.2)
            return LostAttempt(str(error), attempt)
        except TimeoutError:
            link.send_oneway(Body(cancel=Cancel(attempt)))
            return LostAttempt("no answer in time", attempt)
        except asyncio.CancelledError:
            link.send_oneway(Body(cancel=Cancel(attempt)))
            raise
        finally:
            if not handed_on:
                router.record_ended(known)

    def start_message(self, job: PoolRequest, known: Peer, attempt: str) -> Start:
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
            timeout_ms=max(1, int(remaining * SIDECAR_TIMEOUT_SHARE * 1000)),
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

    async def resolve_lost_attempt(
        self, job: PoolRequest, known: Peer, lost: LostAttempt
    ):
        """Learn from the sidecar what became of an attempt that is not repeatable."""
        reply = await self.await_final_state(
            known.address, known.member.incarnation, lost.attempt, job.deadline
        )
        if reply.state == AttemptState.NEVER:
            return Refusal(lost.reason, 0.2)
        if reply.state == AttemptState.DONE:
            return CompleteAnswer(reply.head, reply.body, known.member.backend)
        return Unknown(lost.reason)

    async def await_final_state(
        self, address, incarnation: int, attempt: str, deadline: float
    ) -> BarReply:
        """Bar an attempt, or wait for its end where it runs already."""
        while True:
            reply = await self.request_bar(address, incarnation, attempt)
            if reply.state != AttemptState.RUNNING:
                return reply
            if self.clock.monotonic() + STATE_POLL_PERIOD_S >= deadline:
                return reply
            await self.clock.sleep(STATE_POLL_PERIOD_S)

    async def request_bar(self, address, incarnation: int, attempt: str) -> BarReply:
        """Bar an attempt where it never started; unknown where nobody answers."""
        question = Body(bar=Bar(attempt, incarnation))
        for _ in range(MAX_BAR_TRIES):
            try:
                answer = await self.process.connection(address).call(
                    question, BAR_TIMEOUT_S
                )
                if answer.bar_reply is not None:
                    return answer.bar_reply
            except PeerConnectionError:
                await self.clock.sleep(BAR_RETRY_PAUSE_S)
        return BarReply(AttemptState.UNKNOWN, None, b"")


def backend_start(known: Peer) -> ServerStart:
    """Return the backend server beside a sidecar, which tells no start of it."""
    return ServerStart(known.member.backend, 0)


def last_mark(known: Peer) -> int:
    """Return the mark last heard from a sidecar."""
    return known.load.mark if known.load else 0


def not_run_outcome(refusal: Refusal) -> NotRun:
    """Return a refusal as the caller's outcome."""
    wait = datetime.timedelta(seconds=refusal.retry_after)
    return NotRun(refusal.reason, wait)
