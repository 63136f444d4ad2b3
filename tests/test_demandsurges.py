"""Surges that a process sees before the digests of others report them."""

import pytest

from gypsumshift.serving.demandsurges import (
    END_SECONDS,
    MAX_KEYS,
    WINDOW_SECONDS,
    OwnSurges,
)
from gypsumshift.serving.fairshares import ShareKey
from tests.admission_builders import SERVICE, demand_table, process_demand
from tests.builders import ManualClock

WORK = 0.05
NEW, USUAL = ShareKey(1, "new"), ShareKey(1, "usual")
# Half a call a second at each process.
USUAL_PLACES = 0.5 * WORK
OTHERS = 29


def table_with_usual_demand(clock):
    """Return the demand of one process, which knows that of 29 others."""
    places = {USUAL: USUAL_PLACES}
    now = clock.monotonic()
    records = [process_demand(f"g{n}", now, places) for n in range(OTHERS)]
    return demand_table(clock, *records)


def test_a_flood_counts_before_the_others_report_it():
    """Each of 30 processes would send its part of a flood for 1 to 2 s."""
    clock = ManualClock()
    table = table_with_usual_demand(clock)
    clock.advance(0.1)
    assert not table.record_arrival(SERVICE, NEW, WORK)
    first = table.total(SERVICE, WORK).demands[NEW].places
    clock.advance(0.1)
    assert table.record_arrival(SERVICE, NEW, WORK)
    places = table.total(SERVICE, WORK).demands[NEW].places
    assert places > OTHERS * WORK * 2
    assert first < 0.01 * places


def test_reports_that_are_newer_than_a_surge_replace_the_assumption():
    """A workspace that sends to one process only would else count 30 times."""
    clock = ManualClock()
    table = table_with_usual_demand(clock)
    table.record_arrival(SERVICE, NEW, WORK)
    clock.advance(0.1)
    assert table.record_arrival(SERVICE, NEW, WORK)
    assumed = table.total(SERVICE, WORK).demands[NEW].places
    clock.advance(WINDOW_SECONDS)
    now = clock.monotonic()
    table.merge(
        process_demand(f"g{n}", now, {USUAL: USUAL_PLACES}) for n in range(OTHERS)
    )
    table.record_arrival(SERVICE, NEW, WORK)
    assert table.total(SERVICE, WORK).demands[NEW].places < 0.1 * assumed


def test_the_usual_calls_of_a_workspace_are_no_surge():
    """Guards against cutting a workspace whenever two of its calls come together."""
    clock = ManualClock()
    table = table_with_usual_demand(clock)
    for _ in range(2):
        assert not table.record_arrival(SERVICE, USUAL, WORK)
    for _ in range(3):
        began = table.record_arrival(SERVICE, USUAL, WORK)
    assert began or USUAL in table.own_surges(SERVICE, clock.monotonic())


def test_a_surge_ends_and_a_later_one_is_noticed():
    """Guards against reports between two surges that hide the second."""
    surges = OwnSurges()
    assert [surges.record(NEW, WORK, 0.0, 10.0) for _ in range(2)] == [False, True]
    later = 10.0 + END_SECONDS + 0.1
    assert not surges.current(later)
    assert [surges.record(NEW, WORK, 0.0, later) for _ in range(2)] == [False, True]


@pytest.mark.parametrize("places", [0.0, WORK])
def test_keys_are_bounded_and_free_calls_are_counted(places):
    """Names come from callers; a call without cost must not divide by zero."""
    surges = OwnSurges()
    for number in range(3 * MAX_KEYS):
        surges.record(ShareKey(1, f"w{number}"), places, 0.0, 0.001 * number)
    assert len(surges.by_key) <= MAX_KEYS
