"""What a process knows of cold servers, and what it permits.

Guards against a server that counts as warm without proof, against requests that were
permitted long before they are sent, and against effects where no limit is configured.
"""

import asyncio
import datetime
import random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

import tests.platform_cluster  # noqa: F401  (adds the adapter's folder to sys.path)
from gypsumshift import memory
from gypsumshift.httpclient import RequestWithheld
from gypsumshift.outcomes import NotRun
from gypsumshift.serving import Directory, RequestKind
from gypsumshift.serving.calls import Call, Refused
from gypsumshift.serving.cold import ColdBound, LimitShare, SendLimiter, Source
from gypsumshift.serving.cold.limiter import WINDOW_SECONDS
from gypsumshift.serving.cold.senders import MIN_SENDERS, sender_count
from gypsumshift.serving.cold.shares import divide_limit, target_share
from gypsumshift.serving.coldrates import ColdRates
from gypsumshift.serving.crashguard import CrashGuard
from gypsumshift.serving.forwarder import Forwarder
from gypsumshift.serving.loadbalancer import LoadBalancer
from gypsumshift.serving.sender import Sender
from gypsumshift.serving.streams import StreamRelay
from tests.builders import ManualClock
from tests.cold_world import BOUND, LIMIT, cold_routes
from tests.job_builders import ADDRESS, HOST, METRICS, NAMES, engine_table_entry, server
from tests.virtual_time import LoopClock, run_in_virtual_time

OTHER = ("127.0.0.1", 10)


def seconds(value):
    return datetime.timedelta(seconds=value)


def entry(left=0.0, born=1, **changes):
    """Return the entry of the engine beside the process."""
    return attrs.evolve(server(), born=born, cold_left=seconds(left), **changes)


def make_rates(routes=None, own_engine=ADDRESS, clock=None):
    """Return a limiter of a process, and its clock; a manual one is past the start."""
    directory, manual = Directory(), clock is None
    clock = clock or ManualClock()
    directory.set_routes(routes or cold_routes())
    rates = ColdRates(directory, clock, METRICS, BOUND, own_engine)
    rates.own_part = lambda server, share: share
    if manual:
        clock.advance(10)
    return rates, clock


def count_sends(rates, found, attempts=100):
    """Return how many of some attempts at once are allowed."""
    checks = [rates.check(found, str(number)) for number in range(attempts)]
    return sum(check() for check in checks)


def confirm(rates, clock, found):
    """Let a report show the start of an entry."""
    clock.advance(0.01)
    rates.note_report(found, found.born, clock.monotonic())


def test_an_entry_and_a_report_of_the_same_start_prove_an_engine_warm():
    rates, clock = make_rates()
    found = entry()
    assert rates.is_cold(found)
    rates.directory.set_server(found)
    assert rates.is_cold(found)
    confirm(rates, clock, found)
    assert not rates.is_cold(found)
    rates.note_report(found, 2, clock.monotonic())
    assert rates.is_cold(found)


def test_a_broken_connection_is_doubted_until_a_later_report():
    rates, clock = make_rates()
    found = entry()
    rates.directory.set_server(found)
    confirm(rates, clock, found)
    asked_before = clock.monotonic()
    clock.advance(0.01)
    rates.note_broken(found)
    rates.note_report(found, 1, asked_before)
    assert rates.is_cold(found)
    confirm(rates, clock, found)
    assert not rates.is_cold(found)


def test_a_change_is_logged_once_with_its_source():
    rates, clock = make_rates()
    found = entry()
    told = []
    rates.reporter.record_state = lambda *state: told.append(
        (state[1], state[2].source(state[0])[0])
    )
    rates.permits(found)
    rates.directory.set_server(found)
    confirm(rates, clock, found)
    rates.permits(found)
    rates.note_broken(found)
    rates.permits(found)
    confirm(rates, clock, found)
    clock.advance(1.1)
    rates.permits(found)
    assert told == [
        (True, Source.UNKNOWN),
        (False, Source.ENTRY),
        (True, Source.BROKEN_CONNECTION),
        (True, Source.NO_REPORT),
    ]


def test_the_newest_entry_tells_the_remaining_cold_time():
    rates, clock = make_rates()
    found = entry(left=3)
    rates.directory.set_server(found)
    clock.advance(1)
    rates.directory.set_server(entry(left=1))
    clock.advance(1.1)
    confirm(rates, clock, found)
    assert not rates.is_cold(found)
    # It may become cold again at any time.
    rates.directory.set_server(entry(left=2))
    assert rates.is_cold(found)


