"""Runs: the attempts that wait or run at one sidecar."""

import asyncio
import contextlib

import attrs

from gypsumshift.admission import Admission, FairAdmission, FifoAdmission, Ticket
from gypsumshift.attempts import AttemptLog
from gypsumshift.backend import Backend
from gypsumshift.backendrequest import (
    BackendResponse,
    distinct_versions,
    send_to_backend,
)
from gypsumshift.concurrencylimit import AdaptiveLimit, FixedLimit
from gypsumshift.generated import messages
from gypsumshift.generated.declarations import Pool
from gypsumshift.generated.messages import Body, RequestClass, Start
from gypsumshift.httpclient import Fetcher, FetchError
from gypsumshift.peerconnection import PeerSession
from gypsumshift.process import Process

__all__ = ["AttemptRun", "AttemptRunner"]

MAX_KEPT_BODY_BYTES = 1024 * 1024
MAX_WHOLE_BODY_BYTES = 256 * 1024
RETRY_AFTER_S = 0.2
BUSY_REASON = "busy"
QUEUE_SHARE_OF_TIMEOUT = 0.9


@attrs.define(eq=False)
class AttemptRun:
    """One attempt that waits or runs here.

    Attributes
    ----------
    start : Start
    session : Session
        The link that it came over.
    exchange : int
    task : asyncio.Task or None
    """

    start: Start
    session: PeerSession
    exchange: int
    task: asyncio.Task | None = None

    async def send_reply(self, body: Body) -> None:
        """Send an answer, or a part of one."""
        await self.session.reply(self.exchange, body)


