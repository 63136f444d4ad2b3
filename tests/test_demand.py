"""Demand that processes exchange: sums, ages, bounds and validation."""

import json

import hypothesis.strategies as st
import pytest
from hypothesis import given

from gypsumshift.serving.demand import (
    MAX_DIGEST_PROCESSES,
    MAX_DIGEST_RETRIES,
    MAX_PROCESSES,
    MAX_RETRIES,
    DemandTable,
    retry_mark,
    share_name,
)
from gypsumshift.serving.demandrates import MAX_OWN_ROWS
from gypsumshift.serving.demandrecords import MAX_OWN_KEYS
from gypsumshift.serving.demandsection import MAX_PLACES, DemandSection
from gypsumshift.serving.fairshares import OTHERS, ShareKey
from tests.admission_builders import SERVICE, demand_table, process_demand
from tests.builders import ManualClock

# Largest size of the section in bytes: at four exchanges a second it is below 2 Mbit/s.
MAX_SECTION_BYTES = 32_000


def arrivals(table, rate, seconds, workspace="w", work=0.05):
    """Let calls of a workspace arrive at a rate for some seconds."""
    for _ in range(int(rate * seconds)):
        table.clock.advance(1.0 / rate)
        table.record_arrival(SERVICE, ShareKey(1, workspace), work)


def exchange(a, b):
    """Exchange digests between two tables in their encoded form."""
    for source, target in ((a, b), (b, a)):
        value = json.loads(json.dumps(DemandSection(source).encode()))
        if value is not None:
            DemandSection(target).merge(value)


def test_nothing_is_reported_while_no_service_is_near_its_limit():
    """Every deployment would otherwise pay for digests that nobody needs."""
    table = DemandTable("a", ManualClock())
    arrivals(table, 20, 2)
    assert DemandSection(table).encode() is None
    table.record_full(SERVICE)
    assert DemandSection(table).encode()["demands"]
    table.clock.advance(60)
    assert DemandSection(table).encode() is None


def test_a_process_without_calls_reports_nothing():
    table = DemandTable("a", ManualClock())
    table.record_full(SERVICE)
    assert DemandSection(table).encode() is None


def test_demands_are_summed_over_processes_and_passed_on():
    clock = ManualClock()
    a, b, c = (DemandTable(name, clock) for name in "abc")
    for _ in range(600):
        clock.advance(0.025)
        for table in (a, b):
            table.record_arrival(SERVICE, ShareKey(1, "w" + table.process), 0.05)
    for table in (a, b):
        table.record_full(SERVICE)
    exchange(a, b)
    exchange(b, c)
    total = c.total(SERVICE, 0.05)
    assert total.others == 2
    assert total.demands[ShareKey(1, "wb")].places == pytest.approx(2.0, rel=0.4)
    assert set(total.demands) == {ShareKey(1, "wa"), ShareKey(1, "wb")}
    exchange(a, c)
    assert c.total(SERVICE, 0.05).places == pytest.approx(total.places)


def test_the_demand_of_a_process_that_ended_expires():
    clock = ManualClock()
    record = process_demand("other", clock.monotonic(), {(1, "w"): 5.0})
    table = demand_table(clock, record)
    assert table.total(SERVICE, 0.05).places == 5.0
    clock.advance(3.1)
    total = table.total(SERVICE, 0.05)
    assert (total.places, total.others) == (0.0, 0)
    assert not table.others[SERVICE].sums


def test_a_surge_is_noticed_at_once_and_usual_variation_is_not():
    """A workspace within its share would lose calls whenever it has more of them."""
    table = DemandTable("a", ManualClock())
    arrivals(table, 20, 20)
    steady = table.total(SERVICE, 0.05).places
    arrivals(table, 40, 0.2)
    assert table.total(SERVICE, 0.05).places == pytest.approx(steady, rel=0.1)
    arrivals(table, 200, 0.6)
    assert table.total(SERVICE, 0.05).places > 5.0


def test_a_surge_of_many_small_workspaces_is_noticed():
    """None of them sends much more than it may by chance, but all together do."""
    table = DemandTable("a", ManualClock())
    arrivals(table, 20, 20, "steady")
    before = table.total(SERVICE, 0.05).places
    for number in range(80):
        arrivals(table, 80, 1 / 80, f"w{number}")
    assert table.total(SERVICE, 0.05).places > 2.5 * before


