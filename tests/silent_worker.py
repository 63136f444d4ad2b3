"""Builders for tests: engines whose streams fall silent, and go on or never do."""

import asyncio
import contextlib
import time

import attrs

from gypsumshift.httpclient import FetchError
from standins.users_documents import HOST
from standins.users_worker import FakeWorker, event_text

__all__ = ["FOREVER_S", "EventsSeen", "SilentWorker", "read_stream"]

FOREVER_S = 3600.0


class SilentWorker(FakeWorker):
    """Model engine whose next streams are silent at given places.

    Attributes
    ----------
    silences : list of dict
        For each of the next streams: seconds of silence by the event before which it
        comes; 0 stands for the head of the answer.
    ended_at : dict
        When the last run of a request ended, by the monotonic clock.
    """

    def __init__(self, service="pool", models=("m",), **fields):
        super().__init__(service, models, **fields)
        self.silences: list[dict[int, float]] = []
        self.ended_at: dict[str, float] = {}

    async def run_request(self, request):
        silence = self.silences.pop(0) if self.silences else {}
        response = await super().run_request(request)
        if not self.models:
            return response
        run = self.runs[-1]
        self.running += 1
        try:
            await asyncio.sleep(silence.get(0, 0))
        finally:
            self.running -= 1
        response.body = self.pause_events(response.body, run, silence)
        return response

    async def pause_events(self, events, run, silence):
        """Yield the events of a stream with its silences."""
        number = run["after"]
        async with contextlib.aclosing(events):
            try:
                async for event in events:
                    number += 1
                    await asyncio.sleep(silence.get(number, 0))
                    yield event
            finally:
                self.ended_at[run["request"]] = time.monotonic()


@attrs.frozen
class EventsSeen:
    """What a caller saw of a stream.

    Attributes
    ----------
    numbers : list of int
    whole : bool
        Whether the answer ended as complete.
    took_s : float
    body : bytes
    """

    numbers: list[int]
    whole: bool
    took_s: float
    body: bytes

    def is_right(self, item: str, count: int) -> bool:
        """Return whether all events came, in order, and none twice or altered."""
        texts = [event_text(item, number) for number in range(1, count + 1)]
        data = [
            line.removeprefix(b"data: ").decode()
            for line in self.body.splitlines()
            if line.startswith(b"data: ")
        ]
        return self.whole and self.numbers == [*range(1, count + 1)] and data == texts


async def read_stream(world, target, item, **fields) -> EventsSeen:
    """Request a stream at the gateway; return what came of it."""
    headers = [("request-id", item)]
    headers += [(name.replace("_", "-"), value) for name, value in fields.items()]
    began = time.monotonic()
    body = b""
    whole = False
    with contextlib.suppress(FetchError):
        exchange = await world.fetcher.open(
            world.front_address, "POST", target, headers, b"x", fresh=True, host=HOST
        )
        with contextlib.closing(exchange):
            async for data in exchange.chunks():
                body += data
            whole = exchange.status == 200
    numbers = [
        int(line.removeprefix(b"id: "))
        for line in body.splitlines()
        if line.startswith(b"id: ")
    ]
    return EventsSeen(numbers, whole, time.monotonic() - began, body)