def test_an_early_entry_proves_nothing_after_a_start_of_the_process():
    clock, directory = ManualClock(), Directory()
    directory.set_routes(cold_routes())
    rates = ColdRates(directory, clock, METRICS, BOUND, ADDRESS)
    directory.set_server(entry())
    confirm(rates, clock, entry())
    assert rates.is_cold(entry())
    clock.advance(2)
    confirm(rates, clock, entry())
    assert not rates.is_cold(entry())


def test_a_zone_that_returns_is_cold_until_proved_warm():
    rates, clock = make_rates()
    found = entry()
    rates.directory.set_server(found)
    confirm(rates, clock, found)
    rates.note_zone_return("here")
    rates.directory.set_server(entry())
    confirm(rates, clock, found)
    assert rates.is_cold(found)
    # An entry that was written after the return.
    clock.advance(2)
    rates.directory.set_server(entry())
    confirm(rates, clock, found)
    assert not rates.is_cold(found)


def test_a_report_without_a_start_proves_warm_only_after_the_whole_time():
    rates, clock = make_rates()
    found = entry(born=0)
    rates.directory.set_server(found)
    confirm(rates, clock, found)
    for _ in range(14):
        assert rates.is_cold(found)
        clock.advance(0.2)
        confirm(rates, clock, found)
    clock.advance(0.2)
    confirm(rates, clock, found)
    assert not rates.is_cold(found)


def test_an_answer_of_a_server_tells_its_remaining_cold_time():
    rates, clock = make_rates(own_engine=None)
    found = entry(address=OTHER)
    rates.directory.set_server(found)
    assert not rates.is_cold(found)
    rates.note_answer(found, "700", clock.monotonic())
    assert rates.is_cold(found)
    clock.advance(0.71)
    assert not rates.is_cold(found)
    rates.note_answer(found, "soon", clock.monotonic())
    assert not rates.is_cold(found)


def test_a_permitted_request_is_checked_again_right_before_the_send():
    """A paused process that resumes sends nothing by an old permission."""
    rates, clock = make_rates()
    found = entry()
    rates.directory.set_server(found)
    confirm(rates, clock, found)

    async def reserve():
        for number in range(40):
            await rates.wait_turn(found, str(number), 0)

    asyncio.run(reserve())
    rates.note_broken(found)
    share = target_share(BOUND, LIMIT)
    assert count_sends(rates, found, 40) <= share.capacity
    for number in range(40):
        rates.release_turn(found, str(number))
    assert rates.state(found).reserved == {}


def test_the_shortest_items_are_sent_first():
    async def scenario():
        rates, _ = make_rates(clock=LoopClock())
        found, order = entry(left=3), []
        rates.directory.set_server(found)

        async def send(rank):
            await rates.wait_turn(found, str(rank), rank)
            order.append(rank)

        await asyncio.gather(*map(send, [5, 3, 9, 1]))
        return order

    # The process has just started, so that all of them wait.
    assert run_in_virtual_time(scenario) == [1, 3, 5, 9]


def test_an_order_is_sent_while_items_wait():
    """Guards against an engine that gets no weights until it is warm."""

    async def scenario():
        rates, clock = make_rates(clock=LoopClock())
        found, sent = entry(left=30), []
        rates.directory.set_server(found)

        async def send_items(slot):
            while True:
                await rates.wait_turn(found, str(slot), 0)
                check = rates.check(found, str(slot))
                sent.append(clock.monotonic() if check() else None)
                check.settle()

        tasks = [asyncio.create_task(send_items(slot)) for slot in range(8)]
        await asyncio.sleep(3)
        orders = []
        for _ in range(10):
            check = rates.check(found, "order")
            orders.append(check())
            check.settle()
            sent += [clock.monotonic()] * orders[-1]
            await asyncio.sleep(0.2)
        for task in tasks:
            task.cancel()
        return orders, [at for at in sent if at is not None]

    orders, sent = run_in_virtual_time(scenario)
    assert orders[0] and sum(orders) >= 5
    worst = max(sum(at <= other <= at + 1 for other in sent) for at in sent)
    assert worst <= target_share(BOUND, LIMIT).capacity


