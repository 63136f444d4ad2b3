"""Client of model engines: streams of items, status reports and weight-load orders.

The wire format of reports and orders depends on the vendor or platform; an
`EngineProtocol` defines it.
"""

import abc
import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import attrs

from gypsumshift.eventstream import StreamBroken, StreamWithheld, iter_events
from gypsumshift.httpclient import Exchange, Fetcher, FetchError, RequestWithheld
from gypsumshift.jobs.itemstream import (
    SILENCE_TIMEOUT,
    Event,
    ItemStream,
    StreamRefused,
)
from gypsumshift.jobs.records import Item, Job
from gypsumshift.outcomes import Answered, NotRun, Unknown
from gypsumshift.serving.coldrates import SERVER_COLD, ColdRates, SendCheck
from gypsumshift.serving.directory import BackendServer
from gypsumshift.serving.evacuations import ZONE_EVACUATED
from gypsumshift.serving.headers import HeaderNames
from gypsumshift.serving.responses import MISDIRECTED, mismatched_request_id
from gypsumshift.wholenumbers import parse_whole_number

__all__ = [
    "EngineClient",
    "EngineProtocol",
    "EngineReport",
    "Event",
    "SILENCE_TIMEOUT",
    "StreamRefused",
    "WeightLoadOrder",
    "send_id",
]

CONNECT_TIMEOUT = 0.5
REPORT_TIMEOUT = 0.5
# Maximum sizes of a report, and of other answers that are not streams, in bytes.
MAX_REPORT_BYTES = 256 * 1024
MAX_ANSWER_BYTES = 64 * 1024
NOT_PERMITTED = "the homes or the route of the job do not permit the engine"
ORDER_TIMEOUT = 1.0
# Status with which a server answers a run that it has failed.
HTTP_FAILED = 500


@attrs.frozen
class EngineReport:
    """Status report of a model engine.

    Attributes
    ----------
    versions : dict
        Loaded weight version by model.
    busy : bool
        Whether the engine is executing an order.
    orders : int
        Number of orders accepted since the engine started.
    running, waiting : int
        Number of requests in execution and in the queue.
    born : int
        Identifies the start of the engine; see `ServerStart`.
    """

    versions: dict[str, int]
    busy: bool
    orders: int
    running: int
    waiting: int
    born: int = 0


@attrs.frozen
class WeightLoadOrder:
    """Order to an engine to load a weight version of a model.

    Attributes
    ----------
    model : str
    version : int
    holder : str
        Host that sends the order.
    fence : int
        Fencing token, which grows with each start of that host's process.
    orders : int
        Number of orders that the engine must have accepted before this one; the
        engine refuses an order that arrives late.
    """

    model: str
    version: int
    holder: str
    fence: int
    orders: int


class EngineProtocol(abc.ABC):
    """Wire format of an engine's reports and orders."""

    report_target: str
    order_target: str

    @abc.abstractmethod
    def parse_report(self, body: bytes) -> EngineReport:
        """Return the report in a response; raise ValueError if it cannot be parsed."""

    @abc.abstractmethod
    def order_body(self, order: WeightLoadOrder) -> bytes:
        """Return the request body of an order."""


