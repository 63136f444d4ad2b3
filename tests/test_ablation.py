"""Pairs of plays: what a mechanism is worth, and whether that is more than chance."""

import pytest

from bench.ablation import WHOLE, Figures, Play, figures_in, gain, table

PRINTED = """
day                  own/srv  score  worth served refused failed  weakest part
trouble-3              16/12   0.95  0.631  0.780   0.000  0.117  worst windows 0.02
- match-draft: 12 steps asked, the last 2.4 s behind its time; 8 came again
- planting-note: 10 steps asked, the last 11.6 s behind its time; 8 came again
"""


def test_worth_and_delay_are_read_from_what_is_printed():
    assert figures_in(PRINTED) == Figures(0.631, 7.0)


def test_a_day_that_was_not_played_is_an_error():
    with pytest.raises(ValueError, match="no row of a day in: the run did not finish"):
        figures_in("the run did not finish")


def test_pairs_that_agree_count_and_pairs_that_scatter_do_not():
    whole = [Figures(0.90, 1.0), Figures(0.80, 3.0), Figures(0.70, 2.0)]
    worse = [Figures(0.88, 2.0), Figures(0.77, 4.0), Figures(0.68, 3.0)]
    found = gain(whole, worse)
    assert found.counts
    assert (found.helped, found.pairs, found.behind) == (3, 3, -1.0)
    assert found.worth == pytest.approx(0.0233, abs=1e-4)
    scattered = [Figures(0.98, 2.0), Figures(0.70, 4.0), Figures(0.74, 3.0)]
    assert not gain(whole, scattered).counts


def test_a_single_pair_never_counts():
    assert not gain([Figures(0.9)], [Figures(0.1)]).counts


def test_the_table_has_a_row_for_each_mechanism():
    found = {
        Play(name, day): Figures(worth)
        for name, worth in ((WHOLE, 0.9), ("ejection", 0.8))
        for day in ("a:1", "a:2")
    }
    assert table(found)[2:] == [
        "| ejection | +0.100 | 0.000 | +0.00 | 2 of 2 | yes |",
    ]


def test_the_worth_of_a_day_stands_in_its_row():
    text = "day  own/srv\ntrouble-1  16/12   1.00  0.912  0.9 0.0 0.0  whole day"
    assert figures_in(text).worth == 0.912
    with pytest.raises(ValueError, match="no row"):
        figures_in("given up")


def test_differences_that_cancel_out_count_for_nothing():
    found = {
        Play(WHOLE, "a:1"): Figures(0.9),
        Play("ejection", "a:1"): Figures(0.8),
        Play(WHOLE, "b:2"): Figures(0.7),
        Play("ejection", "b:2"): Figures(0.8),
    }
    assert table(found)[2:] == ["| ejection | +0.000 | 0.100 | +0.00 | 1 of 2 | no |"]
