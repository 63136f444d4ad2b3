"""Engine: a model engine's streams, its report and its orders.

What vendors and platforms call these things is left to an `EngineProtocol`.
"""

import abc
import asyncio
import contextlib
from collections.abc import AsyncIterator

import attrs

from gypsumshift.eventstream import StreamBroken, blocks
from gypsumshift.fetch import Exchange, Fetcher, FetchError
from gypsumshift.jobs.records import Item, Job
from gypsumshift.outcomes import Answered, NotRun, Unknown
from gypsumshift.serving.directory import BackendServer
from gypsumshift.serving.headers import HeaderNames
from gypsumshift.serving.responses import MISDIRECTED, mismatched_request_id

__all__ = [
    "EngineClient",
    "EngineProtocol",
    "EngineReport",
    "Event",
    "StreamRefused",
    "WeightLoadOrder",
]

# Seconds without an event after which a stream is taken for dead. Changing weights
# stalls an engine for up to 2.3 s, and a host may be frozen for some seconds: a
# longer wait loses more than reading the prompt again, which takes 10 ms.
SILENCE_TIMEOUT = 3.0
CONNECT_TIMEOUT = 0.5
REPORT_TIMEOUT = 0.5
ORDER_TIMEOUT = 1.0


@attrs.frozen
class Event:
    """One event of a stream.

    Attributes
    ----------
    number : int
        1 for the first event of the whole output.
    data : str
    version : int
        Weight version that generated it; 0 where the engine did not tell.
    """

    number: int
    data: str
    version: int


@attrs.frozen
class EngineReport:
    """What a model engine says of itself.

    Attributes
    ----------
    versions : dict
        Loaded weight version by model.
    busy : bool
        Whether an order is being carried out.
    orders : int
        Orders accepted since its start.
    running, waiting : int
        Requests.
    born : int
        Start of the engine; see `ServerStart`.
    """

    versions: dict[str, int]
    busy: bool
    orders: int
    running: int
    waiting: int
    born: int = 0


@attrs.frozen
class WeightLoadOrder:
    """Order to load a weight version of a model.

    Attributes
    ----------
    model : str
    version : int
    holder : str
        Host that gives the order.
    fence : int
        Grows with each start of that host's process.
    orders : int
        Orders that the engine must have accepted before this one; an order that
        comes late is refused by it.
    """

    model: str
    version: int
    holder: str
    fence: int
    orders: int


class StreamRefused(Exception):
    """The engine did not run the item.

    Parameters
    ----------
    status : int
        HTTP status code.
    run : bool
        Whether this counts as a run that failed.
    """

    def __init__(self, status: int, counts_as_failure: bool):
        super().__init__(f"status {status}")
        self.status = status
        self.counts_as_failure = counts_as_failure

    @property
    def replaced(self) -> bool:
        """Whether another server stands at the address now."""
        return self.status == MISDIRECTED


class EngineProtocol(abc.ABC):
    """How an engine's report and orders look on the wire."""

    report_target: str
    order_target: str

    @abc.abstractmethod
    def parse_report(self, body: bytes) -> EngineReport:
        """Return the report in an answer; raises ValueError for a foreign one."""

    @abc.abstractmethod
    def order_body(self, order: WeightLoadOrder) -> bytes:
        """Return the body of an order."""


class EngineClient:
    """Client of model engines.

    Parameters
    ----------
    fetcher : Fetcher
    names : HeaderNames
    protocol : EngineProtocol
    """

    def __init__(self, fetcher: Fetcher, names: HeaderNames, protocol: EngineProtocol):
        self.fetcher = fetcher
        self.names = names
        self.protocol = protocol

    async def stream(
        self, server: BackendServer, item: Item, job: Job, after: int, urgency: int
    ) -> AsyncIterator[Event]:
        """Yield the events of an item, behind those that are held already.

        Parameters
        ----------
        server : BackendServer
        item : Item
        job : Job
            Its batch job, whose host and workspace it has.
        after : int
            Number of the last event held; 0 for none.
        urgency : int
            Rank at the engine, 0 for the most urgent.

        Raises
        ------
        StreamRefused
            Nothing was generated.
        StreamBroken
            The stream ended early.
        """
        try:
            async with asyncio.timeout(SILENCE_TIMEOUT):
                exchange = await self.fetcher.open(
                    server.address,
                    "POST",
                    item.path,
                    self.fields(server, item, job.workspace, after, urgency),
                    item.body,
                    host=job.host,
                    connect_timeout=CONNECT_TIMEOUT,
                )
        except FetchError as error:
            raise StreamBroken.of(error) from error
        except TimeoutError as error:
            raise StreamBroken("no answer in time") from error
        with contextlib.closing(exchange):
            await self.check(exchange, item)
            version = number(exchange.header(self.names.versions.encode()))
            stream = blocks(exchange, SILENCE_TIMEOUT)
            async with contextlib.aclosing(stream):
                async for block in stream:
                    event = self.parse(block, version)
                    version = event.version
                    yield event

    def fields(
        self, server, item, workspace: str, after: int, urgency: int
    ) -> list[tuple[str, str]]:
        """Return the header fields of an item's request."""
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

    async def check(self, exchange: Exchange, item: Item) -> None:
        """Raise unless an answer is the stream of the item."""
        foreign = mismatched_request_id(exchange, self.names, item.id)
        if foreign:
            raise StreamBroken(f"an answer to the request {foreign}")
        if exchange.status != 200:
            not_run = exchange.header(self.names.not_run.encode())
            # Read to its end, the connection serves the next try.
            with contextlib.suppress(FetchError, TimeoutError):
                async with asyncio.timeout(REPORT_TIMEOUT):
                    await exchange.read()
            raise StreamRefused(exchange.status, exchange.status == 500 and not not_run)
        if not exchange.header(self.names.signature.encode()):
            raise StreamBroken("an answer without a signature")

    def parse(self, block: bytes, version: int) -> Event:
        """Return the event in its bytes; ``version`` holds unless it says else."""
        event_id = 0
        data = []
        for line in block.decode("utf-8", "replace").split("\n"):
            name, _, value = line.partition(":")
            value = value.removeprefix(" ")
            if name == self.names.event_version:
                version = number(value)
            elif name == "id":
                event_id = number(value)
            elif name == "data":
                data.append(value)
        return Event(event_id, "\n".join(data), version)

    async def fetch_report(self, server: BackendServer) -> EngineReport | None:
        """Ask an engine for its report; None where it does not give one."""
        try:
            answer = await self.fetcher.fetch(
                server.address,
                "GET",
                self.protocol.report_target,
                timeout=REPORT_TIMEOUT,
            )
            if answer.status != 200:
                return None
            return self.protocol.parse_report(answer.body)
        except (FetchError, ValueError):
            return None

    async def send_order(
        self, server: BackendServer, order: WeightLoadOrder
    ) -> Answered | NotRun | Unknown:
        """Give an order; without an answer it may be carried out, even later."""
        headers = [
            ("content-type", "application/json"),
            (self.names.expected_server, server.id),
        ]
        try:
            answer = await self.fetcher.fetch(
                server.address,
                "POST",
                self.protocol.order_target,
                headers,
                self.protocol.order_body(order),
                ORDER_TIMEOUT,
            )
        except FetchError as error:
            return Unknown(str(error)) if error.sent else NotRun(str(error))
        return Answered(answer.status, (), answer.body)


def number(text: str) -> int:
    """Return a number as it stands in a header field; 0 for anything else."""
    text = text.strip()
    return int(text) if text.isdigit() else 0
