"""The order of a job's results does not depend on the order in which rows arrive."""

from hypothesis import given
from hypothesis import strategies as st

from gypsumshift.jobs import Result, ResultState
from gypsumshift.jobs.records import RESULTS
from gypsumshift.jobs.resultlog import ResultLog
from gypsumshift.jobs.rowcodec import to_row
from gypsumshift.platforms import Row


def rows(count):
    """Return result rows, three per transaction."""
    found = []
    for number in range(count):
        item = f"i{(number * 7) % 100:02d}"
        value = to_row(Result(item, ResultState.WHOLE, size=8))
        found.append(Row(RESULTS, item, 10 + number // 3, value, "job"))
    return found


@given(st.permutations(rows(12)), st.integers(0, 12))
def test_rows_added_in_any_order_give_the_same_positions(shuffled, cut):
    one, other = ResultLog(), ResultLog()
    one.add_rows(shuffled[:cut])
    one.add_rows(shuffled)
    other.add_rows(rows(12))
    assert one.page(0, 10**6) == other.page(0, 10**6)


@given(st.lists(st.integers(1, 4), min_size=1, max_size=6))
def test_positions_stay_when_later_transactions_are_added(batches):
    log, read = ResultLog(), []
    every = sorted(rows(24), key=lambda row: (row.version, row.key))
    for size in batches:
        # A watch delivers complete transactions, oldest first.
        until = every[min(size * 3 + len(read), 24) - 1].version
        log.add_rows([row for row in every if row.version <= until])
        page = log.page(0, 10**6)
        assert page[: len(read)] == read
        read = page


def test_page_contains_one_result_even_if_it_exceeds_the_limit():
    log = ResultLog()
    log.add_rows(rows(3))
    assert len(log.page(0, 1)) == 1
    assert log.page(3, 1) == []
