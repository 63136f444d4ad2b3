"""Stand-in for the users' metadata store: rows in parts, transactions, a feed.

``python -m standins.users_store --ip 127.0.0.1 --port 9100``. Faults are switched
on at ``PUT /faults`` with a JSON object of the fields of `Faults`.
"""

import asyncio
import base64
import datetime
import json
import random
import time
import urllib.parse

import attrs
import typer

from gypsumshift.httpserver import (
    HttpServer,
    Request,
    Response,
    ResponseAborted,
    json_response,
)
from gypsumshift.memory import MemoryTables
from gypsumshift.outcomes import Committed, Missing
from gypsumshift.platforms import HistoryLost, Row, Write
from gypsumshift.watch import MAX_FEED_WAIT

__all__ = ["Faults", "FakeMetadataStore"]

BASE_PATH = "/gypsumshift/"
PAGE_SIZE = 500
# Name under which bytes are kept that are no JSON object, as they came.
RAW_BYTES_FIELD = "\0raw"


@attrs.define
class Faults:
    """Switches.

    Attributes
    ----------
    down : str
        How it is away: "busy" (503), "silent" or "reset"; empty for not at all.
    slow : float
        Seconds before each answer.
    lose : float
        Share of the writes that take effect and are not answered.
    late : float
        Seconds by which lost writes take effect later.
    answer_late : float
        Seconds by which answers to writes come after they took effect, while the feed
        goes on.
    """

    down: str = ""
    slow: float = 0.0
    lose: float = 0.0
    late: float = 0.0
    answer_late: float = 0.0


async def cut_connection():
    """Yield nothing: the connection is cut instead of an answer."""
    raise ResponseAborted("the answer is lost")
    yield b""


class FakeMetadataStore:
    """The store behind one HTTP server.

    Parameters
    ----------
    seed : int
        Of the random choices.
    """

    def __init__(self, seed: int = 0):
        self.tables = MemoryTables()
        self.faults = Faults()
        self.rng = random.Random(seed)
        self.server = HttpServer(self.serve)
        self.late_commits: set[asyncio.Task] = set()

    async def serve(self, request: Request) -> Response:
        """Answer one request."""
        if request.path == "/faults":
            self.faults = Faults(**json.loads(request.body))
            return Response(200)
        if self.faults.down == "silent":
            await asyncio.sleep(3600)
        if self.faults.down == "reset":
            return Response(200, [], cut_connection())
        if self.faults.down:
            return Response(503)
        await asyncio.sleep(self.faults.slow)
        name = request.path.removeprefix(BASE_PATH).replace("-", "_")
        handler = getattr(self, f"serve_{name}", None)
        return await handler(request) if handler else Response(404)

    def versioned_response(self, **fields) -> Response:
        """Return an answer with the newest version and the store's time."""
        now = int(time.monotonic() * 1000)
        return json_response(200, {"ver": self.tables.version, "now_ms": now, **fields})

    async def serve_rows_tx(self, request: Request) -> Response:
        """Apply a transaction, or none of it."""
        value = json.loads(request.body)
        writes = decode_transaction(value)
        if self.rng.random() < self.faults.lose:
            task = asyncio.create_task(self.commit_late(writes))
            self.late_commits.add(task)
            task.add_done_callback(self.late_commits.discard)
            return Response(200, [], cut_connection())
        outcome = await self.tables.commit(writes)
        if isinstance(outcome, Committed):
            # Made before the pause: its version is that of this transaction.
            answer = self.versioned_response()
        else:
            answer = Response(412, [], json.dumps({"rows": []}).encode())
        await asyncio.sleep(self.faults.answer_late)
        return answer

    async def commit_late(self, writes: list[Write]) -> None:
        """Apply a transaction whose answer is lost, at once or later."""
        await asyncio.sleep(self.faults.late)
        await self.tables.commit(writes)

    async def serve_rows_get(self, request: Request) -> Response:
        """Return rows of a part."""
        table, part = request.parameter("table"), request.parameter("part")
        rows = await self.tables.scan(table, "", part)
        start = urllib.parse.unquote(request.parameter("from"))
        end = urllib.parse.unquote(request.parameter("to"))
        rows = [r for r in rows if r.key >= start and (not end or r.key < end)]
        limit = int(request.parameter("limit", str(PAGE_SIZE)))
        page = [encode_row(row) for row in rows[:limit]]
        return self.versioned_response(rows=page, has_more=len(rows) > limit)

    async def serve_rows_parts(self, request: Request) -> Response:
        """Return the parts of a table."""
        table, after = request.parameter("table"), request.parameter("after")
        parts = {place[1] for place in self.tables.rows if place[0] == table}
        return self.versioned_response(
            parts=sorted(p for p in parts if p > after), has_more=False
        )

    async def serve_rows_feed(self, request: Request) -> Response:
        """Return what changed in a table."""
        table, after = request.parameter("table"), int(request.parameter("after"))
        asked = float(request.parameter("wait_ms", "0")) / 1000
        wait = min(datetime.timedelta(seconds=asked), MAX_FEED_WAIT)
        answer = await self.tables.changes(table, after, wait)
        if isinstance(answer, HistoryLost):
            return Response(410)
        return self.versioned_response(
            rows=[encode_row(row) for row in answer.rows], ver=answer.version
        )

    async def write_row(self, table: str, key: str, value: dict | None) -> None:
        """Write a row as the operator or a backend server does."""
        await self.tables.commit([Write(table, key, value)])

    async def read_row(self, table: str, key: str, part: str = "") -> Row | None:
        """Return a row."""
        row = await self.tables.read(table, key, part)
        return None if isinstance(row, Missing) else row


