"""Bad input to every port is refused or closes its connection, and nothing else."""

import asyncio
import json

import pytest

from gypsumshift.entry import Entry
from gypsumshift.frames import LENGTH_PREFIX, MAX_FRAME_BYTES, encode_frame
from gypsumshift.generated.messages import Body, Frame, Heartbeat, Member, Start
from gypsumshift.generated.settings import Settings
from gypsumshift.httpclient import Fetcher
from gypsumshift.httpserver import MAX_BODY_BYTES
from gypsumshift.serverconnection import MAX_HEADER_BYTES

from . import builders

SOURCE = {
    "templates": [{"name": "t"}],
    "workspaces": [{"name": "w", "template": "t"}],
    "pools": [{"name": "p", "kind": "model"}],
    "trainers": [{"name": "tr", "workspace": "w", "pool": "p"}],
}


def run_with_entry(work, **settings):
    async def run():
        platform = builders.platform()
        chosen = Settings(
            name="e", role="entry", zone="here", platform="memory:", **settings
        )
        async with Entry(chosen, platform) as entry:
            await (
                entry.active_revision.changed.wait()
            ) if not entry.active_revision.ready else None
            outcome = await entry.revision_history.apply(0, SOURCE, "a", "m", "token")
            entry.adopt_revision(1, json.dumps(outcome.declarations))
            await work(entry)

    asyncio.run(run())