def test_no_limit_without_a_cold_rate():
    rates, _ = make_rates(routes=cold_routes(limit=None))
    found = entry(left=3)
    rates.directory.set_server(found)
    assert rates.check(found, "r") is None
    servers = [found]
    assert rates.permitted(servers) is servers
    assert not rates.addresses and not rates.knowledge.records


def test_gateways_skip_and_withhold_a_server_that_permits_nothing():
    rates, clock = make_rates(own_engine=None)
    found, warm = entry(left=3, address=OTHER), entry(address=OTHER, id="warm")
    for listed in (found, warm):
        rates.directory.set_server(attrs.evolve(listed, service="app"))
    listed = rates.directory.ready_servers("app")
    balancer = LoadBalancer("here", clock, random.Random(1))
    balancer.permitted = rates.permitted
    rates.own_part = lambda server, share: LimitShare(0, 0.0)
    assert balancer.choose(listed, set()).id == "warm"

    class Fetcher:
        async def open(self, *args, allowed, **options):
            assert not allowed()
            raise RequestWithheld

    sender = Sender(rates.directory, balancer, Fetcher(), NAMES, clock, METRICS)
    sender.cold_rates = rates
    route = rates.directory.routes.find(HOST, "/score/")
    call = Call("r", "POST", "/score/", HOST, [], b"", route, clock.monotonic() + 1)
    outcome = asyncio.run(sender.attempt(call, listed[0]))
    assert isinstance(outcome, Refused)
    assert "just started" in outcome.reason


def test_a_cold_server_counts_with_its_rate_where_capacity_is_computed():
    rates, clock = make_rates(own_engine=None)
    balancer = LoadBalancer("here", clock, random.Random(1))
    balancer.cold_rate = rates.cold_rate
    cold, warm = entry(left=3, id="cold", address=OTHER), entry(id="warm")
    for listed in (cold, warm):
        rates.directory.set_server(listed)
        balancer.record_success(listed, 0.1)
    assert balancer.service_capacity([warm]) == 4
    assert balancer.service_capacity([cold, warm]) == pytest.approx(4.98)
    assert balancer.usable_slots([cold, warm]) == pytest.approx(4.98)
    clock.advance(3.1)
    assert balancer.usable_slots([cold, warm]) == 8


def test_an_answer_of_another_server_does_not_count():
    rates, clock = make_rates()
    found = entry(left=3)
    rates.directory.set_server(found)
    for number in range(30):
        check = rates.check(found, str(number))
        assert check()
        check.settle()
        check.note_answer(True, "")
    assert rates.state(found).limiter.used(clock.monotonic()) == 0


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["reserve", "send", "settle", "cancel", "cold"]),
            st.floats(0, 0.5),
            st.integers(0, 9),
        ),
        max_size=120,
    )
)
def test_no_window_has_more_sends_than_the_capacity(schedule):
    """Whatever the times between reservation, send and arrival."""
    limiter, now, open_records, sent = SendLimiter(0.0), 100.0, [], []
    for action, pause, index in schedule:
        now += pause * pause
        record = open_records[index % len(open_records)] if open_records else None
        if action == "reserve" and not limiter.delay(now, 11, 9.8, 2.0):
            open_records.append(limiter.reserve(now, 9.8))
        elif action == "send" and record is not None and record.sent_at is None:
            limiter.begin(record, now)
            sent.append(now)
        elif action == "settle" and record is not None and record.sent_at is not None:
            limiter.settle(record, now)
        elif action == "cancel" and record is not None and record.sent_at is None:
            limiter.cancel(record)
            open_records.remove(record)
    for start in sent:
        assert sum(start <= at <= start + 1 for at in sent) <= 11


@given(st.floats(0.1, 200), st.floats(0.5, 3), st.floats(0, 20), st.booleans())
def test_the_parts_of_agent_and_gateways_stay_below_the_bound(rate, excess, slack, has):
    bound, limit = ColdBound(excess, slack), attrs.evolve(LIMIT, per_second=rate)
    agent, gateways = divide_limit(bound, limit, has)
    assert agent.capacity + gateways.capacity <= rate * excess + slack + 1e-6
    assert bool(gateways.capacity) <= has
    assert agent.rate + gateways.rate <= max(rate * 1.2, gateways.rate) + 1e-6


