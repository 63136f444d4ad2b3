"""Data residency: bodies of requests with home regions stay in these regions."""

import asyncio
import copy

import attrs
import pytest

from gypsumshift.eventstream import StreamBroken
from gypsumshift.jobs.rewardlimiter import RewardLimiter
from gypsumshift.outcomes import Answered, NotRun
from gypsumshift.platforms import Row
from gypsumshift.residency import ANYWHERE, NO_HOME_SERVER, Residency, ResidencyRules
from gypsumshift.serving import Call, Directory
from standins.users_documents import HOST, config, route
from tests.builders import ManualClock
from tests.job_builders import HOST as TRAINERS
from tests.platform_cluster import ADAPTER_FOLDER  # noqa: F401 - puts platform/ on the path
from tests.region_builders import make_layout
from tests.region_world import KINDS, WORKSPACE, RegionWorld, make_routes
from tests.virtual_time import run_in_virtual_time

SOUTH = ("south",)
CALL = Call("r", "POST", "/safe/x", TRAINERS, [], b"", None, 0.0)


def load(*documents):
    """Return the directory after the given configuration documents were applied."""
    import directory_feed
    from key_redaction import redact_keys

    directory = Directory()
    feed = directory_feed.DirectoryFeed(directory, None, ManualClock())
    for number, value in enumerate(documents, 1):
        redacted = redact_keys("op", "config", copy.deepcopy(value))
        feed.apply_operator_rows([Row("op", "config", number, redacted)])
    return directory


def document(version=2, tenant_homes=(), **route_fields):
    value = config(
        version, [route("kept", service="app", **route_fields)], 4, {"w": []}
    )
    if tenant_homes != ():
        value["tenants"][0]["home_regions"] = tenant_homes
    return value


def test_homes_of_routes_and_workspaces_are_decoded():
    routes = load(document(tenant_homes=["north"], home_regions=["south"])).routes
    assert routes.find(HOST, "/kept/1").homes == {"south"}
    assert routes.workspaces.by_name["w"].homes == {"north"}
    assert routes.find(HOST, "/app/1").homes == frozenset()
    assert routes.has_homes


@pytest.mark.parametrize("homes", ["north", [1], {"north": 1}, [["north"]], None, 3])
def test_invalid_homes_make_the_document_unreadable(homes):
    """Read as no homes, they would let bodies leave their regions."""
    directory = load(
        document(2, home_regions=["north"]), document(3, home_regions=homes)
    )
    assert directory.config_unreadable and directory.routes.version == 2
    directory = load(document(2), document(3, tenant_homes=homes))
    assert directory.config_unreadable and directory.routes.version == 2


def test_a_configuration_without_homes_restricts_nothing():
    """No decision may change in a deployment that configures no homes."""
    directory = load(document())
    rules = ResidencyRules(directory, make_layout())
    assert not directory.routes.has_homes
    assert rules.of_job(None) is ANYWHERE


def test_homes_of_route_and_workspace_both_apply():
    both = Residency((frozenset({"north", "south"}), frozenset({"south", "west"})))
    allowed = [region for region in ("north", "south", "west") if both.allows(region)]
    assert allowed == ["south"]


def test_an_unknown_region_is_no_home():
    assert not Residency((frozenset({"", "north"}),)).allows("")
    assert ANYWHERE.allows("")


@pytest.mark.parametrize("prefix", ["/safe/", "/once/", "/flow/", "/resumed/"])
def test_a_request_runs_in_its_home_region_only(prefix):
    async def scenario():
        world = RegionWorld()
        world.directory.set_routes(make_routes(2, {prefix: SOUTH}))
        for number in range(8):
            await world.call(f"r{number}", prefix)
        assert {arrival.region for arrival in world.arrivals} == {"south"}

    run_in_virtual_time(scenario)


@pytest.mark.parametrize("prefix", ["/safe/", "/once/", "/flow/", "/resumed/"])
def test_a_request_whose_homes_have_no_server_is_refused_at_once(prefix):
    """It must not be held while servers of other regions are idle."""

    async def scenario():
        world = RegionWorld()
        world.directory.set_routes(make_routes(2, {prefix: ("nowhere",)}))
        started = world.clock.monotonic()
        outcome = await world.call("r", prefix)
        assert isinstance(outcome, NotRun) and outcome.reason == NO_HOME_SERVER
        assert world.clock.monotonic() == started
        assert not world.arrivals

    run_in_virtual_time(scenario)


@pytest.mark.parametrize("fate", ["refuse", "lose", "stall", "no connection"])
def test_neither_retries_nor_hedges_leave_the_homes(fate):
    """The second server of a failing home was chosen from all regions before."""

    async def scenario():
        world = RegionWorld(per_zone=2)
        world.directory.set_routes(make_routes(2, workspace_homes=SOUTH))
        world.fates["south-a"] = world.fates["south-b"] = fate
        for number in range(5):
            await world.call(f"r{number}", "/safe/", WORKSPACE)
        assert {arrival.region for arrival in world.arrivals} <= {"south"}
        world.fates.clear()

    run_in_virtual_time(scenario)