async def send_raw(address, data, end=False):
    """Send bytes and return everything received until the connection closes."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(data)
    if end:
        writer.write_eof()
    try:
        return await reader.read()
    except ConnectionError:
        return b""
    finally:
        writer.close()


INVALID_HTTP = {
    "garbage": (b"\x00\xff\x13garbage\r\n\r\n" * 4, 400),
    "not http": (b"SSH-2.0-OpenSSH_9.2\r\n\r\n", 400),
    "oversized header": (
        b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"a" * (MAX_HEADER_BYTES + 1000),
        431,
    ),
    "two lengths": (
        b"POST /w/v1/completions HTTP/1.1\r\nhost: a\r\n"
        b"content-length: 5\r\ncontent-length: 6\r\n\r\n",
        400,
    ),
}


@pytest.mark.parametrize("case", INVALID_HTTP)
def test_an_invalid_http_request_is_refused_and_others_are_served(case):
    data, status = INVALID_HTTP[case]

    async def work(entry):
        for address in (entry.caller_address, entry.operator_address):
            answer = await send_raw(address, data)
            assert answer.startswith(f"HTTP/1.1 {status} ".encode())
            health = await Fetcher().fetch(address, "GET", "/health")
            assert health.status == 200

    run_with_entry(work)


def test_an_oversized_body_is_refused_before_it_is_buffered():
    async def work(entry):
        head = (
            b"POST /w/v1/completions HTTP/1.1\r\nhost: a\r\n"
            b"content-length: %d\r\n\r\n" % (MAX_BODY_BYTES * 4)
        )
        data = head + b"x" * (MAX_BODY_BYTES + 100_000)
        answer = await send_raw(entry.caller_address, data)
        assert answer.startswith(b"HTTP/1.1 413 ") or answer == b""
        health = await Fetcher().fetch(entry.caller_address, "GET", "/health")
        assert health.status == 200

    run_with_entry(work)


def test_a_truncated_body_is_not_accepted_and_stores_nothing():
    async def work(entry):
        data = (
            b"POST /w/trainers/tr/groups HTTP/1.1\r\nhost: a\r\n"
            b'content-length: 400\r\n\r\n[{"id": "a", '
        )
        answer = await send_raw(entry.caller_address, data, end=True)
        assert not answer.startswith(b"HTTP/1.1 2")
        rows = await entry.platform.tables.scan("groups", "")
        assert rows == []

    run_with_entry(work)


def test_a_connection_with_an_unfinished_request_is_closed_when_idle(monkeypatch):
    monkeypatch.setattr("gypsumshift.serverconnection.IDLE_TIMEOUT_S", 0.05)

    async def work(entry):
        assert await send_raw(entry.caller_address, b"GET / HT") == b""
        health = await Fetcher().fetch(entry.caller_address, "GET", "/health")
        assert health.status == 200

    run_with_entry(work)


INVALID_FRAMES = {
    "http": b"GET / HTTP/1.1\r\n\r\n",
    "too long": LENGTH_PREFIX.pack(MAX_FRAME_BYTES + 1) + b"x" * 100,
    "not thrift": LENGTH_PREFIX.pack(8) + b"\xff" * 8,
    "empty frame": LENGTH_PREFIX.pack(0),
    "deep nesting": LENGTH_PREFIX.pack(4000) + b"\x1c" * 4000,
}


@pytest.mark.parametrize("case", INVALID_FRAMES)
def test_the_peer_port_closes_a_connection_that_sends_an_invalid_frame(case):
    async def work(entry):
        address = ("127.0.0.1", entry.member.port)
        assert await send_raw(address, INVALID_FRAMES[case], end=True) == b""
        health = await Fetcher().fetch(entry.caller_address, "GET", "/health")
        assert health.status == 200

    run_with_entry(work)


INCOMPLETE = {
    "heartbeat": Body(heartbeat=Heartbeat()),
    "sender": Body(heartbeat=Heartbeat(Member("x"), 1, None, [], [])),
    "start": Body(start=Start(attempt="0-a")),
    "no body": Body(),
}


@pytest.mark.parametrize("case", INCOMPLETE)
def test_an_incomplete_frame_closes_its_connection_and_changes_nothing(case):
    async def work(entry):
        data = encode_frame(Frame(1, INCOMPLETE[case], 0, 0))
        address = ("127.0.0.1", entry.member.port)
        assert (
            await send_raw(address, LENGTH_PREFIX.pack(len(data)) + data, end=True)
            == b""
        )
        assert not entry.stopped.is_set() and not entry.membership.peers

    run_with_entry(work)


def test_an_error_in_a_handler_fails_that_request_only():
    async def work(entry):
        entry.trainer_api.show_state = None
        answer = await Fetcher().fetch(entry.caller_address, "GET", "/w/trainers/tr")
        assert answer.status == 500
        assert json.loads(answer.body)["outcome"] == "unknown"
        health = await Fetcher().fetch(entry.caller_address, "GET", "/health")
        assert health.status == 200

    run_with_entry(work)


REQUESTS = {
    "unknown workspace": ("GET", "/nobody/v1/completions", b"", 404),
    "unknown method": ("BREW", "/w/trainers/tr/groups", b"", 404),
    "unknown trainer": ("GET", "/w/trainers/none", b"", 404),
    "wrong json": ("POST", "/w/trainers/tr/groups", b"{", 400),
    "json of a wrong shape": ("POST", "/w/trainers/tr/groups", b'[{"id": 7}]', 422),
    "step zero": ("GET", "/w/trainers/tr/steps/0", b"", 404),
    "a step too far": ("GET", "/w/trainers/tr/steps/9?wait=0", b"", 409),
    "version no number": ("GET", "/w/trainers/tr/steps/1?version=x", b"", 400),
    "wait no number": ("GET", "/w/trainers/tr/steps/1?wait=x", b"", 400),
    "no model declared": ("POST", "/w/v1/completions", b"{}", 404),
    "unknown service": ("GET", "/w/services/none/x", b"", 404),
}


@pytest.mark.parametrize("case", REQUESTS)
def test_a_bad_request_is_refused_as_not_run(case):
    method, target, body, status = REQUESTS[case]

    async def work(entry):
        address = entry.caller_address
        answer = await Fetcher().fetch(address, method, target, [], body)
        assert answer.status == status
        assert json.loads(answer.body)["outcome"] == "not run"

    run_with_entry(work)


OPERATOR_REQUESTS = {
    "no declarations": ("POST", "/v1/apply", b"{}", 422),
    "wrong json": ("POST", "/v1/plan", b"[", 400),
    "no base": ("POST", "/v1/apply", b'{"declarations": {}}', 422),
    "malformed": ("POST", "/v1/apply", b'{"declarations": {"a": 1}, "base": 1}', 422),
    "unknown revision": ("GET", "/v1/revisions/99", b"", 404),
    "unknown process": ("POST", "/v1/drain?name=none", b"", 404),
    "unknown pool": ("PUT", "/v1/weights?pool=none&version=1", b"", 404),
    "unknown path": ("GET", "/v2/none", b"", 404),
}


@pytest.mark.parametrize("case", OPERATOR_REQUESTS)
def test_a_bad_operator_request_changes_nothing(case):
    method, target, body, status = OPERATOR_REQUESTS[case]

    async def work(entry):
        address = entry.operator_address
        answer = await Fetcher().fetch(address, method, target, [], body)
        assert answer.status == status
        assert await entry.revision_history.read_newest_number() == 1

    run_with_entry(work)


def test_operator_requests_need_the_token_if_one_is_set(tmp_path):
    path = tmp_path / "token"
    path.write_text("secret\n")

    async def work(entry):
        address, fetcher = entry.operator_address, Fetcher()
        assert (await fetcher.fetch(address, "GET", "/v1/status")).status == 401
        wrong = [("authorization", "Bearer wrong")]
        assert (await fetcher.fetch(address, "GET", "/v1/status", wrong)).status == 401
        right = [("authorization", "Bearer secret")]
        assert (await fetcher.fetch(address, "GET", "/v1/status", right)).status == 200
        assert (await fetcher.fetch(address, "GET", "/metrics")).status == 200

    run_with_entry(work, operator_token_file=str(path))


async def closes_at_once(server, close):
    """Return whether a connection closes whose server closed while accepting it."""

    def accept(reader, writer):
        server.accept(reader, writer)
        close()

    listener = await asyncio.start_server(accept, "127.0.0.1", 0)
    address = listener.sockets[0].getsockname()
    try:
        async with asyncio.timeout(10):
            first = await send_raw(address, b"")
            return first == b"" and await send_raw(address, b"") == b""
    finally:
        listener.close()


def test_a_connection_accepted_while_a_port_closes_is_closed(monkeypatch):
    monkeypatch.setattr("gypsumshift.peerconnection.FIRST_FRAME_TIMEOUT_S", 3600.0)

    async def work(entry):
        assert await closes_at_once(
            entry.peer_server, entry.peer_server.abort_connections
        )
        front = entry.caller_server
        stop = lambda: asyncio.ensure_future(front.stop(0))
        assert await closes_at_once(front, stop)

    run_with_entry(work)
