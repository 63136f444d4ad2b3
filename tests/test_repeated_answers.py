"""A late second copy of a failure is not read as the answer to the next run.

Guards against items and reward calls that are given up after fewer failures than their
routes allow: they are sent again under the same id, so that a copy which comes where
the next answer is expected has the right id.
"""

import asyncio

import attrs
import pytest

from gypsumshift.httpclient import Fetcher
from gypsumshift.jobs.engine import EngineClient, StreamRefused
from gypsumshift.outcomes import Answered
from tests import job_builders as jw
from tests.cut_server import CHUNK, CHUNKED, HEAD
from tests.endless_server import request_id
from tests.moving_routes import MovingWorld
from tests.test_endless_bytes import AnyProtocol

FAILURE = HEAD.replace(b"200 OK", b"500 No") + b"content-length: 2\r\n\r\n{}"
EVENTS = CHUNKED + CHUNK + b"0\r\n\r\n"
WHOLE = HEAD + b"content-length: 2\r\n\r\n{}"
ITEM = attrs.evolve(jw.items(1, 1)[0], path="/run/1")


class RepeatingServer:
    """Server that fails its first request, and repeats that answer late.

    The copy comes where the next answer on the connection is expected. ``whole`` is its
    answer to all others.
    """

    def __init__(self, whole):
        self.whole = whole
        self.requests = 0
        self.copies = 0

    async def __aenter__(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = self.listener.sockets[0].getsockname()[:2]
        return self

    async def __aexit__(self, *exc_info):
        self.listener.close()

    async def serve(self, reader, writer):
        owed = b""
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                length = head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]
                await reader.readexactly(int(length))
                self.requests += 1
                self.copies += bool(owed)
                answer = FAILURE if self.requests == 1 else owed + self.whole
                owed = FAILURE.replace(b"%b", request_id(head))
                if self.requests > 1:
                    owed = b""
                writer.write(answer.replace(b"%b", request_id(head)))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def play(whole, scenario):
    async def run():
        async with RepeatingServer(whole) as server, asyncio.timeout(10):
            fetcher = Fetcher()
            await scenario(server, fetcher)
            fetcher.close_idle()

    asyncio.run(run())


def test_an_item_fails_once_for_one_failure_of_which_a_copy_comes_late():
    async def scenario(server, fetcher):
        client = EngineClient(fetcher, jw.NAMES, AnyProtocol())
        engine = jw.server(address=server.address)
        job = jw.job(jw.split_into_units([ITEM]))
        with pytest.raises(StreamRefused) as caught:
            async for _ in client.stream(engine, ITEM, job, 0, 5):
                pass
        assert caught.value.counts_as_failure
        events = [event async for event in client.stream(engine, ITEM, job, 0, 5)]
        assert [event.data for event in events] == ["x"]
        assert server.requests == 2 and not server.copies

    play(EVENTS, scenario)


def test_a_reward_call_fails_once_for_one_failure_of_which_a_copy_comes_late():
    async def scenario(server, fetcher):
        world = MovingWorld()
        world.sender.fetcher = fetcher
        world.sender.exchange = (
            type(world.sender).__mro__[1].exchange.__get__(world.sender)
        )
        known = attrs.evolve(world.directory.servers["a"], address=server.address)
        statuses = []
        for _ in range(2):
            call = attrs.evolve(world.call(reward_for="w"), target="/score/1")
            outcome = await world.sender.attempt(call, known)
            assert isinstance(outcome, Answered)
            statuses.append(outcome.status)
        assert statuses == [500, 200] and not server.copies

    play(WHOLE, scenario)


def test_a_connection_is_kept_after_an_answer_that_is_no_failure():
    """Guards against a new connection for each request."""

    async def scenario(server, fetcher):
        server.requests = 1
        client = EngineClient(fetcher, jw.NAMES, AnyProtocol())
        engine = jw.server(address=server.address)
        job = jw.job(jw.split_into_units([ITEM]))
        async for _ in client.stream(engine, ITEM, job, 0, 5):
            pass
        assert fetcher.has_idle_connection(server.address)

    play(EVENTS, scenario)
