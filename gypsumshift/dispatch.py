"""Dispatch of an entry's requests to the backend servers of a pool, with retries."""

import asyncio
import contextlib
import datetime
from collections.abc import Callable

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
from gypsumshift.serving.crashguard import HELD_BACK_REASON, CrashGuard, Permit
from gypsumshift.serving.directory import ServerStart
from gypsumshift.serving.fingerprints import fingerprint

__all__ = ["Dispatcher", "PoolRequest", "last_mark", "not_run_outcome"]

# Tries of a request, besides those that a sidecar refuses rather than let it wait.
MAX_TRIES = 4
MAX_NO_WAIT_TRIES = 2
# Share of the remaining time that a sidecar gets, so that it gives up before the entry.
SIDECAR_TIMEOUT_SHARE = 0.95
BAR_TIMEOUT_S = 0.5
MAX_BAR_TRIES = 3
BAR_RETRY_PAUSE_S = 0.1
# Pause between requests for the state of an attempt that still runs.
STATE_POLL_PERIOD_S = 0.1
# Time after the deadline of a request that a sidecar has to tell whether it has run.
FINAL_STATE_GRACE_S = 0.3
# Pause between removals of expired records from the crash guard.
SWEEP_PERIOD_S = 10.0


@attrs.define
class PoolRequest:
    """Request to be answered by a backend server of a pool, and its state so far.

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
        Whether the request may run more than once.
    oldest_version : int
        Lowest weight version that may answer.
    urgency, share : int
        Urgency within the workspace, and weight of the workspace.
    affinity : str
        Requests with the same text are faster on the same backend server.
    avoid : set of str
        Names of the sidecars already tried.
    attempts : int
        Number of attempts that were sent and not refused.
    busy : set of str
        Names of the sidecars that seemed to have a free slot, but had none.
    no_wait : bool
        Whether the next attempt is to be refused if it would have to wait.
    fresh_key : bool
        Whether the caller guarantees that its key was never sent before.
    identity : str
        Text that stays the same when the request is sent again, for requests whose
        body does not; empty for the others.
    find_pool : callable or None
        Returns the pool by the revision in force, empty for none; None for a request
        whose pool is fixed.
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
    find_pool: Callable[[], str] | None = None

    def follow(self) -> None:
        """Take the pool of the revision in force, which may have changed."""
        if self.find_pool is not None:
            self.pool = self.find_pool()

    @property
    def deferred(self) -> bool:
        """Whether this is a trainer's sample, which is owed until it is complete."""
        return self.request_class == RequestClass.SAMPLE

    @property
    def fingerprint(self) -> str:
        """Fingerprint that repetitions share; see `serving.fingerprints`."""
        content = self.identity.encode() if self.identity else self.body
        return fingerprint(self.method, self.pool, self.target, self.workspace, content)


