"""Gossip: processes tell each other what they saw of backend servers.

Each asks one other a second, and both then know what either did, so news of a server
that turned slow reaches a zone of 18 processes in 2 s. Weighed: sightings in the rows
of the store, which every process would have to follow, at a cost that grows with the
square of the fleet; and one process of a zone that collects them, which is missed when
it is lost.
"""

import json
import random

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.httpclient import FetchError
from gypsumshift.httpserver import Request, Response, json_response
from gypsumshift.neighbours import Neighbour, StorePath
from gypsumshift.serving.directory import Directory
from gypsumshift.serving.loadbalancer import LoadBalancer
from gypsumshift.serving.observations import decode, encode

__all__ = ["OBSERVATIONS_PATH", "Gossip"]

# Target by which processes exchange what they saw.
OBSERVATIONS_PATH = "/neighbour/seen"
# Seconds between two exchanges that a process begins, and for an answer.
PERIOD = 1.0
ASK_TIMEOUT = 0.3
# Part by which the period varies, so that processes do not ask at the same moments.
JITTER = 0.2
# Share of the exchanges with a process of another zone, whose bytes are dear.
FAR_SHARE = 0.1

log = logs.logger("gossip")


class Gossip:
    """Exchanges sightings with other processes.

    Parameters
    ----------
    balancer : LoadBalancer
        Tells what this process saw, and takes what others saw.
    directory : Directory
    path : StorePath
        Knows the other processes.
    clock : Clock
    chance : random.Random
    """

    def __init__(
        self,
        balancer: LoadBalancer,
        directory: Directory,
        path: StorePath,
        clock: Clock,
        chance: random.Random,
    ):
        self.balancer = balancer
        self.directory = directory
        self.path = path
        self.clock = clock
        self.chance = chance

    async def run(self) -> None:
        """Exchange sightings until cancelled."""
        while True:
            varied = self.chance.uniform(1 - JITTER, 1 + JITTER)
            await self.clock.sleep(PERIOD * varied)
            await self.exchange()

    async def exchange(self) -> None:
        """Tell another process what was seen, and hear what it saw."""
        partner = self.partner()
        if partner is None:
            return
        body = json.dumps(self.told()).encode()
        try:
            answer = await self.path.fetcher.fetch(
                partner.address,
                "POST",
                OBSERVATIONS_PATH,
                body=body,
                timeout=ASK_TIMEOUT,
            )
            if answer.status == 200:
                self.take(answer.body)
        except (FetchError, ValueError) as error:
            log.debug("{} tells nothing that it saw: {}", partner.name, error)

    def partner(self) -> Neighbour | None:
        """Return the process to exchange with, mostly one of the own zone."""
        known = list(self.path.neighbours.values())
        near = [n for n in known if n.zone == self.path.zone]
        far = self.chance.random() < FAR_SHARE
        chosen = known if far or not near else near
        return self.chance.choice(chosen) if chosen else None

    async def serve(self, request: Request) -> Response:
        """Answer a process that tells what it saw."""
        try:
            self.take(request.body)
        except ValueError as error:
            return json_response(400, {"error": str(error)})
        return json_response(200, self.told())

    def told(self) -> list[list]:
        """Return what to tell."""
        self.balancer.share_own_observations(list(self.directory.servers.values()))
        return encode(
            self.balancer.shared_observations.digest(), self.clock.monotonic()
        )

    def take(self, body: bytes) -> None:
        """Take what another process told; raises ValueError."""
        try:
            rows = json.loads(body)
        except RecursionError as error:
            raise ValueError("no list of sightings") from error
        self.balancer.shared_observations.merge(decode(rows, self.clock.monotonic()))
