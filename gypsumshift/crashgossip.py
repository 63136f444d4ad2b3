"""Crash gossip: neighbours exchange server crashes that the store has not received.

During an outage of the store, each process would otherwise let three servers crash
under a request before it holds the request back: 42 servers with 14 processes. A crash
that the store did not accept at once is therefore sent to a few neighbours, each of
which forwards it once. The store's table remains authoritative. Nothing waits for these
messages, and a lost one can cost further servers but breaks no guarantee.
"""

import asyncio
import json
import math
import random

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.httpclient import FetchError
from gypsumshift.httpserver import Request, Response, json_response
from gypsumshift.jsondata import parse_json
from gypsumshift.neighbours import Neighbour
from gypsumshift.peerchoice import choose_receivers
from gypsumshift.serving.crashtable import CrashTable
from gypsumshift.serving.directory import ServerStart
from gypsumshift.serving.quarantine import Crash
from gypsumshift.storepath import StorePath

__all__ = ["CRASHES_PATH", "CrashGossip", "decode", "encode"]

# Request target at which processes receive crashes from neighbours.
CRASHES_PATH = "/neighbour/crashes"
# Time between two checks for crashes to send, and limit for a neighbour's answer.
SEND_PERIOD_S = 0.1
REQUEST_TIMEOUT_S = 0.3
# Number of neighbours that receive each message. With each forwarding it once, a crash
# reaches about 95 % of the processes, and the others after the next period.
FANOUT = 3
# Maximum number of crashes, and of trials, in one message; a crash has about 150 bytes.
MAX_PER_MESSAGE = 20
# Time for which a trial made without a claim in the store is sent to neighbours.
TRIAL_REPORT_TIME_S = 5.0
# Maximum length of the keys and ids accepted from neighbours.
MAX_KEY_LENGTH = 200

log = logs.logger("crashnews")


class CrashGossip:
    """Exchanges crashes that the store has not received with neighbours.

    Parameters
    ----------
    table : CrashTable
    path : StorePath
        Provides the neighbours and the client to reach them.
    clock : Clock
    chance : random.Random

    Attributes
    ----------
    to_forward : dict
        Crashes received from neighbours and still to be forwarded once, by key.
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
        """Send unsent crashes and forward new ones until cancelled.

        Messages are sent once per period only. If they were forwarded on receipt,
        crashes that processes have no room to record would circulate without end.
        """
        while True:
            await self.clock.sleep(SEND_PERIOD_S)
            crashes, trials = self.take_unsent()
            if crashes or trials:
                await self.send(crashes, trials)

    def take_unsent(self) -> tuple[list[Crash], list[str]]:
        """Return the newest crashes to send and the keys of trials; empty `to_forward`.

        A write to the store takes 5 to 40 ms. A crash pending for longer than the send
        period counts as delayed.
        """
        now = self.clock.monotonic()
        waiting = self.table.writer.pending_writes.values()
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
        """Send crashes and trials to some randomly chosen neighbours."""
        known = list(self.path.neighbours.values())
        if self.path.layout.has_regions:
            chosen = choose_receivers(known, self.path.layout, FANOUT, self.chance)
        else:
            chosen = self.chance.sample(known, min(len(known), FANOUT))
        message = encode(crashes, trials, self.clock.monotonic())
        body = json.dumps(message).encode()
        await asyncio.gather(*(self.send_to(who, body) for who in chosen))

    async def send_to(self, neighbour: Neighbour, body: bytes) -> None:
        """Send a message to one neighbour; on failure it relies on other senders."""
        try:
            await self.path.fetcher.fetch(
                neighbour.address,
                "POST",
                CRASHES_PATH,
                body=body,
                timeout=REQUEST_TIMEOUT_S + self.path.extra_s(neighbour),
            )
        except FetchError as error:
            log.debug(
                "Sending crashes to {} failed; other processes may still send them: {}",
                neighbour.name,
                error,
            )

    async def serve(self, request: Request) -> Response:
        """Record the crashes and trials that a neighbour sent; forward new crashes."""
        try:
            message = parse_json(request.body)
            crashes, trials = decode(message, self.clock.monotonic())
        except ValueError as error:
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
    """Return a message as JSON data, with ages in place of times."""
    rows = [
        [c.key, c.start.id, c.start.born, c.request, round(now - c.seen_at, 2)]
        for c in crashes
    ]
    return {"crashes": rows, "trials": trials}


def decode(message: object, now: float) -> tuple[list[Crash], list[str]]:
    """Return the crashes and trials in a message; raises ValueError."""
    if not isinstance(message, dict):
        raise ValueError("crash message is not an object")
    crashes, trials = message.get("crashes"), message.get("trials")
    if not isinstance(crashes, list) or not isinstance(trials, list):
        raise ValueError("crash message lacks the list of crashes or of trials")
    found = [decode_crash(row, now) for row in crashes[:MAX_PER_MESSAGE]]
    return found, [decode_key(key) for key in trials[:MAX_PER_MESSAGE]]


def decode_key(key: object) -> str:
    """Return the key of a crash or trial; raises ValueError."""
    if not isinstance(key, str) or not key or len(key) > MAX_KEY_LENGTH:
        raise ValueError("invalid key of a crash or trial")
    return key


def decode_crash(row: object, now: float) -> Crash:
    """Return one crash; raises ValueError."""
    if not isinstance(row, list) or len(row) != 5:
        raise ValueError("crash is not a list of 5 values")
    key, server, born, request, age = row
    if not isinstance(server, str) or type(born) is not int:
        raise ValueError("crash has an invalid server id or start time")
    if not isinstance(request, str) or type(age) not in (int, float):
        raise ValueError("crash has an invalid request id or age")
    if not math.isfinite(age):
        raise ValueError("age of a crash is not finite")
    key = decode_key(key)
    fingerprint = key.partition("/")[0]
    start = ServerStart(server[:MAX_KEY_LENGTH], born)
    return Crash(key, fingerprint, request[:MAX_KEY_LENGTH], start, now - max(age, 0.0))