class Dispatcher:
    """Sends the requests of one entry to sidecars, and retries failed ones.

    Parameters
    ----------
    process : Process
        The entry.

    Attributes
    ----------
    routers : dict of str to Router
        By pool.
    budgets : dict of str to RetryBudget
        By workspace.
    guard : CrashGuard
        Holds back requests that end backend servers. It uses a table in this entry's
        memory and so counts only the crashes seen here, since the tables of this
        deployment have no change feed.
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
        """Run the crash guard and its table until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.guard.table.watch.run())
            group.create_task(self.guard.run())
            group.create_task(self.run_sweep_loop())

    async def run_sweep_loop(self) -> None:
        """Remove expired records from the crash guard periodically until cancelled."""
        while True:
            await self.clock.sleep(SWEEP_PERIOD_S)
            self.guard.sweep()

    def router(self, pool: str) -> Router:
        """Return the router of a pool, of the kind declared now."""
        declared = self.process.active_revision.catalog.pools.get(pool)
        kind = declared.routing if declared else "load"
        if type(self.routers.get(pool)) is not ROUTERS[kind]:
            membership, chance = self.process.membership, self.process.random
            self.routers[pool] = ROUTERS[kind](pool, membership, self.clock, chance)
        return self.routers[pool]

    def budget(self, workspace: str) -> RetryBudget:
        """Return the retry budget of a workspace, with the values declared now."""
        declared = self.process.active_revision.catalog.workspaces.get(workspace)
        ratio = declared.retry_ratio if declared else 0.1
        burst = declared.retry_burst if declared else 10
        budget = self.budgets.setdefault(workspace, RetryBudget(ratio, burst))
        budget.ratio, budget.burst = ratio, burst
        return budget

    async def send(
        self, request: PoolRequest
    ) -> CompleteAnswer | StreamedAnswer | NotRun | Unknown:
        """Send a request to a pool, unless the crash guard holds it back."""
        permit = await self.guard.admit(
            request.fingerprint, request.workspace, request.deferred
        )
        if isinstance(permit, HeldBack):
            return permit
        result = None
        try:
            result = await self.try_sidecars(request, permit)
            return result
        finally:
            if not isinstance(result, StreamedAnswer):
                self.guard.release_permit(permit, request.attempts > 0)

    async def try_sidecars(
        self, request: PoolRequest, permit: Permit
    ) -> CompleteAnswer | StreamedAnswer | NotRun | Unknown:
        """Try sidecars until one answers or the limits of tries or time are reached."""
        budget = self.budget(request.workspace)
        budget.record_request()
        refusal = Refusal(f"no backend server of {request.pool} is known here", 1.0)
        lost = None
        for _ in range(MAX_TRIES + MAX_NO_WAIT_TRIES):
            left = request.deadline - self.clock.monotonic()
            if not await self.guard.wait_until_sendable(
                permit, request.attempts > 0, left
            ):
                refusal = Refusal(
                    HELD_BACK_REASON, self.guard.retry_after_s(request.fingerprint)
                )
                break
            request.follow()
            sidecar = self.next_sidecar(request, self.router(request.pool))
            if sidecar is None or request.deadline <= self.clock.monotonic():
                break
            result = await self.run_guarded_attempt(request, sidecar, permit)
            if isinstance(result, LostAttempt):
                if not request.repeatable:
                    result = await self.resolve_lost_attempt(request, sidecar, result)
                elif not budget.try_spend():
                    return Unknown(
                        f"{result.reason}; retry budget of {request.workspace} used up"
                    )
            if isinstance(result, Refusal):
                refusal = result
                if result.busy:
                    request.busy.add(sidecar.member.name)
            elif isinstance(result, LostAttempt):
                lost = result
            else:
                return self.report_to_guard(result, permit, sidecar)
        # If any attempt may have run, the outcome is unknown, whatever followed it.
        return Unknown(lost.reason) if lost else not_run_outcome(refusal)

    async def run_guarded_attempt(
        self, request: PoolRequest, sidecar: Peer, permit: Permit
    ):
        """Run one attempt, and report to the crash guard if its server ended.

        The run of a stream that was begun ends with its last chunk; see
        `guarded_chunks`.
        """
        start = backend_start(sidecar)
        self.guard.begin_run(permit, start)
        result = None
        try:
            result = await self.run_attempt(
                request, sidecar, new_attempt_name(last_mark(sidecar))
            )
            if isinstance(result, LostAttempt) and result.server_ended:
                self.guard.record_crash(permit, start)
            return result
        finally:
            if not isinstance(result, StreamedAnswer):
                self.guard.end_run(permit, start)

    def report_to_guard(self, result, permit: Permit, sidecar: Peer):
        """Report an answer to the crash guard, a stream once it has ended."""
        if isinstance(result, CompleteAnswer):
            self.guard.record_answer(permit, result.head.status)
        if isinstance(result, StreamedAnswer):
            result.chunks = self.guarded_chunks(result.chunks, result, permit, sidecar)
        return result

    async def guarded_chunks(
        self, chunks, result: StreamedAnswer, permit: Permit, sidecar: Peer
    ):
        """Yield the chunks of a stream, and report to the crash guard how it ended."""
        try:
            async with contextlib.aclosing(chunks):
                async for data in chunks:
                    yield data
            self.guard.record_answer(permit, result.head.status)
        except PeerConnectionError:
            if result.reader.server_ended:
                self.guard.record_crash(permit, backend_start(sidecar))
            raise
        finally:
            self.guard.end_run(permit, backend_start(sidecar))
            self.guard.release_permit(permit, ran=True)

    def next_sidecar(self, request: PoolRequest, router: Router) -> Peer | None:
        """Return the sidecar to try next; None if there is none left.

        If a sidecar seems to have a free slot, it is asked to refuse the request rather
        than let it wait. After `MAX_NO_WAIT_TRIES` such refusals the request waits
        where the wait seems shortest.
        """
        sidecar = None
        if len(request.busy) < MAX_NO_WAIT_TRIES:
            sidecar = router.choose_sidecar(
                request.avoid, request.affinity, request.request_class
            )
            request_class = request.request_class
            request.no_wait = sidecar is not None and router.has_free_slot(
                sidecar, request_class
            )
        if sidecar is None and request.busy:
            request.avoid -= request.busy
            request.no_wait = False
            sidecar = router.choose_sidecar(
                request.avoid, request.affinity, request.request_class
            )
        if sidecar is not None:
            request.avoid.add(sidecar.member.name)
        return sidecar

    async def run_attempt(self, request: PoolRequest, sidecar: Peer, attempt: str):
        """Send one attempt to a sidecar, count it unless refused, return its result.

        Returns
        -------
        CompleteAnswer, StreamedAnswer, Refusal, LostAttempt or Unknown
        """
        result = await self.send_attempt(request, sidecar, attempt)
        request.attempts += not isinstance(result, Refusal)
        return result

    async def send_attempt(self, request: PoolRequest, sidecar: Peer, attempt: str):
        """Send one attempt to a sidecar and return its result.

        An attempt that times out or is cancelled here is cancelled at the sidecar.
        """
        router = self.router(request.pool)
        connection = self.process.connection(sidecar.address)
        began = self.clock.monotonic()
        router.record_sent(sidecar)
        streaming = False
        try:
            async with asyncio.timeout(request.deadline - began):
                start = self.start_message(request, sidecar, attempt)
                call = await connection.start_call(Body(start=start))
                reader = AnswerReader(
                    router,
                    self.clock,
                    sidecar,
                    attempt,
                    connection,
                    call,
                    request.deadline,
                )
                result = await reader.read(began)
                streaming = isinstance(result, StreamedAnswer)
                return result
        except PeerConnectionError as error:
            router.record_failure(sidecar)
            if not error.sent:
                return Refusal(str(error), 0.2)
            return LostAttempt(str(error), attempt)
        except TimeoutError:
            connection.send_oneway(Body(cancel=Cancel(attempt)))
            return LostAttempt("no answer before the deadline", attempt)
        except asyncio.CancelledError:
            connection.send_oneway(Body(cancel=Cancel(attempt)))
            raise
        finally:
            if not streaming:
                router.record_ended(sidecar)

    def start_message(self, request: PoolRequest, sidecar: Peer, attempt: str) -> Start:
        """Return the message that starts an attempt."""
        remaining = request.deadline - self.clock.monotonic()
        fields = end_to_end_headers(
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in request.headers
        )
        return Start(
            attempt=attempt,
            incarnation=sidecar.member.incarnation,
            workspace=request.workspace,
            request_class=request.request_class,
            timeout_ms=max(1, int(remaining * SIDECAR_TIMEOUT_SHARE * 1000)),
            method=request.method,
            target=request.target,
            headers=[Header(name, value) for name, value in fields],
            body=request.body,
            repeatable=request.repeatable,
            oldest_version=request.oldest_version,
            urgency=request.urgency,
            share=request.share,
            no_wait=request.no_wait,
        )

    async def resolve_lost_attempt(
        self, request: PoolRequest, sidecar: Peer, lost: LostAttempt
    ):
        """Request the outcome of an unrepeatable attempt from its sidecar.

        Returns
        -------
        CompleteAnswer, Refusal if it has not run and never will, or Unknown
        """
        reply = await self.await_final_state(
            sidecar.address, sidecar.member.incarnation, lost.attempt, request.deadline
        )
        if reply.state == AttemptState.NEVER:
            return Refusal(lost.reason, 0.2)
        if reply.state == AttemptState.DONE:
            return CompleteAnswer(reply.head, reply.body, sidecar.member.backend)
        return Unknown(lost.reason)

    async def await_final_state(
        self, address, incarnation: int, attempt: str, deadline: float
    ) -> BarReply:
        """Bar an attempt from starting; if it runs, poll until its end or the deadline.

        An attempt that is barred can never start. The state is unknown if the sidecar
        does not answer in time.
        """
        left = max(deadline - self.clock.monotonic(), 0.0)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(left + FINAL_STATE_GRACE_S):
                reply = await self.request_bar(address, incarnation, attempt)
                while reply.state == AttemptState.RUNNING:
                    if self.clock.monotonic() + STATE_POLL_PERIOD_S >= deadline:
                        break
                    await self.clock.sleep(STATE_POLL_PERIOD_S)
                    reply = await self.request_bar(address, incarnation, attempt)
                return reply
        return BarReply(AttemptState.UNKNOWN, None, b"")

    async def request_bar(self, address, incarnation: int, attempt: str) -> BarReply:
        """Request that a sidecar bar an attempt; return the attempt's state.

        The state is unknown if the sidecar does not answer after several tries.
        """
        message = Body(bar=Bar(attempt, incarnation))
        for _ in range(MAX_BAR_TRIES):
            try:
                answer = await self.process.connection(address).call(
                    message, BAR_TIMEOUT_S
                )
                if answer.bar_reply is not None:
                    return answer.bar_reply
            except PeerConnectionError:
                await self.clock.sleep(BAR_RETRY_PAUSE_S)
        return BarReply(AttemptState.UNKNOWN, None, b"")


def backend_start(sidecar: Peer) -> ServerStart:
    """Identify a sidecar's backend server; its start time is not reported, so 0."""
    return ServerStart(sidecar.member.backend, 0)


def last_mark(sidecar: Peer) -> int:
    """Return the mark in a sidecar's last load report; see `attempts`."""
    return sidecar.load.mark if sidecar.load else 0


def not_run_outcome(refusal: Refusal) -> NotRun:
    """Convert a refusal to the caller's outcome."""
    wait = datetime.timedelta(seconds=refusal.retry_after)
    return NotRun(refusal.reason, wait)
