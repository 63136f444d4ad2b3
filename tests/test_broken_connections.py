"""Detection, after a broken connection, of whether the backend server is gone."""

import asyncio
import random

import attrs

from gypsumshift.clock import SystemClock
from gypsumshift.httpclient import Fetcher
from gypsumshift.serving import BackendServer, Directory
from gypsumshift.serving.calls import Call, Failed
from gypsumshift.serving.loadbalancer import LoadBalancer
from gypsumshift.serving.sender import Sender
from tests.job_builders import HOST, METRICS, NAMES, routes

ANSWER = (
    b"HTTP/1.1 200 OK\r\nrequest-id: %s\r\nsignature: s\r\ncontent-length: 2\r\n\r\nok"
)


@attrs.define
class Peer:
    """A server whose behaviour is selected by the request body."""

    listener: asyncio.Server = None
    runs: list = attrs.field(factory=list)

    async def listen(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.listener.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        while (body := await self.read(reader)) is not None:
            self.runs.append(body)
            if body == b"end":
                self.listener.close()
            if body in (b"end", b"break"):
                break
            writer.write(b"no answer\r\n\r\n" if body == b"spoil" else ANSWER % b"r")
        writer.close()

    async def read(self, reader):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            return None
        length = head.lower().partition(b"content-length: ")[2].partition(b"\r")[0]
        return await reader.readexactly(int(length))


async def attempt(sender, server, body, kind="/score/"):
    route = routes().find(HOST, kind)
    deadline = sender.clock.monotonic() + 5
    call = Call("r", "POST", kind, HOST, [], body, route, deadline)
    return await sender.attempt(call, server)


def run_scenario(scenario, peer=None):
    async def run():
        clock, directory, fetcher = SystemClock(), Directory(), Fetcher()
        balancer = LoadBalancer("here", clock, random.Random(1))
        nonlocal peer
        peer = peer or Peer()
        server = BackendServer("s", "app", await peer.listen(), "here")
        directory.set_server(server)
        sender = Sender(directory, balancer, fetcher, NAMES, clock, METRICS)
        try:
            await scenario(sender, server, peer)
        finally:
            fetcher.close_idle()
            peer.listener.close()

    asyncio.run(asyncio.wait_for(run(), 20))


def test_a_server_that_ends_during_a_request_counts_as_gone():
    async def scenario(sender, server, peer):
        outcome = await attempt(sender, server, b"end")
        assert outcome == Failed(outcome.reason, sent=True, gone=True)

    run_scenario(scenario)


def test_a_server_that_ends_on_a_reused_connection_counts_as_gone():
    async def scenario(sender, server, peer):
        await attempt(sender, server, b"well")
        outcome = await attempt(sender, server, b"end")
        assert outcome == Failed(outcome.reason, sent=True, gone=True)
        assert peer.runs == [b"well", b"end"]

    run_scenario(scenario)


def test_a_server_that_breaks_off_but_still_listens_does_not_count_as_gone():
    async def scenario(sender, server, peer):
        for body in (b"break", b"spoil"):
            outcome = await attempt(sender, server, body)
            assert outcome == Failed(outcome.reason, sent=True, gone=False)

    run_scenario(scenario)


def test_the_connection_of_the_check_is_reused_for_the_next_request():
    async def scenario(sender, server, peer):
        await attempt(sender, server, b"break")
        assert sender.fetcher.has_idle_connection(server.address)
        assert (await attempt(sender, server, b"well")).status == 200

    run_scenario(scenario)


def test_a_refused_connection_is_gone_but_not_ended_by_the_request():
    async def scenario(sender, server, peer):
        peer.listener.close()
        outcome = await attempt(sender, server, b"well")
        assert outcome == Failed(outcome.reason, sent=False, gone=True)
        assert not outcome.ended

    run_scenario(scenario)


def test_an_unlisted_server_counts_as_gone_although_its_address_answers():
    """A host that was suspended finds a new start at the old one's address."""

    async def scenario(sender, server, peer):
        sender.directory.forget_server(server.id)
        outcome = await attempt(sender, server, b"break")
        assert outcome == Failed(outcome.reason, sent=True, gone=True)

    run_scenario(scenario)