def test_a_server_has_several_senders():
    """Guards against a single sender, whose end stops all requests for a minute.

    The sheet's figures (9.8 per second, factor 1.5, slack 5) had one sender.
    """
    assert sender_count(target_share(BOUND, LIMIT).capacity) == 4
    assert all(sender_count(capacity) >= MIN_SENDERS for capacity in range(2, 101))


def test_the_window_is_longer_than_a_second():
    assert WINDOW_SECONDS > 1


def test_gateways_have_a_part_only_where_routes_lead_to_engines():
    for kinds, part in (((RequestKind.BATCH,), 0), ((RequestKind.STREAM,), 2)):
        rates, _ = make_rates(routes=cold_routes(kinds=kinds), own_engine=None)
        assert rates.share(entry(address=OTHER), LIMIT).capacity == part


CONFIG = {"version": 1, "routes": [], "services": [{"name": "e"}]}


def decode(**fields):
    import directory_feed

    services = [{"name": "e", **fields}]
    return directory_feed.decode_config(CONFIG | {"services": services}).services["e"]


def test_the_configuration_sets_the_cold_limit():
    assert decode(cold_s=3.0, cold_per_s=9.8).cold == LIMIT
    assert decode().cold is None
    assert decode(cold_s=3.0, cold_per_s=0).cold is None


@pytest.mark.parametrize("value", [-1, float("nan"), float("inf"), "3", True, None])
@pytest.mark.parametrize("name", ["cold_s", "cold_per_s"])
def test_an_invalid_cold_limit_makes_the_document_unreadable(name, value):
    with pytest.raises((TypeError, ValueError)):
        decode(**{"cold_s": 3.0, "cold_per_s": 9.8, name: value})


def test_an_entry_tells_the_remaining_cold_time():
    import server_entry

    for left, found in ((0, 0), (1500.5, 1.5005), (float("nan"), 86400)):
        value = engine_table_entry(cold_left_ms=left)
        decoded = server_entry.decode_server("e", value)
        assert decoded.cold_left.total_seconds() == pytest.approx(found)


def test_the_settings_give_the_bound(tmp_path):
    import node_settings

    text = "node_name=a\nzone=z\nip=10.0.0.1\nplatform.addr=10.0.0.2:1\n"
    file = tmp_path / "boot.conf"
    file.write_text(text)
    assert node_settings.load(file).cold_bound == ColdBound(1.0, 0.0)
    file.write_text(text + "bounds.cold_excess=1.5\nbounds.cold_slack=5\n")
    assert node_settings.load(file).cold_bound == BOUND
    for line in ("bounds.cold_excess=nan\n", "bounds.cold_slack=-1\n"):
        file.write_text(text + line)
        with pytest.raises(node_settings.SettingsError):
            node_settings.load(file)


class CountingFetcher:
    """Fetcher that asks for permission and records the answers; nothing is sent."""

    def __init__(self):
        self.allowed = []

    async def open(self, *args, allowed, **options):
        self.allowed.append(allowed())
        raise RequestWithheld


@pytest.mark.parametrize("part", [0, 2])
def test_streams_are_opened_at_a_cold_engine_only_within_the_part(part):
    """A stream that no server may get is refused as not run, and nothing is sent."""

    async def scenario():
        clock = LoopClock()
        routes = cold_routes(kinds=(RequestKind.STREAM,))
        rates, _ = make_rates(routes, own_engine=None, clock=clock)
        rates.own_part = lambda server, share: LimitShare(part, 2.0 * bool(part))
        rates.directory.set_server(entry(left=60))
        await asyncio.sleep(2)
        balancer = LoadBalancer("here", clock, random.Random(1))
        balancer.permitted = rates.permitted
        fetcher = CountingFetcher()
        sender = Sender(rates.directory, balancer, fetcher, NAMES, clock, METRICS)
        sender.cold_rates = rates
        tables = memory.MemoryTables()
        guard = CrashGuard(tables, clock, random.Random(1), METRICS)
        relay = StreamRelay(Forwarder(sender, guard))
        route = rates.directory.routes.find(HOST, "/stream/")
        outcomes = []
        for number in range(6):
            deadline = clock.monotonic() + 1
            name = str(number)
            call = Call(name, "POST", "/stream/", HOST, [], b"", route, deadline)
            outcomes.append(await relay.start(call))
        return fetcher.allowed, outcomes

    allowed, outcomes = run_in_virtual_time(scenario)
    assert allowed == [True] * part
    assert all(isinstance(outcome, NotRun) for outcome in outcomes)
