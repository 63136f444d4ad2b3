"""Free capacity of an engine, by slots and by memory."""

from hypothesis import given
from hypothesis import strategies as st

from gypsumshift.jobs.capacity import MEMORY_SHARE, NO_CAPACITY, FreeCapacity

MEMORY = 22_500
LONG, SHORT = 8_280, 700


def test_items_beyond_the_free_slots_do_not_fit():
    assert FreeCapacity(2).fits(2, 10**9)
    assert not FreeCapacity(1).fits(2, 1)
    assert not NO_CAPACITY.fits(1, 0)


def test_long_items_fit_up_to_the_memory_at_their_end():
    """Without this check, eight slots took eight long items, with memory for 2.7."""
    room = FreeCapacity(8, MEMORY, (LONG,))
    assert room.fits(2, LONG)
    assert not room.fits(3, LONG)


def test_short_items_fit_beside_long_ones_that_are_still_small():
    assert FreeCapacity(6, MEMORY, (LONG, LONG)).fits(6, SHORT)


def test_an_item_too_large_for_any_engine_fits_only_alone():
    assert FreeCapacity(8, MEMORY).fits(1, 10 * MEMORY)
    assert not FreeCapacity(8, MEMORY, (SHORT,)).fits(1, 10 * MEMORY)


@given(st.lists(st.integers(1, 9000), min_size=1, max_size=8), st.integers(1, 9000))
def test_the_peak_equals_that_of_items_growing_at_one_pace(running, tokens):
    sizes = [*running, tokens]
    held = [sum(at for size in sizes if size >= at) for at in sizes]
    assert FreeCapacity(9, MEMORY, tuple(running)).peak(1, tokens) == max(held)


@given(st.lists(st.integers(1, 9000), max_size=7), st.integers(1, 9000))
def test_items_that_fit_keep_the_peak_within_the_limit(running, tokens):
    room = FreeCapacity(1, MEMORY, tuple(running))
    if running and room.fits(1, tokens):
        assert room.peak(1, tokens) <= MEMORY_SHARE * MEMORY
