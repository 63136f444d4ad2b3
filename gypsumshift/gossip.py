"""Gossip protocol by which processes exchange observations of backend servers.

Each process contacts one other process a second, and both then have the observations
of either, so that a slow server is known to a zone of 18 processes within 2 s. Two
alternatives were rejected: rows in the store, which every process would have to watch,
at a cost that grows with the square of the number of processes; and one collecting
process per zone, which would be a single point of failure.
"""

import json
import random
from collections.abc import Callable

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.digests import DigestSection, decode_digest
from gypsumshift.httpclient import FetchError
from gypsumshift.httpserver import Request, Response, json_response
from gypsumshift.neighbours import Neighbour
from gypsumshift.peerchoice import choose_exchange_peer
from gypsumshift.serving.directory import Directory
from gypsumshift.serving.loadbalancer import LoadBalancer
from gypsumshift.serving.loadreports import LoadSection
from gypsumshift.serving.observations import ObservationSection
from gypsumshift.storepath import StorePath

__all__ = ["OBSERVATIONS_PATH", "Gossip"]

# Request target of an exchange.
OBSERVATIONS_PATH = "/neighbour/seen"
# Interval between the exchanges that a process starts, and the timeout of one.
PERIOD_SECONDS = 1.0
EXCHANGE_TIMEOUT_SECONDS = 0.3
# Interval while calls compete for a service: a surge is known to all within a second.
URGENT_PERIOD_SECONDS = 0.25
# Relative variation of the interval, so that processes do not start exchanges at the
# same time.
JITTER = 0.2
# Share of exchanges that may go to a process of another zone, to which traffic is
# expensive.
OTHER_ZONE_SHARE = 0.1
# The same while calls compete for a service. The availability zones share its capacity,
# and would otherwise learn of each other's demand 2 s later.
URGENT_OTHER_ZONE_SHARE = 0.35

log = logs.logger("gossip")


class Gossip:
    """Exchanges observations with other processes.

    Parameters
    ----------
    balancer : LoadBalancer
        Supplies own observations, and stores those of other processes.
    directory : Directory
    path : StorePath
        Supplies the other processes, and the client for requests to them.
    clock : Clock
    chance : random.Random

    Attributes
    ----------
    sections : dict
        `DigestSection` by name.
    is_urgent : callable
        Returns whether exchanges are to be more frequent; by default False.
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
        self.sections: dict[str, DigestSection] = {}
        self.is_urgent: Callable[[], bool] = lambda: False
        self.add_section(ObservationSection(balancer.shared_observations))
        self.add_section(LoadSection(balancer.load_reports))

    def add_section(self, section: DigestSection) -> None:
        """Include a further section in the digests."""
        self.sections[section.name] = section

    async def run(self) -> None:
        """Start exchanges at the interval until cancelled."""
        while True:
            factor = self.chance.uniform(1 - JITTER, 1 + JITTER)
            period = URGENT_PERIOD_SECONDS if self.is_urgent() else PERIOD_SECONDS
            await self.clock.sleep(period * factor)
            await self.exchange()

    async def exchange(self) -> None:
        """Send a digest to another process, and merge the one that it returns."""
        peer = self.choose_peer()
        if peer is None:
            return
        body = json.dumps(self.encoded_digest()).encode()
        try:
            answer = await self.path.fetcher.fetch(
                peer.address,
                "POST",
                OBSERVATIONS_PATH,
                body=body,
                timeout=EXCHANGE_TIMEOUT_SECONDS + self.path.extra_s(peer),
            )
            if answer.status == 200:
                self.merge_digest(answer.body)
        except (FetchError, ValueError) as error:
            log.debug(
                "Exchange of observations with {} failed; none are merged: {}",
                peer.name,
                error,
            )

    def choose_peer(self) -> Neighbour | None:
        """Return a random process to exchange with, mostly one of the own zone."""
        known = list(self.path.neighbours.values())
        share = URGENT_OTHER_ZONE_SHARE if self.is_urgent() else OTHER_ZONE_SHARE
        if self.path.layout.has_regions:
            return choose_exchange_peer(known, self.path.layout, share, self.chance)
        same_zone = [n for n in known if n.zone == self.path.zone]
        any_zone = self.chance.random() < share
        chosen = known if any_zone or not same_zone else same_zone
        return self.chance.choice(chosen) if chosen else None

    async def serve(self, request: Request) -> Response:
        """Merge the digest of another process, and return the own digest."""
        try:
            self.merge_digest(request.body)
        except ValueError as error:
            return json_response(400, {"error": str(error)})
        return json_response(200, self.encoded_digest())

    def encoded_digest(self) -> dict[str, object]:
        """Return the current digest as JSON values."""
        self.balancer.estimates.share_own_observations(
            list(self.directory.servers.values())
        )
        encoded = {name: section.encode() for name, section in self.sections.items()}
        return {name: value for name, value in encoded.items() if value is not None}

    def merge_digest(self, body: bytes) -> None:
        """Merge the sections of a received digest that this process knows.

        Raises
        ------
        ValueError
            The digest or a section is invalid; the other sections are merged.
        """
        errors = []
        for name, value in decode_digest(body).items():
            if name not in self.sections:
                continue
            try:
                self.sections[name].merge(value)
            except ValueError as error:
                errors.append(error)
        if errors:
            raise errors[0]
