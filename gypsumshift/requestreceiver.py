"""Request receiver: takes in the requests of a connection, within limits on their size.

What a request holds is reserved in the memory budget before or as it arrives.
"""

import datetime

import h11

from gypsumshift.bytebudget import ByteKind, Holding
from gypsumshift.flowcontrol import (
    BUFFER_BYTES,
    LARGE_RECEIVE_BYTES,
    RECEIVE_BYTES,
    set_receive_size,
)
from gypsumshift.httpmessages import (
    Request,
    declared_length,
    head_size,
    may_have_body,
    parse_head,
)
from gypsumshift.requestreader import IdleTimeout, RequestReader

__all__ = ["RequestReceiver", "RequestRefused"]

# Bytes of an unfinished head that are not counted in the memory budget.
FREE_HEAD_BYTES = 4 * 1024
# Header fields of a request that are not counted, and the memory of each further one:
# its name and value as they were received and as they were decoded.
FREE_FIELDS = 64
BYTES_PER_FIELD = 512
# Smallest reservation for a body of unknown length.
BODY_STEP_BYTES = 1024
# Bytes that a connection buffers while it receives an unfinished body: received and not
# read yet, read and not parsed yet, and in the parser.
RECEIVING_BYTES = 3 * RECEIVE_BYTES
# What it buffers besides when it receives more at once.
WIDE_BYTES = 3 * (LARGE_RECEIVE_BYTES - RECEIVE_BYTES)


class RequestRefused(Exception):
    """Raised if a request is refused before it was received completely.

    Parameters
    ----------
    status : int
    detail : str
        One sentence for people.
    """

    def __init__(self, status: int, detail: str):
        super().__init__(detail)
        self.status = status
        self.detail = detail


