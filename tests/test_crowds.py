"""Crowds of clients that misbehave, at each port of a gateway and of an agent.

Guards against clients that end a process: each crowd takes more memory, descriptors or
turns of the event loop than the process is granted, unless what peers make it hold and
do is bounded in total. Nothing here depends on the machine's speed.
"""

import asyncio

import attrs
import pytest

from tests import crowd_clients
from tests.crowd_world import CrowdWorld

MEMORY_MB = 120
MAX_DESCRIPTORS = 600
# What the users' sheets grant. The bound of the memory is the same.
MANY_DESCRIPTORS = 8_200
TEST_TIMEOUT_S = 60
SMALL_BODY = b"x" * 2_000


@attrs.frozen
class Crowd:
    """Clients of one kind at one port.

    Attributes
    ----------
    kind : str
        One of `tests.crowd_clients.KINDS`.
    count : int
    port : str
    """

    kind: str
    count: int
    port: str = "front"

    def __str__(self):
        return f"{self.port}-{self.kind}"


GATEWAY_CROWDS = [
    Crowd("body_by_length", 300),
    Crowd("body_in_chunks", 300),
    Crowd("body_in_one_chunk", 300),
    Crowd("body_in_tiny_chunks", 300),
    Crowd("whole_body_in_tiny_chunks", 100),
    Crowd("unfinished_head", 2_000),
    Crowd("unfinished_trailers", 2_000),
    Crowd("many_trailers", 300),
    Crowd("many_fields", 300),
    Crowd("held_fields", 300),
    Crowd("nothing", 2_000),
    Crowd("idle", 2_000),
    Crowd("pipelined", 300),
    Crowd("nested_job", 60),
    Crowd("trickled_body", 300),
    Crowd("trickled_head", 2_000),
    Crowd("body_by_length", 200, "ready"),
    Crowd("body_in_tiny_chunks", 200, "ready"),
    Crowd("unfinished_head", 2_000, "ready"),
    Crowd("body_by_length", 200, "control"),
    Crowd("body_in_chunks", 200, "control"),
    Crowd("unfinished_head", 2_000, "control"),
    Crowd("body_by_length", 200, "metrics"),
    Crowd("nothing", 2_000, "metrics"),
    Crowd("scrapes", 200, "metrics"),
]
AGENT_CROWDS = [
    Crowd("body_by_length", 200, "control"),
    Crowd("body_in_tiny_chunks", 200, "control"),
    Crowd("unfinished_head", 2_000, "control"),
    Crowd("body_in_one_chunk", 200, "metrics"),
    Crowd("nothing", 2_000, "metrics"),
]
ENTRY_CROWDS = [
    Crowd("body_by_length", 300, "caller"),
    Crowd("body_in_tiny_chunks", 100, "caller"),
    Crowd("unfinished_head", 2_000, "caller"),
    Crowd("body_in_chunks", 300, "operator"),
    Crowd("nothing", 2_000, "operator"),
    Crowd("unfinished_frame", 60, "peer"),
    Crowd("nothing", 2_000, "peer"),
]
SIDECAR_CROWDS = [
    Crowd("body_by_length", 300, "operator"),
    Crowd("unfinished_frame", 60, "peer"),
    Crowd("nothing", 2_000, "peer"),
]


# Crowds of one gateway at the same time.
ALL_PORTS = [
    Crowd("body_by_length", 300),
    Crowd("unfinished_head", 500),
    Crowd("held_fields", 200),
    Crowd("body_in_chunks", 200, "control"),
    Crowd("body_by_length", 200, "ready"),
    Crowd("nothing", 500, "metrics"),
]


LARGE_CROWDS = [
    Crowd("body_in_chunks", 1_500),
    Crowd("body_in_one_chunk", 1_500),
    Crowd("body_by_length", 1_500),
    Crowd("unfinished_head", 2_000),
]


async def check_program(world, program, crowds, ask, descriptors=MAX_DESCRIPTORS):
    """Check a program beside crowds and after them.

    ``ask(beside)`` sends an ordinary request: repeatedly until it is answered beside
    the crowds, and a single one, which must be answered, after them.
    """
    sampling = asyncio.create_task(program.sample_descriptors())
    arriving = [world.start_crowd(c.kind, c.port, c.count) for c in crowds]
    processes = await asyncio.gather(*arriving)
    await ask(True)
    for process in processes:
        await world.end(process)
    await ask(False)
    sampling.cancel()
    assert program.alive
    measured = program.peak_memory_mb(), program.most_descriptors
    print(*crowds, "memory {:.0f} MB, descriptors {}".format(*measured))
    assert measured[0] <= MEMORY_MB
    assert measured[1] <= descriptors


def run_world(
    folder,
    scenario,
    names=("limits.memory_mb", "limits.max_fds"),
    descriptors=MAX_DESCRIPTORS,
):
    async def run():
        limits = dict(zip(names, (MEMORY_MB, descriptors), strict=True))
        world = CrowdWorld(folder, limits)
        try:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await scenario(world)
        finally:
            await world.stop()

    asyncio.run(run())


