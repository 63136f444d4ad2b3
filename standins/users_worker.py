"""Stand-in for one of the platform's backend servers: plain service or model engine.

``python -m standins.users_worker --ip 127.0.0.1 --port 9200 --service app --store
127.0.0.1:9100``. ``GET /runs`` lists the requests that it ran, for checks of a history.
"""

import asyncio
import base64
import hashlib
import json
import math
import os
import random
import time
from collections.abc import Callable

import typer

from gypsumshift.addresses import parse_address
from gypsumshift.httpclient import Fetcher, FetchError
from gypsumshift.httpserver import (
    HttpServer,
    Request,
    Response,
    ResponseAborted,
    json_response,
)
from standins.hostpace import HostPace, SharedHostPace, SteadyPace

__all__ = ["FakeWorker", "event_text", "plain_answer", "put_row"]

# Time between two writes of a worker's entry in the servers table.
HEARTBEAT_PERIOD_S = 0.6
# Time that an engine takes to load weights.
LOAD_TIME_S = 0.3
# Time from the arrival of a request that crashes the worker to the crash.
CRASH_DELAY_S = 0.1
NOT_RUN_HEADERS = [("not-run", "1")]


def event_text(item: str, number: int) -> str:
    """Return the data of one event of an item, which is the same at every engine."""
    return hashlib.sha256(f"{item}/{number}".encode()).hexdigest()[:24]


async def cut_connection():
    """Abort the response: the connection is closed before its body is sent."""
    raise ResponseAborted("response dropped by an injected fault")
    yield b""


def plain_answer(request_id: str) -> bytes:
    """Return the response body of a plain service to a request."""
    return hashlib.sha256(request_id.encode()).hexdigest().encode()


