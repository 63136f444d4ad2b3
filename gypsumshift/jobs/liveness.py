"""Liveness probes: an agent is probed before its units are taken over.

Heartbeats come late when the store is slow, or when the fleet is so large that each
agent may write only rarely, so a missing heartbeat alone is weak evidence. A request to
the agent itself takes 1 to 3 ms and settles the question. In Flease (Kolbeck et al.,
section 3) the holders of leases also agree among themselves; here two holders at a time
do no harm, so that one request is enough and the rounds of Flease are not used.
"""

import abc

from gypsumshift import logs
from gypsumshift.httpclient import FetchError
from gypsumshift.httpserver import Request, Response, json_response
from gypsumshift.jobs.records import Claim
from gypsumshift.jsondata import parse_json_object
from gypsumshift.neighbours import Neighbour
from gypsumshift.storepath import StorePath

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
# Seconds for which an agent of another region may leave probes unanswered before its
# units are taken over. A second probe, which follows after the heartbeat time-out of
# 1.2 s, confirms the first: the path between the regions may be lost for a moment.
FAR_SILENCE = 1.0
# Seconds after which an unanswered probe is forgotten.
FORGET_SILENCE = 60.0

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
    silent_since : dict
        Monotonic time since when probes of agents in other regions time out, by
        session.
    """

    def __init__(self, path: StorePath):
        self.path = path
        self.session = ""
        self.silent_since: dict[str, float] = {}

    async def is_alive(self, claim):
        """Send a probe to the holder of a claim; return whether it works."""
        neighbour = self.path.neighbours.get(claim.agent)
        if neighbour is None:
            return False
        try:
            answer = await self.path.fetcher.fetch(
                neighbour.address,
                "GET",
                LIVENESS_PATH,
                timeout=PROBE_TIMEOUT + self.path.extra_s(neighbour),
            )
            body = parse_json_object(answer.body) if answer.status == 200 else {}
            session = body.get("session")
            self.silent_since.pop(claim.session, None)
        except (FetchError, AttributeError, ValueError) as error:
            if self.may_be_cut_off(claim, neighbour, error):
                return True
            log.debug(
                "Liveness probe of {} failed; treating the agent as dead: {}",
                claim.agent,
                error,
            )
            return False
        return session == claim.session

    def may_be_cut_off(
        self, claim: Claim, neighbour: Neighbour, error: Exception
    ) -> bool:
        """Return whether an agent that does not answer may be cut off from here only.

        A host of another region that is silent, rather than refusing connections, is no
        evidence of death: the path between the regions may be lost for a moment.
        """
        silent = isinstance(error, FetchError) and not error.refused
        if not silent or not self.path.layout.has_regions:
            return False
        if not self.path.layout.is_other_region(neighbour.zone):
            return False
        now = self.path.clock.monotonic()
        horizon = now - FORGET_SILENCE
        self.silent_since = {
            session: at for session, at in self.silent_since.items() if at > horizon
        }
        since = self.silent_since.setdefault(claim.session, now)
        return now - since < FAR_SILENCE

    async def serve(self, request: Request) -> Response:
        """Answer a probe, with status 503 if this agent cannot store results."""
        if not self.session or not self.path.is_available:
            return Response(503)
        return json_response(200, {"session": self.session})
