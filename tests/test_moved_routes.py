"""Each send asks the configuration in force where the request may run.

Guards against requests at a service from which their route has moved: retries, hedges,
resumed streams, reward calls and calls that wait took the route with which they began.
"""

import asyncio

import attrs
import pytest

from gypsumshift.httpclient import RequestWithheld
from gypsumshift.httpserver import ResponseAborted
from gypsumshift.outcomes import Answered, NotRun, Unknown
from gypsumshift.serving import RequestKind, Target
from gypsumshift.serving.calls import Failed, Refused
from standins.users_documents import config, route
from standins.users_worker import FakeWorker
from tests.moving_routes import (
    NEW,
    OLD,
    WORK_S,
    MovingWorld,
    move,
    play,
    server,
    table,
)
from tests.platform_cluster import run_scenario
from tests.system import wait_until

MOVED = {
    "moved": table(2, NEW),
    "split": table(2, Target(OLD, 0.0), Target(NEW, 1.0)),
}
ENDS = {
    "broken": Failed("broken", True),
    "refused": Refused("full"),
    "not connected": Failed("no connection", False),
    "failed": Answered(500),
}


@pytest.mark.parametrize("moved", MOVED.values(), ids=MOVED)
@pytest.mark.parametrize("ends_with", ENDS.values(), ids=ENDS)
def test_a_retry_goes_to_the_service_of_the_route_in_force(ends_with, moved):
    async def scenario(world):
        world.sender.ends_with = ends_with
        outcome = await world.forward(move(moved))
        return outcome, world.sender.sends

    assert play(scenario) == (Answered(200), [OLD, NEW])


def test_a_hedge_goes_to_the_service_of_the_route_in_force():
    async def scenario(world):
        world.sender.ends_with = None
        outcome = await world.forward(move(table(2, NEW)))
        return outcome, world.sender.sends

    assert play(scenario) == (Answered(200), [OLD, NEW])


@pytest.mark.parametrize("ends_with", [ENDS["refused"], ENDS["not connected"]])
def test_a_reward_call_goes_to_the_service_of_the_route_in_force(ends_with):
    async def scenario(world):
        world.sender.ends_with = ends_with
        outcome = await world.forward(move(table(2, NEW)), reward_for="w")
        return outcome, world.sender.sends

    assert play(scenario) == (Answered(200), [OLD, NEW])


class SlowGate:
    """Gate that lets each call wait, and notes the services that it is asked for."""

    def __init__(self):
        self.asked = []

    async def enter(self, call, service):
        self.asked.append(service)
        await asyncio.sleep(WORK_S)

    def record_answer(self, *arguments):
        pass


def test_a_call_that_waits_enters_the_service_of_the_route_in_force():
    async def scenario(world):
        world.forwarder.gate = SlowGate()
        outcome = await world.forward(move(table(2, NEW)))
        return outcome, world.sender.sends, world.forwarder.gate.asked

    assert play(scenario) == (Answered(200), [NEW], [OLD, NEW])


@pytest.mark.parametrize(
    ("ends_with", "outcome"),
    [(ENDS["broken"], Unknown), (ENDS["refused"], NotRun), (None, Unknown)],
)
def test_nothing_more_is_sent_once_the_configuration_has_no_route(ends_with, outcome):
    async def scenario(world):
        world.sender.ends_with = ends_with
        found = await world.forward(move(table(2)))
        return type(found), world.sender.sends

    assert play(scenario) == (outcome, [OLD])


def test_a_call_whose_route_becomes_unsafe_is_not_sent_again():
    """What either configuration forbids stays forbidden."""

    async def scenario(world):
        moved = table(2, NEW, kind=RequestKind.UNSAFE)
        outcome = await world.forward(move(moved))
        return type(outcome), world.sender.sends

    assert play(scenario) == (Unknown, [OLD])


def test_a_second_attempt_goes_to_no_server_that_has_left_since():
    """A server that drains must get no request, from whatever list."""

    def leave(directory):
        for name in ("a", "b"):
            known = directory.servers[name]
            directory.set_server(attrs.evolve(known, ready=False))
        directory.set_server(server("d", OLD))

    async def scenario(world):
        sent = []
        exchange = world.sender.exchange

        async def record(call, chosen, progress):
            sent.append(chosen.id)
            if chosen.id == "d":
                return Answered(200)
            return await exchange(call, chosen, progress)

        world.sender.exchange = record
        await world.forward(leave)
        return sent

    assert play(scenario)[1:] == ["d"]


