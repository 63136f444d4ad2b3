"""Relay: sends calls of neighbours to the store.

The relaying process keeps no state, so a relayed call has the same outcomes as a direct
one: done, refused, or unknown. If the store answers no process, that is reported to the
neighbour at once.
"""

from gypsumshift import logs
from gypsumshift.httpclient import FetchError
from gypsumshift.httpserver import Handler, Request, Response
from gypsumshift.storepath import STORE_CHECK_PATH, UNCERTAIN_STATUS, StorePath

__all__ = ["Relay"]

# Time limit of a relayed call; longer than the maximum wait of a feed.
RELAY_TIMEOUT_S = 1.6
JSON_HEADERS = [("content-type", "application/json")]

log = logs.logger("neighbours")


class Relay:
    """Relays calls of neighbours to the store.

    Parameters
    ----------
    path : StorePath
        Only its direct path is used, so that no call is relayed in a loop.
    other_handlers : dict
        Handlers of the other requests between neighbours, by path.
    """

    def __init__(
        self, path: StorePath, other_handlers: dict[str, Handler] | None = None
    ):
        self.path = path
        self.other_handlers = other_handlers or {}

    async def serve(self, request: Request) -> Response:
        """Handle a request of a neighbour; by default, relay it to the store."""
        if request.path in self.other_handlers:
            return await self.other_handlers[request.path](request)
        if request.target == STORE_CHECK_PATH:
            return Response(200 if self.path.reaches_store else 503)
        try:
            answer = await self.path.fetch_direct(
                request.method,
                request.target,
                JSON_HEADERS,
                request.body,
                RELAY_TIMEOUT_S,
            )
        except FetchError as error:
            log.debug("Relayed call to the store failed: {}", error)
            return Response(UNCERTAIN_STATUS if error.sent else 503)
        return Response(answer.status, JSON_HEADERS, answer.body)
