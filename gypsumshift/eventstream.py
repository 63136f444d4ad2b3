"""Event stream: split a ``text/event-stream`` response into its events."""

import asyncio
import math
from collections.abc import AsyncIterator

from gypsumshift.httpclient import Exchange, FetchError

# Maximum size of one event, with the empty lines before it. The longest events carry
# some hundred tokens.
MAX_EVENT_BYTES = 256 * 1024

__all__ = [
    "EventSplitter",
    "StreamBroken",
    "StreamWithheld",
    "event_field",
    "iter_events",
]


class StreamBroken(Exception):
    """Raised if a stream ended early, timed out or could not be opened.

    Parameters
    ----------
    reason : str
        What failed, for people.
    replaced : bool
        Whether another server now runs at the address.
    sent, closed, refused : bool
        See `FetchError`.
    """

    def __init__(
        self,
        reason: str,
        replaced: bool = False,
        sent: bool = True,
        closed: bool = False,
        refused: bool = False,
    ):
        super().__init__(reason)
        self.replaced = replaced
        self.sent = sent
        self.closed = closed
        self.refused = refused

    @classmethod
    def from_fetch_error(cls, error: FetchError) -> "StreamBroken":
        """Return the error of a stream whose connection failed."""
        return cls(str(error), False, error.sent, error.closed, error.refused)


class StreamWithheld(StreamBroken):
    """Raised if the check right before sending did not allow a stream's request."""

    def __init__(self, reason: str):
        super().__init__(reason, sent=False)


class EventSplitter:
    """Splits the bytes of a stream into its events, whatever pieces they come in.

    Attributes
    ----------
    rest : bytearray
        Bytes of the event that is not complete, with line feeds as line ends.
    held_return : bool
        Whether the last byte was a carriage return, which may begin a line end.
    """

    def __init__(self):
        self.rest = bytearray()
        self.held_return = False

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that are complete now, without the empty lines.

        Only the new bytes are searched, so that the cost of an event doesn't depend on
        the number of its pieces.
        """
        if self.held_return:
            data = b"\r" + data
        self.held_return = data.endswith(b"\r")
        if self.held_return:
            data = data[:-1]
        start = max(len(self.rest) - 1, 0)
        self.rest += data.replace(b"\r\n", b"\n")
        if self.rest.find(b"\n\n", start) < 0:
            return []
        *complete, last = bytes(self.rest).split(b"\n\n")
        self.rest = bytearray(last)
        return [block for block in complete if block.strip()]


async def iter_events(
    exchange: Exchange, idle_timeout: float = math.inf, ends_silence: bool = True
) -> AsyncIterator[bytes]:
    """Yield the bytes of each complete event, without the empty line after it.

    Parameters
    ----------
    exchange : Exchange
    idle_timeout : float
        Seconds without a complete event after which the stream counts as broken.
    ends_silence : bool
        Whether this holds for a server that sends nothing; otherwise only for one that
        sends bytes which complete no event.

    Raises
    ------
    StreamBroken
        The stream ended early or inside an event, no event came for too long, or one
        is too large.
    """
    loop = asyncio.get_running_loop()
    has_timer = ends_silence and idle_timeout < math.inf
    splitter = EventSplitter()
    since_event = 0
    idle_until = loop.time() + idle_timeout
    chunks = exchange.chunks()
    while True:
        try:
            async with asyncio.timeout_at(idle_until if has_timer else None):
                data = await anext(chunks, None)
        except FetchError as error:
            raise StreamBroken.from_fetch_error(error) from error
        except TimeoutError as error:
            raise idle_error(idle_timeout) from error
        if data is None:
            break
        since_event += len(data)
        for block in splitter.feed(data):
            since_event = len(splitter.rest)
            yield block
            idle_until = loop.time() + idle_timeout
        if since_event > MAX_EVENT_BYTES:
            raise StreamBroken(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        if loop.time() > idle_until:
            raise idle_error(idle_timeout)
    if splitter.rest.strip():
        raise StreamBroken("the stream ended inside an event", closed=True)


def idle_error(idle_timeout: float) -> StreamBroken:
    """Return the error of a stream without an event for too long."""
    return StreamBroken(f"no event of the stream within {idle_timeout} s")


def event_field(block: bytes, name: str) -> str:
    """Return the first field of a name in an event, or ``""`` if there is none."""
    for line in block.decode("utf-8", "replace").split("\n"):
        key, _, value = line.partition(":")
        if key == name:
            return value.removeprefix(" ")
    return ""
