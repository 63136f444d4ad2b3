"""Load: open-loop callers, whose latency counts from when they meant to call."""

import asyncio
import random

import attrs
from hdrh.histogram import HdrHistogram

from gypsumshift import Answered, AsyncClient, NotRun

__all__ = ["Load", "Result"]

HIGHEST_US = 120_000_000
DIGITS = 3


@attrs.define
class Result:
    """What came of one load.

    Attributes
    ----------
    histogram : HdrHistogram
        Latencies of answered calls, in microseconds.
    answered, not_run, unknown, failed : int
        Calls by outcome; failed are answers with status 500 or more.
    attempts : int
        Attempts that entries made for them.
    seconds : float
        From the first call to the last answer.
    """

    histogram: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, HIGHEST_US, DIGITS)
    )
    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    failed: int = 0
    attempts: int = 0
    seconds: float = 0.0

    @property
    def calls(self) -> int:
        """All calls."""
        return self.answered + self.not_run + self.unknown + self.failed

    def quantile(self, percent: float) -> float:
        """Return a quantile of the latency in milliseconds."""
        return self.histogram.get_value_at_percentile(percent) / 1000

    def add(self, other: "Result") -> None:
        """Add another result, such as that of a later segment."""
        self.histogram.add(other.histogram)
        for name in ("answered", "not_run", "unknown", "failed", "attempts", "seconds"):
            setattr(self, name, getattr(self, name) + getattr(other, name))

    def summary(self) -> dict:
        """Return the figures as JSON."""
        return {
            "calls": self.calls,
            "answered": self.answered,
            "not_run": self.not_run,
            "unknown": self.unknown,
            "failed": self.failed,
            "attempts": self.attempts,
            "p50_ms": round(self.quantile(50), 2),
            "p99_ms": round(self.quantile(99), 2),
            "rate": round(self.answered / self.seconds, 1) if self.seconds else 0,
        }


class Load:
    """Callers that arrive by a Poisson process, whatever becomes of those before.

    Parameters
    ----------
    urls : list of str
        Of the workspace at the entries.
    rate : float
        Calls a second.
    seed : int
    request : callable
        Takes a random generator, returns (method, path, body, headers).
    timeout : float
        Seconds for each call.
    """

    def __init__(self, urls, rate, seed, request, timeout=3.0):
        self.clients = [
            AsyncClient(urls[n:] + urls[:n], timeout) for n in range(len(urls))
        ]
        self.rate = rate
        self.chance = random.Random(seed)
        self.request = request
        self.timeout = timeout

    async def run(self, seconds: float) -> Result:
        """Call for some seconds, then wait for all answers."""
        result = Result()
        loop = asyncio.get_running_loop()
        begin = loop.time()
        due, calls = begin, set()
        while True:
            due += self.chance.expovariate(self.rate)
            if due >= begin + seconds:
                break
            if (early := due - loop.time()) > 0:
                await asyncio.sleep(early)
            call = asyncio.create_task(self.call(result, due))
            calls.add(call)
            call.add_done_callback(calls.discard)
        if calls:
            await asyncio.wait(set(calls))
        result.seconds = loop.time() - begin
        for client in self.clients:
            client.fetcher.close_idle()
        return result

    async def call(self, result: Result, due: float) -> None:
        """Call once, without retries of the client's own."""
        method, path, body, headers = self.request(self.chance)
        client = self.chance.choice(self.clients)
        fields = [*headers, ("prefer", f"wait={self.timeout}")]
        outcome = await client.call_once(method, path, fields, body, self.timeout)
        took = asyncio.get_running_loop().time() - due
        if isinstance(outcome, NotRun):
            result.not_run += 1
        elif not isinstance(outcome, Answered):
            result.unknown += 1
        elif outcome.status >= 500:
            result.failed += 1
        else:
            result.answered += 1
            result.attempts += int(outcome.header("gypsumshift-attempts", "1"))
            result.histogram.record_value(max(1, int(took * 1e6)))