class AttemptRunner:
    """Takes attempts, gives them places, sends them and answers.

    Parameters
    ----------
    process : Process
        The sidecar.
    backend : Backend
    fetcher : Fetcher
    """

    def __init__(self, process: Process, backend: Backend, fetcher: Fetcher):
        self.process = process
        self.backend = backend
        self.fetcher = fetcher
        self.clock = process.clock
        self.recorder = process.recorder
        self.attempt_log = AttemptLog()
        self.running: dict[str, AttemptRun] = {}
        self.admission = new_admission(backend.pool, process.clock)

    def update_pool(self, pool: Pool) -> None:
        """Follow the declaration of the pool; what waits goes on waiting."""
        fresh = new_admission(pool, self.clock)
        if type(self.admission) is type(fresh):
            self.admission.limit = fresh.limit
            self.admission.max_waiting = fresh.max_waiting
        elif not self.running:
            self.admission = fresh

    def current_load(self) -> messages.Load:
        """Return the load of the backend server."""
        admission, state = self.admission, self.backend.state
        waits = (
            admission.waiting
            * admission.average_duration
            / max(1, admission.limit.value)
        )
        return messages.Load(
            running=admission.running,
            queued=admission.waiting,
            limit=admission.limit.value,
            wait_ms=int(waits * 1000),
            version=state.version or 0,
            healthy=state.healthy,
            swapping=self.backend.swapping,
            duration_s=admission.average_duration,
            mark=self.attempt_log.arrivals,
            queued_clients=admission.waiting_by_class[RequestClass.CLIENT],
            queued_internal=admission.waiting_by_class[RequestClass.INTERNAL],
        )

    # Beginning

    def accept_attempt(self, session: PeerSession, exchange: int, start: Start) -> None:
        """Take one attempt, and run it in a task of its own."""
        run = AttemptRun(start, session, exchange)
        reason = self.refusal_reason(start)
        if reason:
            self.process.spawn(self.send_refusal(run, reason, RETRY_AFTER_S))
            return
        self.running[start.attempt] = run
        if not start.repeatable:
            self.attempt_log.record_start(start.attempt)
        run.task = self.process.spawn(self.run_attempt(run))

    def refusal_reason(self, start: Start) -> str:
        """Return what stands against an attempt; empty for nothing."""
        own, view = self.process.member, self.process.membership
        if start.incarnation != own.incarnation:
            return "meant for an earlier process here"
        if start.attempt in self.running:
            return "named like one that runs"
        if not start.repeatable and not self.attempt_log.may_start(start.attempt):
            return "barred"
        if own.leaving:
            return "leaving"
        if view.is_superseded(own.backend, own.fence):
            return "replaced by a newer sidecar"
        if not self.process.active_revision.ready:
            return "no revision yet"
        if not self.backend.state.healthy:
            return "the backend server is not healthy"
        if start.oldest_version > (self.backend.state.version or 0):
            return "the weights are too old"
        return BUSY_REASON if start.no_wait and not self.has_free_slot(start) else ""

    def has_free_slot(self, start: Start) -> bool:
        """Tell whether a request would run at once, and not through a swap."""
        if self.backend.swapping and start.request_class != RequestClass.SAMPLE:
            return False
        return self.admission.has_free_slot(start.request_class)

    async def send_refusal(
        self, run: AttemptRun, reason: str, retry_after: float
    ) -> None:
        """Answer truly that an attempt has not run and never will."""
        await run.send_reply(self.make_refusal(run, reason, retry_after))

    def make_refusal(self, run: AttemptRun, reason: str, retry_after: float) -> Body:
        """Return a true "not run"."""
        self.recorder.record("not-run", run.start.attempt, reason)
        retry_ms = int(retry_after * 1000)
        refused = messages.Refused(
            reason, retry_ms, self.current_load(), reason == BUSY_REASON
        )
        return Body(refused=refused)

    async def run_attempt(self, run: AttemptRun) -> None:
        """Wait for a place, run one attempt and answer it."""
        ticket = self.new_ticket(run.start)
        last = None
        try:
            retry_after = await self.wait_for_slot(ticket)
            if retry_after:
                self.attempt_log.mark_never_sent(run.start.attempt)
                last = self.make_refusal(run, "overload", retry_after)
            else:
                last = await self.send_attempt(run, ticket)
        finally:
            self.admission.withdraw(ticket)
            if ticket.admitted_at:
                answered = last is not None and not (last.broken or last.refused)
                self.admission.release(ticket, answered)
            self.running.pop(run.start.attempt, None)
        # Only now, so that the load that it reports no longer counts it.
        await run.send_reply(self.set_load(last))

    def set_load(self, body: Body) -> Body:
        """Return the last message about an attempt, with the load as it is now."""
        for part in (body.end, body.broken, body.refused):
            if part is not None:
                part.load = self.current_load()
        if body.whole is not None:
            body.whole.end.load = self.current_load()
        return body

    def new_ticket(self, start: Start) -> Ticket:
        """Return the ticket of an attempt."""
        return Ticket(
            workspace=start.workspace,
            request_class=start.request_class,
            deadline=self.clock.monotonic() + start.timeout_ms / 1000,
            share=start.share,
            urgency=start.urgency,
        )

    async def wait_for_slot(self, ticket: Ticket) -> float:
        """Wait for a place; return 0, or seconds to come back after."""
        decided = asyncio.get_running_loop().create_future()
        ticket.on_decision = lambda admitted: (
            decided.done() or decided.set_result(admitted)
        )
        retry_after = self.admission.offer(ticket)
        if retry_after:
            return retry_after
        if decided.done() and decided.result():
            return 0.0
        remaining = ticket.deadline - self.clock.monotonic()
        try:
            async with asyncio.timeout(remaining * QUEUE_SHARE_OF_TIMEOUT):
                admitted = await decided
        except TimeoutError:
            admitted = decided.done() and decided.result()
        return (
            0.0
            if admitted
            else self.admission.count_refusal(self.admission.average_duration)
        )

    # Sending

    async def send_attempt(self, run: AttemptRun, ticket: Ticket) -> Body:
        """Send one attempt to the backend server; return the last message about it."""
        start = run.start
        self.recorder.record("start", start.attempt, f"{start.method} {start.target}")
        remaining = ticket.deadline - self.clock.monotonic()
        try:
            async with asyncio.timeout(remaining):
                reply = await send_to_backend(
                    self.fetcher,
                    self.backend.address,
                    start,
                    self.backend.dialect,
                    self.backend.state.version,
                )
                with contextlib.closing(reply.exchange):
                    return await self.relay_response(run, reply)
        except FetchError as error:
            if error.sent and error.closed:
                # The load in the answer then says whether it is gone.
                await self.backend.fetch_state()
            return self.make_failure(run, str(error), error.sent)
        except TimeoutError:
            return self.make_failure(run, "no answer in time", True)

    async def relay_response(self, run: AttemptRun, reply: BackendResponse) -> Body:
        """Pass an answer on: a short one at once, others as they come."""
        held, kept = bytearray(), bytearray()
        keep = not run.start.repeatable
        headed = reply.streams
        if headed:
            await run.send_reply(Body(head=reply.head))
        async for data in reply.chunks():
            if keep and len(kept) <= MAX_KEPT_BODY_BYTES:
                kept += data
            if headed:
                await run.send_reply(Body(chunk=messages.Chunk(data)))
                continue
            held += data
            if len(held) > MAX_WHOLE_BODY_BYTES:
                await run.send_reply(Body(head=reply.head))
                await run.send_reply(Body(chunk=messages.Chunk(bytes(held))))
                headed = True
        end = await self.finish_response(run, reply, kept)
        if headed:
            return Body(end=end)
        return Body(whole=messages.Whole(reply.head, bytes(held), end))

    async def finish_response(
        self, run: AttemptRun, reply: BackendResponse, kept: bytearray
    ) -> messages.End:
        """Label an answer that has ended, and keep it where it may be asked for."""
        after = None
        if reply.reader.needs_final_version:
            after = (await self.backend.fetch_state()).version
        spans = reply.reader.spans(after)
        if not run.start.repeatable:
            head = reply.head if len(kept) <= MAX_KEPT_BODY_BYTES else None
            self.attempt_log.record_end(run.start.attempt, head, bytes(kept))
        seen = ",".join(str(version) for version in distinct_versions(spans))
        detail = f"versions {seen}" if seen else ""
        self.recorder.record("end", run.start.attempt, detail)
        return messages.End(spans)

    def make_failure(self, run: AttemptRun, reason: str, sent: bool) -> Body:
        """Return that an attempt failed: not run where nothing was sent."""
        attempt = run.start.attempt
        if not sent:
            self.attempt_log.mark_never_sent(attempt)
            return self.make_refusal(run, reason, RETRY_AFTER_S)
        if not run.start.repeatable:
            self.attempt_log.record_end(attempt, None, b"")
        self.recorder.record("broken", attempt, reason)
        return Body(broken=messages.Broken(reason))

    # Ending

    def cancel_attempt(self, attempt: str) -> None:
        """Give up an attempt whose caller is gone, where it may be repeated."""
        run = self.running.get(attempt)
        if run and run.start.repeatable and run.task:
            run.task.cancel()

    def bar_attempt(self, bar: messages.Bar) -> messages.BarReply:
        """Answer what became of an attempt; one not started never will."""
        if bar.incarnation != self.process.member.incarnation:
            return messages.BarReply(messages.AttemptState.UNKNOWN, None, b"")
        record = self.attempt_log.bar(bar.attempt)
        return messages.BarReply(record.state, record.head, record.body)

    def cancel_session_attempts(self, session: PeerSession) -> None:
        """Give up what a lost entry can no longer receive."""
        for attempt, run in list(self.running.items()):
            if run.session is session:
                self.cancel_attempt(attempt)


def new_admission(pool: Pool, clock) -> Admission:
    """Return the admission that a pool declares."""
    learns = pool.learn_concurrency and pool.kind == "service"
    limit = (AdaptiveLimit if learns else FixedLimit)(pool.concurrency)
    kind = {"fair": FairAdmission, "fifo": FifoAdmission}[pool.admission]
    return kind(limit, pool.queue, clock)
