"""Tests of the ablation study: parsing of results, paired gains and their table."""

import pytest

from bench.ablation import (
    ALL_MECHANISMS,
    DayRun,
    RunResult,
    compute_gain,
    format_table,
    parse_result,
)

BENCH_OUTPUT = """
day                  own/srv  score  worth served refused failed  weakest part
trouble-3              16/12   0.95  0.631  0.780   0.000  0.117  worst windows 0.02
- match-draft: 12 steps asked, the last 2.4 s behind its time; 8 came again
- planting-note: 10 steps asked, the last 11.6 s behind its time; 8 came again
"""


def test_worth_and_mean_delay_are_parsed_from_the_output():
    assert parse_result(BENCH_OUTPUT) == RunResult(0.631, 7.0)


def test_output_without_a_row_of_a_day_raises_value_error():
    with pytest.raises(ValueError, match="no row of a day in: the run did not finish"):
        parse_result("the run did not finish")


def test_consistent_pairs_are_significant_and_scattered_pairs_are_not():
    enabled = [RunResult(0.90, 1.0), RunResult(0.80, 3.0), RunResult(0.70, 2.0)]
    disabled = [RunResult(0.88, 2.0), RunResult(0.77, 4.0), RunResult(0.68, 3.0)]
    found = compute_gain(enabled, disabled)
    assert found.is_significant
    assert (found.helped, found.pairs, found.delay_s) == (3, 3, -1.0)
    assert found.worth == pytest.approx(0.0233, abs=1e-4)
    scattered = [RunResult(0.98, 2.0), RunResult(0.70, 4.0), RunResult(0.74, 3.0)]
    assert not compute_gain(enabled, scattered).is_significant


def test_a_single_pair_is_never_significant():
    assert not compute_gain([RunResult(0.9)], [RunResult(0.1)]).is_significant


def test_table_has_one_row_per_mechanism():
    found = {
        DayRun(name, day): RunResult(worth)
        for name, worth in ((ALL_MECHANISMS, 0.9), ("ejection", 0.8))
        for day in ("a:1", "a:2")
    }
    assert format_table(found)[2:] == [
        "| ejection | +0.100 | 0.000 | +0.00 | 2 of 2 | yes |",
    ]


def test_worth_is_parsed_from_the_row_of_the_day():
    text = "day  own/srv\ntrouble-1  16/12   1.00  0.912  0.9 0.0 0.0  whole day"
    assert parse_result(text).worth == 0.912
    with pytest.raises(ValueError, match="no row"):
        parse_result("given up")


def test_differences_that_cancel_out_are_not_significant():
    found = {
        DayRun(ALL_MECHANISMS, "a:1"): RunResult(0.9),
        DayRun("ejection", "a:1"): RunResult(0.8),
        DayRun(ALL_MECHANISMS, "b:2"): RunResult(0.7),
        DayRun("ejection", "b:2"): RunResult(0.8),
    }
    assert format_table(found)[2:] == [
        "| ejection | +0.000 | 0.100 | +0.00 | 1 of 2 | no |"
    ]
