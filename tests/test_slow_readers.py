"""Callers that read slowly or not at all, over real sockets on loopback."""

import asyncio
import contextlib
import socket

import pytest

from gypsumshift import serverconnection
from gypsumshift.bytebudget import MIB, ByteBudget
from gypsumshift.httpclient import Fetcher
from gypsumshift.httpserver import HttpServer, Response, ResponseAborted
from tests.budget_builders import HOST, new_budget

CHUNK_BYTES = 16 * 1024
CHUNKS = 512
BODY_BYTES = CHUNKS * CHUNK_BYTES
# The process's window and the socket buffers of both sides.
UNREAD_BYTES = MIB
GET = b"GET %s HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"
UNREAD_TIMEOUT_S = 0.4


class Source:
    """Server with a streamed and a complete body, both of `BODY_BYTES`."""

    def __init__(self, budget):
        self.budget = budget
        self.produced = 0
        self.ended = asyncio.Event()
        self.server = HttpServer(self.serve, budget=budget)

    async def serve(self, request):
        request.holding.add("answer", 1)
        if request.path == "/stream":
            return Response(200, [], self.stream())
        if request.path == "/broken":
            return Response(200, [], self.broken())
        return Response(200, [], b"x" * BODY_BYTES)

    async def stream(self):
        try:
            for _ in range(CHUNKS):
                self.produced += CHUNK_BYTES
                yield b"x" * CHUNK_BYTES
        finally:
            self.ended.set()

    async def broken(self):
        yield b"x" * CHUNK_BYTES
        raise ResponseAborted("the server ended")

    @property
    def write_buffer_bytes(self):
        connections = self.server.connections.values()
        return sum(c.writer.transport.get_write_buffer_size() for c in connections)


class Caller:
    """Caller with a small receive buffer that reads only when it is told to."""

    def __init__(self, address):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32 * 1024)
        self.socket.setblocking(False)
        self.address = address

    async def send(self, target, version=b"1.1"):
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self.socket, self.address)
        request = (GET % target).replace(b"1.1", version)
        await loop.sock_sendall(self.socket, request)

    async def read(self, size=65536):
        return await asyncio.get_running_loop().sock_recv(self.socket, size)

    async def read_all(self):
        """Return what arrives until the end, and whether the connection was reset."""
        received = b""
        try:
            while data := await self.read():
                received += data
        except ConnectionResetError:
            return received, True
        return received, False


def run_scenario(scenario, budget=None):
    async def run():
        source = Source(budget or new_budget(12 * MIB))
        caller = Caller((HOST, await source.server.listen(HOST, 0)))
        try:
            async with asyncio.timeout(20):
                await scenario(source, caller)
        finally:
            caller.socket.close()
            await source.server.stop(0)

    asyncio.run(run())


@pytest.fixture
def short_timeout(monkeypatch):
    monkeypatch.setattr(serverconnection, "UNREAD_TIMEOUT_S", UNREAD_TIMEOUT_S)


def test_a_stream_is_produced_only_as_fast_as_the_caller_reads():
    """Without backpressure, each slow reader costs a whole stream of memory."""

    async def scenario(source, caller):
        await caller.send(b"/stream")
        await asyncio.sleep(0.3)
        assert 0 < source.produced < UNREAD_BYTES
        assert source.write_buffer_bytes <= 3 * CHUNK_BYTES
        received, _ = await caller.read_all()
        assert received.endswith(b"0\r\n\r\n") and source.produced == BODY_BYTES

    run_scenario(scenario)


def test_a_complete_answer_is_written_in_small_parts():
    """Written at once, the body is buffered a second time at the socket."""

    async def scenario(source, caller):
        await caller.send(b"/whole")
        await asyncio.sleep(0.3)
        assert 0 < source.write_buffer_bytes <= 3 * CHUNK_BYTES
        assert source.budget.total
        received, _ = await caller.read_all()
        assert len(received.partition(b"\r\n\r\n")[2]) == BODY_BYTES
        while source.budget.total:
            await asyncio.sleep(0.001)

    run_scenario(scenario)


