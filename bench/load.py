"""Open-loop load generator that measures latency from each call's scheduled time."""

import asyncio
import random

import attrs
from hdrh.histogram import HdrHistogram

from gypsumshift import Answered, AsyncClient, NotRun

__all__ = ["LoadGenerator", "LoadResult"]

MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3


@attrs.define
class LoadResult:
    """Outcomes and latencies of a load.

    Attributes
    ----------
    histogram : HdrHistogram
        Latencies of answered calls, in microseconds.
    answered, not_run, unknown, failed : int
        Number of calls by outcome; failed are answers with status 500 or higher.
    attempts : int
        Attempts that entries made for the answered calls.
    seconds : float
        Time from the start of the load to the last answer.
    """

    histogram: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    )
    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    failed: int = 0
    attempts: int = 0
    seconds: float = 0.0

    @property
    def calls(self) -> int:
        """Number of calls with any outcome."""
        return self.answered + self.not_run + self.unknown + self.failed

    def percentile_ms(self, percent: float) -> float:
        """Return a percentile of the latency in milliseconds."""
        return self.histogram.get_value_at_percentile(percent) / 1000

    def add(self, other: "LoadResult") -> None:
        """Add the counts and latencies of another result, such as a later segment."""
        self.histogram.add(other.histogram)
        for name in ("answered", "not_run", "unknown", "failed", "attempts", "seconds"):
            setattr(self, name, getattr(self, name) + getattr(other, name))

    def summary(self) -> dict:
        """Return the counts, latency percentiles and rate for the result file."""
        return {
            "calls": self.calls,
            "answered": self.answered,
            "not_run": self.not_run,
            "unknown": self.unknown,
            "failed": self.failed,
            "attempts": self.attempts,
            "p50_ms": round(self.percentile_ms(50), 2),
            "p99_ms": round(self.percentile_ms(99), 2),
            "rate": round(self.answered / self.seconds, 1) if self.seconds else 0,
        }


class LoadGenerator:
    """Open-loop generator whose calls arrive by a Poisson process.

    Calls are made at their scheduled times, even while earlier ones are unanswered.

    Parameters
    ----------
    urls : list of str
        URLs of the workspace at the entries.
    rate : float
        Calls per second.
    seed : int
    make_request : callable
        Takes a random generator; returns (method, path, body, headers).
    timeout : float
        Time limit of each call in seconds.
    """

    def __init__(self, urls, rate, seed, make_request, timeout=3.0):
        self.clients = [
            AsyncClient(urls[n:] + urls[:n], timeout) for n in range(len(urls))
        ]
        self.rate = rate
        self.rng = random.Random(seed)
        self.make_request = make_request
        self.timeout = timeout

    async def run(self, seconds: float) -> LoadResult:
        """Make calls for some seconds, then wait for all answers."""
        result = LoadResult()
        loop = asyncio.get_running_loop()
        began = loop.time()
        due, calls = began, set()
        while True:
            due += self.rng.expovariate(self.rate)
            if due >= began + seconds:
                break
            if (wait := due - loop.time()) > 0:
                await asyncio.sleep(wait)
            call = asyncio.create_task(self.call(result, due))
            calls.add(call)
            call.add_done_callback(calls.discard)
        if calls:
            await asyncio.wait(set(calls))
        result.seconds = loop.time() - began
        for client in self.clients:
            client.fetcher.close_idle()
        return result

    async def call(self, result: LoadResult, due: float) -> None:
        """Make one call without client retries, and add its outcome to the result."""
        method, path, body, headers = self.make_request(self.rng)
        client = self.rng.choice(self.clients)
        fields = [*headers, ("prefer", f"wait={self.timeout}")]
        outcome = await client.call_once(method, path, fields, body, self.timeout)
        latency = asyncio.get_running_loop().time() - due
        if isinstance(outcome, NotRun):
            result.not_run += 1
        elif not isinstance(outcome, Answered):
            result.unknown += 1
        elif outcome.status >= 500:
            result.failed += 1
        else:
            result.answered += 1
            result.attempts += int(outcome.header("gypsumshift-attempts", "1"))
            result.histogram.record_value(max(1, int(latency * 1e6)))