def test_the_largest_demands_are_reported_and_the_rest_summed_up():
    table = DemandTable("a", ManualClock())
    table.record_full(SERVICE)
    for number in range(MAX_OWN_ROWS + 20):
        key = ShareKey(1, f"w{number}")
        table.record_arrival(SERVICE, key, 1.0 if number < 5 else 0.1)
    record = table.own_record(SERVICE)
    assert len(record.rates) == MAX_OWN_ROWS + 1
    assert record.rates[ShareKey(1, OTHERS)].weight == 20
    own = sum(rates.long for rates in table.own_demand(SERVICE).rates(1000.0).values())
    reported = sum(rates.long for rates in record.rates.values())
    assert reported == pytest.approx(own)


def test_state_and_digest_are_bounded():
    """Names come from callers and other processes; memory must not grow with them."""
    clock = ManualClock()
    table = DemandTable("a", clock)
    for number in range(3000):
        now = clock.monotonic()
        table.record_arrival(SERVICE, ShareKey(1, share_name(f"w{number}" * 20)), 0.05)
        table.expect_retry(f"{number:012x}", now + 1.0)
        places = {(1, f"workspace-{number}-{n}" * 2): 1.0 for n in range(MAX_OWN_ROWS)}
        table.merge([process_demand(f"gateway-{number}", now, places)])
    table.record_full(SERVICE)
    assert len(table.own[SERVICE].arrivals) <= MAX_OWN_KEYS + 1
    assert len(table.others[SERVICE].records) <= MAX_PROCESSES
    assert len(table.retries) <= MAX_RETRIES
    value = DemandSection(table).encode()
    assert len(value["demands"]) <= MAX_DIGEST_PROCESSES
    assert len(value["retries"]) <= MAX_DIGEST_RETRIES
    assert len(json.dumps(value)) <= MAX_SECTION_BYTES


def test_a_retry_is_recognized_once_at_its_time():
    clock = ManualClock()
    a, b = DemandTable("a", clock), DemandTable("b", clock)
    mark = retry_mark("fingerprint")
    a.expect_retry(mark, clock.monotonic() + 0.3)
    exchange(a, b)
    assert not b.take_retry(mark), "too early: the caller did not wait"
    clock.advance(0.31)
    assert b.take_retry(mark) and not b.take_retry(mark)
    clock.advance(5.0)
    assert not a.take_retry(mark), "too late"


@pytest.mark.parametrize(
    "value",
    [
        [],
        {"demands": {}},
        {"retries": 3},
        {"demands": [["p", "app", 0, 1, 0]]},
        {"demands": [["p", "app", 0, 1, 0, [[1, "w", "x", 1, 1]]]]},
        {"demands": [["p", "app", 0, 1, 0, [[-1, "w", 1, 1, 1]]]]},
        {"demands": [["p", "app", 0, 1, 0, [[True, "w", 1, 1, 1]]]]},
        {"demands": [["p", 7, 0, 1, 0, []]]},
        {"demands": [["p", "app", 1e400, 1, 0, []]]},
        {"retries": [["x", "soon"]]},
    ],
)
def test_an_invalid_section_raises_value_error_and_changes_nothing(value):
    """Gossip counts on ValueError; anything else would end its task."""
    table = DemandTable("a", ManualClock())
    with pytest.raises(ValueError):
        DemandSection(table).merge(json.loads(json.dumps(value)))
    assert not table.others and not table.retries


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda each: (
        st.lists(each, max_size=6)
        | st.dictionaries(
            st.sampled_from(["demands", "retries", "x"]), each, max_size=3
        )
    ),
    max_leaves=20,
)


@given(json_values)
def test_any_json_value_is_merged_or_rejected(value):
    table = DemandTable("a", ManualClock())
    try:
        DemandSection(table).merge(value)
    except ValueError:
        assert not table.others


def test_false_figures_are_limited():
    clock = ManualClock()
    table = DemandTable("a", clock)
    rows = [[0, "w", 1e300, 1e300, 1e9]]
    demands = [["p", SERVICE, -1e9, 1, 1e99, rows]]
    DemandSection(table).merge({"demands": demands})
    total = table.total(SERVICE, 0.05)
    assert 0 < total.places <= MAX_PLACES and total.age == 0.0