async def check_gateway(world, crowds, descriptors=MAX_DESCRIPTORS):
    """Check a gateway beside crowds and after them."""
    gateway = await world.start_gateway()

    async def ask(beside):
        if beside:
            await world.until_answered("front", "/app/small", SMALL_BODY)
            await world.until_answered("ready", "/gypsumshift/ready")
            return
        assert await world.request("front", "/app/small", SMALL_BODY) == 200
        assert await world.request("ready", "/gypsumshift/ready") == 200

    await check_program(world, gateway, crowds, ask, descriptors)


@pytest.mark.parametrize("crowd", GATEWAY_CROWDS, ids=str)
def test_a_gateway_outlives_a_crowd_and_answers_ordinary_callers(crowd, tmp_path):
    run_world(tmp_path, lambda world: check_gateway(world, [crowd]))


def test_a_gateway_outlives_crowds_at_all_its_ports_at_once(tmp_path):
    """The bounds hold in sum, not for each port or kind of client alone."""
    run_world(tmp_path, lambda world: check_gateway(world, ALL_PORTS))


@pytest.mark.parametrize("crowd", LARGE_CROWDS, ids=str)
def test_the_memory_of_a_crowd_does_not_grow_with_the_descriptors(crowd, tmp_path):
    """What a connection holds besides its body was not counted, or for too little."""
    run_world(
        tmp_path,
        lambda world: check_gateway(world, [crowd], MANY_DESCRIPTORS),
        descriptors=MANY_DESCRIPTORS,
    )


@pytest.mark.parametrize("crowd", AGENT_CROWDS, ids=str)
def test_an_agent_outlives_a_crowd_and_answers_others(crowd, tmp_path):
    async def scenario(world):
        agent = await world.start_agent()

        async def ask(beside):
            if beside:
                await world.until_answered("metrics", "/metrics")
                return
            assert await world.request("metrics", "/metrics") == 200

        await check_program(world, agent, [crowd], ask)

    run_world(tmp_path, scenario)


DAEMON_CASES = [("entry", c) for c in ENTRY_CROWDS]
DAEMON_CASES += [("sidecar", c) for c in SIDECAR_CROWDS]


@pytest.mark.parametrize(("role", "crowd"), DAEMON_CASES, ids=str)
def test_a_daemon_outlives_a_crowd_and_answers_others(role, crowd, tmp_path):
    async def scenario(world):
        daemon = await world.start_daemon(role)

        async def ask(beside):
            if beside:
                await world.until_answered("operator", "/metrics")
                return
            assert await world.request("operator", "/metrics") == 200
            if role == "entry":
                assert await world.request("caller", "/health") == 200

        await check_program(world, daemon, [crowd], ask)

    run_world(tmp_path, scenario, ("memory_mb", "max_descriptors"))


SLOW_BYTE_S = 0.02


async def send_slowly(address, head, body):
    """Send a request a byte at a time; return the status line of its answer."""
    reader, writer = await asyncio.open_connection(*address)
    for number in range(len(head + body)):
        writer.write((head + body)[number : number + 1])
        await asyncio.sleep(SLOW_BYTE_S if number >= len(head) else SLOW_BYTE_S / 10)
    line = await reader.readline()
    writer.close()
    return line


def post(fields):
    head = f"POST /app/slow HTTP/1.1\r\nhost: users.example\r\n{fields}\r\n\r\n"
    return head.encode()


@pytest.mark.parametrize(
    "fields", ["content-length: 400", "transfer-encoding: chunked"]
)
def test_a_slow_client_inside_the_limits_is_served(fields, tmp_path):
    """Limits on what misbehaves must not hit a client that is only slow."""
    body = b"x" * 400
    if "chunked" in fields:
        body = b"1\r\nx\r\n" * 60 + b"0\r\n\r\n"

    async def scenario(world):
        await world.start_gateway()
        address = world.ip, world.ports["front"]
        assert b" 200 " in await send_slowly(address, post(fields), body)

    run_world(tmp_path, scenario)


SINGLE_BODIES = {
    "tiny-chunks": crowd_clients.whole_body_in_tiny_chunks(),
    "length": crowd_clients.body_by_length() + b"x",
    "one-chunk": crowd_clients.body_in_one_chunk() + b"x\r\n0\r\n\r\n",
    "chunks": crowd_clients.body_in_chunks() + b"0\r\n\r\n",
}


@pytest.mark.parametrize("name", SINGLE_BODIES)
def test_a_single_large_body_inside_the_limits_is_served(name, tmp_path):
    async def scenario(world):
        await world.start_gateway()
        reader, writer = await asyncio.open_connection(world.ip, world.ports["front"])
        writer.write(SINGLE_BODIES[name])
        assert b" 200 " in await reader.readline()
        writer.close()

    run_world(tmp_path, scenario)
