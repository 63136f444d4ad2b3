"""Relaying of streamed answers from backend servers to a caller.

A resumable stream continues at another server if its server breaks off; the caller
receives one answer with the header fields of the first server. Any other stream is
relayed unmodified, runs once, and ends where its server broke off. Streams that end
servers are held back by the `CrashGuard`, as other requests are.
"""

import asyncio
import contextlib
import datetime
from collections.abc import AsyncIterator, Coroutine

from gypsumshift import logs
from gypsumshift.bytebudget import ByteKind, Holding
from gypsumshift.httpclient import Exchange, FetchError
from gypsumshift.httpserver import ResponseAborted
from gypsumshift.outcomes import HeldBack, NotRun, Unknown
from gypsumshift.serving.calls import Call
from gypsumshift.serving.crashguard import Permit
from gypsumshift.serving.forwarder import Forwarder
from gypsumshift.serving.responses import end_to_end_headers
from gypsumshift.serving.resumablerelay import ResumableRelay
from gypsumshift.serving.streamopener import StreamOpener
from gypsumshift.serving.streamstate import RelayState, Stream

__all__ = ["STREAM_WINDOW_BYTES", "StreamRelay"]

# What a process buffers for a stream whose caller does not read: 48 kB received and not
# read yet, 32 kB that are being decoded and relayed, 32 kB not sent yet, and the states
# of both connections.
STREAM_WINDOW_BYTES = 128 * 1024

log = logs.logger("streams")