class FakeWorker:
    """A backend server of the platform.

    Parameters
    ----------
    service : str
        Name of the service that it provides.
    models : tuple of str
        Models of an engine; empty for a plain service.
    slots : int
        Requests that it runs concurrently; further ones are rejected as not run.
    events : int
        Events in the stream of each request to an engine.
    pause : float
        Seconds of work for a request, or before each event of a stream.

    Attributes
    ----------
    id : str
    born : int
        Time of its start, in Unix milliseconds.
    entry_writes : int
        Number of times that its entry was written.
    running : int
        Requests running now.
    orders : int
        Number of orders accepted since its start.
    busy : bool
        Whether an order is being carried out.
    runs : list of dict
        Requests that it ran, and orders that it accepted.
    run_log : file or None
        File to which these are also written, since it outlives the process.
    break_at_events : list of int
        Numbers of the events in the middle of which the next streams break off.
    reported_load : str
        Load to report in place of the actual one; empty to report the actual one.
    loses_answers : bool
        Whether requests are run and their connections closed instead of a response.
    fatal : bytes
        Requests whose body contains it crash the worker; empty for none.
    on_fatal : callable
        Crashes the worker; by default ends the process.
    queue_length : int
        Requests to a plain service that wait for a slot; further ones are rejected.
    waiting : int
        Requests waiting for a slot now.
    host_pace : HostPace
        Slows down its work.
    slowdown : float
        Further slowdown, which ``PUT /slowdown`` sets.
    reports_pace : bool
        Whether its load has the pace as a fourth figure.
    zone : str
        Availability zone in its entry.
    logs_arrivals : bool
        Whether the log of its runs has a line for each such request.
    last_arrival : float
        Monotonic time of the last request that it did not answer with 421, reports
        included; minus infinity before the first.
    """

    def __init__(self, service, models=(), slots=6, events=4, pause=0.02):
        self.service = service
        self.models = dict.fromkeys(models, 1)
        self.slots = slots
        self.events = events
        self.pause = pause
        self.id = f"i-{random.SystemRandom().getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.entry_writes = 0
        self.running = 0
        self.orders = 0
        self.busy = False
        self.state = "ready"
        self.runs: list[dict] = []
        self.run_log = None
        self.break_at_events: list[int] = []
        self.reported_load = ""
        self.loses_answers = False
        self.fatal = b""
        self.on_fatal: Callable[[], None] = lambda: os._exit(1)
        self.queue_length = 0
        self.waiting = 0
        self.host_pace: HostPace = SteadyPace()
        self.slowdown = 1.0
        self.reports_pace = False
        self.zone = "here"
        self.logs_arrivals = False
        self.last_arrival = -math.inf
        self.slot_freed = asyncio.Condition()
        self.server = HttpServer(self.serve)

    def restart(self) -> None:
        """Start again under the same id, without any state of the previous start."""
        self.born = max(int(time.time() * 1000), self.born + 1)
        self.entry_writes = 0
        self.orders = 0
        self.busy = False
        self.state = "ready"

    async def serve(self, request: Request) -> Response:
        """Serve one request."""
        if request.path == "/runs":
            return json_response(200, {"id": self.id, "runs": self.runs})
        if request.path == "/drain":
            self.state = "draining"
            return Response(200)
        if request.path == "/slowdown":
            self.slowdown = float(request.body)
            return Response(200)
        expected_id = request.header("expect-instance")
        if expected_id in ("", self.id):
            self.record_arrival(request)
        if request.path == "/gypsumshift/report":
            return json_response(200, self.report())
        if expected_id and expected_id != self.id:
            return Response(421, [("instance-id", self.id)])
        if request.path == "/gypsumshift/order":
            return await self.accept_order(json.loads(request.body))
        if self.running + self.waiting >= self.slots + self.queue_length:
            return Response(503, [*NOT_RUN_HEADERS, self.load_header()])
        return await self.run_request(request)

    def record_arrival(self, request: Request) -> None:
        """Record that a request for this server arrived."""
        self.last_arrival = time.monotonic()
        if self.logs_arrivals:
            self.log_line({"arrived": request.path, "at": time.time()})

    def current_slowdown(self) -> float:
        """Return how long work takes now, in units of the usual time."""
        return self.host_pace.slowdown() * self.slowdown

    def load_header(self) -> tuple[str, str]:
        """Return the header with the current load."""
        figures = [self.running, self.waiting, self.slots]
        if self.reports_pace:
            figures.append(round(100 * self.current_slowdown()))
        return "server-load", self.reported_load or ",".join(map(str, figures))

    async def work(self, seconds: float) -> None:
        """Wait for a slot, and use it for a time."""
        self.waiting += 1
        try:
            async with self.slot_freed:
                await self.slot_freed.wait_for(lambda: self.running < self.slots)
                self.running += 1
        finally:
            self.waiting -= 1
        try:
            await asyncio.sleep(seconds * self.current_slowdown())
        finally:
            self.running -= 1
            async with self.slot_freed:
                self.slot_freed.notify_all()

    def record_run(self, run: dict) -> None:
        """Record a run or an order, also in the log file if there is one."""
        self.runs.append(run)
        self.log_line(run)

    def log_line(self, line: dict) -> None:
        """Write a line to the log file, if there is one."""
        if self.run_log is not None:
            self.run_log.write(json.dumps(line) + "\n")
            self.run_log.flush()

    def report(self) -> dict:
        """Return the report that an agent reads."""
        models = [{"name": n, "version": v} for n, v in self.models.items()]
        return {
            "stage": "mixed",
            "models": models,
            "busy": self.busy,
            "seq": self.orders,
            "queued": 0,
            "running": self.running,
            "born": self.born,
        }

    async def accept_order(self, order: dict) -> Response:
        """Accept an order to load weights, or reject it."""
        if "holder" not in order or "fence" not in order:
            return Response(400, NOT_RUN_HEADERS)
        if self.busy or order.get("expected", self.orders) != self.orders:
            return Response(409)
        self.orders += 1
        self.busy = True
        self.record_run({"order": order, "at": time.time()})
        asyncio.get_running_loop().call_later(LOAD_TIME_S, self.finish_load, order)
        return Response(202)

    def finish_load(self, order: dict) -> None:
        """Put the weights of an order in use."""
        self.busy = False
        self.models[order["model"]] = order["version"]

    async def run_request(self, request: Request) -> Response:
        """Run a request, and return its response or stream."""
        request_id = request.header("request-id")
        after = int(request.header("last-event-id", "0"))
        run = {"request": request_id, "at": time.time(), "after": after, "end": ""}
        run["workspace"] = request.header("tenant")
        run["told_key"] = bool(request.header("key"))
        fatal = bool(self.fatal) and self.fatal in request.body
        if fatal:
            run["fatal"] = request.body.decode("latin-1")
            asyncio.get_running_loop().call_later(CRASH_DELAY_S, self.on_fatal)
        self.record_run(run)
        headers = [
            ("request-id", request_id),
            ("server-stamp", f"{self.id}.{request_id}"),
        ]
        if not self.models:
            try:
                await self.work(CRASH_DELAY_S * 10 if fatal else self.pause)
            finally:
                self.log_line({"ended": request_id, "at": time.time()})
            headers.append(self.load_header())
            if self.loses_answers:
                return Response(200, headers, cut_connection())
            run["end"] = "whole"
            return Response(200, headers, plain_answer(request_id))
        model = next(iter(self.models))
        headers.append(self.load_header())
        headers.append(("weight-versions", str(self.models[model])))
        headers.append(("content-type", "text/event-stream"))
        return Response(200, headers, self.stream_events(run, request_id, after, model))

    async def stream_events(self, run: dict, item: str, after: int, model: str):
        """Yield the events after ``after``, naming the weight version if it changes."""
        version = self.models[model]
        self.running += 1
        try:
            for number in range(after + 1, self.events + 1):
                await asyncio.sleep(self.pause * self.current_slowdown())
                version_line = ""
                if self.models[model] != version:
                    version = self.models[model]
                    version_line = f"weight-versions: {version}\n"
                text = event_text(item, number)
                if self.break_at_events and self.break_at_events[0] == number:
                    del self.break_at_events[0]
                    yield f"id: {number}\ndata: {text[:5]}".encode()
                    raise ResponseAborted("stream broken off by an injected fault")
                yield f"{version_line}id: {number}\ndata: {text}\n\n".encode()
            run["end"] = "whole"
        except GeneratorExit:
            raise ResponseAborted("the caller closed the connection") from None
        finally:
            self.running -= 1

    def table_entry(self, address: str) -> dict:
        """Return the worker's next entry for the servers table."""
        self.entry_writes += 1
        return {
            "born": self.born,
            "seq": self.entry_writes,
            "cold_left_ms": 0,
            "service": self.service,
            "addr": address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "models": self.report()["models"],
        }


