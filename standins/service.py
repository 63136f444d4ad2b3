"""Stand-in for a plain service: it runs requests and remembers how often.

``python -m standins.service --port 9200``. Faults are switched on at
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
    """Switches.

    Attributes
    ----------
    slow : float
        Factor on the time of a request.
    cut : int
        Requests still to be run whose answer is cut in its middle.
    sick : bool
        Whether the health page says so.
    """

    slow: float = 1.0
    cut: int = 0
    sick: bool = False


class FakeService:
    """A plain service.

    Parameters
    ----------
    name : str
    places : int
        Requests that run at once; more wait.
    duration : float
        Median seconds of a request; spread log-normally.
    spread : float
        Sigma of the log-normal spread.
    journal : str
        File that outlives a kill; a line for each request that began to run.
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
        """Run one request; counted as run once it has a place."""
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
        """Note that a request begins to run."""
        self.runs[request_id] += 1
        if self.journal:
            line = {"at": time.time(), "by": self.name, "id": request_id}
            self.journal.write(json.dumps(line) + "\n")

    async def stream_cut_body(self):
        """Yield a part of an answer, then break."""
        yield b'{"service": '
        raise ResponseAborted("told to cut")


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
    """Run a stand-in for a plain service."""
    service = FakeService(name, places, duration, spread, journal)
    asyncio.run(serve(service, host, port))


if __name__ == "__main__":
    typer.run(main)
