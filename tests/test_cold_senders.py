"""The requests of all processes to a cold server stay below its limit together.

Guards against sums of parts above the limit: while processes are cut off, killed and
started again or added in pairs, their tables of processes differ.
"""

import functools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumshift.serving.cold import ColdBound
from gypsumshift.serving.cold.senders import ChosenSenders, EqualParts, sender_count
from tests.cold_senders import FAULTS, LIMIT, STEP, SenderWorld
from tests.cold_world import BOUND, most_in_a_second

SEEDS = range(1, 21)
PROCESSES = 60
# Requests per second to a warm server.
USUAL_RATE = 30.0


def allowed(bound):
    return LIMIT.per_second * bound.excess + bound.slack


class UncheckedSenders(ChosenSenders):
    """Division without the checks of the table's age and of the own entry."""

    def own_part(self, server, total):
        return self.divide(server, total, self.clock.monotonic_with_suspend())

    def is_recent(self, current_at, now):
        return True


@pytest.mark.parametrize("division", [ChosenSenders, EqualParts])
@pytest.mark.parametrize("name", FAULTS)
@pytest.mark.parametrize("seed", SEEDS)
def test_the_sum_over_all_processes_holds(seed, name, division):
    processes = PROCESSES if division is ChosenSenders else 6
    world = SenderWorld(seed, processes, division)
    world.run(1)
    FAULTS[name](world)
    assert world.arrivals
    assert most_in_a_second(world.arrivals) <= allowed(BOUND)


@settings(max_examples=8)
@given(
    st.integers(1, 2**32),
    st.integers(1, 12),
    st.lists(st.sampled_from(sorted(FAULTS)), min_size=1, max_size=3),
    st.sampled_from([BOUND, ColdBound(), ColdBound(1.2, 1)]),
)
def test_the_sum_holds_over_any_schedule(seed, processes, names, bound):
    world = SenderWorld(seed, processes, ChosenSenders, bound)
    for name in names:
        if len(world.senders) >= 4:
            FAULTS[name](world)
    world.run(2)
    assert most_in_a_second(world.arrivals) <= allowed(bound)


def test_the_sum_needs_recent_tables_and_listed_senders():
    """Without these checks, processes with different tables exceed the limit."""
    worst = 0
    for seed in SEEDS:
        # As many processes as senders: each one more lowers the parts.
        world = SenderWorld(seed, 3, UncheckedSenders, ColdBound())
        world.run(1)
        for sender in world.senders:
            sender.cut = True
        for _ in range(4):
            world.add_sender()
            world.run(0.5)
        worst = max(worst, most_in_a_second(world.arrivals))
    assert worst > allowed(ColdBound())


def test_without_the_limit_a_cold_server_gets_too_many_requests():
    world = SenderWorld(1, PROCESSES, None)
    world.run(2, 0.05)
    assert most_in_a_second(world.arrivals) > allowed(BOUND)


@pytest.mark.parametrize("bound", [BOUND, ColdBound()])
@pytest.mark.parametrize("seed", SEEDS)
def test_few_senders_use_the_steady_rate_and_equal_parts_do_not(seed, bound):
    """Guards against parts that are too small to be of use."""
    rates = {
        division: functools.partial(SenderWorld, seed, PROCESSES, division, bound)()
        for division in (ChosenSenders, EqualParts)
    }
    for world in rates.values():
        world.run(2)
    assert rates[ChosenSenders].rate(10) >= 0.9 * LIMIT.per_second
    assert rates[EqualParts].rate(5) == 0


@given(st.integers(1, 100))
def test_the_parts_use_most_of_the_limit(capacity):
    count = sender_count(capacity)
    assert 1 <= count <= 4
    assert count * (capacity // count) >= 0.9 * capacity - 1


def warm_world(seed):
    """Return a world whose processes all know that the server is warm."""
    world = SenderWorld(seed, PROCESSES, ChosenSenders)
    world.run(3, chance_to_send=0.0)
    for sender in world.senders:
        sender.rates.directory.set_server(world.warm_entry())
    return world


@pytest.mark.parametrize("seed", range(1, 6))
def test_a_warm_server_that_restarts_unnoticed_gets_no_more_than_a_cold_one(seed):
    """Guards against sends at the usual rate by processes that learn of a start late.

    No process has tried a connection while the server was down, and each learns of the
    new start from the server's entry, up to 2 s late.
    """
    world = warm_world(seed)
    chance = USUAL_RATE * STEP / PROCESSES
    world.run(1, chance)
    world.restart_server()
    world.arrivals.clear()
    world.run(2, chance)
    assert most_in_a_second(world.arrivals) <= allowed(BOUND)
