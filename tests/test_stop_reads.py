"""A server that stops answers the requests that have arrived, read or not.

Guards against requests on kept connections that are closed without an answer since they
waited for a turn of the event loop, or had only just arrived, when the server stopped.
"""

import asyncio
import time

import pytest

from gypsumshift import httpserver
from gypsumshift.httpserver import HttpServer, Response

BODY = b"x" * 8000
GRACE_S = 4.0
CLOSED, RESET = "closed", "reset"
HEAD = b"POST /%d HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n"


async def answer(request):
    await asyncio.sleep(0.01)
    return Response(200, [], request.path.encode())


async def connect(server, port, count):
    """Open connections, and have an answer on each."""
    found = []
    for number in range(count):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(HEAD % (number, 0))
        await read_answer(reader)
        found.append((reader, writer))
    return found


async def read_answer(reader):
    """Return the status of an answer, or how the connection ended without one.

    A connection that is closed with unread bytes is reset, so one that ends otherwise
    was closed by a process that had read the request.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        length = head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]
        await reader.readexactly(int(length))
    except asyncio.IncompleteReadError:
        return CLOSED
    except ConnectionError:
        return RESET
    return int(head.split()[1])


def run(scenario):
    async def work():
        server = HttpServer(answer)
        port = await server.listen("127.0.0.1", 0)
        async with asyncio.timeout(20):
            await scenario(server, port)

    asyncio.run(work())


def test_requests_that_wait_for_a_turn_are_answered_during_a_stop():
    async def scenario(server, port):
        connections = await connect(server, port, 100)
        gate = server.inbound.gate
        gate.busy = True
        for number, (_, writer) in enumerate(connections):
            writer.write(HEAD % (number, len(BODY)) + BODY)
        await asyncio.sleep(0.3)
        stopping = asyncio.create_task(server.stop(GRACE_S))
        await asyncio.sleep(0.2)
        gate.leave()
        statuses = [await read_answer(reader) for reader, _ in connections]
        assert statuses == [200] * len(connections)
        await stopping

    run(scenario)


@pytest.mark.parametrize("turns", range(6))
def test_requests_that_have_just_arrived_are_answered_during_a_stop(turns):
    """The stop comes some turns of the event loop after the bytes."""

    async def scenario(server, port):
        connections = await connect(server, port, 20)
        for number, (_, writer) in enumerate(connections):
            writer.write(HEAD % (number, 1) + b"x")
        for _ in range(turns):
            await asyncio.sleep(0)
        stopping = asyncio.create_task(server.stop(GRACE_S))
        ends = [await read_answer(reader) for reader, _ in connections]
        assert CLOSED not in ends, ends
        await stopping

    run(scenario)


def test_a_stop_does_not_wait_long_for_a_head_that_never_ends(monkeypatch):
    """Guards against a client that holds up a stop with half a request."""
    monkeypatch.setattr(httpserver, "READ_GRACE_S", 0.5, raising=False)

    async def scenario(server, port):
        connections = await connect(server, port, 3)
        connections[0][1].write(b"POST / HTTP/1.1\r\nhost:")
        await asyncio.sleep(0.1)
        began = time.monotonic()
        await server.stop(GRACE_S)
        assert time.monotonic() - began < 1.0
        assert not await connections[0][0].read()

    run(scenario)


def test_a_stop_closes_idle_connections_at_once():
    async def scenario(server, port):
        connections = await connect(server, port, 3)
        began = time.monotonic()
        await server.stop(GRACE_S)
        assert time.monotonic() - began < 0.5
        assert [await read_answer(reader) for reader, _ in connections] == [CLOSED] * 3

    run(scenario)