def decode_transaction(value: dict) -> list[Write]:
    """Return the writes of a transaction."""
    expected = {row_id(e): e["ver"] for e in value["expected"]}
    writes = []
    for entry in value["writes"]:
        row = decode_row_value(entry["value"])
        condition = expected.pop(row_id(entry), None)
        table, part, key = row_id(entry)
        writes.append(Write(table, key, row, condition, part=part))
    for entry in value["remove"]:
        condition = expected.pop(row_id(entry), None)
        table, part, key = row_id(entry)
        writes.append(Write(table, key, None, condition, part=part))
    for (table, part, key), version in expected.items():
        writes.append(Write(table, key, None, version, True, part))
    return writes


def decode_row_value(text: str) -> dict:
    """Return a row's JSON object; keep other bytes under RAW_BYTES_FIELD."""
    data = base64.b64decode(text)
    try:
        value = json.loads(data)
    except ValueError:
        value = None
    return value if isinstance(value, dict) else {RAW_BYTES_FIELD: text}


def row_id(entry: dict) -> tuple[str, str, str]:
    """Return table, part and key of an entry."""
    return entry["table"], entry.get("part", ""), entry["key"]


def encode_row(row: Row) -> dict:
    """Return a row as it goes over the wire."""
    value = {"table": row.table, "part": row.part, "key": row.key, "ver": row.version}
    if row.value is None:
        return value | {"tombstone": True}
    if RAW_BYTES_FIELD in row.value:
        return value | {"value": row.value[RAW_BYTES_FIELD]}
    data = json.dumps(row.value).encode()
    return value | {"value": base64.b64encode(data).decode()}


async def run(ip: str, port: int, seed: int) -> None:
    """Serve until cancelled."""
    store = FakeMetadataStore(seed)
    await store.server.listen(ip, port)
    await asyncio.Event().wait()


def main(ip: str = "127.0.0.1", port: int = 9100, seed: int = 0) -> None:
    """Run a stand-in for the users' metadata store."""
    asyncio.run(run(ip, port, seed))


if __name__ == "__main__":
    typer.run(main)
