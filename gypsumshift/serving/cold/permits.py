"""Permits: a process asks a sender of a server before a request without proof.

The process may be none of the few that share the limit of a cold server, and may have
no proof that its connection leads to the start it knows. A sender then tells it that
the start is running, or lends it one request of its own part.
"""

import enum
import json
import random
from collections.abc import Callable

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.httpclient import FetchError
from gypsumshift.httpserver import Request, Response, json_response
from gypsumshift.jsondata import parse_json
from gypsumshift.neighbours import Neighbour
from gypsumshift.serving.cold.senders import ChosenSenders
from gypsumshift.serving.directory import BackendServer, ServerStart
from gypsumshift.storepath import StorePath

__all__ = [
    "PERMITS_PATH",
    "PERMIT_SECONDS",
    "Grant",
    "Permit",
    "PermitClient",
    "PermitService",
]

# Request target at which a process answers the questions of others.
PERMITS_PATH = "/neighbour/send-permits"
# Time for which a permit may be used. The request waits for the answer on an open
# connection, so that it is sent a few milliseconds later.
PERMIT_SECONDS = 0.1
# Timeout of a question: a permit that comes later could not be used.
ASK_TIMEOUT_SECONDS = PERMIT_SECONDS
# Senders that are asked about one request. Each has a few requests per second.
MAX_ASKED = 2
# Maximum length of an id that is accepted from another process.
MAX_ID_LENGTH = 200

log = logs.logger("permits")


class Grant(enum.Enum):
    """Answer of a sender to the question of another process."""

    RUNNING = "running"
    PERMIT = "permit"
    REFUSED = "refused"


@attrs.frozen
class Permit:
    """Outcome of the questions about one request.

    Attributes
    ----------
    grant : Grant
    asked_at : float
        When the sender was asked, by the monotonic clock.
    ends_at : float
        When a permit ends, by the clock that runs on while the host is suspended.
    """

    grant: Grant
    asked_at: float
    ends_at: float


class PermitClient:
    """Asks the senders of a server for permits.

    Parameters
    ----------
    path : StorePath
        Supplies the other processes, and the client for requests to them.
    division : ChosenSenders
    clock : Clock
    chance : random.Random
    """

    def __init__(
        self,
        path: StorePath,
        division: ChosenSenders,
        clock: Clock,
        chance: random.Random,
    ):
        self.path = path
        self.division = division
        self.clock = clock
        self.chance = chance

    async def ask(self, server: BackendServer, capacity: int, cold: bool) -> Permit:
        """Ask some senders of a server until one does not refuse.

        Parameters
        ----------
        server : BackendServer
        capacity : int
            Requests in a second that its senders share.
        cold : bool
            Whether the server counts as cold, so that no proof can be expected.
        """
        permit = Permit(Grant.REFUSED, self.clock.monotonic(), 0.0)
        for neighbour in self.choose(server, capacity, cold):
            permit = await self.ask_neighbour(neighbour, server.start)
            if permit.grant is not Grant.REFUSED:
                break
        return permit

    def choose(
        self, server: BackendServer, capacity: int, cold: bool
    ) -> list[Neighbour]:
        """Return the processes to ask: one on the server's host, then its senders.

        One that keeps a connection to a warm server comes first.
        """
        known = self.path.neighbours
        beside = [n for n in known.values() if n.address[0] == server.address[0]]
        senders = self.division.senders(server.id, capacity)
        self.chance.shuffle(senders)
        if not cold:
            keepers = self.division.keepers(server.id, capacity)
            keeper = next((name for name in senders if name in keepers), "")
            senders.sort(key=lambda name: name != keeper)
        chosen = [known[name] for name in senders if name in known]
        # In a deployment on one host, all processes have the server's address.
        if len(beside) == 1:
            chosen = beside + [n for n in chosen if n not in beside]
        return chosen[:MAX_ASKED]

    async def ask_neighbour(self, neighbour: Neighbour, start: ServerStart) -> Permit:
        """Ask one process; without an answer in time, the request is refused."""
        asked_at = self.clock.monotonic()
        ends_at = self.clock.monotonic_with_suspend() + PERMIT_SECONDS
        body = json.dumps({"server": start.id, "born": start.born}).encode()
        try:
            answer = await self.path.fetcher.fetch(
                neighbour.address,
                "POST",
                PERMITS_PATH,
                body=body,
                timeout=ASK_TIMEOUT_SECONDS + self.path.extra_s(neighbour),
            )
            grant = decode_grant(answer.body) if answer.status == 200 else Grant.REFUSED
        except (FetchError, ValueError) as error:
            log.debug("No answer of {} about a permit: {}", neighbour.name, error)
            grant = Grant.REFUSED
        return Permit(grant, asked_at, ends_at)


class PermitService:
    """Answers the questions of other processes.

    Parameters
    ----------
    lend : callable
        Returns the `Grant` for one request to a server start.
    """

    def __init__(self, lend: Callable[[ServerStart], Grant]):
        self.lend = lend

    async def serve(self, request: Request) -> Response:
        """Answer one question; 400 if it is invalid."""
        try:
            start = decode_question(request.body)
        except ValueError as error:
            return json_response(400, {"error": str(error)})
        return json_response(200, {"grant": self.lend(start).value})


def decode_question(body: bytes) -> ServerStart:
    """Return the server start of a question; raises ValueError."""
    try:
        value = parse_json(body)
    except ValueError as error:
        raise ValueError(f"question about a permit is {error}") from error
    if not isinstance(value, dict):
        raise ValueError("question about a permit is not an object")
    server, born = value.get("server"), value.get("born")
    if not isinstance(server, str) or not 0 < len(server) <= MAX_ID_LENGTH:
        raise ValueError("question about a permit has no valid server id")
    if type(born) is not int:
        raise ValueError("question about a permit has no valid start time")
    return ServerStart(server, born)


def decode_grant(body: bytes) -> Grant:
    """Return the grant of an answer; raises ValueError."""
    value = parse_json(body)
    if not isinstance(value, dict):
        raise ValueError("answer about a permit is not an object")
    return Grant(value.get("grant"))
