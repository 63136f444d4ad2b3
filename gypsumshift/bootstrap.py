"""Bootstrap: what a process that starts while the store is away learns from others.

The decision answers hosts that are restarted during an outage of the store: without
the configuration they refuse callers until it returns (7 s in the outages seen), while
processes that did not restart go on by what they know. What a neighbour knows may be
old; the store's word replaces it as soon as it is heard, and nothing steps back.
"""

import asyncio
import json

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.httpclient import FetchError
from gypsumshift.httpserver import Request, Response, json_response
from gypsumshift.neighbours import Neighbour, StorePath
from gypsumshift.platforms import Changes, Row
from gypsumshift.watch import Watch

__all__ = ["KNOWN_TABLES_PATH", "Bootstrap"]

# Target by which a process is asked what it knows of the kept tables.
KNOWN_TABLES_PATH = "/neighbour/known"
# Seconds before neighbours are asked for the first time, in which the store usually
# answers, and between two times.
ASK_PERIOD_S = 0.3
ASK_TIMEOUT_S = 0.5

log = logs.logger("bootstrap")


class Bootstrap:
    """Tells neighbours what this process knows, and learns from them at its start.

    Parameters
    ----------
    watches : list of Watch
        Those that keep their rows.
    path : StorePath
        Knows the neighbours.
    clock : Clock
    """

    def __init__(self, watches: list[Watch], path: StorePath, clock: Clock):
        self.watches = watches
        self.path = path
        self.clock = clock

    async def serve(self, request: Request) -> Response:
        """Answer a neighbour that asks what is known here."""
        known = {
            w.table: attrs.asdict(w.kept_table())
            for w in self.watches
            if w.version >= 0
        }
        return json_response(200, known)

    async def run(self) -> None:
        """Learn until everything is known, from the store or from neighbours."""
        while True:
            await self.clock.sleep(ASK_PERIOD_S)
            if all(watch.version >= 0 for watch in self.watches):
                return
            if self.path.failures:
                await self.load_from_neighbours()

    async def load_from_neighbours(self) -> None:
        """Ask some neighbours, and take the newest that they know of each table."""
        asked = self.path.choose_neighbours()
        answers = await asyncio.gather(*map(self.request_tables, asked))
        for watch in self.watches:
            known = [answer[watch.table] for answer in answers if watch.table in answer]
            newest = max(known, key=lambda changes: changes.version, default=None)
            if newest is not None and watch.load_copy(newest):
                logs.event(
                    log,
                    "Learnt from a neighbour.",
                    table=watch.table,
                    version=newest.version,
                    rows=len(newest.rows),
                    asked=len(asked),
                )

    async def request_tables(self, neighbour: Neighbour) -> dict[str, Changes]:
        """Ask one neighbour; nothing where it does not answer."""
        try:
            answer = await self.path.fetcher.fetch(
                neighbour.address, "GET", KNOWN_TABLES_PATH, timeout=ASK_TIMEOUT_S
            )
            return decode_tables(answer.body) if answer.status == 200 else {}
        except (FetchError, AttributeError, KeyError, TypeError, ValueError) as error:
            log.debug("{} does not tell what it knows: {}", neighbour.name, error)
            return {}


def decode_tables(body: bytes) -> dict[str, Changes]:
    """Return what a neighbour knows, by table; raises for a foreign answer."""
    return {
        table: Changes([Row(**row) for row in known["rows"]], known["version"])
        for table, known in json.loads(body).items()
    }
