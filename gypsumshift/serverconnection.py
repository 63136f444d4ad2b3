"""Connection of the HTTP server: HTTP/1.1 with one caller, based on h11."""

import asyncio
import contextlib

import h11

from gypsumshift import logs
from gypsumshift.clientlimits import DEFAULT_CLIENT_LIMITS
from gypsumshift.connectiontable import ClosableConnection, CloseReason, Phase
from gypsumshift.flowcontrol import (
    BUFFER_BYTES,
    limit_sending,
    parts,
    reset_connection,
    unread_bytes,
)
from gypsumshift.httpconnection import encode_fields
from gypsumshift.httpmessages import (
    Request,
    Response,
    ResponseAborted,
    problem_response,
)
from gypsumshift.requestreader import BodyStalled, HeadStalled, RequestReader
from gypsumshift.requestreceiver import RequestReceiver, RequestRefused
from gypsumshift.turngate import TurnsExhausted

__all__ = ["MAX_HEADER_BYTES", "ServerConnection"]

MAX_HEADER_BYTES = DEFAULT_CLIENT_LIMITS.header_bytes
IDLE_TIMEOUT_S = 75.0
# Time without any progress after which a caller that does not read is cut off. Servers
# cut off a response that stays unread for some seconds; a caller gets longer, so that
# the gateway never cuts it off earlier than a server would.
UNREAD_TIMEOUT_S = 10.0
# Number of checks for progress within it. What was on its way when a check was made
# counts as progress at the next one, so the limit is exceeded by one period.
PROGRESS_CHECKS = 10
# Number of checks without progress after which it yields to others if the port is full.
BLOCKED_CHECKS = 5
# Longest time for which a refused body is discarded. A connection that is closed with
# unread data is reset, and the caller may lose the response; a caller that sent 1 MB
# over 30 Mbit/s needs 0.3 s.
DISCARD_TIMEOUT_S = 1.0

log = logs.logger("http")


class CallerStalled(ConnectionError):
    """Raised if a caller read nothing of its response within the time limit."""