def test_homes_that_change_while_a_connection_opens_apply_to_the_send():
    """The server was chosen under the older configuration."""

    async def scenario():
        world = RegionWorld()
        call = asyncio.create_task(world.call("r", "/once/"))
        await asyncio.sleep(0.001)
        world.directory.set_routes(make_routes(2, {"/once/": SOUTH}))
        outcome = await call
        assert isinstance(outcome, Answered)
        assert [arrival.region for arrival in world.arrivals] == ["south"]

    run_in_virtual_time(scenario)


def test_a_stream_is_resumed_in_its_homes_after_they_changed():
    async def scenario():
        world = RegionWorld()
        world.fates = {"north-a": "lose", "north-b": "lose"}
        call = asyncio.create_task(world.call("r", "/resumed/"))
        await asyncio.sleep(0.03)
        world.directory.set_routes(make_routes(2, {"/resumed/": SOUTH}))
        await call
        assert [arrival.region for arrival in world.arrivals] == ["north", "south"]

    run_in_virtual_time(scenario)


def test_an_item_is_not_sent_to_an_engine_outside_its_homes():
    async def scenario():
        world = RegionWorld()
        world.directory.set_routes(make_routes(2, {"/run/": SOUTH}))
        run = world.item_run("s")
        with pytest.raises(StreamBroken) as raised:
            await run.generate(world.engine_in("north-a"))
        assert not raised.value.sent and not world.arrivals
        assert await run.generate(world.engine_in("south-a")) is None
        assert [arrival.region for arrival in world.arrivals] == ["south"]

    run_in_virtual_time(scenario)


def test_reward_calls_keep_to_the_homes_of_the_workspace_of_the_job():
    """A reward call has no grant; its body holds the output of the job's item."""

    async def scenario():
        world = RegionWorld()
        world.directory.set_routes(make_routes(2, workspace_homes=SOUTH))
        for number in range(6):
            assert await world.item_run(f"s{number}", WORKSPACE).request_score() == "s"
        assert {arrival.region for arrival in world.arrivals} == {"south"}

    run_in_virtual_time(scenario)


def test_without_the_rule_bodies_leave_their_homes(monkeypatch):
    """The checks at the receivers find a sender that does not ask."""
    monkeypatch.setattr(ResidencyRules, "in_force", False)

    async def scenario():
        world = RegionWorld()
        homes = dict.fromkeys(KINDS, SOUTH)
        world.directory.set_routes(make_routes(2, homes))
        for prefix in ("/safe/", "/once/", "/flow/", "/resumed/"):
            await world.call(prefix, prefix)
        run = world.item_run("s")
        await run.generate(world.engine_in("north-a"))
        await run.request_score()
        targets = {arrival.target.split("/")[1] for arrival in world.outside}
        assert targets == {"safe", "once", "flow", "resumed", "run", "score"}

    run_in_virtual_time(scenario)


def test_a_route_that_is_gone_keeps_the_homes_that_the_call_began_with():
    """A removed route must not open the other regions to calls in progress."""
    directory = Directory()
    directory.set_routes(make_routes(2, {"/safe/": SOUTH}))
    call = attrs.evolve(CALL, route=directory.routes.find(TRAINERS, "/safe/"))
    gone = make_routes(3, {"/once/": SOUTH})
    del gone.routes_by_host[TRAINERS]["/safe/"]
    directory.set_routes(gone)
    assert not ResidencyRules(directory, make_layout()).of_call(call).allows("north")


def test_the_limit_of_reward_calls_counts_the_slots_in_the_homes_only():
    """Agents would otherwise take more than their half of the slots there."""

    async def scenario():
        world = RegionWorld()
        limiter = RewardLimiter(world.clock, world.directory)
        limiter.permitted = world.sender.residency.permitted_for
        world.directory.set_routes(make_routes(2, workspace_homes=SOUTH))
        counted = []
        limiter.usable_slots = lambda servers: counted.append(len(servers)) or 1
        reward = world.item_run("s").item.reward
        limiter.update_limit(reward, WORKSPACE)
        limiter.update_limit(reward, "")
        assert counted == [2, 6]

    run_in_virtual_time(scenario)


def test_reward_calls_go_to_the_region_of_the_engine_first():
    async def scenario():
        world = RegionWorld()
        for number in range(6):
            await world.item_run(f"s{number}").request_score()
        assert {arrival.region for arrival in world.arrivals} == {"north"}

    run_in_virtual_time(scenario)
