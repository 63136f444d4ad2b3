"""Requests that a gateway takes while it stops can end, or are refused at once.

Guards against requests that a planned stop takes, passes on and then cuts without an
answer, some of which may not be repeated. The gateway is a process of its own, which
is stopped by a signal.
"""

import asyncio
import contextlib
import signal
import time

import attrs
import pytest

from gypsumshift.httpclient import Fetcher, FetchError
from standins.users_documents import HOST, config, route
from standins.users_worker import FakeWorker
from tests import system
from tests.crowd_world import CrowdWorld
from tests.system import wait_until

GRACE_S = 4.0
# Work that ends within the grace, but after more than four fifths of it.
LONG_WORK_S = 3.3
PERIOD_S = 0.1


class TimedWorker(FakeWorker):
    """Plain server whose requests take the seconds at the end of their path."""

    async def run_request(self, request):
        self.pause = float(request.path.rpartition("/")[2])
        return await super().run_request(request)


@attrs.define
class Sent:
    """A request to the gateway, and what came of it.

    Attributes
    ----------
    id : str
    status : int or None
        None if the connection ended without a complete answer.
    retry_after : str
    connected : bool
        Whether the gateway accepted the connection.
    took_s : float
    """

    id: str
    status: int | None = None
    retry_after: str = ""
    connected: bool = True
    took_s: float = 0.0


class StoppingWorld(CrowdWorld):
    """A gateway that is about to stop, and one server of each kind."""

    async def start(self):
        """Start a gateway with a route that has a long time limit."""
        self.app = TimedWorker("app", slots=1000)
        program = await self.start_gateway()
        long = route("long", kind="unsafe", service="app", timeout_ms=30_000)
        stream = route("stream", kind="stream", service="pool", timeout_ms=30_000)
        await self.store.write_row("op", "config", config(2, [long, stream]))
        while (await self.send("POST", "/long/0", "first")).status != 200:
            await asyncio.sleep(0.05)
        return program

    async def send(self, method, target, request_id, body=b"x") -> Sent:
        """Send a request on a new connection; return what came of it."""
        sent, began = Sent(request_id), time.monotonic()
        address = self.ip, self.ports["front"]
        headers = [("request-id", request_id)]
        try:
            exchange = await Fetcher().open(
                address, method, target, headers, body, host=HOST
            )
            with contextlib.closing(exchange):
                await exchange.read()
            sent.status = exchange.status
            sent.retry_after = exchange.header(b"retry-after")
        except FetchError as error:
            sent.connected = not error.refused
        sent.took_s = time.monotonic() - began
        return sent

    def runs(self, request_id):
        """Return how often a request ran."""
        runs = self.app.runs + self.engine.runs
        return sum(run.get("request") == request_id for run in runs)


def run_stop(folder, scenario):
    """Run a scenario beside a gateway; it gets a function that stops the gateway."""

    async def run():
        world = StoppingWorld(folder, {"bounds.grace_s": str(GRACE_S)})
        try:
            async with asyncio.timeout(60):
                program = await world.start()
                await scenario(
                    world, lambda: program.process.send_signal(signal.SIGTERM)
                )
        finally:
            await world.stop()

    asyncio.run(run())


async def begin(world, target, request_id):
    """Start a request; return its task once a server runs it."""
    task = asyncio.create_task(world.send("POST", target, request_id))
    await wait_until(lambda: world.runs(request_id))
    return task


@pytest.mark.parametrize("work", [0.2, 1.0, 2.0, 3.0])
def test_requests_that_come_during_a_stop_are_answered_or_not_run(work, tmp_path):
    """Guards against requests that are taken late in the grace and cut at its end."""

    async def scenario(world, stop):
        assert (await world.send("POST", f"/long/{work}", "usual")).status == 200
        stop()
        stopped_at, tasks = time.monotonic(), []
        while time.monotonic() - stopped_at < 0.8 * GRACE_S:
            name = f"r{len(tasks)}"
            target = f"/long/{work}"
            tasks.append(asyncio.create_task(world.send("POST", target, name)))
            await asyncio.sleep(PERIOD_S)
        sent = await asyncio.gather(*tasks)
        cut = [s for s in sent if world.runs(s.id) and s.status != 200]
        assert not cut
        late = [s for s in sent if s.connected and s.status is None]
        assert not late
        refused = [s for s in sent if s.status == 503]
        assert all(s.retry_after and s.took_s < 1.0 for s in refused)
        assert any(s.status == 200 for s in sent) == (work < LONG_WORK_S - 1)

    run_stop(tmp_path, scenario)