@pytest.mark.parametrize("target", [b"/stream", b"/whole"])
def test_a_caller_that_reads_nothing_is_cut_off_after_the_time_limit(
    target, short_timeout
):
    """The bytes held for it must be released, and its answer not look complete."""

    async def scenario(source, caller):
        await caller.send(target)
        started = asyncio.get_running_loop().time()
        await asyncio.sleep(UNREAD_TIMEOUT_S / 2)
        assert source.server.connections
        while source.server.connections or source.budget.total:
            await asyncio.sleep(0.01)
        assert asyncio.get_running_loop().time() - started < 1.7 * UNREAD_TIMEOUT_S
        received, reset = await caller.read_all()
        assert reset
        assert len(received) < BODY_BYTES and not received.endswith(b"0\r\n\r\n")
        if target == b"/stream":
            assert source.ended.is_set()

    run_scenario(scenario)


def test_a_caller_that_reads_slowly_is_not_cut_off(short_timeout):
    """The limit is on the time without any progress, not on the whole response.

    The kernel buffers what the caller reads within several times the limit, so the
    process's own buffer does not show the progress.
    """

    async def scenario(source, caller):
        await caller.send(b"/whole")
        started = asyncio.get_running_loop().time()
        received = 0
        while asyncio.get_running_loop().time() < started + 4 * UNREAD_TIMEOUT_S:
            received += len(await caller.read(8 * 1024))
            await asyncio.sleep(UNREAD_TIMEOUT_S / 8)
        rest, reset = await caller.read_all()
        assert not reset and received + len(rest) > BODY_BYTES

    run_scenario(scenario)


def test_without_a_budget_no_caller_is_cut_off(short_timeout):
    async def scenario(source, caller):
        await caller.send(b"/whole")
        await asyncio.sleep(3 * UNREAD_TIMEOUT_S)
        received, reset = await caller.read_all()
        assert not reset and len(received) > BODY_BYTES

    run_scenario(scenario, ByteBudget())


@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
def test_an_aborted_stream_does_not_look_complete(version):
    """HTTP/1.0 has no final chunk: only a reset tells an aborted body."""

    async def scenario(source, caller):
        await caller.send(b"/broken", version)
        received, reset = await caller.read_all()
        assert reset if version == b"1.0" else not received.endswith(b"0\r\n\r\n")

    run_scenario(scenario)


def test_the_server_is_not_read_while_the_caller_does_not_read():
    """The relay holds a small window of a stream, not what the server sends."""

    async def scenario(source, _):
        fetcher = Fetcher(receive_window_bytes=16 * 1024)

        async def relay(request):
            address = HOST, source.server.listener.sockets[0].getsockname()[1]
            exchange = await fetcher.open(address, "GET", "/stream", [], fresh=True)
            return Response(200, [], relay_chunks(exchange))

        front = HttpServer(relay, budget=new_budget(12 * MIB))
        caller = Caller((HOST, await front.listen(HOST, 0)))
        await caller.send(b"/stream")
        await asyncio.sleep(0.3)
        held = source.produced
        await asyncio.sleep(0.2)
        assert 0 < held == source.produced < 2 * UNREAD_BYTES
        received, _ = await caller.read_all()
        assert received.endswith(b"0\r\n\r\n") and source.produced == BODY_BYTES
        caller.socket.close()
        await front.stop(0)

    run_scenario(scenario)


async def relay_chunks(exchange):
    with contextlib.closing(exchange):
        async for data in exchange.chunks():
            yield data


def test_a_closed_connection_whose_caller_reads_on_is_not_reset(short_timeout):
    """Guards against an exception of the timer that resets connections."""
    errors = []

    async def scenario(source, caller):
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        await caller.send(b"/whole")
        while not source.write_buffer_bytes:
            await asyncio.sleep(0.01)
        (connection,) = source.server.connections.values()
        connection.close()
        await caller.read_all()
        await asyncio.sleep(3 * UNREAD_TIMEOUT_S)

    run_scenario(scenario)
    assert not errors, errors
