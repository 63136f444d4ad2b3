"""Division of capacity: whole, in order of priority, max-min fair and with a floor."""

import hypothesis.strategies as st
import pytest
from hypothesis import given

from gypsumshift.serving.fairshares import (
    FLOOR_SHARE,
    REWARD_RANK,
    Demand,
    ShareKey,
    divide_capacity,
    protect_satisfied,
)


def key(workspace="w", rank=0):
    return ShareKey(rank, workspace)


def test_everyone_is_served_where_capacity_suffices():
    demands = {key("a"): Demand(3.0), key("b", 5): Demand(1.0)}
    assert set(divide_capacity(4.0, demands).values()) == {1.0}


def test_a_large_workspace_does_not_displace_small_ones():
    """Ten ask for 0.9 of the capacity, one more for ten times its share of it."""
    demands = {key(f"w{n}"): Demand(0.09) for n in range(10)}
    shares = divide_capacity(1.0, demands | {key("large"): Demand(0.9)})
    assert all(shares[small] == 1.0 for small in demands)
    assert shares[key("large")] == pytest.approx(0.1 / 0.9)


def test_a_higher_priority_is_served_first_and_the_lower_keeps_its_floor():
    demands = {key("high", 0): Demand(6.0), key("low", 1): Demand(14.0)}
    shares = divide_capacity(10.0, demands)
    assert shares[key("high", 0)] > 0.99
    assert shares[key("low", 1)] == pytest.approx(4 / 14, abs=0.01)
    crowded = divide_capacity(6.0, demands)
    assert crowded[key("low", 1)] == pytest.approx(FLOOR_SHARE * 3 / 14)


def test_asking_for_more_raises_no_floor():
    """Otherwise a large workspace of low priority would displace the urgent ones."""
    demands = {key("high", 0): Demand(8.0), key("low", 1): Demand(8.0)}
    before = divide_capacity(8.0, demands)
    after = divide_capacity(8.0, demands | {key("low", 1): Demand(800.0)})
    assert after[key("high", 0)] == pytest.approx(before[key("high", 0)])


def test_reward_calls_rank_below_the_lowest_priority():
    demands = {key("a", 9): Demand(10.0), key("", REWARD_RANK): Demand(10.0)}
    shares = divide_capacity(10.0, demands)
    assert shares[key("a", 9)] == pytest.approx(1 - FLOOR_SHARE / 2)
    assert shares[key("", REWARD_RANK)] == pytest.approx(FLOOR_SHARE / 2)


def test_weights_count_the_workspaces_of_one_row():
    demands = {key("a"): Demand(10.0), key(None): Demand(10.0, weight=3.0)}
    shares = divide_capacity(8.0, demands)
    assert shares[key(None)] > 2 * shares[key("a")]


@given(
    st.floats(0, 100),
    st.dictionaries(
        st.builds(ShareKey, st.integers(0, 3), st.sampled_from("abcdefgh")),
        st.builds(Demand, st.integers(0, 50), st.floats(0.1, 10)),
        min_size=1,
    ),
)
def test_capacity_is_used_up_never_exceeded_and_nobody_is_starved(places, demands):
    """A key that asks for no more than the average is served a quarter as often."""
    shares = divide_capacity(places, demands)
    total = sum(demand.places for demand in demands.values())
    used = sum(shares[k] * demand.places for k, demand in demands.items())
    assert used == pytest.approx(min(places, total), abs=1e-6, rel=1e-6)
    assert all(0.0 <= share <= 1.0 for share in shares.values())
    average = min(1.0, places / total) if total else 1.0
    weights = sum(demand.weight for demand in demands.values())
    for k, demand in demands.items():
        if demand.places <= places * demand.weight / weights:
            assert shares[k] >= FLOOR_SHARE * average - 1e-9


def divide_reduced(places, reduced, demands):
    shares = divide_capacity(places, demands)
    return protect_satisfied(shares, places, reduced, demands)


def total_share(shares, demands):
    """Return the places that shares of demands take."""
    return sum(shares[each] * demands[each].places for each in demands)


def test_those_within_their_part_do_not_pay_for_a_queue_or_for_errors():
    """Ten that asked for 0.9 lost a tenth, since figures were a few percent wrong."""
    small = {key(f"w{n}"): Demand(0.098) for n in range(10)}
    demands = small | {key("large"): Demand(1.0)}
    plain = divide_capacity(1.0, demands)
    assert plain[key("w0")] < 0.95, "the division without the tolerance cuts them"
    shares = divide_reduced(1.0, 0.85, demands)
    assert all(shares[each] > 0.98 for each in small)
    assert 0 < shares[key("large")] < plain[key("large")]


def test_where_all_ask_for_too_much_all_pay_for_the_queue():
    demands = {key(f"w{n}"): Demand(0.2) for n in range(10)}
    assert divide_reduced(1.0, 0.8, demands) == divide_capacity(0.8, demands)


@given(
    st.floats(0.1, 100),
    st.floats(0.8, 1.0),
    st.dictionaries(
        st.builds(ShareKey, st.integers(0, 3), st.sampled_from("abcdefgh")),
        st.builds(Demand, st.integers(0, 50), st.floats(0.1, 10)),
        min_size=1,
    ),
)
def test_a_reduced_division_never_exceeds_the_capacity(places, factor, demands):
    """Protecting some while a queue drains must not make it longer."""
    shares = divide_reduced(places, places * factor, demands)
    assert shares.keys() == demands.keys()
    assert all(0 <= share <= 1 for share in shares.values())
    assert total_share(shares, demands) <= places * 1.000001
