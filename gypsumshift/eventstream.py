"""Event stream: whole events out of the bytes of a ``text/event-stream`` answer."""

import asyncio
from collections.abc import AsyncIterator

from gypsumshift.httpclient import Exchange, FetchError

__all__ = ["StreamBroken", "iter_events", "event_field"]


class StreamBroken(Exception):
    """A stream ended before its end.

    Parameters
    ----------
    reason : str
    replaced : bool
        Whether another server stands at the address now.
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
        """Return that a stream broke with its connection."""
        return cls(str(error), False, error.sent, error.closed, error.refused)


async def iter_events(exchange: Exchange, silence: float) -> AsyncIterator[bytes]:
    """Yield the bytes of each whole event, without the empty line behind it.

    Parameters
    ----------
    exchange : Exchange
    silence : float
        Seconds without a byte after which the stream is taken for dead.

    Raises
    ------
    StreamBroken
        The stream ended early, or inside an event.
    """
    rest = b""
    chunks = exchange.chunks()
    while True:
        try:
            async with asyncio.timeout(silence):
                data = await anext(chunks, None)
        except FetchError as error:
            raise StreamBroken.from_fetch_error(error) from error
        except TimeoutError as error:
            raise StreamBroken("no event in time") from error
        if data is None:
            break
        *whole, rest = (rest + data).replace(b"\r\n", b"\n").split(b"\n\n")
        for block in whole:
            if block.strip():
                yield block
    if rest.strip():
        raise StreamBroken("the stream ended inside an event", closed=True)


def event_field(block: bytes, name: str) -> str:
    """Return the first field of that name in an event; ``""`` where it has none."""
    for line in block.decode("utf-8", "replace").split("\n"):
        key, _, value = line.partition(":")
        if key == name:
            return value.removeprefix(" ")
    return ""