class StreamRelay:
    """Relays the streams of one forwarder.

    Parameters
    ----------
    forwarder : Forwarder
    """

    def __init__(self, forwarder: Forwarder):
        self.sender = forwarder.sender
        self.guard = forwarder.guard
        self.opener = StreamOpener(forwarder)
        self.trial_tasks: set[asyncio.Task] = set()

    async def start(self, call: Call) -> Stream | NotRun | Unknown:
        """Open a stream at the first server that accepts it."""
        if not call.holding.add(ByteKind.STREAM, STREAM_WINDOW_BYTES):
            return budget_refusal(call)
        permit = await self.guard.admit(call.fingerprint, call.id)
        if isinstance(permit, HeldBack):
            return permit
        if not permit.trial:
            return await self.start_permitted(call, permit)
        # Trials are rare, so a trial runs to its end even if the caller disconnects.
        return await asyncio.shield(
            self.start_trial_task(self.start_permitted(call, permit))
        )

    def start_trial_task(self, work: Coroutine) -> asyncio.Task:
        """Run a part of a trial in a task that is not cancelled with the caller."""
        task = asyncio.create_task(work)
        self.trial_tasks.add(task)
        task.add_done_callback(self.trial_tasks.discard)
        return task

    async def start_permitted(
        self, call: Call, permit: Permit
    ) -> Stream | NotRun | Unknown:
        """Open a stream that the guard permits."""
        state = RelayState(call, permit)
        opened = None
        try:
            opened = await self.opener.open(state)
        finally:
            if not isinstance(opened, tuple):
                self.finish(state)
        if not isinstance(opened, tuple):
            return opened
        exchange, server = opened
        headers = list(end_to_end_headers(exchange))
        resumable = call.route.resumable and exchange.status == 200
        relay = self.relay_resumable if resumable else self.relay_unmodified
        state.status = exchange.status
        body = self.report_end(state, relay(state, exchange, server))
        if permit.trial:
            body = self.read_detached(body, call)
        return Stream(exchange.status, headers, body)

    def finish(self, state: RelayState) -> None:
        """Close a stream's permit, and watch its servers if the stream was cut off."""
        self.guard.release_permit(state.permit, state.runs > 0)
        for server in list(state.servers):
            self.opener.abandon_run(state, server)

    async def report_end(self, state: RelayState, body: AsyncIterator[bytes]):
        """Yield a body, and report its end to the guard."""
        try:
            async with contextlib.aclosing(body):
                async for data in body:
                    yield data
            self.sender.calls.record_answer(state.call)
            self.guard.record_answer(state.permit, state.status, state.from_start)
            for server in list(state.servers):
                self.opener.end_run(state, server)
        finally:
            self.finish(state)

    def read_detached(self, body, call: Call) -> AsyncIterator[bytes]:
        """Return a body that is read to its end even if the caller disconnects."""
        parts: asyncio.Queue[bytes | ResponseAborted | None] = asyncio.Queue()
        self.start_trial_task(self.read_all(body, parts, call))
        return self.read_queue(parts, call.holding)

    async def read_all(self, body, parts: asyncio.Queue, call: Call) -> None:
        """Read a body into a queue until its end or the call's deadline.

        Once a part does not fit into the memory budget, or the caller disconnected, the
        rest is discarded.
        """
        end = ResponseAborted("an error inside this process; see its log")
        try:
            async with self.sender.calls.limit(call), contextlib.aclosing(body):
                fits = True
                async for data in body:
                    fits = fits and call.holding.add(ByteKind.STREAM, len(data))
                    if fits and not call.holding.ended:
                        parts.put_nowait(data)
            if fits:
                end = None
            else:
                end = ResponseAborted("it does not fit into the memory budget")
        except ResponseAborted as reason:
            end = reason
        except TimeoutError:
            end = ResponseAborted("the deadline passed")
        finally:
            parts.put_nowait(end)

    async def read_queue(self, parts: asyncio.Queue, holding: Holding):
        """Yield queued parts of a body; raise `ResponseAborted` if it was cut off."""
        while (data := await parts.get()) is not None:
            if isinstance(data, ResponseAborted):
                raise data
            yield data
            holding.remove(ByteKind.STREAM, len(data))

    async def relay_unmodified(self, state: RelayState, exchange: Exchange, server):
        """Yield the bytes of one server's answer as they arrive."""
        with contextlib.closing(exchange):
            try:
                async for data in self.until_answer_due(state, exchange.chunks()):
                    yield data
            except FetchError as error:
                gone = await self.sender.is_gone(error, server)
                self.opener.handle_broken_stream(state, server, str(error), True, gone)
                raise ResponseAborted(str(error)) from error

    async def until_answer_due(
        self, state: RelayState, parts: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        """Yield parts of an answer until it is complete or due.

        Only the wait for the server is limited here; a caller that does not read is cut
        off by its connection.

        Raises
        ------
        ResponseAborted
            The answer is due and not complete.
        """
        while True:
            try:
                async with self.sender.calls.limit(state.call, streamed=True):
                    part = await anext(parts, None)
            except TimeoutError as error:
                self.log_unfinished_stream(state)
                raise ResponseAborted("the stream is not complete in time") from error
            if part is None:
                return
            yield part

    def log_unfinished_stream(self, state: RelayState) -> None:
        """Log that a stream is ended since its time is up."""
        self.sender.metrics.count("streams_out_of_time", route=state.call.route.name)
        logs.event(
            log,
            "A stream is ended since its time is up; its server has not completed it.",
            request=state.call.id,
            fingerprint=state.call.fingerprint,
            route=state.call.route.name,
            servers=[server.id for server in state.servers],
            after=state.last_event,
        )

    async def relay_resumable(self, state: RelayState, exchange: Exchange, server):
        """Yield complete events, of the first server and of those that go on."""
        relay = ResumableRelay(self.opener, state, exchange, server)
        async with contextlib.aclosing(relay):
            async for block in self.until_answer_due(state, relay):
                yield block + b"\n\n"
                relay.record_sent(block)


def budget_refusal(call: Call) -> NotRun:
    """Return the outcome of a stream whose window does not fit, and record it."""
    budget = call.holding.budget
    budget.record_refusal(ByteKind.STREAM, STREAM_WINDOW_BYTES, request=call.id)
    reason = "the stream does not fit into this process's memory budget"
    return NotRun(reason, datetime.timedelta(seconds=budget.retry_after()))
