"""Crash news: neighbours tell each other what ended servers, where the store does not.

The decision answers an outage of the store. Each process would have three servers end
under a request before it holds it back: 14 processes, 42 servers. A crash that the
store did not take at once goes to a few neighbours, which pass it on once each. The
store's table stays what all go by: nothing here is waited for, and what is lost costs
servers, no promise.
"""

import asyncio
import json
import math
import random

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.fetch import FetchError
from gypsumshift.neighbours import Neighbour, StorePath
from gypsumshift.server import Request, Response, json_response
from gypsumshift.serving.crashtable import CrashTable
from gypsumshift.serving.directory import ServerStart
from gypsumshift.serving.quarantine import Crash

__all__ = ["CRASHES_PATH", "CrashGossip", "decode", "encode"]

# Target by which processes tell each other of crashes.
CRASHES_PATH = "/neighbour/crashes"
# Seconds between two looks for crashes that wait for the store, and for an answer.
SEND_PERIOD_S = 0.1
REQUEST_TIMEOUT_S = 0.3
# Neighbours that are told each time: news that each passes on once reach some 95 of
# 100 so, and the rest by the next look.
FANOUT = 3
# Crashes in one message, of some 150 bytes each.
MAX_PER_MESSAGE = 20
# Seconds for which a trial that the store was not asked for is told.
TRIAL_REPORT_TIME_S = 5.0
# Bytes of a key that is believed.
MAX_KEY_LENGTH = 200

log = logs.logger("crashnews")


class CrashGossip:
    """Tells neighbours what the store was not told yet, and hears from them.

    Parameters
    ----------
    table : CrashTable
    path : StorePath
        Knows the neighbours.
    clock : Clock
    chance : random.Random

    Attributes
    ----------
    passing : dict
        Crashes that neighbours told, to be passed on once, by key.
    """

    def __init__(
        self, table: CrashTable, path: StorePath, clock: Clock, chance: random.Random
    ):
        self.table = table
        self.path = path
        self.clock = clock
        self.chance = chance
        self.to_forward: dict[str, Crash] = {}

    async def run(self) -> None:
        """Tell what waits for the store, and pass on what is new, until cancelled.

        At this pace, whatever comes: told at once, what processes have no room to keep
        would go round among them without end.
        """
        while True:
            await self.clock.sleep(SEND_PERIOD_S)
            crashes, trials = self.take_unsent()
            if crashes or trials:
                await self.send(crashes, trials)

    def take_unsent(self) -> tuple[list[Crash], list[str]]:
        """Take the newest crashes, and keys of trials, that the store does not know.

        A write takes 5 to 40 ms: what waits for longer is looked at as held up.
        """
        now = self.clock.monotonic()
        waiting = self.table.pending_writes.values()
        crashes = [crash for crash in waiting if now - crash.seen_at > SEND_PERIOD_S]
        crashes += self.to_forward.values()
        self.to_forward.clear()
        trials = [
            k
            for k, at in self.table.unstored_trials.items()
            if now - at < TRIAL_REPORT_TIME_S
        ]
        return crashes[-MAX_PER_MESSAGE:], trials

    async def send(self, crashes: list[Crash], trials: list[str]) -> None:
        """Tell some neighbours."""
        known = list(self.path.neighbours.values())
        chosen = self.chance.sample(known, min(len(known), FANOUT))
        news = encode(crashes, trials, self.clock.monotonic())
        body = json.dumps(news).encode()
        await asyncio.gather(*(self.send_to(who, body) for who in chosen))

    async def send_to(self, neighbour: Neighbour, body: bytes) -> None:
        """Tell one neighbour; one that does not answer hears from others."""
        try:
            await self.path.fetcher.fetch(
                neighbour.address,
                "POST",
                CRASHES_PATH,
                body=body,
                timeout=REQUEST_TIMEOUT_S,
            )
        except FetchError as error:
            log.debug("{} is not told of crashes: {}", neighbour.name, error)

    async def serve(self, request: Request) -> Response:
        """Hear from a neighbour, and pass on what is new."""
        try:
            news = json.loads(request.body)
            crashes, trials = decode(news, self.clock.monotonic())
        except (ValueError, RecursionError) as error:
            return json_response(400, {"error": str(error)})
        for crash in crashes:
            if len(self.to_forward) < MAX_PER_MESSAGE and self.table.add_reported_crash(
                crash
            ):
                self.to_forward[crash.key] = crash
        for key in trials:
            self.table.add_reported_trial(key)
        return Response(200)


def encode(crashes: list[Crash], trials: list[str], now: float) -> dict:
    """Return news as JSON holds them, with ages in place of times."""
    rows = [
        [c.key, c.start.id, c.start.born, c.request, round(now - c.seen_at, 2)]
        for c in crashes
    ]
    return {"crashes": rows, "trials": trials}


def decode(news: object, now: float) -> tuple[list[Crash], list[str]]:
    """Return the news that another process told; raises ValueError."""
    if not isinstance(news, dict):
        raise ValueError("no news of crashes")
    crashes, trials = news.get("crashes"), news.get("trials")
    if not isinstance(crashes, list) or not isinstance(trials, list):
        raise ValueError("no news of crashes")
    found = [decode_crash(row, now) for row in crashes[:MAX_PER_MESSAGE]]
    return found, [decode_key(key) for key in trials[:MAX_PER_MESSAGE]]


def decode_key(key: object) -> str:
    """Return a key; raises ValueError."""
    if not isinstance(key, str) or not key or len(key) > MAX_KEY_LENGTH:
        raise ValueError("no key of a crash")
    return key


def decode_crash(row: object, now: float) -> Crash:
    """Return one crash; raises ValueError."""
    if not isinstance(row, list) or len(row) != 5:
        raise ValueError("no crash")
    key, server, born, request, age = row
    if not isinstance(server, str) or type(born) is not int:
        raise ValueError("a crash of no server")
    if not isinstance(request, str) or type(age) not in (int, float):
        raise ValueError("a crash without a request or an age")
    if not math.isfinite(age):
        raise ValueError("an age beyond reason")
    key = decode_key(key)
    fingerprint = key.partition("/")[0]
    start = ServerStart(server[:MAX_KEY_LENGTH], born)
    return Crash(key, fingerprint, request[:MAX_KEY_LENGTH], start, now - max(age, 0.0))
