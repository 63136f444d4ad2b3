"""Positions of results are the same whatever order the rows come in."""

from hypothesis import given
from hypothesis import strategies as st

from gypsumshift.jobs import Result, ResultState
from gypsumshift.jobs.records import RESULTS, to_row
from gypsumshift.jobs.resultlog import ResultLog
from gypsumshift.platforms import Row


def rows(count):
    """Return rows of which some share a transaction."""
    found = []
    for number in range(count):
        item = f"i{(number * 7) % 100:02d}"
        value = to_row(Result(item, ResultState.WHOLE, size=8))
        found.append(Row(RESULTS, item, 10 + number // 3, value, "job"))
    return found


@given(st.permutations(rows(12)), st.integers(0, 12))
def test_two_sources_that_overlap_give_one_order(shuffled, cut):
    one, other = ResultLog(), ResultLog()
    one.add_rows(shuffled[:cut])
    one.add_rows(shuffled)
    other.add_rows(rows(12))
    assert one.page(0, 10**6) == other.page(0, 10**6)


@given(st.lists(st.integers(1, 4), min_size=1, max_size=6))
def test_a_position_that_was_read_never_moves(batches):
    log, read = ResultLog(), []
    every = sorted(rows(24), key=lambda row: (row.version, row.key))
    for size in batches:
        # A watch gives whole transactions, oldest first.
        until = every[min(size * 3 + len(read), 24) - 1].version
        log.add_rows([row for row in every if row.version <= until])
        page = log.page(0, 10**6)
        assert page[: len(read)] == read
        read = page


def test_a_page_holds_one_result_whatever_its_size():
    log = ResultLog()
    log.add_rows(rows(3))
    assert len(log.page(0, 1)) == 1
    assert log.page(3, 1) == []