async def put_row(fetcher: Fetcher, store: tuple[str, int], row: tuple) -> bool:
    """Write a row (table, key, value); return whether the store committed it.

    A value that is bytes is written unchanged, any other as JSON.
    """
    table, key, value = row
    raw = value if isinstance(value, bytes) else json.dumps(value).encode()
    data = base64.b64encode(raw).decode()
    write = {"table": table, "key": key, "value": data}
    body = json.dumps({"expected": [], "writes": [write], "remove": []}).encode()
    try:
        answer = await fetcher.fetch(
            store, "POST", "/gypsumshift/rows-tx", [], body, 2.0
        )
    except FetchError as error:
        print(f"cannot write {table}/{key} to the store: {error}", flush=True)
        return False
    return answer.status == 200


async def run(worker: FakeWorker, ip: str, port: int, store: str) -> None:
    """Serve requests and keep the worker's entry in the store, until cancelled."""
    await worker.server.listen(ip, port)
    fetcher = Fetcher()
    store_address = parse_address(store)
    while True:
        entry = worker.table_entry(f"{ip}:{port}")
        await put_row(fetcher, store_address, ("servers", worker.id, entry))
        await asyncio.sleep(HEARTBEAT_PERIOD_S)


def main(
    ip: str = "127.0.0.1",
    port: int = 9200,
    service: str = "app",
    store: str = "127.0.0.1:9100",
    models: str = "",
    slots: int = 6,
    runs: str = "",
    name: str = "",
    fatal: str = "",
    work_ms: float = 20,
    queue_length: int = 0,
    shared_host: bool = False,
    reports_pace: bool = False,
    zone: str = "here",
    logs_arrivals: bool = False,
) -> None:
    """Run a stand-in for a backend server; ``models`` are separated by commas.

    ``name`` is its id at each start; without it the id is random. ``runs`` is a file to
    which its runs are appended. A request whose body contains ``fatal`` crashes it.
    ``work_ms`` is the time of a plain request or of an event. With ``shared_host`` its
    pace changes like that of a shared host, and is reported with its load; with
    ``reports_pace`` it is reported without such changes. With ``logs_arrivals``, the
    file of ``runs`` also has a line for each request that arrives.
    """
    names = tuple(models.split(",")) if models else ()
    worker = FakeWorker(service, names, slots, pause=work_ms / 1000)
    worker.id = name or worker.id
    worker.zone, worker.logs_arrivals = zone, logs_arrivals
    worker.fatal = fatal.encode()
    worker.queue_length = queue_length
    worker.reports_pace = reports_pace or shared_host
    if shared_host:
        worker.host_pace = SharedHostPace(f"{ip}:{port}")
    if runs:
        worker.run_log = open(runs, "a")
        worker.log_line({"started": worker.id, "at": time.time(), "slots": slots})
    asyncio.run(run(worker, ip, port, store))


if __name__ == "__main__":
    typer.run(main)