class ServerConnection(ClosableConnection):
    """One connection of a server; serves its requests one after another.

    Parameters
    ----------
    server : HttpServer
    reader : asyncio.StreamReader
    writer : asyncio.StreamWriter

    Attributes
    ----------
    task : asyncio.Task or None
        Serves the connection.
    busy : bool
        Whether a request is being served.
    is_handled : bool
        Whether the handler has got it.
    is_streaming : bool
        Whether a streamed response is being sent.
    reset_timer : asyncio.TimerHandle or None
        Resets the closed connection if its caller leaves data unread.
    input : RequestReader
    receiver : RequestReceiver
    """

    def __init__(self, server, reader, writer):
        self.server = server
        self.table = server.table
        self.writer = writer
        self.state = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.client_limits.header_bytes
        )
        self.input = RequestReader(reader, writer, self.state, server.inbound.gate)
        self.task: asyncio.Task | None = None
        self.busy = False
        self.is_handled = False
        self.is_streaming = False
        self.reset_timer: asyncio.TimerHandle | None = None
        self.receiver = RequestReceiver(server, self, self.input)
        limit_sending(writer, BUFFER_BYTES)

    @property
    def has_request(self) -> bool:
        """Whether a request is being served, or bytes of one have arrived."""
        return self.busy or self.input.has_begun

    def close(self) -> None:
        """Close the connection; data that stays unread is discarded after a time."""
        self.writer.close()
        transport = self.writer.transport
        if self.server.budget.is_limited and transport.get_write_buffer_size():
            self.table.change(self, Phase.SERVING)
            loop = asyncio.get_running_loop()
            self.reset_timer = loop.call_later(
                UNREAD_TIMEOUT_S, reset_connection, self.writer
            )

    def evict(self, reason: CloseReason) -> None:
        """Close the connection at once for others; its request is not run.

        A request whose head was read is told so, if the caller can still be reached.
        """
        self.record_close(reason)
        self.receiver.release()
        if reason is CloseReason.MEMORY and self.state.our_state is h11.SEND_RESPONSE:
            detail = "the request made no progress while others waited for its memory"
            self.write_error(503, detail, [self.retry_after()])
            self.writer.close()
        elif reason is CloseReason.IDLE:
            self.writer.transport.abort()
        else:
            reset_connection(self.writer)
        if self.task is not None:
            self.task.cancel()

    def answer_unfinished(self) -> None:
        """Answer a request that this process leaves unfinished as it stops."""
        if not self.busy or self.state.our_state is not h11.SEND_RESPONSE:
            return
        if self.is_handled:
            self.write_error(504, "this process has stopped", outcome="unknown")
        else:
            self.write_error(503, "this process stops", [("retry-after", "0")])

    def lost(self) -> None:
        """Note that the socket was closed."""
        self.table.remove(self)
        if self.reset_timer is not None:
            self.reset_timer.cancel()
        self.receiver.end_receiving()
        self.end_stream()

    def end_stream(self) -> None:
        """End a streamed response whose caller has left.

        Nothing is written while its source is silent, so that a write does not fail.
        """
        if self.is_streaming and self.task is not None:
            self.is_streaming = False
            self.task.cancel()

    def record_close(self, reason: CloseReason) -> None:
        """Count and log that the connection is closed before the caller ends it."""
        self.server.inbound.record_close(
            self.server.kind, reason, received_bytes=self.input.received
        )

    async def drain(self) -> None:
        """Wait until the caller has read enough; raise `CallerStalled` if it does not.

        Without a memory budget there is no time limit.
        """
        unsent = self.writer.transport.get_write_buffer_size()
        if not self.server.budget.is_limited or unsent <= BUFFER_BYTES:
            await self.writer.drain()
            return
        unread = unread_bytes(self.writer)
        quiet_periods = 0
        while quiet_periods < PROGRESS_CHECKS:
            if await self.drain_for(UNREAD_TIMEOUT_S / PROGRESS_CHECKS):
                self.table.change(self, Phase.SERVING)
                return
            before, unread = unread, unread_bytes(self.writer)
            quiet_periods = 0 if unread < before else quiet_periods + 1
            blocked = quiet_periods >= BLOCKED_CHECKS
            self.table.change(self, Phase.BLOCKED if blocked else Phase.SERVING)
        self.cut_off(unread)

    async def drain_for(self, seconds: float) -> bool:
        """Wait some seconds until the caller has read enough; return whether it has."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.writer.drain()
                return True
        return False

    def cut_off(self, unread: int) -> None:
        """Reset the connection of a stalled caller; raise `CallerStalled`."""
        reset_connection(self.writer)
        self.server.budget.record_stall(unread, UNREAD_TIMEOUT_S)
        raise CallerStalled("the caller does not read its response")

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        try:
            while await self.serve_request():
                if self.state.our_state is h11.MUST_CLOSE or self.server.closing:
                    break
                self.state.start_next_cycle()
                self.table.change(self, Phase.IDLE)
        except h11.RemoteProtocolError as error:
            await self.send_error(error.error_status_hint or 400, str(error))
        except RequestRefused as refusal:
            await self.refuse(refusal.status, refusal.detail)
        except HeadStalled:
            self.record_close(CloseReason.HEADER_TIMEOUT)
        except BodyStalled:
            self.record_close(CloseReason.BODY_TIMEOUT)
            await self.send_error(408, "the body made no progress")
        except TurnsExhausted:
            self.record_close(CloseReason.TURNS)
            detail = "this process is busy with other requests in many small pieces"
            await self.refuse(503, detail)
        finally:
            self.receiver.release()
            self.input.close()

    async def serve_request(self) -> bool:
        """Serve one request; return whether another may follow."""
        self.busy = self.is_handled = False
        self.receiver.begin_request()
        try:
            request = await self.receiver.receive_head(IDLE_TIMEOUT_S)
            if request is None:
                return False
            self.busy = True
            return await self.serve_read_request(request)
        finally:
            self.receiver.holding.release()

    async def serve_read_request(self, request: Request) -> bool:
        """Serve a request whose head was read; return whether another may follow."""
        if not await self.receiver.receive_body(request):
            return False
        self.receiver.end_receiving()
        self.table.change(self, Phase.SERVING)
        response = await self.run_handler(request)
        if response is None:
            return False
        if not await self.send_response(response, request.method):
            return False
        return self.state.our_state in (h11.DONE, h11.MUST_CLOSE)

    async def refuse(self, status: int, detail: str) -> None:
        """Answer a request that is not run, and discard the rest of it.

        One that is refused for now is told when it may be sent again.
        """
        self.receiver.release()
        await self.send_error(
            status, detail, [self.retry_after()] if status == 503 else ()
        )
        await self.discard_unread()

    def retry_after(self) -> tuple[str, str]:
        """Return the header field that tells when a refused caller may retry."""
        return "retry-after", f"{self.server.budget.retry_after():g}"

    async def discard_unread(self) -> None:
        """Discard what the caller still sends, so that it can read the response."""
        if self.writer.can_write_eof():
            self.writer.write_eof()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DISCARD_TIMEOUT_S):
                while await self.input.read():
                    pass

    async def run_handler(self, request: Request) -> Response | None:
        """Run the handler; return None if the caller closed the connection."""
        self.is_handled = True
        handling = asyncio.ensure_future(self.server.handler(request))
        buffered = 0
        try:
            while not handling.done():
                if buffered < BUFFER_BYTES:
                    self.input.start_reading()
                read = self.input.pending_read
                waiting = {handling, read} if read else {handling}
                await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
                data = None if handling.done() else self.input.take_read()
                if data == b"":
                    return None
                if data:
                    buffered += len(data)
                    self.state.receive_data(data)
            return self.handler_result(handling)
        finally:
            if not handling.done():
                handling.cancel()
                await asyncio.wait({handling})

    def handler_result(self, handling: asyncio.Future) -> Response:
        """Return a handler's response, or status 500 if it raised an exception."""
        try:
            return handling.result()
        except Exception as error:
            log.exception(
                "Request handler failed, answered with status 500: {!r}.", error
            )
            return problem_response(
                500, "unknown", "an error inside this process; see its log"
            )

    async def send_response(self, response: Response, method: str) -> bool:
        """Send a response; return whether it was sent completely."""
        headers = encode_fields(response.headers)
        streamed = not isinstance(response.body, bytes)
        if streamed:
            headers.append(("transfer-encoding", "chunked"))
        elif not any(key == "content-length" for key, _ in headers):
            headers.append(("content-length", str(len(response.body))))
        if self.server.closing or self.server.draining:
            headers.append(("connection", "close"))
        head = h11.Response(status_code=response.status, headers=headers)
        self.writer.write(self.state.send(head))
        if not streamed:
            if response.body and method != "HEAD":
                await self.send_data(response.body)
            self.writer.write(self.state.send(h11.EndOfMessage()))
            await self.drain()
            return True
        return await self.send_stream(response)

    async def send_data(self, data: bytes) -> None:
        """Send a body or a chunk of one, in parts if there is a memory budget.

        Written at once, all that the caller has not read yet would be buffered again.
        """
        if not self.server.budget.is_limited or len(data) <= BUFFER_BYTES:
            self.writer.write(self.state.send(h11.Data(data)))
            return
        for part in parts(data, BUFFER_BYTES):
            self.writer.write(self.state.send(h11.Data(part)))
            await self.drain()

    async def send_stream(self, response: Response) -> bool:
        """Send a streamed body with its trailers; return whether it was completed."""
        if self.input.reader.at_eof():
            await response.body.aclose()
            return False
        self.is_streaming = True
        try:
            async for data in response.body:
                if data:
                    await self.send_data(data)
                    await self.drain()
        except ResponseAborted as reason:
            log.info("Streamed response aborted, connection closed: {}.", reason)
            if self.state.their_http_version == b"1.0":
                # Without chunks, only a reset tells the body from a complete one.
                reset_connection(self.writer)
            return False
        finally:
            self.is_streaming = False
            await response.body.aclose()
        end = h11.EndOfMessage(headers=encode_fields(response.trailers()))
        self.writer.write(self.state.send(end))
        await self.drain()
        return True

    async def send_error(self, status: int, detail: str, extra_headers=()) -> None:
        """Answer a request that cannot be read with an error, and close."""
        if self.state.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        self.write_error(status, detail, extra_headers)
        await self.drain()

    def write_error(
        self, status: int, detail: str, extra_headers=(), outcome: str = "not run"
    ) -> None:
        """Write an error without waiting until the caller has read it."""
        response = problem_response(status, outcome, detail)
        headers = [*response.headers, *extra_headers, ("connection", "close")]
        headers.append(("content-length", str(len(response.body))))
        head = h11.Response(status_code=status, headers=headers)
        self.writer.write(self.state.send(head))
        self.writer.write(self.state.send(h11.Data(response.body)))
        self.writer.write(self.state.send(h11.EndOfMessage()))
