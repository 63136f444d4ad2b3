"""Stand-in for the platform's metadata store: rows, transactions and change feeds.

``python -m standins.users_store --ip 127.0.0.1 --port 9100``. ``PUT /faults`` with a
JSON object of the fields of `Faults` injects faults.
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
# Limits of a transaction, and of the value of a row in base64.
MAX_ENTRIES = 100
MAX_TRANSACTION_BYTES = 1_000_000
MAX_ROW_BYTES = 65_536
# Field for the value of a row that holds no JSON object, in base64 as received.
RAW_BYTES_FIELD = "\0raw"


@attrs.define
class Faults:
    """Faults to inject.

    Attributes
    ----------
    down : str
        How the store fails: "busy" (status 503), "silent" (no response) or "reset"
        (closed connections); empty for not at all.
    slow : float
        Seconds of delay before each call is served.
    lose : float
        Share of the transactions that take effect but get no response.
    late : float
        Seconds after which these take effect.
    answer_late : float
        Seconds from the commit of any other transaction to its response; change feeds
        list it at once.
    """

    down: str = ""
    slow: float = 0.0
    lose: float = 0.0
    late: float = 0.0
    answer_late: float = 0.0


def exceeds_limits(transaction: dict, size: int) -> bool:
    """Return whether a transaction of some bytes is over the limits."""
    entries = sum(len(transaction[kind]) for kind in ("expected", "writes", "remove"))
    longest = max((len(row["value"]) for row in transaction["writes"]), default=0)
    over = entries > MAX_ENTRIES or size > MAX_TRANSACTION_BYTES
    return over or longest > MAX_ROW_BYTES


async def cut_connection():
    """Abort the response: the connection is closed before any of it is sent."""
    raise ResponseAborted("response dropped by an injected fault")
    yield b""


class FakeMetadataStore:
    """The metadata store as an HTTP server.

    Parameters
    ----------
    seed : int
        Seed of the random choice of transactions that get no response.

    Attributes
    ----------
    tables : MemoryTables
        Rows and their changes.
    faults : Faults
    server : HttpServer
    late_commits : set of Task
        Transactions without a response that have not taken effect yet.
    """

    def __init__(self, seed: int = 0):
        self.tables = MemoryTables()
        self.faults = Faults()
        self.rng = random.Random(seed)
        self.server = HttpServer(self.serve)
        self.late_commits: set[asyncio.Task] = set()

    async def serve(self, request: Request) -> Response:
        """Serve one request."""
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
        """Return a response with the newest version and the store's time."""
        now = int(time.monotonic() * 1000)
        return json_response(200, {"ver": self.tables.version, "now_ms": now, **fields})

    async def serve_rows_tx(self, request: Request) -> Response:
        """Commit a transaction, or reject it with 412 if a condition does not hold."""
        value = json.loads(request.body)
        if exceeds_limits(value, len(request.body)):
            return json_response(400, {"error": "over the limits of a transaction"})
        writes = decode_transaction(value)
        if self.rng.random() < self.faults.lose:
            task = asyncio.create_task(self.commit_late(writes))
            self.late_commits.add(task)
            task.add_done_callback(self.late_commits.discard)
            return Response(200, [], cut_connection())
        outcome = await self.tables.commit(writes)
        if isinstance(outcome, Committed):
            # Built before the delay, so that its version is that of this transaction.
            response = self.versioned_response()
        else:
            response = Response(412, [], json.dumps({"rows": []}).encode())
        await asyncio.sleep(self.faults.answer_late)
        return response

    async def commit_late(self, writes: list[Write]) -> None:
        """Commit a transaction that gets no response, after ``faults.late`` seconds."""
        await asyncio.sleep(self.faults.late)
        await self.tables.commit(writes)

    async def serve_rows_get(self, request: Request) -> Response:
        """Return a page of a part's rows."""
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
        parts = {row_id[1] for row_id in self.tables.rows if row_id[0] == table}
        return self.versioned_response(
            parts=sorted(p for p in parts if p > after), has_more=False
        )

    async def serve_rows_feed(self, request: Request) -> Response:
        """Return the changes of a table after a version; 410 if they are dropped."""
        table, after = request.parameter("table"), int(request.parameter("after"))
        wait_s = float(request.parameter("wait_ms", "0")) / 1000
        wait = min(datetime.timedelta(seconds=wait_s), MAX_FEED_WAIT)
        changes = await self.tables.changes(table, after, wait)
        if isinstance(changes, HistoryLost):
            return Response(410)
        return self.versioned_response(
            rows=[encode_row(row) for row in changes.rows], ver=changes.version
        )

    async def write_row(self, table: str, key: str, value: dict | None) -> None:
        """Write a row, or remove it (value None), without a condition."""
        await self.tables.commit([Write(table, key, value)])

    async def read_row(self, table: str, key: str, part: str = "") -> Row | None:
        """Return a row; None if there is none."""
        row = await self.tables.read(table, key, part)
        return None if isinstance(row, Missing) else row


def decode_transaction(value: dict) -> list[Write]:
    """Return the writes of a transaction from its JSON form."""
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
    """Return the table, part and key of one entry of a transaction."""
    return entry["table"], entry.get("part", ""), entry["key"]


def encode_row(row: Row) -> dict:
    """Return the JSON form of a row."""
    value = {"table": row.table, "part": row.part, "key": row.key, "ver": row.version}
    if row.value is None:
        return value | {"tombstone": True}
    if RAW_BYTES_FIELD in row.value:
        return value | {"value": row.value[RAW_BYTES_FIELD]}
    data = json.dumps(row.value).encode()
    return value | {"value": base64.b64encode(data).decode()}


async def run(ip: str, port: int, seed: int) -> None:
    """Run the stand-in until cancelled."""
    store = FakeMetadataStore(seed)
    await store.server.listen(ip, port)
    await asyncio.Event().wait()


def main(ip: str = "127.0.0.1", port: int = 9100, seed: int = 0) -> None:
    """Run a stand-in for the platform's metadata store."""
    asyncio.run(run(ip, port, seed))


if __name__ == "__main__":
    typer.run(main)