class EngineClient:
    """Sends items, report requests and orders to model engines.

    Parameters
    ----------
    fetcher : Fetcher
    names : HeaderNames
    protocol : EngineProtocol

    Attributes
    ----------
    on_load : callable
        Called with the load header of each answer; with an empty text where it has
        none.
    may_run : callable
        Returns whether items of a job may be sent to a server now; see `residency` and
        `JobServices`.
    may_send : callable
        Returns whether a request may be sent to a server; asked immediately before
        each request of any kind. By default always.
    cold_rates : ColdRates or None
        Limits the requests to engines that have just started.
    """

    def __init__(self, fetcher: Fetcher, names: HeaderNames, protocol: EngineProtocol):
        self.fetcher = fetcher
        self.names = names
        self.protocol = protocol
        self.on_load: Callable[[str], None] = ignore_load
        self.may_run: Callable[[Job, BackendServer], bool] = lambda job, server: True
        self.may_send: Callable[[BackendServer], bool] = lambda server: True
        self.cold_rates: ColdRates | None = None

    async def stream(
        self, server: BackendServer, item: Item, job: Job, after: int, urgency: int
    ) -> AsyncIterator[Event]:
        """Request an item's output and yield its events, from a position on.

        A silent engine is asked again; see `ItemStream`.

        Parameters
        ----------
        server : BackendServer
        item : Item
        job : Job
            Batch job of the item, which gives the host and the workspace.
        after : int
            Number of the last event received earlier; 0 for none.
        urgency : int
            Priority at the engine, 0 for the most urgent.

        Raises
        ------
        StreamRefused
            The engine answered with an error status and generated nothing.
        StreamBroken
            The stream ended early.
        """

        def begin_run(after: int) -> AsyncIterator[Event]:
            return self.run_events(server, item, job, after, urgency)

        stream = ItemStream(server, send_id(job, item), after, begin_run)
        async with contextlib.aclosing(stream):
            async for event in stream:
                yield event

    async def run_events(
        self, server: BackendServer, item: Item, job: Job, after: int, urgency: int
    ) -> AsyncIterator[Event]:
        """Request an item's output once, and yield its events."""
        headers = self.request_headers(server, item, job.workspace, after, urgency)
        exchange = await self.open_stream(server, item, job, headers)
        with contextlib.closing(exchange):
            self.on_load(exchange.header(self.names.load.encode()))
            await self.check_response(exchange, item)
            version = parse_number(exchange.header(self.names.versions.encode()))
            stream = iter_events(exchange, SILENCE_TIMEOUT, ends_silence=False)
            async with contextlib.aclosing(stream):
                async for block in stream:
                    event = self.parse_event(block, version)
                    version = event.version
                    yield event

    async def open_stream(
        self, server: BackendServer, item: Item, job: Job, headers: list
    ) -> Exchange:
        """Send the request of an item; return once the head of its answer arrived."""
        check = self.send_check(server, send_id(job, item))
        try:
            exchange = await self.fetcher.open(
                server.address,
                "POST",
                item.path,
                headers,
                item.body,
                host=job.host,
                connect_timeout=CONNECT_TIMEOUT,
                allowed=lambda: (
                    self.may_run(job, server) and self.permits(server, check)
                ),
                **connection_option(check),
            )
        except RequestWithheld as error:
            raise StreamWithheld(self.withheld_reason(server, job, check)) from error
        except FetchError as error:
            raise StreamBroken.from_fetch_error(error) from error
        finally:
            if check is not None:
                check.settle()
        if check is not None:
            cold_left = exchange.header(self.names.cold_left.encode())
            check.note_answer(exchange.status == MISDIRECTED, cold_left)
        return exchange

    def permits(self, server: BackendServer, check: SendCheck | None) -> bool:
        """Return whether a request may be sent now; if so, it counts as sent."""
        # `may_send` records a send, so it comes last.
        return (check is None or check()) and self.may_send(server)

    def withheld_reason(
        self, server: BackendServer, job: Job, check: SendCheck | None
    ) -> str:
        """Return why an item of a job was not sent."""
        if not self.may_run(job, server):
            return NOT_PERMITTED
        is_cold = check is not None and check.record is None
        return SERVER_COLD if is_cold else ZONE_EVACUATED

    def send_check(self, server: BackendServer, request_id: str) -> SendCheck | None:
        """Return the check to make right before a send; None without a limit."""
        if self.cold_rates is None:
            return None
        return self.cold_rates.check(server, request_id)

    def request_headers(
        self, server, item, workspace: str, after: int, urgency: int
    ) -> list[tuple[str, str]]:
        """Return the header fields of an item's request.

        The item's own urgency is replaced. The caller's identity (key and workspace) is
        not sent to the server, only the job's workspace.
        """
        own = (self.names.urgency, *self.names.identity)
        fields = [f for f in item.headers.items() if f[0] not in own]
        if workspace:
            fields.append((self.names.workspace, workspace))
        fields.append((self.names.urgency, str(urgency)))
        fields.append((self.names.request_id, item.id))
        fields.append((self.names.expected_server, server.id))
        if after:
            fields.append((self.names.last_event, str(after)))
        return fields

    async def check_response(self, exchange: Exchange, item: Item) -> None:
        """Raise unless a response is the output stream of the item."""
        foreign = mismatched_request_id(exchange, self.names, item.id)
        if foreign:
            raise StreamBroken(
                f"response belongs to request {foreign}, not to item {item.id}"
            )
        if exchange.status != 200:
            not_run = exchange.header(self.names.not_run.encode())
            failed = exchange.status == HTTP_FAILED and not not_run
            # A second copy of a failure, which may come late, has the id of the item's
            # next run.
            exchange.keeps_connection = not failed
            # A response that was read to its end leaves the connection reusable.
            with contextlib.suppress(FetchError, TimeoutError):
                async with asyncio.timeout(REPORT_TIMEOUT):
                    await exchange.read(max_bytes=MAX_ANSWER_BYTES)
            raise StreamRefused(exchange.status, failed)
        if not exchange.header(self.names.signature.encode()):
            raise StreamBroken(f"response to item {item.id} has no signature header")

    def parse_event(self, block: bytes, version: int) -> Event:
        """Parse one event; ``version`` applies unless the event has its own."""
        event_id = 0
        data = []
        for line in block.decode("utf-8", "replace").split("\n"):
            name, _, value = line.partition(":")
            value = value.removeprefix(" ")
            if name == self.names.event_version:
                version = parse_number(value)
            elif name == "id":
                event_id = parse_number(value)
            elif name == "data":
                data.append(value)
        return Event(event_id, "\n".join(data), version)

    async def fetch_report(self, server: BackendServer) -> EngineReport | None:
        """Request an engine's report; return None where it gives no valid one."""
        asked_at = self.cold_rates.clock.monotonic() if self.cold_rates else 0.0
        try:
            answer = await self.fetcher.fetch(
                server.address,
                "GET",
                self.protocol.report_target,
                timeout=REPORT_TIMEOUT,
                allowed=lambda: self.may_send(server),
                max_bytes=MAX_REPORT_BYTES,
            )
            self.on_load(find_header(answer.headers, self.names.load))
            if self.cold_rates is not None:
                cold_left = find_header(answer.headers, self.names.cold_left)
                self.cold_rates.note_answer(server, cold_left, asked_at)
            if answer.status != 200:
                return None
            return self.protocol.parse_report(answer.body)
        except (FetchError, ValueError):
            return None

    async def send_order(
        self, server: BackendServer, order: WeightLoadOrder
    ) -> Answered | NotRun | Unknown:
        """Send an order; without a response it may still be executed, even later."""
        headers = [
            ("content-type", "application/json"),
            (self.names.expected_server, server.id),
        ]
        check = self.send_check(server, f"order {order.orders}")
        try:
            answer = await self.fetcher.fetch(
                server.address,
                "POST",
                self.protocol.order_target,
                headers,
                self.protocol.order_body(order),
                ORDER_TIMEOUT,
                allowed=lambda: self.permits(server, check),
                max_bytes=MAX_ANSWER_BYTES,
                **connection_option(check),
            )
        except FetchError as error:
            return Unknown(str(error)) if error.sent else NotRun(str(error))
        finally:
            if check is not None:
                check.settle()
        return Answered(answer.status, (), answer.body)


def send_id(job: Job, item: Item) -> str:
    """Return the id under which the send of an item's request is reserved."""
    return f"{job.id}/{item.id}"


def connection_option(check: SendCheck | None) -> dict[str, Callable]:
    """Return the option of the fetcher by which a check gets the connection."""
    return {} if check is None else {"on_connection": check.prepare}


def ignore_load(text: str) -> None:
    """Ignore the load header of an answer."""


def find_header(headers: list[tuple[bytes, bytes]], name: str) -> str:
    """Return the value of a response's header field; an empty text without it."""
    found = (value for key, value in headers if key.lower() == name.encode())
    return next(found, b"").decode("latin-1")


def parse_number(text: str) -> int:
    """Parse a non-negative integer of a header field; return 0 for anything else."""
    return parse_whole_number(text) or 0
