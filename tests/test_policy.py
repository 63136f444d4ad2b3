"""Mechanisms that may be switched off, and the table of what they are worth."""

import pytest

from bench.ablation import WHOLE, Play, table, worth_in
from gypsumshift.policy import Policy, PolicyError, parse_without


def test_all_mechanisms_work_unless_some_are_named():
    assert parse_without("") == Policy()
    policy = parse_without(" ejection, saved_runs ")
    assert not policy.ejection and not policy.saved_runs
    assert policy.hedged_writes


def test_an_unknown_mechanism_is_told_in_one_line():
    with pytest.raises(PolicyError) as told:
        parse_without("ejections")
    assert "ejections" in str(told.value) and "ejection," in str(told.value)
    assert "\n" not in str(told.value)


def test_the_worth_of_a_day_stands_in_its_row():
    text = "day  own/srv\ntrouble-1  16/12   1.00  0.912  0.9 0.0 0.0  whole day"
    assert worth_in(text) == 0.912
    with pytest.raises(ValueError, match="no row"):
        worth_in("given up")


def test_the_table_has_the_differences_over_days():
    worths = {
        Play(WHOLE, "a:1"): 0.9,
        Play("ejection", "a:1"): 0.8,
        Play(WHOLE, "b:2"): 0.7,
        Play("ejection", "b:2"): 0.8,
    }
    assert table(worths)[2:] == ["| ejection | +0.000 | -0.100 | +0.100 |"]
