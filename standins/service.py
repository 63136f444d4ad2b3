"""Fake plain service that counts how often it ran each request.

``python -m standins.service --port 9200``. Faults are set at
``PUT /standin`` with a JSON object of the fields of `Faults`.
"""

import asyncio
import collections
import json
import random
import time

import attrs
import typer

from gypsumshift.httpserver import (
    HttpServer,
    Request,
    Response,
    ResponseAborted,
    json_response,
)


@attrs.define
class Faults:
    """Faults to inject.

    Attributes
    ----------
    slow : float
        Factor on the duration of a request.
    cut : int
        Number of requests still to run whose answer is aborted midway.
    sick : bool
        Whether the health check answers with 503.
    """

    slow: float = 1.0
    cut: int = 0
    sick: bool = False


class FakeService:
    """A fake plain service.

    Parameters
    ----------
    name : str
    slots : int
        Requests that run concurrently; further ones wait.
    duration : float
        Median duration of a request, in seconds; the distribution is log-normal.
    spread : float
        Sigma of the log-normal distribution.
    journal : str
        File with a line for each request that began to run; it is kept when the
        process is killed. Empty for none.
    """

    def __init__(
        self,
        name: str,
        slots: int = 8,
        duration: float = 0.01,
        spread: float = 0.3,
        journal: str = "",
    ):
        self.name = name
        self.slots = asyncio.Semaphore(slots)
        self.duration = duration
        self.spread = spread
        self.rng = random.Random(name)
        self.runs = collections.Counter()
        self.running = 0
        self.journal = open(journal, "a", buffering=1) if journal else None
        self.faults = Faults()
        self.server = HttpServer(self.serve)

    async def serve(self, request: Request) -> Response:
        """Answer one request."""
        if request.path == "/health":
            status = 503 if self.faults.sick else 200
            return json_response(status, {"status": "ok", "running": self.running})
        if request.path == "/standin":
            if request.method == "PUT":
                self.faults = Faults(**json.loads(request.body))
            return json_response(200, {"runs": dict(self.runs)})
        return await self.run_request(request)

    async def run_request(self, request: Request) -> Response:
        """Run a request; it is counted as run once it has a slot."""
        self.running += 1
        try:
            async with self.slots:
                self.record_run(request.header("request-id") or request.path)
                spread = self.rng.lognormvariate(0, self.spread)
                await asyncio.sleep(self.duration * spread * self.faults.slow)
        finally:
            self.running -= 1
        value = {
            "service": self.name,
            "method": request.method,
            "path": request.path,
            "request": request.header("request-id"),
            "length": len(request.body),
        }
        if self.faults.cut > 0:
            self.faults.cut -= 1
            return Response(200, [], self.stream_cut_body())
        return json_response(200, value)

    def record_run(self, request_id: str) -> None:
        """Count a request that begins to run, and write it to the journal."""
        self.runs[request_id] += 1
        if self.journal:
            line = {"at": time.time(), "by": self.name, "id": request_id}
            self.journal.write(json.dumps(line) + "\n")

    async def stream_cut_body(self):
        """Yield the begin of an answer, then abort it."""
        yield b'{"service": '
        raise ResponseAborted("answer aborted by fault cut")


async def serve(service: FakeService, host: str, port: int) -> None:
    """Serve until cancelled."""
    await service.server.listen(host, port)
    await asyncio.Event().wait()


def main(
    port: int,
    name: str = "service",
    host: str = "127.0.0.1",
    places: int = 8,
    duration: float = 0.01,
    spread: float = 0.3,
    journal: str = "",
) -> None:
    """Run a fake plain service."""
    service = FakeService(name, places, duration, spread, journal)
    asyncio.run(serve(service, host, port))


if __name__ == "__main__":
    typer.run(main)