def test_a_request_that_may_outlast_the_stop_is_refused_at_once(tmp_path):
    """Nothing is known of how long requests of its route take."""

    async def scenario(world, stop):
        stop()
        await wait_until_stopping(world)
        sent = await world.send("POST", "/stream/1", "unknown")
        assert sent.status == 503 and sent.retry_after and sent.took_s < 1.0
        assert not world.runs("unknown")

    run_stop(tmp_path, scenario)


async def wait_until_stopping(world):
    """Wait until the gateway does not count as ready any more."""
    while await world.request("ready", "/gypsumshift/ready") != 503:
        await asyncio.sleep(0.01)


def test_an_answer_under_way_keeps_the_whole_grace(tmp_path):
    async def scenario(world, stop):
        request = await begin(world, f"/long/{LONG_WORK_S}", "running")
        stop()
        assert (await request).status == 200

    run_stop(tmp_path, scenario)


def test_a_stream_under_way_keeps_the_whole_grace(tmp_path):
    async def scenario(world, stop):
        world.engine.pause = LONG_WORK_S / world.engine.events
        stream = await begin(world, "/stream/1", "streaming")
        stop()
        assert (await stream).status == 200

    run_stop(tmp_path, scenario)


def test_a_request_that_outlasts_the_grace_gets_a_truthful_answer(tmp_path):
    """Its outcome is unknown; a closed connection would not even say that."""

    async def scenario(world, stop):
        request = await begin(world, "/long/30", "endless")
        stop()
        assert (await request).status in (502, 504)

    run_stop(tmp_path, scenario)


async def upload(world, request_id, work, pause):
    """Send a request whose last byte follows after a pause; return its status."""
    reader, writer = await asyncio.open_connection(world.ip, world.ports["front"])
    head = f"POST /long/{work} HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {request_id}"
    writer.write(f"{head}\r\ncontent-length: 2\r\n\r\nx".encode())
    await asyncio.sleep(pause)
    with contextlib.suppress(ConnectionError):
        writer.write(b"x")
    line = await reader.readline()
    writer.close()
    return int(line.split()[1]) if line else None


@pytest.mark.parametrize(
    ("work", "pause", "statuses"),
    [(0.2, 2.0, {200}), (1.5, 2.8, {503}), (0.2, GRACE_S + 1, {503, 408})],
)
def test_an_upload_that_ends_during_a_stop(work, pause, statuses, tmp_path):
    async def scenario(world, stop):
        assert (await world.send("POST", f"/long/{work}", "usual")).status == 200
        slow = asyncio.create_task(upload(world, "slow", work, pause))
        await asyncio.sleep(0.1)
        stop()
        assert await slow in statuses
        assert world.runs("slow") == (statuses == {200})

    run_stop(tmp_path, scenario)


@pytest.mark.parametrize(("grace", "status"), [(0.2, 504), (20, 200)])
def test_a_request_of_an_entry_that_stops_gets_an_answer(grace, status):
    async def work(sys):
        entry, shop = sys.entries[0], sys.services[0]
        shop.duration = 1.5
        address = entry.caller_address
        request = Fetcher().fetch(address, "POST", "/w/services/shop/1", [], b"x")
        running = asyncio.create_task(request)
        await wait_until(lambda: sum(sys.run_counts().values()))
        await entry.drain(grace)
        assert (await running).status == status

    system.run(work, engines=0)


def test_an_entry_refuses_at_once_what_may_outlast_its_stop():
    async def work(sys):
        entry, shop = sys.entries[0], sys.services[0]
        shop.duration = 1.0
        address = entry.caller_address
        request = Fetcher().fetch(address, "POST", "/w/services/shop/1", [], b"x")
        running = asyncio.create_task(request)
        await wait_until(lambda: sum(sys.run_counts().values()))
        leaving = asyncio.create_task(entry.drain(3))
        await wait_until(lambda: entry.member.leaving)
        late = await Fetcher().fetch(address, "POST", "/w/services/shop/2", [], b"x")
        assert late.status == 503 and b'"not run"' in late.body
        headers = [("prefer", "wait=2")]
        short = await Fetcher().fetch(
            address, "POST", "/w/services/shop/3", headers, b"x"
        )
        assert short.status == 200
        assert (await running).status == 200
        await leaving

    system.run(work, engines=0)