class RequestReceiver:
    """Takes in the requests of one connection, one after another.

    Parameters
    ----------
    server : HttpServer
    connection : ServerConnection
        The connection in the tables of the process.
    reader : RequestReader

    Attributes
    ----------
    holding : Holding
        What the request that is being received or served holds in the memory budget.
    widened : bool
        Whether more than usual is received at once.
    waits_for_body : bool
        Whether a body did not arrive at once with its head.
    buffer_bytes : int
        Bytes reserved for the buffers of the connection while a body arrives.
    """

    def __init__(self, server, connection, reader: RequestReader):
        self.server = server
        self.connection = connection
        self.reader = reader
        self.state: h11.Connection = reader.state
        self.holding: Holding = server.budget.hold()
        self.widened = False
        self.waits_for_body = False
        self.buffer_bytes = 0

    def begin_request(self) -> None:
        """Start to count for the next request."""
        self.holding = self.server.budget.hold()
        self.reader.begin_request()

    def release(self) -> None:
        """Release what the request holds."""
        self.holding.release()
        self.end_receiving()

    def end_receiving(self) -> None:
        """Note that nothing more of the request is to arrive."""
        self.server.inbound.end_receiving(self.server.budget, self.connection)

    async def receive_head(self, default_timeout: float) -> Request | None:
        """Return the next request without its body; None if none follows.

        Parameters
        ----------
        default_timeout : float
            Seconds that a connection may be idle where the operator sets no limit.
        """
        limits = self.server.client_limits
        idle_timeout = seconds(limits.idle_timeout, default_timeout)
        header_timeout = seconds(limits.header_timeout, idle_timeout)
        try:
            begun = await self.reader.wait_for_request(idle_timeout)
        except IdleTimeout:
            return None
        if not begun:
            return None
        self.server.table.begin_request(self.connection)
        head = await self.parse_head()
        while head is h11.NEED_DATA:
            self.reserve_head(self.reader.unparsed - FREE_HEAD_BYTES)
            self.note_bytes(await self.reader.receive_head(header_timeout))
            head = await self.parse_head()
        return self.accept_head(head) if isinstance(head, h11.Request) else None

    async def parse_head(self):
        """Return the head if it is complete, else `h11.NEED_DATA`."""
        if self.reader.holds_large_head:
            return await self.reader.parse_in_turn()
        return self.state.next_event()

    def accept_head(self, head: h11.Request) -> Request:
        """Return the request of a head; raise `RequestRefused` if it is too large."""
        limit = self.server.client_limits.header_bytes
        if self.reader.unparsed > limit and head_size(head) > limit:
            raise RequestRefused(431, f"the head exceeds {limit} bytes")
        fields = len(head.headers) - FREE_FIELDS
        if fields > 0:
            self.reserve_head(fields * BYTES_PER_FIELD)
        return parse_head(head, self.holding)

    def reserve_head(self, size: int) -> None:
        """Reserve what a large head holds in sum."""
        missing = size - self.holding.size(ByteKind.REQUEST)
        if missing > 0:
            self.reserve(ByteKind.REQUEST, missing, "")

    def reserve(self, kind: ByteKind, size: int, target: str) -> None:
        """Reserve memory for the request; raise `RequestRefused` if it does not fit."""
        inbound = self.server.inbound
        if inbound.reserve(self.connection, self.holding, kind, size):
            return
        self.server.budget.record_refusal(kind, size, target=target)
        raise RequestRefused(503, "the request does not fit into the memory budget")

    def note_bytes(self, count: int) -> None:
        """Note that bytes of the request have arrived."""
        if self.server.table.record_bytes(self.connection, count):
            self.reader.progress_at = self.reader.loop.time()
            self.server.inbound.record_progress(self.server.budget, self.connection)

    async def receive_body(self, request: Request) -> bool:
        """Receive the body of a request; return False if it is incomplete.

        Its declared length is reserved in the memory budget at once. A body of unknown
        length is reserved as it arrives.
        """
        if not may_have_body(request):
            self.state.next_event()
            return True
        declared = declared_length(request)
        self.check_size(declared)
        kind = self.server.classify_body(request)
        if declared:
            self.reserve(kind, declared, request.target)
        self.reader.begin_body(bool(request.header("transfer-encoding")))
        try:
            body = await self.receive_pieces(request, kind, declared)
        finally:
            self.reader.end_body()
            self.narrow()
            self.holding.remove(ByteKind.REQUEST, self.buffer_bytes)
            self.waits_for_body = False
            self.buffer_bytes = 0
        if body is None:
            return False
        request.body = bytes(body)
        return True

    async def receive_pieces(
        self, request: Request, kind: ByteKind, reserved: int
    ) -> bytearray | None:
        """Return a body whose memory is reserved in part; None if it is incomplete."""
        body = bytearray()
        noted = 0
        self.widen(reserved)
        while True:
            event = await self.reader.next_body_event()
            if event is h11.NEED_DATA:
                self.note_bytes(len(body) - noted)
                noted = len(body)
                self.reserve_buffers(request)
                await self.reader.receive_body()
                continue
            if isinstance(event, h11.EndOfMessage):
                return body
            if not isinstance(event, h11.Data):
                return None
            body += event.data
            self.check_size(len(body))
            if len(body) > reserved:
                missing = max(BODY_STEP_BYTES, len(body) - reserved)
                self.reserve(kind, missing, request.target)
                reserved += missing
                self.widen(reserved)

    def check_size(self, size: int) -> None:
        """Raise `RequestRefused` for a body above the maximum size."""
        limit = self.server.max_body_bytes
        if size > limit:
            raise RequestRefused(413, f"the body exceeds {limit} bytes")

    def reserve_buffers(self, request: Request) -> None:
        """Reserve the buffers of a connection whose body did not arrive at once."""
        if self.waits_for_body:
            return
        self.reserve(ByteKind.REQUEST, RECEIVING_BYTES, request.target)
        self.waits_for_body = True
        self.buffer_bytes += RECEIVING_BYTES

    def widen(self, size: int) -> None:
        """Receive more at once of a body of a large size, if the buffers fit."""
        if size <= BUFFER_BYTES or self.widened:
            return
        if not self.holding.add(ByteKind.REQUEST, WIDE_BYTES):
            return
        self.buffer_bytes += WIDE_BYTES
        self.widened = True
        set_receive_size(self.reader.writer, LARGE_RECEIVE_BYTES)

    def narrow(self) -> None:
        """Receive little at once again."""
        if self.widened:
            self.widened = False
            set_receive_size(self.reader.writer, RECEIVE_BYTES)


def seconds(time: datetime.timedelta | None, default: float) -> float:
    """Return a time limit in seconds; the default if there is none."""
    return default if time is None else time.total_seconds()
