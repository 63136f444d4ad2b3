"""Bootstrap: load tables from neighbours at a start during an outage of the store.

A host restarted during an outage would have no configuration and refuse callers until
the store recovers (7 s in observed outages), while processes that were not restarted
continue with their copies. A neighbour's copy may be out of date. It is replaced by the
store's first answer, and the version of a table never decreases.
"""

import asyncio

import attrs

from gypsumshift import logs
from gypsumshift.clock import Clock
from gypsumshift.httpclient import FetchError
from gypsumshift.httpserver import Request, Response, json_response
from gypsumshift.jsondata import parse_json_object
from gypsumshift.neighbours import Neighbour
from gypsumshift.platforms import Changes, Row
from gypsumshift.storepath import StorePath
from gypsumshift.watch import Watch

__all__ = ["KNOWN_TABLES_PATH", "Bootstrap"]

# Request path at which a process returns the tables that it keeps.
KNOWN_TABLES_PATH = "/neighbour/known"
# Delay before the first request to neighbours, in which the store usually answers, and
# between later ones; and time limit for a neighbour's answer.
ASK_PERIOD_S = 0.3
ASK_TIMEOUT_S = 0.5

log = logs.logger("bootstrap")


class Bootstrap:
    """Serves kept tables to neighbours, and loads missing ones from them at the start.

    Parameters
    ----------
    watches : list of Watch
        Watches that keep their rows.
    path : StorePath
        Provides the neighbours and the client to reach them.
    clock : Clock
    """

    def __init__(self, watches: list[Watch], path: StorePath, clock: Clock):
        self.watches = watches
        self.path = path
        self.clock = clock

    async def serve(self, request: Request) -> Response:
        """Answer a neighbour's request for all kept tables."""
        tables = {
            w.table: attrs.asdict(w.kept_table())
            for w in self.watches
            if w.version >= 0
        }
        return json_response(200, tables)

    async def run(self) -> None:
        """Load from neighbours until every table has a first copy."""
        while True:
            await self.clock.sleep(ASK_PERIOD_S)
            if all(watch.version >= 0 for watch in self.watches):
                return
            if self.path.failures:
                await self.load_from_neighbours()

    async def load_from_neighbours(self) -> None:
        """Request all tables from some neighbours, and load the newest copy of each."""
        asked = self.path.choose_neighbours()
        answers = await asyncio.gather(*map(self.request_tables, asked))
        for watch in self.watches:
            copies = [a[watch.table] for a in answers if watch.table in a]
            newest = max(copies, key=lambda changes: changes.version, default=None)
            if newest is not None and watch.load_copy(newest):
                logs.event(
                    log,
                    "Loaded a table from a neighbour while the store does not answer.",
                    table=watch.table,
                    version=newest.version,
                    rows=len(newest.rows),
                    asked=len(asked),
                )

    async def request_tables(self, neighbour: Neighbour) -> dict[str, Changes]:
        """Request all tables from one neighbour; return none if that fails."""
        try:
            answer = await self.path.fetcher.fetch(
                neighbour.address,
                "GET",
                KNOWN_TABLES_PATH,
                timeout=ASK_TIMEOUT_S + self.path.extra_s(neighbour),
            )
            return decode_tables(answer.body) if answer.status == 200 else {}
        except (FetchError, AttributeError, KeyError, TypeError, ValueError) as error:
            log.debug("Neighbour {} returned no tables: {}", neighbour.name, error)
            return {}


def decode_tables(body: bytes) -> dict[str, Changes]:
    """Decode a neighbour's tables, by name; raises if the answer is invalid."""
    return {
        table: Changes([Row(**row) for row in content["rows"]], content["version"])
        for table, content in parse_json_object(body).items()
    }