class MovingFetcher:
    """Fetcher under which the route moves while a connection is opened."""

    def __init__(self, world, moved):
        self.world, self.moved = world, moved

    async def open(self, *arguments, allowed, **options):
        self.world.directory.set_routes(self.moved)
        if allowed():
            raise AssertionError("the request was sent")
        raise RequestWithheld


@pytest.mark.parametrize("moved", [*MOVED.values(), table(2)])
def test_the_route_is_asked_right_before_the_first_byte(moved):
    async def scenario(world):
        from gypsumshift.serving.sender import Sender

        world.sender.fetcher = MovingFetcher(world, moved)
        chosen = world.directory.servers["a"]
        progress = world.sender.new_progress(chosen)
        return await Sender.exchange(world.sender, world.call(), chosen, progress)

    assert isinstance(play(scenario), Refused)


def test_a_call_whose_route_was_unsafe_for_a_moment_is_not_sent_again():
    async def scenario(world):
        moved = table(2, NEW, kind=RequestKind.UNSAFE)
        back = table(3, NEW, kind=RequestKind.SAFE)
        outcome = await world.forward(move(moved), move(back))
        return type(outcome), world.sender.sends

    assert play(scenario) == (Unknown, [OLD])


def test_what_one_of_two_routes_forbids_stays_forbidden():
    old = table(1, OLD, kind=RequestKind.STREAM, resumable=False)
    new = table(2, NEW, kind=RequestKind.STREAM, resumable=True)

    async def scenario(world):
        call = world.call()
        return call.service_by(new), call.route.resumable

    assert play(scenario, old) == (NEW, False)


def test_a_world_moves_back_and_forth_with_its_routes():
    """Of several moves, the last one before a send counts."""

    async def scenario(world: MovingWorld):
        moves = [move(table(2, NEW)), move(table(3, OLD)), move(table(4, NEW))]
        outcome = await world.forward(*moves)
        return outcome, world.sender.sends[0], world.sender.sends[-1]

    assert play(scenario) == (Answered(200), OLD, NEW)


class HeldEngine(FakeWorker):
    """Engine that breaks off its streams after one event, once it is told to."""

    async def stream_events(self, run, item, after, model):
        self.released = asyncio.Event()
        yield b"id: 1\ndata: x\n\n"
        await self.released.wait()
        raise ResponseAborted("broken off")


def moved_config(**fields):
    """Return a configuration whose resumable streams go to another service."""
    moved = route("resumed", kind="stream", attempts=3, **fields)
    value = config(2, [moved])
    value["services"].append({"name": "next"})
    return value


@pytest.mark.parametrize(
    ("fields", "runs"),
    [
        ({"service": "next", "can_resume": True}, 1),
        ({"service": "next", "can_resume": False}, 0),
    ],
)
def test_a_stream_is_resumed_as_the_route_in_force_says(fields, runs, tmp_path):
    async def scenario(world):
        held, other = HeldEngine("pool", ("m",)), FakeWorker("next", ("m",))
        await world.store.write_row("servers", world.engine.id, None)
        await world.register(held)
        gateway = world.gateway
        pool = lambda: [s.id for s in gateway.directory.ready_servers("pool")]
        await wait_until(lambda: pool() == [held.id])
        stream = asyncio.create_task(
            world.send_request("POST", "/resumed/1", "s1", b"x")
        )
        await wait_until(lambda: getattr(held, "released", None))
        await world.register(other)
        await world.register(world.engine)
        await world.store.write_row("op", "config", moved_config(**fields))
        await wait_until(lambda: gateway.directory.routes.version == 2)
        await wait_until(lambda: len(pool()) == 2)
        await wait_until(lambda: gateway.directory.ready_servers("next"))
        held.released.set()
        await asyncio.wait({stream})
        stream.exception()
        assert len(other.runs) == runs and not world.engine.runs

    run_scenario(scenario, tmp_path)
