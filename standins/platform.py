"""Fake platform: tables, object store, weight store and a lagging host list.

``python -m standins.platform --port 9000``. Faults are set at
``PUT /faults`` with a JSON object of the fields of `Faults`.
"""

import asyncio
import json
import random
import time
import urllib.parse
from typing import Annotated

import attrs
import typer

from gypsumshift import memory
from gypsumshift.httpserver import HttpServer, Request, Response, json_response
from gypsumshift.outcomes import Committed, Conflict, Missing
from gypsumshift.platforms import Host, Write


@attrs.define
class Faults:
    """Faults to inject.

    Attributes
    ----------
    down : bool
        Whether to answer all requests with 503.
    slow : float
        Delay of each answer, in seconds.
    lose : float
        Probability that a write takes effect but is not answered.
    objects_down : bool
        Whether to answer requests to the object store with 503.
    seed : int
        Seed of the random choice of lost answers.
    """

    down: bool = False
    slow: float = 0.0
    lose: float = 0.0
    objects_down: bool = False
    seed: int = 0


class FakePlatform:
    """The services of the platform behind one HTTP server.

    Parameters
    ----------
    weight_rate : float
        Bytes per second that the weight store sends, to all readers together.
    host_lag : float
        Delay after which changes of hosts appear in the host list, in seconds.
    """

    def __init__(self, weight_rate: float = 50e6, host_lag: float = 2.0):
        self.platform = memory.connect("memory:standin")
        self.faults = Faults()
        self.rng = random.Random(0)
        self.weight_rate = weight_rate
        self.weights_free_at = 0.0
        self.host_lag = host_lag
        self.hosts: list[tuple[float, Host]] = []
        self.counts = {"reads": 0, "writes": 0}
        self.server = HttpServer(self.serve)

    async def serve(self, request: Request) -> Response:
        """Answer one request."""
        parts = [urllib.parse.unquote(part) for part in request.path.split("/")[1:]]
        kind = parts[0]
        if kind == "faults":
            return self.set_faults(request)
        if kind == "counts":
            return json_response(200, self.counts)
        objects_down = self.faults.objects_down and kind == "objects"
        if self.faults.down or objects_down:
            return Response(503)
        if self.faults.slow:
            await asyncio.sleep(self.faults.slow)
        writes = request.method != "GET"
        self.counts["writes" if writes else "reads"] += 1
        handler = getattr(self, f"serve_{kind}", None)
        response = await handler(request, parts[1:]) if handler else Response(404)
        if writes and self.rng.random() < self.faults.lose:
            await asyncio.sleep(3600)
        return response

    def set_faults(self, request: Request) -> Response:
        """Set faults on PUT and return them; an empty object ends them all."""
        if request.method == "PUT":
            self.faults = Faults(**json.loads(request.body))
            self.rng = random.Random(self.faults.seed)
        return json_response(200, attrs.asdict(self.faults))

    async def serve_tables(self, request: Request, rest: list[str]) -> Response:
        """Read a row, scan a prefix, or commit a transaction."""
        tables = self.platform.tables
        if request.method == "POST":
            writes = [Write(**value) for value in json.loads(request.body)]
            return outcome_response(await tables.commit(writes))
        if len(rest) == 2:
            row = await tables.read(*rest)
            if isinstance(row, Missing):
                return Response(404)
            return json_response(200, attrs.asdict(row))
        rows = await tables.scan(rest[0], request.parameter("prefix"))
        return json_response(200, [attrs.asdict(row) for row in rows])

    async def serve_objects(self, request: Request, rest: list[str]) -> Response:
        """Create, read or delete an object; objects are never overwritten."""
        objects = self.platform.objects
        if request.method == "PUT":
            return outcome_response(await objects.put(rest[0], request.body))
        if request.method == "DELETE":
            return outcome_response(await objects.delete(rest[0]))
        data = await objects.get(rest[0])
        return Response(404) if isinstance(data, Missing) else Response(200, [], data)

    async def serve_weights(self, request: Request, rest: list[str]) -> Response:
        """Publish weights, or read them at the limited rate."""
        pool, version = rest[0], int(rest[1])
        weights = self.platform.weights
        if request.method == "PUT":
            published = await weights.publish(pool, version, request.body)
            return outcome_response(published)
        data = weights.data.get((pool, version))
        if data is None:
            return Response(404)
        await self.wait_for_rate(len(data))
        return Response(200, [], data)

    async def wait_for_rate(self, size: int) -> None:
        """Wait until the rate limit allows so many bytes to be sent."""
        now = time.monotonic()
        start = max(now, self.weights_free_at)
        self.weights_free_at = start + size / self.weight_rate
        await asyncio.sleep(self.weights_free_at - now)

    async def serve_hosts(self, request: Request, rest: list[str]) -> Response:
        """Register or remove a host, or list the hosts as of `host_lag` seconds ago."""
        if request.method == "PUT":
            host = Host(**json.loads(request.body))
            self.hosts.append((time.monotonic(), host))
            return Response(204)
        if request.method == "DELETE":
            removed = Host(rest[0], "", "", True)
            self.hosts.append((time.monotonic(), removed))
            return Response(204)
        horizon = time.monotonic() - self.host_lag
        seen = {host.name: host for at, host in self.hosts if at <= horizon}
        return json_response(200, [attrs.asdict(h) for h in seen.values() if h.address])


def outcome_response(outcome) -> Response:
    """Return the response for the outcome of a write."""
    if isinstance(outcome, Committed):
        return Response(204)
    if isinstance(outcome, Conflict):
        return Response(409, [], outcome.detail.encode())
    return Response(503)


async def serve(host: str, port: int, platform: FakePlatform) -> None:
    """Serve until cancelled."""
    await platform.server.listen(host, port)
    await asyncio.Event().wait()


def main(
    port: int,
    host: str = "127.0.0.1",
    weight_rate: Annotated[float, typer.Option(help="Bytes per second.")] = 50e6,
    host_lag: Annotated[float, typer.Option(help="Seconds.")] = 2.0,
) -> None:
    """Run a fake platform."""
    asyncio.run(serve(host, port, FakePlatform(weight_rate, host_lag)))


if __name__ == "__main__":
    typer.run(main)
