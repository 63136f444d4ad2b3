"""A caller that leaves a stream ends its run at the server, also while that is silent.

Guards against servers that work on for callers who have left: a silent server sends
nothing that could fail to be passed on.
"""

import asyncio
import contextlib

import pytest

from standins.users_documents import HOST
from tests.platform_cluster import run_scenario
from tests.silent_worker import FOREVER_S, SilentWorker
from tests.system import wait_until

PREFIXES = ["/flow/", "/resumed/"]
# How long a server may work on for a caller who has left (rule GONE).
NOTICE_S = 0.5


async def begin(world, prefix):
    """Begin a stream whose engine falls silent; return engine and connection."""
    engine = SilentWorker(events=6, pause=0.02)
    engine.silences = [{4: FOREVER_S}]
    await world.store.write_row("servers", world.engine.id, None)
    await world.register(engine)
    directory = world.gateway.directory
    await wait_until(
        lambda: [s.id for s in directory.ready_servers("pool")] == [engine.id]
    )
    reader, writer = await asyncio.open_connection(*world.front_address)
    head = f"POST {prefix}1 HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: s1\r\n"
    writer.write(head.encode() + b"content-length: 1\r\n\r\nx")
    await reader.readuntil(b"id: 3\n")
    await asyncio.sleep(0.1)
    assert engine.running
    return engine, writer


@pytest.mark.parametrize("prefix", PREFIXES)
@pytest.mark.parametrize("leave", ["close", "reset", "half-close"])
def test_a_silent_stream_ends_at_its_server_when_its_caller_leaves(
    prefix, leave, tmp_path
):
    async def scenario(world):
        engine, writer = await begin(world, prefix)
        if leave == "close":
            writer.close()
        elif leave == "reset":
            writer.transport.abort()
        else:
            writer.write_eof()
        async with asyncio.timeout(NOTICE_S):
            while engine.running:
                await asyncio.sleep(0.01)
        assert not world.gateway.forwarder.guard.active_permits
        with contextlib.suppress(OSError):
            writer.close()

    run_scenario(scenario, tmp_path)
