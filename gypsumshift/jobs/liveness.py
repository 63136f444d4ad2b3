"""Liveness probes: an agent is probed before its units are taken over.

Heartbeats come late when the store is slow, or when the fleet is so large that each
agent may write only rarely, so a missing heartbeat alone is weak evidence. A request to
the agent itself takes 1 to 3 ms and settles the question. In Flease (Kolbeck et al.,
section 3) the holders of leases also agree among themselves; here two holders at a time
do no harm, so that one request is enough and the rounds of Flease are not used.
"""

import abc
import json

from gypsumshift import logs
from gypsumshift.fetch import FetchError
from gypsumshift.jobs.records import Claim
from gypsumshift.neighbours import StorePath
from gypsumshift.server import Request, Response, json_response

__all__ = [
    "LIVENESS_PATH",
    "NO_PROBE",
    "HttpLivenessProbe",
    "LivenessProbe",
    "NoLivenessProbe",
]

# Path of the HTTP request that probes an agent.
LIVENESS_PATH = "/neighbour/alive"
# Seconds to wait for an answer: a hundred round trips between availability zones, and
# less than half of the time without heartbeats after which an agent is probed.
PROBE_TIMEOUT = 0.3

log = logs.logger("presence")


class LivenessProbe(abc.ABC):
    """Checks whether agents without a recent heartbeat still work."""

    @abc.abstractmethod
    async def is_alive(self, claim: Claim) -> bool:
        """Return whether the holder of a claim works and can store its results."""


class NoLivenessProbe(LivenessProbe):
    """Treats agents without a recent heartbeat as dead, where none can be probed."""

    async def is_alive(self, claim):
        """Return that the holder of a claim does not work."""
        return False


NO_PROBE = NoLivenessProbe()


class HttpLivenessProbe(LivenessProbe):
    """Sends and answers probes over the connections that relay store calls.

    Parameters
    ----------
    path : StorePath
        Provides the addresses of the other processes.

    Attributes
    ----------
    session : str
        Session of the agent in this process; empty while there is none.
    """

    def __init__(self, path: StorePath):
        self.path = path
        self.session = ""

    async def is_alive(self, claim):
        """Send a probe to the holder of a claim; return whether it works."""
        neighbour = self.path.neighbours.get(claim.agent)
        if neighbour is None:
            return False
        try:
            answer = await self.path.fetcher.fetch(
                neighbour.address, "GET", LIVENESS_PATH, timeout=PROBE_TIMEOUT
            )
            body = json.loads(answer.body) if answer.status == 200 else {}
            session = body.get("session")
        except (FetchError, AttributeError, ValueError) as error:
            log.debug(
                "Liveness probe of {} failed; treating the agent as dead: {}",
                claim.agent,
                error,
            )
            return False
        return session == claim.session

    async def serve(self, request: Request) -> Response:
        """Answer a probe, with status 503 if this agent cannot store results."""
        if not self.session or not self.path.works:
            return Response(503)
        return json_response(200, {"session": self.session})
