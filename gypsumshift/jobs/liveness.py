"""Presence: an agent is asked whether it works before its work is taken over.

The decision answers heartbeats that come late: the store is slow, or the fleet is so
large that each agent may write only now and then. A silence alone then says little, and
a question to the agent itself, which takes 1 to 3 ms, says all. Flease (Kolbeck et al.,
section 3) has the holders of leases agree among themselves too; here two holders do no
harm, so one question is enough, and its rounds are not used.
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

# Target by which an agent is asked.
LIVENESS_PATH = "/neighbour/alive"
# Seconds for an answer: a hundred round trips between zones, and less than half of the
# silence after which it is asked.
PROBE_TIMEOUT = 0.3

log = logs.logger("presence")


class LivenessProbe(abc.ABC):
    """Tells whether agents that were not heard for a while still work."""

    @abc.abstractmethod
    async def is_alive(self, claim: Claim) -> bool:
        """Tell whether the holder of a claim works, and can store what it makes."""


class NoLivenessProbe(LivenessProbe):
    """Takes silent agents for gone: there is no way to ask them."""

    async def is_alive(self, claim):
        """Tell that the holder does not work."""
        return False


NO_PROBE = NoLivenessProbe()


class HttpLivenessProbe(LivenessProbe):
    """Asks agents by the way on which processes help each other to the store.

    Parameters
    ----------
    path : StorePath
        Knows the addresses of the other processes.

    Attributes
    ----------
    session : str
        Start of the agent of this process; empty while there is none.
    """

    def __init__(self, path: StorePath):
        self.path = path
        self.session = ""

    async def is_alive(self, claim):
        """Ask the holder of a claim."""
        neighbour = self.path.neighbours.get(claim.agent)
        if neighbour is None:
            return False
        try:
            answer = await self.path.fetcher.fetch(
                neighbour.address, "GET", LIVENESS_PATH, timeout=PROBE_TIMEOUT
            )
            told = json.loads(answer.body) if answer.status == 200 else {}
            session = told.get("session")
        except (FetchError, AttributeError, ValueError) as error:
            log.debug("{} does not say that it works: {}", claim.agent, error)
            return False
        return session == claim.session

    async def serve(self, request: Request) -> Response:
        """Answer an agent that asks; one that cannot store results says so."""
        if not self.session or not self.path.works:
            return Response(503)
        return json_response(200, {"session": self.session})
